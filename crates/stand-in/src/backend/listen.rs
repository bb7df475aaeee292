//! Accepts connections and handles crashes and restarts.

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use rustix::net::sockopt::set_socket_linger;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol::Async;

use crate::port::Port;

use super::connection::Connection;
use super::incarnation::Incarnation;
use super::state::State;

/// Delay before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves connections until the stand-in is stopped, and restarts it after a crash.
pub(super) async fn run(state: Arc<State>, port: Port) {
    while !state.is_stopped() {
        let incarnation = state.incarnation();
        if let Ok(listener) = port.listener() {
            accept(&state, &incarnation, listener)
                .or(incarnation.ended())
                .await;
        }
        // If the socket cannot refuse connections, they wait for the restart.
        let _ = port.refuse();
        Boottime.sleep(state.config.restart_delay).await;
        state.restart();
        let _ = port.listen();
    }
}

async fn accept(state: &Arc<State>, incarnation: &Arc<Incarnation>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Boottime.sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.load(Ordering::SeqCst) >= state.config.max_connections {
            state.update_counts(|counts| counts.refused_connections += 1);
            continue;
        }
        state.update_counts(|counts| counts.connections += 1);
        let stream = TcpStream::from(stream);
        let guard = ConnectionGuard::new(&open);
        let connection = serve(Arc::clone(state), Arc::clone(incarnation), stream, guard);
        smol::spawn(connection).detach();
    }
}

async fn serve(
    state: Arc<State>,
    incarnation: Arc<Incarnation>,
    stream: TcpStream,
    _guard: ConnectionGuard,
) {
    let crash = async {
        incarnation.ended().await;
        set_reset_on_close(&stream);
    };
    let connection = Connection::new(stream.clone(), state).run();
    connection.or(crash).await;
}

/// Makes `stream` send a reset when it is closed.
pub(super) fn set_reset_on_close(stream: &TcpStream) {
    // If the option cannot be set, the connection closes normally.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
