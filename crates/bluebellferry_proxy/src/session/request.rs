//! One request: admitted, given a connection, relayed, and its end recorded.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_shares::ledger;
use bluebellferry_types::refusal;
use bluebellferry_wire::frame;
use bluebellferry_wire::message;
use memchr::memmem;

use super::CallerSession;
use super::SessionEnd;
use super::plan;
use super::relay;
use super::route;
use crate::backend;
use crate::metrics;
use crate::pool;

/// How much of a batch is request before a database is chosen, in bytes.
const MAX_BUFFERED_BATCH_BYTES: usize = 64 * 1024;

/// How often a request that a database refused as replaced is sent again.
const MAX_PRIMARY_REPLACED_RETRIES: u32 = 20;
/// The pause before that.
const PRIMARY_REPLACED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a request did not reach its normal end.
#[derive(Debug)]
pub(super) enum RequestFailure {
    /// It was refused; the session goes on.
    Refused(refusal::RequestRefusal),
    /// The session ends.
    Ended(SessionEnd),
}

impl From<refusal::RequestRefusal> for RequestFailure {
    fn from(refusal: refusal::RequestRefusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<SessionEnd> for RequestFailure {
    fn from(end: SessionEnd) -> Self {
        Self::Ended(end)
    }
}

/// The messages of a request, as far as they have been read.
#[derive(Debug)]
pub(super) struct BufferedRequest {
    pub(super) frames: Vec<frame::WireFrame>,
}

impl BufferedRequest {
    /// Returns whether the last message ends the request.
    pub(super) fn is_complete(&self) -> bool {
        let last = self.frames.last().map(|frame| frame.tag);
        matches!(last, Some(frame::QUERY | frame::SYNC))
    }
}

impl CallerSession {
    pub(super) async fn serve_request(
        &mut self,
        first: frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        let request = self.read_batch(first).await?;
        if let Err(refusal) = self.reject_key_in_request(&request.frames) {
            return self.refuse_request(&request, refusal).await;
        }
        if self.answer_locally(&request).await? {
            return Ok(());
        }
        match self.run_request(&request).await {
            Ok(()) => Ok(()),
            Err(RequestFailure::Refused(refusal)) => self.refuse_request(&request, refusal).await,
            Err(RequestFailure::Ended(end)) => Err(end),
        }
    }

    /// Reads the rest of a batch, up to a bounded size.
    async fn read_batch(&mut self, first: frame::WireFrame) -> Result<BufferedRequest, SessionEnd> {
        let mut bytes = first.bytes.len();
        let mut ends = matches!(first.tag, frame::QUERY | frame::SYNC | frame::FLUSH);
        let mut frames = vec![first];
        while !ends && bytes < MAX_BUFFERED_BATCH_BYTES {
            let next = self.read_frame().await?;
            bytes += next.bytes.len();
            ends = matches!(next.tag, frame::SYNC | frame::FLUSH);
            frames.push(next);
        }
        Ok(BufferedRequest { frames })
    }

    pub(super) async fn read_frame(&mut self) -> Result<frame::WireFrame, SessionEnd> {
        if let Some(ahead) = self.read_ahead.take() {
            return Ok(ahead);
        }
        let next = self.reader.next_frame(super::MAX_MESSAGE_BYTES).await?;
        next.ok_or(SessionEnd::CallerDisconnected)
    }

    /// Refuses messages that contain the session's own key.
    pub(super) fn reject_key_in_request(
        &self,
        frames: &[frame::WireFrame],
    ) -> Result<(), refusal::RequestRefusal> {
        let key = &self.identity.key;
        let contains_key = |frame: &frame::WireFrame| memmem::find(&frame.bytes, key).is_some();
        if !key.is_empty() && frames.iter().any(contains_key) {
            let text = "the request contains this session's key; it was not sent to the database";
            return Err(refusal::RequestRefusal::not_run(
                refusal::RefusalReason::KeyInRequest,
                text,
            ));
        }
        Ok(())
    }

    /// Answers a refused request; the caller's further messages up to Sync are
    /// dropped, as a database would.
    pub(super) async fn refuse_request(
        &mut self,
        request: &BufferedRequest,
        refusal: refusal::RequestRefusal,
    ) -> Result<(), SessionEnd> {
        self.record_refusal(&refusal);
        if let Some(held) = self.held_connection.take() {
            held.discard();
            self.transaction = message::TransactionState::Failed;
        }
        self.send_buffer.clear();
        message::put_error(&mut self.send_buffer, &message::ErrorFields::from_refusal(&refusal));
        self.flush().await?;
        let mut complete = request.is_complete();
        while !complete {
            let next = self.read_frame().await?;
            complete = next.tag == frame::SYNC;
            if next.tag == frame::TERMINATE {
                return Err(SessionEnd::CallerDisconnected);
            }
        }
        message::put_ready(&mut self.send_buffer, self.transaction);
        self.flush().await
    }

    async fn run_request(&mut self, request: &BufferedRequest) -> Result<(), RequestFailure> {
        let started = Instant::now();
        let plan = plan::plan_request(
            &request.frames,
            &self.statements,
            self.options.read_kind.as_ref(),
        )?;
        let deadline = plan
            .timeout
            .map_or_else(|| self.request_deadline(), |wait| started + wait);
        if plan.executes_statement {
            self.acquire_rate_token().await?;
        }
        if let Some(id) = plan.request_id.clone().filter(|_| plan.executes_statement) {
            return self.run_idempotent(request, &plan, &id, deadline, started).await;
        }
        let mut primary_only = false;
        let mut replaced_retries = 0;
        loop {
            let (route, mut connection) = match self.held_connection.take() {
                Some(held) => (self.held_route, held),
                None => {
                    self.borrow_connection(&plan, deadline, primary_only)
                        .await?
                }
            };
            if plan.needs_pin && !connection.is_pinned() && !connection.pin() {
                self.held_connection =
                    (self.transaction != message::TransactionState::Idle).then_some(connection);
                return Err(cannot_pin_refusal().into());
            }
            let is_idle = self.transaction == message::TransactionState::Idle;
            let is_standalone = is_idle && request.is_complete();
            let handling = match route {
                route::ChosenRoute::Replica if is_standalone => relay::AnswerHandling::BufferForRetry,
                route::ChosenRoute::Primary
                    if is_standalone && replaced_retries < MAX_PRIMARY_REPLACED_RETRIES && !plan.may_commit =>
                {
                    relay::AnswerHandling::BufferForRetryIfRefused
                }
                _ => relay::AnswerHandling::Forward,
            };
            self.cancel_entry
                .set_running_request(Some(connection.connection.cancel_target.clone()));
            let relayed = self.relay(&mut connection, request, handling).await;
            self.cancel_entry.set_running_request(None);
            match relayed {
                Ok(relay::RelayOutcome::Finished(end)) => {
                    self.complete_request(route, connection, &plan, &end);
                    let seconds = started.elapsed().as_secs_f64();
                    let workspace = self.identity.workspace.as_str();
                    self.shared
                        .metrics
                        .count_request(workspace, route.metrics_route(), seconds);
                    return Ok(());
                }
                Ok(relay::RelayOutcome::Retry(reason)) => {
                    self.shared.metrics.count_retry(reason);
                    primary_only |= reason != metrics::RetryReason::ReplicaLost;
                    match reason {
                        metrics::RetryReason::ReplicaRefusedWrite => connection.return_to_pool(),
                        metrics::RetryReason::PrimaryReplaced => {
                            replaced_retries += 1;
                            connection.return_to_pool();
                            tokio::time::sleep(PRIMARY_REPLACED_RETRY_DELAY).await;
                        }
                        _ => connection.discard(),
                    }
                }
                Ok(relay::RelayOutcome::DatabaseLost | relay::RelayOutcome::TooLarge) => {
                    connection.discard();
                    return Err(self.lost_database_refusal(route, &plan).into());
                }
                Err(end) => {
                    let cancel = connection.connection.cancel_target.clone();
                    tokio::spawn(async move { cancel.send().await });
                    connection.discard();
                    return Err(end.into());
                }
            }
        }
    }

    /// Takes a token of the workspace's rate.
    async fn acquire_rate_token(&self) -> Result<(), refusal::RequestRefusal> {
        let workspace = &self.identity.workspace;
        let Some(share) = self.shared.shares.find(workspace) else {
            let text = format!("the workspace {workspace} has no rate in the configuration");
            let reason = refusal::RefusalReason::ServiceForbidden;
            return Err(refusal::RequestRefusal::not_run(reason, text));
        };
        let limit = if self.transaction == message::TransactionState::Idle {
            ledger::LOAN_WAIT
        } else {
            ledger::TRANSACTION_WAIT
        };
        share
            .admit(limit, &self.shared.tokens_wanted)
            .await
            .map_err(|refilled_in| {
                let text = format!("the workspace {workspace} has used up its rate");
                let reason = refusal::RefusalReason::RateExceeded;
                refusal::RequestRefusal::not_run(reason, text).retry_after(refilled_in)
            })
    }

    /// Records a finished request and returns or keeps its connection.
    pub(super) fn complete_request(
        &mut self,
        route: route::ChosenRoute,
        mut connection: pool::PooledConnection,
        plan: &plan::RequestPlan,
        end: &relay::CompletedRequest,
    ) {
        self.transaction = end.state;
        if !end.failed {
            self.record_settings(&mut connection.connection, plan);
        }
        let idle = end.state == message::TransactionState::Idle;
        if idle && !connection.is_pinned() {
            connection.return_to_pool();
        } else {
            self.held_route = route;
            self.held_connection = Some(connection);
        }
    }

    fn record_settings(
        &mut self,
        connection: &mut backend::BackendConnection,
        plan: &plan::RequestPlan,
    ) {
        for change in &plan.setting_changes {
            match change {
                plan::SettingChange::Set { name, statement } => {
                    self.database_settings.insert(name.clone(), statement.clone());
                }
                plan::SettingChange::Reset(name) => {
                    self.database_settings.remove(name);
                }
                plan::SettingChange::ResetAll => self.database_settings.clear(),
            }
        }
        if !plan.setting_changes.is_empty() {
            connection.applied_settings = settings_digest(&self.database_settings);
        }
    }

    /// Brings a connection's settings to those of this session. Connections to
    /// replicas are read-only, so that a replica which is promoted meanwhile
    /// refuses a write, and a read may safely be repeated elsewhere.
    pub(super) async fn apply_settings(
        &self,
        connection: &mut pool::PooledConnection,
        route: route::ChosenRoute,
    ) -> Result<(), backend::BackendError> {
        let wanted = settings_digest(&self.database_settings);
        let connection = &mut connection.connection;
        if connection.applied_settings != wanted {
            connection.query("RESET ALL").await?;
            connection.read_only = false;
            for statement in self.database_settings.values() {
                connection.query(statement).await?;
            }
            connection.applied_settings = wanted;
        }
        let read_only = route == route::ChosenRoute::Replica;
        if connection.read_only != read_only {
            let value = if read_only { "on" } else { "off" };
            connection
                .query(&format!("SET default_transaction_read_only = {value}"))
                .await?;
            connection.read_only = read_only;
        }
        Ok(())
    }

    /// Says honestly what became of a request whose database went away.
    pub(super) fn lost_database_refusal(
        &mut self,
        route: route::ChosenRoute,
        plan: &plan::RequestPlan,
    ) -> refusal::RequestRefusal {
        let is_in_transaction = self.transaction != message::TransactionState::Idle;
        if is_in_transaction {
            self.transaction = message::TransactionState::Failed;
        }
        let retry = Duration::from_millis(500);
        let has_no_effect = route == route::ChosenRoute::Replica || (is_in_transaction && !plan.may_commit);
        if has_no_effect {
            let text = "the database went away; nothing of this transaction took effect";
            let reason = refusal::RefusalReason::DatabaseLost;
            return refusal::RequestRefusal::not_run(reason, text).retry_after(retry);
        }
        let text = "the database went away before it answered; the request may have taken effect";
        if is_in_transaction {
            self.transaction = message::TransactionState::Idle;
        }
        refusal::RequestRefusal::unknown(refusal::RefusalReason::OutcomeUnknown, text)
            .retry_after(retry)
    }
}

fn cannot_pin_refusal() -> refusal::RequestRefusal {
    let text = "the statement needs a connection of its own, and none can be reserved";
    refusal::RequestRefusal::not_run(refusal::RefusalReason::SessionState, text)
}

/// Digests carried settings; 0 stands for none.
fn settings_digest(carried: &std::collections::BTreeMap<String, String>) -> u64 {
    if carried.is_empty() {
        return 0;
    }
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for statement in carried.values() {
        hasher.update(statement.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest().max(1)
}
