//! The table of valid keys, and the digests of keys.

use bluebellferry_keys::digest;
use bluebellferry_keys::table;
use bluebellferry_types::name;

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::try_from(text).expect("a valid name")
}

#[test]
fn an_older_generation_does_not_replace_a_newer_one() {
    let families = workspace("families");
    let (first, second) = (
        digest::KeyDigest::compute("first key"),
        digest::KeyDigest::compute("second key"),
    );
    let mut table = table::KeyTable::default();
    assert!(table.replace_workspace(&families, 2, vec![second]));
    assert!(!table.replace_workspace(&families, 1, vec![first]));
    assert!(!table.replace_workspace(&families, 2, vec![first]));
    assert!(table.is_valid(&families, &second));
    assert!(!table.is_valid(&families, &first));
}

#[test]
fn a_removed_key_is_invalid_immediately() {
    let families = workspace("families");
    let key = digest::KeyDigest::compute("a key");
    let mut table = table::KeyTable::default();
    table.replace_workspace(&families, 1, vec![key]);
    table.remove(&key);
    assert_eq!(table.find_owner(&key), None);
    assert!(table.is_empty());
}

#[test]
fn generated_keys_differ_and_are_not_shown_by_their_digests() {
    let (one, other) = (digest::generate_key(), digest::generate_key());
    assert_ne!(one, other);
    let shown = format!("{:?}", digest::KeyDigest::compute(&one));
    assert!(!shown.contains(&one));
}
