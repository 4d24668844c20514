use std::net::SocketAddr;

use comfreymast_fakes::history::{Event, History};
use serde_json::{Value, json as value};

use crate::process::ProofError;
use crate::{Client, Reader};

/// The request that resumes a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeMethod {
    /// `GET` with the cursor alone.
    Get,
    /// `POST` with the cursor and the body of the first request.
    Post,
    /// `POST` with the cursor, the body and the tokens read.
    PostTokens,
}

/// How a stream ended, as its reader saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The last event, `[DONE]`, arrived.
    Done,
    /// An error event with this code arrived.
    Error(String),
    /// The connection broke before the end of the stream.
    Broken,
}

/// One streamed request of a caller. It records the tokens and the outcome that the caller saw, and
/// can resume the stream where it broke.
pub struct RecordedStream {
    client: Client,
    history: History,
    request: u64,
    body: Value,
    reader: Reader,
    cursor: String,
    texts: Vec<String>,
}

impl RecordedStream {
    /// Requests a streamed completion of kind `kind` on model `m` from the daemon at `addr`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Call`] when the connection broke before the answer began.
    pub async fn start(
        client: &Client,
        history: &History,
        request: u64,
        addr: SocketAddr,
        kind: &str,
        prompt: &str,
    ) -> Result<Self, ProofError> {
        history.record(Event::Sent { request, what: prompt.to_owned() });
        let reader = client.stream(addr, "m", prompt, &[("comfreymast-kind", kind)]).await?;
        Ok(Self {
            client: client.clone(),
            history: history.clone(),
            request,
            body: value!({ "model": "m", "prompt": prompt, "stream": true, "kind": kind }),
            reader,
            cursor: String::new(),
            texts: Vec::new(),
        })
    }

    /// Reads until there are `count` tokens or the stream ends.
    pub async fn read(&mut self, count: usize) -> Option<StreamEnd> {
        while self.texts.len() < count {
            let Some(event) = self.reader.next().await else { return Some(StreamEnd::Broken) };
            if event.name == "error" {
                let error: Value = serde_json::from_str(&event.data).unwrap_or_default();
                let field =
                    |name: &str| error["error"][name].as_str().unwrap_or_default().to_owned();
                return Some(self.record_end(&field("outcome"), StreamEnd::Error(field("code"))));
            }
            if event.data == "[DONE]" {
                return Some(self.record_end("done", StreamEnd::Done));
            }
            self.cursor.clone_from(&event.id);
            let text = event.text();
            if !text.is_empty() {
                self.history.record(Event::TokenRead { request: self.request, text: text.clone() });
                self.texts.push(text);
            }
        }
        None
    }

    /// Reads `count` more tokens, or until the stream ends.
    pub async fn read_more(&mut self, count: usize) -> Option<StreamEnd> {
        self.read(self.texts.len() + count).await
    }

    /// Reads to the end of the stream.
    pub async fn rest(&mut self) -> StreamEnd {
        self.read(usize::MAX).await.unwrap_or(StreamEnd::Broken)
    }

    /// Resumes the stream through the daemon at `addr`; returns the HTTP status.
    ///
    /// # Errors
    ///
    /// [`ProofError::Call`] when the connection broke before the answer began.
    pub async fn resume(
        &mut self,
        addr: SocketAddr,
        method: ResumeMethod,
    ) -> Result<u16, ProofError> {
        self.reader = self.open_resumed(addr, method).await?;
        Ok(self.reader.status)
    }

    async fn open_resumed(
        &self,
        addr: SocketAddr,
        method: ResumeMethod,
    ) -> Result<Reader, ProofError> {
        let http_method = if method == ResumeMethod::Get { "GET" } else { "POST" };
        let mut body = self.body.clone();
        if method == ResumeMethod::PostTokens {
            body["read_tokens"] = value!(self.texts);
        }
        let body = if method == ResumeMethod::Get { String::new() } else { body.to_string() };
        let kind = self.body["kind"].as_str().unwrap_or_default();
        let headers = [("last-event-id", self.cursor.as_str()), ("comfreymast-kind", kind)];
        Ok(self.client.open(addr, http_method, "/v1/completions", &headers, &body).await?)
    }

    /// Starts a second reader of the same stream, which resumes through the daemon at `addr` while
    /// the first still reads. What it sees is recorded as request `request`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Call`] when the connection broke before the answer began.
    pub async fn fork(
        &self,
        addr: SocketAddr,
        method: ResumeMethod,
        request: u64,
    ) -> Result<Self, ProofError> {
        let prompt = self.body["prompt"].as_str().unwrap_or_default();
        self.history.record(Event::Sent { request, what: prompt.to_owned() });
        for text in &self.texts {
            self.history.record(Event::TokenRead { request, text: text.clone() });
        }
        Ok(Self {
            client: self.client.clone(),
            history: self.history.clone(),
            request,
            reader: self.open_resumed(addr, method).await?,
            body: self.body.clone(),
            cursor: self.cursor.clone(),
            texts: self.texts.clone(),
        })
    }

    /// The HTTP status of the answer being read.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.reader.status
    }

    /// The texts of the tokens read so far.
    #[must_use]
    pub fn texts(&self) -> &[String] {
        &self.texts
    }

    /// The cursor of the last event, which is its id.
    #[must_use]
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    fn record_end(&self, outcome: &str, end: StreamEnd) -> StreamEnd {
        let body = if let StreamEnd::Error(code) = &end { code.clone() } else { String::new() };
        let status = self.reader.status;
        let outcome = outcome.to_owned();
        let request = self.request;
        self.history.record(Event::Answered { request, status, outcome, body });
        end
    }
}
