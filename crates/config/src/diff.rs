//! Comparing two documents.
//!
//! Items are matched by name, so that a change of one account shows up as that change wherever the account stands
//! in its list.

use std::{collections::BTreeMap, fmt};

use godwitroad_base::{
    AccountName, KeyName, ModelName, RegionName, RouteName, ServiceName, TargetName,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::ConfigDocument;

/// The item of a document that a change is about.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ItemName {
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
        /// The service.
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
        /// The account.
        account: AccountName,
        /// The key's name.
        name: KeyName,
    },
    /// A route.
    Route {
        /// The route's name.
        name: RouteName,
    },
    /// The limits of the whole fleet.
    Fleet,
}

/// A difference between two documents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum ConfigChange {
    /// The new document has an item that the old one lacks.
    Added {
        /// The item.
        item: ItemName,
        /// The item's fields.
        value: Value,
    },
    /// The new document lacks an item of the old one.
    Removed {
        /// The item.
        item: ItemName,
        /// The fields that the item had.
        value: Value,
    },
    /// A field of an item differs.
    Changed {
        /// The item.
        item: ItemName,
        /// The path of the field within the item.
        field: String,
        /// The old value; null when the field had none.
        old: Value,
        /// The new value; null when the field has none.
        new: Value,
    },
    /// Items are the same but stand in another order.
    Reordered {
        /// The JSON path of the list.
        list: String,
    },
}

impl fmt::Display for ItemName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemName::Region { name } => write!(formatter, "region {name}"),
            ItemName::Model { name } => write!(formatter, "model {name}"),
            ItemName::Service { name } => write!(formatter, "service {name}"),
            ItemName::Target { service, name } => write!(formatter, "target {name} of {service}"),
            ItemName::Account { name } => write!(formatter, "account {name}"),
            ItemName::Key { account, name } => write!(formatter, "key {name} of {account}"),
            ItemName::Route { name } => write!(formatter, "route {name}"),
            ItemName::Fleet => formatter.write_str("fleet"),
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

/// Returns the differences from `old` to `new`; there are none exactly when the documents are equal.
pub fn diff(old: &ConfigDocument, new: &ConfigDocument) -> Vec<ConfigChange> {
    let mut changes = compare_tables(&ItemTable::new(old), &ItemTable::new(new));
    // Documents with repeated names can differ only in which of the namesakes holds an item.
    if changes.is_empty() && old != new {
        changes.push(ConfigChange::Reordered { list: "$".into() });
    }
    changes
}

fn compare_tables(old: &ItemTable, new: &ItemTable) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    for (place, value) in &old.items {
        match new.items.get(place) {
            None => {
                changes.push(ConfigChange::Removed { item: place.0.clone(), value: value.clone() })
            }
            Some(other) => compare(&place.0, "", value, other, &mut changes),
        }
    }
    for (place, value) in &new.items {
        if !old.items.contains_key(place) {
            changes.push(ConfigChange::Added { item: place.0.clone(), value: value.clone() });
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

/// An item and how many items of the same name come before it; only an unchecked document has more than one.
type ItemPlace = (ItemName, usize);

#[derive(Default)]
struct ItemTable {
    items: BTreeMap<ItemPlace, Value>,
    orders: BTreeMap<String, Vec<ItemPlace>>,
}

impl ItemTable {
    fn new(document: &ConfigDocument) -> ItemTable {
        let mut table = ItemTable::default();
        table.add("fleet", ItemName::Fleet, &document.fleet, None);
        for region in &document.regions {
            let item = ItemName::Region { name: region.name.clone() };
            table.add("regions", item, region, None);
        }
        for model in &document.models {
            table.add("models", ItemName::Model { name: model.name.clone() }, model, None);
        }
        for service in &document.services {
            let item = ItemName::Service { name: service.name.clone() };
            table.add("services", item, service, Some("targets"));
            let list = format!("services.{}.targets", service.name);
            for target in &service.targets {
                let (service, name) = (service.name.clone(), target.name.clone());
                table.add(&list, ItemName::Target { service, name }, target, None);
            }
        }
        for account in &document.accounts {
            let item = ItemName::Account { name: account.name.clone() };
            table.add("accounts", item, account, Some("keys"));
            let list = format!("accounts.{}.keys", account.name);
            for key in &account.keys {
                let (account, name) = (account.name.clone(), key.name.clone());
                table.add(&list, ItemName::Key { account, name }, key, None);
            }
        }
        for route in &document.routes {
            table.add("routes", ItemName::Route { name: route.name.clone() }, route, None);
        }
        table
    }

    // `nested` is the list inside the item whose entries are items of their own.
    fn add(&mut self, list: &str, item: ItemName, content: &impl Serialize, nested: Option<&str>) {
        let mut value = serde_json::to_value(content).unwrap_or_default();
        if let (Some(fields), Some(nested)) = (value.as_object_mut(), nested) {
            fields.shift_remove(nested);
        }
        let before = self.items.range((item.clone(), 0)..=(item.clone(), usize::MAX)).count();
        let place = (item, before);
        self.orders.entry(list.to_owned()).or_default().push(place.clone());
        self.items.insert(place, value);
    }
}

// Compares the order of the items that both lists have.
fn same_order(old: &[ItemPlace], new: &[ItemPlace]) -> bool {
    let positions: BTreeMap<&ItemPlace, usize> =
        new.iter().enumerate().map(|(index, place)| (place, index)).collect();
    let shared: Vec<usize> = old.iter().filter_map(|place| positions.get(place).copied()).collect();
    shared.is_sorted()
}

fn compare(item: &ItemName, path: &str, old: &Value, new: &Value, changes: &mut Vec<ConfigChange>) {
    if let (Value::Object(old), Value::Object(new)) = (old, new) {
        let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
        for name in names {
            let field = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let value = |fields: &Map<String, Value>| fields.get(name).cloned().unwrap_or_default();
            compare(item, &field, &value(old), &value(new), changes);
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
