//! The configuration in force, indexed for the questions that a request asks.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ModelName, TargetName};
use godwitroad_config::{
    AccountConfig, ConfigDocument, KeyHash, ModelConfig, RouteAccess, RouteConfig, ServiceConfig,
    TargetConfig,
};

use crate::ErrorKind;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigView {
    pub(crate) generation: u64,
    pub(crate) document: Arc<ConfigDocument>,
    accounts: BTreeMap<AccountName, usize>,
    models: BTreeMap<ModelName, usize>,
    targets: BTreeMap<TargetName, (usize, usize)>,
}

impl ConfigView {
    pub(crate) fn new(generation: u64, document: Arc<ConfigDocument>) -> ConfigView {
        let accounts = index(document.accounts.iter().map(|account| account.name.clone()));
        let models = index(document.models.iter().map(|model| model.name.clone()));
        let mut targets = BTreeMap::new();
        for (service, config) in document.services.iter().enumerate() {
            for (position, target) in config.targets.iter().enumerate() {
                targets.insert(target.name.clone(), (service, position));
            }
        }
        ConfigView { generation, document, accounts, models, targets }
    }

    /// Returns the route that takes `path`: the one with the longest prefix on whole path segments.
    pub(crate) fn route(&self, path: &str) -> Option<&RouteConfig> {
        let routes = self.document.routes.iter();
        routes.filter(|route| takes(&route.path, path)).max_by_key(|route| route.path.len())
    }

    /// Returns the account for which a request with `key` may run on `route`, or `None` on an open route.
    pub(crate) fn authorize(
        &self,
        route: &RouteConfig,
        key: Option<&KeyHash>,
    ) -> Result<Option<AccountName>, ErrorKind> {
        let Some(key) = key else {
            return match route.access {
                RouteAccess::Open => Ok(None),
                RouteAccess::Keyed => Err(ErrorKind::KeyMissing),
            };
        };
        match (self.key_owner(route, key), route.access) {
            (Some(account), _) => Ok(Some(account)),
            (None, RouteAccess::Open) => Ok(None),
            (None, RouteAccess::Keyed) => Err(ErrorKind::KeyInvalid),
        }
    }

    fn key_owner(&self, route: &RouteConfig, key: &KeyHash) -> Option<AccountName> {
        let mut owner = None;
        for account in &self.document.accounts {
            for config in &account.keys {
                let valid = config.routes.is_empty() || config.routes.contains(&route.name);
                if config.hash.matches(key) && valid {
                    owner = Some(account.name.clone());
                }
            }
        }
        owner
    }

    pub(crate) fn account(&self, name: &AccountName) -> Option<&AccountConfig> {
        self.accounts.get(name).map(|&index| &self.document.accounts[index])
    }

    pub(crate) fn model(&self, name: &ModelName) -> Option<&ModelConfig> {
        self.models.get(name).map(|&index| &self.document.models[index])
    }

    pub(crate) fn service(&self, route: &RouteConfig) -> Option<&ServiceConfig> {
        self.document.services.iter().find(|service| service.name == route.service)
    }

    pub(crate) fn target(&self, name: &TargetName) -> Option<&TargetConfig> {
        let &(service, position) = self.targets.get(name)?;
        Some(&self.document.services[service].targets[position])
    }
}

fn index<N: Ord>(names: impl Iterator<Item = N>) -> BTreeMap<N, usize> {
    names.enumerate().map(|(index, name)| (name, index)).collect()
}

fn takes(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
