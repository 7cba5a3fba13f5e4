//! Guards against log events that `docs/EVENTS.md` lacks or describes differently.

use cuminbank::log::{LogLevel, CATALOGUE};

fn row(number: u16, level: LogLevel, summary: &str) -> String {
    let level = match level {
        LogLevel::Info => "info",
        LogLevel::Warn => "warn",
        LogLevel::Error => "error",
    };
    format!("| EV{number:04} | {level} | {summary} |")
}

#[test]
fn code_and_catalogue_list_the_same_events() {
    let page = include_str!("../../../docs/EVENTS.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| EV"))
        .map(|line| line.match_indices('|').nth(3).map_or(line, |(end, _)| &line[..=end]))
        .collect();
    let known: Vec<String> =
        CATALOGUE.iter().map(|code| row(code.number, code.level, code.summary)).collect();
    assert_eq!(listed, known);
}

#[test]
fn numbers_are_unique_and_ascend() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].number < pair[1].number));
}
