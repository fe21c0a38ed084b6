//! The injection of faults.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_history::statement::FaultTarget;
use bluebellferry_standin_platform::contents;
use bluebellferry_standin_platform::database;
use rustix::process::Signal;

use super::ActiveFault;
use super::DEFAULT_RATE;
use super::RunningSite;
use super::database_centre;
use crate::SoakError;
use crate::commands;
use crate::commands::GroupCommand;
use crate::commands::StoreCommand;
use crate::fault;
use crate::fault::FaultKind;
use crate::fault::LinkFault;
use crate::fault::LinkName;
use crate::relay;
use crate::relay::DirectionState;

impl RunningSite {
    fn vm_target(&self, slot: u8) -> FaultTarget {
        FaultTarget::Vm(commands::vm_name(self.serving_slot(slot)))
    }

    fn database_target(&self, database: u8) -> FaultTarget {
        FaultTarget::Database(self.identities[usize::from(database)].clone())
    }

    /// Returns the components that the history records as affected by a fault.
    fn fault_targets(&self, kind: &FaultKind) -> Vec<FaultTarget> {
        let vms = |slots: &[u8]| slots.iter().map(|slot| self.vm_target(*slot)).collect();
        match kind {
            FaultKind::Freeze(slots) | FaultKind::Kill(slots) => vms(slots),
            FaultKind::Replace(slot) => vms(&[*slot]),
            FaultKind::Link(links, _) => links
                .iter()
                .flat_map(|link| match *link {
                    LinkName::Callers(vm) | LinkName::Store(vm) | LinkName::Duty(vm) => {
                        vec![self.vm_target(vm)]
                    }
                    LinkName::Peers(vm, other) => {
                        vec![self.vm_target(vm), self.vm_target(other)]
                    }
                    LinkName::Database(vm, database) => {
                        vec![self.vm_target(vm), self.database_target(database)]
                    }
                })
                .collect(),
            FaultKind::StoreDown
            | FaultKind::StoreSlow(_)
            | FaultKind::StoreLosesAnswers
            | FaultKind::StoreWritesLate => vec![FaultTarget::StoreAway],
            FaultKind::StoreForgets | FaultKind::StoreTurnsAway(_) => {
                vec![FaultTarget::StoreImpaired]
            }
            FaultKind::Lag(database, _)
            | FaultKind::Deafen(database)
            | FaultKind::Silence(database)
            | FaultKind::Crash(database)
            | FaultKind::Rebirth(database)
            | FaultKind::Evacuate(database) => vec![self.database_target(*database)],
            FaultKind::LoseAnswer | FaultKind::RefuseSetup(_) => {
                let databases = 0..self.layout.databases;
                databases
                    .map(|database| self.database_target(database))
                    .collect()
            }
            FaultKind::Stop(_)
            | FaultKind::Reload(_)
            | FaultKind::Rate(_)
            | FaultKind::WithdrawKey
            | FaultKind::ChangeAccess(_)
            | FaultKind::Leave(_) => Vec::new(),
        }
    }

    /// Begins a fault.
    ///
    /// # Errors
    /// Fails when a stand-in has exited or a process cannot be started.
    pub async fn begin_fault(
        &mut self,
        index: usize,
        scheduled: &fault::ScheduledFault,
    ) -> Result<(), SoakError> {
        let kind = scheduled.kind.resolve_leader(self.find_leader().await?);
        let mut span_indices = Vec::new();
        for target in self.fault_targets(&kind) {
            span_indices.push(self.recorded.faults.len());
            self.recorded.faults.push(statement::FaultSpan {
                target,
                started_us: recorder::now_us(),
                ended_us: u64::MAX,
            });
        }
        let duration = Duration::from_millis(scheduled.lasts_ms);
        self.inject(&kind, duration).await?;
        self.active_faults
            .insert(index, ActiveFault { kind, span_indices });
        Ok(())
    }

    /// Returns the index of the database that leads, or 0 if none does.
    async fn find_leader(&mut self) -> Result<u8, SoakError> {
        let reports = self.group.send(&GroupCommand::Reports).await?;
        let reports: Vec<database::MemberReport> = serde_json::from_value(reports)?;
        // A replaced leader reports itself as primary until it learns of its successor,
        // so the highest term counts.
        let leaders = reports.iter().enumerate();
        let leaders = leaders.filter(|(_, member)| member.is_primary);
        let newest = leaders.max_by_key(|(_, member)| member.term);
        Ok(newest.map_or(0, |(database, _)| database as u8))
    }

