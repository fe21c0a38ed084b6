//! A VM's right to rely on the leadership table.
//!
//! A read that must see every acknowledged commit may run only at a database
//! that nobody has replaced. A VM may assume that for [`LEASE_DURATION`] after an
//! instant at which it is known that no replacement was under way: the store
//! returned the table then, or every other member has answered a heartbeat sent
//! then without having begun one. Whoever replaces a leader first enters it
//! into the table and then waits until every member has seen that, or until the
//! term has passed. A VM to which the store has confirmed the table passes that on:
//! whoever's heartbeat it had before it asked has the same confirmation, dated by
//! the instant at which that heartbeat was sent.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How long a VM may rely on the table after it was confirmed. Over three
/// heartbeats: a lost datagram does not end it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// How long a VM may rely on a leader that, when asked, led, while one of its
/// replicas was not held back. Whoever replaces a leader waits as long after the
/// last of them was told to stop.
pub const PROBE_LEASE_DURATION: Duration = Duration::from_millis(800);
/// How long a VM that registers waits before it may replace a leader, and for
/// how long the others may go without looking for new members.
pub const JOIN_DELAY: Duration = Duration::from_secs(15);
/// How many heartbeats are remembered; more than fit into a lease's term.
const REMEMBERED_BEATS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct SentBeat {
    sequence: u64,
    sent: Instant,
}

/// What another VM's heartbeat says about the leadership.
#[derive(Debug, Clone, Copy)]
pub struct LeaseConfirmation {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sequence number of this VM's latest heartbeat that the sender had received.
    pub echoed_sequence: u64,
    /// The revision of the sender's table.
    pub revision: u64,
    /// Whether the sender is trying to enter a replacement into the table.
    pub is_claiming: bool,
}

/// Follows how long this VM may rely on its table.
#[derive(Debug, Default)]
pub struct LeaseTracker {
    revision: u64,
    sent: VecDeque<SentBeat>,
    /// When the latest of this VM's heartbeats was sent that a member has answered.
    vouches: BTreeMap<String, Instant>,
    members: Option<(Instant, Vec<String>)>,
    store_confirmed_at: Option<Instant>,
}

impl LeaseTracker {
    /// Notes that a heartbeat with this sequence number is about to be sent.
    pub fn record_sent_heartbeat(&mut self, sequence: u64, now: Instant) {
        if self.sent.len() == REMEMBERED_BEATS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentBeat {
            sequence,
            sent: now,
        });
    }

    /// Takes the other members, as the store listed them; `asked` is an instant
    /// before the question.
    pub fn record_members(&mut self, asked: Instant, others: Vec<String>) {
        self.vouches.retain(|name, _| others.contains(name));
        self.members = Some((asked, others));
    }

    /// Returns when the other members were listed.
    pub fn members_listed_at(&self) -> Option<Instant> {
        self.members.as_ref().map(|(listed, _)| *listed)
    }

    /// Takes a table revision that has come into force on this VM.
    pub fn record_revision(&mut self, revision: u64) {
        // Confirmations stay: whoever changed the table waits for this VM or for
        // the end of every term that was confirmed before.
        self.revision = self.revision.max(revision);
    }

    /// Takes the store's answer that the table has this revision; `asked` is an
    /// instant before the question.
    pub fn record_store_confirmation(&mut self, asked: Instant, revision: u64) {
        self.record_revision(revision);
        self.store_confirmed_at = self.store_confirmed_at.max(Some(asked));
    }

    /// Returns when this VM sent a heartbeat, if it is remembered.
    pub fn heartbeat_sent_at(&self, sequence: u64) -> Option<Instant> {
        let sent = self.sent.iter().find(|beat| beat.sequence == sequence);
        sent.map(|beat| beat.sent)
    }

    /// Takes another VM's word that the table was confirmed to it after it had this
    /// VM's heartbeat `sequence`, in no later version than `revision`.
    pub fn record_relayed_confirmation(&mut self, sequence: u64, revision: u64) {
        if revision > self.revision {
            return;
        }
        if let Some(sent) = self.heartbeat_sent_at(sequence) {
            self.store_confirmed_at = self.store_confirmed_at.max(Some(sent));
        }
    }

    /// Returns the latest instant at which the store is known to have held this VM's
    /// table or an earlier one, for others that are told.
    pub const fn store_confirmed_at(&self) -> Option<Instant> {
        self.store_confirmed_at
    }

    /// Takes what another VM's heartbeat says.
    pub fn record_confirmation(&mut self, member: &str, vouch: LeaseConfirmation) {
        if vouch.is_claiming || vouch.revision > self.revision {
            self.vouches.remove(member);
            return;
        }
        let Some(sent) = self.heartbeat_sent_at(vouch.echoed_sequence) else {
            return;
        };
        // Heartbeats may arrive out of order; an older one takes nothing back. Incarnations
        // tell no order, since they are drawn from the time of day, which may jump.
        let known = self.vouches.get(member).copied();
        self.vouches.insert(
            member.to_owned(),
            known.map_or(sent, |known| known.max(sent)),
        );
    }

    /// Returns until when this VM may rely on its table.
    pub fn valid_until(&self) -> Option<Instant> {
        let by_store = self.store_confirmed_at.map(|asked| asked + LEASE_DURATION);
        by_store.max(self.valid_by_members())
    }

    fn valid_by_members(&self) -> Option<Instant> {
        let (listed, others) = self.members.as_ref()?;
        // Without others there is nobody to vouch; only the store can.
        let first = others.first()?;
        let mut oldest = *self.vouches.get(first)?;
        for member in others {
            oldest = oldest.min(*self.vouches.get(member)?);
        }
        Some((oldest + LEASE_DURATION).min(*listed + JOIN_DELAY))
    }
}

/// Returns from when on no VM may still rely on a leader that is being replaced,
/// where not all of them have seen the replacement in the table.
///
/// `claimed` is an instant after the table was changed, `decided` one after the
/// last database was told to stop.
pub fn leases_expire_at(claimed: Instant, decided: Instant) -> Instant {
    (claimed + LEASE_DURATION).max(decided + PROBE_LEASE_DURATION)
}
