//! The index divided over the routers of a zone.
//!
//! The first piece of a chain decides its partition; rendezvous hashing names the owner and the second copy. The
//! events of an engine are read by one router, which forwards entries to both. The reader stays the source of its
//! engines' entries: whoever lost something asks the readers again, so that nothing needs agreement.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockTime, Incarnation, TargetName, VmName, rendezvous};

use crate::{
    chain::PrefixChain,
    feed::FeedBatch,
    index::PrefixIndex,
    matches::TargetId,
    message::{LookupSource, PartCounters, ShardAction, ShardEvent, ShardMessage, ShardSettings},
    reader::{EngineReader, PARTS, part_of},
    wire::{EntryBatch, EntryOp, TargetEntries, TargetTag},
};

#[derive(Clone, Debug)]
pub(crate) struct WaitingLookup {
    pub(crate) chain: PrefixChain,
    pub(crate) holder: VmName,
    pub(crate) until: ClockTime,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    pub(crate) sent: u64,
    pub(crate) sent_at: ClockTime,
    expected: Option<u64>,
    /// The targets whose entries came from this peer.
    targets: BTreeSet<TargetTag>,
    pub(crate) asked: Option<ClockTime>,
}

/// One router's part of the index of its zone.
#[derive(Clone, Debug)]
pub struct IndexShard {
    pub(crate) settings: ShardSettings,
    pub(crate) vm: VmName,
    pub(crate) index: PrefixIndex,
    pub(crate) tags: BTreeMap<TargetTag, TargetId>,
    /// The members of all indexes, those of this router's own first.
    pub(crate) members: Vec<VmName>,
    pub(crate) own_members: Vec<VmName>,
    far_members: Vec<Vec<VmName>>,
    /// The holders of each partition, as positions in `members`, owner first.
    pub(crate) holders: Vec<Vec<usize>>,
    readers: BTreeMap<TargetName, EngineReader>,
    pub(crate) peers: BTreeMap<VmName, PeerState>,
    pub(crate) suspects: BTreeMap<VmName, ClockTime>,
    pub(crate) waiting: BTreeMap<u64, WaitingLookup>,
    hints: BTreeMap<(VmName, TargetTag), BTreeSet<u64>>,
    read_back: Option<(BTreeSet<VmName>, ClockTime)>,
    ready: bool,
    last_forward: ClockTime,
    pub(crate) counters: PartCounters,
}

impl IndexShard {
    /// Returns the part of the router on `vm`.
    pub fn new(vm: VmName, settings: ShardSettings) -> IndexShard {
        IndexShard {
            settings,
            vm,
            index: PrefixIndex::new(settings.index),
            tags: BTreeMap::new(),
            members: Vec::new(),
            own_members: Vec::new(),
            far_members: Vec::new(),
            holders: Vec::new(),
            readers: BTreeMap::new(),
            peers: BTreeMap::new(),
            suspects: BTreeMap::new(),
            waiting: BTreeMap::new(),
            hints: BTreeMap::new(),
            read_back: None,
            ready: false,
            last_forward: ClockTime::ZERO,
            counters: PartCounters::default(),
        }
    }

    /// Returns the entries that this router holds.
    pub fn index(&self) -> &PrefixIndex {
        &self.index
    }

    /// Returns whether the entries of the peers have been read back.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns what was done so far.
    pub fn counters(&self) -> PartCounters {
        self.counters
    }

    /// Returns the router that reads the events of `target`, by rendezvous hashing over the members.
    pub fn reader_of(&self, target: &TargetName) -> Option<&VmName> {
        let place = rendezvous::owner(TargetTag::of(target.as_str()).0, &self.own_members)?;
        self.own_members.get(place)
    }

