//! Tests that replicas never move back and equal the store's records at their revision.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::record::Record;
use balance::replica::{Change, Delta, Replica};

/// The store's records at each revision, with the changes that led to it.
struct History(Vec<(BTreeMap<String, Record>, Vec<Change>)>);

impl History {
    fn arbitrary(u: &mut Unstructured<'_>) -> Result<Self> {
        let mut steps = vec![(BTreeMap::new(), Vec::new())];
        for _ in 0..u.int_in_range(1..=100_usize)? {
            let (mut records, _) = steps[steps.len() - 1].clone();
            let name = u.int_in_range(0..=5_u8)?.to_string();
            let record = u.ratio(2_u8, 3_u8)?.then_some(Record::Evacuation);
            match &record {
                Some(record) => records.insert(name.clone(), record.clone()),
                None => records.remove(&name),
            };
            steps.push((records, vec![(name, record)]));
        }
        Ok(Self(steps))
    }

    fn full_delta(&self, revision: usize) -> Delta {
        let records = &self.0[revision].0;
        Delta {
            after: None,
            revision: revision as u64,
            changes: records
                .iter()
                .map(|(n, r)| (n.clone(), Some(r.clone())))
                .collect(),
            after_outage: false,
        }
    }

    fn delta_between(&self, after: usize, revision: usize) -> Delta {
        let steps = &self.0[after + 1..=revision];
        Delta {
            after: Some(after as u64),
            revision: revision as u64,
            changes: steps
                .iter()
                .flat_map(|(_, changes)| changes.clone())
                .collect(),
            after_outage: false,
        }
    }
}

fn check(replica: &Replica, history: &History) {
    let revision = usize::try_from(replica.revision()).unwrap();
    assert_eq!(replica.records(), &history.0[revision].0);
}

/// Two instances read parts of the history, in any order, from the store and from each other.
#[test]
fn replicas_equal_the_store_whichever_instance_read_it() {
    arbtest(|u| {
        let history = History::arbitrary(u)?;
        let last = history.0.len() - 1;
        let mut replicas = [Replica::default(), Replica::default()];
        for _ in 0..u.int_in_range(1..=40_usize)? {
            let reader = u.choose_index(2)?;
            let previous = replicas[reader].revision();
            let revision = u.int_in_range(0..=last)?;
            let delta = match u.int_in_range(0..=2_u8)? {
                0 => Some(history.full_delta(revision)),
                1 => Some(history.delta_between(u.int_in_range(0..=revision)?, revision)),
                _ => replicas[1 - reader].delta_since(previous),
            };
            if let Some(delta) = delta {
                replicas[reader].apply(&delta).unwrap();
            }
            assert!(
                replicas[reader].revision() >= previous,
                "the revision never decreases"
            );
            check(&replicas[reader], &history);
        }
        Ok(())
    });
}

#[test]
fn delta_after_a_gap_is_rejected() {
    let mut replica = Replica::default();
    let full = Delta {
        after: None,
        revision: 3,
        changes: Vec::new(),
        after_outage: false,
    };
    assert!(replica.apply(&full).unwrap());
    let gap = Delta {
        after: Some(5),
        revision: 7,
        changes: Vec::new(),
        after_outage: false,
    };
    assert!(!replica.apply(&gap).unwrap());
    assert_eq!(replica.revision(), 3);
}

#[test]
fn instance_that_lags_far_behind_gets_all_records() {
    let mut replica = Replica::default();
    for revision in 1..200 {
        let delta = Delta {
            after: (revision > 1).then(|| revision - 1),
            revision,
            changes: vec![("x".to_owned(), Some(Record::Evacuation))],
            after_outage: false,
        };
        assert!(replica.apply(&delta).unwrap());
    }
    assert_eq!(replica.delta_since(2).map(|d| d.after), Some(None));
    assert_eq!(replica.delta_since(198).map(|d| d.after), Some(Some(198)));
    assert_eq!(replica.delta_since(199), None);
}
