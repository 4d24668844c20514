//! Compares the event catalogue in docs/EVENTS.md with the code.

use std::collections::BTreeSet;

use comfreymast_daemon::events::ALL;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// The cells of each table row that begins with an event number.
fn rows(catalogue: &str) -> Vec<Vec<&str>> {
    let rows = catalogue.lines().filter(|line| line.starts_with("| E"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// The differences between a catalogue and the code.
fn differences(catalogue: &str) -> Vec<String> {
    let listed: Vec<_> = rows(catalogue);
    let mut differences = Vec::new();
    let mut numbers = BTreeSet::new();
    for row in &listed {
        if row.len() != 5 || row.iter().any(|cell| cell.is_empty()) {
            differences.push(format!("a cell is missing: {row:?}"));
        }
        if !numbers.insert(row[0]) {
            differences.push(format!("listed twice: {}", row[0]));
        }
    }
    let code: BTreeSet<_> = ALL
        .iter()
        .map(|event| (format!("E{:04}", event.number), event.level.to_string(), event.title))
        .collect();
    let page: BTreeSet<_> =
        listed.iter().map(|row| (row[0].to_owned(), row[1].to_owned(), row[2])).collect();
    differences
        .extend(code.difference(&page).map(|event| format!("not in the catalogue: {event:?}")));
    differences.extend(page.difference(&code).map(|event| format!("not in the code: {event:?}")));
    differences
}

#[test]
fn the_catalogue_and_the_code_agree() {
    assert_eq!(differences(CATALOGUE), Vec::<String>::new());
}

#[test]
fn numbers_are_unique() {
    let numbers: BTreeSet<_> = ALL.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), ALL.len());
}

#[test]
fn catalogue_errors_are_detected() {
    let missing = CATALOGUE.replacen("| E0104 |", "| X |", 1);
    assert_eq!(differences(&missing).len(), 1);
    let other_level = CATALOGUE.replacen("| E0201 | WARN |", "| E0201 | INFO |", 1);
    assert_eq!(differences(&other_level).len(), 2);
    let twice = format!("{CATALOGUE}| E0101 | INFO | daemon started | a | b |\n");
    assert_eq!(differences(&twice).len(), 1);
}
