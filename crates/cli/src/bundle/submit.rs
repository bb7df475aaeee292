//! `chivewheel bundle submit`: puts a signed bundle in force.

use std::fmt;
use std::io::{BufRead, Write};
use std::path::PathBuf;

use clock::Clock;
use contract::change::Danger;
use contract::digest::Digest;
use contract::keyring::Keyring;
use contract::part::Part;
use contract::root::Root;
use contract::signed::{Signed, Verified};
use contract::{id, succession, Bundle};
use jiff::Timestamp;
use platform::Store;
use serde::Serialize;

use super::{sign, Preview};
use crate::head::{revision, Keeper};
use crate::{file, Console, Error};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The file of the bundle.
    pub bundle: PathBuf,
    /// The file of signatures, if not beside the bundle.
    pub signed: Option<PathBuf>,
    /// The keyring.
    pub keyring: Keyring,
    /// Whether the operator confirms beforehand.
    pub yes: bool,
    /// Whether the operator accepts the dangers that may be accepted.
    pub accept_risk: bool,
}

/// What was done.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Done {
    /// The version of the bundle.
    pub version: u64,
    /// The digest of the bundle.
    pub digest: Digest,
    /// The author.
    pub author: id::Operator,
    /// The operator who signed the bundle off.
    pub operator: id::Operator,
    /// Whether the bundle was in force before.
    pub already: bool,
    /// What the bundle changes.
    pub preview: Option<Preview>,
    /// Whether the operator has seen what changes.
    #[serde(skip)]
    shown: bool,
}

/// Puts a bundle in force.
pub async fn run<S, C, I, O, E>(
    request: &Request,
    keeper: &Keeper<S, C>,
    console: &mut Console<I, O, E>,
    now: Timestamp,
) -> Result<Done, Error>
where
    S: Store,
    C: Clock,
    I: BufRead,
    O: Write,
    E: Write,
{
    let (bundle, signed) = read(request)?;
    let verified = signed.verify(&request.keyring)?;
    let head = keeper.head().await?;
    let current = head.as_ref().map(|head| &head.signed.root);
    if current.is_some_and(|root| root.digest() == *verified.digest()) {
        return Ok(done(&verified, None));
    }
    succession::check(current, verified.root())?;
    let old = match current {
        Some(root) => Some(keeper.bundle(root).await?),
        None => None,
    };
    let preview = Preview::new(old.as_ref(), &bundle, now);
    weigh(&preview.dangers, request.accept_risk)?;
    if !request.yes {
        console.confirm(&question(&verified, &preview))?;
    }
    let (root, parts) = bundle.split(signed.root.previous);
    keeper.put_parts(&news(&root, parts, current)).await?;
    keeper.replace(revision(&head), &signed).await?;
    Ok(Done {
        shown: !request.yes,
        ..done(&verified, Some(preview))
    })
}

/// Reads the bundle and its signatures, which must belong together.
fn read(request: &Request) -> Result<(Bundle, Signed), Error> {
    let bundle = file::read_bundle(&request.bundle)?;
    let path = file::signed_path(&request.bundle, request.signed.as_deref());
    let signed = file::read_signed(&path)?;
    sign::ensure_same(&request.bundle, &bundle, &path, &signed)?;
    Ok((bundle, signed))
}

/// Refuses dangers that are not, or cannot be, accepted.
fn weigh(dangers: &[Danger], accept_risk: bool) -> Result<(), Error> {
    let refused = |danger: &&Danger| !(accept_risk && danger.is_acceptable());
    let refused: Vec<Danger> = dangers.iter().filter(refused).cloned().collect();
    match refused.is_empty() {
        true => Ok(()),
        false => Err(Error::Dangerous(refused)),
    }
}

fn question(verified: &Verified, preview: &Preview) -> String {
    let (version, digest) = (verified.root().version, verified.digest().short());
    let (author, operator) = (verified.author(), verified.operator());
    format!("Bundle {version} ({digest}) by {author}, signed off by {operator}.\n{preview}")
}

/// Returns the parts that the bundle in force does not have.
fn news(root: &Root, parts: Vec<Part>, current: Option<&Root>) -> Vec<Part> {
    let Some(current) = current else {
        return parts;
    };
    let changed: Vec<&id::Service> = root.changed_parts(current).map(|(name, _)| name).collect();
    let is_news = |part: &Part| changed.contains(&&part.service.name);
    parts.into_iter().filter(is_news).collect()
}

/// Returns what was done: nothing, where there is no `preview`.
fn done(verified: &Verified, preview: Option<Preview>) -> Done {
    Done {
        version: verified.root().version,
        digest: *verified.digest(),
        author: verified.author().clone(),
        operator: verified.operator().clone(),
        already: preview.is_none(),
        preview,
        shown: false,
    }
}

impl fmt::Display for Done {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Done {
            version, digest, ..
        } = self;
        if self.already {
            return writeln!(
                f,
                "Bundle {version} with digest {digest} was accepted before."
            );
        }
        if let Some(preview) = self.preview.as_ref().filter(|_| !self.shown) {
            write!(f, "{preview}")?;
        }
        writeln!(f, "Bundle {version} with digest {digest} is accepted.")?;
        writeln!(
            f,
            "Next: chivewheel status, to see it in force at every instance."
        )
    }
}
