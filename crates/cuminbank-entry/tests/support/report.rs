//! Daily report made from the records in the store of a test.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, SystemTime},
};

use cuminbank::{
    record::{day_name, CallCounters, CounterKey, DayRecord},
    reducer::records::SAVE_INTERVAL,
};
use cuminbank_cli::{
    operate_commands::read_input,
    report::{
        html::to_html,
        text::{tables, to_text},
        DayReport, ReportInput, SAVE_DELAY,
    },
    session::{CliSession, CliSettings},
};
use cuminbank_net::runtime;

/// Longest duration of a test that reads the report.
const MAX_TEST_TIME: Duration = Duration::from_secs(300);

/// Waits until the current day in UTC lasts for [`MAX_TEST_TIME`], since a report covers one day.
pub fn wait_for_day() {
    while day_name(SystemTime::now()) != day_name(SystemTime::now() + MAX_TEST_TIME) {
        thread::sleep(Duration::from_secs(1));
    }
}

/// Daily report of the current day, as data and in the formats for operators.
pub struct ReadReport {
    pub report: DayReport,
    pub text: String,
    pub page: String,
    records: Vec<DayRecord>,
}

impl ReadReport {
    /// Makes the report for a time at which every live instance must have saved its record, without
    /// waiting for it.
    pub fn read(store: SocketAddr) -> Self {
        let now = SystemTime::now() + SAVE_DELAY + SAVE_INTERVAL;
        let input = runtime::run(read_records(store, now));
        let report = DayReport::new(&input);
        let page = to_html(&report).expect("the plots can be drawn");
        Self { text: to_text(&report), page, report, records: input.records }
    }

    /// Returns a number from a table of the report, or 0 if the table has no such row. Checks that
    /// the row is on the page.
    pub fn figure(&self, title: &str, [profile, customer]: [&str; 2], column: &str) -> u64 {
        let tables = tables(&self.report);
        let Some(table) = tables.iter().find(|table| table.title == title) else { return 0 };
        let column =
            table.header.iter().position(|name| *name == column).expect("the table has the column");
        let row = table.rows.iter().find(|row| row[0] == profile && row[1] == customer);
        row.map_or(0, |row| {
            let cells: String = row.iter().map(|cell| format!("<td>{cell}</td>")).collect();
            assert!(self.page.contains(&cells), "the page lacks {cells}");
            row[column].parse().expect("the cell is a whole number")
        })
    }

    /// Returns the sum of a count over the records of one instance, for a profile and customer.
    pub fn sum_at(
        &self,
        instance: &str,
        [profile, customer]: [&str; 2],
        count: impl Fn(&CallCounters) -> u64,
    ) -> u64 {
        let key = CounterKey::new(profile, customer);
        let own = self.records.iter().filter(|record| record.instance == instance);
        own.filter_map(|record| record.calls.get(&key)).map(count).sum()
    }

    /// Returns the sum of a count over all profiles and customers of the report.
    pub fn sum(&self, count: impl Fn(&CallCounters) -> u64) -> u64 {
        self.report.calls.values().map(count).sum()
    }
}

async fn read_records(store: SocketAddr, now: SystemTime) -> ReportInput {
    let session = CliSession::new(CliSettings { store: vec![store], ..CliSettings::default() });
    let written = SystemTime::now();
    let input = read_input(&session, &day_name(written), now).await;
    input.unwrap_or_else(|failure| panic!("reading the day records failed: {}", failure.text))
}

/// Returns the current Unix time in seconds, rounded up.
pub fn seconds_now() -> u64 {
    let since =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("the clock is after 1970");
    (since + Duration::from_millis(999)).as_secs()
}
