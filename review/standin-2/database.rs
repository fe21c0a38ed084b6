//! A service of three databases with a log each: a primary and two replicas.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::platform::Store;
use crate::record::Record;

pub const SERVICE: &str = "huvo11a";
pub const PING_INTERVAL: Duration = Duration::from_millis(1_200);
/// The platform removes the entry of a database that has been silent for three ping intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
/// The time that a read, write or commit takes.
const WORK: Duration = Duration::from_millis(8);
const PROMOTE_TIME: Duration = Duration::from_millis(600);
/// How long an old primary goes on once it can reach the new one.
const OLD_PRIMARY_TIME: Duration = Duration::from_millis(1_000);
const TICK: Duration = Duration::from_millis(5);

/// A statement that a database ran.
#[derive(Clone)]
pub struct RunStatement {
    pub database: String,
    pub tenant: String,
    pub id: String,
    pub text: String,
}

/// A commit in a log.
#[derive(Clone, PartialEq)]
struct Commit {
    term: u64,
    writes: Vec<(String, String)>,
}

struct Member {
    id: String,
    zone: String,
    address: SocketAddr,
    log: Vec<Commit>,
    is_primary: bool,
    /// The term in which it leads or follows.
    term: u64,
    /// The term of PAUSE; 0 if it receives.
    held: u64,
    is_running: bool,
    /// Whether it receives nothing from the primary.
    is_deaf: bool,
    /// Whether it is partitioned from the platform's store.
    is_cut_from_store: bool,
    last_ping: Option<Instant>,
    pings: u64,
    is_registered: bool,
    outdated_since: Option<Instant>,
    connections: Vec<TcpStream>,
}

impl Member {
    /// Returns the position of the end of its log.
    fn end(&self) -> (u64, usize) {
        (
            self.log.last().map_or(0, |commit| commit.term),
            self.log.len(),
        )
    }

    fn position(&self) -> String {
        let (term, number) = self.end();
        format!("{term}.{number}")
    }
}

/// A database that took over, with the data of the acknowledged writes that its log lacked.
#[derive(Clone)]
pub struct Takeover {
    pub database: String,
    pub end: String,
    pub missing: Vec<String>,
}

#[derive(Default)]
struct ServiceState {
    members: Vec<Member>,
    run: Vec<RunStatement>,
    /// The data of the writes whose success consumers have received.
    acknowledged: Vec<String>,
    takeovers: Vec<Takeover>,
}

#[derive(Clone)]
pub struct Service {
    state: Arc<Mutex<ServiceState>>,
    record: Record,
}

