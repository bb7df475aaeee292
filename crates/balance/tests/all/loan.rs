//! What data centres lend each other.
//!
//! Pattern: *one data centre without work while all are busy*: its callers need the servers of the
//! others, which have little room.

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

fn balance(need: f64, capacity: f64) -> Usage {
    Usage {
        demand: need,
        capacity,
    }
}

fn other<'a>((centre, balance): (&'a str, &Usage)) -> Remote<'a> {
    Remote {
        centre,
        usage: *balance,
        borrows: false,
    }
}

/// Checks what a data centre with `own` lends to the others, as parts of its capacity.
fn lends(own: Usage, others: &[Usage], expected: &[f64]) {
    let names = ["north", "south", "west"];
    let others: Vec<Remote<'_>> = names.into_iter().zip(others).map(other).collect();
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
    nothing_while_all_have_enough =>
        lends(balance(5.0, 10.0), &[balance(7.0, 10.0), balance(2.0, 10.0)], &[0.0, 0.0]);
    half_to_one_that_has_none => lends(balance(6.0, 20.0), &[balance(6.0, 0.0)], &[0.5]);
    its_part_beside_another_lender => lends(
        balance(4.0, 12.0),
        &[balance(4.0, 0.0), balance(4.0, 12.0)],
        &[1.0 / 3.0, 0.0],
    );
    also_while_all_have_too_little => lends(balance(20.0, 10.0), &[balance(20.0, 0.0)], &[0.5]);
    nothing_without_servers_of_its_own => lends(balance(0.0, 0.0), &[balance(5.0, 1.0)], &[0.0]);
    nothing_without_work => lends(balance(0.0, 9.0), &[balance(0.0, 0.0)], &[0.0]);
}

#[test]
fn loan_stays_while_it_should_change_by_little() {
    let (mut table, loans) = lend(6.0, balance(6.0, 0.0));
    let number = |loans: &Loans| loans.iter().map(|(_, keys)| keys.len()).sum::<usize>();
    for (need, expected) in [(7.5, number(&loans)), (24.0, 6), (0.0, 0)] {
        let needs = BTreeMap::from([("gauge".to_owned(), 6.0)]);
        let own = Lender::new(&table, at(1)).usage(&needs)[0].1;
        let next = Lender::new(&table, at(1)).loans("gauge", own, &[("west", balance(need, 0.0))]);
        assert_eq!(number(&next), expected, "{need}");
        table.lend(next);
    }
}

/// Nobody lends more than it has beyond its own part, and nobody gets more than it lacks.
#[test]
fn work_is_never_spread_less_evenly() {
    arbtest(|u| {
        let count = u.int_in_range(2..=5_usize)?;
        let mut balances = Vec::new();
        for _ in 0..count {
            let need = f64::from(u.int_in_range(0..=200_u32)?);
            balances.push(balance(need, f64::from(u.int_in_range(0..=200_u32)?)));
        }
        let names = ["a", "b", "c", "d", "e"];
        let (mut lent, mut got) = (vec![0.0; count], vec![0.0; count]);
        for i in 0..count {
            let others = (0..count).filter(|j| *j != i);
            let others: Vec<Remote<'_>> = others.map(|j| other((names[j], &balances[j]))).collect();
            for (centre, part) in shares(balances[i], &others) {
                let to = names.iter().position(|n| *n == centre).unwrap();
                lent[i] += part * balances[i].capacity;
                got[to] += part * balances[i].capacity;
            }
        }
        let need: f64 = balances.iter().map(|b| b.demand).sum();
        let capacity: f64 = balances.iter().map(|b| b.capacity).sum();
        let level = need / capacity.max(1e-9);
        for i in 0..count {
            assert!(lent[i] == 0.0 || got[i] == 0.0, "{balances:?}");
            let left = balances[i].capacity - lent[i];
            let keeps = balances[i].demand <= left * level + 1e-6;
            assert!(lent[i] == 0.0 || keeps, "{balances:?} {lent:?}");
            let has = balances[i].capacity + got[i];
            let enough = has * level <= balances[i].demand + 1e-6;
            assert!(got[i] == 0.0 || enough, "{balances:?} {got:?}");
        }
        Ok(())
    });
}

