//! Processes that are started, signalled and ended by their own number.

use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;

use rustix::process as system;

/// Which program a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// The stand-in for the platform's store.
    Store,
    /// The stand-in for one database.
    Database,
    /// A proxy.
    Proxy,
}

impl ProcessRole {
    /// Returns the name of the program.
    pub const fn program(self) -> &'static str {
        match self {
            Self::Store => "standin-store",
            Self::Database => "standin-database",
            Self::Proxy => "bluebellferry-proxy",
        }
    }
}

/// How programs are found.
#[derive(Debug, Clone)]
pub enum Launcher {
    /// Beside the running program, as cargo lays them out.
    SiblingBinaries,
    /// The running program itself, in the role that its first argument names.
    CurrentExecutable,
}

impl Launcher {
    fn command(&self, role: ProcessRole) -> std::io::Result<tokio::process::Command> {
        let own = std::env::current_exe()?;
        match self {
            Self::SiblingBinaries => {
                let mut folder = own.parent().unwrap_or(Path::new(".")).to_path_buf();
                if folder.ends_with("deps") {
                    folder.pop();
                }
                Ok(tokio::process::Command::new(folder.join(role.program())))
            }
            Self::CurrentExecutable => {
                let mut command = tokio::process::Command::new(own);
                command.arg(crate::roles::ROLE_FLAG).arg(role.program());
                Ok(command)
            }
        }
    }
}

/// A running process. It is killed when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    child: tokio::process::Child,
    settings: PathBuf,
    role: ProcessRole,
    launcher: Launcher,
}

impl ManagedProcess {
    /// Starts a program with a settings file; its log goes beside that file.
    ///
    /// # Errors
    /// Fails when the program cannot be started.
    pub fn start(launcher: &Launcher, role: ProcessRole, settings: &Path) -> std::io::Result<Self> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))?;
        let child = launcher
            .command(role)?
            .arg(settings)
            // What a killed process leaves behind goes with the settings' folder.
            .env("TMPDIR", settings.parent().unwrap_or(Path::new(".")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let (settings, launcher) = (settings.to_path_buf(), launcher.clone());
        Ok(Self {
            child,
            settings,
            role,
            launcher,
        })
    }

    fn signal(&self, signal: system::Signal) -> std::io::Result<()> {
        let number = self
            .child
            .id()
            .and_then(|id| system::Pid::from_raw(id as i32));
        let number = number.ok_or_else(|| std::io::Error::other("the process has ended"))?;
        system::kill_process(number, signal)?;
        Ok(())
    }

    /// Kills the process at once and waits for its end.
    ///
    /// # Errors
    /// Fails when the process has already ended.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Freezes the process.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn suspend(&self) -> std::io::Result<()> {
        self.signal(system::Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn resume(&self) -> std::io::Result<()> {
        self.signal(system::Signal::CONT)
    }

    /// Asks the process to stop in an orderly way.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn request_shutdown(&self) -> std::io::Result<()> {
        self.signal(system::Signal::TERM)
    }

    /// Waits until the process has ended; returns whether it ended well.
    ///
    /// # Errors
    /// Fails when the process cannot be waited for.
    pub async fn wait(&mut self) -> std::io::Result<bool> {
        Ok(self.child.wait().await?.success())
    }

    /// Starts the program anew with the same settings.
    ///
    /// # Errors
    /// Fails when the program cannot be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        *self = Self::start(&self.launcher, self.role, &self.settings)?;
        Ok(())
    }

    /// Returns the process's number, if it is running.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the memory that the process holds, in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns the processor time that the process has used.
    pub fn cpu_time(&self) -> Option<std::time::Duration> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        let ticks = rustix::param::clock_ticks_per_second();
        Some(std::time::Duration::from_secs_f64(
            (user + system) as f64 / ticks as f64,
        ))
    }
}
