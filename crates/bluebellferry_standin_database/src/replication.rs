//! Replication of the log from the primary to its replicas, and replay of the log.

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

/// How long the primary waits for new entries before it sends a message without entries as a
/// heartbeat. Also the delay before a failed connection or replay is retried.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(20);
/// How long a peer may take to accept a connection or to answer a message.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 256;
/// The maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A message from the primary: log entries and the committed offset.
#[derive(Debug, Serialize, Deserialize)]
struct AppendRequest {
    sender: String,
    term: u64,
    /// The offset of the entry before `entries`; 0 if `entries` starts the log.
    previous_offset: u64,
    /// The term of the entry at `previous_offset`, which the receiver's log must match.
    previous_term: u64,
    entries: Vec<group::LogEntry>,
    committed_offset: u64,
}

/// The answer to an [`AppendRequest`].
#[derive(Debug, Serialize, Deserialize)]
struct AppendAnswer {
    promised_term: u64,
    accepted: bool,
    /// The last offset up to which the logs match, if the request was accepted; otherwise the
    /// offset after which the primary tries again.
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
        return Err(io::Error::other(
            "the replication message exceeds the size limit",
        ));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

/// Starts the threads that send, receive and replay the log.
///
/// # Errors
/// Fails if the database cannot listen on the replication address or open a connection for
/// replay.
pub fn start_replication(
    settings: &settings::DatabaseSettings,
    member: &Arc<group::GroupMember>,
    engine: &engine::SqlEngine,
) -> io::Result<()> {
    let listener = TcpListener::bind(settings.replication_listen)?;
    let receiving_member = Arc::clone(member);
    let message_delay = settings.replication_delay;
    thread::spawn(move || accept_primary_connections(&listener, &receiving_member, message_delay));
    for peer in &settings.peers {
        let sending_member = Arc::clone(member);
        let peer = peer.clone();
        let name = settings.name.clone();
        thread::spawn(move || replicate_to_peer(&name, &peer, &sending_member, message_delay));
    }
    let replaying_member = Arc::clone(member);
    let connection = engine.open_connection().map_err(io::Error::other)?;
    thread::spawn(move || replay_log(&replaying_member, &connection));
    Ok(())
}

fn accept_primary_connections(
    listener: &TcpListener,
    member: &Arc<group::GroupMember>,
    message_delay: Duration,
) {
    for stream in listener.incoming().flatten() {
        let member = Arc::clone(member);
        thread::spawn(move || {
            if let Err(error) = serve_primary(stream, &member, message_delay) {
                log::debug!("replication connection from a primary closed: {error}");
            }
        });
    }
}

/// Receives and answers the messages on one connection from a primary.
fn serve_primary(
    mut stream: TcpStream,
    member: &group::GroupMember,
    message_delay: Duration,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let request: AppendRequest = receive_message(&mut stream)?;
        thread::sleep(message_delay);
        let answer = append_entries(&mut member.lock(), request);
        member.notify();
        send_message(&mut stream, &answer)?;
    }
}

