//! Running one statement of a caller.

mod notes;
mod outcomes;

use std::sync::atomic::Ordering;
use std::time::Instant;

use bluebellferry_catalog::configuration;
use bluebellferry_platform::caller;
use bluebellferry_platform::database;
use bluebellferry_pool::budget;
use bluebellferry_runtime::clock;
use bluebellferry_session::state;
use bluebellferry_session::statement;
use bluebellferry_shares::ledger;
use bluebellferry_types::name;
use bluebellferry_types::position;
use bluebellferry_types::refusal;

use crate::shared;
use crate::traffic::connection;
use crate::traffic::dispatch;
use crate::traffic::placement;
use crate::traffic::reads;
use crate::traffic::session;

/// What a statement runs under.
#[derive(Debug, Clone)]
struct StatementScope {
    policy: configuration::RoutePolicy,
    workspace: name::WorkspaceName,
    /// When the first byte of the statement, or of its transaction, arrived.
    arrived: Instant,
    deadline: Instant,
}

/// How a try at one database ended.
enum TryEnd {
    /// This is the answer.
    Answered(database::DatabaseAnswer),
    /// The statement has not run and may run elsewhere.
    Elsewhere(&'static str),
    /// The statement is given up.
    GivenUp(refusal::RequestRefusal),
}

impl session::CallerSession {
    /// Runs a statement and writes its answer, up to the READY line. Returns
    /// the position that the READY line shows.
    pub(super) async fn run_statement(
        &mut self,
        statement: &statement::Statement,
        arrived: Instant,
        out: &mut String,
    ) -> Option<String> {
        let result = self.carry_out(statement, arrived).await;
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

    async fn carry_out(
        &mut self,
        statement: &statement::Statement,
        arrived: Instant,
    ) -> Result<Option<database::DatabaseAnswer>, refusal::RequestRefusal> {
        let starts = self.state.starts_operation(statement);
        let scope = self.scope(starts, arrived).await?;
        if starts && matches!(statement.action, statement::StatementAction::Begin { .. }) {
            self.transaction = Some(session::TransactionContext {
                policy: scope.policy.clone(),
                workspace: scope.workspace.clone(),
                arrived,
            });
        }
        let plan = match self.state.plan(statement) {
            state::StatementPlan::Answer(answer) => {
                self.forget_ended_transaction();
                return match answer {
                    state::LocalAnswer::Done => Ok(None),
                    state::LocalAnswer::Refused(refusal) => Err(refusal),
                };
            }
            state::StatementPlan::Run(plan) => plan,
        };
        let answer = if self.held.is_some() {
            self.run_held(statement, &plan, &scope).await
        } else if plan.opening.is_some() {
            self.open_and_run(statement, &plan, &scope).await
        } else {
            self.run_single(statement, &plan, &scope).await
        };
        self.forget_ended_transaction();
        answer.map(Some)
    }

    fn forget_ended_transaction(&mut self) {
        if self.state.reported() == state::ReportedState::Idle {
            self.transaction = None;
            if let Some(held) = self.held.take() {
                self.context.dispatch.release(held);
            }
        }
    }

    /// Checks the caller and returns what the statement runs under.
    async fn scope(
        &mut self,
        starts: bool,
        arrived: Instant,
    ) -> Result<StatementScope, refusal::RequestRefusal> {
        let snapshot = self.context.shared.snapshot();
        let checked = session::check_caller(&snapshot.configuration, &self.identity);
        if let Some(transaction) = self.transaction.clone() {
            // The route may be gone; its transactions may end. The key may not.
            if let Err(refusal) = &checked
                && refusal.reason == refusal::RefusalReason::KeyRefused
            {
                self.abandon_transaction("key withdrawn");
                return Err(refusal.clone());
            }
            return Ok(StatementScope {
                deadline: arrived + transaction.policy.statement_timeout,
                policy: transaction.policy,
                workspace: transaction.workspace,
                arrived: transaction.arrived,
            });
        }
        let (policy, workspace) = checked?;
        if starts {
            self.context
                .shared
                .operations
                .fetch_add(1, Ordering::Relaxed);
            self.admit(&workspace).await?;
        }
        Ok(StatementScope {
            deadline: arrived + policy.statement_timeout,
            policy,
            workspace,
            arrived,
        })
    }

    /// Takes a token of the workspace's rate.
    async fn admit(&self, workspace: &name::WorkspaceName) -> Result<(), refusal::RequestRefusal> {
        let shared = &self.context.shared;
        let Some(share) = shared.shares.find(workspace) else {
            return Ok(());
        };
        let snapshot = shared.snapshot();
        let admitted = share.admit(snapshot.loan_wait, &shared.tokens_wanted).await;
        admitted.map_err(|refilled_in| {
            let reason = refusal::RefusalReason::RateExceeded;
            let text = format!("the workspace {workspace} has used up its rate");
            let policy = snapshot.configuration.workspaces.get(workspace);
            let rate = policy.map_or(0.0, |policy| policy.rate_per_second);
            let come_back = ledger::come_back_in(refilled_in, rate);
            refusal::RequestRefusal::not_run(reason, text).retry_after(come_back)
        })
    }

    /// Runs a statement on the connection of the open transaction.
    async fn run_held(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let Some(mut held) = self.held.take() else {
            return Err(outcomes::aborted("the transaction has no connection"));
        };
        let sent = self.mark_sent(&held);
        let exchanged = self
            .exchange(&mut held, plan, scope.deadline, |out| {
                database::encode_statement(out, &statement.id, &plan.text);
            })
            .await;
        match exchanged {
            Ok(answer) => {
                self.record_answer(&held, &answer, sent, plan);
                self.held = Some(held);
                self.state
                    .record_outcome(plan, outcomes::outcome_of(&answer));
                Ok(answer)
            }
            Err(error) => {
                self.record_failure(&statement.id, held, error, outcomes::is_commit(plan));
                if plan.kind == state::RunKind::Commit {
                    self.doubted = Some(clock::now());
                }
                self.state.record_outcome(plan, state::RunOutcome::Lost);
                self.transaction = None;
                Err(outcomes::lost_in_transaction(plan.kind, error))
            }
        }
    }

    /// Opens the transaction that a caller has begun, and runs its first statement.
    async fn open_and_run(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let Some(opening) = plan.opening.clone() else {
            return Err(outcomes::aborted("no transaction is to be opened"));
        };
        if let Err(refusal) = self.open_transaction(&opening, scope).await {
            self.state.record_abandoned();
            self.transaction = None;
            return Err(refusal);
        }
        self.state.record_opened();
        self.run_held(statement, plan, scope).await
    }

    async fn open_transaction(
        &mut self,
        opening: &state::TransactionOpening,
        scope: &StatementScope,
    ) -> Result<(), refusal::RequestRefusal> {
        let mut demand = self.demand(scope, true);
        while clock::now() < scope.deadline {
            let since = self.replica_since(scope);
            demand.needs.replica_since = since.filter(|_| opening.read_only);
            let placed = self.context.dispatch.obtain(&mut demand).await?;
            let dispatch::PlacedConnection { mut held, since } = placed;
            match self.begin(&mut held, opening, since, scope).await {
                Ok(None) => {
                    self.held = Some(held);
                    return Ok(());
                }
                Ok(Some(error)) => {
                    self.note_leader_behind(&held, error);
                    self.note_rejection(&held, error, since.is_some(), &mut demand)
                        .await;
                    self.context.dispatch.release(held);
                }
                Err(error) => {
                    demand.excluded.push(held.database);
                    self.record_failure(&opening.begin_id, held, error, false);
                }
            }
        }
        Err(outcomes::not_run_here())
    }

    /// Sends BEGIN on its own: a statement sent along with one that is refused
    /// would run outside any transaction.
    async fn begin(
        &self,
        held: &mut dispatch::HeldConnection,
        opening: &state::TransactionOpening,
        since: Option<position::LogPosition>,
        scope: &StatementScope,
    ) -> Result<Option<database::DatabaseError>, connection::ExchangeError> {
        let text = database::begin_transaction_text(opening.read_only);
        let mut out = String::new();
        match since {
            Some(since) => {
                database::encode_read_with_min_position(&mut out, &opening.begin_id, since, text)
            }
            None => database::encode_statement(&mut out, &opening.begin_id, text),
        }
        let patience = clock::now() + self.context.dispatch.patience(held.database);
        held.send(&out).await?;
        let answer = held.receive(1, scope.deadline.min(patience)).await?;
        Ok(answer.error)
    }

    /// Runs a statement outside any transaction.
    async fn run_single(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
    ) -> Result<database::DatabaseAnswer, refusal::RequestRefusal> {
        let is_read = plan.kind == state::RunKind::SingleRead;
        let is_synchronous = {
            let snapshot = self.context.shared.snapshot();
            let service = snapshot.configuration.services.get(&scope.policy.service);
            service.is_some_and(|service| service.synchronous)
        };
        let mut demand = self.demand(scope, is_read || !is_synchronous);
        while clock::now() < scope.deadline {
            let since = self.replica_since(scope);
            demand.needs.replica_since = since.filter(|_| is_read);
            let placed = self.context.dispatch.obtain(&mut demand).await?;
            let end = if is_read {
                self.try_read(statement, plan, scope, placed, &mut demand)
                    .await
            } else {
                self.try_write(statement, plan, scope, placed.held, &mut demand)
                    .await
            };
            match end {
                TryEnd::Answered(answer) => return Ok(answer),
                TryEnd::GivenUp(refusal) => return Err(refusal),
                TryEnd::Elsewhere(reason) => self.note_retry(statement, reason, &demand),
            }
        }
        Err(outcomes::not_run_here())
    }

    async fn try_read(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
        placed: dispatch::PlacedConnection,
        demand: &mut dispatch::ConnectionDemand,
    ) -> TryEnd {
        let dispatch::PlacedConnection { mut held, since } = placed;
        let sent = self.mark_sent(&held);
        let patience = sent.at + self.context.dispatch.patience(held.database);
        let exchanged = self
            .exchange(
                &mut held,
                plan,
                scope.deadline.min(patience),
                |out| match since {
                    Some(since) => {
                        database::encode_read_with_min_position(
                            out,
                            &statement.id,
                            since,
                            &plan.text,
                        );
                    }
                    None => database::encode_statement(out, &statement.id, &plan.text),
                },
            )
            .await;
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(error) => {
                demand.excluded.push(held.database);
                self.record_failure(&statement.id, held, error, false);
                if clock::now() >= scope.deadline {
                    return TryEnd::GivenUp(outcomes::timed_out());
                }
                return TryEnd::Elsewhere("no_answer");
            }
        };
        self.record_answer(&held, &answer, sent, plan);
        let Some(error) = answer.error else {
            if since.is_some() {
                self.context.dispatch.record_caught_up(held.database);
            }
            self.note_read(&statement.id, scope.arrived, &held, since);
            self.context.dispatch.release(held);
            return TryEnd::Answered(answer);
        };
        // A read may run again whatever happened to it.
        let can_retry = error != database::DatabaseError::Other && clock::now() < scope.deadline;
        self.note_leader_behind(&held, error);
        self.note_rejection(&held, error, since.is_some(), demand)
            .await;
        self.context.dispatch.release(held);
        if can_retry {
            TryEnd::Elsewhere(error.as_str())
        } else {
            TryEnd::Answered(answer)
        }
    }

