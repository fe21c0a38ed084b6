//! Chooses the VMs that own a workspace's rate, and the share of each.
//!
//! An equal share for each of many VMs would be a fraction of a token. So at most
//! [`MAX_OWNERS_PER_DATA_CENTRE`] VMs of a data centre own shares, chosen by rendezvous
//! hashing over the VMs' ordinals; the others borrow tokens.

use bluebellferry_types::name;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::bucket;

/// The most VMs of one data centre that own shares of one workspace's rate.
pub const MAX_OWNERS_PER_DATA_CENTRE: usize = 4;

/// A VM's fixed place in the fleet: its data centre and its ordinal there.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct VmPlace {
    /// The data centre.
    pub data_centre: name::DataCentreName,
    /// The VM's number in its data centre, from 0.
    pub ordinal: u32,
}

/// Returns the ordinals of the VMs that own shares of a workspace's rate in a data centre
/// of `vms` VMs.
pub fn owners_in(
    workspace: &name::WorkspaceName,
    data_centre: &name::DataCentreName,
    vms: u32,
) -> SmallVec<[u32; MAX_OWNERS_PER_DATA_CENTRE]> {
    let score = |ordinal: u32| {
        let input = format!("{workspace}\0{data_centre}\0{ordinal}");
        (xxh3::xxh3_64(input.as_bytes()), ordinal)
    };
    let mut scores: Vec<(u64, u32)> = (0..vms).map(score).collect();
    scores.sort_unstable();
    scores
        .into_iter()
        .take(MAX_OWNERS_PER_DATA_CENTRE)
        .map(|(_, ordinal)| ordinal)
        .collect()
}

/// Returns the share of a workspace's rate and burst that the VM at `place` owns.
///
/// `total` is the workspace's rate and burst; `data_centres` lists every data centre with
/// its number of VMs.
pub fn owned_share(
    workspace: &name::WorkspaceName,
    total: bucket::ShareSize,
    place: &VmPlace,
    data_centres: &[(name::DataCentreName, u32)],
) -> bucket::ShareSize {
    let owner_count = |vms: u32| (vms as usize).min(MAX_OWNERS_PER_DATA_CENTRE);
    let owners: usize = data_centres.iter().map(|(_, vms)| owner_count(*vms)).sum();
    let vms = data_centres
        .iter()
        .find(|(name, _)| *name == place.data_centre);
    let is_owner =
        vms.is_some_and(|(name, vms)| owners_in(workspace, name, *vms).contains(&place.ordinal));
    let fraction = if is_owner { 1.0 / owners as f64 } else { 0.0 };
    bucket::ShareSize {
        rate_per_second: total.rate_per_second * fraction,
        burst: total.burst * fraction,
    }
}
