//! The cases. Each returns whether the rule was broken.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::consumer::Session;
use crate::database::{SERVICE, Service};
use crate::platform::{DutyApi, Store};
use crate::proxies::{self, Proxy};
use crate::record::Record;

type CaseResult = Result<bool, Box<dyn std::error::Error>>;

const ZONES: [&str; 3] = ["algarve-portimao", "alentejo-evora", "minho-braga"];
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY_MS: u64 = 3_000;

/// A small deployment: three proxies, one service of three databases.
struct Deployment {
    store: Store,
    duty: DutyApi,
    service: Service,
    proxies: Vec<Proxy>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.proxies.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the deployment and waits until its machines have been in touch for long enough.
    fn start(first: String, record: &Record) -> Result<Self, Box<dyn std::error::Error>> {
        let folder = std::env::temp_dir().join(format!("standin-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start()?;
        store.put("config", "main", first);
        let service = Service::start(&store, &ZONES, record)?;
        let promoting = service.clone();
        let duty = DutyApi::start(record, move |database| promoting.promote(database))?;
        let proxies = proxies::start(&folder, &ZONES, store.address, duty.address)?;
        record.note("all proxies are ready");
        std::thread::sleep(CONTACT + Duration::from_millis(1_000));
        Ok(Self {
            store,
            duty,
            service,
            proxies,
            folder,
        })
    }

    /// Fails if the case met a trouble that it did not cause.
    fn check_undisturbed(&self) -> Result<(), Box<dyn std::error::Error>> {
        if !self.duty.calls.lock().unwrap().is_empty() {
            return Err("a promotion was requested although no primary was lost".into());
        }
        Ok(())
    }
}

struct ConfigurationParts<'a> {
    version: u64,
    timeout_ms: u64,
    /// The hosts of the routes of kind `primary`.
    hosts: &'a [&'a str],
    /// The tenants with their keys.
    tenants: &'a [(&'a str, &'a [&'a str])],
}

fn configuration(parts: &ConfigurationParts<'_>) -> String {
    let route = |host: &&str| {
        format!(
            "{{\"Name\":\"r-{host}\",\"Host\":\"{host}\",\"PathPrefix\":\"/\",\"Kind\":\"primary\",\"TimeoutMs\":{},\"SloMs\":400,\"Priority\":1,\"Service\":\"{SERVICE}\",\"Attempts\":2,\"Public\":false}}",
            parts.timeout_ms
        )
    };
    let routes: Vec<String> = parts.hosts.iter().map(route).collect();
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[{}],\"Priority\":1,\"RatePerS\":132,\"Burst\":132}}",
            keys.join(",")
        )
    };
    let tenants: Vec<String> = parts.tenants.iter().map(tenant).collect();
    format!(
        "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxConns\":21,\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":1}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,\"TxIdleMs\":3000}},\"Tenants\":[{}]}}",
        parts.version,
        routes.join(","),
        tenants.join(",")
    )
}

/// Plays a case.
pub fn play(case: &str, is_troubled: bool, record: &Record) -> CaseResult {
    record.note(&format!("case {case}, disruption: {is_troubled}"));
    match case {
        "offboarded" => play_offboarded(is_troubled, record),
        "moved-key" => play_moved_key(is_troubled, record),
        "long-names" => play_long_names(is_troubled, record),
        "unknown-primary" => play_unknown_primary(is_troubled, record),
        "forgotten-replica" => play_forgotten_replica(is_troubled, record),
        _ => Err("no such case".into()),
    }
}

const KEY: &str = "u6wsjnbanfqasnmgkcuy";
const HOST: &str = "lepu270";
const TENANT: &str = "nypu920";
const OTHER_TENANT: &str = "zeta111";
const OTHER_KEY: &str = "j8pjbvk9m68k7b2ex5wa";
const OTHER_HOST: &str = "kahu620";

