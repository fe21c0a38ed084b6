//! A running site: a complete deployment of VMs, databases, store and relays on this
//! machine.

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
use crate::callers;
use crate::commands;
use crate::commands::GroupCommand;
use crate::commands::StoreCommand;
use crate::fault;
use crate::fault::FaultKind;
use crate::layout;
use crate::mesh;
use crate::schedule;

mod injection;
mod processes;

/// The grace period between SIGTERM and SIGKILL, as on the platform.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// The timeout for a VM to become ready; long enough for builds without optimisation.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The rate limit while no fault changes it, in operations per second; less than
/// callers demand, so that the limit takes effect.
const DEFAULT_RATE: u32 = 180;
/// The workspace of all callers.
const WORKSPACE: &str = "families";
/// The names of the configured routes.
const ROUTES: [&str; 3] = ["counter", "browse", "booking"];
/// The workspaces between which the roaming key passes.
const VISITORS: &str = "visitors";
const CLUBS: &str = "clubs";
/// A service that has no databases.
const OTHER_SERVICE: &str = "repairs";
/// The API key that [`FaultKind::ChangeAccess`] withdraws and passes on.
pub const ROAMING_KEY: &str = "roaming-key-of-visitors";
/// The API key that no fault withdraws.
pub const PERMANENT_KEY: &str = "steady-key-of-families";

/// Returns an API key that [`FaultKind::WithdrawKey`] replaces by the key of the next
/// number.
pub fn rotating_key(number: u64) -> String {
    format!("spare-key-{number}")
}

/// The programs that a site runs.
#[derive(Debug, Clone)]
pub struct SitePrograms {
    /// The program of a VM.
    pub vm: PathBuf,
    /// This program, which also runs the stand-ins.
    pub soak: PathBuf,
}

/// The process in a VM slot.
#[derive(Debug, Default)]
struct VmSlot {
    child: Option<Child>,
    /// When the process will be started again.
    start_at: Option<Instant>,
    /// When SIGTERM was sent to the running process.
    stop_requested_at: Option<Instant>,
    /// Whether the runner sent SIGKILL.
    is_killed: bool,
}

/// A fault that has begun and not ended.
#[derive(Debug)]
struct ActiveFault {
    /// The fault, with the leader's index resolved.
    kind: FaultKind,
    /// The indices of its spans in the recorded faults.
    span_indices: Vec<usize>,
}

