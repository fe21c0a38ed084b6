//! The machines of a small deployment: three processes of the program that the deploy file names.

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

pub const ZONES: [&str; 3] = ["amman-a", "aqaba-a", "irbid-a"];

/// The addresses of a deployment: a loopback subnet and a first port, all of them free.
#[derive(Clone, Copy)]
pub struct Places {
    subnet: u8,
    port: u16,
}

impl Places {
    pub fn find() -> Result<Self, String> {
        let process = std::process::id();
        for attempt in 0..40 {
            let places = Self {
                subnet: 20 + ((process + attempt) % 200) as u8,
                port: 12_000 + ((process * 7 + attempt * 97) % 900) as u16 * 10,
            };
            let hosts = [1, 10, 11, 12, 20, 21, 22, 100, 101, 102, 103, 104];
            let is_free = |host: u8| {
                let mut ports = 0..9;
                ports.all(|port| TcpListener::bind(places.address(host, port)).is_ok())
            };
            if hosts.into_iter().all(is_free) {
                return Ok(places);
            }
        }
        Err("no free addresses".to_owned())
    }

    fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.subnet, 0, host))
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.port + port)
    }

    pub fn store(self) -> SocketAddr {
        self.address(1, 0)
    }

    pub fn cloud_api(self) -> SocketAddr {
        self.address(1, 1)
    }

    /// The addresses of a group of five databases.
    pub fn five_databases(self) -> [SocketAddr; 5] {
        [100, 101, 102, 103, 104].map(|host| self.address(host, 0))
    }

    pub fn databases(self) -> [SocketAddr; 3] {
        [100, 101, 102].map(|host| self.address(host, 0))
    }

    /// The addresses of the machines, and those by which others know them behind a relay.
    pub fn machines(self) -> ([IpAddr; 3], [IpAddr; 3]) {
        (
            [10, 11, 12].map(|host| self.ip(host)),
            [20, 21, 22].map(|host| self.ip(host)),
        )
    }

    /// The port for datagrams between machines.
    pub fn peer_port(self) -> u16 {
        self.port + 5
    }

    pub fn front(self, vm: usize) -> SocketAddr {
        self.address(10 + vm as u8, 2)
    }

    fn ready(self, vm: usize) -> SocketAddr {
        self.address(10 + vm as u8, 3)
    }
}

pub struct Machines {
    places: Places,
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

impl Machines {
    pub fn new(places: Places) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Self {
            places,
            folder,
            children: vec![None, None, None],
        })
    }

    /// Starts a machine with settings as deploy/settings.json.template writes them.
    pub fn start(&mut self, vm: usize) -> Result<(), String> {
        let failed = |error: std::io::Error| error.to_string();
        let places = self.places;
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("\"{zone}\": \"{}\"", zone.trim_end_matches("-a")))
            .collect();
        let settings = format!(
            "{{\"vm\": \"edge-{zone}-1\", \"address\": \"{ip}\", \"data_centre\": \"{zone}\", \"region\": \"{region}\", \"data_centres\": {{{zones}}}, \"caller_address\": \"{front}\", \"readiness_address\": \"{ready}\", \"control_address\": \"{control}\", \"peer_ports\": [{first}, {last}], \"max_descriptors\": 4300, \"store_address\": \"{store}\", \"duty_address\": \"{cloud}\", \"grace_s\": 6}}",
            zone = ZONES[vm],
            ip = places.ip(10 + vm as u8),
            region = ZONES[vm].trim_end_matches("-a"),
            zones = zones.join(", "),
            front = places.front(vm),
            ready = places.ready(vm),
            control = places.address(10 + vm as u8, 4),
            first = places.port + 5,
            last = places.port + 6,
            store = places.store(),
            cloud = places.cloud_api(),
        );
        let file = self.folder.join(format!("settings-{vm}.json"));
        std::fs::write(&file, settings).map_err(failed)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("vm-{vm}.log")))
            .map_err(failed)?;
        let child = Command::new("target/release/bluebellferry-edge")
            .env("BLUEBELLFERRY_BOOT", &file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.children[vm] = Some(child.map_err(failed)?);
        Ok(())
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        (0..ZONES.len()).try_for_each(|vm| self.start(vm))
    }

    /// Returns the id of a machine's process.
    pub fn process(&self, vm: usize) -> Option<u32> {
        self.children[vm].as_ref().map(Child::id)
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        for child in &mut self.children {
            if let Some(mut child) = child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
    }

    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.ready_count() == ZONES.len() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the machines are not ready".to_owned())
    }

    /// Returns how many machines report that they are ready.
    pub fn ready_count(&self) -> usize {
        let is_ready = |vm: &usize| probe(self.places.ready(*vm)).is_some_and(|code| code == 200);
        (0..ZONES.len()).filter(is_ready).count()
    }

    /// Returns the log lines of a machine that contain a text, at most `most`.
    pub fn log_lines(&self, vm: usize, text: &str, most: usize) -> Vec<String> {
        let path = self.folder.join(format!("vm-{vm}.log"));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.take(most).map(str::to_owned).collect()
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        self.kill_all();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn probe(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let timeout = Some(Duration::from_millis(500));
    stream.set_read_timeout(timeout).ok()?;
    let request = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(request).ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}
