//! Handles changes of the registered targets and outages of the store.

use godwitroad_base::{ClockTime, TargetName};
use godwitroad_origins::{BuildTag, ServiceTag};

use super::{
    FeedSource, ForwardAction, ForwardState, MIN_EXPIRY_OUTAGE, gossip_schedule::UrgentScope,
};
use crate::{
    EXPIRY_GRACE, LeavingNotice, LeavingSign, ReloadEntry, RosterChange, TargetRecord, tag_of,
};

impl ForwardState {
    pub(super) fn store_answered(
        &mut self,
        now: ClockTime,
        read_from: ClockTime,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.proves_freshness(now, read_from, actions) {
            self.freshness.record_proof(read_from);
            self.store_progress.record_view(read_from);
        }
        self.era.end_listing();
        self.store_progress.record_answer(now);
        if !std::mem::replace(&mut self.has_listed, true) {
            self.apply_weight_records(now, actions);
        }
        if let Some(since) = self.store_failing_since.take()
            && now.since(since) >= MIN_EXPIRY_OUTAGE
        {
            self.store_recovered_at = Some(now);
        }
    }

    // A router that doesn't watch the store notices an outage late. The outage is therefore dated to the last freshness
    // proof, the newest answer of the store that this router has from its own reads or from a peer.
    pub(super) fn store_failed(&mut self, now: ClockTime) {
        let proven_at = self.freshness.age(now).map_or(now, |age| now - age);
        self.store_failing_since.get_or_insert(proven_at);
    }

    // Returns whether leases may have expired because the store was unavailable; see `TargetRoster::remove`.
    fn is_after_outage(&self, now: ClockTime) -> bool {
        let is_long_outage =
            self.store_failing_since.is_some_and(|since| now.since(since) >= MIN_EXPIRY_OUTAGE);
        is_long_outage
            || self
                .store_recovered_at
                .is_some_and(|recovered_at| now.since(recovered_at) < EXPIRY_GRACE)
    }

    pub(super) fn apply_target(
        &mut self,
        now: ClockTime,
        record: TargetRecord,
        actions: &mut Vec<ForwardAction>,
    ) {
        let name = record.name.clone();
        if self.roster.get(&name).is_none() && self.era.is_outdated_target(now, &record) {
            let detail = format!("target={name} born={} reason=removed_before", record.started_ms);
            actions.push(ForwardAction::Notice("target_entry_outdated", detail));
            return;
        }
        let sign =
            record.draining.then(|| LeavingNotice::own(record.run_key(), LeavingSign::Entry));
        let change = self.roster.put(record);
        let Some(record) = self.roster.get(&name) else { return };
        let detail = format!(
            "target={name} service={} address={} zone={} draining={} build={} versions={:?} born={}",
            record.service,
            record.address,
            record.zone,
            record.draining,
            record.build,
            record.versions.iter().map(|(m, v)| format!("{m}:{v}")).collect::<Vec<_>>(),
            record.started_ms,
        );
        let (service, build) = (ServiceTag::new(&record.service), BuildTag::new(&record.build));
        self.origins.observe(now, service, build);
        let record = record.clone();
        self.observe_rollout_target(now, &record);
        match change {
            RosterChange::Same => {}
            RosterChange::Started => {
                self.cached_segments.remove(&FeedSource::Target(name.clone()));
                self.health.restart(now, &name);
                self.reach.forget(&name);
                self.cost.remove(&name);
                self.throttle.remove(tag_of(name.as_str()));
                self.restart_brittle(now, &name);
                self.forget_rejections(now, &name);
                self.store_progress.record_urgent();
                actions.push(ForwardAction::Notice("target_started", detail));
            }
            RosterChange::Reloaded => {
                // Loading weights clears the target's cache.
                if let Some(segments) =
                    self.cached_segments.get_mut(&FeedSource::Target(name.clone()))
                {
                    segments.clear();
                }
                self.acceptance.remove(&name);
                self.announce_reload(now, &name, actions);
                actions.push(ForwardAction::Notice("target_reloaded", detail));
            }
            RosterChange::Draining => self.store_progress.record_urgent(),
            RosterChange::Restored => {
                self.store_progress.record_urgent();
                actions.push(ForwardAction::Notice("target_restored", detail));
            }
        }
        if let Some(sign) = sign {
            self.apply_leaving(now, &sign, "own", actions);
        }
    }

    // Announces to the peers which weights a target serves now. Only watchers of the store do so; the holder of the
    // order lease is one of them.
    pub(super) fn announce_reload(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.loading_until.remove(&tag_of(name.as_str()));
        if !self.watches_reliably(now) {
            return;
        }
        let Some(record) = self.roster.get(name) else { return };
        for (model, version) in &record.versions {
            let entry = (tag_of(name.as_str()), tag_of(model.as_str()), *version);
            self.reloaded.push(now, entry);
        }
        self.request_gossip(UrgentScope::Zone, actions);
    }

    pub(super) fn receive_reloads(
        &mut self,
        entries: &[ReloadEntry],
        actions: &mut Vec<ForwardAction>,
    ) {
        for (target, model, version) in entries {
            let Some(record) = self.roster.find_by_tag(*target).cloned() else { continue };
            let mut models = record.versions.keys();
            let Some(model) = models.find(|name| tag_of(name.as_str()) == *model) else { continue };
            if self.roster.update_version(&record.name, model, *version) {
                self.loading_until.remove(target);
                self.acceptance.remove(&record.name);
                let detail =
                    format!("target={} model={model} version={version} told_by=peer", record.name);
                actions.push(ForwardAction::Notice("target_reloaded", detail));
            }
        }
    }

    pub(super) fn remove_target(
        &mut self,
        now: ClockTime,
        name: TargetName,
        actions: &mut Vec<ForwardAction>,
    ) {
        let outage = self.is_after_outage(now);
        self.store_progress.record_urgent();
        if let Some(record) = self.roster.remove(now, &name, outage) {
            self.clear_target_state(now, &record);
            let detail = format!("target={name}");
            actions.push(ForwardAction::Notice("target_gone", detail));
        } else if outage {
            let detail = format!("target={name} grace_ms={}", EXPIRY_GRACE);
            actions.push(ForwardAction::Notice("target_lapsed", detail));
        }
    }

    /// Stops using a target whose entry can't be read any more. What is known about its run is kept for its next sound
    /// entry.
    pub(super) fn hide_target(&mut self, name: &TargetName, actions: &mut Vec<ForwardAction>) {
        if self.roster.hide(name) {
            self.store_progress.record_urgent();
            let detail = format!("target={name}");
            actions.push(ForwardAction::Notice("target_unreadable", detail));
        }
    }

    /// Removes what is known about a target that has left the roster.
    pub(super) fn clear_target_state(&mut self, now: ClockTime, record: &TargetRecord) {
        let name = &record.name;
        self.era.record_removed_target(now, record);
        self.cached_segments.remove(&FeedSource::Target(name.clone()));
        self.loads.remove_target(name);
        self.cost.remove(name);
        self.health.remove(name);
        self.reach.forget(name);
        self.throttle.remove(tag_of(name.as_str()));
        self.forget_brittle(name);
        self.rollouts.forget_target(name);
        self.forget_rejections(now, name);
    }

    /// Returns the names of the registered targets.
    pub fn target_names(&self) -> impl Iterator<Item = &TargetName> {
        self.roster.iter().map(|record| &record.name)
    }
}
