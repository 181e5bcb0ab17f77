//! The current configuration, indexed for the lookups that handling a request requires.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ModelName, RegionName, ServiceName, TargetName, ZoneName};
use godwitroad_config::{
    AccountConfig, ConfigDocument, KeyHash, KeyTable, ModelConfig, RouteAccess, RouteConfig,
    RouteTable, ServiceConfig, TargetConfig,
};

use crate::ErrorKind;

/// The current configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) generation: u64,
    pub(crate) document: Arc<ConfigDocument>,
    routes: RouteTable,
    keys: KeyTable,
    accounts: BTreeMap<AccountName, usize>,
    models: BTreeMap<ModelName, usize>,
    services: BTreeMap<ServiceName, usize>,
    targets: BTreeMap<TargetName, (usize, usize)>,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl ConfigView {
    pub(crate) fn new(generation: u64, document: Arc<ConfigDocument>) -> ConfigView {
        let mut targets = BTreeMap::new();
        for (service, config) in document.services.iter().enumerate() {
            for (position, target) in config.targets.iter().enumerate() {
                targets.insert(target.name.clone(), (service, position));
            }
        }
        let zones = document
            .regions
            .iter()
            .flat_map(|region| region.zones.iter().map(|zone| (zone.clone(), region.name.clone())));
        ConfigView {
            generation,
            routes: RouteTable::new(&document),
            keys: KeyTable::new(&document),
            accounts: index_by_name(document.accounts.iter().map(|account| account.name.clone())),
            models: index_by_name(document.models.iter().map(|model| model.name.clone())),
            services: index_by_name(document.services.iter().map(|service| service.name.clone())),
            targets,
            regions: zones.collect(),
            document: Arc::clone(&document),
        }
    }

    /// Returns the route for `path`: the one whose prefix matches the most complete path segments.
    pub(crate) fn route(&self, path: &str) -> Option<&RouteConfig> {
        self.routes.find(path)
    }

    /// Returns the account that `key` authorizes on `route`, or `None` if the route is open and `key` authorizes none.
    pub(crate) fn authorize(
        &self,
        route: &RouteConfig,
        key: Option<&KeyHash>,
    ) -> Result<Option<AccountName>, ErrorKind> {
        let grant = key.and_then(|key| self.keys.find(key));
        let account = grant.filter(|grant| grant.allows(&route.name));
        match (account, route.access) {
            (Some(grant), _) => Ok(Some(grant.account.clone())),
            (None, RouteAccess::Open) => Ok(None),
            (None, RouteAccess::Keyed) if key.is_none() => Err(ErrorKind::KeyMissing),
            (None, RouteAccess::Keyed) => Err(ErrorKind::KeyInvalid),
        }
    }

    pub(crate) fn account(&self, name: &AccountName) -> Option<&AccountConfig> {
        self.accounts.get(name).map(|&index| &self.document.accounts[index])
    }

    pub(crate) fn model(&self, name: &ModelName) -> Option<&ModelConfig> {
        self.models.get(name).map(|&index| &self.document.models[index])
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name).map(|&index| &self.document.services[index])
    }

    pub(crate) fn target(&self, name: &TargetName) -> Option<&TargetConfig> {
        let &(service, position) = self.targets.get(name)?;
        Some(&self.document.services[service].targets[position])
    }

    pub(crate) fn region(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions.get(zone)
    }

    /// Returns the names of up to `limit` targets: those in `zone` first, then those in `region`, then all others.
    pub(crate) fn nearest_targets(
        &self,
        zone: &ZoneName,
        region: &RegionName,
        limit: usize,
    ) -> BTreeSet<TargetName> {
        let distance = |name: &TargetName| {
            let target = self.target(name);
            let in_zone = target.is_some_and(|target| target.zone == *zone);
            let in_region = target.is_some_and(|target| self.region(&target.zone) == Some(region));
            (!in_zone, !in_region)
        };
        let mut names: Vec<&TargetName> = self.targets.keys().collect();
        names.sort_by_key(|name| distance(name));
        names.into_iter().take(limit).cloned().collect()
    }
}

fn index_by_name<N: Ord>(names: impl Iterator<Item = N>) -> BTreeMap<N, usize> {
    names.enumerate().map(|(index, name)| (name, index)).collect()
}
