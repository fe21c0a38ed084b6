//! A caller's session, and the recording of its statements.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_standin_platform::caller;
use statement::StatementAction as Action;
use statement::StatementOutcome as Outcome;

use super::CallerRoute;
use super::SharedCounter;

/// The timeout for opening a session, as for the platform's own callers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for an answer: twice the timeout of a statement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The parameters for opening a session.
pub(super) struct SessionParameters {
    pub(super) address: SocketAddr,
    pub(super) vm: String,
    pub(super) route: CallerRoute,
    pub(super) key: String,
}

/// The attempt at an operation to which a statement belongs.
#[derive(Debug, Clone, Copy)]
pub(super) struct OperationAttempt {
    pub(super) number: u64,
    pub(super) is_transaction: bool,
}

/// The result of a statement, as its caller received it.
pub(super) struct StatementResult {
    pub(super) outcome: Outcome,
    /// Whether the answer says that a database executed the statement and failed.
    pub(super) is_database_error: bool,
    /// Whether the session is outside a transaction.
    pub(super) is_idle: bool,
}

/// What a prepared statement runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PreparedShape {
    pub(super) is_write: bool,
    /// The template, which extends to the end of the line.
    pub(super) template: &'static str,
}

impl fmt::Display for PreparedShape {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_write { "WRITE" } else { "READ" };
        write!(formatter, "{kind} {}", self.template)
    }
}

/// A statement that changes session state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionSetup {
    Set {
        name: &'static str,
        /// The value, which extends to the end of the line.
        value: &'static str,
    },
    Prepare {
        name: &'static str,
        shape: PreparedShape,
    },
    Deallocate(&'static str),
}

impl fmt::Display for SessionSetup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Set { name, value } => write!(formatter, "SET {name} {value}"),
            Self::Prepare { name, shape } => write!(formatter, "PREPARE {name} {shape}"),
            Self::Deallocate(name) => write!(formatter, "DEALLOC {name}"),
        }
    }
}

/// A caller's session.
pub(super) struct CallerSession {
    caller: caller::StandinCaller,
    parameters: SessionParameters,
    number: u64,
    recorder: Arc<recorder::HistoryRecorder>,
    counter: Arc<SharedCounter>,
    /// The session settings whose change was acknowledged.
    setting_values: BTreeMap<String, String>,
    /// The shapes of the prepared statements by name.
    prepared_statements: BTreeMap<&'static str, PreparedShape>,
    is_open: bool,
}

