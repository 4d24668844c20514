use std::net::SocketAddr;
use std::ops::Range;

use bytes::Bytes;
use comfreymast_base::{DataCentre, Model, OperationId};
use comfreymast_contract::KeyHash;
use comfreymast_net::{Spawner, call, json, request, sleep_ms};
use comfreymast_platform::{LogClient, Vm, VmRole, VmState};
use comfreymast_proof::{Client, DaemonProcess, Fleet, FleetOptions, OPERATOR_KEY};
use comfreymast_wire::log::{ContractChange, Record, record};
use prost::Message;

use crate::failure::Failure;

/// The bearer key of organisation 0.
pub(crate) const KEY: &str = "key-of-organisation-0";
/// The model that benches request.
pub(crate) const MODEL: &str = "m";

const FIRST_REPORT_WAIT_MS: u64 = 2_000;
const CALL_LIMIT_MS: u64 = 60_000;
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const RECORDS_PER_APPEND: u32 = 100;
const READY_POLL_MS: u64 = 2;

/// Daemons with default intervals, in front of upstreams that this process serves itself.
#[derive(Debug)]
pub(crate) struct BenchFleet {
    spawner: Spawner,
    /// The processes.
    pub(crate) fleet: Fleet,
}

impl BenchFleet {
    /// Starts `daemons` daemons with `threads` executor threads each.
    pub(crate) async fn start(
        spawner: &Spawner,
        daemons: usize,
        threads: u32,
    ) -> Result<Self, Failure> {
        let options = FleetOptions {
            daemons,
            engines: 0,
            servers: 0,
            daemon_flags: Vec::new(),
            daemon_threads: threads,
            daemon_log: "warn".to_owned(),
            ..FleetOptions::default()
        };
        Ok(Self { spawner: spawner.clone(), fleet: Fleet::start(spawner, options).await? })
    }

    /// The daemon at `index`.
    pub(crate) fn daemon(&self, index: usize) -> &DaemonProcess {
        &self.fleet.daemons[index]
    }

    /// Publishes a VM list with the daemons and `engines` engines that all listen on `addr`, and
    /// waits until every daemon knows them. Returns the size of the list in bytes.
    pub(crate) async fn publish_vm_list(
        &self,
        engines: usize,
        addr: SocketAddr,
    ) -> Result<usize, Failure> {
        let mut list: Vec<_> = self.fleet.daemons.iter().map(|daemon| daemon.vm.clone()).collect();
        list.extend((0..engines).map(|index| engine(index, addr)));
        let list_bytes = serde_json::to_vec(&list).map_or(0, |list| list.len());
        let vms = self.parse_addr(self.fleet.vms.listening())?;
        let put = request(vms, "PUT", "/vms", json(&list));
        call(&self.spawner, vms, put, CALL_LIMIT_MS, MAX_REPLY_BYTES).await?;
        self.wait_for_status("upstreams", engines).await?;
        // Until an engine has reported its load, a daemon starts only a few generations on it.
        sleep_ms(FIRST_REPORT_WAIT_MS).await;
        Ok(list_bytes)
    }

    /// Appends the contracts of `organisations` directly to the log and waits until they are in
    /// force at all daemons. Returns the size of their records in bytes.
    pub(crate) async fn publish_contracts(
        &self,
        organisations: Range<u32>,
    ) -> Result<usize, Failure> {
        let total = usize::try_from(organisations.end).unwrap_or(usize::MAX);
        let bytes = self.append_contracts(organisations).await?;
        self.wait_for_status("contracts", total).await?;
        Ok(bytes)
    }

