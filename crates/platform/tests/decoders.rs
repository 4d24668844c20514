//! Decoders return a value or a typed error for arbitrary input and never panic.

use comfreymast_platform::{
    CopyLocation, MoveError, RequestHead, VmSettings, decode_configuration, decode_move_reply,
    decode_report, decode_upstream,
};
use hyper::{Request, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

const SEED: u64 = 23;

fn proptest_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() }
}

fn upstream_entry() -> serde_json::Value {
    json!({ "service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 4, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1, "born": 7, "version": "v1", "new": [1] })
}

/// Arbitrary JSON values of small depth.
fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(Into::into),
        any::<i64>().prop_map(Into::into),
        any::<f64>().prop_map(Into::into),
        "[a-z:.0-9]{0,12}".prop_map(Into::into),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Into::into),
            prop::collection::vec(("[a-z]{1,8}", inner), 0..4)
                .prop_map(|pairs| serde_json::Value::Object(pairs.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_upstream("u", &bytes);
        let _ = decode_configuration(&bytes);
        let _ = decode_report(&bytes);
        let _ = decode_move_reply(StatusCode::OK, &bytes);
        let _ = VmSettings::decode(&bytes);
    }

    #[test]
    fn arbitrary_upstream_field_values_do_not_panic(
        field in prop::sample::select(vec!["service", "address", "zone", "slots", "state", "born"]),
        value in any_json(),
    ) {
        let mut entry = upstream_entry();
        entry[field] = value;
        let _ = decode_upstream("u", entry.to_string().as_bytes());
    }

    #[test]
    fn arbitrary_header_values_are_accepted(
        id in "[ -~]{0,20}",
        counts in "[ -~]{0,20}",
        parts in "[ -~]{0,30}",
    ) {
        let request = Request::builder()
            .header("host", "H.example:80")
            .header("x-attempt-id", id.trim())
            .header("x-token-counts", counts.trim())
            .header("x-prompt-prefix", parts.trim())
            .body(()).expect("valid request");
        let head = RequestHead::decode(&request.into_parts().0).expect("one id and one host");
        prop_assert_eq!(head.host, "h.example");
    }
}

#[test]
fn upstream_entry_decodes_and_unknown_fields_are_ignored() {
    let record =
        decode_upstream("u", upstream_entry().to_string().as_bytes()).expect("valid entry");
    assert_eq!(record.slots, 4);
    assert_eq!(record.started_unix_ms, Some(7));
    assert!(!record.is_leaving);
}

#[test]
fn invalid_upstream_entries_are_rejected() {
    for (field, value) in [
        ("state", json!("odd")),
        ("address", json!("nowhere")),
        ("address", json!(null)),
        ("slots", json!("4")),
        ("born", json!(7.5)),
    ] {
        let mut entry = upstream_entry();
        entry[field] = value;
        assert!(decode_upstream("u", entry.to_string().as_bytes()).is_err(), "{entry}");
    }
}

#[test]
fn duplicate_id_or_host_headers_are_rejected() {
    for (name, value) in [("x-attempt-id", "b"), ("host", "other")] {
        let request = Request::builder()
            .header("host", "h")
            .header("x-attempt-id", "a")
            .header(name, value)
            .body(())
            .expect("valid request");
        assert!(RequestHead::decode(&request.into_parts().0).is_err());
    }
}

#[test]
fn move_replies_decode_by_status() {
    let copied = decode_move_reply(StatusCode::OK, br#"{"handle":"h","createdRev":9}"#);
    assert_eq!(copied.map(|copied| copied.events), Ok(9));
    assert_eq!(decode_move_reply(StatusCode::NOT_FOUND, b""), Err(MoveError::NotRunning));
    assert_eq!(decode_move_reply(StatusCode::CONFLICT, b"{}"), Err(MoveError::Busy));
    let kept = decode_move_reply(StatusCode::SERVICE_UNAVAILABLE, br#"{"handle":"h"}"#);
    assert_eq!(kept, Err(MoveError::NoRoom { handle: Some("h".to_owned()) }));
    let location = CopyLocation {
        addr: "10.0.0.1:80".parse().expect("valid address"),
        handle: "h".to_owned(),
    };
    assert_eq!(location.handle, "h");
}

#[test]
fn a_software_version_is_a_text_or_a_number_and_nothing_else_spoils_its_entry() {
    let version = |value: serde_json::Value| {
        let mut entry = upstream_entry();
        entry["version"] = value;
        let record = decode_upstream("u", entry.to_string().as_bytes()).expect("an entry");
        record.version.map(|version| version.to_string())
    };
    assert_eq!(version(json!("v1.2")).as_deref(), Some("v1.2"));
    assert_eq!(version(json!(12)).as_deref(), Some("12"));
    for other in [json!(null), json!(true), json!(["v1"]), json!({ "v": 1 })] {
        assert_eq!(version(other), None);
    }
    let mut entry = upstream_entry();
    entry.as_object_mut().expect("an object").remove("version");
    assert_eq!(decode_upstream("u", entry.to_string().as_bytes()).expect("an entry").version, None);
}

fn settings_with(change: impl FnOnce(&mut serde_json::Value)) -> VmSettings {
    let mut document = json!({
        "node": "d0", "ip": "127.0.0.1", "zone": "z1", "portRange": [7_000],
        "listen": { "front": "127.0.0.1:0", "ready": "127.0.0.1:0" },
        "platform": { "address": "127.0.0.1:1" }, "bounds": {},
    });
    change(&mut document);
    VmSettings::decode(document.to_string().as_bytes()).expect("settings")
}

#[test]
fn regions_and_the_bound_of_evacuations_are_optional_settings() {
    let plain = settings_with(|_| ());
    assert_eq!(plain.evacuation_ms, None);
    assert_eq!(plain.region_of(&"z1".into()), None);
    let full = settings_with(|document| {
        document["bounds"]["evacMs"] = 5_000.into();
        document["region"] = "eu".into();
        document["zones"] = json!({ "z2": "us", "z3": 7 });
    });
    assert_eq!(full.evacuation_ms, Some(5_000));
    assert_eq!(full.region_of(&"z1".into()), Some(&"eu".into()), "its own, which is not listed");
    assert_eq!(full.region_of(&"z2".into()), Some(&"us".into()));
    assert_eq!(full.region_of(&"z3".into()), None, "no name");
    assert_eq!(full.region_of(&"z4".into()), None);
    // A list of names is no map; a daemon starts all the same.
    assert!(settings_with(|document| document["zones"] = json!(["z1"])).regions.is_empty());
}

#[test]
fn allowed_regions_of_routes_and_organisations_are_decoded() {
    let document = json!({
        "version": 1,
        "routes": [
            { "name": "a", "host": "h", "pathPrefix": "/a/", "kind": "safe", "service": "s",
              "allowedRegions": ["eu"] },
            { "name": "b", "host": "h", "pathPrefix": "/b/", "kind": "safe", "service": "s" },
        ],
        "tenants": [{ "name": "o", "apiKeys": ["k"], "allowedRegions": ["eu", "us"] }],
    });
    let configuration = decode_configuration(document.to_string().as_bytes()).expect("valid");
    let regions_of =
        |path| configuration.routes.find("h", path).expect("a route").allowed_regions.clone();
    assert_eq!(regions_of("/a/x"), Some(vec!["eu".into()]));
    assert_eq!(regions_of("/b/x"), None);
    let holder = configuration.keyring.holder("k").expect("a holder");
    assert_eq!(holder.allowed_regions, Some(vec!["eu".into(), "us".into()]));
}
