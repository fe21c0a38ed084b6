//! The scenarios.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::cluster;
use crate::consumer;
use crate::database;
use crate::json;
use crate::partition;
use crate::record;
use crate::store;
use crate::vms;

/// The names of the routes, and the consumer's key.
const PRIMARY_HOST: &str = "lepu270";
const BOUNDED_HOST: &str = "xapu221";
const KEY: &str = "u6wsjnbanfqasnmgkcuy";

const CONFIGURATION: &str = r#"{"Version":7,"Routes":[
{"Name":"r-1","Host":"lepu270","PathPrefix":"/","Kind":"primary","TimeoutMs":800,"SloMs":300,"Priority":1,"Service":"huvo11a","Attempts":2,"Public":false},
{"Name":"r-2","Host":"xapu221","PathPrefix":"/","Kind":"bounded_staleness","TimeoutMs":1500,"SloMs":600,"Priority":2,"Service":"huvo11a","Attempts":2,"MaxStalenessMs":1500,"Public":false}],
"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":22,"Protocol":"h1","Tls":false,"SyncReplicas":1}],
"Limits":{"TxIdleMs":3000},
"Tenants":[{"Name":"nypu920","ApiKeys":["u6wsjnbanfqasnmgkcuy"],"Priority":1,"RatePerS":800,"Burst":800}]}"#;

/// How many consumers read on the bounded route, and how many write on the primary route.
const READERS: usize = 16;
const WRITERS: usize = 3;
/// How many consumers write at each machine in `stale_writer`.
const WRITERS_OF_EACH: usize = 1;

struct Deployment {
    places: vms::Places,
    store: Arc<store::Store>,
    group: Arc<database::Group>,
    machines: vms::Machines,
}

fn start(record: &record::Record) -> Result<Deployment, String> {
    let failed = |error: std::io::Error| error.to_string();
    let places = vms::Places::find()?;
    let store = store::Store::start(places.store()).map_err(failed)?;
    let group = database::Group::start(&places.databases(), &store, record).map_err(failed)?;
    serve_cloud_api(places.cloud_api(), record).map_err(failed)?;
    store.put("config", "main", CONFIGURATION.as_bytes());
    let mut machines = vms::Machines::new(places)?;
    machines.start_all()?;
    machines.wait_ready(Duration::from_secs(25))?;
    record.line("all machines are ready");
    Ok(Deployment {
        places,
        store,
        group,
        machines,
    })
}

/// Answers duty calls with 503. None is expected, since no primary fails.
fn serve_cloud_api(address: SocketAddr, record: &record::Record) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                store::serve_http(stream, &AtomicU64::new(1), |request| {
                    let holder = request
                        .headers
                        .iter()
                        .find(|(name, _)| name == "x-duty-holder");
                    record.line(&format!("duty call {} by {holder:?}", request.path));
                    (503, b"{}".to_vec())
                });
            });
        }
    });
    Ok(())
}

/// A request of a consumer: when it was first sent, and whether it was served in the end.
struct Request {
    sent: Duration,
    is_served: bool,
}

