//! When larger shares of a rate may take effect.
//!
//! The load this answers is a workspace that needs its whole rate while its callers move between
//! VMs. Whenever the allocations follow them, the part that moves is used by nobody until the
//! larger shares take effect, and a fixed delay has to be long enough for the slowest VM. So a
//! share grows as soon as all VMs whose shares became smaller have acknowledged that. The fixed
//! delay remains for VMs that do not answer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;

/// What a new allocation table takes away from members of the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllocationReduction {
    /// The members that may have a smaller allocation of at least one limit: all of them if this
    /// VM has not received each table in between.
    pub reduced: Vec<String>,
    /// Whether a member may still use an allocation that the new table gives to others: it left,
    /// or the table before is not known.
    pub has_departures: bool,
}

/// Decides when this VM may use the larger allocations of the latest table.
#[derive(Debug, Default)]
pub struct GrowthGate {
    /// The number of the latest table.
    number: u64,
    /// The number of the latest table that reduced an allocation of a member.
    reduced_by: BTreeMap<String, u64>,
    /// Until when departed members may use their allocations.
    departed_until: Option<Instant>,
    /// Since when all reductions are known to be in effect.
    acknowledged_since: Option<Instant>,
    /// Whether the allocations of the latest table wait to take effect.
    is_waiting: bool,
}

impl GrowthGate {
    /// Records a new table. For `departure_delay`, departed members may use their allocations.
    pub fn record_table(
        &mut self,
        number: u64,
        reduction: AllocationReduction,
        departure_delay: Duration,
        now: Instant,
    ) {
        self.number = number;
        for vm in reduction.reduced {
            self.reduced_by.insert(vm, number);
        }
        if reduction.has_departures {
            self.departed_until = Some(now + departure_delay);
        }
        self.acknowledged_since = None;
        self.is_waiting = true;
    }

    /// Returns whether this VM may now use the allocations of the latest table in full: once for
    /// each table.
    ///
    /// `acknowledged` returns the number of the latest table that a VM is known to use, and
    /// `latest` is the highest of these numbers. A VM with a later table than this one may use
    /// more than this VM's table gives it. After the last acknowledgement, tokens that were lent
    /// out of the earlier, larger shares have to expire first.
    pub fn may_grow(
        &mut self,
        acknowledged: impl Fn(&str) -> u64,
        latest: u64,
        now: Instant,
    ) -> bool {
        if !self.is_waiting {
            return false;
        }
        let is_in_effect = |(vm, number): (&String, &u64)| acknowledged(vm) >= *number;
        if latest > self.number || !self.reduced_by.iter().all(is_in_effect) {
            self.acknowledged_since = None;
            return false;
        }
        let acknowledged_since = *self.acknowledged_since.get_or_insert(now);
        let has_departed_member = self.departed_until.is_some_and(|until| now < until);
        if has_departed_member || now < acknowledged_since + bucket::LOAN_VALIDITY {
            return false;
        }
        self.is_waiting = false;
        true
    }
}