impl CallerSession {
    /// Opens a session.
    ///
    /// # Errors
    /// Returns the outcome that was recorded if the session could not be opened.
    pub(super) async fn open(
        parameters: SessionParameters,
        recorder: Arc<recorder::HistoryRecorder>,
        counter: Arc<SharedCounter>,
    ) -> Result<Self, Outcome> {
        let sent_us = recorder::now_us();
        let (address, route, key) = (parameters.address, parameters.route.name, &parameters.key);
        let connecting = caller::StandinCaller::connect(address, route, key);
        let connected = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(caller)) => Ok(caller),
            Ok(Err(refusal)) => Err(refusal_outcome(&refusal)),
            Err(_) => Err(Outcome::Broken),
        };
        let number = counter.next();
        let template = StatementTemplate {
            parameters: &parameters,
            session: number,
            attempt: OperationAttempt {
                number,
                is_transaction: false,
            },
        };
        let outcome = connected.as_ref().err().cloned();
        recorder.record_statement(statement::CallerStatement {
            sent_us,
            outcome: outcome.unwrap_or_else(|| success_outcome("-".to_owned(), Vec::new())),
            ..template.unanswered_statement(
                format!("start-{number}"),
                Action::Start,
                "STARTUP".to_owned(),
            )
        });
        Ok(Self {
            caller: connected?,
            parameters,
            number,
            recorder,
            counter,
            setting_values: BTreeMap::new(),
            prepared_statements: BTreeMap::new(),
            is_open: true,
        })
    }

    /// Returns a new attempt with a unique number.
    pub(super) fn new_attempt(&self, is_transaction: bool) -> OperationAttempt {
        OperationAttempt {
            number: self.counter.next(),
            is_transaction,
        }
    }

    /// Returns whether the session is still open. An answer without a request ends the
    /// session, and is recorded as a read that no database executed.
    pub(super) async fn check_usable(&mut self) -> bool {
        if self.is_open {
            match self.caller.take_unsolicited().await {
                caller::UnsolicitedInput::Nothing => {}
                caller::UnsolicitedInput::End => self.is_open = false,
                caller::UnsolicitedInput::Answer(text) => {
                    self.is_open = false;
                    let attempt = self.new_attempt(false);
                    let request = format!("unasked-{}", attempt.number);
                    let outcome = success_outcome(text, Vec::new());
                    self.record_statement(attempt, request, Action::Read, String::new(), outcome);
                }
            }
        }
        self.is_open
    }

    /// Returns the names and shapes of the prepared statements.
    pub(super) const fn prepared_statements(&self) -> &BTreeMap<&'static str, PreparedShape> {
        &self.prepared_statements
    }

    /// Runs and records a statement that is not prepared.
    pub(super) async fn run(
        &mut self,
        attempt: OperationAttempt,
        action: Action,
        text: &str,
    ) -> StatementResult {
        self.run_recorded(attempt, action, text, text.to_owned(), None)
            .await
    }

    /// Runs and records a prepared statement.
    pub(super) async fn run_prepared(
        &mut self,
        attempt: OperationAttempt,
        name: &str,
        shape: PreparedShape,
        arguments: &str,
    ) -> StatementResult {
        let action = if shape.is_write {
            Action::Write
        } else {
            Action::Read
        };
        let text = format!("EXECUTE {name} {arguments}");
        let recorded_text = format!("EXECUTE {arguments}");
        let shape = Some(shape.to_string());
        self.run_recorded(attempt, action, &text, recorded_text, shape)
            .await
    }

    /// Changes session state. A failed change ends the session.
    pub(super) async fn set_up(&mut self, setup: SessionSetup) {
        let attempt = self.new_attempt(false);
        let result = self.run(attempt, Action::Setup, &setup.to_string()).await;
        if !result.outcome.is_success() {
            self.is_open = false;
            return;
        }
        match setup {
            SessionSetup::Set { name, value } => {
                self.setting_values
                    .insert(name.to_owned(), value.to_owned());
            }
            SessionSetup::Prepare { name, shape } => {
                self.prepared_statements.insert(name, shape);
            }
            SessionSetup::Deallocate(name) => {
                self.prepared_statements.remove(name);
            }
        }
    }

    async fn run_recorded(
        &mut self,
        attempt: OperationAttempt,
        action: Action,
        text: &str,
        recorded_text: String,
        shape: Option<String>,
    ) -> StatementResult {
        let request = format!("q{}", self.counter.next());
        let sent_us = recorder::now_us();
        let request_future = self.caller.run_with_id(&request, text);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, request_future).await;
        let result = match answer {
            Ok(Ok(answer)) => StatementResult {
                is_database_error: answer.refusal == Some(caller::CallerRefusal::Failed),
                is_idle: answer.is_idle,
                outcome: match answer.refusal {
                    Some(refusal) => refusal_outcome(&refusal),
                    None => success_outcome(answer.receipt.unwrap_or_default(), answer.rows),
                },
            },
            Ok(Err(_)) | Err(_) => {
                self.is_open = false;
                StatementResult {
                    is_database_error: false,
                    is_idle: false,
                    outcome: Outcome::Broken,
                }
            }
        };
        let template = self.statement_template(attempt);
        self.recorder.record_statement(statement::CallerStatement {
            shape,
            values: self.setting_values.clone(),
            sent_us,
            outcome: result.outcome.clone(),
            ..template.unanswered_statement(request, action, recorded_text)
        });
        result
    }

    /// Closes the session if it is still open.
    pub(super) async fn close(self) {
        if self.is_open {
            self.caller.close_session().await;
        }
    }

    /// Marks the session as closed, so that its connection is dropped without an
    /// orderly close.
    pub(super) const fn mark_closed(&mut self) {
        self.is_open = false;
    }

    const fn statement_template(&self, attempt: OperationAttempt) -> StatementTemplate<'_> {
        StatementTemplate {
            parameters: &self.parameters,
            session: self.number,
            attempt,
        }
    }

    fn record_statement(
        &self,
        attempt: OperationAttempt,
        request: String,
        action: Action,
        text: String,
        outcome: Outcome,
    ) {
        self.recorder.record_statement(statement::CallerStatement {
            outcome,
            ..self
                .statement_template(attempt)
                .unanswered_statement(request, action, text)
        });
    }
}

/// The values that all statements of an attempt have in common.
struct StatementTemplate<'a> {
    parameters: &'a SessionParameters,
    session: u64,
    attempt: OperationAttempt,
}

impl StatementTemplate<'_> {
    /// Returns a statement that was sent and ended now without an answer.
    fn unanswered_statement(
        &self,
        request: String,
        action: Action,
        text: String,
    ) -> statement::CallerStatement {
        let route = self.parameters.route;
        let now_us = recorder::now_us();
        statement::CallerStatement {
            session: self.session,
            attempt: self.attempt.number,
            is_in_transaction: self.attempt.is_transaction,
            request,
            vm: self.parameters.vm.clone(),
            route: route.name.to_owned(),
            kind: route.kind,
            timeout_us: route.timeout.as_micros() as u64,
            key: self.parameters.key.clone(),
            action,
            text,
            shape: None,
            values: BTreeMap::new(),
            sent_us: now_us,
            ended_us: now_us,
            outcome: Outcome::Broken,
        }
    }
}

const fn success_outcome(receipt: String, rows: Vec<String>) -> Outcome {
    Outcome::Answered { receipt, rows }
}

fn refusal_outcome(refusal: &caller::CallerRefusal) -> Outcome {
    use caller::CallerRefusal as Refusal;
    match refusal {
        Refusal::UnknownRoute => Outcome::UnknownRoute,
        Refusal::KeyRefused => Outcome::KeyRefused,
        Refusal::NothingKept(_) => Outcome::NothingKept,
        Refusal::InDoubt | Refusal::Failed | Refusal::Malformed => Outcome::InDoubt,
        // Any other error leaves open whether the statement took effect. Other texts
        // report a lost connection.
        Refusal::Other(text) if text.starts_with("ERROR ") => Outcome::InDoubt,
        Refusal::Other(_) => Outcome::Broken,
    }
}
