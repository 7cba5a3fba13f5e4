//! Size and parse time of the platform's instance list by the number of instances.

use std::time::Instant;

use cuminbank_entry::list::parse;
use serde_json::{json, Value};

use crate::table::{min_median_max, ResultTable};

/// Instances in the list, two per machine. The last is the size that the system is designed for.
const SIZES: [usize; 4] = [100, 600, 5_200, 10_400];

/// Measures the size of the list in bytes and its parse time in milliseconds.
pub fn measure(rounds: usize) -> ResultTable {
    let columns = ["instances", "bytes", "bytes each", "parse ms", "lowest", "highest"];
    let title =
        format!("list: medians of {rounds} rounds of 10; each instance fetches it each second");
    let mut table = ResultTable::new(title, &columns);
    for instances in SIZES {
        let list: Vec<Value> = (0..instances).map(health_entry).collect();
        let body = Value::from(list).to_string().into_bytes();
        let millis: Vec<f64> = (0..rounds).map(|_| parse_millis(&body, instances)).collect();
        let (low, median, high) = min_median_max(&millis);
        table.push(vec![
            instances.to_string(),
            body.len().to_string(),
            (body.len() / instances).to_string(),
            format!("{median:.2}"),
            format!("{low:.2}"),
            format!("{high:.2}"),
        ]);
    }
    table
}

fn parse_millis(body: &[u8], instances: usize) -> f64 {
    let started = Instant::now();
    for _ in 0..10 {
        let list = parse(body).expect("the generated list is valid");
        assert_eq!(list.len(), instances, "the parser skipped an entry");
    }
    started.elapsed().as_secs_f64() * 1e3 / 10.0
}

/// Returns an entry in the format of the list stand-in.
fn health_entry(index: usize) -> Value {
    let zone = format!("zone-{}", index % 16);
    let meta = json!({
        "role": "worker", "zone": zone, "rack": format!("{zone}-rack-{}", index / 160),
        "machine": format!("{zone}-machine-{index}"), "state": "live",
        "millicores": "30000", "memory_mib": "128000", "accelerators": "0",
    });
    json!({
        "Checks": [{ "Status": "passing" }],
        "Service": {
            "ID": format!("{zone}-worker-{index}"), "Service": "cuminbank",
            "Address": "10.0.0.1", "Port": 20_000, "Meta": meta,
        },
    })
}
