//! Reads a bundle from TOML and continues after faults.
//!
//! A value that cannot be read is recorded as a fault and replaced by a placeholder, so that one
//! pass reports all faults. [`crate::text`] adds the faults that [`crate::check`] finds.

use std::collections::BTreeMap;
use std::time::Duration;

use toml::de::{DeTable, DeValue};

use crate::fault::{labels, Fault, Faults, Kind, Path};
use crate::{id, Bundle, Centre, Rollout, Route, Service, Version};

/// The result of reading a text.
pub(crate) struct Outcome {
    /// The bundle, with placeholders at the paths of the faults.
    pub(crate) bundle: Bundle,
    /// The values that could not be read.
    pub(crate) faults: Vec<Fault>,
    /// The lines of all paths that were read.
    pub(crate) lines: Lines,
}

/// Reads the bundle in `text`. Fails if the text is not TOML.
pub(crate) fn read(text: &str) -> Result<Outcome, Faults> {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader::new(text);
    if !errors.is_empty() {
        let faults = errors
            .iter()
            .map(|error| reader.syntax_fault(error))
            .collect();
        return Err(Faults::new(faults));
    }
    reader.record_line(&Path::root(), 0);
    let mut table = Table::new(&mut reader, document.get_ref(), Path::root());
    let bundle = read_bundle(&mut table);
    table.finish();
    Ok(Outcome {
        bundle,
        faults: reader.faults,
        lines: reader.lines,
    })
}

/// The line of each path, counted from 1.
#[derive(Default)]
pub(crate) struct Lines(BTreeMap<Path, usize>);

impl Lines {
    /// Returns the line of `path`, or of its nearest parent that has one.
    pub(crate) fn of(&self, path: &Path) -> Option<usize> {
        let line = self.0.get(path).copied();
        line.or_else(|| path.parent().and_then(|parent| self.of(&parent)))
    }
}

/// The state of reading a text.
struct Reader {
    /// The byte offset at which each line starts.
    line_starts: Vec<usize>,
    faults: Vec<Fault>,
    lines: Lines,
}

impl Reader {
    fn new(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self {
            line_starts: std::iter::once(0)
                .chain(newlines.map(|(offset, _)| offset + 1))
                .collect(),
            faults: Vec::new(),
            lines: Lines::default(),
        }
    }

    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn record_line(&mut self, path: &Path, offset: usize) {
        let line = self.line(offset);
        self.lines.0.insert(path.clone(), line);
    }

    fn add_fault(&mut self, path: Path, kind: Kind) {
        self.faults.push(Fault::new(path, kind));
    }

    fn syntax_fault(&self, error: &toml::de::Error) -> Fault {
        let message = error.message().to_owned();
        let mut fault = Fault::new(Path::root(), Kind::Syntax { message });
        fault.line = error.span().map(|span| self.line(span.start));
        fault
    }
}

/// A TOML table being read.
struct Table<'r, 'd> {
    reader: &'r mut Reader,
    entries: &'d DeTable<'d>,
    path: Path,
    /// The keys requested so far. After the table is read, these are all known keys.
    known: Vec<&'static str>,
}

impl<'r, 'd> Table<'r, 'd> {
    fn new(reader: &'r mut Reader, entries: &'d DeTable<'d>, path: Path) -> Self {
        Self {
            reader,
            entries,
            path,
            known: Vec::new(),
        }
    }

    /// Returns the value of `key`, if present.
    fn value(&mut self, key: &'static str) -> Option<&'d DeValue<'d>> {
        self.known.push(key);
        let (name, value) = self.entries.get_key_value(key)?;
        self.reader
            .record_line(&self.path.key(key), name.span().start);
        Some(value.get_ref())
    }

    /// Reads the value of `key`, if present.
    fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: Field,
    {
        let value = self.value(key)?;
        let path = self.path.key(key);
        Some(T::read(value, &path, self.reader))
    }

