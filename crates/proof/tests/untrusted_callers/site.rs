//! A store, upstreams and one daemon of the platform with lowered limits.

use std::net::SocketAddr;
use std::process::Command;

use async_net::TcpListener;
use comfreymast_fakes::log_service::LogService;
use comfreymast_fakes::platform_documents::{
    CONFIGURATION_KEY, CallerRequest, ConfigurationEntry, OPERATORS_TOPIC, RouteEntry,
    UPSTREAMS_TOPIC, UpstreamEntry, VmEntry,
};
use comfreymast_fakes::platform_upstream::PlatformUpstream;
use comfreymast_net::{
    Body, Handler, OwnedConnection, ServeLimits, Spawner, channel, collect, full, handler, serve,
    sleep_ms,
};
use comfreymast_platform::KeyedRecord;
use comfreymast_proof::{Process, program};
use hyper::Response;

use crate::{MAX_BODY_BYTES, MAX_FDS, MEMORY_MB};

const SLOTS: u32 = 1_000;
const MEMORY_TOKENS: u64 = 10_000_000;
const CALL_MS: u64 = 20_000;
const ORDINARY_BODY_BYTES: usize = 1_000;
const POLL_MS: u64 = 100;
const ATTEMPTS: usize = 200;
const LARGE_ANSWER_BYTES: usize = 512 * 1024;
const EVENT_BYTES: usize = 64 * 1024;
const EVENTS: usize = 32;
const STREAM_CAPACITY: usize = 2;

pub(crate) struct Site {
    spawner: Spawner,
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// The upstream of the route `plain`.
    pub(crate) upstream: PlatformUpstream,
    _folder: tempfile::TempDir,
}

fn write(store: &LogService, topic: &str, key: &str, value: &str) {
    let framed = KeyedRecord::encode(key, value.as_bytes());
    store.append_records(topic, vec![framed.slice(4..)]);
}

async fn listen(spawner: &Spawner, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (running, stop) = async_channel::bounded::<()>(1);
    let served = serve(spawner.clone(), listener, handler, ServeLimits::default(), stop);
    spawner.detach(async move {
        served.await;
        drop(running);
    });
    addr
}

/// Answers each request with a long answer, or with a stream of long events.
fn large_answers(spawner: &Spawner) -> Handler {
    let spawner = spawner.clone();
    handler(move |request| {
        let spawner = spawner.clone();
        async move {
            let (head, body) = request.into_parts();
            let _ = collect(body, MAX_BODY_BYTES).await;
            let is_stream = head.headers.contains_key("x-token-counts");
            let body =
                if is_stream { events(&spawner) } else { full(vec![b'a'; LARGE_ANSWER_BYTES]) };
            let mut response = Response::new(body);
            if let Some(id) = head.headers.get("x-attempt-id") {
                response.headers_mut().insert("x-attempt-id", id.clone());
            }
            let headers = response.headers_mut();
            headers.insert("x-server-signature", "signed-by-large".parse().unwrap());
            if is_stream {
                headers.insert("content-type", "text/event-stream".parse().unwrap());
            }
            response
        }
    })
}

fn events(spawner: &Spawner) -> Body {
    let (sender, body) = channel(STREAM_CAPACITY);
    spawner.detach(async move {
        for number in 1..=EVENTS {
            let data = "a".repeat(EVENT_BYTES);
            let event = format!("id: {number}\ndata: {data}\n\n");
            if sender.send(Ok(event.into())).await.is_err() {
                return;
            }
        }
    });
    body
}

impl Site {
    /// Starts the daemon and waits until it serves.
    pub(crate) async fn start(spawner: &Spawner) -> Self {
        let folder = tempfile::TempDir::new().unwrap();
        let store = LogService::new();
        let store_addr = listen(spawner, store.handler()).await;
        let routes = [
            RouteEntry { timeout_ms: CALL_MS, ..RouteEntry::default() },
            RouteEntry {
                name: "large",
                service: "large",
                timeout_ms: CALL_MS,
                ..RouteEntry::default()
            },
            RouteEntry {
                name: "streams",
                kind: "streaming",
                service: "engines",
                timeout_ms: CALL_MS,
                ..RouteEntry::default()
            },
        ];
        let configuration = ConfigurationEntry {
            version: 1,
            host: "h.example",
            routes: &routes,
            slots: SLOTS,
            memory_tokens: MEMORY_TOKENS,
            organisation: "org",
            key: "key-1",
        };
        let mut document = configuration.document();
        document["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
        let services = document["services"].as_array_mut().unwrap();
        services.push(serde_json::json!({ "name": "large", "maxConnections": 2_000 }));
        write(&store, OPERATORS_TOPIC, CONFIGURATION_KEY, &document.to_string());
        let upstream = PlatformUpstream::start(spawner, "u0").await.unwrap();
        let large = listen(spawner, large_answers(spawner)).await;
        let entries =
            [("u0", upstream.addr, "plain"), ("l0", large, "large"), ("e0", large, "engines")];
        for (name, addr, service) in entries {
            let entry = UpstreamEntry {
                addr,
                service,
                data_centre: "z1",
                slots: SLOTS,
                state: "ready",
                version: "v1",
                started_unix_ms: 1,
                sequence: 1,
            };
            write(&store, UPSTREAMS_TOPIC, name, &entry.document().to_string());
        }
        let process = start_daemon(folder.path(), store_addr);
        let addr = |name: &str| -> SocketAddr {
            let words = process.listening().split_whitespace();
            words.filter_map(|word| word.strip_prefix(name)).next().unwrap().parse().unwrap()
        };
        let (callers, peers) = (addr("callers="), addr("peers="));
        let site =
            Self { spawner: spawner.clone(), process, callers, peers, upstream, _folder: folder };
        assert!(site.serves_an_ordinary_request("first").await);
        site
    }

    /// True once a caller with a short body was served; one that is refused tries again.
    pub(crate) async fn serves_an_ordinary_request(&self, id: &str) -> bool {
        for attempt in 0..ATTEMPTS {
            let id = format!("{id}-{attempt}");
            let request = CallerRequest { id: &id, ..CallerRequest::default() };
            let request = request.request("POST", "/plain/a", "a".repeat(ORDINARY_BODY_BYTES));
            if let Ok(mut connection) =
                OwnedConnection::open(&self.spawner, self.callers, CALL_MS).await
                && let Ok(answer) = connection.send(request).await
                && answer.status().is_success()
            {
                return true;
            }
            sleep_ms(POLL_MS).await;
        }
        false
    }
}

fn start_daemon(folder: &std::path::Path, store_addr: SocketAddr) -> Process {
    let mut settings = VmEntry {
        name: "d0",
        data_centre: "z1",
        store_addr,
        grace_s: 8,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window_s: 10,
        link_mbps: 1_000.0,
    }
    .document();
    settings["limits"] = serde_json::json!({ "memoryMb": MEMORY_MB, "maxFds": MAX_FDS });
    let path = folder.join("d0.json");
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(program("comfreymast"));
    command.arg("serve").arg("--settings").arg(&path);
    Process::start_logged(command, &folder.join("d0.log")).unwrap()
}
