//! The tables in which a router looks up the route and the key of a request.

use std::collections::{BTreeMap, HashMap};

use godwitroad_base::{AccountName, KeyName, RouteName};

use crate::{ConfigDocument, KeyHash, RouteConfig};

/// The routes of a document, indexed by path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_path: HashMap<String, RouteConfig>,
}

impl RouteTable {
    /// Creates the table of the routes in `document`.
    pub fn new(document: &ConfigDocument) -> RouteTable {
        let routes = document.routes.iter();
        let by_path = routes.map(|route| (trim_path(&route.path).to_owned(), route.clone()));
        RouteTable { by_path: by_path.collect() }
    }

    /// Returns the route whose path is the longest prefix of `path`, compared by complete segments.
    ///
    /// The prefix `/v1` matches `/v1` and `/v1/models`, but not `/v10`. A query or fragment in `path` is ignored.
    pub fn find(&self, path: &str) -> Option<&RouteConfig> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        if !path.starts_with('/') {
            return None;
        }
        let mut prefix = trim_path(path);
        loop {
            if let Some(route) = self.by_path.get(prefix) {
                return Some(route);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

/// Returns `path` without trailing slashes; the root path becomes the empty string.
pub(crate) fn trim_path(path: &str) -> &str {
    path.trim_end_matches('/')
}

/// The account and the routes for which a key is valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGrant {
    /// The client account that owns the key.
    pub account: AccountName,
    /// The public name of the key.
    pub key: KeyName,
    /// The hash of the key's secret.
    pub hash: KeyHash,
    routes: Vec<RouteName>,
}

impl KeyGrant {
    /// Returns whether the key is valid on `route`.
    pub fn allows(&self, route: &RouteName) -> bool {
        self.routes.is_empty() || self.routes.contains(route)
    }
}

/// The keys of a document, indexed by hash.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    by_prefix: BTreeMap<u64, Vec<KeyGrant>>,
}

impl KeyTable {
    /// Creates the table of the keys in `document`.
    pub fn new(document: &ConfigDocument) -> KeyTable {
        let mut table = KeyTable::default();
        for account in &document.accounts {
            for key in &account.keys {
                let grant = KeyGrant {
                    account: account.name.clone(),
                    key: key.name.clone(),
                    hash: key.hash,
                    routes: key.routes.clone(),
                };
                table.by_prefix.entry(key.hash.prefix()).or_default().push(grant);
            }
        }
        table
    }

    /// Returns the grant of the key with `hash`, or `None` if the key is unknown or was withdrawn.
    ///
    /// The table is indexed by the first 64 bits only, and the complete hash is then compared in constant time. Lookup
    /// by these bits is safe because a caller can control them only by finding secrets whose SHA-256 hashes share them.
    pub fn find(&self, hash: &KeyHash) -> Option<&KeyGrant> {
        let grants = self.by_prefix.get(&hash.prefix())?;
        grants
            .iter()
            .fold(None, |found, grant| if grant.hash.matches(hash) { Some(grant) } else { found })
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.by_prefix.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.by_prefix.is_empty()
    }
}
