//! What a task needs to know of its instance.

use std::net::SocketAddr;
use std::sync::Arc;

use balance::duty::{Generation, Notice};
use clock::Clock;

use crate::gossip::{Message, MAX_DATAGRAM_BYTES};
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;

/// How the report of a window ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was accepted in time.
    Sent,
    /// It was accepted after it was due.
    Late,
    /// It was not sent, or never accepted.
    Missing,
}

/// What a task needs to know of its instance, and tells it.
pub trait Host: Send + Sync + 'static {
    /// Returns whether the instance may take the duty over.
    fn is_candidate(&self) -> bool;

    /// Returns the number of candidates that come before it.
    fn rank(&self) -> u32;

    /// Returns whether the instance is about to stop.
    fn is_stopping(&self) -> bool;

    /// Sends an announcement of this instance to the candidates.
    fn announce(&self, notice: &Notice);

    /// Returns the announcements that have arrived since the last call.
    fn announcements(&self) -> Vec<Notice>;

    /// Records the generation of this instance, if it is the holder.
    fn record_generation(&self, generation: Option<Generation>);

    /// Counts windows.
    fn record_windows(&self, windows: u64, end: End);
}

/// The instance of a task.
pub(crate) struct NodeHost<S, H, C>(pub(crate) Arc<Node<S, H, C>>);

impl<S, H, C> Host for NodeHost<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    fn is_candidate(&self) -> bool {
        self.0.is_reader()
    }

    fn rank(&self) -> u32 {
        let node = &self.0;
        let revisions = node.view.lock().revisions();
        let members = node.members.lock();
        let others = members.remote_readers(&revisions, node.now());
        let before = others.filter(|other| other.centre < node.identity.centre.as_str());
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    fn is_stopping(&self) -> bool {
        self.0.is_stopping()
    }

    fn announce(&self, notice: &Notice) {
        let node = &self.0;
        let mut message = Message::Duty(Box::new(notice.clone()));
        let fits = |message: &Message| {
            let bytes = message.encode();
            bytes.is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
        };
        if !fits(&message) {
            message = Message::Duty(Box::new(Notice {
                pending: None,
                ..notice.clone()
            }));
        }
        let mut targets = node.other_centres();
        targets.extend(self.reader_address());
        node.send(&message, &targets);
    }

    fn announcements(&self) -> Vec<Notice> {
        self.0.duty_notices.take()
    }

    fn record_generation(&self, generation: Option<Generation>) {
        self.0.metrics.duty_generation(generation);
    }

    fn record_windows(&self, windows: u64, end: End) {
        self.0.metrics.duty_windows(windows, end);
    }
}

impl<S, H, C> NodeHost<S, H, C>
where
    S: Store,
    H: Codec,
    C: Clock,
{
    /// Returns the address of another instance that reads the store for this data centre.
    fn reader_address(&self) -> Option<SocketAddr> {
        let node = &self.0;
        let members = node.members.lock();
        let reader = members.reader(node.now())?;
        Some(reader.address)
    }
}
