//! Database settings of sessions that share database connections.

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const SERVICE: &str = "rental-core";

/// The longest time the answer to a message written by hand may take.
const ANSWER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

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

/// Sends messages and returns the tag and body of each answer, up to ReadyForQuery.
async fn ask(
    stream: &mut tokio::net::TcpStream,
    request: &[u8],
) -> Result<Vec<(u8, Vec<u8>)>, Box<dyn std::error::Error>> {
    stream.write_all(request).await?;
    let mut answers = Vec::new();
    while answers.last().is_none_or(|(tag, _)| *tag != b'Z') {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, read_frame(stream));
        answers.push(answer.await??);
    }
    Ok(answers)
}

async fn read_frame(stream: &mut tokio::net::TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let tag = stream.read_u8().await?;
    let length = stream.read_u32().await?;
    let mut body = vec![0; length.saturating_sub(4) as usize];
    stream.read_exact(&mut body).await?;
    Ok((tag, body))
}

fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], length.as_slice(), body].concat()
}

/// Returns messages that prepare and run an unnamed statement.
fn run(sql: &str) -> Vec<u8> {
    let parse = [b"\0", sql.as_bytes(), &[0; 3]].concat();
    [
        frame(b'P', &parse),
        frame(b'B', &[0; 8]),
        frame(b'E', &[0; 5]),
    ]
    .concat()
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

// Guards against a quoted name that the proxy does not see, so that the setting stays on
// its connection.
#[tokio::test]
async fn a_setting_with_a_quoted_name_reaches_no_other_session() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SET \"work_mem\" = '1'").await?;
    assert_eq!(show(&other, "\"work_mem\"").await?, "");
    assert_eq!(show(&client, "\"work_mem\"").await?, "1");
    Ok(())
}

// Guards against settings that are recorded under the part of their name before the dot, so
// that the last one replaces the others.
#[tokio::test]
async fn settings_with_a_common_prefix_hold_on_the_next_connection() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SET app.user = 'anna'").await?;
    client.simple_query("SET app.tenant = 'north'").await?;
    assert_eq!(show(&other, "app.user").await?, "");
    assert_eq!(show(&client, "app.tenant").await?, "north");
    assert_eq!(show(&client, "app.user").await?, "anna");
    Ok(())
}

// Guards against a RESET that removes all settings with the same part before the dot.
#[tokio::test]
async fn a_reset_leaves_the_other_setting_with_its_prefix() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SET app.user = 'anna'").await?;
    client.simple_query("SET app.tenant = 'north'").await?;
    client.simple_query("RESET app.user").await?;
    assert_eq!(show(&other, "app.tenant").await?, "");
    assert_eq!(show(&client, "app.user").await?, "");
    assert_eq!(show(&client, "app.tenant").await?, "north");
    Ok(())
}

// Guards against a role that comes back on the next connection, because SET and RESET record
// SESSION AUTHORIZATION under two names.
#[tokio::test]
async fn a_reset_session_authorization_does_not_come_back() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    let set = "SET SESSION AUTHORIZATION owner";
    client.simple_query(set).await?;
    // The stand-in database keeps it under the second word.
    assert_eq!(show(&client, "authorization").await?, "owner");
    client.simple_query("RESET SESSION AUTHORIZATION").await?;
    assert_eq!(show(&other, "authorization").await?, "");
    assert_eq!(show(&client, "authorization").await?, "");
    Ok(())
}

// Guards against a setting that is acknowledged but not recorded, because its message came
// after the request had been planned.
#[tokio::test]
async fn a_setting_after_a_flush_holds_on_the_next_connection() -> TestResult {
    let fleet = start_fleet().await?;
    let other = fleet.connect(0, "families", SERVICE).await?;
    let mut stream = tokio::net::TcpStream::connect(fleet.proxies[0].listen).await?;
    let startup = b"\0\x03\0\0user\0families\0database\0rental-core\0\0";
    stream.write_u32(startup.len() as u32 + 4).await?;
    stream.write_all(startup).await?;
    let key = [plan::FleetPlan::api_key_of("families").as_bytes(), b"\0"].concat();
    ask(&mut stream, &frame(b'p', &key)).await?;
    let flush = frame(b'H', &[]);
    let sync = frame(b'S', &[]);
    let request = [run("SELECT 1"), flush, run("SET work_mem = '1'"), sync].concat();
    let answers = ask(&mut stream, &request).await?;
    assert!(answers.contains(&(b'C', b"SET\0".to_vec())), "{answers:?}");
    assert_eq!(show_setting(&other).await?, "");
    let answers = ask(&mut stream, &frame(b'Q', b"SHOW work_mem\0")).await?;
    let row = answers.iter().find(|(tag, _)| *tag == b'D');
    let (_, row) = row.ok_or("SHOW returned no row")?;
    let value = row.get(6..).ok_or("a row without a value")?;
    assert_eq!(String::from_utf8_lossy(value), "1");
    Ok(())
}
