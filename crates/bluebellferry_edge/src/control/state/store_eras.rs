//! The store's returns from older copies, and what this VM's memory knows better than the copy.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::leadership;
use bluebellferry_promotion::lease;
use bluebellferry_types::store_revision;

use crate::control::state;

/// How long after a return of the store objects may be missing that their writers write again:
/// databases register again within about two seconds.
const REWRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long other VMs leave it to the holder of the promotion duty to restore the table.
const HOLDER_HEAD_START: Duration = Duration::from_millis(300);
/// How long a VM whose table is a copy from another VM, without orders, leaves it to the others.
const COMPLETE_TABLE_HEAD_START: Duration = Duration::from_millis(600);
/// How long after a return of the store a promotion may be under way that a VM of the previous era
/// requested, with the time that the databases take to agree on the leader.
pub const RECONCILIATION_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The era of the store, and when this VM noticed it.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraInUse {
    era: store_revision::StoreEra,
    noticed_at: Option<Instant>,
    /// When this VM noticed that the store had come back from an older copy, if it did.
    returned_at: Option<Instant>,
}

/// How the leadership table of an earlier era is restored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RestorationPlan {
    /// Another VM is better suited, or more has to be known first.
    Wait,
    /// This VM knows the latest table.
    WriteKnown(leadership::LeadershipTable),
    /// No VM is known to know the latest table, so the databases tell who leads. The table has what
    /// is known besides.
    AskDatabases(leadership::LeadershipTable),
}

impl state::ControlState {
    /// Records the era in the latest answer of the store or in a heartbeat; `None` if there was no
    /// answer. Earlier eras are ignored. Returns whether the store is found to have come back from
    /// an older copy.
    pub fn observe_store_era(
        &mut self,
        era: Option<store_revision::StoreEra>,
        now: Instant,
    ) -> bool {
        let is_first = self.store_era.noticed_at.is_none();
        let is_later = |era: &store_revision::StoreEra| *era > self.store_era.era;
        let Some(era) = era.filter(|era| is_first || is_later(era)) else {
            return false;
        };
        let is_return = !is_first;
        self.store_era = EraInUse {
            era,
            noticed_at: Some(now),
            returned_at: is_return.then_some(now).or(self.store_era.returned_at),
        };
        if !is_return {
            return false;
        }
        log::warn!(era = era.number(); "the store came back from an older copy");
        let returns = &self.shared.fleet_status.store_returns;
        returns.fetch_add(1, Ordering::Relaxed);
        // This VM's entry may be missing in the copy, and watches of the earlier era hear nothing.
        self.must_register = true;
        self.member_list_trigger.notify_one();
        self.configuration_read_trigger.notify_one();
        self.heartbeat_trigger.notify_one();
        true
    }

    /// Returns the latest known era of the store.
    pub const fn store_era(&self) -> store_revision::StoreEra {
        self.store_era.era
    }

    /// Returns whether the store came back so recently that databases and the operator may not have
    /// written everything again.
    pub fn is_store_catching_up(&self, now: Instant) -> bool {
        self.has_returned_within(REWRITE_TIMEOUT, now)
    }

    /// Returns whether the store came back so recently that VMs may not have registered again.
    pub(super) fn may_lack_members(&self, now: Instant) -> bool {
        self.has_returned_within(lease::JOIN_DELAY, now)
    }

    fn has_returned_within(&self, duration: Duration, now: Instant) -> bool {
        let returned_at = self.store_era.returned_at;
        returned_at.is_some_and(|at| now.saturating_duration_since(at) < duration)
    }

    /// Returns whether the leadership table in use was written in an earlier era of the store, so
    /// that the store may have lost it.
    pub fn awaits_restoration(&self) -> bool {
        !self.leadership_table.is_of_era(self.store_era.era)
    }

    /// Returns whether this VM may restore the leadership table, and from what. `stored` is the
    /// table that the store has, which was written in an earlier era.
    ///
    /// The table in use is the latest one as long as the lease is valid: a VM that replaces a leader
    /// reads the table once more after this lease has expired, and then finds the restored one.
    pub fn plan_restoration(
        &self,
        stored: &leadership::LeadershipTable,
        nonce: u64,
        now: Instant,
    ) -> RestorationPlan {
        let era = self.store_era.era;
        let Some(noticed_at) = self.store_era.noticed_at else {
            return RestorationPlan::Wait;
        };
        let waited = now.saturating_duration_since(noticed_at);
        let is_latest =
            self.lease.knows_table() && self.lease.valid_until().is_some_and(|until| until > now);
        if is_latest {
            let is_holder = self.leadership_table.holder == self.own_name();
            let head_start = match (self.has_complete_table, is_holder) {
                (false, _) => COMPLETE_TABLE_HEAD_START,
                (true, false) => HOLDER_HEAD_START,
                (true, true) => Duration::ZERO,
            };
            return if waited >= head_start {
                RestorationPlan::WriteKnown(self.leadership_table.restored(era, nonce))
            } else {
                RestorationPlan::Wait
            };
        }
        let knows_services = self.versions.configuration > 0 && self.versions.databases > 0;
        let ranks_first = self.ranks_first_among(now, |heartbeat| {
            heartbeat.is_store_reachable && heartbeat.is_coordinator
        });
        let is_due = ranks_first || waited >= RECONCILIATION_TIMEOUT * 2;
        if !knows_services || !is_due {
            return RestorationPlan::Wait;
        }
        let mut known = self.leadership_table.merged(stored).restored(era, nonce);
        self.own_name().clone_into(&mut known.holder);
        RestorationPlan::AskDatabases(known)
    }

    /// Returns whether the databases have had [`RECONCILIATION_TIMEOUT`] since this VM noticed the
    /// store's era.
    pub fn has_waited_for_reconciliation(&self, now: Instant) -> bool {
        let noticed_at = self.store_era.noticed_at;
        noticed_at.is_some_and(|at| now.saturating_duration_since(at) >= RECONCILIATION_TIMEOUT)
    }
}
