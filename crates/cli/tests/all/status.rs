//! What `status` finds.

use std::time::Duration;

use cli::status::Overview;
use cli::Console;
use contract::digest::Digest;
use contract::report::{Bundle, Member, Pool, Server, Status};

use crate::cases;

/// Returns the report of an instance with nothing to find.
pub(crate) fn report(name: &str) -> Status {
    let member = |name: &str| Member {
        name: name.into(),
        last_heard: Some(Duration::from_millis(200)),
    };
    Status {
        instance: name.into(),
        centre: "east".into(),
        epoch: 3,
        bundle: Some(Bundle {
            version: 7,
            digest: Digest([7; 32]),
        }),
        members: vec![member("one"), member("two")],
        store_reachable: true,
        pools: vec![Pool {
            // Only the owner knows the servers.
            servers: pool(name)
                .servers
                .into_iter()
                .filter(|_| name == "one")
                .collect(),
            ..pool("one")
        }],
    }
}

fn pool(owner: &str) -> Pool {
    Pool {
        service: "gauge".into(),
        centre: "east".into(),
        owner: Some(owner.into()),
        waiting: 0,
        servers: vec![Server {
            name: "g1".into(),
            version: "v1".into(),
            allowance: 4,
            live: 1,
            state: vec!["warm".into()],
        }],
    }
}

/// Checks the codes of the findings, in their order, after `change` to two reports.
fn findings(change: impl Fn(&mut [Status; 2]), expected: &[&str]) {
    let mut reports = [report("one"), report("two")];
    change(&mut reports);
    let overview = Overview::new(reports.to_vec(), &[]);
    let found: Vec<&str> = overview.attention.iter().map(|f| f.code()).collect();
    assert_eq!(found, expected);
}

cases! {
    nothing: findings(|_| {}, &[]);
    fork: findings(|r| r[0].bundle.as_mut().unwrap().digest = Digest([8; 32]), &["fork"]);
    behind: findings(|r| r[1].bundle.as_mut().unwrap().version = 6, &["behind"]);
    no_bundle: findings(|r| r[1].bundle = None, &["no-bundle"]);
    store: findings(|r| r[1].store_reachable = false, &["store-unreachable"]);
    silent: findings(
        |r| r[0].members[1].last_heard = Some(Duration::from_millis(3001)),
        &["member-silent"],
    );
    never_heard: findings(|r| r[0].members[1].last_heard = None, &["member-silent"]);
    itself_unheard: findings(|r| r[0].members[0].last_heard = None, &[]);
    no_owner: findings(
        |r| r.iter_mut().for_each(|r| r.pools[0].owner = None),
        &["no-owner"],
    );
    owner_unknown_to_one: findings(|r| r[1].pools[0].owner = None, &[]);
    two_owners: findings(|r| r[1].pools = vec![pool("two")], &["two-owners"]);
    handover: findings(|r| (r[1].pools, r[1].epoch) = (vec![pool("two")], 4), &[]);
    no_server: findings(
        |r| {
            r[0].pools[0].servers.clear();
            r[0].pools[0].waiting = 1;
        },
        &["no-server"],
    );
    no_server_before_any_call: findings(
        |r| r[0].pools[0].servers.clear(),
        &["no-server-known"],
    );
    no_allowance: findings(|r| r[0].pools[0].servers[0].allowance = 0, &["no-server"]);
    deputy_without_servers: findings(
        |r| {
            r[0].pools[0].owner = Some("gone".into());
            r[0].pools[0].servers[0].allowance = 0;
            r[1].pools[0] = r[0].pools[0].clone();
            r[1].pools[0].servers.clear();
        },
        &["no-server"],
    );
    owner_not_asked: findings(
        |r| r.iter_mut().for_each(|r| {
            r.pools[0].owner = Some("gone".into());
            r.pools[0].servers.clear();
        }),
        &[],
    );
    waiting: findings(|r| r[0].pools[0].waiting = 9, &["waiting"]);
    urgent_first: findings(
        |r| {
            r[0].pools[0].waiting = 9;
            r[0].store_reachable = false;
            r[1].pools = vec![pool("two")];
        },
        &["two-owners", "store-unreachable", "waiting"],
    );
}

#[test]
fn attention_is_printed_first() {
    let mut reports = vec![report("one"), report("two")];
    reports[1].store_reachable = false;
    let printed = Overview::new(reports, &[]).to_string();
    assert!(
        printed.starts_with("Needs attention:\n  ! two cannot reach"),
        "{printed}"
    );
    assert!(printed.contains("g1 (v1): 1 of 4, warm"), "{printed}");
}

#[test]
fn reports_cannot_steer_the_terminal() {
    let overview = Overview::new(vec![report("one\u{1b}[2J\r")], &[]);
    let mut output = Vec::new();
    let mut console = Console::new(&b""[..], &mut output, Vec::new());
    console.print(&overview).unwrap();
    let printed = String::from_utf8(output).unwrap();
    assert!(
        printed.contains("\n  one\u{fffd}[2J\u{fffd} in east"),
        "{printed:?}"
    );
}

#[test]
fn pools_name_who_acts_for_them() {
    let mut reports = vec![report("one"), report("two")];
    let printed = |reports: &[Status]| Overview::new(reports.to_vec(), &[]).to_string();
    assert!(printed(&reports).contains("gauge in east: owner one, servers: 1"));
    reports[0].pools[0].owner = Some("gone".into());
    assert!(printed(&reports).contains("gauge in east: one acts for the owner gone, servers: 1"));
    reports[0].pools[0].servers.clear();
    reports[1].pools.clear();
    assert!(printed(&reports).contains("gauge in east: the owner gone has not answered"));
}
