//! The rollout of named weights, by the router that owns the orders.

use std::{cmp::Reverse, collections::BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};
use godwitroad_orders::{TermAction, WeightAction, WeightReport, WeightTarget};

use super::{ForwardAction, ForwardState};
use crate::{TargetRecord, tag_of};

/// Namings that are remembered of a model. A target that is further behind has weights that are long outdated.
const MAX_NAMINGS: usize = 32;

/// Namings of a model that are told to the peers.
const TOLD_NAMINGS: usize = 3;

/// When weights were named, as far as this router knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightNaming {
    version: u64,
    seen: ClockTime,
    // The age when it was seen; times before the start of the process have no `ClockTime`.
    before: ClockSpan,
    is_assumed: bool,
}

impl WeightNaming {
    fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(self.seen) + self.before
    }
}

impl ForwardState {
    pub(super) fn take_named(
        &mut self,
        now: ClockTime,
        model: ModelName,
        version: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        if !self.weights.announce_version(model.clone(), version) {
            return;
        }
        self.knowledge.note_urgent();
        // What the first list shows may have been named long before this router started.
        let is_assumed = !self.was_listed && self.settings.allowance.restarted;
        let detail = format!("model={model} version={version} time_unknown={is_assumed}");
        actions.push(ForwardAction::Notice("weights_named", detail));
        let namings = self.named_at.entry(model).or_default();
        if namings.len() >= MAX_NAMINGS {
            namings.remove(0);
        }
        namings.push(WeightNaming { version, seen: now, before: ClockSpan::ZERO, is_assumed });
    }

    /// Returns the latest namings and their ages for the notes to the peers.
    pub(super) fn naming_ages(&self, now: ClockTime) -> Vec<(u32, u64, u32)> {
        let mut ages = Vec::new();
        for (model, namings) in &self.named_at {
            let known = namings.iter().rev().filter(|naming| !naming.is_assumed);
            for naming in known.take(TOLD_NAMINGS) {
                let age = u32::try_from(naming.age(now).as_ms()).unwrap_or(u32::MAX);
                ages.push((tag_of(model.as_str()), naming.version, age));
            }
        }
        ages
    }

    // A peer may know better when weights were named: it was there, or it was not cut off.
    pub(super) fn hear_naming(&mut self, now: ClockTime, tag: u32, version: u64, age: ClockSpan) {
        for (model, namings) in &mut self.named_at {
            if tag_of(model.as_str()) != tag {
                continue;
            }
            let told = WeightNaming { version, seen: now, before: age, is_assumed: false };
            match namings.binary_search_by_key(&version, |naming| naming.version) {
                Ok(at) if namings[at].is_assumed || age > namings[at].age(now) => {
                    namings[at] = told
                }
                Ok(_) => {}
                // A version that was replaced before this router started still tells the age of older weights.
                Err(at) if at < namings.len() && namings.len() < MAX_NAMINGS => {
                    namings.insert(at, told);
                }
                Err(_) => {}
            }
        }
    }

    // The time since the weights that a target serves were replaced.
    pub(super) fn age_of_weights(
        &self,
        now: ClockTime,
        model: Option<&ModelName>,
        record: &TargetRecord,
    ) -> Option<ClockSpan> {
        let model = model?;
        let serves = record.versions.get(model)?;
        // The oldest naming that replaced them counts, not the newest.
        let namings = self.named_at.get(model)?;
        let naming = namings.iter().find(|naming| naming.version > *serves)?;
        let is_begun = || {
            let mut others = self.roster.iter().filter_map(|other| other.versions.get(model));
            others.any(|version| *version >= naming.version)
        };
        // A rollout that others have finished was named some time ago.
        if naming.is_assumed && is_begun() {
            return Some(self.settings.version_span);
        }
        Some(naming.age(now))
    }

    pub(super) fn take_report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<WeightReport>,
        actions: &mut Vec<ForwardAction>,
    ) {
        for (model, version) in report.iter().flat_map(|report| &report.versions) {
            if self.roster.update_version(target, model, *version) {
                self.tell_loaded(now, target, actions);
            }
        }
        let Some(order) = self.weights.report(now, target, report.as_ref()) else { return };
        // The ownership may have ended while the target was asked.
        let Some(fence) = self.term.fence(now) else { return };
        self.term.record_order(now);
        let detail = format!(
            "target={target} model={} version={} expected={} fence={fence}",
            order.model, order.version, order.expected
        );
        actions.push(ForwardAction::Notice("order_sent", detail));
        actions.push(ForwardAction::Weight { action: WeightAction::Send(order), fence });
    }

    pub(super) fn drive_orders(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        let targets = self.weight_targets(now);
        if let Some(action) = self.next_term(now, self.weights.has_work(&targets)) {
            actions.push(ForwardAction::Term(action));
        }
        match self.term.fence(now) {
            Some(fence) => {
                for action in self.weights.next(now, &targets) {
                    actions.push(ForwardAction::Weight { action, fence });
                }
            }
            None => self.weights.abandon(),
        }
        let changing: BTreeSet<TargetName> = self.weights.changing().cloned().collect();
        if changing != self.told_loading {
            self.told_loading = changing;
            actions.push(ForwardAction::SendGossip);
        }
    }

    /// Returns whether this router is in the middle of a rollout, which it should finish before it ends.
    pub fn is_rolling_out(&self, now: ClockTime) -> bool {
        self.term.fence(now).is_some() && self.weights.has_work(&self.weight_targets(now))
    }

    fn next_term(&mut self, now: ClockTime, has_work: bool) -> Option<TermAction> {
        // Without models there is nothing to order; without contact the store would not answer.
        let rules = self.rules.as_ref()?;
        let has_models = rules.services.values().any(|service| service.engine.is_some());
        if !has_models || self.stopping.is_some() && !self.term.is_leader(now) {
            return None;
        }
        if self.store_failing.is_some() && !self.term.is_leader(now) {
            return None;
        }
        // The youngest goes first: where routers are restarted in turn, it is the last to be restarted again.
        let own = (Reverse(self.settings.incarnation), &self.settings.place.vm);
        let heard = self.peers.heard(now).filter(|(note, _)| !note.stopping);
        let rank = heard.filter(|(note, _)| (Reverse(note.incarnation), &note.place.vm) < own);
        let rank = rank.count();
        self.term.next(now, rank, has_work)
    }

    fn weight_targets(&self, now: ClockTime) -> Vec<WeightTarget> {
        let usable = self.roster.iter().filter(|record| {
            !record.draining && !record.versions.is_empty() && !self.health.is_silent(now, record)
        });
        usable
            .map(|record| WeightTarget {
                name: record.name.clone(),
                zone: record.zone.clone(),
                versions: record.versions.clone(),
                work: self.loads.work(now, &record.name).memory,
            })
            .collect()
    }
}
