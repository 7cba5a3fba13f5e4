//! Store client for the parts of etcd's v3 JSON gateway that cuminbank uses.

use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base64::{engine::general_purpose::STANDARD, Engine};
use bytes::Bytes;
use cuminbank::{
    event::ExchangeError,
    store::{StoreCompare, StoreReply, StoreRequest, StoreValue, StoreWrite},
};
use serde_json::{json, Value};

use crate::{
    client::{ClientRequest, HttpPool},
    input_budget::InputBudget,
};

/// Store client that switches between the addresses of a cluster.
#[derive(Debug)]
pub struct StoreClient {
    addresses: Vec<SocketAddr>,
    current: Cell<usize>,
    pool: HttpPool,
}

impl StoreClient {
    /// Creates a client for `addresses`. It starts with the first and switches to the next one
    /// after a failed exchange.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, current: Cell::new(0), pool: HttpPool::new() }
    }

    /// Counts responses towards the budget of the process, which bounds their size.
    pub fn with_budget(mut self, budget: &InputBudget) -> Self {
        self.pool = self.pool.with_budget(budget);
        self
    }

    /// Returns the address in use, or `None` without any addresses.
    pub fn address(&self) -> Option<SocketAddr> {
        self.addresses.get(self.current.get()).copied()
    }

    /// Sends a request to the store. It is repeated at another address only if no byte was sent;
    /// after [`ExchangeError::Lost`] the request may have taken effect, and the caller has to read
    /// the store to determine the outcome.
    ///
    /// `timeout` covers the tries at all addresses; a status other than 200 is
    /// [`ExchangeError::Refused`].
    pub async fn call(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, ExchangeError> {
        let (path, body) = encode_request(request);
        let value = self.post(path, &body, timeout).await?;
        decode_reply(request, &value).ok_or(ExchangeError::Lost)
    }

    /// Reads at most `limit` keys with `prefix`, in key order, from the first key after `after`. A
    /// large prefix does not fit into one response.
    ///
    /// Fails like [`Self::call`].
    pub async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
        timeout: Duration,
    ) -> Result<Vec<StoreValue>, ExchangeError> {
        // The next possible key after a key is that key with a zero byte appended.
        let from = after.map_or_else(|| prefix.to_owned(), |key| format!("{key}\0"));
        let body = json!({
            "key": to_base64(from.as_bytes()),
            "range_end": to_base64(&prefix_end(prefix)),
            "limit": limit.to_string(),
        });
        let value = self.post("/v3/kv/range", &body, timeout).await?;
        decode_values(&value["kvs"]).ok_or(ExchangeError::Lost)
    }

    async fn post(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<Value, ExchangeError> {
        let deadline = Instant::now() + timeout;
        for _ in 0..self.addresses.len() {
            let Some(address) = self.address() else { break };
            let message = ClientRequest::new_post(path, body.to_string());
            let left = deadline.saturating_duration_since(Instant::now());
            match self.pool.exchange(address, message, left).await {
                Err(ExchangeError::NotSent) => self.switch_address(),
                Err(error) => {
                    self.switch_address();
                    return Err(error);
                }
                Ok(answer) if answer.status == 200 => {
                    return serde_json::from_slice(&answer.body).map_err(|_| ExchangeError::Lost);
                }
                Ok(answer) => return Err(ExchangeError::Refused(answer.status)),
            }
        }
        Err(ExchangeError::NotSent)
    }

    fn switch_address(&self) {
        self.current.set((self.current.get() + 1) % self.addresses.len().max(1));
    }
}

/// Encodes bytes as base64, as the gateway does for keys and values.
pub fn to_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes base64 from the gateway; `None` if the text is invalid.
pub fn from_base64(text: &str) -> Option<Bytes> {
    STANDARD.decode(text).ok().map(Bytes::from)
}

/// Returns the exclusive end of the key range that covers all keys with `prefix`.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn range_body(key: &str, prefix: bool) -> Value {
    let mut body = json!({ "key": to_base64(key.as_bytes()) });
    if prefix {
        body["range_end"] = json!(to_base64(&prefix_end(key)));
    }
    body
}