    async fn inject(&mut self, kind: &FaultKind, duration: Duration) -> Result<(), SoakError> {
        match kind {
            FaultKind::Stop(slots) => slots.iter().for_each(|slot| self.stop_vm(*slot, duration)),
            FaultKind::Reload(slot) => {
                let slot = self.serving_slot(*slot);
                if self.send_signal(slot, Signal::HUP) {
                    self.record_signal(slot, false);
                }
            }
            FaultKind::Freeze(slots) => {
                for slot in slots {
                    self.send_signal(self.serving_slot(*slot), Signal::STOP);
                }
            }
            FaultKind::Kill(slots) => {
                for slot in slots {
                    self.kill_vm(self.serving_slot(*slot), Some(Instant::now() + duration))?;
                }
            }
            FaultKind::Replace(slot) => self.replace_vm(*slot, duration)?,
            FaultKind::Link(links, LinkFault::Reset) => {
                links.iter().for_each(|link| self.find_link(*link).reset());
            }
            FaultKind::Link(links, LinkFault::Silence) => {
                let links = links.iter().map(|link| self.find_link(*link));
                links.for_each(relay::RelayLink::silence_open_connections);
            }
            FaultKind::Link(links, LinkFault::Ways(outgoing, incoming)) => {
                links
                    .iter()
                    .for_each(|link| self.find_link(*link).set_directions(*outgoing, *incoming));
            }
            FaultKind::Rate(rate) => {
                self.rate_limit = *rate;
                self.publish_configuration().await?;
            }
            FaultKind::ChangeAccess(states) => {
                for state in states {
                    self.access = *state;
                    self.publish_configuration().await?;
                }
            }
            FaultKind::WithdrawKey => {
                self.rotating_key_number += 1;
                self.publish_configuration().await?;
            }
            FaultKind::Leave(database) => {
                self.register_database(*database, "draining", false).await?;
                self.recorded
                    .draining_databases
                    .push(statement::DrainingDatabase {
                        database: self.identities[usize::from(*database)].clone(),
                        confirmed_us: recorder::now_us(),
                    });
            }
            FaultKind::Rebirth(database) => {
                let member = usize::from(*database);
                self.group.send(&GroupCommand::Crash(member)).await?;
            }
            FaultKind::Evacuate(database) => self.evacuate(*database).await?,
            other => self.set_standin_fault(other, true).await?,
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// Fails when a stand-in has exited or a process cannot be started.
    pub async fn end_fault(&mut self, index: usize) -> Result<(), SoakError> {
        let Some(fault) = self.active_faults.remove(&index) else {
            return Ok(());
        };
        match &fault.kind {
            FaultKind::Freeze(slots) => {
                for slot in slots {
                    self.send_signal(self.serving_slot(*slot), Signal::CONT);
                }
            }
            FaultKind::Link(links, LinkFault::Ways(..)) => {
                let open = DirectionState::Open;
                links
                    .iter()
                    .for_each(|link| self.find_link(*link).set_directions(open, open));
            }
            FaultKind::Rate(_) => {
                self.rate_limit = DEFAULT_RATE;
                self.publish_configuration().await?;
            }
            FaultKind::ChangeAccess(_) => {
                self.access = fault::AccessState::DEFAULT;
                self.publish_configuration().await?;
            }
            FaultKind::Leave(database) => {
                let started_us = recorder::now_us();
                let target = self.database_target(*database);
                let member = usize::from(*database);
                self.group.send(&GroupCommand::Crash(member)).await?;
                self.restart_with_new_identity(*database).await?;
                self.recorded.faults.push(statement::FaultSpan {
                    target,
                    started_us,
                    ended_us: recorder::now_us(),
                });
            }
            FaultKind::Rebirth(database) => self.restart_with_new_identity(*database).await?,
            FaultKind::Evacuate(database) => self.end_evacuation(*database).await?,
            other => self.set_standin_fault(other, false).await?,
        }
        self.monitor_processes()?;
        let is_permanent = matches!(fault.kind, FaultKind::Replace(_));
        for span in fault.span_indices.into_iter().filter(|_| !is_permanent) {
            self.recorded.faults[span].ended_us = recorder::now_us();
        }
        Ok(())
    }

    async fn evacuate(&mut self, database: u8) -> Result<(), SoakError> {
        let centre = database_centre(database).to_owned();
        let kind = contents::EVACUATION_KIND.to_owned();
        self.store
            .send(&StoreCommand::Put(kind, centre, serde_json::json!({})))
            .await?;
        self.recorded
            .evacuated_databases
            .push(statement::EvacuatedDatabase {
                database: self.identities[usize::from(database)].clone(),
                confirmed_us: recorder::now_us(),
                ended_us: u64::MAX,
            });
        Ok(())
    }

    async fn end_evacuation(&mut self, database: u8) -> Result<(), SoakError> {
        let ended_us = recorder::now_us();
        let id = &self.identities[usize::from(database)];
        for evacuated in &mut self.recorded.evacuated_databases {
            if evacuated.database == *id {
                evacuated.ended_us = evacuated.ended_us.min(ended_us);
            }
        }
        let centre = database_centre(database).to_owned();
        let kind = contents::EVACUATION_KIND.to_owned();
        self.store.send(&StoreCommand::Remove(kind, centre)).await?;
        Ok(())
    }

    /// Begins or ends a fault that a single command to a stand-in controls; does
    /// nothing for other faults.
    async fn set_standin_fault(
        &mut self,
        kind: &FaultKind,
        is_active: bool,
    ) -> Result<(), SoakError> {
        let store = match kind {
            FaultKind::StoreDown => Some(StoreCommand::Down(is_active)),
            FaultKind::StoreSlow(millis) => {
                Some(StoreCommand::Delay(if is_active { *millis } else { 0 }))
            }
            FaultKind::StoreLosesAnswers => Some(StoreCommand::LoseAnswers(is_active)),
            FaultKind::StoreWritesLate => Some(StoreCommand::WriteLate(is_active)),
            FaultKind::StoreForgets if is_active => Some(StoreCommand::Forget),
            FaultKind::StoreTurnsAway(slots) => {
                let slots = slots
                    .iter()
                    .map(|slot| usize::from(self.serving_slot(*slot)));
                let readers = slots.filter(|_| is_active).collect();
                Some(StoreCommand::TurnAway(readers))
            }
            _ => None,
        };
        if let Some(command) = store {
            self.store.send(&command).await?;
        }
        let default_lag_ms = commands::DEFAULT_LAG.as_millis() as u64;
        let group = match *kind {
            FaultKind::Lag(member, millis) => {
                let millis = if is_active { millis } else { default_lag_ms };
                Some(GroupCommand::Lag(usize::from(member), millis))
            }
            FaultKind::Deafen(member) => Some(GroupCommand::Deafen(usize::from(member), is_active)),
            FaultKind::Silence(member) => {
                Some(GroupCommand::Silence(usize::from(member), is_active))
            }
            FaultKind::Crash(member) if is_active => Some(GroupCommand::Crash(usize::from(member))),
            FaultKind::Crash(member) => Some(GroupCommand::Start(usize::from(member), None)),
            FaultKind::LoseAnswer if is_active => Some(GroupCommand::DropAnswer),
            FaultKind::RefuseSetup(refusal) => Some(GroupCommand::RefuseSetup(refusal, is_active)),
            _ => None,
        };
        if let Some(command) = group {
            self.group.send(&command).await?;
        }
        Ok(())
    }

    /// Restarts a crashed database with its log under a new identity, and replaces its
    /// registration.
    async fn restart_with_new_identity(&mut self, database: u8) -> Result<(), SoakError> {
        let member = usize::from(database);
        let old_id = self.identities[member].clone();
        let id = format!("{old_id}b");
        self.identities[member].clone_from(&id);
        self.group
            .send(&GroupCommand::Start(member, Some(id)))
            .await?;
        let kind = contents::REGISTRATION_KIND.to_owned();
        self.store.send(&StoreCommand::Remove(kind, old_id)).await?;
        self.register_database(database, "ready", false).await
    }

    fn find_link(&self, link: LinkName) -> &relay::RelayLink {
        let links = &self.relays.links;
        match link {
            LinkName::Callers(vm) => &links.callers[usize::from(vm)],
            LinkName::Store(vm) => &links.stores[usize::from(self.serving_slot(vm))],
            LinkName::Duty(vm) => &links.promotion_apis[usize::from(self.serving_slot(vm))],
            LinkName::Database(vm, database) => {
                &links.databases[&(self.serving_slot(vm), database)]
            }
            LinkName::Peers(vm, other) => {
                &links.peers[&(self.serving_slot(vm), self.serving_slot(other))]
            }
        }
    }
}
