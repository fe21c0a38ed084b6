//! Reports the outcome of statements to logs, metrics, latency estimates and leader evidence.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_platform::database;
use bluebellferry_pool::pool;
use bluebellferry_routing::history;
use bluebellferry_runtime::clock;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_types::position;
use bluebellferry_types::refusal;

use crate::shared;
use crate::traffic::connection;
use crate::traffic::dispatch;
use crate::traffic::log_limiter;
use crate::traffic::session;
use crate::traffic::statement::outcomes;

/// The delay before a statement is retried after a database answered that it is read-only: the
/// leader may not have been promoted yet.
const READ_ONLY_RETRY_DELAY: Duration = Duration::from_millis(40);

/// When a statement was sent, and whether it was sent to a leader with a valid lease.
#[derive(Debug, Clone)]
pub(super) struct SendRecord {
    /// An instant just before the statement was sent.
    pub(super) at: Instant,
    /// The snapshot at that instant.
    pub(super) snapshot: Arc<shared::EdgeSnapshot>,
    /// The end of the leader's log; `None` if the statement was not sent to a leader with a valid
    /// lease.
    leader_log_end: Option<LeaderLogEnd>,
}

/// The end of a leader's log when it was chosen as leader, if known.
#[derive(Debug, Clone, Copy)]
struct LeaderLogEnd(Option<position::LogPosition>);

impl SendRecord {
    /// Returns the position in an answer if it covers every commit acknowledged before the
    /// statement was sent. A newly promoted leader answers with lower positions until it has
    /// replayed its log.
    fn confirmed_position(
        &self,
        position: Option<position::LogPosition>,
    ) -> Option<position::LogPosition> {
        let LeaderLogEnd(log_end_when_chosen) = self.leader_log_end?;
        position.filter(|position| Some(*position) >= log_end_when_chosen)
    }
}

/// Returns whether an error says that the database does not work as it should, rather than that it
/// was not the right one for the statement.
const fn is_database_fault(error: database::DatabaseError) -> bool {
    use database::DatabaseError as Error;
    matches!(
        error,
        Error::Busy | Error::Failed | Error::TimedOut | Error::Other
    )
}

impl session::CallerSession {
    /// Logs a refusal, with the fields of the snapshot that explain it.
    pub(super) fn log_refusal(
        &self,
        statement: &statement::Statement,
        kind: &'static str,
        refusal: &refusal::RequestRefusal,
        elapsed: Duration,
    ) {
        let now = clock::now();
        if !self.context.statement_log_limiter.may_log(now) {
            return;
        }
        let snapshot = self.context.shared.snapshot();
        let configuration = &snapshot.configuration;
        let grant = self.latest_grant.as_ref();
        let service = grant.map(|grant| &grant.policy.service);
        let leader = service.and_then(|service| snapshot.leaders.get(service));
        let lease = service.and_then(|service| snapshot.leases.get(service));
        let workspace = grant.map(|grant| &grant.claim.workspace);
        let retry_after = refusal
            .retry_after
            .map_or(0, |wait| wait.as_millis() as u64);
        log::info!(
            id = log_limiter::excerpt(&statement.id), kind = kind, route = log_limiter::excerpt(&self.identity.route),
            workspace = workspace.map_or("-", |workspace| workspace.as_str()),
            configuration_version = configuration.version,
            leader = leader.map_or("-", |leader| leader.database.as_str()),
            leader_is_replacing = leader.is_some_and(|leader| leader.is_being_replaced),
            lease_left_ms = lease.map_or(0, |until| until.saturating_duration_since(now).as_millis() as u64),
            waiting = self.context.dispatcher.waiting_count() as u64,
            reason = refusal.reason.code(), execution = refusal.execution.as_str(),
            retry_after_ms = retry_after, elapsed_ms = elapsed.as_millis() as u64,
            detail = refusal.message.as_str();
            "statement refused"
        );
    }

