//! Orders of attempts: what servers do with a request one after another, and what its caller is told.
//!
//! Each request has its own script: what the first server that receives it does, what the second one
//! does, and so on, whichever servers these are. The servers note which requests they ran.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::record::{Kind, Record};

use crate::cases;
use crate::script::{header_value, read_body, read_head, Action, Backend, OK};
use crate::site::{exchange, server, status, Site, GRACE, MAX_ATTEMPTS};

/// The statuses that promise the caller that its request did not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The slots of a server that has room for all requests of a case.
const MANY_SLOTS: u32 = 16;

/// The length of the requests' bodies. A server does not read all of it with the head: if it closes
/// the connection before it has read the rest, the connection is reset.
const BODY_BYTES: usize = 6000;

/// The steps that are drawn for a request. Servers that receive it after these run it.
const STEPS: usize = 4;

/// How the response of a server to a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A signed response with its whole body.
    Whole,
    /// A response with this status that states that the request did not run.
    Refused(u16),
    /// Such a response without the id of the request.
    RefusedUnnamed,
    /// Such a response, after which the server closes the connection.
    RefusedThenClosed,
    /// Such a response, of which the last part is missing.
    RefusedCut,
    /// The server is not the one that the request is for.
    Misdirected,
    /// A response with a status that means "not run", but without that statement.
    Unstated(u16),
    /// Status 500.
    Failed,
    /// A whole response without a signature.
    Unsigned,
    /// A whole, signed response without an id.
    Unnamed,
    /// A signed response with another id, and no other.
    Foreign,
    /// A response of which the last part is missing.
    Cut,
    /// The connection is closed without a response.
    Closed,
    /// The connection is reset without a response: the server has not read the body.
    Reset,
    /// No response, and the connection stays open.
    Silent,
}

/// The responses of a server that does not run a request, of which another server is to get it.
const REFUSALS: [End; 6] = [
    End::Refused(503),
    End::Refused(503),
    End::Refused(429),
    End::RefusedUnnamed,
    End::RefusedThenClosed,
    End::Misdirected,
];

/// The others.
const ENDS: [End; 15] = [
    End::Whole,
    End::Whole,
    End::RefusedCut,
    End::Unstated(503),
    End::Unstated(429),
    End::Unstated(408),
    End::Failed,
    End::Unsigned,
    End::Unnamed,
    End::Foreign,
    End::Cut,
    End::Closed,
    End::Closed,
    End::Reset,
    End::Silent,
];

/// What a server sends before the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Preface {
    Nothing,
    /// An interim response.
    Continue,
    /// An interim response with the headers of a refusal.
    EarlyHints,
    /// The response to an earlier request.
    EarlierResponse,
    /// The refusal of an earlier request.
    EarlierRefusal,
}

const PREFACES: [Preface; 8] = [
    Preface::Nothing,
    Preface::Nothing,
    Preface::Nothing,
    Preface::Nothing,
    Preface::Continue,
    Preface::EarlyHints,
    Preface::EarlierResponse,
    Preface::EarlierRefusal,
];

/// What one server does with a request.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// How long the server waits between the preface and the response.
    delay: Duration,
    preface: Preface,
    end: End,
}

impl Step {
    const fn at_once(end: End) -> Self {
        Self::after(0, end)
    }

    const fn after(delay_ms: u64, end: End) -> Self {
        Self {
            delay: Duration::from_millis(delay_ms),
            preface: Preface::Nothing,
            end,
        }
    }

    const fn prefaced(preface: Preface, end: End) -> Self {
        Self {
            delay: Duration::ZERO,
            preface,
            end,
        }
    }

    fn draw(u: &mut Unstructured<'_>, delays_ms: &[u64]) -> Result<Self> {
        Ok(Self {
            delay: Duration::from_millis(*u.choose(delays_ms)?),
            preface: *u.choose(&PREFACES)?,
            end: if *u.choose(&[true, false])? {
                *u.choose(&REFUSALS)?
            } else {
                *u.choose(&ENDS)?
            },
        })
    }

    /// Returns whether the server runs the request. One that does not say that it did not is taken
    /// to have run it.
    fn runs(self) -> bool {
        !matches!(
            self.end,
            End::Refused(_)
                | End::RefusedUnnamed
                | End::RefusedThenClosed
                | End::RefusedCut
                | End::Misdirected
        )
    }

