//! The log's way from the primary to its replicas, and its replay.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::engine;
use crate::group;
use crate::settings;

/// How long the primary waits before it sends an empty message.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most entries in one message.
const MAX_BATCH_ENTRIES: usize = 256;
/// The largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug, Serialize, Deserialize)]
struct AppendRequest {
    sender: String,
    term: u64,
    previous_offset: u64,
    previous_term: u64,
    entries: Vec<group::LogEntry>,
    committed_offset: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct AppendAnswer {
    promised_term: u64,
    accepted: bool,
    last_offset: u64,
}

fn send_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes)
}

fn receive_message<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("the message is too long"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

/// Starts the threads that send, receive and replay the log.
///
/// # Errors
/// Fails when the replication address cannot be listened on.
pub fn start_replication(
    settings: &settings::DatabaseSettings,
    member: &Arc<group::GroupMember>,
    engine: &engine::SqlEngine,
) -> io::Result<()> {
    let listener = TcpListener::bind(settings.replication_listen)?;
    let receiver = Arc::clone(member);
    let delay = settings.replication_delay;
    thread::spawn(move || accept_primary_connections(&listener, &receiver, delay));
    for peer in &settings.peers {
        let sender = Arc::clone(member);
        let peer = peer.clone();
        let name = settings.name.clone();
        thread::spawn(move || replicate_to_peer(&name, &peer, &sender, delay));
    }
    let replayer = Arc::clone(member);
    let connection = engine.open_connection().map_err(io::Error::other)?;
    thread::spawn(move || replay_log(&replayer, &connection));
    Ok(())
}

fn accept_primary_connections(
    listener: &TcpListener,
    member: &Arc<group::GroupMember>,
    delay: Duration,
) {
    for stream in listener.incoming().flatten() {
        let member = Arc::clone(member);
        thread::spawn(move || {
            if let Err(error) = serve_primary(stream, &member, delay) {
                log::debug!("a primary's connection ended: {error}");
            }
        });
    }
}

fn serve_primary(
    mut stream: TcpStream,
    member: &group::GroupMember,
    delay: Duration,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let request: AppendRequest = receive_message(&mut stream)?;
        thread::sleep(delay);
        let answer = append_entries(&mut member.lock(), request);
        member.notify();
        send_message(&mut stream, &answer)?;
    }
}

/// Takes entries into the log if the sender's term and the entry before match.
fn append_entries(state: &mut group::MemberState, request: AppendRequest) -> AppendAnswer {
    let refused = |state: &group::MemberState, last_offset: u64| AppendAnswer {
        promised_term: state.promised_term,
        accepted: false,
        last_offset,
    };
    if request.term < state.promised_term {
        return refused(state, state.last_offset());
    }
    state.promise(request.term, "");
    state.last_primary_contact = Some(Instant::now());
    let previous = state.position_at(request.previous_offset);
    let matches =
        request.previous_offset <= state.last_offset() && previous.term == request.previous_term;
    if !matches {
        let retry_from = state
            .last_offset()
            .min(request.previous_offset.saturating_sub(1));
        return refused(state, retry_from.max(state.committed_offset));
    }
    let mut offset = request.previous_offset;
    for entry in request.entries {
        offset += 1;
        if state.position_at(offset).term == entry.term {
            continue;
        }
        state.truncate_after(offset - 1);
        state.log.push(entry);
        state.arrival_times.push(Instant::now());
    }
    state.committed_offset = state
        .committed_offset
        .max(request.committed_offset.min(offset));
    AppendAnswer {
        promised_term: state.promised_term,
        accepted: true,
        last_offset: offset,
    }
}

