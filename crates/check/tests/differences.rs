//! Guards against changes that reach operators only once they are in force.

use comfreymast_check::differences;
use serde_json::{Value, json};

fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            { "name": "chat", "host": "h", "pathPrefix": "/chat/", "kind": "safe", "service": "a" },
            { "name": "old", "host": "h", "pathPrefix": "/old/", "kind": "safe", "service": "a" },
            { "name": "far", "host": "h", "pathPrefix": "/far/", "kind": "safe", "service": "a" },
        ],
        "services": [{ "name": "a", "engine": { "slots": 4, "kvCapacityTokens": 100 } }, { "name": "b" }],
        "limits": { "maxBodyBytes": 1_000 },
        "tenants": [
            { "name": "org", "apiKeys": ["long-secret-key-1111", "long-secret-key-2222"] },
            { "name": "gone", "apiKeys": ["long-secret-key-3333"] },
        ],
    })
}

/// The codes and subjects of the differences after `change`, without that of the version.
fn changes(change: impl FnOnce(&mut Value)) -> Vec<(&'static str, String, String)> {
    let before = document();
    let mut after = before.clone();
    after["version"] = json!(8);
    change(&mut after);
    let found = differences(before.to_string().as_bytes(), after.to_string().as_bytes());
    let found = found.expect("sound documents").into_iter();
    found.map(|one| (one.code, one.subject, one.message)).collect()
}

fn assert_change(change: impl FnOnce(&mut Value), expected: &[(&str, &str, &str)]) {
    let found = changes(change);
    let expected: Vec<_> = expected
        .iter()
        .map(|(code, subject, message)| (*code, (*subject).to_owned(), (*message).to_owned()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn equal_documents_differ_in_nothing_but_a_version_must_rise() {
    assert_change(|_| (), &[]);
    let message = "would not take effect: version 7 is in force, and this one is 7";
    let expected = [("version-not-higher", "version", message)];
    assert_change(|all| all["version"] = json!(7), &expected);
}

#[test]
fn routes_that_are_added_removed_and_moved_are_told() {
    let change = |all: &mut Value| {
        all["routes"][0]["service"] = json!("b");
        all["routes"][1]["pathPrefix"] = json!("/new/");
        all["routes"][2] = json!({ "name": "near", "host": "h", "pathPrefix": "/near/",
                                   "kind": "safe", "service": "b" });
    };
    assert_change(
        change,
        &[
            ("route-removed", "far", "removed: requests to h/far/ are denied"),
            ("route-moved", "old", "moved from h/old/ to h/new/"),
            ("route-added", "near", "added: h/near/ goes to b"),
            ("route-target", "chat", "goes to b, until now to a"),
        ],
    );
}

#[test]
fn changed_fields_of_routes_are_told() {
    let change = |all: &mut Value| {
        all["routes"][0]["timeoutMs"] = json!(5_000);
        all["routes"][0]["public"] = json!(true);
        all["routes"][0]["kind"] = json!("unsafe");
    };
    let codes: Vec<_> = changes(change).into_iter().map(|(code, ..)| code).collect();
    assert_eq!(codes, ["route-limit", "route-kind", "route-public"]);
}

#[test]
fn keys_are_told_with_their_holder_and_never_whole() {
    let change = |all: &mut Value| {
        all["tenants"][0]["apiKeys"] = json!(["long-secret-key-1111", "long-secret-key-4444"]);
        all["tenants"][1] = json!({ "name": "next", "apiKeys": ["long-secret-key-3333"] });
    };
    assert_change(
        change,
        &[
            ("key-revoked", "org", "key …2222 is revoked"),
            ("key-moved", "gone", "key …3333 becomes one of next"),
            ("key-added", "org", "key …4444 is added"),
            ("tenant-removed", "gone", "removed, with all its keys"),
            ("tenant-added", "next", "added"),
        ],
    );
    let found = changes(|all| all["tenants"] = Value::Null);
    assert_eq!(found[0].0, "keys-required");
    assert!(found.iter().all(|(.., message)| !message.contains("secret")));
}

#[test]
fn limits_and_services_are_told() {
    let change = |all: &mut Value| {
        all["limits"]["maxBodyBytes"] = json!(500);
        all["services"][0]["engine"]["slots"] = json!(6);
        all["services"][1] = json!({ "name": "c" });
        all["tenants"][0]["priority"] = json!(3);
    };
    assert_change(
        change,
        &[
            ("service-removed", "b", "removed"),
            ("service-changed", "a", "engine.slots changes from 4 to 6"),
            ("service-added", "c", "added"),
            ("limit", "maxBodyBytes", "lowered from 1000 to 500"),
            ("tenant-changed", "org", "priority changes from the default to 3"),
        ],
    );
}
