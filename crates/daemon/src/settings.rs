use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use comfreymast_base::{DaemonName, DataCentre};
use derive_more::{Display, Error};

/// One setting: a flag of `comfreymast daemon` and an environment variable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// The flag without its dashes, such as `log-addr`.
    pub flag: &'static str,
    /// The default value; `None` for a required setting.
    pub default: Option<&'static str>,
    /// The help text, with the unit or the valid range if there is one.
    pub help: &'static str,
}

impl SettingSpec {
    /// The environment variable, such as `COMFREYMAST_LOG_ADDR`.
    #[must_use]
    pub fn env(&self) -> String {
        format!("COMFREYMAST_{}", self.flag.replace('-', "_").to_uppercase())
    }
}

const fn required(flag: &'static str, help: &'static str) -> SettingSpec {
    SettingSpec { flag, default: None, help }
}

const fn optional(flag: &'static str, default: &'static str, help: &'static str) -> SettingSpec {
    SettingSpec { flag, default: Some(default), help }
}

/// Every setting, in the order of the help text.
pub const SETTINGS: [SettingSpec; 26] = [
    required("name", "The name of this VM, as the VM list has it"),
    required("data-centre", "The data centre of this VM"),
    required("log-addr", "The platform's log service, IP:PORT"),
    required("vms-addr", "The platform's VM list, IP:PORT"),
    required("operator-key", "The bearer key of the operators' port, 16 bytes or more"),
    required("fleet-key", "The secret that daemons prove to each other, 16 bytes or more"),
    optional("callers-addr", "0.0.0.0:8080", "Where callers connect, IP:PORT"),
    optional("operators-addr", "0.0.0.0:8081", "Where operators connect, IP:PORT"),
    optional("peers-addr", "0.0.0.0:8082", "Where other daemons connect, IP:PORT"),
    optional("threads", "4", "Executor threads, 1 to 256"),
    optional("heartbeat-interval-ms", "250", "Time between heartbeats to peers, 20 to 10000"),
    optional("vms-interval-ms", "500", "Time between reads of the VM list, 20 to 10000"),
    optional(
        "snapshot-interval-ms",
        "3600000",
        "Time between snapshots on the log, 100 to 604800000; at most a third of its retention",
    ),
    optional("snapshot-records", "100000", "Records between snapshots on the log, 10 to 100000000"),
    optional("load-interval-ms", "200", "Time between load reports of an engine, 20 to 10000"),
    optional("silence-ms", "5000", "How long an open stream may say nothing, 100 to 600000"),
    optional("call-limit-ms", "30000", "How long a plain service may take, 100 to 600000"),
    optional("header-timeout-ms", "10000", "How long a request's head may take, 100 to 600000"),
    optional("body-timeout-ms", "30000", "How long a request's body may take, 100 to 600000"),
    optional("keepalive-ms", "10000", "Time between comments on a quiet stream, 100 to 600000"),
    optional("reader-stall-ms", "30000", "How long a caller may leave data unread, 100 to 600000"),
    optional("drain-grace-ms", "5000", "Time to serve on while not ready, 0 to 600000"),
    optional("drain-limit-ms", "300000", "When a drain hands streams over, 0 to 86400000"),
    optional("max-body-bytes", "4194304", "The longest request body, 1024 to 268435456"),
    optional("memory-mb", "512", "The memory of this VM in MB, 16 to 1048576"),
    optional("max-fds", "32768", "The descriptors it may have open, 64 to 1048576"),
];

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of this VM, as the VM list has it.
    pub name: DaemonName,
    /// The data centre of this VM.
    pub data_centre: DataCentre,
    /// The platform's log service.
    pub log_addr: SocketAddr,
    /// The platform's VM list.
    pub vms_addr: SocketAddr,
    /// The bearer key of the operators' port.
    pub operator_key: Secret,
    /// The secret by which daemons authenticate to each other; it also seals readers' cursors.
    pub fleet_key: Secret,
    /// The address for callers.
    pub callers_addr: SocketAddr,
    /// The address for operators.
    pub operators_addr: SocketAddr,
    /// The address for other daemons.
    pub peers_addr: SocketAddr,
    /// The number of executor threads.
    pub threads: usize,
    /// Time between heartbeats to peers.
    pub heartbeat_interval_ms: u64,
    /// Time between reads of the VM list.
    pub vms_interval_ms: u64,
    /// Time between snapshots on the log.
    pub snapshot_interval_ms: u64,
    /// Records between snapshots on the log.
    pub snapshot_records: u64,
    /// Time between load reports of an engine.
    pub load_interval_ms: u64,
    /// How long an open stream of an upstream may be silent.
    pub silence_ms: u64,
    /// How long a plain service may take to answer.
    pub call_limit_ms: u64,
    /// How long the head of a request may take to arrive, and how long a connection may be idle
    /// before it.
    pub header_timeout_ms: u64,
    /// How long the body of a request may take to arrive.
    pub body_timeout_ms: u64,
    /// Time between keep-alive comments on a stream that has no token to send.
    pub keepalive_ms: u64,
    /// How long a caller may leave data unread before its connection is closed.
    pub reader_stall_ms: u64,
    /// How long a draining daemon still accepts new work, so that the load balancer has time to
    /// notice that it is not ready.
    pub drain_grace_ms: u64,
    /// How long a drain waits for open streams before it hands them over.
    pub drain_limit_ms: u64,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The memory that the process may use.
    pub memory_bytes: u64,
    /// How many descriptors the process may have open.
    pub max_descriptors: usize,
}

