//! Calls to the store, against a scripted gateway.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::sync::mpsc::Receiver;

use base64::{Engine as _, prelude::BASE64_STANDARD};
use godwitroad_base::ClockSpan;
use godwitroad_daemon::{app::AppHandle, settings::DaemonSettings};
use godwitroad_router::{RouterAction, RouterEvent, VmState};
use godwitroad_store::{
    CallId, KeyVersion, LeaseId, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply,
    StoreRequest,
};
use serde_json::{Value, json};
use support::{ClosedAddress, Step, TestTarget, head, post_bytes, settings, start_scripted};
use yare::parameterized;

fn b64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}

fn pair(key: &str, value: &str, version: u64) -> Value {
    json!({"key": b64(key), "value": b64(value), "mod_revision": version.to_string(), "version": "1"})
}

fn entry(key: &str, value: &str, version: u64) -> StoreEntry {
    StoreEntry { key: key.into(), version: KeyVersion(version), value: value.as_bytes().into() }
}

fn put(expected: Option<u64>) -> StoreRequest {
    let (key, value) = ("k".into(), b"v".as_slice().into());
    StoreRequest::Put { key, value, expected: expected.map(KeyVersion), lease: Some(LeaseId(5)) }
}

/// Starts a daemon that makes one store call when it receives a request.
fn start_calling_daemon(
    addresses: Vec<String>,
    request: StoreRequest,
) -> (AppHandle, Receiver<RouterEvent>) {
    let settings = DaemonSettings { store: addresses, ..settings() };
    let (daemon, events) = start_scripted(settings, Vec::new(), move |event| match event {
        RouterEvent::Request(_) => {
            vec![RouterAction::Store { call: CallId(3), request: request.clone() }]
        }
        _ => Vec::new(),
    });
    let callers = daemon.caller_address();
    std::thread::spawn(move || support::exchange(callers, &post_bytes("/plain", "", "")));
    (daemon, events)
}

fn outcome(events: &Receiver<RouterEvent>) -> StoreOutcome {
    loop {
        if let RouterEvent::Store { call, outcome } = events.recv().unwrap() {
            assert_eq!(call, CallId(3));
            return outcome;
        }
    }
}

fn call_and_answer(
    status: u16,
    answer: &Value,
    request: StoreRequest,
) -> (StoreOutcome, Value, String) {
    let body = format!("{answer}\n");
    let store = TestTarget::start(move |_| {
        let head = head(status, &format!("content-length: {}\r\n", body.len()));
        vec![Step::Write(head), Step::Write(body.clone().into())]
    });
    let (_daemon, events) =
        start_calling_daemon(vec![format!("http://{}", store.address)], request);
    let outcome = outcome(&events);
    let seen = &store.requests()[0];
    let path = seen.head.split(' ').nth(1).unwrap().to_string();
    (outcome, serde_json::from_str(&seen.body).unwrap(), path)
}

/// Guards against calls that the published gateway would not understand, and against misread answers.
#[test]
fn calls_match_the_gateway_format() {
    let header = json!({"revision": "12"});
    let (outcome, sent, path) = call_and_answer(
        200,
        &json!({"header": header, "kvs": [pair("k", "v", 4)], "count": "1"}),
        StoreRequest::Get { key: "k".into() },
    );
    assert_eq!((path.as_str(), &sent["key"]), ("/v3/kv/range", &json!(b64("k"))));
    assert_eq!(outcome, Ok(StoreReply::Value(Some(entry("k", "v", 4)))));

    let (outcome, sent, _) = call_and_answer(
        200,
        &json!({"header": header}),
        StoreRequest::List { prefix: "a/".into() },
    );
    assert_eq!(sent["range_end"], b64("a0"));
    let latest_version = KeyVersion(12);
    assert_eq!(
        outcome,
        Ok(StoreReply::Entries { entries: vec![], removed: vec![], latest_version })
    );

    let (outcome, sent, path) =
        call_and_answer(200, &json!({"header": header, "succeeded": true}), put(Some(0)));
    assert_eq!((path.as_str(), &sent["compare"][0]["mod_revision"]), ("/v3/kv/txn", &json!("0")));
    assert_eq!(sent["success"][0]["request_put"]["lease"], "5");
    assert_eq!(outcome, Ok(StoreReply::Written(latest_version)));

    let found = json!({"header": header, "responses": [{"response_range": {"kvs": [pair("k", "other", 9)]}}]});
    assert_eq!(
        call_and_answer(200, &found, put(Some(3))).0,
        Ok(StoreReply::Conflict(Some(entry("k", "other", 9))))
    );
    let not_found = json!({"header": header, "responses": [{"response_range": {}}]});
    let delete = StoreRequest::Delete { key: "k".into(), expected: KeyVersion(3) };
    assert_eq!(call_and_answer(200, &not_found, delete).0, Ok(StoreReply::Conflict(None)));

    let grant = StoreRequest::Grant { ttl: ClockSpan::from_ms(2_500) };
    let (outcome, sent, _) = call_and_answer(200, &json!({"ID": "7", "TTL": "3"}), grant);
    assert_eq!(sent["TTL"], "3");
    assert_eq!(outcome, Ok(StoreReply::Lease { lease: LeaseId(7), ttl: ClockSpan::from_secs(3) }));
    let keep = || StoreRequest::KeepAlive { lease: LeaseId(7) };
    let renewed = call_and_answer(200, &json!({"result": {"ID": "7", "TTL": "3"}}), keep()).0;
    assert_eq!(renewed, Ok(StoreReply::Lease { lease: LeaseId(7), ttl: ClockSpan::from_secs(3) }));
    assert_eq!(
        call_and_answer(200, &json!({"result": {"ID": "7"}}), keep()).0,
        Ok(StoreReply::LeaseNotFound)
    );
}

