//! The platform's metadata store and its API for singleton duties.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json;
use crate::record::Record;

struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
}

impl StoredObject {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    /// The changes: the revision, the kind, the object's text, and whether it was removed.
    events: Vec<(u64, String, String, bool)>,
}

/// The store: linearizable, with one revision counter, and without any impairment.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = StoreState {
            revision: 1,
            ..StoreState::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || serve_http(stream, |request| store.answer(request)));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or a database does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.state.1.notify_all();
    }

    /// Removes an object, as the platform does with the entry of a silent database.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let event = (state.revision, kind.to_owned(), object.text(name), true);
            state.events.push(event);
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let Some(rest) = path.strip_prefix("/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let of_query = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        if request.method == "GET" && !name.is_empty() {
            let state = self.state.0.lock().unwrap();
            let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return found.map_or((404, "{}".to_owned()), |object| (200, object.text(name)));
        }
        if request.method == "GET" {
            if let Some(after) = of_query("Watch").and_then(|text| text.parse().ok()) {
                let wait = of_query("WaitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                return self.watch(kind, after, Duration::from_millis(wait));
            }
            let state = self.state.0.lock().unwrap();
            let of_kind = state.objects.iter().filter(|((other, _), _)| other == kind);
            let items: Vec<String> = of_kind
                .map(|((_, name), object)| object.text(name))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"More\":false,\"AsOf\":{}}}",
                items.join(","),
                state.revision
            );
            return (200, body);
        }
        let meta = json::field(&request.body, "meta").unwrap_or("{}");
        let spec = json::field(&request.body, "spec")
            .unwrap_or("null")
            .to_owned();
        let named = json::text(meta, "Name").unwrap_or_default();
        let is_new = request.method == "POST";
        let name = if is_new { named } else { name };
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.0.lock().unwrap();
        match state.objects.get(&key) {
            Some(object) if is_new => return (409, object.text(name)),
            None if !is_new => return (404, "{}".to_owned()),
            Some(object) => {
                let expected = json::number(meta, "Revision");
                if expected.is_some_and(|expected| expected != object.revision) {
                    return (409, object.text(name));
                }
            }
            None => {}
        }
        write(&mut state, kind, name, spec);
        self.state.1.notify_all();
        (200, state.objects[&key].text(name))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(revision, of, ..)| *revision > after && of == kind);
            let texts: Vec<String> = events
                .map(|(_, _, object, is_removed)| {
                    format!("{{\"Object\":{object},\"Deleted\":{is_removed}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    texts.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write(state: &mut StoreState, kind: &str, name: &str, spec: String) {
    let key = (kind.to_owned(), name.to_owned());
    if state
        .objects
        .get(&key)
        .is_some_and(|object| object.spec == spec)
    {
        return;
    }
    state.revision += 1;
    let revision = state.revision;
    let created = state
        .objects
        .get(&key)
        .map_or(revision, |object| object.created);
    let object = StoredObject {
        revision,
        created,
        spec,
    };
    state
        .events
        .push((revision, kind.to_owned(), object.text(name), false));
    state.objects.insert(key, object);
}

/// A call that designates the database that takes over.
#[derive(Clone)]
pub struct DutyCall {
    pub holder: String,
}

/// The API for singleton duties.
pub struct DutyApi {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<DutyCall>>>,
}

impl DutyApi {
    /// Starts the API. `promote` carries a call out and returns the status of its answer.
    pub fn start(
        record: &Record,
        promote: impl Fn(&str) -> u16 + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let (kept, record, promote) = (Arc::clone(&calls), record.clone(), Arc::new(promote));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kept, record, promote) =
                    (Arc::clone(&kept), record.clone(), Arc::clone(&promote));
                thread::spawn(move || {
                    serve_http(stream, |request| {
                        let database = json::text(&request.body, "Id")
                            .unwrap_or_default()
                            .to_owned();
                        let status = promote(&database);
                        record.note(&format!(
                            "the platform answers {status} to {} of {database} by {} with number {}",
                            request.path, request.holder, request.token
                        ));
                        let call = DutyCall {
                            holder: request.holder.clone(),
                        };
                        kept.lock().unwrap().push(call);
                        (status, "{}".to_owned())
                    });
                });
            }
        });
        Ok(Self { address, calls })
    }
}

struct Request {
    method: String,
    path: String,
    holder: String,
    token: u64,
    body: String,
}

fn serve_http(stream: TcpStream, answer: impl Fn(&Request) -> (u16, String)) {
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let mut writer = writer;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = answer(&request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut holder, mut token) = (0, String::new(), 0);
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        } else if let Some(value) = header.strip_prefix("x-duty-holder:") {
            value.trim().clone_into(&mut holder);
        } else if let Some(value) = header.strip_prefix("x-fence-token:") {
            token = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        holder,
        token,
        body: String::from_utf8(body).ok()?,
    })
}
