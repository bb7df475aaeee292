//! The execution of one request.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use clock::{Boottime, Clock, Instant};
use smol::future::FutureExt;

use super::life::Life;
use super::request::Request;
use super::response::{echo, Response, Shape};
use super::state::State;
use super::Fault;

/// The execution of one request.
pub(super) struct Work<'a> {
    state: &'a State,
    life: Arc<Life>,
    request: &'a Request,
    arrived: Instant,
}

impl<'a> Work<'a> {
    pub(super) fn new(state: &'a State, request: &'a Request) -> Self {
        Self {
            state,
            life: state.life(),
            request,
            arrived: Boottime.now(),
        }
    }

    /// Runs the request and returns its answer, or `None` where it gets none.
    pub(super) async fn run(&self) -> Option<Response> {
        let settings = self.state.settings();
        self.state.count(|counts| {
            counts.requests += 1;
            counts.after_leaving += u64::from(settings.leaving);
        });
        if self.request.contains(&self.state.config.crash_marker) {
            self.state.add_execution(self.key());
            self.state.crash();
            return pending().await;
        }
        let fault = self.state.next_fault(&self.request.target);
        if settings.shedding || fault == Some(Fault::Shed) {
            self.state.count(|counts| counts.shed += 1);
            let response = Response::new(503, b"shed\n".to_vec());
            return Some(self.mark(response.with("Chivewheel-Shed", "1")));
        }
        let executed = self.execute(fault).or(self.deadline()).await;
        match executed {
            Ok(at_hand) => self.spoil(fault, at_hand).await,
            Err(response) => Some(self.mark(response)),
        }
    }

    /// Waits for a slot and works. Returns how many requests were at hand.
    async fn execute(&self, fault: Option<Fault>) -> Result<usize, Response> {
        let _guard = self.life.enter();
        let at_hand = self.life.in_flight();
        self.count_overload(at_hand);
        let _slot = self.life.slots().acquire().await;
        self.state.add_execution(self.key());
        let added = match fault {
            Some(Fault::Slow(delay)) => delay,
            _ => Duration::ZERO,
        };
        Boottime.sleep(self.service_time() + added).await;
        self.life.add_answered();
        Ok(at_hand)
    }

    fn count_overload(&self, at_hand: usize) {
        let over_slots = at_hand > self.state.config.slots;
        let over_cold = at_hand > 1 && self.life.is_cold();
        self.state.count(|counts| {
            counts.over_slots += u64::from(over_slots);
            counts.over_cold += u64::from(over_cold);
            counts.most_in_flight = counts.most_in_flight.max(at_hand as u64);
        });
    }

    /// Returns how long the request takes: longer where others queue.
    fn service_time(&self) -> Duration {
        let slots = self.state.config.slots.max(1);
        let queued = self.life.in_flight().saturating_sub(slots);
        let queue_factor = 1.0 + queued as f64 / slots as f64;
        let factor = queue_factor * self.life.cold_factor() * self.state.settings().slow;
        self.state.config.service_time.mul_f64(factor)
    }

    /// Ends the request at its deadline, if it has one.
    async fn deadline(&self) -> Result<usize, Response> {
        let header = self.request.header("Chivewheel-Deadline-Ms");
        let Some(millis) = header.and_then(|text| text.parse().ok()) else {
            return pending().await;
        };
        let deadline = self.arrived + Duration::from_millis(millis);
        Boottime.sleep_until(deadline).await;
        self.state.count(|counts| counts.late += 1);
        Err(Response::new(504, b"late\n".to_vec()))
    }

    /// Returns the answer as `fault` makes it.
    async fn spoil(&self, fault: Option<Fault>, at_hand: usize) -> Option<Response> {
        let mut response = self.mark(Response::new(200, self.echo()));
        match fault {
            None | Some(Fault::Shed | Fault::Slow(_)) => {}
            Some(Fault::Error) => response.status = 500,
            Some(Fault::ErrorOver(most)) if at_hand <= most => {}
            Some(Fault::ErrorOver(_)) => response.status = 500,
            Some(Fault::Delayed(delay)) => Boottime.sleep(delay).await,
            Some(Fault::Mismatched) => response = self.crossed(),
            Some(Fault::NoResponse) => return pending().await,
            Some(Fault::ShortBody) => response.shape = Shape::Short,
            Some(Fault::BrokenChunk) => response.shape = Shape::BrokenChunk,
            Some(Fault::LongBody) => response.shape = Shape::Long,
            Some(Fault::Reset) => response.shape = Shape::Reset,
        }
        let ends = matches!(
            response.shape,
            Shape::Short | Shape::BrokenChunk | Shape::Reset
        );
        response.close |= ends;
        Some(response)
    }

    /// Returns the answer to a request that was never made.
    fn crossed(&self) -> Response {
        let body = echo("GET", "/crossed", None, b"");
        let mut response = self.mark(Response::new(200, body));
        for (name, value) in &mut response.headers {
            if *name == "Chivewheel-Attempt-Id" {
                *value = "crossed".to_owned();
            }
        }
        response
    }

    /// Adds what every answer carries.
    fn mark(&self, response: Response) -> Response {
        let mut response = response
            .with("Chivewheel-Start", self.life.id())
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
