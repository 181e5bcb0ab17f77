//! The checker of simulated histories.
//!
//! It receives the generations that come into force at each node, the times at which nodes become ready, and the
//! results that operators get, and compares them with the head in the store.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    apply::ApplyResult,
    head::{ChangeId, SyncHead},
};

/// The violations and measurements of a history.
#[derive(Clone, Debug, Default)]
pub struct HistoryReport {
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// For each generation, the milliseconds from the operator's first attempt at its change until it was in force at
    /// every node that was running when the generation was written and has not crashed since.
    pub in_force_ms: BTreeMap<u64, u64>,
    /// The milliseconds from the start of each node until it was ready.
    pub ready_ms: Vec<u64>,
    /// The number of changes that were accepted.
    pub accepted: u64,
    /// The number of conflicts with a concurrent change.
    pub conflicts: u64,
    /// The number of calls that nodes sent to the store.
    pub store_calls: u64,
    /// The bytes transferred between nodes and the store.
    pub store_bytes: u64,
    /// The bytes transferred between nodes.
    pub peer_bytes: u64,
    /// The bytes of both kinds that crossed a link between regions.
    pub link_bytes: u64,
}

#[derive(Debug, Default)]
pub(crate) struct HistoryChecker {
    pub(crate) report: HistoryReport,
    /// The highest generation that was in force, by node and incarnation.
    generations: BTreeMap<(usize, u64), u64>,
    /// The changes reported as accepted, by generation.
    accepted: BTreeMap<u64, ChangeId>,
    started_at: BTreeMap<ChangeId, ClockTime>,
    /// Changes with an attempt of unknown result, which may still take effect.
    unknown_changes: BTreeSet<ChangeId>,
    /// For each generation, the operator's first attempt and the nodes at which it is not in force yet.
    pending_installations: BTreeMap<u64, (ClockTime, BTreeSet<usize>)>,
}

impl HistoryChecker {
    pub(crate) fn record_violation(&mut self, now: ClockTime, text: String) {
        self.report.violations.push(format!("{now}: {text}"));
    }

    pub(crate) fn record_start(&mut self, now: ClockTime, change: ChangeId) {
        self.started_at.entry(change).or_insert(now);
    }

    /// Records that a generation was written to the store, with the nodes at which it must come into force.
    pub(crate) fn record_publication(&mut self, head: &SyncHead, nodes: BTreeSet<usize>) {
        if let Some(started_at) = self.started_at.get(&head.change) {
            self.pending_installations.entry(head.generation).or_insert((*started_at, nodes));
        }
    }

    pub(crate) fn check_installation(
        &mut self,
        now: ClockTime,
        node: usize,
        incarnation: u64,
        generation: u64,
    ) {
        let highest = self.generations.entry((node, incarnation)).or_insert(0);
        if generation <= *highest {
            let text = format!("node {node} went from generation {highest} to {generation}");
            self.record_violation(now, text);
        } else {
            *highest = generation;
        }
        for (pending_generation, (started_at, nodes)) in
            self.pending_installations.range_mut(..=generation)
        {
            if nodes.remove(&node) && nodes.is_empty() {
                self.report.in_force_ms.insert(*pending_generation, now.since(*started_at).as_ms());
            }
        }
    }

    pub(crate) fn exclude_node(&mut self, node: usize) {
        for (_, nodes) in self.pending_installations.values_mut() {
            nodes.remove(&node);
        }
    }

    /// Checks the generation of a node that reports that it is ready; `available` is the latest generation that it
    /// could have received.
    pub(crate) fn check_readiness(
        &mut self,
        now: ClockTime,
        node: usize,
        duration: ClockSpan,
        generation: u64,
        available: u64,
    ) {
        self.report.ready_ms.push(duration.as_ms());
        if generation < available {
            let text = format!(
                "node {node} is ready with generation {generation}, but {available} was available"
            );
            self.record_violation(now, text);
        }
    }

    pub(crate) fn check_apply_result(
        &mut self,
        now: ClockTime,
        change: ChangeId,
        result: &ApplyResult,
        head: Option<&SyncHead>,
    ) {
        let logged_generation = head.and_then(|head| head.generation_of(change));
        match result {
            ApplyResult::Accepted { generation } => {
                self.report.accepted += 1;
                let other = self.accepted.insert(*generation, change);
                if other.is_some_and(|other| other != change) {
                    self.record_violation(
                        now,
                        format!(
                            "generation {generation} was reported to the operators of two changes"
                        ),
                    );
                }
                if logged_generation != Some(*generation) {
                    self.record_violation(
                        now,
                        format!("change {change} was reported as accepted, but isn't in the store"),
                    );
                }
            }
            ApplyResult::Conflict { .. } | ApplyResult::NotAccepted(_) => {
                self.report.conflicts += u64::from(matches!(result, ApplyResult::Conflict { .. }));
                if logged_generation.is_some() && !self.unknown_changes.contains(&change) {
                    self.record_violation(
                        now,
                        format!(
                            "change {change} was reported as not accepted, but is in the store"
                        ),
                    );
                }
            }
            ApplyResult::Unknown => drop(self.unknown_changes.insert(change)),
        }
    }
}
