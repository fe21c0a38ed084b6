//! A running site: its processes, links and what is done to them.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_history::recorder;
use bluebellferry_history::statement;
use bluebellferry_standin_platform::contents;
use serde_json::json;

use crate::SoakError;
use crate::fault::FaultKind;
use crate::layout;
use crate::mesh;
use crate::orders;
use crate::orders::GroupOrder;
use crate::orders::StoreOrder;
use crate::schedule;

mod injection;
mod processes;

/// What the platform gives a process between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// How long VMs may take to get ready; builds without optimisation take longer.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The rate that the configuration allows usually, in operations a second: less than
/// callers ask for, so that it binds.
const USUAL_RATE: u32 = 180;
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
    standins: Vec<Child>,
    store: orders::OrderLine,
    group: orders::OrderLine,
    table: mesh::SharedPlaces,
    relays: mesh::SiteRelays,
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
    /// Given back when all else is closed.
    _claim: layout::SubnetClaim,
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
        let relays = mesh::open(layout, &table).await?;
        let mut site = Self {
            folder: folder.to_owned(),
            layout,
            standins,
            store: orders::OrderLine::connect(layout.store_orders()).await?,
            group: orders::OrderLine::connect(layout.group_orders()).await?,
            programs,
            table,
            relays,
            places: (0..layout.places).map(|_| VmPlace::default()).collect(),
            vms: size.vms,
            identities: (0..size.databases).map(orders::database_name).collect(),
            version: 0,
            rate: USUAL_RATE,
            key_number: 0,
            running: BTreeMap::new(),
            done: statement::StatementHistory::default(),
            ended: Vec::new(),
            _claim: claim,
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

    /// Ends all processes and relays.
    pub async fn close(mut self) {
        self.relays.close().await;
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

    async fn register(&mut self, database: u8, state: &str, leads: bool) -> Result<(), SoakError> {
        let address = self.layout.database(database);
        let mut entry = contents::registration(orders::SERVICE, address, leads);
        entry["State"] = json!(state);
        let name = self.identities[usize::from(database)].clone();
        let kind = contents::REGISTRATION_KIND.to_owned();
        self.store.send(&StoreOrder::Put(kind, name, entry)).await?;
        Ok(())
    }

    async fn configure(&mut self) -> Result<(), SoakError> {
        self.version += 1;
        let spare = spare_key(self.key_number);
        let keys = [STEADY_KEY, spare.as_str()];
        let rate = f64::from(self.rate);
        let value = contents::configuration(self.version, orders::SERVICE, &keys, rate);
        let (kind, name) = contents::CONFIGURATION_OBJECT;
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
}

/// Returns the place that a VM's name tells.
pub fn place_of(name: &str) -> Option<u8> {
    orders::place_in_name(name)
}
