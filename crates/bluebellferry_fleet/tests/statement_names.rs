//! Prepared statements of several callers on shared database connections. The messages
//! are written by hand, because drivers don't send these orders of messages.

use std::time::Duration;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// The longest time an answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller that writes protocol messages itself.
struct RawCaller {
    stream: tokio::net::TcpStream,
}

/// The answer to one request, up to ReadyForQuery.
#[derive(Debug, Default, PartialEq, Eq)]
struct RawAnswer {
    /// The first value of each row.
    values: Vec<String>,
    /// The SQLSTATE of the error, if there was one.
    sqlstate: Option<String>,
}

impl RawAnswer {
    fn of_value(value: &str) -> Self {
        Self {
            values: vec![value.to_owned()],
            sqlstate: None,
        }
    }
}

impl RawCaller {
    async fn log_in(fleet: &fleet::Fleet) -> Result<Self, Box<dyn std::error::Error>> {
        let stream = tokio::net::TcpStream::connect(fleet.proxies[0].listen).await?;
        let mut caller = Self { stream };
        let body = b"\0\x03\0\0user\0families\0database\0rental-core\0\0";
        caller.stream.write_u32(body.len() as u32 + 4).await?;
        caller.stream.write_all(body).await?;
        let key = plan::FleetPlan::api_key_of("families");
        caller.ask(&frame(b'p', &text(&key))).await?;
        Ok(caller)
    }

    /// Sends a request and returns its answer.
    async fn ask(&mut self, request: &[u8]) -> Result<RawAnswer, Box<dyn std::error::Error>> {
        self.stream.write_all(request).await?;
        let mut answer = RawAnswer::default();
        loop {
            let (tag, body) = tokio::time::timeout(ANSWER_TIMEOUT, self.read_frame()).await??;
            match tag {
                b'D' => {
                    let value = body.get(6..).ok_or("a row without a value")?;
                    answer.values.push(String::from_utf8(value.to_vec())?);
                }
                b'E' => answer.sqlstate = Some(sqlstate(&body)?),
                b'Z' => return Ok(answer),
                _ => {}
            }
        }
    }

    async fn read_frame(&mut self) -> std::io::Result<(u8, Vec<u8>)> {
        let tag = self.stream.read_u8().await?;
        let length = self.stream.read_u32().await?;
        let mut body = vec![0; length.saturating_sub(4) as usize];
        self.stream.read_exact(&mut body).await?;
        Ok((tag, body))
    }

    async fn query(&mut self, sql: &str) -> Result<RawAnswer, Box<dyn std::error::Error>> {
        self.ask(&frame(b'Q', &text(sql))).await
    }
}

async fn start_fleet() -> Result<fleet::Fleet, fleet::FleetError> {
    let plan = plan::FleetPlan::small();
    fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await
}

/// Returns the SQLSTATE field of an ErrorResponse.
fn sqlstate(body: &[u8]) -> Result<String, Box<dyn std::error::Error>> {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    Ok(String::from_utf8(code.ok_or("no SQLSTATE")?.to_vec())?)
}

fn text(text: &str) -> Vec<u8> {
    [text.as_bytes(), b"\0"].concat()
}

fn frame(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], length.as_slice(), body].concat()
}

fn parse(name: &str, sql: &str, type_oids: &[u32]) -> Vec<u8> {
    let mut body = [text(name), text(sql)].concat();
    body.extend((type_oids.len() as u16).to_be_bytes());
    body.extend(type_oids.iter().flat_map(|oid| oid.to_be_bytes()));
    frame(b'P', &body)
}

/// Returns messages that run a prepared statement without parameters.
fn run(name: &str) -> Vec<u8> {
    let bind = [text(""), text(name), vec![0; 6]].concat();
    let execute = [text(""), vec![0; 4]].concat();
    [frame(b'B', &bind), frame(b'E', &execute)].concat()
}

fn sync() -> Vec<u8> {
    frame(b'S', &[])
}

