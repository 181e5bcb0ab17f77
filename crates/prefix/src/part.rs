//! The index divided over the routers of a zone.
//!
//! The first piece of a chain decides its partition; rendezvous hashing names the owner and the second copy. The
//! events of an engine are read by one router, which forwards entries to both. The reader stays the source of its
//! engines' entries: whoever lost something asks the readers again, so that nothing needs agreement.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, Incarnation, TargetName, VmName, rendezvous};
use serde::{Deserialize, Serialize};

use crate::{
    chain::PieceChain,
    feed::{FeedBatch, FeedSettings},
    index::{IndexSettings, PrefixIndex, PrefixMatches, TargetId},
    reader::{EngineReader, PARTS, part_of},
    wire::{EntryBatch, EntryOp, TargetEntries, TargetTag},
};

/// The settings of a router's part of the index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartSettings {
    /// The number of routers that hold each partition.
    pub copies: usize,
    /// The number of routers of each far index that hold a partition; zero at sizes at which regions keep apart.
    ///
    /// Any other value should equal `copies`, because a second copy answers lookups itself.
    pub far_copies: usize,
    /// The time for which changes are collected before they are forwarded.
    pub forward_window: ClockSpan,
    /// The time for which a lookup waits for the owner.
    pub lookup_wait: ClockSpan,
    /// The time for which an owner that did not answer is passed over.
    pub suspect_span: ClockSpan,
    /// The time for which a started router waits for its peers' entries.
    pub read_back_wait: ClockSpan,
    /// The settings of the index.
    pub index: IndexSettings,
    /// The settings of the engines' event feeds.
    pub feed: FeedSettings,
}

impl Default for PartSettings {
    fn default() -> PartSettings {
        PartSettings {
            copies: 2,
            far_copies: 2,
            forward_window: ClockSpan::from_ms(20),
            lookup_wait: ClockSpan::from_ms(10),
            suspect_span: ClockSpan::from_ms(500),
            read_back_wait: ClockSpan::from_secs(2),
            index: IndexSettings::default(),
            feed: FeedSettings::default(),
        }
    }
}

/// An event for a router's part of the index.
#[derive(Clone, Debug)]
pub enum PartEvent {
    /// The targets of the zone's services, from the configuration.
    Targets(Vec<TargetName>),
    /// The serving routers of the zone, from the roster; they include this one while it serves.
    Members(Vec<VmName>),
    /// The serving routers of other zones or regions whose requests may come to this router's engines, one list
    /// for each index of theirs.
    FarMembers(Vec<Vec<VmName>>),
    /// Cache events of an engine that this router reads.
    Cache {
        /// The engine.
        target: TargetName,
        /// The events.
        batch: FeedBatch,
    },
    /// This router no longer reads an engine.
    Unread(TargetName),
    /// The cached prefix of a prompt is wanted.
    Lookup {
        /// The caller's number, echoed in [`PartAction::Found`].
        token: u64,
        /// The prompt.
        chain: PieceChain,
    },
    /// A request was dispatched.
    Dispatched {
        /// The target.
        target: TargetName,
        /// The prompt.
        chain: PieceChain,
    },
    /// A peer sent a message.
    Message {
        /// The sender.
        from: VmName,
        /// The message.
        message: PartMessage,
    },
    /// The router will stop: hand everything over.
    Stop,
    /// Time passed.
    Tick,
}

/// What a router's part of the index asks for.
#[derive(Clone, Debug)]
pub enum PartAction {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: PartMessage,
    },
    /// A lookup has its answer.
    Found {
        /// The number of the lookup.
        token: u64,
        /// The longest usable prefixes.
        matches: PrefixMatches,
        /// Where the answer comes from.
        source: LookupSource,
    },
    /// Read a snapshot of the engine's cache.
    AskSnapshot(TargetName),
    /// The entries of the peers have arrived, or the time for them is over.
    Ready,
    /// The entries are handed over.
    HandedOver,
}

/// Where the answer to a lookup comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupSource {
    /// This router holds the partition.
    Local,
    /// Another router holds it and answered.
    Remote,
    /// The holder did not answer in time; only this router's own knowledge is used.
    Fallback,
}

/// A message between the parts of the index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PartMessage {
    /// Changed entries.
    Entries {
        /// The number of the message among those from this sender to this receiver.
        sequence: u64,
        /// The encoded [`EntryBatch`].
        batch: Vec<u8>,
    },
    /// Everything that the sender reads from engines, as far as the receiver holds it.
    Snapshot {
        /// The number that the next [`PartMessage::Entries`] carries.
        sequence: u64,
        /// The encoded [`EntryBatch`].
        batch: Vec<u8>,
    },
    /// Entries from a router that stops.
    HandOver {
        /// The encoded [`EntryBatch`].
        batch: Vec<u8>,
    },
    /// The sender wants a [`PartMessage::Snapshot`].
    AskSnapshot,
    /// A lookup.
    Lookup {
        /// The number of the lookup at the sender.
        token: u64,
        /// The pieces in their short form.
        pieces: Vec<u64>,
    },
    /// The answer to a lookup; targets that hold nothing are left out.
    Reply {
        /// The number of the lookup.
        token: u64,
        /// The matches.
        matches: Vec<TargetMatch>,
    },
}

