//! Keys and services that are taken from callers while they have transactions open or requests in
//! flight, against the real programs: the second table in docs/design/access.md.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use bluebellferry_keys::digest;
use futures_util::stream::FuturesUnordered;
use futures_util::stream::StreamExt;
use rand::Rng;
use rand::SeedableRng;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const SERVICE: &str = "rental-core";
/// The maximum time until a change is in force, and running requests are cut.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

async fn start_fleet() -> Result<fleet::Fleet, Box<dyn std::error::Error>> {
    let plan = plan::FleetPlan::small();
    let fleet = fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await?;
    let client = fleet.connect(0, "counter", SERVICE).await?;
    let sql = "CREATE TABLE booking (id INTEGER PRIMARY KEY, item TEXT)";
    client.batch_execute(sql).await?;
    Ok(fleet)
}

fn key_digest(workspace: &str) -> String {
    let key = plan::FleetPlan::api_key_of(workspace);
    String::from(digest::KeyDigest::compute(&key))
}

/// Writes the keys of a workspace to the store.
async fn put_keys(
    fleet: &fleet::Fleet,
    workspace: &str,
    expected_version: u64,
    digests: &[String],
) -> TestResult {
    let record = |digest: &String| serde_json::json!({"digest": digest, "label": "any"});
    let keys: Vec<_> = digests.iter().map(record).collect();
    let object = format!("environments/trial/keys/{workspace}");
    let value = serde_json::json!({"keys": keys});
    fleet.store.put(&object, expected_version, value).await?;
    Ok(())
}

