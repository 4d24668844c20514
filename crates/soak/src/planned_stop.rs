//! The planned stop of one daemon, with requests that come late in its grace period.

use std::sync::Arc;

use async_net::TcpStream;
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{Spawner, sleep_ms, within};
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::daemon::{Daemon, GRACE_MS};
use crate::run::wait_until_all_serve;
use crate::site::{HOST, KEY, Site, TIMEOUT_MS, TOKENS};
use crate::{Kind, SoakError, SoakOptions};

/// When the rest of a request is sent, counted from the signal. Daemons take requests for 3 s.
const LATE_MS: u64 = 3_400;
/// How much of a request's head is sent before the signal.
const EARLY_BYTES: usize = 40;
const SETTLE_MS: u64 = 200;
const KINDS: [Kind; 4] = [Kind::Plain, Kind::Safe, Kind::Report, Kind::Caption];

/// What became of requests that came late in the grace period of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlannedStopReport {
    /// Answered 503.
    pub refused: usize,
    /// Answered otherwise.
    pub answered: usize,
    /// Ended without an answer.
    pub cut: usize,
    /// Reached an upstream.
    pub ran: usize,
}

/// Sends `callers` requests of each kind, the greater part of each late in the grace period of a daemon.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_planned_stop(
    spawner: &Spawner,
    options: &SoakOptions,
) -> Result<PlannedStopReport, SoakError> {
    let site = Site::start(spawner, options).await?;
    let report = stop_one(&site, options.callers).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn stop_one(site: &Arc<Site>, callers: usize) -> Result<PlannedStopReport, SoakError> {
    wait_until_all_serve(site).await?;
    let daemon = &site.daemons[0];
    let Some(endpoint) = daemon.endpoint() else { return Err(SoakError::NotReady { daemon: 0 }) };
    let mut late = Vec::new();
    for number in 0..callers * KINDS.len() {
        let text = request(KINDS[number % KINDS.len()], &id(number));
        let mut stream = TcpStream::connect(endpoint.addr).await.map_err(io_error)?;
        stream.write_all(&text.as_bytes()[..EARLY_BYTES]).await.map_err(io_error)?;
        late.push((stream, text));
    }
    sleep_ms(SETTLE_MS).await;
    daemon.signal("TERM")?;
    sleep_ms(LATE_MS).await;
    let mut report = PlannedStopReport::default();
    for (stream, text) in &mut late {
        // Fails if the daemon has closed the connection, which is no answer.
        let _ = stream.write_all(&text.as_bytes()[EARLY_BYTES..]).await;
    }
    for (stream, _) in &mut late {
        let mut answer = Vec::new();
        let _ = within(GRACE_MS, stream.read_to_end(&mut answer)).await;
        match answer.get(..) {
            Some(text) if text.starts_with(b"HTTP/1.1 503") => report.refused += 1,
            Some([]) | None => report.cut += 1,
            Some(_) => report.answered += 1,
        }
    }
    let upstreams = site.all_upstreams();
    let runs = upstreams.iter().flat_map(|upstream| upstream.runs());
    report.ran = runs.filter(|run| run.id.starts_with(ID_PREFIX)).count();
    Ok(report)
}

const ID_PREFIX: &str = "late-";

fn id(number: usize) -> String {
    format!("{ID_PREFIX}{number}")
}

fn request(kind: Kind, id: &str) -> String {
    let request = CallerRequest {
        id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: Some(TOKENS),
        ..CallerRequest::default()
    };
    request.text("POST", &format!("/{}/late", kind.path()), "body")
}

fn io_error(error: std::io::Error) -> comfreymast_proof::ProofError {
    error.into()
}
