//! What `GET /ready` says.

use crate::recorder::Recorder;
use crate::site::{eventually, get, Site};

#[test]
fn readiness_names_what_is_missing() {
    let site = Site::open(&[("east", Recorder::bind().address)]);
    let instance = site.start("east", &[]);
    let answer = get(instance.operators(), "/ready");
    assert_eq!(answer.status, 503);
    assert_eq!(answer.body, b"not ready: no bundle yet\n");
    site.roll();
    eventually("readiness", || {
        get(instance.operators(), "/ready").status == 200
    });
    instance.node().set_stopping();
    let answer = get(instance.operators(), "/ready");
    assert_eq!(answer.body, b"not ready: stopping\n");
}
