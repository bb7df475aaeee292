//! Rejection of invalid bundles, and distribution of bundles without the store.

use std::time::Duration;

use contract::signed::{Role, Signed};
use stand_in::backend;
use stand_in::platform::Outage;

use crate::cluster::{author, bundle, eventually, operator, Call, Cluster, Instance, CENTRES};

/// Long enough for instances to apply or reject a bundle.
const SETTLE_TIME: Duration = Duration::from_millis(1200);

fn start_cluster() -> (Cluster, Vec<Instance>) {
    let mut cluster = Cluster::open(1, &backend::Config::default());
    cluster.publish_bundle(bundle());
    cluster.publish_bundle(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| cluster.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| cluster.wait_until_serving(instance));
    (cluster, instances)
}

macro_rules! rejection_tests {
    ($($name:ident: $make:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut cluster, instances) = start_cluster();
            let make: fn(&Cluster) -> Signed = $make;
            let signed = make(&cluster);
            let (_, parts) = cluster.next_root(bundle());
            cluster.write_bundle(&signed, &parts);
            std::thread::sleep(SETTLE_TIME);
            for instance in &instances {
                assert_eq!(instance.bundle_version(), 2);
                let response = instance.call(&Call::get("/levels/1")).expect("response");
                assert_eq!(response.header("Chivewheel-Outcome"), Some("complete"));
            }
            // The next valid bundle takes effect everywhere.
            cluster.publish_bundle(bundle());
            for instance in &instances {
                eventually("the next bundle to take effect", || instance.bundle_version() == 3);
            }
        }
    )*};
}

rejection_tests! {
    rejects_an_unsigned_bundle: |cluster| Signed::unsigned(cluster.next_root(bundle()).0);
    rejects_a_bundle_signed_once: |cluster| {
        let mut signed = Signed::unsigned(cluster.next_root(bundle()).0);
        signed.sign(Role::Author, &author());
        signed
    };
    rejects_a_bundle_signed_twice_by_one_operator: |cluster| {
        Signed::new(cluster.next_root(bundle()).0, &author(), &author())
    };
    rejects_a_bundle_changed_after_signing: |cluster| {
        let mut signed = Signed::new(cluster.next_root(bundle()).0, &author(), &operator());
        signed.root.centres[0].in_service = false;
        signed
    };
    rejects_the_current_bundle_again: |cluster| cluster.last_bundle();
    rejects_an_older_bundle: |cluster| {
        let (mut root, _) = cluster.next_root(bundle());
        root.version = 1;
        Signed::new(root, &author(), &operator())
    };
}

#[test]
fn instance_started_during_an_outage_serves() {
    let (cluster, instances) = start_cluster();
    cluster
        .platform
        .set_outage(Some(Outage::Refuse))
        .expect("outage");
    let seed = [("seed", instances[1].peer_address.to_string())];
    let late = cluster.start_with(CENTRES[0], &seed);
    cluster.wait_until_serving(&late);
    assert_eq!(late.bundle_version(), 2);
    cluster.platform.set_outage(None).expect("outage");
    eventually("the late instance to join the roster", || {
        late.status().members.len() == 4
    });
}

#[test]
fn bundle_takes_effect_everywhere_within_two_seconds() {
    let (mut cluster, instances) = start_cluster();
    cluster.publish_bundle(bundle());
    std::thread::sleep(Duration::from_secs(2));
    for instance in &instances {
        assert_eq!(instance.bundle_version(), 3);
    }
}