/// A secret that is redacted in debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret in plain text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A missing or invalid setting.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("--{flag} (or {env}): {rule}{}", found.as_ref().map(|found| format!(", found {found:?}")).unwrap_or_default())]
pub struct InvalidSetting {
    /// The flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub env: String,
    /// The rule that the value violates.
    pub rule: String,
    /// The value found; `None` if it is missing or secret.
    pub found: Option<String>,
}

impl Settings {
    /// Reads every setting from `lookup`, which returns the raw value of a setting if it is given.
    ///
    /// # Errors
    ///
    /// All invalid settings, not only the first.
    pub fn read(
        lookup: impl Fn(&SettingSpec) -> Option<String>,
    ) -> Result<Self, Vec<InvalidSetting>> {
        let mut reader = Reader { lookup: &lookup, errors: Vec::new() };
        let settings = reader.settings();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }
}

const BYTES_PER_MB: u64 = 1_000_000;
const MIN_SECRET_BYTES: usize = 16;
const INTERVAL_MS: std::ops::RangeInclusive<u64> = 20..=10_000;

/// The flags of the addresses that a daemon listens on.
const LISTENER_FLAGS: [&str; 3] = ["callers-addr", "operators-addr", "peers-addr"];

/// True when two listeners cannot be open at the same time. With port 0 the system chooses one.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let same_ip =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip
}

struct Reader<'a> {
    lookup: &'a dyn Fn(&SettingSpec) -> Option<String>,
    errors: Vec<InvalidSetting>,
}

