//! Tests of the client against the platform stand-in.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use clock::{Boottime, Clock};
use platform::count::Kind;
use platform::{Error, Health, Instance, Outcome, Revision, Store};
use smol::block_on;
use smol::future::zip;
use stand_in::platform::Outage;

use crate::tools::{bind, loopback, open, server, TIME_LIMIT};

#[test]
fn objects_are_created_read_updated_listed_and_removed() {
    let (_platform, client) = bind();
    block_on(async {
        let path = "claims/ä b/../1&2?%";
        assert_eq!(client.read(path).await, Ok(None));
        assert_eq!(
            client.write(path, None, b"one").await,
            Ok(Outcome::Written(Revision(1)))
        );
        assert_eq!(
            client.write(path, None, b"two").await,
            Ok(Outcome::Conflict)
        );
        let second = client.write(path, Some(Revision(1)), b"two").await;
        assert_eq!(second, Ok(Outcome::Written(Revision(2))));
        let object = client.read(path).await.unwrap().unwrap();
        assert_eq!(
            (object.revision, object.value),
            (Revision(2), b"two".to_vec())
        );
        assert_eq!(client.list("claims/").await.unwrap(), [path]);
        assert_eq!(client.list("claims/b").await.unwrap(), [""; 0]);
        assert_eq!(
            client.remove(path, Revision(1)).await,
            Ok(Outcome::Conflict)
        );
        assert!(matches!(
            client.remove(path, Revision(2)).await,
            Ok(Outcome::Written(_))
        ));
        assert_eq!(client.read(path).await, Ok(None));
    });
}

#[test]
fn of_two_racing_writers_one_wins() {
    let (_platform, client) = bind();
    let (one, two) = block_on(zip(
        client.write("roster", None, b"one"),
        client.write("roster", None, b"two"),
    ));
    let mut outcomes = [one.unwrap(), two.unwrap()];
    outcomes.sort_by_key(|outcome| *outcome == Outcome::Conflict);
    assert_eq!(outcomes, [Outcome::Written(Revision(1)), Outcome::Conflict]);
}

#[test]
fn a_watch_wakes_on_a_write_and_waits_no_longer_than_its_limit() {
    let (platform, client) = bind();
    block_on(async {
        let began = Boottime.now();
        let limit = Duration::from_millis(60);
        assert_eq!(client.watch("head", None, limit).await, Ok(None));
        assert!(Boottime.now() - began >= limit);

        let writing = async {
            Boottime.sleep(Duration::from_millis(30)).await;
            platform.objects().write("head", None, b"new".to_vec())
        };
        let watching = client.watch("head", None, Duration::from_secs(20));
        let (object, _) = zip(watching, writing).await;
        assert_eq!(object.unwrap().unwrap().value, b"new");
        assert!(Boottime.now() - began < Duration::from_secs(5));
    });
}

#[test]
fn values_of_the_largest_size_pass_and_larger_ones_do_not() {
    let (platform, client) = bind();
    block_on(async {
        let limit = platform::http::MAX_VALUE_BYTES;
        let value: Vec<u8> = (0..limit).map(|index| index as u8).collect();
        client.write("big", None, &value).await.unwrap();
        assert_eq!(client.read("big").await.unwrap().unwrap().value, value);

        let size = limit + 1;
        let refused = client.write("bigger", None, &vec![0; size]).await;
        assert_eq!(refused, Err(Error::TooLarge { size, limit }));
        assert_eq!(platform.counts().writes, 1);
    });
}

fn check_outage(outage: Outage, is_certain: bool) {
    let (platform, client) = bind();
    block_on(async {
        client.write("kept", None, b"value").await.unwrap();
        platform.set_outage(Some(outage)).unwrap();
        let read = client.read("kept").await;
        assert!(matches!(read, Err(Error::Unavailable { .. })), "{read:?}");
        let write = client.write("other", None, b"value").await;
        let unavailable = matches!(write, Err(Error::Unavailable { .. }));
        let unknown = matches!(write, Err(Error::Indeterminate { .. }));
        assert_eq!(
            (unavailable, unknown),
            (is_certain, !is_certain),
            "{write:?}"
        );

        platform.set_outage(None).unwrap();
        assert_eq!(client.read("other").await, Ok(None));
        assert_eq!(client.read("kept").await.unwrap().unwrap().value, b"value");
    });
    assert_eq!(client.counts().calls(Kind::Read), 3);
    assert_eq!(client.counts().failures(Kind::Write), 1);
}

cases! {
    a_refused_write_has_no_effect => check_outage(Outage::Refuse, true);
    a_write_answered_503_has_no_effect => check_outage(Outage::Unavailable, true);
    a_write_without_a_response_is_indeterminate => check_outage(Outage::Hang, false);
}

#[test]
fn a_write_that_took_effect_is_indeterminate_if_the_platform_is_slow() {
    let (platform, client) = bind();
    platform.set_delay(TIME_LIMIT * 4);
    let write = block_on(client.write("slow", None, b"value"));
    assert!(
        matches!(write, Err(Error::Indeterminate { .. })),
        "{write:?}"
    );
    assert!(platform.objects().read("slow").is_some());
}

/// Responds `404` to every request and sends a message for each new connection.
fn count_connections(listener: TcpListener, connected: mpsc::Sender<()>) {
    for stream in listener.incoming() {
        connected.send(()).unwrap();
        let mut stream = stream.unwrap();
        thread::spawn(move || {
            let mut head = [0; 2048];
            while stream.read(&mut head).unwrap_or(0) > 0 {
                let response = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(response).unwrap();
            }
        });
    }
}

#[test]
fn connections_are_kept_between_calls() {
    let listener = TcpListener::bind(loopback()).unwrap();
    let client = open(listener.local_addr().unwrap());
    let (connecting, connected) = mpsc::channel();
    thread::spawn(move || count_connections(listener, connecting));
    for _ in 0..5 {
        assert_eq!(block_on(client.read("path")), Ok(None));
    }
    assert_eq!(connected.try_iter().count(), 1);
}

#[test]
fn the_lists_lag() {
    let (platform, client) = bind();
    let instance = Instance {
        name: "i-1".into(),
        address: loopback(),
        centre: "north".into(),
        health: Health::Leaving,
    };
    platform.set_servers(vec![server("s-1")]);
    platform.set_instances(vec![instance.clone()]);
    platform.set_lag(Duration::from_millis(100));
    platform.set_servers(Vec::new());
    block_on(async {
        assert_eq!(client.servers().await.unwrap(), [server("s-1")]);
        assert_eq!(client.instances().await.unwrap(), [instance]);
        Boottime.sleep(Duration::from_millis(120)).await;
        assert_eq!(client.servers().await.unwrap(), []);
    });
}