/// Guards against a write that is reported as unsent or rejected although it may have taken effect.
#[parameterized(
    too_large = { head(400, "content-length: 2\r\n"), b"{}", StoreFailure::Rejected },
    unavailable = { head(503, "content-length: 2\r\n"), b"{}", StoreFailure::Unknown },
    lost_at_once = { Vec::new(), b"", StoreFailure::Unknown },
    cut_answer = { head(200, "content-length: 90\r\n"), b"{\"header\"", StoreFailure::Unknown },
    garbled = { head(200, "content-length: 3\r\n"), b"}{\n", StoreFailure::Unknown },
    cut_refusal = { head(400, "content-length: 90\r\n"), b"{", StoreFailure::Unknown },
)]
fn a_failed_write_reports_whether_it_may_have_taken_effect(
    start: Vec<u8>,
    body: &'static [u8],
    expected: StoreFailure,
) {
    let store = TestTarget::start(move |_| {
        vec![Step::Write(start.clone()), Step::Write(body.to_vec()), Step::Close]
    });
    let (_daemon, events) =
        start_calling_daemon(vec![format!("http://{}", store.address)], put(None));
    assert_eq!(outcome(&events), Err(expected));
}

/// Guards against giving up at the first unreachable address, and against `Unknown` when no address is reached.
#[test]
fn an_unreachable_address_is_skipped() {
    let closed = [ClosedAddress::new(), ClosedAddress::new()];
    let [first, second] = closed.each_ref().map(|closed| format!("http://{}", closed.address));
    let (_daemon, events) = start_calling_daemon(vec![first.clone(), second], put(None));
    assert_eq!(outcome(&events), Err(StoreFailure::NotSent));
    let store = TestTarget::start(|_| vec![Step::Write(head(400, "content-length: 0\r\n"))]);
    let (_daemon, events) =
        start_calling_daemon(vec![first, format!("http://{}", store.address)], put(None));
    assert_eq!(outcome(&events), Err(StoreFailure::Rejected));
}

fn watch_result(lines: &[Value]) -> StoreOutcome {
    let messages: String = lines.iter().map(|line| format!("{line}\n")).collect();
    let store = TestTarget::start(move |_| {
        let start = head(200, "transfer-encoding: chunked\r\n");
        let bytes = messages.bytes().map(|byte| Step::Write(support::chunk(&[byte])));
        std::iter::once(Step::Write(start)).chain(bytes).chain([Step::Close]).collect()
    });
    let request = StoreRequest::Watch { prefix: "a".into(), after: KeyVersion(4) };
    let (_daemon, events) =
        start_calling_daemon(vec![format!("http://{}", store.address)], request);
    let outcome = outcome(&events);
    let sent: Value = serde_json::from_str(&store.requests()[0].body).unwrap();
    assert_eq!(sent["create_request"]["start_revision"], "5");
    outcome
}

/// Guards against lost or duplicated changes, and against the end of a watch passing for "no change".
#[test]
fn watch_messages_are_decoded_incrementally() {
    let created = json!({"result": {"header": {"revision": "4"}, "created": true}});
    let changes = json!({"result": {"header": {"revision": "9"}, "events": [
        {"kv": pair("a1", "old", 7)}, {"kv": pair("a1", "new", 8)}, {"type": "DELETE", "kv": {"key": b64("a2"), "mod_revision": "9"}},
    ]}});
    let expected = StoreReply::Entries {
        entries: vec![entry("a1", "new", 8)],
        removed: vec![StoreKey::from("a2")],
        latest_version: KeyVersion(9),
    };
    assert_eq!(watch_result(&[created.clone(), changes]), Ok(expected));
    assert_eq!(
        watch_result(&[
            json!({"result": {"header": {"revision": "9"}, "compact_revision": "6", "canceled": true}})
        ]),
        Ok(StoreReply::Compacted)
    );
    assert_eq!(watch_result(&[created]), Err(StoreFailure::Unknown));
    assert_eq!(watch_result(&[json!({"error": {"code": 14}})]), Err(StoreFailure::Unknown));
}

/// Guards against a VM list that does not reach the decision state.
#[test]
fn the_vm_list_reaches_the_state() {
    let platform = TestTarget::start(|_| {
        let body = r#"[{"vm": "vm-1", "state": "live"}, {"vm": "vm-2", "state": "leaving", "address": "127.0.0.1:9", "region": "r", "other": 1}]"#;
        vec![
            Step::Write(head(200, &format!("content-length: {}\r\n", body.len()))),
            Step::Write(body.into()),
        ]
    });
    let settings =
        DaemonSettings { vm_list: Some(format!("http://{}/vms", platform.address)), ..settings() };
    let (_daemon, events) = start_scripted(settings, Vec::new(), |_| Vec::new());
    let list = loop {
        if let RouterEvent::VmList(list) = events.recv().unwrap() {
            break list;
        }
    };
    assert_eq!((list[1].vm.as_str(), list[1].state), ("vm-2", VmState::Leaving));
}
