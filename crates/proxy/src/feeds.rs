//! Cache event feeds of targets (engines) and of the shared cache stores.
//!
//! The decision state selects the sources that this router reads. One task per source long-polls for changes and
//! passes them to the decision state. A source that doesn't answer is polled again after a delay.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use actix_rt::spawn;
use godwitroad_base::ClockSpan;
use godwitroad_forward::{CacheEventBatch, FeedPosition, FeedSource, ForwardEvent};
use http::StatusCode;
use tokio::task::AbortHandle;

use crate::{core::SharedCore, platform::PlatformAdapter};

/// How long a long poll waits for changes. The platform allows at most one second.
const LONG_POLL_WAIT: ClockSpan = ClockSpan::from_ms(1_000);

/// The time that an answer may take beyond the wait of its long poll.
const ANSWER_MARGIN: ClockSpan = ClockSpan::from_ms(500);

/// The delay after an answer with changes, in milliseconds per known target, so that changes in quick succession need
/// only one call. Placement tolerates the delay because a router records the effect of its own requests immediately.
const BATCH_DELAY_PER_TARGET_MS: u64 = 12;

/// The upper bound of the delay after an answer with changes, in milliseconds.
const MAX_BATCH_DELAY_MS: u64 = 600;

/// The delay before the next poll of a source that failed.
const RETRY_DELAY: ClockSpan = ClockSpan::from_ms(600);

/// The interval at which the set of sources is updated.
const SOURCE_CHECK_INTERVAL: ClockSpan = ClockSpan::from_ms(300);

/// Polls the sources that the decision state selects, for as long as the process runs.
pub(crate) async fn run<P: PlatformAdapter>(core: SharedCore<P>) {
    let mut tasks: BTreeMap<FeedSource, (SocketAddr, AbortHandle)> = BTreeMap::new();
    loop {
        let required: BTreeSet<FeedSource> =
            core.read(|state| state.feeds(core.now())).into_iter().collect();
        tasks.retain(|source, (address, task)| {
            let is_current =
                required.contains(source) && source_address(&core, source) == Some(*address);
            if !is_current {
                task.abort();
                // Without a feed, the source's known cache entries count as outdated.
                core.handle(ForwardEvent::FeedEnded(source.clone()));
            }
            is_current
        });
        for source in required {
            let Some(address) = source_address(&core, &source) else { continue };
            tasks.entry(source.clone()).or_insert_with(|| {
                let task = spawn(poll_source(core.clone(), source, address));
                (address, task.abort_handle())
            });
        }
        core.sleep(SOURCE_CHECK_INTERVAL).await;
    }
}

fn batch_delay<P: PlatformAdapter>(core: &SharedCore<P>) -> ClockSpan {
    let targets = core.read(|state| state.target_count()) as u64;
    ClockSpan::from_ms((targets * BATCH_DELAY_PER_TARGET_MS).min(MAX_BATCH_DELAY_MS))
}

fn source_address<P: PlatformAdapter>(
    core: &SharedCore<P>,
    source: &FeedSource,
) -> Option<SocketAddr> {
    match source {
        FeedSource::Kept(address) => Some(*address),
        FeedSource::Target(name) => {
            core.read(|state| state.target(name).map(|record| record.address))
        }
    }
}

async fn poll_source<P: PlatformAdapter>(
    core: SharedCore<P>,
    source: FeedSource,
    address: SocketAddr,
) {
    let mut position = FeedPosition::default();
    let mut is_failing = false;
    loop {
        let mut batch = fetch_changes(&core, address, position.since()).await;
        let delay = match &mut batch {
            Ok(batch) => {
                batch.gap |= position.record(batch);
                (!batch.events.is_empty()).then(|| batch_delay(&core))
            }
            Err(_) => Some(RETRY_DELAY),
        };
        if batch.is_err() != is_failing {
            is_failing = batch.is_err();
            let event = if is_failing { "feed_lost" } else { "feed_regained" };
            core.log.event(event, &format!("source={source:?} error={:?}", batch.as_ref().err()));
        }
        core.handle(ForwardEvent::CacheEvents { source: source.clone(), batch: batch.ok() });
        if let Some(delay) = delay {
            core.sleep(delay).await;
        }
    }
}

async fn fetch_changes<P: PlatformAdapter>(
    core: &SharedCore<P>,
    address: SocketAddr,
    since: Option<u64>,
) -> std::result::Result<CacheEventBatch, String> {
    let request = core.platform.feed_request(since, LONG_POLL_WAIT);
    let deadline =
        core.deadline(ClockSpan::from_ms(LONG_POLL_WAIT.as_ms() + ANSWER_MARGIN.as_ms()));
    match core.client.call(address, request, deadline).await {
        Ok((StatusCode::OK, body)) => {
            let reads = if since.is_some() { "changes" } else { "whole" };
            core.metrics.count(&format!("feeds.{reads}"), 1);
            core.metrics.count(&format!("feeds.{reads}_bytes"), body.len() as u64);
            core.platform.read_feed(&body).map_err(|error| error.to_string())
        }
        Ok((status, _)) => Err(format!("status {status}")),
        Err(error) => Err(error.to_string()),
    }
}
