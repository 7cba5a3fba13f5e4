//! Tests of the commands of cuminbank-bench, run as child processes.

use std::{fs, path::PathBuf, process::Command};

use serde_json::Value;

/// Runs cuminbank-bench and returns the JSON document that it prints.
fn run(args: &[&str]) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_cuminbank-bench"))
        .arg("--json")
        .args(args)
        .output()
        .expect("the binary of the bench was built with the test");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("the output is one JSON document")
}

fn events_file(name: &str, lines: &[&str]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, lines.join("\n")).expect("the test folder is writable");
    path
}

/// Guards against a summary that misses an instance falling back to an earlier revision.
#[test]
fn a_reversion_is_counted() {
    let events = events_file(
        "reversion.jsonl",
        &[
            r#"{"what":"accepted","at_ms":1000,"name":"rush","revision":7}"#,
            r#"{"what":"shown","at_ms":900,"instance":"127.0.0.1:1","name":"rush","revision":5}"#,
            r#"{"what":"shown","at_ms":1040,"instance":"127.0.0.1:1","name":"rush","revision":7}"#,
            r#"{"what":"shown","at_ms":1060,"instance":"127.0.0.1:1","name":"rush","revision":5}"#,
        ],
    );
    let document = run(&["config-times", &events.to_string_lossy()]);
    assert_eq!(document["rows"][0]["max ms"], 40.0);
    let note = document["notes"][0].as_str().unwrap_or_default();
    assert!(note.contains(", 1 reversions"), "{note}");
}

/// Guards against a paused instance being counted as slow, and against a change that never reaches
/// an instance being left out of the counts.
#[test]
fn paused_instances_and_missing_changes_are_told_apart() {
    let events = events_file(
        "pauses.jsonl",
        &[
            r#"{"what":"shown","at_ms":900,"instance":"127.0.0.1:1","name":"rush","revision":5}"#,
            r#"{"what":"shown","at_ms":900,"instance":"127.0.0.1:2","name":"rush","revision":5}"#,
            r#"{"what":"paused","at_ms":950,"instance":"127.0.0.1:1"}"#,
            r#"{"what":"accepted","at_ms":1000,"name":"rush","revision":7}"#,
            r#"{"what":"resumed","at_ms":9000,"instance":"127.0.0.1:1"}"#,
            r#"{"what":"shown","at_ms":9030,"instance":"127.0.0.1:1","name":"rush","revision":7}"#,
        ],
    );
    let document = run(&["config-times", &events.to_string_lossy()]);
    let (reachable, resumed) = (&document["rows"][0], &document["rows"][1]);
    assert_eq!((&reachable["samples"], &reachable["never"]), (&0.0.into(), &1.0.into()));
    assert_eq!((&resumed["samples"], &resumed["max ms"]), (&1.0.into(), &30.0.into()));
}

/// Guards against measuring a request that the worker stand-in refused: its size would be reported
/// as that of an accepted one.
#[test]
fn bytes_of_a_node_grow_with_its_tasks() {
    let document = run(&["nodes"]);
    let rows = document["rows"].as_array().expect("the document has rows");
    let bytes: Vec<f64> = rows.iter().filter_map(|row| row["worker B/s"].as_f64()).collect();
    assert_eq!(bytes.len(), 4);
    assert!(bytes.windows(2).all(|pair| pair[0] < pair[1]), "{bytes:?}");
}
