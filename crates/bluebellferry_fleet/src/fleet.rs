//! Starting an environment, inspecting it and injecting faults into it.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bluebellferry_document::hash;
use bluebellferry_keys::digest;
use bluebellferry_store::client;

use crate::link;
use crate::plan;
use crate::process;

/// The maximum time for the store, and then for all proxies, to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The database user that proxies log in as.
const DATABASE_USER: &str = "proxy";
/// The password of [`DATABASE_USER`].
const DATABASE_PASSWORD: &str = "database-password";
/// The token of the only operator, for the administration API.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// An error of starting or using an environment.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, socket or process operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A request to the store failed.
    #[error(transparent)]
    Store(#[from] client::StoreError),
    /// An HTTP request to a proxy or to the store's fault controls failed.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// A PostgreSQL connection or statement failed.
    #[error(transparent)]
    Client(#[from] tokio_postgres::Error),
    /// A proxy did not become ready in time, or reports no primary.
    #[error("the environment is not ready: {0}")]
    NotReady(String),
}

/// A proxy of the environment.
#[derive(Debug)]
pub struct FleetProxy {
    /// The name of the VM.
    pub name: String,
    /// The index of its data centre in the plan.
    pub data_centre: usize,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// The process of the proxy.
    pub process: process::ManagedProcess,
}

/// A database of the environment.
#[derive(Debug)]
pub struct FleetDatabase {
    /// The index of its service in the plan.
    pub service: usize,
    /// The index in its group, which is also the index of its data centre.
    pub member: usize,
    /// The name of the database.
    pub name: String,
    /// The address that SQL clients connect to.
    pub listen: SocketAddr,
    /// The file to which the database appends every byte that it receives.
    pub received_log: PathBuf,
    /// The process of the database.
    pub process: process::ManagedProcess,
}

/// A cuttable link between two databases, with the indices of their data centres.
#[derive(Debug)]
struct DataCentreLink {
    from: usize,
    to: usize,
    link: link::CuttableLink,
}

/// A running environment. Its processes are killed when this value is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The plan that the environment was started from.
    pub plan: plan::FleetPlan,
    /// The process of the store.
    pub store_process: process::ManagedProcess,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// A client of the store.
    pub store: client::StoreClient,
    /// The proxies, ordered by data centre.
    pub proxies: Vec<FleetProxy>,
    /// The databases, ordered by service and then by index in the group.
    pub databases: Vec<FleetDatabase>,
    folder: PathBuf,
    launcher: process::Launcher,
    links: Vec<DataCentreLink>,
    store_links: Vec<(usize, link::CuttableLink)>,
}

/// The lowest port that environments use.
///
/// The range ends below 32768, where the system's ephemeral ports begin: any
/// outgoing connection may take one of those at any moment.
const MIN_PORT: u16 = 12_000;
/// The number of ports that environments choose from.
const PORT_COUNT: u32 = 20_000;

/// Finds addresses whose ports are free for TCP and UDP.
///
/// Each call continues after the last port of the previous one, so that a process
/// reuses a port only after all others of the range. The first port depends on
/// the process id, so that processes that run at the same time rarely choose the
/// same ports.
fn find_free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
    let process_offset = std::process::id().wrapping_mul(97);
    let mut addresses = Vec::new();
    for _ in 0..PORT_COUNT {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let number = NEXT_PORT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(process_offset)
            % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], MIN_PORT + number as u16));
        let is_free = std::net::TcpListener::bind(address).is_ok()
            && std::net::UdpSocket::bind(address).is_ok();
        if is_free {
            addresses.push(address);
        }
    }
    Err(std::io::Error::other(
        "too few free ports on the loopback interface",
    ))
}

