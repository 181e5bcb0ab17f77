//! Index of the cache blocks at each target.
//!
//! An entry stands for a block that a target has cached, and belongs to an epoch of the target. Each gap, snapshot
//! or restart begins a new epoch, which makes all older entries of the target unconfirmed or dead without a visit to
//! each of them. An incremental sweep removes dead entries later. A dead entry never matches, swept or not.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, Incarnation, TargetName};

use crate::{
    chain::{BlockHash, PrefixChain},
    epoch::{
        EPOCH_LIMIT, EPOCH_SHIFT, EPOCHS, PROVISIONAL, STAMP_MASK, STAMP_SHIFT, TARGET_SHIFT,
        TargetEpochs, group_of, stamp, target_of,
    },
    feed::{CacheChange, FeedAction},
    matches::{IndexCounters, IndexSettings, PrefixMatches, TargetId},
    table::{EntryTable, GROUP_TARGETS, entry_key},
};

/// The maximum number of targets in an index; an entry stores the target in 12 bits.
const MAX_TARGETS: usize = 1 << 12;

/// The number of leading blocks whose table slots a lookup prefetches.
const PREFETCH_BLOCKS: usize = 16;

/// The number of entries among which a full table looks for the oldest to remove it.
const DISPLACE_SAMPLE: usize = 16;

#[derive(Clone, Debug, Default)]
struct TargetState {
    name: Option<TargetName>,
    incarnation: Option<Incarnation>,
}

/// The validity of an entry.
#[derive(Clone, Copy, Eq, PartialEq)]
enum EntryStatus {
    Confirmed,
    Unconfirmed,
    Dead,
}

/// An index of the prefixes that targets have cached.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    settings: IndexSettings,
    table: EntryTable,
    targets: Vec<TargetState>,
    epochs: Vec<TargetEpochs>,
    names: BTreeMap<TargetName, TargetId>,
    counters: IndexCounters,
    displace_cursor: usize,
    sweep_cursor: usize,
}

impl PrefixIndex {
    /// Returns an empty index.
    pub fn new(settings: IndexSettings) -> PrefixIndex {
        PrefixIndex {
            settings,
            table: EntryTable::new(settings.max_entries),
            targets: Vec::new(),
            epochs: Vec::new(),
            names: BTreeMap::new(),
            counters: IndexCounters::default(),
            displace_cursor: 0,
            sweep_cursor: 0,
        }
    }