    /// Performs the step for the request `id`. Returns whether the connection stays open.
    fn perform(self, stream: &mut TcpStream, id: &str, earlier: &str) -> bool {
        let preface = match self.preface {
            Preface::Nothing => String::new(),
            Preface::Continue => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
            Preface::EarlyHints => {
                format!("HTTP/1.1 103 Early Hints\r\nId: {id}\r\nUnrun: yes\r\n\r\n")
            }
            Preface::EarlierResponse => whole(earlier),
            Preface::EarlierRefusal => refusal(503, earlier),
        };
        let (response, stays_open) = match self.end {
            End::Whole => (whole(id), true),
            End::Refused(status) => (refusal(status, id), true),
            End::RefusedUnnamed => (
                "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n".to_owned(),
                true,
            ),
            End::RefusedThenClosed => (refusal(503, id), false),
            End::RefusedCut => (refusal(503, id).replace("Length: 0", "Length: 9"), false),
            End::Misdirected => (
                format!("HTTP/1.1 421 Not me\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
                true,
            ),
            End::Unstated(status) => (
                format!("HTTP/1.1 {status} Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"),
                true,
            ),
            End::Failed => (
                format!("HTTP/1.1 500 Oh\r\nId: {id}\r\nContent-Length: 4\r\n\r\noops"),
                true,
            ),
            End::Unsigned => (
                format!("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 8\r\n\r\nunsigned"),
                true,
            ),
            End::Unnamed => (whole(id).replace(&format!("Id: {id}\r\n"), ""), true),
            End::Foreign => (whole(&format!("{id}-other")), true),
            End::Cut => (
                format!(
                    "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: 9\r\n\r\ncut"
                ),
                false,
            ),
            End::Closed | End::Reset => (String::new(), false),
            End::Silent => (String::new(), true),
        };
        if stream.write_all(preface.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(self.delay);
        stream.write_all(response.as_bytes()).is_ok() && stays_open
    }
}

/// Returns the complete response to the request `id`.
fn whole(id: &str) -> String {
    let body = whole_body(id);
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn whole_body(id: &str) -> String {
    format!("levels for {id}")
}

fn refusal(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} Busy\r\nId: {id}\r\nUnrun: yes\r\nContent-Length: 0\r\n\r\n")
}

/// A request that arrived at a server.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    server: SocketAddr,
    step: Step,
}

/// The scripts of the requests, and what the servers did.
#[derive(Debug, Default)]
struct Ledger {
    scripts: HashMap<String, Vec<Step>>,
    arrivals: Vec<Arrival>,
}

impl Ledger {
    /// Notes that the request `id` arrived at `server`. Returns what the server does with it, and
    /// the id of an earlier request.
    fn arrive(&mut self, id: &str, server: SocketAddr) -> (Step, String) {
        let steps = self.scripts.get(id).map_or(&[][..], Vec::as_slice);
        let number = self.arrivals.iter().filter(|a| a.id == id).count();
        let step = *steps.get(number).unwrap_or(&Step::at_once(End::Whole));
        let mut others = self.arrivals.iter().rev().filter(|a| a.id != id);
        let earlier = others.find(|a| a.server == server);
        let earlier = earlier.map_or_else(|| "earlier".to_owned(), |a| a.id.clone());
        self.arrivals.push(Arrival {
            id: id.to_owned(),
            server,
            step,
        });
        (step, earlier)
    }
}

/// Starts a server that follows the scripts of `ledger`. It responds to probes immediately.
fn spawn_server(ledger: &Arc<Mutex<Ledger>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ledger = ledger.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(std::result::Result::ok) {
            let ledger = ledger.clone();
            thread::spawn(move || serve(stream, address, &ledger));
        }
    });
    address
}

