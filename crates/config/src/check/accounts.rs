//! Validation of client accounts and their keys.

use std::collections::{BTreeMap, BTreeSet};

use super::{ErrorList, NameSet};
use crate::{AccountConfig, ConfigDocument, KeyConfig, KeyHash};

/// Reports the errors of the accounts and their keys.
pub(super) fn check_accounts(document: &ConfigDocument, errors: &mut ErrorList) {
    let routes: BTreeSet<&str> = document.routes.iter().map(|route| route.name.as_str()).collect();
    let mut hashes = BTreeMap::new();
    let mut accounts = NameSet::new("account");
    for (index, account) in document.accounts.iter().enumerate() {
        let path = format!("accounts[{index}]");
        accounts.add(errors, format!("{path}.name"), account.name.as_str());
        check_limits(&path, account, errors);
        let mut keys = NameSet::new("key");
        for (key_index, key) in account.keys.iter().enumerate() {
            let path = format!("{path}.keys[{key_index}]");
            keys.add(errors, format!("{path}.name"), key.name.as_str());
            check_key(&path, key, &routes, &mut hashes, errors);
        }
    }
}

fn check_limits(path: &str, account: &AccountConfig, errors: &mut ErrorList) {
    let limits = [
        ("weight", u64::from(account.weight)),
        ("rate.tokens_per_second", account.rate.tokens_per_second),
        ("rate.burst_tokens", account.rate.burst_tokens),
    ];
    for (name, limit) in limits {
        if limit == 0 {
            errors.add(format!("{path}.{name}"), "must be greater than zero");
        }
    }
}

fn check_key(
    path: &str,
    key: &KeyConfig,
    routes: &BTreeSet<&str>,
    hashes: &mut BTreeMap<KeyHash, String>,
    errors: &mut ErrorList,
) {
    if let Some(first_path) = hashes.get(&key.hash) {
        // A key must identify exactly one account, and its secret must no longer be valid once the key is withdrawn.
        errors
            .add(format!("{path}.hash"), format!("the same hash is already used at {first_path}"));
    } else {
        hashes.insert(key.hash, format!("{path}.hash"));
    }
    if key.hash == KeyHash::of("") {
        errors.add(format!("{path}.hash"), "the hash must not be that of an empty secret");
    }
    let mut seen = BTreeSet::new();
    for (index, route) in key.routes.iter().enumerate() {
        if !routes.contains(route.as_str()) {
            errors.add(format!("{path}.routes[{index}]"), format!("unknown route {route}"));
        }
        if !seen.insert(route) {
            errors.add(
                format!("{path}.routes[{index}]"),
                format!("the route {route} is listed twice"),
            );
        }
    }
}
