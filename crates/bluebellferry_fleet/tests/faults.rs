//! Failover, network partitions, store outages, drains and rate limits in running
//! environments. The history checker checks what the callers wrote and read.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use bluebellferry_history::checker;
use bluebellferry_history::event;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const SERVICE: &str = "rental-core";
const LAUNCHER: process::Launcher = process::Launcher::SiblingBinaries;

/// Background tasks that write rows and read them back until they are stopped.
///
/// Each caller connects to the next proxy when its connection is closed.
struct Callers {
    stop: Arc<AtomicBool>,
    events: Arc<Mutex<Vec<event::CallerEvent>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    fn start(fleet: &fleet::Fleet, count: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let events = Arc::new(Mutex::new(Vec::new()));
        let next_row = Arc::new(AtomicU64::new(1));
        let start = Instant::now();
        let mut tasks = Vec::new();
        for session in 0..count {
            let proxies = fleet.proxies.len();
            let configs = (0..proxies).map(|proxy| fleet.caller_config(proxy, "families", SERVICE));
            let caller = Caller {
                session,
                configs: configs.collect(),
                next_proxy: session as usize,
                client: None,
                last_acknowledged: None,
                start,
                next_row: Arc::clone(&next_row),
                events: Arc::clone(&events),
            };
            tasks.push(tokio::spawn(caller.run(Arc::clone(&stop))));
        }
        Self {
            stop,
            events,
            tasks,
        }
    }

