//! The JSON format of the gateway's calls and answers.
//!
//! Keys and values are base64 strings, and 64-bit integers are strings. A field that is zero, false or empty may be
//! absent.

use std::sync::Arc;

use base64::{Engine as _, prelude::BASE64_STANDARD};
use godwitroad_base::ClockSpan;
use godwitroad_store::{
    KeyVersion, LeaseId, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};
use serde_json::{Value, json};

/// The gRPC status code NOT_FOUND, for example for a lease.
const CODE_NOT_FOUND: u64 = 5;

/// The gRPC status code OUT_OF_RANGE: the requested revision was compacted.
const CODE_OUT_OF_RANGE: u64 = 11;

/// The effect of one message of a watch.
pub(super) enum WatchStep {
    /// The watch was created, or the service reports progress.
    NoChange(KeyVersion),
    /// The watch is complete.
    Reply(StoreReply),
}

/// Returns the path and body of a call.
pub(super) fn encode(request: &StoreRequest) -> (&'static str, Value) {
    match request {
        StoreRequest::List { prefix } => ("/v3/kv/range", range(prefix, true)),
        StoreRequest::Get { key } => ("/v3/kv/range", range(key, false)),
        StoreRequest::Put { key, value, expected, lease } => {
            let mut put = json!({"key": encoded_key(key), "value": BASE64_STANDARD.encode(value)});
            if let Some(lease) = lease {
                put["lease"] = json!(lease.0.to_string());
            }
            let compare = expected.map(|version| compare(key, version));
            ("/v3/kv/txn", transaction(key, compare, json!({"request_put": put})))
        }
        StoreRequest::Delete { key, expected } => {
            let delete = json!({"request_delete_range": {"key": encoded_key(key)}});
            ("/v3/kv/txn", transaction(key, Some(compare(key, *expected)), delete))
        }
        StoreRequest::Grant { ttl } => {
            // The service counts whole seconds; round up, so that a lease is not shorter than requested.
            let seconds = ttl.as_ms().div_ceil(1_000).max(1);
            ("/v3/lease/grant", json!({"ID": "0", "TTL": seconds.to_string()}))
        }
        StoreRequest::KeepAlive { lease } => {
            ("/v3/lease/keepalive", json!({"ID": lease.0.to_string()}))
        }
        StoreRequest::Watch { prefix, after } => {
            let mut create = range(prefix, true);
            create["start_revision"] = json!((after.0 + 1).to_string());
            ("/v3/watch", json!({"create_request": create}))
        }
    }
}

/// Decodes the answer to a call other than a watch; returns `None` if it is malformed.
pub(super) fn decode(request: &StoreRequest, answer: &[u8]) -> Option<StoreReply> {
    // Keep-alive answers are a stream of one message.
    let first = answer.split(|&byte| byte == b'\n').find(|line| !line.is_empty())?;
    let answer: Value = serde_json::from_slice(first).ok()?;
    match request {
        StoreRequest::Get { .. } => Some(StoreReply::Value(entries(&answer)?.pop())),
        StoreRequest::List { .. } => Some(StoreReply::Entries {
            entries: entries(&answer)?,
            removed: Vec::new(),
            latest_version: revision(&answer)?,
        }),
        StoreRequest::Put { .. } | StoreRequest::Delete { .. } => {
            if answer["succeeded"] == json!(true) {
                return revision(&answer).map(StoreReply::Written);
            }
            let found = entries(&answer["responses"][0]["response_range"])?.pop();
            Some(StoreReply::Conflict(found))
        }
        StoreRequest::Grant { .. } => lease(&answer),
        StoreRequest::KeepAlive { .. } => lease(answer.get("result")?),
        StoreRequest::Watch { .. } => None,
    }
}

