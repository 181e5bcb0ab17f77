//! Answers to callers, through a complete daemon with scripted targets.

mod support;

use serde_json::{Value, json};
use support::{
    KEY, Step, TestTarget, answer, chat, daemon, document, event_head, get, head, post, token,
};
use yare::parameterized;

fn engine(bytes: Vec<u8>) -> TestTarget {
    TestTarget::start(move |_| vec![Step::Write(bytes.clone())])
}

/// Guards against events without numbers, a missing end, and missing fields that the router must set.
#[test]
fn a_stream_has_numbered_events_and_an_explicit_end() {
    let target = engine(answer(&["a", "b", "c"]));
    let daemon = daemon(&[target.address], &[]);
    let response = post(
        daemon.caller_address(),
        "/v1/chat/completions",
        "x-priority: batch\r\nx-deadline-ms: 9000\r\n",
        &chat(true),
    );
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.text(), "abc");
    let id = response.header("x-request-id").unwrap();
    let expected: Vec<_> = [1, 2, 3, 3].iter().map(|number| format!("{id}-{number}")).collect();
    assert_eq!(response.fields("id"), expected);
    assert_eq!(response.fields("data").last(), Some(&"[DONE]"));
    let seen = target.requests().into_iter().find(|seen| seen.head.starts_with("POST")).unwrap();
    let body: Value = serde_json::from_str(&seen.body).unwrap();
    assert_eq!((&body["stream"], &body["priority"]), (&json!(true), &json!(1)));
    // The salt is a hash, so that targets do not learn the account's name.
    let salt = body["cache_salt"].as_str().unwrap();
    assert!(salt.len() == 32 && salt.bytes().all(|byte| byte.is_ascii_hexdigit()), "{salt}");
    assert_eq!(seen.header("x-request-id"), Some(id));
    assert_eq!(seen.header("x-attempt"), Some("1"));
    assert!(seen.header("x-deadline-ms").unwrap().parse::<u64>().unwrap() <= 9_000);
    assert!(seen.header("traceparent").is_some());
}

/// Guards against a buffered answer that differs from the streamed one.
#[test]
fn a_buffered_answer_contains_all_tokens() {
    let target = engine(answer(&["one ", "two"]));
    let daemon = daemon(&[target.address], &[]);
    let response = post(daemon.caller_address(), "/v1/chat/completions", "", &chat(false));
    let body: Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(body["object"], "chat.completion");
    assert_eq!(body["choices"][0]["message"]["content"], "one two");
    assert_eq!(body["id"].as_str(), response.header("x-request-id"));
}

/// Guards against errors without a type, and against errors that wrongly say that the request ran.
#[parameterized(
    not_json = { "/v1/chat/completions", "", "{\"model\": ", 400, "request_invalid" },
    no_model = { "/v1/chat/completions", "", "{\"messages\": []}", 400, "request_invalid" },
    bad_prompt = { "/v1/completions", "", "{\"model\": \"m\", \"prompt\": 7}", 400, "request_invalid" },
    bad_priority = { "/v1/completions", "x-priority: high\r\n", "{\"model\": \"m\", \"prompt\": \"\"}", 400, "request_invalid" },
    unknown_model = { "/v1/completions", "", "{\"model\": \"z\", \"prompt\": \"\"}", 404, "model_unknown" },
    unknown_route = { "/elsewhere", "", "", 404, "route_unknown" },
    underscore = { "/plain", "x_request_id: 1\r\n", "", 400, "request_invalid" },
    two_keys = { "/plain", "authorization: Bearer other\r\n", "", 400, "request_invalid" },
)]
fn a_refused_request_has_a_typed_error(
    path: &str,
    headers: &str,
    body: &str,
    status: u16,
    kind: &str,
) {
    let target = engine(answer(&["a"]));
    let daemon = daemon(&[target.address], &[]);
    let response = post(daemon.caller_address(), path, headers, body);
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(
        (&response.error()["type"], &response.error()["outcome"]),
        (&json!(kind), &json!("not_run"))
    );
    assert!(target.requests().iter().all(|seen| !seen.head.starts_with("POST")));
}

/// Guards against request smuggling: a request that this daemon and a target could interpret as two different ones.
#[parameterized(
    two_lengths = { "content-length: 3\r\ncontent-length: 4\r\n\r\nabcd" },
    same_length_twice = { "content-length: 3\r\ncontent-length: 3\r\n\r\nabc" },
    length_and_chunked = { "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" },
    chunked_twice = { "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n" },
    other_encoding = { "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
    length_list = { "content-length: 3, 3\r\n\r\nabc" },
    signed_length = { "content-length: +3\r\n\r\nabc" },
    bad_chunk = { "transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n" },
    space_in_name = { "content-length : 3\r\n\r\nabc" },
    folded = { "x-a: 1\r\n folded: 2\r\ncontent-length: 0\r\n\r\n" },
    upgrade = { "connection: upgrade\r\nupgrade: websocket\r\ncontent-length: 0\r\n\r\n" },
    two_hosts = { "host: y\r\ncontent-length: 0\r\n\r\n" },
)]
fn an_ambiguous_request_reaches_no_target(remaining: &str) {
    let target = TestTarget::start(|_| vec![Step::Write(head(200, "content-length: 0\r\n"))]);
    let daemon = daemon(&[], &[target.address]);
    let start = format!("POST /plain HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n");
    let request = format!("{start}connection: close\r\n{remaining}");
    let response = support::exchange(daemon.caller_address(), request.as_bytes());
    assert_eq!(response.status, 400, "{response:?}");
    assert_eq!(target.requests().len(), 0);
}

