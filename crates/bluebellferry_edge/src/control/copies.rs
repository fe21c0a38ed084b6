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
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::control;
use crate::control::configuration;
use crate::control::state;

/// How long a copy may take.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// The largest copy, in bytes; the store holds no larger value.
const MAX_COPY_BYTES: u64 = 4 << 20;

/// What a VM has read from the store.
#[derive(Debug, Serialize, Deserialize)]
struct StoreCopiesWire {
    versions: beat::CopyVersions,
    /// The configuration as it stands in the store, if there is one.
    configuration: Option<String>,
    databases: Vec<database::DatabaseEntry>,
    members: BTreeMap<String, state::MemberRecord>,
    /// How long ago the VMs were listed, in milliseconds, rounded up.
    members_age_ms: u64,
}

impl From<&state::ControlState> for StoreCopiesWire {
    fn from(control: &state::ControlState) -> Self {
        let listed = control.lease.members_listed();
        let age = listed.map(|listed| clock::now().saturating_duration_since(listed));
        let text = &control.configuration.text;
        Self {
            versions: control.versions,
            configuration: (!text.is_empty()).then(|| text.clone()),
            databases: control.databases.to_vec(),
            members: control.members.clone(),
            members_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64 + 1),
        }
    }
}

/// Serves copies until the process ends.
pub async fn serve(control: control::ControlCell, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let control = Rc::clone(&control);
        tokio::task::spawn_local(async move {
            let copies = StoreCopiesWire::from(&*control.borrow());
            let Ok(text) = serde_json::to_string(&copies) else {
                log::error!("copies for another VM cannot be coded");
                return;
            };
            let served = tokio::time::timeout(COPY_LIMIT, send_copy(stream, &text)).await;
            if !matches!(served, Ok(Ok(()))) {
                log::debug!("copies were not taken by another VM");
            }
        });
    }
}

async fn send_copy(mut stream: TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(text.as_bytes()).await?;
    stream.shutdown().await
}

/// Fetches copies from another VM, unless some are on their way.
pub fn fetch(control: &mut state::ControlState, cell: &control::ControlCell, from: IpAddr) {
    if std::mem::replace(&mut control.is_fetching, true) {
        return;
    }
    let port = control.shared.settings.copies_address.port();
    let cell = Rc::clone(cell);
    tokio::task::spawn_local(async move {
        let asked = clock::now();
        let received = receive_copy(SocketAddr::new(from, port)).await;
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
    if copies.versions.databases > own.databases {
        control.apply_databases(copies.databases, copies.versions.databases);
    }
    let age = Duration::from_millis(copies.members_age_ms);
    if copies.versions.members > own.members
        && let Some(listed) = asked.checked_sub(age)
    {
        control.apply_members(copies.members, copies.versions.members, listed);
    }
}

async fn receive_copy(from: SocketAddr) -> std::io::Result<String> {
    let deadline = clock::now() + COPY_LIMIT;
    let stream = http::connect(from, COPY_LIMIT).await?;
    let mut text = String::new();
    let left = deadline.saturating_duration_since(clock::now());
    let mut limited = stream.take(MAX_COPY_BYTES);
    tokio::time::timeout(left, limited.read_to_string(&mut text)).await??;
    Ok(text)
}
