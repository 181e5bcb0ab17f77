//! The baseline of claims in memory: each key has an owner in the fleet and a second VM that holds a copy.
//!
//! A router asks the owner, or the second VM when it doesn't reach the owner, or decides alone when it reaches
//! neither. Both holders of a key can restart, and a cut between zones can make two of them.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{SeededRandom, rendezvous};
use godwitroad_idempotency::sim::FleetSettings;

use super::ClaimCost;

/// What histories of the baseline showed.
#[derive(Debug, Default)]
pub(crate) struct MemoryReport {
    pub(crate) duplicate_runs: u64,
    pub(crate) executed: u64,
}

impl MemoryReport {
    pub(crate) fn add(&mut self, other: &MemoryReport) {
        self.duplicate_runs += other.duplicate_runs;
        self.executed += other.executed;
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum MemoryEvent {
    Crash(usize),
    Request { key: u64, node: usize },
}

/// Returns the cost of the load without faults: a message to the owner, one to the second VM, and the answer.
pub(crate) fn measure(seed: u64, settings: &FleetSettings) -> ClaimCost {
    let mut random = SeededRandom::new(seed);
    let nodes = settings.zones * settings.vms_per_zone;
    let names: Vec<String> = (0..nodes).map(|node| format!("vm-{node}")).collect();
    let hop = |from: usize, to: usize| match (from, to) {
        (from, to) if from == to => 0,
        (from, to) if from / settings.vms_per_zone == to / settings.vms_per_zone => {
            settings.zone_latency_ms
        }
        _ => settings.remote_latency_ms,
    };
    let latencies = (0..settings.requests as u64).map(|key| {
        let node = random.below(nodes as u64) as usize;
        let order = rendezvous::rank(key, &names);
        2 * hop(node, order[0]) + 2 * hop(order[0], order[1])
    });
    let latencies: Vec<u64> = latencies.collect();
    let claims = latencies.len() as u64;
    ClaimCost { latencies, claims, calls: 0, writes: 0, bytes: 0, refused: 0 }
}

/// Runs a history with the restarts and cuts of `settings`, without any loss of messages.
pub(crate) fn run_history(seed: u64, settings: &FleetSettings) -> MemoryReport {
    let mut random = SeededRandom::new(seed);
    let nodes = settings.zones * settings.vms_per_zone;
    let names: Vec<String> = (0..nodes).map(|node| format!("vm-{node}")).collect();
    let mut events = BTreeSet::new();
    for _ in 0..settings.requests * 3 {
        let key = random.below(settings.keys as u64);
        let node = random.below(nodes as u64) as usize;
        events.insert((random.below(settings.duration_ms), MemoryEvent::Request { key, node }));
    }
    for _ in 0..settings.restarts {
        let node = random.below(nodes as u64) as usize;
        events.insert((random.below(settings.duration_ms), MemoryEvent::Crash(node)));
    }
    for _ in 0..settings.mass_restarts {
        let at = random.below(settings.duration_ms);
        events.extend((0..nodes).map(|node| (at, MemoryEvent::Crash(node))));
    }
    let partitions: Vec<(usize, u64, u64)> = (0..settings.partitions)
        .map(|_| {
            let from = random.below(settings.duration_ms);
            (random.below(settings.zones as u64) as usize, from, from + 1_000 + random.below(6_000))
        })
        .collect();
    let zone = |node: usize| node / settings.vms_per_zone;
    let is_cut = |at: u64, node: usize| {
        partitions.iter().any(|(cut, from, to)| *cut == zone(node) && *from <= at && at < *to)
    };
    let mut held: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); nodes];
    let mut runs: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, event) in events {
        match event {
            MemoryEvent::Crash(node) => held[node].clear(),
            MemoryEvent::Request { key, node } => {
                let reaches =
                    |to: &usize| zone(*to) == zone(node) || !(is_cut(at, node) || is_cut(at, *to));
                let order = rendezvous::rank(key, &names);
                let mut holders: Vec<usize> = order.into_iter().take(2).filter(reaches).collect();
                if holders.is_empty() {
                    holders.push(node);
                }
                if holders.iter().any(|holder| held[*holder].contains(&key)) {
                    continue;
                }
                for holder in holders {
                    held[holder].insert(key);
                }
                *runs.entry(key).or_default() += 1;
            }
        }
    }
    let executed = runs.values().sum();
    MemoryReport { duplicate_runs: runs.values().map(|count| count - 1).sum(), executed }
}
