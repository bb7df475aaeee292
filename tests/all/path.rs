//! Calls through running instances, and the endpoints for operators.

use stand_in::backend;

use crate::cluster::{bundle, Call, Cluster, CENTRES};

#[test]
fn serves_calls_at_every_instance() {
    let mut cluster = Cluster::open(2, &backend::Config::default());
    cluster.publish_bundle(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| cluster.start(centre)).collect();
    for instance in &instances {
        cluster.wait_until_serving(instance);
        let response = instance.call(&Call::get("/levels/7")).expect("response");
        assert_eq!(response.status, 200);
        assert_eq!(response.header("Chivewheel-Outcome"), Some("complete"));
        assert_eq!(response.header("X-Version"), Some("v1"));
    }
}

#[test]
fn executes_a_keyed_call_once_despite_resends() {
    let mut cluster = Cluster::open(2, &backend::Config::default());
    cluster.publish_bundle(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| cluster.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| cluster.wait_until_serving(instance));
    let order = Call::post("/orders", "order-1", b"one load of clay");
    let responses: Vec<_> = instances
        .iter()
        .map(|i| i.call(&order).expect("response"))
        .collect();
    for response in &responses {
        assert_eq!(response.header("Chivewheel-Outcome"), Some("complete"));
        assert_eq!(response.body, responses[0].body);
    }
    assert_eq!(cluster.executions("order-1"), 1);
}

#[test]
fn reports_status_to_operators() {
    let mut cluster = Cluster::open(1, &backend::Config::default());
    cluster.publish_bundle(bundle());
    let instance = cluster.start(CENTRES[0]);
    cluster.wait_until_serving(&instance);
    let status = instance.status();
    assert_eq!(status.bundle.map(|bundle| bundle.version), Some(1));
    assert_eq!(status.members.len(), 1);
    assert_eq!(instance.get_operator_page("/ready").status, 200);
    assert_eq!(instance.get_operator_page("/live").status, 200);
}
