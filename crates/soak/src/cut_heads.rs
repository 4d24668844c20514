//! Answers whose heads break off, passed on by real daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreymast_fakes::framed_upstream::{
    AnswerEnd, FramedUpstream, ReceivedRequest, WrittenAnswer,
};
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{BodyFraming, Spawner, call};

use crate::daemon::Daemon;
use crate::run::wait_until_all_serve;
use crate::site::{HOST, KEY, Site, TIMEOUT_MS, TOKENS};
use crate::{Kind, SoakError, SoakOptions};

const BODY: &str = "id: 1\ndata: x\n\n";
/// The requests whose answers are cut.
const ID_PREFIX: &str = "cut-";
/// More than any head of these answers has.
const MAX_HEAD_BYTES: usize = 160;
const STEP_BYTES: usize = 5;
const MAX_ANSWER_BYTES: usize = 1 << 16;
const UPSTREAMS_PER_SERVICE: usize = 3;
const KINDS: [Kind; 4] = [Kind::Plain, Kind::Safe, Kind::Report, Kind::Caption];

/// What callers got of answers whose heads broke off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutHeadReport {
    /// Whole successes, which none of them was.
    pub successes: usize,
    /// Anything else.
    pub failures: usize,
}

/// Lets upstreams cut the heads of their answers, and counts what callers get of them.
///
/// # Errors
///
/// [`SoakError`] when the programs do not start.
pub async fn run_cut_heads(
    spawner: &Spawner,
    options: &SoakOptions,
) -> Result<CutHeadReport, SoakError> {
    let mut options = options.clone();
    // All upstreams are those that cut heads.
    options.engines = 0;
    options.plain_upstreams = 0;
    let site = Site::start(spawner, &options).await?;
    let lacking_bytes = Arc::new(AtomicUsize::new(0));
    for (service, is_stream) in [("plain", false), ("engines", true)] {
        for number in 0..UPSTREAMS_PER_SERVICE {
            let lacking_bytes = lacking_bytes.clone();
            let name = format!("{service}-{number}");
            let respond = move |request: &ReceivedRequest| {
                answer(request, is_stream, lacking_bytes.load(Ordering::Acquire))
            };
            let upstream = FramedUpstream::start(spawner, &name, respond).await;
            site.announce(
                &name,
                upstream.map_err(comfreymast_proof::ProofError::from)?.addr,
                service,
            );
        }
    }
    let report = cut_heads(&site, &lacking_bytes).await;
    site.daemons.iter().for_each(Daemon::shut_down);
    report
}

async fn cut_heads(
    site: &Arc<Site>,
    lacking_bytes: &AtomicUsize,
) -> Result<CutHeadReport, SoakError> {
    wait_until_all_serve(site).await?;
    let mut report = CutHeadReport::default();
    for lacking in (1..MAX_HEAD_BYTES).step_by(STEP_BYTES) {
        lacking_bytes.store(lacking, Ordering::Release);
        for (number, kind) in KINDS.into_iter().enumerate() {
            let daemon = &site.daemons[lacking % site.daemons.len()];
            let Some(endpoint) = daemon.endpoint() else { continue };
            let id = format!("{ID_PREFIX}{lacking}-{number}");
            if is_success(site, endpoint.addr, kind, &id).await {
                report.successes += 1;
            } else {
                report.failures += 1;
            }
        }
    }
    Ok(report)
}

async fn is_success(site: &Site, addr: SocketAddr, kind: Kind, id: &str) -> bool {
    let request = CallerRequest {
        id,
        host: HOST,
        key: KEY,
        deadline_ms: TIMEOUT_MS,
        tokens: Some(TOKENS),
        ..CallerRequest::default()
    };
    let request = request.request("POST", &format!("/{}/heads", kind.path()), "body");
    let answer = call(&site.spawner, addr, request, TIMEOUT_MS, MAX_ANSWER_BYTES).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

fn answer(request: &ReceivedRequest, is_stream: bool, lacking_bytes: usize) -> WrittenAnswer {
    let whole = WrittenAnswer {
        content_type: is_stream.then_some("text/event-stream"),
        body: BODY.into(),
        framing: BodyFraming::Length,
        ..WrittenAnswer::default()
    };
    if !request.id().starts_with(ID_PREFIX) {
        return whole;
    }
    WrittenAnswer { head_lacks_bytes: Some(lacking_bytes), end: AnswerEnd::Close, ..whole }
}
