//! A sound server of a service that answers whole.

use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{read_body, read_head};
use crate::record::Record;

/// A server that reads each request whole, runs it and answers with as many bytes as its path ends with.
pub struct Server {
    name: &'static str,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on a free port.
    pub fn start(name: &'static str, record: &Arc<Record>) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let server = Arc::new(Self { name, record: record.clone() });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(addr)
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buffer)?;
            read_body(&mut stream, &mut buffer, head.body_length())?;
            let (target, id) = (head.second_word(), head.header("x-attempt-id"));
            if target == "/health" {
                let name = self.name;
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\n\
                    Content-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            if head.header("x-expect-instance") != self.name {
                write!(
                    stream,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                    X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                )?;
                continue;
            }
            let length = target.rsplit('/').next().and_then(|end| end.parse().ok()).unwrap_or(2);
            // Thousands of lines of a crowd would say nothing.
            if !id.starts_with("crowd") {
                self.record
                    .line(&format!("server {} runs {id}, answer of {length} bytes", self.name));
            }
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\
                X-Server-Signature: s.{}.{id}\r\nContent-Length: {length}\r\n\r\n",
                self.name
            )
            .into_bytes();
            answer.resize(answer.len() + length, b'a');
            stream.write_all(&answer)?;
        }
    }
}
