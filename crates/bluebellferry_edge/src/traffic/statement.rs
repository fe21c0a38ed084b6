//! Runs a caller's statement: admission, routing, retries and the answer.

mod outcomes;
mod reporting;
mod setup;

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_platform::caller;
use bluebellferry_platform::database;
use bluebellferry_pool::pool;
use bluebellferry_runtime::clock;
use bluebellferry_session::connection_state;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_shares::limiter;
use bluebellferry_types::position;
use bluebellferry_types::refusal;

use crate::shared;
use crate::traffic::access;
use crate::traffic::acknowledgement;
use crate::traffic::connection;
use crate::traffic::dispatch;
use crate::traffic::placement;
use crate::traffic::reads;
use crate::traffic::session;

/// How often an acknowledged commit is assessed again while the lease of its leader has expired.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The access and the time limits of a statement.
#[derive(Debug, Clone)]
struct StatementScope {
    /// What the statement, or its transaction, was granted when it began.
    grant: Rc<access::AccessGrant>,
    /// When the first byte of the statement, or of its transaction, was received.
    arrived: Instant,
    deadline: Instant,
}

/// The outcome of an attempt to run a statement at one database.
enum AttemptOutcome {
    /// The database answered; the answer is passed to the caller.
    Answered(database::DatabaseAnswer),
    /// The statement may be retried: it has not run, or it is a read. Contains the reason.
    Retry(&'static str),
    /// The statement is refused.
    Refused(refusal::RequestRefusal),
}

impl session::CallerSession {
    /// Runs a statement and writes its answer without the READY line to `out`. Returns the log
    /// position for the READY line.
    pub(super) async fn run_statement(
        &mut self,
        statement: &statement::Statement,
        arrived: Instant,
        out: &mut String,
    ) -> Option<String> {
        let result = self.dispatch_statement(statement, arrived).await;
        let kind = outcomes::kind_label(&statement.action);
        let elapsed = clock::now().saturating_duration_since(arrived);
        self.context.metrics.count_statement(kind, elapsed);
        match result {
            Ok(Some(answer)) => {
                caller::encode_answer(out, &answer);
                answer.position_text
            }
            Ok(None) => {
                caller::encode_local_completion(out);
                None
            }
            Err(refusal) => {
                self.context.metrics.count_refusal(refusal.reason);
                self.log_refusal(statement, kind, &refusal, elapsed);
                caller::encode_refusal(out, &refusal);
                None
            }
        }
    }

    /// Answers a statement locally or runs it at a database. Returns `None` if it succeeded
    /// locally.
    async fn dispatch_statement(
        &mut self,
        statement: &statement::Statement,
        arrived: Instant,
    ) -> Result<Option<database::DatabaseAnswer>, refusal::RequestRefusal> {
        if self.state.has_lost_transaction() {
            return self.answer_after_loss(statement).map(|()| None);
        }
        if let Err(refusal) = self.confirm_transaction() {
            return self.refuse_in_lost_transaction(statement, refusal);
        }
        let is_new_operation = self.state.starts_operation(statement);
        let scope = self
            .admit_statement(statement, is_new_operation, arrived)
            .await?;
        if is_new_operation && matches!(statement.action, statement::StatementAction::Begin { .. })
        {
            self.transaction = Some(session::TransactionContext {
                grant: Rc::clone(&scope.grant),
                arrived,
            });
        }
        let plan = match self.state.plan_statement(statement) {
            state::StatementPlan::Answer(answer) => {
                self.release_ended_transaction();
                if let statement::StatementAction::Prepare { template, .. } = &statement.action {
                    self.context.metrics.count_prepared(template);
                }
                return match answer {
                    state::LocalAnswer::Done => Ok(None),
                    state::LocalAnswer::Refused(refusal) => Err(refusal),
                };
            }
            state::StatementPlan::Run(plan) => plan,
        };
        let answer = if self.transaction_connection.is_some() {
            self.run_in_transaction(statement, &plan, &scope).await
        } else if plan.opening.is_some() {
            self.begin_and_run(statement, &plan, &scope).await
        } else {
            self.run_autocommit(statement, &plan, &scope).await
        };
        self.release_ended_transaction();
        answer.map(Some)
    }

