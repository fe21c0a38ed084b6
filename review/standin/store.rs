//! The platform's store: objects by kind and name, over HTTP. Values are kept as bytes.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
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

use crate::json;
use crate::partition;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
}

/// What the store holds at a moment.
#[derive(Clone)]
pub struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How often the store has come back from an older copy, plus one.
    era: AtomicU64,
    is_away: AtomicBool,
}

/// How a store answers its readers.
#[derive(Default)]
pub struct Access {
    /// Texts that readers see in place of others.
    pub views: Vec<(String, String)>,
    /// Who reaches the store.
    pub partition: Option<Arc<partition::Partition>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        Self::start_with(address, Access::default())
    }

    pub fn start_with(address: SocketAddr, access: Access) -> std::io::Result<Arc<Self>> {
        let access = Arc::new(access);
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                objects: BTreeMap::new(),
            }),
            changed: Condvar::new(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(address)?;
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, access) = (Arc::clone(&serving), Arc::clone(&access));
                std::thread::spawn(move || store.serve(stream, &access));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream, access: &Access) {
        let partition = access.partition.as_ref();
        let vm = partition.and_then(|partition| partition.vm_of(&stream));
        let wait_for_path = || {
            while partition.is_some_and(|partition| partition.is_cut_from_store(vm)) {
                std::thread::sleep(Duration::from_millis(20));
            }
        };
        serve_http(stream, &self.era, |request| {
            wait_for_path();
            if self.is_away.load(Ordering::SeqCst) {
                return (503, b"{}".to_vec());
            }
            let (status, mut body) = self.answer(request);
            wait_for_path();
            for (from, to) in &access.views {
                body = replace(&body, from.as_bytes(), to.as_bytes());
            }
            (status, body)
        });
    }

    /// Writes an object, like the operator, a database or another writer.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = write(&mut state, kind, name, spec);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        self.changed.notify_all();
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    /// Is away for a time and comes back from an older copy.
    pub fn come_back_from(&self, copy: State, away: Duration) {
        self.is_away.store(true, Ordering::SeqCst);
        std::thread::sleep(away);
        *self.state.lock().unwrap() = copy;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Returns the value of an object.
    pub fn value(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(String::from_utf8_lossy(&object.spec).into_owned())
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        std::thread::sleep(Duration::from_millis(4));
        let (path, query) = request
            .path
            .split_once('?')
            .unwrap_or((request.path.as_str(), ""));
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["objects", kind]) => self.list(kind, query),
            ("GET", ["objects", kind, name]) => {
                let state = self.state.lock().unwrap();
                let key = ((*kind).to_owned(), (*name).to_owned());
                match state.objects.get(&key) {
                    Some(object) => (200, render(name, object)),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST", ["objects", kind]) => {
                let meta = json::field(&request.body, "meta").unwrap_or_default();
                let name = json::string(meta, "Name").unwrap_or_default();
                self.write_checked(kind, &name, Some(0), &request.body)
            }
            ("PUT", ["objects", kind, name]) => {
                let meta = json::field(&request.body, "meta").unwrap_or_default();
                let expected = json::number(meta, "Revision");
                self.write_checked(kind, name, expected, &request.body)
            }
            _ => (404, b"{}".to_vec()),
        }
    }

    fn write_checked(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        body: &[u8],
    ) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let current = state.objects.get(&key).map_or(0, |object| object.revision);
        if expected.is_some_and(|expected| expected != current) {
            let body = state.objects.get(&key).map(|object| render(name, object));
            return (409, body.unwrap_or_else(|| b"{}".to_vec()));
        }
        let spec = json::field(body, "spec").unwrap_or(b"null").to_vec();
        write(&mut state, kind, name, &spec);
        self.changed.notify_all();
        (200, render(name, &state.objects[&key]))
    }

    fn list(&self, kind: &str, query: &str) -> (u16, Vec<u8>) {
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let Some(after) = parameter("Watch") else {
            let state = self.state.lock().unwrap();
            let items = of_kind(&state, kind, 0);
            let mut body = b"{\"items\":[".to_vec();
            body.extend(items.join(&b','));
            body.extend(format!("],\"More\":false,\"AsOf\":{}}}", state.revision).into_bytes());
            return (200, body);
        };
        let deadline =
            Instant::now() + Duration::from_millis(parameter("WaitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, b"{}".to_vec());
            }
            let items = of_kind(&state, kind, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !items.is_empty() || left.is_zero() {
                let event = |item: Vec<u8>| {
                    [b"{\"Deleted\":false,\"Object\":".as_slice(), &item, b"}"].concat()
                };
                let events: Vec<Vec<u8>> = items.into_iter().map(event).collect();
                let mut body = b"{\"events\":[".to_vec();
                body.extend(events.join(&b','));
                body.extend(format!("],\"AsOf\":{}}}", state.revision).into_bytes());
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn replace(text: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = Vec::with_capacity(text.len());
    let mut at = 0;
    while at < text.len() {
        if text[at..].starts_with(from) {
            replaced.extend_from_slice(to);
            at += from.len();
        } else {
            replaced.push(text[at]);
            at += 1;
        }
    }
    replaced
}

fn write(state: &mut State, kind: &str, name: &str, spec: &[u8]) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = state.objects.get(&key).filter(|object| object.spec == spec) {
        return object.revision;
    }
    state.revision += 1;
    let revision = state.revision;
    let created = state.objects.get(&key).map_or(revision, |old| old.created);
    let object = Object {
        revision,
        created,
        spec: spec.to_vec(),
    };
    state.objects.insert(key, object);
    revision
}

fn of_kind(state: &State, kind: &str, after: u64) -> Vec<Vec<u8>> {
    let objects = state.objects.iter();
    let wanted = objects.filter(|((other, _), object)| other == kind && object.revision > after);
    wanted
        .map(|((_, name), object)| render(name, object))
        .collect()
}

fn render(name: &str, object: &Object) -> Vec<u8> {
    let meta = format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"spec\":",
        object.revision, object.created
    );
    [meta.as_bytes(), &object.spec, b",\"status\":null}"].concat()
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Serves HTTP/1.1 on a connection until it ends.
pub fn serve_http(stream: TcpStream, era: &AtomicU64, answer: impl Fn(&Request) -> (u16, Vec<u8>)) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = answer(&request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n",
            era.load(Ordering::SeqCst),
            body.len()
        );
        if writer
            .write_all(&[head.as_bytes(), &body].concat())
            .is_err()
        {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}
