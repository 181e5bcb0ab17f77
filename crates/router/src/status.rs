//! Read-only queries for adapters and operators.

use godwitroad_balance::HealthState;
use godwitroad_base::{BuildName, ClockTime, ModelName, TargetName};
use godwitroad_config::{KeyHash, ServiceKind};
use serde_json::{Map, Value, json};

use crate::RouterState;

/// A target that this router polls for its load and cache events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolledTarget {
    /// The name of the target.
    pub target: TargetName,
    /// The target's IP address and port.
    pub address: String,
    /// The sequence number of the next cache event to read.
    pub after: u64,
}

impl RouterState {
    /// Returns the engines that this router polls on behalf of its zone.
    pub fn polled_targets(&self) -> Vec<PolledTarget> {
        let engines = self
            .view
            .document
            .services
            .iter()
            .filter(|service| service.kind == ServiceKind::Engine);
        let polled = engines.flat_map(|service| &service.targets).filter(|target| {
            target.zone == self.settings.zone
                && self.placement.is_reader_of(&target.name, &self.settings.node.vm)
        });
        polled
            .map(|target| PolledTarget {
                target: target.name.clone(),
                address: target.address.clone(),
                after: self.placement.next_sequence(&target.name),
            })
            .collect()
    }

    /// Returns the models that a caller with `key` can use, or `None` if the key is not valid for any route.
    pub fn models(&self, key: Option<&KeyHash>) -> Option<Vec<ModelName>> {
        let routes = self.view.document.routes.iter();
        let allowed = routes.filter(|route| self.view.authorize(route, key).is_ok());
        let services: Vec<_> =
            allowed.filter_map(|route| self.view.service(&route.service)).collect();
        if services.is_empty() {
            return None;
        }
        let mut models: Vec<ModelName> =
            services.iter().flat_map(|service| service.models.iter().cloned()).collect();
        models.sort();
        models.dedup();
        Some(models)
    }

    /// Returns the state of the router and its view of the fleet, as JSON.
    pub fn status(&self, now: ClockTime) -> Value {
        let readiness = self.readiness();
        let mut status = json!({
            "vm": self.settings.node.vm.as_str(),
            "incarnation": self.settings.node.incarnation.0,
            "zone": self.settings.zone.as_str(),
            "region": self.settings.region.as_str(),
            "generation": self.view.generation,
            "ready": readiness.is_ok(),
            "reason": readiness.err(),
            "requests": self.requests.len(),
            "index_entries": self.placement.index_entries(),
            "link_bytes": self.placement.link_bytes(),
        });
        if let (Some(fleet), Some(map)) = (&self.fleet, status.as_object_mut()) {
            let epoch = fleet.member.epoch();
            map.insert("epoch".into(), epoch.into());
            map.insert("may_hold".into(), fleet.member.may_hold(now).into());
            map.insert("store_reachable".into(), fleet.store.is_reachable().into());
            map.insert("contact_age_ms".into(), fleet.sync.contact_age(now).as_ms().into());
            map.insert("zones".into(), self.zone_progress(now));
        }
        status
    }

    fn zone_progress(&self, now: ClockTime) -> Value {
        let Some(fleet) = &self.fleet else { return Value::Null };
        let zones = fleet.sync.progress(now).into_iter().map(|(zone, (age, progress))| {
            let progress = json!({
                "members": progress.members,
                "heard": progress.reporting,
                "lowest": progress.lowest,
                "newest": progress.highest,
                "age_ms": age.as_ms(),
            });
            (zone.as_str().to_owned(), progress)
        });
        Value::Object(zones.collect::<Map<_, _>>())
    }

    /// Returns all targets with their health and load, as JSON.
    pub fn targets(&self, now: ClockTime) -> Value {
        let services = self.view.document.services.iter().flat_map(|service| {
            service.targets.iter().map(move |target| {
                let health = self.placement.health_of(now, &target.name);
                let load = self.placement.report_of(&target.name);
                let load = load.as_ref();
                json!({
                    "target": target.name.as_str(),
                    "service": service.name.as_str(),
                    "zone": target.zone.as_str(),
                    "address": target.address,
                    "slots": target.slots,
                    "health": health.map(health_label),
                    "build": load.and_then(|(report, _)| report.build.as_ref()).map(BuildName::as_str),
                    "running": load.map(|(report, _)| report.running),
                    "waiting": load.map(|(report, _)| report.waiting),
                    "report_age_ms": load.map(|(_, taken)| now.since(*taken).as_ms()),
                })
            })
        });
        Value::Array(services.collect())
    }

    /// Returns the placement decisions for the request with this id, or `None` if they are no longer kept.
    pub fn explain(&self, id: &str) -> Option<Value> {
        self.explain_log.get(id.parse().ok()?)
    }
}

fn health_label(state: HealthState) -> &'static str {
    match state {
        HealthState::Healthy => "healthy",
        HealthState::Probation { .. } => "probation",
        HealthState::Returning { .. } => "returning",
        HealthState::Leaving => "leaving",
    }
}
