use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use comfreymast_base::{DataCentre, Model, Service};
use comfreymast_fakes::history::{History, Line, parse};
use comfreymast_net::{Spawner, call, empty, json, request, sleep_ms};
use comfreymast_platform::{Vm, VmRole, VmState};
use serde::Serialize;
use tempfile::TempDir;

use crate::cli::Cli;
use crate::client::{get, set_faults};
use crate::process::{Process, ProofError, program};

/// The operator key of every fleet.
pub const OPERATOR_KEY: &str = "operator-key-of-the-proofs";
/// The fleet key of every fleet.
pub const FLEET_KEY: &str = "fleet-key-of-the-proofs";

const CALL_LIMIT_MS: u64 = 5_000;
/// 7 days, longer than any test runs.
const NO_SNAPSHOT_MS: &str = "604800000";
const MAX_REPLY_BYTES: usize = 1024 * 1024;
const WAIT_LIMIT_MS: u64 = 20_000;
const POLL_MS: u64 = 10;

/// The processes of a fleet and their options.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The number of daemons, named `d0`, `d1`, …
    pub daemons: usize,
    /// The number of engines with model `m`, named `e0`, `e1`, …
    pub engines: usize,
    /// The number of servers of service `s`, named `s0`, `s1`, …
    pub servers: usize,
    /// Additional flags of every engine.
    pub engine_flags: Vec<String>,
    /// Additional flags of every daemon.
    pub daemon_flags: Vec<String>,
    /// Additional environment variables of every daemon, with their values.
    pub daemon_variables: Vec<(String, String)>,
    /// Executor threads of every daemon.
    pub daemon_threads: u32,
    /// The log filter of daemons, in the format of `RUST_LOG`.
    pub daemon_log: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            daemons: 3,
            engines: 2,
            servers: 1,
            engine_flags: ["--step-us", "2000"].map(str::to_owned).to_vec(),
            daemon_flags: ["--heartbeat-interval-ms", "50", "--vms-interval-ms", "50"]
                .map(str::to_owned)
                .to_vec(),
            daemon_variables: Vec::new(),
            daemon_threads: 2,
            daemon_log: "info".to_owned(),
        }
    }
}

/// One daemon and its addresses.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The process.
    pub process: Process,
    /// Its entry in the VM list.
    pub vm: Vm,
}

impl DaemonProcess {
    /// The address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.vm.addr
    }

    /// The address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.vm.operators_addr.unwrap_or(self.vm.addr)
    }

    /// The `comfreymast` command against this daemon.
    #[must_use]
    pub fn cli(&self) -> Cli {
        Cli { operators: self.vm.operators_addr.unwrap_or(self.vm.addr) }
    }
}

/// One engine or plain server.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// Its entry in the VM list.
    pub vm: Vm,
}

/// A log, a VM list, daemons, engines and plain servers, all real processes.
#[derive(Debug)]
pub struct Fleet {
    spawner: Spawner,
    options: FleetOptions,
    folder: TempDir,
    /// The log service's process.
    pub log: Process,
    /// The VM list's process.
    pub vms: Process,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The engines.
    pub engines: Vec<UpstreamProcess>,
    /// The plain servers.
    pub servers: Vec<UpstreamProcess>,
}

impl Fleet {
    /// Starts a fleet and waits until it is settled; see [`Fleet::wait_until_settled`].
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub async fn start(spawner: &Spawner, options: FleetOptions) -> Result<Self, ProofError> {
        let folder = tempfile::tempdir()?;
        let mut fleet = Self {
            spawner: spawner.clone(),
            log: fake(&folder, "log", "log", &[])?,
            vms: fake(&folder, "vms", "vms", &[])?,
            folder,
            daemons: Vec::new(),
            engines: Vec::new(),
            servers: Vec::new(),
            options,
        };
        for index in 0..fleet.options.engines {
            let engine = fleet.start_engine(&format!("e{index}"))?;
            fleet.engines.push(engine);
        }
        for index in 0..fleet.options.servers {
            let server = fleet.start_server(&format!("s{index}"))?;
            fleet.servers.push(server);
        }
        for index in 0..fleet.options.daemons {
            let daemon = fleet.start_daemon(&format!("d{index}"))?;
            fleet.daemons.push(daemon);
        }
        fleet.publish_vms().await?;
        fleet.wait_until_settled().await?;
        Ok(fleet)
    }

