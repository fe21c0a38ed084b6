//! Requests for tokens between VMs, and the loans that answer them.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_limits::urgency;
use bluebellferry_types::limit;

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
    key: limit::LimitKey,
    /// The most urgent level that the request wants tokens for.
    level: urgency::UrgencyLevel,
    requested_at: Instant,
    answered_by: Vec<A>,
}

/// A token request to send to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingTokenRequest {
    /// The limit whose tokens are requested.
    pub key: limit::LimitKey,
    /// The number of tokens requested of each VM that receives the request.
    pub amount: f64,
    /// The tokens that operations of each urgency level want; only for requests to an owner.
    pub wanted: limiter::WantedTokens,
    /// The request's number, which the answers repeat.
    pub number: u64,
    /// Whether an earlier request for the limit was not answered.
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
    /// limit of which more tokens are needed than are available.
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
        for (key, share) in limiter.all_shares() {
            if let Some(shortfall) = share.start_token_request(now) {
                let amount =
                    (shortfall * TOKEN_REQUEST_SURPLUS / others as f64).max(MIN_REQUEST_TOKENS);
                let wanted = limiter::WantedTokens::default();
                requests.push(self.open_request(key, amount, wanted, now));
            }
        }
        requests
    }

    /// Returns the token requests to send to one owner each, one for each limit of
    /// which more tokens are needed than are available.
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
        for (key, share) in limiter.all_shares() {
            let is_open = |request: &&OpenRequest<A>| {
                let is_unanswered =
                    request.answered_by.is_empty() && age(request) < OWNER_ANSWER_TIMEOUT;
                is_unanswered && request.key == key
            };
            let open = self.open_requests.values().filter(is_open);
            let open_level = open.map(|request| request.level).min();
            // An urgent operation does not wait for the answer to a less urgent one.
            if open_level.is_some_and(|open| !share.waits_for_more_urgent(open)) {
                continue;
            }
            if let Some(wanted) = share.start_owner_token_request(now) {
                let wanted = open_level.map_or(wanted, |open| wanted.more_urgent_than(open));
                requests.push(self.open_request(key, wanted.total(), wanted, now));
            }
        }
        requests
    }

    fn open_request(
        &mut self,
        key: limit::LimitKey,
        amount: f64,
        wanted: limiter::WantedTokens,
        now: Instant,
    ) -> OutgoingTokenRequest {
        let number = self.next_number;
        self.next_number += 1;
        let latest = self.open_requests.values().rev();
        let mut latest = latest.filter(|request| request.key == key);
        let is_retry = latest
            .next()
            .is_some_and(|request| request.answered_by.is_empty());
        let request = OpenRequest {
            key: key.clone(),
            level: wanted.most_urgent(),
            requested_at: now,
            answered_by: Vec::new(),
        };
        self.open_requests.insert(number, request);
        OutgoingTokenRequest {
            key,
            amount,
            wanted,
            number,
            is_retry,
        }
    }

    /// Records that an owner has no tokens in time for operations of a level and less urgent ones.
    pub fn record_denial(
        &mut self,
        limiter: &limiter::RateLimiter,
        lender: A,
        number: u64,
        (level, wait): (urgency::UrgencyLevel, Duration),
        now: Instant,
    ) {
        let Some(request) = self.open_requests.get_mut(&number) else {
            return;
        };
        // The next request goes to another owner.
        request.answered_by.push(lender);
        if let Some(share) = limiter.find(request.key.clone()) {
            share.record_denial(level, wait, now);
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
        if let Some(share) = limiter.find(request.key.clone()) {
            share.accept_loan(amount, request.requested_at, now);
        }
    }
}

/// Takes the tokens that another VM wants out of a limit's bucket, the most urgent first. Lends
/// none if the limit is unknown.
pub fn lend_ordered(
    limiter: &limiter::RateLimiter,
    key: &limit::LimitKey,
    wanted: &limiter::WantedTokens,
    now: Instant,
) -> limiter::LoanAnswer {
    let share = limiter.find(key.clone());
    share.map_or_else(limiter::LoanAnswer::default, |share| {
        share.lend_ordered(wanted, now)
    })
}

/// Takes up to `requested` tokens out of a limit's bucket to lend them to another VM.
/// Returns how many were taken: none if the limit is unknown.
pub fn lend(
    limiter: &limiter::RateLimiter,
    key: &limit::LimitKey,
    requested: f64,
    now: Instant,
) -> f64 {
    let share = limiter.find(key.clone());
    share.map_or(0.0, |share| share.lend(requested, now))
}
