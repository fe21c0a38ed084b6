//! Store copies: copies of store objects that VMs fetch from each other instead of reading
//! the store. One VM of each data centre reads the store for the others, and the store may
//! reject the calls of some VMs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_membership::heartbeat;
use bluebellferry_platform::http;
use bluebellferry_runtime::clock;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::control;
use crate::control::configuration;
use crate::control::state;
use crate::control::transfer_slots;

/// The timeout for connecting, for reading a request, for a short answer and for each further part
/// of a long one.
const BASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest answer, in bytes; the store holds no larger value.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// The most VMs that are asked one after the other for the same copies, with referrals and
/// repeated attempts at a VM that is busy.
const MAX_ATTEMPTS: u32 = 12;
/// The delay before a VM that is busy is asked again: a configuration of 64 KiB takes half as
/// long over a link of 10 Mbit/s.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest request, in bytes.
const MAX_REQUEST_BYTES: u64 = 512;
/// The initial size of the buffer for an answer, in bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The bandwidth that a link has at least while others use it too, in bytes per second.
const MIN_BANDWIDTH: u64 = 250_000;

/// The store objects that one VM has and another one lacks.
#[derive(Debug, Serialize, Deserialize)]
struct StoreCopiesWire {
    versions: heartbeat::StoreVersions,
    /// The text of the configuration in the store.
    configuration: Option<String>,
    databases: Option<Vec<database::DatabaseEntry>>,
    members: Option<MembersWire>,
    /// A VM that has the copies, if the sender cannot send them now.
    #[serde(default)]
    referral: Option<IpAddr>,
    /// Whether the sender cannot send the copies now and knows no other VM that has them.
    #[serde(default)]
    is_busy: bool,
}

/// The list of VMs as it was read from the store.
#[derive(Debug, Serialize, Deserialize)]
struct MembersWire {
    members: BTreeMap<String, state::MemberRecord>,
    /// The age of the list in milliseconds, rounded up.
    age_ms: u64,
}

/// Returns the store objects that are newer than the versions `known` of another VM.
fn copies_for(control: &state::ControlState, known: heartbeat::StoreVersions) -> StoreCopiesWire {
    let versions = control.versions;
    let is_newer = versions.configuration > known.configuration;
    let members = || {
        let listed_at = control.lease.members_listed_at()?;
        let age = clock::now().saturating_duration_since(listed_at);
        Some(MembersWire {
            members: control.members.clone(),
            age_ms: age.as_millis() as u64 + 1,
        })
    };
    StoreCopiesWire {
        versions,
        configuration: is_newer.then(|| control.configuration.text.clone()),
        databases: (versions.databases > known.databases).then(|| control.databases.to_vec()),
        members: (versions.members > known.members).then(members).flatten(),
        referral: None,
        is_busy: false,
    }
}

/// Returns the answer to a VM that has to ask another VM, or to ask again.
fn refusal(versions: heartbeat::StoreVersions, referral: Option<IpAddr>) -> StoreCopiesWire {
    StoreCopiesWire {
        versions,
        configuration: None,
        databases: None,
        members: None,
        referral,
        is_busy: referral.is_none(),
    }
}

/// Serves store copies to other VMs until the process ends.
pub async fn serve(control: control::ControlCell, listener: TcpListener) {
    let slots = Rc::new(RefCell::new(transfer_slots::TransferSlots::default()));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let control = Rc::clone(&control);
        let slots = Rc::clone(&slots);
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_one(&control, &slots, stream, from.ip()).await {
                log::debug!(error:% = error; "sending store copies failed");
            }
        });
    }
}

async fn serve_one(
    control: &control::ControlCell,
    slots: &RefCell<transfer_slots::TransferSlots>,
    mut stream: TcpStream,
    from: IpAddr,
) -> std::io::Result<()> {
    let mut request = String::new();
    let mut reader = BufReader::new(&mut stream).take(MAX_REQUEST_BYTES);
    tokio::time::timeout(BASE_TIMEOUT, reader.read_line(&mut request)).await??;
    let known_versions = serde_json::from_str(&request)?;
    let versions = control.borrow().versions;
    let admission = slots.borrow_mut().admit(versions);
    let copies = match admission {
        transfer_slots::TransferAdmission::Serve => copies_for(&control.borrow(), known_versions),
        transfer_slots::TransferAdmission::Refer(holder) => refusal(versions, Some(holder)),
        transfer_slots::TransferAdmission::Busy => refusal(versions, None),
    };
    let result = send_answer(stream, &copies).await;
    if admission == transfer_slots::TransferAdmission::Serve {
        slots.borrow_mut().finish(from, versions, result.is_ok());
    }
    result
}

