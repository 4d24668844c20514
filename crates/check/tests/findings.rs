//! Guards against documents that daemons reject or misread without anybody being told before.

use std::collections::BTreeMap;

use comfreymast_check::{Finding, RegisteredUpstream, Severity, Surroundings, check};
use comfreymast_fakes::platform_documents::{ConfigurationEntry, RouteEntry};
use serde_json::{Value, json};

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

fn findings_in(change: impl FnOnce(&mut Value), surroundings: &Surroundings) -> Vec<Finding> {
    let mut document = document();
    change(&mut document);
    check(serde_json::to_string_pretty(&document).expect("JSON").as_bytes(), surroundings)
}

/// Asserts that `change` brings this finding and no other.
fn assert_finds(change: impl FnOnce(&mut Value), severity: Severity, code: &str, location: &str) {
    assert_finds_in(change, &Surroundings::default(), severity, code, location);
}

fn assert_finds_in(
    change: impl FnOnce(&mut Value),
    surroundings: &Surroundings,
    severity: Severity,
    code: &str,
    location: &str,
) {
    let findings = findings_in(change, surroundings);
    let found: Vec<_> = findings
        .iter()
        .map(|finding| (finding.severity, finding.code, finding.location.as_str()))
        .collect();
    assert_eq!(found, [(severity, code, location)], "{findings:?}");
    assert!(findings[0].line.is_some(), "{findings:?}");
}

#[test]
fn a_sound_document_has_no_findings() {
    assert_eq!(findings_in(|_| (), &Surroundings::default()), []);
}

#[test]
fn what_daemons_reject_is_an_error_with_its_line() {
    let findings = check(b"{\n\"version\": 1,\n", &Surroundings::default());
    assert_eq!((findings[0].code, findings[0].line), ("rejected", Some(3)), "{findings:?}");
    let text = "{ \"version\": 1, \"routes\": [\n { \"host\": 3 } ] }";
    let findings = check(text.as_bytes(), &Surroundings::default());
    assert_eq!(findings.len(), 1);
    assert_eq!((findings[0].severity, findings[0].line), (Severity::Error, Some(2)));
    let missing = findings_in(
        |document| {
            document.as_object_mut().expect("an object").remove("version");
        },
        &Surroundings::default(),
    );
    assert_eq!(missing[0].code, "rejected");
}

#[test]
fn findings_name_the_line_of_their_value() {
    let mut document = document();
    document["routes"][1]["timeoutMs"] = json!(500);
    let text = serde_json::to_string_pretty(&document).expect("JSON");
    let findings = check(text.as_bytes(), &Surroundings::default());
    let line = findings[0].line.expect("a line");
    assert!(text.lines().nth(line - 1).expect("a line").contains("\"timeoutMs\": 500"));
}

#[test]
fn misspelt_fields_are_found() {
    use Severity::Warning;
    let at = "routes[0].timeoutms";
    assert_finds(|all| all["routes"][0]["timeoutms"] = json!(1), Warning, "unknown-field", at);
    let at = "services[1].engine.slot";
    assert_finds(
        |all| all["services"][1]["engine"]["slot"] = json!(1),
        Warning,
        "unknown-field",
        at,
    );
    assert_finds(|all| all["tenant"] = json!([]), Warning, "unknown-field", "tenant");
}

/// Guards against warnings on what each configuration of the platform has, daemons reading it or not.
#[test]
fn fields_that_daemons_do_not_read_are_no_misspelt_ones() {
    let with_all = |all: &mut Value| {
        all["routes"][0]["sticky"] = json!(true);
        all["services"][0]["protocol"] = json!("h1");
        all["services"][0]["tls"] = json!(false);
        for name in ["backups", "most", "pinMs", "holdMs", "handleS", "models"] {
            all["services"][1]["engine"][name] = json!(1);
        }
    };
    let findings = findings_in(with_all, &Surroundings::default());
    assert!(findings.iter().all(|finding| finding.code != "unknown-field"), "{findings:?}");
}

#[test]
fn routes_that_can_never_match_are_found() {
    use Severity::Error;
    let shadow = |all: &mut Value| {
        let mut copy = all["routes"][0].clone();
        copy["host"] = json!("H.Example");
        all["routes"].as_array_mut().expect("routes").push(copy);
    };
    assert_finds(shadow, Error, "shadowed-route", "routes[0]");
    let at = "routes[0].pathPrefix";
    for prefix in ["/plain", "plain/", ""] {
        let change = |all: &mut Value| all["routes"][0]["pathPrefix"] = json!(prefix);
        // Its service is then named by a route that gets no requests.
        assert_finds(change, Error, "unmatchable-route", at);
    }
    let with_port = |all: &mut Value| all["routes"][0]["host"] = json!("h.example:80");
    assert_finds(with_port, Error, "unmatchable-route", "routes[0].host");
}

