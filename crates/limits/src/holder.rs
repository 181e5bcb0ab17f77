//! The holder of a zone's buckets.
//!
//! A holder issues prepaid tokens only for shards that it has claimed in the store and only within its term. Its
//! state is small: accounts whose bucket is full and idle have none.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName};
use godwitroad_member::min_drifted_span;
use serde::{Deserialize, Serialize};

use crate::{
    bucket::RateBucket,
    demand::DemandMeter,
    message::{AccountGrant, AccountRequest, HandoffBucket, RateMessage},
    reserve::{IDLE_ACCOUNT_MS, release_reserve},
    reserve_table::{BackupShard, ReserveTable},
    settings::RateSettings,
    shard::{RateRow, ShardClaim, shard_of},
};

/// The part of a bucket's capacity that may be prepaid: tokens that lie idle in one router are missed in another.
const PREPAID_DIVISOR: u64 = 4;

/// The part of a bucket's level that one ask can get beyond its need.
const EXTRA_DIVISOR: u64 = 8;

/// The shortest time after which an asker tries again: a reserve is free by then if the backup answers.
const MIN_RETRY_MS: u64 = 5;

/// An event that [`RateHolder::handle`] takes.
#[derive(Clone, Debug)]
pub enum HolderEvent {
    /// The term until which this process may hold shards.
    Term(Option<ClockTime>),
    /// The backup of each shard, by its number.
    Backups(Vec<Option<NodeId>>),
    /// The process claimed a shard.
    Start {
        /// The shard.
        shard: u16,
        /// The claim.
        claim: ShardClaim,
        /// The claim that it replaced.
        previous: Option<ShardClaim>,
        /// The zone's rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// Rows of a held shard changed.
    Rows {
        /// The shard.
        shard: u16,
        /// The new rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// The shard is held under a new claim without a break.
    ClaimRenewed {
        /// The shard.
        shard: u16,
        /// The new claim.
        claim: ShardClaim,
    },
    /// The process gives a shard up, to the VM `to` if there is one.
    Stop {
        /// The shard.
        shard: u16,
        /// The next holder, which can be this VM itself.
        to: Option<VmName>,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: RateMessage,
    },
    /// Time passed.
    Tick,
}

/// An action of a [`RateHolder`].
#[derive(Clone, Debug)]
pub enum HolderAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: RateMessage,
    },
    /// A shard was received from its last holder.
    HandoffReceived {
        /// The shard.
        shard: u16,
    },
    /// Promises to an earlier backup can't be confirmed; a new claim would void them.
    RenewClaim {
        /// The shard.
        shard: u16,
    },
}

/// Counters of a [`RateHolder`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderCounters {
    /// The tokens granted.
    pub granted: u64,
    /// The asks that got no token because the bucket was short.
    #[serde(rename = "short")]
    pub insufficient: u64,
    /// The asks that reached a process that may not hold the account.
    pub not_holder: u64,
    /// The shards taken over with the level that the last holder handed over.
    pub started_handed: u64,
    /// The shards taken over with the reserve promised to the backup.
    pub started_reserve: u64,
    /// The shards taken over empty.
    pub started_empty: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ActiveAccount {
    pub(crate) bucket: RateBucket,
    pub(crate) demand: DemandMeter,
    pub(crate) reserves: ReserveTable,
    pub(crate) last_request: ClockTime,
    /// Whether a write of the account's row is under way, so that the level must be known until it ends.
    write_pending: bool,
    last_served: BTreeMap<NodeId, u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct HeldShard {
    pub(crate) claim: ShardClaim,
    /// Buckets without state are as full as the refill since then makes them.
    pub(crate) refill_start: ClockTime,
    pub(crate) rows: BTreeMap<AccountName, RateRow>,
    pub(crate) accounts: BTreeMap<AccountName, ActiveAccount>,
    /// The backup that hasn't confirmed its pledges and gets no more.
    pub(crate) unresponsive_backup: Option<NodeId>,
}

/// What the last holder handed over.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedHandoff {
    pub(crate) claim: ShardClaim,
    pub(crate) refill_start: ClockTime,
    pub(crate) accounts: Vec<HandoffBucket>,
}

