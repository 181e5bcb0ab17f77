//! The holder of a zone's token buckets.
//!
//! A holder grants prepaid tokens only for shards that it has claimed in the store, and only during its lease term.
//! Accounts whose bucket is full and idle need no state.

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

/// A bucket's capacity divided by this may be prepaid; tokens idle at one router are unavailable to the others.
const PREPAID_DIVISOR: u64 = 4;

/// The tokens remaining after a request, divided by this, may be granted beyond its required tokens.
const EXTRA_DIVISOR: u64 = 8;

/// The shortest retry delay; within this time a responsive backup confirms the release of its reserve.
const MIN_RETRY_MS: u64 = 5;

/// An event handled by [`RateHolder::handle`].
#[derive(Clone, Debug)]
pub enum HolderEvent {
    /// The end of the lease term of this process, or `None` without a term.
    Term(Option<ClockTime>),
    /// The backup of each shard, indexed by shard number.
    Backups(Vec<Option<NodeId>>),
    /// The process claimed a shard and holds it from now on.
    Start {
        /// The number of the shard.
        shard: u16,
        /// The claim written by this process.
        claim: ShardClaim,
        /// The claim that it replaced, if any.
        previous: Option<ShardClaim>,
        /// The zone's rows of the shard's accounts.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// Rows of a held shard changed.
    Rows {
        /// The number of the shard.
        shard: u16,
        /// The changed rows, which may be used from now on.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// The shard continues to be held, under a new claim.
    ClaimRenewed {
        /// The number of the shard.
        shard: u16,
        /// The new claim.
        claim: ShardClaim,
    },
    /// The process no longer holds the shard and hands it off to the VM `to`, if there is one.
    Stop {
        /// The number of the shard.
        shard: u16,
        /// The next holder, which may be this VM itself.
        to: Option<VmName>,
    },
    /// A peer sent a message.
    Peer {
        /// The process that sent the message.
        from: NodeId,
        /// The received message.
        message: RateMessage,
    },
    /// Periodic call that drives reserves and repeated messages.
    Tick,
}

/// An action of a [`RateHolder`].
#[derive(Clone, Debug)]
pub enum HolderAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver's VM.
        to: VmName,
        /// The message to send.
        message: RateMessage,
    },
    /// The previous holder handed off a shard to this process.
    HandoffReceived {
        /// The number of the shard.
        shard: u16,
    },
    /// A backup does not confirm that its reserve was released; a new claim voids the guarantee.
    RenewClaim {
        /// The number of the shard.
        shard: u16,
    },
}

/// Counters of a [`RateHolder`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderCounters {
    /// The number of tokens granted.
    pub granted: u64,
    /// The number of requests for which the bucket had fewer available tokens than required.
    #[serde(rename = "short")]
    pub insufficient: u64,
    /// The number of requests received while this process may not hold the account's shard.
    pub not_holder: u64,
    /// The number of shards taken over with the bucket levels of a handoff.
    #[serde(rename = "started_handed")]
    pub started_handoff: u64,
    /// The number of shards taken over with the reserves guaranteed to the backup.
    pub started_reserve: u64,
    /// The number of shards taken over with empty buckets.
    pub started_empty: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ActiveAccount {
    pub(crate) bucket: RateBucket,
    pub(crate) demand: DemandMeter,
    pub(crate) reserves: ReserveTable,
    pub(crate) last_request: ClockTime,
    /// Whether the account's row is being written; the state must be kept until the write completes.
    write_pending: bool,
    /// The number of the last request answered for each requester.
    last_served: BTreeMap<NodeId, u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct HeldShard {
    pub(crate) claim: ShardClaim,
    /// The time at which buckets without state counted as empty; they have refilled since then.
    pub(crate) refill_start: ClockTime,
    pub(crate) rows: BTreeMap<AccountName, RateRow>,
    pub(crate) accounts: BTreeMap<AccountName, ActiveAccount>,
    /// The backup that did not confirm earlier reserve guarantees and receives no further ones.
    pub(crate) unresponsive_backup: Option<NodeId>,
}

/// A shard handed off by the previous holder, until this process has claimed it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedHandoff {
    pub(crate) claim: ShardClaim,
    pub(crate) refill_start: ClockTime,
    pub(crate) accounts: Vec<HandoffBucket>,
}

/// A shard handed off by this process, until the new holder confirms it.
#[derive(Clone, Debug)]
pub(crate) struct PendingHandoff {
    pub(crate) to: VmName,
    pub(crate) sent: ClockTime,
    pub(crate) refill_start: ClockTime,
    pub(crate) claim: ShardClaim,
    pub(crate) accounts: Vec<HandoffBucket>,
}

/// The holder of the token buckets of those shards that this process holds in its zone.
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
    /// Returns the account's state; if it has none, creates it with the refill since `refill_start`.
    pub(crate) fn account(
        &mut self,
        now: ClockTime,
        account: &AccountName,
    ) -> Option<&mut ActiveAccount> {
        let row = self.rows.get(account).copied().filter(|row| row.burst > 0)?;
        let refill_start = self.refill_start;
        Some(self.accounts.entry(account.clone()).or_insert_with(|| {
            // Before `refill_start`, tokens granted by an earlier holder may still be spent.
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
    /// Returns a holder without any shard.
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

    /// Handles one event and appends the resulting actions to `actions`.
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

    /// Returns whether this process may grant tokens of `shard` at `now`.
    pub fn holds(&self, now: ClockTime, shard: u16) -> bool {
        self.shards.contains_key(&shard) && self.term.is_some_and(|end| now < end)
    }

    /// Returns the number of accounts with state.
    pub fn active_accounts(&self) -> usize {
        self.shards.values().map(|held| held.accounts.len()).sum()
    }

    /// Returns the number of shards handed off whose new holder has not confirmed the handoff.
    pub fn unconfirmed(&self) -> usize {
        self.pending_handoffs.len()
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> HolderCounters {
        self.counters
    }

    /// Returns the demand of the active accounts of a held shard, in tokens per second. Empty for any other shard.
    pub fn demands(&mut self, now: ClockTime, shard: u16) -> BTreeMap<AccountName, u64> {
        let accounts = self.shards.get_mut(&shard).into_iter().flat_map(|held| &mut held.accounts);
        accounts.map(|(name, account)| (name.clone(), account.demand.rate(now))).collect()
    }

    /// Lowers rows immediately as far as the outstanding tokens allow, and returns the rows in use from now on.
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
            // Until the result of the write is known, the level can't be derived from the row and needs state.
            if let Some(account) = held.account(now, name) {
                account.write_pending = true;
                account.bucket.advance(now);
                // A backup may start with its reserve while the granted tokens are still outstanding.
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
            // A raised row starts with the tokens of the smaller one, so the bucket needs state before the change.
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
        // A repeated request must not be granted twice: the requester uses only one of the grants.
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

    // Updates the reserves and drops the state of accounts that no longer need it.
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

/// Returns a time from which buckets have refilled on every clock, if the previous holder held them for `held`.
pub(crate) fn refill_start(now: ClockTime, held: ClockSpan) -> ClockTime {
    now - min_drifted_span(held)
}
