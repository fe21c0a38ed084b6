//! Messages between VMs: those of other environments and corrupted, outdated or duplicated
//! ones are rejected or ignored.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::share;
use bluebellferry_membership::envelope;
use bluebellferry_membership::message;
use bluebellferry_membership::roster;
use bluebellferry_types::name;
use proptest::prelude::*;

const SECRET: &[u8] = b"secret between VMs";

fn place(ordinal: u32) -> share::VmPlace {
    let data_centre = name::DataCentreName::try_from("amman").expect("a valid name");
    share::VmPlace {
        data_centre,
        ordinal,
    }
}

fn payload(ordinal: u32, document_version: u64) -> message::HeartbeatPayload {
    message::HeartbeatPayload {
        vm: format!("amman-{ordinal}"),
        place: place(ordinal),
        is_draining: false,
        document_version,
        objects_digest: 0,
        recent_objects: Vec::new(),
    }
}

#[test]
fn messages_of_another_environment_or_secret_are_rejected() {
    let codec = envelope::EnvelopeCodec::new("trial", SECRET);
    let sealed = codec.seal(1, 1, &message::PeerMessage::Goodbye);
    for foreign in [
        envelope::EnvelopeCodec::new("production", SECRET),
        envelope::EnvelopeCodec::new("trial", b"another secret"),
    ] {
        assert_eq!(
            foreign.open(&sealed),
            Err(envelope::EnvelopeError::NotAuthentic)
        );
    }
    assert!(codec.open(&sealed).is_ok());
}

#[test]
fn outdated_and_duplicated_heartbeats_are_ignored() {
    let now = Instant::now();
    let mut roster = roster::VmRoster::new(place(0), 5);
    let first = roster.record_heartbeat(now, 10, 3, payload(1, 7));
    assert_eq!(first, roster::HeartbeatEffect::Joined);
    for (incarnation, sequence) in [(10, 3), (10, 2), (9, 99)] {
        let effect = roster.record_heartbeat(now, incarnation, sequence, payload(1, 1));
        assert_eq!(effect, roster::HeartbeatEffect::Outdated);
    }
    let versions: Vec<u64> = roster
        .known_peers()
        .map(|(_, record)| record.payload.document_version)
        .collect();
    assert_eq!(versions, [7]);
    let restarted = roster.record_heartbeat(now, 11, 1, payload(1, 8));
    assert_eq!(restarted, roster::HeartbeatEffect::Joined);
}

#[test]
fn a_later_start_under_the_same_ordinal_replaces_this_vm() {
    let now = Instant::now();
    let mut roster = roster::VmRoster::new(place(0), 5);
    let earlier = roster.record_heartbeat(now, 4, 1, payload(0, 1));
    assert_eq!(earlier, roster::HeartbeatEffect::Outdated);
    let later = roster.record_heartbeat(now, 6, 1, payload(0, 1));
    assert_eq!(later, roster::HeartbeatEffect::ReplacesSelf);
}

#[test]
fn unresponsive_and_draining_vms_are_not_live() {
    let now = Instant::now();
    let mut roster = roster::VmRoster::new(place(0), 5);
    roster.record_heartbeat(now, 10, 1, payload(1, 1));
    roster.record_heartbeat(now, 20, 1, payload(2, 1));
    assert_eq!(roster.live_peers(now).count(), 2);
    roster.record_goodbye(20);
    assert_eq!(roster.live_peers(now).count(), 1);
    assert_eq!(roster.live_peers(now + roster::SUSPECT_TIMEOUT).count(), 0);
    roster.forget_unresponsive(now + roster::FORGET_TIMEOUT + Duration::from_secs(1));
    assert_eq!(roster.known_peers().count(), 0);
}

#[test]
fn each_live_vm_has_a_different_rank() {
    let now = Instant::now();
    let mut ranks = Vec::new();
    for own in 0..5 {
        let mut roster = roster::VmRoster::new(place(own), 5);
        for other in (0..5).filter(|other| *other != own) {
            roster.record_heartbeat(now, 9, 1, payload(other, 1));
        }
        ranks.push(roster.own_rank(now, |place| u64::from(place.ordinal * 7 % 5)));
    }
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3, 4]);
}

proptest! {
    #[test]
    fn arbitrary_datagrams_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let codec = envelope::EnvelopeCodec::new("trial", SECRET);
        prop_assert!(codec.open(&bytes).is_err());
    }

    #[test]
    fn corrupted_datagrams_are_rejected(position in 0_usize..200, bit in 0_u8..8) {
        let codec = envelope::EnvelopeCodec::new("trial", SECRET);
        let heartbeat = message::PeerMessage::Heartbeat(payload(1, 2));
        let mut sealed = codec.seal(3, 4, &heartbeat);
        let position = position % sealed.len();
        sealed[position] ^= 1 << bit;
        prop_assert!(codec.open(&sealed).is_err());
    }

    #[test]
    fn decoding_arbitrary_bodies_never_panics(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut versioned = body.clone();
        versioned.insert(0, envelope::PROTOCOL_VERSION);
        envelope::decode_body(&versioned).ok();
        let decoded = envelope::decode_body(&body);
        let has_own_version = body.first() == Some(&envelope::PROTOCOL_VERSION);
        prop_assert!(has_own_version || decoded.is_err());
    }
}
