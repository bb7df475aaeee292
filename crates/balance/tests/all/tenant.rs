//! Tests of the keys of tenants.

use std::collections::{BTreeMap, HashSet};

use arbtest::arbtest;
use balance::config::{Active, Config, Limits};
use balance::tenant::{Digest, Tenant, MAX_KEY_BYTES};

use crate::cases;

fn config(tenants: Option<BTreeMap<String, Tenant>>) -> Config {
    Config {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: Limits::default(),
        tenants,
        faults: Vec::new(),
    }
}

fn tenant(keys: &[&[u8]]) -> Tenant {
    Tenant {
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
        priority: None,
    }
}

/// Guards against an index that finds another tenant than a search of the whole list, or one for an
/// unknown key.
#[test]
fn index_finds_the_tenant_of_each_key() {
    arbtest(|u| {
        let mut tenants = BTreeMap::new();
        for name in 0..u.int_in_range(0..=8_u8)? {
            let keys: Vec<[u8; 1]> = u.arbitrary()?;
            let keys: Vec<&[u8]> = keys.iter().map(<[u8; 1]>::as_slice).collect();
            let priority = u.arbitrary()?;
            tenants.insert(
                name.to_string(),
                Tenant {
                    priority,
                    ..tenant(&keys)
                },
            );
        }
        let active = Active::new(config(Some(tenants.clone())));
        for key in 0..=u8::MAX {
            let digest = Digest::of(&[key]);
            let expected = tenants.iter().find(|(_, t)| t.keys.contains(&digest));
            let found = active.tenant_of(&digest).map(|t| (t.name, t.priority));
            assert_eq!(found, expected.map(|(n, t)| (n.as_str(), t.priority)));
        }
        Ok(())
    });
}

#[test]
fn configuration_without_tenants_has_no_key() {
    let active = Active::new(config(None));
    assert_eq!(active.tenant_of(&Digest::of(b"k")), None);
}

/// Guards against digests that differ between builds: instances compare digests of configurations.
#[test]
fn digest_is_the_same_in_all_instances() {
    let digest = Digest::of(b"8m82thhkmgjqnirth5mg");
    let hex: String = digest
        .as_bytes()
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    assert_eq!(hex, EXPECTED_DIGEST);
    let distinct: HashSet<Digest> = [digest, digest, Digest::of(b"")].into();
    assert_eq!(distinct.len(), 2);
}

/// HMAC-SHA-256 of the key, computed with Python's `hmac`.
const EXPECTED_DIGEST: &str = "d891548e4a87e5cd77a19bb188db20328c20a192c9c016c94e42012e661fd5b2";

/// Guards against a key, or what could be recovered from its digest, in a log line.
#[test]
fn debug_output_has_no_key_and_no_digest() {
    let tenants = BTreeMap::from([("pike".to_owned(), tenant(&[b"8m82thhk"]))]);
    let text = format!("{:?}", Active::new(config(Some(tenants))));
    assert!(
        text.contains("pike") && text.contains("Digest(..)"),
        "{text}"
    );
    assert!(!text.contains("8m82thhk"), "{text}");
}

fn is_valid(key: &[u8]) -> bool {
    Digest::of_valid(key).is_some()
}

cases! {
    usual_key_is_valid => assert!(is_valid(b"8m82thhkmgjqnirth5mg"));
    key_with_other_characters_is_valid => assert!(is_valid("k\u{e9}y/+=~".as_bytes()));
    empty_key_is_not_valid => assert!(!is_valid(b""));
    key_with_a_space_is_not_valid => assert!(!is_valid(b"a b"));
    key_with_a_tab_is_not_valid => assert!(!is_valid(b"a\tb"));
    key_with_a_line_break_is_not_valid => assert!(!is_valid(b"a\n"));
    longest_key_is_valid => assert!(is_valid(&[b'a'; MAX_KEY_BYTES]));
    longer_key_is_not_valid => assert!(!is_valid(&[b'a'; MAX_KEY_BYTES + 1]));
    key_of_16_kib_is_not_valid => assert!(!is_valid(&[b'a'; 16 * 1024]));
}
