//! Tests the objects against a model: a list of all changes.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use platform::{Object, Outcome, Revision};
use stand_in::platform::Objects;

const PATHS: [&str; 4] = ["a", "a/b", "ab", "b"];

/// All changes in order: path, and value or `None` for a removal. The revision is the index plus 1.
#[derive(Default)]
struct Model(Vec<(&'static str, Option<Vec<u8>>)>);

impl Model {
    fn read(&self, path: &str) -> Option<Object> {
        let index = self.0.iter().rposition(|(changed, _)| *changed == path)?;
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

fn step(u: &mut Unstructured<'_>, objects: &Objects, model: &mut Model) -> Result<()> {
    let path = *u.choose(&PATHS)?;
    assert_eq!(objects.read(path), model.read(path));
    let current = model.read(path).map(|object| object.revision);
    let expected = match u.int_in_range(0..=3)? {
        0 => None,
        1 => Some(Revision(u.int_in_range(0..=9)?)),
        _ => current,
    };
    match (u.int_in_range(0..=3)?, expected) {
        (0, _) => assert_eq!(objects.list(path), model.list(path)),
        (1, Some(expected)) => {
            let removed = model.change(path, Some(expected), None);
            assert_eq!(objects.remove(path, expected), removed);
        }
        _ => {
            let value = vec![u.arbitrary()?];
            let written = model.change(path, expected, Some(value.clone()));
            assert_eq!(objects.write(path, expected, value), written);
        }
    }
    Ok(())
}

#[test]
fn objects_match_a_list_model() {
    arbtest(|u| {
        let objects = Objects::default();
        let mut model = Model::default();
        for _ in 0..20 {
            step(u, &objects, &mut model)?;
        }
        Ok(())
    })
    .size_min(256);
}
