//! A client that keeps its connection.

use std::io::{BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// A connection of a client to one machine.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    /// Requests sent on this connection.
    pub sent: u32,
}

impl Client {
    /// Opens a connection, on which an answer may take `answer_ms`.
    pub fn open(addr: SocketAddr, answer_ms: u64) -> Result<Self> {
        let writer = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_millis(answer_ms)))?;
        writer.set_write_timeout(Some(Duration::from_millis(answer_ms)))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader, sent: 0 })
    }

    /// Sends a request with these headers and waits for the whole answer.
    pub fn call(
        &mut self,
        first_line: &str,
        headers: &str,
        body: &[u8],
    ) -> Result<(Head, Vec<u8>)> {
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!("{first_line} HTTP/1.1\r\nHost: case.example\r\n{headers}{length}\r\n");
        self.sent += 1;
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)?;
        let head = read_head(&mut self.reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        let body = read_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}