#[test]
fn routes_without_a_usable_service_are_found() {
    let none = |all: &mut Value| {
        all["routes"][0].as_object_mut().expect("a route").remove("service");
        all["services"].as_array_mut().expect("services").remove(0);
    };
    assert_finds(none, Severity::Error, "route-without-service", "routes[0]");
    let missing = |all: &mut Value| {
        all["services"].as_array_mut().expect("services").remove(0);
    };
    assert_finds(missing, Severity::Error, "missing-service", "routes[0].service");
    let in_split = |all: &mut Value| {
        all["routes"][0]["service"] = Value::Null;
        all["routes"][0]["trafficSplit"] =
            json!([{ "service": "plain", "weight": 1 }, { "service": "gone", "weight": 1 }]);
    };
    let at = "routes[0].trafficSplit[1].service";
    assert_finds(in_split, Severity::Error, "missing-service", at);
    let both = |all: &mut Value| {
        all["routes"][0]["trafficSplit"] = json!([{ "service": "plain", "weight": 1 }]);
    };
    assert_finds(both, Severity::Warning, "unused-service-field", "routes[0].service");
}

#[test]
fn weights_without_effect_are_found() {
    let split = |weight: f64| {
        move |all: &mut Value| {
            all["routes"][0]["service"] = Value::Null;
            all["routes"][0]["trafficSplit"] = json!([
                { "service": "plain", "weight": 1 }, { "service": "engines", "weight": weight }]);
        }
    };
    let at = "routes[0].trafficSplit[1].weight";
    assert_finds(split(0.0), Severity::Warning, "zero-weight", at);
    assert_finds(split(0.0004), Severity::Error, "zero-weight", at);
    assert_finds(split(-1.0), Severity::Error, "zero-weight", at);
}

#[test]
fn fields_that_are_read_as_something_else_are_found() {
    use Severity::{Error, Warning};
    let kind = |all: &mut Value| all["routes"][0]["kind"] = json!("stream");
    assert_finds(kind, Error, "unknown-kind", "routes[0].kind");
    let none = |all: &mut Value| all["routes"][0]["maxAttempts"] = json!(0);
    assert_finds(none, Error, "no-attempts", "routes[0].maxAttempts");
    let target = |all: &mut Value| all["routes"][0]["targetLatencyMs"] = json!(-5);
    assert_finds(target, Error, "read-as-zero", "routes[0].targetLatencyMs");
    let cold = |all: &mut Value| all["services"][0]["coldPerS"] = json!(-1);
    assert_finds(cold, Error, "negative-rate", "services[0].coldPerS");
    let connections = |all: &mut Value| all["services"][0]["maxConnections"] = json!(0);
    assert_finds(connections, Error, "read-as-zero", "services[0].maxConnections");
    let slots = |all: &mut Value| all["services"][1]["engine"]["slots"] = json!(0);
    assert_finds(slots, Error, "read-as-zero", "services[1].engine.slots");
    let header = |all: &mut Value| all["limits"]["headerTimeoutMs"] = json!(0);
    assert_finds(header, Error, "read-as-zero", "limits.headerTimeoutMs");
    let priority = |all: &mut Value| all["tenants"][0]["priority"] = json!(10);
    assert_finds(priority, Warning, "priority-range", "tenants[0].priority");
    let resumable = |all: &mut Value| all["routes"][0]["resumable"] = json!(true);
    assert_finds(resumable, Warning, "resumable-plain", "routes[0].resumable");
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    use Severity::{Error, Warning};
    let timeout = |all: &mut Value| all["routes"][0]["timeoutMs"] = json!(900);
    assert_finds(timeout, Warning, "timeout-under-target", "routes[0].timeoutMs");
    let attempts = |all: &mut Value| all["routes"][0]["maxAttempts"] = json!(3);
    assert_finds(attempts, Warning, "attempts-on-once", "routes[0].maxAttempts");
    let body = |bytes: u64| move |all: &mut Value| all["limits"]["maxBodyBytes"] = json!(bytes);
    let at = "limits.maxBodyBytes";
    assert_finds(body(8_000_000), Warning, "bodies-over-memory", at);
    assert_finds(body(90_000_000), Error, "body-over-memory", at);
    let large = Surroundings { memory_bytes: 512_000_000, ..Surroundings::default() };
    assert_eq!(findings_in(body(8_000_000), &large), []);
    let idle = |all: &mut Value| all["limits"]["idleTimeoutMs"] = json!(1_000);
    assert_finds(idle, Warning, "head-over-idle-timeout", "limits.headerTimeoutMs");
    let never = |all: &mut Value| all["services"][0]["coldPerS"] = json!(26);
    assert_finds(never, Warning, "never-cold", "services[0].coldStartS");
}

