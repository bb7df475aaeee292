//! What servers ask for in their responses.

use std::thread;
use std::time::Duration;

use crate::cases;
use crate::script::{header_value, Action, Backend, OK};
use crate::site::{status, Site};

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

cases! {
    server_that_sheds_and_wants_a_pause_gets_no_requests => check_pause(SHED_WITH_PAUSE, 503);
    server_that_fails_and_wants_a_pause_gets_no_requests => check_pause(FAILED_WITH_PAUSE, 502);
    requests_go_to_another_server_during_a_pause => check_other_server();
}
