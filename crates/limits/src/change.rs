//! How a [`RateHolder`] takes a shard over and gives it up.
//!
//! What the last holder may have granted can be spent until it expires. A new holder therefore counts those tokens
//! as outstanding, and it uses a level only from a message under exactly the claim that its own claim replaced.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName};

use crate::{
    bucket::RateBucket,
    holder::{
        ActiveAccount, HeldShard, HolderAction, LeavingShard, RateHolder, ReceivedShard,
        filled_since,
    },
    message::{AccountPledge, HandedBucket, RateMessage},
    pledge::PromisedShard,
    shard::{RateRow, ShardClaim},
};

/// The time after which an unconfirmed hand-over is sent again.
const RESEND_MS: u64 = 50;

impl RateHolder {
    pub(crate) fn start(
        &mut self,
        now: ClockTime,
        shard: u16,
        claim: ShardClaim,
        previous: Option<&ShardClaim>,
        rows: BTreeMap<AccountName, RateRow>,
    ) {
        let received = self.received.remove(&shard).filter(|it| Some(&it.claim) == previous);
        let promised = self.promised.remove(&shard).filter(|it| Some(&it.claim) == previous);
        self.leaving.remove(&shard);
        let later = now + RateBucket::grant_life();
        let mut held =
            HeldShard { claim, since: later, rows, accounts: BTreeMap::new(), silent: None };
        match (received, promised) {
            (Some(received), _) => {
                self.counters.started_handed += 1;
                held.since = received.since;
                for handed in received.accounts {
                    held.begin(now, &handed.account, handed.level, Some(handed.outstanding));
                }
            }
            (None, Some(promised)) => {
                self.counters.started_reserve += 1;
                for (name, (_, reserve)) in promised.accounts {
                    held.begin(now, &name, reserve, None);
                }
            }
            (None, None) => {
                self.counters.started_empty += 1;
                // Nobody can have granted anything before the first claim.
                if previous.is_none() {
                    held.since = now;
                }
            }
        }
        self.shards.insert(shard, held);
    }

    pub(crate) fn stop(
        &mut self,
        now: ClockTime,
        shard: u16,
        to: Option<VmName>,
        actions: &mut Vec<HolderAction>,
    ) {
        let Some(mut held) = self.shards.remove(&shard) else { return };
        let names: Vec<AccountName> = held.accounts.keys().cloned().collect();
        // An account that became known only under this claim isn't covered by the time since which the shard is
        // held, so a shard taken over in part goes on as a list of all its accounts.
        let all: Vec<AccountName> =
            if now < held.since { held.rows.keys().cloned().collect() } else { names };
        let mut accounts = Vec::new();
        for name in all {
            let Some(account) = held.account(now, &name) else { continue };
            account.bucket.advance(now);
            accounts.push(HandedBucket {
                account: name,
                level: account.bucket.level(),
                outstanding: account.bucket.outstanding(),
            });
        }
        let claim = held.claim;
        match to {
            Some(vm) if vm == self.settings.node.vm => {
                let since = held.since;
                self.received.insert(shard, ReceivedShard { claim, since, accounts });
                actions.push(HolderAction::Received { shard });
            }
            Some(to) => {
                let since = held.since;
                let leaving = LeavingShard { to, sent: now, since, claim, accounts };
                actions.push(leaving.message(now, shard));
                self.leaving.insert(shard, leaving);
            }
            None => {}
        }
    }

    pub(crate) fn resend(&mut self, now: ClockTime, actions: &mut Vec<HolderAction>) {
        for (shard, leaving) in &mut self.leaving {
            if now.since(leaving.sent).as_ms() >= RESEND_MS {
                leaving.sent = now;
                actions.push(leaving.message(now, *shard));
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(crate) fn receive(
        &mut self,
        now: ClockTime,
        from: &NodeId,
        shard: u16,
        claim: ShardClaim,
        held: ClockSpan,
        accounts: Vec<HandedBucket>,
        actions: &mut Vec<HolderAction>,
    ) {
        let ack = RateMessage::HandOverAck { shard, claim: claim.clone() };
        actions.push(HolderAction::Send { to: from.vm.clone(), message: ack });
        let older = self.received.get(&shard).is_some_and(|it| it.claim.serial >= claim.serial);
        if older || self.shards.contains_key(&shard) {
            return;
        }
        let since = filled_since(now, held);
        self.received.insert(shard, ReceivedShard { claim, since, accounts });
        actions.push(HolderAction::Received { shard });
    }

    pub(crate) fn take_pledges(
        &mut self,
        from: &NodeId,
        shard: u16,
        claim: ShardClaim,
        accounts: &[AccountPledge],
        actions: &mut Vec<HolderAction>,
    ) {
        let promised =
            self.promised.entry(shard).or_insert_with(|| PromisedShard::new(claim.clone()));
        if claim.serial > promised.claim.serial {
            *promised = PromisedShard::new(claim.clone());
        }
        if promised.claim != claim || self.shards.contains_key(&shard) {
            return;
        }
        promised.take(accounts);
        let accounts = accounts.iter().map(|pledge| (pledge.account.clone(), pledge.serial));
        let message = RateMessage::PledgeAck { shard, claim, accounts: accounts.collect() };
        actions.push(HolderAction::Send { to: from.vm.clone(), message });
    }
}

impl HeldShard {
    // Without a figure for what the last holder has granted, all that its promise left is taken as granted.
    fn begin(&mut self, now: ClockTime, name: &AccountName, level: u64, outstanding: Option<u64>) {
        let Some(row) = self.rows.get(name).copied().filter(|row| row.burst > 0) else { return };
        let capacity = RateBucket::capacity(row);
        let level = level.min(capacity);
        let earlier = outstanding.unwrap_or(capacity - level);
        let bucket = RateBucket::new(row, level, earlier, now);
        self.accounts.insert(name.clone(), ActiveAccount::new(bucket, now));
    }
}

impl LeavingShard {
    fn message(&self, now: ClockTime, shard: u16) -> HolderAction {
        let message = RateMessage::HandOver {
            shard,
            claim: self.claim.clone(),
            held: now.since(self.since),
            accounts: self.accounts.clone(),
        };
        HolderAction::Send { to: self.to.clone(), message }
    }
}