fn serve(mut stream: TcpStream, address: SocketAddr, ledger: &Mutex<Ledger>) {
    const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        if head.starts_with("GET /health ") {
            if stream.write_all(HEALTHY).is_err() {
                return;
            }
            continue;
        }
        let id = header_value(&head, "id").unwrap_or_default();
        let (step, earlier) = ledger.lock().unwrap().arrive(&id, address);
        if step.end != End::Reset {
            read_body(&mut stream, &mut buffer, &head);
        }
        if !step.perform(&mut stream, &id, &earlier) {
            return;
        }
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
struct Call {
    id: String,
    idempotent: bool,
    wait_ms: u64,
    steps: Vec<Step>,
    /// How long after the start of the case it is sent.
    after: Duration,
    /// After what time the caller closes the connection, if it does not wait for the response.
    leaves_after: Option<Duration>,
}

impl Call {
    fn draw(
        u: &mut Unstructured<'_>,
        id: String,
        waits_ms: &[u64],
        delays_ms: &[u64],
    ) -> Result<Self> {
        Ok(Self {
            id,
            idempotent: *u.choose(&[false, false, true])?,
            wait_ms: *u.choose(waits_ms)?,
            after: Duration::from_millis(*u.choose(&[0, 10, 20, 60])?),
            leaves_after: u
                .choose(&[None, None, None, None, None, None, Some(30), Some(120)])?
                .map(Duration::from_millis),
            steps: (0..STEPS)
                .map(|_| Step::draw(u, delays_ms))
                .collect::<Result<_>>()?,
        })
    }

    /// Sends the request. Returns the response, which is empty if there is none.
    fn send(&self, callers: SocketAddr) -> String {
        let Self { id, wait_ms, .. } = self;
        let route = if self.idempotent { "safe" } else { "once" };
        let length = BODY_BYTES;
        // Requests with the same content would be suspected of crashing servers together.
        let text = format!(
            "POST /{route}/{id} HTTP/1.1\r\nHost: pond.example\r\nId: {id}\r\nWait: {wait_ms}\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{id:x<BODY_BYTES$}"
        );
        let Some(leaves_after) = self.leaves_after else {
            return exchange(callers, &text);
        };
        let mut stream = TcpStream::connect(callers).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        thread::sleep(leaves_after);
        drop(stream);
        // The request may go on to its deadline at a server.
        thread::sleep(Duration::from_millis(self.wait_ms).saturating_sub(leaves_after));
        String::new()
    }

    /// Checks `response` against what the servers did.
    fn check(&self, response: &str, arrivals: &[Arrival]) {
        let of_call: Vec<&Arrival> = arrivals.iter().filter(|a| a.id == self.id).collect();
        let runs = of_call.iter().filter(|a| a.step.runs()).count();
        let context = || format!("{self:?}\narrivals: {of_call:?}\nresponse: {response:?}");
        let max_runs = if self.idempotent { MAX_ATTEMPTS } else { 1 };
        assert!(
            runs <= usize::try_from(max_runs).unwrap(),
            "ran {runs} times: {}",
            context()
        );
        if response.is_empty() {
            // A connection that is closed promises nothing.
            return;
        }
        let status = status(response);
        if NOT_RUN_STATUSES.contains(&status) {
            assert_eq!(runs, 0, "ran, but was refused: {}", context());
        }
        if (200..300).contains(&status) {
            let is_answered = of_call.iter().any(|a| a.step.end == End::Whole);
            let body = response.split_once("\r\n\r\n").map(|(_, body)| body);
            assert!(is_answered, "no server answered: {}", context());
            assert_eq!(body, Some(whole_body(&self.id).as_str()), "{}", context());
            assert_eq!(header_value(response, "id"), Some(self.id.clone()));
            assert!(header_value(response, "signed").is_some(), "{}", context());
        }
    }
}

/// An instance, and servers that follow the scripts of the requests.
struct Fleet {
    callers: SocketAddr,
    site: Option<Site>,
    ledger: Arc<Mutex<Ledger>>,
    /// The ids of the current servers.
    servers: Vec<String>,
    /// The number of servers and requests so far, for their ids.
    used_ids: usize,
}

impl Fleet {
    fn open() -> Self {
        let first = Backend::spawn(&[Action::Respond(OK)]);
        let site = Site::open(&[&first]);
        Self {
            callers: site.callers,
            site: Some(site),
            ledger: Arc::default(),
            servers: vec!["s0".to_owned()],
            used_ids: 1,
        }
    }

    fn new_id(&mut self, kind: &str) -> String {
        self.used_ids += 1;
        format!("{kind}{}", self.used_ids)
    }

    /// Replaces the servers by `count` new ones with `slots` each, of which the instance knows
    /// nothing, and possibly by one that cannot be reached. Waits until the instance uses the new
    /// ones.
    fn renew_servers(&mut self, count: usize, slots: u32, has_unreachable: bool) {
        let old = std::mem::take(&mut self.servers);
        let mut addresses: Vec<SocketAddr> =
            (0..count).map(|_| spawn_server(&self.ledger)).collect();
        let live = addresses.clone();
        if has_unreachable {
            // The address is free again when the listener is dropped.
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            addresses.push(listener.local_addr().unwrap());
        }
        self.servers = addresses.iter().map(|_| self.new_id("s")).collect();
        let site = self.site.as_ref().unwrap();
        for (id, address) in self.servers.iter().zip(&addresses) {
            let Record::Server(mut record) = server(id, *address) else {
                unreachable!("it is a server");
            };
            record.slots = slots;
            site.store
                .put(Kind::Servers, id, Some(Record::Server(record)));
        }
        for id in old {
            site.store.put(Kind::Servers, &id, None);
        }
        site.wait_until(|site| {
            site.call("GET", "/safe/first", "");
            let ledger = self.ledger.lock().unwrap();
            let is_used = |address| ledger.arrivals.iter().any(|a| a.server == address);
            live.iter().all(|address| is_used(*address))
        });
    }

    /// Sends `calls` at the same time and checks them. Returns the responses.
    fn play(&self, calls: &[Call]) -> Vec<String> {
        const SETTLE_TIME: Duration = Duration::from_millis(50);
        {
            let mut ledger = self.ledger.lock().unwrap();
            for call in calls {
                ledger.scripts.insert(call.id.clone(), call.steps.clone());
            }
        }
        let callers = self.callers;
        let responses: Vec<String> = thread::scope(|scope| {
            let senders: Vec<_> = calls
                .iter()
                .map(|call| {
                    scope.spawn(move || {
                        thread::sleep(call.after);
                        call.send(callers)
                    })
                })
                .collect();
            senders.into_iter().map(|s| s.join().unwrap()).collect()
        });
        // What the instance has sent to a server may not have been read there yet.
        thread::sleep(SETTLE_TIME);
        let arrivals = self.ledger.lock().unwrap().arrivals.clone();
        for (call, response) in calls.iter().zip(&responses) {
            call.check(response, &arrivals);
        }
        responses
    }

    fn draw_calls(
        &mut self,
        u: &mut Unstructured<'_>,
        count: usize,
        waits_ms: &[u64],
        delays_ms: &[u64],
    ) -> Result<Vec<Call>> {
        (0..count)
            .map(|_| Call::draw(u, self.new_id("r"), waits_ms, delays_ms))
            .collect()
    }
}

/// Returns how long to draw orders: `ARBTEST_BUDGET_MS`, or 4 s by default.
fn budget_ms() -> u64 {
    let set = std::env::var("ARBTEST_BUDGET_MS").ok();
    set.and_then(|ms| ms.parse().ok()).unwrap_or(4000)
}

#[test]
fn no_order_of_attempts_breaks_a_promise() {
    const REQUESTS: usize = 10;
    const CASE_BYTES: u32 = 256;
    let mut fleet = Fleet::open();
    arbtest(|u| {
        let count = *u.choose(&[2, 3, 3])?;
        let slots = *u.choose(&[MANY_SLOTS, 2])?;
        let has_unreachable = *u.choose(&[false, false, true])?;
        let calls = fleet.draw_calls(u, REQUESTS, &[500, 250, 100], &[0, 0, 0, 20, 100])?;
        fleet.renew_servers(count, slots, has_unreachable);
        fleet.play(&calls);
        Ok(())
    })
    .size_min(CASE_BYTES)
    .size_max(CASE_BYTES)
    .budget_ms(budget_ms());
}

/// The instance has been told to stop, and ceases to pass on requests with a late deadline during
/// the first attempts.
#[test]
fn no_order_of_attempts_during_a_stop_breaks_a_promise() {
    const REQUESTS: usize = 30;
    const CASE_BYTES: u32 = 768;
    /// When the requests are sent, as a fraction of the grace period. The instance ceases to pass
    /// them on at 0.375.
    const SENT_AT: f64 = 0.31;
    arbtest(|u| {
        let mut fleet = Fleet::open();
        let calls = fleet.draw_calls(u, REQUESTS, &[2000], &[0, 150, 400, 400, 600])?;
        fleet.renew_servers(3, MANY_SLOTS, false);
        let daemon = fleet.site.take().unwrap().daemon;
        let stopping = thread::spawn(move || smol::block_on(daemon.stop()));
        thread::sleep(GRACE.mul_f64(SENT_AT));
        fleet.play(&calls);
        stopping.join().unwrap();
        Ok(())
    })
    .size_min(CASE_BYTES)
    .size_max(CASE_BYTES)
    .budget_ms(1);
}

/// Plays one request with these steps, and checks its status and how often it ran.
fn check_order(idempotent: bool, steps: &[Step], expected: u16, expected_runs: usize) {
    const WAIT_MS: u64 = 1500;
    let mut fleet = Fleet::open();
    fleet.renew_servers(3, MANY_SLOTS, false);
    let call = Call {
        id: fleet.new_id("r"),
        idempotent,
        wait_ms: WAIT_MS,
        steps: steps.to_vec(),
        after: Duration::ZERO,
        leaves_after: None,
    };
    let response = &fleet.play(std::slice::from_ref(&call))[0];
    let arrivals = fleet.ledger.lock().unwrap().arrivals.clone();
    let of_call: Vec<&Arrival> = arrivals.iter().filter(|a| a.id == call.id).collect();
    let runs = of_call.iter().filter(|a| a.step.runs()).count();
    assert_eq!(status(response), expected, "{of_call:?}: {response}");
    assert_eq!(runs, expected_runs, "{of_call:?}: {response}");
}

const REFUSED: Step = Step::at_once(End::Refused(503));
const LOST: Step = Step::at_once(End::Closed);
const SILENT: Step = Step::at_once(End::Silent);
const REFUSED_TOO_LATE: Step = Step::after(2500, End::Refused(503));

cases! {
    not_run_anywhere => check_order(false, &[REFUSED, REFUSED, REFUSED], 503, 0);
    run_after_not_run => check_order(false, &[REFUSED, REFUSED], 200, 1);
    run_after_refusals_that_close => check_order(
        false, &[Step::at_once(End::RefusedThenClosed), Step::at_once(End::RefusedThenClosed)], 200, 1);
    lost_after_not_run => check_order(false, &[REFUSED, LOST], 502, 1);
    lost_after_not_run_if_idempotent =>
        check_order(true, &[REFUSED, LOST, REFUSED], 502, 1);
    not_run_after_lost => check_order(true, &[LOST, REFUSED, REFUSED], 502, 1);
    not_run_between_lost => check_order(true, &[LOST, REFUSED, LOST], 502, 2);
    lost_everywhere => check_order(true, &[LOST, LOST, LOST], 502, 2);
    not_run_after_failed =>
        check_order(true, &[Step::at_once(End::Failed), REFUSED, REFUSED], 500, 1);
    unstated_after_not_run =>
        check_order(false, &[REFUSED, Step::at_once(End::Unstated(503))], 502, 1);
    unstated_after_misdirected => check_order(
        false, &[Step::at_once(End::Misdirected), Step::at_once(End::Unstated(408))], 502, 1);
    unsigned_after_not_run =>
        check_order(false, &[REFUSED, Step::at_once(End::Unsigned)], 502, 1);
    unnamed_on_a_connection_with_named_responses =>
        check_order(false, &[REFUSED, Step::at_once(End::Unnamed)], 504, 1);
    cut_after_not_run => check_order(false, &[REFUSED, Step::at_once(End::Cut)], 502, 1);
    reset_after_not_run => check_order(false, &[REFUSED, Step::at_once(End::Reset)], 502, 1);
    only_a_response_to_another_request_after_not_run =>
        check_order(false, &[REFUSED, Step::at_once(End::Foreign)], 504, 1);
    deadline_after_not_run => check_order(false, &[REFUSED, SILENT], 504, 1);
    deadline_after_lost => check_order(true, &[LOST, SILENT], 504, 2);
    deadline_before_the_refusal => check_order(false, &[REFUSED_TOO_LATE], 504, 0);
    deadline_before_the_refusal_after_lost =>
        check_order(true, &[LOST, REFUSED_TOO_LATE], 504, 1);
    cut_refusal_after_not_run =>
        check_order(false, &[REFUSED, Step::at_once(End::RefusedCut)], 502, 0);
    refusal_of_an_earlier_request_before_lost => check_order(
        false, &[Step::prefaced(Preface::EarlierRefusal, End::Closed)], 502, 1);
    refusal_of_an_earlier_request_before_the_response => check_order(
        false, &[REFUSED, Step::prefaced(Preface::EarlierRefusal, End::Whole)], 200, 1);
    interim_refusal_before_lost => check_order(
        false, &[REFUSED, Step::prefaced(Preface::EarlyHints, End::Closed)], 502, 1);
}
