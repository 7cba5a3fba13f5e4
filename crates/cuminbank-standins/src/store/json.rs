//! JSON encoding of the store's requests and responses, as in etcd's v3 gateway.

use base64::{engine::general_purpose::STANDARD, Engine};
use bytes::Bytes;
use cuminbank::ids::StoreRevision;
use serde_json::{json, Map, Value};

use super::types::{
    Compare, CompareResult, CompareTarget, KeyRange, KeyValue, OpAnswer, RangeAnswer, StoreChange,
    Txn, TxnAnswer, TxnOp,
};

/// Cluster and member id in response headers; the stand-in is a cluster with one member.
const MEMBER_ID: &str = "1";

/// Returns the field `name`, or else `camel`: the gateway accepts the original and the lower camel
/// case names of protobuf fields.
fn field_any_case<'a>(value: &'a Value, name: &str, camel: &str) -> &'a Value {
    if value[name].is_null() {
        return &value[camel];
    }
    &value[name]
}

/// Reads a 64-bit integer that is encoded as a string or a number; an absent field is 0.
pub(super) fn read_number(value: &Value) -> Result<i64, String> {
    let number = match value {
        Value::Null => Some(0),
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_i64(),
        _ => None,
    };
    number.ok_or_else(|| format!("{value} is not a 64-bit number"))
}

fn read_bytes(value: &Value) -> Result<Bytes, String> {
    match value {
        Value::Null => Ok(Bytes::new()),
        Value::String(text) => STANDARD
            .decode(text)
            .map(Bytes::from)
            .map_err(|error| format!("{text:?} is not base64: {error}")),
        _ => Err(format!("{value} is not base64 text")),
    }
}

/// Reads the key range of a request.
pub(super) fn read_range(value: &Value) -> Result<KeyRange, String> {
    let key = read_bytes(&value["key"])?;
    if key.is_empty() {
        return Err("etcdserver: key is not provided".to_owned());
    }
    Ok(KeyRange { key, end: read_bytes(field_any_case(value, "range_end", "rangeEnd"))? })
}

/// Reads the most keys that a range read may return.
pub(super) fn read_limit(value: &Value) -> Result<usize, String> {
    let limit = read_number(&value["limit"])?;
    usize::try_from(limit).map_err(|_| format!("{limit} is not a limit"))
}

/// Reads a transaction.
pub(super) fn read_txn(value: &Value) -> Result<Txn, String> {
    Ok(Txn {
        compares: read_list(&value["compare"], read_compare)?,
        success: read_list(&value["success"], read_op)?,
        failure: read_list(&value["failure"], read_op)?,
    })
}

fn read_list<T>(
    value: &Value,
    read: impl Fn(&Value) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    match value {
        Value::Null => Ok(Vec::new()),
        Value::Array(items) => items.iter().map(read).collect(),
        _ => Err(format!("{value} is not an array")),
    }
}

fn read_compare(value: &Value) -> Result<Compare, String> {
    let number = |name, camel| read_number(field_any_case(value, name, camel));
    let target = match value["target"].as_str().unwrap_or("VERSION") {
        "VERSION" => CompareTarget::Version(number("version", "version")?),
        "CREATE" => CompareTarget::Create(number("create_revision", "createRevision")?),
        "MOD" => CompareTarget::Mod(number("mod_revision", "modRevision")?),
        "VALUE" => CompareTarget::Value(read_bytes(&value["value"])?),
        other => return Err(format!("{other:?} is not a compare target")),
    };
    let result = match value["result"].as_str().unwrap_or("EQUAL") {
        "EQUAL" => CompareResult::Equal,
        "GREATER" => CompareResult::Greater,
        "LESS" => CompareResult::Less,
        "NOT_EQUAL" => CompareResult::NotEqual,
        other => return Err(format!("{other:?} is not a compare result")),
    };
    Ok(Compare { key: read_range(value)?.key, result, target })
}

