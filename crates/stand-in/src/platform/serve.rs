//! The object API over HTTP. The mapping is that of [`platform::http`].

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use platform::http::MAX_VALUE_BYTES;
use platform::{query, Outcome, Revision};
use serde::Serialize;
use smol::future::FutureExt;
use trillium::{Conn, Method, Status};

use super::server::Running;
use super::{control, Outage, State};

/// How often a waiting request looks whether an outage has begun or ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The longest body that is read, in bytes. Values are limited apart.
const BODY_LIMIT: u64 = 2 * MAX_VALUE_BYTES as u64;

/// Serves the API on `listener`.
pub(super) fn spawn(listener: TcpListener, state: &Arc<State>) -> io::Result<Running> {
    // The server must not keep alive the state that keeps it running.
    let state = Arc::downgrade(state);
    Running::spawn(listener, move |conn: Conn| {
        let state = state.upgrade();
        async move {
            match state {
                Some(state) if conn.path().starts_with("/control/") => {
                    control::answer(&state, conn).await
                }
                Some(state) => answer(&state, conn).await,
                None => conn.with_status(Status::ServiceUnavailable).halt(),
            }
        }
    })
}

async fn answer(state: &State, mut conn: Conn) -> Conn {
    let place = match conn.method() {
        Method::Get => state.reads.take(Boottime.now()),
        _ => state.writes.take(Boottime.now()),
    };
    let wait = Boottime.sleep_until(place).or(outage(state));
    let wait = async {
        wait.await;
        hung(state).await;
    };
    if conn.cancel_on_disconnect(wait).await.is_none() {
        return conn;
    }
    if state.faults.outage().is_some() {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    let delay = state.faults.delay();
    let conn = dispatch(state, conn).await;
    Boottime.sleep(delay).or(outage(state)).await;
    conn
}

/// Completes once the platform does not hang.
async fn hung(state: &State) {
    while state.faults.outage() == Some(Outage::Hang) {
        Boottime.sleep(POLL_INTERVAL).await;
    }
}

/// Completes once an outage has begun.
async fn outage(state: &State) {
    while state.faults.outage().is_none() {
        Boottime.sleep(POLL_INTERVAL).await;
    }
}

async fn dispatch(state: &State, conn: Conn) -> Conn {
    let count = |add: fn(&mut super::Counts)| state.faults.count(add);
    match (conn.method(), conn.path()) {
        (Method::Get, "/object") => {
            count(|counts| counts.reads += 1);
            read(state, conn)
        }
        (Method::Get, "/watch") => {
            count(|counts| counts.watches += 1);
            watch(state, conn).await
        }
        (Method::Put, "/object") => {
            count(|counts| counts.writes += 1);
            write(state, conn).await
        }
        (Method::Delete, "/object") => {
            count(|counts| counts.removes += 1);
            remove(state, conn).await
        }
        (Method::Get, "/list" | "/servers" | "/instances") => {
            count(|counts| counts.lists += 1);
            list(state, conn)
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

fn read(state: &State, conn: Conn) -> Conn {
    let Some(path) = path(&conn) else {
        return bad_request(conn);
    };
    match state.objects.read(&path) {
        Some(object) => packed(conn, &object),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

async fn watch(state: &State, mut conn: Conn) -> Conn {
    let wanted = (path(&conn), revision(&conn, "seen"), limit(&conn));
    let (Some(path), Some(seen), Some(limit)) = wanted else {
        return bad_request(conn);
    };
    if let Some(changed) = state.objects.watch(&path, seen) {
        let wait = async {
            let _ = changed.recv().await;
        };
        let wait = wait.or(Boottime.sleep(limit)).or(outage(state));
        if conn.cancel_on_disconnect(wait).await.is_none() {
            return conn;
        }
    }
    if state.faults.outage().is_some() {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    read(state, conn)
}

async fn write(state: &State, mut conn: Conn) -> Conn {
    let (Some(path), Some(expected)) = (path(&conn), revision(&conn, "expected")) else {
        return bad_request(conn);
    };
    let body = conn.request_body().await.with_max_len(BODY_LIMIT);
    let value = match body.read_bytes().await {
        Ok(value) if value.len() <= MAX_VALUE_BYTES => value,
        Ok(_) | Err(trillium::Error::ReceivedBodyTooLong(_)) => {
            return conn.with_status(Status::PayloadTooLarge).halt();
        }
        Err(_) => return bad_request(conn),
    };
    let outcome = state.objects.write(&path, expected, value);
    changed(state, conn, outcome).await
}

async fn remove(state: &State, conn: Conn) -> Conn {
    let (Some(path), Some(Some(expected))) = (path(&conn), revision(&conn, "expected")) else {
        return bad_request(conn);
    };
    let outcome = state.objects.remove(&path, expected);
    changed(state, conn, outcome).await
}

/// Answers a write or removal, unless its answer is to be lost.
async fn changed(state: &State, mut conn: Conn, outcome: Outcome) -> Conn {
    if state.faults.take_loss() {
        // The client gives up, or the platform stops.
        conn.cancel_on_disconnect(outage(state)).await;
        return conn.with_status(Status::GatewayTimeout).halt();
    }
    match outcome {
        Outcome::Written(revision) => packed(conn, &revision),
        Outcome::Conflict => conn.with_status(Status::Conflict).halt(),
    }
}

fn list(state: &State, conn: Conn) -> Conn {
    match conn.path() {
        "/servers" => packed(conn, &state.servers.get()),
        "/instances" => packed(conn, &state.instances.get()),
        _ => match path(&conn) {
            Some(prefix) => packed(conn, &state.objects.list(&prefix)),
            None => bad_request(conn),
        },
    }
}

fn packed<T>(conn: Conn, value: &T) -> Conn
where
    T: Serialize,
{
    match rmp_serde::to_vec(value) {
        Ok(body) => conn.ok(body),
        Err(_) => conn.with_status(Status::InternalServerError).halt(),
    }
}

fn bad_request(conn: Conn) -> Conn {
    conn.with_status(Status::BadRequest).halt()
}

fn path(conn: &Conn) -> Option<String> {
    query::unescape(query::value(conn.querystring(), "path")?)
}

fn revision(conn: &Conn, name: &str) -> Option<Option<Revision>> {
    query::parse_revision(query::value(conn.querystring(), name)?)
}

fn limit(conn: &Conn) -> Option<Duration> {
    let millis = query::value(conn.querystring(), "limit-ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
