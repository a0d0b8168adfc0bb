use std::ffi::OsStr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::shared_state::{SPAWN_LOCK, lock};

/// A child process of an experiment, which is killed when the guard is dropped.
#[derive(Debug)]
pub struct ChildGuard {
    child: Child,
}

impl ChildGuard {
    /// Starts `program`; its standard error goes to `log`, or is discarded without one.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start<A: AsRef<OsStr>>(
        program: &std::path::Path,
        arguments: &[A],
        log: Option<std::fs::File>,
    ) -> std::io::Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::null());
        Self::spawn(command, log.map_or_else(Stdio::null, Stdio::from))
    }

    /// Starts `program` with one environment variable; its standard output and error go to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_with_env<A: AsRef<OsStr>>(
        program: &std::path::Path,
        arguments: &[A],
        variable: (&str, &OsStr),
        log: std::fs::File,
    ) -> std::io::Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).env(variable.0, variable.1);
        command.stdout(log.try_clone()?);
        Self::spawn(command, log.into())
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop, with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to reload its settings, with `SIGHUP`.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Returns whether the process has exited.
    pub fn is_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Suspends the process, with `SIGSTOP`.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process, with `SIGCONT`.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to exit; returns `None` if it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn spawn(mut command: Command, stderr: Stdio) -> std::io::Result<Self> {
        let _spawning = lock(&SPAWN_LOCK);
        let child = command.stdin(Stdio::null()).stderr(stderr).spawn()?;
        Ok(Self { child })
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        self.kill();
    }
}
