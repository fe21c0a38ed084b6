//! The databases of one service: a primary and two replicas that speak the wire protocol. A
//! commit is acknowledged once a replica has received it. Nothing here fails by itself.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::record;
use crate::store;

/// The name of the service.
pub const SERVICE: &str = "huvo11a";
/// How long replicas take to apply a commit.
const LAG: Duration = Duration::from_millis(8);
/// How long a statement that takes a slot works.
const WORK: Duration = Duration::from_millis(12);
/// How many statements a database runs at a time; the others wait.
const SLOTS: u32 = 3;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const TERM: u64 = 3;

/// A statement that a database has received from a connection for a consumer.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub database: String,
    pub id: String,
    pub text: String,
}

struct Commit {
    at: Instant,
    writes: Vec<(String, String)>,
}

#[derive(Default)]
struct State {
    log: Vec<Commit>,
    runs: Vec<Run>,
    receipts: u64,
}

pub struct Database {
    pub id: String,
    pub address: SocketAddr,
    is_primary: bool,
    is_draining: AtomicBool,
    has_left: AtomicBool,
    sequence: AtomicU64,
    born: u64,
    busy: Mutex<u32>,
    slot_freed: Condvar,
}

pub struct Group {
    pub databases: Vec<Arc<Database>>,
    state: Mutex<State>,
    record: record::Record,
    /// Whether each second write of a transaction is answered with BUSY.
    pub is_full: AtomicBool,
}

