//! Child processes and loopback addresses.

use nix::{
    sys::prctl,
    sys::signal::{self, Signal},
    sys::wait::{self, WaitPidFlag},
    unistd::Pid,
};
use std::{
    fs::File,
    net::{Ipv4Addr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Timeout when waiting for a state.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    /// Process name, also the stem of its log file.
    pub name: String,
    child: Child,
}

/// Directory of the built binaries.
pub fn binary_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the current program has a path");
    let dir = exe.parent().expect("a program lies in a folder");
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    let dir = if dir.ends_with("examples") { dir.parent().unwrap_or(dir) } else { dir };
    dir.to_owned()
}

impl Process {
    /// Starts a program of this workspace with its output in a file in `logs`.
    pub fn start(name: &str, program: &str, args: &[String], logs: &Path) -> Self {
        Self::start_with(name, program, args, logs, &[])
    }

    /// Like [`Process::start`], with additional environment variables.
    pub fn start_with(
        name: &str,
        program: &str,
        args: &[String],
        logs: &Path,
        variables: &[(&str, &Path)],
    ) -> Self {
        let path = binary_dir().join(program);
        let log = File::options()
            .create(true)
            .append(true)
            .open(logs.join(format!("{name}.log")))
            .expect("the folder for logs can be written");
        let mut command = Command::new(&path);
        command.args(args).envs(variables.iter().copied()).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a file can be shared")).stderr(log);
        kill_with_parent(&mut command);
        let child = command
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", path.display()));
        Self { name: name.to_owned(), child }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        let _gone = signal::kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Suspends the process until [`Process::resume`]; returns once all of its threads are stopped.
    ///
    /// After `kill` returns, threads may still run until the kernel delivers the signal.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // `WNOWAIT` leaves the exit status for `Process::wait_for_exit`.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        wait::waitid(wait::Id::Pid(pid), flags).expect("the child can be waited for");
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        drop(self.child.wait());
    }

    /// Returns the exit code once the process has ended; `None` if a signal ended it.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<i32> {
        let started_at = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(started_at.elapsed() < timeout, "{} does not end", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Kills the child when this process ends, also if a test runner kills this process before
/// destructors run.
#[allow(unsafe_code, reason = "the call between fork and exec can only be set up so")]
fn kill_with_parent(command: &mut Command) {
    // SAFETY: the closure makes one system call and touches no memory of the parent.
    unsafe {
        command.pre_exec(|| prctl::set_pdeathsig(Signal::SIGKILL).map_err(std::io::Error::from));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}

/// Returns loopback addresses with free ports on an IP address that only this process uses.
///
/// On 127.0.0.1 the ephemeral port of an outgoing connection could take a port before the child
/// process binds it.
pub fn free_addresses(count: usize) -> Vec<String> {
    let pid = std::process::id();
    let part = |shift: u32| (pid >> shift & 0x7f) as u8;
    let ip = Ipv4Addr::new(127, 1 + part(14), part(7), 1 + part(0));
    let bind = || TcpListener::bind((ip, 0)).expect("loopback has a free port");
    let listeners: Vec<TcpListener> = (0..count).map(|_| bind()).collect();
    let address = |l: &TcpListener| l.local_addr().expect("it is bound").to_string();
    listeners.iter().map(address).collect()
}