    /// Counts and logs a retry.
    pub(super) fn record_retry(
        &self,
        statement: &statement::Statement,
        reason: &'static str,
        request: &dispatch::PlacementRequest,
    ) {
        self.context.metrics.count_retry(reason);
        if self.context.statement_log_limiter.may_log(clock::now()) {
            let failed = request.excluded.last();
            let failed = failed.map(|index| self.context.dispatcher.registry_entry(*index));
            log::info!(
                id = log_limiter::excerpt(&statement.id), route = log_limiter::excerpt(&self.identity.route), reason = reason,
                database = failed.as_ref().map_or("-", |entry| entry.id.as_str());
                "retrying a statement at another database"
            );
        }
    }

    /// Logs a sample of the served reads, with the position that the database was required to
    /// have replayed.
    pub(super) fn log_read_sample(
        &self,
        id: &str,
        arrived: Instant,
        connection: &dispatch::PoolConnection,
        min_position: Option<position::LogPosition>,
    ) {
        if !self.context.read_log_limiter.may_log(clock::now()) {
            return;
        }
        let entry = self.context.dispatcher.registry_entry(connection.database);
        let latest = {
            let positions = self.context.shared.lock_positions();
            let history = positions.get(&entry.service);
            history.and_then(history::PositionHistory::latest_sample)
        };
        let text = |position: Option<position::LogPosition>| {
            position.map_or_else(|| "-".to_owned(), |position| position.to_string())
        };
        let latest_age = latest.map_or(0, |(requested_at, _)| {
            arrived.saturating_duration_since(requested_at).as_millis() as u64
        });
        log::info!(
            id = log_limiter::excerpt(id), route = log_limiter::excerpt(&self.identity.route), database = entry.id.as_str(),
            connection = connection.number,
            since = text(min_position).as_str(), session_floor = text(self.state.floor()).as_str(),
            latest_known = text(latest.map(|(_, position)| position)).as_str(),
            latest_known_age_ms = latest_age;
            "read served"
        );
    }

    /// Logs a sample of the statements that are prepared on connections, so that the name under
    /// which a statement ran can be traced to its template.
    pub(super) fn log_prepared_sample(
        &self,
        database: pool::DatabaseIndex,
        connection_number: u64,
        name: statement::PreparedName,
        query: &statement::PreparedQuery,
    ) {
        if !self.context.prepare_log_limiter.may_log(clock::now()) {
            return;
        }
        let entry = self.context.dispatcher.registry_entry(database);
        log::info!(
            database = entry.id.as_str(), connection = connection_number,
            name = name.to_string().as_str(), template = log_limiter::excerpt(&query.template),
            template_bytes = query.template.len();
            "prepared a statement on a connection"
        );
    }

    /// Logs why a connection could not be given the state of the session.
    pub(super) fn log_setup_error(
        &self,
        id: &str,
        connection: &dispatch::PoolConnection,
        error: &connection::SetupError,
    ) {
        if self.context.statement_log_limiter.may_log(clock::now()) {
            let entry = self.context.dispatcher.registry_entry(connection.database);
            log::info!(
                id = log_limiter::excerpt(id), database = entry.id.as_str(), connection = connection.number,
                error:% = error;
                "a connection could not be given the session's state"
            );
        }
    }

    /// Excludes a database that answered a statement with an error from further attempts at the
    /// statement. A replica that lags is also avoided for a while. After `ReadOnly`, waits and
    /// allows all databases again, since the leader may have been promoted by then.
    pub(super) async fn handle_rejection(
        &self,
        connection: &dispatch::PoolConnection,
        error: database::DatabaseError,
        has_min_position: bool,
        request: &mut dispatch::PlacementRequest,
    ) {
        let dispatcher = &self.context.dispatcher;
        request.excluded.push(connection.database);
        match error {
            database::DatabaseError::Lagging if has_min_position => {
                dispatcher.record_lag(connection.database);
            }
            database::DatabaseError::ReadOnly => {
                // The leader has been replaced, or has not been promoted yet.
                tokio::time::sleep(READ_ONLY_RETRY_DELAY).await;
                request.excluded.clear();
            }
            _ => {}
        }
    }