impl Group {
    pub fn start(
        addresses: &[SocketAddr],
        store: &Arc<store::Store>,
        record: &record::Record,
    ) -> std::io::Result<Arc<Self>> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = unix.unwrap_or_default().as_millis() as u64;
        let names = ["i-a", "i-b", "i-c"];
        let database = |(index, address): (usize, &SocketAddr)| {
            Arc::new(Database {
                id: names[index].to_owned(),
                address: *address,
                is_primary: index == 0,
                is_draining: AtomicBool::new(false),
                has_left: AtomicBool::new(false),
                sequence: AtomicU64::new(0),
                born,
                busy: Mutex::new(0),
                slot_freed: Condvar::new(),
            })
        };
        let group = Arc::new(Self {
            databases: addresses.iter().enumerate().map(database).collect(),
            state: Mutex::default(),
            record: record.clone(),
            is_full: AtomicBool::new(false),
        });
        for database in &group.databases {
            let listener = TcpListener::bind(database.address)?;
            let (serving, served) = (Arc::clone(&group), Arc::clone(database));
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (group, database) = (Arc::clone(&serving), Arc::clone(&served));
                    std::thread::spawn(move || group.serve(&database, stream));
                }
            });
            let (registered, store) = (Arc::clone(database), Arc::clone(store));
            std::thread::spawn(move || {
                while !registered.has_left.load(Ordering::SeqCst) {
                    registered.register(&store);
                    std::thread::sleep(HEARTBEAT);
                }
            });
        }
        Ok(group)
    }

    /// Returns what was run for consumers so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns whether a commit in the log has written this data to this item.
    pub fn has_committed(&self, item: &str, data: &str) -> bool {
        let state = self.state.lock().unwrap();
        let mut writes = state.log.iter().flat_map(|commit| &commit.writes);
        writes.any(|(other, value)| (other.as_str(), value.as_str()) == (item, data))
    }

    fn serve(&self, database: &Database, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let startup = read_line(&mut reader)?;
        let fields: Vec<&str> = startup.split(' ').collect();
        let is_addressed = fields.first() == Some(&"STARTUP")
            && fields.get(1) == Some(&SERVICE)
            && fields.get(3).is_none_or(|id| *id == database.id);
        if !is_addressed || database.has_left.load(Ordering::SeqCst) {
            writer.write_all(b"ERROR MISROUTED -\r\n").ok();
            return None;
        }
        let ready = format!("READY I {}\r\n", self.position(database));
        writer.write_all(ready.as_bytes()).ok()?;
        let mut connection = Connection::default();
        loop {
            let line = read_line(&mut reader)?;
            if database.has_left.load(Ordering::SeqCst) {
                return None;
            }
            let mut words = line.splitn(3, ' ');
            let (verb, id, text) = (words.next()?, words.next(), words.next());
            let (Some(id), Some(text)) = (id, text) else {
                return None;
            };
            if verb != "QUERY" {
                return None;
            }
            let outcome = self.run(database, &mut connection, id, text);
            let letter = connection.letter();
            let answer = format!(
                "{outcome}\r\nREADY {letter} {}\r\n",
                self.position(database)
            );
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn run(
        &self,
        database: &Database,
        connection: &mut Connection,
        id: &str,
        text: &str,
    ) -> String {
        let outcome = self.execute(database, connection, text);
        if id != "-" {
            let last = outcome.rsplit("\r\n").next().unwrap_or_default();
            let run = Run {
                at: self.record.elapsed(),
                database: database.id.clone(),
                id: id.to_owned(),
                text: text.to_owned(),
            };
            self.record.line(&format!(
                "database {} received id {id}: {text} -> {last}",
                database.id
            ));
            self.state.lock().unwrap().runs.push(run);
        }
        outcome
    }

    fn execute(&self, database: &Database, connection: &mut Connection, text: &str) -> String {
        let mut words: Vec<&str> = text.split(' ').collect();
        if words[0] == "SINCE" {
            let (term, number) = words[1].split_once('.').unwrap_or(("0", "0"));
            let wanted = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if (TERM, self.applied(database) as u64) < wanted {
                return "ERROR LAGGING -".to_owned();
            }
            words.drain(..2);
        }
        let ends = matches!(words[0], "COMMIT" | "ROLLBACK");
        if connection.has_failed && !ends {
            return "ERROR MALFORMED -".to_owned();
        }
        if !matches!(words[0], "SET" | "RESET" | "PREPARE" | "DEALLOC") {
            database.work();
        }
        match words.as_slice() {
            ["STATUS"] | ["PAUSE" | "STEPDOWN", _] | ["RESUME"] => self.status(database),
            ["SET", ..] | ["PREPARE", ..] | ["DEALLOC", _] | ["RESET"] => "COMPLETE -".to_owned(),
            ["BEGIN"] if !database.is_primary => "ERROR READONLY -".to_owned(),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                connection.writes = Some(Vec::new());
                self.receipt()
            }
            ["READ", item] => {
                let state = self.state.lock().unwrap();
                let count = self.applied_in(&state, database);
                let writes = state.log[..count].iter().rev();
                let mut writes = writes.flat_map(|commit| commit.writes.iter().rev());
                let found = writes.find(|(other, _)| other == item);
                let data = found.map_or("none", |(_, data)| data.as_str()).to_owned();
                drop(state);
                format!("DATAROW {data}\r\n{}", self.receipt())
            }
            ["WRITE", ..] if !database.is_primary => "ERROR READONLY -".to_owned(),
            ["WRITE", item, data] => {
                let write = ((*item).to_owned(), (*data).to_owned());
                match &mut connection.writes {
                    Some(writes) if writes.len() == 1 && self.is_full.load(Ordering::SeqCst) => {
                        connection.has_failed = true;
                        "ERROR BUSY -".to_owned()
                    }
                    Some(writes) => {
                        writes.push(write);
                        self.receipt()
                    }
                    None => {
                        self.commit(vec![write]);
                        self.receipt()
                    }
                }
            }
            ["COMMIT"] if connection.has_failed => {
                *connection = Connection::default();
                "ERROR ABORTED -".to_owned()
            }
            ["COMMIT"] => {
                let writes = connection.writes.take().unwrap_or_default();
                if !writes.is_empty() {
                    self.commit(writes);
                }
                self.receipt()
            }
            ["ROLLBACK"] => {
                *connection = Connection::default();
                self.receipt()
            }
            _ => "ERROR MALFORMED -".to_owned(),
        }
    }

    fn commit(&self, writes: Vec<(String, String)>) {
        let at = Instant::now();
        self.state.lock().unwrap().log.push(Commit { at, writes });
    }

    fn receipt(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.receipts += 1;
        format!("COMPLETE 7.{:x}", state.receipts)
    }

    fn applied(&self, database: &Database) -> usize {
        self.applied_in(&self.state.lock().unwrap(), database)
    }

    fn applied_in(&self, state: &State, database: &Database) -> usize {
        if database.is_primary {
            return state.log.len();
        }
        state
            .log
            .partition_point(|commit| commit.at.elapsed() >= LAG)
    }

    fn position(&self, database: &Database) -> String {
        format!("{TERM}.{}", self.applied(database))
    }

    fn status(&self, database: &Database) -> String {
        let role = if database.is_primary {
            "primary"
        } else {
            "replica"
        };
        let received = self.state.lock().unwrap().log.len();
        format!("DATAROW {role} {TERM} {TERM}.{received} 0 8 1 4\r\nCOMPLETE -")
    }
}

impl Database {
    fn work(&self) {
        let mut busy = self.busy.lock().unwrap();
        while *busy >= SLOTS {
            busy = self.slot_freed.wait(busy).unwrap();
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(WORK);
        *self.busy.lock().unwrap() -= 1;
        self.slot_freed.notify_one();
    }

    fn register(&self, store: &store::Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let spec = format!(
            "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{}\",\"Zone\":\"amman-a\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"{state}\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\"Seq\":{sequence},\"born\":{}}}",
            self.address, self.born
        );
        store.put("servers", &self.id, spec.as_bytes());
    }

    /// Reports that the database is draining; it goes on serving.
    pub fn drain(&self, store: &store::Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.register(store);
    }

    /// Leaves: the entry is removed, and nothing is served any more.
    pub fn leave(&self, store: &store::Store) {
        self.has_left.store(true, Ordering::SeqCst);
        std::thread::sleep(HEARTBEAT);
        store.remove("servers", &self.id);
    }
}

/// The state of a connection: values and names are accepted and not checked.
#[derive(Default)]
struct Connection {
    writes: Option<Vec<(String, String)>>,
    has_failed: bool,
}

impl Connection {
    fn letter(&self) -> &'static str {
        match &self.writes {
            None => "I",
            Some(_) if self.has_failed => "E",
            Some(_) => "T",
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    Some(line.strip_suffix("\r\n")?.to_owned())
}