impl PartMessage {
    /// Returns the length of the message on the wire, without the transport's frame.
    pub fn bytes(&self) -> usize {
        match self {
            PartMessage::Entries { batch, .. } | PartMessage::Snapshot { batch, .. } => {
                16 + batch.len()
            }
            PartMessage::HandOver { batch } => 8 + batch.len(),
            PartMessage::AskSnapshot => 1,
            PartMessage::Lookup { pieces, .. } => 16 + 8 * pieces.len(),
            PartMessage::Reply { matches, .. } => 16 + 12 * matches.len(),
        }
    }
}

/// The longest usable prefix at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetMatch {
    /// The target.
    pub tag: TargetTag,
    /// The number of leading pieces held as far as is known.
    pub usable: u16,
    /// The number of leading pieces that events confirm.
    pub confirmed: u16,
}

/// What a router's part of the index has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartCounters {
    /// Lookups answered from this router's own entries.
    pub local: u64,
    /// Lookups answered by another router.
    pub remote: u64,
    /// Lookups whose holder did not answer in time.
    pub fallback: u64,
    /// Bytes of forwarded entries.
    pub entry_bytes: u64,
    /// Bytes of snapshots and hand-overs.
    pub snapshot_bytes: u64,
    /// Bytes of lookups and replies.
    pub lookup_bytes: u64,
    /// Lost messages found by their numbers.
    pub lost: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
}

#[derive(Clone, Debug)]
struct WaitingLookup {
    chain: PieceChain,
    holder: VmName,
    until: ClockTime,
}

#[derive(Clone, Debug, Default)]
struct PeerState {
    sent: u64,
    expected: Option<u64>,
    /// The targets whose entries came from this peer.
    targets: BTreeSet<TargetTag>,
    asked: Option<ClockTime>,
}

/// One router's part of the index of its zone.
#[derive(Clone, Debug)]
pub struct IndexPart {
    settings: PartSettings,
    vm: VmName,
    index: PrefixIndex,
    tags: BTreeMap<TargetTag, TargetId>,
    /// The members of all indexes, those of this router's own first.
    members: Vec<VmName>,
    own_members: Vec<VmName>,
    far_members: Vec<Vec<VmName>>,
    /// The holders of each partition, as positions in `members`, owner first.
    holders: Vec<Vec<usize>>,
    readers: BTreeMap<TargetName, EngineReader>,
    peers: BTreeMap<VmName, PeerState>,
    suspects: BTreeMap<VmName, ClockTime>,
    waiting: BTreeMap<u64, WaitingLookup>,
    hints: BTreeMap<(VmName, TargetTag), BTreeSet<u64>>,
    read_back: Option<(BTreeSet<VmName>, ClockTime)>,
    ready: bool,
    last_forward: ClockTime,
    counters: PartCounters,
}

