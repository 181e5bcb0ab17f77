//! The time of cache events at their reader and at the holder of an index partition, and of a lookup.

use anyhow::{Result, ensure};
use godwitroad_base::{Incarnation, SeededRandom, TargetName};
use godwitroad_prefix::{
    BlockHash, CacheChange, FeedBatch, IndexShard, PrefixChain, ShardAction, ShardEvent,
    ShardMessage, ShardSettings,
};

use super::{
    fit::{fit_rows, least_us},
    sample::{START, target_name},
};
use crate::report::BenchRow;

/// The targets that one router reads: 6,700 over 330.
const TARGETS: usize = 20;

/// The events of one batch of an engine.
const BATCH: usize = 50;

const CHAIN: usize = 12;

struct PartPair {
    reader: IndexShard,
    holder: IndexShard,
    batches: Vec<(TargetName, FeedBatch)>,
    sent: Vec<ShardMessage>,
}

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let (mut reads, mut holds, mut lookups) = (vec![], vec![], vec![]);
    for events in [50_000, 100_000, 200_000] {
        let size = events as f64;
        reads.push((size, least_us(|| pair(seed, events), read)));
        let prepare = || {
            let mut pair = pair(seed, events);
            read(&mut pair);
            pair
        };
        ensure!(!prepare().sent.is_empty(), "the reader forwards no entries");
        holds.push((size, least_us(prepare, hold)));
    }
    for count in [20_000, 40_000, 80_000] {
        let prepare = || {
            let mut pair = pair(seed, 200_000);
            read(&mut pair);
            hold(&mut pair);
            (pair, chains(seed, count))
        };
        lookups.push((count as f64, least_us(prepare, |(pair, chains)| look_up(pair, chains))));
    }
    let unit = "us (machine)";
    let mut rows = fit_rows("index", "read and forward", "cache events", unit, &reads);
    rows.extend(fit_rows("index", "take forwarded", "cache events", unit, &holds));
    rows.extend(fit_rows("index", "lookup of 12 pieces", "lookups", unit, &lookups));
    Ok(rows)
}

/// Returns a reader and a holder of all partitions, with batches of stored and evicted pieces.
fn pair(seed: u64, events: usize) -> PartPair {
    let part = |name: &str| {
        let settings = ShardSettings { replicas: 1, ..ShardSettings::default() };
        let mut part = IndexShard::new(name.into(), settings);
        let names = (0..TARGETS).map(|number| target_name(number).into()).collect();
        let mut actions = Vec::new();
        part.handle(START, ShardEvent::Targets(names), &mut actions);
        let members = vec!["vm-holder".into()];
        part.handle(START, ShardEvent::Members(members), &mut actions);
        part
    };
    let (reader, holder) = (part("vm-reader"), part("vm-holder"));
    PartPair { reader, holder, batches: batches(seed, events), sent: Vec::new() }
}

fn batches(seed: u64, events: usize) -> Vec<(TargetName, FeedBatch)> {
    let mut random = SeededRandom::new(seed);
    let mut next = [0; TARGETS];
    let mut kept: Vec<Vec<BlockHash>> = vec![Vec::new(); TARGETS];
    (0..events / BATCH)
        .map(|round| {
            let target = round % TARGETS;
            let mut changes = std::mem::take(&mut kept[target])
                .into_iter()
                .map(|piece| CacheChange::Evicted { block: piece })
                .collect::<Vec<_>>();
            let mut parent = None;
            while changes.len() < BATCH {
                let piece = BlockHash(random.next_u64().into());
                changes.push(CacheChange::Stored { block: piece, parent });
                parent = Some(piece);
                kept[target].push(piece);
            }
            // Half of the pieces stay, as the caches of the design size hold far more than one batch.
            kept[target].truncate(BATCH / 2);
            let first = next[target];
            next[target] += changes.len() as u64;
            let batch = FeedBatch { incarnation: Incarnation(1), first, snapshot: false, changes };
            (target_name(target).into(), batch)
        })
        .collect()
}

fn read(pair: &mut PartPair) {
    let mut actions = Vec::new();
    let mut now = START;
    for (place, (target, batch)) in pair.batches.drain(..).enumerate() {
        pair.reader.handle(now, ShardEvent::Cache { target, batch }, &mut actions);
        if place % TARGETS == TARGETS - 1 {
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

fn hold(pair: &mut PartPair) {
    let mut actions = Vec::new();
    for message in pair.sent.drain(..) {
        let event = ShardEvent::Message { from: "vm-reader".into(), message };
        pair.holder.handle(START, event, &mut actions);
    }
}

fn chains(seed: u64, count: usize) -> Vec<PrefixChain> {
    let mut random = SeededRandom::new(seed);
    let piece = |random: &mut SeededRandom| BlockHash(random.next_u64().into());
    (0..count)
        .map(|_| PrefixChain::from_hashes((0..CHAIN).map(|_| piece(&mut random)).collect()))
        .collect()
}

fn look_up(pair: &mut PartPair, chains: &mut Vec<PrefixChain>) {
    let mut actions = Vec::new();
    for (token, chain) in (0..).zip(chains.drain(..)) {
        pair.holder.handle(START, ShardEvent::Lookup { token, chain }, &mut actions);
        actions.clear();
    }
}