    /// Appends the contracts of `organisations` to the log. Returns the size of their records in
    /// bytes.
    pub(crate) async fn append_contracts(
        &self,
        organisations: Range<u32>,
    ) -> Result<usize, Failure> {
        let log_addr = self.parse_addr(self.fleet.log.listening())?;
        let log = LogClient::new(self.spawner.clone(), log_addr, CALL_LIMIT_MS);
        let mut bytes = 0;
        let mut first = organisations.start;
        while first < organisations.end {
            let end = organisations.end.min(first + RECORDS_PER_APPEND);
            let records: Vec<_> = (first..end).map(contract_record).collect();
            bytes += records.iter().map(Bytes::len).sum::<usize>();
            log.append(records).await?;
            first = end;
        }
        Ok(bytes)
    }

    /// Starts one more daemon and waits until it is ready.
    pub(crate) async fn add_daemon(&mut self, name: &str) -> Result<(), Failure> {
        let daemon = self.fleet.start_daemon(name)?;
        while !self.fleet.answers_ok(&daemon, "/readyz").await {
            sleep_ms(READY_POLL_MS).await;
        }
        self.fleet.daemons.push(daemon);
        Ok(())
    }

    /// Waits until `field` in the status of every daemon is `value`.
    pub(crate) async fn wait_for_status(&self, field: &str, value: usize) -> Result<(), Failure> {
        for daemon in &self.fleet.daemons {
            let has_value = || status(daemon)[field] == value;
            self.fleet.wait_for(field, has_value).await?;
        }
        Ok(())
    }

    /// A client with the key of organisation 0.
    pub(crate) fn client(&self) -> Client {
        Client::new(&self.spawner, KEY)
    }

    /// Bytes of control traffic that the daemon at `index` sent and received in `role`.
    pub(crate) async fn control_bytes(&self, index: usize, role: &str) -> Result<f64, Failure> {
        self.counter(index, "comfreymast_control_bytes_total", role).await
    }

    /// Control messages that the daemon at `index` sent and received in `role`.
    pub(crate) async fn control_messages(&self, index: usize, role: &str) -> Result<f64, Failure> {
        self.counter(index, "comfreymast_control_messages_total", role).await
    }

    async fn counter(&self, index: usize, name: &str, role: &str) -> Result<f64, Failure> {
        let operator = Client::new(&self.spawner, OPERATOR_KEY);
        let daemon = &self.daemon(index).vm;
        let addr = daemon.operators_addr.unwrap_or(daemon.addr);
        let metrics = operator.call(addr, "GET", "/metrics", &[], "").await?;
        let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
        let role = format!("role=\"{role}\"");
        let lines = metrics.lines().filter(|line| line.starts_with(name) && line.contains(&role));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    fn parse_addr(&self, text: &str) -> Result<SocketAddr, Failure> {
        text.parse().map_err(|_| Failure::InvalidAddress { text: text.to_owned() })
    }
}

fn status(daemon: &DaemonProcess) -> serde_json::Value {
    let output = daemon.cli().run(&["status", "--format", "json"]);
    let output = output.map(|output| output.stdout).unwrap_or_default();
    serde_json::from_str(&output).unwrap_or_default()
}

fn engine(index: usize, addr: SocketAddr) -> Vm {
    Vm {
        name: format!("engine-{index:04}"),
        role: VmRole::Engine,
        data_centre: DataCentre::from("dc1"),
        addr,
        peers_addr: None,
        operators_addr: None,
        models: vec![Model::from(MODEL)],
        service: None,
        state: VmState::Live,
    }
}

/// The log record of one contract, as operators publish it.
pub(crate) fn contract_record(index: u32) -> Bytes {
    let key = KeyHash::of(&format!("key-of-organisation-{index}")).to_string();
    let organisation = format!("organisation-{index}");
    let document = include_str!("bench.toml").replace("NAME", &organisation).replace("HASH", &key);
    let change = ContractChange {
        organisation,
        base_revision: 0,
        document,
        author: "bench".to_owned(),
        published_unix_ms: 0,
    };
    let record = Record {
        operation_id: OperationId::random().to_vec().into(),
        body: Some(record::Body::Contract(change)),
    };
    Bytes::from(record.encode_to_vec())
}
