use std::sync::Arc;

use async_channel::Receiver;
use bytes::Bytes;
use comfreymast_fakes::platform_documents::CallerRequest;
use comfreymast_net::{OwnedConnection, collect, sleep_ms, within};

use crate::Kind;
use crate::site::{HOST, KEY, Site, TIMEOUT_MS, TOKENS};

const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// What the identifiers, paths and bodies of culprits begin with.
pub(super) const CULPRIT: &str = "culprit";
/// The same for requests that are sent as often but crash nothing.
const HARMLESS: &str = "harmless";
/// What the identifiers of requests begin with that share parts with culprits but crash nothing.
pub(super) const SOUND: &str = "sound";

/// A request that is sent again and again with the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RepeatedRequest {
    name: &'static str,
    number: usize,
    /// Its kind.
    pub(super) kind: Kind,
}

impl RepeatedRequest {
    /// A request that crashes each upstream that runs it.
    pub(super) fn culprit(number: usize, kind: Kind) -> Self {
        Self { name: CULPRIT, number, kind }
    }

    /// A request that crashes nothing.
    pub(super) fn harmless(number: usize, kind: Kind) -> Self {
        Self { name: HARMLESS, number, kind }
    }

    /// The body that identifies it at upstreams.
    pub(super) fn body(self) -> Bytes {
        Bytes::from(format!("{} {}", self.name, self.number))
    }

    /// Sends the request through one daemon after another until `stop` closes. Each attempt has an
    /// identifier of its own; path, caller and body stay the same.
    pub(super) async fn send_repeatedly(
        self,
        site: Arc<Site>,
        interval_ms: u64,
        stop: Receiver<()>,
    ) {
        let mut attempt = 0;
        while !stop.is_closed() {
            let daemon = (attempt + self.number) % site.daemons.len();
            attempt += 1;
            let sent = within(TIMEOUT_MS, self.send(site.clone(), daemon, attempt));
            site.spawner.detach(async move {
                // An attempt without an answer has no effect here: upstreams record what they run.
                let _ = sent.await;
            });
            sleep_ms(interval_ms).await;
        }
    }

    async fn send(self, site: Arc<Site>, daemon: usize, attempt: usize) -> Option<()> {
        let addr = site.daemons[daemon].endpoint()?.addr;
        let mut connection = OwnedConnection::open(&site.spawner, addr, TIMEOUT_MS).await.ok()?;
        let Self { name, number, kind } = self;
        let request = CallerRequest {
            id: &format!("{name}{number}a{attempt}"),
            host: HOST,
            key: KEY,
            deadline_ms: TIMEOUT_MS,
            tokens: kind.is_stream().then_some(TOKENS),
            prompt_parts: None,
            resumes: None,
            forged_organisation: None,
        }
        .request("POST", &format!("/{}/{name}/{number}", kind.path()), self.body());
        let answer = connection.send(request).await.ok()?;
        collect(answer.into_body(), MAX_ANSWER_BYTES).await.ok()?;
        Some(())
    }
}

/// True for the identifier of an attempt of a culprit.
pub(super) fn is_culprit(id: &str) -> bool {
    id.starts_with(CULPRIT)
}

/// True for the identifier of an attempt of any repeated request, or of one that shares parts with
/// such that crash upstreams.
pub(super) fn is_repeated(id: &str) -> bool {
    is_culprit(id) || id.starts_with(HARMLESS) || id.starts_with(SOUND)
}
