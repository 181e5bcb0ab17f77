//! The zone's part of each account's limits, kept in the store.
//!
//! Only the holder of a shard in a zone changes the zone's rows. It lowers its own use before it writes a lower row,
//! and uses a higher row only after the write is confirmed. The sum of all use therefore never exceeds the limits,
//! whichever answers are lost.

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
    plan::{changed_value, usable_row, wanted_rows},
    settings::{RateSettings, SHARE_SHARDS},
    shard::{RateRow, ShardClaim, ShardValue, shard_of},
    share_port::{ShareAction, ShareEvent},
    view::OwnershipView,
};

/// The shortest wait after a call that failed; a random part of the same size is added.
const RETRY_MS: u64 = 100;

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
struct ShardWork {
    value: ShardValue,
    version: KeyVersion,
    /// The claim under which the shard is held.
    held: Option<ShardClaim>,
    /// A claim that was written and may be in force, with the one that it replaces.
    trying: Option<(ShardClaim, Option<ShardClaim>)>,
    /// The rows that the holder uses.
    told: BTreeMap<AccountName, RateRow>,
    /// The version that a write with an unknown end expected. Until the version moves on, that write can land.
    doubt: Option<KeyVersion>,
    wanted: BTreeMap<AccountName, RateRow>,
    /// The accounts whose rows the holder lowered for a write that it must hear the end of.
    lowered: BTreeSet<AccountName>,
    renew: bool,
    pending: Option<PendingCall>,
    next: ClockTime,
    failures: u32,
}

impl ShardWork {
    fn new(next: ClockTime) -> ShardWork {
        ShardWork {
            value: ShardValue::default(),
            version: KeyVersion(0),
            held: None,
            trying: None,
            told: BTreeMap::new(),
            doubt: None,
            wanted: BTreeMap::new(),
            lowered: BTreeSet::new(),
            renew: false,
            pending: None,
            next,
            failures: 0,
        }
    }
}

/// The zone's part of each account's limits.
#[derive(Debug)]
pub struct ZoneShare {
    settings: RateSettings,
    random: SeededRandom,
    table: Arc<RateTable>,
    view: Arc<OwnershipView>,
    term: Option<ClockTime>,
    gone: BTreeMap<ZoneName, (Vec<NodeId>, ClockTime)>,
    shards: BTreeMap<u16, ShardWork>,
    /// The limits by shard, so that no step walks over all accounts.
    groups: BTreeMap<u16, RateTable>,
    serial: u64,
    leaving: bool,
}

impl ZoneShare {
    /// Returns the machine of a process that holds nothing yet.
    pub fn new(settings: RateSettings, random: SeededRandom) -> ZoneShare {
        ZoneShare {
            settings,
            random,
            table: Arc::default(),
            view: Arc::default(),
            term: None,
            gone: BTreeMap::new(),
            shards: BTreeMap::new(),
            groups: BTreeMap::new(),
            serial: 0,
            leaving: false,
        }
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: ShareEvent, actions: &mut Vec<ShareAction>) {
        match event {
            ShareEvent::Configure(table) => self.configure(now, table, actions),
            ShareEvent::View(view) => self.set_view(now, view, actions),
            ShareEvent::Term(term) => self.term = term,
            ShareEvent::Gone(zones) => {
                // The grants of a zone's last holders can be spent for a while after their terms.
                let life = RateBucket::grant_life();
                let mut gone = BTreeMap::new();
                for (zone, nodes) in zones {
                    let known = self.gone.get(&zone).filter(|(known, _)| *known == nodes);
                    let until = known.map_or(now + life, |(_, until)| *until);
                    gone.insert(zone, (nodes, until));
                }
                self.gone = gone;
            }
            ShareEvent::Store { call, outcome } => self.take_outcome(now, call, outcome, actions),
            ShareEvent::Received { shard } => {
                if let Some(work) = self.shards.get_mut(&shard) {
                    work.next = work.next.min(now);
                }
            }
            ShareEvent::Demand { shard, demands } => self.plan(now, shard, &demands, actions),
            ShareEvent::Lowered { shard, rows } => self.write_rows(now, shard, &rows, actions),
            ShareEvent::Renew { shard } => {
                if let Some(work) = self.shards.get_mut(&shard) {
                    work.renew = true;
                }
            }
            ShareEvent::HandOver => {
                self.leaving = true;
                self.give_up_all(actions);
            }
            ShareEvent::Tick => self.tick(now, actions),
        }
    }

