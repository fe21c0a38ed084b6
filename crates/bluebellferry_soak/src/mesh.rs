//! The relays between all processes of a site.

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

/// The maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The process in each VM slot, and the slots that replaced others.
#[derive(Debug, Default)]
pub struct SlotTable {
    /// The ids of the latest processes by slot.
    pub processes: BTreeMap<u8, u32>,
    /// The replacement slots by the initial slots whose callers they serve.
    pub successors: BTreeMap<u8, u8>,
}

/// A [`SlotTable`] that the site updates and the relays read.
pub type SharedSlotTable = Arc<Mutex<SlotTable>>;

/// The links of a site.
#[derive(Debug)]
pub struct SiteLinks {
    /// The links from callers to VMs by initial slot.
    pub callers: Vec<relay::RelayLink>,
    /// The links from VMs to the store by slot.
    pub stores: Vec<relay::RelayLink>,
    /// The links from VMs to the promotion API by slot.
    pub promotion_apis: Vec<relay::RelayLink>,
    /// The links from VMs to databases by slot and database index.
    pub databases: BTreeMap<(u8, u8), relay::RelayLink>,
    /// The links between VMs by sender's and receiver's slot; the two entries of a pair
    /// share one link.
    pub peers: BTreeMap<(u8, u8), relay::RelayLink>,
}

impl SiteLinks {
    fn new(layout: &layout::SiteLayout) -> Self {
        let new_links = || (0..layout.slots).map(|_| relay::RelayLink::default());
        let mut peers = BTreeMap::new();
        let mut databases = BTreeMap::new();
        for slot in 0..layout.slots {
            for database in 0..layout.databases {
                databases.insert((slot, database), relay::RelayLink::default());
            }
            for other in 0..slot {
                let link = relay::RelayLink::default();
                peers.insert((other, slot), link.reversed());
                peers.insert((slot, other), link);
            }
        }
        Self {
            callers: new_links().collect(),
            stores: new_links().collect(),
            promotion_apis: new_links().collect(),
            databases,
            peers,
        }
    }
}

/// The relays of a site; they are closed when this value is dropped.
#[derive(Debug)]
pub struct SiteRelays {
    /// The links that the relays use.
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
/// Fails when an address is in use.
pub async fn open_relays(
    layout: layout::SiteLayout,
    slot_table: &SharedSlotTable,
) -> std::io::Result<SiteRelays> {
    let links = Arc::new(SiteLinks::new(&layout));
    let mut tasks = JoinSet::new();
    for slot in 0..layout.slots {
        let (link, table) = (
            links.callers[usize::from(slot)].clone(),
            Arc::clone(slot_table),
        );
        spawn_relay(&mut tasks, layout.caller_relay(slot), move |_| {
            let table = table.lock().unwrap_or_else(PoisonError::into_inner);
            let serving_slot = table.successors.get(&slot).copied().unwrap_or(slot);
            Some((layout.caller_address(serving_slot), link.clone()))
        })
        .await?;
        let link = links.promotion_apis[usize::from(slot)].clone();
        spawn_relay(&mut tasks, layout.promotion_api_relay(slot), move |_| {
            Some((layout.promotion_api(), link.clone()))
        })
        .await?;
    }
    for ((slot, database), link) in &links.databases {
        let (link, target) = (link.clone(), layout.database_address(*database));
        spawn_relay(
            &mut tasks,
            layout.database_relay(*slot, *database),
            move |_| Some((target, link.clone())),
        )
        .await?;
    }
    for ((sender, receiver), link) in &links.peers {
        let address = SocketAddr::from((
            layout.peer_relay(*sender, *receiver),
            layout::STORE_COPIES_PORT,
        ));
        let target = SocketAddr::from((layout.vm_address(*receiver), layout::STORE_COPIES_PORT));
        let link = link.clone();
        spawn_relay(&mut tasks, address, move |_| Some((target, link.clone()))).await?;
    }
    let (store_links, table) = (Arc::clone(&links), Arc::clone(slot_table));
    spawn_relay(&mut tasks, layout.store_relay(), move |from| {
        let table = table.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = find_slot(&table, from, layout.store_relay())?;
        let link = store_links.stores[usize::from(slot)].clone();
        Some((layout.store_address(slot), link))
    })
    .await?;
    open_datagram_relays(layout, &links, &mut tasks).await?;
    Ok(SiteRelays { links, tasks })
}

async fn spawn_relay<F>(
    tasks: &mut JoinSet<()>,
    address: SocketAddr,
    select_target: F,
) -> std::io::Result<()>
where
    F: Fn(SocketAddr) -> Option<(SocketAddr, relay::RelayLink)> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tasks.spawn(relay::relay_connections(listener, select_target));
    Ok(())
}

