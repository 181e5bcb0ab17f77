//! The processing time of cache events at their reader and at the holder of an index shard, and the time of a lookup.

use anyhow::{Result, ensure};
use godwitroad_base::{Incarnation, SeededRandom, TargetName};
use godwitroad_prefix::{
    BlockHash, CacheChange, FeedBatch, IndexShard, PrefixChain, ShardAction, ShardEvent,
    ShardMessage, ShardSettings,
};

use super::{
    fit::{fit_rows, min_time_us},
    sample::{START, target_name},
};
use crate::report::BenchRow;

/// The number of targets whose events one router reads: 6,700 targets over 330 routers.
const TARGETS: usize = 20;

/// The number of cache events in one batch of an engine.
const BATCH_EVENTS: usize = 50;

/// The number of cache blocks of a looked-up prompt.
const CHAIN_BLOCKS: usize = 12;

struct ShardPair {
    reader: IndexShard,
    holder: IndexShard,
    batches: Vec<(TargetName, FeedBatch)>,
    sent: Vec<ShardMessage>,
}

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let (mut reads, mut applies, mut lookups) = (vec![], vec![], vec![]);
    for events in [50_000, 100_000, 200_000] {
        let size = events as f64;
        reads.push((size, min_time_us(|| pair(seed, events), read_events)));
        let prepare = || {
            let mut pair = pair(seed, events);
            read_events(&mut pair);
            pair
        };
        ensure!(!prepare().sent.is_empty(), "the reader forwards no entries");
        applies.push((size, min_time_us(prepare, apply_forwarded)));
    }
    for count in [20_000, 40_000, 80_000] {
        let prepare = || {
            let mut pair = pair(seed, 200_000);
            read_events(&mut pair);
            apply_forwarded(&mut pair);
            (pair, chains(seed, count))
        };
        lookups.push((count as f64, min_time_us(prepare, |(pair, chains)| look_up(pair, chains))));
    }
    let unit = "us (machine)";
    let mut rows = fit_rows("index", "read and forward", "cache events", unit, &reads);
    rows.extend(fit_rows("index", "take forwarded", "cache events", unit, &applies));
    rows.extend(fit_rows("index", "lookup of 12 pieces", "lookups", unit, &lookups));
    Ok(rows)
}

/// Returns a reader and the holder of all index shards, with batches of stored and evicted blocks.
fn pair(seed: u64, events: usize) -> ShardPair {
    let shard = |name: &str| {
        let settings = ShardSettings { replicas: 1, ..ShardSettings::default() };
        let mut shard = IndexShard::new(name.into(), settings);
        let names = (0..TARGETS).map(|number| target_name(number).into()).collect();
        let mut actions = Vec::new();
        shard.handle(START, ShardEvent::Targets(names), &mut actions);
        let members = vec!["vm-holder".into()];
        shard.handle(START, ShardEvent::Members(members), &mut actions);
        shard
    };
    let (reader, holder) = (shard("vm-reader"), shard("vm-holder"));
    ShardPair { reader, holder, batches: batches(seed, events), sent: Vec::new() }
}

fn batches(seed: u64, events: usize) -> Vec<(TargetName, FeedBatch)> {
    let mut random = SeededRandom::new(seed);
    let mut next = [0; TARGETS];
    let mut cached: Vec<Vec<BlockHash>> = vec![Vec::new(); TARGETS];
    (0..events / BATCH_EVENTS)
        .map(|round| {
            let target = round % TARGETS;
            let mut changes = std::mem::take(&mut cached[target])
                .into_iter()
                .map(|hash| CacheChange::Evicted { block: hash })
                .collect::<Vec<_>>();
            let mut parent = None;
            while changes.len() < BATCH_EVENTS {
                let hash = BlockHash(random.next_u64().into());
                changes.push(CacheChange::Stored { block: hash, parent });
                parent = Some(hash);
                cached[target].push(hash);
            }
            // Half of the blocks remain cached, because caches at the design size hold far more than one batch.
            cached[target].truncate(BATCH_EVENTS / 2);
            let first = next[target];
            next[target] += changes.len() as u64;
            let batch = FeedBatch { incarnation: Incarnation(1), first, snapshot: false, changes };
            (target_name(target).into(), batch)
        })
        .collect()
}

fn read_events(pair: &mut ShardPair) {
    let mut actions = Vec::new();
    let mut now = START;
    for (index, (target, batch)) in pair.batches.drain(..).enumerate() {
        pair.reader.handle(now, ShardEvent::Cache { target, batch }, &mut actions);
        if index % TARGETS == TARGETS - 1 {
            now += ShardSettings::default().forward_window;
            pair.reader.handle(now, ShardEvent::Tick, &mut actions);
        }
    }
    pair.sent = actions
        .into_iter()
        .filter_map(|action| match action {
            ShardAction::Send { message, .. } => Some(message),
            _ => None,
        })
        .collect();
}

fn apply_forwarded(pair: &mut ShardPair) {
    let mut actions = Vec::new();
    for message in pair.sent.drain(..) {
        let event = ShardEvent::Message { from: "vm-reader".into(), message };
        pair.holder.handle(START, event, &mut actions);
    }
}

fn chains(seed: u64, count: usize) -> Vec<PrefixChain> {
    let mut random = SeededRandom::new(seed);
    let hash = |random: &mut SeededRandom| BlockHash(random.next_u64().into());
    (0..count)
        .map(|_| PrefixChain::from_hashes((0..CHAIN_BLOCKS).map(|_| hash(&mut random)).collect()))
        .collect()
}

fn look_up(pair: &mut ShardPair, chains: &mut Vec<PrefixChain>) {
    let mut actions = Vec::new();
    for (token, chain) in (0..).zip(chains.drain(..)) {
        pair.holder.handle(START, ShardEvent::Lookup { token, chain }, &mut actions);
        actions.clear();
    }
}
