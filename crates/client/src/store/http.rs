//! An HTTP client for the JSON gateway of the key-value store, with the calls that the commands need.

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

/// The timeout of one call.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// The largest response body that is read; a value has at most 1 MB, written in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The gateway's error code for an invalid argument (gRPC `INVALID_ARGUMENT`).
const CODE_INVALID_ARGUMENT: u64 = 3;

/// Sends calls to the gateway at one base URL.
#[derive(Clone)]
pub(crate) struct StoreHttpClient {
    client: Client,
    url: String,
}

impl StoreHttpClient {
    pub(crate) fn new(url: &str) -> StoreHttpClient {
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let client = Client::builder().timeout(limit).disable_redirects().finish();
        StoreHttpClient { client, url: url.trim_end_matches('/').to_owned() }
    }

    /// Sends one call and returns its outcome.
    pub(crate) async fn call(&self, request: &StoreRequest) -> StoreOutcome {
        let (path, body) = encode(request).ok_or(StoreFailure::Rejected)?;
        let sent = self.client.post(format!("{}{path}", self.url)).send_json(&body).await;
        let mut response = sent.map_err(|error| classify_send_error(&error))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| StoreFailure::Unknown)?;
        let answer: Value = serde_json::from_slice(&body).map_err(|_| StoreFailure::Unknown)?;
        if response.status().is_success() {
            return decode(request, &answer).ok_or(StoreFailure::Unknown);
        }
        let is_rejected = answer["code"].as_u64() == Some(CODE_INVALID_ARGUMENT);
        Err(if is_rejected { StoreFailure::Rejected } else { StoreFailure::Unknown })
    }
}

// `awc` reports a connection that closed after the request was written and before any response as the connect error
// `Disconnected`. Such a call may have taken effect, so its outcome is unknown.
fn classify_send_error(error: &SendRequestError) -> StoreFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            StoreFailure::Unknown
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StoreFailure::NotSent,
        _ => StoreFailure::Unknown,
    }
}

// Returns the path and body of a call, or `None` for the calls that no command makes.
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

// Returns `None` if the response is malformed, and `Some(None)` if the key doesn't exist.
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
