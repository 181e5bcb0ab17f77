//! Validation of models, services and targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{ErrorList, NameSet};
use crate::{ConfigDocument, ServiceConfig, ServiceKind, TargetConfig};

/// Reports the errors of the models.
pub(super) fn check_models(document: &ConfigDocument, errors: &mut ErrorList) {
    let served: BTreeSet<&str> = document
        .services
        .iter()
        .flat_map(|service| service.models.iter().map(|model| model.as_str()))
        .collect();
    let mut models = NameSet::new("model");
    for (index, model) in document.models.iter().enumerate() {
        let path = format!("models[{index}]");
        models.add(errors, format!("{path}.name"), model.name.as_str());
        if model.version.is_empty() {
            errors.add(format!("{path}.version"), "the version of the weights must not be empty");
        }
        if model.adapter.as_deref() == Some("") {
            errors.add(
                format!("{path}.adapter"),
                "the adapter must not be empty; omit the field for a model without an adapter",
            );
        }
        if !served.contains(model.name.as_str()) {
            errors
                .add(format!("{path}.name"), format!("no service serves the model {}", model.name));
        }
    }
}

/// Reports the errors of the services and their targets.
pub(super) fn check_services(document: &ConfigDocument, errors: &mut ErrorList) {
    let models: BTreeSet<&str> = document.models.iter().map(|model| model.name.as_str()).collect();
    let zones = document.regions.iter().flat_map(|region| &region.zones);
    let mut target_checker = TargetChecker {
        zones: zones.map(|zone| zone.as_str()).collect(),
        names: NameSet::new("target"),
        addresses: BTreeMap::new(),
    };
    let mut services = NameSet::new("service");
    for (index, service) in document.services.iter().enumerate() {
        let path = format!("services[{index}]");
        services.add(errors, format!("{path}.name"), service.name.as_str());
        check_served_models(&path, service, &models, errors);
        if service.targets.is_empty() {
            errors.add(format!("{path}.targets"), "a service must have at least one target");
        }
        for (target_index, target) in service.targets.iter().enumerate() {
            target_checker.check(&format!("{path}.targets[{target_index}]"), target, errors);
        }
    }
}

fn check_served_models(
    path: &str,
    service: &ServiceConfig,
    models: &BTreeSet<&str>,
    errors: &mut ErrorList,
) {
    match service.kind {
        ServiceKind::Engine if service.models.is_empty() => {
            errors.add(format!("{path}.models"), "an engine service must have at least one model");
        }
        ServiceKind::Plain if !service.models.is_empty() => {
            errors.add(format!("{path}.models"), "a plain service must not list models");
        }
        _ => {}
    }
    let mut seen = BTreeSet::new();
    for (model_index, model) in service.models.iter().enumerate() {
        if !models.contains(model.as_str()) {
            errors.add(format!("{path}.models[{model_index}]"), format!("unknown model {model}"));
        }
        if !seen.insert(model) {
            errors.add(
                format!("{path}.models[{model_index}]"),
                format!("the model {model} is listed twice"),
            );
        }
    }
}

/// The state of the target checks, which span all services.
struct TargetChecker<'a> {
    zones: BTreeSet<&'a str>,
    names: NameSet<'a>,
    addresses: BTreeMap<SocketAddr, String>,
}

impl<'a> TargetChecker<'a> {
    fn check(&mut self, path: &str, target: &'a TargetConfig, errors: &mut ErrorList) {
        self.names.add(errors, format!("{path}.name"), target.name.as_str());
        if !self.zones.contains(target.zone.as_str()) {
            errors.add(format!("{path}.zone"), format!("unknown zone {}", target.zone));
        }
        if target.slots == 0 {
            errors.add(format!("{path}.slots"), "must be greater than zero");
        }
        let path = format!("{path}.address");
        match target.address.parse::<SocketAddr>() {
            Err(_) => {
                let reason = format!("{:?} is not an IP address with a port", target.address);
                errors.add(path, reason);
            }
            Ok(address) if address.port() == 0 || address.ip().is_unspecified() => {
                errors
                    .add(path, format!("{address} is not an address that a router can connect to"));
            }
            Ok(address) => {
                if let Some(first_path) = self.addresses.get(&address) {
                    errors.add(path, format!("{address} is already used at {first_path}"));
                } else {
                    self.addresses.insert(address, path);
                }
            }
        }
    }
}
