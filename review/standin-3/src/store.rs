//! Stand-in of the platform's store. Values stay encoded.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Reply, Request},
    json::{base64, quote, Json},
};

/// Time that an answer takes.
const DELAY: Duration = Duration::from_millis(4);
/// Items of a page.
const PAGE: usize = 500;
/// Entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// Size of a value.
const MAX_VALUE: usize = 1_048_576;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Key, revision, and the item unless it was removed.
    events: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), self.revision, None));
        }
    }

    fn transact(&mut self, body: &Json) -> Reply {
        let expected = body.get("expected-revision").list();
        let (puts, removes) = (body.get("puts").list(), body.get("remove").list());
        let too_large = |put: &Json| {
            put.get("value").text().is_some_and(|value| value.len() / 4 * 3 > MAX_VALUE)
        };
        if expected.len() + puts.len() + removes.len() > MAX_ENTRIES || puts.iter().any(too_large) {
            return Reply::Answer(400, "{}".to_owned());
        }
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| {
            let key = row.get("key").text().unwrap_or_default();
            revision_of(key) == row.get("revision").number().unwrap_or_default()
        };
        if !expected.iter().all(holds) {
            let keys = expected.iter().filter_map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_json(key, self.items.get(key)?)));
            let items: Vec<String> = items.collect();
            return Reply::Answer(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases = puts.iter().filter_map(|put| put.get("lease").number());
        if leases.into_iter().any(|lease| lease > 0 && !self.leases.contains_key(&lease)) {
            return Reply::Answer(404, "{}".to_owned());
        }
        self.revision += 1;
        for key in removes.iter().filter_map(Json::text) {
            self.remove(key);
        }
        for put in puts {
            let key = put.get("key").text().unwrap_or_default();
            let value = put.get("value").text().unwrap_or_default().to_owned();
            self.put(key, value, put.get("lease").number().unwrap_or_default());
        }
        Reply::Answer(200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let key = quote(key);
    format!(
        "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

impl Store {
    /// Writes a key as the operator or an executor does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes a key as the platform does when an executor has left.
    pub fn erase(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        thread::sleep(DELAY);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        if path == "/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let reply = match path {
            "/kv-key" => {
                let key = request.parameter("key").unwrap_or_default();
                let revision = state.revision;
                match state.items.get(key) {
                    Some(item) => {
                        let item = item_json(key, item);
                        let item = item.trim_end_matches('}');
                        Reply::Answer(200, format!("{item},\"current-rev\":{revision}}}"))
                    }
                    None => Reply::Answer(404, format!("{{\"current-rev\":{revision}}}")),
                }
            }
            "/kv-range" => {
                let prefix = request.parameter("prefix").unwrap_or_default();
                let after = request.parameter("after").unwrap_or_default();
                let from = state.items.range(prefix.to_owned()..);
                let mut found = from
                    .take_while(|(key, _)| key.starts_with(prefix))
                    .filter(|(key, _)| key.as_str() > after);
                let page: Vec<String> =
                    found.by_ref().take(PAGE).map(|(key, item)| item_json(key, item)).collect();
                let truncated = found.next().is_some();
                let revision = state.revision;
                Reply::Answer(
                    200,
                    format!(
                        "{{\"items\":[{}],\"truncated\":{truncated},\"current-rev\":{revision}}}",
                        page.join(",")
                    ),
                )
            }
            "/kv-txn" => state.transact(&body),
            "/kv-lease" => {
                let ttl = body.get("ttl-ms").number().unwrap_or_default().max(1_000);
                let time = Duration::from_millis(ttl);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + time, time));
                Reply::Answer(200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                let known = id.filter(|id| state.leases.contains_key(id));
                match known {
                    None => Reply::Answer(404, "{}".to_owned()),
                    Some(id) if path.starts_with("/kv-keep/") => {
                        if let Some((end, time)) = state.leases.get_mut(&id) {
                            *end = Instant::now() + *time;
                        }
                        Reply::Answer(200, "{}".to_owned())
                    }
                    Some(id) => {
                        state.end_lease(id);
                        Reply::Answer(200, "{}".to_owned())
                    }
                }
            }
        };
        self.changed.notify_all();
        reply
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or_default());
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            // Events are in the order of their revisions.
            let from = state.events.partition_point(|(_, revision, _)| *revision <= after);
            let events: Vec<String> = state.events[from..]
                .iter()
                .filter(|(key, _, _)| key.starts_with(prefix))
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return Reply::Answer(
                    200,
                    format!("{{\"events\":[{events}],\"current-rev\":{revision}}}"),
                );
            }
            // Leases end without a notice.
            let wait = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}
