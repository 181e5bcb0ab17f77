//! The reserve of each bucket that a holder guarantees to its backup.
//!
//! If the backup becomes the holder, it starts with the reserve instead of an empty bucket. The holder doesn't grant
//! reserved tokens until the backup has confirmed a lower reserve.

use godwitroad_base::{AccountName, ClockTime, NodeId};

use crate::{
    bucket::RateBucket,
    holder::{HeldShard, HolderAction, RateHolder},
    message::{AccountReserve, RateMessage},
};

/// The reserve is the level of the bucket divided by this.
const RESERVE_DIVISOR: u64 = 4;

/// The time without a request after which an account is idle: its reserve is released, and its state is dropped once
/// its bucket is full.
pub(crate) const IDLE_ACCOUNT_MS: u64 = 60_000;

impl RateHolder {
    /// Sends the backup of a shard the reserves that changed, and requests a new claim where it must void guarantees.
    pub(crate) fn update_reserves(
        &mut self,
        now: ClockTime,
        shard: u16,
        actions: &mut Vec<HolderAction>,
    ) {
        let backup = self.backups.get(usize::from(shard)).cloned().flatten();
        let Some(held) = self.shards.get_mut(&shard) else { return };
        let saturated = held.accounts.values().any(|account| account.reserves.is_saturated());
        let mut tables = held.accounts.values().map(|account| &account.reserves);
        if saturated || tables.any(|table| !table.other_backups(backup.as_ref()).is_empty()) {
            // The reserve of a backup that never confirms its release would stay unavailable forever. A new claim
            // voids the guarantees.
            held.unresponsive_backup = backup.clone().filter(|_| saturated);
            actions.push(HolderAction::RenewClaim { shard });
        }
        let Some(backup) =
            backup.filter(|backup| held.unresponsive_backup.as_ref() != Some(backup))
        else {
            return;
        };
        let mut accounts = Vec::new();
        for (name, account) in &mut held.accounts {
            account.bucket.advance(now);
            let idle = now.since(account.last_request).as_ms() >= IDLE_ACCOUNT_MS;
            let reserve = if idle { 0 } else { account.bucket.level() / RESERVE_DIVISOR };
            let latest = account.reserves.latest_reserve(&backup);
            // Changes of up to a sixteenth of the capacity are not worth a message.
            let changed =
                latest.abs_diff(reserve) > RateBucket::capacity(account.bucket.row()) / 16;
            // A lower reserve is sent again until it is confirmed, as the message or its confirmation may be lost.
            let unconfirmed = account.reserves.reserved() > latest;
            if changed || unconfirmed || reserve == 0 && latest > 0 {
                self.serial += 1;
                let serial = self.serial;
                account.reserves.record(now, &backup, serial, reserve);
                accounts.push(AccountReserve { account: name.clone(), serial, reserve });
            }
        }
        if !accounts.is_empty() {
            let claim = held.claim.clone();
            let message = RateMessage::Reserve { shard, claim, backup: backup.clone(), accounts };
            actions.push(HolderAction::Send { to: backup.vm, message });
        }
    }
}

// Releases the reserve of an account that lacks tokens. The tokens become available when the backup confirms.
pub(crate) fn release_reserve(
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
    // A release that was sent less than 20 ms ago may still be confirmed.
    let recent = account.reserves.sent.is_some_and(|sent| now.since(sent).as_ms() < 20);
    if account.reserves.is_saturated() || recent && account.reserves.latest_reserve(backup) == 0 {
        return;
    }
    account.reserves.record(now, backup, serial, 0);
    let lowered = AccountReserve { account: name.clone(), serial, reserve: 0 };
    let accounts = vec![lowered];
    let message = RateMessage::Reserve { shard, claim, backup: backup.clone(), accounts };
    actions.push(HolderAction::Send { to: backup.vm.clone(), message });
}
