//! The equal parts of large rates that VMs hold by themselves.
//!
//! Guards against a VM that is cut off from the owners of a rate refusing all callers of a large
//! workspace, and against floors that admit nothing or differ between VMs that count each other
//! differently.

use bluebellferry_shares::ownership;
use bluebellferry_types::limit;
use bluebellferry_types::name;

fn workspace() -> limit::LimitKey {
    let name = name::WorkspaceName::try_from("yards").expect("a valid name");
    limit::LimitKey::Workspace(name)
}

#[test]
fn floors_never_take_more_than_half_of_a_rate_and_hold_whole_tokens_where_they_matter() {
    for vms in [17, 71, 195, 300, 2_838] {
        for burst in [3.0, 40.0, 456.0, 1_200.0, 20_000.0] {
            let floor = ownership::floor_fraction(&workspace(), burst, vms);
            let all = floor * vms as f64;
            assert!((0.0..=0.5 + 1e-9).contains(&all), "{vms} {burst}: {all}");
            if burst / (vms as f64) < 3.0 {
                assert!(floor <= 0.0, "{vms} {burst}: {floor}");
            }
            if burst / vms as f64 >= 4.0 {
                assert!(floor * burst >= 2.0 - 1e-9, "{vms} {burst}: {floor}");
            }
        }
    }
}

#[test]
fn vms_that_disagree_by_one_on_their_number_exceed_no_rate_notably() {
    for vms in 17..400_usize {
        for burst in [60.0, 250.0, 456.0, 1_000.0] {
            let floor = |count| ownership::floor_fraction(&workspace(), burst, count);
            // Half of the VMs count one more than the others.
            let owned = 1.0 - floor(vms + 1) * (vms + 1) as f64;
            let floors = floor(vms) * vms as f64 / 2.0 + floor(vms + 1) * vms as f64 / 2.0;
            assert!(owned + floors <= 1.1, "{vms} {burst}: {}", owned + floors);
        }
    }
}

#[test]
fn the_pace_of_a_database_has_no_floors() {
    let database = name::DatabaseName::try_from("i-a").expect("a valid name");
    let key = limit::LimitKey::Database(database);
    assert!(ownership::floor_fraction(&key, 10_000.0, 10) <= 0.0);
}
