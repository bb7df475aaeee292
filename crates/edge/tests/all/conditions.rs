//! What servers ask for in their responses.

use std::thread;
use std::time::{Duration, Instant};

use balance::record::{Kind, Record};
use balance::server::Server;

use crate::cases;
use crate::script::{header_value, Action, Backend, OK};
use crate::site::{server, status, Site};

/// How soon an instance has to heed what a server asks for.
const NOTICE: Duration = Duration::from_millis(500);

/// The requests that may reach a server while it wants none.
const MAX_ARRIVALS: usize = 2;

const PAUSE: Duration = Duration::from_secs(3);
const SHED_WITH_PAUSE: &str =
    "HTTP/1.1 503 Busy\r\nUnrun: yes\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
const FAILED_WITH_PAUSE: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nRetry-After: 3.0\r\nContent-Length: 0\r\n\r\n";

/// Guards against requests that go on to a server which has answered that it wants none for some
/// time: they are refused at once, with that time.
fn check_pause(response: &'static str, expected: u16) {
    let backend = Backend::spawn(&[Action::Respond(response), Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    assert_eq!(status(&site.call("POST", "/once/1", "")), expected);
    thread::sleep(NOTICE);
    let before = backend.requests().len();
    for _ in 0..10 {
        let refusal = site.call("POST", "/once/1", "");
        assert_eq!(status(&refusal), 503, "{refusal}");
        let retry_after = header_value(&refusal, "retry-after").unwrap();
        let seconds: f64 = retry_after.parse().unwrap();
        assert!(
            seconds > 0.0 && seconds <= (PAUSE - NOTICE).as_secs_f64(),
            "{seconds}"
        );
    }
    assert!(backend.requests().len() - before <= MAX_ARRIVALS);
    thread::sleep(PAUSE);
    assert_eq!(status(&site.call("POST", "/once/1", "")), 200);
}

/// Another server takes the requests meanwhile.
fn check_other_server() {
    let paused = Backend::spawn(&[Action::Respond(SHED_WITH_PAUSE)]);
    let open = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&paused, &open]);
    site.wait_until(|site| {
        assert_eq!(status(&site.call("GET", "/once/1", "")), 200);
        !paused.requests().is_empty()
    });
    thread::sleep(NOTICE);
    let before = paused.requests().len();
    for _ in 0..20 {
        assert_eq!(status(&site.call("GET", "/once/1", "")), 200);
    }
    assert!(paused.requests().len() - before <= MAX_ARRIVALS);
}

/// Sends requests to instances in turn, for twice the window of the bound, while their only server
/// names a limit.
///
/// Guards against a back end that gets far more requests than the limit that it named, summed over
/// the instances.
fn check_limit(instances: usize) {
    const LIMITED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nLimit: 2.5\r\n\
        Content-Length: 4\r\n\r\npond";
    const LIMIT: f64 = 2.5;
    const CONTACT: Duration = Duration::from_secs(3);
    const WINDOW: Duration = Duration::from_secs(4);
    const PAUSE: Duration = Duration::from_millis(20);
    let backend = Backend::spawn(&[Action::Respond(LIMITED)]);
    let sites = Site::open_fleet(&[backend.address], &vec!["east"; instances]);
    let started = Instant::now();
    let mut arrivals = Vec::new();
    let mut served = 0;
    for site in sites.iter().cycle() {
        if started.elapsed() > CONTACT + 2 * WINDOW {
            break;
        }
        let response = site.call("POST", "/once/1", "");
        match status(&response) {
            200 => served += 1,
            503 => assert!(
                header_value(&response, "retry-after").is_some(),
                "{response}"
            ),
            other => panic!("status {other}"),
        }
        let now = started.elapsed();
        arrivals.extend((arrivals.len()..backend.requests().len()).map(|_| now));
        thread::sleep(PAUSE);
    }
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    for (i, from) in arrivals
        .iter()
        .enumerate()
        .filter(|(_, at)| **at >= CONTACT)
    {
        let within = arrivals[i..].iter().take_while(|at| **at < *from + WINDOW);
        let within = within.count();
        assert!(
            within as f64 <= allowed,
            "{within} requests, {allowed} allowed"
        );
    }
    assert!(served > 0);
}

/// Guards against requests to a server that has said in its answers that it leaves, while the store
/// still lists it as ready, or lists it again after its entry was away.
fn check_leaving(instances: usize) {
    const LEAVING: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\nLeaving: 1\r\n\
        Content-Length: 4\r\n\r\npond";
    let leaving = Backend::spawn(&[Action::Respond(LEAVING)]);
    let staying = Backend::spawn(&[Action::Respond(OK)]);
    let addresses = [leaving.address, staying.address];
    let sites = Site::open_fleet(&addresses, &vec!["east"; instances]);
    let call_all = || {
        for site in sites.iter().cycle().take(12) {
            assert_eq!(status(&site.call("GET", "/once/1", "")), 200);
        }
    };
    sites[0].wait_until(|site| {
        assert_eq!(status(&site.call("GET", "/once/1", "")), 200);
        !leaving.requests().is_empty()
    });
    thread::sleep(NOTICE);
    let before = leaving.requests().len();
    call_all();
    let entry = |sequence| {
        let Record::Server(server) = server("s0", leaving.address) else {
            unreachable!("it is a server");
        };
        Some(Record::Server(Server { sequence, ..server }))
    };
    for record in [entry(2), None, entry(3)] {
        sites[0].store.put(Kind::Servers, "s0", record);
        thread::sleep(NOTICE);
        call_all();
    }
    assert_eq!(leaving.requests().len(), before);
}

cases! {
    server_that_sheds_and_wants_a_pause_gets_no_requests => check_pause(SHED_WITH_PAUSE, 503);
    server_that_fails_and_wants_a_pause_gets_no_requests => check_pause(FAILED_WITH_PAUSE, 502);
    requests_go_to_another_server_during_a_pause => check_other_server();
    leaving_server_gets_no_requests_from_one_instance => check_leaving(1);
    leaving_server_gets_no_requests_from_others => check_leaving(2);
    limited_server_gets_no_more_than_its_limit_from_one_instance => check_limit(1);
    limited_server_gets_no_more_than_its_limit_from_three_instances => check_limit(3);
}
