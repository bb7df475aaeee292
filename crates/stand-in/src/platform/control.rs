//! The HTTP control API, for tests that run the stand-in as a process.
//!
//! | request | effect |
//! |---|---|
//! | `POST /control/outage?mode=M&ms=N` | an outage of N ms; M: `refuse`, `unavailable`, `hang` |
//! | `POST /control/delay?ms=N` | delays every response by N ms |
//! | `POST /control/rates?reads=R&writes=W` | limits reads and writes per second; 0 for no limit |
//! | `POST /control/lose?writes=N` | withholds the responses to the next N writes |
//! | `POST /control/lag?ms=N` | later changes to the lists become visible after N ms |
//! | `PUT /control/servers`, `PUT /control/instances` | replaces a list by the JSON body |
//! | `GET /control/counts` | the counts as JSON |

use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use platform::query;
use serde::de::DeserializeOwned;
use trillium::{Conn, Method, Status};

use super::{Outage, State};

/// Maximum length of a list as JSON.
const MAX_LIST_BYTES: u64 = 16_000_000;

/// Handles a control request.
pub(super) async fn respond(state: &Arc<State>, mut conn: Conn) -> Conn {
    let result = match (conn.method(), conn.path()) {
        (Method::Get, "/control/counts") => return counts(state, conn),
        (Method::Post, "/control/outage") => begin_outage(state, &conn),
        (Method::Post, "/control/delay") => set_delay(state, &conn),
        (Method::Post, "/control/rates") => set_rate_limits(state, &conn),
        (Method::Post, "/control/lose") => drop_responses(state, &conn),
        (Method::Post, "/control/lag") => set_lag(state, &conn),
        (Method::Put, "/control/servers") => set_servers(state, &mut conn).await,
        (Method::Put, "/control/instances") => set_instances(state, &mut conn).await,
        _ => return conn.with_status(Status::NotFound).halt(),
    };
    match result {
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

fn begin_outage(state: &Arc<State>, conn: &Conn) -> Option<()> {
    let mode = Outage::parse(query::value(conn.querystring(), "mode")?)?;
    let duration = parse_ms(conn)?;
    let state = Arc::clone(state);
    trillium_smol::spawn(async move { run_outage(&state, mode, duration).await });
    Some(())
}

async fn run_outage(state: &Arc<State>, mode: Outage, duration: Duration) {
    // If the outage cannot begin or end, the caller's next request shows it.
    let _ = state.set_outage(Some(mode)).await;
    Boottime.sleep(duration).await;
    let _ = state.set_outage(None).await;
}

fn set_delay(state: &State, conn: &Conn) -> Option<()> {
    state.faults.set_delay(parse_ms(conn)?);
    Some(())
}

fn set_rate_limits(state: &State, conn: &Conn) -> Option<()> {
    let reads = query::value(conn.querystring(), "reads")?.parse().ok()?;
    let writes = query::value(conn.querystring(), "writes")?.parse().ok()?;
    state.reads.set_rate(reads);
    state.writes.set_rate(writes);
    Some(())
}

fn drop_responses(state: &State, conn: &Conn) -> Option<()> {
    let writes = query::value(conn.querystring(), "writes")?.parse().ok()?;
    state.faults.drop_responses(writes);
    Some(())
}

fn set_lag(state: &State, conn: &Conn) -> Option<()> {
    let lag = parse_ms(conn)?;
    state.servers.set_lag(lag);
    state.instances.set_lag(lag);
    Some(())
}

async fn set_servers(state: &State, conn: &mut Conn) -> Option<()> {
    state.servers.set(read_json(conn).await?);
    Some(())
}

async fn set_instances(state: &State, conn: &mut Conn) -> Option<()> {
    state.instances.set(read_json(conn).await?);
    Some(())
}

fn parse_ms(conn: &Conn) -> Option<Duration> {
    let millis = query::value(conn.querystring(), "ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

async fn read_json<T>(conn: &mut Conn) -> Option<T>
where
    T: DeserializeOwned,
{
    let body = conn.request_body().await.with_max_len(MAX_LIST_BYTES);
    let bytes = body.read_bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}
