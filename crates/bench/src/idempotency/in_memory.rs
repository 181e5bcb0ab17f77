//! The baseline of claims in memory: each key has an owner in the fleet and a second VM that stores a copy.
//!
//! A router sends a claim to the owner, or to the second VM if it can't reach the owner, or decides alone if it can't
//! reach either. A request can run twice when both VMs restart, or when a network partition separates the routers that
//! claim the same key.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{SeededRandom, rendezvous};
use godwitroad_idempotency::sim::FleetSettings;

use super::ClaimCost;

/// The results of one or more simulated histories.
#[derive(Debug, Default)]
pub(crate) struct InMemoryReport {
    /// The number of runs of a request after its first one, over all requests.
    pub(crate) duplicate_runs: u64,
    /// The number of all runs.
    pub(crate) executed: u64,
}

impl InMemoryReport {
    pub(crate) fn add(&mut self, other: &InMemoryReport) {
        self.duplicate_runs += other.duplicate_runs;
        self.executed += other.executed;
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum HistoryEvent {
    Crash(usize),
    Request { key: u64, node: usize },
}

/// Returns the cost of the load without faults: each claim takes a round trip from the router to the owner and one from
/// the owner to the second VM.
pub(crate) fn measure(seed: u64, settings: &FleetSettings) -> ClaimCost {
    let mut random = SeededRandom::new(seed);
    let nodes = settings.zones * settings.vms_per_zone;
    let names: Vec<String> = (0..nodes).map(|node| format!("vm-{node}")).collect();
    let hop_latency_ms = |from: usize, to: usize| match (from, to) {
        (from, to) if from == to => 0,
        (from, to) if from / settings.vms_per_zone == to / settings.vms_per_zone => {
            settings.zone_latency_ms
        }
        _ => settings.remote_latency_ms,
    };
    let latencies = (0..settings.requests as u64).map(|key| {
        let node = random.below(nodes as u64) as usize;
        let order = rendezvous::rank(key, &names);
        2 * hop_latency_ms(node, order[0]) + 2 * hop_latency_ms(order[0], order[1])
    });
    let latencies: Vec<u64> = latencies.collect();
    let claims = latencies.len() as u64;
    ClaimCost { latencies, claims, calls: 0, writes: 0, bytes: 0, refused: 0 }
}

/// Runs a history with the restarts and network partitions of `settings`; no message is lost otherwise.
pub(crate) fn run_history(seed: u64, settings: &FleetSettings) -> InMemoryReport {
    let mut random = SeededRandom::new(seed);
    let nodes = settings.zones * settings.vms_per_zone;
    let names: Vec<String> = (0..nodes).map(|node| format!("vm-{node}")).collect();
    let mut events = BTreeSet::new();
    for _ in 0..settings.requests * 3 {
        let key = random.below(settings.keys as u64);
        let node = random.below(nodes as u64) as usize;
        events.insert((random.below(settings.duration_ms), HistoryEvent::Request { key, node }));
    }
    for _ in 0..settings.restarts {
        let node = random.below(nodes as u64) as usize;
        events.insert((random.below(settings.duration_ms), HistoryEvent::Crash(node)));
    }
    for _ in 0..settings.mass_restarts {
        let at = random.below(settings.duration_ms);
        events.extend((0..nodes).map(|node| (at, HistoryEvent::Crash(node))));
    }
    let partitions: Vec<(usize, u64, u64)> = (0..settings.partitions)
        .map(|_| {
            let from = random.below(settings.duration_ms);
            (random.below(settings.zones as u64) as usize, from, from + 1_000 + random.below(6_000))
        })
        .collect();
    let zone = |node: usize| node / settings.vms_per_zone;
    let is_partitioned = |at: u64, node: usize| {
        partitions
            .iter()
            .any(|(cut_off_zone, from, to)| *cut_off_zone == zone(node) && *from <= at && at < *to)
    };
    let mut claimed_keys: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); nodes];
    let mut runs: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, event) in events {
        match event {
            HistoryEvent::Crash(node) => claimed_keys[node].clear(),
            HistoryEvent::Request { key, node } => {
                let reaches = |to: &usize| {
                    zone(*to) == zone(node)
                        || !(is_partitioned(at, node) || is_partitioned(at, *to))
                };
                let order = rendezvous::rank(key, &names);
                let mut holders: Vec<usize> = order.into_iter().take(2).filter(reaches).collect();
                if holders.is_empty() {
                    holders.push(node);
                }
                if holders.iter().any(|holder| claimed_keys[*holder].contains(&key)) {
                    continue;
                }
                for holder in holders {
                    claimed_keys[holder].insert(key);
                }
                *runs.entry(key).or_default() += 1;
            }
        }
    }
    let executed = runs.values().sum();
    InMemoryReport { duplicate_runs: runs.values().map(|count| count - 1).sum(), executed }
}