/// Opens a socket for each ordered pair of VMs. A datagram is forwarded to its receiver
/// from the socket whose address the receiver uses for the sender.
async fn open_datagram_relays(
    layout: layout::SiteLayout,
    links: &Arc<SiteLinks>,
    tasks: &mut JoinSet<()>,
) -> std::io::Result<()> {
    let mut sockets = BTreeMap::new();
    for (sender, receiver) in links.peers.keys() {
        let address = (layout.peer_relay(*sender, *receiver), layout::PEER_PORT);
        sockets.insert(
            (*sender, *receiver),
            Arc::new(UdpSocket::bind(address).await?),
        );
    }
    let sockets = Arc::new(sockets);
    for (key, socket) in sockets.iter() {
        let (receiver, socket) = (key.1, Arc::clone(socket));
        let (sockets, links) = (Arc::clone(&sockets), Arc::clone(links));
        tasks.spawn(async move {
            let target = SocketAddr::from((layout.vm_address(receiver), layout::PEER_PORT));
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // A receive error reports that an earlier datagram reached no process.
                let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let IpAddr::V4(from) = from.ip() else {
                    continue;
                };
                // The socket does not identify the sender: a VM may use a membership
                // list that another VM has read, which contains the addresses of that
                // VM's relays.
                let Some(sender) = layout.slot_of(from) else {
                    continue;
                };
                let (source, link) = (
                    sockets.get(&(receiver, sender)),
                    links.peers.get(&(sender, receiver)),
                );
                if let (Some(source), Some(link)) = (source, link) {
                    relay::send_datagram(source, &buffer[..size], target, link).await;
                }
            }
        });
    }
    Ok(())
}

/// Returns the slot of the VM process that opened the connection from `from` to `to`.
/// All VMs use the same address of the store, so the address does not identify the VM.
fn find_slot(table: &SlotTable, from: SocketAddr, to: SocketAddr) -> Option<u8> {
    let connections = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = find_inode(&connections, from, to)?;
    let socket = format!("socket:[{inode}]");
    let owns_socket = |process: u32| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let mut files = files.into_iter().flatten().flatten();
        files.any(|file| {
            let target = std::fs::read_link(file.path());
            target.is_ok_and(|target| target.as_os_str() == socket.as_str())
        })
    };
    let mut processes = table.processes.iter();
    let owner = processes.find(|(_, process)| owns_socket(**process));
    owner.map(|(slot, _)| *slot)
}

/// Returns the inode of a connected socket from the text of `/proc/net/tcp`. The search
/// needs both addresses of the connection, because the kernel reuses a local port for
/// connections to several destinations.
fn find_inode(connections: &str, from: SocketAddr, to: SocketAddr) -> Option<&str> {
    let address_pair = format!("{} {} ", encode_address(from)?, encode_address(to)?);
    let line = connections
        .lines()
        .find(|line| line.contains(&address_pair))?;
    line.split_whitespace().nth(9)
}

/// Returns an IPv4 address in the notation of `/proc/net/tcp`.
fn encode_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_le_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
