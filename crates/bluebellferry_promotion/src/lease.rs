//! The lease under which a VM relies on its copy of the leadership table.
//!
//! A read that must see every acknowledged commit may run only at a leader that
//! has not been replaced. A VM may assume so for [`LEASE_DURATION`] after an
//! instant at which no replacement was under way. There are three such instants:
//!
//! - when the VM sent a read of the table that the store then answered;
//! - when the VM sent a heartbeat that every other member has answered without having
//!   begun a replacement;
//! - when the VM sent a heartbeat to another VM which, after it had received that
//!   heartbeat, had the table confirmed by the store and passed the confirmation on.
//!
//! A VM that replaces a leader first marks it as being replaced in the table, and then
//! waits until every member has acknowledged that change or all leases have expired.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How long a VM may rely on the table after a confirmation. More than three
/// heartbeat intervals, so that one lost datagram does not end the lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// How long a VM may rely on a leader after a probe found that it led and that at
/// least one of its replicas was not fenced. A VM that replaces a leader waits as
/// long after it fenced the last replica.
pub const PROBE_LEASE_DURATION: Duration = Duration::from_millis(800);
/// How long a newly registered VM waits before it may replace a leader, and how
/// long the other VMs may rely on a member list without reading it again.
pub const JOIN_DELAY: Duration = Duration::from_secs(15);
/// How many sent heartbeats are remembered; more than are sent during one lease.
const MAX_SENT_HEARTBEATS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct SentHeartbeat {
    sequence: u64,
    sent_at: Instant,
}

/// The part of another VM's heartbeat that confirms, or refuses to confirm, the lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfirmation {
    /// Tells the sender's process from earlier and later processes of the same VM.
    pub incarnation: u64,
    /// The sequence number of the latest heartbeat of this VM that the sender has received.
    pub echoed_sequence: u64,
    /// The revision of the sender's leadership table.
    pub revision: u64,
    /// Whether the sender is replacing a leader, or about to mark one as being replaced in
    /// the table.
    pub is_claiming: bool,
}

/// Tracks how long this VM may rely on its leadership table.
#[derive(Debug, Default)]
pub struct LeaseTracker {
    revision: u64,
    /// Whether this process has learned a table, or that there is none.
    knows_table: bool,
    sent_heartbeats: VecDeque<SentHeartbeat>,
    /// For each member: when this VM sent the latest heartbeat that the member has answered.
    confirmations: BTreeMap<String, Instant>,
    /// The other members, with an instant before their list was requested from the store.
    members: Option<(Instant, Vec<String>)>,
    store_confirmed_at: Option<Instant>,
}

impl LeaseTracker {
    /// Records that a heartbeat with this sequence number is about to be sent.
    pub fn record_sent_heartbeat(&mut self, sequence: u64, now: Instant) {
        if self.sent_heartbeats.len() == MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back(SentHeartbeat {
            sequence,
            sent_at: now,
        });
    }

    /// Records the other members as the store listed them. `requested_at` is an instant
    /// before the list was requested.
    pub fn record_members(&mut self, requested_at: Instant, others: Vec<String>) {
        self.confirmations.retain(|name, _| others.contains(name));
        self.members = Some((requested_at, others));
    }

    /// Returns an instant before the current member list was requested from the store.
    pub fn members_listed_at(&self) -> Option<Instant> {
        self.members.as_ref().map(|(listed_at, _)| *listed_at)
    }

    /// Records the revision of a table that this VM has begun to use.
    pub fn record_revision(&mut self, revision: u64) {
        // Earlier confirmations stay valid: the VM that changed the table waits for this
        // VM's acknowledgement or until every lease confirmed before has expired.
        self.revision = self.revision.max(revision);
        self.knows_table = true;
    }

    /// Returns whether this process has learned a table, or that there is none.
    pub const fn knows_table(&self) -> bool {
        self.knows_table
    }

    /// Records that the store holds the table at this revision. `requested_at` is an
    /// instant before the table was requested.
    pub fn record_store_confirmation(&mut self, requested_at: Instant, revision: u64) {
        self.record_revision(revision);
        self.store_confirmed_at = self.store_confirmed_at.max(Some(requested_at));
    }

    /// Returns when this VM sent a heartbeat, unless the heartbeat is no longer remembered.
    pub fn heartbeat_sent_at(&self, sequence: u64) -> Option<Instant> {
        let heartbeat = self
            .sent_heartbeats
            .iter()
            .find(|heartbeat| heartbeat.sequence == sequence);
        heartbeat.map(|heartbeat| heartbeat.sent_at)
    }

    /// Records a store confirmation that another VM passed on. After that VM had received
    /// this VM's heartbeat `sequence`, the store confirmed to it that the table had at most
    /// the revision `revision`.
    pub fn record_relayed_confirmation(&mut self, sequence: u64, revision: u64) {
        if revision > self.revision {
            return;
        }
        if let Some(sent_at) = self.heartbeat_sent_at(sequence) {
            self.store_confirmed_at = self.store_confirmed_at.max(Some(sent_at));
        }
    }

    /// Returns the latest instant at which the store is known to have held this VM's
    /// table or an earlier one. Heartbeats pass it on to other VMs.
    pub const fn store_confirmed_at(&self) -> Option<Instant> {
        self.store_confirmed_at
    }

    /// Records the lease confirmation in a member's heartbeat. A member that is claiming a
    /// replacement or has a later table withdraws its earlier confirmation.
    pub fn record_confirmation(&mut self, member: &str, confirmation: LeaseConfirmation) {
        if confirmation.is_claiming || confirmation.revision > self.revision {
            self.confirmations.remove(member);
            return;
        }
        let Some(sent_at) = self.heartbeat_sent_at(confirmation.echoed_sequence) else {
            return;
        };
        // Heartbeats may arrive out of order, so an older one must not shorten the lease.
        // Incarnations cannot order them: they are drawn from the wall clock, which may jump.
        let previous = self.confirmations.get(member).copied();
        self.confirmations.insert(
            member.to_owned(),
            previous.map_or(sent_at, |previous| previous.max(sent_at)),
        );
    }

    /// Returns until when this VM may rely on its table.
    pub fn valid_until(&self) -> Option<Instant> {
        let by_store = self
            .store_confirmed_at
            .map(|confirmed_at| confirmed_at + LEASE_DURATION);
        by_store.max(self.valid_until_by_members())
    }

    fn valid_until_by_members(&self) -> Option<Instant> {
        // Members that have restarted, too, know of no table at all and confirm that.
        let (listed_at, others) = self.members.as_ref().filter(|_| self.knows_table)?;
        // A VM without other members can have its lease confirmed only by the store.
        let first = others.first()?;
        let mut oldest = *self.confirmations.get(first)?;
        for member in others {
            oldest = oldest.min(*self.confirmations.get(member)?);
        }
        Some((oldest + LEASE_DURATION).min(*listed_at + JOIN_DELAY))
    }
}

/// Returns the instant from which no VM relies on the replaced leader any more, even if
/// some VM has not acknowledged the replacement.
///
/// `claimed_at` is an instant after the replacement was entered into the table, and
/// `fenced_at` one after the last fencing order was sent.
pub fn leases_expire_at(claimed_at: Instant, fenced_at: Instant) -> Instant {
    (claimed_at + LEASE_DURATION).max(fenced_at + PROBE_LEASE_DURATION)
}
