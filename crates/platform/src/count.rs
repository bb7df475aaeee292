//! Counts of calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal,)*) => {
        /// A kind of call to the platform.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of declaration.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind,)*];

            /// Returns the name of the kind as used in the label of a metric.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)*
                }
            }
        }
    };
}

kinds! {
    /// A read of one object.
    Read => "read",
    /// A watch of one object. A watch counts as one call however long it waits.
    Watch => "watch",
    /// A conditional write.
    Write => "write",
    /// A conditional removal.
    Remove => "remove",
    /// A list of paths.
    List => "list",
    /// The list of backend servers.
    Servers => "servers",
    /// The list of instances.
    Instances => "instances",
}

const KINDS: usize = Kind::ALL.len();

/// Counts of calls to the platform, by kind. Counts never decrease.
#[derive(Debug, Default)]
pub struct Counts {
    calls: [AtomicU64; KINDS],
    failures: [AtomicU64; KINDS],
}

impl Counts {
    /// Returns the number of calls of `kind` that were started.
    pub fn calls(&self, kind: Kind) -> u64 {
        self.calls[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of calls of `kind` that failed.
    pub fn failures(&self, kind: Kind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add_call(&self, kind: Kind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_failure(&self, kind: Kind) {
        self.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
    }
}
