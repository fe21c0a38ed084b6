//! Validation of configuration documents and the JSON paths in its errors.

use bluebellferry_document::check;
use bluebellferry_document::hash;
use proptest::prelude::*;

fn example(name: &str) -> Vec<u8> {
    let path = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(path).expect("the example exists")
}

/// Applies a change to the example document and returns the text of the
/// validation error, or an empty string if the document is valid.
fn validation_error(change: impl FnOnce(&mut serde_json::Value)) -> String {
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
fn errors_name_the_json_path() {
    let text = validation_error(|value| value["format"] = 2.into());
    assert!(text.starts_with("format: 2 is not supported"), "{text}");
    let text = validation_error(|value| value["workspaces"]["guides"]["burst"] = 0.into());
    assert!(
        text.starts_with("workspaces.guides.burst: 0 is not"),
        "{text}"
    );
    let text = validation_error(|value| value["workspaces"]["guides"]["rate"] = 1.into());
    assert!(
        text.contains("workspaces.guides") && text.contains("unknown field"),
        "{text}"
    );
    let text =
        validation_error(|value| value["workspaces"]["guides"]["services"][1] = "rental".into());
    assert!(
        text.starts_with("workspaces.guides.services[1]: the service 'rental'"),
        "{text}"
    );
    let text = validation_error(|value| value["services"]["rental-core-1"]["slots"] = 0.into());
    assert!(
        text.starts_with("services.rental-core-1.slots: must be"),
        "{text}"
    );
    let text = validation_error(|value| {
        value["services"]["rental-core-1"]["reads"]["catalogue"]["wait_ms"] = 9_999.into();
    });
    assert!(
        text.starts_with("services.rental-core-1.reads.catalogue.wait_ms:"),
        "{text}"
    );
    let text = validation_error(|value| value["data_centres"]["amman"]["vms"] = (-1).into());
    assert!(text.starts_with("data_centres.amman.vms:"), "{text}");
    let text = validation_error(|value| {
        value["workspaces"] =
            serde_json::json!({"Big Name": value["workspaces"]["guides"].clone()});
    });
    assert!(text.contains("may hold only a-z"), "{text}");
}

#[test]
fn trailing_text_and_large_documents_are_rejected() {
    let mut bytes = example("wadi-slopes");
    bytes.extend_from_slice(b"{}");
    assert!(check::parse_document(&bytes).is_err());
    let large = vec![b' '; check::MAX_DOCUMENT_BYTES + 1];
    let rejected = check::parse_document(&large);
    assert_eq!(
        rejected,
        Err(check::DocumentError::TooLarge(
            check::MAX_DOCUMENT_BYTES + 1
        ))
    );
}

#[test]
fn one_added_byte_changes_the_hash() {
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
    fn a_document_with_one_changed_byte_never_panics(index in 0_usize..4_000, byte in any::<u8>()) {
        let mut bytes = example("wadi-slopes");
        let index = index % bytes.len();
        bytes[index] = byte;
        check::parse_document(&bytes).ok();
    }
}
