//! Settings: all invalid ones are reported at once, and no text makes the reader panic.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::collections::BTreeMap;

use comfreymast_daemon::{InvalidSetting, SETTINGS, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};

const SEED: u64 = 9_002;

fn config() -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn required_settings() -> BTreeMap<&'static str, String> {
    let given = [
        ("name", "d0"),
        ("data-centre", "dc1"),
        ("log-addr", "10.0.0.1:7000"),
        ("vms-addr", "10.0.0.1:7001"),
        ("operator-key", "an-operator-key-of-32-bytes-....."),
        ("fleet-key", "a-fleet-key-of-32-bytes-or-more.."),
    ];
    given.map(|(flag, text)| (flag, text.to_owned())).into()
}

fn read(given: &BTreeMap<&'static str, String>) -> Result<Settings, Vec<InvalidSetting>> {
    Settings::read(|spec| given.get(spec.flag).cloned())
}

fn flags(errors: &[InvalidSetting]) -> Vec<&'static str> {
    errors.iter().map(|error| error.flag).collect()
}

#[test]
fn required_settings_suffice() {
    let settings = read(&required_settings()).unwrap();
    assert_eq!(settings.callers_addr.port(), 8080);
}

#[test]
fn all_missing_settings_are_reported_at_once() {
    let required = SETTINGS.iter().filter(|spec| spec.default.is_none()).map(|spec| spec.flag);
    assert_eq!(flags(&read(&BTreeMap::new()).unwrap_err()), Vec::from_iter(required));
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let bad = SETTINGS.iter().map(|spec| (spec.flag, " ".to_owned())).collect();
    let errors = read(&bad).unwrap_err();
    assert_eq!(flags(&errors), Vec::from_iter(SETTINGS.iter().map(|spec| spec.flag)));
}

#[test]
fn listeners_may_not_share_a_port() {
    let mut given = required_settings();
    given.insert("operators-addr", "0.0.0.0:8080".to_owned());
    assert_eq!(flags(&read(&given).unwrap_err()), ["operators-addr"]);
    given.insert("operators-addr", "0.0.0.0:0".to_owned());
    given.insert("callers-addr", "0.0.0.0:0".to_owned());
    assert!(read(&given).is_ok(), "port 0 lets the system choose");
}

#[test]
fn a_secret_that_is_invalid_in_a_header_is_refused() {
    let mut given = required_settings();
    given.insert("operator-key", "an operator key\n with a line break".to_owned());
    assert_eq!(flags(&read(&given).unwrap_err()), ["operator-key"]);
}

#[test]
fn secrets_are_not_shown_in_errors_or_debug_output() {
    let mut given = required_settings();
    given.insert("fleet-key", "short-secret".to_owned());
    let errors = read(&given).unwrap_err();
    assert_eq!(flags(&errors), ["fleet-key"]);
    assert!(errors.iter().all(|error| !error.to_string().contains("short-secret")));
    let settings = read(&required_settings()).unwrap();
    assert!(!format!("{settings:?}").contains("an-operator-key"));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_gives_settings_or_errors(
        texts in prop::collection::vec(".{0,24}|[0-9]{1,21}|[0-9.]{7,15}:[0-9]{1,6}", SETTINGS.len()),
    ) {
        let given: BTreeMap<_, _> = SETTINGS.iter().map(|spec| spec.flag).zip(texts).collect();
        match read(&given) {
            Ok(settings) => prop_assert!((1..=256).contains(&settings.threads)),
            Err(errors) => {
                prop_assert!(!errors.is_empty());
                for error in &errors {
                    prop_assert!(given.contains_key(error.flag));
                    prop_assert!(!error.rule.is_empty());
                }
            }
        }
    }

    #[test]
    fn only_the_invalid_setting_is_reported(index in 0..SETTINGS.len(), text in "[ \t]{0,3}") {
        let flag = SETTINGS[index].flag;
        let mut given = required_settings();
        given.insert(flag, text);
        let errors = read(&given).unwrap_err();
        prop_assert_eq!(flags(&errors), [flag]);
    }
}
