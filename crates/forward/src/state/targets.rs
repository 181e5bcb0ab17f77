//! Changes of the list of targets.

use godwitroad_base::{ClockTime, TargetName};

use super::{FeedSource, ForwardAction, ForwardState, LAPSE_OUTAGE};
use crate::{LAPSE_GRACE, RosterChange, TargetRecord};

impl ForwardState {
    pub(super) fn store_answered(&mut self, now: ClockTime, read_from: ClockTime) {
        self.contact.prove(read_from);
        self.was_listed = true;
        if let Some(since) = self.store_failing.take()
            && now.since(since) >= LAPSE_OUTAGE
        {
            self.store_back = Some(now);
        }
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
            record.born,
        );
        match self.roster.put(record) {
            RosterChange::Same => {}
            RosterChange::Started => {
                self.parts.remove(&FeedSource::Target(name.clone()));
                self.health.restart(now, &name);
                actions.push(ForwardAction::Notice("target_started", detail));
            }
            RosterChange::Reloaded => {
                // New weights discard what the target had cached.
                if let Some(parts) = self.parts.get_mut(&FeedSource::Target(name)) {
                    parts.clear();
                }
                actions.push(ForwardAction::Notice("target_reloaded", detail));
            }
            RosterChange::Draining => {
                actions.push(ForwardAction::Notice("target_draining", detail));
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
