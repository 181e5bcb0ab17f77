//! Pollers of load reports and cache events, one pair for each listed target.

use std::{collections::HashMap, sync::Arc, time::Duration};

use awc::Client;
use godwitroad_base::{ClockSpan, TargetName};
use godwitroad_router::{CacheBatch, LoadReport, RouterEvent};
use rustls::ClientConfig;
use serde::de::DeserializeOwned;
use tokio::{
    sync::mpsc::UnboundedReceiver,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::target_client;
use crate::{core::CoreHandle, decision::PollTarget, telemetry::NodeTelemetry};

/// The most targets that one router polls; the design size has 6,700 workers over 21 zones.
const MAX_POLLED: usize = 1_024;

/// The time within which a load report must come.
const LOAD_LIMIT_MS: u64 = 1_000;

/// The time after which a request for cache events is made anew; an engine holds it until it has events.
const CACHE_LIMIT_MS: u64 = 30_000;

/// The wait after a failed read, so that a dead engine isn't asked in a tight loop.
const RETRY_MS: u64 = 500;

/// The largest answer of an engine; a snapshot lists its whole cache.
const MAX_POLL_BYTES: usize = 64 << 20;

#[derive(Clone)]
struct PollContext {
    scheme: &'static str,
    client: Client,
    core: CoreHandle,
    telemetry: Arc<NodeTelemetry>,
    load_poll: ClockSpan,
}

/// Keeps one pair of pollers for each target of the newest list.
pub(crate) async fn run_pollers(
    tls: Option<Arc<ClientConfig>>,
    core: CoreHandle,
    telemetry: Arc<NodeTelemetry>,
    load_poll: ClockSpan,
    mut lists: UnboundedReceiver<Vec<PollTarget>>,
) {
    let (scheme, client) = target_client(tls.as_ref());
    let context = PollContext { scheme, client, core, telemetry, load_poll };
    let mut running: HashMap<TargetName, (PollTarget, Vec<JoinHandle<()>>)> = HashMap::new();
    while let Some(list) = lists.recv().await {
        running.retain(|_, (target, tasks)| {
            let stays = list.contains(target);
            if !stays {
                tasks.iter().for_each(JoinHandle::abort);
            }
            stays
        });
        for target in list.into_iter().take(MAX_POLLED) {
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
        if let Some(report) = context.get::<LoadReport>(&target, "/load", LOAD_LIMIT_MS).await {
            context.core.event(RouterEvent::Load { target: target.name.clone(), report });
        }
        sleep(Duration::from_millis(context.load_poll.as_ms())).await;
    }
}

async fn poll_cache(context: PollContext, target: PollTarget) {
    // No engine has sent as many events: it answers with its whole cache.
    let mut after = u64::MAX;
    loop {
        let path = format!("/cache/events?after={after}");
        let Some(batch) = context.get::<CacheBatch>(&target, &path, CACHE_LIMIT_MS).await else {
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        };
        let last = after;
        if batch.snapshot {
            // The number of a snapshot is that of the first event after it.
            after = batch.first.saturating_sub(1);
        } else if !batch.events.is_empty() {
            after = batch.first + batch.events.len() as u64 - 1;
        }
        if batch.snapshot || !batch.events.is_empty() {
            context.core.event(RouterEvent::Cache { target: target.name.clone(), batch });
        }
        if after == last {
            // An engine that has nothing new and doesn't hold the request must not be asked in a tight loop.
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

impl PollContext {
    async fn get<T: DeserializeOwned>(
        &self,
        target: &PollTarget,
        path: &str,
        limit_ms: u64,
    ) -> Option<T> {
        let url = format!("{}://{}{path}", self.scheme, target.address);
        let read = async {
            let mut response = self.client.get(url).no_decompress().send().await.ok()?;
            if response.status().as_u16() != 200 {
                return None;
            }
            let body = response.body().limit(MAX_POLL_BYTES).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        let value = timeout(Duration::from_millis(limit_ms), read).await.ok().flatten();
        if value.is_none() {
            self.telemetry.count("target.poll_failures");
        }
        value
    }
}
