//! Daemons as the platform runs them: the command of the deploy file, with the settings of a machine.

use std::fs::{self, File};
use std::io::{Error, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_head;

/// A machine of class `front`, and the process of its role.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub memory_mb: u64,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// What the settings of the machines of a deployment have in common.
pub struct Deployment {
    pub store: SocketAddr,
    pub folder: PathBuf,
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// The ports of a machine for messages between daemons.
const PEER_PORTS: u16 = 16;

/// Three different free ports of a loopback address.
fn free_ports(ip: &str) -> Result<[u16; 3]> {
    let bind = || TcpListener::bind((ip, 0));
    let [front, ready, control] = [bind()?, bind()?, bind()?];
    let port = |listener: TcpListener| -> Result<u16> { Ok(listener.local_addr()?.port()) };
    Ok([port(front)?, port(ready)?, port(control)?])
}

/// The first port of a range that is free on all machines, for connections and for datagrams.
fn common_port(ips: &[String]) -> Result<u16> {
    const FIRST: u16 = 20_000;
    const LAST: u16 = 30_000;
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            let ip = ip.as_str();
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        })
    };
    let range = (FIRST..LAST).step_by(usize::from(PEER_PORTS));
    let found = range.into_iter().find(|first| (*first..first + PEER_PORTS).all(is_free));
    found.ok_or_else(|| Error::other("no free ports"))
}

/// A new temporary folder.
pub fn temporary_folder() -> Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

impl Deployment {
    /// Machines with addresses of their own, all of them seeds; no process runs yet.
    pub fn machines(&self, count: u8) -> Result<Vec<Machine>> {
        let ips: Vec<_> = (1..=count).map(|number| format!("127.0.17.{number}")).collect();
        let mut ports = Vec::new();
        for ip in &ips {
            ports.push(free_ports(ip)?);
        }
        let peer_port = common_port(&ips)?;
        let seeds: Vec<_> = ips
            .iter()
            .zip(&ports)
            .map(|(ip, [_, _, control])| format!("\"{ip}:{control}\""))
            .collect();
        let seeds = seeds.join(",");
        let mut machines = Vec::new();
        for (ip, [front, ready, control]) in ips.iter().zip(&ports) {
            let name = format!("front-z1-{}", machines.len() + 1);
            let settings = self.folder.join(format!("{name}.json"));
            let text = self.settings(&name, ip, [*front, *ready, *control, peer_port], &seeds);
            fs::write(&settings, text)?;
            machines.push(Machine {
                front: format!("{ip}:{front}").parse().unwrap(),
                ready: format!("{ip}:{ready}").parse().unwrap(),
                memory_mb: self.memory_mb,
                log: self.folder.join(format!("{name}.log")),
                settings,
                name,
                process: None,
            });
        }
        Ok(machines)
    }

    /// The settings as the template of the deploy file renders them.
    fn settings(&self, name: &str, ip: &str, ports: [u16; 4], seeds: &str) -> String {
        let Self { store, memory_mb, max_fds, .. } = self;
        let [front, ready, control, first_peer_port] = ports;
        let last_peer_port = first_peer_port + PEER_PORTS - 1;
        format!(
            r#"{{"node":"{name}","role":"daemon","machineClass":"front","serves":["front","control"],
"ip":"{ip}","zone":"z1","region":"r1","zones":{{"z1":"r1"}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"portRange":[{first_peer_port},{last_peer_port}],"seeds":[{seeds}],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.12,"cores":1,"memoryMb":{memory_mb},"maxFds":{max_fds},"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":6000,"catchUpS":6,"drainMs":3000,"graceS":8,
"lossSlackMs":200,"configApplyMs":3000,"rollbackSlackMs":250,"maxSkewMs":6000,"revokeStrict":false,
"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":204,"recoverS":15,"passMs":200,
"againS":4.6}},
"platform":{{"address":"{store}","form":"log","writesPerS":1200,"readsPerS":6000,"parts":12,"appendMs":2.0,
"partitionMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,
"ttlMinMs":1000}}}}
"#
        )
    }
}

impl Machine {
    /// Starts its process with the command of the deploy file.
    pub fn start(&mut self, root: &Path) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(root.join("target/release/comfreymast"))
            .args(["serve", "--metrics-port", "7200"])
            .current_dir(root)
            .env_clear()
            .env("COMFREYMAST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Replaces a text in its settings file, and tells its process with SIGHUP that the file has changed.
    pub fn change_settings(&self, old: &str, new: &str) -> Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let changed = self.settings.with_extension("new");
        fs::write(&changed, text.replace(old, new))?;
        fs::rename(changed, &self.settings)?;
        self.signal("HUP")
    }

