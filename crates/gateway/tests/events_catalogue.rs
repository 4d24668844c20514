//! Compares the gateway's events in docs/EVENTS.md with the log lines in the code.

use std::collections::BTreeSet;
use std::path::Path;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// Collects the code and title of each log line below `folder`.
fn collect_events(folder: &Path, events: &mut BTreeSet<(u32, String)>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_events(&path, events);
        } else {
            let source = std::fs::read_to_string(&path).expect("a source file");
            events.extend(source.split("code = ").skip(1).map(parse_event));
        }
    }
}

/// Parses `1001, daemon = …; "daemon started")`.
fn parse_event(text: &str) -> (u32, String) {
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    let (_, title) = text.split_once(';').expect("a title after the fields");
    let title = title.split('"').nth(1).expect("a title");
    (digits.parse().expect("a code"), title.to_owned())
}

#[test]
fn the_catalogue_lists_exactly_the_logged_events() {
    let mut events = BTreeSet::new();
    collect_events(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut events);
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| 1"));
    let listed: BTreeSet<_> = rows
        .map(|row| row.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>())
        .map(|cells| (cells[0].parse().expect("a code"), cells[2].to_owned()))
        .collect();
    assert_eq!(events.difference(&listed).collect::<Vec<_>>(), Vec::<&(u32, String)>::new());
    let written_elsewhere = BTreeSet::from([(1902, "log lines dropped".to_owned())]);
    let extra: Vec<_> =
        listed.difference(&events).filter(|event| !written_elsewhere.contains(event)).collect();
    assert_eq!(extra, Vec::<&(u32, String)>::new());
}