// Guards against names made of the text followed by the type OIDs, where an OID could
// take the place of the text's last four bytes.
#[tokio::test]
async fn a_text_and_a_text_with_a_type_oid_never_share_a_name() -> TestResult {
    let fleet = start_fleet().await?;
    let mut first = RawCaller::log_in(&fleet).await?;
    let type_oid = u32::from_be_bytes(*b" + 1");
    let request = [parse("", "SELECT 1", &[type_oid]), run(""), sync()].concat();
    assert_eq!(first.ask(&request).await?, RawAnswer::of_value("1"));
    let mut second = RawCaller::log_in(&fleet).await?;
    let request = [parse("", "SELECT 1 + 1", &[]), run(""), sync()].concat();
    for _ in 0..4 {
        assert_eq!(second.ask(&request).await?, RawAnswer::of_value("2"));
    }
    Ok(())
}

// Guards against a caller's name that changed its statement by messages that the
// database ignored after an error.
#[tokio::test]
async fn a_name_keeps_its_statement_when_a_batch_fails_before_its_parse() -> TestResult {
    let fleet = start_fleet().await?;
    let mut caller = RawCaller::log_in(&fleet).await?;
    let request = [parse("s", "SELECT 1", &[]), sync()].concat();
    assert_eq!(caller.ask(&request).await?, RawAnswer::default());
    let close = frame(b'C', &[b"S".to_vec(), text("s")].concat());
    let failing = parse("", "SELECT * FROM absent_gear", &[]);
    let request = [failing, close, parse("s", "SELECT 2", &[]), sync()].concat();
    let refused = caller.ask(&request).await?;
    assert_eq!(refused.sqlstate.as_deref(), Some("42P01"));
    let request = [run("s"), sync()].concat();
    assert_eq!(caller.ask(&request).await?, RawAnswer::of_value("1"));
    Ok(())
}

// Guards against a request that is sent to a second database with names that its first
// attempt has already closed.
#[tokio::test]
async fn a_batch_that_closes_its_statement_can_be_sent_again() -> TestResult {
    let fleet = start_fleet().await?;
    let mut caller = RawCaller::log_in(&fleet).await?;
    caller.query("CREATE TABLE gear (id BIGINT)").await?;
    let set = caller.query("SET bluebellferry.read = 'catalogue'").await?;
    assert_eq!(set, RawAnswer::default());
    let close = frame(b'C', &[b"S".to_vec(), text("s")].concat());
    for id in 0..10 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let insert = parse("s", &format!("INSERT INTO gear VALUES ({id})"), &[]);
        caller.ask(&[insert, sync()].concat()).await?;
        // A replica refuses the write, and the request is sent to the primary.
        let request = [run("s"), close.clone(), sync()].concat();
        assert_eq!(
            caller.ask(&request).await?,
            RawAnswer::default(),
            "row {id}"
        );
    }
    Ok(())
}

// Guards against names on a pooled connection that the proxy takes for prepared after a
// caller has dropped them.
#[tokio::test]
async fn statements_run_after_another_caller_dropped_all() -> TestResult {
    let fleet = start_fleet().await?;
    let mut caller = RawCaller::log_in(&fleet).await?;
    let mut other = RawCaller::log_in(&fleet).await?;
    let prepare = [parse("s", "SELECT 1", &[]), sync()].concat();
    let request = [run("s"), sync()].concat();
    caller.ask(&prepare).await?;
    for drop in ["DISCARD ALL", "DEALLOCATE ALL", "DEALLOCATE PREPARE ALL"] {
        assert_eq!(caller.ask(&request).await?, RawAnswer::of_value("1"));
        assert_eq!(other.query(drop).await?, RawAnswer::default());
        assert_eq!(
            caller.ask(&request).await?,
            RawAnswer::of_value("1"),
            "after {drop}"
        );
    }
    Ok(())
}

// Guards against a setting that stays on a connection, because its message came after the
// request had been planned.
#[tokio::test]
async fn a_setting_after_a_flush_reaches_no_other_session() -> TestResult {
    let fleet = start_fleet().await?;
    let mut caller = RawCaller::log_in(&fleet).await?;
    let mut other = RawCaller::log_in(&fleet).await?;
    let flush = frame(b'H', &[]);
    let select = [parse("", "SELECT 1", &[]), run(""), flush].concat();
    let set = [parse("", "SET work_mem = '1'", &[]), run(""), sync()].concat();
    let answer = caller.ask(&[select, set].concat()).await?;
    assert_eq!(answer, RawAnswer::of_value("1"));
    assert_eq!(other.query("SHOW work_mem").await?, RawAnswer::of_value(""));
    Ok(())
}
