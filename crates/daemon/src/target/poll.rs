//! Polls load reports and cache events, with one pair of tasks per listed target.

use std::{collections::HashMap, sync::Arc, time::Duration};

use actix_web::error::PayloadError;
use awc::{Client, ClientResponse};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use godwitroad_base::{ClockSpan, TargetName};
use godwitroad_router::{CacheBatch, LoadReport, RouterEvent};
use rustls::ClientConfig;
use serde::de::DeserializeOwned;
use tokio::{
    sync::{Semaphore, mpsc::UnboundedReceiver},
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::target_client;
use crate::{decision::PollTarget, event_loop::EventLoopHandle, telemetry::NodeTelemetry};

/// The maximum number of targets that one router polls; the system is designed for 6,700 workers in 21 zones.
const MAX_POLLED_TARGETS: usize = 1_024;

/// The timeout of a load report.
const LOAD_TIMEOUT_MS: u64 = 1_000;

/// The timeout of a request for cache events; an engine holds the request until it has events.
const CACHE_TIMEOUT_MS: u64 = 30_000;

/// The delay after a failed read, so that an unreachable engine is not polled in a tight loop.
const RETRY_DELAY_MS: u64 = 500;

/// The maximum size of an answer that any number of polls may read at a time.
const MAX_SMALL_BYTES: usize = 64 << 10;

/// The maximum size of an engine's answer; a snapshot lists its complete cache. One answer above [`MAX_SMALL_BYTES`] is read at a
/// time, so that engines whose answers don't end can't exhaust the memory together.
const MAX_LARGE_BYTES: usize = 32 << 20;

/// The time in which the rest of a large answer must be received, as other engines wait.
const LARGE_ANSWER_TIMEOUT_MS: u64 = 2_000;

#[derive(Clone)]
struct PollContext {
    scheme: &'static str,
    client: Client,
    event_loop: EventLoopHandle,
    telemetry: Arc<NodeTelemetry>,
    load_poll_interval: ClockSpan,
    // Held while the rest of a large answer is read.
    large_answer: Arc<Semaphore>,
}

/// Runs one pair of tasks for each target of the most recent list.
pub(crate) async fn run_pollers(
    tls: Option<Arc<ClientConfig>>,
    event_loop: EventLoopHandle,
    telemetry: Arc<NodeTelemetry>,
    load_poll_interval: ClockSpan,
    mut lists: UnboundedReceiver<Vec<PollTarget>>,
) {
    let (scheme, client) = target_client(tls.as_ref());
    let large_answer = Arc::new(Semaphore::new(1));
    let context =
        PollContext { scheme, client, event_loop, telemetry, load_poll_interval, large_answer };
    let mut running: HashMap<TargetName, (PollTarget, Vec<JoinHandle<()>>)> = HashMap::new();
    while let Some(list) = lists.recv().await {
        running.retain(|_, (target, tasks)| {
            let is_listed = list.contains(target);
            if !is_listed {
                tasks.iter().for_each(JoinHandle::abort);
            }
            is_listed
        });
        for target in list.into_iter().take(MAX_POLLED_TARGETS) {
            running.entry(target.name.clone()).or_insert_with(|| {
                let mut tasks = vec![actix_rt::spawn(poll_load(context.clone(), target.clone()))];
                if target.cache {
                    tasks.push(actix_rt::spawn(poll_cache(context.clone(), target.clone())));
                }
                (target, tasks)
            });
        }
    }
    running.values().flat_map(|(_, tasks)| tasks).for_each(JoinHandle::abort);
}

async fn poll_load(context: PollContext, target: PollTarget) {
    loop {
        let report = context.get::<LoadReport>(&target, "/load", LOAD_TIMEOUT_MS).await;
        if let Some(report) = report.filter(LoadReport::is_valid) {
            context
                .event_loop
                .send_event(RouterEvent::Load { target: target.name.clone(), report });
        }
        sleep(Duration::from_millis(context.load_poll_interval.as_ms())).await;
    }
}

async fn poll_cache(context: PollContext, target: PollTarget) {
    // This number is above that of any event, so the engine answers with a snapshot of its cache.
    let mut after = u64::MAX;
    loop {
        let path = format!("/cache/events?after={after}");
        let Some(batch) = context.get::<CacheBatch>(&target, &path, CACHE_TIMEOUT_MS).await else {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            continue;
        };
        let previous = after;
        if batch.snapshot {
            // A snapshot's number is that of the first event after it.
            after = batch.first.saturating_sub(1);
        } else if !batch.events.is_empty() {
            after = batch.first + batch.events.len() as u64 - 1;
        }
        if batch.snapshot || !batch.events.is_empty() {
            context
                .event_loop
                .send_event(RouterEvent::Cache { target: target.name.clone(), batch });
        }
        if after == previous {
            // An engine that answers at once without new events must not be polled in a tight loop.
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

impl PollContext {
    async fn get<T: DeserializeOwned>(
        &self,
        target: &PollTarget,
        path: &str,
        timeout_ms: u64,
    ) -> Option<T> {
        let url = format!("{}://{}{path}", self.scheme, target.address);
        let read = async {
            let mut response = self.client.get(url).no_decompress().send().await.ok()?;
            if response.status().as_u16() != 200 {
                return None;
            }
            self.read_answer(&mut response).await
        };
        let value = timeout(Duration::from_millis(timeout_ms), read).await.ok().flatten();
        if value.is_none() {
            self.telemetry.count("target.poll_failures");
        }
        value
    }

    // Returns `None` if the answer is too large, breaks off or can't be decoded.
    async fn read_answer<T: DeserializeOwned, S>(
        &self,
        response: &mut ClientResponse<S>,
    ) -> Option<T>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let mut body = Vec::new();
        if read_up_to(response, &mut body, MAX_SMALL_BYTES).await? == BodyEnd::Reached {
            return serde_json::from_slice(&body).ok();
        }
        let _permit = self.large_answer.acquire().await.ok()?;
        let rest = read_up_to(response, &mut body, MAX_LARGE_BYTES);
        let end = timeout(Duration::from_millis(LARGE_ANSWER_TIMEOUT_MS), rest).await.ok()??;
        (end == BodyEnd::Reached).then(|| serde_json::from_slice(&body).ok()).flatten()
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    Reached,
    BeyondLimit,
}

// Appends a body to `bytes` until it ends, or until there are more than `limit`. Returns `None` if the body breaks off.
async fn read_up_to<S>(
    response: &mut ClientResponse<S>,
    bytes: &mut Vec<u8>,
    limit: usize,
) -> Option<BodyEnd>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    while bytes.len() <= limit {
        match response.next().await {
            Some(part) => bytes.extend_from_slice(&part.ok()?),
            None => return Some(BodyEnd::Reached),
        }
    }
    Some(BodyEnd::BeyondLimit)
}