    /// Stops the callers and returns all recorded events.
    async fn finish(self) -> Result<Vec<event::CallerEvent>, Box<dyn std::error::Error>> {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await?;
        }
        Ok(std::mem::take(
            &mut *self.events.lock().unwrap_or_else(PoisonError::into_inner),
        ))
    }

    fn count_acknowledged(&self) -> usize {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.iter().filter(|event| is_acknowledged(event)).count()
    }

    /// Waits until `additional` more writes have been acknowledged.
    ///
    /// # Errors
    /// Fails when that takes more than 30 s.
    async fn wait_for_writes(&self, additional: usize) -> TestResult {
        let target = self.count_acknowledged() + additional;
        for _ in 0..3_000 {
            if self.count_acknowledged() >= target {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err("too few writes were acknowledged within 30 s".into())
    }
}

fn is_acknowledged(event: &event::CallerEvent) -> bool {
    let acknowledged = event::WriteOutcome::Acknowledged;
    matches!(event, event::CallerEvent::Write { outcome, .. } if *outcome == acknowledged)
}

/// One caller, which runs one write and one read of its own row at a time.
struct Caller {
    session: u64,
    configs: Vec<tokio_postgres::Config>,
    next_proxy: usize,
    client: Option<tokio_postgres::Client>,
    last_acknowledged: Option<u64>,
    start: Instant,
    next_row: Arc<AtomicU64>,
    events: Arc<Mutex<Vec<event::CallerEvent>>>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::SeqCst) {
            if self
                .client
                .as_ref()
                .is_none_or(tokio_postgres::Client::is_closed)
            {
                self.connect().await;
            }
            self.write().await;
            self.read().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn elapsed_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn record(&self, event: event::CallerEvent) {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }

    async fn connect(&mut self) {
        let config = &self.configs[self.next_proxy % self.configs.len()];
        self.next_proxy += 1;
        let connected =
            tokio::time::timeout(Duration::from_secs(2), fleet::connect_with(config)).await;
        self.client = connected.ok().and_then(Result::ok);
        if let Some(client) = &self.client {
            client
                .batch_execute("SET bluebellferry.read = 'catalogue'")
                .await
                .ok();
        } else {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn write(&mut self) {
        let Some(client) = &self.client else { return };
        let row = self.next_row.fetch_add(1, Ordering::Relaxed);
        let started_us = self.elapsed_us();
        let sql = format!("INSERT INTO booking VALUES ({row}, 'skis')");
        let result = tokio::time::timeout(Duration::from_secs(20), client.simple_query(&sql)).await;
        let outcome = match result {
            Ok(Ok(_)) => event::WriteOutcome::Acknowledged,
            Ok(Err(error)) => outcome_of_error(&error),
            Err(_) => {
                self.client = None;
                event::WriteOutcome::Unknown
            }
        };
        if outcome == event::WriteOutcome::Acknowledged {
            self.last_acknowledged = Some(row);
        }
        let (session, ended_us) = (self.session, self.elapsed_us());
        self.record(event::CallerEvent::Write {
            session,
            row,
            started_us,
            ended_us,
            outcome,
        });
    }

    async fn read(&mut self) {
        let (Some(client), Some(row)) = (&self.client, self.last_acknowledged) else {
            return;
        };
        let started_us = self.elapsed_us();
        let sql = format!("SELECT count(*) FROM booking WHERE id = {row}");
        let result = tokio::time::timeout(Duration::from_secs(20), client.simple_query(&sql)).await;
        let Ok(Ok(messages)) = result else { return };
        let found = messages.iter().any(|message| {
            matches!(message, tokio_postgres::SimpleQueryMessage::Row(row) if row.get(0) == Some("1"))
        });
        let session = self.session;
        self.record(event::CallerEvent::Read {
            session,
            row,
            started_us,
            found,
        });
    }
}

/// Returns the outcome of a write that failed with an error: it is known not to
/// have run only if the error's detail says so.
fn outcome_of_error(error: &tokio_postgres::Error) -> event::WriteOutcome {
    let detail = error
        .as_db_error()
        .and_then(tokio_postgres::error::DbError::detail);
    match detail {
        Some(detail) if detail.contains("execution=not_run") => event::WriteOutcome::NotRun,
        _ => event::WriteOutcome::Unknown,
    }
}

/// Starts an environment and creates the table that all tests use.
async fn start_fleet(plan: plan::FleetPlan) -> Result<fleet::Fleet, Box<dyn std::error::Error>> {
    let fleet = fleet::Fleet::start(plan, &LAUNCHER).await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("CREATE TABLE booking (id BIGINT, gear TEXT)")
        .await?;
    Ok(fleet)
}

/// Checks the callers' events against the rows of the current primary, and that
/// more than 20 writes were acknowledged.
async fn check_events(
    fleet: &fleet::Fleet,
    proxy: usize,
    events: &[event::CallerEvent],
) -> TestResult {
    let primary = fleet.find_primary(proxy, 0).await?;
    let client = fleet.connect_database(primary).await?;
    let mut rows = Vec::new();
    for message in client.simple_query("SELECT id FROM booking").await? {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            rows.extend(row.get(0).and_then(|id| id.parse::<u64>().ok()));
        }
    }
    assert_eq!(checker::check_history(events, &rows), []);
    assert!(events.iter().filter(|event| is_acknowledged(event)).count() > 20);
    Ok(())
}

async fn wait_for_other_primary(
    fleet: &fleet::Fleet,
    proxy: usize,
    previous_primary: usize,
) -> TestResult {
    for _ in 0..1_000 {
        if fleet
            .find_primary(proxy, 0)
            .await
            .is_ok_and(|primary| primary != previous_primary)
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err("no other database became primary within 10 s".into())
}

#[tokio::test]
async fn acknowledged_writes_survive_a_killed_primary() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(100).await?;
    let primary = fleet.find_primary(0, 0).await?;
    fleet.databases[primary].process.kill().await?;
    wait_for_other_primary(&fleet, 0, primary).await?;
    callers.wait_for_writes(100).await?;
    check_events(&fleet, 0, &callers.finish().await?).await
}

#[tokio::test]
async fn a_primary_resumed_after_its_replacement_acknowledges_nothing() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(100).await?;
    let primary = fleet.find_primary(0, 0).await?;
    fleet.databases[primary].process.suspend()?;
    wait_for_other_primary(&fleet, 0, primary).await?;
    callers.wait_for_writes(50).await?;
    fleet.databases[primary].process.resume()?;
    callers.wait_for_writes(200).await?;
    check_events(&fleet, 0, &callers.finish().await?).await
}

#[tokio::test]
async fn a_primary_cut_off_from_its_replicas_acknowledges_nothing() -> TestResult {
    let mut plan = plan::FleetPlan::small();
    plan.has_cuttable_links = true;
    let fleet = start_fleet(plan).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(100).await?;
    let primary = fleet.find_primary(0, 0).await?;
    fleet.set_data_centre_cut(fleet.databases[primary].member, true, false);
    wait_for_other_primary(&fleet, 0, primary).await?;
    callers.wait_for_writes(50).await?;
    fleet.set_data_centre_cut(fleet.databases[primary].member, false, false);
    callers.wait_for_writes(200).await?;
    check_events(&fleet, 0, &callers.finish().await?).await
}

#[tokio::test]
async fn a_primary_is_replaced_during_a_store_outage() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(50).await?;
    fleet
        .set_store_faults(serde_json::json!({"outage": true}))
        .await?;
    let primary = fleet.find_primary(0, 0).await?;
    fleet.databases[primary].process.kill().await?;
    wait_for_other_primary(&fleet, 0, primary).await?;
    callers.wait_for_writes(100).await?;
    fleet.set_store_faults(serde_json::json!({})).await?;
    check_events(&fleet, 0, &callers.finish().await?).await
}