impl IndexPart {
    /// Returns the part of the router on `vm`.
    pub fn new(vm: VmName, settings: PartSettings) -> IndexPart {
        IndexPart {
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
    pub fn handle(&mut self, now: ClockTime, event: PartEvent, actions: &mut Vec<PartAction>) {
        match event {
            PartEvent::Targets(names) => self.set_targets(names),
            PartEvent::Members(members) => {
                self.own_members = members;
                self.set_members(now, actions);
            }
            PartEvent::FarMembers(members) => {
                self.far_members = members;
                self.set_members(now, actions);
            }
            PartEvent::Cache { target, batch } => self.take_cache(now, target, batch, actions),
            PartEvent::Unread(target) => {
                self.readers.remove(&target);
            }
            PartEvent::Lookup { token, chain } => self.begin_lookup(now, token, chain, actions),
            PartEvent::Dispatched { target, chain } => self.take_dispatch(now, &target, &chain),
            PartEvent::Message { from, message } => self.take_message(now, from, message, actions),
            PartEvent::Stop => self.hand_over(now, actions),
            PartEvent::Tick => self.tick(now, actions),
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

    fn set_members(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
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
            if vm != self.vm && gained.contains(&true) {
                let targets = self.read_entries(false, |part| gained[usize::from(part)]);
                self.send_entries(&vm, targets, actions);
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
        holders.truncate(self.settings.copies);
        let mut base = self.own_members.len();
        for group in &self.far_members {
            let order = rendezvous::rank(u64::from(part), group);
            holders.extend(order.iter().take(self.settings.far_copies).map(|place| base + place));
            base += group.len();
        }
        holders
    }

    fn begin_read_back(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
        let others: BTreeSet<VmName> =
            self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        for to in &others {
            self.peers.entry(to.clone()).or_default().asked = Some(now);
            actions.push(PartAction::Send { to: to.clone(), message: PartMessage::AskSnapshot });
        }
        self.read_back = Some((others, now + self.settings.read_back_wait));
        self.settle_read_back(now, actions);
    }

    fn settle_read_back(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
        let over =
            |(missing, until): &(BTreeSet<VmName>, ClockTime)| missing.is_empty() || now >= *until;
        if self.read_back.as_ref().is_some_and(over) {
            self.read_back = None;
            self.ready = true;
            actions.push(PartAction::Ready);
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
        actions: &mut Vec<PartAction>,
    ) {
        let Some(id) = self.index.target_id(target.as_str()) else { return };
        let tag = TargetTag::of(target.as_str());
        let reader = self
            .readers
            .entry(target.clone())
            .or_insert_with(|| EngineReader::new(tag, self.settings.feed));
        let mut steps = Vec::new();
        reader.feed.take(now, batch, &mut steps);
        let mut asked = false;
        for step in &steps {
            asked |= reader.take(step);
        }
        self.index.bind(id, reader.incarnation);
        if asked {
            actions.push(PartAction::AskSnapshot(target));
        }
    }

    fn take_dispatch(&mut self, now: ClockTime, target: &TargetName, chain: &PieceChain) {
        let Some(id) = self.index.target_id(target.as_str()) else { return };
        let Some(first) = chain.first() else { return };
        self.index.note_dispatch(now, id, chain.pieces());
        let tag = TargetTag::of(target.as_str());
        let order = &self.holders.get(usize::from(part_of(first.short())));
        for &place in order.iter().flat_map(|order| order.iter()) {
            let vm = &self.members[place];
            if *vm != self.vm {
                let hints = self.hints.entry((vm.clone(), tag)).or_default();
                hints.extend(chain.pieces().iter().map(|piece| piece.short()));
            }
        }
    }

    fn begin_lookup(
        &mut self,
        now: ClockTime,
        token: u64,
        chain: PieceChain,
        actions: &mut Vec<PartAction>,
    ) {
        let order = chain.first().and_then(|first| {
            let part = part_of(first.short());
            self.holders.get(usize::from(part)).cloned()
        });
        let mut order = order.unwrap_or_default();
        order.retain(|&place| place < self.own_members.len());
        let is_local =
            order.is_empty() || order.iter().any(|&place| self.members[place] == self.vm);
        if is_local {
            self.counters.local += 1;
            return self.answer(now, token, &chain, LookupSource::Local, actions);
        }
        let trusted = |place: &&usize| {
            self.suspects.get(&self.members[**place]).is_none_or(|&until| now >= until)
        };
        let Some(&place) = order.iter().find(trusted) else {
            self.counters.fallback += 1;
            return self.answer(now, token, &chain, LookupSource::Fallback, actions);
        };
        let holder = self.members[place].clone();
        let pieces = chain.pieces().iter().map(|piece| piece.short()).collect();
        let message = PartMessage::Lookup { token, pieces };
        self.counters.lookup_bytes += message.bytes() as u64;
        actions.push(PartAction::Send { to: holder.clone(), message });
        let until = now + self.settings.lookup_wait;
        self.waiting.insert(token, WaitingLookup { chain, holder, until });
    }

    fn answer(
        &self,
        now: ClockTime,
        token: u64,
        chain: &PieceChain,
        source: LookupSource,
        actions: &mut Vec<PartAction>,
    ) {
        let mut matches = PrefixMatches::default();
        self.index.lookup(now, chain, &mut matches);
        actions.push(PartAction::Found { token, matches, source });
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
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
                asked.push(PartAction::AskSnapshot(target.clone()));
            }
        }
        actions.extend(asked);
        if now.since(self.last_forward) >= self.settings.forward_window {
            self.forward(now, actions);
        }
        self.index.sweep(now, SWEEP_SLOTS);
        self.settle_read_back(now, actions);
    }

    /// Sends the collected changes to the holders of their partitions.
    fn forward(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
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
                self.send_entries(&vm, targets, actions);
            }
        }
    }

    fn send_entries(
        &mut self,
        to: &VmName,
        targets: Vec<TargetEntries>,
        actions: &mut Vec<PartAction>,
    ) {
        if targets.is_empty() {
            return;
        }
        let batch = EntryBatch { targets }.encode();
        let peer = self.peers.entry(to.clone()).or_default();
        let message = PartMessage::Entries { sequence: peer.sent, batch };
        peer.sent += 1;
        self.counters.entry_bytes += message.bytes() as u64;
        actions.push(PartAction::Send { to: to.clone(), message });
    }

    fn take_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: PartMessage,
        actions: &mut Vec<PartAction>,
    ) {
        match message {
            PartMessage::Entries { sequence, batch } => {
                self.check_sequence(now, &from, sequence, actions);
                self.take_batch(now, &from, &batch);
            }
            PartMessage::Snapshot { sequence, batch } => {
                let peer = self.peers.entry(from.clone()).or_default();
                peer.expected = Some(sequence);
                peer.asked = None;
                self.take_batch(now, &from, &batch);
                if let Some((missing, _)) = &mut self.read_back {
                    missing.remove(&from);
                }
                self.settle_read_back(now, actions);
            }
            PartMessage::HandOver { batch } => self.take_batch(now, &from, &batch),
            PartMessage::AskSnapshot => self.send_snapshot(&from, actions),
            PartMessage::Lookup { token, pieces } => {
                let message = PartMessage::Reply { token, matches: self.matches(now, &pieces) };
                self.counters.lookup_bytes += message.bytes() as u64;
                actions.push(PartAction::Send { to: from, message });
            }
            PartMessage::Reply { token, matches } => self.take_reply(token, &matches, actions),
        }
    }

    fn check_sequence(
        &mut self,
        now: ClockTime,
        from: &VmName,
        sequence: u64,
        actions: &mut Vec<PartAction>,
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
            let message = PartMessage::AskSnapshot;
            actions.push(PartAction::Send { to: from.clone(), message });
        }
    }

