//! Accepts callers.

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

/// The pause after a connection could not be accepted: descriptors have run out, most likely.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The port for callers. It stops accepting when dropped.
pub(crate) struct Server {
    open: Arc<AtomicUsize>,
    closing: Mutex<Option<Sender<()>>>,
    _accepting: Task<()>,
}

/// Counts one open connection for as long as it lives.
struct Opened(Arc<AtomicUsize>);

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Binds the port for callers and answers them.
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
            _accepting: accepting,
        })
    }

    /// Closes the connections that are idle, and those that become so.
    pub(crate) fn close_idle(&self) {
        self.closing.lock().take();
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
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
                slog::warn!(node.log, "callers: cannot accept"; "error" => %error);
                node.clock.sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        let limit = node.settings.load().max_connections;
        if open.fetch_add(1, Ordering::AcqRel) >= limit {
            drop(Opened(open.clone()));
            slog::warn!(node.log, "callers: too many connections"; "limit" => limit);
            continue;
        }
        let opened = Opened(open.clone());
        if let Err(error) = stream
            .set_nodelay(true)
            .and_then(|()| client::socket::detect_dead_peer(&stream))
        {
            slog::warn!(node.log, "callers: a connection cannot be set up"; "error" => %error);
            continue;
        }
        let connection = Connection::new(node.clone(), stream, closing.clone());
        smol::spawn(async move {
            connection.run().await;
            drop(opened);
        })
        .detach();
    }
}
