//! Encoded size of day records, and the time it takes to merge them.

use std::time::{Duration, SystemTime};

use cuminbank::{
    effect::CallOutcome,
    record::{day_minute, DayRecord, StoredRecord},
    reducer::records::{CallSample, TaskEvent, SAVE_INTERVAL},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::table::ResultTable;

/// Number of profiles and of customers in each case.
const SIZES: [(usize, usize); 2] = [(7, 1), (4, 41)];
/// Calls per profile and customer in one save interval.
const CALLS: [usize; 3] = [1, 100, 3_000];

/// Measures the record of one save interval: its size in bytes and the time to merge it in
/// microseconds.
pub fn measure(seed: u64) -> ResultTable {
    let columns = ["pairs", "calls/pair", "bytes", "bytes/pair", "B/s", "decode+merge us"];
    let interval = SAVE_INTERVAL.as_secs();
    let title = format!("records: seed {seed}, one interval of {interval} s on one instance");
    let mut table = ResultTable::new(title, &columns);
    for (profiles, customers) in SIZES {
        for calls in CALLS {
            let record = fill(profiles, customers, calls, seed);
            let stored = StoredRecord { operation: format!("{seed:032x}"), record };
            let bytes = stored.encode();
            let pairs = profiles * customers;
            table.push(vec![
                pairs.to_string(),
                calls.to_string(),
                bytes.len().to_string(),
                format!("{:.0}", bytes.len() as f64 / pairs as f64),
                format!("{:.0}", bytes.len() as f64 / interval as f64),
                format!("{:.0}", merge_micros(&bytes)),
            ]);
        }
    }
    table.note(format!("one write for each {interval} s of an instance that counted something"));
    table
}

/// Returns the median time in microseconds to decode a record and merge it into a sum, as the
/// daily report does with each record.
fn merge_micros(bytes: &[u8]) -> f64 {
    let mut samples = Vec::new();
    let mut sum = DayRecord::new("sum", "zone", 1, SystemTime::UNIX_EPOCH);
    for _ in 0..100 {
        let started = std::time::Instant::now();
        let stored = StoredRecord::decode(bytes).expect("an encoded record can be decoded");
        sum.merge(&stored.record);
        samples.push(started.elapsed().as_secs_f64() * 1e6);
    }
    crate::table::min_median_max(&samples).1
}

fn fill(profiles: usize, customers: usize, calls: usize, seed: u64) -> DayRecord {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let from = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let mut record = DayRecord::new("dublin-1", "dublin", 1, from);
    for profile in 0..profiles {
        for customer in 0..customers {
            let names = (format!("profile-{profile}"), format!("customer-{customer}"));
            for _ in 0..calls {
                // Times over four orders of magnitude fill many buckets of the histograms.
                let elapsed = Duration::from_micros(10f64.powf(rng.random_range(2.0..6.0)) as u64);
                let at = from + SAVE_INTERVAL.mul_f64(rng.random_range(0.0..1.0));
                let sample = CallSample {
                    profile: names.0.clone(),
                    customer: names.1.clone(),
                    class: names.0.clone(),
                    outcome: CallOutcome::Done,
                    on_time: rng.random_bool(0.95),
                    confirms_slot: rng.random_bool(0.3),
                    elapsed,
                };
                let counters = record.calls_mut(&names.0, &names.1);
                counters.received += 1;
                counters.count(&sample, day_minute(at));
                let tasks = record.tasks_mut(&names.0, &names.1);
                tasks.count(TaskEvent::Accepted, elapsed, day_minute(at));
                tasks.count(TaskEvent::Finished, elapsed * 1_000, day_minute(at));
            }
        }
    }
    record
}
