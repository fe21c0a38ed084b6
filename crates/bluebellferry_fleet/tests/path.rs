//! PostgreSQL clients, among them psql and pgbench, against the proxy in environments
//! without faults. Every store, database and proxy is a separate process.

use std::process::Stdio;
use std::time::Duration;

use bluebellferry_fleet::fleet;
use bluebellferry_fleet::plan;
use bluebellferry_fleet::process;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::TryStreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const SERVICE: &str = "rental-core";

async fn start_fleet() -> Result<fleet::Fleet, fleet::FleetError> {
    fleet::Fleet::start(
        plan::FleetPlan::small(),
        &process::Launcher::SiblingBinaries,
    )
    .await
}

fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("", |code| code.code())
}

#[tokio::test]
async fn queries_errors_and_transactions_work() -> TestResult {
    let fleet = start_fleet().await?;
    let mut client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("CREATE TABLE gear (id BIGINT PRIMARY KEY, kind TEXT)")
        .await?;
    let inserted = client
        .execute(
            "INSERT INTO gear VALUES ($1::bigint, $2)"
                .replace("::bigint", "")
                .as_str(),
            &[&"1", &"ski"],
        )
        .await?;
    assert_eq!(inserted, 1);
    let row = client.query_one("SELECT id, kind FROM gear", &[]).await?;
    assert_eq!((row.get::<_, i64>(0), row.get::<_, &str>(1)), (1, "ski"));

    let duplicate = client
        .execute("INSERT INTO gear VALUES (1, 'board')", &[])
        .await;
    assert_eq!(duplicate.as_ref().err().map(sqlstate), Some("23505"));
    let unknown = client.query("SELECT * FROM absent_gear", &[]).await;
    assert_eq!(unknown.as_ref().err().map(sqlstate), Some("42P01"));

    let transaction = client.transaction().await?;
    transaction
        .execute("INSERT INTO gear VALUES (2, 'boots')", &[])
        .await?;
    transaction.rollback().await?;
    let transaction = client.transaction().await?;
    transaction
        .execute("INSERT INTO gear VALUES (3, 'helmet')", &[])
        .await?;
    transaction.commit().await?;
    let rows = client.query("SELECT id FROM gear ORDER BY id", &[]).await?;
    let ids: Vec<i64> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, [1, 3]);
    Ok(())
}

#[tokio::test]
async fn prepared_statements_work_on_every_pooled_connection() -> TestResult {
    let fleet = start_fleet().await?;
    let first = fleet.connect(0, "families", SERVICE).await?;
    first
        .batch_execute("CREATE TABLE gear (id BIGINT, kind TEXT)")
        .await?;
    let mut clients = Vec::new();
    for _ in 0..30 {
        clients.push(fleet.connect(0, "families", SERVICE).await?);
    }
    let mut statements = Vec::new();
    for client in &clients {
        statements.push(client.prepare("INSERT INTO gear VALUES ($1, $2)").await?);
    }
    for round in 0..5 {
        let runs =
            clients
                .iter()
                .zip(&statements)
                .enumerate()
                .map(|(index, (client, statement))| {
                    let id = (round * 100 + index).to_string();
                    async move { client.execute(statement, &[&id, &"ski"]).await }
                });
        for run in futures_util::future::join_all(runs).await {
            assert_eq!(run?, 1);
        }
    }
    let row = first.query_one("SELECT count(*) FROM gear", &[]).await?;
    assert_eq!(row.get::<_, i64>(0), 150);
    Ok(())
}

#[tokio::test]
async fn pipelined_requests_get_their_own_answers() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let numbers: Vec<String> = (0..200).map(|number| number.to_string()).collect();
    let statement = client.prepare("SELECT $1").await?;
    let (client, statement) = (&client, &statement);
    let requests = numbers.iter().map(|number| async move {
        let row = client.query_one(statement, &[number]).await?;
        Ok::<_, tokio_postgres::Error>((number, row.get::<_, String>(0)))
    });
    for result in futures_util::future::join_all(requests).await {
        let (sent, returned) = result?;
        assert_eq!(*sent, returned);
    }
    Ok(())
}

