//! Callers that keep their connections open and do not go on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a caller tries to send before it only stays connected.
const SEND_LIMIT: Duration = Duration::from_secs(8);
const WRITE_WAIT: Duration = Duration::from_millis(250);
const POLL: Duration = Duration::from_millis(20);
/// The start of an answer, up to its status.
const STATUS_LINE_BYTES: usize = 12;

/// What one caller sends and whether it reads the start of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Sending {
    /// Sent first.
    pub(crate) beginning: Vec<u8>,
    /// Sent after that, piece by piece.
    pub(crate) piece: Vec<u8>,
    /// How often.
    pub(crate) pieces: usize,
    /// Sent at the end, before the caller falls silent.
    pub(crate) end: Vec<u8>,
    /// The pause after each piece.
    pub(crate) pause: Duration,
    /// False for callers that never read.
    pub(crate) reads: bool,
}

/// Callers that stay connected until this is dropped.
pub(crate) struct Crowd {
    leave: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<usize>>,
    statuses: Arc<Mutex<Vec<(usize, u16)>>>,
}

impl Crowd {
    /// Starts as many callers; each sends what `sending` returns for its number.
    pub(crate) fn start(
        callers: usize,
        addr: SocketAddr,
        sending: impl Fn(usize) -> Sending,
    ) -> Self {
        let mut crowd = Self {
            leave: Arc::default(),
            callers: Vec::new(),
            sent: Arc::default(),
            statuses: Arc::default(),
        };
        for number in 0..callers {
            let (leave, sent) = (crowd.leave.clone(), crowd.sent.clone());
            let (statuses, sending) = (crowd.statuses.clone(), sending(number));
            crowd.callers.push(std::thread::spawn(move || {
                let stream = TcpStream::connect(addr).ok();
                let stream = stream.and_then(|stream| send(stream, &sending));
                *sent.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                let Some(mut stream) = stream else { return };
                if sending.reads
                    && let Some(status) = read_status(&mut stream, &leave)
                {
                    statuses.lock().unwrap_or_else(PoisonError::into_inner).push((number, status));
                }
                while !leave.load(Ordering::Acquire) {
                    std::thread::sleep(POLL);
                }
            }));
        }
        crowd
    }

    /// True once every caller has sent what it sends, or gave up.
    pub(crate) fn has_sent(&self) -> bool {
        *self.sent.lock().unwrap_or_else(PoisonError::into_inner) == self.callers.len()
    }

    /// The callers that got an answer, each with its status.
    pub(crate) fn statuses(&self) -> Vec<(usize, u16)> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.leave.store(true, Ordering::Release);
        for caller in self.callers.drain(..) {
            let _ = caller.join();
        }
    }
}

/// Sends until the end, an error or the limit. `None` if the connection is gone before an answer could be read.
fn send(mut stream: TcpStream, sending: &Sending) -> Option<TcpStream> {
    stream.set_write_timeout(Some(WRITE_WAIT)).ok()?;
    stream.set_read_timeout(Some(POLL)).ok()?;
    let until = Instant::now() + SEND_LIMIT;
    let pieces = std::iter::repeat_n(&sending.piece, sending.pieces);
    for part in [&sending.beginning].into_iter().chain(pieces).chain([&sending.end]) {
        if !write(&mut stream, part, until) {
            break;
        }
        if !sending.pause.is_zero() {
            std::thread::sleep(sending.pause);
        }
    }
    Some(stream)
}

/// False once the connection takes nothing more.
fn write(stream: &mut TcpStream, mut part: &[u8], until: Instant) -> bool {
    while !part.is_empty() {
        match stream.write(part) {
            Ok(written) => part = &part[written..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if Instant::now() > until {
            return false;
        }
    }
    true
}

/// The status of the answer; `None` if there is none until the crowd leaves.
fn read_status(stream: &mut TcpStream, leave: &AtomicBool) -> Option<u16> {
    let mut start = Vec::new();
    let mut buffer = [0; 512];
    while start.len() < STATUS_LINE_BYTES && !leave.load(Ordering::Acquire) {
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(read) => start.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    String::from_utf8_lossy(&start).split(' ').nth(1)?.parse().ok()
}
