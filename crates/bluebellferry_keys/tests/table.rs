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

/// Guards against a key that is refused after it has passed to another workspace, because the update
/// that takes it from the former one arrived last.
#[test]
fn a_key_passes_to_another_workspace_in_either_order_of_the_updates() {
    let (families, visitors) = (workspace("families"), workspace("visitors"));
    let key = digest::KeyDigest::compute("a key");
    let other = digest::KeyDigest::compute("another key");
    type KeyUpdate<'a> = (&'a name::WorkspaceName, Vec<digest::KeyDigest>);
    let taken: KeyUpdate<'_> = (&families, vec![other]);
    let given: KeyUpdate<'_> = (&visitors, vec![key]);
    for updates in [[&taken, &given], [&given, &taken]] {
        let mut table = table::KeyTable::default();
        table.replace_workspace(&families, 1, vec![key, other]);
        for (workspace, digests) in updates {
            assert!(table.replace_workspace(workspace, 2, digests.clone()));
        }
        assert_eq!(table.find_owner(&key), Some(&visitors));
        assert_eq!(table.find_owner(&other), Some(&families));
        assert!(!table.is_valid(&families, &key));
    }
}

#[test]
fn a_key_that_two_workspaces_list_stays_with_the_one_that_keeps_it() {
    let (families, visitors) = (workspace("families"), workspace("visitors"));
    let key = digest::KeyDigest::compute("a key");
    for (dropping, keeping) in [(&families, &visitors), (&visitors, &families)] {
        let mut table = table::KeyTable::default();
        table.replace_workspace(&families, 1, vec![key]);
        table.replace_workspace(&visitors, 1, vec![key]);
        table.replace_workspace(dropping, 2, Vec::new());
        assert_eq!(table.find_owner(&key), Some(keeping));
        table.remove(&key);
        assert_eq!(table.find_owner(&key), None);
        assert!(table.digests_of(keeping).is_empty());
    }
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