    /// Puts the connection of a transaction that has ended back into the pool.
    fn release_ended_transaction(&mut self) {
        if self.state.transaction_status() == state::TransactionStatus::Idle {
            self.transaction = None;
            if let Some(connection) = self.transaction_connection.take() {
                self.context.dispatcher.release(connection);
            }
        }
    }

    /// Checks that the open transaction, if there is one, still runs for the workspace that the
    /// caller's key names. Rolls it back otherwise.
    fn confirm_transaction(&mut self) -> Result<(), refusal::RequestRefusal> {
        let Some(transaction) = &self.transaction else {
            return Ok(());
        };
        self.latest_grant = Some(Rc::clone(&transaction.grant));
        let snapshot = self.context.shared.snapshot();
        let confirmed = transaction.grant.claim.confirm(&snapshot.configuration);
        if let Err(refusal) = &confirmed {
            let is_withdrawn = refusal.reason == refusal::RefusalReason::KeyRefused;
            self.roll_back_transaction(if is_withdrawn {
                "key withdrawn"
            } else {
                "key names another workspace"
            });
        }
        confirmed
    }

    /// Answers the statement at which a transaction was rolled back because its key no longer names
    /// its workspace.
    ///
    /// # Errors
    /// Returns `refusal`, unless the statement asked for the rollback.
    fn refuse_in_lost_transaction(
        &mut self,
        statement: &statement::Statement,
        refusal: refusal::RequestRefusal,
    ) -> Result<Option<database::DatabaseAnswer>, refusal::RequestRefusal> {
        let answered = self.answer_after_loss(statement);
        if statement.action == statement::StatementAction::Rollback {
            return answered.map(|()| None);
        }
        Err(refusal)
    }

    /// Answers a statement of a transaction that is not open at any database any more. It needs
    /// neither a route nor a key, so that the caller can end the transaction in any case.
    ///
    /// # Errors
    /// Returns a refusal unless the statement is ROLLBACK.
    fn answer_after_loss(
        &mut self,
        statement: &statement::Statement,
    ) -> Result<(), refusal::RequestRefusal> {
        match self.state.plan_statement(statement) {
            state::StatementPlan::Answer(state::LocalAnswer::Done) => Ok(()),
            state::StatementPlan::Answer(state::LocalAnswer::Refused(refusal)) => Err(refusal),
            state::StatementPlan::Run(_) => Err(outcomes::transaction_ended()),
        }
    }

    /// Checks the caller's route, key and rate limit, and returns the statement's scope.
    async fn admit_statement(
        &mut self,
        statement: &statement::Statement,
        is_new_operation: bool,
        arrived: Instant,
    ) -> Result<StatementScope, refusal::RequestRefusal> {
        if let Some(transaction) = self.transaction.clone() {
            return Ok(StatementScope {
                deadline: arrived + transaction.grant.policy.statement_timeout,
                grant: transaction.grant,
                arrived: transaction.arrived,
            });
        }
        let snapshot = self.context.shared.snapshot();
        let identity = &self.identity;
        let granted = access::AccessGrant::for_new_operation(&snapshot.configuration, identity);
        let granted = granted.map(Rc::new);
        self.latest_grant = granted.as_ref().ok().cloned();
        let grant = granted?;
        let scope = StatementScope {
            deadline: arrived + grant.policy.statement_timeout,
            grant,
            arrived,
        };
        if is_new_operation {
            self.context
                .shared
                .operation_count
                .fetch_add(1, Ordering::Relaxed);
            let workspace = &scope.grant.claim.workspace;
            let share = self.context.shared.rate_limiter.find(workspace);
            self.prepare_connection(statement, &scope, share.as_deref());
            if let Some(share) = share {
                self.take_token(&scope, &share).await?;
            }
        }
        Ok(scope)
    }

