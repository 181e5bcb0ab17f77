//! The rollout of desired weight versions, which the holder of the order lease carries out.

use std::{cmp::Reverse, collections::BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};
use godwitroad_orders::{TermAction, WeightAction, WeightReport, WeightTarget};

use super::{ForwardAction, ForwardState};
use crate::{TargetRecord, tag_of};

/// Limit of stored announcements for each model. Weights that are older than all of them have long been outdated.
const MAX_ANNOUNCEMENTS: usize = 32;

/// The number of announcements of a model in each gossip message.
const GOSSIPED_ANNOUNCEMENTS: usize = 3;

/// When a version of a model's weights became the desired one, as far as this router knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightAnnouncement {
    version: u64,
    // When this router learned of the announcement.
    seen_at: ClockTime,
    // The announcement's age at `seen_at`. It is kept separately because a time before the start of the process has no
    // `ClockTime`.
    prior_age: ClockSpan,
    // Whether the announcement may be much older than `seen_at`, because it was already in the first listing of the
    // store.
    is_time_unknown: bool,
}

impl WeightAnnouncement {
    fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(self.seen_at) + self.prior_age
    }
}

impl ForwardState {
    pub(super) fn apply_desired_version(
        &mut self,
        now: ClockTime,
        model: ModelName,
        version: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        if !self.weights.announce_version(model.clone(), version) {
            return;
        }
        self.store_progress.record_urgent();
        // What the first listing shows may have been announced long before this router started.
        let is_time_unknown = !self.has_listed && self.settings.allowance.restarted;
        let detail = format!("model={model} version={version} time_unknown={is_time_unknown}");
        actions.push(ForwardAction::Notice("weights_named", detail));
        let announcements = self.weight_announcements.entry(model).or_default();
        if announcements.len() >= MAX_ANNOUNCEMENTS {
            announcements.remove(0);
        }
        announcements.push(WeightAnnouncement {
            version,
            seen_at: now,
            prior_age: ClockSpan::ZERO,
            is_time_unknown,
        });
    }

    /// Returns the latest announcements for gossip messages: the model's tag, the version, and the age in milliseconds.
    pub(super) fn announcement_ages(&self, now: ClockTime) -> Vec<(u32, u64, u32)> {
        let mut ages = Vec::new();
        for (model, announcements) in &self.weight_announcements {
            let known =
                announcements.iter().rev().filter(|announcement| !announcement.is_time_unknown);
            for announcement in known.take(GOSSIPED_ANNOUNCEMENTS) {
                let age = u32::try_from(announcement.age(now).as_ms()).unwrap_or(u32::MAX);
                ages.push((tag_of(model.as_str()), announcement.version, age));
            }
        }
        ages
    }

    // Applies the age of an announcement that a peer reports. The peer may know it better, as it was already running or
    // was not cut off at that time.
    pub(super) fn receive_announcement(
        &mut self,
        now: ClockTime,
        tag: u32,
        version: u64,
        age: ClockSpan,
    ) {
        for (model, announcements) in &mut self.weight_announcements {
            if tag_of(model.as_str()) != tag {
                continue;
            }
            let received = WeightAnnouncement {
                version,
                seen_at: now,
                prior_age: age,
                is_time_unknown: false,
            };
            match announcements.binary_search_by_key(&version, |announcement| announcement.version)
            {
                Ok(at) if announcements[at].is_time_unknown || age > announcements[at].age(now) => {
                    announcements[at] = received
                }
                Ok(_) => {}
                // A version that was replaced before this router started still gives the age of older weights.
                Err(at) if at < announcements.len() && announcements.len() < MAX_ANNOUNCEMENTS => {
                    announcements.insert(at, received);
                }
                Err(_) => {}
            }
        }
    }

    // Returns the time since the weights that a target serves were replaced, or `None` if no newer version is known.
    pub(super) fn time_since_replaced(
        &self,
        now: ClockTime,
        model: Option<&ModelName>,
        record: &TargetRecord,
    ) -> Option<ClockSpan> {
        let model = model?;
        let serves = record.versions.get(model)?;
        // The oldest announcement that replaced them counts, not the newest.
        let announcements = self.weight_announcements.get(model)?;
        let announcement =
            announcements.iter().find(|announcement| announcement.version > *serves)?;
        let is_rollout_begun = || {
            let mut others = self.roster.iter().filter_map(|other| other.versions.get(model));
            others.any(|version| *version >= announcement.version)
        };
        // If another target already serves this version, it was announced some time ago.
        if announcement.is_time_unknown && is_rollout_begun() {
            return Some(self.settings.version_span);
        }
        Some(announcement.age(now))
    }

    pub(super) fn apply_weight_report(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        report: Option<WeightReport>,
        actions: &mut Vec<ForwardAction>,
    ) {
        for (model, version) in report.iter().flat_map(|report| &report.versions) {
            if self.roster.update_version(target, model, *version) {
                self.announce_reload(now, target, actions);
            }
        }
        let takes_orders = self.roster.get(target).is_some_and(|record| !record.draining);
        let report = report.filter(|_| takes_orders);
        let Some(order) = self.weights.report(now, target, report.as_ref()) else { return };
        // The lease may have expired while the target answered.
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
        if changing != self.announced_loading {
            self.announced_loading = changing;
            actions.push(ForwardAction::SendGossip);
        }
    }

    /// Returns whether this router is carrying out a rollout, which it should finish before it shuts down.
    pub fn is_rolling_out(&self, now: ClockTime) -> bool {
        self.term.fence(now).is_some() && self.weights.has_work(&self.weight_targets(now))
    }

    fn next_term(&mut self, now: ClockTime, has_work: bool) -> Option<TermAction> {
        // Without engine services there is nothing to order. While this router stops or the store fails, only a lease
        // that it already holds needs calls.
        let rules = self.rules.as_ref()?;
        let has_models = rules.services.values().any(|service| service.engine.is_some());
        if !has_models || self.stop.is_stopping() && !self.term.is_leader(now) {
            return None;
        }
        if self.store_failing_since.is_some() && !self.term.is_leader(now) {
            return None;
        }
        // The most recently started router ranks first: a rolling restart has already passed it, so that it can keep
        // the lease longest.
        let own = (Reverse(self.settings.incarnation), &self.settings.place.vm);
        let reachable = self.peers.reachable(now).filter(|(message, _)| !message.stopping);
        let rank = reachable
            .filter(|(message, _)| (Reverse(message.incarnation), &message.place.vm) < own);
        let rank = rank.count();
        self.term.next(now, rank, has_work)
    }

    fn weight_targets(&self, now: ClockTime) -> Vec<WeightTarget> {
        let Some(rules) = &self.rules else { return Vec::new() };
        let usable = self.roster.iter().filter(|record| {
            !record.draining
                && rules.services.contains_key(&record.service)
                && !record.versions.is_empty()
                && !self.health.is_on_probation(now, record)
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
