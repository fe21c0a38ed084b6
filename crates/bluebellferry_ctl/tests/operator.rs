//! End-to-end tests of `bluebellferry-ctl` and the administration API against
//! running environments.

use std::process::Output;
use std::time::Duration;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;

type TestResult = Result<(), Box<dyn std::error::Error>>;

async fn start(environment: &str) -> Result<fleet::Fleet, fleet::FleetError> {
    let mut plan = plan::FleetPlan::small();
    plan.environment = environment.to_owned();
    fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await
}

async fn ctl(fleet: &fleet::Fleet, arguments: &[&str]) -> std::io::Result<Output> {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_bluebellferry-ctl"));
    command.args([
        "--api",
        &fleet.proxies[0].admin.to_string(),
        "--token",
        fleet::OPERATOR_TOKEN,
    ]);
    command.args(arguments).output().await
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn a_document_is_applied_and_promoted_unchanged() -> TestResult {
    let (trial, production) = tokio::try_join!(start("trial"), start("production"))?;
    let file = trial.folder().join("document.json");
    let written = trial.plan.document_text().replace("1000000.0", "4321.0") + "  \n";
    std::fs::write(&file, &written)?;
    let file = file.to_string_lossy().into_owned();

    let checked = ctl(&trial, &["check", &file]).await?;
    assert!(checked.status.success(), "{}", text(&checked.stderr));
    let applied = ctl(&trial, &["try", &file]).await?;
    assert!(applied.status.success(), "{}", text(&applied.stderr));
    assert!(
        text(&applied.stdout).contains("in force on all 2 VMs"),
        "{}",
        text(&applied.stdout)
    );

    let target = production.proxies[0].admin.to_string();
    let promotion = ctl(&trial, &["promote", &target]).await?;
    assert!(promotion.status.success(), "{}", text(&promotion.stderr));
    let object = production
        .store
        .get("environments/production/document")
        .await?;
    assert_eq!(object.value["text"], written.as_str());
    let second_promotion = ctl(&trial, &["promote", &target]).await?;
    assert!(text(&second_promotion.stdout).contains("already runs this document"));
    Ok(())
}

#[tokio::test]
async fn invalid_documents_are_rejected_with_their_path_and_not_stored() -> TestResult {
    let fleet = start("trial").await?;
    let file = fleet.folder().join("document.json");
    let broken = fleet
        .plan
        .document_text()
        .replace("\"rate_per_second\"", "\"rate\"");
    std::fs::write(&file, &broken)?;
    let file = file.to_string_lossy().into_owned();
    let applied = ctl(&fleet, &["try", &file]).await?;
    assert_eq!(applied.status.code(), Some(1));
    assert!(
        text(&applied.stderr).contains("workspaces.counter"),
        "{}",
        text(&applied.stderr)
    );

    // The API validates the document too, in case a client does not.
    let http = reqwest::Client::new();
    let url = format!("http://{}/v1/document", fleet.proxies[0].admin);
    let put = |token: &str, body: String| {
        http.put(&url)
            .bearer_auth(token)
            .header("content-type", "application/json")
            .body(body)
    };
    let hash = bluebellferry_document::hash::DocumentHash::compute(broken.as_bytes());
    let body = serde_json::json!({"expected_version": 1, "hash": hash.as_str(), "text": broken});
    let cases = [
        (put("nobody's token at all", body.to_string()), 401),
        (put(fleet::OPERATOR_TOKEN, body.to_string()), 422),
        (put(fleet::OPERATOR_TOKEN, "{".to_owned()), 400),
        (put(fleet::OPERATOR_TOKEN, "{}".to_owned()), 422),
        (put(fleet::OPERATOR_TOKEN, "x".repeat(3_000_000)), 413),
    ];
    for (request, expected) in cases {
        assert_eq!(request.send().await?.status().as_u16(), expected);
    }
    let object = fleet.store.get("environments/trial/document").await?;
    assert_eq!(object.version, 1);
    Ok(())
}

#[tokio::test]
async fn a_version_conflict_names_the_winning_change() -> TestResult {
    let fleet = start("trial").await?;
    let http = reqwest::Client::new();
    let url = format!("http://{}/v1/document", fleet.proxies[1].admin);
    let change = |text: &str| {
        let hash = bluebellferry_document::hash::DocumentHash::compute(text.as_bytes());
        let body = serde_json::json!({"expected_version": 1, "hash": hash.as_str(), "text": text});
        http.put(&url)
            .bearer_auth(fleet::OPERATOR_TOKEN)
            .json(&body)
            .send()
    };
    let first = fleet.plan.document_text() + " ";
    let second = fleet.plan.document_text() + "  ";
    let (first, second) = tokio::try_join!(change(&first), change(&second))?;
    let mut statuses = [first.status().as_u16(), second.status().as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let conflict = if first.status().as_u16() == 409 {
        first
    } else {
        second
    };
    let body: serde_json::Value = conflict.json().await?;
    assert_eq!(body["winner"]["operator"], "operator");
    assert_eq!(body["winner"]["version"], 2);
    Ok(())
}

#[tokio::test]
async fn a_stored_document_counts_as_success_when_the_store_response_is_lost() -> TestResult {
    let fleet = start("trial").await?;
    let file = fleet.folder().join("document.json");
    std::fs::write(&file, fleet.plan.document_text() + " ")?;
    fleet
        .set_store_faults(serde_json::json!({"lose_write_answers": 1}))
        .await?;
    let applied = ctl(&fleet, &["try", &file.to_string_lossy()]).await?;
    assert!(applied.status.success(), "{}", text(&applied.stderr));
    let object = fleet.store.get("environments/trial/document").await?;
    assert_eq!(object.version, 2);
    Ok(())
}

#[tokio::test]
async fn a_created_key_works_until_it_is_withdrawn() -> TestResult {
    let fleet = start("trial").await?;
    let created = ctl(&fleet, &["key", "give", "families", "spring"]).await?;
    assert!(created.status.success(), "{}", text(&created.stderr));
    let created: serde_json::Value = serde_json::from_slice(&created.stdout)?;
    let (key, id) = (
        created["key"].as_str().unwrap_or(""),
        created["id"].as_str().unwrap_or(""),
    );
    let mut config = fleet.caller_config(1, "families", "rental-core");
    config.password(key);
    let mut client = None;
    for _ in 0..40 {
        client = fleet::connect_with(&config).await.ok();
        if client.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let client = client.ok_or("the new key was not accepted")?;
    client.simple_query("SELECT 1").await?;
    let withdrawn = ctl(&fleet, &["key", "withdraw", "families", id]).await?;
    assert!(withdrawn.status.success(), "{}", text(&withdrawn.stderr));
    for _ in 0..60 {
        if client.is_closed() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(
        client.is_closed(),
        "the idle session stayed open after its key was withdrawn"
    );
    assert!(fleet::connect_with(&config).await.is_err());
    // The workspace's other key still works.
    fleet
        .connect(1, "families", "rental-core")
        .await?
        .simple_query("SELECT 1")
        .await?;
    let history = ctl(&fleet, &["history"]).await?;
    assert!(text(&history.stdout).contains("withdraw key"));
    Ok(())
}

#[tokio::test]
async fn explanations_come_from_files_and_running_vms() -> TestResult {
    let fleet = start("trial").await?;
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/wadi-slopes.json"
    );
    let explained = ctl(&fleet, &["explain", "document", example]).await?;
    assert!(text(&explained.stdout).contains("families may use rental-core-1"));
    let detail = "reason=rate_exceeded execution=not_run retry_after_ms=120";
    let explained = ctl(&fleet, &["explain", "refusal", detail]).await?;
    assert!(text(&explained.stdout).contains("Nothing was changed"));
    for subcommand in [["explain", "failover"], ["explain", "day"]] {
        let explained = ctl(&fleet, &subcommand).await?;
        assert!(explained.status.success(), "{}", text(&explained.stderr));
    }
    Ok(())
}