    /// Returns the position of the target `name`, and adds the target if it is unknown.
    ///
    /// # Panics
    ///
    /// Panics when more than 4,096 targets are added. The check of the configuration doesn't allow as many in one
    /// availability zone.
    pub fn add_target(&mut self, name: &TargetName) -> TargetId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let free = self.targets.iter().position(|state| state.name.is_none());
        let position = free.unwrap_or(self.targets.len());
        assert!(position < MAX_TARGETS, "more than {MAX_TARGETS} targets in one index");
        if free.is_none() {
            self.targets.push(TargetState::default());
            self.epochs.push(TargetEpochs::default());
        }
        let id = TargetId(position as u16);
        self.targets[position].name = Some(name.clone());
        self.names.insert(name.clone(), id);
        id
    }

    /// Removes the target `name` and invalidates its entries.
    pub fn remove_target(&mut self, name: &TargetName) {
        if let Some(id) = self.names.remove(name) {
            self.end_incarnation(id);
            let state = &mut self.targets[id.index()];
            state.name = None;
            state.incarnation = None;
        }
    }

    /// Returns the position of the target `name`, or `None` if it is unknown.
    pub fn target_id(&self, name: &str) -> Option<TargetId> {
        self.names.get(name).copied()
    }

    /// Returns the name of the target at a position, or `None` if the position is free.
    pub fn target_name(&self, target: TargetId) -> Option<&TargetName> {
        self.targets.get(target.index())?.name.as_ref()
    }

    /// Returns the incarnation to which the entries of a target are bound, or `None` before the first one is known.
    pub fn incarnation(&self, target: TargetId) -> Option<Incarnation> {
        self.targets.get(target.index())?.incarnation
    }

    /// Returns the names and positions of all targets in the order of their names.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetName, TargetId)> {
        self.names.iter().map(|(name, &id)| (name, id))
    }

    /// Returns the number of allocated positions, which is the length of a vector indexed by [`TargetId`].
    pub fn target_slots(&self) -> usize {
        self.targets.len()
    }

    /// Returns the number of entries, including dead ones that haven't been swept yet.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether the table has no entries, not even dead ones.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Returns the memory allocated for entries and targets in bytes.
    pub fn bytes(&self) -> usize {
        self.table.bytes() + self.targets.capacity() * size_of::<TargetState>()
    }

    /// Returns the counters since the index was created.
    pub fn counters(&self) -> IndexCounters {
        self.counters
    }

    /// Binds the entries of a target to `incarnation` and returns whether it is the current incarnation afterwards.
    ///
    /// A later incarnation than the bound one invalidates all entries of the target; an earlier one is rejected.
    pub fn bind(&mut self, target: TargetId, incarnation: Incarnation) -> bool {
        let state = &mut self.targets[target.index()];
        match state.incarnation {
            Some(current) if current == incarnation => true,
            Some(current) if incarnation < current => false,
            earlier => {
                state.incarnation = Some(incarnation);
                if earlier.is_some() {
                    self.counters.restarts += 1;
                    self.end_incarnation(target);
                }
                true
            }
        }
    }

    /// Applies an action of the event feed of a target.
    pub fn apply(&mut self, now: ClockTime, target: TargetId, action: &FeedAction) {
        match action {
            FeedAction::Restarted(incarnation) => {
                self.bind(target, *incarnation);
            }
            FeedAction::Gap => self.mark_unconfirmed(target),
            FeedAction::Replace => self.replace(target),
            FeedAction::Change(CacheChange::Stored { block, .. }) => {
                self.store(now, target, block.short_hash());
            }
            FeedAction::Change(CacheChange::Evicted { block }) => {
                self.evict(target, block.short_hash());
            }
            FeedAction::Change(CacheChange::Cleared) => self.replace(target),
            FeedAction::RequestSnapshot => {}
        }
    }

    /// Records that an event confirmed the block with the short hash `block` at `target`.
    pub fn store(&mut self, now: ClockTime, target: TargetId, block: u64) {
        self.counters.stored += 1;
        self.write_entry(now, target, block, 0);
    }

    /// Records that `target` evicted the block with the short hash `block`.
    pub fn evict(&mut self, target: TargetId, block: u64) {
        let Some(slot) = self.find_slot(target, block) else { return };
        // An eviction that arrives after a dispatch happened before the dispatch: the engine reports the block that
        // it computes for the dispatched prompt as stored before it can evict it again.
        if self.table.entry_at(slot).is_some_and(|(_, state)| state & PROVISIONAL == 0) {
            self.table.remove(slot);
            self.counters.evicted += 1;
        }
    }

    /// Adds provisional entries for the blocks of a prompt that was dispatched to `target`.
    ///
    /// A provisional entry counts as cached until an event confirms it or [`IndexSettings::provisional_span`] expires.
    pub fn record_dispatch(&mut self, now: ClockTime, target: TargetId, blocks: &[BlockHash]) {
        for block in blocks {
            self.record_dispatched_block(now, target, block.short_hash());
        }
    }

    /// Adds a provisional entry for the block with the short hash `block`.
    pub fn record_dispatched_block(&mut self, now: ClockTime, target: TargetId, block: u64) {
        if let Some(slot) = self.find_slot(target, block)
            && let Some((_, state)) = self.table.entry_at(slot)
            && state & PROVISIONAL == 0
            && self.status(now, state) != EntryStatus::Dead
        {
            // An entry based on events keeps its status; only its age is reset.
            self.table.set_state(slot, state & !STAMP_MASK | stamp(now));
            return;
        }
        self.write_entry(now, target, block, PROVISIONAL);
    }

    /// Marks all entries of `target` as unconfirmed because an eviction may have been missed.
    pub fn mark_unconfirmed(&mut self, target: TargetId) {
        self.counters.gaps += 1;
        self.epochs[target.index()].advance();
        self.prevent_epoch_reuse(target);
    }

    /// Begins a snapshot: all entries of `target` except provisional ones are dead until they are stored again.
    pub fn replace(&mut self, target: TargetId) {
        self.counters.snapshots += 1;
        let state = &mut self.epochs[target.index()];
        state.advance();
        state.unconfirmed = 0;
        self.prevent_epoch_reuse(target);
    }

    /// Finds the longest cached prefix of `chain` at each target.
    pub fn lookup(&self, now: ClockTime, chain: &PrefixChain, matches: &mut PrefixMatches) {
        self.lookup_hashes(now, chain.hashes().iter().map(|block| block.short_hash()), matches);
    }

    /// Finds the longest cached prefix of a chain given by the short hashes of its blocks at each target.
    pub fn lookup_hashes(
        &self,
        now: ClockTime,
        blocks: impl Iterator<Item = u64> + Clone,
        matches: &mut PrefixMatches,
    ) {
        matches.reset(self.targets.len());
        let groups = self.targets.len().div_ceil(GROUP_TARGETS);
        let keys = |block: u64| (0..groups).map(move |group| entry_key(block, group));
        self.table.prefetch(blocks.clone().take(PREFETCH_BLOCKS).flat_map(keys));
        for (group, states) in self.targets.chunks(GROUP_TARGETS).enumerate() {
            let base = group * GROUP_TARGETS;
            let mut usable = u64::MAX >> (GROUP_TARGETS - states.len());
            let mut confirmed = usable;
            for (depth, block) in blocks.clone().enumerate() {
                let (cached, confirmed_here) =
                    self.cached_targets(now, entry_key(block, group), base, usable);
                set_depths(usable & !cached, base, depth, &mut matches.usable);
                set_depths(confirmed & !confirmed_here, base, depth, &mut matches.confirmed);
                usable &= cached;
                confirmed &= confirmed_here;
                if usable == 0 {
                    break;
                }
            }
            let depth = blocks.clone().count();
            set_depths(usable, base, depth, &mut matches.usable);
            set_depths(confirmed & usable, base, depth, &mut matches.confirmed);
        }
    }

    /// Removes the dead entries from the next `slots` slots of the table.
    pub fn sweep(&mut self, now: ClockTime, slots: usize) {
        for _ in 0..slots.min(self.table.slots()) {
            self.sweep_slot(now, self.sweep_cursor);
            self.sweep_cursor = (self.sweep_cursor + 1) % self.table.slots();
        }
    }

    /// Calls `visit` for each live entry with its target, the short hash of its block and whether it is provisional.
    pub fn for_each_live(&self, now: ClockTime, mut visit: impl FnMut(TargetId, u64, bool)) {
        for slot in 0..self.table.slots() {
            let Some((key, state)) = self.table.entry_at(slot) else { continue };
            if self.status(now, state) == EntryStatus::Dead {
                continue;
            }
            let target = target_of(state);
            visit(target, entry_key(key, group_of(target)), state & PROVISIONAL != 0);
        }
    }

    /// Returns as bit sets which of the `selected` targets have cached the block of `key`, and at which of them events
    /// confirmed it.
    fn cached_targets(&self, now: ClockTime, key: u64, base: usize, selected: u64) -> (u64, u64) {
        let (mut cached, mut confirmed_here) = (0, 0);
        self.table.for_each(key, |state| {
            let bit = 1u64 << (target_of(state).index() - base);
            if selected & bit == 0 {
                return;
            }
            match self.status(now, state) {
                EntryStatus::Confirmed => {
                    cached |= bit;
                    confirmed_here |= bit;
                }
                EntryStatus::Unconfirmed => cached |= bit,
                EntryStatus::Dead => {}
            }
        });
        (cached, confirmed_here)
    }

    fn status(&self, now: ClockTime, state: u32) -> EntryStatus {
        let target = self.epochs[target_of(state).index()];
        let age = target.age(state);
        if age == 0 && state & PROVISIONAL == 0 {
            return EntryStatus::Confirmed;
        }
        if state & PROVISIONAL != 0 {
            let units = stamp(now).wrapping_sub(state) & STAMP_MASK;
            let span = ClockSpan::from_ms(u64::from(units) << STAMP_SHIFT);
            let expired = span > self.settings.provisional_span;
            return if age > u32::from(target.in_incarnation) || expired {
                EntryStatus::Dead
            } else {
                EntryStatus::Unconfirmed
            };
        }
        if age <= u32::from(target.unconfirmed) {
            EntryStatus::Unconfirmed
        } else {
            EntryStatus::Dead
        }
    }

    fn find_slot(&self, target: TargetId, block: u64) -> Option<usize> {
        let key = entry_key(block, group_of(target));
        self.table.find(key, |state| target_of(state) == target)
    }

    fn write_entry(&mut self, now: ClockTime, target: TargetId, block: u64, flag: u32) {
        let epoch = u32::from(self.epochs[target.index()].epoch);
        let state = u32::from(target.0) << TARGET_SHIFT | epoch << EPOCH_SHIFT | flag | stamp(now);
        if let Some(slot) = self.find_slot(target, block) {
            self.table.set_state(slot, state);
            return;
        }
        if self.table.is_full() {
            self.displace(now);
        }
        self.table.insert(entry_key(block, group_of(target)), state);
    }

    fn displace(&mut self, now: ClockTime) {
        let mut oldest: Option<(usize, u32)> = None;
        let mut examined = 0;
        while examined < DISPLACE_SAMPLE {
            let slot = self.displace_cursor;
            self.displace_cursor = (self.displace_cursor + 1) % self.table.slots();
            let Some((_, state)) = self.table.entry_at(slot) else { continue };
            examined += 1;
            let age = if self.status(now, state) == EntryStatus::Dead {
                u32::MAX
            } else {
                stamp(now).wrapping_sub(state) & STAMP_MASK
            };
            if oldest.is_none_or(|(_, best)| age > best) {
                oldest = Some((slot, age));
            }
        }
        if let Some((slot, _)) = oldest {
            self.table.remove(slot);
            self.counters.displaced += 1;
        }
    }

    fn end_incarnation(&mut self, target: TargetId) {
        let state = &mut self.epochs[target.index()];
        state.advance();
        state.unconfirmed = 0;
        state.in_incarnation = 0;
        self.prevent_epoch_reuse(target);
    }

    /// Rewrites all entries before an epoch number of `target` repeats, which would make dead entries valid again.
    fn prevent_epoch_reuse(&mut self, target: TargetId) {
        if u32::from(self.epochs[target.index()].in_table) < EPOCH_LIMIT {
            return;
        }
        let mut slot = 0;
        while slot < self.table.slots() {
            match self.table.entry_at(slot).map(|(_, entry)| self.rebased(entry)) {
                // The slot is visited again, because removal may move a later entry into it.
                Some(None) => self.table.remove(slot),
                Some(Some(entry)) => {
                    self.table.set_state(slot, entry);
                    slot += 1;
                }
                None => slot += 1,
            }
        }
        for state in &mut self.epochs {
            state.unconfirmed = state.unconfirmed.min(1);
            state.in_incarnation = state.in_incarnation.min(1);
            state.in_table = state.in_table.min(1);
        }
    }

    /// Returns the state `entry` moved to the epoch before the current one unless it is in the current epoch, or
    /// `None` if the entry is dead.
    fn rebased(&self, entry: u32) -> Option<u32> {
        let state = self.epochs[target_of(entry).index()];
        let age = state.age(entry);
        let bound = u32::from(if entry & PROVISIONAL != 0 {
            state.in_incarnation
        } else {
            state.unconfirmed
        });
        if age == 0 {
            return Some(entry);
        }
        let epoch = (u32::from(state.epoch) + EPOCHS - 1) % EPOCHS;
        let other_bits = entry & !((EPOCHS - 1) << EPOCH_SHIFT);
        (age <= bound).then_some(other_bits | epoch << EPOCH_SHIFT)
    }

    fn sweep_slot(&mut self, now: ClockTime, slot: usize) {
        while let Some((_, state)) = self.table.entry_at(slot) {
            if self.status(now, state) != EntryStatus::Dead {
                return;
            }
            self.table.remove(slot);
        }
    }
}

fn set_depths(mut ended: u64, base: usize, depth: usize, depths: &mut [u16]) {
    let depth = depth.min(usize::from(u16::MAX)) as u16;
    while ended != 0 {
        depths[base + ended.trailing_zeros() as usize] = depth;
        ended &= ended - 1;
    }
}
