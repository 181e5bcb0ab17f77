//! The rollout of desired weight versions, which the holder of the order lease carries out.

use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};
use godwitroad_orders::{
    TermAction, TermAnswer, WeightAction, WeightOrder, WeightReport, WeightTarget, WeightUrgency,
};

use super::{ForwardAction, ForwardEvent, ForwardState, gossip_schedule::UrgentScope};
use crate::{TargetRecord, tag_of};

impl ForwardState {
    /// Handles an event about the desired weights, the order lease or the rollout; ignores others.
    pub(super) fn handle_order_event(
        &mut self,
        now: ClockTime,
        event: ForwardEvent,
        actions: &mut Vec<ForwardAction>,
    ) {
        match event {
            ForwardEvent::DesiredVersion { model, version } => {
                self.apply_desired_version(now, model, version, actions)
            }
            ForwardEvent::TermHolder(owner) => {
                self.store_progress.record_urgent();
                self.term.observe_leader(now, owner);
            }
            ForwardEvent::TermMark(mark) => self.term.observe_mark(mark),
            ForwardEvent::TermActivity(activity) => self.term.observe_activity(activity),
            ForwardEvent::WeightRecord(record) => self.weight_records.observe(record),
            ForwardEvent::RecentWeights { model, version, is_recent } => {
                self.observe_recent_weights(now, model, version, is_recent);
            }
            ForwardEvent::Term(answer) => {
                let is_renewal = matches!(
                    answer,
                    TermAnswer::Renewed { .. } | TermAnswer::ActivityRenewed { .. }
                );
                if !is_renewal {
                    actions.push(ForwardAction::Notice("order_term", format!("{answer:?}")));
                }
                self.term.answer(now, answer);
            }
            ForwardEvent::WeightReport { target, report } => {
                self.apply_weight_report(now, &target, report, actions);
            }
            ForwardEvent::WeightAnswer { target, answer } => {
                let detail = format!("target={target} answer={answer:?}");
                actions.push(ForwardAction::Notice("order_answered", detail));
                self.weights.answer(now, &target, answer);
            }
            _ => {}
        }
    }

    fn apply_desired_version(
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
        self.weight_announcements.entry(model).or_default().push(now, version, is_time_unknown);
    }

    /// Returns the announcements for gossip messages: the model's tag, the version, and the age in milliseconds.
    pub(super) fn announcement_ages(&self, now: ClockTime) -> Vec<(u32, u64, u32)> {
        let span = self.settings.version_span;
        let mut ages = Vec::new();
        for (model, announcements) in &self.weight_announcements {
            let tag = tag_of(model.as_str());
            for (version, age) in announcements.gossiped(now, span) {
                ages.push((tag, version, u32::try_from(age.as_ms()).unwrap_or(u32::MAX)));
            }
        }
        ages
    }

    // Applies the age of an announcement that a peer reports.
    pub(super) fn receive_announcement(
        &mut self,
        now: ClockTime,
        tag: u32,
        version: u64,
        age: ClockSpan,
    ) {
        for (model, announcements) in &mut self.weight_announcements {
            if tag_of(model.as_str()) == tag {
                announcements.receive(now, version, age);
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
        let announcements = self.weight_announcements.get(model)?;
        let is_rollout_begun = |version| {
            let mut others = self.roster.iter().filter_map(|other| other.versions.get(model));
            others.any(|served| *served >= version)
        };
        announcements.replaced_for(now, *serves, self.settings.version_span, is_rollout_begun)
    }

    fn apply_weight_report(
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
        self.send_order(now, order, fence, actions);
    }

    fn send_order(
        &mut self,
        now: ClockTime,
        order: WeightOrder,
        fence: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.term.record_order(now);
        let detail = format!(
            "target={} model={} version={} expected={} fence={fence}",
            order.target, order.model, order.version, order.expected
        );
        actions.push(ForwardAction::Notice("order_sent", detail));
        actions.push(ForwardAction::Weight { action: WeightAction::Send(order), fence });
    }

    pub(super) fn drive_orders(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        if let Some(action) = self.next_term(now, self.has_rollout_work(now)) {
            actions.push(ForwardAction::Term(action));
        }
        actions.extend(self.next_weight_record(now));
        self.lead_rollouts(now, actions);
        let fence = self.term.fence(now);
        let may_order = fence.is_some();
        let due = match fence {
            Some(_) => {
                let targets = self.weight_targets(now);
                if !self.may_order {
                    actions.push(ForwardAction::Notice(
                        "orders_begin",
                        self.weights.summary(&targets),
                    ));
                }
                self.weights.next(now, &targets)
            }
            None if self.term.may_order_within(now, self.weights.preparation_span()) => {
                self.weights.prepare(now, &self.weight_targets(now))
            }
            None => {
                self.weights.abandon();
                Vec::new()
            }
        };
        self.may_order = may_order;
        // Without the fencing number, only reports are fetched.
        let fence = fence.unwrap_or(0);
        for action in due {
            match action {
                WeightAction::Send(order) => self.send_order(now, order, fence, actions),
                WeightAction::FetchReport { .. } => {
                    actions.push(ForwardAction::Weight { action, fence });
                }
            }
        }
        let changing: BTreeSet<TargetName> = self.weights.changing().cloned().collect();
        if changing != self.announced_loading {
            self.announced_loading = changing;
            self.request_gossip(UrgentScope::Fleet, actions);
        }
    }

    /// Returns whether this router is carrying out a rollout, which it should finish before it shuts down.
    pub fn is_rolling_out(&self, now: ClockTime) -> bool {
        self.term.fence(now).is_some() && self.has_rollout_work(now)
    }

    fn next_term(&mut self, now: ClockTime, has_work: bool) -> Option<TermAction> {
        // Without engine services and rollouts there is nothing to order. While this router stops or the store fails, only a lease
        // that it already holds needs calls.
        let rules = self.rules.as_ref()?;
        let has_models = rules.services.values().any(|service| service.engine.is_some());
        let has_orders = has_models || self.rollouts.need_leader();
        if !has_orders || self.stop.is_stopping() && !self.term.is_leader(now) {
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

    fn weight_urgency(&self, now: ClockTime, record: &TargetRecord) -> WeightUrgency {
        let ages = record.versions.keys();
        let ages = ages.filter_map(|model| self.time_since_replaced(now, Some(model), record));
        WeightUrgency::new(ages.max(), self.serving_limit())
    }

    fn has_rollout_work(&self, now: ClockTime) -> bool {
        let is_outdated = |record: &Arc<TargetRecord>| self.weights.is_outdated(&record.versions);
        self.weights.is_changing_any() || self.orderable_targets(now).any(is_outdated)
    }

    // Returns the targets that can receive orders.
    fn orderable_targets(&self, now: ClockTime) -> impl Iterator<Item = &Arc<TargetRecord>> {
        let is_served = |record: &Arc<TargetRecord>| {
            let rules = self.rules.as_ref();
            rules.is_some_and(|rules| rules.services.contains_key(&record.service))
        };
        self.roster.iter().filter(move |record| {
            !record.draining
                && is_served(record)
                && !record.versions.is_empty()
                && !self.health.is_on_probation(now, record)
        })
    }

    fn weight_targets(&self, now: ClockTime) -> Vec<WeightTarget> {
        let targets = self.orderable_targets(now).map(|record| WeightTarget {
            name: record.name.clone(),
            zone: record.zone.clone(),
            versions: record.versions.clone(),
            work: self.loads.work(now, &record.name).memory,
            urgency: self.weight_urgency(now, record),
        });
        targets.collect()
    }
}
