//! An upstream whose answers do not end: it writes until its caller closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// How many bytes are written at a time, at least.
const WRITE_BYTES: usize = 32 * 1024;

/// What the upstream writes after each request.
#[derive(Clone, Debug, Default)]
pub struct EndlessAnswer {
    /// Written once. `{id}` stands for the identifier of the request.
    pub beginning: String,
    /// Written again and again.
    pub repeated: Bytes,
    /// How long it writes if nobody closes the connection.
    pub max_ms: u64,
}

/// One answer that was written until its connection was closed, or for as long as allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenUntil {
    /// Bytes that were written.
    pub bytes: u64,
    /// True if the caller closed the connection.
    pub closed_by_caller: bool,
}

/// The upstream, with threads of its own, so that it never waits for the code under test.
#[derive(Clone, Debug)]
pub struct EndlessUpstream {
    /// The address it listens on.
    pub addr: SocketAddr,
    ended: Arc<Mutex<Vec<WrittenUntil>>>,
}

impl EndlessUpstream {
    /// Starts an upstream on a loopback port that the system chooses. It runs until the process ends.
    ///
    /// # Errors
    ///
    /// When the listening socket cannot be opened.
    pub fn start(answer: EndlessAnswer) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let upstream = Self { addr: listener.local_addr()?, ended: Arc::default() };
        let ended = upstream.ended.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (answer, ended) = (answer.clone(), ended.clone());
                thread::spawn(move || {
                    if let Some(written) = serve(stream, &answer) {
                        ended.lock().unwrap_or_else(PoisonError::into_inner).push(written);
                    }
                });
            }
        });
        Ok(upstream)
    }

    /// The answers that have ended so far.
    #[must_use]
    pub fn ended(&self) -> Vec<WrittenUntil> {
        self.ended.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Writes one answer; `None` if no request comes on the connection.
fn serve(mut stream: TcpStream, answer: &EndlessAnswer) -> Option<WrittenUntil> {
    let head = read_head(&mut stream)?;
    let id = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or("");
    let block = answer.repeated.repeat(WRITE_BYTES.div_ceil(answer.repeated.len().max(1)));
    let started = Instant::now();
    let mut written = WrittenUntil { bytes: 0, closed_by_caller: false };
    let beginning = answer.beginning.replace("{id}", id);
    let mut next = beginning.as_bytes();
    while started.elapsed() < Duration::from_millis(answer.max_ms) {
        if stream.write_all(next).is_err() {
            written.closed_by_caller = true;
            break;
        }
        written.bytes += next.len() as u64;
        next = &block;
    }
    Some(written)
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_ascii_lowercase())
}
