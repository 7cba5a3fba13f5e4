//! Tests of the `profile` commands against a store in the test process.

use std::{
    cell::Cell,
    path::{Path, PathBuf},
    rc::Rc,
};

use cuminbank::profile::ProfileChange;
use cuminbank_cli::{
    exit::{CommandOutcome, ExitStatus},
    profile_file::check_document,
};
use cuminbank_net::{runtime, server::ServerRequest};
use serde_json::{json, Value};

use super::common::{json_answer, run_line, start_server, start_store, TxnFault};

const MORNING_RUSH: &str =
    "{\n  \"name\": \"morning rush\",\n  \"kind\": \"urgent\",\n  \"deadline_ms\": 800\n}\n";

/// Writes a document into the test's folder; returns its path.
fn write_file(name: &str, text: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(name);
    std::fs::write(&path, text).expect("the test's folder is writable");
    path.display().to_string()
}

/// Removes the path of the test's folder from a text, since it differs between machines.
fn without_folder(text: &str) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).display().to_string();
    text.replace(&format!("{folder}/"), "")
}

async fn apply(store: &str, file: &str, more: &[&str]) -> CommandOutcome {
    run_line(&[&["--store", store, "profile", "apply", file], more].concat()).await
}

// Guards against errors that do not name the wrong field, its value and what is allowed.
#[test]
fn a_bad_document_names_file_path_value_and_what_is_allowed() {
    let documents = [
        r#"{"name":"a","kind":"urgent","deadline_ms":5}"#,
        r#"{"name":"a","kind":"urgent","deadline_ms":"soon"}"#,
        r#"{"name":"a","kind":"urgent","deadline_ms":800,"weights":{"cafe.north":-1}}"#,
        r#"{"name":"a","kind":"urgent","deadline_ms":800,"weights":{"cafe":0}}"#,
        r#"{"name":"a","kind":"hourly","deadline_ms":800}"#,
        r#"{"name":"a","kind":"urgent"}"#,
        r#"{"name":"a","kind":"urgent","deadline_ms":800,"colour":"red"}"#,
        r#"{"name":"a/b","kind":"urgent","deadline_ms":800}"#,
        r#"{"name":"a","kind":"urgent","deadline_ms":800} and more"#,
        r#"{"name":"a","#,
    ];
    let errors = documents.map(|text| match check_document("rush.json", text.as_bytes()) {
        Ok(document) => panic!("{document:?} was accepted"),
        Err(error) => error,
    });
    insta::assert_snapshot!(errors.join("\n"));
}

// Guards against a check that stops at the first invalid file. No store is configured, so the check
// cannot change anything.
#[test]
fn check_names_every_file() {
    let good = write_file("check-good.json", MORNING_RUSH);
    let bad = write_file("check-bad.json", &MORNING_RUSH.replace("800", "5"));
    let outcome = runtime::run(run_line(&["profile", "check", &bad, &good, "/no/such/file"]));
    assert_eq!(outcome.status, ExitStatus::Usage);
    insta::assert_snapshot!(without_folder(&outcome.text));
}

// Guards against a document that is stored in another form than in the file, or without history.
#[test]
fn an_applied_profile_can_be_shown_compared_and_listed() {
    runtime::run(async {
        let (_, address) = start_store();
        let store = address.to_string();
        let file = write_file("apply.json", MORNING_RUSH);
        assert_eq!(apply(&store, &file, &["--by", "aoife"]).await.status, ExitStatus::Done);
        let show = run_line(&["--store", &store, "profile", "show", "morning rush"]).await;
        assert_eq!(show.text, MORNING_RUSH.trim_end());
        assert_eq!(show.data["document"], MORNING_RUSH);
        let list = run_line(&["--store", &store, "profile", "show"]).await;
        assert_eq!(list.text, "morning rush (revision 2)");

        let slower = write_file("apply.json", &MORNING_RUSH.replace("800", "900"));
        let diff = run_line(&["--store", &store, "profile", "diff", "morning rush", &slower]).await;
        insta::assert_snapshot!("diff", without_folder(&diff.text));
        assert_eq!(apply(&store, &slower, &[]).await.data["revision"], 3);
        let history = run_line(&["--store", &store, "profile", "history", "morning rush"]).await;
        let entries = history.data.as_array().expect("the history is a JSON array");
        let by: Vec<&Value> = entries.iter().map(|entry| &entry["entry"]["by"]).collect();
        assert_eq!(by, ["aoife", "not named"]);
        assert!(history.text.contains("-  \"deadline_ms\": 800\n+  \"deadline_ms\": 900"));
    });
}

