//! Tokens on their way between VMs.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_membership::message;
use bluebellferry_types::name;

use super::super::ControlState;
use super::HEARTBEAT_FANOUT;
use super::OpenAsk;

/// How often tokens are asked for ahead of need.
const FORESIGHT_INTERVAL: Duration = Duration::from_millis(40);
/// By how much more than the need is asked for, so that rounding leaves no gap.
const ASK_SURPLUS: f64 = 1.05;
/// The smallest part of a token that is asked of one VM; smaller loans are not
/// given.
const SMALLEST_ASK: f64 = 2.0 * bucket::SMALLEST_LOAN;
/// How long the number of a token request is kept.
const ASK_KEPT: Duration = Duration::from_secs(1);

impl ControlState {
    /// Asks other VMs for tokens where callers need more than there are.
    pub(in crate::control) fn ask_for_tokens(&mut self, now: Instant) {
        self.peers.ask_due = now + FORESIGHT_INTERVAL;
        self.peers
            .open_asks
            .retain(|_, ask| now - ask.asked_at < ASK_KEPT);
        let others = self.peers.addresses.len().min(HEARTBEAT_FANOUT);
        if self.replaced || others == 0 {
            return;
        }
        for (workspace, share) in self.shared.shares.all() {
            if let Some(missing) = share.begin_ask(now) {
                let amount = (missing * ASK_SURPLUS / others as f64).max(SMALLEST_ASK);
                self.ask_peers(workspace, amount, now);
            }
        }
    }

    fn ask_peers(&mut self, workspace: name::WorkspaceName, amount: f64, now: Instant) {
        let number = self.peers.next_ask;
        self.peers.next_ask += 1;
        let text = workspace.to_string();
        let ask = OpenAsk {
            workspace,
            asked_at: now,
            answered_by: Vec::new(),
        };
        self.peers.open_asks.insert(number, ask);
        let request = message::PeerMessage::TokenRequest {
            workspace: text,
            amount,
            number,
        };
        self.peers.send_to_some(&request);
    }

    pub(super) fn lend_tokens(
        &mut self,
        to: SocketAddr,
        workspace: String,
        asked: f64,
        number: u64,
        now: Instant,
    ) {
        let checked = name::WorkspaceName::try_from(workspace.as_str()).ok();
        let share = checked.and_then(|name| self.shared.shares.find(&name));
        let Some(share) = share.filter(|_| !self.replaced) else {
            return;
        };
        let amount = share.lend(asked, now);
        if amount > 0.0 {
            let transfer = message::PeerMessage::TokenTransfer {
                workspace,
                amount,
                number,
            };
            self.peers.send(to, &transfer);
        }
    }

    /// Takes tokens, once for each giver and request: a doubled message must
    /// not double them.
    pub(super) fn accept_tokens(
        &mut self,
        from: SocketAddr,
        amount: f64,
        number: u64,
        now: Instant,
    ) {
        let Some(ask) = self.peers.open_asks.get_mut(&number) else {
            return;
        };
        if ask.answered_by.contains(&from) {
            return;
        }
        ask.answered_by.push(from);
        if let Some(share) = self.shared.shares.find(&ask.workspace) {
            share.accept_loan(amount, ask.asked_at, now);
        }
    }
}