/// A shard that was handed over and isn't confirmed yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingHandoff {
    pub(crate) to: VmName,
    pub(crate) sent: ClockTime,
    pub(crate) refill_start: ClockTime,
    pub(crate) claim: ShardClaim,
    pub(crate) accounts: Vec<HandoffBucket>,
}

/// The holder of a zone's buckets.
#[derive(Debug)]
pub struct RateHolder {
    pub(crate) settings: RateSettings,
    pub(crate) term: Option<ClockTime>,
    pub(crate) backups: Vec<Option<NodeId>>,
    pub(crate) shards: BTreeMap<u16, HeldShard>,
    pub(crate) backup_shards: BTreeMap<u16, BackupShard>,
    pub(crate) received_handoffs: BTreeMap<u16, ReceivedHandoff>,
    pub(crate) pending_handoffs: BTreeMap<u16, PendingHandoff>,
    pub(crate) serial: u64,
    pub(crate) last_sweep: ClockTime,
    pub(crate) counters: HolderCounters,
}

impl HeldShard {
    /// Returns the account's state, made from the refill since the shard was taken when there is none.
    pub(crate) fn account(
        &mut self,
        now: ClockTime,
        account: &AccountName,
    ) -> Option<&mut ActiveAccount> {
        let row = self.rows.get(account).copied().filter(|row| row.burst > 0)?;
        let refill_start = self.refill_start;
        Some(self.accounts.entry(account.clone()).or_insert_with(|| {
            // Before `since`, an earlier holder's grants may still be spent.
            let blocked = if now < refill_start { RateBucket::capacity(row) } else { 0 };
            let level = RateBucket::refill(row, now.since(refill_start));
            ActiveAccount::new(RateBucket::new(row, level, blocked, now), now)
        }))
    }
}

impl ActiveAccount {
    pub(crate) fn new(bucket: RateBucket, now: ClockTime) -> ActiveAccount {
        ActiveAccount {
            bucket,
            demand: DemandMeter::new(now),
            reserves: ReserveTable::default(),
            last_request: now,
            write_pending: false,
            last_served: BTreeMap::new(),
        }
    }
}