/// Opens a transaction, writes the next version of the configuration, and goes on with the
/// transaction. Returns the ids of the statements that were sent later than `ConfigApplyMs` after the
/// confirmation of that version.
fn play_transaction(
    deployment: &Deployment,
    next: &ConfigurationParts<'_>,
    record: &Record,
) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    const PAUSE: Duration = Duration::from_millis(900);
    const READS: usize = 8;
    let mut session = Session::open(deployment.proxies[0].front, HOST, KEY, "a0ff")?;
    for text in ["BEGIN", "READ 1a4"] {
        let answer = session.query(text)?;
        record.note(&format!(
            "{} {text}: {:?} {}",
            answer.id, answer.lines, answer.ready
        ));
    }
    deployment.store.put("config", "main", configuration(next));
    let confirmed_ms = record.now_ms();
    record.note(&format!("the store has confirmed version {}", next.version));
    let mut late_ids = Vec::new();
    let mut texts = vec!["READ 1a4"; READS];
    texts.extend(["WRITE 1a4 xkqpwnzd", "COMMIT"]);
    for text in texts {
        thread::sleep(PAUSE);
        let sent_ms = record.now_ms();
        let answer = match session.query(text) {
            Ok(answer) => answer,
            Err(error) => {
                record.note(&format!("{text}: {error}"));
                break;
            }
        };
        record.note(&format!(
            "{} {text}, sent {} ms after the confirmation: {:?} {}",
            answer.id,
            sent_ms - confirmed_ms,
            answer.lines,
            answer.ready
        ));
        if sent_ms > confirmed_ms + CONFIG_APPLY_MS {
            late_ids.push(answer.id.clone());
        }
        if !answer.ready.starts_with("READY T") {
            break;
        }
    }
    deployment.check_undisturbed()?;
    Ok(late_ids)
}

/// Returns how many of the statements were run for a tenant, and notes it.
fn count_run(deployment: &Deployment, ids: &[String], tenant: &str, record: &Record) -> usize {
    let run = deployment.service.run_statements();
    let late = run
        .iter()
        .filter(|statement| statement.tenant == tenant && ids.contains(&statement.id));
    let late = late.count();
    record.note(&format!(
        "{late} statements that were sent more than {CONFIG_APPLY_MS} ms after the confirmation were run for {tenant}"
    ));
    late
}

/// A tenant leaves: one version removes its key and its route while it has a transaction open.
fn play_offboarded(is_troubled: bool, record: &Record) -> CaseResult {
    let first = ConfigurationParts {
        version: 7,
        timeout_ms: 1_000,
        hosts: &[HOST, OTHER_HOST],
        tenants: &[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])],
    };
    let deployment = Deployment::start(configuration(&first), record)?;
    let next = if is_troubled {
        ConfigurationParts {
            version: 9,
            hosts: &[OTHER_HOST],
            tenants: &[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY])],
            ..first
        }
    } else {
        ConfigurationParts {
            version: 9,
            timeout_ms: 1_200,
            ..first
        }
    };
    let late_ids = play_transaction(&deployment, &next, record)?;
    let late = count_run(&deployment, &late_ids, TENANT, record);
    if !is_troubled && late == 0 {
        return Err("the transaction did not go on although nothing was taken away".into());
    }
    Ok(is_troubled && late > 0)
}

/// A key passes from one tenant to another while its consumer has a transaction open.
fn play_moved_key(is_troubled: bool, record: &Record) -> CaseResult {
    let first = ConfigurationParts {
        version: 7,
        timeout_ms: 1_000,
        hosts: &[HOST, OTHER_HOST],
        tenants: &[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])],
    };
    let deployment = Deployment::start(configuration(&first), record)?;
    let next = if is_troubled {
        ConfigurationParts {
            version: 9,
            tenants: &[(TENANT, &[]), (OTHER_TENANT, &[OTHER_KEY, KEY])],
            ..first
        }
    } else {
        ConfigurationParts {
            version: 9,
            timeout_ms: 1_200,
            ..first
        }
    };
    let late_ids = play_transaction(&deployment, &next, record)?;
    let late = count_run(&deployment, &late_ids, TENANT, record);
    if !is_troubled && late == 0 {
        return Err("the transaction did not go on although nothing was taken away".into());
    }
    Ok(is_troubled && late > 0)
}

