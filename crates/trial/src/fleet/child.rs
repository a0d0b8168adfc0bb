use std::ffi::OsStr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// A process of an experiment, ended with its guard.
#[derive(Debug)]
pub struct ChildGuard {
    child: Child,
}

impl ChildGuard {
    /// Starts this same program with other arguments.
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

    /// Starts this same program with other arguments and one variable; its output goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start_with<A: AsRef<OsStr>>(
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

    /// Id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells the process that its settings changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Tells whether the process has ended.
    pub fn is_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Wakes a frozen process.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process's end; none if it goes on beyond `limit`.
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

    fn spawn(mut command: Command, errors: Stdio) -> std::io::Result<Self> {
        let child = command.stdin(Stdio::null()).stderr(errors).spawn()?;
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