    /// Returns the `after` with which to read the events of `target` next.
    pub fn next_sequence(&self, target: &str) -> u64 {
        self.readers.get(target).map_or(0, |reader| reader.feed.next_sequence())
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Targets(names) => self.set_targets(names),
            ShardEvent::Members(members) => {
                self.own_members = members;
                self.set_members(now, actions);
            }
            ShardEvent::RemoteMembers(members) => {
                self.far_members = members;
                self.set_members(now, actions);
            }
            ShardEvent::Cache { target, batch } => self.take_cache(now, target, batch, actions),
            ShardEvent::StopReading(target) => {
                self.readers.remove(&target);
            }
            ShardEvent::Lookup { token, chain } => self.begin_lookup(now, token, chain, actions),
            ShardEvent::Dispatched { target, chain } => self.take_dispatch(now, &target, &chain),
            ShardEvent::Message { from, message } => self.take_message(now, from, message, actions),
            ShardEvent::Stop => self.hand_over(now, actions),
            ShardEvent::Tick => self.tick(now, actions),
        }
    }

    fn set_targets(&mut self, names: Vec<TargetName>) {
        let gone: Vec<TargetName> = self
            .index
            .targets()
            .map(|(name, _)| name.clone())
            .filter(|name| !names.contains(name))
            .collect();
        for name in gone {
            self.index.remove_target(&name);
            self.readers.remove(&name);
            self.tags.remove(&TargetTag::of(name.as_str()));
        }
        for name in names {
            let id = self.index.add_target(&name);
            self.tags.insert(TargetTag::of(name.as_str()), id);
        }
    }

    fn set_members(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let far = self.far_members.iter().flatten();
        let members: Vec<VmName> = self.own_members.iter().chain(far).cloned().collect();
        if members == self.members {
            return;
        }
        self.forward(now, actions);
        let before = std::mem::replace(&mut self.members, members);
        let old = std::mem::take(&mut self.holders);
        self.holders = (0..PARTS).map(|part| self.rank_holders(part)).collect();
        self.peers.retain(|vm, _| self.members.contains(vm));
        let held_before = |vm: &VmName, part: u16| {
            let order = old.get(usize::from(part));
            order.is_some_and(|order| order.iter().any(|&place| before[place] == *vm))
        };
        for vm in self.members.clone() {
            let gained: Vec<bool> =
                (0..PARTS).map(|part| self.holds(&vm, part) && !held_before(&vm, part)).collect();
            if gained.contains(&true) {
                let targets = self.read_entries(false, |part| gained[usize::from(part)]);
                if vm == self.vm {
                    self.apply_entries(now, &vm, &targets);
                } else {
                    self.send_entries(now, &vm, targets, actions);
                }
            }
        }
        let joined = self.members.contains(&self.vm) && !before.contains(&self.vm);
        if joined && !self.ready {
            self.begin_read_back(now, actions);
        }
    }

    /// Returns the holders of a partition in this router's own index, then those in the far ones.
    fn rank_holders(&self, part: u16) -> Vec<usize> {
        let mut holders = rendezvous::rank(u64::from(part), &self.own_members);
        holders.truncate(self.settings.replicas);
        let mut base = self.own_members.len();
        for group in &self.far_members {
            let order = rendezvous::rank(u64::from(part), group);
            holders
                .extend(order.iter().take(self.settings.remote_replicas).map(|place| base + place));
            base += group.len();
        }
        holders
    }

    fn begin_read_back(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let others: BTreeSet<VmName> =
            self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        for to in &others {
            self.peers.entry(to.clone()).or_default().asked = Some(now);
            actions
                .push(ShardAction::Send { to: to.clone(), message: ShardMessage::RequestSnapshot });
        }
        self.read_back = Some((others, now + self.settings.read_back_wait));
        self.settle_read_back(now, actions);
    }

    fn settle_read_back(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let over =
            |(missing, until): &(BTreeSet<VmName>, ClockTime)| missing.is_empty() || now >= *until;
        if self.read_back.as_ref().is_some_and(over) {
            self.read_back = None;
            self.ready = true;
            actions.push(ShardAction::Ready);
        }
    }

    fn holds(&self, vm: &VmName, part: u16) -> bool {
        let order = self.holders.get(usize::from(part));
        order.is_some_and(|order| order.iter().any(|&place| self.members[place] == *vm))
    }

    fn read_entries(&self, replace: bool, wanted: impl Fn(u16) -> bool) -> Vec<TargetEntries> {
        self.readers
            .values()
            .map(|reader| reader.snapshot(&wanted, replace))
            .filter(|entries| replace || !entries.ops.is_empty())
            .collect()
    }

    fn take_cache(
        &mut self,
        now: ClockTime,
        target: TargetName,
        batch: FeedBatch,
        actions: &mut Vec<ShardAction>,
    ) {
        let Some(id) = self.index.target_id(target.as_str()) else { return };
        let tag = TargetTag::of(target.as_str());
        let reader = self
            .readers
            .entry(target.clone())
            .or_insert_with(|| EngineReader::new(tag, self.settings.feed));
        let mut steps = Vec::new();
        reader.feed.receive(now, batch, &mut steps);
        let mut asked = false;
        for step in &steps {
            asked |= reader.take(step);
        }
        self.index.bind(id, reader.incarnation);
        if asked {
            actions.push(ShardAction::RequestSnapshot(target));
        }
    }

    fn take_dispatch(&mut self, now: ClockTime, target: &TargetName, chain: &PrefixChain) {
        let Some(id) = self.index.target_id(target.as_str()) else { return };
        let Some(first) = chain.first() else { return };
        self.index.record_dispatch(now, id, chain.hashes());
        let tag = TargetTag::of(target.as_str());
        let order = self.holders.get(usize::from(part_of(first.short_hash())));
        for &place in order.into_iter().flatten() {
            let vm = &self.members[place];
            if *vm != self.vm {
                let hints = self.hints.entry((vm.clone(), tag)).or_default();
                hints.extend(chain.hashes().iter().map(|piece| piece.short_hash()));
            }
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let overdue: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, lookup)| now >= lookup.until)
            .map(|(&token, _)| token)
            .collect();
        for token in overdue {
            if let Some(lookup) = self.waiting.remove(&token) {
                self.suspects.insert(lookup.holder, now + self.settings.suspect_span);
                self.counters.fallback += 1;
                self.answer(now, token, &lookup.chain, LookupSource::Fallback, actions);
            }
        }
        let mut asked = Vec::new();
        for (target, reader) in &mut self.readers {
            let mut steps = Vec::new();
            reader.feed.tick(now, &mut steps);
            if steps.iter().fold(false, |asked, step| reader.take(step) | asked) {
                asked.push(ShardAction::RequestSnapshot(target.clone()));
            }
        }
        actions.extend(asked);
        if now.since(self.last_forward) >= self.settings.forward_window {
            self.forward(now, actions);
        }
        self.repair(now, actions);
        self.index.sweep(now, SWEEP_SLOTS);
        self.settle_read_back(now, actions);
    }

    /// Sends the collected changes to the holders of their partitions.
    pub(crate) fn forward(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        self.last_forward = now;
        let mut outgoing: BTreeMap<usize, Vec<TargetEntries>> = BTreeMap::new();
        let holders = &self.holders;
        for reader in self.readers.values_mut() {
            let Some((gap, replace, ops)) = reader.take_pending() else { continue };
            let mut lists: BTreeMap<usize, Vec<EntryOp>> = BTreeMap::new();
            if gap || replace {
                lists.extend((0..self.members.len()).map(|place| (place, Vec::new())));
            }
            for (part, op) in ops {
                for &place in holders.get(usize::from(part)).into_iter().flatten() {
                    lists.entry(place).or_default().push(op);
                }
            }
            for (place, ops) in lists {
                outgoing.entry(place).or_default().push(reader.entries(gap, replace, ops));
            }
        }
        for ((vm, tag), pieces) in std::mem::take(&mut self.hints) {
            let Some(place) = self.members.iter().position(|member| *member == vm) else {
                continue;
            };
            let bound = self.tags.get(&tag).and_then(|&id| self.index.incarnation(id));
            let incarnation = bound.unwrap_or_default();
            let ops = pieces.into_iter().map(EntryOp::Noted).collect();
            let entries = TargetEntries { tag, incarnation, gap: false, replace: false, ops };
            outgoing.entry(place).or_default().push(entries);
        }
        for (place, targets) in outgoing {
            let vm = self.members[place].clone();
            if vm == self.vm {
                self.apply_entries(now, &vm, &targets);
            } else {
                self.send_entries(now, &vm, targets, actions);
            }
        }
    }

    fn send_entries(
        &mut self,
        now: ClockTime,
        to: &VmName,
        targets: Vec<TargetEntries>,
        actions: &mut Vec<ShardAction>,
    ) {
        if targets.is_empty() {
            return;
        }
        self.send_batch(now, to, EntryBatch { targets }, actions);
    }

    pub(crate) fn send_batch(
        &mut self,
        now: ClockTime,
        to: &VmName,
        batch: EntryBatch,
        actions: &mut Vec<ShardAction>,
    ) {
        let peer = self.peers.entry(to.clone()).or_default();
        let message = ShardMessage::Entries { sequence: peer.sent, batch: batch.encode() };
        peer.sent += 1;
        peer.sent_at = now;
        self.counters.entry_bytes += message.bytes() as u64;
        actions.push(ShardAction::Send { to: to.clone(), message });
    }

    fn take_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: ShardMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            ShardMessage::Entries { sequence, batch } => {
                self.check_sequence(now, &from, sequence, actions);
                self.take_batch(now, &from, &batch);
            }
            ShardMessage::Snapshot { sequence, batch } => {
                let peer = self.peers.entry(from.clone()).or_default();
                peer.expected = Some(sequence);
                peer.asked = None;
                self.take_batch(now, &from, &batch);
                if let Some((missing, _)) = &mut self.read_back {
                    missing.remove(&from);
                }
                self.settle_read_back(now, actions);
            }
            ShardMessage::Handoff { batch } => self.take_batch(now, &from, &batch),
            ShardMessage::RequestSnapshot => self.send_snapshot(&from, actions),
            ShardMessage::Lookup { token, blocks: pieces } => {
                let message = ShardMessage::Reply { token, matches: self.matches(now, &pieces) };
                self.counters.lookup_bytes += message.bytes() as u64;
                actions.push(ShardAction::Send { to: from, message });
            }
            ShardMessage::Reply { token, matches } => self.take_reply(token, &matches, actions),
        }
    }

    fn check_sequence(
        &mut self,
        now: ClockTime,
        from: &VmName,
        sequence: u64,
        actions: &mut Vec<ShardAction>,
    ) {
        let retry = self.settings.feed.snapshot_retry;
        let peer = self.peers.entry(from.clone()).or_default();
        let expected = peer.expected.replace(sequence + 1);
        if expected.unwrap_or(0) == sequence {
            return;
        }
        self.counters.lost += 1;
        for tag in &peer.targets {
            if let Some(&id) = self.tags.get(tag) {
                self.index.mark_unconfirmed(id);
            }
        }
        if peer.asked.is_none_or(|asked| now.since(asked) >= retry) {
            peer.asked = Some(now);
            let message = ShardMessage::RequestSnapshot;
            actions.push(ShardAction::Send { to: from.clone(), message });
        }
    }

    fn send_snapshot(&mut self, to: &VmName, actions: &mut Vec<ShardAction>) {
        let targets = self.read_entries(true, |part| self.holds(to, part));
        let batch = EntryBatch { targets }.encode();
        let sequence = self.peers.entry(to.clone()).or_default().sent;
        let message = ShardMessage::Snapshot { sequence, batch };
        self.counters.snapshot_bytes += message.bytes() as u64;
        actions.push(ShardAction::Send { to: to.clone(), message });
    }

    fn take_batch(&mut self, now: ClockTime, from: &VmName, bytes: &[u8]) {
        match EntryBatch::decode(bytes) {
            Ok(batch) => self.apply_entries(now, from, &batch.targets),
            Err(_) => self.counters.malformed += 1,
        }
    }

    fn apply_entries(&mut self, now: ClockTime, from: &VmName, targets: &[TargetEntries]) {
        for entries in targets {
            let Some(&id) = self.tags.get(&entries.tag) else { continue };
            let unknown = entries.incarnation == Incarnation::default();
            if !unknown && !self.index.bind(id, entries.incarnation) {
                continue;
            }
            let noted = |op: &EntryOp| matches!(op, EntryOp::Noted(_));
            if !entries.ops.iter().all(noted) || entries.replace {
                self.peers.entry(from.clone()).or_default().targets.insert(entries.tag);
            }
            if entries.gap {
                self.index.mark_unconfirmed(id);
            }
            if entries.replace {
                self.index.replace(id);
            }
            for op in &entries.ops {
                match *op {
                    EntryOp::Stored(piece) => self.index.store(now, id, piece),
                    EntryOp::Evicted(piece) => self.index.evict(id, piece),
                    EntryOp::Noted(piece) => self.index.note_piece(now, id, piece),
                }
            }
        }
    }
}

/// The slots swept on each tick; a table of 4.8 M slots is swept once in about 12 s at 10 ms per tick.
const SWEEP_SLOTS: usize = 4_096;