fn read_op(value: &Value) -> Result<TxnOp, String> {
    let put = field_any_case(value, "request_put", "requestPut");
    if !put.is_null() {
        let key = read_range(put)?.key;
        let (value, lease) = (read_bytes(&put["value"])?, read_number(&put["lease"])?);
        return Ok(TxnOp::Put { key, value, lease });
    }
    let delete = field_any_case(value, "request_delete_range", "requestDeleteRange");
    if !delete.is_null() {
        return Ok(TxnOp::Delete(read_range(delete)?));
    }
    let range = field_any_case(value, "request_range", "requestRange");
    if !range.is_null() {
        return Ok(TxnOp::Range { range: read_range(range)?, limit: read_limit(range)? });
    }
    Err("the operation is not a put, a delete or a range".to_owned())
}

/// Encodes the header of a response.
pub(super) fn header(revision: StoreRevision) -> Value {
    json!({
        "cluster_id": MEMBER_ID, "member_id": MEMBER_ID,
        "revision": revision.to_string(), "raft_term": "1",
    })
}

fn insert_number(object: &mut Map<String, Value>, name: &str, number: i64) {
    // The gateway omits fields that are zero.
    if number != 0 {
        object.insert(name.to_owned(), json!(number.to_string()));
    }
}

fn insert_bytes(object: &mut Map<String, Value>, name: &str, bytes: &[u8]) {
    if !bytes.is_empty() {
        object.insert(name.to_owned(), json!(STANDARD.encode(bytes)));
    }
}

fn write_entry(entry: &KeyValue) -> Value {
    let mut object = Map::new();
    insert_bytes(&mut object, "key", &entry.key);
    insert_number(&mut object, "create_revision", entry.create_revision);
    insert_number(&mut object, "mod_revision", entry.mod_revision);
    insert_number(&mut object, "version", entry.version);
    insert_bytes(&mut object, "value", &entry.value);
    insert_number(&mut object, "lease", entry.lease);
    Value::Object(object)
}

/// Encodes the response to a range read.
pub(super) fn write_range(answer: &RangeAnswer) -> Value {
    let mut object = Map::new();
    object.insert("header".to_owned(), header(answer.revision));
    if !answer.values.is_empty() {
        object.insert("kvs".to_owned(), answer.values.iter().map(write_entry).collect());
    }
    if answer.count > answer.values.len() {
        object.insert("more".to_owned(), json!(true));
    }
    insert_number(&mut object, "count", i64::try_from(answer.count).unwrap_or(i64::MAX));
    Value::Object(object)
}

/// Encodes the response to a transaction.
pub(super) fn write_txn(answer: &TxnAnswer) -> Value {
    let mut object = Map::new();
    object.insert("header".to_owned(), header(answer.revision));
    if answer.succeeded {
        object.insert("succeeded".to_owned(), json!(true));
    }
    let write_op = |op: &OpAnswer| match op {
        OpAnswer::Put => json!({"response_put": {"header": header(answer.revision)}}),
        OpAnswer::Deleted(count) => json!({"response_delete_range": {
            "header": header(answer.revision), "deleted": count.to_string(),
        }}),
        OpAnswer::Range(range) => json!({"response_range": write_range(range)}),
    };
    if !answer.answers.is_empty() {
        object.insert("responses".to_owned(), answer.answers.iter().map(write_op).collect());
    }
    Value::Object(object)
}

fn write_change(change: &StoreChange) -> Value {
    let mut event = json!({"kv": write_entry(&change.entry)});
    if change.deleted {
        event["type"] = json!("DELETE");
    }
    event
}

/// Encodes changes as a message of a watch; without changes, it is a progress notification.
pub(super) fn write_changes(revision: StoreRevision, changes: &[StoreChange]) -> Value {
    let mut result = json!({"header": header(revision)});
    if !changes.is_empty() {
        result["events"] = changes.iter().map(write_change).collect();
    }
    json!({ "result": result })
}
