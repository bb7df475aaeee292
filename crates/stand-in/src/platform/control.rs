//! The control API over HTTP, for tests that run the stand-in as a process.
//!
//! | request | effect |
//! |---|---|
//! | `POST /control/outage?mode=refuse&ms=N` | an outage of N ms; modes: `refuse`, `unavailable`, `hang` |
//! | `POST /control/delay?ms=N` | delays every answer by N ms |
//! | `POST /control/lose?writes=N` | keeps back the answers of the next N writes |
//! | `POST /control/lag?ms=N` | later changes of the lists stay unseen for N ms |
//! | `PUT /control/servers`, `PUT /control/instances` | sets a list, given as JSON |
//! | `GET /control/counts` | the counts, as JSON |

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock};
use parking_lot::Mutex;
use platform::query;
use serde::de::DeserializeOwned;
use trillium::{Conn, Method, Status};

use super::server::Running;
use super::{serve, Outage, State};

/// How long to wait before the address is bound again after a failure.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// The longest list that is taken, in bytes.
const LIST_LIMIT: u64 = 16_000_000;

/// What a control request acts on.
#[derive(Clone)]
pub(super) struct Control {
    pub(super) address: SocketAddr,
    pub(super) state: Arc<State>,
    pub(super) running: Arc<Mutex<Option<Running>>>,
}

impl Control {
    /// Carries out a control request.
    pub(super) async fn answer(&self, mut conn: Conn) -> Conn {
        let done = match (conn.method(), conn.path()) {
            (Method::Get, "/control/counts") => return self.counts(conn),
            (Method::Post, "/control/outage") => self.outage(&conn),
            (Method::Post, "/control/delay") => self.delay(&conn),
            (Method::Post, "/control/lose") => self.lose(&conn),
            (Method::Post, "/control/lag") => self.lag(&conn),
            (Method::Put, "/control/servers") => self.servers(&mut conn).await,
            (Method::Put, "/control/instances") => self.instances(&mut conn).await,
            _ => return conn.with_status(Status::NotFound).halt(),
        };
        match done {
            Some(()) => conn.ok("done\n"),
            None => conn.with_status(Status::BadRequest).halt(),
        }
    }

    fn counts(&self, conn: Conn) -> Conn {
        match serde_json::to_vec(&self.state.faults.counts()) {
            Ok(body) => conn.ok(body),
            Err(_) => conn.with_status(Status::InternalServerError).halt(),
        }
    }

    fn outage(&self, conn: &Conn) -> Option<()> {
        let mode = Outage::parse(query::value(conn.querystring(), "mode")?)?;
        let length = millis(conn)?;
        let control = self.clone();
        trillium_smol::spawn(async move { control.run_outage(mode, length).await });
        Some(())
    }

    async fn run_outage(&self, mode: Outage, length: Duration) {
        self.state.faults.set_outage(Some(mode));
        if mode == Outage::Refuse {
            let running = self.running.lock().take();
            if let Some(running) = running {
                running.stop().await;
            }
        }
        Boottime.sleep(length).await;
        if mode == Outage::Refuse {
            self.restart().await;
        }
        self.state.faults.set_outage(None);
    }

    /// Serves again, as soon as the address can be bound.
    async fn restart(&self) {
        loop {
            let bound = TcpListener::bind(self.address);
            let server = bound.and_then(|l| serve::spawn(l, &self.state, &self.running));
            if let Ok(server) = server {
                *self.running.lock() = Some(server);
                return;
            }
            Boottime.sleep(BIND_INTERVAL).await;
        }
    }

    fn delay(&self, conn: &Conn) -> Option<()> {
        self.state.faults.set_delay(millis(conn)?);
        Some(())
    }

    fn lose(&self, conn: &Conn) -> Option<()> {
        let writes = query::value(conn.querystring(), "writes")?.parse().ok()?;
        self.state.faults.lose_answers(writes);
        Some(())
    }

    fn lag(&self, conn: &Conn) -> Option<()> {
        let lag = millis(conn)?;
        self.state.servers.set_lag(lag);
        self.state.instances.set_lag(lag);
        Some(())
    }

    async fn servers(&self, conn: &mut Conn) -> Option<()> {
        self.state.servers.set(json(conn).await?);
        Some(())
    }

    async fn instances(&self, conn: &mut Conn) -> Option<()> {
        self.state.instances.set(json(conn).await?);
        Some(())
    }
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
