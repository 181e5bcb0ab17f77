//! The zone's share of each account's limits, stored in share shards.
//!
//! Only the holder of a shard in a zone changes the zone's rows. It lowers the rows in use before it writes lower ones,
//! and uses higher rows only after their write is confirmed. The sum of the rows in use over all zones therefore never
//! exceeds the limits, whichever replies are lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, SeededRandom, ZoneName};
use godwitroad_store::{
    CallId, KeyVersion, StoreEntry, StoreFailure, StoreOutcome, StoreReply, StoreRequest,
};

use crate::{
    bucket::RateBucket,
    message::RateTable,
    plan::{planned_rows, updated_value, usable_row},
    settings::{RateSettings, SHARE_SHARDS},
    shard::{RateRow, ShardClaim, ShardValue, shard_of},
    share_events::{ShareAction, ShareEvent},
    view::OwnershipView,
};

/// The base of the exponential backoff after failed calls; the delay is randomized between half and one and a half of
/// the backoff.
const RETRY_BASE_MS: u64 = 100;

#[derive(Clone, Debug)]
enum CallKind {
    Read,
    Write { value: ShardValue, expected: KeyVersion },
}

#[derive(Clone, Debug)]
struct PendingCall {
    call: CallId,
    sent: ClockTime,
    kind: CallKind,
}

#[derive(Clone, Debug)]
struct ShardState {
    value: ShardValue,
    version: KeyVersion,
    /// The claim under which this process holds the shard.
    held: Option<ShardClaim>,
    /// A claim whose write may have taken effect, with the claim that it replaces.
    pending_claim: Option<(ShardClaim, Option<ShardClaim>)>,
    /// The rows that the holder currently uses.
    applied_rows: BTreeMap<AccountName, RateRow>,
    /// The version expected by a write whose result is unknown. Until the version changes, the write may take effect.
    unresolved_write: Option<KeyVersion>,
    /// The rows to be written once the holder has lowered its rows.
    planned_rows: BTreeMap<AccountName, RateRow>,
    /// The accounts whose rows the holder lowered for a write; it must be informed of the result.
    lowered_accounts: BTreeSet<AccountName>,
    /// Whether a new claim must be written, to void reserve guarantees.
    renew_claim: bool,
    pending: Option<PendingCall>,
    next_read: ClockTime,
    failures: u32,
}

impl ShardState {
    fn new(next_read: ClockTime) -> ShardState {
        ShardState {
            value: ShardValue::default(),
            version: KeyVersion(0),
            held: None,
            pending_claim: None,
            applied_rows: BTreeMap::new(),
            unresolved_write: None,
            planned_rows: BTreeMap::new(),
            lowered_accounts: BTreeSet::new(),
            renew_claim: false,
            pending: None,
            next_read,
            failures: 0,
        }
    }
}

/// Keeps the zone's share of the limits of all accounts in the shards that this process holds.
#[derive(Debug)]
pub struct ZoneShare {
    settings: RateSettings,
    random: SeededRandom,
    table: Arc<RateTable>,
    view: Arc<OwnershipView>,
    term: Option<ClockTime>,
    /// The zones without live members, with those members and the time at which their last grants have expired.
    dead_zones: BTreeMap<ZoneName, (Vec<NodeId>, ClockTime)>,
    shards: BTreeMap<u16, ShardState>,
    /// The limits by shard, so that no step has to iterate over all accounts.
    tables_by_shard: BTreeMap<u16, RateTable>,
    serial: u64,
    leaving: bool,
}

