//! A caller's session, and the recording of its statements.

use std::collections::BTreeMap;
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

/// A caller's session.
pub(super) struct CallerSession {
    caller: caller::StandinCaller,
    parameters: SessionParameters,
    number: u64,
    recorder: Arc<recorder::HistoryRecorder>,
    counter: Arc<SharedCounter>,
    /// The session settings whose change was acknowledged.
    setting_values: BTreeMap<String, String>,
    /// The definitions of the prepared statements by name: their kind and template.
    prepared_statements: BTreeMap<String, String>,
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

    /// Returns the definition of a prepared statement.
    pub(super) fn prepared_statement(&self, name: &str) -> Option<&str> {
        self.prepared_statements.get(name).map(String::as_str)
    }

    /// Runs and records a statement.
    pub(super) async fn run(
        &mut self,
        attempt: OperationAttempt,
        action: Action,
        text: &str,
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
        let recorded_text = self.recorded_text(text);
        self.recorder.record_statement(statement::CallerStatement {
            values: self.setting_values.clone(),
            sent_us,
            outcome: result.outcome.clone(),
            ..template.unanswered_statement(request, action, recorded_text)
        });
        if action == Action::Setup {
            self.apply_setup(text, &result.outcome);
        }
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

    /// Records an acknowledged change of session state; a failed change ends the
    /// session.
    fn apply_setup(&mut self, text: &str, outcome: &Outcome) {
        let words: Vec<&str> = text.split(' ').collect();
        self.is_open &= outcome.is_success();
        match words[..] {
            _ if !outcome.is_success() => {}
            ["SET", name, value] => {
                self.setting_values
                    .insert(name.to_owned(), value.to_owned());
            }
            ["PREPARE", name, kind, template] => {
                let definition = format!("{kind} {template}");
                self.prepared_statements.insert(name.to_owned(), definition);
            }
            ["DEALLOC", name] => {
                self.prepared_statements.remove(name);
            }
            _ => {}
        }
    }

    /// Returns the text with the definition of a prepared statement in place of its
    /// name.
    fn recorded_text(&self, text: &str) -> String {
        let execution = text.strip_prefix("EXECUTE ");
        let execution = execution.and_then(|rest| rest.split_once(' '));
        let recorded_text = execution.and_then(|(name, arguments)| {
            let definition = self.prepared_statement(name)?;
            Some(format!("EXECUTE {definition} {arguments}"))
        });
        recorded_text.unwrap_or_else(|| text.to_owned())
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
