//! The promoter's inputs and outputs.

use std::time::Instant;

use crate::observation;

/// An input of the promoter.
#[derive(Debug, Clone)]
pub enum PromotionEvent {
    /// A periodic tick, on which the promoter checks its timeouts and claims a term if that
    /// is due.
    Tick {
        /// This VM's rank among the live VMs: the VM with rank 0 acts first.
        rank: usize,
    },
    /// A database answered a probe.
    ProbeAnswered {
        /// The database's index in the group.
        database_index: usize,
        /// When the probe was sent.
        sent_at: Instant,
        /// The status that the database reported.
        status: observation::GroupDatabaseStatus,
    },
    /// A probe of a database failed.
    ProbeFailed {
        /// The database's index in the group.
        database_index: usize,
    },
    /// The store accepted or rejected the claim of a term, or did not answer the claim.
    ClaimAnswered {
        /// The claimed term.
        term: u64,
        /// The result of the claim.
        outcome: ClaimOutcome,
    },
    /// A database answered the request to fence it, or the request failed.
    FenceAnswered {
        /// The database's index in the group.
        database_index: usize,
        /// The term that the database was fenced with.
        term: u64,
        /// The database's status, or `None` if it refused or the request failed.
        status: Option<observation::GroupDatabaseStatus>,
    },
    /// The database chosen as primary answered the request to promote it, or did not answer
    /// in time.
    PromoteAnswered {
        /// The term of the promotion.
        term: u64,
        /// Whether the database is primary now.
        is_primary: bool,
    },
    /// The attempt to write the new primary to the store has ended, successfully or not.
    PublishAnswered {
        /// The term of the promotion.
        term: u64,
    },
}

/// The result of claiming a term in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The store recorded this VM as the claimant.
    Won,
    /// This term or a higher one had already been claimed.
    Lost {
        /// The term recorded in the store.
        term: u64,
    },
    /// The store did not answer. The promotion goes on, since the databases
    /// promise each term to one claimant only.
    StoreUnavailable,
}

/// A request that the owner of the promoter must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Claim a term in the store.
    Claim {
        /// The term to claim.
        term: u64,
    },
    /// Fence a database: it then rejects primaries of lower terms.
    Fence {
        /// The database's index in the group.
        database_index: usize,
        /// The term to fence it with.
        term: u64,
    },
    /// Promote a database to primary.
    Promote {
        /// The database's index in the group.
        database_index: usize,
        /// The term in which it becomes primary.
        term: u64,
    },
    /// Write the new primary to the store.
    Publish {
        /// The new primary's index in the group.
        database_index: usize,
        /// The term in which it is primary.
        term: u64,
    },
}
