//! Plays each row of the table in docs/design/access.md against the real program.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_standin_platform::caller;
use bluebellferry_standin_platform::deployment;

#[path = "fixtures/access_cases.rs"]
mod access_cases;

use access_cases::AccessCase;
use access_cases::NextFate;
use access_cases::RunningFate;

/// A route that all versions have, on which callers with the current other key are admitted.
const MARKER_ROUTE: &str = "counter";
/// The maximum time until a version is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// The maximum time until a log line is written.
const LOG_LIMIT: Duration = Duration::from_secs(3);

/// A deployment with one VM, and the workspaces for which databases ran statements.
struct CaseRunner {
    deployment: deployment::StandinDeployment,
    last_version: u64,
    /// The workspace of each statement that ran, by its id.
    workspaces: BTreeMap<String, String>,
}

impl CaseRunner {
    async fn start() -> Self {
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_bluebellferry-edge"));
        Self {
            deployment: deployment::StandinDeployment::start(program, 1).await,
            last_version: 1,
            workspaces: BTreeMap::new(),
        }
    }

    /// Deploys a version and returns its own key of the marker route.
    fn deploy(&mut self, version: access_cases::AccessVersion) -> String {
        self.last_version += 1;
        let marker = format!("marker-{}", self.last_version);
        let value = access_cases::configuration(self.last_version, version, &marker);
        deployment::deploy_configuration(&self.deployment.store, value);
        marker
    }

