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
