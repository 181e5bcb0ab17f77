//! Which target loads which weights next.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};
use serde::{Deserialize, Serialize};

/// The weights that a target should serve.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WeightVersion {
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: String,
    /// The adapter, if any.
    pub adapter: Option<String>,
}

/// What the configuration wants of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredTarget {
    /// The target.
    pub target: TargetName,
    /// Whether the target refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// The weights.
    pub weights: Vec<WeightVersion>,
}

/// What a target says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// The weights that are loaded.
    pub loaded: Vec<WeightVersion>,
    /// The weights that are being loaded.
    pub loading: Vec<WeightVersion>,
    /// The age of the report.
    pub age: ClockSpan,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOrder {
    /// Load these weights beside or in place of those of the same model.
    Load(WeightVersion),
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutProgress {
    /// The number of targets.
    pub targets: usize,
    /// The targets that serve all weights that they should.
    pub done: usize,
    /// The targets that load.
    pub loading: usize,
    /// The targets whose state isn't known.
    pub unknown: usize,
}

/// The most targets of a service that load at once; more than two slow each other down.
const MAX_LOADS: usize = 2;

/// The number of targets from which on two may load at once; a smaller service would lose too much capacity.
const TWO_LOADS_FROM: usize = 6;

#[derive(Clone, Debug)]
struct KnownState {
    report: TargetReport,
    as_of: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    weights: WeightVersion,
    arrived_by: ClockTime,
}

/// The rollout of one service as one holder sees it.
#[derive(Debug, Default)]
pub struct RolloutPlan {
    desired: Vec<DesiredTarget>,
    known: BTreeMap<TargetName, KnownState>,
    pending: BTreeMap<TargetName, PendingLoad>,
}

impl RolloutPlan {
    /// Replaces what the configuration wants.
    pub fn configure(&mut self, desired: Vec<DesiredTarget>) {
        self.desired = desired;
        let desired = &self.desired;
        let wanted = |name: &TargetName| desired.iter().any(|entry| entry.target == *name);
        self.known.retain(|name, _| wanted(name));
        self.pending.retain(|name, _| wanted(name));
    }

    /// Forgets what the targets said, so that nothing is ordered on old reports.
    pub fn forget(&mut self) {
        self.known.clear();
        self.pending.clear();
    }

    /// Takes a target's report.
    pub fn report(&mut self, now: ClockTime, target: TargetName, report: TargetReport) {
        let as_of = now - report.age;
        // A report from before the order's arrival doesn't show whether the order took effect.
        let settled = self.pending.get(&target).is_some_and(|pending| {
            let shown = report.loaded.contains(&pending.weights);
            shown || (as_of > pending.arrived_by && !report.loading.contains(&pending.weights))
        });
        if settled {
            self.pending.remove(&target);
        }
        self.known.insert(target, KnownState { report, as_of });
    }

    /// Records that an order was sent and has arrived by `arrived_by` or never will.
    pub fn ordered(&mut self, target: TargetName, order: &TargetOrder, arrived_by: ClockTime) {
        let TargetOrder::Load(weights) = order;
        self.pending.insert(target, PendingLoad { weights: weights.clone(), arrived_by });
    }

    /// Records that an order certainly did not reach its target.
    pub fn not_sent(&mut self, target: &TargetName) {
        self.pending.remove(target);
    }

    /// Returns the orders that may be sent now, given reports no older than `since`.
    pub fn next(&self, since: ClockTime) -> Vec<(DesiredTarget, TargetOrder)> {
        // A target that loads unseen would break the bound, so every target must have reported.
        if self.desired.iter().any(|entry| !self.is_known(&entry.target, since)) {
            return Vec::new();
        }
        let busy = self.desired.iter().filter(|entry| self.is_loading(&entry.target)).count();
        let room = self.max_loads().saturating_sub(busy);
        let idle = self.desired.iter().filter(|entry| !self.is_loading(&entry.target));
        let orders = idle.filter_map(|entry| {
            let missing = self.missing(entry)?;
            Some((entry.clone(), TargetOrder::Load(missing)))
        });
        orders.take(room).collect()
    }

    /// Returns how far the rollout is.
    pub fn progress(&self) -> RolloutProgress {
        let count = |test: &dyn Fn(&DesiredTarget) -> bool| {
            self.desired.iter().filter(|entry| test(entry)).count()
        };
        RolloutProgress {
            targets: self.desired.len(),
            done: count(&|entry| {
                self.known.contains_key(&entry.target) && self.missing(entry).is_none()
            }),
            loading: count(&|entry| self.is_loading(&entry.target)),
            unknown: count(&|entry| !self.known.contains_key(&entry.target)),
        }
    }

    fn max_loads(&self) -> usize {
        if self.desired.len() >= TWO_LOADS_FROM { MAX_LOADS } else { 1 }
    }

    fn is_known(&self, target: &TargetName, since: ClockTime) -> bool {
        self.known.get(target).is_some_and(|known| known.as_of >= since)
    }

    fn is_loading(&self, target: &TargetName) -> bool {
        let reported = self.known.get(target).is_some_and(|known| !known.report.loading.is_empty());
        reported || self.pending.contains_key(target)
    }

    fn missing(&self, entry: &DesiredTarget) -> Option<WeightVersion> {
        let loaded = self.known.get(&entry.target).map(|known| &known.report.loaded)?;
        entry.weights.iter().find(|weights| !loaded.contains(weights)).cloned()
    }
}