/// Servers of `east` and `west`, as both see them.
fn servers() -> Vec<Server> {
    let east = (0..8).map(|i| server(&format!("e{i}"), "east"));
    east.chain((0..8).map(|i| server(&format!("w{i}"), "west")))
        .collect()
}

fn lend(need: f64, other: Usage) -> (Table, Loans) {
    let mut table = Table::new(ME, "east");
    table.update(servers().iter(), false, at(0));
    let needs = BTreeMap::from([("gauge".to_owned(), need)]);
    let own = Lender::new(&table, at(1)).usage(&needs)[0].1;
    let loans = Lender::new(&table, at(1)).loans("gauge", own, &[("west", other)]);
    table.lend(loans.clone());
    (table, loans)
}

#[test]
fn lender_stays_away_from_what_it_lends_and_borrower_uses_it() {
    let (lender, loans) = lend(6.0, balance(6.0, 0.0));
    let [(centre, lent)] = &loans[..] else {
        panic!("{loans:?}");
    };
    assert_eq!((centre.as_str(), lent.len()), ("west", 4));
    let mut borrower = Table::new(PEER, "west");
    borrower.update(servers().iter(), false, at(0));
    borrower.set_evacuated(HashSet::from(["west".to_owned()]));
    borrower.borrow("east", lent);
    // No other room is known to be there.
    borrower.set_spillover_headroom("east", "gauge", 0.0);
    let keys = |table: &Table| -> HashSet<Key> {
        let candidates = table
            .candidates(&query(&Filter::Base, &[], 1), at(2))
            .unwrap();
        candidates.iter().map(|c| c.choice.key).collect()
    };
    let lent: HashSet<Key> = lent.iter().copied().collect();
    // The lender has had requests there, of which nothing is known yet.
    assert!(borrower
        .candidates(&query(&Filter::Base, &[], 1), at(2))
        .is_err());
    for key in &lent {
        let backend = borrower.get_mut(*key).unwrap();
        backend.record_probe(Duration::ZERO, at(2));
    }
    assert_eq!(keys(&borrower), lent);
    assert!(keys(&lender).is_disjoint(&lent));
    // A lender that is not heard of any more has its servers back.
    borrower.lending.retain_lenders(&[]);
    assert!(borrower
        .candidates(&query(&Filter::Base, &[], 1), at(2))
        .is_err());
}

#[test]
fn same_servers_are_lent_while_about_as_many_are_needed() {
    let [(_, few)] = &lend(6.0, balance(5.0, 1.0)).1[..] else {
        panic!("nothing is lent");
    };
    let [(_, more)] = &lend(6.0, balance(8.0, 1.0)).1[..] else {
        panic!("nothing is lent");
    };
    assert!(few.len() < more.len());
    assert!(few.iter().all(|key| more.contains(key)));
}

#[test]
fn only_servers_that_can_work_are_lent() {
    let mut table = Table::new(ME, "east");
    table.update(servers().iter(), false, at(0));
    let sick: Vec<Key> = servers()[..4].iter().map(Server::key).collect();
    table.get_mut(sick[0]).unwrap().require_probe();
    table
        .get_mut(sick[1])
        .unwrap()
        .record_connection_failure(false, at(1));
    let cold = Duration::from_secs(3);
    table.get_mut(sick[2]).unwrap().record_probe(cold, at(1));
    table.record_report(sick[3], report(0, 400), at(1));
    let needs = BTreeMap::from([("gauge".to_owned(), 1.0)]);
    let own = Lender::new(&table, at(1)).usage(&needs)[0].1;
    // Five servers can work, each with three slots below its knee.
    let expected = 5.0 * 3.0 * table.slowdown().mean_speed();
    assert!((own.capacity - expected).abs() < 1e-9, "{own:?}");
    let loans = Lender::new(&table, at(1)).loans("gauge", own, &[("west", balance(50.0, 0.0))]);
    assert!(loans[0].1.iter().all(|key| !sick[..3].contains(key)));
}
