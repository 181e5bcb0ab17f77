//! What routers know of the responses of both versions.
//!
//! Evidence is counted by route, version and period of the order's time. Routers tell each other their own counts, which
//! only grow, so that a later message replaces a lost one. The periods are the same for all routers within the delay of
//! gossip, so that both versions are compared over the same time.

use std::collections::BTreeMap;

use godwitroad_base::{BuildName, VmName};
use serde::{Deserialize, Serialize};

/// The number of classes of response times. Each class spans a factor of two; the last one begins at 65 s.
pub const LATENCY_CLASSES: usize = 17;

/// Limit of targets whose counts a router tells.
const MAX_TARGETS: usize = 8;

/// The version that responded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum VersionSide {
    /// A version other than the order's.
    Old,
    /// The order's version.
    New,
}

/// What was measured of a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EvidencePart {
    /// The whole response, or a stream up to its first event.
    Start,
    /// The time per event of a stream.
    Pace,
}

/// What a count belongs to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EvidenceKey {
    /// The period of the order's time.
    pub period: u8,
    /// The tag of the route.
    pub route: u32,
    /// The version that responded.
    pub side: VersionSide,
    /// What was measured.
    pub part: EvidencePart,
}

/// Counts of responses.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceCounts {
    /// All responses, failures included.
    pub responses: u32,
    /// Server errors of requests that ran, and lost or malformed responses.
    pub failures: u32,
    /// The measured responses by class of time, without the empty classes at the end.
    pub latency: Vec<u32>,
}

/// Counts with what they belong to.
pub type EvidenceEntry = (EvidenceKey, EvidenceCounts);

/// The responses of a target of the new version: its tag, all responses, and the bad ones.
pub type TargetCounts = (u32, u32, u32);

/// A response to be counted.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerRecord {
    /// The tag of the route.
    pub route: u32,
    /// The tag of the target.
    pub target_tag: u32,
    /// The target's version.
    pub build: BuildName,
    /// Whether the response failed.
    pub failed: bool,
    /// The time to the end of the response, or to the first event of a stream; `None` if it wasn't measured.
    pub start_ms: Option<u64>,
    /// The time per event of a stream; `None` if it wasn't measured.
    pub pace_ms: Option<u64>,
}

/// Returns the class of a time.
pub fn latency_class(ms: u64) -> usize {
    ((ms + 1).ilog2() as usize).min(LATENCY_CLASSES - 1)
}

impl EvidenceCounts {
    /// Adds a response.
    pub fn record(&mut self, failed: bool, latency_ms: Option<u64>) {
        self.responses += 1;
        self.failures += u32::from(failed);
        if let Some(ms) = latency_ms.filter(|_| !failed) {
            let class = latency_class(ms);
            if self.latency.len() <= class {
                self.latency.resize(class + 1, 0);
            }
            self.latency[class] += 1;
        }
    }

    /// Adds what counts have grown by since they were `before`.
    pub fn add_growth(&mut self, before: &EvidenceCounts, counts: &EvidenceCounts) {
        let add = |sum: &mut u32, before: u32, count: u32| {
            *sum = sum.saturating_add(count.saturating_sub(before));
        };
        add(&mut self.responses, before.responses, counts.responses);
        add(&mut self.failures, before.failures, counts.failures);
        // Peers' lists may have any length.
        let known = counts.latency.len().min(LATENCY_CLASSES);
        if self.latency.len() < known {
            self.latency.resize(known, 0);
        }
        for (class, sum) in self.latency.iter_mut().enumerate().take(known) {
            let before = before.latency.get(class).copied().unwrap_or(0);
            add(sum, before, counts.latency[class]);
        }
    }

    /// Returns the number of measured responses, and of those in class `class` and above.
    pub fn slower(&self, class: usize) -> (u64, u64) {
        let all = self.latency.iter().map(|count| u64::from(*count)).sum();
        (all, self.latency.iter().skip(class).map(|count| u64::from(*count)).sum())
    }

    /// Returns the class of the median time; `None` without measured responses.
    pub fn median_class(&self) -> Option<usize> {
        let (all, _) = self.slower(0);
        let mut below = 0;
        self.latency.iter().position(|count| {
            below += u64::from(*count);
            below * 2 >= all && all > 0
        })
    }
}

/// The counts of one router, of the last periods.
#[derive(Clone, Debug, Default)]
struct RouterEvidence {
    entries: BTreeMap<EvidenceKey, EvidenceCounts>,
    targets: BTreeMap<u32, (u32, u32)>,
}

