//! In-memory store for the task tests.

use std::collections::BTreeMap;

use bytes::Bytes;
use cuminbank::store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite};

/// Keys with values and modification revisions, and all requests received so far.
#[derive(Default)]
pub struct FakeStore {
    pub keys: BTreeMap<String, (Bytes, i64)>,
    pub revision: i64,
    pub writes: usize,
    pub requests: Vec<StoreRequest>,
}

impl FakeStore {
    pub fn put(&mut self, key: &str, value: impl Into<Bytes>) {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (value.into(), self.revision));
    }

    fn holds(&self, compare: &StoreCompare) -> bool {
        match compare {
            StoreCompare::ModRevision(key, revision) => {
                self.keys.get(key).map_or(0, |(_, at)| *at) == *revision
            }
            StoreCompare::Value(key, value) => {
                self.keys.get(key).is_some_and(|(stored, _)| stored == value)
            }
        }
    }

    fn values(&self, wanted: impl Fn(&str) -> bool) -> Vec<StoreValue> {
        let found = self.keys.iter().filter(|(key, _)| wanted(key));
        found
            .map(|(key, (value, at))| StoreValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: *at,
            })
            .collect()
    }

    pub(super) fn call(&mut self, request: &StoreRequest) -> StoreReply {
        self.requests.push(request.clone());
        match request {
            StoreRequest::Range { key, prefix } => {
                let values = self.values(|stored| {
                    stored == key || (*prefix && stored.starts_with(key.as_str()))
                });
                StoreReply::Range { revision: self.revision, values }
            }
            StoreRequest::Txn { compares, then, otherwise } => {
                if !compares.iter().all(|compare| self.holds(compare)) {
                    let values = self.values(|stored| otherwise.iter().any(|key| key == stored));
                    let revision = self.revision;
                    return StoreReply::Txn { revision, succeeded: false, values };
                }
                self.writes += 1;
                for write in then {
                    match write {
                        StoreWrite::Put { key, value, .. } => self.put(key, value.clone()),
                        StoreWrite::Delete(key) => drop(self.keys.remove(key)),
                        StoreWrite::DeletePrefix(prefix) => {
                            self.keys.retain(|key, _| !key.starts_with(prefix.as_str()));
                        }
                    }
                }
                StoreReply::Txn { revision: self.revision, succeeded: true, values: Vec::new() }
            }
            other => panic!("unsupported store request {other:?}"),
        }
    }
}
