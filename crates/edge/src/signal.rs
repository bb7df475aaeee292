//! Wakes a task that waits.

use smol::channel::{bounded, Receiver, Sender};

/// Wakes a task that waits. Signals that come while the task is busy count as one.
#[derive(Debug)]
pub(crate) struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    /// Returns a signal that has not been sent.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = bounded(1);
        Self { sender, receiver }
    }

    /// Wakes the task.
    pub(crate) fn send(&self) {
        // A full channel means that the task is about to wake.
        let _ = self.sender.try_send(());
    }

    /// Waits for the signal.
    pub(crate) async fn wait(&self) {
        // Both ends live as long as the signal.
        let _ = self.receiver.recv().await;
    }
}
