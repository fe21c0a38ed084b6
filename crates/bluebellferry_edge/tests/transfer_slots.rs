//! A new configuration that all VMs of a data centre want at once, on simulated time.
//!
//! Guards against a coordinator whose link is saturated for a second by sending it to each VM,
//! so that token requests and heartbeats are lost.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use bluebellferry_edge::control::transfer_slots;
use bluebellferry_membership::heartbeat;

/// How long a configuration of 35 KB takes over a link of 20 Mbit/s that it shares with the
/// other transfers of its sender.
const TRANSFER_TIME: Duration = Duration::from_millis(56);
const ROUND_TRIP: Duration = Duration::from_millis(1);
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);

fn address(vm: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(vm as u32 + 1))
}

fn vm_at(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => u32::from(address) as usize - 1,
        IpAddr::V6(_) => unreachable!("all addresses are of version 4"),
    }
}

enum Event {
    Request { vm: usize, at_holder: usize },
    Finish { vm: usize, at_holder: usize },
}

/// Returns when the last VM has the copies that at first only VM 0 has, and how many transfers
/// the busiest VM has sent.
fn distribute(vms: usize) -> (Duration, usize) {
    let versions = heartbeat::StoreVersions {
        configuration: 5,
        ..heartbeat::StoreVersions::default()
    };
    let slots = |_| transfer_slots::TransferSlots::default();
    let mut slots: Vec<_> = (0..vms).map(slots).collect();
    let mut sent = vec![0; vms];
    let mut queue: BTreeMap<(Duration, usize), Event> = BTreeMap::new();
    let mut number = 0;
    let mut push = |queue: &mut BTreeMap<_, _>, at: Duration, event: Event| {
        number += 1;
        queue.insert((at, number), event);
    };
    for vm in 1..vms {
        push(&mut queue, ROUND_TRIP, Event::Request { vm, at_holder: 0 });
    }
    let mut last = Duration::ZERO;
    while let Some(((now, _), event)) = queue.pop_first() {
        match event {
            Event::Request { vm, at_holder } => match slots[at_holder].admit(versions) {
                transfer_slots::TransferAdmission::Serve => {
                    sent[at_holder] += 1;
                    let finish = Event::Finish { vm, at_holder };
                    push(&mut queue, now + TRANSFER_TIME, finish);
                }
                transfer_slots::TransferAdmission::Refer(holder) => {
                    let at_holder = vm_at(holder);
                    push(
                        &mut queue,
                        now + ROUND_TRIP,
                        Event::Request { vm, at_holder },
                    );
                }
                transfer_slots::TransferAdmission::Busy => {
                    let retry = Event::Request { vm, at_holder };
                    push(&mut queue, now + BUSY_RETRY_DELAY, retry);
                }
            },
            Event::Finish { vm, at_holder } => {
                slots[at_holder].finish(address(vm), versions, true);
                last = now;
            }
        }
    }
    (last, *sent.iter().max().expect("a VM"))
}

#[test]
fn a_configuration_reaches_all_vms_of_a_data_centre_in_logarithmic_time() {
    for (vms, max_time, max_sent) in [(35, 0.45, 12), (218, 0.8, 20), (2_838, 1.2, 24)] {
        let (time, sent) = distribute(vms);
        assert!(time.as_secs_f64() <= max_time, "{vms} VMs: {time:?}");
        assert!(
            sent <= max_sent,
            "{vms} VMs: {sent} transfers from one of them"
        );
    }
}

#[test]
fn a_newer_version_is_not_sought_at_vms_with_an_older_one() {
    let version = |configuration| heartbeat::StoreVersions {
        configuration,
        ..heartbeat::StoreVersions::default()
    };
    let mut slots = transfer_slots::TransferSlots::default();
    for _ in 0..transfer_slots::MAX_CONCURRENT_TRANSFERS {
        assert_eq!(
            slots.admit(version(1)),
            transfer_slots::TransferAdmission::Serve
        );
    }
    assert_eq!(
        slots.admit(version(1)),
        transfer_slots::TransferAdmission::Busy
    );
    slots.finish(address(1), version(1), true);
    assert_eq!(
        slots.admit(version(1)),
        transfer_slots::TransferAdmission::Serve
    );
    let referral = transfer_slots::TransferAdmission::Refer(address(1));
    assert_eq!(slots.admit(version(1)), referral);
    assert_eq!(
        slots.admit(version(2)),
        transfer_slots::TransferAdmission::Busy
    );
    // A transfer of the older version ends.
    slots.finish(address(2), version(1), true);
    assert_eq!(
        slots.admit(version(2)),
        transfer_slots::TransferAdmission::Serve
    );
    assert_eq!(
        slots.admit(version(2)),
        transfer_slots::TransferAdmission::Busy
    );
}