    fn send_snapshot(&mut self, to: &VmName, actions: &mut Vec<PartAction>) {
        let targets = self.read_entries(true, |part| self.holds(to, part));
        let batch = EntryBatch { targets }.encode();
        let sequence = self.peers.entry(to.clone()).or_default().sent;
        let message = PartMessage::Snapshot { sequence, batch };
        self.counters.snapshot_bytes += message.bytes() as u64;
        actions.push(PartAction::Send { to: to.clone(), message });
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

    fn matches(&self, now: ClockTime, pieces: &[u64]) -> Vec<TargetMatch> {
        let mut matches = PrefixMatches::default();
        self.index.lookup_short(now, pieces.iter().copied(), &mut matches);
        self.tags
            .iter()
            .filter(|&(_, &id)| matches.usable(id) > 0)
            .map(|(&tag, &id)| TargetMatch {
                tag,
                usable: matches.usable(id) as u16,
                confirmed: matches.confirmed(id) as u16,
            })
            .collect()
    }

    fn take_reply(&mut self, token: u64, list: &[TargetMatch], actions: &mut Vec<PartAction>) {
        // A reply after the time-out finds no lookup and is dropped: the request has gone already.
        let Some(lookup) = self.waiting.remove(&token) else { return };
        self.suspects.remove(&lookup.holder);
        self.counters.remote += 1;
        let mut matches = PrefixMatches::default();
        matches.reset(self.index.target_slots());
        for item in list {
            if let Some(&id) = self.tags.get(&item.tag) {
                matches.set(id, item.usable.into(), item.confirmed.into());
            }
        }
        actions.push(PartAction::Found { token, matches, source: LookupSource::Remote });
    }

    /// Sends this router's entries to the routers that hold the partitions without it.
    fn hand_over(&mut self, now: ClockTime, actions: &mut Vec<PartAction>) {
        self.forward(now, actions);
        let rest: Vec<VmName> = self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        if rest.is_empty() {
            actions.push(PartAction::HandedOver);
            return;
        }
        let mut lists: BTreeMap<TargetId, Vec<EntryOp>> = BTreeMap::new();
        self.index.for_each_live(now, |target, piece, provisional| {
            let op = if provisional { EntryOp::Noted(piece) } else { EntryOp::Stored(piece) };
            lists.entry(target).or_default().push(op);
        });
        let targets: Vec<TargetEntries> = lists
            .into_iter()
            .filter_map(|(target, ops)| {
                let tag = TargetTag::of(self.index.target_name(target)?.as_str());
                let incarnation = self.index.incarnation(target)?;
                Some(TargetEntries { tag, incarnation, gap: false, replace: false, ops })
            })
            .collect();
        let batch = EntryBatch { targets }.encode();
        for to in rest {
            let message = PartMessage::HandOver { batch: batch.clone() };
            self.counters.snapshot_bytes += message.bytes() as u64;
            actions.push(PartAction::Send { to, message });
        }
        actions.push(PartAction::HandedOver);
    }
}

/// The slots swept on each tick; a table of 4.8 M slots is swept once in about 12 s at 10 ms per tick.
const SWEEP_SLOTS: usize = 4_096;
