//! An upstream that writes its answers byte by byte, framed and ended as a test asks.
//!
//! ```no_run
//! use comfreymast_fakes::framed_upstream::{AnswerEnd, FramedUpstream, WrittenAnswer};
//! use comfreymast_net::{BodyFraming, Spawner};
//!
//! # async fn start(spawner: &Spawner) -> std::io::Result<()> {
//! let upstream = FramedUpstream::start(spawner, "e0", |_| WrittenAnswer {
//!     body: "id: 1\ndata: x\n\n".into(),
//!     framing: BodyFraming::ConnectionClose,
//!     cut_at_bytes: Some(9),
//!     end: AnswerEnd::Close,
//!     ..WrittenAnswer::default()
//! });
//! # upstream.await?; Ok(())
//! # }
//! ```

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use bytes::{BufMut, Bytes, BytesMut};
use comfreymast_net::{BodyFraming, Spawner, sleep_ms};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hyper::{StatusCode, Version};

use crate::platform_documents::SIGNATURE_PREFIX;

/// Small, so that a body has several chunks.
const CHUNK_BYTES: usize = 7;
/// How much later than the connection the port closes in [`AnswerEnd::CrashLate`].
const PORT_DELAY_MS: u64 = 20;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How an answer ends after the bytes that are written of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// With the mark of its framing, as if what was written were all of it.
    Complete,
    /// The connection is closed in good order, without a further mark.
    Close,
    /// The connection is reset.
    Reset,
    /// The port is closed first, then all connections in good order, as when a process ends.
    Crash,
    /// The connection of the answer is closed in good order, and a moment later the port and all
    /// other connections.
    CrashLate,
}

/// Which request an answer names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerId {
    /// The one that it answers.
    OfRequest,
    /// None.
    Absent,
    /// Another one.
    Other(String),
}

/// One answer.
#[derive(Clone, Debug)]
pub struct WrittenAnswer {
    /// Its version of HTTP.
    pub version: Version,
    /// Its status.
    pub status: StatusCode,
    /// Which request it names.
    pub id: AnswerId,
    /// True if it says that the request was not run.
    pub says_not_run: bool,
    /// True if 100 is sent before it.
    pub is_after_continue: bool,
    /// Its content type, if it names one.
    pub content_type: Option<&'static str>,
    /// How the end of its body is marked.
    pub framing: BodyFraming,
    /// Its body.
    pub body: Bytes,
    /// How much of the head's end is not written, after which the answer ends. The head is whole if `None`.
    pub head_lacks_bytes: Option<usize>,
    /// How much of the body is written; all if `None`.
    pub cut_at_bytes: Option<usize>,
    /// The time between what is written of the body and its end.
    pub pause_ms: u64,
    /// What follows.
    pub end: AnswerEnd,
}

impl Default for WrittenAnswer {
    fn default() -> Self {
        Self {
            version: Version::HTTP_11,
            status: StatusCode::OK,
            id: AnswerId::OfRequest,
            says_not_run: false,
            is_after_continue: false,
            content_type: None,
            framing: BodyFraming::Chunked,
            body: Bytes::new(),
            head_lacks_bytes: None,
            cut_at_bytes: None,
            pause_ms: 0,
            end: AnswerEnd::Complete,
        }
    }
}

/// One request that the upstream has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Its method and path.
    pub line: String,
    /// Its body.
    pub body: Bytes,
    /// The number of the connection on which it came.
    pub connection: u64,
    headers: HashMap<String, String>,
}

impl ReceivedRequest {
    /// The value of a header, named in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The identifier that the caller chose.
    #[must_use]
    pub fn id(&self) -> &str {
        self.header("x-attempt-id").unwrap_or_default()
    }
}

type Respond = Arc<dyn Fn(&ReceivedRequest) -> WrittenAnswer + Send + Sync>;

/// An upstream of the platform. Clones share its state.
#[derive(Clone)]
pub struct FramedUpstream {
    /// Its name.
    pub name: Arc<str>,
    /// The address it listens on.
    pub addr: SocketAddr,
    respond: Respond,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// True if it answers as soon as it has read the head of a request.
    answers_before_bodies: Arc<AtomicBool>,
    accepting: Arc<Mutex<Option<Task<()>>>>,
    /// Closed when the upstream has crashed.
    crashed: Receiver<()>,
    _not_crashed: Sender<()>,
}

impl FramedUpstream {
    /// Starts an upstream on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// When the listening socket cannot be opened.
    pub async fn start(
        spawner: &Spawner,
        name: &str,
        respond: impl Fn(&ReceivedRequest) -> WrittenAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let (not_crashed, crashed) = async_channel::bounded(1);
        let upstream = Self {
            name: name.into(),
            addr: listener.local_addr()?,
            respond: Arc::new(respond),
            requests: Arc::default(),
            answers_before_bodies: Arc::default(),
            accepting: Arc::default(),
            crashed,
            _not_crashed: not_crashed,
        };
        let accepting = spawner.spawn(upstream.clone().accept(spawner.clone(), listener));
        *lock(&upstream.accepting) = Some(accepting);
        Ok(upstream)
    }

