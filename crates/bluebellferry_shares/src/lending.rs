//! Tokens on their way between VMs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_types::name;

use crate::limiter;

/// By how much more than the need is asked for, so that rounding leaves no gap.
const ASK_SURPLUS: f64 = 1.05;
/// The smallest part of a token that is asked of one VM; smaller loans are not
/// given.
const SMALLEST_ASK: f64 = 2.0 * bucket::MIN_LOAN_TOKENS;
/// How long an owner of tokens is not asked for more before it has answered: a round
/// trip between regions, with a stop on the way.
const OWNER_PATIENCE: Duration = Duration::from_millis(70);
/// How long the number of a token request is kept.
const ASK_KEPT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct OpenAsk<A> {
    workspace: name::WorkspaceName,
    asked_at: Instant,
    answered_by: Vec<A>,
}

/// A request for tokens to send to other VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingTokenRequest {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// How many tokens each of the others is asked for.
    pub amount: f64,
    /// The number that the answers carry.
    pub number: u64,
}

/// The requests for tokens that are under way; `A` identifies another VM.
#[derive(Debug)]
pub struct TokenRequestTracker<A> {
    next_number: u64,
    open_asks: BTreeMap<u64, OpenAsk<A>>,
}

impl<A> Default for TokenRequestTracker<A> {
    fn default() -> Self {
        Self {
            next_number: 0,
            open_asks: BTreeMap::new(),
        }
    }
}

impl<A: PartialEq> TokenRequestTracker<A> {
    /// Returns what to ask of `others` other VMs, where callers need more
    /// tokens than there are.
    pub fn open_token_requests(
        &mut self,
        limiter: &limiter::RateLimiter,
        others: usize,
        now: Instant,
    ) -> Vec<OutgoingTokenRequest> {
        let recent = |ask: &OpenAsk<A>| now.saturating_duration_since(ask.asked_at) < ASK_KEPT;
        self.open_asks.retain(|_, ask| recent(ask));
        if others == 0 {
            return Vec::new();
        }
        let mut asks = Vec::new();
        for (workspace, share) in limiter.all() {
            if let Some(missing) = share.start_token_request(now) {
                let amount = (missing * ASK_SURPLUS / others as f64).max(SMALLEST_ASK);
                asks.push(self.open_ask(workspace, amount, now));
            }
        }
        asks
    }

    /// Returns what to ask of the owners of tokens, one of them each time, where
    /// callers need more than there are. Whole tokens are asked for, and no more
    /// before the owner has had time to answer: what is asked for twice lapses.
    pub fn open_owner_token_requests(
        &mut self,
        limiter: &limiter::RateLimiter,
        now: Instant,
    ) -> Vec<OutgoingTokenRequest> {
        let age = |ask: &OpenAsk<A>| now.saturating_duration_since(ask.asked_at);
        self.open_asks.retain(|_, ask| age(ask) < ASK_KEPT);
        let mut asks = Vec::new();
        for (workspace, share) in limiter.all() {
            let is_open = |ask: &OpenAsk<A>| {
                let is_unanswered = ask.answered_by.is_empty() && age(ask) < OWNER_PATIENCE;
                is_unanswered && ask.workspace == workspace
            };
            if self.open_asks.values().any(is_open) {
                continue;
            }
            if let Some(missing) = share.start_owner_token_request(now) {
                asks.push(self.open_ask(workspace, missing, now));
            }
        }
        asks
    }

    fn open_ask(
        &mut self,
        workspace: name::WorkspaceName,
        amount: f64,
        now: Instant,
    ) -> OutgoingTokenRequest {
        let number = self.next_number;
        self.next_number += 1;
        let ask = OpenAsk {
            workspace: workspace.clone(),
            asked_at: now,
            answered_by: Vec::new(),
        };
        self.open_asks.insert(number, ask);
        OutgoingTokenRequest {
            workspace,
            amount,
            number,
        }
    }

    /// Takes tokens, once for each giver and request: a doubled message must
    /// not double them.
    pub fn accept(
        &mut self,
        limiter: &limiter::RateLimiter,
        from: A,
        amount: f64,
        number: u64,
        now: Instant,
    ) {
        let Some(ask) = self.open_asks.get_mut(&number) else {
            return;
        };
        if ask.answered_by.contains(&from) {
            return;
        }
        ask.answered_by.push(from);
        if let Some(share) = limiter.find(&ask.workspace) {
            share.accept_loan(amount, ask.asked_at, now);
        }
    }
}

/// Moves tokens out for another VM; returns how many.
pub fn lend(limiter: &limiter::RateLimiter, workspace: &str, asked: f64, now: Instant) -> f64 {
    let checked = name::WorkspaceName::try_from(workspace).ok();
    let share = checked.and_then(|name| limiter.find(&name));
    share.map_or(0.0, |share| share.lend(asked, now))
}
