//! A running site: its processes, links and what is done to them.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_history::statement::FaultTarget;
use bluebellferry_standin_platform::contents;
use bluebellferry_standin_platform::database;
use bluebellferry_standin_platform::deployment;
use rustix::process::Signal;
use serde_json::json;

use crate::SoakError;
use crate::fault;
use crate::fault::FaultKind;
use crate::fault::LinkFault;
use crate::fault::LinkName;
use crate::layout;
use crate::mesh;
use crate::orders;
use crate::orders::GroupOrder;
use crate::orders::StoreOrder;
use crate::relay::WayState;
use crate::schedule;

/// What the platform gives a process between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// How long VMs may take to get ready; builds without optimisation take longer.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The rate that the configuration allows usually, in operations a second.
const USUAL_RATE: u32 = 400;
/// The workspace of all callers.
const WORKSPACE: &str = "families";
/// The routes of the configuration.
const ROUTES: [&str; 3] = ["counter", "browse", "booking"];
/// The key of callers, which no fault withdraws.
pub const STEADY_KEY: &str = "steady-key-of-families";

/// Returns the key that a fault withdraws when the next one comes.
pub fn spare_key(number: u64) -> String {
    format!("spare-key-{number}")
}

/// The programs that are run.
#[derive(Debug, Clone)]
pub struct SitePrograms {
    /// A VM.
    pub vm: PathBuf,
    /// This soak, for the stand-ins.
    pub soak: PathBuf,
}

/// The process of one place.
#[derive(Debug, Default)]
struct VmPlace {
    child: Option<Child>,
    /// When it is started again.
    starts: Option<Instant>,
    /// When SIGTERM was sent, until it ends.
    stopped: Option<Instant>,
    /// Whether the soak killed it.
    is_killed: bool,
}

/// A fault that has not ended.
#[derive(Debug)]
struct RunningFault {
    /// What it is, with all targets named.
    kind: FaultKind,
    /// Its spans in the history.
    spans: Vec<usize>,
}

