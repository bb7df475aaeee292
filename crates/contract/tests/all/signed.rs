//! Signing of roots and verification of their signatures.

use contract::keyring::{self, Keyring};
use contract::signature::Key;
use contract::signed::{Fault, Role, Signed};

use crate::cases;
use crate::fixture::{bundle, key, keyring};

fn unsigned() -> Signed {
    Signed::unsigned(bundle().split(None).0)
}

fn signed() -> Signed {
    Signed::new(unsigned().root, &key(1), &key(2))
}

/// Checks that verifying a signed root fails with the fault `code` after `change`.
fn check_rejected(code: &str, change: impl Fn(&mut Signed)) {
    let mut signed = signed();
    change(&mut signed);
    assert_eq!(
        signed.verify(&keyring()).map_err(|fault| fault.code()),
        Err(code)
    );
}

cases! {
    unsigned_root: check_rejected("unsigned", |s| (s.author, s.operator) = (None, None));
    author_missing: check_rejected("half-signed", |s| s.author = None);
    operator_missing: check_rejected("half-signed", |s| s.operator = None);
    same_key_twice: check_rejected("same-key", |s| s.sign(Role::Operator, &key(1)));
    unknown_author: check_rejected("unknown-signer", |s| s.sign(Role::Author, &key(3)));
    unknown_operator: check_rejected("unknown-signer", |s| s.sign(Role::Operator, &key(3)));
    roles_swapped:
        check_rejected("bad-signature", |s| std::mem::swap(&mut s.author, &mut s.operator));
    root_changed: check_rejected("bad-signature", |s| s.root.version += 1);
    parent_changed: check_rejected("bad-signature", |s| s.root.previous = Some(s.root.digest()));
    centre_changed: check_rejected("bad-signature", |s| s.root.centres[0].in_service = false);
}

#[test]
fn two_known_operators_are_accepted() {
    let signed = signed();
    let verified = signed.verify(&keyring()).unwrap();
    assert_eq!(verified.author().as_str(), "ada");
    assert_eq!(verified.operator().as_str(), "ben");
    assert_eq!(verified.digest(), &signed.root.digest());
}

#[test]
fn changing_any_bit_fails_verification() {
    let mut bundle = bundle();
    bundle.services.truncate(1);
    bundle.centres.truncate(1);
    let signed = Signed::new(bundle.split(None).0, &key(1), &key(2));
    let bytes = signed.encode().unwrap();
    let keyring = keyring();
    for bit in 0..8 * bytes.len() {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let decoded = Signed::decode(&changed).ok();
        let verified = decoded.and_then(|signed| signed.verify(&keyring).ok());
        assert_eq!(verified, None, "bit {bit}");
    }
}

#[test]
fn encodings_round_trip() {
    let signed = signed();
    assert_eq!(Signed::decode(&signed.encode().unwrap()).unwrap(), signed);
    let json = serde_json::to_string(&signed).unwrap();
    assert_eq!(serde_json::from_str::<Signed>(&json).unwrap(), signed);
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = signed().encode().unwrap();
    bytes.push(0);
    assert!(Signed::decode(&bytes).is_err());
}

#[test]
fn debug_output_hides_secret_keys() {
    let key = key(9);
    assert!(!format!("{key:?}").contains(&key.to_secret_hex()));
    let parsed: Key = key.to_secret_hex().parse().unwrap();
    assert_eq!(parsed.public(), key.public());
}

#[test]
fn keyrings_are_parsed() {
    let (ada, ben) = (key(1).public(), key(2).public());
    let parse = |text: String| text.parse::<Keyring>();
    assert_eq!(parse(format!("ada={ada}, ben={ben}\n")), Ok(keyring()));
    let same_key = parse(format!("ada={ada},ben={ada}"));
    assert_eq!(same_key, Err(keyring::Error::DuplicateKey("ben".into())));
    let same_name = parse(format!("ada={ada},ada={ben}"));
    assert_eq!(same_name, Err(keyring::Error::DuplicateName("ada".into())));
    assert_eq!(parse(ada.to_string()), Err(keyring::Error::NoName));
}

#[test]
fn author_is_verified_without_second_signature() {
    let mut signed = unsigned();
    assert_eq!(signed.verify_author(&keyring()), Err(Fault::Unsigned));
    signed.sign(Role::Author, &key(2));
    assert_eq!(signed.verify_author(&keyring()).unwrap().as_str(), "ben");
}
