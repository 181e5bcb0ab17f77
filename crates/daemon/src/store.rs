//! The store adapter: a client of the JSON gateway of etcd v3.
//!
//! Failures distinguish whether a write may have taken effect: `NotSent` means that no connection was made, `Rejected`
//! that the service answered that it rejected the call. In every other case the call may have taken effect: `Unknown`.

mod wire;

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use awc::{Client, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use godwitroad_router::RouterEvent;
use godwitroad_store::{CallId, KeyVersion, StoreFailure, StoreOutcome, StoreReply, StoreRequest};
use serde_json::Value;
use tokio::{sync::mpsc::UnboundedReceiver, time::timeout};

use crate::{event_loop::EventLoopHandle, http_client, telemetry::NodeTelemetry};

/// How long an idle connection to the store is kept.
const KEEP_ALIVE_MS: u64 = 4_000;

/// The timeout of a call other than a watch.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// How long a watch waits for a change; a pending watch counts as one call in the store's budget.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// The maximum size of an answer; the store's values have up to 1 MB each and grow by a third in base64.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Sends calls to the store and reports their outcomes to the event loop.
#[derive(Clone)]
pub(crate) struct StoreAdapter {
    client: Client,
    addresses: Rc<Vec<String>>,
    /// The index of the address that answered last.
    current: Rc<Cell<usize>>,
    event_loop: EventLoopHandle,
    telemetry: Arc<NodeTelemetry>,
}

impl StoreAdapter {
    pub(crate) fn new(
        addresses: Vec<String>,
        event_loop: EventLoopHandle,
        telemetry: Arc<NodeTelemetry>,
    ) -> StoreAdapter {
        let client = http_client::new_client(Duration::from_millis(KEEP_ALIVE_MS), None);
        let (addresses, current) = (Rc::new(addresses), Rc::default());
        StoreAdapter { client, addresses, current, event_loop, telemetry }
    }

    /// Runs calls concurrently until the sender is dropped.
    pub(crate) async fn run(self, mut calls: UnboundedReceiver<(CallId, StoreRequest)>) {
        while let Some((call, request)) = calls.recv().await {
            let adapter = self.clone();
            actix_rt::spawn(async move {
                let started = Instant::now();
                let mut span = adapter.telemetry.begin_store();
                let outcome = adapter.call(&request).await;
                adapter.telemetry.count("store.calls");
                adapter.telemetry.time("store.call_us", started.elapsed());
                if let Err(failure) = &outcome {
                    span.mark_failed();
                    adapter.telemetry.count(match failure {
                        StoreFailure::NotSent => "store.not_sent",
                        StoreFailure::Unknown => "store.unknown",
                        StoreFailure::Rejected => "store.rejected",
                    });
                }
                adapter.event_loop.send_event(RouterEvent::Store { call, outcome });
            });
        }
    }

    async fn call(&self, request: &StoreRequest) -> StoreOutcome {
        let (path, body) = wire::encode(request);
        let body = Bytes::from(body.to_string());
        // A call that reached no address had no effect, so it can be retried at the next one.
        let first = self.current.get();
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            let url = format!("{}{path}", self.addresses[index]);
            let outcome = self.call_address(url, body.clone(), request).await;
            if outcome != Err(StoreFailure::NotSent) {
                self.current.set(index);
                return outcome;
            }
        }
        Err(StoreFailure::NotSent)
    }

    async fn call_address(&self, url: String, body: Bytes, request: &StoreRequest) -> StoreOutcome {
        let is_watch = matches!(request, StoreRequest::Watch { .. });
        let send =
            self.client.post(url).no_decompress().content_type("application/json").send_body(body);
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let mut response = match timeout(limit, send).await {
            Err(_) => return Err(StoreFailure::Unknown),
            Ok(Err(error)) if http_client::was_sent(&error) => return Err(StoreFailure::Unknown),
            Ok(Err(_)) => return Err(StoreFailure::NotSent),
            Ok(Ok(response)) => response,
        };
        let status = response.status().as_u16();
        if is_watch && status == 200 {
            return read_watch(&mut response, request).await;
        }
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let answer = timeout(limit, response.body().limit(MAX_ANSWER_BYTES)).await;
        let Ok(Ok(answer)) = answer else { return Err(StoreFailure::Unknown) };
        match status {
            200 => wire::decode(request, &answer).ok_or(StoreFailure::Unknown),
            400..500 => wire::decode_rejection(request, &answer),
            _ => Err(StoreFailure::Unknown),
        }
    }
}

/// Reads a watch until its first change or until [`WATCH_TIMEOUT_MS`].
async fn read_watch<S>(stream: &mut S, request: &StoreRequest) -> StoreOutcome
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let StoreRequest::Watch { after, .. } = request else { return Err(StoreFailure::Rejected) };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(WATCH_TIMEOUT_MS);
    let mut latest_version: KeyVersion = *after;
    let mut buffer: Vec<u8> = Vec::new();
    loop {
        let part = match tokio::time::timeout_at(deadline, stream.next()).await {
            // A watch that times out means that nothing changed; it is not a failure.
            Err(_) => {
                let (entries, removed) = (Vec::new(), Vec::new());
                return Ok(StoreReply::Entries { entries, removed, latest_version });
            }
            Ok(Some(Ok(part))) => part,
            Ok(Some(Err(_)) | None) => return Err(StoreFailure::Unknown),
        };
        if buffer.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(StoreFailure::Unknown);
        }
        buffer.extend_from_slice(&part);
        // The gateway writes one JSON object per line; the last line may be incomplete.
        while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let message: Value =
                serde_json::from_slice(&line).map_err(|_| StoreFailure::Unknown)?;
            match wire::decode_watch(&message)? {
                wire::WatchStep::NoChange(version) => latest_version = latest_version.max(version),
                wire::WatchStep::Reply(reply) => return Ok(reply),
            }
        }
    }
}
