//! `chivewheel bundle show`: prints the bundle that the store has.

use std::fmt;

use clock::Clock;
use contract::digest::Digest;
use contract::keyring::Keyring;
use contract::{id, text, Bundle};
use platform::Store;
use serde::Serialize;

use crate::head::Keeper;
use crate::Error;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The keyring, to say who signed.
    pub keyring: Option<Keyring>,
    /// Whether to print the bundle's text alone.
    pub toml: bool,
}

/// What was found.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Found {
    /// The digest of the bundle.
    pub digest: Digest,
    /// The digest of the bundle that it replaced.
    pub previous: Option<Digest>,
    /// The author and the operator who signed it off, if a keyring was given.
    pub signed_by: Option<[id::Operator; 2]>,
    /// The bundle.
    pub bundle: Bundle,
    #[serde(skip)]
    text: Option<String>,
}

/// Reads the bundle that the store has.
pub async fn run<S, C>(request: &Request, keeper: &Keeper<S, C>) -> Result<Found, Error>
where
    S: Store,
    C: Clock,
{
    let head = keeper.head().await?.ok_or(Error::NoBundle)?;
    let signed_by = match &request.keyring {
        Some(keyring) => {
            let verified = head.signed.verify(keyring)?;
            Some([verified.author().clone(), verified.operator().clone()])
        }
        None => None,
    };
    let root = head.signed.root;
    let bundle = keeper.bundle(&root).await?;
    let text = match request.toml {
        true => Some(text::print(&bundle)?),
        false => None,
    };
    Ok(Found {
        digest: root.digest(),
        previous: root.previous,
        signed_by,
        bundle,
        text,
    })
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(text) = &self.text {
            return f.write_str(text);
        }
        writeln!(
            f,
            "Bundle {} with digest {}",
            self.bundle.version, self.digest
        )?;
        match &self.signed_by {
            Some([author, operator]) => {
                writeln!(f, "Signed by {author}, signed off by {operator}")?;
            }
            None => writeln!(f, "Signatures not verified: no signers were given")?,
        }
        writeln!(f, "Data centres:")?;
        for centre in &self.bundle.centres {
            let state = match centre.in_service {
                true => "in service",
                false => "out of service",
            };
            writeln!(f, "  {}: {state}", centre.name)?;
        }
        writeln!(f, "Services:")?;
        for service in &self.bundle.services {
            write!(f, "  {}: {} routes", service.name, service.routes.len())?;
            match (&service.rollout, service.stable_version()) {
                (Some(shift), _) => writeln!(f, ", moving from {} to {}", shift.from, shift.to)?,
                (None, Some(version)) => writeln!(f, ", version {version}")?,
                (None, None) => writeln!(f)?,
            }
        }
        Ok(())
    }
}
