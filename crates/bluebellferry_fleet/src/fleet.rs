//! A running environment.

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

/// How long an environment may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The account that proxies use towards databases.
const ACCOUNT: &str = "proxy";
/// The password of that account.
const ACCOUNT_PASSWORD: &str = "database-password";
/// The token of the one operator.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// The reason an environment cannot be started or used.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, socket or process failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The store did not do what it was asked.
    #[error(transparent)]
    Store(#[from] client::StoreError),
    /// An HTTP call failed.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// A database client failed.
    #[error(transparent)]
    Client(#[from] tokio_postgres::Error),
    /// The environment did not become ready in time.
    #[error("not ready in time: {0}")]
    NotReady(String),
}

/// One proxy's addresses and process.
#[derive(Debug)]
pub struct FleetProxy {
    /// The VM's name.
    pub name: String,
    /// Its data centre's index.
    pub data_centre: usize,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where its administration API is served.
    pub admin: SocketAddr,
    /// The process.
    pub process: process::ManagedProcess,
}

/// One database's addresses and process.
#[derive(Debug)]
pub struct FleetDatabase {
    /// The service's index.
    pub service: usize,
    /// The index in its group, which is also its data centre's index.
    pub member: usize,
    /// The name.
    pub name: String,
    /// Where SQL clients connect.
    pub listen: SocketAddr,
    /// The file with every byte that it received.
    pub received_log: PathBuf,
    /// The process.
    pub process: process::ManagedProcess,
}

/// A link that can be cut, with the data centres at its ends.
#[derive(Debug)]
struct CentreLink {
    from: usize,
    to: usize,
    link: link::CuttableLink,
}

/// A running environment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The plan that it follows.
    pub plan: plan::FleetPlan,
    /// The store's process.
    pub store_process: process::ManagedProcess,
    /// The store's address.
    pub store_address: SocketAddr,
    /// A client of the store.
    pub store: client::StoreClient,
    /// The proxies.
    pub proxies: Vec<FleetProxy>,
    /// The databases.
    pub databases: Vec<FleetDatabase>,
    folder: PathBuf,
    launcher: process::Launcher,
    links: Vec<CentreLink>,
    store_links: Vec<(usize, link::CuttableLink)>,
}

/// The first port that environments use; those from 32768 on may be taken by
/// outgoing connections at any moment.
const FIRST_PORT: u16 = 12_000;
/// How many ports environments use.
const PORTS: u32 = 20_000;

/// Finds free ports that no other environment of this process has been given.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(97);
    let mut addresses = Vec::new();
    for _ in 0..PORTS {
        if addresses.len() == count {
            return Ok(addresses);
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(offset) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number as u16));
        let free = std::net::TcpListener::bind(address).is_ok()
            && std::net::UdpSocket::bind(address).is_ok();
        if free {
            addresses.push(address);
        }
    }
    Err(std::io::Error::other("no free ports"))
}