    /// Returns whether every shard that this process should hold is held.
    pub fn is_ready(&self) -> bool {
        let me = &self.settings.node.vm;
        let mine = |shard: &u16| {
            let view = self.view.shards.get(usize::from(*shard));
            view.is_some_and(|view| view.owner.as_ref() == Some(me))
        };
        let owned = self.groups.keys().filter(|shard| !self.leaving && mine(shard));
        let mut held = owned.map(|shard| self.shards.get(shard).and_then(|it| it.held.as_ref()));
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
        self.groups.clear();
        for (name, limit) in &table.accounts {
            let group = self.groups.entry(shard_of(name)).or_insert_with(|| RateTable {
                generation: table.generation,
                zones: table.zones.clone(),
                accounts: BTreeMap::new(),
            });
            group.accounts.insert(name.clone(), *limit);
        }
        self.table = table;
        self.adjust(now);
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            if let Some(work) = self.shards.get_mut(&shard) {
                work.next = work.next.min(now + ClockSpan::from_ms(self.random.below(100)));
            }
            self.tell_rows(shard, actions);
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
        let held: Vec<u16> =
            self.shards.iter().filter(|(_, work)| work.held.is_some()).map(|(id, _)| *id).collect();
        for shard in held {
            let owner =
                self.view.shards.get(usize::from(shard)).and_then(|view| view.owner.clone());
            if !self.owns(shard) {
                let to = owner.filter(|owner| *owner != me);
                actions.push(ShareAction::Stop { shard, to });
                self.shards.remove(&shard);
            } else if skipped {
                // In an epoch that wasn't seen, another process may have held the shard: only a new claim that
                // replaces the own one shows that none did.
                actions.push(ShareAction::Stop { shard, to: Some(me.clone()) });
                self.shards.insert(shard, ShardWork::new(now));
            }
        }
        self.adjust(now);
    }

    // Starts work on shards that this process now owns and ends it on those that it doesn't.
    fn adjust(&mut self, now: ClockTime) {
        for shard in 0..SHARE_SHARDS {
            let wanted = self.owns(shard) && self.groups.contains_key(&shard);
            if wanted && !self.shards.contains_key(&shard) {
                let next = now + self.settings.hand_over;
                self.shards.insert(shard, ShardWork::new(next));
            }
        }
        let (leaving, view) = (self.leaving, &self.view);
        self.shards.retain(|shard, work| {
            let owns = view.shards.get(usize::from(*shard)).is_some_and(|view| view.exclusive);
            work.held.is_some() || owns && !leaving
        });
    }

