use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_fakes::history::{Event, History};
use comfreymast_net::{DialError, Spawner};

use crate::client::{Answer, Client};
use crate::process::ProofError;

/// A caller whose requests and answers are recorded in a history. Clones share one sequence of
/// request numbers.
#[derive(Clone, Debug)]
pub struct RecordedClient {
    client: Client,
    history: History,
    requests: Arc<AtomicU64>,
}

/// One request to record.
#[derive(Clone, Debug)]
pub struct Recorded<'a> {
    /// The address of the daemon.
    pub addr: SocketAddr,
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// Additional headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// The body.
    pub body: &'a str,
    /// The text by which upstreams record it: the body of a plain call, or the prompt of a
    /// generation.
    pub what: &'a str,
}

impl RecordedClient {
    /// A caller with this bearer key that writes to the history at `path`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when the history cannot be opened.
    pub fn new(spawner: &Spawner, key: &str, path: &Path) -> Result<Self, ProofError> {
        let history = History::open("client", Some(path))?;
        Ok(Self { client: Client::new(spawner, key), history, requests: Arc::default() })
    }

    /// Makes one call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke; the history then has an answer with status 0.
    pub async fn call(&self, call: &Recorded<'_>) -> Result<Answer, DialError> {
        let request = self.requests.fetch_add(1, Ordering::Relaxed);
        self.history.record(Event::Sent { request, what: call.what.to_owned() });
        let answer =
            self.client.call(call.addr, call.method, call.path, call.headers, call.body).await;
        let (status, outcome, body) = match &answer {
            Ok(answer) => (
                answer.status,
                answer.outcome.clone(),
                String::from_utf8_lossy(&answer.body).into_owned(),
            ),
            Err(_) => (0, String::new(), String::new()),
        };
        self.history.record(Event::Answered { request, status, outcome, body });
        answer
    }

    /// Posts `body` to `path`, with the body as the idempotency key.
    ///
    /// # Errors
    ///
    /// [`DialError`] when the connection broke.
    pub async fn post_once(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<Answer, DialError> {
        let headers = [("idempotency-key", body)];
        let call = Recorded { addr, method: "POST", path, headers: &headers, body, what: body };
        self.call(&call).await
    }
}
