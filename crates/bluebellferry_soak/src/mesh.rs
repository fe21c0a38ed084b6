//! The relays of a whole site.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use crate::layout;
use crate::relay;

/// The largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Which process runs in each place, and which place serves each group of callers.
#[derive(Debug, Default)]
pub struct PlaceTable {
    /// The processes' ids by place.
    pub processes: BTreeMap<u8, u32>,
    /// The places that replaced others, by the first place.
    pub successors: BTreeMap<u8, u8>,
}

/// A [`PlaceTable`] that the relays read.
pub type SharedPlaces = Arc<Mutex<PlaceTable>>;

/// The links of a site.
#[derive(Debug)]
pub struct SiteLinks {
    /// From callers to VMs.
    pub callers: Vec<relay::RelayLink>,
    /// From VMs to the store.
    pub stores: Vec<relay::RelayLink>,
    /// From VMs to the duty call.
    pub duties: Vec<relay::RelayLink>,
    /// From VMs to databases.
    pub databases: BTreeMap<(u8, u8), relay::RelayLink>,
    /// From VM to VM; both directions of a pair are one link.
    pub peers: BTreeMap<(u8, u8), relay::RelayLink>,
}

impl SiteLinks {
    fn new(layout: &layout::SiteLayout) -> Self {
        let each = || (0..layout.places).map(|_| relay::RelayLink::default());
        let mut peers = BTreeMap::new();
        let mut databases = BTreeMap::new();
        for place in 0..layout.places {
            for database in 0..layout.databases {
                databases.insert((place, database), relay::RelayLink::default());
            }
            for other in 0..place {
                let link = relay::RelayLink::default();
                peers.insert((other, place), link.from_other_end());
                peers.insert((place, other), link);
            }
        }
        Self {
            callers: each().collect(),
            stores: each().collect(),
            duties: each().collect(),
            databases,
            peers,
        }
    }
}

/// The relays of a site; they end when this value is dropped.
#[derive(Debug)]
pub struct SiteRelays {
    /// What they carry.
    pub links: Arc<SiteLinks>,
    tasks: JoinSet<()>,
}

impl SiteRelays {
    /// Closes all relays, and returns once their addresses are free.
    pub async fn close(&mut self) {
        self.tasks.shutdown().await;
    }
}

/// Opens all relays of a site.
///
/// # Errors
/// Fails when an address is taken.
pub async fn open(
    layout: layout::SiteLayout,
    places: &SharedPlaces,
) -> std::io::Result<SiteRelays> {
    let links = Arc::new(SiteLinks::new(&layout));
    let mut tasks = JoinSet::new();
    for place in 0..layout.places {
        let (link, table) = (
            links.callers[usize::from(place)].clone(),
            Arc::clone(places),
        );
        connect(&mut tasks, layout.caller_relay(place), move |_| {
            let table = table.lock().unwrap_or_else(PoisonError::into_inner);
            let serving = table.successors.get(&place).copied().unwrap_or(place);
            Some((layout.callers(serving), link.clone()))
        })
        .await?;
        let link = links.duties[usize::from(place)].clone();
        connect(&mut tasks, layout.duty_relay(place), move |_| {
            Some((layout.duty(), link.clone()))
        })
        .await?;
    }
    for ((place, database), link) in &links.databases {
        let (link, target) = (link.clone(), layout.database(*database));
        connect(
            &mut tasks,
            layout.database_relay(*place, *database),
            move |_| Some((target, link.clone())),
        )
        .await?;
    }
    for ((viewer, seen), link) in &links.peers {
        let address = SocketAddr::from((layout.view(*viewer, *seen), layout::COPIES_PORT));
        let target = SocketAddr::from((layout.vm(*seen), layout::COPIES_PORT));
        let link = link.clone();
        connect(&mut tasks, address, move |_| Some((target, link.clone()))).await?;
    }
    let (shared, table) = (Arc::clone(&links), Arc::clone(places));
    connect(&mut tasks, layout.store_relay(), move |from| {
        let table = table.lock().unwrap_or_else(PoisonError::into_inner);
        let place = find_place(&table, from, layout.store_relay())?;
        let link = shared.stores[usize::from(place)].clone();
        Some((layout.store(place), link))
    })
    .await?;
    open_datagrams(layout, &links, &mut tasks).await?;
    Ok(SiteRelays { links, tasks })
}

async fn connect<F>(tasks: &mut JoinSet<()>, address: SocketAddr, choose: F) -> std::io::Result<()>
where
    F: Fn(SocketAddr) -> Option<(SocketAddr, relay::RelayLink)> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tasks.spawn(relay::relay_connections(listener, choose));
    Ok(())
}

/// Opens a socket for each VM that a VM sees. A datagram to one is sent on from the
/// socket under which its receiver sees the sender.
async fn open_datagrams(
    layout: layout::SiteLayout,
    links: &Arc<SiteLinks>,
    tasks: &mut JoinSet<()>,
) -> std::io::Result<()> {
    let mut sockets = BTreeMap::new();
    for (viewer, seen) in links.peers.keys() {
        let address = (layout.view(*viewer, *seen), layout::PEER_PORT);
        sockets.insert((*viewer, *seen), Arc::new(UdpSocket::bind(address).await?));
    }
    let sockets = Arc::new(sockets);
    for (key, socket) in sockets.iter() {
        let (seen, socket) = (key.1, Arc::clone(socket));
        let (sockets, links) = (Arc::clone(&sockets), Arc::clone(links));
        tasks.spawn(async move {
            let target = SocketAddr::from((layout.vm(seen), layout::PEER_PORT));
            let mut buffer = vec![0; DATAGRAM_BYTES];
            loop {
                // An error tells that an earlier datagram reached no process.
                let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let IpAddr::V4(from) = from.ip() else {
                    continue;
                };
                // A VM may use a list that another one has read.
                let Some(sender) = layout.place_of(from) else {
                    continue;
                };
                let (source, link) = (
                    sockets.get(&(seen, sender)),
                    links.peers.get(&(sender, seen)),
                );
                if let (Some(source), Some(link)) = (source, link) {
                    relay::send_datagram(source, &buffer[..size], target, link).await;
                }
            }
        });
    }
    Ok(())
}

/// Returns the place of the process that holds the far end of a connection to an
/// address. All VMs must use one address of the store, so it does not tell them apart.
fn find_place(table: &PlaceTable, from: SocketAddr, to: SocketAddr) -> Option<u8> {
    let connections = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = find_inode(&connections, from, to)?;
    let socket = format!("socket:[{inode}]");
    let holds = |process: u32| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let mut files = files.into_iter().flatten().flatten();
        files.any(|file| {
            let target = std::fs::read_link(file.path());
            target.is_ok_and(|target| target.as_os_str() == socket.as_str())
        })
    };
    let mut processes = table.processes.iter();
    let found = processes.find(|(_, process)| holds(**process));
    found.map(|(place, _)| *place)
}

/// Returns the inode of a connected socket from the text of `/proc/net/tcp`. Both
/// ends are needed: the system uses a port for several connections.
fn find_inode(connections: &str, from: SocketAddr, to: SocketAddr) -> Option<&str> {
    let ends = format!("{} {} ", encode_address(from)?, encode_address(to)?);
    let line = connections.lines().find(|line| line.contains(&ends))?;
    line.split_whitespace().nth(9)
}

fn encode_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_le_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
