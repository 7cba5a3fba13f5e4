//! Peer datagrams and tick times by the number of entry instances.

use std::time::Duration;

use crate::{
    platform::{DeploymentPlan, VirtualDeployment},
    table::{min_median_max, quantile, ResultTable},
};

/// Number of zones, and of entry instances over all zones.
const SIZES: [(usize, usize); 7] = [(1, 2), (1, 4), (1, 8), (3, 7), (4, 16), (16, 32), (16, 64)];
/// Virtual time until all groups have an owner.
const SETUP_TIME: Duration = Duration::from_secs(20);
/// Virtual time of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Size of the IP and UDP headers of a datagram in bytes.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;

/// Measures the datagram traffic and reducer time of an instance.
pub fn measure(seed: u64, rounds: usize) -> ResultTable {
    let columns = [
        "zones",
        "instances",
        "sent B/s",
        "received B/s",
        "most B/s",
        "datagrams/s",
        "tick p50 us",
        "tick p99 us",
        "cpu ms/s",
    ];
    let title = format!("peers: seed {seed}, 4 groups a zone, {rounds} rounds, of one instance");
    let mut table = ResultTable::new(title, &columns);
    for (zones, entries) in SIZES {
        let runs: Vec<_> =
            (0..rounds).map(|round| run(zones, entries, seed + round as u64)).collect();
        let cells = (0..7).map(|column| {
            let samples: Vec<f64> = runs.iter().map(|run| run[column]).collect();
            format!("{:.1}", min_median_max(&samples).1)
        });
        table.push([zones.to_string(), entries.to_string()].into_iter().chain(cells).collect());
    }
    table.note("sent, received: mean of all instances with 28 bytes of IP and UDP headers each");
    table.note("most: sent and received by the busiest instance; tick, cpu: medians of the rounds");
    table
}

fn run(zones: usize, entries: usize, seed: u64) -> [f64; 7] {
    let plan = DeploymentPlan { zones, entries, groups: 4, executors: 0, workers: 0, seed };
    let mut deployment = VirtualDeployment::new(plan);
    deployment.run_until(SETUP_TIME);
    deployment.reset_counters();
    deployment.run_for(MEASURED_TIME);
    let seconds = MEASURED_TIME.as_secs_f64();
    let mean = |total: f64| total / entries as f64 / seconds;
    let counters: Vec<_> = deployment.hosts.iter().map(|host| &host.counters).collect();
    let sent: f64 = counters.iter().map(|instance| instance.sent as f64).sum();
    let received: f64 = counters.iter().map(|instance| instance.received as f64).sum();
    let datagrams: f64 = counters.iter().map(|instance| instance.datagrams as f64).sum();
    let totals = counters.iter().map(|instance| {
        let headers = instance.datagrams as f64 * DATAGRAM_HEADER_BYTES;
        ((instance.sent + instance.received) as f64 + headers) / seconds
    });
    let ticks: Vec<f64> = counters
        .iter()
        .flat_map(|instance| instance.event_times.get("tick").into_iter().flatten())
        .map(|time| time * 1e6)
        .collect();
    let busy: f64 =
        counters.iter().flat_map(|instance| instance.event_times.values().flatten()).sum();
    [
        mean(sent + datagrams / 2.0 * DATAGRAM_HEADER_BYTES),
        mean(received + datagrams / 2.0 * DATAGRAM_HEADER_BYTES),
        totals.fold(0.0, f64::max),
        mean(datagrams),
        quantile(&ticks, 0.5),
        quantile(&ticks, 0.99),
        mean(busy) * 1e3,
    ]
}
