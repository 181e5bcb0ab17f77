//! The sample calls, which are printed as `curl` commands and made by `--check` from the same description.

use std::time::{Duration, Instant};

use awc::{Client, http::Method};
use serde_json::{Value, json};

use super::{LocalFleet, SAMPLE_KEY, SAMPLE_MODEL};
use crate::answer_text;

/// The timeout of one call.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// The time for which a call is repeated while it is answered with 409. The router that ran an entry records the answer
/// shortly after the caller received it; until then another router doesn't know the outcome and answers with 409.
const CONFLICT_RETRY_MS: u64 = 3_000;

/// The interval between such repetitions.
const CONFLICT_RETRY_INTERVAL_MS: u64 = 50;

/// The largest response body that is read.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The number of tokens that the sample calls request.
const ANSWER_TOKENS: u64 = 8;

type Expectation = Box<dyn Fn(&LocalFleet, u16, &str) -> Result<(), String>>;

/// An HTTP call that demonstrates one feature, with a check of its answer.
pub struct SampleCall {
    /// The feature that the call demonstrates, as printed.
    pub name: &'static str,
    url: String,
    headers: Vec<(&'static str, String)>,
    // A call with a body is a POST.
    body: Option<String>,
    expect: Expectation,
}

/// The result of a sample call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResult {
    /// The name of the call.
    pub name: &'static str,
    /// The reason for the failure, or `None` if the call succeeded.
    pub failure: Option<String>,
}

impl SampleCall {
    /// Returns the call as a `curl` command.
    pub fn curl_line(&self) -> String {
        let mut line = format!("curl -sN {}", self.url);
        for (name, value) in &self.headers {
            line += &format!(" \\\n  -H '{name}: {value}'");
        }
        if let Some(body) = &self.body {
            line += &format!(" \\\n  -d '{body}'");
        }
        line
    }

    /// Makes the call and checks its answer; repeats it for some time while the answer is HTTP 409.
    pub async fn run(&self, fleet: &LocalFleet) -> CallResult {
        let deadline = Instant::now() + Duration::from_millis(CONFLICT_RETRY_MS);
        loop {
            let result = self.run_once(fleet).await;
            let is_conflict = result.as_ref().is_err_and(|(status, _)| *status == Some(409));
            if !is_conflict || Instant::now() >= deadline {
                let failure = result.err().map(|(_, reason)| reason);
                return CallResult { name: self.name, failure };
            }
            actix_rt::time::sleep(Duration::from_millis(CONFLICT_RETRY_INTERVAL_MS)).await;
        }
    }

    // The error holds the HTTP status, if there is one, and the reason.
    async fn run_once(&self, fleet: &LocalFleet) -> Result<(), (Option<u16>, String)> {
        let (status, body) = self.send().await.map_err(|reason| (None, reason))?;
        (self.expect)(fleet, status, &body).map_err(|reason| {
            let shown: String = body.chars().take(400).collect();
            (Some(status), format!("{reason}; HTTP {status}: {shown}"))
        })
    }