/// The counts of this router and of its peers, with their sums.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvidenceTable {
    own: RouterEvidence,
    // By the peer's run, as the counts of a run begin at zero. The sums keep those of runs that have ended.
    peers: BTreeMap<(VmName, u64), RouterEvidence>,
    sums: BTreeMap<EvidenceKey, EvidenceCounts>,
    targets: BTreeMap<u32, (u64, u64)>,
    next_entry: usize,
}

/// Sums by route, part and version.
pub(crate) type EvidenceSums = BTreeMap<(u32, EvidencePart, VersionSide), EvidenceCounts>;

impl EvidenceTable {
    /// Adds a response of this router's own.
    pub(crate) fn record(&mut self, key: EvidenceKey, failed: bool, latency_ms: Option<u64>) {
        self.own.entries.entry(key).or_default().record(failed, latency_ms);
        self.sums.entry(key).or_default().record(failed, latency_ms);
    }

    /// Adds a response of a target of the new version.
    pub(crate) fn record_target(&mut self, tag: u32, is_bad: bool) {
        let counts = self.own.targets.entry(tag).or_default();
        *counts = (counts.0 + 1, counts.1 + u32::from(is_bad));
        let sum = self.targets.entry(tag).or_default();
        *sum = (sum.0 + 1, sum.1 + u64::from(is_bad));
    }

    /// Returns entries of this router's own for gossip: those of the last two periods, in turn if there are many.
    pub(crate) fn own_entries(&mut self, period: u8, limit: usize) -> Vec<EvidenceEntry> {
        let recent = self.own.entries.iter().filter(|(key, _)| is_recent(key, period));
        let entries: Vec<_> = recent.map(|(key, counts)| (*key, counts.clone())).collect();
        let count = entries.len();
        if count == 0 {
            return entries;
        }
        let first = self.next_entry % count;
        self.next_entry = first + limit;
        entries.into_iter().cycle().skip(first).take(limit.min(count)).collect()
    }

    /// Returns this router's counts of targets for gossip.
    pub(crate) fn own_targets(&self) -> Vec<TargetCounts> {
        let targets = self.own.targets.iter().map(|(tag, (all, bad))| (*tag, *all, *bad));
        targets.take(MAX_TARGETS).collect()
    }

    /// Replaces a peer's counts and keeps those of the last two periods.
    pub(crate) fn receive(
        &mut self,
        vm: &VmName,
        incarnation: u64,
        period: u8,
        entries: &[EvidenceEntry],
        targets: &[TargetCounts],
    ) {
        if entries.is_empty() && targets.is_empty() {
            return;
        }
        let peer = self.peers.entry((vm.clone(), incarnation)).or_default();
        peer.entries.retain(|key, _| is_recent(key, period));
        for (key, counts) in entries.iter().filter(|(key, _)| is_recent(key, period)) {
            let known = peer.entries.entry(*key).or_default();
            if counts.responses > known.responses {
                self.sums.entry(*key).or_default().add_growth(known, counts);
                *known = counts.clone();
            }
        }
        for (tag, all, bad) in targets {
            let known = peer.targets.entry(*tag).or_default();
            let sum = self.targets.entry(*tag).or_default();
            sum.0 += u64::from(all.saturating_sub(known.0));
            sum.1 += u64::from(bad.saturating_sub(known.1));
            *known = (known.0.max(*all), known.1.max(*bad));
        }
    }

    /// Returns the sums over all routers, of the periods from `first` on.
    pub(crate) fn sums(&self, first: u8) -> EvidenceSums {
        let mut sums = EvidenceSums::new();
        for (key, counts) in self.sums.iter().filter(|(key, _)| key.period >= first) {
            let sum = sums.entry((key.route, key.part, key.side)).or_default();
            sum.add_growth(&EvidenceCounts::default(), counts);
        }
        sums
    }

    /// Returns the responses and the bad ones of each target of the new version, over all routers.
    pub(crate) fn target_sums(&self) -> &BTreeMap<u32, (u64, u64)> {
        &self.targets
    }
}

// Returns whether an entry is of the period or the one before. Clocks of routers may differ by a period.
fn is_recent(key: &EvidenceKey, period: u8) -> bool {
    key.period.saturating_add(2) >= period && key.period <= period.saturating_add(1)
}
