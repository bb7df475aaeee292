//! A directory with bundles and keys, and a store to roll them to.

use std::fs;
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use cli::bundle::{sign, submit};
use cli::head::{Keeper, PAUSE};
use cli::{Console, Error};
use clock::Manual;
use contract::keyring::Keyring;
use contract::signature::Key;
use contract::signed::Signed;
use contract::{text, Bundle};
use jiff::Timestamp;
use smol::future;

use crate::store::Memory;

/// The text of a bundle with two services and two data centres.
pub(crate) const TEXT: &str = include_str!("bundle.toml");

/// The time at which tests submit, in seconds since 1970-01-01 UTC.
pub(crate) const NOW: i64 = 1_700_000_000;

/// A directory with a bundle, and a store to roll it to.
pub(crate) struct Workshop {
    pub(crate) directory: PathBuf,
    pub(crate) store: Memory,
    pub(crate) bundle: Bundle,
    pub(crate) accept_risk: bool,
    pub(crate) answer: &'static str,
    clock: Manual,
}

impl Workshop {
    /// Opens a workshop with the bundle of [`TEXT`] and an empty store.
    pub(crate) fn open() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("workshop-{}-{count}", std::process::id());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self {
            directory,
            store: Memory::default(),
            bundle: text::parse(TEXT).unwrap(),
            accept_risk: false,
            answer: "yes\n",
            clock: Manual::new(),
        }
    }

    /// Opens a workshop whose bundle 1 is in force, and whose bundle is the next one.
    pub(crate) fn rolled() -> Self {
        let mut workshop = Self::open();
        workshop.roll().unwrap();
        workshop.store.take_writes();
        workshop.bundle.version = 2;
        workshop
    }

    /// Signs the bundle with both keys and submits it.
    pub(crate) fn roll(&self) -> Result<submit::Done, Error> {
        self.sign_twice();
        self.submit()
    }

    /// Signs the bundle with both keys, without a look at the store.
    pub(crate) fn sign_twice(&self) {
        self.write_bundle();
        let _ = fs::remove_file(self.signed_file());
        for seed in [1, 2] {
            let mut request = self.request(seed);
            let head = self.head().map(|head| head.root.digest());
            request.parent = Some(head.map_or(sign::Parent::None, sign::Parent::Digest));
            request.yes = true;
            let keeper: Option<&Keeper<Memory, Manual>> = None;
            let mut console = Console::new(&b""[..], Vec::new(), Vec::new());
            smol::block_on(sign::run(&request, keeper, &mut console, now())).unwrap();
        }
    }

    /// Signs the bundle's file as the operator with the number `seed`, and confirms with
    /// [`Workshop::answer`].
    pub(crate) fn sign(&self, seed: u8) -> Result<sign::Done, Error> {
        let request = self.request(seed);
        let keeper = self.keeper();
        let mut console = Console::new(self.answer.as_bytes(), Vec::new(), Vec::new());
        self.drive(sign::run(&request, Some(&keeper), &mut console, now()))
    }

    fn request(&self, seed: u8) -> sign::Request {
        sign::Request {
            bundle: self.bundle_file(),
            signed: None,
            key: key(seed),
            keyring: Some(keyring()),
            parent: None,
            yes: false,
        }
    }

    pub(crate) fn write_bundle(&self) {
        fs::write(self.bundle_file(), text::print(&self.bundle).unwrap()).unwrap();
    }

    pub(crate) fn signed_file(&self) -> PathBuf {
        self.bundle_file().with_extension("signed.json")
    }

    pub(crate) fn submit(&self) -> Result<submit::Done, Error> {
        let request = submit::Request {
            bundle: self.bundle_file(),
            signed: None,
            keyring: keyring(),
            yes: false,
            accept_risk: self.accept_risk,
        };
        let mut console = Console::new(self.answer.as_bytes(), Vec::new(), Vec::new());
        let keeper = self.keeper();
        self.drive(submit::run(&request, &keeper, &mut console, now()))
    }

    pub(crate) fn bundle_file(&self) -> PathBuf {
        self.directory.join("bundle.toml")
    }

    /// Returns the version that the store's head has; 0 for none.
    pub(crate) fn head_version(&self) -> u64 {
        self.head().map_or(0, |head| head.root.version)
    }

    fn head(&self) -> Option<Signed> {
        let value = self.store.value(cli::head::HEAD)?;
        Some(Signed::decode(&value).unwrap())
    }

    fn keeper(&self) -> Keeper<Memory, Manual> {
        Keeper::new(self.store.clone(), self.clock.clone())
    }

    /// Runs `work` while time passes.
    fn drive<T>(&self, work: impl Future<Output = T>) -> T {
        let pass = async {
            loop {
                self.clock.advance(PAUSE);
                future::yield_now().await;
            }
        };
        smol::block_on(future::or(work, pass))
    }
}

impl Drop for Workshop {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

pub(crate) fn key(seed: u8) -> Key {
    Key::from_seed([seed; 32])
}

/// Returns the keyring of the operators 1 and 2.
pub(crate) fn keyring() -> Keyring {
    let entries = [("ada", 1), ("ben", 2)];
    Keyring::new(entries.map(|(name, seed)| (name.into(), key(seed).public()))).unwrap()
}

pub(crate) fn now() -> Timestamp {
    Timestamp::from_second(NOW).unwrap()
}