impl RateHolder {
    /// Returns a holder that holds nothing yet.
    pub fn new(settings: RateSettings, now: ClockTime) -> RateHolder {
        RateHolder {
            settings,
            term: None,
            backups: Vec::new(),
            shards: BTreeMap::new(),
            backup_shards: BTreeMap::new(),
            received_handoffs: BTreeMap::new(),
            pending_handoffs: BTreeMap::new(),
            serial: 0,
            last_sweep: now,
            counters: HolderCounters::default(),
        }
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: HolderEvent, actions: &mut Vec<HolderAction>) {
        match event {
            HolderEvent::Term(term) => self.term = term,
            HolderEvent::Backups(backups) => self.backups = backups,
            HolderEvent::Start { shard, claim, previous, rows } => {
                self.start_shard(now, shard, claim, previous.as_ref(), rows);
            }
            HolderEvent::Rows { shard, rows } => self.set_rows(now, shard, rows),
            HolderEvent::ClaimRenewed { shard, claim } => {
                if let Some(held) = self.shards.get_mut(&shard) {
                    held.claim = claim;
                    held.accounts.values_mut().for_each(|account| account.reserves.clear());
                }
            }
            HolderEvent::Stop { shard, to } => self.stop_shard(now, shard, to, actions),
            HolderEvent::Peer { from, message } => {
                self.handle_message(now, &from, message, actions)
            }
            HolderEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns whether this process may issue tokens of `shard` at `now`.
    pub fn holds(&self, now: ClockTime, shard: u16) -> bool {
        self.shards.contains_key(&shard) && self.term.is_some_and(|end| now < end)
    }

    /// Returns the number of accounts that have state.
    pub fn active_accounts(&self) -> usize {
        self.shards.values().map(|held| held.accounts.len()).sum()
    }

    /// Returns the shards that were handed over and are not confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.pending_handoffs.len()
    }

    /// Returns the counters.
    pub fn counters(&self) -> HolderCounters {
        self.counters
    }

    /// Returns the demand of the active accounts of a held shard, in tokens per second.
    pub fn demands(&mut self, now: ClockTime, shard: u16) -> BTreeMap<AccountName, u64> {
        let accounts = self.shards.get_mut(&shard).into_iter().flat_map(|held| &mut held.accounts);
        accounts.map(|(name, account)| (name.clone(), account.demand.rate(now))).collect()
    }

    /// Lowers rows at once as far as the granted tokens allow, and returns the rows that are now in use.
    pub fn lower_rows(
        &mut self,
        now: ClockTime,
        shard: u16,
        rows: &BTreeMap<AccountName, RateRow>,
    ) -> BTreeMap<AccountName, RateRow> {
        let Some(held) = self.shards.get_mut(&shard) else { return BTreeMap::new() };
        let mut lowered = BTreeMap::new();
        for (name, requested) in rows {
            let Some(current) = held.rows.get(name).copied() else { continue };
            let mut row = current.componentwise_min(*requested);
            // While it isn't known whether a larger row was written, the level can't follow from the row.
            if let Some(account) = held.account(now, name) {
                account.write_pending = true;
                account.bucket.advance(now);
                // A backup may start with the reserve while the granted tokens are still out.
                let min_burst = match account.bucket.min_burst(current.rate) {
                    0 => 0,
                    min_burst => min_burst + account.reserves.reserved(),
                };
                row.burst = row.burst.max(min_burst).min(current.burst);
                account.bucket.set_row(now, row);
            }
            held.rows.insert(name.clone(), row);
            lowered.insert(name.clone(), row);
        }
        lowered
    }

    fn set_rows(&mut self, now: ClockTime, shard: u16, rows: BTreeMap<AccountName, RateRow>) {
        let Some(held) = self.shards.get_mut(&shard) else { return };
        for (name, row) in rows {
            let old = held.rows.get(&name).copied().unwrap_or_default();
            // A row that grows starts with the tokens of the smaller one, so the bucket must exist from now on.
            if old.burst > 0 && (row.rate > old.rate || row.burst > old.burst) {
                held.account(now, &name);
            }
            if let Some(account) = held.accounts.get_mut(&name) {
                account.write_pending = false;
                account.bucket.set_row(now, row);
            } else if old.burst == 0 && row.burst > 0 {
                let blocked = if now < held.refill_start { RateBucket::capacity(row) } else { 0 };
                let bucket = RateBucket::new(row, 0, blocked, now);
                held.accounts.insert(name.clone(), ActiveAccount::new(bucket, now));
            }
            held.rows.insert(name, row);
        }
    }

    fn handle_message(
        &mut self,
        now: ClockTime,
        from: &NodeId,
        message: RateMessage,
        actions: &mut Vec<HolderAction>,
    ) {
        match message {
            RateMessage::Request(entries) => {
                let mut grants = Vec::new();
                for entry in &entries {
                    grants.extend(self.answer_request(now, from, entry, actions));
                }
                if !grants.is_empty() {
                    let message = RateMessage::Grant(grants);
                    actions.push(HolderAction::Send { to: from.vm.clone(), message });
                }
            }
            RateMessage::Report(reports) => {
                for report in &reports {
                    let held = self.shards.get_mut(&shard_of(&report.account));
                    let account = held.and_then(|held| held.accounts.get_mut(&report.account));
                    if let Some(account) = account {
                        let bucket = &mut account.bucket;
                        bucket.apply_report(
                            now,
                            from,
                            report.serial,
                            report.spent,
                            report.returned,
                        );
                    }
                }
            }
            RateMessage::Reserve { shard, claim, backup, accounts } => {
                if backup == self.settings.node {
                    self.receive_reserves(from, shard, claim, &accounts, actions);
                }
            }
            RateMessage::ReserveAck { shard, claim, accounts } => {
                let held = self.shards.get_mut(&shard).filter(|held| held.claim == claim);
                let Some(held) = held else { return };
                for (name, serial) in &accounts {
                    if let Some(account) = held.accounts.get_mut(name) {
                        account.reserves.confirm(from, *serial);
                    }
                }
            }
            RateMessage::Handoff { shard, claim, held, accounts } => {
                self.receive_handoff(now, from, shard, claim, held, accounts, actions);
            }
            RateMessage::HandoffAck { shard, claim } => {
                if self.pending_handoffs.get(&shard).is_some_and(|handoff| handoff.claim == claim) {
                    self.pending_handoffs.remove(&shard);
                }
            }
            RateMessage::Grant(_) => {}
        }
    }

    fn answer_request(
        &mut self,
        now: ClockTime,
        from: &NodeId,
        entry: &AccountRequest,
        actions: &mut Vec<HolderAction>,
    ) -> Option<AccountGrant> {
        let shard = shard_of(&entry.account);
        let mut grant = AccountGrant {
            account: entry.account.clone(),
            requester: from.clone(),
            serial: entry.serial,
            tokens: 0,
            holds: self.holds(now, shard),
            retry_after: ClockSpan::ZERO,
        };
        if !grant.holds {
            self.counters.not_holder += 1;
            return Some(grant);
        }
        let held = self.shards.get_mut(&shard)?;
        let Some(account) = held.account(now, &entry.account) else { return Some(grant) };
        // A repeated ask must not be granted twice, since the asker would use only one of the grants.
        let last_served = account.last_served.entry(from.clone()).or_insert(0);
        if entry.serial <= *last_served {
            return None;
        }
        *last_served = entry.serial;
        account.last_request = now;
        account.bucket.advance(now);
        account.demand.add(now, if entry.partial { 0 } else { entry.required });
        let level = account.bucket.level();
        let available = level.saturating_sub(account.reserves.reserved());
        let prepaid = RateBucket::capacity(account.bucket.row()) / PREPAID_DIVISOR;
        let extra = entry.extra.min(prepaid.saturating_sub(account.bucket.outstanding()));
        grant.tokens = match available.checked_sub(entry.required) {
            Some(spare) => entry.required + extra.min(spare / EXTRA_DIVISOR),
            None if entry.partial => available,
            None => 0,
        };
        if available < entry.required {
            self.counters.insufficient += 1;
            let rate = account.bucket.row().rate.max(1);
            let missing = entry.required.saturating_sub(level);
            let refill = (missing * 1_000).div_ceil(rate);
            grant.retry_after = ClockSpan::from_ms(refill.max(MIN_RETRY_MS));
            if account.reserves.reserved() > 0 {
                self.serial += 1;
                let serial = self.serial;
                release_reserve(now, shard, held, &entry.account, &self.backups, serial, actions);
            }
        }
        if grant.tokens > 0 {
            let account = held.accounts.get_mut(&entry.account)?;
            if !account.bucket.try_grant(now, from, entry.serial, grant.tokens) {
                grant.tokens = 0;
            }
            self.counters.granted += grant.tokens;
        }
        Some(grant)
    }

    // Keeps the reserves and drops the state of accounts that need none any more.
    fn tick(&mut self, now: ClockTime, actions: &mut Vec<HolderAction>) {
        self.resend_handoffs(now, actions);
        if now.since(self.last_sweep) < self.settings.reserve_interval {
            return;
        }
        self.last_sweep = now;
        let holding = self.term.is_some_and(|end| now < end);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            if holding {
                self.update_reserves(now, shard, actions);
            }
            let Some(held) = self.shards.get_mut(&shard) else { continue };
            let refill_start = held.refill_start;
            held.accounts.retain(|_, account| {
                account.bucket.advance(now);
                let idle = now.since(account.last_request).as_ms() >= IDLE_ACCOUNT_MS;
                let full = account.bucket.is_full() && account.reserves.reserved() == 0;
                !idle || !full || account.write_pending || now < refill_start
            });
        }
    }
}

/// Returns the time from which a bucket held for `held` by its last holder has surely filled.
pub(crate) fn refill_start(now: ClockTime, held: ClockSpan) -> ClockTime {
    now - min_drifted_span(held)
}
