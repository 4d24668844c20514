//! A stand-in of the platform's store: a log with keyed topics. Each machine reaches it at an
//! address of its own, at which it can be silent while it serves all others.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head, response};

/// The most keys on a page of the newest records.
const PAGE_KEYS: usize = 500;
const MAX_WAIT_MS: u64 = 30_000;

/// The store. Clones are the same one.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Vec<Record>>>>,
    appended: Arc<Condvar>,
    /// The topics that are down for all machines.
    down: Arc<Mutex<HashSet<String>>>,
    /// True while it refuses all calls.
    is_all_down: Arc<AtomicBool>,
}

/// A record; `key` is `None` in a topic without keys.
#[derive(Clone)]
struct Record {
    key: Option<String>,
    value: Vec<u8>,
}

/// The address at which one machine reaches the store.
#[derive(Clone)]
pub struct Entrance {
    pub addr: SocketAddr,
    is_silent: Arc<AtomicBool>,
    /// Counts the ends of silences. A connection of an earlier one answers nothing any more.
    healed: Arc<AtomicU64>,
}

impl Entrance {
    /// Answers nothing from now on.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Serves new connections again. Those on which an answer was lost are closed.
    pub fn heal(&self) {
        self.healed.fetch_add(1, Ordering::SeqCst);
        self.is_silent.store(false, Ordering::SeqCst);
    }

    fn is_silent(&self, since: u64) -> bool {
        self.is_silent.load(Ordering::SeqCst) || self.healed.load(Ordering::SeqCst) != since
    }
}

impl Store {
    /// Opens an entrance for one machine.
    pub fn open(&self) -> Result<Entrance> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entrance = Entrance {
            addr: listener.local_addr()?,
            is_silent: Arc::default(),
            healed: Arc::default(),
        };
        let (store, opened) = (self.clone(), entrance.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, entrance) = (store.clone(), opened.clone());
                thread::spawn(move || store.serve(stream, &entrance));
            }
        });
        Ok(entrance)
    }

    /// Takes topics down, or all of them up again. Calls to those that are down get 503.
    pub fn set_down(&self, topics: &[&str]) {
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        *down = topics.iter().map(|topic| (*topic).to_owned()).collect();
    }

    /// Takes the whole store down, or up again. While it is down, all calls get 503.
    pub fn set_all_down(&self, is_down: bool) {
        self.is_all_down.store(is_down, Ordering::SeqCst);
    }

    /// Writes a record as the operator or a server does. Its acknowledgement is this call's return.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = Record { key: Some(key.to_owned()), value: value.as_bytes().to_vec() };
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Record>) -> (usize, usize) {
        let mut topics = self.topics();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream, entrance: &Entrance) {
        let _ = stream.set_nodelay(true);
        let since = entrance.healed.load(Ordering::SeqCst);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            while entrance.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            if entrance.is_silent(since) {
                return;
            }
            let answer = self.answer(&head, &body, || entrance.is_silent(since));
            while entrance.is_silent.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            if entrance.is_silent(since) || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], is_cut: impl Fn() -> bool) -> Vec<u8> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("");
        let is_all_down = self.is_all_down.load(Ordering::SeqCst);
        if is_all_down || self.down.lock().unwrap_or_else(PoisonError::into_inner).contains(topic) {
            return response(503, "", b"{}");
        }
        let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
        match path {
            "/-/log-append" => {
                let (offset, end) = self.append(topic, split_records(topic, body));
                response(200, "", format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes())
            }
            "/-/log-newest" => self.newest(topic, query.get("after").copied()),
            "/-/log-read" => {
                let wait_ms = number("waitMs").unwrap_or(0).min(MAX_WAIT_MS);
                self.read(topic, number("from").unwrap_or(0) as usize, wait_ms, is_cut)
            }
            _ => response(404, "", b"{}"),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Vec<u8> {
        // A topic is created on first use.
        let mut topics = self.topics();
        let log = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let Some(key) = &record.key else { continue };
            newest.insert(key, (offset, &record.value));
        }
        newest
            .retain(|key, (_, value)| !value.is_empty() && after.is_none_or(|after| *key > after));
        let has_more = newest.len() > PAGE_KEYS;
        let items: Vec<_> = newest
            .iter()
            .take(PAGE_KEYS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        let reply = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"end\":{end}}}");
        response(200, "", reply.as_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64, is_cut: impl Fn() -> bool) -> Vec<u8> {
        const POLL_MS: u64 = 50;
        const MAX_RECORDS: usize = 1_000;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics();
        while topics.get(topic).map_or(0, Vec::len) <= from && Instant::now() < until && !is_cut() {
            let left = until.saturating_duration_since(Instant::now());
            let left = left.min(Duration::from_millis(POLL_MS));
            topics = self
                .appended
                .wait_timeout(topics, left)
                .map_or_else(|error| error.into_inner().0, |(topics, _)| topics);
        }
        let empty = Vec::new();
        let log = topics.get(topic).unwrap_or(&empty);
        let mut reply = (log.len() as u64).to_be_bytes().to_vec();
        reply.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.iter().skip(from).take(MAX_RECORDS) {
            let mut bytes = Vec::new();
            if let Some(key) = &record.key {
                bytes.push(key.len() as u8);
                bytes.extend_from_slice(key.as_bytes());
            }
            bytes.extend_from_slice(&record.value);
            reply.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
            reply.extend_from_slice(&bytes);
        }
        response(200, "", &reply)
    }

    fn topics(&self) -> MutexGuard<'_, HashMap<String, Vec<Record>>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn split_records(topic: &str, mut bytes: &[u8]) -> Vec<Record> {
    let mut records = Vec::new();
    while bytes.len() >= 4 {
        let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        let record = &bytes[4..4 + length];
        bytes = &bytes[4 + length..];
        records.push(if topic.starts_with("keyed.") {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            Record { key: Some(String::from_utf8_lossy(key).into_owned()), value: value.to_vec() }
        } else {
            Record { key: None, value: record.to_vec() }
        });
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
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
