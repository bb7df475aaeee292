//! Reads settings from the command line and collects their faults.

use std::str::FromStr;

use clap::ArgMatches;
use contract::keyring::Keyring;

use super::Fault;

/// Reads settings from the command line and collects their faults.
pub(super) struct Reader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            faults: Vec::new(),
        }
    }

    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Records that `value` is invalid. Always returns `None`.
    pub(super) fn reject<T>(&mut self, flag: &str, value: &str, expected: &str) -> Option<T> {
        self.faults.push(Fault::Value {
            flag: flag.to_owned(),
            value: value.to_owned(),
            expected: expected.to_owned(),
        });
        None
    }

    pub(super) fn optional_text(&self, flag: &str) -> Option<String> {
        self.matches
            .get_one::<String>(flag)
            .filter(|text| !text.is_empty())
            .cloned()
    }

    pub(super) fn text(&mut self, flag: &str) -> Option<String> {
        let text = self.optional_text(flag);
        if text.is_none() {
            self.faults.push(Fault::Missing {
                flag: flag.to_owned(),
            });
        }
        text
    }

    pub(super) fn texts(&self, flag: &str) -> Vec<String> {
        let values = self.matches.get_many::<String>(flag).unwrap_or_default();
        values.filter(|text| !text.is_empty()).cloned().collect()
    }

    fn convert<T>(&mut self, flag: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => self.reject(flag, text, &format!("is not understood ({e})")),
        }
    }

    pub(super) fn optional<T>(&mut self, flag: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let text = self.optional_text(flag)?;
        self.convert(flag, &text)
    }

    pub(super) fn parse<T>(&mut self, flag: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let text = self.text(flag)?;
        self.convert(flag, &text)
    }

    pub(super) fn list<T>(&mut self, flag: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let texts = self.texts(flag);
        texts
            .iter()
            .filter_map(|text| self.convert(flag, text))
            .collect()
    }

    /// Reads public keys in the form `NAME=KEY`.
    pub(super) fn keyring(&mut self, flag: &str) -> Option<Keyring> {
        let texts = self.texts(flag).join(",");
        self.convert(flag, &texts)
    }

    /// Reads an integer between `min` and `max`, both inclusive.
    pub(super) fn number(&mut self, flag: &str, min: u64, max: u64) -> Option<u64> {
        let value = self.parse(flag)?;
        if (min..=max).contains(&value) {
            return Some(value);
        }
        self.reject(
            flag,
            &value.to_string(),
            &format!("lies between {min} and {max}"),
        )
    }

    /// Reads a ratio between 0 and 1.
    pub(super) fn ratio(&mut self, flag: &str) -> Option<f64> {
        let value: f64 = self.parse(flag)?;
        if (0.0..=1.0).contains(&value) {
            return Some(value);
        }
        self.reject(flag, &value.to_string(), "lies between 0 and 1")
    }

    /// Reads the secret shared by all instances, from `--key-file` if given, else from `--key`.
    pub(super) fn key(&mut self) -> Option<wire::Key> {
        let secret = match self.optional_text("key-file") {
            Some(path) => self.read_file("key-file", &path)?,
            None => self.text("key")?,
        };
        match wire::Key::new(secret.trim().as_bytes()) {
            Ok(key) => Some(key),
            Err(e) => self.reject("key", "(hidden)", &format!("is refused: {e}")),
        }
    }

    fn read_file(&mut self, flag: &str, path: &str) -> Option<String> {
        match std::fs::read_to_string(path) {
            Ok(text) => Some(text),
            Err(e) => {
                let (flag, path) = (flag.to_owned(), path.to_owned());
                self.faults.push(Fault::File {
                    flag,
                    path,
                    reason: e.to_string(),
                });
                None
            }
        }
    }
}
