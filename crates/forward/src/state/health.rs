//! Maps target names to the numeric ids under which `godwitroad-balance` tracks target health.

use std::collections::BTreeMap;

use godwitroad_balance::{HealthSettings, HealthState, TargetHealth, TargetId};
use godwitroad_base::{ClockTime, SeededRandom, TargetName};

use crate::TargetRecord;

/// The health of targets by name.
///
/// Ids are assigned at a target's first failure and reused after its removal.
#[derive(Debug)]
pub(super) struct HealthTable {
    health: TargetHealth,
    ids: BTreeMap<TargetName, TargetId>,
    free: Vec<TargetId>,
}

impl HealthTable {
    pub(super) fn new(settings: HealthSettings) -> HealthTable {
        let health = TargetHealth::new(settings);
        HealthTable { health, ids: BTreeMap::new(), free: Vec::new() }
    }

    fn id(&mut self, name: &TargetName) -> TargetId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let next = u16::try_from(self.ids.len()).unwrap_or(u16::MAX);
        let id = self.free.pop().unwrap_or(TargetId(next));
        self.ids.insert(name.clone(), id);
        id
    }

    pub(super) fn restart(&mut self, now: ClockTime, name: &TargetName) {
        // A target without recorded failures is not tracked and gets its full share of requests at once.
        if let Some(id) = self.ids.get(name) {
            self.health.restart(now, *id);
        }
    }

    pub(super) fn remove(&mut self, name: &TargetName) {
        if let Some(id) = self.ids.remove(name) {
            self.health.set_leaving(ClockTime::ZERO, id, true);
            self.health.set_leaving(ClockTime::ZERO, id, false);
            self.free.push(id);
        }
    }

    /// Returns whether a target gets no requests because of recent failures.
    pub(super) fn is_on_probation(&self, now: ClockTime, record: &TargetRecord) -> bool {
        let state = self.ids.get(&record.name).map(|id| self.health.state(now, *id));
        matches!(state, Some(HealthState::Probation { .. }))
    }

    pub(super) fn admits(
        &self,
        now: ClockTime,
        name: &TargetName,
        random: &mut SeededRandom,
    ) -> bool {
        self.ids.get(name).is_none_or(|id| self.health.admits(now, *id, random))
    }

    pub(super) fn record_success(&mut self, now: ClockTime, name: &TargetName) {
        if let Some(id) = self.ids.get(name) {
            self.health.record_success(now, *id);
        }
    }

    pub(super) fn record_failure(&mut self, now: ClockTime, name: &TargetName) -> bool {
        let id = self.id(name);
        self.health.record_failure(now, id)
    }
}
