//! Checks of client accounts and keys.

use std::collections::{BTreeMap, BTreeSet};

use super::{MistakeList, NameSet};
use crate::{AccountConfig, ConfigDocument, KeyConfig, KeyHash};

/// Reports mistakes of the accounts and their keys.
pub(super) fn check_accounts(document: &ConfigDocument, list: &mut MistakeList) {
    let routes: BTreeSet<&str> = document.routes.iter().map(|route| route.name.as_str()).collect();
    let mut hashes = BTreeMap::new();
    let mut accounts = NameSet::new("account");
    for (index, account) in document.accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        accounts.add(list, format!("{path}.name"), account.name.as_str());
        check_limits(&path, account, list);
        let mut keys = NameSet::new("key");
        for (place, key) in account.keys.iter().enumerate() {
            let path = format!("{path}.keys[{place}]");
            keys.add(list, format!("{path}.name"), key.name.as_str());
            check_key(&path, key, &routes, &mut hashes, list);
        }
    }
}

fn check_limits(path: &str, account: &AccountConfig, list: &mut MistakeList) {
    let limits = [
        ("weight", u64::from(account.weight)),
        ("rate.tokens_per_second", account.rate.tokens_per_second),
        ("rate.burst_tokens", account.rate.burst_tokens),
    ];
    for (name, limit) in limits {
        if limit == 0 {
            list.add(format!("{path}.{name}"), "must be above zero");
        }
    }
}

fn check_key(
    path: &str,
    key: &KeyConfig,
    routes: &BTreeSet<&str>,
    hashes: &mut BTreeMap<KeyHash, String>,
    list: &mut MistakeList,
) {
    if let Some(first) = hashes.get(&key.hash) {
        // A key must identify one account, and withdrawing it must leave nothing behind.
        list.add(format!("{path}.hash"), format!("the same hash is already used at {first}"));
    } else {
        hashes.insert(key.hash, format!("{path}.hash"));
    }
    if key.hash == KeyHash::of("") {
        list.add(format!("{path}.hash"), "this is the hash of an empty secret");
    }
    let mut seen = BTreeSet::new();
    for (index, route) in key.routes.iter().enumerate() {
        if !routes.contains(route.as_str()) {
            list.add(format!("{path}.routes[{index}]"), format!("unknown route {route}"));
        }
        if !seen.insert(route) {
            list.add(
                format!("{path}.routes[{index}]"),
                format!("the route {route} is listed twice"),
            );
        }
    }
}
