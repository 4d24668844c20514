use std::net::SocketAddr;

use bytes::Bytes;
use comfreymast_base::{DataCentre, Model, OperationId};
use comfreymast_contract::KeyHash;
use comfreymast_net::{Spawner, call, json, request};
use comfreymast_platform::{LogClient, Vm, VmRole, VmState};
use comfreymast_proof::{Client, DaemonProcess, Fleet, FleetOptions, OPERATOR_KEY};
use comfreymast_wire::log::{ContractChange, Record, record};
use prost::Message;

use crate::failure::Failure;

/// The bearer key of organisation 0.
pub(crate) const KEY: &str = "key-of-organisation-0";
/// The model that benches ask for.
pub(crate) const MODEL: &str = "m";

const CALL_LIMIT_MS: u64 = 60_000;
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const APPEND_RECORDS: u32 = 100;

/// Daemons on the default intervals before upstreams that this process serves itself.
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

    /// Lists the daemons and `engines` engines that all listen on `addr`; waits until every daemon
    /// knows them.
    pub(crate) async fn list_engines(
        &self,
        engines: usize,
        addr: SocketAddr,
    ) -> Result<usize, Failure> {
        let mut list: Vec<_> = self.fleet.daemons.iter().map(|daemon| daemon.vm.clone()).collect();
        list.extend((0..engines).map(|index| engine(index, addr)));
        let list_bytes = serde_json::to_vec(&list).map_or(0, |list| list.len());
        let vms = self.address(self.fleet.vms.listening())?;
        let put = request(vms, "PUT", "/vms", json(&list));
        call(&self.spawner, vms, put, CALL_LIMIT_MS, MAX_REPLY_BYTES).await?;
        self.wait_for_status("upstreams", engines).await?;
        Ok(list_bytes)
    }

    /// Appends the contracts of `organisations` straight to the log, and waits until all daemons
    /// have them in force. Returns the bytes of their records.
    pub(crate) async fn publish(
        &self,
        organisations: std::ops::Range<u32>,
    ) -> Result<usize, Failure> {
        let log_addr = self.address(self.fleet.log.listening())?;
        let log = LogClient::new(self.spawner.clone(), log_addr, CALL_LIMIT_MS);
        let total = usize::try_from(organisations.end).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut first = organisations.start;
        while first < organisations.end {
            let last = organisations.end.min(first + APPEND_RECORDS);
            let records: Vec<_> = (first..last).map(contract_record).collect();
            bytes += records.iter().map(Bytes::len).sum::<usize>();
            log.append(records).await?;
            first = last;
        }
        self.wait_for_status("contracts", total).await?;
        Ok(bytes)
    }

    /// Waits until a number in the status of every daemon is `value`.
    pub(crate) async fn wait_for_status(&self, field: &str, value: usize) -> Result<(), Failure> {
        for daemon in &self.fleet.daemons {
            let seen = || status(daemon)[field] == value;
            self.fleet.wait_for(field, seen).await?;
        }
        Ok(())
    }

    /// A caller of organisation 0.
    pub(crate) fn client(&self) -> Client {
        Client::new(&self.spawner, KEY)
    }

    /// The value of a counter on the metrics page of a daemon, summed over its labels.
    pub(crate) async fn metric(&self, index: usize, name: &str) -> Result<f64, Failure> {
        let operator = Client::new(&self.spawner, OPERATOR_KEY);
        let daemon = &self.daemon(index).vm;
        let addr = daemon.operators_addr.unwrap_or(daemon.addr);
        let page = operator.call(addr, "GET", "/metrics", &[], "").await?;
        let page = String::from_utf8_lossy(&page.body).into_owned();
        let values = page.lines().filter(|line| line.starts_with(name));
        let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    fn address(&self, text: &str) -> Result<SocketAddr, Failure> {
        text.parse().map_err(|_| Failure::Address { text: text.to_owned() })
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

fn contract_record(index: u32) -> Bytes {
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