    /// Starts one engine without adding it to the VM list.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub fn start_engine(&self, name: &str) -> Result<UpstreamProcess, ProofError> {
        let flags: Vec<_> = self.options.engine_flags.iter().map(String::as_str).collect();
        let process = fake(&self.folder, name, "engine", &flags)?;
        let vm = Vm {
            role: VmRole::Engine,
            models: vec![Model::from("m")],
            ..vm(name, addr(process.listening())?)
        };
        Ok(UpstreamProcess { process, vm })
    }

    /// Starts one plain server without adding it to the VM list.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub fn start_server(&self, name: &str) -> Result<UpstreamProcess, ProofError> {
        let process = fake(&self.folder, name, "service", &[])?;
        let vm = Vm {
            role: VmRole::Service,
            service: Some(Service::from("s")),
            ..vm(name, addr(process.listening())?)
        };
        Ok(UpstreamProcess { process, vm })
    }

    /// Starts one daemon without adding it to the VM list.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub fn start_daemon(&self, name: &str) -> Result<DaemonProcess, ProofError> {
        self.start_daemon_with_log(name, self.log.listening())
    }

    /// Starts one daemon that uses the log at `log_addr`, without adding it to the VM list.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub fn start_daemon_with_log(
        &self,
        name: &str,
        log_addr: &str,
    ) -> Result<DaemonProcess, ProofError> {
        let mut command = Command::new(program("comfreymast"));
        command.args(["daemon", "--name", name, "--data-centre", "dc1"]);
        command.args(["--log-addr", log_addr, "--vms-addr", self.vms.listening()]);
        for flag in ["--callers-addr", "--operators-addr", "--peers-addr"] {
            command.args([flag, "127.0.0.1:0"]);
        }
        command.args(["--threads", &self.options.daemon_threads.to_string()]);
        command.args(["--fleet-key", FLEET_KEY]);
        command.args(&self.options.daemon_flags);
        command.env("COMFREYMAST_OPERATOR_KEY", OPERATOR_KEY);
        // Prevents snapshots by age, which would come at any moment of a test. `daemon_flags` can
        // set another interval, since a flag overrides the environment.
        command.env("COMFREYMAST_SNAPSHOT_INTERVAL_MS", NO_SNAPSHOT_MS);
        command.env("RUST_LOG", &self.options.daemon_log);
        command.envs(self.options.daemon_variables.iter().cloned());
        command.stderr(std::fs::File::create(self.folder.path().join(format!("{name}.err")))?);
        let process = Process::start(command)?;
        let listening = process.listening().to_owned();
        let mut addrs = listening.split(' ').map(|pair| {
            let (_, text) = pair.split_once('=').unwrap_or_default();
            addr(text)
        });
        let mut next = || addrs.next().unwrap_or_else(|| addr(""));
        let (callers, operators, peers) = (next()?, next()?, next()?);
        let vm =
            Vm { operators_addr: Some(operators), peers_addr: Some(peers), ..vm(name, callers) };
        Ok(DaemonProcess { process, vm })
    }

    /// Replaces the VM list by the daemons, engines and servers of this fleet.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub async fn publish_vms(&self) -> Result<(), ProofError> {
        let upstreams = self.engines.iter().chain(&self.servers).map(|upstream| &upstream.vm);
        let daemons = self.daemons.iter().map(|daemon| &daemon.vm);
        let list: Vec<_> = daemons.chain(upstreams).collect();
        let addr = addr(self.vms.listening())?;
        let request = request(addr, "PUT", "/vms", json(&list));
        call(&self.spawner, addr, request, CALL_LIMIT_MS, MAX_REPLY_BYTES).await?;
        Ok(())
    }

    /// Waits until every daemon is ready, has all others as live peers and lists all upstreams.
    ///
    /// # Errors
    ///
    /// [`ProofError::NotSeen`].
    pub async fn wait_until_settled(&self) -> Result<(), ProofError> {
        let peers = self.daemons.len() - 1;
        let upstreams = self.engines.len() + self.servers.len();
        for daemon in &self.daemons {
            self.wait_for("a settled fleet", || {
                let status = daemon.cli().run(&["status", "--format", "json"]);
                let status = status.map(|output| output.stdout).unwrap_or_default();
                let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
                status["ready"] == true
                    && status["live_peers"].as_array().map(Vec::len) == Some(peers)
                    && status["upstreams"] == upstreams
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the async condition `seen` is true, which may make calls to the fleet.
    ///
    /// # Errors
    ///
    /// [`ProofError::NotSeen`].
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        what: &str,
        mut seen: impl FnMut() -> F,
    ) -> Result<(), ProofError> {
        let clock = comfreymast_base::Clock::system();
        while !seen().await {
            if clock.now_ms() > WAIT_LIMIT_MS {
                let what = what.to_owned();
                return Err(ProofError::NotSeen { what, limit_ms: WAIT_LIMIT_MS });
            }
            sleep_ms(POLL_MS).await;
        }
        Ok(())
    }

    /// Waits until the condition `seen` is true.
    ///
    /// # Errors
    ///
    /// [`ProofError::NotSeen`].
    pub async fn wait_for(&self, what: &str, seen: impl Fn() -> bool) -> Result<(), ProofError> {
        let clock = comfreymast_base::Clock::system();
        while !seen() {
            if clock.now_ms() > WAIT_LIMIT_MS {
                let what = what.to_owned();
                return Err(ProofError::NotSeen { what, limit_ms: WAIT_LIMIT_MS });
            }
            sleep_ms(POLL_MS).await;
        }
        Ok(())
    }

    /// Writes `document` to a file and publishes it through daemon `index`.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub fn put_contract(
        &self,
        index: usize,
        document: &str,
        flags: &[&str],
    ) -> Result<crate::CliOutput, ProofError> {
        let path = self.path("contract.toml");
        std::fs::write(&path, document)?;
        let path = path.to_string_lossy().into_owned();
        let mut args = vec!["contract", "put", path.as_str()];
        args.extend(flags);
        self.daemons[index].cli().run(&args)
    }

    /// Sets the faults of a fake.
    ///
    /// # Errors
    ///
    /// Any [`ProofError`].
    pub async fn set_faults(
        &self,
        process: &Process,
        faults: &impl Serialize,
    ) -> Result<(), ProofError> {
        set_faults(&self.spawner, addr(process.listening())?, faults).await
    }

    /// A page of a fake as JSON; null if it cannot be read.
    pub async fn page(&self, process: &Process, path: &str) -> serde_json::Value {
        let Ok(addr) = addr(process.listening()) else { return serde_json::Value::Null };
        let page = get(&self.spawner, addr, path).await.unwrap_or_default();
        serde_json::from_slice(&page).unwrap_or(serde_json::Value::Null)
    }

    /// The path of a file of this fleet. `history` holds the events of all fakes and recorded
    /// callers, `NAME.err` the standard error of a process.
    #[must_use]
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Opens the history of this fleet for writing under the name `source`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when the file cannot be opened.
    pub fn history(&self, source: &str) -> Result<History, ProofError> {
        Ok(History::open(source, Some(&self.path("history")))?)
    }

    /// The lines of the history so far.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        parse(&self.read("history"))
    }

    /// The text of a file of this fleet; empty if it cannot be read.
    #[must_use]
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(name)).unwrap_or_default()
    }

    /// True when a daemon's port for operators answers `path` with success.
    pub async fn answers_ok(&self, daemon: &DaemonProcess, path: &str) -> bool {
        let Some(addr) = daemon.vm.operators_addr else { return false };
        let request = request(addr, "GET", path, empty());
        let answer = call(&self.spawner, addr, request, CALL_LIMIT_MS, MAX_REPLY_BYTES).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

fn fake(folder: &TempDir, name: &str, role: &str, flags: &[&str]) -> Result<Process, ProofError> {
    let mut command = Command::new(program("comfreymast-fakes"));
    command.args(["--name", name, "--history"]).arg(folder.path().join("history"));
    command.arg(role).args(flags);
    command.stderr(std::fs::File::create(folder.path().join(format!("{name}.err")))?);
    Process::start(command)
}

fn addr(text: &str) -> Result<SocketAddr, ProofError> {
    text.parse().map_err(|_| ProofError::NotStarted {
        program: "a process".to_owned(),
        output: text.to_owned(),
    })
}

fn vm(name: &str, addr: SocketAddr) -> Vm {
    Vm {
        name: name.to_owned(),
        role: VmRole::Daemon,
        data_centre: DataCentre::from("dc1"),
        addr,
        peers_addr: None,
        operators_addr: None,
        models: Vec::new(),
        service: None,
        state: VmState::Live,
    }
}
