//! `chivewheel bundle sign`: signs a bundle as its author or signs it off.
//!
//! The first signature is the author's and fixes which bundle is replaced. The second is the
//! operator's, over the same root, after a look at what it changes.

use std::fmt;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};

use clock::Clock;
use contract::digest::Digest;
use contract::keyring::Keyring;
use contract::signature::{Key, PublicKey};
use contract::signed::{self, Role, Signed};
use contract::{id, succession, Bundle};
use jiff::Timestamp;
use platform::Store;
use serde::Serialize;

use super::Preview;
use crate::head::Keeper;
use crate::{file, Console, Error};

/// Which bundle is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    /// None: this is the first bundle.
    None,
    /// The one with this digest.
    Digest(Digest),
    /// The one that the store has.
    InForce,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct Request {
    /// The file of the bundle.
    pub bundle: PathBuf,
    /// The file of signatures, if not beside the bundle.
    pub signed: Option<PathBuf>,
    /// The key to sign with.
    pub key: Key,
    /// The keyring, which a second signature needs.
    pub keyring: Option<Keyring>,
    /// Which bundle is replaced. Only the author says so.
    pub parent: Option<Parent>,
    /// Whether a second operator confirms beforehand.
    pub yes: bool,
}

/// What was done.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Done {
    /// The version of the bundle.
    pub version: u64,
    /// The digest of the bundle.
    pub digest: Digest,
    /// The digest of the bundle that it replaces.
    pub previous: Option<Digest>,
    /// In which role the key signed.
    pub role: String,
    /// The key that signed.
    pub key: PublicKey,
    /// The author, on a second signature.
    pub author: Option<id::Operator>,
    /// The file of signatures.
    pub file: PathBuf,
    /// What the bundle changes, where the store was asked.
    pub preview: Option<Preview>,
    /// Whether the operator has seen what changes.
    #[serde(skip)]
    shown: bool,
}

/// Signs a bundle. With a `keeper`, says what the bundle changes and refuses one that cannot
/// replace the one in force.
pub async fn run<S, C, I, O, E>(
    request: &Request,
    keeper: Option<&Keeper<S, C>>,
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
    let bundle = file::read_bundle(&request.bundle)?;
    let path = file::signed_path(&request.bundle, request.signed.as_deref());
    let (author, mut signed) = match file::find_signed(&path)? {
        Some(signed) => {
            let author = countersign(request, &path, &bundle, &signed)?;
            (Some(author), signed)
        }
        None => {
            let parent = parent(request.parent, keeper).await?;
            let (root, _) = bundle.split(parent);
            (None, Signed::unsigned(root))
        }
    };
    let preview = match keeper {
        Some(keeper) => Some(preview(keeper, &bundle, &signed, now).await?),
        None => None,
    };
    let asked = author.as_ref().filter(|_| !request.yes);
    let shown = asked.is_some();
    if let Some(author) = asked {
        console.confirm(&question(author, &signed, preview.as_ref()))?;
    }
    let role = match author {
        Some(_) => Role::Operator,
        None => Role::Author,
    };
    signed.sign(role, &request.key);
    file::write_signed(&path, &signed)?;
    Ok(Done {
        version: signed.root.version,
        digest: signed.root.digest(),
        previous: signed.root.previous,
        role: role.to_string(),
        key: request.key.public(),
        author,
        file: path,
        preview,
        shown,
    })
}

fn question(author: &id::Operator, signed: &Signed, preview: Option<&Preview>) -> String {
    let (version, digest) = (signed.root.version, signed.root.digest());
    let changes = match preview {
        Some(preview) => preview.to_string(),
        None => "Give --platform to see what it changes.\n".into(),
    };
    let digest = digest.short();
    format!("Bundle {version} ({digest}) by {author} is to be signed off.\n{changes}")
}

/// Checks that the request may sign `signed` off, and returns its author.
fn countersign(
    request: &Request,
    path: &Path,
    bundle: &Bundle,
    signed: &Signed,
) -> Result<id::Operator, Error> {
    if signed.author.is_some() && signed.operator.is_some() {
        return Err(Error::SignedAlready { path: path.into() });
    }
    ensure_same(&request.bundle, bundle, path, signed)?;
    let keyring = request.keyring.as_ref().ok_or(Error::NoKeyring)?;
    let author = signed.verify_author(keyring)?;
    let own = request.key.public();
    match signed.author.map(|author| author.key) == Some(own) {
        true => Err(signed::Fault::SameKey(own).into()),
        false => Ok(author),
    }
}

/// Checks that `bundle` is the one that was signed.
pub(super) fn ensure_same(
    bundle_path: &Path,
    bundle: &Bundle,
    signed_path: &Path,
    signed: &Signed,
) -> Result<(), Error> {
    let (root, _) = bundle.split(signed.root.previous);
    match root.digest() == signed.root.digest() {
        true => Ok(()),
        false => Err(Error::OtherBundle {
            bundle: bundle_path.into(),
            signed: signed_path.into(),
        }),
    }
}

/// Returns the digest of the bundle that is replaced.
async fn parent<S, C>(
    parent: Option<Parent>,
    keeper: Option<&Keeper<S, C>>,
) -> Result<Option<Digest>, Error>
where
    S: Store,
    C: Clock,
{
    match (parent, keeper) {
        (Some(Parent::None), _) => Ok(None),
        (Some(Parent::Digest(digest)), _) => Ok(Some(digest)),
        (Some(Parent::InForce) | None, Some(keeper)) => {
            let head = keeper.head().await?;
            Ok(head.map(|head| head.signed.root.digest()))
        }
        (Some(Parent::InForce), None) => Err(Error::NoPlatform),
        (None, None) => Err(Error::NoParent),
    }
}

/// Says what `bundle` changes, given that it may replace the one in force.
async fn preview<S, C>(
    keeper: &Keeper<S, C>,
    bundle: &Bundle,
    signed: &Signed,
    now: Timestamp,
) -> Result<Preview, Error>
where
    S: Store,
    C: Clock,
{
    let head = keeper.head().await?;
    let current = head.as_ref().map(|head| &head.signed.root);
    succession::check(current, &signed.root)?;
    let old = match current {
        Some(root) => Some(keeper.bundle(root).await?),
        None => None,
    };
    Ok(Preview::new(old.as_ref(), bundle, now))
}

impl fmt::Display for Done {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Done {
            version,
            digest,
            role,
            ..
        } = self;
        writeln!(
            f,
            "Bundle {version} with digest {digest} is signed as {role}."
        )?;
        match &self.previous {
            Some(previous) => writeln!(f, "It replaces the bundle with digest {previous}.")?,
            None => writeln!(f, "It is the first bundle.")?,
        }
        if let Some(author) = &self.author {
            writeln!(f, "Its author is {author}.")?;
        }
        writeln!(f, "The signatures are in {}.", self.file.display())?;
        if let Some(preview) = self.preview.as_ref().filter(|_| !self.shown) {
            write!(f, "{preview}")?;
        }
        match &self.author {
            Some(_) => writeln!(f, "Next: chivewheel bundle submit."),
            None => writeln!(
                f,
                "Next: a second operator reads the bundle and signs it too."
            ),
        }
    }
}
