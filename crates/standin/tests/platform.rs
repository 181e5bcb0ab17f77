//! The platform follows the gateway's protocol and injects faults.

#![allow(clippy::unwrap_used, reason = "a failed unwrap in a helper fails its test")]

use awc::Client;
use base64::{Engine as _, engine::general_purpose::STANDARD};
use futures_util::StreamExt;
use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_standin::{KvStore, PlatformFaults, PlatformServer, StoreError};
use serde_json::{Value, json};

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

async fn post(platform: &PlatformServer, path: &str, body: Value) -> Option<(u16, Value)> {
    let url = format!("{}{path}", platform.url());
    let mut response = Client::default().post(url).send_json(&body).await.ok()?;
    let status = response.status().as_u16();
    Some((status, response.json().limit(8 << 20).await.ok()?))
}

fn put_if(key: &str, value: &str, version: u64) -> Value {
    json!({
        "compare": [{ "key": encode(key), "target": "MOD", "result": "EQUAL",
                      "mod_revision": version.to_string() }],
        "success": [{ "request_put": { "key": encode(key), "value": encode(value) } }],
        "failure": [{ "request_range": { "key": encode(key) } }],
    })
}

// Guards against a compare-and-swap that succeeds although another write changed the key first.
#[actix_rt::test]
async fn txn_compares_the_version() {
    let platform = PlatformServer::start().unwrap();
    let (_, first) = post(&platform, "/v3/kv/txn", put_if("k", "a", 0)).await.unwrap();
    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");
    let (_, second) = post(&platform, "/v3/kv/txn", put_if("k", "b", 0)).await.unwrap();
    assert!(second.get("succeeded").is_none());
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!((&found["value"], &found["mod_revision"]), (&encode("a").into(), &"2".into()));
    assert_eq!(platform.counters().txn, 2);
}

// Guards against a lost-answer fault that also loses the write; clients must be tested with a write that took effect.
#[actix_rt::test]
async fn lost_answer_keeps_the_write() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    assert!(post(&platform, "/v3/kv/txn", put_if("k", "a", 0)).await.is_none());
    assert_eq!(platform.value("k"), Some(b"a".to_vec()));
    assert!(post(&platform, "/v3/kv/range", json!({ "key": encode("k") })).await.is_some());
}

// Guards against calls that take effect during an outage, and against an outage that can't be ended over HTTP.
#[actix_rt::test]
async fn outage_takes_no_call() {
    let platform = PlatformServer::start().unwrap();
    platform.set_faults(PlatformFaults { down: true, ..Default::default() });
    assert!(post(&platform, "/v3/kv/txn", put_if("k", "a", 0)).await.is_none());
    assert_eq!(platform.value("k"), None);
    let url = format!("{}/faults", platform.url());
    Client::default().post(url).send_json(&json!({})).await.unwrap();
    assert!(post(&platform, "/v3/kv/txn", put_if("k", "a", 0)).await.is_some());
}

// Guards against a stand-in that accepts values which the real service rejects.
#[actix_rt::test]
async fn large_value_is_refused() {
    let platform = PlatformServer::start().unwrap();
    let large = "x".repeat((1 << 20) + 1);
    let (status, body) = post(&platform, "/v3/kv/txn", put_if("k", &large, 0)).await.unwrap();
    assert_eq!((status, &body["code"]), (400, &json!(3)));
    let largest = "x".repeat(1 << 20);
    let (status, _) = post(&platform, "/v3/kv/txn", put_if("k", &largest, 0)).await.unwrap();
    assert_eq!(status, 200);
}

// Guards against a watch that misses changes made before it was opened or while it was waiting.
#[actix_rt::test]
async fn watch_streams_old_and_new_changes() {
    let platform = PlatformServer::start().unwrap();
    platform.with_store(|store| store.put(b"a/1", b"old".to_vec(), 0)).unwrap();
    let body = json!({ "create_request": {
        "key": encode("a/"), "range_end": encode("a0"), "start_revision": "2" } });
    let url = format!("{}/v3/watch", platform.url());
    let mut response = Client::default().post(url).send_json(&body).await.unwrap();
    let mut next = async || -> Value {
        let bytes = response.next().await.unwrap().unwrap();
        serde_json::from_slice(&bytes).unwrap()
    };
    assert_eq!(next().await["result"]["created"], true);
    assert_eq!(next().await["result"]["events"][0]["kv"]["value"], encode("old"));
    platform.with_store(|store| {
        store.put(b"b/1", b"other".to_vec(), 0).unwrap();
        store.put(b"a/2", b"new".to_vec(), 0).unwrap();
    });
    assert_eq!(next().await["result"]["events"][0]["kv"]["key"], encode("a/2"));
    assert_eq!(platform.counters().watch, 1);
}

// Guards against keys that remain after their lease has expired, and against renewing an expired lease.
#[test]
fn lease_ends_with_its_keys() {
    let mut store = KvStore::new();
    let at = ClockTime::from_ms;
    let lease = store.grant(at(0), 0, ClockSpan::from_secs(2)).unwrap();
    store.put(b"k", b"v".to_vec(), lease).unwrap();
    assert_eq!(store.keep_alive(at(1_500), lease), Some(ClockSpan::from_secs(2)));
    store.expire(at(3_499));
    assert!(store.get(b"k").is_some());
    store.expire(at(3_500));
    assert!(store.get(b"k").is_none());
    assert_eq!(store.keep_alive(at(3_500), lease), None);
    assert_eq!(store.put(b"k", b"v".to_vec(), lease), Err(StoreError::LeaseNotFound));
}

// Guards against a watch that silently skips changes that are no longer in the history.
#[actix_rt::test]
async fn watch_of_discarded_changes_is_cancelled() {
    let platform = PlatformServer::start().unwrap();
    platform.with_store(|store| {
        for number in 0..10_100 {
            store.put(b"k", vec![number as u8], 0).unwrap();
        }
    });
    let body = json!({ "create_request": { "key": encode("k"), "start_revision": "2" } });
    let url = format!("{}/v3/watch", platform.url());
    let mut response = Client::default().post(url).send_json(&body).await.unwrap();
    let body = response.body().await.unwrap();
    let last = body.split(|&byte| byte == b'\n').rfind(|line| !line.is_empty()).unwrap();
    let result = &serde_json::from_slice::<Value>(last).unwrap()["result"];
    assert_eq!((&result["canceled"], &result["compact_revision"]), (&json!(true), &json!("102")));
}
