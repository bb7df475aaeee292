//! The HTTP server of the callers' port and of the peers' port.
//!
//! Parsing and framing are `trillium-http`'s. This module accepts connections up to a limit, bounds
//! heads, bodies and idle time, tells a [`Service`] when the other side has gone, and stops without
//! cutting a request:
//!
//! - [`Server::linger`] answers each further request with `Connection: close`, so that connections
//!   end after an answer and not before one.
//! - [`Server::stop`] then closes the listener and the connections that were idle throughout, and
//!   waits for the requests under way.

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

/// Bounds on what a connection may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The connections that may be open.
    pub connections: usize,
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// How long a connection may be silent.
    pub idle: Duration,
}

/// What answers requests.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers `request`. `presence` tells whether the other side still waits.
    fn answer(&self, request: Request, presence: Presence)
        -> impl Future<Output = Response> + Send;
}

#[derive(Debug, Default)]
struct State {
    open: AtomicUsize,
    lingers: AtomicBool,
}

/// Counts one open connection for as long as it lives.
struct Opened(Arc<State>);

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A port that is bound, and not answered at yet.
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
    /// [`Error::Bind`].
    pub async fn bind(address: SocketAddr) -> Result<Self, Error> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        Ok(Self { address, listener })
    }

    /// Returns the address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A running server. It stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    state: Arc<State>,
    stopper: Stopper,
}

impl Server {
    /// Answers requests at `port` with `service`.
    pub fn spawn<S>(port: Port, limits: Limits, service: S) -> Self
    where
        S: Service,
    {
        let Port { address, listener } = port;
        let state = Arc::new(State::default());
        let stopper = Stopper::new();
        let accepting = accept(listener, limits, service, state.clone(), stopper.clone());
        smol::spawn(accepting).detach();
        Self {
            address,
            state,
            stopper,
        }
    }

    /// Returns the address that the server answers at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what counts the open connections.
    pub(crate) fn connections(&self) -> impl Fn() -> usize + Send + Sync + 'static {
        let state = self.state.clone();
        move || state.open.load(Ordering::Acquire)
    }

    /// Answers each further request with `Connection: close`.
    pub fn linger(&self) {
        self.state.lingers.store(true, Ordering::Release);
    }

    /// Stops accepting and waits until all connections have ended, for at most `limit`.
    ///
    /// Returns whether they have.
    pub async fn stop<C>(&self, clock: &C, limit: Duration) -> bool
    where
        C: Clock,
    {
        const CHECK_INTERVAL: Duration = Duration::from_millis(5);
        self.linger();
        self.stopper.stop();
        let deadline = clock.now() + limit;
        while self.state.open.load(Ordering::Acquire) > 0 {
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
    const ERROR_PAUSE: Duration = Duration::from_millis(10);
    while let Some(accepted) = stopper.stop_future(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors, most likely: some connection has to end first.
            smol::Timer::after(ERROR_PAUSE).await;
            continue;
        };
        if state.open.fetch_add(1, Ordering::AcqRel) >= limits.connections {
            drop(Opened(state.clone()));
            continue;
        }
        let opened = Opened(state.clone());
        let serving = serve(
            stream,
            limits,
            service.clone(),
            state.clone(),
            stopper.clone(),
        );
        smol::spawn(async move {
            serving.await;
            drop(opened);
        })
        .detach();
    }
}

/// Answers the requests of one connection.
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
    let transport = Transport::new(stream, limits.idle);
    let body_limit = u64::try_from(limits.body).unwrap_or(u64::MAX);
    let config = HttpConfig::default()
        .with_head_max_len(limits.head)
        .with_received_body_max_len(body_limit);
    let handler = |conn| handle(conn, &service, presence.clone(), &state);
    // A connection that breaks or sends what is not HTTP concerns nobody but its caller.
    let _ended = Conn::map_with_config(config, transport, stopper, handler).await;
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
    if state.lingers.load(Ordering::Acquire) {
        response::close_after(&mut conn);
    }
    conn
}
