//! The commands on the operators' pages: fenced ones run, and inline ones exist as written.
#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;

use comfreymast_net::Spawner;
use comfreymast_proof::{Fleet, FleetOptions, OPERATOR_KEY, program};

const PAGES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operations");

/// All pages by file name.
fn pages() -> BTreeMap<String, String> {
    let entries = std::fs::read_dir(PAGES).unwrap().map(|entry| entry.unwrap().path());
    let page = |path: PathBuf| {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        (name, std::fs::read_to_string(path).unwrap())
    };
    entries.map(page).collect()
}

/// The fenced commands of a page, in order, as one script.
fn script(page: &str) -> String {
    let mut script = String::new();
    let mut in_shell_block = false;
    for line in page.lines() {
        if let Some(language) = line.strip_prefix("```") {
            in_shell_block = !in_shell_block && language == "sh";
        } else if in_shell_block {
            script.push_str(line);
            script.push('\n');
        }
    }
    script
}

/// The commands in inline code spans.
fn inline_commands(page: &str) -> Vec<Vec<&str>> {
    let prose = page.split("```").step_by(2);
    let spans = prose.flat_map(|part| part.split('`').skip(1).step_by(2));
    let commands = spans.filter(|span| span.starts_with("comfreymast "));
    commands.map(|span| span.split_whitespace().skip(1).collect()).collect()
}

/// Checks a command against its own help and the top-level help, and returns what is wrong.
fn command_error(command: &[&str]) -> Option<String> {
    let words: Vec<_> = command
        .iter()
        .take_while(|word| word.chars().all(|letter| letter.is_ascii_lowercase()))
        .copied()
        .collect();
    let flags = command.iter().filter(|word| word.starts_with("--"));
    // Arguments in lower case may follow the command, so the longest command that exists counts.
    let helps = (0..=words.len()).rev().map(|count| help(&words[..count]));
    let (heading, help) = helps.into_iter().find(|(heading, help)| help.starts_with(heading))?;
    if heading == "comfreymast" && !words.is_empty() {
        return Some(format!("no such command: {command:?}"));
    }
    let all = [help, self::help(&[]).1].concat();
    let known = |flag: &str| all.lines().any(|line| line.trim().starts_with(flag));
    let unknown = flags.into_iter().find(|flag| !known(flag));
    unknown.map(|flag| format!("no flag {flag}: {command:?}"))
}

fn help(words: &[&str]) -> (String, String) {
    let heading = [&["comfreymast"], words].concat().join(" ");
    let output = Command::new(program("comfreymast")).args(words).arg("--help").output().unwrap();
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    if !text.starts_with(&format!("{heading}\n")) {
        text.clear();
    }
    (heading, text)
}

/// Runs a script against a fleet; the error holds the exit status and the output.
fn run_script(script: &str, folder: &Path, operators: &str) -> Result<(), String> {
    let binary = program("comfreymast");
    let path = std::env::var("PATH").unwrap_or_default();
    let path = format!("{}:{path}", binary.parent().unwrap().display());
    let output = Command::new("bash")
        .args(["-euo", "pipefail", "-c", script])
        .current_dir(folder)
        .env("PATH", path)
        .env("COMFREYMAST_OPERATORS", operators)
        .env("COMFREYMAST_OPERATOR_KEY", OPERATOR_KEY)
        .output()
        .unwrap();
    if output.status.success() {
        return Ok(());
    }
    let printed = [output.stdout, output.stderr].concat();
    Err(format!("{}: {}", output.status, String::from_utf8_lossy(&printed)))
}

#[test]
fn every_fenced_command_runs() {
    Spawner::run(2, |spawner| async move {
        let fleet = Fleet::start(&spawner, FleetOptions::default()).await.unwrap();
        let operators = fleet.daemons[0].vm.operators_addr.unwrap().to_string();
        for (name, page) in pages() {
            let folder = fleet.path(&format!("page-{name}"));
            std::fs::create_dir(&folder).unwrap();
            let ran = run_script(&script(&page), &folder, &operators);
            assert_eq!(ran, Ok(()), "{name}");
        }
        let bad = "comfreymast status\ncomfreymast contract get nobody\ntrue\n";
        assert!(run_script(bad, &fleet.path(""), &operators).is_err(), "a failed command passed");
    });
}

#[test]
fn every_inline_command_exists() {
    for (name, page) in pages() {
        for command in inline_commands(&page) {
            assert_eq!(command_error(&command), None, "{name}");
        }
    }
    assert!(command_error(&["no", "such"]).is_some(), "an unknown command passed");
    assert!(command_error(&["status", "--no-such-flag"]).is_some(), "an unknown flag passed");
}
