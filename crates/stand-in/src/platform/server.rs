//! Runs an HTTP server that can be stopped.

use std::io;
use std::net::TcpListener;
use std::time::Duration;

use clock::{Boottime, Clock};
use smol::future::FutureExt;
use trillium::Handler;
use trillium_smol::async_net;
use trillium_smol::Stopper;

/// How long a stop waits for open requests, since a stalled caller may never finish one.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// A handle to a running HTTP server.
#[derive(Debug)]
pub(super) struct Handle {
    stopper: Stopper,
    ended: smol::channel::Receiver<()>,
}

impl Handle {
    /// Starts a server that handles the connections of `listener` with `handler`.
    pub(super) fn spawn<H>(listener: TcpListener, handler: H) -> io::Result<Self>
    where
        H: Handler,
    {
        listener.set_nonblocking(true)?;
        let listener = async_net::TcpListener::try_from(listener)?;
        let stopper = Stopper::new();
        let server = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_stopper(stopper.clone())
            .with_prebound_server(listener)
            .run_async(handler);
        let (end_sender, ended) = smol::channel::bounded(1);
        trillium_smol::spawn(async move {
            server.await;
            drop(end_sender);
        });
        Ok(Self { stopper, ended })
    }

    /// Stops accepting connections and waits for open requests, for [`STOP_TIMEOUT`] at most.
    pub(super) async fn stop(self) {
        self.stopper.stop();
        let ended = async {
            // The channel closes when the server has ended.
            let _ = self.ended.recv().await;
        };
        ended.or(Boottime.sleep(STOP_TIMEOUT)).await;
    }
}
