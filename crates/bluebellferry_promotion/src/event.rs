//! What a promoter is told, and what it wants done.

use std::time::Instant;

use crate::observation;

/// What the promoter is told.
#[derive(Debug, Clone)]
pub enum PromotionEvent {
    /// Time has passed; `rank` is this VM's place in the order of live VMs.
    Tick {
        /// 0 for the VM that acts first.
        rank: usize,
    },
    /// A database answered a probe that was sent at `asked`.
    ProbeAnswered {
        /// The database's index.
        member: usize,
        /// When the probe was sent.
        sent_at: Instant,
        /// Its answer.
        status: observation::MemberStatus,
    },
    /// A probe failed.
    ProbeFailed {
        /// The database's index.
        member: usize,
    },
    /// The store has settled or failed to settle the claim of `term`.
    ClaimAnswered {
        /// The term that was claimed.
        term: u64,
        /// What became of it.
        outcome: ClaimOutcome,
    },
    /// A database answered a fence with `term`.
    FenceAnswered {
        /// The database's index.
        member: usize,
        /// The term of the fence.
        term: u64,
        /// Its state, or `None` if it refused or failed.
        status: Option<observation::MemberStatus>,
    },
    /// The chosen database answered.
    PromoteAnswered {
        /// The term of the promotion.
        term: u64,
        /// Whether it is primary now.
        promoted: bool,
    },
    /// The store has taken the outcome, or did not answer.
    PublishAnswered {
        /// The term that was published.
        term: u64,
    },
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store has recorded this VM as the claimant.
    Won,
    /// Another VM had claimed this or a higher term before.
    Lost {
        /// The term that stands in the store.
        term: u64,
    },
    /// The store did not answer; the databases' promises decide alone.
    StoreUnavailable,
}

/// What the promoter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Claim a term in the store.
    Claim {
        /// The term.
        term: u64,
    },
    /// Fence a database.
    Fence {
        /// The database's index.
        member: usize,
        /// The term.
        term: u64,
    },
    /// Promote a database.
    Promote {
        /// The database's index.
        member: usize,
        /// The term.
        term: u64,
    },
    /// Write the new primary to the store.
    Publish {
        /// The database's index.
        member: usize,
        /// The term.
        term: u64,
    },
}
