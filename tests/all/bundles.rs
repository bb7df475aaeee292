//! Bundles that are refused, and bundles that arrive without the store.

use std::time::Duration;

use contract::signed::{Role, Signed};
use stand_in::backend;
use stand_in::platform::Outage;

use crate::site::{author, bundle, eventually, operator, Call, Instance, Site, CENTRES};

/// Long enough for a bundle to be taken or refused.
const SETTLE: Duration = Duration::from_millis(1200);

fn open() -> (Site, Vec<Instance>) {
    let mut site = Site::open(1, &backend::Config::default());
    site.roll(bundle());
    site.roll(bundle());
    let instances: Vec<_> = CENTRES.iter().map(|centre| site.start(centre)).collect();
    instances
        .iter()
        .for_each(|instance| site.wait_until_serving(instance));
    (site, instances)
}

macro_rules! refused {
    ($($name:ident: $make:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut site, instances) = open();
            let make: fn(&Site) -> Signed = $make;
            let signed = make(&site);
            let (_, parts) = site.next_root(bundle());
            site.publish(&signed, &parts);
            std::thread::sleep(SETTLE);
            for instance in &instances {
                assert_eq!(instance.bundle(), 2);
                let answer = instance.call(&Call::get("/levels/1")).expect("answer");
                assert_eq!(answer.header("Chivewheel-Outcome"), Some("complete"));
            }
            // The next right bundle takes force everywhere.
            site.roll(bundle());
            for instance in &instances {
                eventually("the next bundle in force", || instance.bundle() == 3);
            }
        }
    )*};
}

refused! {
    refuses_an_unsigned_bundle: |site| Signed::unsigned(site.next_root(bundle()).0);
    refuses_a_bundle_signed_once: |site| {
        let mut signed = Signed::unsigned(site.next_root(bundle()).0);
        signed.sign(Role::Author, &author());
        signed
    };
    refuses_a_bundle_signed_twice_by_one: |site| {
        Signed::new(site.next_root(bundle()).0, &author(), &author())
    };
    refuses_a_bundle_changed_after_its_signing: |site| {
        let mut signed = Signed::new(site.next_root(bundle()).0, &author(), &operator());
        signed.root.centres[0].in_service = false;
        signed
    };
    refuses_the_bundle_in_force_again: |site| site.last();
    refuses_an_older_bundle: |site| {
        let (mut root, _) = site.next_root(bundle());
        root.version = 1;
        Signed::new(root, &author(), &operator())
    };
}

#[test]
fn instance_that_starts_in_an_outage_serves() {
    let (site, instances) = open();
    site.platform
        .set_outage(Some(Outage::Refuse))
        .expect("outage");
    let seed = [("seed", instances[1].peers.to_string())];
    let late = site.start_with(CENTRES[0], &seed);
    site.wait_until_serving(&late);
    assert_eq!(late.bundle(), 2);
    site.platform.set_outage(None).expect("outage");
    eventually("the late instance in the roster", || {
        late.status().members.len() == 4
    });
}

#[test]
fn bundle_is_in_force_everywhere_within_seconds() {
    let (mut site, instances) = open();
    site.roll(bundle());
    std::thread::sleep(Duration::from_secs(2));
    for instance in &instances {
        assert_eq!(instance.bundle(), 3);
    }
}
