//! Tests that the directory keeps the lists during an outage.

use std::time::Duration;

use clock::{Boottime, Clock};
use platform::directory::{Config, Directory};
use smol::block_on;
use smol::future::FutureExt;
use stand_in::platform::Outage;

use crate::tools::{bind, server};

#[test]
fn the_last_known_lists_are_kept_during_an_outage() {
    let (platform, client) = bind();
    platform.set_servers(vec![server("s-1")]);
    let config = Config {
        interval: Duration::from_millis(20),
        max_backoff: Duration::from_millis(40),
    };
    let directory = Directory::open(client, Boottime, config);
    assert_eq!(directory.lists().age(Boottime.now()), None);
    let run_for = |millis| {
        let length = Duration::from_millis(millis);
        block_on(directory.run().or(Boottime.sleep(length)));
    };

    run_for(100);
    assert_eq!(directory.lists().servers[..], [server("s-1")]);
    platform.set_outage(Some(Outage::Refuse)).unwrap();
    run_for(100);
    let lists = directory.lists();
    assert_eq!(lists.servers[..], [server("s-1")]);
    assert!(lists.age(Boottime.now()).unwrap() >= Duration::from_millis(80));

    platform.set_servers(Vec::new());
    platform.set_outage(None).unwrap();
    run_for(200);
    assert_eq!(directory.lists().servers[..], []);
}
