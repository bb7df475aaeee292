//! Wake-up signal for a task.

use smol::channel::{bounded, Receiver, Sender};

/// Wakes a waiting task. Signals sent while the task is busy are merged into one.
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
        // A full channel means that a wake-up is already pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for the signal.
    pub(crate) async fn wait(&self) {
        // Cannot fail: the sender lives as long as the signal.
        let _ = self.receiver.recv().await;
    }
}
