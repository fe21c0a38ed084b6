//! Which VMs own a workspace's rate, and how much each.
//!
//! With many VMs a part each would be a fraction of a token. So at most
//! [`MAX_OWNERS_PER_DATA_CENTRE`] VMs of a data centre own parts, chosen by
//! rendezvous hashing over the VMs' fixed numbers; the others borrow.

use bluebellferry_types::name;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::bucket;

/// The most VMs of one data centre that own a part of one workspace's rate.
pub const MAX_OWNERS_PER_DATA_CENTRE: usize = 4;

/// A VM's fixed place: its data centre and its number there, from 0.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct VmPlace {
    /// The data centre.
    pub data_centre: name::DataCentreName,
    /// The VM's number in its data centre.
    pub ordinal: u32,
}

/// Returns the VMs of a data centre that own parts of a workspace's rate.
pub fn owners_in(
    workspace: &name::WorkspaceName,
    data_centre: &name::DataCentreName,
    vms: u32,
) -> SmallVec<[u32; MAX_OWNERS_PER_DATA_CENTRE]> {
    let score = |ordinal: u32| {
        let text = format!("{workspace}\0{data_centre}\0{ordinal}");
        (xxh3::xxh3_64(text.as_bytes()), ordinal)
    };
    let mut scores: Vec<(u64, u32)> = (0..vms).map(score).collect();
    scores.sort_unstable();
    scores
        .into_iter()
        .take(MAX_OWNERS_PER_DATA_CENTRE)
        .map(|(_, ordinal)| ordinal)
        .collect()
}

/// Returns the part of a workspace's rate and burst that a VM owns.
///
/// `data_centres` lists every data centre with its number of VMs.
pub fn owned_share(
    workspace: &name::WorkspaceName,
    total: bucket::ShareSize,
    place: &VmPlace,
    data_centres: &[(name::DataCentreName, u32)],
) -> bucket::ShareSize {
    let owners_of = |vms: u32| (vms as usize).min(MAX_OWNERS_PER_DATA_CENTRE);
    let owners: usize = data_centres.iter().map(|(_, vms)| owners_of(*vms)).sum();
    let vms = data_centres
        .iter()
        .find(|(name, _)| *name == place.data_centre);
    let owns =
        vms.is_some_and(|(name, vms)| owners_in(workspace, name, *vms).contains(&place.ordinal));
    let part = if owns { 1.0 / owners as f64 } else { 0.0 };
    bucket::ShareSize {
        rate_per_second: total.rate_per_second * part,
        burst: total.burst * part,
    }
}