fn create_folder() -> std::io::Result<PathBuf> {
    static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("bluebellferry-fleet-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn write_settings(
    folder: &Path,
    name: &str,
    settings: &serde_json::Value,
) -> std::io::Result<PathBuf> {
    let file = folder.join(format!("{name}.json"));
    std::fs::write(&file, settings.to_string())?;
    Ok(file)
}

impl Fleet {
    /// Starts all processes, writes the environment's objects to the store and
    /// waits as [`Fleet::wait_until_ready`] does.
    ///
    /// # Errors
    /// Fails when a process cannot be started or does not become ready in time.
    pub async fn start(
        plan: plan::FleetPlan,
        launcher: &process::Launcher,
    ) -> Result<Self, FleetError> {
        let folder = create_folder()?;
        let store_address = find_free_addresses(1)?[0];
        let settings = serde_json::json!({"listen": store_address.to_string()});
        let file = write_settings(&folder, "store", &settings)?;
        let role = process::ProcessRole::Store;
        let store_process = process::ManagedProcess::start(launcher, role, &file)?;
        let store = client::StoreClient::new(&store_address.to_string(), "fleet");
        let mut fleet = Self {
            plan,
            store_process,
            store_address,
            store,
            proxies: Vec::new(),
            databases: Vec::new(),
            folder,
            launcher: launcher.clone(),
            links: Vec::new(),
            store_links: Vec::new(),
        };
        fleet.wait_for_store().await?;
        for service in 0..fleet.plan.services.len() {
            fleet.start_group(service).await?;
        }
        fleet.write_objects().await?;
        fleet.start_proxies().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the folder with the settings files and logs of all processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    async fn wait_for_store(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            match self.store.list("none/").await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn start_group(&mut self, service: usize) -> Result<(), FleetError> {
        let count = self.plan.services[service].database_count;
        let listen_addresses = find_free_addresses(count)?;
        let replication_addresses = find_free_addresses(count)?;
        for member in 0..count {
            let mut peers = Vec::new();
            for peer in (0..count).filter(|peer| *peer != member) {
                let address = self
                    .open_link(member, peer, replication_addresses[peer])
                    .await?;
                let name = self.database_name(service, peer);
                peers.push(serde_json::json!({"name": name, "replication": address.to_string()}));
            }
            let name = self.database_name(service, member);
            let received_log = self.folder.join(format!("{name}.received"));
            let database_plan = &self.plan.databases;
            let replay_lag = database_plan
                .replay_lags
                .get(member)
                .copied()
                .unwrap_or_default();
            let settings = serde_json::json!({
                "name": name,
                "listen": listen_addresses[member].to_string(),
                "replication_listen": replication_addresses[member].to_string(),
                "peers": peers,
                "primary": member == 0,
                "account": DATABASE_USER,
                "password": DATABASE_PASSWORD,
                "connections": database_plan.max_connections,
                "slots": database_plan.max_running_statements,
                "connect_ms": database_plan.connect_time.as_millis() as u64,
                "statement_us": database_plan.statement_time.as_micros() as u64,
                "replication_delay_us": database_plan.replication_delay.as_micros() as u64,
                "lag_ms": replay_lag.as_millis() as u64,
                "received_log": received_log,
            });
            let file = write_settings(&self.folder, &name, &settings)?;
            let role = process::ProcessRole::Database;
            let process = process::ManagedProcess::start(&self.launcher, role, &file)?;
            let listen = listen_addresses[member];
            self.databases.push(FleetDatabase {
                service,
                member,
                name,
                listen,
                received_log,
                process,
            });
        }
        Ok(())
    }

    /// Returns the address through which data centre `from` reaches `target` in
    /// data centre `to`.
    ///
    /// Opens a cuttable link and returns its address if the plan has cuttable links
    /// and the data centres differ; returns `target` otherwise.
    async fn open_link(
        &mut self,
        from: usize,
        to: usize,
        target: SocketAddr,
    ) -> Result<SocketAddr, FleetError> {
        if !self.plan.has_cuttable_links || from == to {
            return Ok(target);
        }
        let link = link::CuttableLink::open(target, self.plan.link_delay).await?;
        let address = link.address();
        self.links.push(DataCentreLink { from, to, link });
        Ok(address)
    }

    fn database_name(&self, service: usize, member: usize) -> String {
        format!("{}-db{member}", self.plan.services[service].name)
    }

    /// Returns the store key of an object of this environment.
    fn object_key(&self, path: &str) -> String {
        format!("environments/{}/{path}", self.plan.environment)
    }

    async fn write_objects(&self) -> Result<(), FleetError> {
        self.put_document(&self.plan.document_text(), 0).await?;
        for workspace in &self.plan.workspaces {
            let key = plan::FleetPlan::api_key_of(&workspace.name);
            let digest = String::from(digest::KeyDigest::compute(&key));
            let value = serde_json::json!({"keys": [{"digest": digest, "label": "first"}]});
            self.store
                .put(
                    &self.object_key(&format!("keys/{}", workspace.name)),
                    0,
                    value,
                )
                .await?;
        }
        for (index, service) in self.plan.services.iter().enumerate() {
            let group = self
                .databases
                .iter()
                .filter(|database| database.service == index);
            let encode_entry = |database: &FleetDatabase| {
                serde_json::json!({
                    "name": database.name,
                    "address": database.listen.to_string(),
                    "data_centre": self.plan.data_centres[database.member].name,
                })
            };
            let databases: Vec<serde_json::Value> = group.map(encode_entry).collect();
            let value = serde_json::json!({"databases": databases});
            self.store
                .put(
                    &self.object_key(&format!("groups/{}", service.name)),
                    0,
                    value,
                )
                .await?;
        }
        Ok(())
    }

    /// Writes a configuration document to the store if the document there has
    /// version `expected_version`; 0 means that there is none.
    ///
    /// # Errors
    /// Fails when the request to the store fails.
    pub async fn put_document(
        &self,
        text: &str,
        expected_version: u64,
    ) -> Result<client::PutOutcome, FleetError> {
        let hash = hash::DocumentHash::compute(text.as_bytes());
        let value = serde_json::json!({"hash": hash.as_str(), "text": text, "operator": "fleet"});
        Ok(self
            .store
            .put(&self.object_key("document"), expected_version, value)
            .await?)
    }

    async fn start_proxies(&mut self) -> Result<(), FleetError> {
        let data_centres = self.plan.data_centres.clone();
        let placements: Vec<(usize, u32)> = data_centres
            .iter()
            .enumerate()
            .flat_map(|(index, data_centre)| {
                (0..data_centre.vm_count).map(move |ordinal| (index, ordinal))
            })
            .collect();
        let listen_addresses = find_free_addresses(placements.len() * 3)?;
        let vms: Vec<serde_json::Value> = placements
            .iter()
            .zip(listen_addresses.chunks(3))
            .map(|((data_centre, ordinal), addresses)| {
                let name = format!("{}-{ordinal}", data_centres[*data_centre].name);
                serde_json::json!({"name": name, "peer_address": addresses[2].to_string()})
            })
            .collect();
        self.store
            .put(&self.object_key("vms"), 0, serde_json::json!({"vms": vms}))
            .await?;
        for ((data_centre, ordinal), addresses) in placements.iter().zip(listen_addresses.chunks(3))
        {
            let store = self.open_store_link(*data_centre).await?;
            let name = format!("{}-{ordinal}", data_centres[*data_centre].name);
            let settings = serde_json::json!({
                "vm": name,
                "environment": self.plan.environment,
                "data_centre": data_centres[*data_centre].name,
                "ordinal": ordinal,
                "listen": addresses[0].to_string(),
                "admin_listen": addresses[1].to_string(),
                "peer_listen": addresses[2].to_string(),
                "store": store.to_string(),
                "database_account": {"user": DATABASE_USER, "password": DATABASE_PASSWORD},
                "peer_secret": "secret-between-the-vms",
                "operators": [{"name": "operator", "token": OPERATOR_TOKEN}],
            });
            let file = write_settings(&self.folder, &name, &settings)?;
            let role = process::ProcessRole::Proxy;
            let process = process::ManagedProcess::start(&self.launcher, role, &file)?;
            let (listen, admin) = (addresses[0], addresses[1]);
            self.proxies.push(FleetProxy {
                name,
                data_centre: *data_centre,
                listen,
                admin,
                process,
            });
        }
        Ok(())
    }

    /// Returns the address through which a data centre reaches the store: that of a
    /// new link if the plan has cuttable links, otherwise the store's own.
    async fn open_store_link(&mut self, data_centre: usize) -> Result<SocketAddr, FleetError> {
        if !self.plan.has_cuttable_links {
            return Ok(self.store_address);
        }
        let link = link::CuttableLink::open(self.store_address, Duration::ZERO).await?;
        let address = link.address();
        self.store_links.push((data_centre, link));
        Ok(address)
    }

    /// Waits until every proxy reports itself ready and knows the document, all
    /// API keys, all other VMs and a primary for every service.
    ///
    /// # Errors
    /// Fails when a proxy is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.proxies.len() {
            loop {
                let is_ready = self.is_ready(index).await;
                if is_ready {
                    break;
                }
                if Instant::now() > deadline {
                    let folder = self.folder.display();
                    return Err(FleetError::NotReady(format!(
                        "proxy {index} did not become ready in time; logs in {folder}"
                    )));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, proxy: usize) -> bool {
        let Ok(status) = self.fetch_status(proxy).await else {
            return false;
        };
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let knows_primaries = services.len() == self.plan.services.len()
            && services.iter().all(|service| !service["primary"].is_null());
        let peers = status["peers"].as_array().map_or(0, Vec::len);
        let knows_peers = peers + 1 >= self.proxies.len();
        let keys = status["keys"].as_u64().unwrap_or(0) as usize;
        let knows_keys = keys >= self.plan.workspaces.len();
        let url = format!("http://{}/ready", self.proxies[proxy].admin);
        let is_ready = reqwest::get(url)
            .await
            .is_ok_and(|response| response.status().is_success());
        is_ready
            && knows_primaries
            && knows_peers
            && knows_keys
            && status["document_version"].as_u64().unwrap_or(0) > 0
    }

    /// Returns the response of a proxy's `/v1/status`.
    ///
    /// # Errors
    /// Fails when the proxy does not respond within a second.
    pub async fn fetch_status(&self, proxy: usize) -> Result<serde_json::Value, FleetError> {
        let url = format!("http://{}/v1/status", self.proxies[proxy].admin);
        let http = reqwest::Client::new();
        let request = http
            .get(url)
            .bearer_auth(OPERATOR_TOKEN)
            .timeout(Duration::from_secs(1));
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Returns the sum over all series of the metric `name` whose line contains
    /// `labels`.
    ///
    /// # Errors
    /// Fails when the proxy does not respond.
    pub async fn sum_counter(
        &self,
        proxy: usize,
        name: &str,
        labels: &str,
    ) -> Result<f64, FleetError> {
        let url = format!("http://{}/metrics", self.proxies[proxy].admin);
        let text = reqwest::get(url).await?.text().await?;
        let matching = text
            .lines()
            .filter(|line| line.starts_with(name) && line.contains(labels));
        Ok(matching
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum())
    }

    /// Returns the numbers of calls that the store has served, by kind.
    ///
    /// # Errors
    /// Fails when the store does not respond.
    pub async fn fetch_store_calls(&self) -> Result<serde_json::Value, FleetError> {
        let url = format!("http://{}/calls", self.store_address);
        Ok(reqwest::get(url).await?.json().await?)
    }

    /// Sets the faults that the store simulates; a fault that `faults` does not
    /// contain is switched off.
    ///
    /// # Errors
    /// Fails when the store does not respond.
    pub async fn set_store_faults(&self, faults: serde_json::Value) -> Result<(), FleetError> {
        let url = format!("http://{}/faults", self.store_address);
        reqwest::Client::new()
            .put(url)
            .json(&faults)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Cuts every link between a data centre and the others if `is_cut` is true and
    /// restores them otherwise; includes its links to the store if
    /// `includes_store` is true.
    ///
    /// Does nothing unless [`plan::FleetPlan::has_cuttable_links`] is set.
    pub fn set_data_centre_cut(&self, data_centre: usize, is_cut: bool, includes_store: bool) {
        for link in &self.links {
            if (link.from == data_centre) != (link.to == data_centre) {
                link.link.set_cut(is_cut);
            }
        }
        for (from, link) in &self.store_links {
            if includes_store && *from == data_centre {
                link.set_cut(is_cut);
            }
        }
    }

    /// Returns the connection settings of a caller of a proxy.
    pub fn caller_config(
        &self,
        proxy: usize,
        workspace: &str,
        service: &str,
    ) -> tokio_postgres::Config {
        let listen = self.proxies[proxy].listen;
        let mut config = tokio_postgres::Config::new();
        config
            .host(listen.ip().to_string())
            .port(listen.port())
            .user(workspace);
        config
            .password(plan::FleetPlan::api_key_of(workspace))
            .dbname(service);
        config.connect_timeout(Duration::from_secs(5));
        config
    }

    /// Connects a caller to a proxy.
    ///
    /// # Errors
    /// Fails when the proxy does not accept the connection.
    pub async fn connect(
        &self,
        proxy: usize,
        workspace: &str,
        service: &str,
    ) -> Result<tokio_postgres::Client, FleetError> {
        connect_with(&self.caller_config(proxy, workspace, service)).await
    }

    /// Connects directly to a database as the proxies' database user.
    ///
    /// # Errors
    /// Fails when the database does not accept the connection.
    pub async fn connect_database(
        &self,
        database: usize,
    ) -> Result<tokio_postgres::Client, FleetError> {
        let listen = self.databases[database].listen;
        let mut config = tokio_postgres::Config::new();
        config
            .host(listen.ip().to_string())
            .port(listen.port())
            .user(DATABASE_USER);
        config
            .password(DATABASE_PASSWORD)
            .dbname("direct")
            .application_name("bluebellferry-control");
        connect_with(&config).await
    }

    /// Returns the index in `databases` of a service's current primary, as a
    /// proxy reports it.
    ///
    /// # Errors
    /// Fails when the proxy does not respond or reports no primary.
    pub async fn find_primary(&self, proxy: usize, service: usize) -> Result<usize, FleetError> {
        let status = self.fetch_status(proxy).await?;
        let name = &self.plan.services[service].name;
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let service_status = services
            .iter()
            .find(|entry| entry["service"] == name.as_str());
        let primary = service_status.and_then(|entry| entry["primary"].as_str().map(str::to_owned));
        let index = primary.and_then(|name| {
            self.databases
                .iter()
                .position(|database| database.name == name)
        });
        index.ok_or_else(|| {
            FleetError::NotReady(format!("proxy {proxy} reports no primary of {name}"))
        })
    }
}

/// Connects a client and drives its connection in a background task.
///
/// # Errors
/// Fails when the server does not accept the connection.
pub async fn connect_with(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, FleetError> {
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a client connection failed: {error}");
        }
    });
    Ok(client)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() || std::env::var_os("BLUEBELLFERRY_KEEP").is_some() {
            eprintln!("settings and logs are kept in {}", self.folder.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            log::debug!("the folder with settings and logs could not be removed: {error}");
        }
    }
}
