//! Connections between requests.

use std::net::SocketAddr;
use std::time::Duration;

use client::{Connection, ConnectionPool, Delivery, Error};
use clock::Manual;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};

use crate::script::bind;

const AGE: Duration = Duration::from_secs(5);

/// A server that counts its connections.
struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    async fn bind() -> Self {
        let (listener, address) = bind().await;
        Self { listener, address }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.unwrap().0
    }

    /// Returns whether a connection was opened since the last one was accepted.
    async fn has_new(&self) -> bool {
        const SETTLING: Duration = Duration::from_millis(20);
        let accepted = async { Some(self.accept().await) };
        let late = async {
            smol::Timer::after(SETTLING).await;
            None
        };
        smol::future::or(accepted, late).await.is_some()
    }

    async fn open(&self) -> (Connection, TcpStream) {
        let connection = Connection::open(self.address).await.unwrap();
        (connection, self.accept().await)
    }
}

/// Checks whether a connection that was idle for `age` is reused after `change`.
fn reuses<F>(age: Duration, change: F, expected: bool)
where
    F: AsyncFnOnce(&ConnectionPool<Manual>, SocketAddr, &mut Option<TcpStream>),
{
    smol::block_on(async {
        let server = Server::bind().await;
        let clock = Manual::new();
        let idle = ConnectionPool::new(clock.clone(), 2);
        let (connection, stream) = server.open().await;
        idle.put(server.address, connection);
        clock.advance(age);
        let mut stream = Some(stream);
        change(&idle, server.address, &mut stream).await;
        let _taken = idle.take(server.address, AGE).await.unwrap();
        assert_eq!(server.has_new().await, !expected);
    });
}

/// Waits until the client's socket has what was sent to it.
async fn settle() {
    smol::Timer::after(Duration::from_millis(20)).await;
}

fn keeps_at_most_its_limit() {
    smol::block_on(async {
        let server = Server::bind().await;
        let idle = ConnectionPool::new(Manual::new(), 2);
        let mut streams = Vec::new();
        for _ in 0..3 {
            let (connection, stream) = server.open().await;
            idle.put(server.address, connection);
            streams.push(stream);
        }
        let _first = idle.take(server.address, AGE).await.unwrap();
        let _second = idle.take(server.address, AGE).await.unwrap();
        assert!(!server.has_new().await, "two were kept");
        let _third = idle.take(server.address, AGE).await.unwrap();
        assert!(server.has_new().await, "the third was not");
    });
}

fn a_refused_connection_reaches_nobody() {
    smol::block_on(async {
        let address = Server::bind().await.address;
        let error = Connection::open(address).await.unwrap_err();
        assert!(matches!(error, Error::Connect(_)), "{error:?}");
        assert_eq!(error.delivery(), Delivery::NotSent);
    });
}

const TICK: Duration = Duration::from_micros(1);

cases! {
    a_young_connection: reuses(AGE, async |_, _, _| {}, true);
    an_old_connection: reuses(AGE + TICK, async |_, _, _| {}, false);
    a_late_byte: reuses(TICK, async |_, _, stream| {
        stream.as_mut().unwrap().write_all(b"H").await.unwrap();
        settle().await;
    }, false);
    a_closed_connection: reuses(TICK, async |_, _, stream| {
        *stream = None;
        settle().await;
    }, false);
    a_forgotten_connection: reuses(TICK, async |idle, address, _| idle.forget(address), false);
    a_pruned_connection: reuses(AGE, async |idle, _, _| idle.prune(AGE - TICK), false);
    a_connection_that_is_not_pruned: reuses(AGE, async |idle, _, _| idle.prune(AGE), true);
    the_limit: keeps_at_most_its_limit();
    no_connection: a_refused_connection_reaches_nobody();
}
