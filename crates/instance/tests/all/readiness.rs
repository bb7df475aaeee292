//! Readiness at `GET /ready`.

use crate::cluster::{eventually, get, Cluster};
use crate::recorder::Recorder;

#[test]
fn an_instance_that_is_not_ready_gives_the_reason() {
    let cluster = Cluster::open(&[("east", Recorder::bind().address)]);
    let instance = cluster.start("east", &[]);
    let answer = get(instance.operators(), "/ready");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.body, b"not ready: no bundle yet\n");
    cluster.publish_bundle();
    eventually("readiness", || {
        get(instance.operators(), "/ready").status == 200
    });
    instance.node().set_stopping();
    let answer = get(instance.operators(), "/ready");
    assert_eq!(answer.body, b"not ready: stopping\n");
}
