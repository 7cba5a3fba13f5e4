//! Latency from the acceptance of a profile change until each instance has activated it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, SystemTime},
};

use cuminbank::profile::ProfileChange;
use cuminbank_net::{
    client::{ClientRequest, HttpPool},
    runtime,
};
use serde::{Deserialize, Serialize};

use crate::table::{quantile, ResultTable};

/// Time between two polls of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a poll.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Event of a run, recorded by a poll or by the script that drives the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
enum TimedEvent {
    /// An instance reports a different revision of a profile than in its previous answer.
    Shown { at_ms: u64, instance: SocketAddr, name: String, revision: i64 },
    /// Start of the command that committed this revision.
    Accepted { at_ms: u64, name: String, revision: i64 },
    /// The process of an instance was suspended.
    Paused { at_ms: u64, instance: SocketAddr },
    /// A suspended instance was resumed.
    Resumed { at_ms: u64, instance: SocketAddr },
}

/// Polls the active configuration of `instances` and writes each change to `out`, until the file
/// `stop` exists.
///
/// Fails if `out` cannot be written.
pub fn poll(instances: &[SocketAddr], out: &Path, stop: &Path) -> io::Result<()> {
    let file = Rc::new(RefCell::new(fs::File::create(out)?));
    runtime::run(async {
        let mut tasks = Vec::new();
        for instance in instances {
            tasks.push(monoio::spawn(poll_instance(*instance, Rc::clone(&file), stop.to_owned())));
        }
        for task in tasks {
            task.await?;
        }
        Ok(())
    })
}

async fn poll_instance(
    instance: SocketAddr,
    file: Rc<RefCell<fs::File>>,
    stop: PathBuf,
) -> io::Result<()> {
    let pool = HttpPool::new();
    let mut shown: BTreeMap<String, i64> = BTreeMap::new();
    while !stop.exists() {
        let answer =
            pool.exchange(instance, ClientRequest::new_get("/v1/config"), REQUEST_TIMEOUT).await;
        // Taken after the answer: the change was active by this time.
        let at_ms = unix_millis();
        let changes: Vec<ProfileChange> = answer
            .ok()
            .filter(|answer| answer.status == 200)
            .and_then(|answer| serde_json::from_slice(&answer.body).ok())
            .unwrap_or_default();
        for ProfileChange { name, revision, .. } in changes {
            if shown.insert(name.clone(), revision) != Some(revision) {
                let event = TimedEvent::Shown { at_ms, instance, name, revision };
                let line = serde_json::to_string(&event)?;
                writeln!(file.borrow_mut(), "{line}")?;
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Computes the latencies from the event files of a run.
///
/// Fails if a file cannot be read or a line is no event.
pub fn summarize(files: &[PathBuf]) -> io::Result<ResultTable> {
    let mut events = Vec::new();
    for file in files {
        for line in fs::read_to_string(file)?.lines() {
            events.push(serde_json::from_str::<TimedEvent>(line)?);
        }
    }
    Ok(summary_table(&RunEvents::new(events)))
}

/// Events of a run, grouped by kind.
#[derive(Debug, Default)]
struct RunEvents {
    /// Reported revisions with their times, by instance and profile.
    shown: BTreeMap<SocketAddr, HashMap<String, Vec<(u64, i64)>>>,
    accepted: Vec<(u64, String, i64)>,
    /// Begin and end of each suspension, by instance.
    pauses: HashMap<SocketAddr, Vec<(u64, u64)>>,
}

impl RunEvents {
    fn new(mut events: Vec<TimedEvent>) -> Self {
        events.sort_by_key(|event| match event {
            TimedEvent::Shown { at_ms, .. }
            | TimedEvent::Accepted { at_ms, .. }
            | TimedEvent::Paused { at_ms, .. }
            | TimedEvent::Resumed { at_ms, .. } => *at_ms,
        });
        let mut run = Self::default();
        for event in events {
            match event {
                TimedEvent::Shown { at_ms, instance, name, revision } => {
                    let names = run.shown.entry(instance).or_default();
                    names.entry(name).or_default().push((at_ms, revision));
                }
                TimedEvent::Accepted { at_ms, name, revision } => {
                    run.accepted.push((at_ms, name, revision));
                }
                TimedEvent::Paused { at_ms, instance } => {
                    run.pauses.entry(instance).or_default().push((at_ms, u64::MAX));
                }
                TimedEvent::Resumed { at_ms, instance } => {
                    let last = run.pauses.get_mut(&instance).and_then(|spans| spans.last_mut());
                    if let Some(span) = last {
                        span.1 = at_ms;
                    }
                }
            }
        }
        run
    }

    fn reversions(&self) -> usize {
        let names = self.shown.values().flat_map(HashMap::values);
        let pairs = names.flat_map(|shown| shown.windows(2));
        pairs.filter(|pair| pair[1].1 < pair[0].1).count()
    }

    /// Returns when an instance first reported a revision or a later one of the same profile.
    fn active_at(&self, instance: SocketAddr, name: &str, revision: i64) -> Option<u64> {
        let shown = self.shown.get(&instance)?.get(name)?;
        shown.iter().find(|(_, shown)| *shown >= revision).map(|(at, _)| *at)
    }

    /// Returns the end of the last pause of an instance that overlaps `from` to `to`.
    fn last_pause_end(&self, instance: SocketAddr, from: u64, to: u64) -> Option<u64> {
        let spans = self.pauses.get(&instance)?.iter();
        spans.filter(|(begin, end)| *begin <= to && from <= *end).map(|(_, end)| *end).next_back()
    }
}

fn summary_table(run: &RunEvents) -> ResultTable {
    let columns = ["instances", "samples", "median ms", "p99 ms", "max ms", "never"];
    let mut table = ResultTable::new("time from acceptance to in force", &columns);
    let (mut reachable, mut resumed) = (Vec::new(), Vec::new());
    let (mut missing, mut missing_resumed) = (0, 0);
    for (accepted, name, revision) in &run.accepted {
        for instance in run.shown.keys() {
            let active_at = run.active_at(*instance, name, *revision);
            let pause = run.last_pause_end(*instance, *accepted, active_at.unwrap_or(u64::MAX));
            match (active_at, pause) {
                (Some(at), None) => reachable.push(at.saturating_sub(*accepted) as f64),
                (Some(at), Some(end)) => resumed.push(at.saturating_sub(end) as f64),
                (None, None) => missing += 1,
                (None, Some(_)) => missing_resumed += 1,
            }
        }
    }
    for (what, samples, missing) in [
        ("reachable, from the start of the command", &reachable, missing),
        ("paused meanwhile, from the resumption", &resumed, missing_resumed),
    ] {
        table.push(vec![
            what.to_owned(),
            samples.len().to_string(),
            format!("{:.0}", quantile(samples, 0.5)),
            format!("{:.0}", quantile(samples, 0.99)),
            format!("{:.0}", quantile(samples, 1.0)),
            missing.to_string(),
        ]);
    }
    table.note(format!(
        "{} changes, {} reversions (target 0), maximum target under 6,000 ms",
        run.accepted.len(),
        run.reversions(),
    ));
    table.note("the start of the command is before the acceptance, so the times are upper bounds");
    table
}
