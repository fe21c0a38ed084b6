//! Faults as they begin and end.

use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_history::statement::FaultTarget;
use bluebellferry_standin_platform::contents;
use bluebellferry_standin_platform::database;
use rustix::process::Signal;

use super::RunningFault;
use super::RunningSite;
use super::USUAL_RATE;
use crate::SoakError;
use crate::fault;
use crate::fault::FaultKind;
use crate::fault::LinkFault;
use crate::fault::LinkName;
use crate::orders;
use crate::orders::GroupOrder;
use crate::orders::StoreOrder;
use crate::relay;
use crate::relay::WayState;

impl RunningSite {
    fn vm_target(&self, place: u8) -> FaultTarget {
        FaultTarget::Vm(orders::vm_name(self.current(place)))
    }

    fn database_target(&self, database: u8) -> FaultTarget {
        FaultTarget::Database(self.identities[usize::from(database)].clone())
    }

    fn targets(&self, kind: &FaultKind) -> Vec<FaultTarget> {
        let vms = |places: &[u8]| places.iter().map(|place| self.vm_target(*place)).collect();
        match kind {
            FaultKind::Freeze(places) | FaultKind::Kill(places) => vms(places),
            FaultKind::Replace(place) => vms(&[*place]),
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
            | FaultKind::Rebirth(database) => vec![self.database_target(*database)],
            FaultKind::LoseAnswer => {
                let databases = 0..self.layout.databases;
                databases
                    .map(|database| self.database_target(database))
                    .collect()
            }
            FaultKind::Stop(_)
            | FaultKind::Reload(_)
            | FaultKind::Rate(_)
            | FaultKind::WithdrawKey
            | FaultKind::Leave(_) => Vec::new(),
        }
    }

    /// Begins a fault.
    ///
    /// # Errors
    /// Fails when a stand-in is gone or a process cannot be started.
    pub async fn begin(
        &mut self,
        index: usize,
        scheduled: &fault::ScheduledFault,
    ) -> Result<(), SoakError> {
        let kind = scheduled.kind.with_leader(self.find_leader().await?);
        let mut spans = Vec::new();
        for target in self.targets(&kind) {
            spans.push(self.done.faults.len());
            self.done.faults.push(statement::FaultSpan {
                target,
                started_us: recorder::now_us(),
                ended_us: u64::MAX,
            });
        }
        let lasts = Duration::from_millis(scheduled.lasts_ms);
        self.inject(&kind, lasts).await?;
        self.running.insert(index, RunningFault { kind, spans });
        Ok(())
    }

    /// Returns the database that leads, the first if none does.
    async fn find_leader(&mut self) -> Result<u8, SoakError> {
        let reports = self.group.send(&GroupOrder::Reports).await?;
        let reports: Vec<database::MemberReport> = serde_json::from_value(reports)?;
        // A replaced leader goes on until it hears of that.
        let leaders = reports.iter().enumerate();
        let leaders = leaders.filter(|(_, member)| member.is_primary);
        let newest = leaders.max_by_key(|(_, member)| member.term);
        Ok(newest.map_or(0, |(database, _)| database as u8))
    }

    async fn inject(&mut self, kind: &FaultKind, lasts: Duration) -> Result<(), SoakError> {
        match kind {
            FaultKind::Stop(places) => places.iter().for_each(|place| self.stop(*place, lasts)),
            FaultKind::Reload(place) => {
                let place = self.current(*place);
                if self.signal(place, Signal::HUP) {
                    self.note_signal(place, false);
                }
            }
            FaultKind::Freeze(places) => {
                for place in places {
                    self.signal(self.current(*place), Signal::STOP);
                }
            }
            FaultKind::Kill(places) => {
                for place in places {
                    self.kill(self.current(*place), Some(Instant::now() + lasts))?;
                }
            }
            FaultKind::Replace(place) => self.replace(*place, lasts)?,
            FaultKind::Link(links, LinkFault::Reset) => {
                links.iter().for_each(|link| self.link(*link).reset());
            }
            FaultKind::Link(links, LinkFault::Ways(there, back)) => {
                links
                    .iter()
                    .for_each(|link| self.link(*link).set(*there, *back));
            }
            FaultKind::Rate(rate) => {
                self.rate = *rate;
                self.configure().await?;
            }
            FaultKind::WithdrawKey => {
                self.key_number += 1;
                self.configure().await?;
            }
            FaultKind::Leave(database) => {
                self.register(*database, "draining", false).await?;
                self.done.leaving.push(statement::DrainingDatabase {
                    database: self.identities[usize::from(*database)].clone(),
                    confirmed_us: recorder::now_us(),
                });
            }
            FaultKind::Rebirth(database) => {
                let member = usize::from(*database);
                self.group.send(&GroupOrder::Crash(member)).await?;
            }
            other => self.order(other, true).await?,
        }
        Ok(())
    }