    async fn try_write(
        &mut self,
        statement: &statement::Statement,
        plan: &state::RunPlan,
        scope: &StatementScope,
        mut held: dispatch::HeldConnection,
        demand: &mut dispatch::ConnectionDemand,
    ) -> TryEnd {
        let sent = self.mark_sent(&held);
        let exchanged = self
            .exchange(&mut held, plan, scope.deadline, |out| {
                database::encode_statement(out, &statement.id, &plan.text);
            })
            .await;
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(error) => {
                self.record_failure(&statement.id, held, error, true);
                self.doubted = Some(clock::now());
                return TryEnd::GivenUp(outcomes::in_doubt(error));
            }
        };
        self.record_answer(&held, &answer, sent, plan);
        match answer.error {
            Some(error) if error.is_not_run() && error != database::DatabaseError::Busy => {
                self.note_rejection(&held, error, false, demand).await;
                self.context.dispatch.release(held);
                TryEnd::Elsewhere(error.as_str())
            }
            _ => {
                self.context.dispatch.release(held);
                self.state
                    .record_outcome(plan, outcomes::outcome_of(&answer));
                TryEnd::Answered(answer)
            }
        }
    }

    /// Tells control of a leader that lacks what its log holds as long as it leads.
    fn note_leader_behind(&self, held: &dispatch::HeldConnection, error: database::DatabaseError) {
        if error == database::DatabaseError::Lagging {
            let kind = shared::EvidenceKind::NotLeading;
            self.context.dispatch.report_evidence(held.database, kind);
        }
    }

