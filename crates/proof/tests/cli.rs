//! The command line against real daemons: help, formats, exit codes, settings.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::process::Command;

use comfreymast_fakes::log_service::LogFaults;
use comfreymast_net::Spawner;
use comfreymast_proof::{Cli, CliOutput, Fleet, FleetOptions, program};
use serde_json::Value;

const CONTRACT: &str = r#"
organisation = "estudio-norte"

[[work]]
kind = "report"
model = "m"
priority = 7
max_output_tokens = 100
"#;

const COMMANDS: [&[&str]; 19] = [
    &["daemon"],
    &["serve"],
    &["explain"],
    &["check"],
    &["contract"],
    &["contract", "put"],
    &["contract", "get"],
    &["contract", "list"],
    &["contract", "history"],
    &["contract", "check"],
    &["status"],
    &["drain"],
    &["report"],
    &["report", "burn"],
    &["quarantine"],
    &["quarantine", "list"],
    &["quarantine", "lift"],
    &["config"],
    &[],
];

/// Runs a command that needs no daemon, with an empty environment.
fn run_local(args: &[&str]) -> CliOutput {
    let output = Command::new(program("comfreymast")).args(args).env_clear().output().unwrap();
    CliOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

fn operator_cli(fleet: &Fleet, index: usize) -> Cli {
    fleet.daemons[index].cli()
}

// ------------------------------------------------------------------------------------------------
// Without a daemon

#[test]
fn every_command_has_help_of_its_own() {
    for command in COMMANDS {
        let help = run_local(&[command, &["--help"]].concat());
        assert_eq!(help.code, 0, "{command:?}");
        let heading = [&["comfreymast"], command].concat().join(" ");
        assert_eq!(help.stdout.lines().next(), Some(heading.as_str()));
        assert!(help.stdout.lines().count() > 1, "the help of {command:?} has only a heading");
        assert_eq!(help.stderr, "");
    }
}

#[test]
fn the_help_lists_every_command_and_exit_code() {
    let help = run_local(&["--help"]).stdout;
    let headings = help.lines().filter(|line| line.starts_with("comfreymast "));
    let known: Vec<_> =
        COMMANDS.iter().map(|command| [&["comfreymast"], *command].concat().join(" ")).collect();
    for heading in headings {
        assert!(known.iter().any(|command| command == heading), "{heading:?} has no test");
    }
    for code in ["0 done", "1 failed", "2 bad usage", "3 conflict", "4 done but", "5 outcome"] {
        assert!(help.contains(code), "{code}");
    }
}

#[test]
fn the_version_is_printed() {
    let version = run_local(&["--version"]);
    assert_eq!((version.code, version.stdout.as_str()), (0, "comfreymast 0.1.0\n"));
}

#[test]
fn help_and_settings_table_agree() {
    let settings = json(&run_local(&["config", "--format", "json"]).stdout);
    let help = [run_local(&["--help"]).stdout, run_local(&["daemon", "--help"]).stdout].concat();
    let lines: Vec<_> = help.lines().map(str::trim).collect();
    let mut flags = vec!["--check".to_owned()];
    for setting in settings.as_array().unwrap() {
        let flag = setting["flag"].as_str().unwrap();
        flags.push(flag.to_owned());
        let heading = lines.iter().position(|line| line.starts_with(&format!("{flag} <")));
        let meaning = lines[heading.unwrap_or_else(|| panic!("{flag} is not in the help")) + 1];
        if let Some(default) = setting["default"].as_str() {
            let expected = format!("{}; default {default}.", setting["help"].as_str().unwrap());
            assert_eq!(meaning, expected, "{flag}");
        }
    }
    let daemon_help = run_local(&["daemon", "--help"]).stdout;
    for line in daemon_help.lines().map(str::trim).filter(|line| line.starts_with("--")) {
        let flag = line.split(' ').next().unwrap();
        assert!(flags.iter().any(|known| known == flag), "{flag} is not in the table");
    }
}

#[test]
fn every_bad_setting_is_named_before_a_port_opens() {
    let bad =
        run_local(&["daemon", "--threads", "0", "--silence-ms", "x", "--log-addr", "nowhere"]);
    assert_eq!(bad.code, 2);
    let named = ["name", "data-centre", "vms-addr", "operator-key", "fleet-key"];
    for flag in named.iter().chain(&["threads", "silence-ms", "log-addr"]) {
        assert!(bad.stderr.contains(&format!("--{flag} ")), "{flag}: {}", bad.stderr);
    }
    assert_eq!(bad.stdout, "", "a listening daemon prints its addresses first");
}

#[test]
fn daemon_check_opens_no_port() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let used_addr = listener.local_addr().unwrap().to_string();
    let mut args = vec!["daemon", "--check", "--name", "d0", "--data-centre", "dc1"];
    args.extend(["--log-addr", "127.0.0.1:1", "--vms-addr", "127.0.0.1:2"]);
    args.extend(["--fleet-key", "0123456789abcdef", "--operator-key", "0123456789abcdef"]);
    args.extend(["--callers-addr", used_addr.as_str()]);
    let check = run_local(&args);
    assert_eq!((check.code, check.stdout.as_str()), (0, "the settings are good\n"));
    args.extend(["--format", "json"]);
    assert_eq!(json(&run_local(&args).stdout)["done"], "the settings are good");
}