/// Sends requests until `stop` is set. Each is tried up to three times within 4 s, at one machine
/// after the other.
fn press(
    number: usize,
    places: vms::Places,
    record: &record::Record,
    stop: &AtomicBool,
    requests: &Mutex<Vec<Request>>,
) {
    let mut sessions: [Option<consumer::Session>; 3] = [None, None, None];
    let host = if number < READERS {
        BOUNDED_HOST
    } else {
        PRIMARY_HOST
    };
    let mut count = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let sent = record.elapsed();
        let budget = Instant::now() + Duration::from_secs(4);
        let mut is_served = false;
        for attempt in 0..3_u64 {
            if Instant::now() >= budget {
                break;
            }
            let vm = ((count + attempt + number as u64) % 3) as usize;
            let id = format!("{number:02x}{count:08x}{attempt:02x}");
            let text = if host == BOUNDED_HOST {
                format!("READ item{}", count % 50)
            } else {
                format!("WRITE item{} d{count}", count % 50)
            };
            let result = attempt_at(&mut sessions[vm], places.front(vm), host, &id, &text);
            record.line(&format!(
                "consumer {number} at machine {vm} id {id}: {text} -> {result:?}"
            ));
            match result {
                Ok(outcome) if outcome.starts_with("COMPLETE") => {
                    is_served = true;
                    break;
                }
                // A write whose outcome is open is not repeated.
                Ok(outcome) if host == PRIMARY_HOST && outcome.contains("INDOUBT") => break,
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        requests.lock().unwrap().push(Request { sent, is_served });
        std::thread::sleep(Duration::from_millis(40));
    }
}

fn attempt_at(
    session: &mut Option<consumer::Session>,
    address: SocketAddr,
    host: &str,
    id: &str,
    text: &str,
) -> Result<String, String> {
    let mut open = match session.take() {
        Some(open) => open,
        None => consumer::Session::open(address, host, KEY)?,
    };
    let answer = open.run(id, text)?;
    if answer.state == "I" {
        *session = Some(open);
    }
    Ok(answer.outcome)
}

/// The spec of an entry that another writer left, which cannot be read.
fn unreadable_spec() -> Vec<u8> {
    let variant = std::env::var("VARIANT").unwrap_or_default();
    match variant.as_str() {
        // Bytes that are not UTF-8.
        "bytes" => b"{\"Service\":\"\xff\xfe\"}".to_vec(),
        // A number that no float holds: valid JSON.
        "number" => b"{\"Seq\":1e400}".to_vec(),
        // Half of a surrogate pair: a text that was cut in the middle of a character.
        _ => br#"{"Service":"caf\ud83d"}"#.to_vec(),
    }
}

/// RECOVER: another writer leaves an entry with bytes that can't be read among those of the
/// databases. Later all processes are killed and start again.
pub fn unreadable_entry(record: &record::Record, trouble: bool) -> Result<bool, String> {
    const DRAIN: Duration = Duration::from_secs(7);
    const RECOVERY: Duration = Duration::from_secs(12);
    let Deployment {
        places,
        store,
        group,
        mut machines,
    } = start(record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(Mutex::new(Vec::new()));
    let consumers: Vec<_> = (0..READERS + WRITERS)
        .map(|number| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let requests = Arc::clone(&requests);
            std::thread::spawn(move || press(number, places, &record, &stop, &requests))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        store.put("servers", "i-zz", &unreadable_spec());
        record.line("the store has an entry servers/i-zz of another writer that cannot be read");
    }
    std::thread::sleep(Duration::from_secs(2));
    let leaving = Arc::clone(&group.databases[2]);
    leaving.drain(&store);
    let drained = record.elapsed();
    record.line("the store confirmed that database i-c is draining");
    std::thread::sleep(Duration::from_secs(11));
    leaving.leave(&store);
    record.line("database i-c has left, its entry is removed");
    std::thread::sleep(Duration::from_secs(2));
    let killed = record.elapsed();
    machines.kill_all();
    record.line("all processes were killed");
    std::thread::sleep(Duration::from_secs(1));
    machines.start_all()?;
    let back = record.elapsed();
    record.line("all processes were started again");
    std::thread::sleep(RECOVERY + Duration::from_secs(10));
    let ready = machines.ready_count();
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer failed")?;
    }
    for line in machines.log_lines(0, "a dependency is unavailable", 4) {
        record.line(&format!("log of machine 0: {line}"));
    }
    let late = group.runs();
    let late = late
        .iter()
        .filter(|run| run.database == "i-c" && run.at > drained + DRAIN);
    let late = late.count();
    let requests = requests.lock().unwrap();
    let share = |wanted: &dyn Fn(&Request) -> bool| {
        let chosen: Vec<&Request> = requests.iter().filter(|request| wanted(request)).collect();
        let served = chosen.iter().filter(|request| request.is_served).count();
        (served, chosen.len())
    };
    let before = share(&|request| request.sent < killed);
    let after = share(&|request| request.sent > back + RECOVERY);
    record.line(&format!(
        "before the final fault {} of {} requests were served; {} of {} of those sent later than 12 s after the machines were back; {ready} of 3 machines are ready",
        before.0, before.1, after.0, after.1
    ));
    record.line(&format!(
        "statements at database i-c later than 7 s after it was draining: {late}"
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Err("too little was served before the final fault".to_owned());
    }
    Ok(after.0 * 4 >= after.1)
}

/// MIXED: a database is busy for a statement of a transaction, and the consumer ends the
/// transaction with COMMIT.
pub fn commit_after_error(record: &record::Record, trouble: bool) -> Result<bool, String> {
    let deployment = start(record)?;
    let group = &deployment.group;
    let mut broken = 0;
    let mut committed = 0;
    for number in 0..20_u32 {
        let vm = number as usize % 3;
        let address = deployment.places.front(vm);
        let mut session = consumer::Session::open(address, PRIMARY_HOST, KEY)?;
        group
            .is_full
            .store(trouble && number % 2 == 1, Ordering::SeqCst);
        let commit_id = format!("c{number:03}");
        let texts = [
            (format!("b{number:03}"), "BEGIN".to_owned()),
            (
                format!("w{number:03}"),
                format!("WRITE boots{number} taken"),
            ),
            (
                format!("x{number:03}"),
                format!("WRITE boards{number} taken"),
            ),
            (commit_id.clone(), "COMMIT".to_owned()),
        ];
        let mut last = None;
        for (id, text) in &texts {
            let answer = session.run(id, text)?;
            record.line(&format!(
                "consumer at machine {vm} id {id}: {text} -> {} / READY {}",
                answer.outcome, answer.state
            ));
            last = Some(answer);
        }
        let is_told_success = last.is_some_and(|answer| answer.is_success());
        let runs = group.runs();
        let mut commits = runs.iter().filter(|run| run.id == commit_id);
        let has_run_commit = commits.any(|run| run.text == "COMMIT");
        let is_kept = group.has_committed(&format!("boots{number}"), "taken");
        if is_told_success && !(has_run_commit && is_kept) {
            broken += 1;
            record.line(&format!(
                "MIXED: COMMIT {commit_id} was answered with success; no database received a COMMIT with this id; the write is in the log: {is_kept}"
            ));
        }
        committed += usize::from(is_told_success && is_kept);
    }
    record.line(&format!(
        "{committed} transactions were committed; {broken} of 20 COMMITs got a success without a commit"
    ));
    if committed == 0 {
        return Err("no transaction was committed".to_owned());
    }
    Ok(broken == 0)
}

/// A write of a consumer that was answered with success.
struct Acknowledged {
    machine: usize,
    at: Duration,
    item: String,
    data: String,
}

/// LOST: one machine is cut off from the store and the other machines, and the primary from the
/// other machines. While a replica is promoted, the other one restarts.
pub fn stale_writer(record: &record::Record, trouble: bool) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let places = vms::Places::find()?;
    let cut = Arc::new(partition::Partition::default());
    let (real, known) = places.machines();
    let view = |(real, known)| {
        (
            format!("\"address\":\"{real}\""),
            format!("\"address\":\"{known}\""),
        )
    };
    let access = store::Access {
        views: real.into_iter().zip(known).map(view).collect(),
        partition: Some(Arc::clone(&cut)),
    };
    let store = store::Store::start_with(places.store(), access).map_err(failed)?;
    let cluster =
        cluster::Cluster::start(&places.databases(), &store, &cut, record).map_err(failed)?;
    cut.relay_datagrams(real, known, places.peer_port())
        .map_err(failed)?;
    serve_promotions(places.cloud_api(), &cluster, record, trouble).map_err(failed)?;
    store.put("config", "main", CONFIGURATION.as_bytes());
    let mut machines = vms::Machines::new(places)?;
    for vm in 0..3 {
        machines.start(vm)?;
        cut.set_process(vm, machines.process(vm).unwrap_or_default());
    }
    machines.wait_ready(Duration::from_secs(25))?;
    record.line("all machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let written = Arc::new(Mutex::new(Vec::new()));
    let writers: Vec<_> = (0..WRITERS_OF_EACH * 3)
        .map(|number| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let written = Arc::clone(&written);
            std::thread::spawn(move || write_all(number, places, &record, &stop, &written))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        cut.isolated.store(true, Ordering::SeqCst);
        record.line("machine 2 is cut off from the store and from the other machines");
        cut.primary_cut.store(true, Ordering::SeqCst);
        record.line("database i-a is cut off from machines 0 and 1");
    }
    std::thread::sleep(Duration::from_millis(5_500));
    cut.isolated.store(false, Ordering::SeqCst);
    cut.primary_cut.store(false, Ordering::SeqCst);
    record.line("no cuts any more");
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.join().map_err(|_| "a writer failed")?;
    }
    let kept = cluster.kept();
    let written = written.lock().unwrap();
    let mut lost = 0;
    for write in written.iter() {
        let pair = (write.item.clone(), write.data.clone());
        if !kept.contains(&pair) {
            lost += 1;
            record.line(&format!(
                "LOST: WRITE {} {} was answered with success by machine {} at {:.3} s and is not in the log of the primary",
                write.item, write.data, write.machine, write.at.as_secs_f64()
            ));
        }
    }
    record.line(&format!(
        "{lost} of {} acknowledged writes are lost",
        written.len()
    ));
    if written.len() < 50 {
        return Err("too few writes were acknowledged".to_owned());
    }
    Ok(lost == 0)
}

/// The holders and tokens of the duty calls.
type DutyCalls = Arc<Mutex<Vec<(String, String)>>>;

/// Serves POST /promotion. With trouble, the replica that is not promoted crashes once a call is
/// accepted, after 0.1 s or as `RESTART_AFTER_MS` says, and is back with its log 0.2 s later.
fn serve_promotions(
    address: SocketAddr,
    cluster: &Arc<cluster::Cluster>,
    record: &record::Record,
    trouble: bool,
) -> std::io::Result<DutyCalls> {
    let listener = TcpListener::bind(address)?;
    let (cluster, record) = (Arc::clone(cluster), record.clone());
    let calls = DutyCalls::default();
    let received = Arc::clone(&calls);
    let may_restart = Arc::new(AtomicBool::new(trouble));
    let after = std::env::var("RESTART_AFTER_MS").ok();
    let after = after.and_then(|text| text.parse().ok()).unwrap_or(100);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (cluster, record) = (Arc::clone(&cluster), record.clone());
            let received = Arc::clone(&received);
            let may_restart = Arc::clone(&may_restart);
            std::thread::spawn(move || {
                store::serve_http(stream, &AtomicU64::new(1), |request| {
                    let id = json::string(&request.body, "Id").unwrap_or_default();
                    let status = cluster.promote(&id, |other| {
                        if may_restart.swap(false, Ordering::SeqCst) {
                            let cluster = Arc::clone(&cluster);
                            std::thread::spawn(move || {
                                std::thread::sleep(Duration::from_millis(after));
                                cluster.restart(other, Duration::from_millis(200));
                            });
                        }
                    });
                    let header = |name: &str| {
                        let found = request.headers.iter().find(|(other, _)| other == name);
                        found.map_or_else(String::new, |(_, value)| value.clone())
                    };
                    let call = (header("x-duty-holder"), header("x-fence-token"));
                    record.line(&format!(
                        "the platform answers {status} to the promotion of {id} by {} with token {}",
                        call.0, call.1
                    ));
                    received.lock().unwrap().push(call);
                    (status, b"{}".to_vec())
                });
            });
        }
    });
    Ok(calls)
}

