//! Requests for tokens between VMs, and the loans that answer them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_types::name;

use crate::limiter;

/// The factor by which more tokens are requested than needed, so that rounding leaves no
/// gap.
const TOKEN_REQUEST_SURPLUS: f64 = 1.05;
/// The smallest amount, in tokens, that is requested of one VM. The lender refuses loans
/// below half of that.
const MIN_REQUEST_TOKENS: f64 = 2.0 * bucket::MIN_LOAN_TOKENS;
/// How long the answer of an owner is awaited before another token request is sent: a
/// round trip between regions, forwarded by a VM on the way.
const OWNER_ANSWER_TIMEOUT: Duration = Duration::from_millis(70);
/// How long a token request is remembered; later answers are ignored.
const TOKEN_REQUEST_LIFETIME: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct OpenRequest<A> {
    workspace: name::WorkspaceName,
    requested_at: Instant,
    answered_by: Vec<A>,
}

/// A token request to send to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingTokenRequest {
    /// The workspace whose tokens are requested.
    pub workspace: name::WorkspaceName,
    /// The number of tokens requested of each VM that receives the request.
    pub amount: f64,
    /// The request's number, which the answers repeat.
    pub number: u64,
    /// Whether an earlier request for the workspace was not answered.
    pub is_retry: bool,
}

/// Tracks the token requests that this VM has sent; `A` identifies another VM.
#[derive(Debug)]
pub struct TokenRequestTracker<A> {
    next_number: u64,
    open_requests: BTreeMap<u64, OpenRequest<A>>,
}

impl<A> Default for TokenRequestTracker<A> {
    fn default() -> Self {
        Self {
            next_number: 0,
            open_requests: BTreeMap::new(),
        }
    }
}

impl<A: PartialEq> TokenRequestTracker<A> {
    /// Returns the token requests to send to each of `others` other VMs, one for each
    /// workspace whose callers need more tokens than are available.
    pub fn open_token_requests(
        &mut self,
        limiter: &limiter::RateLimiter,
        others: usize,
        now: Instant,
    ) -> Vec<OutgoingTokenRequest> {
        let is_recent = |request: &OpenRequest<A>| {
            now.saturating_duration_since(request.requested_at) < TOKEN_REQUEST_LIFETIME
        };
        self.open_requests.retain(|_, request| is_recent(request));
        if others == 0 {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for (workspace, share) in limiter.workspace_shares() {
            if let Some(shortfall) = share.start_token_request(now) {
                let amount =
                    (shortfall * TOKEN_REQUEST_SURPLUS / others as f64).max(MIN_REQUEST_TOKENS);
                requests.push(self.open_request(workspace, amount, now));
            }
        }
        requests
    }

    /// Returns the token requests to send to one owner each, one for each workspace whose
    /// callers need more tokens than are available.
    ///
    /// Owners are asked for whole tokens, and not again before they have had time to
    /// answer, since tokens that are requested twice expire unused.
    pub fn open_owner_token_requests(
        &mut self,
        limiter: &limiter::RateLimiter,
        now: Instant,
    ) -> Vec<OutgoingTokenRequest> {
        let age = |request: &OpenRequest<A>| now.saturating_duration_since(request.requested_at);
        self.open_requests
            .retain(|_, request| age(request) < TOKEN_REQUEST_LIFETIME);
        let mut requests = Vec::new();
        for (workspace, share) in limiter.workspace_shares() {
            let is_open = |request: &OpenRequest<A>| {
                let is_unanswered =
                    request.answered_by.is_empty() && age(request) < OWNER_ANSWER_TIMEOUT;
                is_unanswered && request.workspace == workspace
            };
            if self.open_requests.values().any(is_open) {
                continue;
            }
            if let Some(shortfall) = share.start_owner_token_request(now) {
                requests.push(self.open_request(workspace, shortfall, now));
            }
        }
        requests
    }

    fn open_request(
        &mut self,
        workspace: name::WorkspaceName,
        amount: f64,
        now: Instant,
    ) -> OutgoingTokenRequest {
        let number = self.next_number;
        self.next_number += 1;
        let latest = self.open_requests.values().rev();
        let mut latest = latest.filter(|request| request.workspace == workspace);
        let is_retry = latest
            .next()
            .is_some_and(|request| request.answered_by.is_empty());
        let request = OpenRequest {
            workspace: workspace.clone(),
            requested_at: now,
            answered_by: Vec::new(),
        };
        self.open_requests.insert(number, request);
        OutgoingTokenRequest {
            workspace,
            amount,
            number,
            is_retry,
        }
    }

    /// Adds the tokens that a VM lent in answer to a token request. Each VM's answer to a
    /// request counts once, so that a duplicated message does not duplicate tokens.
    pub fn accept(
        &mut self,
        limiter: &limiter::RateLimiter,
        lender: A,
        amount: f64,
        number: u64,
        now: Instant,
    ) {
        let Some(request) = self.open_requests.get_mut(&number) else {
            return;
        };
        if request.answered_by.contains(&lender) {
            return;
        }
        request.answered_by.push(lender);
        if let Some(share) = limiter.find(&request.workspace) {
            share.accept_loan(amount, request.requested_at, now);
        }
    }
}

/// Takes up to `requested` tokens out of a workspace's bucket to lend them to another VM.
/// Returns how many were taken: none if the workspace is unknown.
pub fn lend(limiter: &limiter::RateLimiter, workspace: &str, requested: f64, now: Instant) -> f64 {
    let valid_name = name::WorkspaceName::try_from(workspace).ok();
    let share = valid_name.and_then(|name| limiter.find(&name));
    share.map_or(0.0, |share| share.lend(requested, now))
}