#[tokio::test]
async fn copy_from_stdin_and_to_stdout_work() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("CREATE TABLE gear (id BIGINT, kind TEXT)")
        .await?;
    let sink = client.copy_in::<_, Bytes>("COPY gear FROM STDIN").await?;
    let mut sink = std::pin::pin!(sink);
    for id in 0..500 {
        sink.send(Bytes::from(format!("{id}\tski\\t{id}\n")))
            .await?;
    }
    assert_eq!(sink.finish().await?, 500);
    let stream = client.copy_out("COPY gear TO STDOUT").await?;
    let chunks: Vec<Bytes> = stream.try_collect().await?;
    let text = String::from_utf8(chunks.concat())?;
    assert_eq!(text.lines().count(), 500);
    assert!(text.starts_with("0\tski\\t0\n"));
    Ok(())
}

#[tokio::test]
async fn a_running_request_can_be_cancelled() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    let token = client.cancel_token();
    let canceller = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(200)).await;
        token.cancel_query(tokio_postgres::NoTls).await
    });
    let cancelled = client.simple_query("SELECT pg_sleep(30)").await;
    assert_eq!(cancelled.as_ref().err().map(sqlstate), Some("57014"));
    canceller.await??;
    client.simple_query("SELECT 1").await?;
    Ok(())
}

#[tokio::test]
async fn a_large_result_is_streamed_with_bounded_memory() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    client.simple_query("SELECT 1").await?;
    let idle_bytes = fleet.proxies[0]
        .process
        .resident_bytes()
        .ok_or("the proxy's resident memory is not available")?;
    let sql = "WITH RECURSIVE c(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM c WHERE n < 200000) \
               SELECT n, printf('%01000d', n) FROM c";
    let rows = client.simple_query_raw(sql).await?;
    let mut rows = std::pin::pin!(rows);
    let (mut value_bytes, mut count, mut peak_bytes) = (0, 0, 0);
    while let Some(message) = rows.try_next().await? {
        if let tokio_postgres::SimpleQueryMessage::Row(row) = message {
            value_bytes += row.get(1).map_or(0, str::len);
            count += 1;
        }
        if count % 10_000 == 0 {
            peak_bytes = peak_bytes.max(fleet.proxies[0].process.resident_bytes().unwrap_or(0));
        }
    }
    assert_eq!((count, value_bytes), (200_000, 200_000_000));
    let growth_bytes = peak_bytes.saturating_sub(idle_bytes);
    assert!(
        growth_bytes < 64 << 20,
        "memory grew by {growth_bytes} bytes"
    );
    Ok(())
}

#[tokio::test]
async fn malformed_messages_do_not_disturb_other_sessions() -> TestResult {
    let fleet = start_fleet().await?;
    let observer = fleet.connect(0, "families", SERVICE).await?;
    let listen = fleet.proxies[0].listen;
    let malformed_startups: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 4],
        &[0xff; 64],
        &[0, 0, 0, 9, 0, 3, 0, 0, 0],
        &[0, 0, 0, 100, 0, 3, 0, 0, b'u'],
    ];
    for bytes in malformed_startups {
        let mut stream = tokio::net::TcpStream::connect(listen).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        let mut response = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response));
        // The proxy may close the connection in an orderly way or reset it.
        read.await?.ok();
    }
    for bytes in [
        &b"Z\0\0\0\x05I"[..],
        b"Q\0\0\0\0",
        b"Q\xff\xff\xff\xff",
        b"P\0\0\0\x05x",
    ] {
        let (mut stream, _) = log_in(&fleet).await?;
        stream.write_all(bytes).await?;
        stream.shutdown().await?;
        let mut response = Vec::new();
        tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await??;
        let text = String::from_utf8_lossy(&response);
        let is_truncated = bytes[0] == b'P';
        assert!(
            is_truncated || text.contains("08P01"),
            "{bytes:?} was answered by {text}"
        );
    }
    observer.simple_query("SELECT 1").await?;
    Ok(())
}

