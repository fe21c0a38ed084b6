//! Handling of one request: rate limit, connection, relay to the database and the
//! session state afterwards.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_shares::limiter;
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

/// The amount of an extended-protocol batch, in bytes, that is buffered before a
/// database is chosen.
const MAX_BUFFERED_REQUEST_BYTES: usize = 64 * 1024;

/// The largest number of times a request is sent again because the database refused
/// it as no longer being the primary.
const MAX_PRIMARY_REPLACED_RETRIES: u32 = 20;
/// Resets all settings of a connection; `RESET ALL` alone keeps the roles.
const RESET_SETTINGS: &str = "RESET SESSION AUTHORIZATION; RESET ROLE; RESET ALL";
/// The delay before a request that a replaced primary refused is sent again.
const PRIMARY_REPLACED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The reason why a request failed.
#[derive(Debug)]
pub(super) enum RequestFailure {
    /// The request was refused; the session continues.
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

/// The messages of a request that have been read before it is handled. A batch may
/// continue after them.
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
    /// Serves the request that starts with `first`, and answers with an error if the
    /// request is refused.
    pub(super) async fn serve_request(
        &mut self,
        first: frame::WireFrame,
    ) -> Result<(), SessionEnd> {
        let request = self.read_request(first).await?;
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

    /// Reads the messages of a request up to Sync or Flush, or until they reach
    /// [`MAX_BUFFERED_REQUEST_BYTES`].
    async fn read_request(
        &mut self,
        first: frame::WireFrame,
    ) -> Result<BufferedRequest, SessionEnd> {
        let mut bytes = first.bytes.len();
        let mut is_ended = matches!(first.tag, frame::QUERY | frame::SYNC | frame::FLUSH);
        let mut frames = vec![first];
        while !is_ended && bytes < MAX_BUFFERED_REQUEST_BYTES {
            let next = self.read_frame().await?;
            bytes += next.bytes.len();
            is_ended = matches!(next.tag, frame::SYNC | frame::FLUSH);
            frames.push(next);
        }
        Ok(BufferedRequest { frames })
    }

    /// Returns the next message from the caller.
    pub(super) async fn read_frame(&mut self) -> Result<frame::WireFrame, SessionEnd> {
        if let Some(frame) = self.read_ahead.take() {
            return Ok(frame);
        }
        let next = self.reader.next_frame(super::MAX_MESSAGE_BYTES).await?;
        next.ok_or(SessionEnd::CallerDisconnected)
    }

    /// Refuses messages that contain the session's API key, so that the key never
    /// reaches a database.
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

    /// Sends the caller an error for a refused request. Aborts an open transaction,
    /// and drops further messages up to Sync, as a database would.
    pub(super) async fn refuse_request(
        &mut self,
        request: &BufferedRequest,
        refusal: refusal::RequestRefusal,
    ) -> Result<(), SessionEnd> {
        self.record_refusal(&refusal);
        if let Some(connection) = self.held_connection.take() {
            connection.discard();
            self.transaction = message::TransactionStatus::Failed;
        }
        self.send_buffer.clear();
        message::put_error_response(
            &mut self.send_buffer,
            &message::ErrorFields::from_refusal(&refusal),
        );
        self.flush().await?;
        let mut is_complete = request.is_complete();
        while !is_complete {
            let next = self.read_frame().await?;
            is_complete = next.tag == frame::SYNC;
            if next.tag == frame::TERMINATE {
                return Err(SessionEnd::CallerDisconnected);
            }
        }
        message::put_ready_for_query(&mut self.send_buffer, self.transaction);
        self.flush().await
    }

    /// Runs a request on a database. Sends it again where that is safe: when a read
    /// loses its replica, or when a database refuses the request as read-only.
    async fn run_request(&mut self, request: &BufferedRequest) -> Result<(), RequestFailure> {
        let started = Instant::now();
        let plan = plan::plan_request(
            &request.frames,
            &self.statements,
            self.options.read_kind.as_ref(),
        )?;
        let deadline = plan
            .timeout
            .map_or_else(|| self.request_deadline(), |timeout| started + timeout);
        let access = self.access_watch();
        access.confirm().map_err(SessionEnd::from)?;
        if plan.executes_statement {
            let admitted = access.confirm_during(self.acquire_rate_token()).await;
            admitted.map_err(SessionEnd::from)??;
        }
        if let Some(id) = plan.request_id.clone().filter(|_| plan.executes_statement) {
            return self
                .run_idempotent(request, &plan, &id, deadline, started)
                .await;
        }
        let mut is_primary_only = false;
        let mut replaced_retries = 0;
        loop {
            let (route, mut connection) = match self.held_connection.take() {
                Some(connection) => (self.held_route, connection),
                None => {
                    let borrowed = self.borrow_connection(&plan, deadline, is_primary_only);
                    let borrowed = access.confirm_during(borrowed).await;
                    borrowed.map_err(SessionEnd::from)??
                }
            };
            if let Err(refusal) = access.confirm() {
                connection.discard();
                return Err(SessionEnd::from(refusal).into());
            }
            if plan.needs_pin && !connection.is_pinned() && !connection.pin() {
                self.held_connection =
                    (self.transaction != message::TransactionStatus::Idle).then_some(connection);
                return Err(cannot_pin_refusal().into());
            }
            let is_idle = self.transaction == message::TransactionStatus::Idle;
            let is_standalone = is_idle && request.is_complete();
            let handling = match route {
                route::ChosenRoute::Replica if is_standalone => {
                    relay::AnswerHandling::BufferForRetry
                }
                route::ChosenRoute::Primary
                    if is_standalone
                        && replaced_retries < MAX_PRIMARY_REPLACED_RETRIES
                        && !plan.may_commit =>
                {
                    relay::AnswerHandling::BufferForRetryIfRefused
                }
                _ => relay::AnswerHandling::Forward,
            };
            self.cancel_entry
                .set_cancel_target(Some(connection.connection.cancel_target.clone()));
            connection.connection.expect_changes(&plan);
            let relayed = self.relay(&mut connection, request, handling).await;
            self.cancel_entry.set_cancel_target(None);
            match relayed {
                Ok(relay::RelayOutcome::Finished(completed)) => {
                    self.complete_request(route, connection, &plan, &completed);
                    let seconds = started.elapsed().as_secs_f64();
                    let workspace = self.identity.workspace.as_str();
                    self.shared
                        .metrics
                        .count_request(workspace, route.metrics_route(), seconds);
                    return Ok(());
                }
                Ok(relay::RelayOutcome::Retry(reason)) => {
                    self.shared.metrics.count_retry(reason);
                    is_primary_only |= reason != metrics::RetryReason::ReplicaLost;
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
                Err(mut end) => {
                    let target = connection.connection.cancel_target.clone();
                    tokio::spawn(async move { target.send_cancel_request().await });
                    connection.discard();
                    if let SessionEnd::Refused(refusal) = &mut end
                        && !self.has_no_effect_if_cut(route, &plan)
                    {
                        refusal.execution = refusal::RequestExecution::Unknown;
                    }
                    return Err(end.into());
                }
            }
        }
    }

    /// Takes a token of the workspace's rate. Waits longer for it within a transaction,
    /// which a refusal would abort.
    async fn acquire_rate_token(&self) -> Result<(), refusal::RequestRefusal> {
        let workspace = &self.identity.workspace;
        let Some(share) = self.shared.rate_limiter.find(workspace) else {
            let text = format!("the workspace {workspace} has no rate in the configuration");
            let reason = refusal::RefusalReason::ServiceForbidden;
            return Err(refusal::RequestRefusal::not_run(reason, text));
        };
        let max_wait = if self.transaction == message::TransactionStatus::Idle {
            limiter::MAX_LOAN_WAIT
        } else {
            limiter::MAX_TRANSACTION_WAIT
        };
        share
            .admit(max_wait, &self.shared.tokens_wanted)
            .await
            .map_err(|refill_delay| {
                let text = format!("the workspace {workspace} has used up its rate");
                let reason = refusal::RefusalReason::RateExceeded;
                refusal::RequestRefusal::not_run(reason, text).retry_after(refill_delay)
            })
    }

    /// Updates the session after a completed request. Returns the connection to the
    /// pool unless a transaction is open or the connection is pinned.
    pub(super) fn complete_request(
        &mut self,
        route: route::ChosenRoute,
        connection: pool::PooledConnection,
        plan: &plan::RequestPlan,
        completed: &relay::CompletedRequest,
    ) {
        let was_idle = self.transaction == message::TransactionStatus::Idle;
        self.transaction = completed.transaction;
        if !completed.has_failed {
            self.record_setting_changes(plan, was_idle);
        }
        let is_idle = completed.transaction == message::TransactionStatus::Idle;
        if is_idle && completed.has_committed {
            self.settings_before_transaction = None;
        } else if is_idle {
            self.restore_settings();
        }
        if is_idle && !connection.is_pinned() {
            connection.return_to_pool();
        } else {
            self.held_route = route;
            self.held_connection = Some(connection);
        }
    }

    /// Restores the settings from before the transaction that was rolled back.
    pub(super) fn restore_settings(&mut self) {
        if let Some(settings) = self.settings_before_transaction.take() {
            self.database_settings = settings;
        }
    }

    /// Records the setting changes of a successful request, so that other connections
    /// get them too.
    pub(super) fn record_setting_changes(&mut self, plan: &plan::RequestPlan, was_idle: bool) {
        let is_in_transaction = !was_idle || self.transaction != message::TransactionStatus::Idle;
        if is_in_transaction
            && !plan.setting_changes.is_empty()
            && self.settings_before_transaction.is_none()
        {
            self.settings_before_transaction = Some(self.database_settings.clone());
        }
        for change in &plan.setting_changes {
            match change {
                plan::SettingChange::Set { name, statement } => {
                    self.database_settings
                        .insert(name.clone(), statement.clone());
                }
                plan::SettingChange::Reset(name) => {
                    self.database_settings.remove(name);
                }
                plan::SettingChange::ResetAll => self.database_settings.clear(),
            }
        }
    }

    /// Applies the session's database settings to a connection. Transactions on
    /// replicas are made read-only by default, so that a replica which is promoted in
    /// the meantime still refuses writes and a read can safely be repeated on another
    /// database.
    pub(super) async fn apply_settings(
        &self,
        connection: &mut pool::PooledConnection,
        route: route::ChosenRoute,
    ) -> Result<(), backend::BackendError> {
        let connection = &mut connection.connection;
        if connection.applied_settings.as_ref() != Some(&self.database_settings) {
            connection.applied_settings = None;
            connection.query(RESET_SETTINGS).await?;
            connection.is_read_only = false;
            for statement in self.database_settings.values() {
                connection.query(statement).await?;
            }
            connection.applied_settings = Some(self.database_settings.clone());
        }
        let is_read_only = route == route::ChosenRoute::Replica;
        if connection.is_read_only != is_read_only {
            let value = if is_read_only { "on" } else { "off" };
            connection
                .query(&format!("SET default_transaction_read_only = {value}"))
                .await?;
            connection.is_read_only = is_read_only;
        }
        Ok(())
    }

    /// Returns whether a request takes no effect if its database connection is closed
    /// before the answer.
    fn has_no_effect_if_cut(&self, route: route::ChosenRoute, plan: &plan::RequestPlan) -> bool {
        let is_in_transaction = self.transaction != message::TransactionStatus::Idle;
        route == route::ChosenRoute::Replica || (is_in_transaction && !plan.may_commit)
    }

    /// Returns the refusal for a request whose database connection was lost, which
    /// says whether the request may have taken effect. Updates the transaction state.
    pub(super) fn lost_database_refusal(
        &mut self,
        route: route::ChosenRoute,
        plan: &plan::RequestPlan,
    ) -> refusal::RequestRefusal {
        let has_no_effect = self.has_no_effect_if_cut(route, plan);
        let is_in_transaction = self.transaction != message::TransactionStatus::Idle;
        if is_in_transaction {
            self.transaction = message::TransactionStatus::Failed;
        }
        let retry_delay = Duration::from_millis(500);
        if has_no_effect {
            let text = "the database went away; nothing of this transaction took effect";
            let reason = refusal::RefusalReason::DatabaseLost;
            return refusal::RequestRefusal::not_run(reason, text).retry_after(retry_delay);
        }
        let text = "the database went away before it answered; the request may have taken effect";
        if is_in_transaction {
            self.transaction = message::TransactionStatus::Idle;
            self.restore_settings();
        }
        refusal::RequestRefusal::unknown(refusal::RefusalReason::OutcomeUnknown, text)
            .retry_after(retry_delay)
    }
}

fn cannot_pin_refusal() -> refusal::RequestRefusal {
    let text = "the statement needs a connection of its own, and none can be reserved";
    refusal::RequestRefusal::not_run(refusal::RefusalReason::SessionState, text)
}