#[test]
fn services_without_use_or_memory_are_found() {
    use Severity::{Error, Warning};
    let unused = |all: &mut Value| {
        all["services"].as_array_mut().expect("services").push(json!({ "name": "spare" }));
    };
    assert_finds(unused, Warning, "unused-service", "services[2]");
    let twice = |all: &mut Value| {
        all["services"].as_array_mut().expect("services").push(json!({ "name": "plain" }));
    };
    assert_finds(twice, Error, "duplicate-service", "services[0]");
    let small = |all: &mut Value| all["services"][1]["engine"]["kvCapacityTokens"] = json!(31);
    let at = "services[1].engine.kvCapacityTokens";
    assert_finds(small, Warning, "engine-too-small", at);
    let long = |all: &mut Value| all["services"][1]["engine"]["maxRequestTokens"] = json!(10_001);
    assert_finds(long, Warning, "engine-too-small", at);
}

#[test]
fn keys_that_are_not_one_organisations_are_found() {
    use Severity::{Error, Warning};
    let add = |tenant: Value| {
        move |all: &mut Value| all["tenants"].as_array_mut().expect("tenants").push(tenant)
    };
    let other = json!({ "name": "other", "apiKeys": ["key-1"] });
    assert_finds(add(other), Error, "key-of-two", "tenants[1].apiKeys[0]");
    let keyless = json!({ "name": "other" });
    assert_finds(add(keyless), Warning, "tenant-without-key", "tenants[1]");
    let same = json!({ "name": "org", "apiKeys": ["key-2"] });
    assert_finds(add(same), Warning, "duplicate-tenant", "tenants[1]");
    let keys = |all: &mut Value| all["tenants"][0]["apiKeys"] = json!(["key-1", "key-1"]);
    assert_finds(keys, Warning, "repeated-key", "tenants[0].apiKeys[1]");
    let empty = |all: &mut Value| all["tenants"][0]["apiKeys"] = json!(["key-1", ""]);
    assert_finds(empty, Error, "unusable-key", "tenants[0].apiKeys[1]");
}

#[test]
fn regions_that_exclude_all_upstreams_are_found() {
    use Severity::{Error, Warning};
    let of_route = |value: Value| move |all: &mut Value| all["routes"][0]["allowedRegions"] = value;
    let at = "routes[0].allowedRegions";
    assert_finds(of_route(json!([])), Warning, "regions-without-effect", at);
    // Decided by the decoder of the daemons.
    assert_finds(of_route(json!("eu")), Error, "rejected", "");
    assert_finds(of_route(json!(["eu", 3])), Error, "rejected", "");
    let disjoint = |all: &mut Value| {
        all["routes"][0]["allowedRegions"] = json!(["eu"]);
        all["tenants"][0]["allowedRegions"] = json!(["us"]);
    };
    assert_finds(disjoint, Error, "regions-exclude-all", "tenants[0].allowedRegions");
    let regions = [("z1", "eu"), ("z2", "us")];
    let regions: BTreeMap<_, _> =
        regions.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let upstream = |service: &str| RegisteredUpstream {
        service: service.to_owned(),
        data_centre: "z1".to_owned(),
    };
    let upstreams = Some(vec![upstream("plain"), upstream("engines")]);
    let known = Surroundings { regions, upstreams, ..Surroundings::default() };
    let elsewhere = of_route(json!(["us"]));
    assert_finds_in(elsewhere, &known, Error, "regions-exclude-all", at);
    let unknown = of_route(json!(["eu", "mars"]));
    assert_finds_in(unknown, &known, Warning, "unknown-region", at);
    assert_eq!(findings_in(of_route(json!(["eu"])), &known), []);
    // Of both routes.
    let of_tenant = |all: &mut Value| all["tenants"][0]["allowedRegions"] = json!(["us"]);
    let findings = findings_in(of_tenant, &known);
    assert_eq!(findings.len(), 2, "{findings:?}");
    assert!(findings.iter().all(|finding| finding.location == "tenants[0].allowedRegions"));
}
