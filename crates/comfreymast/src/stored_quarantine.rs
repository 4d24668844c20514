use std::net::SocketAddr;

use comfreymast_base::hex;
use comfreymast_decide::quarantine::{Fingerprint, part_id};
use comfreymast_net::Spawner;
use comfreymast_platform::{KeyedRecord, StoreClient, StoreError, Topic};
use comfreymast_wire::news::Suspect;
use prost::Message;
use serde::Serialize;

use crate::failure::Failure;
use crate::flags::QuarantineCmd;
use crate::output::Format;

const THREADS: usize = 1;

/// A request that daemons on the platform suspect or refuse.
#[derive(Debug, Serialize)]
struct StoredView {
    fingerprint: String,
    /// The parts of prompts that it stands for; none for a whole request.
    parts: Vec<String>,
    /// True if it is refused; false if it is only suspected.
    quarantined: bool,
    /// The upstreams that ended while they ran it.
    deaths: Vec<String>,
    daemon: String,
    written_unix_ms: u64,
}

/// Runs the subcommands of `comfreymast quarantine --store`.
pub(crate) fn run(store: &str, command: &QuarantineCmd, format: Format) -> Result<(), Failure> {
    let addr =
        store.parse().map_err(|_| Failure::Usage { flag: "--store", rule: "must be IP:PORT" })?;
    match command {
        QuarantineCmd::ListQuarantined(_) => list(addr, format),
        QuarantineCmd::Lift(lift) => {
            delete(addr, &lift.fingerprint)?;
            format.print_done("the quarantine is lifted")
        }
    }
}

fn list(addr: SocketAddr, format: Format) -> Result<(), Failure> {
    let views: Vec<_> = read(addr)?.into_iter().filter_map(view).collect();
    let row = |view: &StoredView| {
        vec![
            view.fingerprint.clone(),
            view.parts.join(","),
            if view.quarantined { "quarantined" } else { "suspected" }.to_owned(),
            view.deaths.len().to_string(),
            view.daemon.clone(),
            view.written_unix_ms.to_string(),
        ]
    };
    let rows: Vec<_> = views.iter().map(row).collect();
    format.print(&views, &["FINGERPRINT", "PARTS", "STATUS", "DEATHS", "DAEMON", "UNIX_MS"], &rows)
}

/// Deletes the record of a request, which lifts its quarantine on all daemons.
fn delete(addr: SocketAddr, fingerprint: &str) -> Result<(), Failure> {
    let is_known = read(addr)?.iter().any(|record| record.key == fingerprint);
    if !is_known {
        return Err(Failure::NotQuarantined { fingerprint: fingerprint.to_owned() });
    }
    let put = async |mut store: StoreClient| store.put(Topic::Quarantines, fingerprint, &[]).await;
    with_store(addr, put).map_err(|failure| match failure {
        Failure::Store(error) if !is_certain(&error) => Failure::StoreUnknown(error),
        certain => certain,
    })
}

/// True if a failed call has certainly had no effect.
fn is_certain(error: &StoreError) -> bool {
    matches!(error, StoreError::Open(_) | StoreError::Refused(_))
}

fn read(addr: SocketAddr) -> Result<Vec<KeyedRecord>, Failure> {
    with_store(addr, async |mut store| {
        store.newest(Topic::Quarantines).await.map(|newest| newest.records)
    })
}

fn with_store<T>(
    addr: SocketAddr,
    call: impl AsyncFnOnce(StoreClient) -> Result<T, StoreError>,
) -> Result<T, Failure> {
    Spawner::run(THREADS, async |spawner| call(StoreClient::new(spawner, addr)).await)
        .map_err(Failure::Store)
}

fn view(record: KeyedRecord) -> Option<StoredView> {
    let suspect = Suspect::decode(record.value?).ok()?;
    let key: Option<Fingerprint> = hex::decode(&record.key);
    let members = suspect.members.iter().filter_map(|member| member[..].try_into().ok());
    let parts = key.into_iter().chain(members);
    Some(StoredView {
        parts: parts.filter_map(|one: Fingerprint| part_id(&one).map(str::to_owned)).collect(),
        fingerprint: record.key,
        quarantined: suspect.is_quarantined,
        deaths: suspect.deaths,
        daemon: suspect.daemon,
        written_unix_ms: suspect.written_unix_ms,
    })
}
