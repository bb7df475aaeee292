//! Tests of lending servers between data centres.
//!
//! Scenario: *one data centre is evacuated while all are busy*. Its callers need the servers of the
//! others, which have little headroom.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use arbtest::arbtest;
use balance::lender::Lender;
use balance::lending::Loans;
use balance::loan::{shares, Remote, Usage};
use balance::rollout::Filter;
use balance::server::{Key, Server};
use balance::table::Table;

use crate::cases;
use crate::support::{at, query, report, server, ME, PEER};

fn usage(demand: f64, capacity: f64) -> Usage {
    Usage { demand, capacity }
}

fn remote<'a>((centre, usage): (&'a str, &Usage)) -> Remote<'a> {
    Remote {
        centre,
        usage: *usage,
        borrows: false,
    }
}

/// Checks which shares of its capacity a data centre with the usage `own` lends to the others.
fn check_shares(own: Usage, others: &[Usage], expected: &[f64]) {
    let names = ["north", "south", "west"];
    let others: Vec<Remote<'_>> = names.into_iter().zip(others).map(remote).collect();
    let lent = shares(own, &others);
    let found: Vec<f64> = names
        .iter()
        .map(|name| lent.iter().find(|(c, _)| c == name).map_or(0.0, |l| l.1))
        .collect();
    for (found, expected) in found.iter().zip(expected) {
        assert!((found - expected).abs() < 1e-9, "{lent:?}");
    }
}

cases! {
    nothing_is_lent_while_all_have_enough =>
        check_shares(usage(5.0, 10.0), &[usage(7.0, 10.0), usage(2.0, 10.0)], &[0.0, 0.0]);
    half_is_lent_to_one_without_servers =>
        check_shares(usage(6.0, 20.0), &[usage(6.0, 0.0)], &[0.5]);
    lenders_share_the_deficit => check_shares(
        usage(4.0, 12.0),
        &[usage(4.0, 0.0), usage(4.0, 12.0)],
        &[1.0 / 3.0, 0.0],
    );
    servers_are_lent_even_if_all_have_too_few =>
        check_shares(usage(20.0, 10.0), &[usage(20.0, 0.0)], &[0.5]);
    nothing_is_lent_without_own_servers =>
        check_shares(usage(0.0, 0.0), &[usage(5.0, 1.0)], &[0.0]);
    nothing_is_lent_without_demand => check_shares(usage(0.0, 9.0), &[usage(0.0, 0.0)], &[0.0]);
}

#[test]
fn loan_is_kept_while_it_should_change_by_little() {
    let (mut table, loans) = lend(6.0, usage(6.0, 0.0));
    let number = |loans: &Loans| loans.iter().map(|(_, keys)| keys.len()).sum::<usize>();
    for (demand, expected) in [(7.5, number(&loans)), (24.0, 6), (0.0, 0)] {
        let demands = BTreeMap::from([("gauge".to_owned(), 6.0)]);
        let own = Lender::new(&table, at(1)).usage(&demands)[0].1;
        let next = Lender::new(&table, at(1)).loans("gauge", own, &[("west", usage(demand, 0.0))]);
        assert_eq!(number(&next), expected, "{demand}");
        table.lend(next);
    }
}

/// No data centre lends more than its surplus, and none borrows more than its deficit.
#[test]
fn lending_never_makes_utilisation_less_even() {
    arbtest(|u| {
        let count = u.int_in_range(2..=5_usize)?;
        let mut usages = Vec::new();
        for _ in 0..count {
            let demand = f64::from(u.int_in_range(0..=200_u32)?);
            usages.push(usage(demand, f64::from(u.int_in_range(0..=200_u32)?)));
        }
        let names = ["a", "b", "c", "d", "e"];
        let (mut lent, mut borrowed) = (vec![0.0; count], vec![0.0; count]);
        for i in 0..count {
            let others = (0..count).filter(|j| *j != i);
            let others: Vec<Remote<'_>> = others.map(|j| remote((names[j], &usages[j]))).collect();
            for (centre, share) in shares(usages[i], &others) {
                let to = names.iter().position(|n| *n == centre).unwrap();
                lent[i] += share * usages[i].capacity;
                borrowed[to] += share * usages[i].capacity;
            }
        }
        let demand: f64 = usages.iter().map(|b| b.demand).sum();
        let capacity: f64 = usages.iter().map(|b| b.capacity).sum();
        let utilisation = demand / capacity.max(1e-9);
        for i in 0..count {
            assert!(lent[i] == 0.0 || borrowed[i] == 0.0, "{usages:?}");
            let remaining = usages[i].capacity - lent[i];
            let keeps_enough = usages[i].demand <= remaining * utilisation + 1e-6;
            assert!(lent[i] == 0.0 || keeps_enough, "{usages:?} {lent:?}");
            let available = usages[i].capacity + borrowed[i];
            let is_needed = available * utilisation <= usages[i].demand + 1e-6;
            assert!(borrowed[i] == 0.0 || is_needed, "{usages:?} {borrowed:?}");
        }
        Ok(())
    });
}

