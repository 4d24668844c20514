//! `comfreymast quarantine --store` lists and lifts the quarantines of daemons on the platform.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::net::SocketAddr;
use std::process::Command;

use async_net::TcpListener;
use comfreymast_fakes::log_service::LogService;
use comfreymast_net::{ServeLimits, Spawner, serve};
use comfreymast_platform::KeyedRecord;
use comfreymast_proof::program;
use comfreymast_wire::news::Suspect;
use prost::Message;

const TOPIC: &str = "keyed.quarantines";
const THREADS: usize = 2;

/// Runs the command; returns its exit code and standard output.
fn quarantine(store: SocketAddr, args: &[&str]) -> (i32, String) {
    let output = Command::new(program("comfreymast"))
        .args(["--format", "json", "quarantine", "--store", &store.to_string()])
        .args(args)
        .output()
        .unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn quarantines_of_the_store_are_listed_and_lifted() {
    Spawner::run(THREADS, async |spawner| {
        let store = LogService::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (_running, stop) = async_channel::bounded::<()>(1);
        let limits = ServeLimits::default();
        spawner.detach(serve(spawner.clone(), listener, store.handler(), limits, stop));
        let fingerprint = "ab".repeat(32);
        let suspect = Suspect {
            deaths: vec!["u0@127.0.0.1:1#5".to_owned(), "u1@127.0.0.1:2#6".to_owned()],
            is_quarantined: true,
            daemon: "d0".to_owned(),
            written_unix_ms: 7,
            members: Vec::new(),
        };
        let framed = KeyedRecord::encode(&fingerprint, &suspect.encode_to_vec());
        store.append_records(TOPIC, vec![framed.slice(4..)]);

        let (code, listed) = quarantine(addr, &["list"]);
        assert_eq!(code, 0);
        let listed: serde_json::Value = serde_json::from_str(&listed).unwrap();
        assert_eq!(listed[0]["fingerprint"], *fingerprint);
        assert_eq!(listed[0]["quarantined"], true);
        assert_eq!(listed[0]["deaths"].as_array().unwrap().len(), 2);
        assert_eq!(listed[0]["parts"].as_array().unwrap().len(), 0);

        assert_eq!(quarantine(addr, &["lift", &fingerprint]).0, 0);
        let (_, listed) = quarantine(addr, &["list"]);
        assert_eq!(listed.trim(), "[]");
        assert_eq!(quarantine(addr, &["lift", &fingerprint]).0, 1, "there is nothing to lift");
    });
}