    fn give_up_all(&mut self, actions: &mut Vec<ShareAction>) {
        for (shard, work) in std::mem::take(&mut self.shards) {
            if work.held.is_some() {
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
            let Some(work) = self.shards.get_mut(&shard) else { continue };
            let late = |pending: &PendingCall| now.since(pending.sent) >= self.settings.call;
            if work.pending.as_ref().is_some_and(late) {
                fail(now, work, StoreFailure::Unknown, &mut self.random);
            }
            if work.pending.is_none() && now >= work.next && may_hold {
                work.next = now + self.settings.poll;
                let key = ShardValue::store_key(shard);
                self.serial += 1;
                let call = CallId(self.serial);
                work.pending = Some(PendingCall { call, sent: now, kind: CallKind::Read });
                actions.push(ShareAction::Store { call, request: StoreRequest::Get { key } });
            }
        }
    }

    fn take_outcome(
        &mut self,
        now: ClockTime,
        call: CallId,
        outcome: StoreOutcome,
        actions: &mut Vec<ShareAction>,
    ) {
        let is_call = |work: &ShardWork| work.pending.as_ref().is_some_and(|it| it.call == call);
        let Some((&shard, work)) = self.shards.iter_mut().find(|(_, work)| is_call(work)) else {
            return;
        };
        let Some(pending) = work.pending.clone() else { return };
        match (outcome, pending.kind) {
            (Ok(StoreReply::Value(entry) | StoreReply::Conflict(entry)), _) => {
                let Some((value, version)) = decode(entry) else {
                    return fail(now, work, StoreFailure::Rejected, &mut self.random);
                };
                work.pending = None;
                work.failures = 0;
                self.take_value(now, shard, value, version, actions);
            }
            (Ok(StoreReply::Written(version)), CallKind::Write { value, .. }) => {
                work.pending = None;
                work.failures = 0;
                work.next = now + poll(&self.settings, &mut self.random);
                self.note_value(shard, value, version, actions);
            }
            (Ok(_), _) => fail(now, work, StoreFailure::Unknown, &mut self.random),
            (Err(failure), _) => fail(now, work, failure, &mut self.random),
        }
    }

    // Takes over what the store surely holds, and tells the holder.
    fn note_value(
        &mut self,
        shard: u16,
        value: ShardValue,
        version: KeyVersion,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(work) = self.shards.get_mut(&shard) else { return };
        if work.doubt.is_some_and(|expected| version > expected) {
            work.doubt = None;
        }
        let stored = value.claims.get(&self.settings.zone).cloned();
        (work.value, work.version) = (value, version);
        let tried = work.trying.take_if(|(claim, _)| stored.as_ref() == Some(&*claim));
        if let Some((claim, previous)) = tried {
            let renewed = work.held.is_some();
            work.held = Some(claim.clone());
            work.renew = false;
            if renewed {
                actions.push(ShareAction::Renewed { shard, claim });
            } else {
                let rows = self.usable_rows(shard);
                if let Some(work) = self.shards.get_mut(&shard) {
                    work.told = rows.clone();
                }
                actions.push(ShareAction::Start { shard, claim, previous, rows });
                return;
            }
        }
        self.tell_rows(shard, actions);
    }

    fn take_value(
        &mut self,
        now: ClockTime,
        shard: u16,
        value: ShardValue,
        version: KeyVersion,
        actions: &mut Vec<ShareAction>,
    ) {
        let stored = value.claims.get(&self.settings.zone).cloned();
        self.note_value(shard, value, version, actions);
        let Some(work) = self.shards.get_mut(&shard) else { return };
        match &work.held {
            None => {
                let serial = stored.as_ref().map_or(1, |claim| claim.serial + 1);
                let claim = ShardClaim { node: self.settings.node.clone(), serial };
                work.trying = Some((claim, stored));
                self.write_rows(now, shard, &BTreeMap::new(), actions);
            }
            Some(held) if stored.as_ref() != Some(held) => {
                // Another process of the zone took the shard, so this one was removed without noticing.
                actions.push(ShareAction::Stop { shard, to: None });
                self.shards.insert(shard, ShardWork::new(now + self.settings.poll));
            }
            Some(held) => {
                if work.renew {
                    let serial = held.serial + 1;
                    let claim = ShardClaim { node: self.settings.node.clone(), serial };
                    work.trying = Some((claim, stored));
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
        let Some(work) = self.shards.get_mut(&shard).filter(|work| work.pending.is_none()) else {
            return;
        };
        work.next = now + poll(&self.settings, &mut self.random);
        let zone = &self.settings.zone;
        let table = self.groups.get(&shard).unwrap_or(&self.table);
        let rows = wanted_rows(&work.value, shard, zone, table, demands);
        if rows.is_empty() {
            self.write_rows(now, shard, &rows, actions);
        } else {
            work.wanted = rows.clone();
            actions.push(ShareAction::Lower { shard, rows });
        }
    }

    fn write_rows(
        &mut self,
        now: ClockTime,
        shard: u16,
        lowered: &BTreeMap<AccountName, RateRow>,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(work) = self.shards.get_mut(&shard).filter(|work| work.pending.is_none()) else {
            return;
        };
        let mut rows = std::mem::take(&mut work.wanted);
        for (name, row) in &mut rows {
            let old = work.value.row(name, &self.settings.zone);
            // The holder may not be able to go as low as wanted while its grants are out.
            let used = lowered.get(name).copied().unwrap_or(RateRow { demand: 0, ..old });
            row.rate = if row.rate <= old.rate { row.rate.max(used.rate) } else { row.rate };
            row.burst = if row.burst <= old.burst { row.burst.max(used.burst) } else { row.burst };
            work.told.insert(name.clone(), used);
            work.lowered.insert(name.clone());
        }
        let zone = &self.settings.zone;
        // A claim by any other process shows that the zone has come back.
        let gone = self.gone.iter().filter(|(zone, (nodes, until))| {
            let claim = work.value.claims.get(*zone);
            now >= *until && claim.is_none_or(|claim| nodes.contains(&claim.node))
        });
        let gone: BTreeSet<ZoneName> = gone.map(|(zone, _)| zone.clone()).collect();
        let table = self.groups.get(&shard).unwrap_or(&self.table);
        let mut value = changed_value(&work.value, shard, zone, table, &rows, &gone);
        if let Some((claim, _)) = &work.trying {
            value.claims.insert(zone.clone(), claim.clone());
        }
        if value == work.value && work.doubt.is_none() {
            return;
        }
        let expected = work.version;
        let request = StoreRequest::Put {
            key: ShardValue::store_key(shard),
            value: value.encode(),
            expected: Some(expected),
            lease: None,
        };
        self.serial += 1;
        let call = CallId(self.serial);
        let kind = CallKind::Write { value, expected };
        work.pending = Some(PendingCall { call, sent: now, kind });
        actions.push(ShareAction::Store { call, request });
    }

    fn usable_rows(&self, shard: u16) -> BTreeMap<AccountName, RateRow> {
        let Some(work) = self.shards.get(&shard) else { return BTreeMap::new() };
        let mut rows = BTreeMap::new();
        for (name, record) in &work.value.accounts {
            let Some(row) = record.rows.get(&self.settings.zone) else { continue };
            let config = self.table.accounts.get(name).copied().unwrap_or(record.limit);
            let newer = self.table.generation >= record.generation;
            let row = if newer { usable_row(record, *row, config) } else { *row };
            rows.insert(name.clone(), row);
        }
        rows
    }

    fn tell_rows(&mut self, shard: u16, actions: &mut Vec<ShareAction>) {
        let rows = self.usable_rows(shard);
        let Some(work) = self.shards.get_mut(&shard).filter(|work| work.held.is_some()) else {
            return;
        };
        let limited = work.doubt.is_some() || work.pending.is_some();
        let mut changed = BTreeMap::new();
        for (name, mut row) in rows {
            let told = work.told.get(&name).copied().unwrap_or_default();
            if limited {
                row = told.least(row);
            }
            let awaited = !limited && work.lowered.contains(&name);
            if awaited || (told.rate, told.burst) != (row.rate, row.burst) {
                changed.insert(name, row);
            }
        }
        if !limited {
            work.lowered.clear();
        }
        if !changed.is_empty() {
            work.told.extend(changed.clone());
            actions.push(ShareAction::Rows { shard, rows: changed });
        }
    }
}

// The spread keeps the reads of many shards and zones apart.
fn poll(settings: &RateSettings, random: &mut SeededRandom) -> ClockSpan {
    let period = settings.poll.as_ms();
    ClockSpan::from_ms(period * 3 / 4 + random.below(period / 2 + 1))
}

fn fail(now: ClockTime, work: &mut ShardWork, failure: StoreFailure, random: &mut SeededRandom) {
    let pending = work.pending.take();
    if let Some(PendingCall { kind: CallKind::Write { expected, .. }, .. }) = pending
        && failure == StoreFailure::Unknown
    {
        work.doubt = Some(expected);
    }
    work.failures += 1;
    let base = (RETRY_MS << work.failures.min(5)).min(3_000);
    work.next = now + ClockSpan::from_ms(base / 2 + random.below(base));
}

// A value that can't be read is never overwritten.
fn decode(entry: Option<StoreEntry>) -> Option<(ShardValue, KeyVersion)> {
    match entry {
        None => Some((ShardValue::default(), KeyVersion(0))),
        Some(entry) => Some((ShardValue::decode(&entry.value).ok()?, entry.version)),
    }
}
