//! Tokens on their way between VMs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::message;
use bluebellferry_shares::lending;

use super::super::ControlState;
use super::HEARTBEAT_FANOUT;

/// How often tokens are asked for ahead of need.
const FORESIGHT_INTERVAL: Duration = Duration::from_millis(40);

impl ControlState {
    /// Asks other VMs for tokens where callers need more than there are.
    pub(in crate::control) fn ask_for_tokens(&mut self, now: Instant) {
        self.peers.ask_due = now + FORESIGHT_INTERVAL;
        let others = self.peers.addresses.len().min(HEARTBEAT_FANOUT);
        if self.replaced {
            return;
        }
        let shares = &self.shared.shares;
        for ask in self.peers.lending.open_token_requests(shares, others, now) {
            let request = message::PeerMessage::TokenRequest {
                workspace: ask.workspace.into(),
                amount: ask.amount,
                number: ask.number,
            };
            self.peers.send_to_some(&request);
        }
    }

    pub(super) fn lend_tokens(
        &mut self,
        to: SocketAddr,
        workspace: String,
        asked: f64,
        number: u64,
        now: Instant,
    ) {
        if self.replaced {
            return;
        }
        let amount = lending::lend(&self.shared.shares, &workspace, asked, now);
        if amount > 0.0 {
            let transfer = message::PeerMessage::TokenTransfer {
                workspace,
                amount,
                number,
            };
            self.peers.send(to, &transfer);
        }
    }

    /// Takes tokens that another VM moved here.
    pub(super) fn accept_tokens(
        &mut self,
        from: SocketAddr,
        amount: f64,
        number: u64,
        now: Instant,
    ) {
        let shares = &self.shared.shares;
        self.peers.lending.accept(shares, from, amount, number, now);
    }
}
