use std::ffi::OsStr;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Number of lines at the end of a log that describe why a process is not ready.
const LOG_TAIL_LINES: usize = 5;

/// A child process of an experiment, which is killed when the guard is dropped.
#[derive(Debug)]
pub struct ChildGuard {
    child: Child,
    log: PathBuf,
}

impl ChildGuard {
    /// Starts `program`; its standard error is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or the file cannot be opened.
    pub fn start<A: AsRef<OsStr>>(
        program: &Path,
        arguments: &[A],
        log: &Path,
    ) -> std::io::Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::null());
        Self::spawn(command, open_log(log)?, log)
    }

    /// Starts `program` with one environment variable; its standard output and error are appended to
    /// the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or the file cannot be opened.
    pub fn start_with_env<A: AsRef<OsStr>>(
        program: &Path,
        arguments: &[A],
        variable: (&str, &OsStr),
        log: &Path,
    ) -> std::io::Result<Self> {
        let file = open_log(log)?;
        let mut command = Command::new(program);
        command.args(arguments).env(variable.0, variable.1);
        command.stdout(file.try_clone()?);
        Self::spawn(command, file, log)
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

    /// Returns how the process ended, or that it runs, and the last lines of its log.
    #[must_use]
    pub fn describe(&mut self) -> String {
        let state = match self.child.try_wait() {
            Ok(Some(status)) => format!("ended with {status}"),
            Ok(None) => "runs".to_owned(),
            Err(error) => format!("in unknown state: {error}"),
        };
        let bytes = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let lines: Vec<&str> = text.lines().collect();
        let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
        let log = if tail.is_empty() {
            "nothing".to_owned()
        } else {
            tail.join("\n  ")
        };
        format!("{state}; end of its log:\n  {log}")
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

    fn spawn(mut command: Command, stderr: File, log: &Path) -> std::io::Result<Self> {
        let child = command.stdin(Stdio::null()).stderr(stderr).spawn()?;
        let log = log.to_owned();
        Ok(Self { child, log })
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

fn open_log(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}
