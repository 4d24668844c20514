//! A client that reads one answer and tells whether it looks complete.

use std::io::{BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_chunk, read_head};

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As the protocol marks the end of an answer.
    Complete,
    /// Before that.
    BrokenOff,
}

/// One answer. `status` is 0 if no head came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub end: End,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    pub data: String,
}

impl Answer {
    /// The whole events of its body.
    pub fn events(&self) -> Vec<Event> {
        let text = String::from_utf8_lossy(&self.body);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let event = |text: &str| {
            let id = text.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
            let data = text.lines().find_map(|line| line.strip_prefix("data: "))?.to_owned();
            Some(Event { id, data })
        };
        whole.split("\n\n").filter_map(event).collect()
    }
}

/// Sends a request on a new connection and reads its answer, as far as it comes.
pub fn call(addr: SocketAddr, path: &str, id: &str, headers: &str) -> Answer {
    let mut answer = Answer { status: 0, body: Vec::new(), end: End::BrokenOff };
    if exchange(addr, path, id, headers, &mut answer).is_ok() {
        answer.end = End::Complete;
    }
    answer
}

fn exchange(
    addr: SocketAddr,
    path: &str,
    id: &str,
    headers: &str,
    answer: &mut Answer,
) -> Result<()> {
    const CONNECT: Duration = Duration::from_secs(1);
    const SILENCE: Duration = Duration::from_secs(12);
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SILENCE))?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 100,80\r\nX-Prompt-Prefix: {id_hex:x}:100\r\n{headers}\
         Content-Length: 2\r\n\r\n{{}}",
        id_hex = id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte)),
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        while let Some(chunk) = read_chunk(&mut reader)? {
            answer.body.extend_from_slice(&chunk);
        }
        return Ok(());
    }
    if let Some(length) = head.get("content-length").and_then(|value| value.parse().ok()) {
        answer.body.resize(length, 0);
        return reader.read_exact(&mut answer.body);
    }
    reader.read_to_end(&mut answer.body).map(|_| ())
}
