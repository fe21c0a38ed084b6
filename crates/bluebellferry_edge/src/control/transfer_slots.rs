//! Limits the transfers of store copies from one VM, and refers further VMs to those that
//! already have the copies.
//!
//! All VMs of a data centre want a new configuration at the same moment. If one VM sent it to
//! all of them, its link would be saturated for a time that grows with their number. With
//! referrals the time grows with the logarithm.

use std::net::IpAddr;

use bluebellferry_membership::heartbeat;

/// The most VMs to which copies are sent at the same time.
pub const MAX_CONCURRENT_TRANSFERS: usize = 4;

/// The answer to a VM that requests copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferAdmission {
    /// The copies are sent.
    Serve,
    /// This VM has the copies.
    Refer(IpAddr),
    /// All slots are taken, and no other VM is known to have the copies.
    Busy,
}

/// The transfers of one VM.
#[derive(Debug, Default)]
pub struct TransferSlots {
    active: usize,
    /// The versions that the holders have.
    versions: heartbeat::StoreVersions,
    holders: Vec<IpAddr>,
    next_holder: usize,
}

impl TransferSlots {
    /// Decides on a request for the copies with these versions. If it is served,
    /// [`Self::finish`] must be called afterwards.
    pub fn admit(&mut self, versions: heartbeat::StoreVersions) -> TransferAdmission {
        if versions != self.versions {
            self.versions = versions;
            self.holders.clear();
        }
        if self.active < MAX_CONCURRENT_TRANSFERS {
            self.active += 1;
            return TransferAdmission::Serve;
        }
        if self.holders.is_empty() {
            return TransferAdmission::Busy;
        }
        self.next_holder = (self.next_holder + 1) % self.holders.len();
        TransferAdmission::Refer(self.holders[self.next_holder])
    }

    /// Records the end of a transfer to a VM, which has the copies if it `is_complete`.
    pub fn finish(&mut self, to: IpAddr, versions: heartbeat::StoreVersions, is_complete: bool) {
        self.active = self.active.saturating_sub(1);
        if is_complete && versions == self.versions && !self.holders.contains(&to) {
            self.holders.push(to);
        }
    }
}
