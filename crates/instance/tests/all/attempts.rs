//! Responses of backend servers that belong to other requests.

use crate::cluster::{get, wait_until_serving, Call, Cluster, Instance};
use crate::scripted::{Received, Scripted};

/// Starts an instance with one backend server that sends the responses of `script`.
fn start<F>(script: F) -> (Cluster, Scripted, Instance)
where
    F: Fn(&Received) -> Vec<String> + Clone + Send + 'static,
{
    let server = Scripted::bind(script);
    let cluster = Cluster::open(&[("east", server.address)]);
    cluster.publish_bundle();
    let instance = cluster.start("east", &[]);
    wait_until_serving(&instance);
    (cluster, server, instance)
}

/// Sends the order `number`, which must not run twice.
fn order(instance: &Instance, number: usize) -> client::Response {
    let key = format!("order-{number}");
    let call = Call {
        method: "POST",
        target: &format!("/orders/{number}"),
        headers: &[("Idempotency-Key", &key)],
    };
    call.send(instance.callers())
}

// Guards against a connection that is kept after a response to another attempt: the response that is
// still due is then received in place of the next one, and no later call on it gets an answer.
#[test]
fn a_connection_with_a_response_to_another_attempt_is_closed() {
    let (_cluster, server, instance) = start(|received| {
        if !received.is_order() {
            return vec![received.named(200)];
        }
        if received.request.line.contains("/orders/0") {
            return vec![
                received.response_naming(200, Some("other")),
                received.named(200),
            ];
        }
        vec![received.named(200)]
    });
    let first = order(&instance, 0);
    assert_eq!(first.header("Chivewheel-Outcome"), Some("unknown"));
    let second = order(&instance, 1);
    assert_eq!(second.header("Chivewheel-Outcome"), Some("complete"));
    assert_eq!(second.body, b"POST /orders/1 HTTP/1.1");
    let orders = server.orders();
    assert_eq!(orders.len(), 2);
    assert_ne!(orders[0].connection, orders[1].connection);
    assert!(get(instance.callers(), "/levels/1").status == 200);
}

/// Rejects the first order of a connection with `status`, and repeats the rejection before it runs
/// the next one.
fn repeat_rejection(received: &Received, status: u16) -> Vec<String> {
    if !received.is_order() {
        return vec![received.named(200)];
    }
    if received.is_first_order() {
        return vec![received.unnamed(status)];
    }
    vec![received.unnamed_copy(status), received.named(200)]
}

/// Sends a rejection too many, with `status`, before it runs an order on a connection that has
/// carried other requests. Its other responses name their attempts if `names` is true.
fn send_extra_rejection(received: &Received, status: u16, names: bool) -> Vec<String> {
    let response = if names {
        received.named(200)
    } else {
        received.unnamed(200)
    };
    if received.is_order() && !received.earlier.is_empty() {
        return vec![received.unnamed_copy(status), response];
    }
    vec![response]
}

/// Checks that no order that ran at a server with `script` is answered with a rejection.
fn no_rejected_order_runs<F>(script: F)
where
    F: Fn(&Received) -> Vec<String> + Clone + Send + 'static,
{
    const ORDERS: usize = 6;
    let (_cluster, server, instance) = start(script);
    let answers: Vec<client::Response> = (0..ORDERS).map(|n| order(&instance, n)).collect();
    let orders = server.orders();
    for (number, answer) in answers.iter().enumerate() {
        let line = format!("POST /orders/{number} HTTP/1.1");
        let ran = orders.iter().any(|o| o.ran && o.request.line == line);
        let is_rejection = matches!(answer.status, 429 | 503);
        let is_unknown = answer.header("Chivewheel-Outcome") == Some("unknown");
        assert!(
            !ran || !is_rejection || is_unknown,
            "order {number} ran, and its caller got {answer:?}"
        );
    }
}

// Guard against a rejection that names no attempt and is repeated where the next response is due:
// the caller is told that its order was rejected, and the order runs.
cases! { no_rejected_order_runs:
    a_repeated_503(|received| repeat_rejection(received, 503));
    a_repeated_429(|received| repeat_rejection(received, 429));
    an_extra_503_after_responses_with_ids(|received| send_extra_rejection(received, 503, true));
    an_extra_429_after_responses_with_ids(|received| send_extra_rejection(received, 429, true));
    an_extra_503_after_responses_without_ids(|received| send_extra_rejection(received, 503, false));
}

/// Checks that a rejection of an order is passed on, for which `respond` returns the response.
fn rejection_is_passed_on(respond: fn(&Received) -> String) {
    let (_cluster, server, instance) = start(move |received| {
        if received.is_order() {
            return vec![respond(received)];
        }
        vec![received.named(200)]
    });
    // The first order takes the connection of the requests before.
    order(&instance, 0);
    for number in 1..4 {
        let answer = order(&instance, number);
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
        let body = format!("POST /orders/{number} HTTP/1.1");
        assert_eq!(answer.body, body.as_bytes());
    }
    assert_eq!(server.orders().len(), 4);
}

// Guard against distrust of rejections that cannot belong to another request.
cases! { rejection_is_passed_on:
    a_rejection_with_an_id(|received| received.named(503));
    a_rejection_without_id_on_a_new_connection(|received| received.unnamed(503));
}

/// Checks that requests to a server whose responses are those of `respond` share a connection.
fn connection_is_kept(respond: fn(&Received) -> String) {
    let (_cluster, server, instance) = start(move |received| vec![respond(received)]);
    for number in 0..10 {
        let target = format!("/levels/kept-{number}");
        assert_eq!(get(instance.callers(), &target).status, 200);
    }
    assert_eq!(server.connections("/levels/kept-"), 1);
}

// Guard against a new connection for each request where none is needed.
cases! { connection_is_kept:
    responses_with_ids(|received| received.named(200));
    responses_without_ids(|received| received.unnamed(200));
}

/// Checks that a caller is not given a response that is reset, or whose head is none: its order may
/// have run. `change` makes such a response of a sound one.
fn broken_response_is_not_passed_on(change: fn(&str) -> String) {
    const ORDERS: usize = 4;
    let (_cluster, server, instance) = start(move |received| {
        let response = received.named(200);
        if received.is_order() {
            return vec![change(&response)];
        }
        vec![response]
    });
    for number in 0..ORDERS {
        let answer = order(&instance, number);
        let outcome = answer.header("Chivewheel-Outcome");
        assert_eq!((answer.status, outcome), (502, Some("unknown")));
    }
    assert_eq!(server.orders().len(), ORDERS);
}

fn without_length(response: &str) -> String {
    let lines = response.split("\r\n");
    let kept: Vec<&str> = lines
        .filter(|l| !l.starts_with("Content-Length: "))
        .collect();
    kept.join("\r\n")
}

fn with_field(response: &str, field: &str) -> String {
    response.replacen("\r\n\r\n", &format!("\r\n{field}\r\n\r\n"), 1)
}

// Guard against bytes of a server in trouble that reach a caller as an answer.
cases! { broken_response_is_not_passed_on:
    a_response_without_length_that_is_reset(without_length);
    a_status_of_000(|response| response.replace(" 200 ", " 000 "));
    a_status_of_600(|response| response.replace(" 200 ", " 600 "));
    a_blank_in_a_field_name(|response| with_field(response, "X Pond: 1"));
    a_blank_before_a_colon(|response| with_field(response, "X-Pond : 1"));
    a_control_byte_in_a_field_name(|response| with_field(response, "X\u{1}Pond: 1"));
    a_line_feed_before_a_field_name(|response| with_field(response, "\nX-Pond: 1"));
}
