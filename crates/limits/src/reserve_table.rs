//! The reserves that a holder guarantees to its backups, and those that were guaranteed to this process as a backup.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockTime, NodeId};

use crate::{message::AccountReserve, shard::ShardClaim};

/// The reserve guarantees for one account: the newest confirmed one and the unconfirmed ones after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReserveTable {
    /// Backup, serial number and reserve of each guarantee still in effect.
    open: Vec<(NodeId, u64, u64)>,
    /// The time at which the newest guarantee was sent.
    pub(crate) sent: Option<ClockTime>,
}

impl ReserveTable {
    /// Returns the number of tokens that may not be granted: the largest reserve that any backup may rely on.
    pub(crate) fn reserved(&self) -> u64 {
        self.open.iter().map(|(_, _, reserve)| *reserve).max().unwrap_or(0)
    }

    /// Returns the newest reserve guaranteed to `node`.
    pub(crate) fn latest_reserve(&self, node: &NodeId) -> u64 {
        let own = self.open.iter().filter(|(backup, _, _)| backup == node);
        own.max_by_key(|(_, serial, _)| *serial).map_or(0, |(_, _, reserve)| *reserve)
    }

    /// Returns the backups other than `node` that may rely on a reserve.
    pub(crate) fn other_backups(&self, node: Option<&NodeId>) -> Vec<NodeId> {
        let mut backups: Vec<NodeId> = self
            .open
            .iter()
            .filter(|(backup, _, reserve)| Some(backup) != node && *reserve > 0)
            .map(|(backup, _, _)| backup.clone())
            .collect();
        backups.sort();
        backups.dedup();
        backups
    }

    pub(crate) fn record(&mut self, now: ClockTime, node: &NodeId, serial: u64, reserve: u64) {
        self.sent = Some(now);
        self.open.push((node.clone(), serial, reserve));
    }

    /// Returns whether too many guarantees are unconfirmed for a further one to be sent.
    pub(crate) fn is_saturated(&self) -> bool {
        self.open.len() >= 8
    }

    /// Drops the guarantees that the confirmed one replaces, and the confirmed one as well if it reserves nothing.
    pub(crate) fn confirm(&mut self, node: &NodeId, serial: u64) {
        self.open.retain(|(backup, number, _)| backup != node || *number >= serial);
        self.open.retain(|(backup, number, reserve)| {
            backup != node || *reserve > 0 || *number != serial
        });
    }

    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

/// The reserves guaranteed to this process as the backup of one shard.
#[derive(Clone, Debug)]
pub(crate) struct BackupShard {
    pub(crate) claim: ShardClaim,
    /// Serial number and reserve of the newest guarantee for each account.
    pub(crate) accounts: BTreeMap<AccountName, (u64, u64)>,
}

impl BackupShard {
    pub(crate) fn new(claim: ShardClaim) -> BackupShard {
        BackupShard { claim, accounts: BTreeMap::new() }
    }

    /// Applies guarantees; a delayed one with a lower serial number is ignored.
    pub(crate) fn apply(&mut self, reserves: &[AccountReserve]) {
        for reserve in reserves {
            let newest = self.accounts.entry(reserve.account.clone()).or_insert((0, 0));
            if reserve.serial > newest.0 {
                *newest = (reserve.serial, reserve.reserve);
            }
        }
    }
}
