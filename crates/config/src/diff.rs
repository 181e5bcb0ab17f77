//! Comparing two documents.
//!
//! Items are matched by name and not by position, so that a change of one account is reported as just that change
//! even if the account has moved in its list.

use std::{collections::BTreeMap, fmt};

use godwitroad_base::{
    AccountName, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ConfigDocument;

/// The identity of an item in a document.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ItemId {
    /// A region.
    Region {
        /// The region's name.
        name: RegionName,
    },
    /// A model.
    Model {
        /// The model's name.
        name: ModelName,
    },
    /// A service.
    Service {
        /// The service's name.
        name: ServiceName,
    },
    /// A target of a service.
    Target {
        /// The name of the service that the target belongs to.
        service: ServiceName,
        /// The target's name.
        name: TargetName,
    },
    /// A client account.
    Account {
        /// The account's name.
        name: AccountName,
    },
    /// A key of a client account.
    Key {
        /// The name of the account that the key belongs to.
        account: AccountName,
        /// The key's name.
        name: KeyName,
    },
    /// A route.
    Route {
        /// The route's name.
        name: RouteName,
    },
    /// The fleet-wide limits.
    Fleet,
}

/// A difference between two documents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    /// An item exists only in the new document.
    Added {
        /// The added item.
        item: ItemId,
        /// The item's fields, without nested items.
        value: Value,
    },
    /// An item exists only in the old document.
    Removed {
        /// The removed item.
        item: ItemId,
        /// The fields that the item had, without nested items.
        value: Value,
    },
    /// A field of an item has different values.
    Changed {
        /// The item that has the field.
        item: ItemId,
        /// The path of the field within the item, such as `rate.burst_tokens`.
        field: String,
        /// The old value, or null if the field was absent.
        old: Value,
        /// The new value, or null if the field is absent.
        new: Value,
    },
    /// The items that both documents have are in a different order.
    Reordered {
        /// The path of the list, with items given by name, such as `services.models.targets`; `$` for the whole document.
        list: String,
    },
}

impl fmt::Display for ItemId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemId::Region { name } => write!(formatter, "region {name}"),
            ItemId::Model { name } => write!(formatter, "model {name}"),
            ItemId::Service { name } => write!(formatter, "service {name}"),
            ItemId::Target { service, name } => write!(formatter, "target {name} of {service}"),
            ItemId::Account { name } => write!(formatter, "account {name}"),
            ItemId::Key { account, name } => write!(formatter, "key {name} of {account}"),
            ItemId::Route { name } => write!(formatter, "route {name}"),
            ItemId::Fleet => formatter.write_str("fleet"),
        }
    }
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigChange::Added { item, value } => write!(formatter, "+ {item} {value}"),
            ConfigChange::Removed { item, .. } => write!(formatter, "- {item}"),
            ConfigChange::Changed { item, field, old, new } => {
                write!(formatter, "~ {item}: {field} {old} -> {new}")
            }
            ConfigChange::Reordered { list } => write!(formatter, "~ {list}: order"),
        }
    }
}

/// Returns the differences from `old` to `new`. The list is empty if and only if the documents are equal.
pub fn diff(old: &ConfigDocument, new: &ConfigDocument) -> Vec<ConfigChange> {
    let mut changes = compare_tables(&ItemTable::new(old), &ItemTable::new(new));
    // An invalid document can contain a name twice. The targets of two services with the same name are in one list, as
    // are the keys of two such accounts, so moving one between them leaves the tables equal.
    if changes.is_empty() && old != new {
        changes.push(ConfigChange::Reordered { list: "$".into() });
    }
    changes
}

fn compare_tables(old: &ItemTable, new: &ItemTable) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    for (item_key, value) in &old.items {
        match new.items.get(item_key) {
            None => changes
                .push(ConfigChange::Removed { item: item_key.0.clone(), value: value.clone() }),
            Some(other) => compare_values(&item_key.0, "", value, other, &mut changes),
        }
    }
    for (item_key, value) in &new.items {
        if !old.items.contains_key(item_key) {
            changes.push(ConfigChange::Added { item: item_key.0.clone(), value: value.clone() });
        }
    }
    for (list, order) in &old.orders {
        if let Some(other) = new.orders.get(list)
            && !same_order(order, other)
        {
            changes.push(ConfigChange::Reordered { list: list.clone() });
        }
    }
    changes
}

/// An item and the number of preceding items with the same identity, which is above zero only in an invalid document.
type ItemKey = (ItemId, usize);

#[derive(Default)]
struct ItemTable {
    items: BTreeMap<ItemKey, Value>,
    /// The items of each list in their order, by the list's path as in [`ConfigChange::Reordered`].
    orders: BTreeMap<String, Vec<ItemKey>>,
}

impl ItemTable {
    fn new(document: &ConfigDocument) -> ItemTable {
        let mut table = ItemTable::default();
        table.add("fleet", ItemId::Fleet, &document.fleet, None);
        for region in &document.regions {
            let item = ItemId::Region { name: region.name.clone() };
            table.add("regions", item, region, None);
        }
        for model in &document.models {
            table.add("models", ItemId::Model { name: model.name.clone() }, model, None);
        }
        for service in &document.services {
            let item = ItemId::Service { name: service.name.clone() };
            table.add("services", item, service, Some("targets"));
            let list = format!("services.{}.targets", service.name);
            for target in &service.targets {
                let (service, name) = (service.name.clone(), target.name.clone());
                table.add(&list, ItemId::Target { service, name }, target, None);
            }
        }
        for account in &document.accounts {
            let item = ItemId::Account { name: account.name.clone() };
            table.add("accounts", item, account, Some("keys"));
            let list = format!("accounts.{}.keys", account.name);
            for key in &account.keys {
                let (account, name) = (account.name.clone(), key.name.clone());
                table.add(&list, ItemId::Key { account, name }, key, None);
            }
        }
        for route in &document.routes {
            table.add("routes", ItemId::Route { name: route.name.clone() }, route, None);
        }
        table
    }

    // `nested` is the field whose entries are compared as separate items and not as a field of this item.
    fn add(&mut self, list: &str, item: ItemId, content: &impl Serialize, nested: Option<&str>) {
        let mut value = serde_json::to_value(content).unwrap_or_default();
        if let (Some(fields), Some(nested)) = (value.as_object_mut(), nested) {
            fields.shift_remove(nested);
        }
        let preceding = self.items.range((item.clone(), 0)..=(item.clone(), usize::MAX)).count();
        let item_key = (item, preceding);
        self.orders.entry(list.to_owned()).or_default().push(item_key.clone());
        self.items.insert(item_key, value);
    }
}

// Returns whether the items that both lists have are in the same order.
fn same_order(old: &[ItemKey], new: &[ItemKey]) -> bool {
    let positions: BTreeMap<&ItemKey, usize> =
        new.iter().enumerate().map(|(index, item_key)| (item_key, index)).collect();
    let shared: Vec<usize> =
        old.iter().filter_map(|item_key| positions.get(item_key).copied()).collect();
    shared.is_sorted()
}

fn compare_values(
    item: &ItemId,
    path: &str,
    old: &Value,
    new: &Value,
    changes: &mut Vec<ConfigChange>,
) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
        for name in names {
            let field = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let value = |fields: &Map<String, Value>| fields.get(name).cloned().unwrap_or_default();
            compare_values(item, &field, &value(old), &value(new), changes);
        }
    } else if old != new {
        changes.push(ConfigChange::Changed {
            item: item.clone(),
            field: path.to_owned(),
            old: old.clone(),
            new: new.clone(),
        });
    }
}
