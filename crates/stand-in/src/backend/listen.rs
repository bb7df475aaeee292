//! Accepting connections, through crashes and restarts.

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
use super::life::Life;
use super::state::State;

/// How long to wait after a connection could not be accepted.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(20);

/// Serves until the stand-in is stopped.
pub(super) async fn run(state: Arc<State>, port: Port) {
    while !state.is_stopped() {
        let life = state.life();
        if let Ok(listener) = port.listener() {
            accept(&state, &life, listener).or(life.ended()).await;
        }
        // A socket that cannot refuse lets connections wait for the restart.
        let _ = port.refuse();
        Boottime.sleep(state.config.restart_delay).await;
        state.restart();
        let _ = port.listen();
    }
}

async fn accept(state: &Arc<State>, life: &Arc<Life>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    let Ok(listener) = Async::new(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Boottime.sleep(ACCEPT_INTERVAL).await;
            continue;
        };
        if open.load(Ordering::SeqCst) >= state.config.max_connections {
            state.count(|counts| counts.refused_connections += 1);
            continue;
        }
        state.count(|counts| counts.connections += 1);
        let stream = TcpStream::from(stream);
        let place = Place::take(&open);
        let connection = serve(Arc::clone(state), Arc::clone(life), stream, place);
        smol::spawn(connection).detach();
    }
}

async fn serve(state: Arc<State>, life: Arc<Life>, stream: TcpStream, _place: Place) {
    let crashed = async {
        life.ended().await;
        reset(&stream);
    };
    let connection = Connection::new(stream.clone(), state).run();
    connection.or(crashed).await;
}

/// Makes the closing of `stream` a reset.
pub(super) fn reset(stream: &TcpStream) {
    // Where the option cannot be set, the connection closes the usual way.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// One of the connections kept at once.
struct Place(Arc<AtomicUsize>);

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
