//! The judge of a history of configurations.
//!
//! It sees which node takes which generation into use, when nodes say that they are ready, and what operators are
//! told, and compares that with the head in the store.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    apply::ApplyResult,
    head::{ChangeId, SyncHead},
};

/// What a history showed.
#[derive(Clone, Debug, Default)]
pub struct HistoryReport {
    /// All breaches in words.
    pub violations: Vec<String>,
    /// The milliseconds from the operator's start until each change was in force at each node that ran throughout.
    pub in_force_ms: BTreeMap<u64, u64>,
    /// The milliseconds from each node's start until it was ready.
    pub ready_ms: Vec<u64>,
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that lost a race.
    pub conflicts: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Bytes between nodes and the store.
    pub store_bytes: u64,
    /// Bytes between nodes.
    pub peer_bytes: u64,
    /// Bytes of both kinds that crossed a link between regions.
    pub link_bytes: u64,
}

#[derive(Debug, Default)]
pub(crate) struct HistoryJudge {
    pub(crate) report: HistoryReport,
    generations: BTreeMap<(usize, u64), u64>,
    accepted: BTreeMap<u64, ChangeId>,
    began: BTreeMap<ChangeId, ClockTime>,
    // Changes of which an earlier attempt may still take effect.
    unknown: BTreeSet<ChangeId>,
    waiting: BTreeMap<u64, (ClockTime, BTreeSet<usize>)>,
}

impl HistoryJudge {
    pub(crate) fn breach(&mut self, now: ClockTime, text: String) {
        self.report.violations.push(format!("{now}: {text}"));
    }

    pub(crate) fn begin(&mut self, now: ClockTime, change: ChangeId) {
        self.began.entry(change).or_insert(now);
    }

    /// Takes a generation's appearance in the store, with the nodes at which it must come into force.
    pub(crate) fn publish(&mut self, head: &SyncHead, nodes: BTreeSet<usize>) {
        if let Some(began) = self.began.get(&head.change) {
            self.waiting.entry(head.generation).or_insert((*began, nodes));
        }
    }

    pub(crate) fn install(&mut self, now: ClockTime, node: usize, run: u64, generation: u64) {
        let known = self.generations.entry((node, run)).or_insert(0);
        if generation <= *known {
            let text = format!("node {node} went from generation {known} to {generation}");
            self.breach(now, text);
        } else {
            *known = generation;
        }
        for (waited, (began, nodes)) in self.waiting.range_mut(..=generation) {
            if nodes.remove(&node) && nodes.is_empty() {
                self.report.in_force_ms.insert(*waited, now.since(*began).as_ms());
            }
        }
    }

    pub(crate) fn forget(&mut self, node: usize) {
        for (_, nodes) in self.waiting.values_mut() {
            nodes.remove(&node);
        }
    }

    /// Takes a node's word that it is ready, with the newest generation that it could have been given.
    pub(crate) fn ready(
        &mut self,
        now: ClockTime,
        node: usize,
        span: ClockSpan,
        generation: u64,
        known: u64,
    ) {
        self.report.ready_ms.push(span.as_ms());
        if generation < known {
            let text = format!("node {node} is ready with {generation}, but {known} was to be had");
            self.breach(now, text);
        }
    }

    pub(crate) fn apply(
        &mut self,
        now: ClockTime,
        change: ChangeId,
        result: &ApplyResult,
        head: Option<&SyncHead>,
    ) {
        let in_log = head.and_then(|head| head.generation_of(change));
        match result {
            ApplyResult::Accepted { generation } => {
                self.report.accepted += 1;
                let other = self.accepted.insert(*generation, change);
                if other.is_some_and(|other| other != change) {
                    self.breach(
                        now,
                        format!("two operators were told that they made {generation}"),
                    );
                }
                if in_log != Some(*generation) {
                    self.breach(
                        now,
                        format!("change {change} was accepted and isn't in the store"),
                    );
                }
            }
            ApplyResult::Conflict { .. } | ApplyResult::NotAccepted(_) => {
                self.report.conflicts += u64::from(matches!(result, ApplyResult::Conflict { .. }));
                if in_log.is_some() && !self.unknown.contains(&change) {
                    self.breach(now, format!("change {change} was refused and is in the store"));
                }
            }
            ApplyResult::Unknown => drop(self.unknown.insert(change)),
        }
    }
}
