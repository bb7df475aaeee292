//! Accepts connections of callers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use parking_lot::Mutex;
use smol::channel::{bounded, Receiver, Sender};
use smol::net::TcpListener;
use smol::Task;

use super::connection::Connection;
use crate::headers::Codec;
use crate::node::Node;
use crate::store::Store;
use crate::Error;

/// The delay after a failure to accept a connection. The likely cause is that the process has run
/// out of file descriptors.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The port for callers. Dropping it stops accepting connections.
pub(crate) struct Server {
    open: Arc<AtomicUsize>,
    closing: Mutex<Option<Sender<()>>>,
    accepting: Option<Task<()>>,
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Binds the port for callers and starts to accept connections.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`].
    pub(crate) async fn bind<S, H, C>(node: &Arc<Node<S, H, C>>) -> Result<Self, Error>
    where
        S: Store,
        H: Codec,
        C: Clock,
    {
        let address = node.settings.load().callers;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Bind { address, source })?;
        let (sender, receiver) = bounded(1);
        let open = Arc::new(AtomicUsize::new(0));
        let accepting = smol::spawn(accept(node.clone(), listener, open.clone(), receiver));
        Ok(Self {
            open,
            closing: Mutex::new(Some(sender)),
            accepting: Some(accepting),
        })
    }

    /// Closes idle connections, and the others as soon as they become idle.
    pub(crate) fn close_idle(&self) {
        self.closing.lock().take();
    }

    /// Closes the port. Connections that are open stay so.
    pub(crate) async fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

async fn accept<S, H, C>(
    node: Arc<Node<S, H, C>>,
    listener: TcpListener,
    open: Arc<AtomicUsize>,
    closing: Receiver<()>,
) where
    S: Store,
    H: Codec,
    C: Clock,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(node.log, "callers: accepting failed"; "error" => %error);
                node.clock.sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        let limit = node.settings.load().max_connections;
        if open.fetch_add(1, Ordering::AcqRel) >= limit {
            drop(ConnectionGuard(open.clone()));
            slog::warn!(node.log, "callers: connection limit reached"; "limit" => limit);
            continue;
        }
        let guard = ConnectionGuard(open.clone());
        if let Err(error) = stream
            .set_nodelay(true)
            .and_then(|()| client::socket::detect_dead_peer(&stream))
        {
            slog::warn!(node.log, "callers: connection setup failed"; "error" => %error);
            continue;
        }
        let connection = Connection::new(node.clone(), stream, closing.clone());
        smol::spawn(async move {
            connection.run().await;
            drop(guard);
        })
        .detach();
    }
}
