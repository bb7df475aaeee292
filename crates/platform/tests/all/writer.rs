//! Tests of writes whose responses are lost.

use std::sync::Arc;
use std::time::Duration;

use arbtest::arbtest;
use clock::Boottime;
use platform::stamp::Stamped;
use platform::writer::{Config, Verdict, Writer};
use platform::{Error, Outcome, Revision, Store};
use smol::block_on;
use stand_in::platform::{Objects, Outage};

use crate::fake::{Action, Fake};
use crate::tools::{bind, Jumping};

/// The number of calls to the platform that a script covers.
const SCRIPTED_CALLS: usize = 12;

#[test]
fn a_write_is_read_back_after_a_lost_response() {
    let (platform, client) = bind();
    let writer = Writer::open(client.clone(), Boottime, Config::default());
    platform.drop_responses(1);
    block_on(async {
        // A plain retry gets a conflict with its own first write.
        assert!(client.write("naive", None, b"value").await.is_err());
        assert_eq!(
            client.write("naive", None, b"value").await,
            Ok(Outcome::Conflict)
        );

        platform.drop_responses(1);
        let written = writer.write("mine", None, b"value").await;
        assert_eq!(written, Verdict::Written(Revision(2)));
        let read = writer.read("mine").await.unwrap().unwrap();
        assert_eq!(read.value, b"value");

        platform.drop_responses(1);
        let written = writer.write("mine", Some(&read), b"next").await;
        assert_eq!(written, Verdict::Written(Revision(3)));
        assert_eq!(
            writer.write("mine", Some(&read), b"late").await,
            Verdict::Conflict
        );
    });
}

#[test]
fn an_outage_ends_in_not_written_or_indeterminate() {
    let (platform, client) = bind();
    let config = Config {
        attempts: 3,
        max_backoff: Duration::from_millis(30),
        ..Config::default()
    };
    let writer = Writer::open(client, Boottime, config);
    platform.set_outage(Some(Outage::Refuse)).unwrap();
    let refused = block_on(writer.write("mine", None, b"value"));
    assert!(matches!(refused, Verdict::NotWritten(_)), "{refused:?}");

    platform.set_outage(Some(Outage::Hang)).unwrap();
    let hanging = block_on(writer.write("mine", None, b"value"));
    assert!(matches!(hanging, Verdict::Indeterminate(_)), "{hanging:?}");
}

#[test]
fn a_value_without_a_stamp_is_malformed() {
    let (platform, client) = bind();
    platform.objects().write("plain", None, b"plain".to_vec());
    let writer = Writer::open(client, Boottime, Config::default());
    let read = block_on(writer.read("plain"));
    assert!(matches!(read, Err(Error::Malformed { .. })), "{read:?}");
}

/// A verdict other than `Indeterminate` is correct for any sequence of lost, deferred and
/// overwritten writes.
#[test]
fn verdicts_are_correct() {
    arbtest(|u| {
        let objects = Arc::new(Objects::default());
        let clean = Writer::open(
            Fake::new(Arc::clone(&objects), Vec::new()),
            Jumping::default(),
            Config::default(),
        );
        block_on(async {
            let mut base = None;
            for _ in 0..u.int_in_range(0..=10)? {
                clean.write("mine", base.as_ref(), b"base").await;
                base = clean.read("mine").await.unwrap();
            }
            let script: Result<Vec<Action>, _> =
                (0..SCRIPTED_CALLS).map(|_| u.arbitrary()).collect();
            let fake = Fake::new(objects, script?);
            check_verdict(fake, base.as_ref()).await;
            Ok(())
        })
    })
    .size_min(256)
    .budget_ms(800);
}

async fn check_verdict(fake: Fake, base: Option<&Stamped>) {
    let writer = Writer::open(fake.clone(), Jumping::default(), Config::default());
    let verdict = writer.write("mine", base, b"mine").await;
    fake.apply_deferred();
    let effects = *fake.effect_count.lock();
    match verdict {
        Verdict::Written(_) | Verdict::Superseded => assert_eq!(effects, 1, "{verdict:?}"),
        Verdict::Conflict | Verdict::NotWritten(_) => assert_eq!(effects, 0, "{verdict:?}"),
        Verdict::Indeterminate(_) => assert!(effects <= 1, "{verdict:?}"),
    }
    if let Verdict::Written(revision) = verdict {
        let found = fake.objects.read("mine");
        assert!(found.is_some_and(|found| found.revision >= revision));
    }
}
