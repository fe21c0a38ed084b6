//! Tokens of workspaces' rates between VMs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_membership::message;
use bluebellferry_runtime::clock;
use bluebellferry_shares::lending;
use bluebellferry_types::name;

use crate::control;
use crate::control::peers;
use crate::control::state;

/// How often tokens are asked for ahead of need; a loan is valid three times as long.
const FORESIGHT: Duration = Duration::from_millis(80);
/// How often a request for tokens is passed on at the most: to the own head, to that of
/// the owning data centre, to the owner.
const MOST_HOPS: u8 = 3;
/// How often tokens are asked for at the most.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Asks other VMs for tokens whenever callers wait for some.
pub async fn request_tokens(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
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
    if control.has_owners() {
        // Tokens are owned by a few VMs where there are many.
        for ask in control
            .lending
            .open_owner_token_requests(&shared.shares, now)
        {
            let request = OwnerTokenRequest {
                borrower: control.own_name().to_owned(),
                workspace: ask.workspace,
                amount: ask.amount,
                number: ask.number,
                hops: MOST_HOPS,
            };
            pass_on(control, links, &request, now);
        }
        return;
    }
    let live: Vec<String> = control
        .live_peers(now)
        .map(|(name, _)| name.clone())
        .collect();
    for ask in control
        .lending
        .open_token_requests(&shared.shares, live.len(), now)
    {
        let request = message::PeerMessage::TokenRequest {
            workspace: ask.workspace.to_string(),
            amount: ask.amount,
            number: ask.number,
        };
        for vm in &live {
            links.send(vm, &request);
        }
    }
}

/// A request for tokens to one of their owners.
#[derive(Debug, Clone)]
pub struct OwnerTokenRequest {
    /// The VM that needs them.
    pub borrower: String,
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// How many.
    pub amount: f64,
    /// The VM's number for this request.
    pub number: u64,
    /// How often it may still be passed on.
    pub hops: u8,
}

/// Answers a request for tokens that this VM owns, or passes it on.
pub fn serve_owner_request(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    request: &OwnerTokenRequest,
    now: Instant,
) {
    if control.owns(&request.workspace) {
        let to = Some(request.borrower.clone());
        let workspace = request.workspace.to_string();
        lend(
            control,
            links,
            to,
            workspace,
            request.amount,
            request.number,
        );
    } else if request.hops > 0 {
        pass_on(control, links, request, now);
    }
}

fn pass_on(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    request: &OwnerTokenRequest,
    now: Instant,
) {
    let next = next_hop(control, request, now);
    let Some(next) = next.filter(|next| *next != request.borrower) else {
        return;
    };
    let text = message::PeerMessage::OwnerRequest {
        borrower: request.borrower.clone(),
        workspace: request.workspace.to_string(),
        amount: request.amount,
        number: request.number,
        hops: request.hops.saturating_sub(1),
    };
    links.send(&next, &text);
}

/// Returns who owns a workspace's tokens, or comes closer to it: an owner in this data
/// centre, its head, or the head of the data centre that owns most.
fn next_hop(
    control: &state::ControlState,
    request: &OwnerTokenRequest,
    now: Instant,
) -> Option<String> {
    if control.is_owned_here(&request.workspace) {
        let owners = control.owners_of(&request.workspace);
        let turn = request.number as usize % owners.len().max(1);
        return owners.get(turn).cloned();
    }
    if control.circle.is_head(now) {
        let centres = control.owning_centres(&request.workspace);
        let turn = request.number as usize % centres.len().max(1);
        return control.head_of(centres.get(turn)?, now);
    }
    control.circle.own_head(now).map(str::to_owned)
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