    async fn send(&self) -> Result<(u16, String), String> {
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let client = Client::builder().timeout(limit).finish();
        let method = if self.body.is_some() { Method::POST } else { Method::GET };
        let mut request = client.request(method, &self.url);
        for (name, value) in &self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let sent = match &self.body {
            Some(body) => request.send_body(body.clone()).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let read = response.body().limit(MAX_ANSWER_BYTES);
        let body = actix_rt::time::timeout(limit, read).await;
        let body = body.map_err(|_| "the answer didn't end".to_owned())?;
        let body = body.map_err(|error| error.to_string())?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns the sample calls in the order in which they are to be made.
pub fn sample_calls(fleet: &LocalFleet) -> Vec<SampleCall> {
    let operators = fleet.operators()[0];
    let mut calls = vec![
        get("a router is ready", format!("http://{operators}/readyz"), vec![], status_is(200)),
        get(
            "operators see the generation in force",
            format!("http://{operators}/admin/status"),
            vec![],
            generation_is(1),
        ),
    ];
    calls.extend(model_calls(fleet));
    calls.extend(service_calls(fleet));
    calls
}

fn model_calls(fleet: &LocalFleet) -> Vec<SampleCall> {
    let callers = fleet.callers();
    let (first, second) = (callers[0], callers[callers.len() - 1]);
    let chat = |stream: bool| {
        json!({ "model": SAMPLE_MODEL, "stream": stream, "max_tokens": ANSWER_TOKENS,
                "messages": [{ "role": "user", "content": "What does a router do?" }] })
    };
    vec![
        get("models are listed", format!("http://{first}/v1/models"), vec![key()], lists_model()),
        post(
            "a chat answer arrives as a stream",
            format!("http://{first}/v1/chat/completions"),
            vec![key(), json_type()],
            &chat(true),
            streams_answer("user\nWhat does a router do?\n"),
        ),
        post(
            "a chat answer arrives in one piece from the other router",
            format!("http://{second}/v1/chat/completions"),
            vec![key(), json_type()],
            &chat(false),
            returns_answer("user\nWhat does a router do?\n"),
        ),
        post(
            "a call without a key is refused",
            format!("http://{first}/v1/chat/completions"),
            vec![json_type()],
            &chat(true),
            status_is(401),
        ),
    ]
}

fn service_calls(fleet: &LocalFleet) -> Vec<SampleCall> {
    let callers = fleet.callers();
    let (first, second) = (callers[0], callers[callers.len() - 1]);
    let entry_headers = || vec![key(), json_type(), ("idempotency-key", "entry-1".to_owned())];
    let entry = json!({ "entry": "heat 3, lane 4" });
    vec![
        post(
            "a lookup reaches the plain service",
            format!("http://{first}/registry/lookups"),
            vec![key(), json_type()],
            &json!({ "seal": 7 }),
            status_is(200),
        ),
        post(
            "an entry runs",
            format!("http://{first}/registry/entries"),
            entry_headers(),
            &entry,
            ran_exactly_once(&entry),
        ),
        post(
            "the same entry through the other router doesn't run again (409 while the first is recorded)",
            format!("http://{second}/registry/entries"),
            entry_headers(),
            &entry,
            ran_exactly_once(&entry),
        ),
    ]
}

fn key() -> (&'static str, String) {
    ("authorization", format!("Bearer {SAMPLE_KEY}"))
}

fn json_type() -> (&'static str, String) {
    ("content-type", "application/json".to_owned())
}

fn get(
    name: &'static str,
    url: String,
    headers: Vec<(&'static str, String)>,
    expect: Expectation,
) -> SampleCall {
    SampleCall { name, url, headers, body: None, expect }
}

fn post(
    name: &'static str,
    url: String,
    headers: Vec<(&'static str, String)>,
    body: &Value,
    expect: Expectation,
) -> SampleCall {
    SampleCall { name, url, headers, body: Some(body.to_string()), expect }
}

fn require(condition: bool, reason: impl Into<String>) -> Result<(), String> {
    if condition { Ok(()) } else { Err(reason.into()) }
}

fn status_is(expected: u16) -> Expectation {
    Box::new(move |_, status, _| require(status == expected, format!("expected HTTP {expected}")))
}

fn parse_json(body: &str) -> Result<Value, String> {
    serde_json::from_str(body).map_err(|error| format!("the answer isn't JSON ({error})"))
}

fn lists_model() -> Expectation {
    Box::new(|_, status, body| {
        let is_listed = parse_json(body)?["data"][0]["id"] == SAMPLE_MODEL;
        require(status == 200 && is_listed, format!("expected a list with {SAMPLE_MODEL}"))
    })
}

fn streams_answer(prompt: &'static str) -> Expectation {
    Box::new(move |_, status, body| {
        let events: Vec<&str> =
            body.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim).collect();
        let Some((&last, events)) = events.split_last() else { return Err("no events".into()) };
        let mut text = String::new();
        for event in events {
            let content = &parse_json(event)?["choices"][0]["delta"]["content"];
            text += content.as_str().unwrap_or_default();
        }
        require(status == 200 && last == "[DONE]", "expected a stream that ends with [DONE]")?;
        require(
            text == answer_text(prompt.as_bytes(), ANSWER_TOKENS),
            format!("expected each token once and in order, got {text:?}"),
        )
    })
}

fn returns_answer(prompt: &'static str) -> Expectation {
    Box::new(move |_, status, body| {
        let answer = parse_json(body)?;
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
        let expected = answer_text(prompt.as_bytes(), ANSWER_TOKENS);
        require(status == 200 && text == expected, format!("expected the answer {expected:?}"))
    })
}

fn ran_exactly_once(entry: &Value) -> Expectation {
    let body = entry.to_string();
    Box::new(move |fleet, status, _| {
        let runs = fleet.registry.runs(&body);
        require(status == 200, "expected HTTP 200")?;
        require(runs == 1, format!("the entry ran {runs} times"))
    })
}

fn generation_is(expected: u64) -> Expectation {
    Box::new(move |_, status, body| {
        let generation = parse_json(body)?["generation"].as_u64();
        require(
            status == 200 && generation == Some(expected),
            format!("expected generation {expected}"),
        )
    })
}
