//! Fake store for the tests of day records, which can be set to lose or delay requests and answers.

use std::collections::BTreeMap;

use bytes::Bytes;
use cuminbank::{
    event::ExchangeError,
    record::{day_prefix, DayRecord, StoredRecord, MAX_RECORD_BYTES},
    store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite},
};

/// How the fake store treats requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreMode {
    /// Requests take effect and are answered.
    Answers,
    /// Requests cannot be sent.
    Unreachable,
    /// Requests are sent but have no effect, and no answer arrives.
    LosesRequest,
    /// Requests take effect, but the answers are lost.
    LosesAnswer,
    /// The answers are lost, and the requests take effect only after the next request that is sent
    /// in another mode.
    Delays,
}

#[derive(Debug)]
pub struct FakeStore {
    pub mode: StoreMode,
    revision: i64,
    pub values: BTreeMap<String, (Bytes, i64)>,
    delayed: Vec<StoreRequest>,
    /// Number of values written.
    pub writes: usize,
}

impl FakeStore {
    pub fn new() -> Self {
        Self {
            mode: StoreMode::Answers,
            revision: 1,
            values: BTreeMap::new(),
            delayed: Vec::new(),
            writes: 0,
        }
    }

    pub fn call(&mut self, request: &StoreRequest) -> Result<StoreReply, ExchangeError> {
        let reply = match self.mode {
            StoreMode::Answers => Ok(self.apply(request)),
            StoreMode::Unreachable => return Err(ExchangeError::NotSent),
            StoreMode::LosesRequest => Err(ExchangeError::Lost),
            StoreMode::LosesAnswer => {
                self.apply(request);
                Err(ExchangeError::Lost)
            }
            StoreMode::Delays => {
                self.delayed.push(request.clone());
                return Err(ExchangeError::Lost);
            }
        };
        for request in std::mem::take(&mut self.delayed) {
            self.apply(&request);
        }
        reply
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        let revision = self.revision;
        match request {
            StoreRequest::Range { key, .. } => {
                StoreReply::Range { revision, values: self.read(std::slice::from_ref(key)) }
            }
            StoreRequest::Txn { compares, then, otherwise } => {
                let is_true = |compare: &StoreCompare| match compare {
                    StoreCompare::ModRevision(key, revision) => {
                        self.values.get(key).map_or(0, |value| value.1) == *revision
                    }
                    StoreCompare::Value(..) => {
                        panic!("day records compare revisions only, not {compare:?}")
                    }
                };
                let succeeded = compares.iter().all(is_true);
                if succeeded {
                    self.write(then);
                }
                let values = if succeeded { Vec::new() } else { self.read(otherwise) };
                StoreReply::Txn { revision: self.revision, succeeded, values }
            }
            other => panic!("unexpected store request for day records: {other:?}"),
        }
    }

    fn write(&mut self, writes: &[StoreWrite]) {
        self.revision += 1;
        for write in writes {
            let StoreWrite::Put { key, value, lease: None } = write else {
                panic!("day records only put values without a lease, not {write:?}");
            };
            assert!(value.len() <= MAX_RECORD_BYTES, "{key}: value of {} bytes", value.len());
            self.writes += 1;
            self.values.insert(key.clone(), (value.clone(), self.revision));
        }
    }

    fn read(&self, keys: &[String]) -> Vec<StoreValue> {
        let found = keys.iter().filter_map(|key| self.values.get_key_value(key));
        found
            .map(|(key, (value, revision))| StoreValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: *revision,
            })
            .collect()
    }

    pub fn records(&self, day: &str) -> Vec<DayRecord> {
        let prefix = day_prefix(day);
        let of_day = self.values.iter().filter(|(key, _)| key.starts_with(&prefix));
        let decode = |value: &Bytes| {
            StoredRecord::decode(value)
                .expect("a value under the prefix of the day is a day record")
        };
        of_day.map(|(_, (value, _))| decode(value).record).collect()
    }
}
