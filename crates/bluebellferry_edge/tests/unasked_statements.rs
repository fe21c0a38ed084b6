//! Compares every statement that databases received with those that callers sent, while statements
//! of transactions fail in a seeded schedule.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;
use bluebellferry_standin_platform::deployment::KEY;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

#[path = "fixtures/received.rs"]
mod received;

/// How long a schedule runs.
const SCHEDULE_TIME: Duration = Duration::from_secs(8);
/// The number of concurrent callers.
const CALLERS: u64 = 6;
/// The pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 20..120;

/// The statements that a caller sent, by id, with the text that databases are to receive. In an
/// EXECUTE, the kind and the template of the prepared statement replace its name.
type SentStatements = BTreeMap<String, String>;

/// A caller that records what it sends. The part of an id before the last dot names the operation.
struct RecordingCaller {
    caller: caller::StandinCaller,
    operation: String,
    last_number: u64,
    sent: SentStatements,
    /// The ids of the COMMITs that were answered with success.
    committed: Vec<String>,
}

impl RecordingCaller {
    /// Runs a statement; `None` if the session has ended.
    async fn run(&mut self, text: &str) -> Option<caller::CallerAnswer> {
        self.last_number += 1;
        let id = format!("{}.{}", self.operation, self.last_number);
        let forwarded = text
            .replace("EXECUTE s1 ", "EXECUTE READ q1 ")
            .replace("EXECUTE s2 ", "EXECUTE WRITE q2 ");
        self.sent.insert(id.clone(), forwarded);
        let answer = self.caller.run_with_id(&id, text).await.ok()?;
        if text == "COMMIT" && answer.refusal.is_none() {
            self.committed.push(id);
        }
        Some(answer)
    }

    /// Runs a transaction up to its end or its first failure; `None` if the session is to be
    /// closed. A failed transaction is committed, rolled back or left.
    async fn run_transaction(&mut self, random: &mut rngs::StdRng) -> Option<()> {
        let begin = if random.random_bool(0.2) {
            "BEGIN READ"
        } else {
            "BEGIN"
        };
        let mut answer = self.run(begin).await?;
        for _ in 0..random.random_range(1..4) {
            if answer.refusal.is_some() {
                break;
            }
            let statements = ["READ a", "WRITE a b", "EXECUTE s1 c", "EXECUTE s2 c d"];
            let count = if begin == "BEGIN" { 4 } else { 1 };
            answer = self.run(statements[random.random_range(0..count)]).await?;
        }
        let answer = match random.random_range(0..3) {
            0 => self.run("ROLLBACK").await?,
            1 => self.run("COMMIT").await?,
            _ => return None,
        };
        answer.is_idle.then_some(())
    }
}

/// Runs operations until the schedule ends, and returns what was sent and which COMMITs succeeded.
async fn run_caller(
    deployment: &deployment::StandinDeployment,
    seed: u64,
    number: u64,
) -> (SentStatements, Vec<String>) {
    let mut random = rngs::StdRng::seed_from_u64(seed * CALLERS + number);
    let (mut sent, mut committed) = (SentStatements::new(), Vec::new());
    let until = Instant::now() + SCHEDULE_TIME;
    let mut session = 0;
    while Instant::now() < until {
        session += 1;
        let Ok(caller) = deployment.open_caller(0, "counter", KEY).await else {
            continue;
        };
        let mut caller = RecordingCaller {
            caller,
            operation: format!("c{number}.{session}"),
            last_number: 0,
            sent: SentStatements::new(),
            committed: Vec::new(),
        };
        for text in ["PREPARE s1 READ q1", "PREPARE s2 WRITE q2"] {
            caller.run(text).await;
        }
        for operation in 0..random.random_range(1..6) {
            caller.operation = format!("c{number}.{session}.{operation}");
            let is_open = match random.random_range(0..6) {
                0 => caller.run("WRITE e f").await.map(|_| ()),
                1 => caller.run("READ e").await.map(|_| ()),
                2 => caller.run("SET zone x").await.map(|_| ()),
                _ => caller.run_transaction(&mut random).await,
            };
            if is_open.is_none() {
                break;
            }
        }
        sent.append(&mut caller.sent);
        committed.append(&mut caller.committed);
    }
    (sent, committed)
}

