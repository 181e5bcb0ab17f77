//! The items that chunks hold.
//!
//! A service and an account stand without their lists, whose entries follow as items of their own. A service with
//! thousands of targets can thus be cut, and a change of one target leaves the other chunks alone.

use serde::{Deserialize, Serialize};

use crate::{
    AccountConfig, ConfigDocument, FleetConfig, KeyConfig, ModelConfig, RegionConfig, RouteConfig,
    ServiceConfig, TargetConfig,
};

/// A part of a document that is never cut.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ConfigItem {
    /// The limits of the fleet.
    Fleet(FleetConfig),
    /// A region.
    Region(RegionConfig),
    /// A model.
    Model(ModelConfig),
    /// A service without its targets.
    Service(ServiceConfig),
    /// A target of the last service before it.
    Target(TargetConfig),
    /// An account without its keys.
    Account(AccountConfig),
    /// A key of the last account before it.
    Key(KeyConfig),
    /// A route.
    Route(RouteConfig),
}

/// Returns the items of `document` in their order.
pub(super) fn list(document: &ConfigDocument) -> impl Iterator<Item = ConfigItem> + '_ {
    let fleet = std::iter::once(ConfigItem::Fleet(document.fleet.clone()));
    let regions = document.regions.iter().cloned().map(ConfigItem::Region);
    let models = document.models.iter().cloned().map(ConfigItem::Model);
    let services = document.services.iter().flat_map(|service| {
        let bare = ServiceConfig {
            name: service.name.clone(),
            kind: service.kind,
            models: service.models.clone(),
            checks_fencing: service.checks_fencing,
            targets: Vec::new(),
        };
        let targets = service.targets.iter().cloned().map(ConfigItem::Target);
        std::iter::once(ConfigItem::Service(bare)).chain(targets)
    });
    let accounts = document.accounts.iter().flat_map(|account| {
        let bare = AccountConfig {
            name: account.name.clone(),
            weight: account.weight,
            rate: account.rate,
            cut_off: account.cut_off,
            keys: Vec::new(),
        };
        let keys = account.keys.iter().cloned().map(ConfigItem::Key);
        std::iter::once(ConfigItem::Account(bare)).chain(keys)
    });
    let routes = document.routes.iter().cloned().map(ConfigItem::Route);
    fleet.chain(regions).chain(models).chain(services).chain(routes).chain(accounts)
}

impl ConfigItem {
    /// Returns the item as JSON.
    pub(super) fn text(&self) -> String {
        serde_json::to_string(self).expect("the document's types always have a JSON form")
    }

    /// Returns the number of the section; a chunk holds items of one section.
    pub(super) fn section(&self) -> u8 {
        match self {
            ConfigItem::Fleet(_) | ConfigItem::Region(_) | ConfigItem::Model(_) => 1,
            ConfigItem::Service(_) | ConfigItem::Target(_) => 2,
            ConfigItem::Route(_) => 3,
            ConfigItem::Account(_) | ConfigItem::Key(_) => 4,
        }
    }

    /// Returns the name that decides whether a chunk begins with the item.
    ///
    /// Names of keys don't count: many accounts may use the same ones, and one of these would cut every account.
    pub(super) fn cut_name(&self) -> Option<&str> {
        match self {
            ConfigItem::Fleet(_) | ConfigItem::Key(_) => None,
            _ => Some(self.name()),
        }
    }

    fn name(&self) -> &str {
        match self {
            ConfigItem::Fleet(_) => "",
            ConfigItem::Region(region) => region.name.as_str(),
            ConfigItem::Model(model) => model.name.as_str(),
            ConfigItem::Service(service) => service.name.as_str(),
            ConfigItem::Target(target) => target.name.as_str(),
            ConfigItem::Account(account) => account.name.as_str(),
            ConfigItem::Key(key) => key.name.as_str(),
            ConfigItem::Route(route) => route.name.as_str(),
        }
    }

    /// Returns the kind and name for a person.
    pub(super) fn label(&self) -> String {
        let kind = match self {
            ConfigItem::Fleet(_) => return "fleet".into(),
            ConfigItem::Region(_) => "region",
            ConfigItem::Model(_) => "model",
            ConfigItem::Service(_) => "service",
            ConfigItem::Target(_) => "target",
            ConfigItem::Account(_) => "account",
            ConfigItem::Key(_) => "key",
            ConfigItem::Route(_) => "route",
        };
        // An item that is too large may be so because of its name.
        let name: String = self.name().chars().take(64).collect();
        format!("{kind} {name}")
    }

    /// Appends the item to `document`.
    ///
    /// # Errors
    ///
    /// Returns an error when the item belongs to one that doesn't come before it.
    pub(super) fn append_to(self, document: &mut ConfigDocument) -> Result<(), &'static str> {
        match self {
            ConfigItem::Fleet(fleet) => document.fleet = fleet,
            ConfigItem::Region(region) => document.regions.push(region),
            ConfigItem::Model(model) => document.models.push(model),
            ConfigItem::Service(service) => document.services.push(service),
            ConfigItem::Account(account) => document.accounts.push(account),
            ConfigItem::Route(route) => document.routes.push(route),
            ConfigItem::Target(target) => {
                let service = document.services.last_mut();
                service.ok_or("a target without a service")?.targets.push(target);
            }
            ConfigItem::Key(key) => {
                let account = document.accounts.last_mut();
                account.ok_or("a key without an account")?.keys.push(key);
            }
        }
        Ok(())
    }
}
