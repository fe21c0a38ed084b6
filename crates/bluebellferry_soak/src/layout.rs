//! Addresses of one run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use serde::Deserialize;
use serde::Serialize;

/// Below the ports that the system hands out for outgoing connections.
const BASE_PORT: u16 = 19_000;
/// Where VMs serve callers.
const CALLER_PORT: u16 = BASE_PORT;
const READINESS_PORT: u16 = BASE_PORT + 1;
/// Where VMs copy objects from each other.
pub const STORE_COPIES_PORT: u16 = BASE_PORT + 2;
/// Where VMs send heartbeats.
pub const PEER_PORT: u16 = BASE_PORT + 3;
/// Where VMs serve metrics.
pub const METRICS_PORT: u16 = BASE_PORT + 4;
const STORE_PORT: u16 = BASE_PORT + 5;
const PROMOTION_API_PORT: u16 = BASE_PORT + 6;
const DATABASE_PORT: u16 = BASE_PORT + 7;
const COMMAND_PORT: u16 = BASE_PORT + 8;

/// The networks 127.x that runs use; tests of other crates use lower ones.
const MIN_SUBNET: u8 = 100;
const END_SUBNET: u8 = 250;
/// The most slots for VMs: their number stands in an address behind an offset.
pub const MAX_SLOTS: u8 = 100;
/// Offsets within an address.
const SLOT_OFFSET: u8 = 10;
const VIEWER_OFFSET: u8 = 100;
const DATABASE_OFFSET: u8 = 120;

/// Addresses of one run. Each VM sees the others, the databases, the store and
/// the duty call socket addresses of its own, which belong to relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteLayout {
    /// The second number of all addresses.
    pub subnet: u8,
    /// For how many VMs there is slot, those that replace others included.
    pub slots: u8,
    /// How many databases there are.
    pub databases: u8,
}

/// A network that no other run uses while this value lives.
#[derive(Debug)]
pub struct SubnetReservation {
    /// The second number of its addresses.
    pub subnet: u8,
    _listener: TcpListener,
}

impl SubnetReservation {
    /// Claims a network.
    ///
    /// # Errors
    /// Fails when all are taken.
    pub fn reserve() -> std::io::Result<Self> {
        let count = u32::from(END_SUBNET - MIN_SUBNET);
        let first = rand::random_range(0..count);
        let mut last_error = None;
        for offset in 0..count {
            let subnet = MIN_SUBNET + ((first + offset) % count) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, subnet, 0, 1), BASE_PORT)) {
                Ok(listener) => {
                    return Ok(Self {
                        subnet,
                        _listener: listener,
                    });
                }
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }
}

impl SiteLayout {
    const fn ip(&self, third: u8, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, third, last)
    }

    const fn socket(&self, third: u8, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(std::net::IpAddr::V4(self.ip(third, last)), port)
    }

    /// Returns a VM's address.
    pub const fn vm(&self, slot: u8) -> Ipv4Addr {
        self.ip(0, SLOT_OFFSET + slot)
    }

    /// Returns the slot of a VM's address.
    pub fn slot_of(&self, address: Ipv4Addr) -> Option<u8> {
        (0..self.slots).find(|slot| self.vm(*slot) == address)
    }

    /// Returns the address under which `viewer` sees the VM `peer`.
    pub const fn peer_relay(&self, viewer: u8, peer: u8) -> Ipv4Addr {
        self.ip(VIEWER_OFFSET + viewer, SLOT_OFFSET + peer)
    }

    /// Returns where a VM serves callers.
    pub const fn callers(&self, slot: u8) -> SocketAddr {
        self.socket(0, SLOT_OFFSET + slot, CALLER_PORT)
    }

    /// Returns where callers connect to reach a VM.
    pub const fn caller_relay(&self, slot: u8) -> SocketAddr {
        self.socket(4, SLOT_OFFSET + slot, CALLER_PORT)
    }

    /// Returns where a VM tells whether it is ready.
    pub const fn readiness(&self, slot: u8) -> SocketAddr {
        self.socket(0, SLOT_OFFSET + slot, READINESS_PORT)
    }

    /// Returns where the store serves a VM.
    pub const fn store(&self, slot: u8) -> SocketAddr {
        self.socket(1, SLOT_OFFSET + slot, STORE_PORT)
    }

    /// Returns where all VMs find the store: its address tells deployments
    /// apart, so it must be the same for all.
    pub const fn store_relay(&self) -> SocketAddr {
        self.socket(0, 1, STORE_PORT)
    }

    /// Returns where the duty call is served.
    pub const fn promotion_api(&self) -> SocketAddr {
        self.socket(0, 2, PROMOTION_API_PORT)
    }

    /// Returns where a VM finds the duty call.
    pub const fn promotion_api_relay(&self, slot: u8) -> SocketAddr {
        self.socket(2, SLOT_OFFSET + slot, PROMOTION_API_PORT)
    }

    /// Returns where a database serves.
    pub const fn database(&self, database: u8) -> SocketAddr {
        self.socket(3, DATABASE_OFFSET + database, DATABASE_PORT)
    }

    /// Returns where a VM finds a database.
    pub const fn database_relay(&self, slot: u8, database: u8) -> SocketAddr {
        let third = VIEWER_OFFSET + slot;
        self.socket(third, DATABASE_OFFSET + database, DATABASE_PORT)
    }

    /// Returns the database that serves socket an address.
    pub fn database_of(&self, address: &str) -> Option<u8> {
        let address = address.parse::<SocketAddr>().ok()?;
        (0..self.databases).find(|database| self.database(*database) == address)
    }

    /// Returns where the store takes orders.
    pub const fn store_commands(&self) -> SocketAddr {
        self.socket(0, 3, COMMAND_PORT)
    }

    /// Returns where the databases take orders.
    pub const fn group_commands(&self) -> SocketAddr {
        self.socket(0, 4, COMMAND_PORT)
    }
}