/// Sessions prepare statements as long as a message may be. Consumers whose node was ended come back
/// and prepare them again, as names are valid until a session ends only.
fn play_long_names(is_troubled: bool, record: &Record) -> CaseResult {
    const TIMES: usize = 3;
    const NODES: usize = 2;
    const RESTART_DELAY: Duration = Duration::from_millis(500);
    let shape_bytes = if is_troubled { (1 << 20) - 64 } else { 200 };
    let first = ConfigurationParts {
        version: 7,
        timeout_ms: 1_000,
        hosts: &[HOST, OTHER_HOST],
        tenants: &[(TENANT, &[KEY]), (OTHER_TENANT, &[OTHER_KEY])],
    };
    let mut deployment = Deployment::start(configuration(&first), record)?;
    let mut ended = [0; NODES];
    for _ in 0..TIMES {
        for (node, count) in ended.iter_mut().enumerate() {
            let front = deployment.proxies[node].front;
            let mut other = Session::open(front, OTHER_HOST, OTHER_KEY, "b0ff")?;
            for text in ["BEGIN", "WRITE 2b7 qhzkwmtr"] {
                let answer = other.query(text)?;
                record.note(&format!(
                    "the other tenant: {text}: {:?} {}",
                    answer.lines, answer.ready
                ));
            }
            if fill_memory(&deployment.proxies[node], shape_bytes, record)? {
                *count += 1;
                record.note(&format!(
                    "the platform ends {}",
                    deployment.proxies[node].name
                ));
                deployment.proxies[node].kill();
            }
            match other.query("COMMIT") {
                Ok(answer) => record.note(&format!(
                    "the other tenant: COMMIT: {:?} {}",
                    answer.lines, answer.ready
                )),
                Err(error) => record.note(&format!("the other tenant: COMMIT: {error}")),
            }
            if !deployment.proxies[node].is_running() {
                thread::sleep(RESTART_DELAY);
                deployment.proxies[node].start_again()?;
                deployment.proxies[node].wait_until_ready()?;
            }
        }
    }
    deployment.check_undisturbed()?;
    record.note(&format!(
        "ended for their memory: {ended:?} times on {NODES} of {} nodes",
        ZONES.len()
    ));
    Ok(ended.iter().all(|count| *count >= TIMES))
}

/// Opens sessions at a node and prepares statements there. Returns whether the process then holds more
/// memory than it may.
fn fill_memory(
    proxy: &Proxy,
    shape_bytes: usize,
    record: &Record,
) -> Result<bool, Box<dyn std::error::Error>> {
    const SESSIONS: usize = 90;
    const NAMES: usize = 3;
    const MEMORY_LIMIT: u64 = 260 * 1024 * 1024;
    let shape: String = std::iter::repeat_n('q', shape_bytes).collect();
    let mut sessions = Vec::new();
    let mut peak = 0;
    for number in 0..SESSIONS {
        let mut session = Session::open(proxy.front, HOST, KEY, &format!("c{number:03x}"))?;
        for name in 0..NAMES {
            let answer = session.query(&format!("PREPARE s{name} READ {shape}"))?;
            if !answer.is_success() {
                return Err(format!("PREPARE was refused: {:?}", answer.lines).into());
            }
            peak = peak.max(proxy.memory());
        }
        sessions.push(session);
        if peak > MEMORY_LIMIT {
            break;
        }
    }
    record.note(&format!(
        "{}: {} sessions with {NAMES} names of {shape_bytes} bytes each; it holds {} MB at most, allowed are 260",
        proxy.name,
        sessions.len(),
        peak / (1024 * 1024)
    ));
    Ok(peak > MEMORY_LIMIT)
}

