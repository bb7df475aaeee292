//! Log records: their prefixes, and limits on repeated ones.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use clock::Instant;
use instance::log::{Alarm, Limiter};
use slog::{o, Drain, Logger, Never, OwnedKVList, Record};
use stand_in::platform::Outage;

use crate::cluster::{eventually, wait_until_serving, Cluster};
use crate::recorder::Recorder;

const PREFIXES: [&str; 9] = [
    "entry: ",
    "owner: ",
    "lease: ",
    "bundle: ",
    "claims: ",
    "moves: ",
    "peer: ",
    "daemon: ",
    "servers: ",
];

/// A drain that collects the messages of log records.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Messages {
    fn count(&self, message: &str) -> usize {
        let messages = self.0.lock().expect("messages");
        messages.iter().filter(|m| *m == message).count()
    }
}

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let message = record.msg().to_string();
        self.0.lock().expect("messages").push(message);
        Ok(())
    }
}

#[test]
fn an_outage_is_logged_once_when_it_begins_and_once_when_it_ends() {
    let messages = Messages::default();
    let cluster = Cluster::open(&[("east", Recorder::bind().address)]);
    cluster.publish_bundle();
    let log = Logger::root(messages.clone(), o!());
    let instance = cluster.start_logging("east", &[], log);
    wait_until_serving(&instance);
    let expected = [
        "lease: took on a duty",
        "owner: started granting the credits of a pool",
        "bundle: in force",
    ];
    for message in expected {
        assert!(messages.count(message) >= 1, "{message}");
    }
    let conditions = [
        (
            "lease: the store is unreachable",
            "lease: the store is reachable again",
        ),
        (
            "servers: failed to read the list",
            "servers: the list is readable again",
        ),
        (
            "bundle: the head cannot be watched",
            "bundle: the head can be watched again",
        ),
    ];
    cluster
        .platform
        .set_outage(Some(Outage::Unavailable))
        .expect("outage");
    for (begins, _) in conditions {
        eventually(begins, || messages.count(begins) > 0);
    }
    // Several retries fail in this time.
    std::thread::sleep(Duration::from_secs(2));
    for (begins, ends) in conditions {
        assert_eq!(
            (messages.count(begins), messages.count(ends)),
            (1, 0),
            "{begins}"
        );
    }
    cluster.platform.set_outage(None).expect("outage");
    for (_, ends) in conditions {
        eventually(ends, || messages.count(ends) == 1);
    }
    for message in messages.0.lock().expect("messages").iter() {
        let has_prefix = PREFIXES.iter().any(|prefix| message.starts_with(prefix));
        assert!(has_prefix, "unknown prefix: {message}");
    }
}

#[test]
fn an_alarm_reports_only_changes() {
    let alarm = Alarm::default();
    assert!(!alarm.clear(), "the alarm was not raised before");
    assert_eq!(
        [alarm.raise(), alarm.raise(), alarm.raise()],
        [true, false, false]
    );
    assert_eq!([alarm.clear(), alarm.clear()], [true, false]);
    assert!(alarm.raise(), "a cleared alarm can be raised again");
}

#[test]
fn a_limiter_suppresses_and_counts_repeated_events() {
    let limiter = Limiter::default();
    let start = Instant::from_millis(7);
    let at = |millis| limiter.pass(start + Duration::from_millis(millis));
    assert_eq!([at(0), at(1), at(999)], [Some(0), None, None]);
    assert_eq!([at(1_000), at(1_999)], [Some(2), None]);
    assert_eq!([at(2_000), at(3_000)], [Some(1), Some(0)]);
}
