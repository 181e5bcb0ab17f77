//! Which client accounts share cached segments.
//!
//! Accounts that aren't isolated share what their requests left in the targets' caches. When one of them becomes isolated, what it
//! left there must not be found any more, so the shared salt names the set of isolated accounts: under one salt, only requests of
//! accounts outside that set were ever sent. All routers derive the same name from the configuration, also after a restart.

use std::{collections::BTreeSet, sync::Arc};

use godwitroad_base::AccountName;
use xxhash_rust::xxh3::Xxh3;

use crate::AccountRule;

/// The isolated accounts of a configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct IsolatedAccounts {
    names: BTreeSet<AccountName>,
    // The name of the set: empty if no account is isolated.
    tag: String,
}

/// Marks the tag in a salt. No name of an account has this character.
const TAG_MARK: char = '~';

impl IsolatedAccounts {
    /// Returns those among the accounts that are isolated.
    pub(crate) fn new(accounts: &[Arc<AccountRule>]) -> IsolatedAccounts {
        let isolated = accounts.iter().filter(|account| account.isolated);
        let names: BTreeSet<AccountName> = isolated.map(|account| account.name.clone()).collect();
        if names.is_empty() {
            return IsolatedAccounts::default();
        }
        let mut hasher = Xxh3::new();
        for name in &names {
            hasher.update(name.as_str().as_bytes());
            // Ends each name, so that no two sets have the same bytes.
            hasher.update(&[0]);
        }
        IsolatedAccounts { names, tag: format!("{TAG_MARK}{:016x}", hasher.digest()) }
    }

    /// Returns the part of the salt that separates an account's cached segments from those of others.
    pub(crate) fn salt_of<'a>(&'a self, account: Option<&'a AccountRule>) -> &'a str {
        // A request may have been admitted under an older configuration.
        let is_isolated =
            |account: &&AccountRule| account.isolated || self.names.contains(&account.name);
        account.filter(is_isolated).map_or(self.tag.as_str(), |account| account.name.as_str())
    }
}
