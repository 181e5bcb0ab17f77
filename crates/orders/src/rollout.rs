//! Decides which target loads which weights next.
//!
//! The plan is derived from the configuration and from the targets' reports alone, so that a new holder of the lease
//! continues a rollout without any stored state.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};
use serde::{Deserialize, Serialize};

/// The weights that a target should serve.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WeightVersion {
    /// The name of the model.
    pub model: ModelName,
    /// The version of the model's weights, compared for equality only.
    pub version: String,
    /// The adapter on top of the base weights; `None` for the base weights alone.
    pub adapter: Option<String>,
}

/// The weights that the configuration assigns to one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredTarget {
    /// The name of the target.
    pub target: TargetName,
    /// Whether the target refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// All weights that the target should serve.
    pub weights: Vec<WeightVersion>,
}

/// The state that a target reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// The weights that are loaded.
    pub loaded: Vec<WeightVersion>,
    /// The weights that are being loaded.
    pub loading: Vec<WeightVersion>,
    /// The time since the target produced the report.
    pub age: ClockSpan,
}

/// An order to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetOrder {
    /// Load these weights beside or in place of those of the same model.
    Load(WeightVersion),
}

/// The progress of a rollout, in numbers of targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RolloutProgress {
    /// All targets of the service.
    pub targets: usize,
    /// Targets that serve all their desired weights.
    pub done: usize,
    /// Targets that are loading weights or were ordered to.
    pub loading: usize,
    /// Targets without a report.
    pub unknown: usize,
}

/// The maximum number of a service's targets that load at once; more than two slow each other down.
const MAX_LOADS: usize = 2;

/// The minimum number of targets for two loads at once; a smaller service would lose too much capacity.
const MIN_TARGETS_FOR_TWO_LOADS: usize = 6;

#[derive(Clone, Debug)]
struct ReportedState {
    report: TargetReport,
    as_of: ClockTime,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    weights: WeightVersion,
    arrival_deadline: ClockTime,
}

/// The rollout of one service as seen by one router.
#[derive(Debug, Default)]
pub struct RolloutPlan {
    desired: Vec<DesiredTarget>,
    reports: BTreeMap<TargetName, ReportedState>,
    pending: BTreeMap<TargetName, PendingLoad>,
}

impl RolloutPlan {
    /// Replaces the desired weights of all targets and removes the state of targets that are no longer configured.
    pub fn configure(&mut self, desired: Vec<DesiredTarget>) {
        self.desired = desired;
        let desired = &self.desired;
        let is_desired = |name: &TargetName| desired.iter().any(|entry| entry.target == *name);
        self.reports.retain(|name, _| is_desired(name));
        self.pending.retain(|name, _| is_desired(name));
    }

    /// Removes all reports and pending loads, so that no order is based on a report from before the lease.
    pub fn clear_reports(&mut self) {
        self.reports.clear();
        self.pending.clear();
    }

    /// Stores a target's report and removes the pending load that it settles.
    pub fn report(&mut self, now: ClockTime, target: TargetName, report: TargetReport) {
        let as_of = now - report.age;
        // A report from before the order's arrival deadline doesn't show whether the order took effect.
        let is_settled = self.pending.get(&target).is_some_and(|pending| {
            let is_loaded = report.loaded.contains(&pending.weights);
            is_loaded
                || (as_of > pending.arrival_deadline && !report.loading.contains(&pending.weights))
        });
        if is_settled {
            self.pending.remove(&target);
        }
        self.reports.insert(target, ReportedState { report, as_of });
    }

    /// Records that an order was sent, which arrives by `arrival_deadline` or not at all.
    pub fn record_sent(
        &mut self,
        target: TargetName,
        order: &TargetOrder,
        arrival_deadline: ClockTime,
    ) {
        let TargetOrder::Load(weights) = order;
        self.pending.insert(target, PendingLoad { weights: weights.clone(), arrival_deadline });
    }

    /// Records that an order definitely did not reach its target.
    pub fn record_not_sent(&mut self, target: &TargetName) {
        self.pending.remove(target);
    }

    /// Returns the orders that may be sent now; only reports from `since` or later count.
    pub fn next(&self, since: ClockTime) -> Vec<(DesiredTarget, TargetOrder)> {
        // An unreported load would exceed the limit on concurrent loads, so every target must have reported.
        if self.desired.iter().any(|entry| !self.is_known(&entry.target, since)) {
            return Vec::new();
        }
        let active_loads =
            self.desired.iter().filter(|entry| self.is_loading(&entry.target)).count();
        let available_loads = self.max_loads().saturating_sub(active_loads);
        let idle = self.desired.iter().filter(|entry| !self.is_loading(&entry.target));
        let orders = idle.filter_map(|entry| {
            let missing = self.missing(entry)?;
            Some((entry.clone(), TargetOrder::Load(missing)))
        });
        orders.take(available_loads).collect()
    }

    /// Returns the progress of the rollout.
    pub fn progress(&self) -> RolloutProgress {
        let count = |test: &dyn Fn(&DesiredTarget) -> bool| {
            self.desired.iter().filter(|entry| test(entry)).count()
        };
        RolloutProgress {
            targets: self.desired.len(),
            done: count(&|entry| {
                self.reports.contains_key(&entry.target) && self.missing(entry).is_none()
            }),
            loading: count(&|entry| self.is_loading(&entry.target)),
            unknown: count(&|entry| !self.reports.contains_key(&entry.target)),
        }
    }

    fn max_loads(&self) -> usize {
        if self.desired.len() >= MIN_TARGETS_FOR_TWO_LOADS { MAX_LOADS } else { 1 }
    }

    fn is_known(&self, target: &TargetName, since: ClockTime) -> bool {
        self.reports.get(target).is_some_and(|state| state.as_of >= since)
    }

    fn is_loading(&self, target: &TargetName) -> bool {
        let is_reported_loading =
            self.reports.get(target).is_some_and(|state| !state.report.loading.is_empty());
        is_reported_loading || self.pending.contains_key(target)
    }

    fn missing(&self, entry: &DesiredTarget) -> Option<WeightVersion> {
        let loaded = self.reports.get(&entry.target).map(|state| &state.report.loaded)?;
        entry.weights.iter().find(|weights| !loaded.contains(weights)).cloned()
    }
}
