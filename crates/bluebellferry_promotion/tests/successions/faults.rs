//! Random faults, releases of databases, and the phases of a schedule.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::checker;
use crate::database;
use crate::vm;
use crate::world;

/// How long the service runs before the first fault.
const WARM_UP: Duration = Duration::from_secs(2);
/// How long faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(18);
/// How often a fault is injected, on average.
const FAULT_INTERVAL: Duration = Duration::from_millis(800);
/// After the end of the fault phase, the time until the last consequences of the faults end.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// How long after that a service may have no leader.
const RECOVERY_LIMIT: Duration = Duration::from_secs(45);
/// How long a database drains before it leaves, in milliseconds.
const DRAIN_MS: std::ops::Range<u64> = 7_000..10_000;

/// Plays a schedule with random faults.
pub(crate) fn play(seed: u64, is_noted: bool) -> world::World {
    let mut world = world::World::new(seed, is_noted);
    world.advance(WARM_UP);
    let faults_end = world.now + FAULT_PHASE;
    while world.now < faults_end {
        if world.happens_once_in(FAULT_INTERVAL) {
            world.inject_fault();
        }
        world.step();
    }
    world.recover();
    world
}

impl world::World {
    /// Ends the faults and checks that the service is led again.
    pub(crate) fn recover(&mut self) {
        self.end_faults();
        self.advance(SETTLING_TIME);
        let commits_before = self.commits;
        let limit = self.now + RECOVERY_LIMIT;
        while self.now < limit {
            self.step();
            if self.ledger.has_acknowledged_after(commits_before) {
                return;
            }
        }
        self.note(|world| world.describe());
        let is_recoverable = self.ledger.unavoidable_losses == 0
            && self.ledger.is_complete_in_some_log(&self.databases);
        if is_recoverable {
            self.ledger.violations.push(checker::Violation::NotLed);
        } else {
            self.ledger.is_given_up = true;
        }
    }

    pub(crate) fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    pub(crate) fn end_faults(&mut self) {
        self.note(|_| "the faults end".to_owned());
        self.cuts.clear();
        self.platform_late_until = None;
        for vm in 0..self.vms.len() {
            self.frozen_until[vm] = None;
        }
        for database in &mut self.databases {
            database.deaf_until = None;
        }
    }

    fn random_until(&mut self) -> Instant {
        let duration = self.random_ms(500..7_000);
        self.now + duration
    }

    fn inject_fault(&mut self) {
        let until = self.random_until();
        let running = |database: &usize| self.databases[*database].is_running();
        let running: Vec<usize> = (0..self.databases.len()).filter(running).collect();
        let leader = self.newest_leader;
        let Some(any) = running.choose(&mut self.rng).copied() else {
            return;
        };
        let is_leader_running = self.databases[leader].is_running();
        let leader = if is_leader_running { leader } else { any };
        let vm = self.rng.random_range(0..self.vms.len());
        match self.rng.random_range(0..16) {
            0..3 => self.drain(any),
            3 => self.crash(leader),
            4 => self.crash(any),
            5 | 6 => self.cut_database(leader, until),
            7 => self.cut_database(any, until),
            8..11 => self.deafen(any, until),
            11 | 12 => self.platform_late_until = Some(until),
            13 => self.cut_vm(vm, until),
            14 => self.freeze_vm(vm, until),
            _ => self.kill_vm(vm),
        }
    }

    pub(crate) fn deafen(&mut self, database: usize, until: Instant) {
        self.note(|world| format!("db-{database} is deaf for {:?}", until - world.now));
        self.databases[database].deaf_until = Some(until);
    }

    pub(crate) fn drain(&mut self, database: usize) {
        let keeps_log = self.rng.random_bool(0.6);
        let delay = self.random_ms(DRAIN_MS);
        self.drain_for(database, keeps_log, delay);
    }

    pub(crate) fn drain_for(&mut self, database: usize, keeps_log: bool, delay: Duration) {
        if self.databases[database].is_draining {
            return;
        }
        self.note(|_| format!("db-{database} drains for {delay:?}"));
        self.databases[database].is_draining = true;
        let event = world::Event::DatabaseLeaves {
            database,
            keeps_log,
        };
        self.schedule(delay, event);
    }

    /// Ends a database that has drained.
    pub(crate) fn remove_database(&mut self, database: usize, keeps_log: bool) {
        // A restart ends a release.
        let state = &self.databases[database];
        if !state.is_running() || !state.is_draining {
            return;
        }
        self.note(|_| format!("db-{database} leaves, its log moves: {keeps_log}"));
        if keeps_log {
            let delay = self.random_ms(100..2_000);
            self.rename(database, delay);
            let moved = self.databases.len() - 1;
            self.databases[moved].is_primary = false;
        } else {
            self.databases[database].depart();
            let delay = self.random_ms(0..5_000);
            self.schedule(delay, world::Event::EmptyDatabaseJoins);
        }
        self.listed
            .retain(|(listed, _)| listed.database != database);
    }

    /// Ends a database, whose log comes back under another identity at the same address.
    fn rename(&mut self, database: usize, delay: Duration) {
        let index = self.databases.len();
        let previous = &mut self.databases[database];
        let mut renamed =
            database::SimulatedDatabase::new(index, previous.address, previous.start + 1);
        renamed.log = std::mem::take(&mut previous.log);
        renamed.term = previous.term;
        renamed.is_primary = previous.is_primary;
        previous.depart();
        renamed.crash();
        self.databases.push(renamed);
        if self.newest_leader == database {
            self.newest_leader = index;
        }
        self.schedule(delay, world::Event::DatabaseReturns { database: index });
    }

