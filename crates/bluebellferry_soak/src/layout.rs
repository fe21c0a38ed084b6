//! IP addresses and ports of one run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use serde::Deserialize;
use serde::Serialize;

/// The lowest port in use; all ports lie below the kernel's ephemeral range.
const BASE_PORT: u16 = 19_000;
/// The port on which VMs serve callers.
const CALLER_PORT: u16 = BASE_PORT;
const READINESS_PORT: u16 = BASE_PORT + 1;
/// The port on which VMs serve replicated store objects to each other.
pub const STORE_COPIES_PORT: u16 = BASE_PORT + 2;
/// The UDP port on which VMs receive messages from each other, such as heartbeats.
pub const PEER_PORT: u16 = BASE_PORT + 3;
/// The port on which VMs serve metrics.
pub const METRICS_PORT: u16 = BASE_PORT + 4;
const STORE_PORT: u16 = BASE_PORT + 5;
const PROMOTION_API_PORT: u16 = BASE_PORT + 6;
const DATABASE_PORT: u16 = BASE_PORT + 7;
/// The port on which stand-ins receive commands from the runner.
const COMMAND_PORT: u16 = BASE_PORT + 8;

/// The lowest second octet of 127.x addresses that runs use; tests of other crates use
/// lower ones.
const MIN_SUBNET: u8 = 100;
/// The exclusive upper bound of these octets.
const END_SUBNET: u8 = 250;
/// The maximum number of VM slots: an octet of an address is an offset plus the slot.
pub const MAX_SLOTS: u8 = 100;
/// The octet of slot 0 in the last position.
const SLOT_OFFSET: u8 = 10;
/// The octet of slot 0 in the third position of relay addresses that only one VM uses.
const VM_RELAY_OFFSET: u8 = 100;
/// The octet of database 0 in the last position.
const DATABASE_OFFSET: u8 = 120;

/// The addresses of one run.
///
/// A VM slot is a fixed set of addresses for one VM process. Each VM reaches the other
/// VMs, the databases and the promotion API through relays at addresses that no other
/// VM uses; callers and the store have relays, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteLayout {
    /// The second octet of all addresses.
    pub subnet: u8,
    /// The number of VM slots, including those for replacements.
    #[serde(rename = "places")]
    pub slots: u8,
    /// The number of databases.
    pub databases: u8,
}

/// A subnet that no other run uses as long as this value lives.
#[derive(Debug)]
pub struct SubnetReservation {
    /// The second octet of the subnet's addresses.
    pub subnet: u8,
    _listener: TcpListener,
}

impl SubnetReservation {
    /// Reserves a subnet by listening on one of its addresses.
    ///
    /// # Errors
    /// Fails when all subnets are in use.
    pub fn reserve() -> std::io::Result<Self> {
        let count = u32::from(END_SUBNET - MIN_SUBNET);
        let start = rand::random_range(0..count);
        let mut last_error = None;
        for offset in 0..count {
            let subnet = MIN_SUBNET + ((start + offset) % count) as u8;
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
    const fn ip_address(&self, third: u8, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, third, last)
    }

    const fn socket_address(&self, third: u8, last: u8, port: u16) -> SocketAddr {
        SocketAddr::new(std::net::IpAddr::V4(self.ip_address(third, last)), port)
    }

    /// Returns the IP address of the VM in a slot.
    pub const fn vm_address(&self, slot: u8) -> Ipv4Addr {
        self.ip_address(0, SLOT_OFFSET + slot)
    }

    /// Returns the slot of a VM's IP address.
    pub fn slot_of(&self, address: Ipv4Addr) -> Option<u8> {
        (0..self.slots).find(|slot| self.vm_address(*slot) == address)
    }

    /// Returns the relay address through which the VM in slot `sender` reaches the VM
    /// in slot `receiver`.
    pub const fn peer_relay(&self, sender: u8, receiver: u8) -> Ipv4Addr {
        self.ip_address(VM_RELAY_OFFSET + sender, SLOT_OFFSET + receiver)
    }

    /// Returns the address on which a VM serves callers.
    pub const fn caller_address(&self, slot: u8) -> SocketAddr {
        self.socket_address(0, SLOT_OFFSET + slot, CALLER_PORT)
    }

    /// Returns the relay address through which callers reach a VM.
    pub const fn caller_relay(&self, slot: u8) -> SocketAddr {
        self.socket_address(4, SLOT_OFFSET + slot, CALLER_PORT)
    }

    /// Returns the address of a VM's readiness check.
    pub const fn readiness_address(&self, slot: u8) -> SocketAddr {
        self.socket_address(0, SLOT_OFFSET + slot, READINESS_PORT)
    }

    /// Returns the address on which the store serves a VM.
    pub const fn store_address(&self, slot: u8) -> SocketAddr {
        self.socket_address(1, SLOT_OFFSET + slot, STORE_PORT)
    }

    /// Returns the relay address through which all VMs reach the store. The address is
    /// common to all VMs because it identifies the deployment.
    pub const fn store_relay(&self) -> SocketAddr {
        self.socket_address(0, 1, STORE_PORT)
    }

    /// Returns the address of the promotion API.
    pub const fn promotion_api(&self) -> SocketAddr {
        self.socket_address(0, 2, PROMOTION_API_PORT)
    }

    /// Returns the relay address through which a VM reaches the promotion API.
    pub const fn promotion_api_relay(&self, slot: u8) -> SocketAddr {
        self.socket_address(2, SLOT_OFFSET + slot, PROMOTION_API_PORT)
    }

    /// Returns the address of a database.
    pub const fn database_address(&self, database: u8) -> SocketAddr {
        self.socket_address(3, DATABASE_OFFSET + database, DATABASE_PORT)
    }

    /// Returns the relay address through which a VM reaches a database.
    pub const fn database_relay(&self, slot: u8, database: u8) -> SocketAddr {
        let third = VM_RELAY_OFFSET + slot;
        self.socket_address(third, DATABASE_OFFSET + database, DATABASE_PORT)
    }

    /// Returns the index of the database with an address.
    pub fn database_of(&self, address: &str) -> Option<u8> {
        let address = address.parse::<SocketAddr>().ok()?;
        (0..self.databases).find(|database| self.database_address(*database) == address)
    }

    /// Returns the address on which the store's stand-in receives commands.
    pub const fn store_commands(&self) -> SocketAddr {
        self.socket_address(0, 3, COMMAND_PORT)
    }

    /// Returns the address on which the databases' stand-in receives commands.
    pub const fn group_commands(&self) -> SocketAddr {
        self.socket_address(0, 4, COMMAND_PORT)
    }
}
