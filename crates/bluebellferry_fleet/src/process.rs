//! Child processes that are started, signalled and ended by process id.

use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;

use rustix::process as system;

/// The program that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// The stand-in for the platform's object store.
    Store,
    /// The stand-in for one database server.
    Database,
    /// The proxy.
    Proxy,
}

impl ProcessRole {
    /// Returns the file name of the executable.
    pub const fn program_name(self) -> &'static str {
        match self {
            Self::Store => "standin-store",
            Self::Database => "standin-database",
            Self::Proxy => "bluebellferry-proxy",
        }
    }
}

/// Where the executables of the processes come from.
#[derive(Debug, Clone)]
pub enum Launcher {
    /// Separate executables in the directory of the current executable, where
    /// cargo puts them; for a test executable, in the parent of `deps`.
    SiblingBinaries,
    /// The current executable, which learns from [`crate::roles::ROLE_FLAG`] and the
    /// argument after it which program to run.
    CurrentExecutable,
}

impl Launcher {
    fn build_command(&self, role: ProcessRole) -> std::io::Result<tokio::process::Command> {
        let executable = std::env::current_exe()?;
        match self {
            Self::SiblingBinaries => {
                let mut folder = executable.parent().unwrap_or(Path::new(".")).to_path_buf();
                if folder.ends_with("deps") {
                    folder.pop();
                }
                Ok(tokio::process::Command::new(
                    folder.join(role.program_name()),
                ))
            }
            Self::CurrentExecutable => {
                let mut command = tokio::process::Command::new(executable);
                command
                    .arg(crate::roles::ROLE_FLAG)
                    .arg(role.program_name());
                Ok(command)
            }
        }
    }
}

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub struct ManagedProcess {
    child: tokio::process::Child,
    settings: PathBuf,
    role: ProcessRole,
    launcher: Launcher,
}

impl ManagedProcess {
    /// Starts a program with a settings file.
    ///
    /// Its standard error is appended to a file of the same name with the
    /// extension `log`.
    ///
    /// # Errors
    /// Fails when the program cannot be started.
    pub fn start(launcher: &Launcher, role: ProcessRole, settings: &Path) -> std::io::Result<Self> {
        let log_file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))?;
        let child = launcher
            .build_command(role)?
            .arg(settings)
            // A killed process doesn't remove its temporary files; they are removed
            // together with the settings' folder.
            .env("TMPDIR", settings.parent().unwrap_or(Path::new(".")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
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
        let pid = self
            .child
            .id()
            .and_then(|id| system::Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| std::io::Error::other("the process has already exited"))?;
        system::kill_process(pid, signal)?;
        Ok(())
    }

    /// Sends SIGKILL to the process and waits until it has exited.
    ///
    /// # Errors
    /// Fails when the process has already ended.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill().await
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn suspend(&self) -> std::io::Result<()> {
        self.signal(system::Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn resume(&self) -> std::io::Result<()> {
        self.signal(system::Signal::CONT)
    }

    /// Requests an orderly shutdown with SIGTERM.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn request_shutdown(&self) -> std::io::Result<()> {
        self.signal(system::Signal::TERM)
    }

    /// Waits until the process has exited and returns whether its exit status
    /// was success.
    ///
    /// # Errors
    /// Fails when the process cannot be waited for.
    pub async fn wait(&mut self) -> std::io::Result<bool> {
        Ok(self.child.wait().await?.success())
    }

    /// Starts the program again with the same settings file, killing the old
    /// process if it still runs.
    ///
    /// # Errors
    /// Fails when the program cannot be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        *self = Self::start(&self.launcher, self.role, &self.settings)?;
        Ok(())
    }

    /// Returns the process id, unless the process has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns the CPU time, in user and kernel mode, that the process has used.
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