#[tokio::test]
async fn a_killed_proxy_loses_no_acknowledged_write_and_its_open_transaction_is_rolled_back()
-> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let unfinished = fleet.connect(0, "counter", SERVICE).await?;
    unfinished
        .batch_execute("BEGIN; INSERT INTO booking VALUES (999999999, 'half')")
        .await?;
    let killed_at = Instant::now();
    fleet.proxies[0].process.kill().await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(200).await?;
    let events = callers.finish().await?;
    check_events(&fleet, 1, &events).await?;
    let observer = fleet.connect(1, "counter", SERVICE).await?;
    let count = observer
        .query_one("SELECT count(*) FROM booking WHERE id = 999999999", &[])
        .await?;
    assert_eq!(
        count.get::<_, i64>(0),
        0,
        "the open transaction's row exists {:?} after the kill",
        killed_at.elapsed()
    );
    Ok(())
}

#[tokio::test]
async fn a_killed_proxy_and_a_killed_primary_together_lose_no_acknowledged_write() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(100).await?;
    let primary = fleet.find_primary(1, 0).await?;
    fleet.databases[primary].process.kill().await?;
    fleet.proxies[0].process.kill().await?;
    wait_for_other_primary(&fleet, 1, primary).await?;
    callers.wait_for_writes(100).await?;
    check_events(&fleet, 1, &callers.finish().await?).await
}

#[tokio::test]
async fn an_orderly_shutdown_lets_open_transactions_finish() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let mut busy = fleet.connect(0, "families", SERVICE).await?;
    let idle = fleet.connect(0, "families", SERVICE).await?;
    idle.simple_query("SELECT 1").await?;
    let transaction = busy.transaction().await?;
    transaction
        .execute("INSERT INTO booking VALUES (1, 'skis')", &[])
        .await?;
    fleet.proxies[0].process.request_shutdown()?;
    for _ in 0..500 {
        if idle.is_closed() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(
        idle.is_closed(),
        "the idle session was not closed within 5 s"
    );
    transaction
        .execute("INSERT INTO booking VALUES (2, 'boots')", &[])
        .await?;
    transaction.commit().await?;
    assert!(
        fleet.proxies[0].process.wait().await?,
        "the proxy exited with an error"
    );
    let other = fleet.connect(1, "families", SERVICE).await?;
    let count = other.query_one("SELECT count(*) FROM booking", &[]).await?;
    assert_eq!(count.get::<_, i64>(0), 2);
    Ok(())
}

