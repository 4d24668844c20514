//! Tests that odd entries among those of the upstreams neither end a daemon nor keep it from following the others.

mod support;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_fakes::platform_documents::UPSTREAMS_TOPIC;
use hyper::StatusCode;
use support::{TestEnv, call, generation, run_test, wait_for};

/// Deeper than any decoder's stack is meant for; a record may have 262,144 bytes.
const DEPTH: usize = 40_000;

/// An entry that is right but for `field`, whose value is `value`.
fn entry(service: &str, field: &str, value: &str) -> String {
    let mut fields = vec![
        ("service", format!("\"{service}\"")),
        ("address", "\"127.0.0.1:9\"".to_owned()),
        ("zone", "\"z1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"draining\"".to_owned()),
        ("coldRemainingMs", "0".to_owned()),
        ("sequence", "1".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("born", "5".to_owned()),
    ];
    fields.retain(|(name, _)| *name != field);
    let fields: Vec<_> =
        fields.into_iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{},\"{field}\":{value}}}", fields.join(","))
}

fn odd_entries() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let deep_objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let numbers =
        ["1e300", "1e400", "-1", "18446744073709551615", "99999999999999999999999", "0.5"];
    let mut entries = vec![deep.clone(), deep_objects.clone(), "null".to_owned(), "{".to_owned()];
    for field in ["slots", "coldRemainingMs", "sequence", "version", "born", "unknown"] {
        for value in numbers.into_iter().chain([deep.as_str(), deep_objects.as_str()]) {
            entries.push(entry("plain", field, value));
            entries.push(entry("engines", field, value));
        }
    }
    for addr in ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", "256.0.0.1:9", "[::1]:9", ""] {
        entries.push(entry("plain", "address", &format!("\"{addr}\"")));
    }
    // As ready ones they may be chosen, and their numbers used.
    let ready: Vec<_> = entries.iter().map(|text| text.replace("draining", "ready")).collect();
    entries.extend(ready);
    entries
}

#[test]
fn odd_entries_neither_end_a_daemon_nor_hide_the_others() {
    run_test(async |spawner| {
        let mut env = TestEnv::new(&spawner).await;
        env.retry_slack = 100_000.0;
        env.publish(1, |_| ());
        let plain = env.upstream("u0", "plain").await;
        let _engine = env.upstream("e0", "engines").await;
        let gateways = [env.gateway("d0").await, env.gateway("d1").await];
        for gateway in &gateways {
            gateway.wait_ready(&spawner).await;
        }
        let entries = odd_entries();
        for (number, odd) in entries.iter().enumerate() {
            env.write(UPSTREAMS_TOPIC, &format!("odd{number}"), odd.as_bytes());
        }
        env.write(UPSTREAMS_TOPIC, "\u{feff}\n\0", b"\xff\xfe");
        // Daemons that read all entries at once, and records that were deleted.
        env.set_faults(LogFaults { retention_records: 1, ..LogFaults::default() });
        let late = env.gateway("d2").await;
        late.wait_ready(&spawner).await;
        // From now on only an upstream that comes after all of them serves.
        let added = env.upstream("added", "plain").await;
        env.announce(&plain, "plain", "draining");
        for gateway in gateways.iter().chain([&late]) {
            wait_for("use of the upstream that comes after them", async || {
                let before = added.runs().len();
                gateway.call(&spawner, call("GET", "/safe/x", "id")).await;
                added.runs().len() > before
            })
            .await;
            let served = async || {
                let answer = gateway.call(&spawner, generation("/caption/x", "id")).await;
                answer.status == StatusCode::OK
            };
            wait_for("a stream", served).await;
        }
        // An odd entry that is mended is used; so is one that turns odd and is removed.
        for (number, _) in entries.iter().enumerate() {
            env.write(UPSTREAMS_TOPIC, &format!("odd{number}"), b"");
        }
        for gateway in gateways.iter().chain([&late]) {
            let answer = gateway.call(&spawner, call("GET", "/plain/x", "id")).await;
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
}