// Guards against overwriting a change that the operator has not seen, and a conflict without diff.
#[test]
fn a_conflict_shows_the_difference() {
    runtime::run(async {
        let (store, address) = start_store();
        let address = address.to_string();
        let first = write_file("conflict-first.json", &MORNING_RUSH.replace("800", "700"));
        let second = write_file("conflict-second.json", MORNING_RUSH);
        assert_eq!(apply(&address, &first, &[]).await.status, ExitStatus::Done);
        let revision = store.borrow().core.revision();
        let outcome = apply(&address, &second, &["--expect-revision", "0"]).await;
        assert_eq!((outcome.status, outcome.status.code()), (ExitStatus::Conflict, 3));
        insta::assert_snapshot!("conflict", without_folder(&outcome.text));
        assert_eq!(store.borrow().core.revision(), revision);
    });
}

// Guards against a change that is committed twice, or not at all, after the store lost an answer or
// a request.
#[test]
fn a_lost_answer_or_request_commits_once() {
    for fault in [TxnFault::AnswerLost, TxnFault::RequestLost] {
        runtime::run(async {
            let (store, address) = start_store();
            store.borrow_mut().faults.push_back(fault);
            let file = write_file("lost.json", MORNING_RUSH);
            let outcome = apply(&address.to_string(), &file, &[]).await;
            assert_eq!((outcome.status, &outcome.data["revision"]), (ExitStatus::Done, &json!(2)));
            assert_eq!(store.borrow().core.revision(), 2);
        });
    }
}

// Guards against an unreachable store that is reported as a refusal or an unknown outcome.
#[test]
fn an_unreachable_store_has_an_exit_code_of_its_own() {
    let file = write_file("unreachable.json", MORNING_RUSH);
    let outcome = runtime::run(apply("127.0.0.1:1", &file, &[]));
    assert_eq!((outcome.status, outcome.status.code()), (ExitStatus::Unreachable, 5));
}

// Guards against an invalid document that is sent to the store.
#[test]
fn a_bad_document_is_not_committed() {
    runtime::run(async {
        let (store, address) = start_store();
        let file = write_file("bad.json", &MORNING_RUSH.replace("800", "5"));
        let outcome = apply(&address.to_string(), &file, &[]).await;
        assert_eq!((outcome.status, outcome.status.code()), (ExitStatus::Usage, 2));
        assert_eq!(store.borrow().core.counters().writes, 0);
    });
}

// Guards against `--wait` that returns before the change is active on every entry instance.
#[test]
fn wait_ends_when_every_entry_instance_has_the_change() {
    runtime::run(async {
        let (_, store) = start_store();
        let change = ProfileChange {
            name: "morning rush".to_owned(),
            revision: 2,
            profile: Some(MORNING_RUSH.to_owned()),
        };
        let polls = Rc::new(Cell::new(0));
        let offers = Rc::new(Cell::new(0));
        let entry = |first_poll: u32| {
            let (polls, offers, change) = (polls.clone(), offers.clone(), change.clone());
            start_server(move |request: ServerRequest| {
                if request.method == http::Method::POST {
                    assert_eq!(request.body, json!([change]).to_string());
                    offers.set(offers.get() + 1);
                    return json_answer(200, &json!({}));
                }
                polls.set(polls.get() + 1);
                let has = polls.get() >= first_poll;
                json_answer(200, &if has { json!([change]) } else { json!([]) })
            })
        };
        let (fast, slow) = (entry(0).to_string(), entry(4).to_string());
        let file = write_file("wait.json", MORNING_RUSH);
        let flags = ["--wait", "--entry", &fast, "--entry", &slow];
        let outcome = apply(&store.to_string(), &file, &flags).await;
        assert_eq!(outcome.status, ExitStatus::Done);
        assert_eq!(outcome.text.matches("active after").count(), 2, "{}", outcome.text);
        assert_eq!((offers.get(), polls.get()), (2, 4));
    });
}
