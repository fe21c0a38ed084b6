//! Starts the project's program as the deploy file says, with settings made from its template.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Proxy {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Proxy {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process as the platform does when it uses too much memory.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does after a short delay.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(
                b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            )?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }

    pub fn wait_until_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(std::io::Error::other("a node did not become ready again"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Returns the memory that the process holds, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        let kilobytes: u64 = line
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        kilobytes * 1024
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the words of `run` in the deploy file.
fn run_words() -> std::io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))
        .unwrap_or_default();
    let command = line.split('"').nth(1).unwrap_or_default();
    Ok(command.split(' ').map(str::to_owned).collect())
}

/// Starts the program; it appends its log to a file.
fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let words = run_words()?;
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(&words[0])
        .args(&words[1..])
        .env_clear()
        .env("BLUEBELLFERRY_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns three free ports that all proxies use, each at its own loopback address, and the first
/// port of a free range.
fn free_ports(addresses: &[String]) -> [u16; 4] {
    for base in (20_000_u16..30_000)
        .step_by(32)
        .skip((std::process::id() % 200) as usize)
    {
        let is_free = |port: &u16| {
            addresses
                .iter()
                .all(|address| TcpListener::bind((address.as_str(), *port)).is_ok())
        };
        if (base..base + 20).all(|port| is_free(&port)) {
            return [base, base + 1, base + 2, base + 3];
        }
    }
    [0; 4]
}

/// Starts one proxy in each zone. `folder` holds their settings and logs.
pub fn start(
    folder: &Path,
    zones: &[&str; 3],
    store: SocketAddr,
    duty: SocketAddr,
) -> std::io::Result<Vec<Proxy>> {
    let addresses: Vec<String> = (1..=3).map(|index| format!("127.0.1.{index}")).collect();
    let [front, ready, control, first] = free_ports(&addresses);
    if front == 0 {
        return Err(std::io::Error::other("no free ports"));
    }
    let mut proxies = Vec::new();
    for (zone, address) in zones.iter().zip(&addresses) {
        let name = format!("edge-{zone}-1");
        let settings = format!(
            "{{\"vm\":\"{name}\",\"address\":\"{address}\",\"data_centre\":\"{zone}\",\"region\":\"{zone}-region\",\
             \"data_centres\":{{\"{}\":\"{}-region\",\"{}\":\"{}-region\",\"{}\":\"{}-region\"}},\
             \"caller_address\":\"{address}:{front}\",\"readiness_address\":\"{address}:{ready}\",\
             \"control_address\":\"{address}:{control}\",\"peer_ports\":[{first},{}],\"max_descriptors\":4300,\
             \"store_address\":\"{store}\",\"duty_address\":\"{duty}\",\"drain_ms\":7000,\"grace_s\":6}}",
            zones[0],
            zones[0],
            zones[1],
            zones[1],
            zones[2],
            zones[2],
            first + 15
        );
        let file: PathBuf = folder.join(format!("{name}.json"));
        fs::write(&file, settings)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&file, &log)?;
        let address_of = |port: u16| {
            format!("{address}:{port}")
                .parse()
                .map_err(std::io::Error::other)
        };
        proxies.push(Proxy {
            name,
            front: address_of(front)?,
            ready: address_of(ready)?,
            settings: file,
            log,
            child,
        });
    }
    let started = Instant::now();
    while !proxies.iter().all(Proxy::is_ready) {
        if started.elapsed() > Duration::from_secs(25) || !proxies.iter_mut().all(Proxy::is_running)
        {
            return Err(std::io::Error::other("the proxies did not become ready"));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(proxies)
}
