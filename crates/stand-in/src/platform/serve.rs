//! Serves the object API over HTTP, with the mapping of [`platform::http`], and injects faults.

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

use super::server::Handle;
use super::{control, Outage, State};

/// Interval at which waiting requests check whether an outage has begun or ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum length of a body that is read. Values have a separate limit.
const MAX_BODY_BYTES: u64 = 2 * MAX_VALUE_BYTES as u64;

/// Serves the API on `listener`.
pub(super) fn spawn(listener: TcpListener, state: &Arc<State>) -> io::Result<Handle> {
    // A weak reference, because the state owns the server: a strong one would be a cycle.
    let state = Arc::downgrade(state);
    Handle::spawn(listener, move |conn: Conn| {
        let state = state.upgrade();
        async move {
            match state {
                Some(state) if conn.path().starts_with("/control/") => {
                    control::respond(&state, conn).await
                }
                Some(state) => respond(&state, conn).await,
                None => conn.with_status(Status::ServiceUnavailable).halt(),
            }
        }
    })
}

async fn respond(state: &State, mut conn: Conn) -> Conn {
    let scheduled_at = match conn.method() {
        Method::Get => state.reads.reserve(Boottime.now()),
        _ => state.writes.reserve(Boottime.now()),
    };
    let wait = Boottime
        .sleep_until(scheduled_at)
        .or(wait_for_outage(state));
    let wait = async {
        wait.await;
        wait_while_hanging(state).await;
    };
    if conn.cancel_on_disconnect(wait).await.is_none() {
        return conn;
    }
    if state.faults.outage().is_some() {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    let delay = state.faults.delay();
    let conn = dispatch(state, conn).await;
    Boottime.sleep(delay).or(wait_for_outage(state)).await;
    conn
}

/// Completes when the platform is not in a hanging outage.
async fn wait_while_hanging(state: &State) {
    while state.faults.outage() == Some(Outage::Hang) {
        Boottime.sleep(POLL_INTERVAL).await;
    }
}

/// Completes when an outage is in progress.
async fn wait_for_outage(state: &State) {
    while state.faults.outage().is_none() {
        Boottime.sleep(POLL_INTERVAL).await;
    }
}

async fn dispatch(state: &State, conn: Conn) -> Conn {
    let count = |update: fn(&mut super::Counts)| state.faults.update_counts(update);
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
    let Some(path) = path_param(&conn) else {
        return bad_request(conn);
    };
    match state.objects.read(&path) {
        Some(object) => encode_response(conn, &object),
        None => conn.with_status(Status::NotFound).halt(),
    }
}

async fn watch(state: &State, mut conn: Conn) -> Conn {
    let params = (
        path_param(&conn),
        revision_param(&conn, "seen"),
        limit_param(&conn),
    );
    let (Some(path), Some(seen), Some(limit)) = params else {
        return bad_request(conn);
    };
    if let Some(changed) = state.objects.watch(&path, seen) {
        let wait = async {
            let _ = changed.recv().await;
        };
        let wait = wait.or(Boottime.sleep(limit)).or(wait_for_outage(state));
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
    let (Some(path), Some(expected)) = (path_param(&conn), revision_param(&conn, "expected"))
    else {
        return bad_request(conn);
    };
    let body = conn.request_body().await.with_max_len(MAX_BODY_BYTES);
    let value = match body.read_bytes().await {
        Ok(value) if value.len() <= MAX_VALUE_BYTES => value,
        Ok(_) | Err(trillium::Error::ReceivedBodyTooLong(_)) => {
            return conn.with_status(Status::PayloadTooLarge).halt();
        }
        Err(_) => return bad_request(conn),
    };
    let outcome = state.objects.write(&path, expected, value);
    respond_to_change(state, conn, outcome).await
}

async fn remove(state: &State, conn: Conn) -> Conn {
    let (Some(path), Some(Some(expected))) = (path_param(&conn), revision_param(&conn, "expected"))
    else {
        return bad_request(conn);
    };
    let outcome = state.objects.remove(&path, expected);
    respond_to_change(state, conn, outcome).await
}

/// Responds to a write or removal, unless the response is to be withheld.
async fn respond_to_change(state: &State, mut conn: Conn, outcome: Outcome) -> Conn {
    if state.faults.take_dropped_response() {
        // Waits until the client disconnects or an outage begins, as it does at a stop.
        conn.cancel_on_disconnect(wait_for_outage(state)).await;
        return conn.with_status(Status::GatewayTimeout).halt();
    }
    match outcome {
        Outcome::Written(revision) => encode_response(conn, &revision),
        Outcome::Conflict => conn.with_status(Status::Conflict).halt(),
    }
}

fn list(state: &State, conn: Conn) -> Conn {
    match conn.path() {
        "/servers" => encode_response(conn, &state.servers.get()),
        "/instances" => encode_response(conn, &state.instances.get()),
        _ => match path_param(&conn) {
            Some(prefix) => encode_response(conn, &state.objects.list(&prefix)),
            None => bad_request(conn),
        },
    }
}

fn encode_response<T>(conn: Conn, value: &T) -> Conn
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

fn path_param(conn: &Conn) -> Option<String> {
    query::unescape(query::value(conn.querystring(), "path")?)
}

fn revision_param(conn: &Conn, name: &str) -> Option<Option<Revision>> {
    query::parse_revision(query::value(conn.querystring(), name)?)
}

fn limit_param(conn: &Conn) -> Option<Duration> {
    let millis = query::value(conn.querystring(), "limit-ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
