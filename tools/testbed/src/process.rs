//! One child process: started, signalled, ended.

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

/// Longest wait for any state.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    /// Its name, also that of its log file.
    pub name: String,
    child: Child,
}

/// The folder of the built binaries.
///
/// # Panics
///
/// Panics if the current program's path is not known.
pub fn binaries() -> PathBuf {
    let exe = std::env::current_exe().expect("the current program has a path");
    let dir = exe.parent().expect("a program lies in a folder");
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    let dir = if dir.ends_with("examples") { dir.parent().unwrap_or(dir) } else { dir };
    dir.to_owned()
}

impl Process {
    /// Starts a program of this workspace; its output goes to a file in `logs`.
    ///
    /// # Panics
    ///
    /// Panics if the program has not been built.
    pub fn start(name: &str, program: &str, args: &[String], logs: &Path) -> Self {
        Self::start_with(name, program, args, logs, &[])
    }

    /// Starts a program of this workspace with variables in its environment.
    ///
    /// # Panics
    ///
    /// Panics if the program has not been built.
    pub fn start_with(
        name: &str,
        program: &str,
        args: &[String],
        logs: &Path,
        variables: &[(&str, &Path)],
    ) -> Self {
        let path = binaries().join(program);
        let log = File::options()
            .create(true)
            .append(true)
            .open(logs.join(format!("{name}.log")))
            .expect("the folder for logs can be written");
        let mut command = Command::new(&path);
        command.args(args).envs(variables.iter().copied()).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a file can be shared")).stderr(log);
        end_with_parent(&mut command);
        let child = command
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", path.display()));
        Self { name: name.to_owned(), child }
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // A process that has ended already needs no signal.
        let _gone = signal::kill(Pid::from_raw(self.child.id().cast_signed()), signal);
    }

    /// Stops it from running until [`Process::resume`]; returns when each of its threads stands.
    ///
    /// The system lets threads run on until the one that takes the signal has had the processor. On a
    /// busy host that took a router longer than reading a booking and having it run, so that a test
    /// believed to have sent the booking to a frozen router.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot tell.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let pid = Pid::from_raw(self.child.id().cast_signed());
        // A process that has ended meanwhile is left for whoever waits for its end.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        wait::waitid(wait::Id::Pid(pid), flags).expect("the system tells of a process of ours");
    }

    /// Lets it run again.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Tells it to stop as planned.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Ends it at once and waits.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        drop(self.child.wait());
    }

    /// Waits for its end; its exit code.
    ///
    /// # Panics
    ///
    /// Panics if it does not end within the limit.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let began = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            assert!(began.elapsed() < limit, "{} does not end", self.name);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Ends the child when this process ends, however that comes about.
///
/// A test that is killed by its runner drops nothing, and its children would go on for ever.
#[allow(unsafe_code, reason = "the call between fork and exec can only be set up so")]
fn end_with_parent(command: &mut Command) {
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

/// Loopback addresses with ports that are free now, on an IP number of this process alone.
///
/// On 127.0.0.1 a port that was free a moment ago may meanwhile be the local end of somebody's
/// outgoing connection; the process that is to listen there then fails to start, and the test
/// waits for it until its limit. Outgoing connections never have this IP number, and no other
/// test listens on it.
///
/// # Panics
///
/// Panics if loopback has no free port.
pub fn free_addresses(count: usize) -> Vec<String> {
    let pid = std::process::id();
    let part = |shift: u32| (pid >> shift & 0x7f) as u8;
    let ip = Ipv4Addr::new(127, 1 + part(14), part(7), 1 + part(0));
    let bind = || TcpListener::bind((ip, 0)).expect("loopback has a free port");
    let listeners: Vec<TcpListener> = (0..count).map(|_| bind()).collect();
    let address = |l: &TcpListener| l.local_addr().expect("it is bound").to_string();
    listeners.iter().map(address).collect()
}
