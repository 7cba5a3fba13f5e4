//! The platform's store: items with revisions, watches, transactions and leases, in memory.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Request, json::Json, obj};

const HISTORY: Duration = Duration::from_secs(20);
const PAGE: usize = 500;
/// How long the store takes for an answer.
pub const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    log: VecDeque<Event>,
    dropped: u64,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>, Arc<AtomicU64>);

fn encode(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(SET[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn item_json(key: &str, item: &Item) -> Json {
    obj! {
        "key" => key, "value" => item.value.clone(), "revision" => item.revision,
        "created" => item.created, "lease" => item.lease,
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        let now = Instant::now();
        self.log.push_back(Event { at: now, key: key.to_owned(), revision: self.revision, item });
        while self.log.front().is_some_and(|event| now > event.at + HISTORY) {
            self.dropped = self.log.pop_front().map_or(0, |event| event.revision);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Store {
    pub fn start() -> Self {
        let state = State { revision: 1, ..State::default() };
        let store = Store(Arc::new((Mutex::new(state), Condvar::new())), Arc::default());
        store.set_answer_time(ANSWER_TIME);
        let leases = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let (state, changed) = &*leases.0;
            let mut state = state.lock().expect("no thread panics");
            let over: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (until, _))| now >= *until)
                .map(|(lease, _)| *lease)
                .collect();
            over.iter().for_each(|lease| state.end_lease(*lease));
            changed.notify_all();
        });
        store
    }

    /// Writes as the operator or an executor does.
    pub fn write(&self, key: &str, value: &Json) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("no thread panics");
        state.revision += 1;
        state.put(key, encode(value.to_string().as_bytes()), 0);
        changed.notify_all();
    }

    pub fn erase(&self, key: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().expect("no thread panics");
        state.revision += 1;
        state.remove(key);
        changed.notify_all();
    }

    /// Sets how long the store takes for an answer.
    pub fn set_answer_time(&self, time: Duration) {
        self.1.store(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Returns the value of a key as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.0 .0.lock().expect("no thread panics");
        state.items.get(key).map(|item| item.value.clone())
    }

    pub fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let half = Duration::from_millis(self.1.load(Ordering::SeqCst)) / 2;
        thread::sleep(half);
        let answer = self.answer(request);
        thread::sleep(half);
        answer
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().expect("no thread panics");
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.param("key").unwrap_or_default();
                let revision = state.revision;
                match state.items.get(key) {
                    Some(item) => {
                        let Json::Obj(mut fields) = item_json(key, item) else { return None };
                        fields.push(("current-rev".to_owned(), revision.into()));
                        (200, Json::Obj(fields))
                    }
                    None => (404, obj! { "current-rev" => revision }),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = request.param("prefix").unwrap_or_default();
                let after = request.param("after").unwrap_or_default();
                let found: Vec<(&String, &Item)> = state
                    .items
                    .range(prefix.to_owned()..)
                    .take_while(|(key, _)| key.starts_with(prefix))
                    .filter(|(key, _)| after.is_empty() || key.as_str() > after)
                    .take(PAGE + 1)
                    .collect();
                let truncated = found.len() > PAGE;
                let items: Vec<Json> =
                    found.iter().take(PAGE).map(|(key, item)| item_json(key, item)).collect();
                let revision = state.revision;
                (
                    200,
                    obj! { "items" => items, "truncated" => truncated, "current-rev" => revision },
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = request.param("prefix").unwrap_or_default().to_owned();
                let after: u64 = request.param("after").and_then(|text| text.parse().ok())?;
                let wait = request.param("wait-ms").and_then(|text| text.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                loop {
                    if after < state.dropped {
                        break (410, obj! {});
                    }
                    let events: Vec<Json> = state
                        .log
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(|event| match &event.item {
                            Some(item) => item_json(&event.key, item),
                            None => obj! {
                                "key" => event.key.clone(), "revision" => event.revision,
                                "removed" => true,
                            },
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let revision = state.revision;
                        break (200, obj! { "events" => events, "current-rev" => revision });
                    }
                    state = changed.wait_timeout(state, until - now).expect("no thread panics").0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&request.body)?;
                let expected = body.arr("expected-revision");
                let holds = expected.iter().all(|row| {
                    let revision = state.items.get(row.str("key")).map_or(0, |item| item.revision);
                    row.num("revision") == Some(revision)
                });
                let puts = body.arr("puts");
                let lease_of = |put: &Json| put.num("lease").unwrap_or(0);
                let entries = expected.len() + puts.len() + body.arr("remove").len();
                if entries > 32 {
                    (400, obj! {})
                } else if !holds {
                    let items = expected
                        .iter()
                        .map(|row| match state.items.get(row.str("key")) {
                            Some(item) => item_json(row.str("key"), item),
                            None => Json::Null,
                        })
                        .collect::<Vec<Json>>();
                    (412, obj! { "items" => items })
                } else if puts
                    .iter()
                    .any(|put| lease_of(put) > 0 && !state.leases.contains_key(&lease_of(put)))
                {
                    (404, obj! {})
                } else {
                    state.revision += 1;
                    for put in puts {
                        state.put(put.str("key"), put.str("value").to_owned(), lease_of(put));
                    }
                    for key in body.arr("remove") {
                        if let Json::Str(key) = key {
                            state.remove(key);
                        }
                    }
                    changed.notify_all();
                    (200, obj! { "revision" => state.revision })
                }
            }
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(&request.body)?.num("ttl-ms")?.max(1_000);
                state.last_lease += 1;
                let lease = state.last_lease;
                let span = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + span, span));
                (200, obj! { "lease" => lease, "ttl-ms" => ttl })
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = path["/kv-keep/".len()..].parse().ok()?;
                match state.leases.get_mut(&lease) {
                    Some((until, span)) => {
                        *until = Instant::now() + *span;
                        (200, obj! {})
                    }
                    None => (404, obj! {}),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease: u64 = path["/kv-lease-end/".len()..].parse().ok()?;
                state.end_lease(lease);
                changed.notify_all();
                (200, obj! {})
            }
            _ => (404, obj! {}),
        };
        Some((status, body.to_string()))
    }
}
