//! Token requests and token loans between VMs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::message;
use bluebellferry_shares::lending;
use bluebellferry_types::limit;

use super::super::ControlState;
use super::PEER_FANOUT;

/// The interval at which tokens are requested for the predicted demand, besides the
/// requests that waiting callers trigger.
const TOKEN_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

impl ControlState {
    /// Sends other VMs token requests for the workspaces whose callers need more
    /// tokens than are available.
    pub(in crate::control) fn request_tokens(&mut self, now: Instant) {
        self.peers.next_token_request_at = now + TOKEN_REQUEST_INTERVAL;
        let peer_count = self.peers.addresses.len().min(PEER_FANOUT);
        if self.is_superseded {
            return;
        }
        let rate_limiter = &self.shared.rate_limiter;
        for outgoing in self
            .peers
            .token_requests
            .open_token_requests(rate_limiter, peer_count, now)
        {
            let request = message::PeerMessage::TokenRequest {
                key: outgoing.key,
                amount: outgoing.amount,
                number: outgoing.number,
            };
            self.peers.send_to_next_peers(&request);
        }
    }

    /// Answers another VM's token request with the tokens that this VM can spare, if
    /// any.
    pub(super) fn lend_tokens(
        &mut self,
        to: SocketAddr,
        key: limit::LimitKey,
        requested: f64,
        number: u64,
        now: Instant,
    ) {
        if self.is_superseded {
            return;
        }
        let amount = lending::lend(&self.shared.rate_limiter, &key, requested, now);
        if amount > 0.0 {
            let transfer = message::PeerMessage::TokenTransfer {
                key,
                amount,
                number,
            };
            self.peers.send(to, &transfer);
        }
    }

    /// Adds the tokens that another VM lent to this VM's bucket of the workspace.
    pub(super) fn accept_tokens(
        &mut self,
        from: SocketAddr,
        amount: f64,
        number: u64,
        now: Instant,
    ) {
        let rate_limiter = &self.shared.rate_limiter;
        self.peers
            .token_requests
            .accept(rate_limiter, from, amount, number, now);
    }
}
