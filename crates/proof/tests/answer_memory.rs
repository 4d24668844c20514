//! A daemon stays within the memory of its VM although many answers at once do not end.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::net::SocketAddr;
use std::process::Command;

use async_net::TcpListener;
use bytes::Bytes;
use comfreymast_fakes::endless_upstream::{EndlessAnswer, EndlessUpstream};
use comfreymast_fakes::log_service::LogService;
use comfreymast_fakes::platform_documents::{
    CONFIGURATION_KEY, CallerRequest, ConfigurationEntry, OPERATORS_TOPIC, RouteEntry,
    UPSTREAMS_TOPIC, UpstreamEntry, VmEntry,
};
use comfreymast_net::{OwnedConnection, ServeLimits, Spawner, collect, serve, sleep_ms};
use comfreymast_platform::KeyedRecord;
use comfreymast_proof::{Process, program};

const THREADS: usize = 2;
/// The memory of the VMs of a small site.
const MEMORY_MB: u64 = 110;
const CALLS: usize = 16;
const LIMIT_MS: u64 = 20_000;
const KIB_PER_MB: u64 = 1_000_000 / 1_024;

fn write(store: &LogService, topic: &str, key: &str, value: &str) {
    let framed = KeyedRecord::encode(key, value.as_bytes());
    store.append_records(topic, vec![framed.slice(4..)]);
}

/// A daemon whose only upstream gives answers without end.
async fn start(spawner: &Spawner, store: &LogService, folder: &std::path::Path) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store_addr = listener.local_addr().unwrap();
    let (running, stop) = async_channel::bounded::<()>(1);
    let served = serve(spawner.clone(), listener, store.handler(), ServeLimits::default(), stop);
    spawner.detach(async move {
        served.await;
        drop(running);
    });
    let routes = [RouteEntry { timeout_ms: LIMIT_MS, ..RouteEntry::default() }];
    let configuration = ConfigurationEntry {
        version: 1,
        host: "h.example",
        routes: &routes,
        slots: 64,
        memory_tokens: 10_000,
        organisation: "org",
        key: "key-1",
    };
    write(store, OPERATORS_TOPIC, CONFIGURATION_KEY, &configuration.document().to_string());
    let chunk = "1000\r\n".to_owned() + &"a".repeat(0x1000) + "\r\n";
    let endless = EndlessUpstream::start(EndlessAnswer {
        beginning: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: s\r\n\
            transfer-encoding: chunked\r\n\r\n"
            .to_owned(),
        repeated: Bytes::from(chunk),
        max_ms: LIMIT_MS,
    })
    .unwrap();
    let entry = UpstreamEntry {
        addr: endless.addr,
        service: "plain",
        data_centre: "z1",
        slots: 64,
        state: "ready",
        version: "v1",
        started_unix_ms: 1,
        sequence: 1,
    };
    write(store, UPSTREAMS_TOPIC, "e0", &entry.document().to_string());
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
    settings["limits"] = serde_json::json!({ "memoryMb": MEMORY_MB });
    let path = folder.join("d0.json");
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(program("comfreymast"));
    command.arg("serve").arg("--settings").arg(&path);
    Process::start_logged(command, &folder.join("d0.log")).unwrap()
}

/// The most memory that a process has had, in KiB.
fn peak_memory_kib(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn a_daemon_stays_within_its_memory_although_many_answers_do_not_end() {
    let folder = tempfile::TempDir::new().unwrap();
    Spawner::run(THREADS, async |spawner| {
        let store = LogService::new();
        let process = start(&spawner, &store, folder.path()).await;
        let words = process.listening().split_whitespace();
        let callers = words.filter_map(|word| word.strip_prefix("callers=")).next().unwrap();
        let addr: SocketAddr = callers.parse().unwrap();
        let mut calls = Vec::new();
        // The first ones only wait until the configuration and the upstream are known.
        for number in 0..3 * CALLS {
            let task_spawner = spawner.clone();
            calls.push(spawner.spawn(async move {
                let opened = OwnedConnection::open(&task_spawner, addr, LIMIT_MS);
                let mut connection = opened.await.unwrap();
                let id = format!("id{number}");
                let request = CallerRequest { id: &id, ..CallerRequest::default() };
                let answer = connection.send(request.request("GET", "/plain/a", "")).await.unwrap();
                let status = answer.status();
                let _ = collect(answer.into_body(), usize::MAX).await;
                status
            }));
            if number + 1 == CALLS {
                sleep_ms(2_000).await;
            }
        }
        for call in calls {
            assert!(!call.await.is_success());
        }
        let peak_kib = peak_memory_kib(&process);
        println!("{peak_kib} KiB at most");
        assert!(peak_kib <= MEMORY_MB * KIB_PER_MB, "{peak_kib} KiB");
    });
}