#[test]
fn bad_usage_exits_with_2_and_failures_can_be_json() {
    for args in [&["no-such-command"][..], &["status", "--no-such-flag"], &["status"], &[]] {
        assert_eq!(run_local(args).code, 2, "{args:?}");
    }
    let status = run_local(&["status", "--operators", "nowhere", "--format", "json"]);
    assert_eq!((status.code, json(&status.stderr)["exit_code"].as_u64()), (2, Some(2)));
}

#[test]
fn a_command_without_a_daemon_exits_with_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let status = run_local(&["status", "--operators", &addr, "--operator-key", "0123456789abcdef"]);
    assert_eq!(status.code, 1);
    assert!(status.stderr.contains("cannot connect"), "{}", status.stderr);
    assert_eq!(run_local(&["contract", "check", "/no/such/file"]).code, 1);
}

#[test]
fn a_bad_contract_names_field_value_and_rule() {
    let path = std::env::temp_dir().join(format!("comfreymast-cli-{}.toml", std::process::id()));
    std::fs::write(&path, CONTRACT.replace("priority = 7", "priority = 70")).unwrap();
    let check = run_local(&["contract", "check", &path.to_string_lossy()]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(check.code, 1);
    for part in ["work[0].priority", "70", "from 0 to 9"] {
        assert!(check.stderr.contains(part), "{}", check.stderr);
    }
}

// ------------------------------------------------------------------------------------------------
// Against a fleet

#[test]
fn every_command_prints_a_table_or_json() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        let cli = operator_cli(&fleet, 1);
        let put = fleet.put_contract(0, CONTRACT, &["--format", "json"]).unwrap();
        assert_eq!((put.code, json(&put.stdout)["accepted"].as_bool()), (0, Some(true)));
        let path = fleet.path("contract.toml");
        let commands: [&[&str]; 7] = [
            &["contract", "get", "estudio-norte"],
            &["contract", "list"],
            &["contract", "history", "estudio-norte"],
            &["contract", "check", &path.to_string_lossy()],
            &["status"],
            &["report", "burn"],
            &["config"],
        ];
        for command in commands {
            let table = cli.run(command).unwrap();
            assert_eq!((table.code, table.stderr.as_str()), (0, ""), "{command:?}");
            assert!(!table.stdout.is_empty() && !table.stdout.starts_with(['{', '[']));
            let printed = cli.run(&[command, &["--format", "json"]].concat()).unwrap();
            assert!(!json(&printed.stdout).is_null(), "{command:?}");
        }
        let drain = operator_cli(&fleet, 2).run(&["drain", "--format", "json"]).unwrap();
        assert_eq!((drain.code, json(&drain.stdout)["done"].is_string()), (0, true));
    });
}

#[test]
fn a_wrong_operator_key_exits_with_1() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        let cli = operator_cli(&fleet, 0);
        let refused = cli.run(&["status", "--operator-key", "not-the-operator-key"]).unwrap();
        assert_eq!(refused.code, 1);
        assert!(refused.stderr.contains("unauthorized"), "{}", refused.stderr);
        assert_eq!(cli.run(&["contract", "get", "nobody"]).unwrap().code, 1);
    });
}

#[test]
fn a_change_against_an_old_revision_exits_with_3() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        assert_eq!(fleet.put_contract(0, CONTRACT, &[]).unwrap().code, 0);
        let stale = fleet.put_contract(1, CONTRACT, &["--base", "0"]).unwrap();
        assert_eq!(stale.code, 3, "{stale:?}");
    });
}

#[test]
fn a_change_that_a_dead_daemon_has_not_confirmed_exits_with_4() {
    Spawner::run(2, |spawner| async move {
        let mut fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        fleet.daemons[2].process.kill();
        let put = fleet.put_contract(0, CONTRACT, &[]).unwrap();
        assert_eq!(put.code, 4, "{put:?}");
        assert!(put.stderr.contains("d2"), "{}", put.stderr);
    });
}

#[test]
fn a_change_with_an_unknown_outcome_exits_with_5() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        let hang = LogFaults { hang: true, ..LogFaults::default() };
        fleet.set_faults(&fleet.log, &hang).await.unwrap();
        let put = fleet.put_contract(0, CONTRACT, &[]).unwrap();
        assert_eq!(put.code, 5, "{put:?}");
    });
}
