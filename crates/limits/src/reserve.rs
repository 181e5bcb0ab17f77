//! The part of each bucket that a holder promises to its backup.
//!
//! A new holder starts with what was promised instead of an empty bucket. The holder doesn't issue a promised token
//! before the backup has confirmed a lower promise.

use godwitroad_base::{AccountName, ClockTime, NodeId};

use crate::{
    bucket::RateBucket,
    holder::{HeldShard, HolderAction, RateHolder},
    message::{AccountPledge, RateMessage},
};

/// The part of a bucket's level that is promised to the backup.
const RESERVE_PART: u64 = 4;

/// The time without an ask after which an account's state is dropped once its bucket is full.
pub(crate) const QUIET_MS: u64 = 60_000;

impl RateHolder {
    pub(crate) fn pledge(&mut self, now: ClockTime, shard: u16, actions: &mut Vec<HolderAction>) {
        let backup = self.backups.get(usize::from(shard)).cloned().flatten();
        let Some(held) = self.shards.get_mut(&shard) else { return };
        let crowded = held.accounts.values().any(|account| account.pledges.crowded());
        let mut books = held.accounts.values().map(|account| &account.pledges);
        if crowded || books.any(|book| !book.others(backup.as_ref()).is_empty()) {
            // A backup that confirms nothing would keep its reserve from use for ever.
            held.silent = backup.clone().filter(|_| crowded);
            actions.push(HolderAction::Renew { shard });
        }
        let Some(backup) = backup.filter(|backup| held.silent.as_ref() != Some(backup)) else {
            return;
        };
        let mut accounts = Vec::new();
        for (name, account) in &mut held.accounts {
            account.bucket.advance(now);
            let quiet = now.since(account.used).as_ms() >= QUIET_MS;
            let reserve = if quiet { 0 } else { account.bucket.level() / RESERVE_PART };
            let newest = account.pledges.newest(&backup);
            let moved = newest.abs_diff(reserve) > RateBucket::capacity(account.bucket.row()) / 16;
            // A lower promise is repeated until it is confirmed, since the message or its answer may be lost.
            let open = account.pledges.floor() > newest;
            if moved || open || reserve == 0 && newest > 0 {
                self.serial += 1;
                let serial = self.serial;
                account.pledges.promise(now, &backup, serial, reserve);
                accounts.push(AccountPledge { account: name.clone(), serial, reserve });
            }
        }
        if !accounts.is_empty() {
            let claim = held.claim.clone();
            let message = RateMessage::Pledge { shard, claim, backup: backup.clone(), accounts };
            actions.push(HolderAction::Send { to: backup.vm, message });
        }
    }
}

// Frees the reserve of an account that needs it: the backup must confirm first.
pub(crate) fn send_lowered(
    now: ClockTime,
    shard: u16,
    held: &mut HeldShard,
    name: &AccountName,
    backups: &[Option<NodeId>],
    serial: u64,
    actions: &mut Vec<HolderAction>,
) {
    let Some(Some(backup)) = backups.get(usize::from(shard)) else { return };
    let claim = held.claim.clone();
    let Some(account) = held.accounts.get_mut(name) else { return };
    let recent = account.pledges.sent.is_some_and(|sent| now.since(sent).as_ms() < 20);
    if account.pledges.crowded() || recent && account.pledges.newest(backup) == 0 {
        return;
    }
    account.pledges.promise(now, backup, serial, 0);
    let pledge = AccountPledge { account: name.clone(), serial, reserve: 0 };
    let accounts = vec![pledge];
    let message = RateMessage::Pledge { shard, claim, backup: backup.clone(), accounts };
    actions.push(HolderAction::Send { to: backup.vm.clone(), message });
}