/// Guards against an endless request head that exhausts memory.
#[test]
fn an_endless_head_is_refused() {
    let daemon = daemon(&[], &[]);
    let request = format!("GET /plain HTTP/1.1\r\nx-long: {}", "x".repeat(1 << 20));
    assert!(
        (400..500).contains(&support::exchange(daemon.caller_address(), request.as_bytes()).status)
    );
    assert_eq!(get(daemon.caller_address(), "/healthz").status, 200);
}

/// Guards against limits that close a connection without a readable error.
#[test]
fn a_request_that_is_too_large_has_a_typed_error() {
    let mut settings = support::settings();
    settings.max_body_bytes = 1_000;
    let options = support::options(settings, Some(document(&[], &[])));
    let daemon = godwitroad_daemon::app::start(options).unwrap();
    let large_body = post(daemon.caller_address(), "/plain", "", &"x".repeat(1_001));
    assert_eq!(large_body.error()["type"], "request_invalid");
    let many: String = (0..70).map(|number| format!("x-h{number}: 1\r\n")).collect();
    assert_eq!(
        post(daemon.caller_address(), "/plain", &many, "").error()["type"],
        "request_invalid"
    );
}

/// Guards against a model that is missing from `/v1/models`, and against listing models without a valid key.
#[test]
fn models_are_listed_for_a_valid_key() {
    let daemon = daemon(&[], &[]);
    let list = |authorization: &str| {
        let request = format!(
            "GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{authorization}\r\n"
        );
        support::exchange(daemon.caller_address(), request.as_bytes())
    };
    let models: Value =
        serde_json::from_str(&list(&format!("authorization: Bearer {KEY}\r\n")).body).unwrap();
    assert_eq!(models["data"][0]["id"], "m");
    assert_eq!(list("authorization: Bearer wrong\r\n").error()["type"], "key_invalid");
    assert_eq!(list("").error()["type"], "key_missing");
}

/// Guards against changed answers of a plain service, and against truncated ones that callers cannot recognize.
#[test]
fn a_plain_answer_is_unchanged_and_its_truncation_is_visible() {
    let intact = TestTarget::start(|_| {
        vec![
            Step::Write(head(201, "content-type: text/x\r\ncontent-length: 5\r\n")),
            Step::Write(b"hello".to_vec()),
        ]
    });
    let first = daemon(&[], &[intact.address]);
    let response = post(
        first.caller_address(),
        "/plain/a?b=c",
        "x-own: kept\r\nconnection: x-hop\r\nx-hop: 1\r\n",
        "{}",
    );
    assert_eq!((response.status, response.body.as_str()), (201, "hello"));
    assert_eq!(response.header("content-type"), Some("text/x"));
    let seen = &intact.requests()[0];
    assert!(seen.head.starts_with("POST /plain/a?b=c HTTP/1.1\n"));
    assert_eq!((seen.header("x-own"), seen.header("x-hop")), (Some("kept"), None));
    let cut = TestTarget::start(|_| {
        vec![
            Step::Write(head(200, "content-length: 50\r\n")),
            Step::Write(b"half".to_vec()),
            Step::Close,
        ]
    });
    let second = daemon(&[], &[cut.address]);
    let response = post(second.caller_address(), "/once", "", "{}");
    assert!(!response.complete || response.status == 502, "{response:?}");
}

/// Guards against an answer that is reported as complete although its engine died, and against a lost token.
#[test]
fn an_interrupted_stream_resumes_at_another_engine() {
    let dying = TestTarget::start(|seen| {
        if !seen.head.starts_with("POST") {
            return vec![Step::Close];
        }
        if seen.body.contains("resume") {
            let mut bytes = event_head();
            bytes.extend(token(2, "c"));
            bytes.extend(support::done());
            return vec![Step::Write(bytes)];
        }
        let mut bytes = event_head();
        bytes.extend(token(0, "a"));
        bytes.extend(token(1, "b"));
        vec![Step::Write(bytes), Step::Close]
    });
    let other = TestTarget::start(|seen| {
        if !seen.body.contains("resume") {
            return vec![Step::Close];
        }
        let mut bytes = event_head();
        bytes.extend(token(2, "c"));
        bytes.extend(support::done());
        vec![Step::Write(bytes)]
    });
    let daemon = daemon(&[dying.address, other.address], &[]);
    let response = post(daemon.caller_address(), "/v1/chat/completions", "", &chat(true));
    assert_eq!(response.text(), "abc", "{response:?}");
    assert_eq!(response.fields("data").last(), Some(&"[DONE]"));
}

/// Guards against probes that keep a stopping daemon in the load balancer, and against requests cut by a shutdown.
#[test]
fn a_graceful_shutdown_completes_running_requests() {
    let (release, hold) = std::sync::mpsc::channel();
    let hold = std::sync::Mutex::new(Some(hold));
    let target = TestTarget::start(move |seen| {
        if !seen.head.starts_with("POST") {
            return vec![Step::Close];
        }
        let mut start = event_head();
        start.extend(token(0, "a"));
        let mut remaining = token(1, "b");
        remaining.extend(support::done());
        vec![
            Step::Write(start),
            Step::AwaitRelease(hold.lock().unwrap().take().unwrap()),
            Step::Write(remaining),
        ]
    });
    let daemon = daemon(&[target.address], &[]);
    let callers = daemon.caller_address();
    let caller = std::thread::spawn(move || post(callers, "/v1/chat/completions", "", &chat(true)));
    while !target.requests().iter().any(|seen| seen.head.starts_with("POST")) {
        std::thread::yield_now();
    }
    daemon.stop();
    while get(daemon.operator_address(), "/readyz").status != 503 {
        std::thread::yield_now();
    }
    assert_eq!(get(daemon.operator_address(), "/healthz").status, 200);
    release.send(()).unwrap();
    assert_eq!(caller.join().unwrap().text(), "ab");
    daemon.wait().unwrap();
}
