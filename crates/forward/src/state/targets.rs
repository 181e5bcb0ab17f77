//! Changes of the list of targets.

use godwitroad_base::{ClockTime, TargetName};

use super::{FeedSource, ForwardAction, ForwardState, LAPSE_OUTAGE};
use crate::{LAPSE_GRACE, LoadedLine, RosterChange, TargetRecord, tag_of};

impl ForwardState {
    pub(super) fn store_answered(&mut self, now: ClockTime, read_from: ClockTime) {
        self.contact.prove(read_from);
        self.knowledge.note_answer(now);
        self.was_listed = true;
        if let Some(since) = self.store_failing.take()
            && now.since(since) >= LAPSE_OUTAGE
        {
            self.store_back = Some(now);
        }
    }

    // A router that rests notices an outage late; its last proof shows how long the store may have been away.
    pub(super) fn store_failed(&mut self, now: ClockTime) {
        let proven = self.contact.age(now).map_or(now, |age| now - age);
        self.store_failing.get_or_insert(proven);
    }

    // Leases may have lapsed while the store was away; see `TargetRoster::remove`.
    fn is_after_outage(&self, now: ClockTime) -> bool {
        let long = self.store_failing.is_some_and(|since| now.since(since) >= LAPSE_OUTAGE);
        long || self.store_back.is_some_and(|back| now.since(back) < LAPSE_GRACE)
    }

    pub(super) fn take_target(
        &mut self,
        now: ClockTime,
        record: TargetRecord,
        actions: &mut Vec<ForwardAction>,
    ) {
        let name = record.name.clone();
        let detail = format!(
            "target={name} service={} address={} zone={} draining={} versions={:?} born={}",
            record.service,
            record.address,
            record.zone,
            record.draining,
            record.versions.iter().map(|(m, v)| format!("{m}:{v}")).collect::<Vec<_>>(),
            record.started_ms,
        );
        match self.roster.put(record) {
            RosterChange::Same => {}
            RosterChange::Started => {
                self.parts.remove(&FeedSource::Target(name.clone()));
                self.health.restart(now, &name);
                self.knowledge.note_urgent();
                actions.push(ForwardAction::Notice("target_started", detail));
            }
            RosterChange::Reloaded => {
                // New weights discard what the target had cached.
                if let Some(parts) = self.parts.get_mut(&FeedSource::Target(name.clone())) {
                    parts.clear();
                }
                self.tell_loaded(now, &name, actions);
                actions.push(ForwardAction::Notice("target_reloaded", detail));
            }
            RosterChange::Draining => {
                self.knowledge.note_urgent();
                actions.push(ForwardAction::Notice("target_draining", detail));
            }
        }
    }

    // Those that follow the store and the owner of the orders tell the others which target serves other weights now.
    pub(super) fn tell_loaded(
        &mut self,
        now: ClockTime,
        name: &TargetName,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.loading.remove(&tag_of(name.as_str()));
        if !self.follows(now) {
            return;
        }
        let Some(record) = self.roster.get(name) else { return };
        for (model, version) in &record.versions {
            let line = (tag_of(name.as_str()), tag_of(model.as_str()), *version);
            self.loaded.push(now, line);
        }
        actions.push(ForwardAction::SendGossip);
    }

    pub(super) fn hear_loaded(&mut self, lines: &[LoadedLine], actions: &mut Vec<ForwardAction>) {
        for (target, model, version) in lines {
            let Some(record) = self.roster.tagged(*target).cloned() else { continue };
            let mut models = record.versions.keys();
            let Some(model) = models.find(|name| tag_of(name.as_str()) == *model) else { continue };
            if self.roster.update_version(&record.name, model, *version) {
                self.loading.remove(target);
                let detail =
                    format!("target={} model={model} version={version} told_by=peer", record.name);
                actions.push(ForwardAction::Notice("target_reloaded", detail));
            }
        }
    }

    pub(super) fn target_gone(
        &mut self,
        now: ClockTime,
        name: TargetName,
        actions: &mut Vec<ForwardAction>,
    ) {
        let outage = self.is_after_outage(now);
        self.knowledge.note_urgent();
        if self.roster.remove(now, &name, outage) {
            self.forget_target(&name);
            let detail = format!("target={name}");
            actions.push(ForwardAction::Notice("target_gone", detail));
        } else if outage {
            let detail = format!("target={name} grace_ms={}", LAPSE_GRACE);
            actions.push(ForwardAction::Notice("target_lapsed", detail));
        }
    }

    pub(super) fn forget_target(&mut self, name: &TargetName) {
        self.parts.remove(&FeedSource::Target(name.clone()));
        self.loads.forget(name);
        self.health.forget(name);
    }
}
