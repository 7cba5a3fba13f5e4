//! Tests of the parser for the platform's instance list.

use cuminbank_entry::list;
use serde_json::json;

/// Nesting above the limit of the JSON parser.
const DEPTH: usize = 100_000;

/// Returns the entry of a worker as JSON text.
fn worker(name: &str) -> String {
    json!({ "Service": { "ID": name, "Address": "10.0.0.1", "Port": 7_000, "Meta": {
        "role": "worker", "zone": "dublin", "rack": "r1", "machine": "m1",
        "millicores": "8000", "memory_mib": "16000",
    }}})
    .to_string()
}

// Guards against one odd entry of another writer that hides all instances: the list was refused as
// a whole, and the daemon no longer followed it.
#[test]
fn odd_entry_does_not_hide_the_others() {
    let deep = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let good = worker("odd");
    let odd = [
        good.replace("7000", "70000"),
        good.replace("7000", "-1"),
        good.replace("7000", "1e999"),
        good.replace("7000", &deep),
        good.replace(r#""Port""#, r#""Harbour""#),
        good.replace(r#""8000""#, "8000"),
        good.replace(r#""8000""#, r#""99999999999999999999999""#),
        good.replace("10.0.0.1", "dublin"),
        good.replace(r#""dublin""#, &deep),
        good.replace(r#""worker""#, r#""work?er""#),
        r#"{"Service":null}"#.to_owned(),
        "null".to_owned(),
        "1e999".to_owned(),
        deep,
    ];
    for odd in odd {
        let body = format!("[{},{odd},{}]", worker("a"), worker("b"));
        // A question mark stands for a byte that is not valid UTF-8.
        let body: Vec<u8> =
            body.bytes().map(|byte| if byte == b'?' { 0xff } else { byte }).collect();
        let listed = list::parse(&body);
        let names: Option<Vec<String>> =
            listed.map(|listed| listed.into_iter().map(|instance| instance.name).collect());
        let start: String = odd.chars().take(200).collect();
        assert_eq!(names, Some(vec!["a".to_owned(), "b".to_owned()]), "{start}");
    }
}

// Guards against an outage of the platform that is taken for a list without instances.
#[test]
fn other_documents_are_no_list() {
    for body in ["", "{}", "null", "[", r#"[{"Service":{}},"#, "\u{feff}[]"] {
        assert!(list::parse(body.as_bytes()).is_none(), "{body}");
    }
    assert_eq!(list::parse(b"[]"), Some(Vec::new()));
}