    /// Ends a fault.
    ///
    /// # Errors
    /// Fails when a stand-in is gone or a process cannot be started.
    pub async fn end(&mut self, index: usize) -> Result<(), SoakError> {
        let Some(fault) = self.running.remove(&index) else {
            return Ok(());
        };
        match &fault.kind {
            FaultKind::Freeze(places) => {
                for place in places {
                    self.signal(self.current(*place), Signal::CONT);
                }
            }
            FaultKind::Link(links, LinkFault::Ways(..)) => {
                let open = WayState::Open;
                links
                    .iter()
                    .for_each(|link| self.link(*link).set(open, open));
            }
            FaultKind::Rate(_) => {
                self.rate = USUAL_RATE;
                self.configure().await?;
            }
            FaultKind::Leave(database) => {
                let started_us = recorder::now_us();
                let target = self.database_target(*database);
                let member = usize::from(*database);
                self.group.send(&GroupOrder::Crash(member)).await?;
                self.bear_again(*database).await?;
                self.done.faults.push(statement::FaultSpan {
                    target,
                    started_us,
                    ended_us: recorder::now_us(),
                });
            }
            FaultKind::Rebirth(database) => self.bear_again(*database).await?,
            other => self.order(other, false).await?,
        }
        self.look_after_processes()?;
        let is_for_good = matches!(fault.kind, FaultKind::Replace(_));
        for span in fault.spans.into_iter().filter(|_| !is_for_good) {
            self.done.faults[span].ended_us = recorder::now_us();
        }
        Ok(())
    }

    /// Begins or ends a fault that is one order to a stand-in.
    async fn order(&mut self, kind: &FaultKind, is_on: bool) -> Result<(), SoakError> {
        let store = match kind {
            FaultKind::StoreDown => Some(StoreOrder::Down(is_on)),
            FaultKind::StoreSlow(millis) => {
                Some(StoreOrder::Delay(if is_on { *millis } else { 0 }))
            }
            FaultKind::StoreLosesAnswers => Some(StoreOrder::LoseAnswers(is_on)),
            FaultKind::StoreWritesLate => Some(StoreOrder::WriteLate(is_on)),
            FaultKind::StoreForgets if is_on => Some(StoreOrder::Forget),
            FaultKind::StoreTurnsAway(places) => {
                let places = places.iter().map(|place| usize::from(self.current(*place)));
                let readers = places.filter(|_| is_on).collect();
                Some(StoreOrder::TurnAway(readers))
            }
            _ => None,
        };
        if let Some(order) = store {
            self.store.send(&order).await?;
        }
        let usual_ms = orders::USUAL_LAG.as_millis() as u64;
        let group = match *kind {
            FaultKind::Lag(member, millis) => {
                let millis = if is_on { millis } else { usual_ms };
                Some(GroupOrder::Lag(usize::from(member), millis))
            }
            FaultKind::Deafen(member) => Some(GroupOrder::Deafen(usize::from(member), is_on)),
            FaultKind::Silence(member) => Some(GroupOrder::Silence(usize::from(member), is_on)),
            FaultKind::Crash(member) if is_on => Some(GroupOrder::Crash(usize::from(member))),
            FaultKind::Crash(member) => Some(GroupOrder::Start(usize::from(member), None)),
            FaultKind::LoseAnswer if is_on => Some(GroupOrder::DropAnswer),
            _ => None,
        };
        if let Some(order) = group {
            self.group.send(&order).await?;
        }
        Ok(())
    }

    async fn bear_again(&mut self, database: u8) -> Result<(), SoakError> {
        let member = usize::from(database);
        let old = self.identities[member].clone();
        let id = format!("{old}b");
        self.identities[member].clone_from(&id);
        self.group
            .send(&GroupOrder::Start(member, Some(id)))
            .await?;
        let kind = contents::REGISTRATION_KIND.to_owned();
        self.store.send(&StoreOrder::Remove(kind, old)).await?;
        self.register(database, "ready", false).await
    }

    fn link(&self, link: LinkName) -> &relay::RelayLink {
        let links = &self.relays.links;
        match link {
            LinkName::Callers(vm) => &links.callers[usize::from(vm)],
            LinkName::Store(vm) => &links.stores[usize::from(self.current(vm))],
            LinkName::Duty(vm) => &links.duties[usize::from(self.current(vm))],
            LinkName::Database(vm, database) => &links.databases[&(self.current(vm), database)],
            LinkName::Peers(vm, other) => &links.peers[&(self.current(vm), self.current(other))],
        }
    }
}