impl ZoneShare {
    /// Returns the state of a process that holds no shard yet.
    pub fn new(settings: RateSettings, random: SeededRandom) -> ZoneShare {
        ZoneShare {
            settings,
            random,
            table: Arc::default(),
            view: Arc::default(),
            term: None,
            dead_zones: BTreeMap::new(),
            shards: BTreeMap::new(),
            tables_by_shard: BTreeMap::new(),
            serial: 0,
            leaving: false,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: ShareEvent, actions: &mut Vec<ShareAction>) {
        match event {
            ShareEvent::Configure(table) => self.configure(now, table, actions),
            ShareEvent::View(view) => self.set_view(now, view, actions),
            ShareEvent::Term(term) => self.term = term,
            ShareEvent::DeadZones(zones) => {
                // Tokens granted by a zone's last holders can be spent for a grant's lifetime after their terms.
                let lifetime = RateBucket::grant_lifetime();
                let mut dead_zones = BTreeMap::new();
                for (zone, nodes) in zones {
                    let known = self.dead_zones.get(&zone).filter(|(known, _)| *known == nodes);
                    let until = known.map_or(now + lifetime, |(_, until)| *until);
                    dead_zones.insert(zone, (nodes, until));
                }
                self.dead_zones = dead_zones;
            }
            ShareEvent::Store { call, outcome } => self.handle_outcome(now, call, outcome, actions),
            ShareEvent::HandoffReceived { shard } => {
                if let Some(state) = self.shards.get_mut(&shard) {
                    state.next_read = state.next_read.min(now);
                }
            }
            ShareEvent::Demand { shard, demands } => self.plan(now, shard, &demands, actions),
            ShareEvent::RowsLowered { shard, rows } => self.write_rows(now, shard, &rows, actions),
            ShareEvent::RenewClaim { shard } => {
                if let Some(state) = self.shards.get_mut(&shard) {
                    state.renew_claim = true;
                }
            }
            ShareEvent::Handoff => {
                self.leaving = true;
                self.hand_off_all(actions);
            }
            ShareEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns whether this process holds all shards that it owns.
    pub fn is_ready(&self) -> bool {
        let me = &self.settings.node.vm;
        let mine = |shard: &u16| {
            let view = self.view.shards.get(usize::from(*shard));
            view.is_some_and(|view| view.owner.as_ref() == Some(me))
        };
        let owned = self.tables_by_shard.keys().filter(|shard| !self.leaving && mine(shard));
        let mut held =
            owned.map(|shard| self.shards.get(shard).and_then(|state| state.held.as_ref()));
        held.all(|claim| claim.is_some())
    }

    fn owns(&self, shard: u16) -> bool {
        let view = self.view.shards.get(usize::from(shard));
        !self.leaving && view.is_some_and(|view| view.exclusive)
    }

    fn configure(&mut self, now: ClockTime, table: Arc<RateTable>, actions: &mut Vec<ShareAction>) {
        if table.generation < self.table.generation {
            return;
        }
        self.tables_by_shard.clear();
        for (name, limit) in &table.accounts {
            let table_of_shard =
                self.tables_by_shard.entry(shard_of(name)).or_insert_with(|| RateTable {
                    generation: table.generation,
                    zones: table.zones.clone(),
                    accounts: BTreeMap::new(),
                });
            table_of_shard.accounts.insert(name.clone(), *limit);
        }
        self.table = table;
        self.update_tracked_shards(now);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            if let Some(state) = self.shards.get_mut(&shard) {
                state.next_read =
                    state.next_read.min(now + ClockSpan::from_ms(self.random.below(100)));
            }
            self.publish_rows(shard, actions);
        }
    }

    fn set_view(
        &mut self,
        now: ClockTime,
        view: Arc<OwnershipView>,
        actions: &mut Vec<ShareAction>,
    ) {
        let skipped = view.epoch > self.view.epoch + 1;
        self.view = view;
        let me = self.settings.node.vm.clone();
        let held: Vec<u16> = self
            .shards
            .iter()
            .filter(|(_, state)| state.held.is_some())
            .map(|(id, _)| *id)
            .collect();
        for shard in held {
            let owner =
                self.view.shards.get(usize::from(shard)).and_then(|view| view.owner.clone());
            if !self.owns(shard) {
                let to = owner.filter(|owner| *owner != me);
                actions.push(ShareAction::Stop { shard, to });
                self.shards.remove(&shard);
            } else if skipped {
                // Another process may have held the shard in an epoch that this process skipped. Only a new claim
                // that directly replaces the current one shows that none did.
                actions.push(ShareAction::Stop { shard, to: Some(me.clone()) });
                self.shards.insert(shard, ShardState::new(now));
            }
        }
        self.update_tracked_shards(now);
    }

    // Starts tracking the shards that this process now owns and drops those that it no longer owns.
    fn update_tracked_shards(&mut self, now: ClockTime) {
        for shard in 0..SHARE_SHARDS {
            let required = self.owns(shard) && self.tables_by_shard.contains_key(&shard);
            if required && !self.shards.contains_key(&shard) {
                let next_read = now + self.settings.handoff_wait;
                self.shards.insert(shard, ShardState::new(next_read));
            }
        }
        let (leaving, view) = (self.leaving, &self.view);
        self.shards.retain(|shard, state| {
            let owns = view.shards.get(usize::from(*shard)).is_some_and(|view| view.exclusive);
            state.held.is_some() || owns && !leaving
        });
    }

    fn hand_off_all(&mut self, actions: &mut Vec<ShareAction>) {
        for (shard, state) in std::mem::take(&mut self.shards) {
            if state.held.is_some() {
                let view = self.view.shards.get(usize::from(shard));
                let to = view.and_then(|view| view.backup.clone()).map(|backup| backup.vm);
                actions.push(ShareAction::Stop { shard, to });
            }
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<ShareAction>) {
        let may_hold = self.term.is_some_and(|end| now < end);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            let Some(state) = self.shards.get_mut(&shard) else { continue };
            let late =
                |pending: &PendingCall| now.since(pending.sent) >= self.settings.call_timeout;
            if state.pending.as_ref().is_some_and(late) {
                record_failure(now, state, StoreFailure::Unknown, &mut self.random);
            }
            if state.pending.is_none() && now >= state.next_read && may_hold {
                state.next_read = now + self.settings.poll_interval;
                let key = ShardValue::store_key(shard);
                self.serial += 1;
                let call = CallId(self.serial);
                state.pending = Some(PendingCall { call, sent: now, kind: CallKind::Read });
                actions.push(ShareAction::Store { call, request: StoreRequest::Get { key } });
            }
        }
    }

    fn handle_outcome(
        &mut self,
        now: ClockTime,
        call: CallId,
        outcome: StoreOutcome,
        actions: &mut Vec<ShareAction>,
    ) {
        let is_call =
            |state: &ShardState| state.pending.as_ref().is_some_and(|pending| pending.call == call);
        let Some((&shard, state)) = self.shards.iter_mut().find(|(_, state)| is_call(state)) else {
            return;
        };
        let Some(pending) = state.pending.clone() else { return };
        match (outcome, pending.kind) {
            (Ok(StoreReply::Value(entry) | StoreReply::Conflict(entry)), _) => {
                let Some((value, version)) = decode(entry) else {
                    return record_failure(now, state, StoreFailure::Rejected, &mut self.random);
                };
                state.pending = None;
                state.failures = 0;
                self.apply_read_value(now, shard, value, version, actions);
            }
            (Ok(StoreReply::Written(version)), CallKind::Write { value, .. }) => {
                state.pending = None;
                state.failures = 0;
                state.next_read = now + poll_delay(&self.settings, &mut self.random);
                self.record_value(shard, value, version, actions);
            }
            (Ok(_), _) => record_failure(now, state, StoreFailure::Unknown, &mut self.random),
            (Err(failure), _) => record_failure(now, state, failure, &mut self.random),
        }
    }

    // Records a value known to be in the store and passes the resulting rows to the holder.
    fn record_value(
        &mut self,
        shard: u16,
        value: ShardValue,
        version: KeyVersion,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else { return };
        if state.unresolved_write.is_some_and(|expected| version > expected) {
            state.unresolved_write = None;
        }
        let stored = value.claims.get(&self.settings.zone).cloned();
        (state.value, state.version) = (value, version);
        let tried = state.pending_claim.take_if(|(claim, _)| stored.as_ref() == Some(&*claim));
        if let Some((claim, previous)) = tried {
            let renewed = state.held.is_some();
            state.held = Some(claim.clone());
            state.renew_claim = false;
            if renewed {
                actions.push(ShareAction::ClaimRenewed { shard, claim });
            } else {
                let rows = self.usable_rows(shard);
                if let Some(state) = self.shards.get_mut(&shard) {
                    state.applied_rows = rows.clone();
                }
                actions.push(ShareAction::Start { shard, claim, previous, rows });
                return;
            }
        }
        self.publish_rows(shard, actions);
    }

    fn apply_read_value(
        &mut self,
        now: ClockTime,
        shard: u16,
        value: ShardValue,
        version: KeyVersion,
        actions: &mut Vec<ShareAction>,
    ) {
        let stored = value.claims.get(&self.settings.zone).cloned();
        self.record_value(shard, value, version, actions);
        let Some(state) = self.shards.get_mut(&shard) else { return };
        match &state.held {
            None => {
                let serial = stored.as_ref().map_or(1, |claim| claim.serial + 1);
                let claim = ShardClaim { node: self.settings.node.clone(), serial };
                state.pending_claim = Some((claim, stored));
                self.write_rows(now, shard, &BTreeMap::new(), actions);
            }
            Some(held) if stored.as_ref() != Some(held) => {
                // Another process of the zone claimed the shard, so this one was removed without having learned of it.
                actions.push(ShareAction::Stop { shard, to: None });
                self.shards.insert(shard, ShardState::new(now + self.settings.poll_interval));
            }
            Some(held) => {
                if state.renew_claim {
                    let serial = held.serial + 1;
                    let claim = ShardClaim { node: self.settings.node.clone(), serial };
                    state.pending_claim = Some((claim, stored));
                }
                actions.push(ShareAction::Demand { shard });
            }
        }
    }

    fn plan(
        &mut self,
        now: ClockTime,
        shard: u16,
        demands: &BTreeMap<AccountName, u64>,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(state) = self.shards.get_mut(&shard).filter(|state| state.pending.is_none())
        else {
            return;
        };
        state.next_read = now + poll_delay(&self.settings, &mut self.random);
        let zone = &self.settings.zone;
        let table = self.tables_by_shard.get(&shard).unwrap_or(&self.table);
        let rows = planned_rows(&state.value, shard, zone, table, demands);
        if rows.is_empty() {
            self.write_rows(now, shard, &rows, actions);
        } else {
            state.planned_rows = rows.clone();
            actions.push(ShareAction::LowerRows { shard, rows });
        }
    }

    fn write_rows(
        &mut self,
        now: ClockTime,
        shard: u16,
        lowered: &BTreeMap<AccountName, RateRow>,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(state) = self.shards.get_mut(&shard).filter(|state| state.pending.is_none())
        else {
            return;
        };
        let mut rows = std::mem::take(&mut state.planned_rows);
        for (name, row) in &mut rows {
            let old = state.value.row(name, &self.settings.zone);
            // Outstanding grants may keep the holder from lowering its rows as far as planned.
            let used = lowered.get(name).copied().unwrap_or(RateRow { demand: 0, ..old });
            row.rate = if row.rate <= old.rate { row.rate.max(used.rate) } else { row.rate };
            row.burst = if row.burst <= old.burst { row.burst.max(used.burst) } else { row.burst };
            state.applied_rows.insert(name.clone(), used);
            state.lowered_accounts.insert(name.clone());
        }
        let zone = &self.settings.zone;
        // A claim by any other process shows that the zone is live again.
        let dead_zones = self.dead_zones.iter().filter(|(zone, (nodes, until))| {
            let claim = state.value.claims.get(*zone);
            now >= *until && claim.is_none_or(|claim| nodes.contains(&claim.node))
        });
        let dead_zones: BTreeSet<ZoneName> = dead_zones.map(|(zone, _)| zone.clone()).collect();
        let table = self.tables_by_shard.get(&shard).unwrap_or(&self.table);
        let mut value = updated_value(&state.value, shard, zone, table, &rows, &dead_zones);
        if let Some((claim, _)) = &state.pending_claim {
            value.claims.insert(zone.clone(), claim.clone());
        }
        if value == state.value && state.unresolved_write.is_none() {
            return;
        }
        let expected = state.version;
        let request = StoreRequest::Put {
            key: ShardValue::store_key(shard),
            value: value.encode(),
            expected: Some(expected),
            lease: None,
        };
        self.serial += 1;
        let call = CallId(self.serial);
        let kind = CallKind::Write { value, expected };
        state.pending = Some(PendingCall { call, sent: now, kind });
        actions.push(ShareAction::Store { call, request });
    }

    fn usable_rows(&self, shard: u16) -> BTreeMap<AccountName, RateRow> {
        let Some(state) = self.shards.get(&shard) else { return BTreeMap::new() };
        let mut rows = BTreeMap::new();
        for (name, record) in &state.value.accounts {
            let Some(row) = record.rows.get(&self.settings.zone) else { continue };
            let config = self.table.accounts.get(name).copied().unwrap_or(record.limit);
            let newer = self.table.generation >= record.generation;
            let row = if newer { usable_row(record, *row, config) } else { *row };
            rows.insert(name.clone(), row);
        }
        rows
    }

    fn publish_rows(&mut self, shard: u16, actions: &mut Vec<ShareAction>) {
        let rows = self.usable_rows(shard);
        let Some(state) = self.shards.get_mut(&shard).filter(|state| state.held.is_some()) else {
            return;
        };
        let write_unresolved = state.unresolved_write.is_some() || state.pending.is_some();
        let mut changed = BTreeMap::new();
        for (name, mut row) in rows {
            let applied = state.applied_rows.get(&name).copied().unwrap_or_default();
            if write_unresolved {
                row = applied.componentwise_min(row);
            }
            let awaited = !write_unresolved && state.lowered_accounts.contains(&name);
            if awaited || (applied.rate, applied.burst) != (row.rate, row.burst) {
                changed.insert(name, row);
            }
        }
        if !write_unresolved {
            state.lowered_accounts.clear();
        }
        if !changed.is_empty() {
            state.applied_rows.extend(changed.clone());
            actions.push(ShareAction::Rows { shard, rows: changed });
        }
    }
}

// The random delay distributes the reads of many shards and zones over time.
fn poll_delay(settings: &RateSettings, random: &mut SeededRandom) -> ClockSpan {
    let period = settings.poll_interval.as_ms();
    ClockSpan::from_ms(period * 3 / 4 + random.below(period / 2 + 1))
}

fn record_failure(
    now: ClockTime,
    state: &mut ShardState,
    failure: StoreFailure,
    random: &mut SeededRandom,
) {
    let pending = state.pending.take();
    if let Some(PendingCall { kind: CallKind::Write { expected, .. }, .. }) = pending
        && failure == StoreFailure::Unknown
    {
        state.unresolved_write = Some(expected);
    }
    state.failures += 1;
    let base = (RETRY_BASE_MS << state.failures.min(5)).min(3_000);
    state.next_read = now + ClockSpan::from_ms(base / 2 + random.below(base));
}

// A malformed value counts as a failed call and is never overwritten.
fn decode(entry: Option<StoreEntry>) -> Option<(ShardValue, KeyVersion)> {
    match entry {
        None => Some((ShardValue::default(), KeyVersion(0))),
        Some(entry) => Some((ShardValue::decode(&entry.value).ok()?, entry.version)),
    }
}