/// Returns the timeout for an answer of this many bytes.
fn transfer_timeout(bytes: u64) -> Duration {
    BASE_TIMEOUT + Duration::from_secs(bytes / MIN_BANDWIDTH)
}

/// Sends an answer and waits until the receiver has closed the connection, which it does once
/// it has the answer.
async fn send_answer(mut stream: TcpStream, copies: &StoreCopiesWire) -> std::io::Result<()> {
    let text = serde_json::to_string(copies)?;
    let sending = async {
        stream.write_all(text.as_bytes()).await?;
        stream.shutdown().await?;
        stream.read(&mut [0]).await
    };
    tokio::time::timeout(transfer_timeout(text.len() as u64), sending).await??;
    Ok(())
}

/// Fetches the store copies that another VM offers, unless a transfer is already running.
pub fn fetch(
    control: &mut state::ControlState,
    cell: &control::ControlCell,
    holder: IpAddr,
    offered_versions: heartbeat::StoreVersions,
) {
    if std::mem::replace(&mut control.is_fetching_store_copies, true) {
        return;
    }
    let port = control.shared.settings.store_copies_address.port();
    let known_versions = control.versions;
    let timeout = if offered_versions.configuration > known_versions.configuration {
        transfer_timeout(u64::from(offered_versions.configuration_bytes))
    } else {
        BASE_TIMEOUT
    };
    let cell = Rc::clone(cell);
    tokio::task::spawn_local(async move {
        let mut holder = holder;
        for _ in 0..MAX_ATTEMPTS {
            let requested_at = clock::now();
            let address = SocketAddr::new(holder, port);
            let received = receive_answer(address, known_versions, timeout).await;
            match received.map(|text| serde_json::from_str::<StoreCopiesWire>(&text)) {
                Ok(Ok(copies)) if copies.is_busy => tokio::time::sleep(BUSY_RETRY_DELAY).await,
                Ok(Ok(StoreCopiesWire {
                    referral: Some(referral),
                    ..
                })) => holder = referral,
                Ok(Ok(copies)) => {
                    apply_copies(&cell, copies, requested_at);
                    break;
                }
                Ok(Err(error)) => {
                    log::warn!(error:% = error; "decoding store copies failed");
                    break;
                }
                Err(error) => {
                    log::debug!(error:% = error; "fetching store copies failed");
                    break;
                }
            }
        }
        cell.borrow_mut().is_fetching_store_copies = false;
    });
}

/// Applies the store copies that are newer than what this VM has. `requested_at` is an instant
/// before the request was sent.
fn apply_copies(cell: &control::ControlCell, copies: StoreCopiesWire, requested_at: Instant) {
    let own_versions = cell.borrow().versions;
    if copies.versions.configuration > own_versions.configuration
        && let Some(text) = copies.configuration
    {
        match serde_json::from_str(&text) {
            Ok(value) => configuration::apply_text(cell, &value, text, "another VM"),
            Err(error) => log::warn!(error:% = error; "copied configuration is not JSON"),
        }
    }
    let mut control = cell.borrow_mut();
    if copies.versions.databases > own_versions.databases
        && let Some(databases) = copies.databases
    {
        control.apply_databases(databases, copies.versions.databases);
    }
    if copies.versions.members > own_versions.members
        && let Some(listing) = copies.members
        && let Some(listed_at) = requested_at.checked_sub(Duration::from_millis(listing.age_ms))
    {
        control.apply_members(listing.members, copies.versions.members, listed_at);
    }
}

async fn receive_answer(
    from: SocketAddr,
    known: heartbeat::StoreVersions,
    timeout: Duration,
) -> std::io::Result<String> {
    let deadline = clock::now() + timeout;
    let mut stream = http::connect(from, BASE_TIMEOUT).await?;
    let request = serde_json::to_string(&known)? + "\n";
    stream.write_all(request.as_bytes()).await?;
    let mut limited = stream.take(MAX_ANSWER_BYTES);
    let mut answer = Vec::with_capacity(READ_BUFFER_BYTES);
    loop {
        let remaining = deadline.saturating_duration_since(clock::now());
        let reading = limited.read_buf(&mut answer);
        if tokio::time::timeout(remaining.min(BASE_TIMEOUT), reading).await?? == 0 {
            return String::from_utf8(answer).map_err(std::io::Error::other);
        }
    }
}
