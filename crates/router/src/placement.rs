//! Where requests go: the targets, their load, and the choice between them.

use std::collections::BTreeMap;

use godwitroad_base::{SeededRandom, TargetName, ZoneName, rendezvous};
use godwitroad_config::{ServiceConfig, TargetConfig};

use crate::{LoadReport, view::ConfigView};

/// The targets of a router.
#[derive(Debug)]
pub(crate) struct TargetTable {
    zone: ZoneName,
    random: SeededRandom,
    states: BTreeMap<TargetName, TargetState>,
}

#[derive(Debug, Default)]
struct TargetState {
    report: LoadReport,
    running: u32,
    failures: u32,
}

impl TargetTable {
    pub(crate) fn new(zone: ZoneName, random: SeededRandom) -> TargetTable {
        TargetTable { zone, random, states: BTreeMap::new() }
    }

    pub(crate) fn configure(&mut self, view: &ConfigView) {
        self.states.retain(|name, _| view.target(name).is_some());
        let services = view.document.services.iter();
        for target in services.flat_map(|service| &service.targets) {
            self.states.entry(target.name.clone()).or_default();
        }
    }

    pub(crate) fn load(&mut self, target: &TargetName, report: LoadReport) {
        if let Some(state) = self.states.get_mut(target) {
            state.report = report;
        }
    }

    /// Returns a target of `service` with a free slot, or `None` when all are taken.
    ///
    /// `avoid` is the target of a failed attempt; it is chosen only when there is no other.
    pub(crate) fn choose(
        &mut self,
        service: &ServiceConfig,
        prefix: u64,
        avoid: Option<&TargetName>,
    ) -> Option<TargetName> {
        let free: Vec<&TargetConfig> =
            service.targets.iter().filter(|target| self.has_room(target)).collect();
        let near: Vec<&TargetConfig> =
            free.iter().copied().filter(|target| target.zone == self.zone).collect();
        let pool = if near.is_empty() { free } else { near };
        let others: Vec<&TargetConfig> =
            pool.iter().copied().filter(|target| Some(&target.name) != avoid).collect();
        let pool = if others.is_empty() { pool } else { others };
        let names: Vec<&str> = pool.iter().map(|target| target.name.as_str()).collect();
        let key = if prefix == 0 { self.random.next_u64() } else { prefix };
        rendezvous::owner(key, &names).map(|index| pool[index].name.clone())
    }

    pub(crate) fn started(&mut self, target: &TargetName) {
        if let Some(state) = self.states.get_mut(target) {
            state.running += 1;
        }
    }

    pub(crate) fn ended(&mut self, target: &TargetName, failed: bool) {
        if let Some(state) = self.states.get_mut(target) {
            state.running = state.running.saturating_sub(1);
            state.failures = if failed { state.failures + 1 } else { 0 };
        }
    }

    fn has_room(&self, target: &TargetConfig) -> bool {
        let running = self.states.get(&target.name).map_or(0, |state| state.running);
        !target.leaving && running < target.slots
    }
}