/// Writes an item of its own again and again at one machine.
fn write_all(
    number: usize,
    places: vms::Places,
    record: &record::Record,
    stop: &AtomicBool,
    written: &Mutex<Vec<Acknowledged>>,
) {
    let machine = number % 3;
    let mut session = None;
    for count in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let (id, item, data) = (
            format!("{number:02x}{count:08x}"),
            format!("item{number}-{count}"),
            format!("d{count}"),
        );
        let text = format!("WRITE {item} {data}");
        let front = places.front(machine);
        let result = attempt_at(&mut session, front, PRIMARY_HOST, &id, &text);
        record.line(&format!(
            "consumer {number} at machine {machine} id {id}: {text} -> {result:?}"
        ));
        if result.is_ok_and(|outcome| outcome.starts_with("COMPLETE")) {
            written.lock().unwrap().push(Acknowledged {
                machine,
                at: record.elapsed(),
                item,
                data,
            });
        }
        std::thread::sleep(Duration::from_millis(60));
    }
}

/// DRAIN: the store comes back from a copy some seconds old, which lacks what the system wrote as it
/// replaced a primary that leaves. Later the next primary is to leave.
pub fn older_store(record: &record::Record, trouble: bool) -> Result<bool, String> {
    const DRAIN: Duration = Duration::from_secs(7);
    let failed = |error: std::io::Error| error.to_string();
    let places = vms::Places::find()?;
    let cut = Arc::new(partition::Partition::default());
    let store = store::Store::start(places.store()).map_err(failed)?;
    let cluster =
        cluster::Cluster::start(&places.five_databases(), &store, &cut, record).map_err(failed)?;
    let calls = serve_promotions(places.cloud_api(), &cluster, record, false).map_err(failed)?;
    store.put("config", "main", CONFIGURATION.as_bytes());
    let mut machines = vms::Machines::new(places)?;
    machines.start_all()?;
    machines.wait_ready(Duration::from_secs(25))?;
    record.line("all machines are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let written = Arc::new(Mutex::new(Vec::new()));
    let writers: Vec<_> = (0..6)
        .map(|number| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            let written = Arc::clone(&written);
            std::thread::spawn(move || write_all(number, places, &record, &stop, &written))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    let copy = store.copy();
    record.line("a copy of the store is made");
    let first = cluster.primary().ok_or("there is no primary")?;
    cluster.drain(first);
    std::thread::sleep(Duration::from_secs(5));
    if trouble {
        store.come_back_from(copy, Duration::from_secs(1));
        store.put("config", "main", CONFIGURATION.as_bytes());
        cluster.drain(first);
        record.line("the store was away for a second and is back from the copy");
        if std::env::var("RESTART_ALL").is_ok() {
            machines.kill_all();
            machines.start(1)?;
            machines.start(2)?;
            record.line("all processes were killed; machine 0 does not come back");
        }
    } else {
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(Duration::from_secs(5));
    cluster.leave(first);
    std::thread::sleep(Duration::from_secs(7));
    let second = cluster.primary().ok_or("there is no primary")?;
    cluster.drain(second);
    let drained = record.elapsed();
    std::thread::sleep(Duration::from_secs(12));
    let left = record.elapsed();
    cluster.leave(second);
    std::thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.join().map_err(|_| "a writer failed")?;
    }
    let table = store.value("bluebellferry-leaders", "table");
    record.line(&format!("the leadership table in the store: {table:?}"));
    for line in machines.log_lines(0, "did not confirm a write of the leadership", 2) {
        record.line(&format!("log of machine 0: {line}"));
    }
    let late = cluster.arrivals(second);
    let late = late.iter().filter(|at| **at > drained + DRAIN).count();
    let after = written.lock().unwrap();
    let after = after
        .iter()
        .filter(|write| write.at > left + Duration::from_secs(3));
    record.line(&format!(
        "statements at the second database later than 7 s after it was draining: {late}; writes served later than 3 s after it left: {}",
        after.count()
    ));
    let calls = calls.lock().unwrap();
    let is_reused = |(holder, token): &(String, String)| {
        calls
            .iter()
            .any(|(other, used)| used == token && other != holder)
    };
    let reused = calls.iter().filter(|call| is_reused(call)).count();
    record.line(&format!(
        "duty calls with a token that another holder used too: {reused}"
    ));
    Ok(late == 0 && reused == 0)
}