/// Lets statements fail until the schedule ends, and replaces the leader a few times.
async fn inject_faults(deployment: &deployment::StandinDeployment, seed: u64) {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let group = &deployment.group;
    let until = Instant::now() + SCHEDULE_TIME;
    while Instant::now() < until {
        let pause = random.random_range(FAULT_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        match random.random_range(0..20) {
            0 => group.drop_next_answer(),
            1 | 2 => group.truncate_next_answer(),
            3 => {
                let reports = group.reports();
                let leader = reports.iter().filter(|report| report.is_primary);
                let leader = leader.max_by_key(|report| report.term);
                let leader = leader.map(|report| report.id.clone());
                let successor = reports
                    .iter()
                    .find(|report| Some(&report.id) != leader.as_ref());
                if let Some(successor) = successor {
                    group.promote_at_once(&successor.id);
                }
            }
            drawn => group.refuse_next_statement(database::BusyRefusal {
                verb: ["READ", "WRITE", "EXECUTE", "COMMIT"][drawn % 4],
                fails_transaction: random.random_bool(0.5),
                delay: Duration::from_millis(random.random_range(0..200)),
            }),
        }
    }
}

fn operation_of(id: &str) -> &str {
    id.rsplit_once('.').map_or(id, |(operation, _)| operation)
}

/// Runs a schedule and checks it.
async fn check_schedule(seed: u64) {
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
    let deployment = deployment::StandinDeployment::start(program, 1).await;
    // The rate of the workspace is not to limit the callers.
    deployment::deploy_configuration(
        &deployment.store,
        deployment::configuration(2, &[KEY], 5_000.0),
    );
    let callers = (0..CALLERS).map(|number| run_caller(&deployment, seed, number));
    let callers = futures_util::future::join_all(callers);
    let (results, ()) = tokio::join!(callers, inject_faults(&deployment, seed));
    let (mut sent, mut committed) = (SentStatements::new(), Vec::new());
    for (mut sent_by_caller, mut committed_by_caller) in results {
        sent.append(&mut sent_by_caller);
        committed.append(&mut committed_by_caller);
    }
    let lines = deployment.group.received_lines_by_connection();
    for statement in received::statements(&lines) {
        assert_eq!(
            sent.get(&statement.id),
            Some(&statement.text),
            "seed {seed}: {statement:?}"
        );
    }
    let history = deployment.group.take_history();
    let mut operations: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let runs = history.runs.iter().filter(|run| run.request != "-");
    for run in runs {
        if let Some(transaction) = run.transaction {
            let operations = operations.entry(transaction).or_default();
            operations.insert(operation_of(&run.request));
            assert_eq!(
                operations.len(),
                1,
                "seed {seed}: {operations:?} share a transaction"
            );
        }
    }
    for commit in &history.commits {
        let is_own = |write: &String| operation_of(write) == operation_of(&commit.request);
        assert!(commit.writes.iter().all(is_own), "seed {seed}: {commit:?}");
    }
    let commits = history.runs.iter().filter(|run| run.text == "COMMIT");
    let commits: BTreeSet<&str> = commits.map(|run| run.request.as_str()).collect();
    for id in &committed {
        assert!(
            commits.contains(id.as_str()),
            "seed {seed}: {id} was not committed"
        );
    }
    assert!(
        committed.len() >= 10,
        "seed {seed}: {} commits",
        committed.len()
    );
}

/// Guards against statements that no caller sent: with another text, in the transaction of another
/// caller, or committed for a caller that did not ask for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn databases_receive_only_what_callers_sent_while_statements_fail() {
    for seed in [1, 2] {
        check_schedule(seed).await;
    }
}
