//! Machines of the system: one process each, started as the deploy file says.

use std::fs::{self, File};
use std::io::{BufReader, Error, ErrorKind, Result, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_head;
use crate::process::signal;

/// What the machines of a case have in common.
#[derive(Clone)]
pub struct Fleet {
    /// The program, as `deploy/system.toml` builds it.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    /// The first port for messages between daemons, the same on all machines.
    pub peer_port: u16,
    /// The zones, for the settings.
    pub zones: Vec<&'static str>,
    /// The addresses that the settings name as seeds.
    pub seeds: Vec<String>,
}

impl Fleet {
    /// A fleet whose processes run `COMFREYMAST`, in a temporary folder.
    pub fn new(zones: &[&'static str]) -> Result<Self> {
        let program = std::env::var_os("COMFREYMAST").ok_or(Error::from(ErrorKind::NotFound))?;
        let folder = std::env::var_os("CASE_TMP").ok_or(Error::from(ErrorKind::NotFound))?;
        Ok(Self {
            program: program.into(),
            folder: folder.into(),
            peer_port: free_peer_port()?,
            zones: zones.to_vec(),
            seeds: Vec::new(),
        })
    }

    /// Starts a machine.
    pub fn start(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
    ) -> Result<Machine> {
        let ip = IpAddr::V4(ip);
        let [front, ready, control] = free_ports(ip)?;
        let zones: Vec<_> = self.zones.iter().map(|zone| format!("\"{zone}\":\"r\"")).collect();
        let seeds: Vec<_> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (zones, seeds) = (zones.join(","), seeds.join(","));
        let (first, last) = (self.peer_port, self.peer_port + 15);
        let settings = format!(
            "{{\"node\":\"{name}\",\"role\":\"daemon\",\"machineClass\":\"front\",\
             \"serves\":[\"front\",\"control\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"r\",\"zones\":{{{zones}}},\"listen\":{{\"front\":\"{ip}:{front}\",\
             \"ready\":\"{ip}:{ready}\",\"control\":\"{ip}:{control}\"}},\
             \"portRange\":[{first},{last}],\"seeds\":[{seeds}],\"bootstrap\":true,\
             \"countsAsLoss\":false,\"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":110,\
             \"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\
             \"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\
             \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\
             \"configApplyMs\":2000,\"rollbackSlackMs\":250,\"maxSkewMs\":5000,\
             \"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"budgetSlack\":58,\"recoverS\":12,\
             \"passMs\":120,\"againS\":5.3}},\"platform\":{{\"address\":\"{store}\",\
             \"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,\"parts\":12,\
             \"appendMs\":2.0,\"partitionMbS\":20.0,\"readMbS\":80.0,\"recordBytes\":262144,\
             \"callBytes\":2097152,\"keep_s\":300,\"partMb\":200,\"ttlMinMs\":1000}}}}"
        );
        let settings_path = self.folder.join(format!("{name}.json"));
        fs::write(&settings_path, settings)?;
        let mut machine = Machine {
            name: name.to_owned(),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            program: self.program.clone(),
            log_path: self.folder.join(format!("{name}.log")),
            settings_path,
            process: None,
        };
        machine.start()?;
        Ok(machine)
    }
}

/// A machine and its process, which is killed when this is dropped.
pub struct Machine {
    pub name: String,
    /// Where clients connect.
    pub front: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    process: Option<Child>,
}

impl Machine {
    /// Starts the process, again if it has ended.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log_path)?;
        let process = Command::new(&self.program)
            .args(["serve", "--metrics-port", "7200"])
            .env_clear()
            .env("COMFREYMAST_SETTINGS", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal to the process, such as `STOP`.
    pub fn signal(&self, name: &str) -> Result<()> {
        let process = self.process.as_ref().ok_or(Error::from(ErrorKind::NotFound))?;
        signal(process, name)
    }

    /// The memory that the process has resident, in bytes; 0 if it has ended.
    pub fn resident_bytes(&self) -> u64 {
        let Some(process) = &self.process else { return 0 };
        let path = format!("/proc/{}/status", process.id());
        let status = fs::read_to_string(Path::new(&path)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let last = log.lines().next_back().unwrap_or("no log");
        Err(Error::new(ErrorKind::TimedOut, format!("{} is not ready: {last}", self.name)))
    }

    fn is_ready(&self) -> Result<bool> {
        let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let head = read_head(&mut BufReader::new(stream))?;
        Ok(head.is_some_and(|head| head.status() == 200))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The loopback address of a machine. Differs between cases that are played at the same time.
pub fn loopback(zone: usize, number: u8) -> Ipv4Addr {
    const FIRST: u32 = 16;
    const COUNT: u32 = 200;
    let case = FIRST + std::process::id() % COUNT;
    Ipv4Addr::new(127, case as u8, zone as u8 + 1, number)
}

/// A port for messages between daemons, below those that the system hands out by itself.
fn free_peer_port() -> Result<u16> {
    const FIRST: u32 = 20_000;
    const COUNT: u32 = 600;
    const SPAN: u32 = 16;
    let drawn = (0..COUNT).map(|step| FIRST + (std::process::id() + step) % COUNT * SPAN);
    let mut ports = drawn.filter_map(|port| u16::try_from(port).ok());
    let is_free = |port: &u16| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok();
    ports.find(is_free).ok_or(Error::from(ErrorKind::AddrInUse))
}

/// Different ports that are free at `ip`.
fn free_ports<const COUNT: usize>(ip: IpAddr) -> Result<[u16; COUNT]> {
    let mut ports = [0; COUNT];
    // Each stays taken until all are found.
    let mut listeners = Vec::new();
    for port in &mut ports {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}
