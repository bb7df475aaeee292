//! Parses a caller's request into a call: its service, route, key and deadline.

use std::borrow::Cow;
use std::time::Duration;

use clock::Instant;
use contract::{id, Bundle};
use policy::quarantine::Fingerprint;

use super::refusal::Refusal;
use crate::server::Request;
use crate::telemetry::{Parent, Span, Stopwatch};

/// The header with the time that the caller has left, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "Chivewheel-Deadline-Ms";

/// The header with the number of the caller's attempt, counted from 1.
const ATTEMPT_HEADER: &str = "Chivewheel-Attempt";

/// The header with the key that identifies repeats of one call.
const KEY_HEADER: &str = "Idempotency-Key";

/// The longest accepted key.
const MAX_KEY_BYTES: usize = 256;

/// A caller's call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The service.
    pub(crate) service: id::Service,
    /// The route.
    pub(crate) route: id::Route,
    /// Whether the call may run more than once without harm.
    pub(crate) idempotent: bool,
    /// Whether calls that cannot wait may overtake this one in the queue.
    pub(crate) can_wait: bool,
    /// The longest time that an attempt may take.
    pub(crate) time_limit: Duration,
    /// The deadline for the answer.
    pub(crate) deadline: Instant,
    /// The caller's key.
    pub(crate) key: Option<String>,
    /// The number of the caller's attempt, if the caller sent it.
    pub(crate) attempt: Option<u32>,
    /// Identifies the request, so a resend is recognised.
    pub(crate) fingerprint: Fingerprint,
    /// The parent of the call's next spans.
    pub(crate) trace: Parent,
    /// The time spent in the call's attempts.
    pub(crate) attempts: Stopwatch,
}

impl Call {
    /// Parses `request`, received at `now`, and matches it to a service and a route.
    ///
    /// # Errors
    ///
    /// The reason for which the call is refused. It has not run.
    pub(crate) fn parse(request: &Request, bundle: &Bundle, now: Instant) -> Result<Self, Refusal> {
        let host = request.header("host").unwrap_or_default();
        let service = bundle
            .service(host)
            .ok_or_else(|| Refusal::NoService(host.to_owned()))?;
        let (method, path) = (request.method, request.path());
        let route = service
            .route(method, path)
            .ok_or_else(|| Refusal::NoRoute(format!("{method} {path}")))?;
        let idempotent = route.is_idempotent(method);
        let key = key(request)?;
        if !idempotent && key.is_none() {
            return Err(Refusal::NoKey);
        }
        let left = number(request, DEADLINE_HEADER)?.map(Duration::from_millis);
        let time = left.map_or(route.time_limit, |left| left.min(route.time_limit));
        let attempt = number(request, ATTEMPT_HEADER)?;
        Ok(Self {
            service: service.name.clone(),
            route: route.name.clone(),
            idempotent,
            can_wait: route.can_wait,
            time_limit: route.time_limit,
            deadline: now + time,
            fingerprint: fingerprint(request, &service.name, key.as_deref()),
            attempt: attempt.and_then(|n| u32::try_from(n).ok()),
            key,
            trace: Parent::default(),
            attempts: Stopwatch::default(),
        })
    }

    /// Returns the call with `span` as the parent of its next spans.
    pub(crate) fn with_parent(&self, span: &Span) -> Cow<'_, Self> {
        if !span.is_recorded() {
            return Cow::Borrowed(self);
        }
        let trace = span.parent().clone();
        Cow::Owned(Self {
            trace,
            ..self.clone()
        })
    }
}

fn key(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(key) = request.header(KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::Header(KEY_HEADER));
    }
    Ok(Some(key.to_owned()))
}

fn number(request: &Request, name: &'static str) -> Result<Option<u64>, Refusal> {
    let text = request.header(name);
    text.map(|text| text.parse().map_err(|_| Refusal::Header(name)))
        .transpose()
}

fn fingerprint(request: &Request, service: &id::Service, key: Option<&str>) -> Fingerprint {
    let service = service.as_str().as_bytes();
    match key {
        Some(key) => Fingerprint::digest(&[service, key.as_bytes()]),
        None => {
            let target = request.target.as_bytes();
            Fingerprint::digest(&[service, request.method.as_bytes(), target, &request.body])
        }
    }
}