    /// Sends a statement after whatever brings the connection into the
    /// session's state, and receives its answer.
    async fn exchange(
        &self,
        held: &mut dispatch::HeldConnection,
        plan: &state::RunPlan,
        deadline: Instant,
        encode: impl FnOnce(&mut String),
    ) -> Result<database::DatabaseAnswer, connection::ExchangeError> {
        let steps = held
            .memory
            .adopt(self.state.values(), plan.prepared.as_ref());
        let mut out = String::new();
        for step in &steps {
            database::encode_setup(&mut out, step);
        }
        encode(&mut out);
        held.send(&out).await?;
        held.receive(steps.len() + 1, deadline).await
    }

    fn demand(&self, scope: &StatementScope, needs_lease: bool) -> dispatch::ConnectionDemand {
        dispatch::ConnectionDemand {
            service: scope.policy.service.clone(),
            request: budget::GrantRequest {
                workspace: scope.workspace.clone(),
                priority: scope.policy.priority,
                due: scope.arrived + scope.policy.objective,
            },
            needs: placement::PlacementNeeds {
                replica_since: None,
                needs_lease,
            },
            excluded: Vec::new(),
            deadline: scope.deadline,
            hopeless_after: clock::now() + dispatch::HOPELESS_AFTER,
        }
    }

    /// Returns the position that a replica's log must hold to serve a read; `None` if
    /// only the leader will do.
    fn replica_since(&self, scope: &StatementScope) -> Option<position::LogPosition> {
        let positions = self.context.shared.positions();
        let history = positions.get(&scope.policy.service);
        let floor = match self.doubted {
            Some(doubted) => reads::SessionFloor::Doubted {
                at: doubted,
                floor: self.state.floor(),
            },
            None => reads::SessionFloor::Known(self.state.floor()),
        };
        match reads::demand_of(scope.policy.guarantee, floor, history, scope.arrived) {
            reads::ReadDemand::Since(position) => Some(position),
            reads::ReadDemand::Leader => None,
        }
    }
}
