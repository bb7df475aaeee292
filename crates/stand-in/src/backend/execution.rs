//! Executes a request: queueing, service time, deadline and injected faults.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock, Instant};
use smol::future::FutureExt;

use super::incarnation::Incarnation;
use super::request::Request;
use super::response::{echo, Framing, Response};
use super::state::State;
use super::Fault;

/// The execution of a request.
pub(super) struct Execution<'a> {
    state: &'a State,
    incarnation: Arc<Incarnation>,
    request: &'a Request,
    received_at: Instant,
}

impl<'a> Execution<'a> {
    pub(super) fn new(state: &'a State, request: &'a Request) -> Self {
        Self {
            state,
            incarnation: state.incarnation(),
            request,
            received_at: Boottime.now(),
        }
    }

    /// Runs the request and returns its response, or `None` if it gets none.
    pub(super) async fn run(&self) -> Option<Response> {
        let settings = self.state.settings();
        self.state.update_counts(|counts| {
            counts.requests += 1;
            counts.after_leaving += u64::from(settings.leaving);
        });
        if self.request.contains(&self.state.config.crash_marker) {
            self.state.record_execution(self.key());
            self.state.crash();
            return pending().await;
        }
        let fault = self.state.next_fault(&self.request.target);
        if settings.shedding || fault == Some(Fault::Shed) {
            self.state.update_counts(|counts| counts.shed += 1);
            let response = Response::new(503, b"shed\n".to_vec());
            return Some(self.with_metadata(response.with("Chivewheel-Shed", "1")));
        }
        let executed = self.execute(fault).or(self.deadline()).await;
        match executed {
            Ok(in_flight) => self.apply_fault(fault, in_flight).await,
            Err(response) => Some(self.with_metadata(response)),
        }
    }

    /// Waits for a slot and executes the request. Returns how many requests were in flight when it
    /// arrived.
    async fn execute(&self, fault: Option<Fault>) -> Result<usize, Response> {
        let _guard = self.incarnation.track_request();
        let in_flight = self.incarnation.in_flight();
        self.record_overload(in_flight);
        let _slot = self.incarnation.slots().acquire().await;
        self.state.record_execution(self.key());
        let extra_time = match fault {
            Some(Fault::Slow(delay)) => delay,
            _ => Duration::ZERO,
        };
        Boottime.sleep(self.service_time() + extra_time).await;
        self.incarnation.record_response();
        Ok(in_flight)
    }

    fn record_overload(&self, in_flight: usize) {
        let over_slots = in_flight > self.state.config.slots;
        let over_cold = in_flight > 1 && self.incarnation.is_cold();
        self.state.update_counts(|counts| {
            counts.over_slots += u64::from(over_slots);
            counts.over_cold += u64::from(over_cold);
            counts.most_in_flight = counts.most_in_flight.max(in_flight as u64);
        });
    }

    /// Returns the service time, which grows with the length of the queue.
    fn service_time(&self) -> Duration {
        let slots = self.state.config.slots.max(1);
        let queued = self.incarnation.in_flight().saturating_sub(slots);
        let queue_factor = 1.0 + queued as f64 / slots as f64;
        let factor = queue_factor * self.incarnation.cold_factor() * self.state.settings().slowdown;
        self.state.config.service_time.mul_f64(factor)
    }

    /// Ends the request at its deadline, if it has one.
    async fn deadline(&self) -> Result<usize, Response> {
        let header = self.request.header("Chivewheel-Deadline-Ms");
        let Some(millis) = header.and_then(|text| text.parse().ok()) else {
            return pending().await;
        };
        let deadline = self.received_at + Duration::from_millis(millis);
        Boottime.sleep_until(deadline).await;
        self.state.update_counts(|counts| counts.late += 1);
        Err(Response::new(504, b"late\n".to_vec()))
    }

    /// Returns the response with `fault` applied.
    async fn apply_fault(&self, fault: Option<Fault>, in_flight: usize) -> Option<Response> {
        let mut response = self.with_metadata(Response::new(200, self.echo()));
        match fault {
            None | Some(Fault::Shed | Fault::Slow(_)) => {}
            Some(Fault::Error) => response.status = 500,
            Some(Fault::ErrorOver(limit)) if in_flight <= limit => {}
            Some(Fault::ErrorOver(_)) => response.status = 500,
            Some(Fault::Delayed(delay)) => Boottime.sleep(delay).await,
            Some(Fault::Mismatched) => response = self.mismatched_response(),
            Some(Fault::NoResponse) => return pending().await,
            Some(Fault::ShortBody) => response.framing = Framing::Truncated,
            Some(Fault::BrokenChunk) => response.framing = Framing::InvalidChunk,
            Some(Fault::LongBody) => response.framing = Framing::TrailingBytes,
            Some(Fault::Reset) => response.framing = Framing::Reset,
        }
        let close = matches!(
            response.framing,
            Framing::Truncated | Framing::InvalidChunk | Framing::Reset
        );
        response.close |= close;
        Some(response)
    }

    /// Returns the response to a request that was never sent.
    fn mismatched_response(&self) -> Response {
        let body = echo("GET", "/crossed", None, b"");
        let mut response = self.with_metadata(Response::new(200, body));
        for (name, value) in &mut response.headers {
            if *name == "Chivewheel-Attempt-Id" {
                *value = "crossed".to_owned();
            }
        }
        response
    }

    /// Adds the headers of every response and, while draining, closes the connection.
    fn with_metadata(&self, response: Response) -> Response {
        let mut response = response
            .with("Chivewheel-Start", self.incarnation.id())
            .with("X-Version", &self.state.config.version);
        if let Some(id) = self.request.header("Chivewheel-Attempt-Id") {
            response = response.with("Chivewheel-Attempt-Id", id);
        }
        if self.state.settings().leaving {
            response = response.with("Chivewheel-Leaving", "1");
            response.close = true;
        }
        response
    }

    fn echo(&self) -> Vec<u8> {
        let request = self.request;
        echo(&request.method, &request.target, self.key(), &request.body)
    }

    fn key(&self) -> Option<&str> {
        self.request.header("Idempotency-Key")
    }
}