/// Appends the request's entries to the log, unless the sender's term is too low or the logs
/// differ at the entry before them. Entries that conflict with the request are removed.
fn append_entries(state: &mut group::MemberState, request: AppendRequest) -> AppendAnswer {
    let reject = |state: &group::MemberState, last_offset: u64| AppendAnswer {
        promised_term: state.promised_term,
        accepted: false,
        last_offset,
    };
    if request.term < state.promised_term {
        return reject(state, state.last_offset());
    }
    state.raise_promised_term(request.term, "");
    state.last_primary_contact = Some(Instant::now());
    let previous = state.position_at(request.previous_offset);
    let is_log_matching =
        request.previous_offset <= state.last_offset() && previous.term == request.previous_term;
    if !is_log_matching {
        let last_offset = state
            .last_offset()
            .min(request.previous_offset.saturating_sub(1));
        return reject(state, last_offset.max(state.committed_offset));
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

/// Replicates the log to a peer whenever this database is primary. Reconnects after a failure.
fn replicate_to_peer(
    name: &str,
    peer: &settings::PeerAddress,
    member: &group::GroupMember,
    message_delay: Duration,
) {
    loop {
        wait_until_primary(member);
        let connection = TcpStream::connect_timeout(&peer.replication_address, PEER_TIMEOUT);
        let result =
            connection.and_then(|stream| stream_log(name, peer, member, stream, message_delay));
        if let Err(error) = result {
            log::debug!("replication connection to {} failed: {error}", peer.name);
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

/// Replicates the log over one connection until the connection fails or this database is no
/// longer primary.
fn stream_log(
    name: &str,
    peer: &settings::PeerAddress,
    member: &group::GroupMember,
    mut stream: TcpStream,
    message_delay: Duration,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    let mut next_offset = member.lock().last_offset() + 1;
    let mut has_matching_log = false;
    loop {
        let Some(request) = build_next_request(name, member, next_offset, has_matching_log) else {
            return Ok(());
        };
        let send_time = Instant::now();
        thread::sleep(message_delay);
        send_message(&mut stream, &request)?;
        let answer: AppendAnswer = receive_message(&mut stream)?;
        let mut state = member.lock();
        if answer.promised_term > request.term {
            state.raise_promised_term(answer.promised_term, "");
            member.notify();
            return Ok(());
        }
        if state.role != group::MemberRole::Primary || state.own_term != request.term {
            return Ok(());
        }
        next_offset = answer.last_offset + 1;
        has_matching_log = answer.accepted;
        if let Some(progress) = state.peers.get_mut(&peer.name) {
            progress.last_answered_send = Some(send_time);
            if answer.accepted {
                progress.acknowledged_offset = answer.last_offset;
            }
        }
        state.advance_committed_offset();
        drop(state);
        member.notify();
    }
}

/// Builds the next message to a peer. Returns `None` if the database is no longer primary.
///
/// If `has_matching_log` is set, the peer's log is known to match this log before
/// `next_offset`. The function then waits for new entries or a higher committed
/// offset, at most for `HEARTBEAT_INTERVAL`. Otherwise it returns at once, so that
/// the last entry that both logs share is found quickly.
fn build_next_request(
    name: &str,
    member: &group::GroupMember,
    next_offset: u64,
    has_matching_log: bool,
) -> Option<AppendRequest> {
    let mut state = member.lock();
    let wait_start = Instant::now();
    let known_committed_offset = state.committed_offset;
    while has_matching_log
        && state.role == group::MemberRole::Primary
        && state.last_offset() < next_offset
        && state.committed_offset == known_committed_offset
        && wait_start.elapsed() < HEARTBEAT_INTERVAL
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

/// Replays committed entries, on a replica `replay_lag` after their arrival.
fn replay_log(member: &group::GroupMember, connection: &rusqlite::Connection) {
    loop {
        let (offset, entry) = wait_for_replayable_entry(member);
        if let Err(error) = engine::replay_entry(connection, member, offset, &entry) {
            log::error!("could not replay log entry {offset}, retrying: {error}");
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}

/// Waits until the next committed entry is due for replay and returns it with its offset.
///
/// Entries that a primary writes itself are executed by its client sessions. A new
/// primary still replays all entries up to the first one of its term.
fn wait_for_replayable_entry(member: &group::GroupMember) -> (u64, group::LogEntry) {
    let mut state = member.lock();
    loop {
        let offset = state.replayed_offset + 1;
        let is_primary = state.role == group::MemberRole::Primary;
        let is_replayable = !is_primary || offset <= state.term_start_offset;
        let mut wait_time = Duration::from_secs(1);
        if offset <= state.committed_offset && is_replayable {
            let arrival_time = state.arrival_times[offset as usize - 1];
            let replay_lag = if is_primary {
                Duration::ZERO
            } else {
                state.replay_lag
            };
            let replay_time = arrival_time + replay_lag;
            let now = Instant::now();
            if replay_time <= now {
                let entry = state.log[offset as usize - 1].clone();
                return (offset, entry);
            }
            wait_time = replay_time - now;
        }
        state = member.wait(state, wait_time);
    }
}
