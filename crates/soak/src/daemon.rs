use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_fakes::platform_documents::VmEntry;
use comfreymast_proof::{Process, ProofError, program};

/// How long a daemon may take to exit after SIGTERM.
pub(crate) const GRACE_MS: u64 = 5_000;
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: f64 = 20.0;
pub(crate) const RETRY_WINDOW_MS: u64 = 10_000;
const MS_PER_S: u64 = 1_000;

/// One daemon of the soak, which may be restarted many times.
#[derive(Debug)]
pub(crate) struct Daemon {
    settings: PathBuf,
    log: PathBuf,
    running: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    process: Option<Process>,
    callers_addr: Option<SocketAddr>,
    incarnation: u32,
    /// True once the soak is over; the daemon is not started again.
    is_over: bool,
}

/// The address of a daemon for callers, and the incarnation that listens there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u32,
}

impl Daemon {
    /// Writes the settings of daemon `index`, which connects to the store at `store`.
    pub(crate) fn new(
        folder: &std::path::Path,
        index: usize,
        store: SocketAddr,
    ) -> Result<Self, ProofError> {
        let settings = folder.join(format!("daemon-{index}.json"));
        let file = VmEntry {
            name: &format!("daemon-{index}"),
            data_centre: &format!("z{}", index % 2),
            store_addr: store,
            grace_s: GRACE_MS / MS_PER_S,
            retry_ratio: RETRY_RATIO,
            retry_slack: RETRY_SLACK,
            retry_window_s: RETRY_WINDOW_MS / MS_PER_S,
            link_mbps: 1_000.0,
        }
        .document();
        fs::write(&settings, file.to_string())?;
        let log = folder.join(format!("daemon-{index}.log"));
        Ok(Self { settings, log, running: Mutex::default() })
    }

    /// Starts the daemon unless it is running or the soak is over.
    pub(crate) fn start(&self) -> Result<(), ProofError> {
        let mut running = self.running();
        if running.process.is_some() || running.is_over {
            return Ok(());
        }
        let mut command = Command::new(program("comfreymast"));
        command.arg("serve").arg("--settings").arg(&self.settings);
        let process = Process::start_logged(command, &self.log)?;
        let words = process.listening().split_whitespace();
        let callers = words.filter_map(|word| word.strip_prefix("callers=")).next();
        running.callers_addr = callers.and_then(|addr| addr.parse().ok());
        running.process = Some(process);
        running.incarnation += 1;
        Ok(())
    }

    /// Kills the daemon, if it is running.
    pub(crate) fn kill(&self) {
        let mut running = self.running();
        running.process = None;
        running.callers_addr = None;
    }

    /// Kills the daemon and prevents further starts.
    pub(crate) fn shut_down(&self) {
        self.running().is_over = true;
        self.kill();
    }

    /// Sends a signal, if the daemon is running.
    pub(crate) fn signal(&self, name: &str) -> Result<(), ProofError> {
        match &self.running().process {
            Some(process) => process.signal(name),
            None => Ok(()),
        }
    }

    /// How many times the daemon has been started.
    pub(crate) fn incarnation(&self) -> u32 {
        self.running().incarnation
    }

    /// True when no process is running. Clears the state of a process that exited by itself.
    pub(crate) fn reap_if_exited(&self) -> Result<bool, ProofError> {
        let mut running = self.running();
        let Some(process) = &mut running.process else { return Ok(true) };
        let has_exited = process.exit_code()?.is_some();
        if has_exited {
            running.process = None;
            running.callers_addr = None;
        }
        Ok(has_exited)
    }

    /// The endpoint for callers, while the daemon is running.
    pub(crate) fn endpoint(&self) -> Option<Endpoint> {
        let running = self.running();
        let incarnation = running.incarnation;
        running.callers_addr.map(|addr| Endpoint { addr, incarnation })
    }

    fn running(&self) -> MutexGuard<'_, Running> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
