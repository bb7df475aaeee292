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