fn encode_request(request: &StoreRequest) -> (&'static str, Value) {
    match request {
        StoreRequest::Range { key, prefix } => ("/v3/kv/range", range_body(key, *prefix)),
        StoreRequest::Txn { compares, then, otherwise } => {
            let compare: Vec<Value> = compares.iter().map(encode_compare).collect();
            let success: Vec<Value> = then.iter().map(encode_write).collect();
            let failure: Vec<Value> = otherwise
                .iter()
                .map(|key| json!({ "requestRange": range_body(key, false) }))
                .collect();
            let body = json!({ "compare": compare, "success": success, "failure": failure });
            ("/v3/kv/txn", body)
        }
        StoreRequest::GrantLease { ttl_seconds } => {
            ("/v3/lease/grant", json!({ "TTL": ttl_seconds.to_string() }))
        }
        StoreRequest::RenewLease { lease } => {
            ("/v3/lease/keepalive", json!({ "ID": lease.to_string() }))
        }
        StoreRequest::RevokeLease { lease } => {
            ("/v3/lease/revoke", json!({ "ID": lease.to_string() }))
        }
    }
}

fn encode_compare(compare: &StoreCompare) -> Value {
    match compare {
        StoreCompare::ModRevision(key, revision) => json!({
            "key": to_base64(key.as_bytes()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        StoreCompare::Value(key, value) => json!({
            "key": to_base64(key.as_bytes()),
            "target": "VALUE",
            "result": "EQUAL",
            "value": to_base64(value),
        }),
    }
}

fn encode_write(write: &StoreWrite) -> Value {
    match write {
        StoreWrite::Put { key, value, lease } => {
            let mut put = json!({
                "key": to_base64(key.as_bytes()),
                "value": to_base64(value),
            });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.to_string());
            }
            json!({ "requestPut": put })
        }
        StoreWrite::Delete(key) => json!({ "requestDeleteRange": range_body(key, false) }),
        StoreWrite::DeletePrefix(prefix) => {
            json!({ "requestDeleteRange": range_body(prefix, true) })
        }
    }
}

/// Parses a 64-bit integer. The gateway writes these as strings and omits a zero.
pub fn parse_number(value: &Value) -> Option<i64> {
    match value {
        Value::Null => Some(0),
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_i64(),
        _ => None,
    }
}

/// Decodes a key-value pair; `None` if a field is malformed.
pub fn decode_value(value: &Value) -> Option<StoreValue> {
    let key = from_base64(value["key"].as_str()?)?;
    let bytes = from_base64(value["value"].as_str().unwrap_or_default())?;
    Some(StoreValue {
        key: String::from_utf8(key.to_vec()).ok()?,
        value: bytes,
        mod_revision: parse_number(&value["mod_revision"])?,
    })
}

fn decode_values(value: &Value) -> Option<Vec<StoreValue>> {
    match value.as_array() {
        None => Some(Vec::new()),
        Some(values) => values.iter().map(decode_value).collect(),
    }
}

fn decode_reply(request: &StoreRequest, value: &Value) -> Option<StoreReply> {
    let revision = parse_number(&value["header"]["revision"])?;
    match request {
        StoreRequest::Range { .. } => {
            Some(StoreReply::Range { revision, values: decode_values(&value["kvs"])? })
        }
        StoreRequest::Txn { .. } => {
            let succeeded = value["succeeded"].as_bool().unwrap_or(false);
            let mut values = Vec::new();
            for response in value["responses"].as_array().into_iter().flatten() {
                values.extend(decode_values(&response["response_range"]["kvs"])?);
            }
            Some(StoreReply::Txn { revision, succeeded, values })
        }
        StoreRequest::GrantLease { .. } => {
            Some(StoreReply::Granted { lease: parse_number(&value["ID"])? })
        }
        StoreRequest::RenewLease { .. } => {
            let alive = parse_number(&value["result"]["TTL"])? > 0;
            Some(StoreReply::Renewed { alive })
        }
        StoreRequest::RevokeLease { .. } => Some(StoreReply::Revoked),
    }
}
