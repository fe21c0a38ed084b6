//! The databases of one service, with terms, fencing and promotion: a commit is acknowledged once a
//! replica has received it, a paused replica receives nothing until RESUME, a promote or its
//! restart, and a primary goes on for a second after another one leads the next term.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::database::SERVICE;
use crate::partition;
use crate::record;
use crate::store;

const NAMES: [&str; 5] = ["i-a", "i-b", "i-c", "i-d", "i-e"];
const WORK: Duration = Duration::from_millis(6);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// From a call of POST /promotion until the database leads ("1,000 ms a promote").
const PROMOTE: Duration = Duration::from_millis(1_000);
const STEP_DOWN: Duration = Duration::from_secs(1);

#[derive(Clone)]
struct Entry {
    term: u64,
    item: String,
    data: String,
}

struct Member {
    id: &'static str,
    address: SocketAddr,
    is_primary: bool,
    term: u64,
    paused: u64,
    log: Vec<Entry>,
    is_down: bool,
    is_draining: bool,
    /// How often it has started; connections of earlier starts are closed.
    starts: u64,
    successor_since: Option<Instant>,
}

struct State {
    members: Vec<Member>,
    receipts: u64,
}

pub struct Cluster {
    state: Mutex<State>,
    pub partition: Arc<partition::Partition>,
    record: record::Record,
    store: Arc<store::Store>,
    born: u64,
    /// The consumers' statements: which database received them, and when.
    arrivals: Mutex<Vec<(usize, Duration)>>,
}

impl State {
    /// Sends the log of the primary of the highest term to the replicas that receive. Returns
    /// the primary and whether a replica has its whole log.
    fn replicate(&mut self) -> Option<(usize, bool)> {
        for member in &mut self.members {
            let is_due = |since: Instant| since.elapsed() >= STEP_DOWN;
            if member.is_primary && member.successor_since.is_some_and(is_due) {
                member.is_primary = false;
                member.successor_since = None;
            }
        }
        let up = self
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| !member.is_down);
        let primaries = up.filter(|(_, member)| member.is_primary);
        let (primary, term) = primaries
            .map(|(index, member)| (index, member.term))
            .max_by_key(|(_, term)| *term)?;
        let log = self.members[primary].log.clone();
        let mut is_received = false;
        for (index, member) in self.members.iter_mut().enumerate() {
            let receives = !member.is_down && !member.is_primary && member.paused == 0;
            if index != primary && receives && member.term <= term {
                member.term = term;
                member.log.clone_from(&log);
                is_received = true;
            }
            if index != primary && member.is_primary && member.term < term {
                member.successor_since.get_or_insert_with(Instant::now);
            }
        }
        Some((primary, is_received))
    }
}

impl Member {
    fn position(&self) -> (u64, usize) {
        (
            self.log.last().map_or(1, |entry| entry.term),
            self.log.len(),
        )
    }

    fn status(&self) -> String {
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (end, number) = self.position();
        format!(
            "DATAROW {role} {} {end}.{number} {} 8 1 4\r\nCOMPLETE -",
            self.term, self.paused
        )
    }
}