/// Decodes the answer to a call that the service rejected.
pub(super) fn decode_rejection(request: &StoreRequest, answer: &[u8]) -> StoreOutcome {
    let answer: Value = serde_json::from_slice(answer).unwrap_or_default();
    match (request, answer["code"].as_u64()) {
        (StoreRequest::KeepAlive { .. }, Some(CODE_NOT_FOUND)) => Ok(StoreReply::LeaseNotFound),
        (StoreRequest::Watch { .. }, Some(CODE_OUT_OF_RANGE)) => Ok(StoreReply::Compacted),
        _ => Err(StoreFailure::Rejected),
    }
}

/// Decodes one message of a watch.
pub(super) fn decode_watch(message: &Value) -> Result<WatchStep, StoreFailure> {
    let Some(result) = message.get("result") else { return Err(StoreFailure::Unknown) };
    if number(&result["compact_revision"]).is_some_and(|version| version > 0) {
        return Ok(WatchStep::Reply(StoreReply::Compacted));
    }
    if result["canceled"] == json!(true) {
        return Err(StoreFailure::Rejected);
    }
    let latest_version = revision(result).ok_or(StoreFailure::Unknown)?;
    let events = result["events"].as_array().filter(|events| !events.is_empty());
    let Some(events) = events else { return Ok(WatchStep::NoChange(latest_version)) };
    let mut changed: Vec<StoreEntry> = Vec::new();
    let mut removed = Vec::new();
    for event in events {
        let change = entry(&event["kv"]).ok_or(StoreFailure::Unknown)?;
        // Only the last change of a key counts.
        changed.retain(|entry| entry.key != change.key);
        removed.retain(|key| *key != change.key);
        if event["type"] == json!("DELETE") {
            removed.push(change.key);
        } else {
            changed.push(change);
        }
    }
    Ok(WatchStep::Reply(StoreReply::Entries { entries: changed, removed, latest_version }))
}

fn encoded_key(key: &StoreKey) -> String {
    BASE64_STANDARD.encode(key.as_str())
}

fn range(key: &StoreKey, is_prefix: bool) -> Value {
    let mut range = json!({"key": encoded_key(key)});
    if is_prefix {
        range["range_end"] = json!(BASE64_STANDARD.encode(prefix_end(key.as_str().as_bytes())));
    }
    range
}

/// Returns the first key after all keys with `prefix`; a zero byte means "no end".
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn compare(key: &StoreKey, expected: KeyVersion) -> Value {
    json!({
        "key": encoded_key(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": expected.0.to_string(),
    })
}

fn transaction(key: &StoreKey, compare: Option<Value>, success: Value) -> Value {
    json!({
        "compare": compare.into_iter().collect::<Vec<_>>(),
        "success": [success],
        "failure": [{"request_range": range(key, false)}],
    })
}

/// Reads an integer that is encoded as a string or as a number.
fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}

fn revision(answer: &Value) -> Option<KeyVersion> {
    number(&answer["header"]["revision"]).map(KeyVersion)
}

fn entries(answer: &Value) -> Option<Vec<StoreEntry>> {
    match &answer["kvs"] {
        Value::Null => Some(Vec::new()),
        Value::Array(pairs) => pairs.iter().map(entry).collect(),
        _ => None,
    }
}

fn entry(pair: &Value) -> Option<StoreEntry> {
    let bytes = |name: &str| BASE64_STANDARD.decode(pair[name].as_str().unwrap_or("")).ok();
    let key = String::from_utf8(bytes("key")?).ok().filter(|key| !key.is_empty())?;
    let version = KeyVersion(number(&pair["mod_revision"])?);
    Some(StoreEntry { key: StoreKey::new(key), version, value: Arc::from(bytes("value")?) })
}

fn lease(answer: &Value) -> Option<StoreReply> {
    let id = answer["ID"].as_i64().or_else(|| answer["ID"].as_str()?.parse().ok())?;
    // An expired lease is reported without a time to live.
    let seconds = number(&answer["TTL"]).unwrap_or(0);
    if seconds == 0 {
        return Some(StoreReply::LeaseNotFound);
    }
    Some(StoreReply::Lease { lease: LeaseId(id), ttl: ClockSpan::from_secs(seconds) })
}
