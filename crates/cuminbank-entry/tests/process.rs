//! Tests of the daemon process: its file descriptors and the validation of its settings.

mod support;

use std::{
    fs,
    process::{Command, Stdio},
};

use serde_json::{json, Value};

use support::{entry::write_file, ports, Deployment};

/// Guards against a runtime that selects io_uring, which the production machines forbid.
#[test]
fn running_daemon_holds_no_io_uring() {
    let deployment = Deployment::start(1, 1, 1);
    let folder = format!("/proc/{}/fd", deployment.entries[0].pid());
    let links = fs::read_dir(folder).expect("the process runs").filter_map(|entry| {
        let target = fs::read_link(entry.ok()?.path()).ok()?;
        Some(target.to_string_lossy().into_owned())
    });
    let links: Vec<_> = links.collect();
    assert!(!links.iter().any(|link| link.contains("io_uring")), "{links:?}");
    // Shows that the list contains descriptors of this kind; else the check above proves nothing.
    assert!(links.iter().any(|link| link.contains("eventpoll")), "{links:?}");
}

fn valid_settings() -> Value {
    json!({
        "instance": "dublin-1", "zone": "dublin", "http_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2", "store_addresses": ["127.0.0.1:3"],
        "list_address": "127.0.0.1:4",
    })
}

/// Runs the daemon with `--check`; returns its exit code, the settings file and its output.
fn check(name: &str, settings: &Value) -> (Option<i32>, String, String) {
    let path = write_file(&format!("{name}.json"), &settings.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_cuminbank-entry"));
    command.arg("--settings").arg(&path).arg("--check");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let child = ports::spawn(&mut command).expect("the daemon was built with the test");
    let output = child.wait_with_output().expect("the process is a child of the test");
    fs::remove_file(&path).expect("the daemon does not delete its settings file");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), path.display().to_string(), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against a daemon that starts with invalid settings, and against an error message that
/// does not name the file, the field, the value and what is allowed.
#[test]
fn invalid_settings_are_refused_with_file_path_value_and_range() {
    let (code, _, text) = check("valid", &valid_settings());
    assert_eq!(code, Some(0), "{text}");
    let cases = [
        ("drain_ms", json!(10), vec!["drain_ms", "10", "1000 to 600000"]),
        ("request_read_ms", json!(1), vec!["request_read_ms", "1", "100 to 60000"]),
        ("groups_per_zone", json!(65), vec!["groups_per_zone", "65", "1 to 64"]),
        ("long_slots", json!(0), vec!["long_slots", "0", "1 to 64"]),
        ("instance", json!("a b"), vec!["instance", "a b", "1 to 64 letters"]),
        ("store_addresses", json!([]), vec!["store_addresses", "[]", "at least one address"]),
        ("http_address", json!("nowhere"), vec!["http_address", "nowhere", "IP:port"]),
        ("policy", json!("best"), vec!["policy", "best", "`least_loaded`"]),
        ("peers", json!({"dublin": ["x"]}), vec!["peers.dublin[0]", "\"x\"", "IP:port"]),
        ("tempo", json!(1), vec!["tempo", "unknown field", "expected one of"]),
    ];
    for (field, value, expected) in cases {
        let mut settings = valid_settings();
        settings[field] = value;
        let (code, file, text) = check(field, &settings);
        assert_eq!(code, Some(2), "{field}: {text}");
        for part in expected.into_iter().chain([file.as_str()]) {
            assert!(text.contains(part), "{field}: {part:?} is not in {text}");
        }
    }
    let mut settings = valid_settings();
    settings.as_object_mut().expect("settings are an object").remove("zone");
    let (code, _, text) = check("missing", &settings);
    assert!(code == Some(2) && text.contains("zone"), "{text}");
}
