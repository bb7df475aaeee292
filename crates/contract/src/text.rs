//! Parses and writes bundles as TOML text.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::fault::{Fault, Faults, Kind, Path};
use crate::{check, reader, Bundle};

/// The maximum size of the text of a bundle, in bytes.
pub const MAX_BYTES: usize = 1024 * 1024;

/// Parses and checks a bundle.
///
/// On failure, returns all faults at once, each with its path and line.
pub fn parse(text: &str) -> Result<Bundle, Faults> {
    if text.len() > MAX_BYTES {
        let (size, limit) = (text.len(), MAX_BYTES);
        let fault = Fault::new(Path::root(), Kind::TooLong { size, limit });
        return Err(Faults::new(vec![fault]));
    }
    let reader::Outcome {
        bundle,
        mut faults,
        lines,
    } = reader::read(text)?;
    if let Err(violations) = check::check(&bundle) {
        // An unreadable value was replaced by a placeholder: ignore the faults of placeholders.
        let unreadable: BTreeSet<Path> = faults.iter().map(|fault| fault.path.clone()).collect();
        faults.extend(
            violations
                .into_iter()
                .filter(|fault| !covers(&unreadable, &fault.path)),
        );
    }
    for fault in &mut faults {
        fault.line = fault.line.or_else(|| lines.of(&fault.path));
    }
    Faults::new(faults).into_result()?;
    Ok(bundle)
}

/// Returns whether `path` or one of its parents is in `paths`.
fn covers(paths: &BTreeSet<Path>, path: &Path) -> bool {
    let parent_covered = || path.parent().is_some_and(|parent| covers(paths, &parent));
    paths.contains(path) || parent_covered()
}

/// Parses and checks a bundle from bytes, which must be UTF-8.
pub fn parse_bytes(bytes: &[u8]) -> Result<Bundle, Faults> {
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let at = error.valid_up_to();
        let line = 1 + bytes[..at].iter().filter(|b| **b == b'\n').count();
        let mut fault = Fault::new(Path::root(), Kind::NotText { at });
        fault.line = Some(line);
        Faults::new(vec![fault])
    })?;
    parse(text)
}

/// Writes `bundle` as text that [`parse`] accepts.
pub fn print(bundle: &Bundle) -> Result<String, Error> {
    Ok(toml::to_string(bundle)?)
}

/// The bundle contains a number that TOML cannot represent.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("the bundle cannot be written as TOML: {0}")]
pub struct Error(#[from] toml::ser::Error);