fn replicate_to_peer(
    name: &str,
    peer: &settings::PeerAddress,
    member: &group::GroupMember,
    delay: Duration,
) {
    loop {
        wait_until_primary(member);
        let connected = TcpStream::connect_timeout(&peer.replication, PEER_TIMEOUT);
        let fed = connected
            .and_then(|stream| replicate_over_connection(name, peer, member, stream, delay));
        if let Err(error) = fed {
            log::debug!("the feed to {} ended: {error}", peer.name);
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn wait_until_primary(member: &group::GroupMember) {
    let mut state = member.lock();
    while state.role != group::MemberRole::Primary {
        state = member.wait(state, Duration::from_secs(1));
    }
}

fn replicate_over_connection(
    name: &str,
    peer: &settings::PeerAddress,
    member: &group::GroupMember,
    mut stream: TcpStream,
    delay: Duration,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    let mut next_offset = member.lock().last_offset() + 1;
    let mut has_matching_log = false;
    loop {
        let Some(request) = next_request(name, member, next_offset, has_matching_log) else {
            return Ok(());
        };
        let sent = Instant::now();
        thread::sleep(delay);
        send_message(&mut stream, &request)?;
        let answer: AppendAnswer = receive_message(&mut stream)?;
        let mut state = member.lock();
        if answer.promised_term > request.term {
            state.promise(answer.promised_term, "");
            member.notify();
            return Ok(());
        }
        if state.role != group::MemberRole::Primary || state.own_term != request.term {
            return Ok(());
        }
        next_offset = answer.last_offset + 1;
        has_matching_log = answer.accepted;
        if let Some(progress) = state.peers.get_mut(&peer.name) {
            progress.contact = Some(sent);
            if answer.accepted {
                progress.acknowledged_offset = answer.last_offset;
            }
        }
        state.advance_committed_offset();
        drop(state);
        member.notify();
    }
}

/// Builds the next message; waits for entries unless the peer's log must
/// still be has_matching_log. `None` once the database is no longer primary.
fn next_request(
    name: &str,
    member: &group::GroupMember,
    next_offset: u64,
    has_matching_log: bool,
) -> Option<AppendRequest> {
    let mut state = member.lock();
    let started = Instant::now();
    let committed = state.committed_offset;
    while has_matching_log
        && state.role == group::MemberRole::Primary
        && state.last_offset() < next_offset
        && state.committed_offset == committed
        && started.elapsed() < HEARTBEAT_INTERVAL
    {
        state = member.wait(state, HEARTBEAT_INTERVAL);
    }
    if state.role != group::MemberRole::Primary {
        return None;
    }
    let previous_offset = next_offset - 1;
    let entries = state.log.iter().skip(previous_offset as usize);
    Some(AppendRequest {
        sender: name.to_owned(),
        term: state.own_term,
        previous_offset,
        previous_term: state.position_at(previous_offset).term,
        entries: entries.take(MAX_BATCH_ENTRIES).cloned().collect(),
        committed_offset: state.committed_offset,
    })
}

/// Applies committed entries, `lag` after their arrival.
fn replay_log(member: &group::GroupMember, connection: &rusqlite::Connection) {
    loop {
        let (offset, entry) = wait_for_replayable_entry(member);
        if let Err(error) = engine::replay_entry(connection, member, offset, &entry) {
            log::error!("entry {offset} could not be replayed: {error}");
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

/// Waits for the next entry that is due for replay. The primary's own sessions
/// apply its entries; a new primary still replays what came before its term.
fn wait_for_replayable_entry(member: &group::GroupMember) -> (u64, group::LogEntry) {
    let mut state = member.lock();
    loop {
        let offset = state.replayed_offset + 1;
        let own = state.role == group::MemberRole::Primary;
        let replayable = !own || offset <= state.term_start_offset;
        let mut wait = Duration::from_secs(1);
        if offset <= state.committed_offset && replayable {
            let arrival = state.arrival_times[offset as usize - 1];
            let lag = if own { Duration::ZERO } else { state.lag };
            let due = arrival + lag;
            let now = Instant::now();
            if due <= now {
                let entry = state.log[offset as usize - 1].clone();
                return (offset, entry);
            }
            wait = due - now;
        }
        state = member.wait(state, wait);
    }
}
