//! Feeds move forward only, and equal the store's records at their revision.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use balance::record::Record;
use balance::replica::{Change, Delta, Replica};

/// The store's records after each revision, with the changes that led there.
struct History(Vec<(BTreeMap<String, Record>, Vec<Change>)>);

impl History {
    fn draw(u: &mut Unstructured<'_>) -> Result<Self> {
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

    fn whole(&self, revision: usize) -> Delta {
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

    fn between(&self, after: usize, revision: usize) -> Delta {
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

fn check(feed: &Replica, history: &History) {
    let revision = usize::try_from(feed.revision()).unwrap();
    assert_eq!(feed.records(), &history.0[revision].0);
}

/// Two instances read parts of the history, in any order and from each other.
#[test]
fn feeds_equal_the_store_whoever_read() {
    arbtest(|u| {
        let history = History::draw(u)?;
        let last = history.0.len() - 1;
        let mut feeds = [Replica::default(), Replica::default()];
        for _ in 0..u.int_in_range(1..=40_usize)? {
            let reader = u.choose_index(2)?;
            let before = feeds[reader].revision();
            let revision = u.int_in_range(0..=last)?;
            let delta = match u.int_in_range(0..=2_u8)? {
                0 => Some(history.whole(revision)),
                1 => Some(history.between(u.int_in_range(0..=revision)?, revision)),
                _ => feeds[1 - reader].delta_since(before),
            };
            if let Some(delta) = delta {
                feeds[reader].apply(&delta);
            }
            assert!(feeds[reader].revision() >= before, "a feed never goes back");
            check(&feeds[reader], &history);
        }
        Ok(())
    });
}

#[test]
fn gap_is_refused() {
    let mut feed = Replica::default();
    let whole = Delta {
        after: None,
        revision: 3,
        changes: Vec::new(),
        after_outage: false,
    };
    assert!(feed.apply(&whole));
    let gap = Delta {
        after: Some(5),
        revision: 7,
        changes: Vec::new(),
        after_outage: false,
    };
    assert!(!feed.apply(&gap));
    assert_eq!(feed.revision(), 3);
}

#[test]
fn one_that_lags_far_gets_all_records() {
    let mut feed = Replica::default();
    for revision in 1..200 {
        let delta = Delta {
            after: (revision > 1).then(|| revision - 1),
            revision,
            changes: vec![("x".to_owned(), Some(Record::Evacuation))],
            after_outage: false,
        };
        assert!(feed.apply(&delta));
    }
    assert_eq!(feed.delta_since(2).map(|d| d.after), Some(None));
    assert_eq!(feed.delta_since(198).map(|d| d.after), Some(Some(198)));
    assert_eq!(feed.delta_since(199), None);
}