    /// Records that a statement is about to be sent.
    pub(super) fn record_send(&self, database: pool::DatabaseIndex) -> SendRecord {
        let at = clock::now();
        let entry = self.context.dispatcher.registry_entry(database);
        let snapshot = self.context.shared.snapshot();
        let leased = snapshot.leased_leader(&entry.service, at);
        let leader = leased.filter(|leader| leader.database == entry.id);
        let leader_log_end = leader.map(|leader| LeaderLogEnd(leader.log_end_when_chosen));
        SendRecord {
            at,
            snapshot,
            leader_log_end,
        }
    }

    /// Records the latency, the leader evidence and the log position of an answer.
    pub(super) fn record_answer(
        &self,
        connection: &dispatch::PoolConnection,
        answer: &database::DatabaseAnswer,
        sent: &SendRecord,
        plan: &state::RunPlan,
    ) {
        let dispatcher = &self.context.dispatcher;
        let latency = clock::now().saturating_duration_since(sent.at);
        let is_rollback = matches!(
            plan.kind,
            state::RunKind::FailedCommit | state::RunKind::Rollback
        );
        if answer.error.is_none() && !is_rollback {
            dispatcher.record_latency(connection.database, latency);
        }
        if answer.error.is_some_and(is_database_fault) {
            dispatcher.record_statement_failure(connection.database);
        }
        let entry = dispatcher.registry_entry(connection.database);
        let snapshot = self.context.shared.snapshot();
        let leader = snapshot.leaders.get(&entry.service);
        let is_leader =
            leader.is_some_and(|leader| leader.database == entry.id && !leader.is_being_replaced);
        if !is_leader {
            return;
        }
        let is_leading = answer.error != Some(database::DatabaseError::ReadOnly);
        let has_committed = outcomes::is_commit(plan) && answer.error.is_none();
        let kind = match (is_leading, has_committed) {
            (false, _) => shared::EvidenceKind::NotLeading,
            (true, true) => shared::EvidenceKind::Committed,
            (true, false) => shared::EvidenceKind::Answered,
        };
        dispatcher.report_evidence(connection.database, kind);
        if let Some(position) = sent
            .confirmed_position(answer.position)
            .filter(|_| is_leading)
        {
            self.context
                .shared
                .record_position(&entry.service, sent.at, position);
        }
    }

    /// Records that a statement got no answer, and closes its connection.
    pub(super) fn record_failure(
        &self,
        id: &str,
        connection: dispatch::PoolConnection,
        error: connection::ExchangeError,
        is_commit: bool,
    ) {
        self.report_no_answer(id, &connection, error, is_commit);
        self.context.dispatcher.discard(connection);
    }

    /// Reports that a statement or a setup step got no answer on a connection, which is to be closed.
    pub(super) fn report_no_answer(
        &self,
        id: &str,
        connection: &dispatch::PoolConnection,
        error: connection::ExchangeError,
        is_commit: bool,
    ) {
        let dispatcher = &self.context.dispatcher;
        let database = connection.database;
        self.context.metrics.count_retry("connection_lost");
        if self.context.statement_log_limiter.may_log(clock::now()) {
            log::info!(
                id = log_limiter::excerpt(id), database = dispatcher.registry_entry(database).id.as_str(),
                connection = connection.number, error:% = error,
                is_commit = is_commit;
                "no answer from a database"
            );
        }
        if error != connection::ExchangeError::Malformed {
            dispatcher.record_unresponsive(database);
            let kind = if is_commit {
                shared::EvidenceKind::CommitUnanswered
            } else {
                shared::EvidenceKind::Unresponsive
            };
            dispatcher.report_evidence(database, kind);
        }
    }
}