    /// Answers from now on before the body of a request is read.
    pub fn answer_before_bodies(&self) {
        self.answers_before_bodies.store(true, Ordering::Release);
    }

    /// The requests that it received, in order.
    #[must_use]
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.requests).clone()
    }

    async fn accept(self, spawner: Spawner, listener: TcpListener) {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            let upstream = self.clone();
            number += 1;
            spawner.detach(async move {
                let crashed = upstream.crashed.clone();
                let ended = async {
                    let _ = crashed.recv().await;
                    Ok(())
                };
                // Fails when the gateway has closed the connection.
                let _ = future::or(upstream.serve(number, stream), ended).await;
            });
        }
    }

    async fn serve(&self, number: u64, mut stream: TcpStream) -> std::io::Result<()> {
        while let Some(mut request) = read_head(&mut stream).await? {
            request.connection = number;
            let is_early = self.answers_before_bodies.load(Ordering::Acquire);
            if !is_early {
                read_body(&mut stream, &mut request).await?;
            }
            let answer = (self.respond)(&request);
            let bytes = self.encode(&request, &answer);
            // Before the answer, so that whoever gets that finds the request.
            lock(&self.requests).push(request.clone());
            stream.write_all(&bytes).await?;
            if is_early {
                read_body(&mut stream, &mut request).await?;
            }
            sleep_ms(answer.pause_ms).await;
            match answer.end {
                AnswerEnd::Complete if answer.framing != BodyFraming::ConnectionClose => {}
                AnswerEnd::Complete | AnswerEnd::Close => return Ok(()),
                AnswerEnd::Reset => return reset(&stream),
                AnswerEnd::Crash => {
                    self.crash().await;
                    return Ok(());
                }
                AnswerEnd::CrashLate => {
                    stream.shutdown(Shutdown::Both)?;
                    sleep_ms(PORT_DELAY_MS).await;
                    self.crash().await;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn crash(&self) {
        let accepting = lock(&self.accepting).take();
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
        self.crashed.close();
    }

    fn encode(&self, request: &ReceivedRequest, answer: &WrittenAnswer) -> Bytes {
        let cut_at_bytes = answer.cut_at_bytes.unwrap_or(answer.body.len());
        let body = &answer.body[..cut_at_bytes];
        let is_complete = answer.end == AnswerEnd::Complete;
        let mut head = String::new();
        if answer.is_after_continue {
            head.push_str("HTTP/1.1 100 Continue\r\n\r\n");
        }
        head.push_str(&format!("{:?} {}\r\n", answer.version, answer.status));
        let mut add = |name: &str, value: &str| head.push_str(&format!("{name}: {value}\r\n"));
        match &answer.id {
            AnswerId::OfRequest => add("x-attempt-id", request.id()),
            AnswerId::Absent => {}
            AnswerId::Other(id) => add("x-attempt-id", id),
        }
        if answer.says_not_run {
            add("x-not-executed", "1");
        }
        add("x-server-signature", &format!("{SIGNATURE_PREFIX}{}", self.name));
        if let Some(content_type) = answer.content_type {
            add("content-type", content_type);
        }
        match answer.framing {
            BodyFraming::Length if is_complete => add("content-length", &body.len().to_string()),
            BodyFraming::Length => add("content-length", &answer.body.len().to_string()),
            BodyFraming::Chunked => add("transfer-encoding", "chunked"),
            BodyFraming::ConnectionClose => {}
        }
        let mut bytes = BytesMut::from(head.as_bytes());
        bytes.put_slice(b"\r\n");
        if let Some(lacking_bytes) = answer.head_lacks_bytes {
            bytes.truncate(bytes.len().saturating_sub(lacking_bytes));
            return bytes.freeze();
        }
        if answer.framing == BodyFraming::Chunked {
            put_chunks(&mut bytes, body, is_complete);
        } else {
            bytes.put_slice(body);
        }
        bytes.freeze()
    }
}

fn put_chunks(bytes: &mut BytesMut, body: &[u8], has_last: bool) {
    for chunk in body.chunks(CHUNK_BYTES) {
        bytes.put_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.put_slice(chunk);
        bytes.put_slice(b"\r\n");
    }
    if has_last {
        bytes.put_slice(b"0\r\n\r\n");
    }
}

/// Reads the head of one request; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<Option<ReceivedRequest>> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head);
    let mut lines = head.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<_, _> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    Ok(Some(ReceivedRequest { line, body: Bytes::new(), connection: 0, headers }))
}

async fn read_body(stream: &mut TcpStream, request: &mut ReceivedRequest) -> std::io::Result<()> {
    let length = request.header("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    request.body = body.into();
    Ok(())
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
