//! `chivewheel bundle keygen`: makes a key to sign with.

use std::fmt;
use std::path::PathBuf;

use contract::id;
use contract::signature::PublicKey;
use serde::Serialize;

use crate::{file, Error};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The operator whose key it will be.
    pub name: id::Operator,
    /// The new file of the secret key.
    pub out: PathBuf,
}

/// What was done.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Made {
    /// The operator.
    pub name: id::Operator,
    /// The file of the secret key.
    pub file: PathBuf,
    /// The public key.
    pub public: PublicKey,
}

/// Makes a key. An existing file is left alone.
pub fn run(request: &Request) -> Result<Made, Error> {
    let key = file::random_key()?;
    file::write_key(&request.out, &key)?;
    Ok(Made {
        name: request.name.clone(),
        file: request.out.clone(),
        public: key.public(),
    })
}

impl fmt::Display for Made {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "The secret key is in {}: keep it to yourself.",
            self.file.display()
        )?;
        writeln!(
            f,
            "Add this entry to CHIVEWHEEL_SIGNERS of every instance and operator:"
        )?;
        writeln!(f, "  {}={}", self.name, self.public)
    }
}
