//! The platform's store, as a log: appends, reads that wait, and the newest record of each key.

use std::collections::{BTreeMap, HashMap};
use std::io::{Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};

type Topics = HashMap<String, Vec<Vec<u8>>>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    appended: Condvar,
}

/// An address at which a store is reached, until it is closed.
pub struct Endpoint {
    pub addr: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Endpoint {
    /// Closes the port and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
        // Ends the wait for the next connection, and with it the listener.
        let _ = TcpStream::connect(self.addr);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let endpoint = store.listen()?;
        Ok((store, endpoint.addr))
    }

    /// Serves on one more free port.
    pub fn listen(self: &Arc<Self>) -> Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = Endpoint {
            addr: listener.local_addr()?,
            is_closed: Arc::default(),
            streams: Arc::default(),
        };
        let (is_closed, streams) = (endpoint.is_closed.clone(), endpoint.streams.clone());
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_closed.load(Ordering::Acquire) {
                    return;
                }
                streams.lock().unwrap().extend(stream.try_clone());
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(endpoint)
    }

    /// Writes a record with a key, as operators and servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let known = topics.entry(topic.to_owned()).or_default();
        let offset = known.len();
        known.extend(records);
        let end = known.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        let mut buffer = Vec::new();
        loop {
            let head = read_head(&mut stream, &mut buffer)?;
            let body = read_body(&mut stream, &mut buffer, head.body_length())?;
            let target = head.second_word();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<_, _> =
                query.split('&').filter_map(|field| field.split_once('=')).collect();
            let (status, answer) = self.answer(path, &query, &body);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", answer.len());
            stream.write_all(&[head.as_bytes(), &answer].concat())?;
        }
    }

    fn answer(&self, path: &str, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let topic = query.get("topic").copied().unwrap_or("");
        let number = |name| query.get(name).and_then(|text: &&str| text.parse().ok()).unwrap_or(0);
        match path {
            "/-/log-append" => {
                let (offset, end) = self.append(topic, split_records(body));
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            "/-/log-read" => self.read(topic, number("from") as usize, number("waitMs")),
            "/-/log-newest" => self.newest(topic),
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().unwrap();
        while topics.get(topic).is_none_or(|records| records.len() <= from) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
        let Some(records) = topics.get(topic) else { return (404, Vec::new()) };
        let mut answer = (records.len() as u64).to_be_bytes().to_vec();
        answer.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
            answer.extend_from_slice(record);
        }
        (200, answer)
    }

    fn newest(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let Some(records) = topics.get(topic) else { return (404, Vec::new()) };
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes())
    }
}

fn split_records(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while bytes.len() >= 4 {
        let (length, rest) = bytes.split_at(4);
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        let (record, rest) = rest.split_at(length.min(rest.len()));
        records.push(record.to_vec());
        bytes = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index > group.len() { '=' } else { digit });
        }
    }
    text
}
