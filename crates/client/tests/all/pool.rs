//! Tests of pools of idle connections.

use std::net::SocketAddr;
use std::time::Duration;

use client::{Connection, ConnectionPool, Delivery, Error};
use clock::Manual;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};

use crate::script::bind;

const MAX_AGE: Duration = Duration::from_secs(5);

/// A server that detects new connections.
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

    /// Returns whether a connection has been opened since the last one was accepted.
    async fn has_new(&self) -> bool {
        const SETTLING_TIME: Duration = Duration::from_millis(20);
        let accepted = async { Some(self.accept().await) };
        let timeout = async {
            smol::Timer::after(SETTLING_TIME).await;
            None
        };
        smol::future::or(accepted, timeout).await.is_some()
    }

    async fn open(&self) -> (Connection, TcpStream) {
        let connection = Connection::open(self.address).await.unwrap();
        (connection, self.accept().await)
    }
}

/// Checks whether a connection that has been idle for `age` is reused after `change`.
fn reuses<F>(age: Duration, change: F, expected: bool)
where
    F: AsyncFnOnce(&ConnectionPool<Manual>, SocketAddr, &mut Option<TcpStream>),
{
    smol::block_on(async {
        let server = Server::bind().await;
        let clock = Manual::new();
        let pool = ConnectionPool::new(clock.clone(), 2);
        let (connection, stream) = server.open().await;
        pool.put(server.address, connection);
        clock.advance(age);
        let mut stream = Some(stream);
        change(&pool, server.address, &mut stream).await;
        let _taken = pool.take(server.address, MAX_AGE).await.unwrap();
        assert_eq!(server.has_new().await, !expected);
    });
}

/// Waits until the client's socket has received what was sent to it.
async fn settle() {
    smol::Timer::after(Duration::from_millis(20)).await;
}

fn keeps_at_most_its_limit() {
    smol::block_on(async {
        let server = Server::bind().await;
        let pool = ConnectionPool::new(Manual::new(), 2);
        let mut streams = Vec::new();
        for _ in 0..3 {
            let (connection, stream) = server.open().await;
            pool.put(server.address, connection);
            streams.push(stream);
        }
        let _first = pool.take(server.address, MAX_AGE).await.unwrap();
        let _second = pool.take(server.address, MAX_AGE).await.unwrap();
        assert!(!server.has_new().await, "two connections are kept");
        let _third = pool.take(server.address, MAX_AGE).await.unwrap();
        assert!(server.has_new().await, "the third connection is not kept");
    });
}

/// Checks that of two idle connections, the last of which has answered `r1`, a request `id` gets
/// one that is not new; it gets the last one if `expects_last`.
fn takes_for(id: Option<&str>, expects_last: bool) {
    smol::block_on(async {
        let server = Server::bind().await;
        let pool = ConnectionPool::new(Manual::new(), 2);
        let (first, _first_stream) = server.open().await;
        let (last, _last_stream) = server.open().await;
        let expected = if expects_last { &last } else { &first }.usage();
        pool.put(server.address, first);
        pool.put(server.address, last.with_answered("r1").unwrap());
        let taken = pool.take_for(server.address, MAX_AGE, id).await.unwrap();
        assert_eq!(taken.usage(), expected);
    });
}

fn opens_one_if_all_have_answered() {
    smol::block_on(async {
        let server = Server::bind().await;
        let pool = ConnectionPool::new(Manual::new(), 2);
        let (connection, _stream) = server.open().await;
        let connection = connection.with_answered("r1").unwrap();
        pool.put(server.address, connection.with_answered("r2").unwrap());
        let taken = pool.take_for(server.address, MAX_AGE, Some("r1")).await;
        assert!(!taken.unwrap().has_answered("r2"), "the idle one was taken");
        assert!(server.has_new().await, "a connection was opened");
    });
}

fn closes_after_too_many_answered_requests() {
    const RECORDED: usize = 31;
    smol::block_on(async {
        let server = Server::bind().await;
        let (mut connection, _stream) = server.open().await;
        for i in 0..RECORDED {
            connection = connection.with_answered(&format!("r{i}")).unwrap();
        }
        assert!((0..RECORDED).all(|i| connection.has_answered(&format!("r{i}"))));
        assert!(connection.with_answered("last").is_none());
    });
}

fn a_refused_connection_sends_nothing() {
    smol::block_on(async {
        let address = Server::bind().await.address;
        let error = Connection::open(address).await.unwrap_err();
        assert!(matches!(error, Error::Connect(_)), "{error:?}");
        assert_eq!(error.delivery(), Delivery::NotSent);
    });
}

const TICK: Duration = Duration::from_micros(1);

cases! {
    a_young_connection: reuses(MAX_AGE, async |_, _, _| {}, true);
    an_old_connection: reuses(MAX_AGE + TICK, async |_, _, _| {}, false);
    an_unexpected_byte: reuses(TICK, async |_, _, stream| {
        stream.as_mut().unwrap().write_all(b"H").await.unwrap();
        settle().await;
    }, false);
    a_closed_connection: reuses(TICK, async |_, _, stream| {
        *stream = None;
        settle().await;
    }, false);
    a_connection_to_a_forgotten_address:
        reuses(TICK, async |pool, address, _| pool.forget(address), false);
    a_pruned_connection: reuses(MAX_AGE, async |pool, _, _| pool.prune(MAX_AGE - TICK), false);
    a_connection_that_is_not_pruned: reuses(MAX_AGE, async |pool, _, _| pool.prune(MAX_AGE), true);
    a_request_without_an_id_takes_the_last_connection: takes_for(None, true);
    a_request_takes_a_connection_that_answered_another: takes_for(Some("r2"), true);
    a_request_takes_no_connection_that_answered_it: takes_for(Some("r1"), false);
    a_request_that_all_connections_answered: opens_one_if_all_have_answered();
    a_connection_that_answered_many_requests: closes_after_too_many_answered_requests();
    the_limit_per_address: keeps_at_most_its_limit();
    a_refused_connection: a_refused_connection_sends_nothing();
}
