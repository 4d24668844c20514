//! The little of HTTP/1.1 that the stand-ins need.

use std::collections::HashMap;
use std::io::{Error, ErrorKind, Read, Result};

/// The head of a message, with the names of its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The second word of the first line: the target of a request, the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn body_length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }
}

/// Reads a head; `buffer` keeps what follows it.
pub fn read_head(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<Head> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let fields = lines.filter_map(|line| line.split_once(':'));
            let headers =
                fields.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
            return Ok(Head { first_line, headers: headers.collect() });
        }
        read_more(stream, buffer)?;
    }
}

/// Reads a body of known length.
pub fn read_body(stream: &mut impl Read, buffer: &mut Vec<u8>, length: usize) -> Result<Vec<u8>> {
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    Ok(buffer.drain(..length).collect())
}

fn read_more(stream: &mut impl Read, buffer: &mut Vec<u8>) -> Result<()> {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes)? {
        0 => Err(Error::from(ErrorKind::UnexpectedEof)),
        read => {
            buffer.extend_from_slice(&bytes[..read]);
            Ok(())
        }
    }
}
