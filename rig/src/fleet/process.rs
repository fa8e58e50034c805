//! Handle of one child process: starts, signals and ends it.

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Period of checking whether a process has ended.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct ProcessHandle {
    child: Child,
}

impl ProcessHandle {
    /// Starts a program. Its standard output and error go to the file `log`.
    ///
    /// # Errors
    /// When the log cannot be created or the program cannot be started.
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<Self> {
        let output = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a program as `command` describes.
    ///
    /// # Errors
    /// When the program cannot be started.
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        Ok(Self {
            child: command.spawn()?,
        })
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if self.child.kill().is_ok() && self.child.wait().is_err() {
            // An earlier wait has already returned the exit status.
        }
    }

    /// Sends SIGTERM, upon which daemons drain.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, upon which daemons read their settings file again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Stops the process with SIGSTOP until [`Self::thaw`]. On return all of its threads have
    /// stopped, or it has ended; on a busy machine the signal alone would take effect later.
    ///
    /// # Panics
    /// When the signal cannot be sent or the process cannot be waited for.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let stopped = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        let waited = waitid(WaitId::Pid(self.pid()), stopped);
        assert!(
            waited.is_ok(),
            "waiting for the process to stop failed: {waited:?}"
        );
    }

    /// Continues a stopped process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Blocks until the process ends; `None` when it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(EXIT_POLL);
        }
        None
    }

    /// As [`Self::wait`], without blocking the thread.
    pub async fn wait_async(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < timeout {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            async_std::task::sleep(EXIT_POLL).await;
        }
        None
    }

    /// True when the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let sent = kill_process(self.pid(), signal);
        assert!(sent.is_ok(), "sending {signal:?} failed: {sent:?}");
    }

    fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        self.kill();
    }
}
