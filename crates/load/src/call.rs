//! A kind of call.

use std::str::FromStr;

use crate::Error;

/// A kind of call in the mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The name that the report gives it.
    pub name: String,
    /// The method.
    pub method: String,
    /// The value of `Host`, which selects the service.
    pub host: String,
    /// The path. A token is added as a query.
    pub path: String,
    /// The size of the body, in bytes.
    pub body: usize,
    /// Its part in the mix, in proportion to the other weights.
    pub weight: u32,
    /// Whether it carries a unique `Idempotency-Key` and must run at most once.
    pub keyed: bool,
}

impl Call {
    /// Returns an idempotent read of `path` of weight 1.
    pub fn get(name: &str, host: &str, path: &str) -> Self {
        Self {
            name: name.to_owned(),
            method: "GET".to_owned(),
            host: host.to_owned(),
            path: path.to_owned(),
            body: 0,
            weight: 1,
            keyed: false,
        }
    }

    /// Returns a keyed write to `path` of weight 1.
    pub fn post(name: &str, host: &str, path: &str) -> Self {
        Self {
            method: "POST".to_owned(),
            body: 64,
            keyed: true,
            ..Self::get(name, host, path)
        }
    }

    /// Returns the call with another weight.
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }

    pub(crate) fn check(&self) -> Result<(), Error> {
        let breaks = |text: &&String| {
            let bad = |c: char| c.is_whitespace() || c.is_control();
            text.is_empty() || text.contains(bad)
        };
        match [&self.method, &self.host, &self.path]
            .into_iter()
            .find(breaks)
        {
            Some(text) => Err(Error::Head { text: text.clone() }),
            None => Ok(()),
        }
    }

    fn set(&mut self, part: &str) -> Option<()> {
        let (name, value) = part.split_once('=')?;
        match name {
            "name" => value.clone_into(&mut self.name),
            "method" => value.clone_into(&mut self.method),
            "host" => value.clone_into(&mut self.host),
            "path" => value.clone_into(&mut self.path),
            "body" => self.body = value.parse().ok()?,
            "weight" => self.weight = value.parse().ok()?,
            "keyed" => self.keyed = value.parse().ok()?,
            _ => return None,
        }
        Some(())
    }
}

/// Reads a call as the command line has it: `name=N,host=H,path=P` and, where they differ from a
/// read's, `method=M`, `body=BYTES`, `weight=W` and `keyed=true`.
impl FromStr for Call {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut call = Self::get("call", "localhost", "/");
        for part in text.split(',') {
            call.set(part).ok_or_else(|| Error::Call {
                call: text.to_owned(),
                text: part.to_owned(),
            })?;
        }
        call.check()?;
        Ok(call)
    }
}