    /// Checks that a statement that has waited still runs for the workspace that the caller's key
    /// names.
    fn confirm_claim(&self, scope: &StatementScope) -> Result<(), refusal::RequestRefusal> {
        let snapshot = self.context.shared.snapshot();
        scope.grant.claim.confirm(&snapshot.configuration)
    }

    /// Encodes a statement that is to be sent at once, if it still runs for the workspace that the
    /// caller's key names.
    fn encode_confirmed<'a>(
        &self,
        settled: connection::StatementConnection<'a>,
        id: &str,
        min_position: Option<position::LogPosition>,
        scope: &StatementScope,
    ) -> Result<connection::EncodedStatement<'a>, refusal::RequestRefusal> {
        self.confirm_claim(scope)?;
        let encoded = settled.encode(id, min_position);
        encoded.map_err(outcomes::not_sendable)
    }

    /// Starts to open a connection for an operation unless one is idle, so that the handshake goes
    /// on while the operation waits for a token, or its caller prepares the first statement of a
    /// transaction.
    fn prepare_connection(
        &self,
        statement: &statement::Statement,
        scope: &StatementScope,
        share: Option<&limiter::RateShare>,
    ) {
        let Some(reads_only) = self.state.reads_only(statement) else {
            return;
        };
        let level = scope.grant.policy.priority.into();
        if share.is_some_and(|share| !share.is_promising(level, clock::now())) {
            return;
        }
        let query = self.state.prepared_query(statement);
        let mut request = self.placement_request(scope, query);
        if matches!(statement.action, statement::StatementAction::Begin { .. }) {
            request.needs.optional = self.state.prepared_queries();
        }
        let min_position = self.replica_min_position(scope);
        request.requirement.replica_min_position = min_position.filter(|_| reads_only);
        self.context.dispatcher.prepare_connection(&request);
    }

    /// Takes a token from the workspace's token bucket, and waits for one for a limited time.
    async fn take_token(
        &self,
        scope: &StatementScope,
        share: &limiter::RateShare,
    ) -> Result<(), refusal::RequestRefusal> {
        let shared = &self.context.shared;
        let workspace = &scope.grant.claim.workspace;
        let snapshot = shared.snapshot();
        let level = scope.grant.policy.priority.into();
        let admission = share.admit_urgent(level, snapshot.loan_timeout, &shared.tokens_wanted);
        let claim = &scope.grant.claim;
        let admitted = claim.confirm_during(shared, admission).await?;
        admitted.map_err(|shortage| {
            let reason = refusal::RefusalReason::RateExceeded;
            let text = format!("the workspace {workspace} has used up its rate");
            let policy = snapshot.configuration.workspaces.get(workspace);
            let rate = policy.map_or(0.0, |policy| policy.rate_per_second);
            let retry_after = shortage.caller_retry_delay(rate);
            refusal::RequestRefusal::not_run(reason, text).retry_after(retry_after)
        })
    }

    /// Runs a statement on the connection of the open transaction.
    async fn run_in_transaction(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let Some(mut connection) = self.transaction_connection.take() else {
            return Err(outcomes::refuse_aborted_transaction(
                "the transaction has no connection",
            ));
        };
        let is_writing_commit = plan.kind == state::RunKind::Commit && self.state.has_written();
        let query = plan.text.prepared_query();
        let set_up = self.set_up(&mut connection, query, scope.deadline).await;
        let mut admitted =
            set_up.map_err(|error| self.refuse_in_transaction(&statement.id, &connection, &error));
        if admitted.is_ok() {
            admitted = self.admit_in_transaction(&connection, scope).await;
        }
        if admitted.is_ok() && is_writing_commit {
            admitted = self.wait_for_lease(connection.database, scope).await;
        }
        let encoded = admitted.and_then(|()| {
            let settled = connection.for_statement(self.state.settings(), &plan.text, true);
            let settled = settled.ok_or_else(outcomes::transaction_ended)?;
            self.encode_confirmed(settled, &statement.id, None, scope)
        });
        let encoded = match encoded {
            Ok(encoded) => encoded,
            Err(refusal) => {
                self.context.dispatcher.discard(connection);
                self.lose_transaction(plan);
                return Err(refusal);
            }
        };
        let sent = self.record_send(encoded.database());
        match encoded.run(scope.deadline).await {
            Ok(answer) => {
                self.record_answer(&connection, &answer, &sent, plan);
                let has_ended = connection.has_ended_transaction();
                if has_ended && answer.error.is_none() && plan.kind == state::RunKind::InTransaction
                {
                    self.context.dispatcher.discard(connection);
                    self.lose_transaction(plan);
                    // A write that ran outside its transaction was committed.
                    if plan.is_write {
                        self.in_doubt_at = Some(clock::now());
                        return Err(outcomes::in_doubt(connection::ExchangeError::Malformed));
                    }
                    return Err(outcomes::transaction_ended());
                }
                let database = connection.database;
                self.transaction_connection = Some(connection);
                if is_writing_commit
                    && answer.error.is_none()
                    && let Err(refusal) = self.confirm_commit(database, &answer, &sent, scope).await
                {
                    self.state.record_outcome(plan, state::RunOutcome::Lost);
                    return Err(refusal);
                }
                self.state
                    .record_outcome(plan, outcomes::outcome_of(&answer));
                if plan.kind == state::RunKind::FailedCommit {
                    return Err(outcomes::refuse_aborted_transaction(
                        "the transaction had failed and was rolled back",
                    ));
                }
                Ok(answer)
            }
            Err(error) => {
                self.record_failure(&statement.id, connection, error, outcomes::is_commit(plan));
                if plan.kind == state::RunKind::Commit {
                    self.in_doubt_at = Some(clock::now());
                }
                self.lose_transaction(plan);
                Err(outcomes::connection_lost(plan.kind, error))
            }
        }
    }

    /// Waits until the database of an open transaction may receive another statement.
    async fn admit_in_transaction(
        &self,
        connection: &dispatch::PoolConnection,
        scope: &StatementScope,
    ) -> Result<(), refusal::RequestRefusal> {
        let dispatcher = &self.context.dispatcher;
        if dispatcher.is_past_evacuation(connection.database, clock::now()) {
            return Err(outcomes::refuse_aborted_transaction(
                "the data centre of the transaction's database is being evacuated",
            ));
        }
        dispatcher
            .keep_pace(connection.database, &scope.grant.claim, scope.deadline)
            .await
    }

    /// Records that the open transaction ended with the connection that it ran on.
    fn lose_transaction(&mut self, plan: &state::RunPlan) {
        self.state.record_outcome(plan, state::RunOutcome::Lost);
        self.transaction = None;
    }

    /// Opens the transaction that the caller began earlier, and runs its first statement.
    async fn begin_and_run(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let Some(opening) = plan.opening.clone() else {
            return Err(outcomes::refuse_aborted_transaction(
                "no transaction is to be opened",
            ));
        };
        let query = plan.text.prepared_query();
        if let Err(refusal) = self.open_transaction(&opening, query, scope).await {
            self.state.record_transaction_failed();
            self.transaction = None;
            return Err(refusal);
        }
        self.state.record_transaction_opened();
        self.run_in_transaction(statement, plan, scope).await
    }

    /// Acquires a connection and opens a transaction on it, retrying at other databases until the
    /// deadline. The connection also gets what the transaction's first statement needs to be
    /// prepared.
    async fn open_transaction(
        &mut self,
        opening: &state::TransactionOpening,
        query: Option<&statement::PreparedQuery>,
        scope: &StatementScope,
    ) -> Result<(), refusal::RequestRefusal> {
        let text = database::begin_transaction_text(opening.read_only);
        let text = statement::StatementText::Verbatim(text.to_owned());
        let mut request = self.placement_request(scope, query);
        request.needs.optional = self.state.prepared_queries();
        while clock::now() < scope.deadline {
            let min_position = self.replica_min_position(scope);
            request.requirement.replica_min_position = min_position.filter(|_| opening.read_only);
            let placed = self
                .acquire_set_up(&opening.begin_id, query, &mut request)
                .await?;
            let dispatch::PlacedConnection {
                mut connection,
                min_position,
            } = placed;
            // BEGIN is answered before anything else is sent: if the database rejected it, a
            // statement behind it would run outside any transaction.
            let settled = connection.for_statement(self.state.settings(), &text, false);
            let Some(settled) = settled else {
                self.context.dispatcher.release(connection);
                continue;
            };
            let encoded =
                match self.encode_confirmed(settled, &opening.begin_id, min_position, scope) {
                    Ok(encoded) => encoded,
                    Err(refusal) => {
                        self.context.dispatcher.release(connection);
                        return Err(refusal);
                    }
                };
            let response_deadline = self.response_deadline(encoded.database(), scope.deadline);
            match encoded
                .run(response_deadline)
                .await
                .map(|answer| answer.error)
            {
                Ok(None) if connection.has_ended_transaction() => {
                    request.excluded.push(connection.database);
                    let error = connection::ExchangeError::Malformed;
                    self.record_failure(&opening.begin_id, connection, error, false);
                }
                Ok(None) => {
                    self.transaction_connection = Some(connection);
                    return Ok(());
                }
                Ok(Some(error)) => {
                    self.report_lagging_leader(&connection, error);
                    self.handle_rejection(&connection, error, min_position.is_some(), &mut request)
                        .await;
                    self.context.dispatcher.release(connection);
                }
                Err(error) => {
                    request.excluded.push(connection.database);
                    self.record_failure(&opening.begin_id, connection, error, false);
                }
            }
        }
        Err(outcomes::no_database())
    }

    /// Runs a statement outside any transaction.
    async fn run_autocommit(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let is_read = plan.kind == state::RunKind::AutocommitRead;
        let query = plan.text.prepared_query();
        let mut request = self.placement_request(scope, query);
        while clock::now() < scope.deadline {
            let min_position = self.replica_min_position(scope);
            request.requirement.replica_min_position = min_position.filter(|_| is_read);
            let placed = self
                .acquire_set_up(&statement.id, query, &mut request)
                .await?;
            let outcome = if is_read {
                self.try_read(statement, plan, scope, placed, &mut request)
                    .await
            } else {
                self.try_write(statement, plan, scope, placed.connection, &mut request)
                    .await
            };
            match outcome {
                AttemptOutcome::Answered(answer) => return Ok(answer),
                AttemptOutcome::Refused(refusal) => return Err(refusal),
                AttemptOutcome::Retry(reason) => self.record_retry(statement, reason, &request),
            }
        }
        Err(outcomes::no_database())
    }

    /// Attempts a read at one database.
    async fn try_read(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
        placed: dispatch::PlacedConnection,
        request: &mut dispatch::PlacementRequest,
    ) -> AttemptOutcome {
        let dispatch::PlacedConnection {
            mut connection,
            min_position,
        } = placed;
        let Some(settled) = connection.for_statement(self.state.settings(), &plan.text, false)
        else {
            self.context.dispatcher.release(connection);
            return AttemptOutcome::Retry("not_set_up");
        };
        let encoded = match self.encode_confirmed(settled, &statement.id, min_position, scope) {
            Ok(encoded) => encoded,
            Err(refusal) => {
                self.context.dispatcher.release(connection);
                return AttemptOutcome::Refused(refusal);
            }
        };
        let sent = self.record_send(encoded.database());
        let response_deadline = self.response_deadline(encoded.database(), scope.deadline);
        let answer = match encoded.run(response_deadline).await {
            Ok(answer) => answer,
            Err(error) => {
                request.excluded.push(connection.database);
                self.record_failure(&statement.id, connection, error, false);
                if clock::now() >= scope.deadline {
                    return AttemptOutcome::Refused(outcomes::timed_out());
                }
                return AttemptOutcome::Retry("no_answer");
            }
        };
        self.record_answer(&connection, &answer, &sent, plan);
        let Some(error) = answer.error else {
            if min_position.is_some() {
                self.context
                    .dispatcher
                    .record_caught_up(connection.database);
            }
            self.log_read_sample(&statement.id, scope.arrived, &connection, min_position);
            self.context.dispatcher.release(connection);
            return AttemptOutcome::Answered(answer);
        };
        // A read is idempotent, so it may be retried whether or not it has run.
        let may_retry = error != database::DatabaseError::Other && clock::now() < scope.deadline;
        self.report_lagging_leader(&connection, error);
        self.handle_rejection(&connection, error, min_position.is_some(), request)
            .await;
        self.context.dispatcher.release(connection);
        if may_retry {
            AttemptOutcome::Retry(error.as_str())
        } else {
            AttemptOutcome::Answered(answer)
        }
    }

    /// Attempts a write at the leader. Once the write has been sent, its outcome is unknown until
    /// the answer arrives.
    async fn try_write(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
        mut connection: dispatch::PoolConnection,
        request: &mut dispatch::PlacementRequest,
    ) -> AttemptOutcome {
        let Some(settled) = connection.for_statement(self.state.settings(), &plan.text, false)
        else {
            self.context.dispatcher.release(connection);
            return AttemptOutcome::Retry("not_set_up");
        };
        let encoded = match self.encode_confirmed(settled, &statement.id, None, scope) {
            Ok(encoded) => encoded,
            Err(refusal) => {
                self.context.dispatcher.release(connection);
                return AttemptOutcome::Refused(refusal);
            }
        };
        let sent = self.record_send(encoded.database());
        let answer = match encoded.run(scope.deadline).await {
            Ok(answer) => answer,
            Err(error) => {
                self.record_failure(&statement.id, connection, error, true);
                self.in_doubt_at = Some(clock::now());
                return AttemptOutcome::Refused(outcomes::in_doubt(error));
            }
        };
        self.record_answer(&connection, &answer, &sent, plan);
        match answer.error {
            Some(error) if error.is_not_run() && error != database::DatabaseError::Busy => {
                self.handle_rejection(&connection, error, false, request)
                    .await;
                self.context.dispatcher.release(connection);
                AttemptOutcome::Retry(error.as_str())
            }
            _ => {
                let database = connection.database;
                self.context.dispatcher.release(connection);
                if answer.error.is_none()
                    && let Err(refusal) = self.confirm_commit(database, &answer, &sent, scope).await
                {
                    return AttemptOutcome::Refused(refusal);
                }
                self.state
                    .record_outcome(plan, outcomes::outcome_of(&answer));
                AttemptOutcome::Answered(answer)
            }
        }
    }

    /// Waits a short time until the database of an open transaction is a leader with a valid
    /// lease, so that its acknowledgement of the commit can be relied on.
    ///
    /// # Errors
    /// Returns a refusal if the database no longer leads, or cannot be confirmed to lead in time.
    async fn wait_for_lease(
        &self,
        database: pool::DatabaseIndex,
        scope: &StatementScope,
    ) -> Result<(), refusal::RequestRefusal> {
        let entry = self.context.dispatcher.registry_entry(database);
        let wait_until = clock::now() + dispatch::SERVED_ELSEWHERE_TIMEOUT;
        let wait_until = wait_until.min(scope.deadline);
        let mut changes = self.context.shared.subscribe_to_snapshots();
        loop {
            changes.mark_unchanged();
            let now = clock::now();
            let snapshot = self.context.shared.snapshot();
            let leader = snapshot.leaders.get(&entry.service);
            if leader.is_none_or(|leader| leader.is_being_replaced || leader.database != entry.id) {
                return Err(outcomes::refuse_aborted_transaction(
                    "the transaction's database no longer leads",
                ));
            }
            if snapshot.leased_leader(&entry.service, now).is_some() {
                return Ok(());
            }
            if now >= wait_until {
                return Err(outcomes::refuse_aborted_transaction(
                    "it cannot be confirmed that the transaction's database still leads",
                ));
            }
            let time_left = wait_until.saturating_duration_since(now);
            tokio::time::timeout(time_left, changes.changed())
                .await
                .ok();
        }
    }

    /// Waits until it is certain that a commit which `database` acknowledged is kept.
    ///
    /// # Errors
    /// Returns a refusal with an unknown outcome if that is not certain by the deadline, or if
    /// another database was promoted that may lack the commit.
    async fn confirm_commit(
        &mut self,
        database: pool::DatabaseIndex,
        answer: &database::DatabaseAnswer,
        sent: &reporting::SendRecord,
        scope: &StatementScope,
    ) -> Result<(), refusal::RequestRefusal> {
        let entry = self.context.dispatcher.registry_entry(database);
        let leader = sent.snapshot.leaders.get(&entry.service);
        if let Some(leader) = leader.filter(|leader| leader.database == entry.id) {
            let shared = &self.context.shared;
            shared.record_acknowledged(&entry.service, leader, answer.position);
        }
        let mut changes = self.context.shared.subscribe_to_snapshots();
        loop {
            changes.mark_unchanged();
            let snapshot = self.context.shared.snapshot();
            let now = clock::now();
            let certainty = acknowledgement::assess_commit(
                &sent.snapshot,
                &snapshot,
                &entry,
                answer.position,
                now,
            );
            let is_unsettled = certainty == acknowledgement::CommitCertainty::Unsettled;
            if certainty == acknowledgement::CommitCertainty::Kept {
                return Ok(());
            }
            if !is_unsettled || now >= scope.deadline {
                self.in_doubt_at = Some(now);
                return Err(outcomes::unconfirmed_commit());
            }
            let time_left = scope.deadline.saturating_duration_since(now);
            tokio::time::timeout(time_left.min(LEASE_CHECK_INTERVAL), changes.changed())
                .await
                .ok();
        }
    }

    /// Reports to the control thread that a leader rejected a statement as lagging, although its
    /// log contains the required position as long as it leads. Has no effect for a replica.
    fn report_lagging_leader(
        &self,
        connection: &dispatch::PoolConnection,
        error: database::DatabaseError,
    ) {
        if error == database::DatabaseError::Lagging {
            let kind = shared::EvidenceKind::NotLeading;
            self.context
                .dispatcher
                .report_evidence(connection.database, kind);
        }
    }

    fn placement_request(
        &self,
        scope: &StatementScope,
        query: Option<&statement::PreparedQuery>,
    ) -> dispatch::PlacementRequest {
        dispatch::PlacementRequest {
            service: scope.grant.policy.service.clone(),
            claim: scope.grant.claim.clone(),
            pool_request: pool::ConnectionRequest {
                workspace: scope.grant.claim.workspace.clone(),
                priority: scope.grant.policy.priority,
                slo_deadline: scope.arrived + scope.grant.policy.latency_objective,
            },
            requirement: placement::PlacementRequirement {
                replica_min_position: None,
            },
            homes: scope.grant.homes.clone(),
            excluded: Vec::new(),
            deadline: scope.deadline,
            served_elsewhere_deadline: clock::now() + dispatch::SERVED_ELSEWHERE_TIMEOUT,
            needs: connection_state::SessionNeeds {
                settings: Arc::clone(self.state.settings()),
                query: query.cloned(),
                optional: Vec::new(),
            },
        }
    }

    /// Returns until when a read or BEGIN that is sent now waits for a database.
    fn response_deadline(&self, database: pool::DatabaseIndex, deadline: Instant) -> Instant {
        deadline.min(clock::now() + self.context.dispatcher.response_timeout(database))
    }

    /// Returns the position that a replica must have replayed to serve a read; `None` if only
    /// the leader may serve it.
    fn replica_min_position(&self, scope: &StatementScope) -> Option<position::LogPosition> {
        let positions = self.context.shared.lock_positions();
        let history = positions.get(&scope.grant.policy.service);
        let floor = match self.in_doubt_at {
            Some(in_doubt_at) => reads::SessionFloor::InDoubt {
                at: in_doubt_at,
                floor: self.state.floor(),
            },
            None => reads::SessionFloor::Known(self.state.floor()),
        };
        match reads::read_requirement(scope.grant.policy.guarantee, floor, history, scope.arrived) {
            reads::ReadRequirement::MinPosition(position) => Some(position),
            reads::ReadRequirement::Leader => None,
        }
    }
}
