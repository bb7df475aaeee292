//! Types of call that make up the load.

use std::str::FromStr;

use crate::Error;

/// A type of call in the mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Value of the `Host` header, which selects the service.
    pub host: String,
    /// Path. A unique token is added as a query parameter.
    pub path: String,
    /// Size of the request body, in bytes.
    pub body: usize,
    /// Share of the mix, relative to the other weights.
    pub weight: u32,
    /// Whether each call carries a unique `Idempotency-Key` and must be executed at most once.
    pub keyed: bool,
}

impl Call {
    /// Returns an idempotent `GET` of `path` with weight 1.
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

    /// Returns a keyed `POST` to `path` with weight 1.
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
        let is_invalid = |text: &&String| {
            let is_forbidden = |c: char| c.is_whitespace() || c.is_control();
            text.is_empty() || text.contains(is_forbidden)
        };
        match [&self.method, &self.host, &self.path]
            .into_iter()
            .find(is_invalid)
        {
            Some(text) => Err(Error::Head { text: text.clone() }),
            None => Ok(()),
        }
    }

    fn set_field(&mut self, field: &str) -> Option<()> {
        let (name, value) = field.split_once('=')?;
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

/// Parses the value of the `--call` flag: `name=N,host=H,path=P`, optionally with `method=M`,
/// `body=BYTES`, `weight=W` and `keyed=true`. Omitted fields are as in [`Call::get`].
impl FromStr for Call {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut call = Self::get("call", "localhost", "/");
        for field in text.split(',') {
            call.set_field(field).ok_or_else(|| Error::Call {
                call: text.to_owned(),
                text: field.to_owned(),
            })?;
        }
        call.check()?;
        Ok(call)
    }
}
