//! Token requests between VMs: sends this VM's own requests, answers those of others and
//! forwards them to owners.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_limits::bucket;
use bluebellferry_membership::message;
use bluebellferry_runtime::clock;
use bluebellferry_shares::lending;
use bluebellferry_shares::limiter;
use bluebellferry_types::limit;

use crate::control;
use crate::control::peers;
use crate::control::state;

/// The longest interval between two checks whether to request tokens in advance. A loan is
/// valid three times as long.
const ADVANCE_REQUEST_INTERVAL: Duration = Duration::from_millis(80);
/// The most hops of a token request that goes through coordinators: to the one of the
/// borrower's data centre, to the one of an owning data centre, and to the owner.
const MAX_HOPS: u8 = 3;
/// The shortest delay between two rounds of token requests.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Requests tokens from other VMs, whenever callers wait for some and in advance.
pub async fn request_tokens(control: control::ControlCell, links: Rc<peers::PeerLinks>) {
    let shared = Arc::clone(&control.borrow().shared);
    loop {
        // The timeout allows for requests in advance while no caller waits.
        let tokens_wanted =
            tokio::time::timeout(ADVANCE_REQUEST_INTERVAL, shared.tokens_wanted.notified());
        tokens_wanted.await.ok();
        {
            let mut control = control.borrow_mut();
            let now = clock::now();
            send_requests(&mut control, &links, now);
        }
        tokio::time::sleep(MIN_REQUEST_INTERVAL).await;
    }
}

fn send_requests(control: &mut state::ControlState, links: &peers::PeerLinks, now: Instant) {
    let shared = Arc::clone(&control.shared);
    if control.has_owners() {
        // A large fleet has a few owners of each rate; each request goes to one of them.
        for request in control
            .token_requests
            .open_owner_token_requests(&shared.rate_limiter, now)
        {
            let owner_request = OwnerTokenRequest {
                borrower: control.own_name().to_owned(),
                key: request.key,
                wanted: request.wanted,
                number: request.number,
                hops: MAX_HOPS,
            };
            let probable = probable_owner(control, &owner_request).filter(|_| !request.is_retry);
            match probable {
                Some(owner) => send_owner_request(links, &owner, &owner_request),
                None => forward_token_request(control, links, &owner_request, now),
            }
        }
        return;
    }
    let live: Vec<String> = control
        .live_peers(now)
        .map(|(name, _)| name.clone())
        .collect();
    for request in control
        .token_requests
        .open_token_requests(&shared.rate_limiter, live.len(), now)
    {
        let message = message::PeerMessage::TokenRequest {
            key: request.key,
            amount: request.amount,
            number: request.number,
        };
        for vm in &live {
            links.send(vm, &message);
        }
    }
}

/// A token request to one of the owners of a workspace's rate.
#[derive(Debug, Clone)]
pub struct OwnerTokenRequest {
    /// The VM that requests the tokens.
    pub borrower: String,
    /// The limit whose tokens are requested.
    pub key: limit::LimitKey,
    /// The tokens that operations of each urgency level want.
    pub wanted: limiter::WantedTokens,
    /// The borrower's number for this request, which the answer repeats.
    pub number: u64,
    /// How often the request may still be forwarded.
    pub hops: u8,
}

/// Answers a token request if this VM owns the rate, and forwards it otherwise.
pub fn serve_owner_request(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    request: &OwnerTokenRequest,
    now: Instant,
) {
    if control.owns(&request.key) {
        lend_owned_tokens(control, links, request, now);
    } else if request.hops > 0 {
        forward_token_request(control, links, request, now);
    }
}

fn forward_token_request(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    request: &OwnerTokenRequest,
    now: Instant,
) {
    let next = next_hop(control, request, now);
    if let Some(next) = next.filter(|next| *next != request.borrower) {
        send_owner_request(links, &next, request);
    }
}

fn send_owner_request(links: &peers::PeerLinks, to: &str, request: &OwnerTokenRequest) {
    let message = message::PeerMessage::OwnerRequest {
        borrower: request.borrower.clone(),
        key: request.key.clone(),
        wanted: request.wanted,
        number: request.number,
        hops: request.hops.saturating_sub(1),
    };
    links.send(to, &message);
}

/// Returns a VM in another data centre that owns the rate if all VMs there are responsive, or
/// `None` if this data centre owns enough of the rate.
///
/// Requests between data centres go there at once, so that coordinators don't have to forward
/// those of their whole data centre. A VM that doesn't own the rate forwards the request.
pub fn probable_owner(
    control: &state::ControlState,
    request: &OwnerTokenRequest,
) -> Option<String> {
    if control.is_owned_in_own_centre(&request.key) {
        return None;
    }
    let centres = control.owning_centres(&request.key);
    let centre = centres.get(request.number as usize % centres.len().max(1))?;
    let turn = request.number as usize / centres.len();
    control.probable_owner_in(centre, &request.key, turn)
}

/// Returns the VM to forward a token request to: an owner in this data centre if the data
/// centre owns enough of the rate, otherwise the coordinator of this data centre. If this VM
/// is that coordinator, returns the coordinator of a data centre that owns enough.
fn next_hop(
    control: &state::ControlState,
    request: &OwnerTokenRequest,
    now: Instant,
) -> Option<String> {
    if control.is_owned_in_own_centre(&request.key) {
        let owners = control.owners_of(&request.key);
        let index = request.number as usize % owners.len().max(1);
        return owners.get(index).cloned();
    }
    if control.topology.is_coordinator(now) {
        let centres = control.owning_centres(&request.key);
        let index = request.number as usize % centres.len().max(1);
        return control.coordinator_of(centres.get(index)?, now);
    }
    control.topology.own_coordinator(now).map(str::to_owned)
}

/// Answers a token request for a rate that this VM owns: lends tokens, and says so if none will
/// be available in time.
fn lend_owned_tokens(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    request: &OwnerTokenRequest,
    now: Instant,
) {
    let limiter = &control.shared.rate_limiter;
    let answer = lending::lend_ordered(limiter, &request.key, &request.wanted, now);
    if answer.lent > 0.0 {
        let transfer = message::PeerMessage::TokenTransfer {
            key: request.key.clone(),
            amount: answer.lent,
            number: request.number,
        };
        links.send(&request.borrower, &transfer);
    }
    if let Some((level, wait)) = answer.denied {
        let denial = message::PeerMessage::TokenDenial {
            number: request.number,
            level: level.index() as u8,
            wait_ms: wait.min(bucket::MAX_REFILL_DELAY).as_millis() as u32,
        };
        links.send(&request.borrower, &denial);
    }
}

/// Lends up to `amount` tokens of a limit to the VM `to`, and sends them in answer to
/// its token request `number`. Does nothing if the VM is unknown or no tokens are to spare.
pub fn lend_tokens(
    control: &state::ControlState,
    links: &peers::PeerLinks,
    to: Option<String>,
    key: limit::LimitKey,
    amount: f64,
    number: u64,
) {
    let Some(to) = to else { return };
    let amount = lending::lend(&control.shared.rate_limiter, &key, amount, clock::now());
    if amount > 0.0 {
        let transfer = message::PeerMessage::TokenTransfer {
            key,
            amount,
            number,
        };
        links.send(&to, &transfer);
    }
}