impl Service {
    /// Starts the databases and lets them register in the store.
    pub fn start(store: &Store, zones: &[&str; 3], record: &Record) -> std::io::Result<Self> {
        let service = Self {
            state: Arc::default(),
            record: record.clone(),
        };
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let first = Commit {
            term: 1,
            writes: Vec::new(),
        };
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let member = Member {
                id: format!("i-{:08x}", 0x7f3a_9100_u32 + index as u32),
                zone: (*zone).to_owned(),
                address: listener.local_addr()?,
                log: vec![first.clone(); 100],
                is_primary: index == 0,
                term: 1,
                held: 0,
                is_running: true,
                is_deaf: false,
                is_cut_from_store: false,
                last_ping: None,
                pings: 0,
                is_registered: false,
                outdated_since: None,
                connections: Vec::new(),
            };
            service.lock().members.push(member);
            let served = service.clone();
            thread::spawn(move || served.listen(Some(listener), index));
        }
        let (ticking, store) = (service.clone(), store.clone());
        thread::spawn(move || {
            loop {
                ticking.replicate();
                ticking.register(&store, born);
                thread::sleep(TICK);
            }
        });
        Ok(service)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap()
    }

    /// Returns the statements that the databases have run so far.
    pub fn run_statements(&self) -> Vec<RunStatement> {
        self.lock().run.clone()
    }

    /// Records that a consumer has received the success of a write.
    pub fn record_acknowledged(&self, data: &str) {
        self.lock().acknowledged.push(data.to_owned());
    }

    pub fn acknowledged_count(&self) -> usize {
        self.lock().acknowledged.len()
    }

    pub fn takeovers(&self) -> Vec<Takeover> {
        self.lock().takeovers.clone()
    }

    /// Returns the index of the running primary of the latest term.
    pub fn primary(&self) -> Option<usize> {
        latest_primary(&self.lock().members)
    }

    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut state = self.lock();
        state.members[index].is_deaf = is_deaf;
        self.record.note(&format!(
            "{} receives {} (its log ends at {})",
            state.members[index].id,
            if is_deaf {
                "nothing from now on"
            } else {
                "again"
            },
            state.members[index].position()
        ));
    }

    /// Waits until a database is about to report to the store again.
    pub fn wait_until_ping_is_due(&self, index: usize) {
        loop {
            let due = self.lock().members[index]
                .last_ping
                .map(|last| last + PING_INTERVAL);
            let left = due.map(|due| due.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left < Duration::from_millis(30)) {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn set_cut_from_store(&self, index: usize, is_cut: bool) {
        let mut state = self.lock();
        state.members[index].is_cut_from_store = is_cut;
        let id = &state.members[index].id;
        self.record
            .note(&format!("{id} is cut off from the store: {is_cut}"));
    }

    pub fn is_registered(&self, index: usize) -> bool {
        self.lock().members[index].is_registered
    }

    /// Lets a database crash; it comes back with its log when `restore` is called.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.is_running = false;
        self.record.note(&format!(
            "{} crashes, with a log up to {}",
            member.id,
            member.position()
        ));
        for stream in member.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn restore(&self, index: usize) {
        let mut state = self.lock();
        let other = latest_primary(&state.members);
        let member = &mut state.members[index];
        member.is_running = true;
        member.held = 0;
        member.is_primary &= other.is_none();
        let role = if member.is_primary {
            "primary"
        } else {
            "replica"
        };
        self.record.note(&format!(
            "{} is back as {role}, with a log up to {}",
            member.id,
            member.position()
        ));
    }

    /// Carries out the platform's call to promote a database, and returns the status of the answer.
    pub fn promote(&self, id: &str) -> u16 {
        let state = self.lock();
        let Some(index) = state.members.iter().position(|member| member.id == id) else {
            return 409;
        };
        if !state.members[index].is_running {
            return 409;
        }
        if latest_primary(&state.members) == Some(index) {
            return 200;
        }
        let service = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            service.take_over(index);
        });
        200
    }

    fn take_over(&self, index: usize) {
        let mut state = self.lock();
        let state = &mut *state;
        if !state.members[index].is_running {
            return;
        }
        let newest = state
            .members
            .iter()
            .map(|member| member.term)
            .max()
            .unwrap_or_default();
        let member = &mut state.members[index];
        (member.is_primary, member.term, member.held) = (true, newest + 1, 0);
        let has = |data: &&String| {
            let mut writes = member.log.iter().flat_map(|commit| &commit.writes);
            writes.any(|(_, written)| written == *data)
        };
        let missing: Vec<String> = state
            .acknowledged
            .iter()
            .filter(|data| !has(data))
            .cloned()
            .collect();
        self.record.note(&format!(
            "{} leads in term {} with a log up to {}; {} of {} acknowledged writes are not in it{}",
            member.id,
            member.term,
            member.position(),
            missing.len(),
            state.acknowledged.len(),
            if missing.is_empty() {
                String::new()
            } else {
                format!(": {}", missing.join(" "))
            }
        ));
        let (database, end) = (member.id.clone(), member.position());
        state.takeovers.push(Takeover {
            database,
            end,
            missing,
        });
        // A promote ends the pauses for its term or an earlier one.
        for member in &mut state.members {
            if member.held <= newest + 1 {
                member.held = 0;
            }
        }
    }

    /// Sends the replicas what they lack, and lets an outdated primary step down in time.
    fn replicate(&self) {
        let mut state = self.lock();
        let Some(primary) = latest_primary(&state.members) else {
            return;
        };
        let (log, term) = (
            state.members[primary].log.clone(),
            state.members[primary].term,
        );
        for (index, member) in state.members.iter_mut().enumerate() {
            if index == primary || !member.is_running {
                continue;
            }
            if member.is_primary {
                let since = *member.outdated_since.get_or_insert_with(Instant::now);
                if since.elapsed() < OLD_PRIMARY_TIME {
                    continue;
                }
                (member.is_primary, member.outdated_since) = (false, None);
            }
            if !member.is_deaf && member.held == 0 {
                if member.log.len() != log.len() || member.log.last() != log.last() {
                    member.log.clone_from(&log);
                }
                member.term = term;
            }
        }
    }

    /// Writes the entries of the databases that can reach the store, and removes those of others.
    fn register(&self, store: &Store, born: u128) {
        let mut state = self.lock();
        for member in &mut state.members {
            let is_due = member
                .last_ping
                .is_none_or(|last| last.elapsed() >= PING_INTERVAL);
            if member.is_running && !member.is_cut_from_store && is_due {
                member.pings += 1;
                (member.last_ping, member.is_registered) = (Some(Instant::now()), true);
                let role = if member.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let spec = format!(
                    "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"ready\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\"Seq\":{},\"born\":{born}}}",
                    member.address, member.zone, member.pings
                );
                store.put("servers", &member.id, spec);
            } else if member.is_registered
                && member
                    .last_ping
                    .is_some_and(|last| last.elapsed() >= ENTRY_LIFETIME)
            {
                member.is_registered = false;
                self.record.note(&format!(
                    "the platform removes the entry of {}, which is silent",
                    member.id
                ));
                store.remove("servers", &member.id);
            }
        }
    }

    /// Accepts connections while the database runs, at the same address each time.
    fn listen(&self, listener: Option<TcpListener>, index: usize) {
        let mut listener = listener;
        loop {
            let (is_running, address, id) = {
                let state = self.lock();
                let member = &state.members[index];
                (member.is_running, member.address, member.id.clone())
            };
            if !is_running {
                listener = None;
                thread::sleep(TICK);
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(address).ok();
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let served = self.clone();
                    let id = id.clone();
                    thread::spawn(move || {
                        let _ = served.serve_session(stream, index, &id);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn ready(&self, status: char, index: usize) -> String {
        format!(
            "READY {status} {}\r\n",
            self.lock().members[index].position()
        )
    }

    /// Appends a commit to the primary's log and waits until a replica has received it.
    fn commit(&self, index: usize, writes: Vec<(String, String)>) -> std::io::Result<()> {
        let number = {
            let mut state = self.lock();
            let member = &mut state.members[index];
            let term = member.term;
            member.log.push(Commit { term, writes });
            member.log.len()
        };
        loop {
            self.replicate();
            let state = self.lock();
            let own = &state.members[index];
            if !own.is_running {
                return Err(std::io::Error::other("crashed"));
            }
            let commit = own.log.get(number - 1);
            let has_received = |other: &Member| {
                other.id != own.id && other.is_running && other.log.get(number - 1) == commit
            };
            if state.members.iter().any(has_received) {
                return Ok(());
            }
            drop(state);
            thread::sleep(TICK);
        }
    }

    fn serve_session(&self, stream: TcpStream, index: usize, id: &str) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().members[index]
            .connections
            .push(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let is_expected =
            words.get(1) == Some(&SERVICE) && words.get(3).is_none_or(|wanted| *wanted == id);
        if words.first() != Some(&"STARTUP") || !is_expected {
            return writer.write_all(b"ERROR MISROUTED -\r\n");
        }
        let tenant = words.get(2).copied().unwrap_or("-").to_owned();
        writer.write_all(self.ready('I', index).as_bytes())?;
        // The kind of each prepared name.
        let mut prepared: BTreeMap<String, String> = BTreeMap::new();
        let mut status = 'I';
        let mut begun_read_only = false;
        let mut pending: Vec<(String, String)> = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end_matches(['\r', '\n']);
            let Some((statement_id, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|query| query.split_once(' '))
            else {
                return Ok(());
            };
            let (text, since) = match text
                .strip_prefix("SINCE ")
                .and_then(|rest| rest.split_once(' '))
            {
                Some((since, rest)) => {
                    let (term, number) = since.split_once('.').unwrap_or_default();
                    (
                        rest,
                        Some((
                            term.parse::<u64>().unwrap_or(0),
                            number.parse::<usize>().unwrap_or(0),
                        )),
                    )
                }
                None => (text, None),
            };
            let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
            let is_write = match verb {
                "WRITE" => true,
                "EXECUTE" => {
                    let name = rest.split(' ').next().unwrap_or_default();
                    prepared.get(name).is_some_and(|kind| kind == "WRITE")
                }
                _ => false,
            };
            let is_unknown = verb == "EXECUTE"
                && !prepared.contains_key(rest.split(' ').next().unwrap_or_default());
            let (is_primary, end) = {
                let state = self.lock();
                (state.members[index].is_primary, state.members[index].end())
            };
            let needs_lead = is_write || text == "BEGIN" || (status == 'T' && !begun_read_only);
            let is_empty_commit = verb == "COMMIT" && pending.is_empty();
            let refusal = if is_unknown {
                Some("UNKNOWN")
            } else if since.is_some_and(|since| since > end) {
                Some("LAGGING")
            } else if needs_lead
                && !is_primary
                && !is_empty_commit
                && verb != "ROLLBACK"
                && statement_id != "-"
            {
                Some("READONLY")
            } else if status == 'E' && verb != "ROLLBACK" && verb != "COMMIT" {
                Some("MALFORMED")
            } else {
                None
            };
            if let Some(code) = refusal {
                if status == 'T' {
                    status = 'E';
                }
                writer.write_all(
                    format!("ERROR {code} {id}\r\n{}", self.ready(status, index)).as_bytes(),
                )?;
                continue;
            }
            let arguments = if verb == "EXECUTE" {
                rest.split_once(' ').map_or("", |(_, last)| last)
            } else {
                rest
            };
            let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
            let mut answer = String::new();
            let mut receipt = "-".to_owned();
            match verb {
                "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                    let mut state = self.lock();
                    let newest = state
                        .members
                        .iter()
                        .map(|member| member.term)
                        .max()
                        .unwrap_or_default();
                    let term: u64 = rest.parse().unwrap_or(0);
                    let member = &mut state.members[index];
                    match verb {
                        "PAUSE" if term > newest && !member.is_primary => {
                            member.held = member.held.max(term)
                        }
                        "RESUME" => member.held = 0,
                        "STEPDOWN" if member.is_primary && member.term < term => {
                            member.is_primary = false
                        }
                        _ => {}
                    }
                    let role = if member.is_primary {
                        "primary"
                    } else {
                        "replica"
                    };
                    answer = format!(
                        "DATAROW {role} {} {} {} 0 0 1\r\n",
                        member.term,
                        member.position(),
                        member.held
                    );
                    if verb != "STATUS" {
                        self.record.note(&format!(
                            "{id} is ordered to {text} and reports {}",
                            answer.trim_end()
                        ));
                    }
                }
                "RESET" => prepared.clear(),
                "SET" => {}
                "DEALLOC" => {
                    prepared.remove(rest);
                }
                "PREPARE" => {
                    let mut words = rest.split(' ');
                    let name = words.next().unwrap_or_default().to_owned();
                    prepared.insert(name, words.next().unwrap_or_default().to_owned());
                }
                "BEGIN" => (status, begun_read_only) = ('T', rest == "READ"),
                "ROLLBACK" => {
                    pending.clear();
                    status = 'I';
                }
                "COMMIT" if status == 'E' => {
                    pending.clear();
                    status = 'I';
                    writer.write_all(
                        format!("ERROR ABORTED {id}\r\n{}", self.ready(status, index)).as_bytes(),
                    )?;
                    continue;
                }
                _ => {
                    thread::sleep(WORK);
                    if is_write {
                        pending.push((item.to_owned(), data.to_owned()));
                    } else if verb != "COMMIT" {
                        let state = self.lock();
                        let mut writes = state.members[index]
                            .log
                            .iter()
                            .rev()
                            .flat_map(|commit| &commit.writes);
                        let found = writes.find(|(written, _)| written == item);
                        answer = format!(
                            "DATAROW {}\r\n",
                            found.map_or("empty", |(_, data)| data.as_str())
                        );
                    }
                    if verb == "COMMIT" || (is_write && status == 'I') {
                        if !pending.is_empty() {
                            self.commit(index, std::mem::take(&mut pending))?;
                        }
                        status = 'I';
                    }
                    let state = self.lock();
                    receipt = format!(
                        "7.{}.{index}.{}",
                        state.members[index].log.len(),
                        state.run.len()
                    );
                }
            }
            if statement_id != "-" {
                let run = RunStatement {
                    database: id.to_owned(),
                    tenant: tenant.clone(),
                    id: statement_id.to_owned(),
                    text: text.chars().take(40).collect(),
                };
                self.record.note(&format!(
                    "{} runs {} of tenant {}: {}",
                    run.database, run.id, run.tenant, run.text
                ));
                self.lock().run.push(run);
            }
            answer.push_str(&format!(
                "COMPLETE {receipt}\r\n{}",
                self.ready(status, index)
            ));
            writer.write_all(answer.as_bytes())?;
        }
    }
}

/// Returns the running primary of the latest term.
fn latest_primary(members: &[Member]) -> Option<usize> {
    let primaries = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.is_running && member.is_primary);
    primaries
        .max_by_key(|(_, member)| member.term)
        .map(|(index, _)| index)
}
