//! Local files: bundles, signatures and keys.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use contract::signature::{Key, KEY_BYTES};
use contract::signed::{self, Signed};
use contract::{text, Bundle};

use crate::Error;

/// The extension of a file of signatures, beside its bundle.
const SIGNED_EXTENSION: &str = "signed.json";

/// The longest file of signatures, in bytes. JSON needs more room than the store's encoding.
const MAX_SIGNED_BYTES: usize = 4 * signed::MAX_BYTES;

/// The longest file of a secret key, in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// The permissions of a file of a secret key: its owner alone.
const KEY_MODE: u32 = 0o600;

/// The system's source of random bytes.
const RANDOM: &str = "/dev/urandom";

/// Reads and checks the bundle in the file at `path`.
pub(crate) fn read_bundle(path: &Path) -> Result<Bundle, Error> {
    // One byte more than the bound lets the reader of the text name the fault.
    let bytes = read(path, text::MAX_BYTES + 1)?;
    text::parse_bytes(&bytes).map_err(|faults| Error::Faulty {
        path: path.into(),
        faults,
    })
}

/// Returns where the signatures of the bundle at `bundle` are, unless `given` says so.
pub(crate) fn signed_path(bundle: &Path, given: Option<&Path>) -> PathBuf {
    match given {
        Some(path) => path.into(),
        None => bundle.with_extension(SIGNED_EXTENSION),
    }
}

/// Reads the file of signatures at `path`, if there is one.
pub(crate) fn find_signed(path: &Path) -> Result<Option<Signed>, Error> {
    match fs::exists(path) {
        Ok(true) => read_signed(path).map(Some),
        Ok(false) => Ok(None),
        Err(error) => Err(fail(path)(error)),
    }
}

/// Reads the file of signatures at `path`.
pub(crate) fn read_signed(path: &Path) -> Result<Signed, Error> {
    let bytes = read(path, MAX_SIGNED_BYTES)?;
    serde_json::from_slice(&bytes).map_err(|error| Error::SignedFile {
        path: path.into(),
        error,
    })
}

/// Writes the file of signatures at `path` whole or not at all.
pub(crate) fn write_signed(path: &Path, signed: &Signed) -> Result<(), Error> {
    let mut text = serde_json::to_string_pretty(signed)?;
    text.push('\n');
    let draft = path.with_extension("draft");
    fs::write(&draft, text).map_err(fail(&draft))?;
    fs::rename(&draft, path).map_err(fail(path))
}

/// Reads the secret key in the file at `path`.
pub(crate) fn read_key(path: &Path) -> Result<Key, Error> {
    let bytes = read(path, MAX_KEY_BYTES)?;
    String::from_utf8_lossy(&bytes).parse().map_err(Error::Key)
}

/// Writes `key` to a new file at `path`, for its owner alone.
pub(crate) fn write_key(path: &Path, key: &Key) -> Result<(), Error> {
    let mut options = OpenOptions::new();
    let options = options.write(true).create_new(true).mode(KEY_MODE);
    let mut file = options.open(path).map_err(fail(path))?;
    writeln!(file, "{}", key.to_secret_hex()).map_err(fail(path))
}

/// Returns a new random key.
pub(crate) fn random_key() -> Result<Key, Error> {
    let path = Path::new(RANDOM);
    let mut seed = [0; KEY_BYTES];
    let mut file = File::open(path).map_err(fail(path))?;
    file.read_exact(&mut seed).map_err(fail(path))?;
    Ok(Key::from_seed(seed))
}

/// Reads at most `limit` bytes of the file at `path`.
fn read(path: &Path, limit: usize) -> Result<Vec<u8>, Error> {
    let file = File::open(path).map_err(fail(path))?;
    let mut bytes = Vec::new();
    let mut file = file.take(limit as u64);
    file.read_to_end(&mut bytes).map_err(fail(path))?;
    Ok(bytes)
}

fn fail(path: &Path) -> impl FnOnce(std::io::Error) -> Error + '_ {
    move |error| Error::File {
        path: path.into(),
        error,
    }
}
