//! Servers that respond while a long request is being sent to them.

use std::sync::Mutex;

use crate::cases;
use crate::script::{Action, Backend, OK};
use crate::site::{status, Options, Site};

/// A response that ends with its connection.
const TO_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r\npond";
/// A response whose body begins when its connection is reset.
const NO_BODY: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSigned: yes\r\n\r\n";

/// Longer than what the sockets buffer.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;

/// Which side sees the end of the connection first differs from run to run.
const RUNS: usize = 5;

/// Checks the response to a long request to a server that performs `action`, and the number of
/// requests that reach the servers. Only the first performs it.
fn check(path: &str, action: Action, expected: u16, expected_requests: usize) {
    // Several such requests at a time would keep each other waiting.
    static UPLOADING: Mutex<()> = Mutex::new(());
    let body = "x".repeat(UPLOAD_BYTES);
    for _ in 0..RUNS {
        let backends = Backend::pair(&[action, Action::Respond(OK)]);
        let options = Options {
            max_body_bytes: Some(UPLOAD_BYTES),
            ..Options::default()
        };
        let addresses = [backends[0].address, backends[1].address];
        let site = Site::open_with(&addresses, options);
        let response = {
            let _uploading = UPLOADING.lock();
            site.call("POST", path, &body)
        };
        assert_eq!(status(&response), expected, "{response}");
        assert_eq!(backends[0].requests().len(), expected_requests);
        if expected == 200 {
            assert!(response.ends_with("\r\n\r\npond"), "{response}");
        }
    }
}

cases! {
    reset_before_the_body => check("/once/1", Action::RespondEarlyAndReset(NO_BODY), 502, 1);
    reset_within_the_body => check("/once/1", Action::RespondEarlyAndReset(TO_CLOSE), 502, 1);
    close_with_the_request_unread => check("/once/1", Action::RespondEarlyAndClose(TO_CLOSE), 502, 1);
    reset_is_retried_if_idempotent => check("/safe/1", Action::RespondEarlyAndReset(TO_CLOSE), 200, 2);
    end_with_the_request_unread => check("/once/1", Action::RespondEarlyAndEnd(TO_CLOSE), 200, 1);
    reset_after_a_whole_response => check("/once/1", Action::RespondEarlyAndReset(OK), 200, 1);
}
