//! Any text parses to a contract or a typed error, and a contract round-trips through TOML.

use comfreymast_contract::{Contract, ContractError};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 7;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Valid and invalid lines of a contract document, in any order.
fn any_document() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        Just("organisation = \"taller-sur\"".to_owned()),
        "organisation = \"[A-Za-z ]{0,4}\"",
        Just("enabled = false".to_owned()),
        Just("[limits]".to_owned()),
        "(requests_per_s|tokens_per_s|concurrent_requests) = [0-9-]{1,4}",
        Just("[[work]]".to_owned()),
        "(kind|model|priority|max_output_tokens) = (\"[a-z]{0,3}\"|[0-9]{1,7})",
        Just("[[routes]]".to_owned()),
        "(prefix|service|methods) = (\"[/a-z0-9]{0,5}\"|\\[\"(GET|PUT|get)\"\\])",
        "[ -~]{0,20}",
    ];
    prop::collection::vec(line, 0..12).prop_map(|lines| lines.join("\n"))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_document_parses_or_reports_its_violations(document in any_document()) {
        match Contract::parse(&document) {
            Ok(contract) => {
                let written = toml::to_string(&contract).expect("a contract serializes to TOML");
                prop_assert_eq!(Contract::parse(&written).expect("a serialized contract parses"), contract);
            }
            Err(ContractError::Violations(violations)) => prop_assert!(!violations.is_empty()),
            Err(ContractError::Syntax(_)) => {}
        }
    }
}

#[test]
fn every_violation_has_field_value_and_rule() {
    let document = "organisation = \"Taller Sur\"\n[limits]\nrequests_per_s = 0\n\
        [[work]]\nkind = \"report\"\nmodel = \"m\"\npriority = 12\nmax_output_tokens = 0\n";
    let Err(ContractError::Violations(violations)) = Contract::parse(document) else {
        panic!("the document breaks four rules and must be rejected");
    };
    let fields: Vec<_> = violations.iter().map(|violation| violation.field.as_str()).collect();
    let expected =
        ["organisation", "limits.requests_per_s", "work[0].priority", "work[0].max_output_tokens"];
    assert_eq!(fields, expected);
    assert_eq!(violations[2].value, "12");
    assert_eq!(violations[2].rule, "from 0 to 9");
}