    /// Sends a signal to its process.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(process) = &self.process else { return Ok(()) };
        Command::new("kill").arg(format!("-{name}")).arg(process.id().to_string()).status()?;
        Ok(())
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// True if its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// The memory that its process holds for itself, in KiB: without pages of files.
    pub fn memory_kib(&self) -> u64 {
        let Some(process) = &self.process else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        number.unwrap_or(0)
    }

    /// The descriptors that its process has open.
    pub fn descriptors(&self) -> usize {
        let Some(process) = &self.process else { return 0 };
        fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count)
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> Result<bool> {
        const LIMIT: Duration = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&self.ready, LIMIT)?;
        stream.set_read_timeout(Some(LIMIT))?;
        write!(stream, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        Ok(read_head(&mut stream, &mut Vec::new())?.second_word() == "200")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The limits of a configuration, as the pages show them.
const LIMITS: &str = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;

/// The first configuration of the operator, with these routes, all of the service `svc`.
#[must_use]
pub fn configuration(routes: &str) -> String {
    configuration_version(1, routes, &["key-1"])
}

/// A version of the configuration with these routes, and these keys of the only tenant.
#[must_use]
pub fn configuration_version(version: u64, routes: &str, keys: &[&str]) -> String {
    let keys = keys.join("\",\"");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"svc","healthPath":"/health","maxConnections":690,"protocol":"h1","tls":false}}],"limits":{LIMITS},"tenants":[{{"name":"tenant-1","apiKeys":["{keys}"],"priority":1}}]}}"#
    )
}

/// A route of the service `svc`.
#[must_use]
pub fn route(prefix: &str, kind: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"r-{kind}","host":"a.example","pathPrefix":"/{prefix}/","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":300,"priority":1,"service":"svc","maxAttempts":1,"public":false}}"#
    )
}

/// The entry that a server of the service `svc` writes about itself.
#[must_use]
pub fn server_entry(addr: SocketAddr) -> String {
    format!(
        r#"{{"service":"svc","address":"{addr}","zone":"z1","version":"v1","slots":24,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
    )
}

/// The head of a client's request; its framing is left to `last_line`.
#[must_use]
pub fn request_head(path: &str, id: &str, deadline_ms: u64, last_line: &str) -> String {
    request_head_of("key-1", path, id, deadline_ms, last_line)
}

/// The head of a request with a certain key.
#[must_use]
pub fn request_head_of(
    key: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    last_line: &str,
) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {key}\r\n{last_line}\r\n\r\n"
    )
}

/// Sends a request with a body of five bytes on a new connection; the status of its answer.
pub fn ask(addr: SocketAddr, key: &str, path: &str, id: &str) -> Result<String> {
    const LIMIT: Duration = Duration::from_secs(2);
    let mut stream = TcpStream::connect_timeout(&addr, LIMIT)?;
    stream.set_read_timeout(Some(LIMIT))?;
    let head = request_head_of(key, path, id, 2_000, "Content-Length: 5");
    write!(stream, "{head}hello")?;
    Ok(read_head(&mut stream, &mut Vec::new())?.second_word().to_owned())
}

/// A route of the service `svc` whose streams may be resumed.
#[must_use]
pub fn resumable_route(prefix: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"r-resumable","host":"a.example","pathPrefix":"/{prefix}/","kind":"streaming","resumable":true,"timeoutMs":{timeout_ms},"targetLatencyMs":1500,"gapAimMs":180,"priority":0,"service":"svc","maxAttempts":2,"public":false,"sticky":true}}"#
    )
}

/// The first configuration, with these routes of the service `svc`, whose servers are engines.
#[must_use]
pub fn engine_configuration(routes: &str) -> String {
    let engine = r#""engine":{"slots":24,"kvCapacityTokens":21948,"kvTokenBytes":18432,"linkMbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}"#;
    let plain = r#""maxConnections":690,"#;
    configuration(routes).replace(plain, &format!("{plain}{engine},"))
}

/// The entry that an engine of the service `svc` writes about itself, with the version of its weights.
#[must_use]
pub fn engine_entry(addr: SocketAddr, weights: u32) -> String {
    let models =
        format!(r#""stage":"both","models":[{{"name":"m","version":{weights},"adapters":[]}}],"#);
    server_entry(addr).replace(r#""sequence""#, &format!("{models}\"sequence\""))
}
