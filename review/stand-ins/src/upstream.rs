//! A stand-in of a sound server: it echoes the identifier, signs its answers, refuses requests
//! for another instance, and writes down what it runs.

use std::io::{BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, response};
use crate::record::Recorder;
use crate::store::Store;

/// A server of a plain service. Clones are the same one.
#[derive(Clone)]
pub struct Upstream {
    pub name: String,
    service: String,
    zone: String,
    /// How long it works on a request.
    work_ms: u64,
    addr: SocketAddr,
    recorder: Arc<Recorder>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Upstream {
    /// Starts a server and registers it.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        store: &Store,
        recorder: &Arc<Recorder>,
    ) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let upstream = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work_ms,
            addr: listener.local_addr()?,
            recorder: recorder.clone(),
            connections: Arc::default(),
            has_ended: Arc::default(),
        };
        let started = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if started.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(connection) = stream.try_clone() {
                    started.lock_connections().push(connection);
                }
                let upstream = started.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream.register(store, "ready");
        Ok(upstream)
    }

    /// Writes its entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let Self { name, service, zone, addr, .. } = self;
        let sequence = if state == "ready" { 1 } else { 2 };
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence}}}"
        );
        store.put("keyed.servers", name, &entry);
    }

    /// Ends it: removes its entry, and closes its port and connections.
    pub fn end(&self, store: &Store) {
        self.has_ended.store(true, Ordering::SeqCst);
        store.put("keyed.servers", &self.name, "");
        // Lets the listener notice that it has ended.
        let _ = TcpStream::connect(self.addr);
        for connection in self.lock_connections().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            if writer.write_all(&self.answer(&head, body.len())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body_bytes: usize) -> Vec<u8> {
        let Some(id) = head.get("x-attempt-id") else {
            let instance = format!("X-Instance-Id: {}\r\n", self.name);
            return response(200, &instance, b"");
        };
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if head.get("x-expect-instance").is_some_and(|expected| expected != self.name) {
            return response(421, &format!("{echo}X-Not-Executed: 1\r\n"), b"");
        }
        let tenant = head.get("x-tenant").unwrap_or("-");
        self.recorder.run(id, &self.name, &format!("for {tenant}, {body_bytes} B"));
        thread::sleep(Duration::from_millis(self.work_ms));
        let signature = format!("X-Server-Signature: {}.{id}\r\n", self.name);
        response(200, &(echo + &signature), format!("answer to {id}").as_bytes())
    }
}
