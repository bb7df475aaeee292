//! Health, load and the control API of a backend stand-in.
//!
//! | request | response or effect |
//! |---|---|
//! | `GET /health` | 200 or 503: the actual health or the override |
//! | `GET /load` | the delayed load report as JSON |
//! | `GET /control/counts` | the counts as JSON |
//! | `GET /control/executions` | executions by idempotency key as JSON |
//! | `GET /control/executions?key=K` | number of executions with key K |
//! | `POST /control/slow?factor=F` | multiplies the service time by F |
//! | `POST /control/leaving?on=B` | begins or ends a drain |
//! | `POST /control/shedding?on=B` | begins or ends shedding |
//! | `POST /control/health?ok=B` | overrides the health; without `ok`, removes the override |
//! | `POST /control/crash` | crashes the server |
//! | `POST /control/chill` | restarts the server cold and keeps its connections |
//! | `POST /control/fault?path=P&share=S&kind=K&ms=N&over=R` | adds a rule; K: [`Fault::parse`] |
//! | `POST /control/clear` | removes all rules |

use std::time::Duration;

use clock::{Boottime, Clock};
use platform::query;
use serde::Serialize;

use super::request::Request;
use super::response::Response;
use super::state::State;
use super::{Fault, Rule};

/// Largest factor or share accepted.
const MAX_FACTOR: f64 = 10_000.0;

/// Returns the response to a request for health, load or control, or `None` for any other
/// request.
pub(super) async fn respond(state: &State, request: &Request) -> Option<Response> {
    match request.path() {
        "/health" => Some(probe(state, health).await),
        "/load" => Some(probe(state, load).await),
        "/control/counts" => Some(json(&state.counts())),
        "/control/executions" => Some(executions(state, request)),
        path => {
            let action = path.strip_prefix("/control/")?;
            Some(match apply(state, action, request.query()) {
                Some(()) => Response::new(200, b"done\n".to_vec()),
                None => Response::new(400, b"bad request\n".to_vec()),
            })
        }
    }
}

/// Responds to a probe of health or load. The probe occupies a slot if it takes any time.
async fn probe(state: &State, build: fn(&State) -> Response) -> Response {
    state.update_counts(|counts| counts.probes += 1);
    let response = build(state);
    let time = state.config.probe_time;
    if !time.is_zero() {
        let incarnation = state.incarnation();
        let _guard = incarnation.track_request();
        let _slot = incarnation.slots().acquire().await;
        Boottime.sleep(time).await;
    }
    response
}

fn health(state: &State) -> Response {
    let settings = state.settings();
    let actual = !settings.leaving && !settings.shedding;
    match settings.health.unwrap_or(actual) {
        true => Response::new(200, b"live\n".to_vec()),
        false => Response::new(503, b"not live\n".to_vec()),
    }
}

fn load(state: &State) -> Response {
    json(&state.report())
}

fn executions(state: &State, request: &Request) -> Response {
    let key = query::value(request.query(), "key").and_then(query::unescape);
    match key {
        Some(key) => json(&state.executions(&key)),
        None => json(&state.executions_by_key()),
    }
}

fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(200, body),
        Err(_) => Response::new(500, Vec::new()),
    }
}

fn apply(state: &State, action: &str, query: &str) -> Option<()> {
    match action {
        "slow" => {
            let factor = parse_number(query, "factor")?;
            state.update_settings(|settings| settings.slowdown = factor);
        }
        "leaving" => {
            let on = parse_flag(query, "on")?;
            state.update_settings(|settings| settings.leaving = on);
        }
        "shedding" => {
            let on = parse_flag(query, "on")?;
            state.update_settings(|settings| settings.shedding = on);
        }
        "health" => {
            let ok = parse_flag(query, "ok");
            state.update_settings(|settings| settings.health = ok);
        }
        "crash" => state.crash(),
        "chill" => state.restart_cold(),
        "fault" => state.add_rule(parse_rule(query)?),
        "clear" => state.set_rules(Vec::new()),
        _ => return None,
    }
    Some(())
}

fn parse_rule(query: &str) -> Option<Rule> {
    let path_prefix = query::unescape(query::value(query, "path")?)?;
    let share = parse_number(query, "share").unwrap_or(1.0);
    let millis = query::value(query, "ms").and_then(|text| text.parse().ok());
    let delay = Duration::from_millis(millis.unwrap_or(0));
    let over = query::value(query, "over").and_then(|text| text.parse().ok());
    let kind = query::value(query, "kind")?;
    let fault = Fault::parse(kind, delay, over.unwrap_or(0))?;
    Some(Rule {
        path_prefix,
        share,
        fault,
    })
}

/// Returns a factor or share from 0 to [`MAX_FACTOR`].
fn parse_number(query: &str, name: &str) -> Option<f64> {
    let number: f64 = query::value(query, name)?.parse().ok()?;
    (0.0..=MAX_FACTOR).contains(&number).then_some(number)
}

fn parse_flag(query: &str, name: &str) -> Option<bool> {
    query::value(query, name)?.parse().ok()
}
