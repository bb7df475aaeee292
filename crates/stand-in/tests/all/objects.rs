//! The objects against a naive list.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use platform::{Object, Outcome, Revision};
use stand_in::platform::Objects;

const PATHS: [&str; 4] = ["a", "a/b", "ab", "b"];

/// Every write ever made: path, revision and value, or `None` for a removal.
#[derive(Default)]
struct Naive(Vec<(&'static str, Option<Vec<u8>>)>);

impl Naive {
    fn read(&self, path: &str) -> Option<Object> {
        let index = self.0.iter().rposition(|(at, _)| *at == path)?;
        let value = self.0[index].1.clone()?;
        let revision = Revision(index as u64 + 1);
        Some(Object { revision, value })
    }

    fn change(
        &mut self,
        path: &'static str,
        expected: Option<Revision>,
        value: Option<Vec<u8>>,
    ) -> Outcome {
        if self.read(path).map(|object| object.revision) != expected {
            return Outcome::Conflict;
        }
        self.0.push((path, value));
        Outcome::Written(Revision(self.0.len() as u64))
    }

    fn list(&self, prefix: &str) -> Vec<String> {
        let mut paths = PATHS.to_vec();
        paths.retain(|path| path.starts_with(prefix) && self.read(path).is_some());
        paths.into_iter().map(str::to_owned).collect()
    }
}

fn step(u: &mut Unstructured<'_>, objects: &Objects, naive: &mut Naive) -> Result<()> {
    let path = *u.choose(&PATHS)?;
    assert_eq!(objects.read(path), naive.read(path));
    let present = naive.read(path).map(|object| object.revision);
    let expected = match u.int_in_range(0..=3)? {
        0 => None,
        1 => Some(Revision(u.int_in_range(0..=9)?)),
        _ => present,
    };
    match (u.int_in_range(0..=3)?, expected) {
        (0, _) => assert_eq!(objects.list(path), naive.list(path)),
        (1, Some(expected)) => {
            let removed = naive.change(path, Some(expected), None);
            assert_eq!(objects.remove(path, expected), removed);
        }
        _ => {
            let value = vec![u.arbitrary()?];
            let written = naive.change(path, expected, Some(value.clone()));
            assert_eq!(objects.write(path, expected, value), written);
        }
    }
    Ok(())
}

#[test]
fn objects_do_as_a_naive_list_does() {
    arbtest(|u| {
        let objects = Objects::default();
        let mut naive = Naive::default();
        for _ in 0..20 {
            step(u, &objects, &mut naive)?;
        }
        Ok(())
    })
    .size_min(256);
}
