//! The control API over HTTP, for tests that run the stand-in as a process.
//!
//! | request | effect |
//! |---|---|
//! | `POST /control/outage?mode=refuse&ms=N` | an outage of N ms; modes: `refuse`, `unavailable`, `hang` |
//! | `POST /control/delay?ms=N` | delays every answer by N ms |
//! | `POST /control/rates?reads=R&writes=W` | takes R reads and W writes a second; 0 for no limit |
//! | `POST /control/lose?writes=N` | keeps back the answers of the next N writes |
//! | `POST /control/lag?ms=N` | later changes of the lists stay unseen for N ms |
//! | `PUT /control/servers`, `PUT /control/instances` | sets a list, given as JSON |
//! | `GET /control/counts` | the counts, as JSON |

use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use platform::query;
use serde::de::DeserializeOwned;
use trillium::{Conn, Method, Status};

use super::{Outage, State};

/// The longest list that is taken, in bytes.
const LIST_LIMIT: u64 = 16_000_000;

/// Carries out a control request.
pub(super) async fn answer(state: &Arc<State>, mut conn: Conn) -> Conn {
    let done = match (conn.method(), conn.path()) {
        (Method::Get, "/control/counts") => return counts(state, conn),
        (Method::Post, "/control/outage") => outage(state, &conn),
        (Method::Post, "/control/delay") => delay(state, &conn),
        (Method::Post, "/control/rates") => rates(state, &conn),
        (Method::Post, "/control/lose") => lose(state, &conn),
        (Method::Post, "/control/lag") => lag(state, &conn),
        (Method::Put, "/control/servers") => servers(state, &mut conn).await,
        (Method::Put, "/control/instances") => instances(state, &mut conn).await,
        _ => return conn.with_status(Status::NotFound).halt(),
    };
    match done {
        Some(()) => conn.ok("done\n"),
        None => conn.with_status(Status::BadRequest).halt(),
    }
}

fn counts(state: &State, conn: Conn) -> Conn {
    match serde_json::to_vec(&state.faults.counts()) {
        Ok(body) => conn.ok(body),
        Err(_) => conn.with_status(Status::InternalServerError).halt(),
    }
}

fn outage(state: &Arc<State>, conn: &Conn) -> Option<()> {
    let mode = Outage::parse(query::value(conn.querystring(), "mode")?)?;
    let length = millis(conn)?;
    let state = Arc::clone(state);
    trillium_smol::spawn(async move { run_outage(&state, mode, length).await });
    Some(())
}

async fn run_outage(state: &Arc<State>, mode: Outage, length: Duration) {
    // An outage that cannot begin or end is seen by the caller's next request.
    let _ = state.set_outage(Some(mode)).await;
    Boottime.sleep(length).await;
    let _ = state.set_outage(None).await;
}

fn delay(state: &State, conn: &Conn) -> Option<()> {
    state.faults.set_delay(millis(conn)?);
    Some(())
}

fn rates(state: &State, conn: &Conn) -> Option<()> {
    let reads = query::value(conn.querystring(), "reads")?.parse().ok()?;
    let writes = query::value(conn.querystring(), "writes")?.parse().ok()?;
    state.reads.set_rate(reads);
    state.writes.set_rate(writes);
    Some(())
}

fn lose(state: &State, conn: &Conn) -> Option<()> {
    let writes = query::value(conn.querystring(), "writes")?.parse().ok()?;
    state.faults.drop_responses(writes);
    Some(())
}

fn lag(state: &State, conn: &Conn) -> Option<()> {
    let lag = millis(conn)?;
    state.servers.set_lag(lag);
    state.instances.set_lag(lag);
    Some(())
}

async fn servers(state: &State, conn: &mut Conn) -> Option<()> {
    state.servers.set(json(conn).await?);
    Some(())
}

async fn instances(state: &State, conn: &mut Conn) -> Option<()> {
    state.instances.set(json(conn).await?);
    Some(())
}

fn millis(conn: &Conn) -> Option<Duration> {
    let millis = query::value(conn.querystring(), "ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

async fn json<T>(conn: &mut Conn) -> Option<T>
where
    T: DeserializeOwned,
{
    let body = conn.request_body().await.with_max_len(LIST_LIMIT);
    let bytes = body.read_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
