//! Tokens of workspaces' rates between VMs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::message;
use bluebellferry_runtime::clock;
use bluebellferry_shares::lending;

use crate::control;
use crate::control::peers;
use crate::control::state;

/// How often tokens are asked for ahead of need; a loan is valid three times as long.
const FORESIGHT: Duration = Duration::from_millis(80);
/// How often tokens are asked for at the most.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Asks other VMs for tokens whenever callers wait for some.
pub async fn ask(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
    let shared = Arc::clone(&control.borrow().shared);
    loop {
        // Without a waiting caller, tokens are still asked for ahead of need.
        let waited = tokio::time::timeout(FORESIGHT, shared.tokens_wanted.notified());
        waited.await.ok();
        {
            let mut control = control.borrow_mut();
            let now = clock::now();
            send_asks(&mut control, &links, now);
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

fn send_asks(control: &mut state::ControlState, links: &peers::PeerLinks, now: Instant) {
    let shared = Arc::clone(&control.shared);
    let live: Vec<String> = control
        .live_peers(now)
        .map(|(name, _)| name.clone())
        .collect();
    // Tokens are owned by a few VMs where there are many, or else by all.
    let is_owned = !control.circle.is_full_exchange();
    let lenders = if is_owned { 1 } else { live.len() };
    for ask in control.lending.begin_asks(&shared.shares, lenders, now) {
        let request = message::PeerMessage::TokenRequest {
            workspace: ask.workspace.to_string(),
            amount: ask.amount,
            number: ask.number,
        };
        let asked = if is_owned {
            let owners = control.owners_of(&ask.workspace);
            let turn = ask.number as usize % owners.len().max(1);
            owners.get(turn).map(|vm| vec![vm.clone()])
        } else {
            Some(live.clone())
        };
        for vm in asked.unwrap_or_default() {
            links.send(&vm, &request);
        }
    }
}

/// Moves tokens to another VM that asks for them.
pub fn lend(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    to: Option<String>,
    workspace: String,
    amount: f64,
    number: u64,
) {
    let Some(to) = to else { return };
    let amount = lending::lend(&control.shared.shares, &workspace, amount, clock::now());
    if amount > 0.0 {
        let transfer = message::PeerMessage::TokenTransfer {
            workspace,
            amount,
            number,
        };
        links.send(&to, &transfer);
    }
}