/// A running site; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct RunningSite {
    programs: SitePrograms,
    folder: PathBuf,
    layout: layout::SiteLayout,
    standins: Vec<Child>,
    store: commands::CommandConnection,
    group: commands::CommandConnection,
    slot_table: mesh::SharedSlotTable,
    relays: mesh::SiteRelays,
    slots: Vec<VmSlot>,
    /// The number of VMs at the start; the slots from this number on are for replacements.
    initial_vms: u8,
    /// The current identity of each database.
    identities: Vec<String>,
    configuration_version: u64,
    rate_limit: u32,
    rotating_key_number: u64,
    /// The roaming key and its route.
    access: fault::AccessState,
    /// The active faults by their indices in the schedule.
    active_faults: BTreeMap<usize, ActiveFault>,
    /// What the runner did: faults, signals, starts, configurations and draining
    /// databases.
    pub recorded: statement::StatementHistory,
    /// Descriptions of VMs that exited unexpectedly or did not stop within the grace
    /// period.
    pub unexpected_exits: Vec<String>,
    /// Declared last, so that it is dropped after all processes and relays.
    _reservation: layout::SubnetReservation,
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        let vms = self.slots.iter_mut().filter_map(|slot| slot.child.as_mut());
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
    /// Starts a site that logs into a folder, and waits until its VMs are ready.
    ///
    /// # Errors
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(
        programs: SitePrograms,
        size: schedule::SiteSize,
        folder: &Path,
    ) -> Result<Self, SoakError> {
        if folder.exists() {
            // VMs append to their logs, so the files of an earlier run are removed.
            std::fs::remove_dir_all(folder)?;
        }
        std::fs::create_dir_all(folder)?;
        let reservation = layout::SubnetReservation::reserve()?;
        let layout = layout::SiteLayout {
            subnet: reservation.subnet,
            slots: size.vms + size.spares,
            databases: size.databases,
        };
        let standin = |role| start_standin(&programs, folder, &layout, role);
        let standins = vec![standin("store")?, standin("databases")?];
        let slot_table = mesh::SharedSlotTable::default();
        let relays = mesh::open_relays(layout, &slot_table).await?;
        let mut site = Self {
            folder: folder.to_owned(),
            layout,
            standins,
            store: commands::CommandConnection::connect(layout.store_commands()).await?,
            group: commands::CommandConnection::connect(layout.group_commands()).await?,
            programs,
            slot_table,
            relays,
            slots: (0..layout.slots).map(|_| VmSlot::default()).collect(),
            initial_vms: size.vms,
            identities: (0..size.databases).map(commands::database_name).collect(),
            configuration_version: 0,
            rate_limit: DEFAULT_RATE,
            rotating_key_number: 0,
            access: fault::AccessState::DEFAULT,
            active_faults: BTreeMap::new(),
            recorded: statement::StatementHistory::default(),
            unexpected_exits: Vec::new(),
            _reservation: reservation,
        };
        for database in 0..size.databases {
            site.register_database(database, "ready", database == 0)
                .await?;
        }
        site.publish_configuration().await?;
        for slot in 0..size.vms {
            site.start_vm(slot)?;
        }
        for slot in 0..size.vms {
            site.wait_ready(slot).await?;
        }
        Ok(site)
    }

    /// Closes all relays and kills all processes.
    pub async fn close(mut self) {
        self.relays.close().await;
    }

    /// Returns the addresses to which callers connect.
    pub fn caller_addresses(&self) -> Vec<std::net::SocketAddr> {
        (0..self.initial_vms)
            .map(|slot| self.layout.caller_relay(slot))
            .collect()
    }

    /// Returns the name of the VM that served the callers of an initial slot at a time.
    pub fn vm_serving_at(&self, slot: u8, time_us: u64) -> String {
        let slot_table = self
            .slot_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let successor = slot_table
            .successors
            .get(&slot)
            .map(|slot| commands::vm_name(*slot));
        let has_started = |name: &String| {
            let mut starts = self.recorded.starts.iter();
            starts.any(|start| start.vm == *name && start.started_us <= time_us)
        };
        let successor = successor.filter(has_started);
        successor.unwrap_or_else(|| commands::vm_name(slot))
    }

    /// Returns what the databases have recorded since the last call.
    ///
    /// # Errors
    /// Fails when the databases' process has exited.
    pub async fn take_history(&mut self) -> Result<serde_json::Value, SoakError> {
        self.group.send(&GroupCommand::TakeHistory).await
    }

    async fn register_database(
        &mut self,
        database: u8,
        state: &str,
        is_primary: bool,
    ) -> Result<(), SoakError> {
        let address = self.layout.database_address(database);
        let mut registration = contents::registration(commands::SERVICE, address, is_primary);
        registration["State"] = json!(state);
        contents::set_data_centre(&mut registration, database_centre(database));
        let name = self.identities[usize::from(database)].clone();
        let kind = contents::REGISTRATION_KIND.to_owned();
        self.store
            .send(&StoreCommand::Put(kind, name, registration))
            .await?;
        Ok(())
    }

    async fn publish_configuration(&mut self) -> Result<(), SoakError> {
        self.configuration_version += 1;
        let rotating_key = rotating_key(self.rotating_key_number);
        let keys = [PERMANENT_KEY, rotating_key.as_str()];
        let rate_limit = f64::from(self.rate_limit);
        let mut value = contents::configuration(
            self.configuration_version,
            commands::SERVICE,
            &keys,
            rate_limit,
        );
        let mut routes = ROUTES
            .map(|name| configured_route(name, commands::SERVICE))
            .to_vec();
        routes.extend(roaming_route(self.access.route));
        let has_roaming_key = |owner| self.access.owner == owner;
        let workspaces = vec![
            configured_workspace(WORKSPACE, &keys, rate_limit),
            roaming_workspace(VISITORS, has_roaming_key(fault::KeyOwner::Visitors)),
            roaming_workspace(CLUBS, has_roaming_key(fault::KeyOwner::Clubs)),
        ];
        contents::add_service(&mut value, OTHER_SERVICE);
        for workspace in &workspaces[1..] {
            let keys: Vec<&str> = workspace.keys.iter().map(String::as_str).collect();
            contents::add_workspace(&mut value, &workspace.name, &keys);
        }
        for route in &routes[ROUTES.len()..] {
            contents::add_route(&mut value, &route.name, &route.service, route.is_public);
        }
        let (kind, name) = contents::CONFIGURATION_OBJECT;
        let command = StoreCommand::Put(kind.to_owned(), name.to_owned(), value);
        let sent_us = recorder::now_us();
        self.store.send(&command).await?;
        self.recorded
            .configurations
            .push(statement::ConfigurationChange {
                version: self.configuration_version,
                sent_us,
                confirmed_us: recorder::now_us(),
                routes,
                workspaces,
            });
        Ok(())
    }
}

fn configured_route(name: &str, service: &str) -> statement::ConfiguredRoute {
    statement::ConfiguredRoute {
        name: name.to_owned(),
        service: service.to_owned(),
        is_public: false,
    }
}

/// Returns the route of the callers with the roaming key, if it exists in this state.
fn roaming_route(state: fault::RouteState) -> Option<statement::ConfiguredRoute> {
    let route = configured_route(callers::ROAMING_ROUTE.name, commands::SERVICE);
    match state {
        fault::RouteState::Absent => None,
        fault::RouteState::Private => Some(route),
        fault::RouteState::Public => Some(statement::ConfiguredRoute {
            is_public: true,
            ..route
        }),
        fault::RouteState::Elsewhere => Some(statement::ConfiguredRoute {
            service: OTHER_SERVICE.to_owned(),
            ..route
        }),
    }
}

fn configured_workspace(name: &str, keys: &[&str], rate: f64) -> statement::ConfiguredWorkspace {
    statement::ConfiguredWorkspace {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate_per_s: rate,
        burst: rate,
    }
}

/// Returns a workspace that may have the roaming key; its rate never binds.
fn roaming_workspace(name: &str, has_key: bool) -> statement::ConfiguredWorkspace {
    let keys: &[&str] = if has_key { &[ROAMING_KEY] } else { &[] };
    configured_workspace(name, keys, contents::AMPLE_RATE)
}

/// Returns the data centre of a database.
pub(crate) fn database_centre(database: u8) -> &'static str {
    let centres = bluebellferry_standin_platform::deployment::DATA_CENTRES;
    centres[usize::from(database) % centres.len()]
}

/// Returns the slot that a VM's name contains.
pub fn slot_of(name: &str) -> Option<u8> {
    commands::slot_from_name(name)
}
