//! Database settings of sessions that share database connections.

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const SERVICE: &str = "rental-core";

async fn start_fleet() -> Result<fleet::Fleet, fleet::FleetError> {
    let plan = plan::FleetPlan::small();
    fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await
}

/// Returns the value of the setting `work_mem` in a session.
async fn show_setting(
    client: &tokio_postgres::Client,
) -> Result<String, Box<dyn std::error::Error>> {
    show(client, "work_mem").await
}

async fn show(
    client: &tokio_postgres::Client,
    setting: &str,
) -> Result<String, Box<dyn std::error::Error>> {
    let messages = client.simple_query(&format!("SHOW {setting}")).await?;
    let value = messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(value.ok_or("SHOW returned no row")?)
}

// Guards against settings that a rolled back transaction seemed to have changed.
#[tokio::test]
async fn a_rolled_back_change_of_a_setting_reaches_no_session() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SET work_mem = '1'").await?;
    for end in ["ROLLBACK", "SELECT * FROM absent_gear; COMMIT"] {
        for change in ["RESET work_mem", "SET work_mem = '2'"] {
            client.simple_query("BEGIN").await?;
            client.simple_query(change).await?;
            if client.simple_query(end).await.is_err() {
                client.simple_query("COMMIT").await?;
            }
            assert_eq!(show_setting(&other).await?, "", "{change}; {end}");
            assert_eq!(show_setting(&client).await?, "1", "{change}; {end}");
        }
    }
    client.simple_query("BEGIN").await?;
    client.simple_query("SET work_mem = '3'").await?;
    client.simple_query("COMMIT").await?;
    assert_eq!(show_setting(&other).await?, "");
    assert_eq!(show_setting(&client).await?, "3");
    Ok(())
}

// Guards against a setting that stays on a connection after its request has failed.
#[tokio::test]
async fn a_setting_committed_by_a_failing_request_reaches_no_other_session() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    let sql = "BEGIN; SET work_mem = '1'; COMMIT; SELECT * FROM absent_gear";
    assert!(client.simple_query(sql).await.is_err());
    assert_eq!(show_setting(&other).await?, "");
    Ok(())
}

// Guards against a setting of a request with a request_id that stays on its connection.
#[tokio::test]
async fn a_setting_of_an_idempotent_request_stays_with_its_session() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    let sql = "/* bluebellferry.request_id=memory-1 */ SET work_mem = '1'";
    client.simple_query(sql).await?;
    assert_eq!(show_setting(&other).await?, "");
    assert_eq!(show_setting(&client).await?, "1");
    Ok(())
}

// Guards against a role that RESET ALL leaves on a connection.
#[tokio::test]
async fn a_role_reaches_no_other_session() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SET ROLE owner").await?;
    assert_eq!(show(&client, "role").await?, "owner");
    assert_eq!(show(&other, "role").await?, "");
    Ok(())
}