    /// Reads the value of `key`. Records a fault if it is missing.
    fn required<T>(&mut self, key: &'static str) -> T
    where
        T: Field,
    {
        self.optional(key).unwrap_or_else(|| {
            let expected = T::EXPECTED;
            let path = self.path.key(key);
            self.reader.add_fault(path, Kind::Missing { expected });
            T::default()
        })
    }

    /// Reads the table at `key`, if present.
    fn table<T>(&mut self, key: &'static str, read: impl Fn(&mut Table<'_, 'd>) -> T) -> Option<T> {
        let value = self.value(key)?;
        read_table(self.reader, value, self.path.key(key), &read)
    }

    /// Reads the list of tables at `key`. `label` returns their labels in paths, given their names.
    fn list<T>(
        &mut self,
        key: &'static str,
        label: impl Fn(&[&str]) -> Vec<String>,
        read: impl Fn(&mut Table<'_, 'd>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let path = self.path.key(key);
        let Some(items) = value.as_array() else {
            let kind = wrong_type("a list of tables", value);
            self.reader.add_fault(path, kind);
            return Vec::new();
        };
        let names: Vec<&str> = items.iter().map(|item| name_of(item.get_ref())).collect();
        let mut read_items = Vec::new();
        for (item, label) in items.iter().zip(label(&names)) {
            let path = path.item(label);
            self.reader.record_line(&path, item.span().start);
            read_items.extend(read_table(self.reader, item.get_ref(), path, &read));
        }
        read_items
    }

    /// Records a fault for each unknown key.
    fn finish(self) {
        for key in self.entries.keys() {
            if self.known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let path = self.path.key(&key.get_ref().escape_debug().to_string());
            let known = self.known.join(", ");
            self.reader.record_line(&path, key.span().start);
            self.reader.add_fault(path, Kind::UnknownKey { known });
        }
    }
}

fn read_table<'d, T>(
    reader: &mut Reader,
    value: &'d DeValue<'d>,
    path: Path,
    read: &impl Fn(&mut Table<'_, 'd>) -> T,
) -> Option<T> {
    let Some(entries) = value.as_table() else {
        reader.add_fault(path, wrong_type("a table", value));
        return None;
    };
    let mut table = Table::new(reader, entries, path);
    let read = read(&mut table);
    table.finish();
    Some(read)
}

fn read_bundle(table: &mut Table<'_, '_>) -> Bundle {
    Bundle {
        version: table.required("version"),
        centres: table.list("data-centre", by_position, read_centre),
        services: table.list("service", labels, read_service),
    }
}

fn read_centre(table: &mut Table<'_, '_>) -> Centre {
    Centre {
        name: id::Centre::from(table.required::<String>("name").as_str()),
        in_service: table.required("in-service"),
    }
}

fn read_service(table: &mut Table<'_, '_>) -> Service {
    Service {
        name: id::Service::from(table.required::<String>("name").as_str()),
        hosts: table.required("hosts"),
        slots: table.required("slots"),
        probes_per_second: table.required("probes-per-second"),
        probe_path: table.required("probe-path"),
        routes: table.list("route", by_position, read_route),
        versions: table.list("version", by_position, read_version),
        rollout: table.table("move", read_rollout),
    }
}

fn read_route(table: &mut Table<'_, '_>) -> Route {
    Route {
        name: id::Route::from(table.required::<String>("name").as_str()),
        methods: table.optional("methods").unwrap_or_default(),
        path: table.required("path"),
        idempotent: table.optional("idempotent"),
        can_wait: table.optional("can-wait").unwrap_or_default(),
        time_limit: Duration::from_millis(table.required("time-limit-ms")),
    }
}

fn read_version(table: &mut Table<'_, '_>) -> Version {
    Version {
        name: id::Version::from(table.required::<String>("name").as_str()),
    }
}

fn read_rollout(table: &mut Table<'_, '_>) -> Rollout {
    Rollout {
        from: id::Version::from(table.required::<String>("from").as_str()),
        to: id::Version::from(table.required::<String>("to").as_str()),
        first_share: table.required("first-share"),
        deadline: table.required("deadline"),
    }
}

/// A type of value that a key can have.
trait Field: Default {
    /// The expected type in words, for messages.
    const EXPECTED: &'static str;

    /// Reads `value`, or records a fault at `path` and returns a placeholder.
    fn read(value: &DeValue<'_>, path: &Path, reader: &mut Reader) -> Self {
        Self::try_read(value).unwrap_or_else(|| {
            reader.add_fault(path.clone(), wrong_type(Self::EXPECTED, value));
            Self::default()
        })
    }

    /// Reads `value` if it has the type.
    fn try_read(value: &DeValue<'_>) -> Option<Self>;
}

impl Field for String {
    const EXPECTED: &'static str = "a string";

    fn try_read(value: &DeValue<'_>) -> Option<Self> {
        value.as_str().map(str::to_owned)
    }
}

impl Field for bool {
    const EXPECTED: &'static str = "true or false";

    fn try_read(value: &DeValue<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl Field for u64 {
    const EXPECTED: &'static str = "a whole number from 0 up";

    fn try_read(value: &DeValue<'_>) -> Option<Self> {
        let number = value.as_integer()?;
        u64::from_str_radix(number.as_str(), number.radix()).ok()
    }
}

impl Field for u32 {
    const EXPECTED: &'static str = u64::EXPECTED;

    fn try_read(value: &DeValue<'_>) -> Option<Self> {
        // Numbers above `u32::MAX` are out of range for every key of this type, and so is the
        // maximum itself: the check rejects it.
        let number = u64::try_read(value)?;
        Some(u32::try_from(number).unwrap_or(u32::MAX))
    }
}

impl Field for f64 {
    const EXPECTED: &'static str = "a number";

    fn try_read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::Float(number) => number.as_str().parse().ok(),
            DeValue::Integer(_) => u64::try_read(value).map(|number| number as f64),
            _ => None,
        }
    }
}

impl Field for Vec<String> {
    const EXPECTED: &'static str = "a list of strings";

    fn read(value: &DeValue<'_>, path: &Path, reader: &mut Reader) -> Self {
        let Some(items) = value.as_array() else {
            reader.add_fault(path.clone(), wrong_type(Self::EXPECTED, value));
            return Self::default();
        };
        let mut texts = Self::new();
        for (index, item) in items.iter().enumerate() {
            let path = path.at(index);
            reader.record_line(&path, item.span().start);
            texts.push(String::read(item.get_ref(), &path, reader));
        }
        texts
    }

    fn try_read(_: &DeValue<'_>) -> Option<Self> {
        None
    }
}

fn by_position(names: &[&str]) -> Vec<String> {
    (1..=names.len())
        .map(|position| position.to_string())
        .collect()
}

fn name_of<'d>(item: &'d DeValue<'d>) -> &'d str {
    let name = item.as_table().and_then(|table| table.get("name"));
    name.and_then(|name| name.get_ref().as_str()).unwrap_or("")
}

fn wrong_type(expected: &'static str, value: &DeValue<'_>) -> Kind {
    let found = match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    };
    Kind::WrongType { expected, found }
}
