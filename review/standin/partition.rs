//! Partitions: tells from which machine a connection comes, and drops what may not pass.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

#[derive(Default)]
pub struct Partition {
    processes: Mutex<HashMap<usize, u32>>,
    /// The machine that is cut off from the store and from the other machines.
    pub isolated: AtomicBool,
    /// Whether the first database is cut off from all machines but the isolated one.
    pub primary_cut: AtomicBool,
}

/// The machine that is cut off.
pub const ISOLATED: usize = 2;

impl Partition {
    pub fn set_process(&self, vm: usize, process: u32) {
        self.processes.lock().unwrap().insert(vm, process);
    }

    /// Returns the machine whose process holds the other end of a connection.
    pub fn vm_of(&self, stream: &TcpStream) -> Option<usize> {
        let port = stream.peer_addr().ok()?.port();
        let here = stream.local_addr().ok()?.port();
        let table = std::fs::read_to_string("/proc/self/net/tcp").ok()?;
        let find = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let port_of = |text: &str| u16::from_str_radix(text.split(':').nth(1)?, 16).ok();
            let is_wanted = port_of(fields.get(1)?)? == port && port_of(fields.get(2)?)? == here;
            is_wanted.then(|| fields[9].to_owned())
        };
        let inode = table.lines().skip(1).find_map(find)?;
        let socket = format!("socket:[{inode}]");
        let processes = self.processes.lock().unwrap().clone();
        let holds = |process: u32| {
            let links = std::fs::read_dir(format!("/proc/{process}/fd")).ok();
            let mut links = links.into_iter().flatten().flatten();
            links.any(|link| {
                std::fs::read_link(link.path()).is_ok_and(|to| to.to_string_lossy() == socket)
            })
        };
        let found = processes.into_iter().find(|(_, process)| holds(*process));
        found.map(|(vm, _)| vm)
    }

    pub fn is_cut_from_store(&self, vm: Option<usize>) -> bool {
        vm == Some(ISOLATED) && self.isolated.load(Ordering::SeqCst)
    }

    pub fn is_cut_from_database(&self, database: usize, vm: Option<usize>) -> bool {
        database == 0 && vm != Some(ISOLATED) && self.primary_cut.load(Ordering::SeqCst)
    }

    /// Passes datagrams between the machines: each knows the others by the addresses `known`.
    pub fn relay_datagrams(
        self: &Arc<Self>,
        real: [IpAddr; 3],
        known: [IpAddr; 3],
        port: u16,
    ) -> std::io::Result<()> {
        let bind = |ip: &IpAddr| UdpSocket::bind(SocketAddr::new(*ip, port)).map(Arc::new);
        let sockets: Vec<Arc<UdpSocket>> =
            known.iter().map(bind).collect::<std::io::Result<_>>()?;
        for to in 0..3 {
            let (partition, sockets) = (Arc::clone(self), sockets.clone());
            std::thread::spawn(move || {
                let mut buffer = vec![0; 65_536];
                while let Ok((length, sender)) = sockets[to].recv_from(&mut buffer) {
                    let Some(from) = real.iter().position(|ip| *ip == sender.ip()) else {
                        continue;
                    };
                    let crosses = (from == ISOLATED) != (to == ISOLATED);
                    if crosses && partition.isolated.load(Ordering::SeqCst) {
                        continue;
                    }
                    let address = SocketAddr::new(real[to], port);
                    sockets[from].send_to(&buffer[..length], address).ok();
                }
            });
        }
        Ok(())
    }
}