#[tokio::test]
async fn a_draining_replica_gets_no_new_reads() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let reader = fleet.connect(0, "families", SERVICE).await?;
    reader
        .batch_execute("SET bluebellferry.read = 'catalogue'")
        .await?;
    let primary = fleet.find_primary(0, 0).await?;
    let draining = (0..3).find(|index| *index != primary).ok_or("no replica")?;
    let control = fleet.connect_database(draining).await?;
    control
        .simple_query("SELECT * FROM bluebellferry_set('leaving', 1)")
        .await?;
    for _ in 0..300 {
        let status = fleet.fetch_status(0).await?;
        if status["services"][0]["databases"][draining]["leaving"] == true {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let count_booking_statements = |fleet: &fleet::Fleet| -> std::io::Result<usize> {
        let bytes = std::fs::read(&fleet.databases[draining].received_log)?;
        Ok(bytes
            .windows(7)
            .filter(|window| *window == b"booking")
            .count())
    };
    let before = count_booking_statements(&fleet)?;
    for _ in 0..50 {
        reader.simple_query("SELECT count(*) FROM booking").await?;
    }
    assert_eq!(count_booking_statements(&fleet)?, before);
    Ok(())
}

#[tokio::test]
async fn a_key_withdrawn_during_a_store_outage_ends_its_sessions() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let idle = fleet.connect(1, "families", SERVICE).await?;
    let in_transaction = fleet.connect(1, "families", SERVICE).await?;
    let running = fleet.connect(1, "families", SERVICE).await?;
    let observer = fleet.connect(1, "counter", SERVICE).await?;
    in_transaction
        .batch_execute("BEGIN; INSERT INTO booking VALUES (1, 'skis')")
        .await?;
    let running_request =
        tokio::spawn(async move { running.simple_query("SELECT pg_sleep(60)").await });
    fleet
        .set_store_faults(serde_json::json!({"outage": true}))
        .await?;
    // The key is withdrawn at the first proxy; the callers use the second.
    let digest = key_digest(&plan::FleetPlan::api_key_of("families"));
    let url = format!(
        "http://{}/v1/keys/families/{digest}",
        fleet.proxies[0].admin
    );
    let http = reqwest::Client::new();
    let response = http
        .delete(url)
        .bearer_auth(fleet::OPERATOR_TOKEN)
        .send()
        .await?;
    assert_eq!(response.status().as_u16(), 202);
    for _ in 0..500 {
        if idle.is_closed() && in_transaction.is_closed() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(idle.is_closed() && in_transaction.is_closed());
    assert!(
        running_request.await?.is_err(),
        "the running request succeeded"
    );
    assert!(fleet.connect(1, "families", SERVICE).await.is_err());
    let count = observer
        .query_one("SELECT count(*) FROM booking", &[])
        .await?;
    assert_eq!(
        count.get::<_, i64>(0),
        0,
        "the open transaction was not rolled back"
    );
    // When the store is available again, the withdrawal is written to it, and the
    // key stays invalid.
    fleet.set_store_faults(serde_json::json!({})).await?;
    for _ in 0..500 {
        let object = fleet.store.get("environments/trial/keys/families").await?;
        if object.value["keys"].as_array().is_some_and(Vec::is_empty) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let object = fleet.store.get("environments/trial/keys/families").await?;
    assert_eq!(object.value["keys"], serde_json::json!([]));
    assert!(fleet.connect(1, "families", SERVICE).await.is_err());
    Ok(())
}

fn key_digest(key: &str) -> String {
    String::from(bluebellferry_keys::digest::KeyDigest::compute(key))
}

#[tokio::test]
async fn a_vm_started_during_a_store_outage_gets_its_configuration_from_other_vms() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    fleet
        .set_store_faults(serde_json::json!({"outage": true}))
        .await?;
    fleet.proxies[1].process.kill().await?;
    fleet.proxies[1].process.restart()?;
    let mut is_served = false;
    for _ in 0..500 {
        if let Ok(client) = fleet.connect(1, "families", SERVICE).await {
            is_served = client
                .simple_query("SELECT count(*) FROM booking")
                .await
                .is_ok();
        }
        if is_served {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(is_served, "the restarted VM did not serve any caller");
    Ok(())
}

/// How long a VM may use an outdated document or a withdrawn key after a change.
const MAX_ACTIVATION_TIME: Duration = Duration::from_secs(3);

/// The pauses before changes of the document, so that these come at different times after the
/// store was last listed.
const CHANGE_PAUSES_MS: [u64; 4] = [0, 300, 900, 1_700];

/// Changes the document several times while the store has `faults`, and waits each time until the
/// document is active on all VMs.
async fn activate_documents_with_faults(faults: serde_json::Value) -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    fleet.set_store_faults(faults).await?;
    let mut document = fleet.plan.document_text();
    for (version, pause_ms) in (2..).zip(CHANGE_PAUSES_MS) {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        document.push(' ');
        let changed_at = Instant::now();
        fleet.put_document(&document, version - 1).await?;
        for proxy in 0..2 {
            while fleet.fetch_status(proxy).await?["document_version"] != version {
                let elapsed = changed_at.elapsed();
                assert!(
                    elapsed < MAX_ACTIVATION_TIME,
                    "proxy {proxy}, version {version}: {elapsed:?}"
                );
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn a_document_is_activated_although_store_watches_stall() -> TestResult {
    activate_documents_with_faults(serde_json::json!({"stall_watches": true})).await
}

// Guards against VMs that use an outdated document because the answers to their watches are lost
// on connections that stay open.
#[tokio::test]
async fn a_document_is_activated_although_answers_to_store_watches_are_lost() -> TestResult {
    activate_documents_with_faults(serde_json::json!({"lose_watch_answers": true})).await
}

#[tokio::test]
async fn an_invalid_document_never_replaces_a_valid_one() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    fleet.put_document("{\"format\": 1}", 1).await?;
    for _ in 0..500 {
        if !fleet.fetch_status(0).await?["document_fault"].is_null() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let status = fleet.fetch_status(0).await?;
    assert!(
        status["document_fault"]
            .as_str()
            .is_some_and(|fault| fault.contains("missing field"))
    );
    assert_eq!(status["document_version"], 1);
    fleet
        .connect(0, "families", SERVICE)
        .await?
        .simple_query("SELECT 1")
        .await?;
    Ok(())
}

#[tokio::test]
async fn the_rate_limit_holds_over_both_proxies_together() -> TestResult {
    let mut plan = plan::FleetPlan::small();
    plan.workspaces[0].rate_per_second = 100.0;
    plan.workspaces[0].burst = 50.0;
    let fleet = start_fleet(plan).await?;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for session in 0..8 {
        let client = fleet.connect(session % 2, "families", SERVICE).await?;
        tasks.push(tokio::spawn(async move {
            let mut admitted = Vec::new();
            while start.elapsed() < Duration::from_secs(4) {
                let sent_us = start.elapsed().as_micros() as u64;
                match client.simple_query("SELECT 1").await {
                    Ok(_) => admitted.push(sent_us),
                    Err(error) => {
                        let code = error.code().map_or("", |code| code.code()).to_owned();
                        assert_eq!(code, "53400");
                    }
                }
            }
            admitted
        }));
    }
    let mut count = 0;
    for task in tasks {
        count += task.await?.len();
    }
    // The time of admission lies between request and answer and isn't known
    // exactly, so only the total over the whole run is checked.
    let allowed = 50.0 + 100.0 * start.elapsed().as_secs_f64();
    assert!(
        count as f64 <= allowed,
        "{count} admitted, {allowed} allowed"
    );
    assert!(count > 100, "{count} admitted");
    Ok(())
}

#[tokio::test]
async fn a_repeated_request_runs_once_and_gets_the_first_outcome() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let first = fleet.connect(0, "families", SERVICE).await?;
    let second = fleet.connect(1, "families", SERVICE).await?;
    let other = fleet.connect(1, "counter", SERVICE).await?;
    let sql = "/* bluebellferry.request_id=pay-7 */ INSERT INTO booking VALUES (7, 'paid')";
    for client in [&first, &second, &first] {
        assert_eq!(client.execute(sql, &[]).await?, 1);
        client.simple_query(sql).await?;
    }
    // Request ids are scoped to a workspace, so the other workspace's request runs.
    assert_eq!(other.execute(sql, &[]).await?, 1);
    let count = first
        .query_one("SELECT count(*) FROM booking WHERE id = 7", &[])
        .await?;
    assert_eq!(count.get::<_, i64>(0), 2);
    // A failed request counts as not run, so the next request with its id runs.
    let failing = "/* bluebellferry.request_id=pay-8 */ INSERT INTO absent VALUES (8)";
    assert!(first.simple_query(failing).await.is_err());
    let corrected = "/* bluebellferry.request_id=pay-8 */ INSERT INTO booking VALUES (8, 'paid')";
    first.simple_query(corrected).await?;
    // In a transaction of the caller, the repeated request is refused with
    // `execution=ran`, and there is still only one row after the rollback.
    first.batch_execute("BEGIN").await?;
    let refused = first.simple_query(corrected).await;
    let detail = refused
        .as_ref()
        .err()
        .and_then(|error| error.as_db_error()?.detail());
    assert!(
        detail.is_some_and(|detail| detail.contains("execution=ran")),
        "{refused:?}"
    );
    first.batch_execute("ROLLBACK").await?;
    let count = first
        .query_one("SELECT count(*) FROM booking WHERE id = 8", &[])
        .await?;
    assert_eq!(count.get::<_, i64>(0), 1);
    Ok(())
}

#[tokio::test]
async fn requests_that_are_retried_with_their_id_run_exactly_once() -> TestResult {
    let mut fleet = start_fleet(plan::FleetPlan::small()).await?;
    let mut tasks = Vec::new();
    for caller in 0..6_u64 {
        let configs: Vec<_> = (0..2)
            .map(|proxy| fleet.caller_config(proxy, "families", SERVICE))
            .collect();
        tasks.push(tokio::spawn(async move {
            let mut client = None;
            let mut proxy_number = caller as usize;
            for number in 0..60 {
                let row = caller * 1_000 + number;
                let sql = format!(
                    "/* bluebellferry.request_id=pay-{row} */ INSERT INTO booking VALUES ({row}, 'paid')"
                );
                for _ in 0..2_000 {
                    if client.as_ref().is_none_or(tokio_postgres::Client::is_closed) {
                        proxy_number += 1;
                        client = fleet::connect_with(&configs[proxy_number % 2]).await.ok();
                    }
                    let Some(open) = &client else {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    };
                    let sent = tokio::time::timeout(Duration::from_secs(10), open.simple_query(&sql));
                    match sent.await {
                        Ok(Ok(_)) => break,
                        Ok(Err(_)) => tokio::time::sleep(Duration::from_millis(20)).await,
                        Err(_) => client = None,
                    }
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let primary = fleet.find_primary(1, 0).await?;
    fleet.databases[primary].process.kill().await?;
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.proxies[0].process.kill().await?;
    for task in tasks {
        task.await?;
    }
    let observer = fleet.connect(1, "families", SERVICE).await?;
    let counted = observer
        .query_one("SELECT count(*), count(DISTINCT id) FROM booking", &[])
        .await?;
    assert_eq!(
        (counted.get::<_, i64>(0), counted.get::<_, i64>(1)),
        (360, 360)
    );
    Ok(())
}

#[tokio::test]
async fn a_draining_primary_is_replaced_without_failed_writes() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let mut busy = fleet.connect(0, "counter", SERVICE).await?;
    let callers = Callers::start(&fleet, 8);
    callers.wait_for_writes(100).await?;
    let transaction = busy.transaction().await?;
    transaction
        .query("SELECT count(*) FROM booking", &[])
        .await?;
    let primary = fleet.find_primary(0, 0).await?;
    let control = fleet.connect_database(primary).await?;
    control
        .simple_query("SELECT * FROM bluebellferry_set('leaving', 1)")
        .await?;
    tokio::time::sleep(Duration::from_millis(600)).await;
    transaction
        .query("SELECT count(*) FROM booking", &[])
        .await?;
    transaction.commit().await?;
    wait_for_other_primary(&fleet, 0, primary).await?;
    callers.wait_for_writes(100).await?;
    let events = callers.finish().await?;
    let unacknowledged = events.iter().filter(|event| {
        let acknowledged = event::WriteOutcome::Acknowledged;
        matches!(event, event::CallerEvent::Write { outcome, .. } if *outcome != acknowledged)
    });
    assert_eq!(
        unacknowledged.count(),
        0,
        "writes failed during a planned failover"
    );
    check_events(&fleet, 0, &events).await
}

#[tokio::test]
async fn vms_that_do_not_watch_the_store_get_documents_from_those_that_do() -> TestResult {
    let mut plan = plan::FleetPlan::small();
    plan.data_centres[0].vm_count = 5;
    let mut fleet = start_fleet(plan).await?;
    fleet
        .put_document(&(fleet.plan.document_text() + " "), 1)
        .await?;
    wait_for_version(&fleet, &[0, 1, 2, 3, 4, 5], 2).await?;
    // Kill the two VMs of the first data centre that watch the store; two others
    // of that data centre take over watching.
    fleet.proxies[0].process.kill().await?;
    fleet.proxies[1].process.kill().await?;
    fleet
        .put_document(&(fleet.plan.document_text() + "  "), 2)
        .await?;
    wait_for_version(&fleet, &[2, 3, 4, 5], 3).await
}

async fn wait_for_version(fleet: &fleet::Fleet, proxies: &[usize], version: u64) -> TestResult {
    for proxy in proxies {
        let mut known_version = 0;
        for _ in 0..1_000 {
            known_version = fleet.fetch_status(*proxy).await?["document_version"]
                .as_u64()
                .unwrap_or(0);
            if known_version >= version {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(known_version, version, "proxy {proxy}");
    }
    Ok(())
}

/// A replica may be promoted while the proxy has connections to it that it opened
/// for reads. Such a connection must refuse writes, so the proxy sets it to
/// read-only; the caller's own writes still reach the primary.
#[tokio::test]
async fn connections_to_replicas_are_set_to_read_only() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let reader = fleet.connect(0, "families", SERVICE).await?;
    reader
        .batch_execute("SET bluebellferry.read = 'catalogue'")
        .await?;
    for _ in 0..500 {
        reader.simple_query("SELECT count(*) FROM booking").await?;
        if fleet
            .sum_counter(0, "bluebellferry_requests_total", "replica")
            .await?
            > 0.0
        {
            break;
        }
    }
    let primary = fleet.find_primary(0, 0).await?;
    let mut read_only_replicas = 0;
    for database in fleet
        .databases
        .iter()
        .filter(|database| database.member != primary)
    {
        let bytes = std::fs::read(&database.received_log)?;
        let statement = b"SET default_transaction_read_only = on";
        read_only_replicas += usize::from(
            bytes
                .windows(statement.len())
                .any(|window| window == statement),
        );
    }
    assert!(
        read_only_replicas > 0,
        "no replica received the statement that makes a connection read-only"
    );
    reader
        .simple_query("INSERT INTO booking VALUES (1, 'skis')")
        .await?;
    let count = reader
        .query_one("SELECT count(*) FROM booking", &[])
        .await?;
    assert_eq!(count.get::<_, i64>(0), 1);
    Ok(())
}

/// Guards against statements that run inside the transaction of another caller: a replica refused
/// a write that came together with its BEGIN, the request was sent again to the primary, and the
/// connection with the failed transaction went back into the pool.
#[tokio::test]
async fn connection_whose_transaction_failed_at_a_replica_is_not_reused() -> TestResult {
    let fleet = start_fleet(plan::FleetPlan::small()).await?;
    let count = async |name: &str, labels: &str| fleet.sum_counter(0, name, labels).await;
    let is_refused = async || count("bluebellferry_retries_total", "replica_refused_write").await;
    let replica_reads = async || count("bluebellferry_requests_total", "replica").await;
    let connect = async || {
        let client = fleet.connect(0, "families", SERVICE).await?;
        let choose_replicas = "SET bluebellferry.read = 'catalogue'";
        client.batch_execute(choose_replicas).await?;
        Ok::<_, Box<dyn std::error::Error>>(client)
    };
    for number in 0..100 {
        let client = connect().await?;
        let insert = format!("BEGIN; INSERT INTO booking VALUES ({number}, 'skis')");
        client.simple_query(&insert).await?;
        client.simple_query("ROLLBACK").await?;
        if is_refused().await? > 0.0 {
            break;
        }
    }
    assert!(is_refused().await? > 0.0, "no replica refused a write");
    for _ in 0..500 {
        let client = connect().await?;
        client.simple_query("SELECT count(*) FROM booking").await?;
        if replica_reads().await? >= 10.0 {
            break;
        }
    }
    assert!(replica_reads().await? >= 10.0, "no replica served reads");
    Ok(())
}