/// Logs in with hand-written protocol messages.
///
/// Returns the stream and the bytes received up to and including the first
/// ReadyForQuery.
async fn log_in(
    fleet: &fleet::Fleet,
) -> Result<(tokio::net::TcpStream, Vec<u8>), Box<dyn std::error::Error>> {
    let mut stream = tokio::net::TcpStream::connect(fleet.proxies[0].listen).await?;
    let body = b"\0\x03\0\0user\0families\0database\0rental-core\0\0";
    stream.write_u32(body.len() as u32 + 4).await?;
    stream.write_all(body).await?;
    let key = plan::FleetPlan::api_key_of("families");
    stream.write_u8(b'p').await?;
    stream.write_u32(key.len() as u32 + 5).await?;
    stream.write_all(key.as_bytes()).await?;
    stream.write_u8(0).await?;
    let mut received = Vec::new();
    while !received.ends_with(&[b'Z', 0, 0, 0, 5, b'I']) {
        let mut chunk = [0; 1024];
        let size = stream.read(&mut chunk).await?;
        if size == 0 {
            return Err(format!("login failed: {}", String::from_utf8_lossy(&received)).into());
        }
        received.extend_from_slice(&chunk[..size]);
    }
    Ok((stream, received))
}

#[tokio::test]
async fn a_session_reads_its_own_writes_on_both_proxies() -> TestResult {
    let mut plan = plan::FleetPlan::small();
    plan.databases.replay_lags = [0, 400, 150].map(Duration::from_millis).to_vec();
    let fleet = fleet::Fleet::start(plan, &process::Launcher::SiblingBinaries).await?;
    let writer = fleet.connect(0, "families", SERVICE).await?;
    writer
        .batch_execute("CREATE TABLE gear (id BIGINT, kind TEXT)")
        .await?;
    writer
        .batch_execute("SET bluebellferry.read = 'catalogue'")
        .await?;
    for id in 0..40 {
        writer
            .execute(&format!("INSERT INTO gear VALUES ({id}, 'ski')"), &[])
            .await?;
        let count_own_row = format!("SELECT count(*) FROM gear WHERE id = {id}");
        assert_eq!(
            writer
                .query_one(&count_own_row, &[])
                .await?
                .get::<_, i64>(0),
            1
        );
        // For every second row, a new session on the other proxy starts from the
        // writer's position; for the others it starts without one.
        let mut config = fleet.caller_config(1, "families", SERVICE);
        let mut options = "-c bluebellferry.read=catalogue".to_owned();
        if id % 2 == 0 {
            let position_rows = writer.simple_query("SHOW bluebellferry.position").await?;
            let position = position_rows.iter().find_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            });
            options += &format!(
                " -c bluebellferry.position={}",
                position.ok_or("SHOW returned no position")?
            );
        }
        config.options(&options);
        let other_session = fleet::connect_with(&config).await?;
        assert_eq!(
            other_session
                .query_one(&count_own_row, &[])
                .await?
                .get::<_, i64>(0),
            1,
            "row {id}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    for _ in 0..20 {
        writer.query_one("SELECT count(*) FROM gear", &[]).await?;
    }
    let replica_reads = fleet
        .sum_counter(0, "bluebellferry_requests_total", "replica")
        .await?;
    assert!(
        replica_reads >= 20.0,
        "{replica_reads} reads went to replicas"
    );
    Ok(())
}

