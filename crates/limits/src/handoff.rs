//! How a [`RateHolder`] takes over a shard and hands it off.
//!
//! Tokens granted by the previous holder can be spent until they expire. A new holder therefore counts them as
//! outstanding. It uses a bucket level only from a message sent under exactly the claim that its own claim replaced.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName};

use crate::{
    bucket::RateBucket,
    holder::{
        ActiveAccount, HeldShard, HolderAction, PendingHandoff, RateHolder, ReceivedHandoff,
        refill_start,
    },
    message::{AccountReserve, HandoffBucket, RateMessage},
    reserve_table::BackupShard,
    shard::{RateRow, ShardClaim},
};

/// The interval at which an unconfirmed handoff is sent again.
const RESEND_MS: u64 = 50;

impl RateHolder {
    pub(crate) fn start_shard(
        &mut self,
        now: ClockTime,
        shard: u16,
        claim: ShardClaim,
        previous: Option<&ShardClaim>,
        rows: BTreeMap<AccountName, RateRow>,
    ) {
        let received = self
            .received_handoffs
            .remove(&shard)
            .filter(|handoff| Some(&handoff.claim) == previous);
        let guaranteed =
            self.backup_shards.remove(&shard).filter(|backup| Some(&backup.claim) == previous);
        self.pending_handoffs.remove(&shard);
        let granted_until = now + RateBucket::grant_lifetime();
        let mut held = HeldShard {
            claim,
            refill_start: granted_until,
            rows,
            accounts: BTreeMap::new(),
            unresponsive_backup: None,
        };
        match (received, guaranteed) {
            (Some(received), _) => {
                self.counters.started_handoff += 1;
                held.refill_start = received.refill_start;
                for bucket in received.accounts {
                    held.init_account(now, &bucket.account, bucket.level, Some(bucket.outstanding));
                }
            }
            (None, Some(guaranteed)) => {
                self.counters.started_reserve += 1;
                for (name, (_, reserve)) in guaranteed.accounts {
                    held.init_account(now, &name, reserve, None);
                }
            }
            (None, None) => {
                self.counters.started_empty += 1;
                // Without an earlier claim, no tokens can have been granted.
                if previous.is_none() {
                    held.refill_start = now;
                }
            }
        }
        self.shards.insert(shard, held);
    }

    pub(crate) fn stop_shard(
        &mut self,
        now: ClockTime,
        shard: u16,
        to: Option<VmName>,
        actions: &mut Vec<HolderAction>,
    ) {
        let Some(mut held) = self.shards.remove(&shard) else { return };
        let names: Vec<AccountName> = held.accounts.keys().cloned().collect();
        // `refill_start` doesn't describe accounts that became known only under this claim. Before `refill_start`,
        // the handoff therefore lists all accounts of the shard and not only those with state.
        let all: Vec<AccountName> =
            if now < held.refill_start { held.rows.keys().cloned().collect() } else { names };
        let mut accounts = Vec::new();
        for name in all {
            let Some(account) = held.account(now, &name) else { continue };
            account.bucket.advance(now);
            accounts.push(HandoffBucket {
                account: name,
                level: account.bucket.level(),
                outstanding: account.bucket.outstanding(),
            });
        }
        let claim = held.claim;
        match to {
            Some(vm) if vm == self.settings.node.vm => {
                let refill_start = held.refill_start;
                self.received_handoffs
                    .insert(shard, ReceivedHandoff { claim, refill_start, accounts });
                actions.push(HolderAction::HandoffReceived { shard });
            }
            Some(to) => {
                let refill_start = held.refill_start;
                let handoff = PendingHandoff { to, sent: now, refill_start, claim, accounts };
                actions.push(handoff.message(now, shard));
                self.pending_handoffs.insert(shard, handoff);
            }
            None => {}
        }
    }

    pub(crate) fn resend_handoffs(&mut self, now: ClockTime, actions: &mut Vec<HolderAction>) {
        for (shard, handoff) in &mut self.pending_handoffs {
            if now.since(handoff.sent).as_ms() >= RESEND_MS {
                handoff.sent = now;
                actions.push(handoff.message(now, *shard));
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn receive_handoff(
        &mut self,
        now: ClockTime,
        from: &NodeId,
        shard: u16,
        claim: ShardClaim,
        held: ClockSpan,
        accounts: Vec<HandoffBucket>,
        actions: &mut Vec<HolderAction>,
    ) {
        let ack = RateMessage::HandoffAck { shard, claim: claim.clone() };
        actions.push(HolderAction::Send { to: from.vm.clone(), message: ack });
        let older = self
            .received_handoffs
            .get(&shard)
            .is_some_and(|handoff| handoff.claim.serial >= claim.serial);
        if older || self.shards.contains_key(&shard) {
            return;
        }
        let refill_start = refill_start(now, held);
        self.received_handoffs.insert(shard, ReceivedHandoff { claim, refill_start, accounts });
        actions.push(HolderAction::HandoffReceived { shard });
    }

    pub(crate) fn receive_reserves(
        &mut self,
        from: &NodeId,
        shard: u16,
        claim: ShardClaim,
        accounts: &[AccountReserve],
        actions: &mut Vec<HolderAction>,
    ) {
        let guaranteed =
            self.backup_shards.entry(shard).or_insert_with(|| BackupShard::new(claim.clone()));
        if claim.serial > guaranteed.claim.serial {
            *guaranteed = BackupShard::new(claim.clone());
        }
        if guaranteed.claim != claim || self.shards.contains_key(&shard) {
            return;
        }
        guaranteed.apply(accounts);
        let accounts = accounts.iter().map(|reserve| (reserve.account.clone(), reserve.serial));
        let message = RateMessage::ReserveAck { shard, claim, accounts: accounts.collect() };
        actions.push(HolderAction::Send { to: from.vm.clone(), message });
    }
}

impl HeldShard {
    // If the number of outstanding tokens is unknown, all tokens beyond the guaranteed reserve count as granted.
    fn init_account(
        &mut self,
        now: ClockTime,
        name: &AccountName,
        level: u64,
        outstanding: Option<u64>,
    ) {
        let Some(row) = self.rows.get(name).copied().filter(|row| row.burst > 0) else { return };
        let capacity = RateBucket::capacity(row);
        let level = level.min(capacity);
        let granted_before = outstanding.unwrap_or(capacity - level);
        let bucket = RateBucket::new(row, level, granted_before, now);
        self.accounts.insert(name.clone(), ActiveAccount::new(bucket, now));
    }
}

impl PendingHandoff {
    fn message(&self, now: ClockTime, shard: u16) -> HolderAction {
        let message = RateMessage::Handoff {
            shard,
            claim: self.claim.clone(),
            held: now.since(self.refill_start),
            accounts: self.accounts.clone(),
        };
        HolderAction::Send { to: self.to.clone(), message }
    }
}