async fn wait_until_closed(client: &tokio_postgres::Client) {
    let started = Instant::now();
    while !client.is_closed() {
        assert!(started.elapsed() < APPLY_LIMIT, "the session goes on");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn count_bookings(fleet: &fleet::Fleet) -> Result<i64, Box<dyn std::error::Error>> {
    let observer = fleet.connect(0, "counter", SERVICE).await?;
    let row = observer.query_one("SELECT count(*) FROM booking", &[]);
    Ok(row.await?.get(0))
}

/// Guards against a caller that pipelines its requests and so outlives its key: the key was checked
/// only between two requests, and there was always a next one.
#[tokio::test]
async fn a_pipelining_session_ends_when_its_key_is_withdrawn() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let mut running = FuturesUnordered::new();
    for _ in 0..4 {
        running.push(client.simple_query("SELECT pg_sleep(0.02)"));
    }
    let mut withdrawn_at = None;
    let started = Instant::now();
    while let Some(result) = running.next().await {
        if let Err(error) = result {
            assert!(withdrawn_at.is_some(), "{error:?}");
            let code = error.code().map(tokio_postgres::error::SqlState::code);
            assert!(error.is_closed() || code == Some("57P01"), "{error:?}");
            continue;
        }
        if withdrawn_at.is_none() && started.elapsed() > Duration::from_millis(300) {
            put_keys(&fleet, "families", 1, &[]).await?;
            withdrawn_at = Some(Instant::now());
        }
        let elapsed = withdrawn_at.map_or(Duration::ZERO, |at| at.elapsed());
        assert!(elapsed < APPLY_LIMIT, "the session goes on");
        running.push(client.simple_query("SELECT pg_sleep(0.02)"));
    }
    Ok(())
}

/// Guards against a key that its new workspace cannot use, and a transaction that goes on for the
/// former one, whichever of the two updates arrives first.
#[tokio::test]
async fn a_key_that_passes_on_ends_the_transactions_of_its_former_workspace() -> TestResult {
    for is_given_first in [false, true] {
        let fleet = start_fleet().await?;
        let client = fleet.connect(0, "families", SERVICE).await?;
        client
            .batch_execute("BEGIN; INSERT INTO booking VALUES (1, 'skis')")
            .await?;
        let both = [key_digest("counter"), key_digest("families")];
        if is_given_first {
            put_keys(&fleet, "counter", 1, &both).await?;
            put_keys(&fleet, "families", 1, &[]).await?;
        } else {
            put_keys(&fleet, "families", 1, &[]).await?;
            put_keys(&fleet, "counter", 1, &both).await?;
        }
        wait_until_closed(&client).await;
        assert_eq!(count_bookings(&fleet).await?, 0);
        let started = Instant::now();
        while fleet.connect(0, "families", SERVICE).await.is_err() {
            assert!(started.elapsed() < APPLY_LIMIT, "the key stays refused");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(())
}

/// Guards against a session that is told that its key was withdrawn when its workspace lost the
/// service.
#[tokio::test]
async fn a_session_whose_service_was_taken_is_told_so() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("BEGIN; INSERT INTO booking VALUES (1, 'skis')")
        .await?;
    let mut document: serde_json::Value = serde_json::from_str(&fleet.plan.document_text())?;
    document["workspaces"]["families"]["services"] = serde_json::json!([]);
    let document = document.to_string();
    let running = client.simple_query("SELECT pg_sleep(60)");
    let changing = fleet.put_document(&document, 1);
    let (result, changed) = tokio::join!(running, changing);
    changed?;
    let error = result.err().ok_or("the running request succeeded")?;
    let database_error = error.as_db_error().ok_or("no answer arrived")?;
    assert_eq!(database_error.code().code(), "42501", "{database_error:?}");
    wait_until_closed(&client).await;
    assert_eq!(count_bookings(&fleet).await?, 0);
    assert!(fleet.connect(0, "families", SERVICE).await.is_err());
    Ok(())
}

/// Guards against a request that is cut while it runs, whose caller is told that it has not run.
#[tokio::test]
async fn a_request_that_is_cut_is_not_said_to_have_had_no_effect() -> TestResult {
    let fleet = start_fleet().await?;
    for (begin, expected) in [("", "execution=unknown"), ("BEGIN", "execution=not_run")] {
        let workspace = if begin.is_empty() {
            "families"
        } else {
            "counter"
        };
        let client = fleet.connect(0, workspace, SERVICE).await?;
        client.batch_execute(begin).await?;
        let running = client.simple_query("SELECT pg_sleep(60)");
        let changing = put_keys(&fleet, workspace, 1, &[]);
        let (result, changed) = tokio::join!(running, changing);
        changed?;
        let error = result.err().ok_or("the running request succeeded")?;
        let database_error = error.as_db_error().ok_or("no answer arrived")?;
        assert_eq!(database_error.code().code(), "57P01", "{database_error:?}");
        let detail = database_error.detail().unwrap_or_default();
        assert!(detail.ends_with(expected), "{begin}: {detail}");
    }
    Ok(())
}

/// How long the seeded schedule runs.
const SCHEDULE_TIME: Duration = Duration::from_secs(14);
/// The time after which a change must be in force on every VM.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(3);
/// The pause between two changes, in milliseconds; some changes are in force for longer than
/// `ACTIVATION_LIMIT`.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 0..5_000;
/// The pause between two statements of a transaction, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 0..900;
/// The environment variable that overrides the seed.
const SEED_VARIABLE: &str = "BLUEBELLFERRY_SEED";

/// What the store says about the callers from an instant on.
#[derive(Debug, Clone, Copy)]
struct AccessChange {
    sent_at: Instant,
    confirmed_at: Instant,
    /// The workspace that has the callers' key.
    owner: Option<&'static str>,
    /// Whether families may use the service. Counter always may.
    has_service: bool,
}

impl AccessChange {
    fn allows(&self, workspace: &str) -> bool {
        self.owner == Some(workspace) && (self.has_service || workspace != "families")
    }
}

/// Returns the versions that VMs may have used within a span of time.
fn versions_between(changes: &[AccessChange], from: Instant, to: Instant) -> Vec<AccessChange> {
    let applied = changes
        .iter()
        .rposition(|change| change.confirmed_at + ACTIVATION_LIMIT < from);
    let possible = changes[applied.unwrap_or(0)..].iter();
    let possible = possible.filter(|change| change.sent_at < to);
    possible.copied().collect()
}

/// A statement of a session, with the code of its refusal.
#[derive(Debug)]
struct RecordedStatement {
    opened_at: Instant,
    logged_in_at: Instant,
    sent_at: Instant,
    ended_at: Instant,
    code: Option<String>,
}

impl RecordedStatement {
    /// Returns whether a version in which something was gone may have been in force during the
    /// session, up to the end of the statement.
    fn follows_loss(&self, changes: &[AccessChange], is_lost: fn(&AccessChange) -> bool) -> bool {
        changes.iter().enumerate().any(|(index, change)| {
            let next = changes.get(index + 1);
            let is_recent =
                next.is_none_or(|next| next.confirmed_at + ACTIVATION_LIMIT > self.opened_at);
            is_lost(change) && is_recent && change.sent_at < self.ended_at
        })
    }

    /// Returns what is wrong with the outcome, if anything.
    fn judge(&self, changes: &[AccessChange]) -> Option<&'static str> {
        match self.code.as_deref() {
            None => {
                // The session is one of the workspace that had the key at its login.
                let at_login = versions_between(changes, self.opened_at, self.logged_in_at);
                let workspaces = at_login.iter().filter_map(|version| version.owner);
                let now = versions_between(changes, self.sent_at, self.ended_at);
                let is_allowed = workspaces
                    .into_iter()
                    .any(|workspace| now.iter().any(|version| version.allows(workspace)));
                (!is_allowed).then_some("it ran although its key or service was gone")
            }
            Some("57P01" | "28P01") => (!self
                .follows_loss(changes, |change| change.owner != Some("families")))
            .then_some("its key was refused, but never gone"),
            Some("42501") => (!self.follows_loss(changes, |change| !change.has_service))
                .then_some("its service was refused, but never taken"),
            Some(_) => Some("it was refused for another reason"),
        }
    }
}

/// Runs transactions with pauses until the schedule ends.
async fn run_transactions(
    fleet: &fleet::Fleet,
    proxy: usize,
    mut random: rand::rngs::StdRng,
    until: Instant,
) -> Vec<RecordedStatement> {
    let mut statements = Vec::new();
    while Instant::now() < until {
        let opened_at = Instant::now();
        let config = fleet.caller_config(proxy, "families", SERVICE);
        let connected = config.connect(tokio_postgres::NoTls).await;
        let logged_in_at = Instant::now();
        let mut record = |sent_at, error: Option<tokio_postgres::Error>| {
            let code = error.map(|error| {
                let code = error.code().map(|code| code.code().to_owned());
                code.unwrap_or_else(|| error.to_string())
            });
            let is_success = code.is_none();
            statements.push(RecordedStatement {
                opened_at,
                logged_in_at,
                sent_at,
                ended_at: Instant::now(),
                code,
            });
            is_success
        };
        let (client, connection) = match connected {
            Ok(connected) => connected,
            Err(error) => {
                record(opened_at, Some(error));
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        // The error that ends a session arrives on its connection, between two statements.
        let ending = tokio::spawn(connection);
        for text in [
            "BEGIN",
            "INSERT INTO booking (item) VALUES ('skis')",
            "SELECT 1",
            "COMMIT",
        ] {
            let sent_at = Instant::now();
            let result = client.simple_query(text).await;
            let Err(error) = result else {
                record(sent_at, None);
                let pause = random.random_range(THINK_TIME_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
                continue;
            };
            let error = if error.is_closed() {
                let ended = ending.await.expect("the connection's task does not panic");
                ended.err().unwrap_or(error)
            } else {
                error
            };
            record(sent_at, Some(error));
            break;
        }
    }
    statements
}

/// Changes the owner of the callers' key and the services of their workspace until the schedule ends.
async fn change_access(
    fleet: &fleet::Fleet,
    mut random: rand::rngs::StdRng,
    until: Instant,
) -> Result<Vec<AccessChange>, Box<dyn std::error::Error>> {
    let started = Instant::now();
    let mut change = AccessChange {
        sent_at: started,
        confirmed_at: started,
        owner: Some("families"),
        has_service: true,
    };
    let mut changes = vec![change];
    let mut versions = [1, 1, 1];
    let digests = [key_digest("families"), key_digest("counter")];
    let mut document: serde_json::Value = serde_json::from_str(&fleet.plan.document_text())?;
    while Instant::now() < until {
        let pause = random.random_range(CHANGE_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        change.sent_at = Instant::now();
        match random.random_range(0..4) {
            // The key goes or comes back; half of the time another workspace has it meanwhile.
            0 | 1 => {
                change.owner = match change.owner {
                    Some("families") => random.random_bool(0.5).then_some("counter"),
                    _ => Some("families"),
                };
                let of_counter = match change.owner {
                    Some("counter") => &digests[..],
                    _ => &digests[1..],
                };
                let of_families = match change.owner {
                    Some("families") => &digests[..1],
                    _ => &[],
                };
                put_keys(fleet, "counter", versions[1], of_counter).await?;
                put_keys(fleet, "families", versions[0], of_families).await?;
                versions[0] += 1;
                versions[1] += 1;
            }
            _ => {
                change.has_service = !change.has_service;
                let services = if change.has_service {
                    vec![SERVICE]
                } else {
                    Vec::new()
                };
                document["workspaces"]["families"]["services"] = serde_json::json!(services);
                fleet
                    .put_document(&document.to_string(), versions[2])
                    .await?;
                versions[2] += 1;
            }
        }
        change.confirmed_at = Instant::now();
        changes.push(change);
    }
    Ok(changes)
}

/// Draws changes of keys and services under open transactions, one right after the other or seconds
/// apart, and tells the forbidden outcomes from the allowed ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sessions_follow_the_changes_of_a_seeded_schedule() -> TestResult {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed: u64 = seed.map_or(Ok(62), |text| text.parse())?;
    println!("{SEED_VARIABLE}={seed}");
    let fleet = start_fleet().await?;
    let random = |number: u64| rand::rngs::StdRng::seed_from_u64(seed.wrapping_mul(100) + number);
    let until = Instant::now() + SCHEDULE_TIME;
    let callers = (0..8).map(|number| {
        let proxy = number as usize % 2;
        run_transactions(&fleet, proxy, random(number), until)
    });
    let callers = futures_util::future::join_all(callers);
    let (changes, statements) = tokio::join!(change_access(&fleet, random(99), until), callers);
    let changes = changes?;
    let statements: Vec<_> = statements.into_iter().flatten().collect();
    let served = statements
        .iter()
        .filter(|statement| statement.code.is_none());
    let (served, total) = (served.count(), statements.len());
    println!(
        "{} changes, {served} of {total} statements served",
        changes.len()
    );
    assert!(served > 20 && served < total, "{served} of {total}");
    for statement in &statements {
        let verdict = statement.judge(&changes);
        assert_eq!(verdict, None, "seed {seed}: {statement:?}\n{changes:#?}");
    }
    Ok(())
}