#[tokio::test]
async fn no_api_key_reaches_a_database() -> TestResult {
    let fleet = start_fleet().await?;
    let key = plan::FleetPlan::api_key_of("families");
    let client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("CREATE TABLE gear (id BIGINT, kind TEXT)")
        .await?;
    let statements_with_key = [
        format!("SELECT 1 /* {key} */"),
        format!("INSERT INTO gear VALUES (1, '{key}')"),
    ];
    for sql in &statements_with_key {
        let refused = client.simple_query(sql).await;
        assert_eq!(refused.as_ref().err().map(sqlstate), Some("42501"), "{sql}");
    }
    let refused_parameter = client
        .execute("INSERT INTO gear VALUES (2, $1)", &[&key])
        .await;
    assert_eq!(
        refused_parameter.as_ref().err().map(sqlstate),
        Some("42501")
    );
    for field in ["options", "application_name"] {
        let mut config = fleet.caller_config(0, "families", SERVICE);
        match field {
            "options" => config.options(format!("-c search_path={key}")),
            _ => config.application_name(&key),
        };
        let refused = fleet::connect_with(&config).await;
        assert!(refused.is_err(), "{field}");
    }
    let count = client.query_one("SELECT count(*) FROM gear", &[]).await?;
    assert_eq!(count.get::<_, i64>(0), 0);
    for database in &fleet.databases {
        let received = std::fs::read(&database.received_log)?;
        let found = received
            .windows(key.len())
            .any(|window| window == key.as_bytes());
        assert!(!found, "{} received the key", database.name);
    }
    Ok(())
}

#[tokio::test]
async fn the_api_key_alone_determines_the_workspace() -> TestResult {
    let fleet = start_fleet().await?;
    let mut config = fleet.caller_config(0, "families", SERVICE);
    config.password("not a key of anybody");
    assert!(fleet::connect_with(&config).await.is_err());
    // The user name of the startup message is ignored; the key alone determines
    // the workspace.
    let mut config = fleet.caller_config(0, "counter", SERVICE);
    config.user("families");
    let client = fleet::connect_with(&config).await?;
    client.simple_query("SELECT 1").await?;
    let counted = fleet
        .sum_counter(0, "bluebellferry_requests_total", "workspace=\"counter\"")
        .await?;
    assert_eq!(counted, 1.0);
    Ok(())
}

#[tokio::test]
async fn psql_and_pgbench_work_unchanged() -> TestResult {
    let fleet = start_fleet().await?;
    let client = fleet.connect(0, "families", SERVICE).await?;
    client
        .batch_execute("CREATE TABLE gear (id BIGINT PRIMARY KEY, kind TEXT)")
        .await?;
    let listen = fleet.proxies[0].listen;
    let port = listen.port().to_string();
    let common = ["-h", "127.0.0.1", "-p", &port, "-U", "families"];
    let mut psql = tokio::process::Command::new("psql");
    psql.args(common)
        .args(["-d", SERVICE, "-At", "-v", "ON_ERROR_STOP=1"]);
    psql.args([
        "-c",
        "BEGIN",
        "-c",
        "INSERT INTO gear VALUES (0, 'ski')",
        "-c",
        "COMMIT",
    ]);
    psql.args(["-c", "SELECT kind FROM gear"]);
    psql.env("PGPASSWORD", plan::FleetPlan::api_key_of("families"));
    let Ok(output) = psql.stderr(Stdio::piped()).output().await else {
        println!("psql is not installed; this part was not run");
        return Ok(());
    };
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(
        text,
        "BEGIN\nINSERT 0 1\nCOMMIT\nski\n",
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let script = fleet.folder().join("script.sql");
    let text = "\\set id random(1, 1000000000)\nBEGIN;\n\
                INSERT INTO gear VALUES (:id, 'x') ON CONFLICT DO NOTHING;\n\
                SELECT kind FROM gear WHERE id = :id;\nCOMMIT;\n";
    std::fs::write(&script, text)?;
    for mode in ["simple", "extended", "prepared"] {
        let mut pgbench = tokio::process::Command::new("pgbench");
        pgbench
            .args(common)
            .args(["-n", "-c", "50", "-j", "2", "-t", "6", "-M", mode, "-f"]);
        pgbench.arg(&script).arg(SERVICE);
        pgbench.env("PGPASSWORD", plan::FleetPlan::api_key_of("families"));
        let Ok(output) = pgbench.output().await else {
            println!("pgbench is not installed; this part was not run");
            return Ok(());
        };
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            text.contains("processed: 300/300"),
            "{mode}: {text}{errors}"
        );
    }
    Ok(())
}