    fn crash(&mut self, database: usize) {
        let fate = self.rng.random_range(0..10);
        let delay = self.random_ms(500..6_000);
        self.note(|_| format!("db-{database} crashes, with fate {fate}"));
        match fate {
            0..5 => self.crash_for(database, delay),
            5 | 6 => self.rename(database, delay),
            7 => self.crash_empty_for(database, delay),
            _ => self.replace_by_empty(database, delay),
        }
    }

    /// Crashes a database that comes back without its log, under the same identity.
    pub(crate) fn crash_empty_for(&mut self, database: usize, delay: Duration) {
        self.databases[database].crash();
        self.databases[database].lose_log();
        self.schedule(delay, world::Event::DatabaseReturns { database });
    }

    /// Ends a database for good. Another one joins without a log after `delay`.
    pub(crate) fn replace_by_empty(&mut self, database: usize, delay: Duration) {
        self.databases[database].depart();
        self.schedule(delay, world::Event::EmptyDatabaseJoins);
    }

    /// Crashes a database that comes back with its log.
    pub(crate) fn crash_for(&mut self, database: usize, delay: Duration) {
        self.databases[database].crash();
        self.schedule(delay, world::Event::DatabaseReturns { database });
    }

    pub(crate) fn return_database(&mut self, database: usize) {
        let newest_term = self.newest_term;
        let state = &mut self.databases[database];
        if state.presence != database::DatabasePresence::Crashed {
            return;
        }
        state.presence = database::DatabasePresence::Running;
        if state.term < newest_term {
            state.is_primary = false;
        }
        let end = state.received();
        self.note(|_| format!("db-{database} is back with {end}"));
    }

    pub(crate) fn join_empty_database(&mut self) {
        let index = self.databases.len();
        let address = self.addresses;
        self.addresses += 1;
        let joined = database::SimulatedDatabase::new(index, address, 0);
        self.databases.push(joined);
        self.note(|_| format!("db-{index} joins without a log"));
    }

    /// Cuts a database off from other databases, from some VMs or from both.
    fn cut_database(&mut self, database: usize, until: Instant) {
        let (cuts_databases, cuts_vms) = match self.rng.random_range(0..3) {
            0 => (1.0, 0.0),
            1 => (0.0, 0.7),
            _ => (0.8, 0.7),
        };
        self.note(|world| {
            let duration = until - world.now;
            format!("db-{database} is cut off for {duration:?}: {cuts_databases} of databases, {cuts_vms} of VMs")
        });
        let this = world::Endpoint::Database(database);
        let mut cuts = Vec::new();
        for other in 0..self.databases.len() {
            if other != database && self.rng.random_bool(cuts_databases) {
                cuts.push((this, world::Endpoint::Database(other), until));
            }
        }
        for vm in 0..self.vms.len() {
            if self.rng.random_bool(cuts_vms) {
                cuts.push((this, world::Endpoint::Vm(vm), until));
            }
        }
        if self.rng.random_bool(0.3) {
            cuts.push((this, world::Endpoint::Store, until));
        }
        self.cuts.extend(cuts);
    }

    /// Cuts a VM off from the store, and perhaps from the other VMs.
    pub(crate) fn cut_vm(&mut self, vm: usize, until: Instant) {
        let cuts_vms = self.rng.random_bool(0.6);
        self.note(|world| {
            let duration = until - world.now;
            format!("vm-{vm} is cut off for {duration:?}, from VMs: {cuts_vms}")
        });
        let this = world::Endpoint::Vm(vm);
        self.cuts.push((this, world::Endpoint::Store, until));
        self.cuts.push((this, world::Endpoint::Platform, until));
        for other in 0..self.vms.len() {
            if cuts_vms && other != vm {
                self.cuts.push((this, world::Endpoint::Vm(other), until));
            }
        }
    }

    fn freeze_vm(&mut self, vm: usize, until: Instant) {
        self.note(|world| format!("vm-{vm} is frozen for {:?}", until - world.now));
        self.frozen_until[vm] = Some(until);
    }

    fn kill_vm(&mut self, vm: usize) {
        let delay = self.random_ms(500..5_000);
        self.kill_vm_for(vm, delay);
    }

    pub(crate) fn kill_vm_for(&mut self, vm: usize, delay: Duration) {
        if self.vms[vm].is_none() {
            return;
        }
        self.note(|_| format!("vm-{vm} is killed"));
        self.vms[vm] = None;
        self.schedule(delay, world::Event::VmReturns { vm });
    }

    pub(crate) fn start_vm(&mut self, vm: usize) {
        self.incarnations += 1;
        let (incarnation, vms, now) = (self.incarnations, self.vms.len(), self.now);
        self.vms[vm] = Some(vm::SimulatedVm::new(vm, incarnation, vms, now));
        self.note(|_| format!("vm-{vm} starts"));
    }

    /// Describes the state of the service.
    fn describe(&self) -> String {
        let table = &self.table;
        let running = self
            .databases
            .iter()
            .filter(|database| database.is_running());
        let databases = running.map(|database| {
            let (name, end) = (database.name.as_str(), database.received());
            let (role, fenced) = (database.is_primary, database.fenced_term);
            format!(
                "{name} at {end}, term {}, primary {role}, fenced {fenced}",
                database.term
            )
        });
        let databases: Vec<String> = databases.collect();
        let duty = self.vms[table.holder].as_ref().map(|vm| &vm.duty);
        format!("{databases:?}, {table:?}, {duty:?}")
    }
}
