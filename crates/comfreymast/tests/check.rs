//! Guards against a check whose exit code, output or store access misleads a deployment script.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use comfreymast_fakes::log_service::LogService;
use comfreymast_fakes::platform_documents::{
    CONFIGURATION_KEY, ConfigurationEntry, OPERATORS_TOPIC, RouteEntry, UPSTREAMS_TOPIC,
    UpstreamEntry,
};
use comfreymast_net::{ServeLimits, Spawner, serve};
use comfreymast_platform::KeyedRecord;
use serde_json::{Value, json};
use tempfile::TempDir;

fn document() -> Value {
    let routes = [
        RouteEntry::default(),
        RouteEntry {
            name: "report",
            kind: "streaming",
            service: "engines",
            ..RouteEntry::default()
        },
    ];
    let configuration = ConfigurationEntry {
        version: 7,
        host: "h.example",
        routes: &routes,
        slots: 8,
        memory_tokens: 10_000,
        organisation: "org",
        key: "key-1",
    };
    configuration.document()
}

/// Writes the document with `change` applied to it.
fn write(folder: &TempDir, name: &str, change: impl FnOnce(&mut Value)) -> PathBuf {
    let mut document = document();
    change(&mut document);
    let path = folder.path().join(name);
    std::fs::write(&path, document.to_string()).expect("a file");
    path
}

fn run(path: &Path, flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_comfreymast"));
    command.arg("check").arg(path).args(flags).output().expect("an end")
}

fn exit_code(path: &Path, flags: &[&str]) -> Option<i32> {
    run(path, flags).status.code()
}

fn report(path: &Path, flags: &[&str]) -> Value {
    let output = run(path, &[flags, &["--json"]].concat());
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn the_exit_code_tells_warnings_and_errors() {
    let folder = TempDir::new().expect("a folder");
    let sound = write(&folder, "sound.json", |_| ());
    assert_eq!(exit_code(&sound, &["--deny-warnings"]), Some(0));
    let warning = write(&folder, "warning.json", |all| all["routes"][0]["timeoutMs"] = json!(1));
    assert_eq!(exit_code(&warning, &[]), Some(0));
    assert_eq!(exit_code(&warning, &["--deny-warnings"]), Some(1));
    let error = write(&folder, "error.json", |all| all["routes"][0]["service"] = json!("gone"));
    assert_eq!(exit_code(&error, &[]), Some(2));
    assert_eq!(exit_code(&folder.path().join("none.json"), &["--deny-warnings"]), Some(2));
    assert_eq!(exit_code(&sound, &["--memory-mb", "1"]), Some(0), "4 kB bodies");
    let large = |all: &mut Value| all["limits"]["maxBodyBytes"] = json!(4_194_304);
    let large = write(&folder, "large.json", large);
    assert_eq!(exit_code(&large, &["--memory-mb", "4"]), Some(2));
}

#[test]
fn text_and_json_tell_where_and_what() {
    let folder = TempDir::new().expect("a folder");
    let path = write(&folder, "error.json", |all| all["routes"][0]["service"] = json!("gone"));
    let text = String::from_utf8(run(&path, &[]).stdout).expect("text");
    assert!(text.contains("error.json:1: error[missing-service]: routes[0].service: "), "{text}");
    let report = report(&path, &[]);
    assert_eq!(report["valid"], false);
    assert_eq!(report["findings"][0]["code"], "missing-service");
    assert!(report.get("differences").is_none());
}

#[test]
fn differences_from_a_file_are_told_and_an_old_version_is_an_error() {
    let folder = TempDir::new().expect("a folder");
    let before = write(&folder, "before.json", |_| ());
    let after = write(&folder, "after.json", |all| {
        all["version"] = json!(8);
        all["tenants"][0]["apiKeys"] = json!(["another-long-key"]);
    });
    let before_flag = before.to_str().expect("a path");
    let told = report(&after, &["--against", before_flag]);
    let codes: Vec<_> =
        told["differences"].as_array().expect("a list").iter().map(|one| &one["code"]).collect();
    assert_eq!(codes, ["key-revoked", "key-added"]);
    assert_eq!(exit_code(&before, &["--against", after.to_str().expect("a path")]), Some(2));
}

/// A store with the document in force and an upstream in z1; calls `check` with its address.
fn with_store(check: impl FnOnce(SocketAddr, &LogService)) {
    Spawner::run(2, async |spawner| {
        let store = LogService::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = async_net::TcpListener::bind(any).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (_running, stop) = async_channel::bounded(1);
        let limits = ServeLimits::default();
        spawner.detach(serve(spawner.clone(), listener, store.handler(), limits, stop));
        let entry = UpstreamEntry {
            addr,
            service: "plain",
            data_centre: "z1",
            slots: 8,
            state: "ready",
            version: "v1",
            started_unix_ms: 5,
            sequence: 1,
        };
        let records = [
            (OPERATORS_TOPIC, CONFIGURATION_KEY, document()),
            (UPSTREAMS_TOPIC, "u0", entry.document()),
        ];
        for (topic, key, value) in records {
            let framed = KeyedRecord::encode(key, value.to_string().as_bytes());
            store.append_records(topic, vec![framed.slice(4..)]);
        }
        check(addr, &store);
    });
}

#[test]
fn the_version_in_force_and_the_upstreams_come_from_the_store() {
    let folder = TempDir::new().expect("a folder");
    let settings = folder.path().join("settings.json");
    let regions = json!({ "zones": { "z1": "eu", "z2": "us" } });
    std::fs::write(&settings, regions.to_string()).expect("a file");
    let change = |all: &mut Value| {
        all["version"] = json!(8);
        all["routes"][0]["allowedRegions"] = json!(["us"]);
    };
    let path = write(&folder, "after.json", change);
    with_store(|addr, stored| {
        let store = addr.to_string();
        let flags = ["--store", &store, "--settings", settings.to_str().expect("a path")];
        let told = report(&path, &flags);
        assert_eq!(told["findings"][0]["code"], "regions-exclude-all", "{told}");
        assert_eq!(told["findings"].as_array().map(Vec::len), Some(1), "{told}");
        assert!(told["differences"].is_array(), "{told}");
        let old = write(&folder, "old.json", |_| ());
        assert_eq!(exit_code(&old, &["--store", &store]), Some(2));
        let both = ["--store", &store, "--against", old.to_str().expect("a path")];
        assert_eq!(exit_code(&path, &both), Some(2));
        assert_eq!(stored.stats().append_calls, 0, "a check never writes");
    });
    assert_eq!(exit_code(&path, &["--store", "127.0.0.1:1"]), Some(2));
}