#[tokio::test]
async fn callers_may_use_tls_and_a_replaced_certificate_is_reloaded() -> TestResult {
    let mut fleet = start_fleet().await?;
    let folder = fleet.folder().to_path_buf();
    let (certificate, private_key) = (folder.join("cert.pem"), folder.join("key.pem"));
    let first = write_certificate(&certificate, &private_key)?;
    let file = folder.join("amman-0.json");
    let mut settings: serde_json::Value = serde_json::from_slice(&std::fs::read(&file)?)?;
    settings["tls"] = serde_json::json!({"certificate": certificate, "private_key": private_key});
    std::fs::write(&file, settings.to_string())?;
    fleet.proxies[0].process.kill().await?;
    fleet.proxies[0].process.restart()?;
    fleet.wait_until_ready().await?;
    let listen = fleet.proxies[0].listen;
    assert_eq!(fetch_certificate(listen).await?, first);
    let second = write_certificate(&certificate, &private_key)?;
    let mut served = first.clone();
    for _ in 0..200 {
        served = fetch_certificate(listen).await?;
        if served == second {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(served, second);
    // Callers without TLS are still served.
    fleet
        .connect(0, "families", SERVICE)
        .await?
        .simple_query("SELECT 1")
        .await?;
    Ok(())
}

/// Writes a new self-signed certificate and its private key as PEM files and
/// returns the certificate in DER.
fn write_certificate(
    certificate: &std::path::Path,
    private_key: &std::path::Path,
) -> Result<Vec<u8>, Box<dyn std::error::Error>> {
    let generated = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()])?;
    std::fs::write(certificate, generated.cert.pem())?;
    std::fs::write(private_key, generated.key_pair.serialize_pem())?;
    Ok(generated.cert.der().to_vec())
}

/// Logs in over TLS, runs a statement and returns the proxy's certificate in DER.
async fn fetch_certificate(
    listen: std::net::SocketAddr,
) -> Result<Vec<u8>, Box<dyn std::error::Error>> {
    let mut stream = tokio::net::TcpStream::connect(listen).await?;
    stream.write_all(&[0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f]).await?;
    assert_eq!(stream.read_u8().await?, b'S');
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(std::sync::Arc::clone(&provider))
        .with_safe_default_protocol_versions()?
        .dangerous()
        .with_custom_certificate_verifier(std::sync::Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(std::sync::Arc::new(config));
    let name = rustls::pki_types::ServerName::try_from("localhost")?;
    let mut stream = connector.connect(name, stream).await?;
    let certificate = stream
        .get_ref()
        .1
        .peer_certificates()
        .and_then(|chain| chain.first().cloned());
    let body = b"\0\x03\0\0user\0families\0database\0rental-core\0\0";
    stream.write_u32(body.len() as u32 + 4).await?;
    stream.write_all(body).await?;
    let key = plan::FleetPlan::api_key_of("families");
    stream.write_u8(b'p').await?;
    stream.write_u32(key.len() as u32 + 5).await?;
    stream.write_all(key.as_bytes()).await?;
    stream.write_u8(0).await?;
    stream.write_all(b"Q\0\0\0\x0dSELECT 7\0").await?;
    stream.write_all(b"X\0\0\0\x04").await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    assert!(
        response.windows(8).any(|window| window == b"SELECT 1"),
        "the statement was not answered"
    );
    Ok(certificate
        .ok_or("the proxy presented no certificate")?
        .to_vec())
}

/// Accepts any certificate; the test compares the presented one itself.
#[derive(Debug)]
struct AcceptAnyCertificate(std::sync::Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &rustls::pki_types::CertificateDer<'_>,
        _intermediates: &[rustls::pki_types::CertificateDer<'_>],
        _server_name: &rustls::pki_types::ServerName<'_>,
        _ocsp: &[u8],
        _now: rustls::pki_types::UnixTime,
    ) -> Result<rustls::client::danger::ServerCertVerified, rustls::Error> {
        Ok(rustls::client::danger::ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &rustls::pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &rustls::pki_types::CertificateDer<'_>,
        signature: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