/// Returns the servers of `east` and `west`, which both know.
fn servers() -> Vec<Server> {
    let east = (0..8).map(|i| server(&format!("e{i}"), "east"));
    east.chain((0..8).map(|i| server(&format!("w{i}"), "west")))
        .collect()
}

/// Returns the table of `east`, whose callers have `demand`, and its loans to `west`.
fn lend(demand: f64, other: Usage) -> (Table, Loans) {
    let mut table = Table::new(ME, "east");
    table.update(servers().iter(), false, at(0));
    let demands = BTreeMap::from([("gauge".to_owned(), demand)]);
    let own = Lender::new(&table, at(1)).usage(&demands)[0].1;
    let loans = Lender::new(&table, at(1)).loans("gauge", own, &[("west", other)]);
    table.lend(loans.clone());
    (table, loans)
}

#[test]
fn lent_servers_are_used_by_the_borrower_only() {
    let (lender, loans) = lend(6.0, usage(6.0, 0.0));
    let [(centre, lent)] = &loans[..] else {
        panic!("{loans:?}");
    };
    assert_eq!((centre.as_str(), lent.len()), ("west", 4));
    let mut borrower = Table::new(PEER, "west");
    borrower.update(servers().iter(), false, at(0));
    borrower.set_evacuated(HashSet::from(["west".to_owned()]));
    borrower.borrow("east", lent);
    // The lender has no further headroom.
    borrower.set_spillover_headroom("east", "gauge", 0.0);
    let keys = |table: &Table| -> HashSet<Key> {
        let candidates = table
            .candidates(&query(&Filter::Base, &[], 1), at(2))
            .unwrap();
        candidates.iter().map(|c| c.choice.key).collect()
    };
    let lent: HashSet<Key> = lent.iter().copied().collect();
    // The lender sent requests to them, and their state is not known yet.
    assert!(borrower
        .candidates(&query(&Filter::Base, &[], 1), at(2))
        .is_err());
    for key in &lent {
        let backend = borrower.get_mut(*key).unwrap();
        backend.record_probe(Duration::ZERO, at(2));
    }
    assert_eq!(keys(&borrower), lent);
    assert!(keys(&lender).is_disjoint(&lent));
    // The servers of a lender that is out of contact are no longer borrowed.
    borrower.retain_lenders(&[]);
    assert!(borrower
        .candidates(&query(&Filter::Base, &[], 1), at(2))
        .is_err());
}

#[test]
fn larger_loan_includes_the_servers_of_a_smaller_one() {
    let [(_, few)] = &lend(6.0, usage(5.0, 1.0)).1[..] else {
        panic!("nothing is lent");
    };
    let [(_, more)] = &lend(6.0, usage(8.0, 1.0)).1[..] else {
        panic!("nothing is lent");
    };
    assert!(few.len() < more.len());
    assert!(few.iter().all(|key| more.contains(key)));
}

#[test]
fn only_usable_servers_are_lent() {
    let mut table = Table::new(ME, "east");
    table.update(servers().iter(), false, at(0));
    let impaired: Vec<Key> = servers()[..4].iter().map(Server::key).collect();
    table.get_mut(impaired[0]).unwrap().require_probe();
    table
        .get_mut(impaired[1])
        .unwrap()
        .record_connection_failure(false, at(1));
    let cold = Duration::from_secs(3);
    table
        .get_mut(impaired[2])
        .unwrap()
        .record_probe(cold, at(1));
    table.record_report(impaired[3], report(0, 400), at(1));
    let demands = BTreeMap::from([("gauge".to_owned(), 1.0)]);
    let own = Lender::new(&table, at(1)).usage(&demands)[0].1;
    // Five servers are usable, each with three slots below its knee.
    let expected = 5.0 * 3.0 * table.slowdown().mean_speed();
    assert!((own.capacity - expected).abs() < 1e-9, "{own:?}");
    let loans = Lender::new(&table, at(1)).loans("gauge", own, &[("west", usage(50.0, 0.0))]);
    assert!(loans[0].1.iter().all(|key| !impaired[..3].contains(key)));
}
