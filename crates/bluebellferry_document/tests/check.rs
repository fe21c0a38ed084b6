//! Every fault of a document is named by its path.

use bluebellferry_document::check;
use bluebellferry_document::hash;
use proptest::prelude::*;

fn example(name: &str) -> Vec<u8> {
    let path = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(path).expect("the example exists")
}

/// Checks the example after a change and returns the fault.
fn fault(change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut value: serde_json::Value =
        serde_json::from_slice(&example("wadi-slopes")).expect("valid JSON");
    change(&mut value);
    let checked = check::parse_document(value.to_string().as_bytes());
    checked
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default()
}

#[test]
fn both_examples_are_valid() {
    for name in ["wadi-slopes", "vegaleyfi"] {
        let checked = check::parse_document(&example(name));
        assert!(
            checked.is_ok_and(|document| document.vm_count() == 7),
            "{name}"
        );
    }
}

#[test]
fn faults_are_named_by_path() {
    let text = fault(|value| value["format"] = 2.into());
    assert!(text.starts_with("format: 2 is not supported"), "{text}");
    let text = fault(|value| value["workspaces"]["guides"]["burst"] = 0.into());
    assert!(
        text.starts_with("workspaces.guides.burst: 0 is not"),
        "{text}"
    );
    let text = fault(|value| value["workspaces"]["guides"]["rate"] = 1.into());
    assert!(
        text.contains("workspaces.guides") && text.contains("unknown field"),
        "{text}"
    );
    let text = fault(|value| value["workspaces"]["guides"]["services"][1] = "rental".into());
    assert!(
        text.starts_with("workspaces.guides.services[1]: the service 'rental'"),
        "{text}"
    );
    let text = fault(|value| value["services"]["rental-core-1"]["slots"] = 0.into());
    assert!(
        text.starts_with("services.rental-core-1.slots: must be"),
        "{text}"
    );
    let text = fault(|value| {
        value["services"]["rental-core-1"]["reads"]["catalogue"]["wait_ms"] = 9_999.into();
    });
    assert!(
        text.starts_with("services.rental-core-1.reads.catalogue.wait_ms:"),
        "{text}"
    );
    let text = fault(|value| value["data_centres"]["amman"]["vms"] = (-1).into());
    assert!(text.starts_with("data_centres.amman.vms:"), "{text}");
    let text = fault(|value| {
        value["workspaces"] =
            serde_json::json!({"Big Name": value["workspaces"]["guides"].clone()});
    });
    assert!(text.contains("may hold only a-z"), "{text}");
}

#[test]
fn trailing_text_and_large_documents_are_refused() {
    let mut bytes = example("wadi-slopes");
    bytes.extend_from_slice(b"{}");
    assert!(check::parse_document(&bytes).is_err());
    let large = vec![b' '; check::MAX_DOCUMENT_BYTES + 1];
    let refused = check::parse_document(&large);
    assert_eq!(
        refused,
        Err(check::DocumentError::TooLarge(
            check::MAX_DOCUMENT_BYTES + 1
        ))
    );
}

#[test]
fn the_hash_tells_documents_apart_by_every_byte() {
    let bytes = example("wadi-slopes");
    let mut changed = bytes.clone();
    changed.push(b' ');
    assert_ne!(
        hash::DocumentHash::compute(&bytes),
        hash::DocumentHash::compute(&changed)
    );
}

proptest! {
    #[test]
    fn arbitrary_changes_never_panic(place in 0_usize..4_000, byte in any::<u8>()) {
        let mut bytes = example("wadi-slopes");
        let place = place % bytes.len();
        bytes[place] = byte;
        check::parse_document(&bytes).ok();
    }
}
