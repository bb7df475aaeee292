//! The HTTP server for the callers' port and the peers' port.
//!
//! `trillium-http` does the parsing and framing. This module limits the number of open connections,
//! the sizes of heads and bodies, and the idle time. It lets a [`Service`] detect that the client
//! has disconnected, and it shuts down gracefully:
//!
//! - [`Server::disable_keep_alive`] sends `Connection: close` with every further response, so that
//!   a connection is closed after a response and never while a request is being sent.
//! - [`Server::stop`] then closes the listener and the connections that are still idle, and waits
//!   for the requests in progress.

mod presence;
mod request;
mod response;
mod transport;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use smol::net::{TcpListener, TcpStream};
use trillium_http::{Conn, HttpConfig, Stopper};

pub use presence::Presence;
pub use request::Request;
pub use response::Response;
pub(crate) use response::OUTCOME_HEADER;
use transport::Transport;

use crate::Error;

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum size of a request head.
    pub max_head_bytes: usize,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// How long a connection may make no progress before it is closed.
    pub idle_timeout: Duration,
}

/// Handles the requests that a [`Server`] receives.
pub trait Service: Clone + Send + Sync + 'static {
    /// Returns the response to `request`. `presence` detects that the client has disconnected.
    fn answer(&self, request: Request, presence: Presence)
        -> impl Future<Output = Response> + Send;
}

#[derive(Debug, Default)]
struct State {
    open_connections: AtomicUsize,
    keep_alive_disabled: AtomicBool,
}

/// Counts as one open connection until it is dropped.
struct ConnectionGuard(Arc<State>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A bound port that does not accept connections yet.
#[derive(Debug)]
pub struct Port {
    address: SocketAddr,
    listener: TcpListener,
}

impl Port {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        Ok(Self { address, listener })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A running server. It stops accepting connections when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    state: Arc<State>,
    stopper: Stopper,
}

impl Server {
    /// Starts a server that passes the requests on `port` to `service`.
    pub fn spawn<S>(port: Port, limits: Limits, service: S) -> Self
    where
        S: Service,
    {
        let Port { address, listener } = port;
        let state = Arc::new(State::default());
        let stopper = Stopper::new();
        let accept_loop = accept(listener, limits, service, state.clone(), stopper.clone());
        smol::spawn(accept_loop).detach();
        Self {
            address,
            state,
            stopper,
        }
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a function that reports the number of open connections.
    pub(crate) fn connections(&self) -> impl Fn() -> usize + Send + Sync + 'static {
        let state = self.state.clone();
        move || state.open_connections.load(Ordering::Acquire)
    }

    /// Sends `Connection: close` with every further response.
    pub fn disable_keep_alive(&self) {
        self.state
            .keep_alive_disabled
            .store(true, Ordering::Release);
    }

    /// Stops accepting connections and waits for at most `timeout` until all have been closed.
    ///
    /// Returns whether all were closed in time.
    pub async fn stop<C>(&self, clock: &C, timeout: Duration) -> bool
    where
        C: Clock,
    {
        const CHECK_INTERVAL: Duration = Duration::from_millis(5);
        self.disable_keep_alive();
        self.stopper.stop();
        let deadline = clock.now() + timeout;
        while self.state.open_connections.load(Ordering::Acquire) > 0 {
            if clock.now() >= deadline {
                return false;
            }
            clock.sleep(CHECK_INTERVAL).await;
        }
        true
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopper.stop();
    }
}

async fn accept<S>(
    listener: TcpListener,
    limits: Limits,
    service: S,
    state: Arc<State>,
    stopper: Stopper,
) where
    S: Service,
{
    const RETRY_DELAY: Duration = Duration::from_millis(10);
    while let Some(accepted) = stopper.stop_future(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            // Most likely there are no free file descriptors until some connections close.
            smol::Timer::after(RETRY_DELAY).await;
            continue;
        };
        if state.open_connections.fetch_add(1, Ordering::AcqRel) >= limits.max_connections {
            drop(ConnectionGuard(state.clone()));
            continue;
        }
        let guard = ConnectionGuard(state.clone());
        let connection = serve(
            stream,
            limits,
            service.clone(),
            state.clone(),
            stopper.clone(),
        );
        smol::spawn(async move {
            connection.await;
            drop(guard);
        })
        .detach();
    }
}

/// Handles the requests on one connection.
async fn serve<S>(
    stream: TcpStream,
    limits: Limits,
    service: S,
    state: Arc<State>,
    stopper: Stopper,
) where
    S: Service,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let presence = Presence::new(stream.clone());
    let transport = Transport::new(stream, limits.idle_timeout);
    let max_body_bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
    let config = HttpConfig::default()
        .with_head_max_len(limits.max_head_bytes)
        .with_received_body_max_len(max_body_bytes);
    let handler = |conn| handle(conn, &service, presence.clone(), &state);
    // A broken connection or invalid HTTP affects only the client that caused it, so the result is
    // ignored.
    let _result = Conn::map_with_config(config, transport, stopper, handler).await;
}

async fn handle<S>(
    mut conn: Conn<Transport>,
    service: &S,
    presence: Presence,
    state: &State,
) -> Conn<Transport>
where
    S: Service,
{
    let response = match Request::read(&mut conn).await {
        Ok(request) => service.answer(request, presence).await,
        Err(response) => response,
    };
    response.write(&mut conn);
    if state.keep_alive_disabled.load(Ordering::Acquire) {
        response::close_after(&mut conn);
    }
    conn
}
