//! Tests the parsing of the documents that operators write: profiles and settings.

use cuminbank::{profile::WorkProfile, settings::EntrySettings};

const PROFILE: &str = r#"{"name":"plans","kind":"urgent","deadline_ms":5000}"#;
const SETTINGS: &str = r#"{"instance":"d1","zone":"dublin","http_address":"127.0.0.1:1",
    "peer_address":"127.0.0.1:2","store_addresses":["127.0.0.1:3"],
    "list_address":"127.0.0.1:4"}"#;

// Guards against silently ignoring the second of two documents in a file.
#[test]
fn text_after_a_document_is_refused() {
    for rest in ["{}", "x", "}", " , {\"deadline_ms\": 10}"] {
        let profile = WorkProfile::from_json(format!("{PROFILE}{rest}").as_bytes());
        let settings = EntrySettings::from_json(format!("{SETTINGS}{rest}").as_bytes());
        for error in [profile.err(), settings.err()] {
            let text = error.map(|error| error.to_string()).unwrap_or_default();
            assert!(text.contains("text after the document"), "{rest:?}: {text:?}");
        }
    }
}

// Guards against refusing a file because of white space at its end.
#[test]
fn space_after_a_document_is_allowed() {
    assert!(WorkProfile::from_json(format!("{PROFILE} \n").as_bytes()).is_ok());
    assert!(EntrySettings::from_json(format!("{SETTINGS}\r\n").as_bytes()).is_ok());
}
