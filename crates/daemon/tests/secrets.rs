//! Targets never receive a caller's key.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use actix_web::http::{Method, header::HeaderMap};
use godwitroad_daemon::intake::{self, CallerKey, RequestHead, TraceParent};
use proptest::prelude::*;
use serde_json::{Value, json};
use support::{KEY, Step, TestTarget, answer, daemon, head, post};
use yare::parameterized;

fn plain() -> TestTarget {
    TestTarget::start(|_| vec![Step::Write(head(200, "content-length: 0\r\n"))])
}

/// Guards against a key that reaches a plain service in any part of the request.
#[parameterized(
    bearer = { "/plain", "", "{}" },
    query = { "/plain?api_key=KEY&a=b", "", "{}" },
    encoded_query = { "/plain?k=%73k-7f3a-secret-of-the-caller&a=b", "", "{}" },
    query_name = { "/plain?KEY=1&a=b", "", "{}" },
    header = { "/plain", "x-token: KEY\r\n", "{}" },
    longer_header = { "/plain", "x-note: my key is KEY!\r\n", "{}" },
    cookie = { "/plain", "cookie: session=KEY\r\n", "{}" },
    other_key_header = { "/plain", "x-api-key: KEY\r\n", "{}" },
    field = { "/plain", "", "{\"api_key\": \"KEY\", \"a\": \"b\"}" },
    nested_field = { "/plain", "", "{\"a\": [{\"b\": \"KEY\"}, \"KEY\"]}" },
    escaped_field = { "/plain", "", "{\"a\": \"\\u0073k-7f3a-secret-of-the-caller\"}" },
    field_name = { "/plain", "", "{\"KEY\": 1}" },
    longer_text = { "/plain", "", "{\"a\": \"my key is KEY!\"}" },
    whole_body = { "/plain", "", "\"KEY\"" },
    repeated_field = { "/plain", "", "{\"a\": \"KEY\", \"a\": \"b\"}" },
)]
fn a_plain_service_sees_no_key(path: &str, headers: &str, body: &str) {
    let target = plain();
    let daemon = daemon(&[], &[target.address]);
    let fill = |text: &str| text.replace("KEY", KEY);
    let response = post(daemon.caller_address(), &fill(path), &fill(headers), &fill(body));
    assert_eq!(response.status, 200, "{response:?}");
    let seen = target.requests()[0].head_and_body();
    for spelling in [KEY, "secret-of-the-caller", "uthorization"] {
        assert!(!seen.contains(spelling), "{seen}");
    }
    assert_eq!(seen.contains("a=b"), path.contains("a=b"));
}

/// Guards against a key in a place from which it cannot be removed: the request must be refused.
#[parameterized(
    path = { "/plain/KEY", "", "{}" },
    encoded_path = { "/plain/%73k-7f3a-secret-of-the-caller", "", "{}" },
    binary = { "/plain", "content-type: application/octet-stream\r\n", "xxKEYxx" },
    idempotency_key = { "/plain", "idempotency-key: KEY\r\n", "{}" },
)]
fn a_key_that_cannot_be_removed_is_refused(path: &str, headers: &str, body: &str) {
    let target = plain();
    let daemon = daemon(&[], &[target.address]);
    let fill = |text: &str| text.replace("KEY", KEY);
    let bytes =
        String::from_utf8(support::post_bytes(&fill(path), &fill(headers), &fill(body))).unwrap();
    let bytes = if headers.contains("octet") {
        bytes.replace("content-type: application/json\r\n", "")
    } else {
        bytes
    };
    let response = support::exchange(daemon.caller_address(), bytes.as_bytes());
    assert_eq!((response.status, target.requests().len()), (400, 0), "{response:?}");
    assert!(!response.body.contains(KEY));
}

/// Guards against a key that reaches an engine, and against a prompt that is dropped because it quotes the key.
#[test]
fn an_engine_sees_no_key() {
    let target = TestTarget::start(|_| vec![Step::Write(answer(&["a"]))]);
    let daemon = daemon(&[target.address], &[]);
    let body = json!({
        "model": "m", "stream": true, "user": KEY, "nested": {"key": KEY}, "list": [KEY, "kept"],
        "messages": [{"role": "user", "content": format!("use {KEY} please")}],
    });
    let path = format!("/v1/chat/completions?key={KEY}");
    let response =
        post(daemon.caller_address(), &path, &format!("x-own: {KEY}\r\n"), &body.to_string());
    assert_eq!(response.status, 200);
    let seen = target.requests().into_iter().find(|seen| seen.head.starts_with("POST")).unwrap();
    assert!(!seen.head_and_body().contains(KEY), "{}", seen.head_and_body());
    let body: Value = serde_json::from_str(&seen.body).unwrap();
    assert_eq!(body["messages"][0]["content"], "use [removed] please");
    assert_eq!((&body["list"], &body["nested"]), (&json!(["kept"]), &json!({})));
}

fn json_value() -> impl Strategy<Value = Value> {
    let text = prop_oneof![
        "[a-z]{0,6}",
        Just(KEY.to_string()),
        "[a-z]{0,3}".prop_map(|text| format!("{text}{KEY}{text}"))
    ];
    let leaf = prop_oneof![
        text.clone().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        Just(Value::Null)
    ];
    leaf.prop_recursive(4, 32, 5, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::vec((text.clone(), inner), 0..5)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a JSON structure in which the key remains.
    #[test]
    fn no_json_keeps_the_key(mut value in json_value()) {
        let key = CallerKey::new(KEY).unwrap();
        if key.remove_from_json(&mut value) {
            prop_assert!(!value.to_string().contains(KEY));
        }
    }

    /// Guards against a query in which the key remains, and against removing fields without the key.
    #[test]
    fn no_query_keeps_the_key(fields in prop::collection::vec(("[a-z%+=]{0,6}", any::<bool>()), 0..6)) {
        let key = CallerKey::new(KEY).unwrap();
        let query: Vec<String> = fields.iter().map(|(text, with_key)| if *with_key { format!("{text}{KEY}") } else { text.clone() }).collect();
        let kept: Vec<String> = query.iter().filter(|field| !field.contains(KEY)).cloned().collect();
        prop_assert_eq!(key.remove_from_query(&query.join("&")), kept.join("&"));
    }

    /// Guards against a body that causes a panic: any bytes must be accepted or refused.
    #[test]
    fn any_body_is_read_or_refused(body: Vec<u8>, engine: bool) {
        let headers = HeaderMap::new();
        let path = if engine { "/v1/chat/completions" } else { "/plain" };
        let head = RequestHead { method: &Method::POST, path, query: "a=%zz&%", headers: &headers };
        let key = intake::validate_head(head).unwrap();
        let _ = intake::parse_request(head, key, body.into());
    }

    /// Guards against a trace header that causes a panic or changes when it is written and parsed again.
    #[test]
    fn a_trace_header_is_kept_or_ignored(text in "\\PC{0,60}", trace in 1_u128.., span in 1_u64.., sampled: bool) {
        let _ = TraceParent::parse(&text);
        let parent = TraceParent { trace, span, sampled };
        prop_assert_eq!(TraceParent::parse(&parent.to_string()), Some(parent));
    }
}