impl Cluster {
    pub fn start(
        addresses: &[SocketAddr],
        store: &Arc<store::Store>,
        partition: &Arc<partition::Partition>,
        record: &record::Record,
    ) -> std::io::Result<Arc<Self>> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let member = |(index, address): (usize, &SocketAddr)| Member {
            id: NAMES[index],
            address: *address,
            is_primary: index == 0,
            term: 1,
            paused: 0,
            log: Vec::new(),
            is_down: false,
            is_draining: false,
            starts: 1,
            successor_since: None,
        };
        let cluster = Arc::new(Self {
            state: Mutex::new(State {
                members: addresses.iter().enumerate().map(member).collect(),
                receipts: 0,
            }),
            partition: Arc::clone(partition),
            record: record.clone(),
            store: Arc::clone(store),
            born: unix.unwrap_or_default().as_millis() as u64,
            arrivals: Mutex::default(),
        });
        for (index, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let serving = Arc::clone(&cluster);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let cluster = Arc::clone(&serving);
                    std::thread::spawn(move || cluster.serve(index, stream));
                }
            });
        }
        let registering = Arc::clone(&cluster);
        std::thread::spawn(move || {
            for sequence in 0_u64.. {
                let count = registering.state.lock().unwrap().members.len();
                for index in 0..count {
                    registering.register(index, sequence);
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        let ticking = Arc::clone(&cluster);
        std::thread::spawn(move || {
            loop {
                ticking.state.lock().unwrap().replicate();
                std::thread::sleep(Duration::from_millis(8));
            }
        });
        Ok(cluster)
    }

    fn register(&self, index: usize, sequence: u64) {
        let state = self.state.lock().unwrap();
        let member = &state.members[index];
        if member.is_down {
            return;
        }
        let role = if member.is_primary {
            "primary"
        } else {
            "replica"
        };
        let reported = if member.is_draining {
            "draining"
        } else {
            "ready"
        };
        let spec = format!(
            "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{}\",\"Zone\":\"amman-a\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"{reported}\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\"Seq\":{sequence},\"born\":{}}}",
            member.address, self.born
        );
        let id = member.id;
        drop(state);
        self.store.put("servers", id, spec.as_bytes());
    }

    /// Answers POST /promotion; `on_accept` is called with the index of the other replica.
    pub fn promote(self: &Arc<Self>, id: &str, on_accept: impl FnOnce(usize)) -> u16 {
        let state = self.state.lock().unwrap();
        let mut members = state.members.iter();
        let Some(index) = members.position(|member| member.id == id && !member.is_down) else {
            return 409;
        };
        if state.members[index].is_primary {
            return 200;
        }
        drop(state);
        let other = (1..3).find(|other| *other != index).unwrap_or(index);
        let cluster = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE);
            let mut state = cluster.state.lock().unwrap();
            let term = state
                .members
                .iter()
                .map(|member| member.term)
                .max()
                .unwrap_or(0)
                + 1;
            for member in &mut state.members {
                member.paused = 0;
            }
            let member = &mut state.members[index];
            member.is_primary = true;
            member.term = term;
            let end = member.position();
            cluster.record.line(&format!(
                "database {} leads term {term}; its log ends at {}.{}",
                member.id, end.0, end.1
            ));
            state.replicate();
        });
        on_accept(other);
        200
    }

    /// Crashes a replica; it is back with its log after `time`.
    pub fn restart(self: &Arc<Self>, index: usize, time: Duration) {
        let cluster = Arc::clone(self);
        std::thread::spawn(move || {
            {
                let mut state = cluster.state.lock().unwrap();
                state.members[index].is_down = true;
                state.members[index].starts += 1;
                cluster
                    .record
                    .line(&format!("database {} crashes", state.members[index].id));
            }
            std::thread::sleep(time);
            let mut state = cluster.state.lock().unwrap();
            state.members[index].is_down = false;
            state.members[index].paused = 0;
            cluster
                .record
                .line(&format!("database {} is back", state.members[index].id));
        });
    }

    /// Returns the index of the newest primary.
    pub fn primary(&self) -> Option<usize> {
        let state = self.state.lock().unwrap();
        let members = state.members.iter().enumerate();
        let primaries = members.filter(|(_, member)| member.is_primary && !member.is_down);
        primaries
            .max_by_key(|(_, member)| member.term)
            .map(|(index, _)| index)
    }

    /// Reports that a database is draining; it goes on serving.
    pub fn drain(&self, index: usize) {
        self.state.lock().unwrap().members[index].is_draining = true;
        self.register(index, 1_000_000);
        self.record.line(&format!(
            "the store confirmed that database {} is draining",
            NAMES[index]
        ));
    }

    /// Leaves: the database serves nothing any more, and its entry is removed.
    pub fn leave(&self, index: usize) {
        {
            let mut state = self.state.lock().unwrap();
            state.members[index].is_down = true;
            state.members[index].is_primary = false;
            state.members[index].starts += 1;
        }
        self.store.remove("servers", NAMES[index]);
        self.record
            .line(&format!("database {} has left", NAMES[index]));
    }

    /// Returns when consumers' statements arrived at a database.
    pub fn arrivals(&self, index: usize) -> Vec<Duration> {
        let arrivals = self.arrivals.lock().unwrap();
        let of_database = arrivals.iter().filter(|(database, _)| *database == index);
        of_database.map(|(_, at)| *at).collect()
    }

    /// Returns what the log of the newest primary contains.
    pub fn kept(&self) -> Vec<(String, String)> {
        let state = self.state.lock().unwrap();
        let primaries = state.members.iter().filter(|member| member.is_primary);
        let primary = primaries.max_by_key(|member| member.term);
        let log = primary.map_or(&[][..], |primary| &primary.log);
        log.iter()
            .map(|entry| (entry.item.clone(), entry.data.clone()))
            .collect()
    }

    fn serve(&self, index: usize, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok();
        let vm = self.partition.vm_of(&stream);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let startup = read_line(&mut reader)?;
        self.wait_for_path(index, vm);
        let starts = {
            let state = self.state.lock().unwrap();
            let member = &state.members[index];
            if member.is_down {
                return None;
            }
            let fields: Vec<&str> = startup.split(' ').collect();
            if fields.get(1) != Some(&SERVICE) || fields.get(3).is_some_and(|id| *id != member.id) {
                drop(state);
                writer.write_all(b"ERROR MISROUTED -\r\n").ok();
                return None;
            }
            member.starts
        };
        writer.write_all(b"READY I -\r\n").ok()?;
        loop {
            let line = read_line(&mut reader)?;
            self.wait_for_path(index, vm);
            let mut words = line.splitn(3, ' ').skip(1);
            let (id, text) = (words.next()?.to_owned(), words.next()?.to_owned());
            if id != "-" {
                self.arrivals
                    .lock()
                    .unwrap()
                    .push((index, self.record.elapsed()));
            }
            let outcome = self.run(index, starts, &text)?;
            self.wait_for_path(index, vm);
            let (end, number) = {
                let state = self.state.lock().unwrap();
                if state.members[index].starts != starts {
                    return None;
                }
                state.members[index].position()
            };
            if id != "-" || text.starts_with("PAUSE") || text.starts_with("STEPDOWN") {
                let name = NAMES[index];
                let last = outcome.replace("\r\n", " / ");
                self.record.line(&format!(
                    "database {name} from machine {vm:?} id {id}: {text} -> {last}"
                ));
            }
            let answer = format!("{outcome}\r\nREADY I {end}.{number}\r\n");
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Holds the bytes of a connection while its path is cut.
    fn wait_for_path(&self, index: usize, vm: Option<usize>) {
        while self.partition.is_cut_from_database(index, vm) {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn run(&self, index: usize, starts: u64, text: &str) -> Option<String> {
        std::thread::sleep(WORK);
        let mut state = self.state.lock().unwrap();
        let member = &mut state.members[index];
        if member.starts != starts || member.is_down {
            return None;
        }
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "SINCE" {
            let (term, number) = words[1].split_once('.').unwrap_or(("0", "0"));
            let wanted = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if member.position() < wanted {
                return Some("ERROR LAGGING -".to_owned());
            }
            words.drain(..2);
        }
        match words.as_slice() {
            ["STATUS"] => Some(member.status()),
            ["PAUSE", term] => {
                let term = term.parse().unwrap_or(0);
                if term > member.term && !member.is_primary {
                    member.paused = term;
                }
                Some(member.status())
            }
            ["RESUME"] => {
                member.paused = 0;
                Some(member.status())
            }
            ["STEPDOWN", term] => {
                if term.parse().unwrap_or(0) > member.term {
                    member.is_primary = false;
                }
                Some(member.status())
            }
            ["READ", item] => {
                let mut entries = member.log.iter().rev();
                let found = entries.find(|entry| entry.item == *item);
                let data = found.map_or("none", |entry| entry.data.as_str()).to_owned();
                state.receipts += 1;
                Some(format!("DATAROW {data}\r\nCOMPLETE 7.{:x}", state.receipts))
            }
            ["WRITE", ..] if !member.is_primary => Some("ERROR READONLY -".to_owned()),
            ["WRITE", item, data] => {
                member.log.push(Entry {
                    term: member.term,
                    item: (*item).to_owned(),
                    data: (*data).to_owned(),
                });
                drop(state);
                self.wait_for_replica(index, starts)
            }
            _ => Some("COMPLETE -".to_owned()),
        }
    }

    /// Waits until a replica has received the log of a primary. Returns `None` if it does not.
    fn wait_for_replica(&self, index: usize, starts: u64) -> Option<String> {
        let deadline = Instant::now() + Duration::from_secs(5);
        while Instant::now() < deadline {
            let mut state = self.state.lock().unwrap();
            if state.members[index].starts != starts || !state.members[index].is_primary {
                return None;
            }
            if state.replicate() == Some((index, true)) {
                state.receipts += 1;
                return Some(format!("COMPLETE 7.{:x}", state.receipts));
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    Some(line.strip_suffix("\r\n")?.to_owned())
}
