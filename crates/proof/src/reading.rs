use std::net::SocketAddr;

use comfreymast_fakes::history::{Event, History};
use serde_json::{Value, json as value};

use crate::process::ProofError;
use crate::{Client, Reader};

/// How a reader comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComeBack {
    /// `GET` with the cursor alone.
    Get,
    /// `POST` with the cursor and the body of the first request.
    Post,
    /// `POST` with the cursor, the body and the tokens read.
    PostTokens,
}

/// What ended a stream, as its reader saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Its last event came.
    Done,
    /// An error event with this code came.
    Error(String),
    /// It broke off.
    Broken,
}

/// One request of a caller who reads a stream, comes back where it broke, and writes down what it
/// saw.
pub struct Reading {
    client: Client,
    history: History,
    request: u64,
    body: Value,
    reader: Reader,
    cursor: String,
    texts: Vec<String>,
}

impl Reading {
    /// Asks the daemon at `addr` for a streamed completion of kind `kind` on model `m`.
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
                let word =
                    |name: &str| error["error"][name].as_str().unwrap_or_default().to_owned();
                return Some(self.ended(&word("outcome"), StreamEnd::Error(word("code"))));
            }
            if event.data == "[DONE]" {
                return Some(self.ended("done", StreamEnd::Done));
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

    /// Comes back through the daemon at `addr`; returns the HTTP status.
    ///
    /// # Errors
    ///
    /// [`ProofError::Call`] when the connection broke before the answer began.
    pub async fn come_back(&mut self, addr: SocketAddr, how: ComeBack) -> Result<u16, ProofError> {
        self.reader = self.come_back_reader(addr, how).await?;
        Ok(self.reader.status)
    }

    async fn come_back_reader(
        &self,
        addr: SocketAddr,
        how: ComeBack,
    ) -> Result<Reader, ProofError> {
        let method = if how == ComeBack::Get { "GET" } else { "POST" };
        let mut body = self.body.clone();
        if how == ComeBack::PostTokens {
            body["read_tokens"] = value!(self.texts);
        }
        let body = if how == ComeBack::Get { String::new() } else { body.to_string() };
        let kind = self.body["kind"].as_str().unwrap_or_default();
        let headers = [("last-event-id", self.cursor.as_str()), ("comfreymast-kind", kind)];
        Ok(self.client.open(addr, method, "/v1/completions", &headers, &body).await?)
    }

    /// A second reader of the same request, who comes back through the daemon at `addr` while the
    /// first still reads. What it sees is written down as request `request`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Call`] when the connection broke before the answer began.
    pub async fn fork(
        &self,
        addr: SocketAddr,
        how: ComeBack,
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
            reader: self.come_back_reader(addr, how).await?,
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

    /// The texts read.
    #[must_use]
    pub fn texts(&self) -> &[String] {
        &self.texts
    }

    /// The cursor of the last event.
    #[must_use]
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    fn ended(&self, outcome: &str, end: StreamEnd) -> StreamEnd {
        let body = if let StreamEnd::Error(code) = &end { code.clone() } else { String::new() };
        let status = self.reader.status;
        let outcome = outcome.to_owned();
        let request = self.request;
        self.history.record(Event::Answered { request, status, outcome, body });
        end
    }
}