type Outcomes = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Consumers that write and read all the time, until they are stopped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    /// When each request was sent, and whether it was answered with success.
    outcomes: Outcomes,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    /// Starts a writer and a reader at each proxy. One that loses its session goes to the next proxy.
    fn start(deployment: &Deployment) -> Self {
        let fronts: Vec<SocketAddr> = deployment.proxies.iter().map(|proxy| proxy.front).collect();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Outcomes::default();
        let mut threads = Vec::new();
        for number in 0..fronts.len() * 2 {
            let (fronts, service) = (fronts.clone(), deployment.service.clone());
            let (is_stopped, outcomes) = (Arc::clone(&is_stopped), Arc::clone(&outcomes));
            threads.push(thread::spawn(move || {
                consume(number, &fronts, &service, &is_stopped, &outcomes)
            }));
        }
        Self {
            is_stopped,
            outcomes,
            threads,
        }
    }

    /// Returns how many requests were sent from one instant to another, and how many succeeded.
    fn count(&self, from: Instant, to: Instant) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let sent: Vec<bool> = outcomes
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .map(|(_, served)| *served)
            .collect();
        (sent.len(), sent.iter().filter(|served| **served).count())
    }

    fn stop(self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn consume(
    number: usize,
    fronts: &[SocketAddr],
    service: &Service,
    is_stopped: &AtomicBool,
    outcomes: &Outcomes,
) {
    let note = |sent: Instant, is_served: bool| outcomes.lock().unwrap().push((sent, is_served));
    let is_writer = number % 2 == 0;
    let (mut front, mut count) = (number / 2, 0_u32);
    while !is_stopped.load(Ordering::SeqCst) {
        let prefix = format!("d{number}{count:04x}");
        let opened = Instant::now();
        let Ok(mut session) = Session::open(fronts[front % fronts.len()], HOST, KEY, &prefix)
        else {
            note(opened, false);
            front += 1;
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !is_stopped.load(Ordering::SeqCst) {
            count += 1;
            let data = format!("w{number}n{count}");
            let text = if is_writer {
                format!("WRITE k{number} {data}")
            } else {
                format!("READ k{}", number - 1)
            };
            let sent = Instant::now();
            match session.query(&text) {
                Ok(answer) => {
                    if is_writer && answer.is_success() {
                        service.record_acknowledged(&data);
                    }
                    note(sent, answer.is_success());
                }
                Err(_) => {
                    note(sent, false);
                    front += 1;
                    break;
                }
            }
            thread::sleep(Duration::from_millis(60));
        }
    }
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

/// Waits until databases have taken over `count` times.
fn wait_for_takeovers(service: &Service, count: usize, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while service.takeovers().len() < count {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}

/// The node that holds the duty starts again while the entry of a replica is missing in the store,
/// although that replica has every commit. Then the primary crashes while the other replica lags.
fn play_forgotten_replica(is_troubled: bool, record: &Record) -> CaseResult {
    const CRASH: Duration = Duration::from_millis(7_000);
    const DEAF: Duration = Duration::from_millis(6_500);
    const CUT: Duration = Duration::from_millis(5_000);
    const RESTART_DELAY: Duration = Duration::from_millis(500);
    let first = ConfigurationParts {
        version: 7,
        timeout_ms: 1_000,
        hosts: &[HOST],
        tenants: &[(TENANT, &[KEY])],
    };
    let mut deployment = Deployment::start(configuration(&first), record)?;
    let service = deployment.service.clone();
    let traffic = Traffic::start(&deployment);
    thread::sleep(Duration::from_millis(1_500));
    // An ordinary change of primary before, so that one node holds the duty.
    service.crash(0);
    thread::sleep(Duration::from_millis(2_000));
    service.restore(0);
    if !wait_for_takeovers(&service, 1, Duration::from_secs(15)) {
        return Err("the first primary was not replaced".into());
    }
    thread::sleep(CONTACT + Duration::from_millis(4_000));
    let holder = deployment
        .duty
        .calls
        .lock()
        .unwrap()
        .last()
        .map(|call| call.holder.clone());
    let holder = holder.ok_or("no node holds the duty")?;
    let primary = service.primary().ok_or("no primary")?;
    let replicas: Vec<usize> = (0..3).filter(|index| *index != primary).collect();
    let (current, lagging) = (replicas[0], replicas[1]);
    record.note(&format!(
        "{} writes are acknowledged; {holder} holds the duty",
        service.acknowledged_count()
    ));
    if !is_troubled {
        thread::sleep(Duration::from_secs(12));
        traffic.stop();
        record.note(&format!(
            "{} writes are acknowledged",
            service.acknowledged_count()
        ));
        let lost = service
            .takeovers()
            .iter()
            .any(|takeover| !takeover.missing.is_empty());
        return Ok(lost);
    }
    service.wait_until_ping_is_due(current);
    service.set_cut_from_store(current, true);
    let cut_at = Instant::now();
    service.set_deaf(lagging, true);
    let deaf_at = Instant::now();
    sleep_until(cut_at + Duration::from_millis(2_100));
    let node = deployment
        .proxies
        .iter_mut()
        .find(|proxy| proxy.name == holder);
    let node = node.ok_or("the holder of the duty is no node")?;
    record.note(&format!("{holder} is killed"));
    node.kill();
    thread::sleep(RESTART_DELAY);
    if service.is_registered(current) {
        return Err("the entry of the replica is still there".into());
    }
    node.start_again()?;
    record.note(&format!("{holder} starts again"));
    sleep_until(cut_at + Duration::from_millis(3_300));
    record.note(&format!(
        "{} writes are acknowledged",
        service.acknowledged_count()
    ));
    service.crash(primary);
    let crashed_at = Instant::now();
    sleep_until(cut_at + CUT);
    service.set_cut_from_store(current, false);
    sleep_until(deaf_at + DEAF);
    service.set_deaf(lagging, false);
    sleep_until(crashed_at + CRASH);
    service.restore(primary);
    wait_for_takeovers(&service, 2, Duration::from_secs(20));
    thread::sleep(Duration::from_millis(2_000));
    traffic.stop();
    let lost: Vec<_> = service
        .takeovers()
        .into_iter()
        .filter(|takeover| !takeover.missing.is_empty())
        .collect();
    for takeover in &lost {
        record.note(&format!(
            "{} was promoted with a log up to {}, without {} writes that consumers had been told are done",
            takeover.database,
            takeover.end,
            takeover.missing.len()
        ));
    }
    Ok(!lost.is_empty())
}

/// All machines lose power, and the service's first primary is lost for good at the same moment.
fn play_unknown_primary(is_troubled: bool, record: &Record) -> CaseResult {
    const POWER_LOSS: Duration = Duration::from_millis(3_500);
    const RECOVERY: Duration = Duration::from_secs(12);
    const WATCHED: Duration = Duration::from_secs(50);
    let first = ConfigurationParts {
        version: 7,
        timeout_ms: 1_000,
        hosts: &[HOST],
        tenants: &[(TENANT, &[KEY])],
    };
    let mut deployment = Deployment::start(configuration(&first), record)?;
    let service = deployment.service.clone();
    let traffic = Traffic::start(&deployment);
    let started_at = Instant::now();
    thread::sleep(Duration::from_millis(4_000));
    record.note("all machines lose power");
    if is_troubled {
        service.wait_until_ping_is_due(0);
        service.crash(0);
    }
    let failed_at = Instant::now();
    for proxy in &mut deployment.proxies {
        proxy.kill();
    }
    let (sent, served) = traffic.count(started_at, failed_at);
    record.note(&format!("before: {served} of {sent} requests were served"));
    thread::sleep(POWER_LOSS);
    for proxy in &mut deployment.proxies {
        proxy.start_again()?;
    }
    let back_at = Instant::now();
    record.note("the machines are back");
    let judged_from = back_at + RECOVERY;
    sleep_until(judged_from);
    thread::sleep(WATCHED);
    let (sent, served) = traffic.count(judged_from, Instant::now());
    traffic.stop();
    let calls = deployment.duty.calls.lock().unwrap().len();
    record.note(&format!(
        "from {} s to {} s after the machines were back, {served} of {sent} requests were served; \
         {calls} promotions were requested",
        RECOVERY.as_secs(),
        (RECOVERY + WATCHED).as_secs()
    ));
    Ok(served * 4 < sent)
}
