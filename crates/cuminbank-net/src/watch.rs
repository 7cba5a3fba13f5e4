//! Configuration watch of the store: a chunked response with one JSON document per line.

use std::{net::SocketAddr, time::Duration};

use cuminbank::{
    ids::StoreRevision,
    store::{WatchChange, CONFIG_PREFIX},
};
use http::{header, Request};
use monoio::{
    io::{sink::SinkExt, stream::Stream},
    net::TcpStream,
    time,
};
use monoio_http::{
    common::body::Body,
    h1::{
        codec::{decoder::ClientResponseDecoder, encoder::GenericEncoder},
        payload::{FixedPayload, Payload},
    },
};
use serde_json::{json, Value};

use crate::{
    connection::bound_buffers,
    etcd::{decode_value, parse_number, prefix_end, to_base64},
    http_limit::{ByteAllowance, LimitedReader},
};

/// Timeout for opening the watch.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any message, not even a progress notification, after which the watch ends and is
/// reopened: the connection may be dead.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a line.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of bytes read for one chunk, which is read as a whole.
const MAX_CHUNK_BYTES: usize = MAX_LINE_BYTES + 1024;

/// Watches the configuration from revision `from` and calls `on_changes` for each message, until
/// the watch ends or fails. A line over 4 MB ends it.
pub async fn watch_config(
    address: SocketAddr,
    from: StoreRevision,
    mut on_changes: impl FnMut(StoreRevision, Vec<WatchChange>),
) {
    let request = json!({ "create_request": {
        "key": to_base64(CONFIG_PREFIX.as_bytes()),
        "range_end": to_base64(&prefix_end(CONFIG_PREFIX)),
        "start_revision": from.to_string(),
        "progress_notify": true,
    }});
    let allowance = ByteAllowance::default();
    allowance.set(MAX_CHUNK_BYTES);
    let opened = time::timeout(OPEN_TIMEOUT, open_watch(address, &request, &allowance)).await;
    let Ok(Some(mut body)) = opened else { return };
    let mut buffer = Vec::new();
    loop {
        allowance.set(MAX_CHUNK_BYTES);
        let Ok(Some(Ok(chunk))) = time::timeout(SILENCE_TIMEOUT, body.next_data()).await else {
            return;
        };
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            if end > MAX_LINE_BYTES {
                return;
            }
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some((revision, changes)) = decode_line(&line) else { return };
            on_changes(revision, changes);
        }
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}

async fn open_watch(
    address: SocketAddr,
    request: &Value,
    allowance: &ByteAllowance,
) -> Option<impl Body<Data = bytes::Bytes, Error = impl Sized>> {
    let mut stream = TcpStream::connect_addr(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    bound_buffers(&stream);
    let payload: Payload = Payload::Fixed(FixedPayload::new(request.to_string().into()));
    let message = Request::builder()
        .method("POST")
        .uri("/v3/watch")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(payload)
        .ok()?;
    GenericEncoder::new(&mut stream).send_and_flush(message).await.ok()?;
    let reader = LimitedReader::new(stream, allowance.clone());
    let mut decoder = ClientResponseDecoder::new(reader);
    let response = decoder.next().await?.ok()?;
    if response.status() != 200 {
        return None;
    }
    Some(response.into_body().with_io(decoder))
}

/// Decodes a line; `None` if it is malformed or the store cancelled the watch.
fn decode_line(line: &[u8]) -> Option<(StoreRevision, Vec<WatchChange>)> {
    let value: Value = serde_json::from_slice(line).ok()?;
    let result = value.get("result")?;
    if result["canceled"].as_bool() == Some(true) {
        return None;
    }
    let revision = parse_number(&result["header"]["revision"])?;
    let events = result["events"].as_array().map(Vec::as_slice).unwrap_or_default();
    let changes = events.iter().map(decode_event).collect::<Option<Vec<_>>>()?;
    Some((revision, changes))
}

fn decode_event(event: &Value) -> Option<WatchChange> {
    let value = decode_value(&event["kv"])?;
    match event["type"].as_str() {
        Some("DELETE") => Some(WatchChange::Delete(value.key, value.mod_revision)),
        _ => Some(WatchChange::Put(value)),
    }
}