impl Reader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        // Every setting is read before the first `?`, so that all errors are collected.
        let name = self.name("name");
        let data_centre = self.name("data-centre");
        let log_addr = self.addr("log-addr");
        let vms_addr = self.addr("vms-addr");
        let operator_key = self.secret("operator-key");
        let fleet_key = self.secret("fleet-key");
        let callers_addr = self.addr("callers-addr");
        let operators_addr = self.addr("operators-addr");
        let peers_addr = self.addr("peers-addr");
        self.check_distinct(&[callers_addr, operators_addr, peers_addr]);
        let threads = self.number("threads", 1..=256);
        let heartbeat_interval_ms = self.number("heartbeat-interval-ms", INTERVAL_MS);
        let vms_interval_ms = self.number("vms-interval-ms", INTERVAL_MS);
        let snapshot_interval_ms = self.number("snapshot-interval-ms", 100..=604_800_000);
        let snapshot_records = self.number("snapshot-records", 10..=100_000_000);
        let load_interval_ms = self.number("load-interval-ms", INTERVAL_MS);
        let silence_ms = self.number("silence-ms", 100..=600_000);
        let call_limit_ms = self.number("call-limit-ms", 100..=600_000);
        let header_timeout_ms = self.number("header-timeout-ms", 100..=600_000);
        let body_timeout_ms = self.number("body-timeout-ms", 100..=600_000);
        let keepalive_ms = self.number("keepalive-ms", 100..=600_000);
        let reader_stall_ms = self.number("reader-stall-ms", 100..=600_000);
        let drain_grace_ms = self.number("drain-grace-ms", 0..=600_000);
        let drain_limit_ms = self.number("drain-limit-ms", 0..=86_400_000);
        let max_body_bytes = self.number("max-body-bytes", 1_024..=268_435_456);
        let memory_mb = self.number("memory-mb", 16..=1_048_576);
        let max_descriptors = self.number("max-fds", 64..=1_048_576);
        Some(Settings {
            name: DaemonName::from(name?),
            data_centre: DataCentre::from(data_centre?),
            log_addr: log_addr?,
            vms_addr: vms_addr?,
            operator_key: operator_key?,
            fleet_key: fleet_key?,
            callers_addr: callers_addr?,
            operators_addr: operators_addr?,
            peers_addr: peers_addr?,
            threads: usize::try_from(threads?).ok()?,
            heartbeat_interval_ms: heartbeat_interval_ms?,
            vms_interval_ms: vms_interval_ms?,
            snapshot_interval_ms: snapshot_interval_ms?,
            snapshot_records: snapshot_records?,
            load_interval_ms: load_interval_ms?,
            silence_ms: silence_ms?,
            call_limit_ms: call_limit_ms?,
            header_timeout_ms: header_timeout_ms?,
            body_timeout_ms: body_timeout_ms?,
            keepalive_ms: keepalive_ms?,
            reader_stall_ms: reader_stall_ms?,
            drain_grace_ms: drain_grace_ms?,
            drain_limit_ms: drain_limit_ms?,
            max_body_bytes: usize::try_from(max_body_bytes?).ok()?,
            memory_bytes: memory_mb? * BYTES_PER_MB,
            max_descriptors: usize::try_from(max_descriptors?).ok()?,
        })
    }

    fn text(&mut self, flag: &'static str) -> Option<(SettingSpec, String)> {
        let spec = *SETTINGS.iter().find(|spec| spec.flag == flag)?;
        let given = (self.lookup)(&spec).or_else(|| spec.default.map(str::to_owned));
        if given.is_none() {
            self.report(spec, "is required".to_owned(), None);
        }
        given.map(|text| (spec, text))
    }

    fn report(&mut self, spec: SettingSpec, rule: String, found: Option<String>) {
        self.errors.push(InvalidSetting { flag: spec.flag, env: spec.env(), rule, found });
    }

    fn name(&mut self, flag: &'static str) -> Option<String> {
        let (spec, text) = self.text(flag)?;
        if text.is_empty() || text.contains(char::is_whitespace) {
            self.report(spec, "must be a name without spaces".to_owned(), Some(text));
            return None;
        }
        Some(text)
    }

    fn secret(&mut self, flag: &'static str) -> Option<Secret> {
        let (spec, text) = self.text(flag)?;
        if text.len() < MIN_SECRET_BYTES {
            self.report(spec, format!("must have at least {MIN_SECRET_BYTES} bytes"), None);
            return None;
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            self.report(spec, "must be printable ASCII without spaces".to_owned(), None);
            return None;
        }
        Some(Secret(text))
    }

    fn addr(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let (spec, text) = self.text(flag)?;
        let addr = SocketAddr::from_str(&text);
        if addr.is_err() {
            self.report(spec, "must be IP:PORT".to_owned(), Some(text));
        }
        addr.ok()
    }

    /// Checks that no listener's address conflicts with an earlier one.
    fn check_distinct(&mut self, addrs: &[Option<SocketAddr>; LISTENER_FLAGS.len()]) {
        for (index, flag) in LISTENER_FLAGS.iter().enumerate() {
            let Some(addr) = addrs[index] else { continue };
            let earlier = addrs[..index].iter().flatten();
            let taken = earlier.into_iter().any(|earlier| overlap(*earlier, addr));
            if let (true, Some((spec, text))) = (taken, self.text(flag)) {
                let rule = "must not be a port that this daemon opens already";
                self.report(spec, rule.to_owned(), Some(text));
            }
        }
    }

    fn number(&mut self, flag: &'static str, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
        let (spec, text) = self.text(flag)?;
        let number = text.parse().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let rule = format!("must be a number from {} to {}", range.start(), range.end());
            self.report(spec, rule, Some(text));
        }
        number
    }
}