    /// Waits until the VM admits a key, and thus uses the version that contains it.
    async fn wait_until_admitted(&self, marker: &str) {
        let started = Instant::now();
        loop {
            let opened = self.deployment.open_caller(0, MARKER_ROUTE, marker).await;
            if opened.is_ok() {
                return;
            }
            assert!(started.elapsed() < APPLY_LIMIT, "{marker}: {opened:?}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the workspace for which a statement ran; `None` if it did not run.
    fn workspace_of(&mut self, id: &str) -> Option<&str> {
        for run in self.deployment.group.take_history().runs {
            self.workspaces.insert(run.request, run.workspace);
        }
        self.workspaces.get(id).map(String::as_str)
    }

    /// Begins a transaction, changes the configuration, and checks the rest of the transaction and
    /// the next operation.
    async fn play(&mut self, case: &AccessCase, number: usize, last_statement: &str) {
        let name = format!("{}, {last_statement}", case.name);
        let first_marker = self.deploy(case.first);
        self.wait_until_admitted(&first_marker).await;
        let (route, key) = (access_cases::ROUTE, access_cases::KEY);
        let caller = self.deployment.open_caller(0, route, key).await;
        let mut caller = caller.unwrap_or_else(|refusal| panic!("{name}: {refusal:?}"));
        let verb = last_statement.split(' ').next().unwrap_or_default();
        let item = format!("item-{number}-{verb}");
        deployment::run_successfully(&mut caller, "SET zone z1").await;
        deployment::run_successfully(&mut caller, "PREPARE s1 READ q7").await;
        deployment::run_successfully(&mut caller, "BEGIN").await;
        deployment::run_successfully(&mut caller, &format!("WRITE {item} x")).await;
        let mut marker = first_marker;
        for version in case.later {
            marker = self.deploy(*version);
        }
        self.wait_until_admitted(&marker).await;
        let id = format!("{item}-last");
        let answer = caller.run_with_id(&id, last_statement).await;
        let answer = answer.unwrap_or_else(|error| panic!("{name}: {error:?}"));
        let fate = match &answer.refusal {
            None => RunningFate::GoesOn,
            Some(caller::CallerRefusal::KeyRefused) => RunningFate::Denied,
            Some(caller::CallerRefusal::NothingKept(_)) => RunningFate::NothingKept,
            Some(other) => panic!("{name}: {other:?}"),
        };
        let is_rollback = last_statement == "ROLLBACK";
        if is_rollback {
            assert_eq!(fate, RunningFate::GoesOn, "{name}");
        } else {
            assert_eq!(fate, case.running, "{name}");
        }
        let has_ended = ["COMMIT", "ROLLBACK"].contains(&last_statement);
        assert_eq!(answer.is_idle, has_ended, "{name}: {answer:?}");
        let ran_for = self.workspace_of(&id).map(str::to_owned);
        if case.running == RunningFate::GoesOn {
            let begun_for = case.first.owner.unwrap_or(access_cases::PUBLIC);
            if last_statement != "ROLLBACK" {
                assert_eq!(ran_for.as_deref(), Some(begun_for), "{name}");
            }
        } else {
            assert_eq!(ran_for, None, "{name}");
        }
        if !has_ended {
            let is_open = case.running == RunningFate::GoesOn;
            assert_eq!(answer.is_in_transaction, is_open, "{name}: {answer:?}");
            // The caller can end its transaction, whatever its route and key are by now.
            let answer = deployment::run(&mut caller, "ROLLBACK").await;
            assert_eq!(answer.refusal, None, "{name}");
            assert!(answer.is_idle, "{name}: {answer:?}");
        }
        let is_kept = last_statement == "COMMIT" && case.running == RunningFate::GoesOn;
        let logged = self.deployment.group.logged_values(&item);
        assert_eq!(logged.len(), usize::from(is_kept), "{name}: {logged:?}");
        self.check_next(case, &name, &mut caller, &item).await;
    }

    /// Checks the next operation of a session, which keeps its values and prepared statements.
    async fn check_next(
        &mut self,
        case: &AccessCase,
        name: &str,
        caller: &mut caller::StandinCaller,
        item: &str,
    ) {
        let id = format!("{item}-next");
        let answer = caller.run_with_id(&id, &format!("EXECUTE s1 {item}")).await;
        let answer = answer.unwrap_or_else(|error| panic!("{name}: {error:?}"));
        assert!(answer.is_idle, "{name}: {answer:?}");
        let mut runs = self.deployment.group.take_history().runs.into_iter();
        let run = runs.find(|run| run.request == id);
        let workspace = run.as_ref().map(|run| run.workspace.as_str());
        // The connection of a transaction that was rolled back is not used again.
        let transaction = run.as_ref().and_then(|run| run.transaction);
        assert_eq!(transaction, None, "{name}");
        match case.next {
            NextFate::RunsFor(expected) => {
                assert_eq!(answer.refusal, None, "{name}");
                assert_eq!(workspace, Some(expected), "{name}");
                let values = run.map(|run| run.values).unwrap_or_default();
                let expected = BTreeMap::from([("zone".to_owned(), "z1".to_owned())]);
                assert_eq!(values, expected, "{name}");
            }
            NextFate::Elsewhere(_) => {
                // The other service has no database.
                let is_promise =
                    matches!(answer.refusal, Some(caller::CallerRefusal::NothingKept(_)));
                assert!(is_promise && workspace.is_none(), "{name}: {answer:?}");
            }
            NextFate::Denied => {
                let expected = Some(caller::CallerRefusal::KeyRefused);
                assert_eq!((answer.refusal, workspace), (expected, None), "{name}");
            }
            NextFate::UnknownRoute => {
                let expected = Some(caller::CallerRefusal::UnknownRoute);
                assert_eq!((answer.refusal, workspace), (expected, None), "{name}");
            }
        }
    }

    /// Returns the workspace in the log line about a refused statement, once it is written.
    async fn logged_workspace(&self, id: &str) -> String {
        let file = self.deployment.settings_file(0).with_extension("log");
        let started = Instant::now();
        loop {
            let log = std::fs::read_to_string(&file).expect("the VM has a log");
            let lines = log.lines();
            let mut values = lines.filter_map(|line| serde_json::from_str(line).ok());
            let is_refusal = |line: &serde_json::Value| line["id"] == id;
            if let Some(line) = values.find(is_refusal) {
                return line["workspace"].as_str().unwrap_or_default().to_owned();
            }
            assert!(started.elapsed() < LOG_LIMIT, "{id} is not in the log");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Guards against transactions that go on for a workspace that their key does not name any more, and
/// against those that end although only their route has gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transactions_and_next_operations_follow_the_table_of_changes() {
    let mut runner = CaseRunner::start().await;
    for (number, case) in access_cases::CASES.iter().enumerate() {
        for last_statement in ["READ boots", "COMMIT", "ROLLBACK"] {
            runner.play(case, number, last_statement).await;
        }
    }
}

/// Guards against log lines that name no workspace, or another one, in just the cases in which the
/// key of a transaction has gone: they looked it up in the newest configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_is_logged_with_the_workspace_of_its_transaction() {
    let mut runner = CaseRunner::start().await;
    let is_named = |case: &&AccessCase| case.running != RunningFate::GoesOn;
    let lost = access_cases::CASES.iter().filter(is_named).take(3);
    for (number, case) in lost.enumerate() {
        runner.play(case, number, "COMMIT").await;
        let id = format!("item-{number}-COMMIT-last");
        let begun_for = case.first.owner.unwrap_or(access_cases::PUBLIC);
        let logged = runner.logged_workspace(&id).await;
        assert_eq!(logged, begun_for, "{}", case.name);
    }
}