fn new_folder() -> std::io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
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
    /// Starts all processes, writes the environment's objects and waits until
    /// every proxy is ready and knows every primary.
    ///
    /// # Errors
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(
        plan: plan::FleetPlan,
        launcher: &process::Launcher,
    ) -> Result<Self, FleetError> {
        let folder = new_folder()?;
        let store_address = free_addresses(1)?[0];
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

    /// Returns the folder with settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    async fn wait_for_store(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_LIMIT;
        loop {
            match self.store.list("none/").await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn start_group(&mut self, service: usize) -> Result<(), FleetError> {
        let count = self.plan.services[service].databases;
        let listens = free_addresses(count)?;
        let replications = free_addresses(count)?;
        for member in 0..count {
            let mut peers = Vec::new();
            for peer in (0..count).filter(|peer| *peer != member) {
                let address = self.linked(member, peer, replications[peer]).await?;
                let name = self.database_name(service, peer);
                peers.push(serde_json::json!({"name": name, "replication": address.to_string()}));
            }
            let name = self.database_name(service, member);
            let received_log = self.folder.join(format!("{name}.received"));
            let databases = &self.plan.databases;
            let lag = databases
                .replay_lags
                .get(member)
                .copied()
                .unwrap_or_default();
            let settings = serde_json::json!({
                "name": name,
                "listen": listens[member].to_string(),
                "replication_listen": replications[member].to_string(),
                "peers": peers,
                "primary": member == 0,
                "account": ACCOUNT,
                "password": ACCOUNT_PASSWORD,
                "connections": databases.connections,
                "slots": databases.slots,
                "connect_ms": databases.connect_time.as_millis() as u64,
                "statement_us": databases.statement_time.as_micros() as u64,
                "replication_delay_us": databases.replication_delay.as_micros() as u64,
                "lag_ms": lag.as_millis() as u64,
                "received_log": received_log,
            });
            let file = write_settings(&self.folder, &name, &settings)?;
            let role = process::ProcessRole::Database;
            let process = process::ManagedProcess::start(&self.launcher, role, &file)?;
            let listen = listens[member];
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

    /// Returns the address under which data centre `from` reaches `target` in
    /// data centre `to`: itself, or a link that can be cut.
    async fn linked(
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
        self.links.push(CentreLink { from, to, link });
        Ok(address)
    }

    fn database_name(&self, service: usize, member: usize) -> String {
        format!("{}-db{member}", self.plan.services[service].name)
    }

    fn key(&self, rest: &str) -> String {
        format!("environments/{}/{rest}", self.plan.environment)
    }

    async fn write_objects(&self) -> Result<(), FleetError> {
        self.put_document(&self.plan.document_text(), 0).await?;
        for workspace in &self.plan.workspaces {
            let key = plan::FleetPlan::api_key_of(&workspace.name);
            let digest = String::from(digest::KeyDigest::of(&key));
            let value = serde_json::json!({"keys": [{"digest": digest, "label": "first"}]});
            self.store
                .put(&self.key(&format!("keys/{}", workspace.name)), 0, value)
                .await?;
        }
        for (index, service) in self.plan.services.iter().enumerate() {
            let group = self
                .databases
                .iter()
                .filter(|database| database.service == index);
            let entry = |database: &FleetDatabase| {
                serde_json::json!({
                    "name": database.name,
                    "address": database.listen.to_string(),
                    "data_centre": self.plan.data_centres[database.member].name,
                })
            };
            let databases: Vec<serde_json::Value> = group.map(entry).collect();
            let value = serde_json::json!({"databases": databases});
            self.store
                .put(&self.key(&format!("groups/{}", service.name)), 0, value)
                .await?;
        }
        Ok(())
    }

    /// Puts a document in force; `expected_version` is the version it replaces.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn put_document(
        &self,
        text: &str,
        expected_version: u64,
    ) -> Result<client::PutOutcome, FleetError> {
        let hash = hash::DocumentHash::compute(text.as_bytes());
        let value = serde_json::json!({"hash": hash.as_str(), "text": text, "operator": "fleet"});
        Ok(self
            .store
            .put(&self.key("document"), expected_version, value)
            .await?)
    }

    async fn start_proxies(&mut self) -> Result<(), FleetError> {
        let centres = self.plan.data_centres.clone();
        let places: Vec<(usize, u32)> = centres
            .iter()
            .enumerate()
            .flat_map(|(index, centre)| (0..centre.vms).map(move |ordinal| (index, ordinal)))
            .collect();
        let listens = free_addresses(places.len() * 3)?;
        let vms: Vec<serde_json::Value> = places
            .iter()
            .zip(listens.chunks(3))
            .map(|((centre, ordinal), addresses)| {
                let name = format!("{}-{ordinal}", centres[*centre].name);
                serde_json::json!({"name": name, "peer_address": addresses[2].to_string()})
            })
            .collect();
        self.store
            .put(&self.key("vms"), 0, serde_json::json!({"vms": vms}))
            .await?;
        for ((centre, ordinal), addresses) in places.iter().zip(listens.chunks(3)) {
            let store = self.store_address_for(*centre).await?;
            let name = format!("{}-{ordinal}", centres[*centre].name);
            let settings = serde_json::json!({
                "vm": name,
                "environment": self.plan.environment,
                "data_centre": centres[*centre].name,
                "ordinal": ordinal,
                "listen": addresses[0].to_string(),
                "admin_listen": addresses[1].to_string(),
                "peer_listen": addresses[2].to_string(),
                "store": store.to_string(),
                "database_account": {"user": ACCOUNT, "password": ACCOUNT_PASSWORD},
                "peer_secret": "secret-between-the-vms",
                "operators": [{"name": "operator", "token": OPERATOR_TOKEN}],
            });
            let file = write_settings(&self.folder, &name, &settings)?;
            let role = process::ProcessRole::Proxy;
            let process = process::ManagedProcess::start(&self.launcher, role, &file)?;
            let (listen, admin) = (addresses[0], addresses[1]);
            self.proxies.push(FleetProxy {
                name,
                data_centre: *centre,
                listen,
                admin,
                process,
            });
        }
        Ok(())
    }

    async fn store_address_for(&mut self, centre: usize) -> Result<SocketAddr, FleetError> {
        if !self.plan.has_cuttable_links {
            return Ok(self.store_address);
        }
        let link = link::CuttableLink::open(self.store_address, Duration::ZERO).await?;
        let address = link.address();
        self.store_links.push((centre, link));
        Ok(address)
    }

    /// Waits until every proxy is ready and sees a primary for every service.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let deadline = Instant::now() + READY_LIMIT;
        for index in 0..self.proxies.len() {
            loop {
                let ready = self.is_ready(index).await;
                if ready {
                    break;
                }
                if Instant::now() > deadline {
                    let folder = self.folder.display();
                    return Err(FleetError::NotReady(format!(
                        "proxy {index}; logs in {folder}"
                    )));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, proxy: usize) -> bool {
        let Ok(status) = self.status(proxy).await else {
            return false;
        };
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let complete = services.len() == self.plan.services.len()
            && services.iter().all(|service| !service["primary"].is_null());
        let peers = status["peers"].as_array().map_or(0, Vec::len);
        let known = peers + 1 >= self.proxies.len();
        let keys = status["keys"].as_u64().unwrap_or(0) as usize;
        let keyed = keys >= self.plan.workspaces.len();
        let url = format!("http://{}/ready", self.proxies[proxy].admin);
        let ready = reqwest::get(url)
            .await
            .is_ok_and(|answer| answer.status().is_success());
        ready && complete && known && keyed && status["document_version"].as_u64().unwrap_or(0) > 0
    }

    /// Returns a proxy's status.
    ///
    /// # Errors
    /// Fails when the proxy does not answer.
    pub async fn status(&self, proxy: usize) -> Result<serde_json::Value, FleetError> {
        let url = format!("http://{}/v1/status", self.proxies[proxy].admin);
        let http = reqwest::Client::new();
        let request = http
            .get(url)
            .bearer_auth(OPERATOR_TOKEN)
            .timeout(Duration::from_secs(1));
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Returns the sum of a counter over its series that contain `labels`.
    ///
    /// # Errors
    /// Fails when the proxy does not answer.
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

    /// Returns the numbers of calls that the store has served.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn store_calls(&self) -> Result<serde_json::Value, FleetError> {
        let url = format!("http://{}/calls", self.store_address);
        Ok(reqwest::get(url).await?.json().await?)
    }

    /// Switches faults of the store on and off.
    ///
    /// # Errors
    /// Fails when the store does not answer.
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

    /// Cuts or mends every link that crosses the border of a data centre, and
    /// its link to the store if `store` says so.
    pub fn set_data_centre_cut(&self, centre: usize, cut: bool, store: bool) {
        for link in &self.links {
            if (link.from == centre) != (link.to == centre) {
                link.link.set_cut(cut);
            }
        }
        for (from, link) in &self.store_links {
            if store && *from == centre {
                link.set_cut(cut);
            }
        }
    }

    /// Returns the connection settings of a caller.
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
    /// Fails when the proxy refuses.
    pub async fn connect(
        &self,
        proxy: usize,
        workspace: &str,
        service: &str,
    ) -> Result<tokio_postgres::Client, FleetError> {
        connect_with(&self.caller_config(proxy, workspace, service)).await
    }

    /// Connects directly to a database with the proxies' account.
    ///
    /// # Errors
    /// Fails when the database refuses.
    pub async fn connect_database(
        &self,
        database: usize,
    ) -> Result<tokio_postgres::Client, FleetError> {
        let listen = self.databases[database].listen;
        let mut config = tokio_postgres::Config::new();
        config
            .host(listen.ip().to_string())
            .port(listen.port())
            .user(ACCOUNT);
        config
            .password(ACCOUNT_PASSWORD)
            .dbname("direct")
            .application_name("bluebellferry-control");
        connect_with(&config).await
    }

    /// Returns the index of a service's present primary in `databases`, as a
    /// proxy sees it.
    ///
    /// # Errors
    /// Fails when the proxy does not answer or sees no primary.
    pub async fn find_primary(&self, proxy: usize, service: usize) -> Result<usize, FleetError> {
        let status = self.status(proxy).await?;
        let name = &self.plan.services[service].name;
        let services = status["services"].as_array().cloned().unwrap_or_default();
        let found = services
            .iter()
            .find(|state| state["service"] == name.as_str());
        let primary = found.and_then(|state| state["primary"].as_str().map(str::to_owned));
        let index = primary.and_then(|name| {
            self.databases
                .iter()
                .position(|database| database.name == name)
        });
        index.ok_or_else(|| FleetError::NotReady(format!("{name} has no primary")))
    }
}

/// Connects a client and keeps its connection going in the background.
///
/// # Errors
/// Fails when the server refuses.
pub async fn connect_with(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, FleetError> {
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a caller's connection ended: {error}");
        }
    });
    Ok(client)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() || std::env::var_os("BLUEBELLFERRY_KEEP").is_some() {
            eprintln!("settings and logs are kept in {}", self.folder.display());
        } else if let Err(error) = std::fs::remove_dir_all(&self.folder) {
            log::debug!("the folder could not be removed: {error}");
        }
    }
}
