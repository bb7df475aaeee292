//! Tests of watching an object.

use std::time::Duration;

use clock::{Boottime, Clock};
use platform::watcher::{Config, Watcher};
use smol::block_on;
use smol::future::{zip, FutureExt};
use stand_in::platform::Outage;

use crate::tools::bind;

fn config() -> Config {
    Config {
        watch_limit: Duration::from_millis(100),
        min_interval: Duration::from_millis(10),
        max_backoff: Duration::from_millis(40),
    }
}

#[test]
fn new_versions_are_returned_also_after_an_outage() {
    let (platform, client) = bind();
    let mut follow = Watcher::open(client, Boottime, "head", config());
    block_on(async {
        assert_eq!(follow.next().await, None);
        platform.objects().write("head", None, b"one".to_vec());
        let one = follow.next().await.unwrap();
        assert_eq!(one.value, b"one");

        platform.set_outage(Some(Outage::Refuse)).unwrap();
        let back = async {
            Boottime.sleep(Duration::from_millis(100)).await;
            platform
                .objects()
                .write("head", Some(one.revision), b"two".to_vec());
            platform.set_outage(None).unwrap();
        };
        let (two, ()) = zip(follow.next(), back).await;
        assert_eq!(two.unwrap().value, b"two");
        assert!(follow.last_response().is_some());
    });
}

fn check_rate(outage: Option<Outage>, watch_limit: Duration) {
    let (platform, client) = bind();
    let length = Duration::from_millis(300);
    let config = Config {
        watch_limit,
        ..config()
    };
    let mut follow = Watcher::open(client.clone(), Boottime, "head", config);
    block_on(async {
        follow.next().await;
        platform.set_outage(outage).unwrap();
        let following = async {
            follow.next().await;
        };
        following.or(Boottime.sleep(length)).await;
    });
    let calls = client.counts().calls(platform::count::Kind::Watch);
    let most = length.as_millis() / config.min_interval.as_millis() + 1;
    assert!(
        calls >= 2 && u128::from(calls) <= most,
        "{calls} calls, {most} at most"
    );
}

cases! {
    an_outage_causes_no_busy_loop => check_rate(Some(Outage::Refuse), Duration::from_secs(1));
    watches_that_end_immediately_cause_no_busy_loop => check_rate(None, Duration::ZERO);
}