/// A running site.
#[derive(Debug)]
pub struct RunningSite {
    programs: SitePrograms,
    folder: PathBuf,
    layout: layout::SiteLayout,
    _claim: layout::SubnetClaim,
    standins: Vec<Child>,
    store: orders::OrderLine,
    group: orders::OrderLine,
    table: mesh::SharedPlaces,
    links: Arc<mesh::SiteLinks>,
    places: Vec<VmPlace>,
    /// The places in use that have no successor.
    vms: u8,
    /// The identity of each database.
    identities: Vec<String>,
    version: u64,
    rate: u32,
    key_number: u64,
    /// The faults that have not ended, by their indices.
    running: BTreeMap<usize, RunningFault>,
    /// What was done: faults, signals, starts, configurations, leaving databases.
    pub done: statement::StatementHistory,
    /// Processes that ended by themselves or did not stop in time.
    pub ended: Vec<String>,
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        let vms = self
            .places
            .iter_mut()
            .filter_map(|place| place.child.as_mut());
        for child in vms.chain(&mut self.standins) {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

fn start_standin(
    programs: &SitePrograms,
    folder: &Path,
    layout: &layout::SiteLayout,
    role: &str,
) -> Result<Child, SoakError> {
    let log = std::fs::File::create(folder.join(format!("{role}.log")))?;
    let layout = serde_json::to_string(layout)?;
    let mut command = Command::new(&programs.soak);
    command.args(["play", role, &layout]).stdin(Stdio::null());
    Ok(command.stdout(Stdio::null()).stderr(log).spawn()?)
}

impl RunningSite {
    /// Starts a site whose logs go to a folder, and waits until its VMs are ready.
    ///
    /// # Errors
    /// Fails when a process cannot be started or does not get ready.
    pub async fn start(
        programs: SitePrograms,
        size: schedule::SiteSize,
        folder: &Path,
    ) -> Result<Self, SoakError> {
        if folder.exists() {
            // Logs are appended to, so those of an earlier play go first.
            std::fs::remove_dir_all(folder)?;
        }
        std::fs::create_dir_all(folder)?;
        let claim = layout::SubnetClaim::take()?;
        let layout = layout::SiteLayout {
            subnet: claim.subnet,
            places: size.vms + size.spares,
            databases: size.databases,
        };
        let standin = |role| start_standin(&programs, folder, &layout, role);
        let standins = vec![standin("store")?, standin("databases")?];
        let table = mesh::SharedPlaces::default();
        let links = mesh::open(layout, &table).await?;
        let mut site = Self {
            folder: folder.to_owned(),
            layout,
            _claim: claim,
            standins,
            store: orders::OrderLine::connect(layout.store_orders()).await?,
            group: orders::OrderLine::connect(layout.group_orders()).await?,
            programs,
            table,
            links,
            places: (0..layout.places).map(|_| VmPlace::default()).collect(),
            vms: size.vms,
            identities: (0..size.databases).map(orders::database_name).collect(),
            version: 0,
            rate: USUAL_RATE,
            key_number: 0,
            running: BTreeMap::new(),
            done: statement::StatementHistory::default(),
            ended: Vec::new(),
        };
        for database in 0..size.databases {
            site.register(database, "ready", database == 0).await?;
        }
        site.configure().await?;
        for place in 0..size.vms {
            site.start_vm(place)?;
        }
        for place in 0..size.vms {
            site.wait_ready(place).await?;
        }
        Ok(site)
    }

    /// Returns where callers connect.
    pub fn caller_addresses(&self) -> Vec<std::net::SocketAddr> {
        (0..self.vms)
            .map(|place| self.layout.caller_relay(place))
            .collect()
    }

    /// Returns which VM served a group of callers at a moment.
    pub fn vm_at(&self, place: u8, time_us: u64) -> String {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let successor = table
            .successors
            .get(&place)
            .map(|place| orders::vm_name(*place));
        let has_started = |name: &String| {
            let mut starts = self.done.starts.iter();
            starts.any(|start| start.vm == *name && start.started_us <= time_us)
        };
        let successor = successor.filter(has_started);
        successor.unwrap_or_else(|| orders::vm_name(place))
    }

    /// Returns what the databases have seen since the last time.
    ///
    /// # Errors
    /// Fails when their process is gone.
    pub async fn take_history(&mut self) -> Result<serde_json::Value, SoakError> {
        self.group.send(&GroupOrder::TakeHistory).await
    }

    async fn wait_ready(&self, place: u8) -> Result<(), SoakError> {
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
            let asking = deployment::readiness(self.layout.readiness(place));
            let answer = tokio::time::timeout(Duration::from_secs(1), asking).await;
            if answer == Ok(Some(200)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(SoakError::NotReady(orders::vm_name(place)))
    }

    fn start_vm(&mut self, place: u8) -> Result<(), SoakError> {
        let layout = &self.layout;
        let name = orders::vm_name(place);
        let settings = deployment::vm_settings(&deployment::VmAddresses {
            vm: &name,
            address: layout.vm(place).into(),
            centre: place % 3,
            callers: layout.callers(place),
            readiness: layout.readiness(place),
            copies: (layout.vm(place), layout::COPIES_PORT).into(),
            peer_ports: [layout::PEER_PORT, layout::METRICS_PORT],
            store: layout.store_relay(),
            duty: layout.duty_relay(place),
            grace: GRACE,
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        let mut log = std::fs::File::options();
        let log = log.create(true).append(true);
        let log = log.open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.programs.vm);
        command.arg("--settings").arg(&file).stdin(Stdio::null());
        let child = command.stderr(log.try_clone()?).stdout(log).spawn()?;
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.processes.insert(place, child.id());
        self.places[usize::from(place)] = VmPlace {
            child: Some(child),
            ..VmPlace::default()
        };
        self.done.starts.push(statement::VmStart {
            vm: name,
            started_us: recorder::now_us(),
        });
        Ok(())
    }

    /// Starts processes that are due, and notes those that have ended.
    ///
    /// # Errors
    /// Fails when a process cannot be started.
    pub fn look_after_processes(&mut self) -> Result<(), SoakError> {
        for place in 0..self.layout.places {
            let vm = &mut self.places[usize::from(place)];
            let mut has_ended = vm.child.is_none();
            if let Some(child) = &mut vm.child
                && let Some(status) = child.try_wait()?
            {
                has_ended = true;
                vm.child = None;
                if vm.stopped.is_none() && !vm.is_killed {
                    let name = orders::vm_name(place);
                    self.ended.push(format!("{name} ended by itself: {status}"));
                    vm.starts = Some(Instant::now());
                }
            }
            if let (Some(child), Some(stopped)) = (&mut vm.child, vm.stopped)
                && stopped.elapsed() > GRACE
                && !vm.is_killed
            {
                child.kill()?;
                vm.is_killed = true;
            }
            let is_due = vm.starts.is_some_and(|starts| starts <= Instant::now());
            if has_ended && is_due {
                self.start_vm(place)?;
            }
        }
        Ok(())
    }

    /// Returns the place that serves the callers of a first place.
    fn current(&self, place: u8) -> u8 {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.successors.get(&place).copied().unwrap_or(place)
    }

    fn signal(&self, place: u8, signal: Signal) -> bool {
        let child = self.places[usize::from(place)].child.as_ref();
        let process = child.map(rustix::process::Pid::from_child);
        // A process that has ended but was not waited for takes signals too.
        process.is_some_and(|process| rustix::process::kill_process(process, signal).is_ok())
    }

    async fn register(&mut self, database: u8, state: &str, leads: bool) -> Result<(), SoakError> {
        let address = self.layout.database(database);
        let mut entry = contents::registration(orders::SERVICE, address, leads);
        entry["State"] = json!(state);
        let name = self.identities[usize::from(database)].clone();
        let kind = contents::REGISTRATIONS.to_owned();
        self.store.send(&StoreOrder::Put(kind, name, entry)).await?;
        Ok(())
    }

    async fn configure(&mut self) -> Result<(), SoakError> {
        self.version += 1;
        let spare = spare_key(self.key_number);
        let keys = [STEADY_KEY, spare.as_str()];
        let rate = f64::from(self.rate);
        let value = contents::configuration(self.version, orders::SERVICE, &keys, rate);
        let (kind, name) = contents::CONFIGURATION;
        let order = StoreOrder::Put(kind.to_owned(), name.to_owned(), value);
        let sent_us = recorder::now_us();
        self.store.send(&order).await?;
        let route = |name: &str| statement::ConfiguredRoute {
            name: name.to_owned(),
            service: orders::SERVICE.to_owned(),
        };
        let workspace = statement::ConfiguredWorkspace {
            name: WORKSPACE.to_owned(),
            keys: keys.map(str::to_owned).to_vec(),
            rate_per_s: rate,
            burst: rate,
        };
        self.done
            .configurations
            .push(statement::ConfigurationChange {
                version: self.version,
                sent_us,
                confirmed_us: recorder::now_us(),
                routes: ROUTES.map(route).to_vec(),
                workspaces: vec![workspace],
            });
        Ok(())
    }

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
        let leader = reports.iter().position(|member| member.is_primary);
        Ok(leader.unwrap_or(0) as u8)
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
                self.done.leaving.push(statement::LeavingDatabase {
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
        let kind = contents::REGISTRATIONS.to_owned();
        self.store.send(&StoreOrder::Remove(kind, old)).await?;
        self.register(database, "ready", false).await
    }

    fn link(&self, link: LinkName) -> &crate::relay::RelayLink {
        let links = &self.links;
        match link {
            LinkName::Callers(vm) => &links.callers[usize::from(vm)],
            LinkName::Store(vm) => &links.stores[usize::from(self.current(vm))],
            LinkName::Duty(vm) => &links.duties[usize::from(self.current(vm))],
            LinkName::Database(vm, database) => &links.databases[&(self.current(vm), database)],
            LinkName::Peers(vm, other) => &links.peers[&(self.current(vm), self.current(other))],
        }
    }

    fn note_signal(&mut self, place: u8, is_stop: bool) {
        self.done.signals.push(statement::PlannedSignal {
            vm: orders::vm_name(place),
            is_stop,
            sent_us: recorder::now_us(),
        });
    }

    fn stop(&mut self, place: u8, lasts: Duration) {
        let place = self.current(place);
        if self.signal(place, Signal::TERM) {
            self.note_signal(place, true);
            let vm = &mut self.places[usize::from(place)];
            vm.stopped.get_or_insert_with(Instant::now);
            vm.starts = Some(Instant::now() + lasts);
        }
    }

    fn kill(&mut self, place: u8, starts: Option<Instant>) -> Result<(), SoakError> {
        let vm = &mut self.places[usize::from(place)];
        if let Some(child) = &mut vm.child {
            vm.is_killed = true;
            child.kill()?;
        }
        vm.starts = starts;
        Ok(())
    }

    fn replace(&mut self, place: u8, lasts: Duration) -> Result<(), SoakError> {
        let old = self.current(place);
        let places = self.places.iter().enumerate().skip(usize::from(self.vms));
        let mut unused = places.filter(|(_, vm)| vm.child.is_none() && vm.starts.is_none());
        let Some(new) = unused.next().map(|(place, _)| place) else {
            return Ok(());
        };
        self.kill(old, None)?;
        self.places[new].starts = Some(Instant::now() + lasts);
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.successors.insert(place, new as u8);
        Ok(())
    }
}

/// Returns the place that a VM's name tells.
pub fn place_of(name: &str) -> Option<u8> {
    orders::place_in_name(name)
}
