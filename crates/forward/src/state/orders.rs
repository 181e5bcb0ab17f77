//! The rollout of named weights, by the router that owns the orders.

use std::collections::BTreeSet;

use godwitroad_base::{ClockTime, ModelName, TargetName, VmName};
use godwitroad_orders::{WeightAction, WeightReport, WeightTarget};

use super::{ForwardAction, ForwardState};

/// Namings that are remembered of a model. A target that is further behind has weights that are long outdated.
const MAX_NAMINGS: usize = 32;

impl ForwardState {
    pub(super) fn take_named(
        &mut self,
        now: ClockTime,
        model: ModelName,
        version: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.weights.name_version(model.clone(), version) {
            let detail = format!("model={model} version={version}");
            actions.push(ForwardAction::Notice("weights_named", detail));
            let namings = self.named_at.entry(model).or_default();
            if namings.len() >= MAX_NAMINGS {
                namings.remove(0);
            }
            namings.push((version, now));
        }
    }

    pub(super) fn take_report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<WeightReport>,
        actions: &mut Vec<ForwardAction>,
    ) {
        for (model, version) in report.iter().flat_map(|report| &report.versions) {
            self.roster.learn_version(target, model, *version);
        }
        let Some(order) = self.weights.report(now, target, report.as_ref()) else { return };
        // The ownership may have ended while the target was asked.
        let Some(fence) = self.term.fence(now) else { return };
        let detail = format!(
            "target={target} model={} version={} expected={} fence={fence}",
            order.model, order.version, order.expected
        );
        actions.push(ForwardAction::Notice("order_sent", detail));
        actions.push(ForwardAction::Weight { action: WeightAction::Send(order), fence });
    }

    pub(super) fn drive_orders(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        if let Some(action) = self.next_term(now) {
            actions.push(ForwardAction::Term(action));
        }
        match self.term.fence(now) {
            Some(fence) => {
                let targets = self.weight_targets(now);
                for action in self.weights.next(now, &targets) {
                    actions.push(ForwardAction::Weight { action, fence });
                }
            }
            None => self.weights.stop(),
        }
        let changing: BTreeSet<TargetName> = self.weights.changing().cloned().collect();
        if changing != self.told_loading {
            self.told_loading = changing;
            actions.push(ForwardAction::TellPeers);
        }
    }

    fn next_term(&mut self, now: ClockTime) -> Option<godwitroad_orders::TermAction> {
        // Without models there is nothing to order; without contact the store would not answer.
        let rules = self.rules.as_ref()?;
        let has_models = rules.services.values().any(|service| service.engine.is_some());
        if !has_models || self.stopping && !self.term.is_held(now) {
            return None;
        }
        if self.store_failing.is_some() && !self.term.is_held(now) {
            return None;
        }
        let own: &VmName = &self.settings.place.vm;
        let heard = self.peers.heard(now).filter(|(note, _)| !note.stopping);
        let rank = heard.filter(|(note, _)| note.place.vm < *own).count();
        self.term.next(now, rank)
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
