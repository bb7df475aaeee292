//! Changes of the store's records.

use std::time::{Duration, Instant};

use balance::record::{Kind, Record};

use crate::cases;
use crate::script::{Action, Backend, OK};
use crate::site::{bound, config, config_without_route, server, status, Site};

#[test]
fn draining_server_gets_no_requests() {
    let backends = [
        Backend::spawn(&[Action::Respond(OK)]),
        Backend::spawn(&[Action::Respond(OK)]),
    ];
    let site = Site::open(&[&backends[0], &backends[1]]);
    let Record::Server(mut leaving) = server("s0", backends[0].address) else {
        unreachable!("it is a server");
    };
    (leaving.draining, leaving.sequence) = (true, 2);
    site.store
        .put(Kind::Servers, "s0", Some(Record::Server(leaving)));
    site.wait_until(|site| {
        let before = backends[0].requests().len();
        for _ in 0..10 {
            assert_eq!(status(&site.call("GET", "/safe/1", "")), 200);
        }
        backends[0].requests().len() == before
    });
    let before = backends[0].requests().len();
    for _ in 0..20 {
        site.call("GET", "/safe/1", "");
    }
    assert_eq!(backends[0].requests().len(), before);
}

#[test]
fn older_configuration_is_ignored() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    let Record::Config(mut newer) = config(9) else {
        unreachable!("it is a configuration");
    };
    newer.routes.retain(|route| route.name == "safe");
    site.store
        .put(Kind::Config, "main", Some(Record::Config(newer)));
    site.wait_until(|site| status(&site.call("GET", "/once/1", "")) == 404);
    site.store.put(Kind::Config, "main", Some(config(4)));
    for _ in 0..20 {
        assert_eq!(status(&site.call("GET", "/once/1", "")), 404);
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn evacuated_data_centre_leaves_no_server() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    site.store
        .put(Kind::Evacuations, "east", Some(Record::Evacuation));
    site.wait_until(|site| status(&site.call("GET", "/safe/1", "")) == 503);
    site.store.put(Kind::Evacuations, "east", None);
    site.wait_until(|site| status(&site.call("GET", "/safe/1", "")) == 200);
}

/// The time between two long-polling calls for servers that follow each other.
const BATCH_TIME: Duration = Duration::from_millis(400);

/// What fails besides the connection of a long-polling call.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Nothing,
    /// The connections that are kept for later calls.
    KeptConnections,
    /// The next check, on all connections.
    Check,
}

/// Writes `record` while the call of its kind is silent, and returns how long it takes until it leads to
/// this status of a request.
fn delay_of_change(
    failure: Failure,
    kind: Kind,
    name: &str,
    record: Option<Record>,
    expected: u16,
) -> Duration {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    assert_eq!(status(&site.call("GET", "/safe/1", "")), 200);
    site.wait_until(|site| site.store.is_watched(kind));
    std::thread::sleep(BATCH_TIME);
    match failure {
        Failure::Nothing => site.store.silence_watches(kind),
        Failure::KeptConnections => site.store.silence_connections(kind),
        Failure::Check => {
            site.store.silence_watches(kind);
            // The check, which is to confirm all kinds, and its repetition on a new connection.
            site.store.lose_checks(Kind::Config, 2);
            site.wait_until(|site| site.store.has_lost_checks());
        }
    }
    let changed_at = Instant::now();
    site.store.put(kind, name, record);
    site.wait_until(|site| status(&site.call("GET", "/safe/1", "")) == expected);
    changed_at.elapsed()
}

/// Guards against records that stay old because the connection of a long-polling call has fallen
/// silent, which other calls of the store do not show.
fn silent_watch(kind: Kind, name: &str, record: Option<Record>, expected: u16) {
    delay_of_change(Failure::Nothing, kind, name, record, expected);
}

/// Guards against changes whose delay nothing bounds, since the call that is to return them and what
/// checks it have failed together.
fn silent_watch_and(
    failure: Failure,
    kind: Kind,
    name: &str,
    record: Option<Record>,
    expected: u16,
) {
    let delay = delay_of_change(failure, kind, name, record, expected);
    assert!(delay < bound(kind), "{delay:?}");
}

/// Guards against a check without a response that counts as one, because calls of other kinds succeed.
#[test]
fn configuration_is_confirmed_soon_after_a_lost_check_while_other_calls_succeed() {
    /// Less than the interval between two checks that get a response.
    const LIMIT: Duration = Duration::from_secs(1);
    const FRESH_SECS: f64 = 0.5;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
    let site = Site::open(&[]);
    site.wait_until(|site| site.store.is_watched(Kind::Config));
    site.store.silence_watches(Kind::Config);
    // The check and its repetition on a new connection.
    site.store.lose_checks(Kind::Config, 2);
    let change = || {
        let record = Some(Record::Evacuation);
        site.store.put(Kind::Evacuations, "west", record);
        std::thread::sleep(CHANGE_INTERVAL);
    };
    site.wait_until(|site| {
        change();
        site.store.has_lost_checks()
    });
    let lost_at = Instant::now();
    let age = || site.metric("records_age_seconds{kind=\"config\"}").unwrap();
    while age() > FRESH_SECS {
        change();
        assert!(lost_at.elapsed() < LIMIT, "{} s old", age());
    }
}

/// Guards against a reader that abandons a long-polling call while the response arrives, if slowly, and
/// begins it anew each time.
#[test]
fn response_that_arrives_slowly_is_not_abandoned() {
    let backend = Backend::spawn(&[Action::Respond(OK)]);
    let site = Site::open(&[&backend]);
    site.wait_until(|site| site.store.is_watched(Kind::Config));
    site.store.set_transfer_time(Duration::from_secs(4));
    site.store
        .put(Kind::Config, "main", Some(config_without_route()));
    site.wait_until(|site| status(&site.call("GET", "/safe/1", "")) == 404);
}

cases! {
    configuration_is_applied_despite_a_silent_watch =>
        silent_watch(Kind::Config, "main", Some(config_without_route()), 404);
    server_is_removed_despite_a_silent_watch => silent_watch(Kind::Servers, "s0", None, 503);
    configuration_is_in_force_in_time_despite_silent_kept_connections =>
        silent_watch_and(Failure::KeptConnections, Kind::Config, "main", Some(config_without_route()), 404);
    server_is_removed_in_time_despite_silent_kept_connections =>
        silent_watch_and(Failure::KeptConnections, Kind::Servers, "s0", None, 503);
    configuration_is_in_force_in_time_despite_a_lost_check =>
        silent_watch_and(Failure::Check, Kind::Config, "main", Some(config_without_route()), 404);
    server_is_removed_in_time_despite_a_lost_check =>
        silent_watch_and(Failure::Check, Kind::Servers, "s0", None, 503);
    data_centre_is_evacuated_in_time_despite_silent_kept_connections => {
        let record = Some(Record::Evacuation);
        silent_watch_and(Failure::KeptConnections, Kind::Evacuations, "east", record, 503);
    };
    data_centre_is_evacuated_despite_a_silent_watch =>
        silent_watch(Kind::Evacuations, "east", Some(Record::Evacuation), 503);
}
