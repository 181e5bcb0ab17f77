//! The store's JSON gateway, as far as the client needs it.

use std::{sync::Arc, time::Duration};

use awc::{
    Client,
    error::{ConnectError, SendRequestError},
};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use godwitroad_store::{
    KeyVersion, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest,
};
use serde_json::{Value, json};

/// The time after which a call counts as unanswered.
const CALL_LIMIT_MS: u64 = 3_000;

/// The largest answer: one value of at most 1 MB in base64.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;

/// The gateway's code for an argument that it refuses.
const CODE_INVALID_ARGUMENT: u64 = 3;

/// The HTTP side of the store.
#[derive(Clone)]
pub(crate) struct StoreGateway {
    client: Client,
    url: String,
}

impl StoreGateway {
    pub(crate) fn new(url: &str) -> StoreGateway {
        let limit = Duration::from_millis(CALL_LIMIT_MS);
        let client = Client::builder().timeout(limit).disable_redirects().finish();
        StoreGateway { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Carries out one call.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreOutcome {
        let (path, body) = encode(request).ok_or(StoreFailure::Rejected)?;
        let sent = self.client.post(format!("{}{path}", self.url)).send_json(&body).await;
        let mut response = sent.map_err(|error| failure_of(&error))?;
        let body = response.body().limit(ANSWER_LIMIT_BYTES).await;
        let body = body.map_err(|_| StoreFailure::Unknown)?;
        let answer: Value = serde_json::from_slice(&body).map_err(|_| StoreFailure::Unknown)?;
        if response.status().is_success() {
            return decode(request, &answer).ok_or(StoreFailure::Unknown);
        }
        let is_refused = answer["code"].as_u64() == Some(CODE_INVALID_ARGUMENT);
        Err(if is_refused { StoreFailure::Rejected } else { StoreFailure::Unknown })
    }
}

// `awc` also reports a connection that closed after the request was written, before any answer, as an error of
// connecting: `Disconnected`. Such a call may have taken effect.
fn failure_of(error: &SendRequestError) -> StoreFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            StoreFailure::Unknown
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StoreFailure::NotSent,
        _ => StoreFailure::Unknown,
    }
}

// Only the calls of an operator's change are offered.
fn encode(request: &StoreRequest) -> Option<(&'static str, Value)> {
    let text = |key: &StoreKey| STANDARD.encode(key.as_str());
    match request {
        StoreRequest::Get { key } => Some(("/v3/kv/range", json!({ "key": text(key) }))),
        StoreRequest::Put { key, value, expected, lease: None } => {
            let compare: Vec<Value> = expected
                .iter()
                .map(|version| {
                    json!({ "key": text(key), "target": "MOD", "result": "EQUAL",
                            "mod_revision": version.0.to_string() })
                })
                .collect();
            let put = json!({ "key": text(key), "value": STANDARD.encode(value) });
            let body = json!({
                "compare": compare,
                "success": [{ "request_put": put }],
                "failure": [{ "request_range": { "key": text(key) } }],
            });
            Some(("/v3/kv/txn", body))
        }
        _ => None,
    }
}

fn decode(request: &StoreRequest, answer: &Value) -> Option<StoreReply> {
    match request {
        StoreRequest::Get { .. } => Some(StoreReply::Value(entry(answer)?)),
        _ if answer["succeeded"] == json!(true) => {
            let revision = number(&answer["header"]["revision"])?;
            Some(StoreReply::Written(KeyVersion(revision)))
        }
        _ => Some(StoreReply::Conflict(entry(&answer["responses"][0]["response_range"])?)),
    }
}

// The outer option is empty when the answer can't be understood, the inner one when the key has no value.
fn entry(range: &Value) -> Option<Option<StoreEntry>> {
    let Some(pair) = range["kvs"].get(0) else { return Some(None) };
    let bytes = |name: &str| STANDARD.decode(pair[name].as_str().unwrap_or_default()).ok();
    let key = String::from_utf8(bytes("key")?).ok()?;
    let version = KeyVersion(number(&pair["mod_revision"])?);
    let value = Arc::from(bytes("value")?);
    Some(Some(StoreEntry { key: StoreKey::new(key), version, value }))
}

fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
