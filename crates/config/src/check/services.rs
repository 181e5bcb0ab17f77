//! Checks of models, services and targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{MistakeList, NameSet};
use crate::{ConfigDocument, ServiceConfig, ServiceKind, TargetConfig};

/// Reports mistakes of the models.
pub(super) fn check_models(document: &ConfigDocument, list: &mut MistakeList) {
    let served: BTreeSet<&str> = document
        .services
        .iter()
        .flat_map(|service| service.models.iter().map(|model| model.as_str()))
        .collect();
    let mut models = NameSet::new("model");
    for (index, model) in document.models.iter().enumerate() {
        let path = format!("models[{index}]");
        models.add(list, format!("{path}.name"), model.name.as_str());
        if model.version.is_empty() {
            list.add(format!("{path}.version"), "the version of the weights must not be empty");
        }
        if model.adapter.as_deref() == Some("") {
            list.add(
                format!("{path}.adapter"),
                "leave the field out for a model without an adapter",
            );
        }
        if !served.contains(model.name.as_str()) {
            list.add(format!("{path}.name"), format!("no service serves the model {}", model.name));
        }
    }
}

/// Reports mistakes of the services and their targets.
pub(super) fn check_services(document: &ConfigDocument, list: &mut MistakeList) {
    let models: BTreeSet<&str> = document.models.iter().map(|model| model.name.as_str()).collect();
    let zones = document.regions.iter().flat_map(|region| &region.zones);
    let mut check = TargetCheck {
        zones: zones.map(|zone| zone.as_str()).collect(),
        names: NameSet::new("target"),
        addresses: BTreeMap::new(),
    };
    let mut services = NameSet::new("service");
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}]");
        services.add(list, format!("{path}.name"), service.name.as_str());
        check_served_models(&path, service, &models, list);
        if service.targets.is_empty() {
            list.add(format!("{path}.targets"), "a service needs at least one target");
        }
        for (place, target) in service.targets.iter().enumerate() {
            check.check(&format!("{path}.targets[{place}]"), target, list);
        }
    }
}

fn check_served_models(
    path: &str,
    service: &ServiceConfig,
    models: &BTreeSet<&str>,
    list: &mut MistakeList,
) {
    match service.kind {
        ServiceKind::Engine if service.models.is_empty() => {
            list.add(format!("{path}.models"), "an engine service needs at least one model");
        }
        ServiceKind::Plain if !service.models.is_empty() => {
            list.add(format!("{path}.models"), "a plain service serves no models");
        }
        _ => {}
    }
    let mut seen = BTreeSet::new();
    for (place, model) in service.models.iter().enumerate() {
        if !models.contains(model.as_str()) {
            list.add(format!("{path}.models[{place}]"), format!("unknown model {model}"));
        }
        if !seen.insert(model) {
            list.add(
                format!("{path}.models[{place}]"),
                format!("the model {model} is listed twice"),
            );
        }
    }
}

struct TargetCheck<'a> {
    zones: BTreeSet<&'a str>,
    names: NameSet<'a>,
    addresses: BTreeMap<SocketAddr, String>,
}

impl<'a> TargetCheck<'a> {
    fn check(&mut self, path: &str, target: &'a TargetConfig, list: &mut MistakeList) {
        self.names.add(list, format!("{path}.name"), target.name.as_str());
        if !self.zones.contains(target.zone.as_str()) {
            list.add(format!("{path}.zone"), format!("unknown zone {}", target.zone));
        }
        if target.slots == 0 {
            list.add(format!("{path}.slots"), "must be above zero");
        }
        let path = format!("{path}.address");
        match target.address.parse::<SocketAddr>() {
            Err(_) => {
                let reason = format!("{:?} is not an IP address with a port", target.address);
                list.add(path, reason);
            }
            Ok(address) if address.port() == 0 || address.ip().is_unspecified() => {
                list.add(path, format!("{address} can't be connected to"));
            }
            Ok(address) => {
                if let Some(first) = self.addresses.get(&address) {
                    list.add(path, format!("{address} is already used at {first}"));
                } else {
                    self.addresses.insert(address, path);
                }
            }
        }
    }
}
