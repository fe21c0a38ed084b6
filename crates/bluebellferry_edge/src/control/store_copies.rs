//! Copies of what stands in the store, between VMs: one of each data centre reads the
//! lists for the others, and the store may turn some VMs away.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_catalog::database;
use bluebellferry_membership::beat;
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
use tokio::sync::Semaphore;

use crate::control;
use crate::control::configuration;
use crate::control::state;

/// How long a copy may take.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// The largest copy, in bytes; the store holds no larger value.
const MAX_COPY_BYTES: u64 = 4 << 20;

/// How many VMs are served at once; the others ask again.
const MOST_SERVED: usize = 4;
/// The longest question, in bytes.
const MAX_QUESTION_BYTES: u64 = 512;
/// What a link carries at least while others use it too, in bytes a second.
const LEAST_RATE: u64 = 250_000;

/// What a VM has read from the store, as far as another one lacks it.
#[derive(Debug, Serialize, Deserialize)]
struct StoreCopiesWire {
    versions: beat::CopyVersions,
    /// The configuration as it stands in the store.
    configuration: Option<String>,
    databases: Option<Vec<database::DatabaseEntry>>,
    members: Option<MembersWire>,
}

/// The VMs as they were listed.
#[derive(Debug, Serialize, Deserialize)]
struct MembersWire {
    members: BTreeMap<String, state::MemberRecord>,
    /// How long ago they were listed, in milliseconds, rounded up.
    age_ms: u64,
}

/// Returns what a VM with versions `known` lacks.
fn copies_for(control: &state::ControlState, known: beat::CopyVersions) -> StoreCopiesWire {
    let versions = control.versions;
    let is_newer = versions.configuration > known.configuration;
    let members = || {
        let listed = control.lease.members_listed()?;
        let age = clock::now().saturating_duration_since(listed);
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
    }
}

/// Serves copies until the process ends.
pub async fn serve(control: control::ControlCell, listener: TcpListener) {
    let places = Rc::new(Semaphore::new(MOST_SERVED));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let control = Rc::clone(&control);
        let places = Rc::clone(&places);
        tokio::task::spawn_local(async move {
            let Ok(_place) = places.try_acquire() else {
                return log::debug!("copies are not served: too many VMs ask");
            };
            if let Err(error) = serve_one(&control, stream).await {
                log::debug!(error:% = error; "copies were not taken by another VM");
            }
        });
    }
}

async fn serve_one(control: &control::ControlCell, mut stream: TcpStream) -> std::io::Result<()> {
    let mut question = String::new();
    let mut reader = BufReader::new(&mut stream).take(MAX_QUESTION_BYTES);
    tokio::time::timeout(COPY_LIMIT, reader.read_line(&mut question)).await??;
    let known = serde_json::from_str(&question)?;
    let text = serde_json::to_string(&copies_for(&control.borrow(), known))?;
    let limit = limit_of(text.len() as u64);
    tokio::time::timeout(limit, send_copy(stream, &text)).await?
}

/// Returns how long so many bytes may take.
fn limit_of(bytes: u64) -> Duration {
    COPY_LIMIT + Duration::from_secs(bytes / LEAST_RATE)
}

async fn send_copy(mut stream: TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await
}

/// Fetches copies from another VM, unless some are on their way.
pub fn fetch(
    control: &mut state::ControlState,
    cell: &control::ControlCell,
    from: IpAddr,
    offered: beat::CopyVersions,
) {
    if std::mem::replace(&mut control.is_fetching, true) {
        return;
    }
    let port = control.shared.settings.copies_address.port();
    let known = control.versions;
    let limit = if offered.configuration > known.configuration {
        limit_of(u64::from(offered.configuration_bytes))
    } else {
        COPY_LIMIT
    };
    let cell = Rc::clone(cell);
    tokio::task::spawn_local(async move {
        let asked = clock::now();
        let received = receive_copy(SocketAddr::new(from, port), known, limit).await;
        match received.map(|text| serde_json::from_str(&text)) {
            Ok(Ok(copies)) => take(&cell, copies, asked),
            Ok(Err(error)) => log::warn!(error:% = error; "copies cannot be decoded"),
            Err(error) => log::debug!(error:% = error; "no copies from another VM"),
        }
        cell.borrow_mut().is_fetching = false;
    });
}

/// Takes copies that are newer than what this VM has; `asked` is an instant before
/// they were asked for.
fn take(cell: &control::ControlCell, copies: StoreCopiesWire, asked: Instant) {
    let own = cell.borrow().versions;
    if copies.versions.configuration > own.configuration
        && let Some(text) = copies.configuration
    {
        match serde_json::from_str(&text) {
            Ok(value) => configuration::apply_text(cell, &value, text, "another VM"),
            Err(error) => log::warn!(error:% = error; "a copy cannot be decoded"),
        }
    }
    let mut control = cell.borrow_mut();
    if copies.versions.databases > own.databases
        && let Some(databases) = copies.databases
    {
        control.apply_databases(databases, copies.versions.databases);
    }
    if copies.versions.members > own.members
        && let Some(listing) = copies.members
        && let Some(listed) = asked.checked_sub(Duration::from_millis(listing.age_ms))
    {
        control.apply_members(listing.members, copies.versions.members, listed);
    }
}

async fn receive_copy(
    from: SocketAddr,
    known: beat::CopyVersions,
    limit: Duration,
) -> std::io::Result<String> {
    let deadline = clock::now() + limit;
    let mut stream = http::connect(from, COPY_LIMIT).await?;
    let question = serde_json::to_string(&known)? + "\n";
    stream.write_all(question.as_bytes()).await?;
    let mut text = String::new();
    let left = deadline.saturating_duration_since(clock::now());
    let mut limited = stream.take(MAX_COPY_BYTES);
    tokio::time::timeout(left, limited.read_to_string(&mut text)).await??;
    Ok(text)
}
