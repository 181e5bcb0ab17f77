//! Distribution of the prefix index over the routers of an availability zone.
//!
//! The first block of a chain determines its partition. Rendezvous hashing assigns each partition to an owner and a
//! second replica. One router reads the events of an engine and forwards the entries to both. The reader remains the
//! source of the entries of its engines: a holder that lost entries requests a snapshot from the readers, so the
//! replicas need no consensus.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockTime, Incarnation, TargetName, VmName, rendezvous};

use crate::{
    chain::PrefixChain,
    feed::FeedBatch,
    index::PrefixIndex,
    matches::TargetId,
    message::{LookupSource, ShardAction, ShardCounters, ShardEvent, ShardMessage, ShardSettings},
    reader::{EngineReader, PARTITIONS, partition_of},
    wire::{EntryBatch, EntryOp, TargetEntries, TargetTag},
};

#[derive(Clone, Debug)]
pub(crate) struct PendingLookup {
    pub(crate) chain: PrefixChain,
    pub(crate) holder: VmName,
    pub(crate) deadline: ClockTime,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct PeerState {
    /// The sequence number of the next message to the peer.
    pub(crate) next_sequence: u64,
    pub(crate) last_sent: ClockTime,
    /// The sequence number of the next message from the peer, or `None` before the first one.
    expected: Option<u64>,
    /// The targets whose entries this peer sent, which a lost message makes unconfirmed.
    targets: BTreeSet<TargetTag>,
    /// The time of the last request for a snapshot that the peer has not answered.
    pub(crate) requested_at: Option<ClockTime>,
}

/// The index shard of one router.
#[derive(Clone, Debug)]
pub struct IndexShard {
    pub(crate) settings: ShardSettings,
    pub(crate) vm: VmName,
    pub(crate) index: PrefixIndex,
    pub(crate) tags: BTreeMap<TargetTag, TargetId>,
    /// The members of the local index, followed by those of the remote indexes.
    pub(crate) members: Vec<VmName>,
    pub(crate) local_members: Vec<VmName>,
    remote_members: Vec<Vec<VmName>>,
    /// The holders of each partition as positions in `members`, with the owner first.
    pub(crate) holders: Vec<Vec<usize>>,
    /// The engines whose events this router reads.
    readers: BTreeMap<TargetName, EngineReader>,
    pub(crate) peers: BTreeMap<VmName, PeerState>,
    /// The routers that didn't answer a lookup in time, with the time until which no lookup is sent to them.
    pub(crate) suspects: BTreeMap<VmName, ClockTime>,
    pub(crate) pending_lookups: BTreeMap<u64, PendingLookup>,
    /// The short hashes of dispatched blocks that have not been sent to the holder yet.
    unsent_dispatches: BTreeMap<(VmName, TargetTag), BTreeSet<u64>>,
    /// The peers whose snapshots are outstanding after this router joined, and the deadline for them.
    initial_sync: Option<(BTreeSet<VmName>, ClockTime)>,
    ready: bool,
    last_forward: ClockTime,
    pub(crate) counters: ShardCounters,
}

impl IndexShard {
    /// Returns the empty shard of the router on `vm`.
    pub fn new(vm: VmName, settings: ShardSettings) -> IndexShard {
        IndexShard {
            settings,
            vm,
            index: PrefixIndex::new(settings.index),
            tags: BTreeMap::new(),
            members: Vec::new(),
            local_members: Vec::new(),
            remote_members: Vec::new(),
            holders: Vec::new(),
            readers: BTreeMap::new(),
            peers: BTreeMap::new(),
            suspects: BTreeMap::new(),
            pending_lookups: BTreeMap::new(),
            unsent_dispatches: BTreeMap::new(),
            initial_sync: None,
            ready: false,
            last_forward: ClockTime::ZERO,
            counters: ShardCounters::default(),
        }
    }

    /// Returns the local index, which has the entries of the partitions that this router holds.
    pub fn index(&self) -> &PrefixIndex {
        &self.index
    }

    /// Returns whether the shard has received the entries of its peers after this router joined.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the counters since the shard was created.
    pub fn counters(&self) -> ShardCounters {
        self.counters
    }

    /// Returns the router that reads the events of `target`, chosen by rendezvous hashing over the local members.
    pub fn reader_of(&self, target: &TargetName) -> Option<&VmName> {
        let position = rendezvous::owner(TargetTag::of(target.as_str()).0, &self.local_members)?;
        self.local_members.get(position)
    }

    /// Returns the sequence number from which to read the events of `target` next, for the parameter `after`.
    pub fn next_sequence(&self, target: &str) -> u64 {
        self.readers.get(target).map_or(0, |reader| reader.feed.next_sequence())
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Targets(names) => self.set_targets(names),
            ShardEvent::Members(members) => {
                self.local_members = members;
                self.set_members(now, actions);
            }
            ShardEvent::RemoteMembers(members) => {
                self.remote_members = members;
                self.set_members(now, actions);
            }
            ShardEvent::Cache { target, batch } => {
                self.receive_cache_events(now, target, batch, actions)
            }
            ShardEvent::StopReading(target) => {
                self.readers.remove(&target);
            }
            ShardEvent::Lookup { token, chain } => self.begin_lookup(now, token, chain, actions),
            ShardEvent::Dispatched { target, chain } => self.apply_dispatch(now, &target, &chain),
            ShardEvent::Message { from, message } => {
                self.receive_message(now, from, message, actions)
            }
            ShardEvent::Stop => self.hand_off(now, actions),
            ShardEvent::Tick => self.tick(now, actions),
        }
    }

    fn set_targets(&mut self, names: Vec<TargetName>) {
        let removed: Vec<TargetName> = self
            .index
            .targets()
            .map(|(name, _)| name.clone())
            .filter(|name| !names.contains(name))
            .collect();
        for name in removed {
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
        let remote = self.remote_members.iter().flatten();
        let members: Vec<VmName> = self.local_members.iter().chain(remote).cloned().collect();
        if members == self.members {
            return;
        }
        self.forward(now, actions);
        let old_members = std::mem::replace(&mut self.members, members);
        let old_holders = std::mem::take(&mut self.holders);
        self.holders = (0..PARTITIONS).map(|partition| self.rank_holders(partition)).collect();
        self.peers.retain(|vm, _| self.members.contains(vm));
        let was_holder = |vm: &VmName, partition: u16| {
            let holders = old_holders.get(usize::from(partition));
            holders
                .is_some_and(|holders| holders.iter().any(|&position| old_members[position] == *vm))
        };
        for vm in self.members.clone() {
            let gained: Vec<bool> = (0..PARTITIONS)
                .map(|partition| self.holds(&vm, partition) && !was_holder(&vm, partition))
                .collect();
            if gained.contains(&true) {
                let targets =
                    self.reader_entries(false, |partition| gained[usize::from(partition)]);
                if vm == self.vm {
                    self.apply_entries(now, &vm, &targets);
                } else {
                    self.send_entries(now, &vm, targets, actions);
                }
            }
        }
        let joined = self.members.contains(&self.vm) && !old_members.contains(&self.vm);
        if joined && !self.ready {
            self.begin_initial_sync(now, actions);
        }
    }

    /// Returns the holders of a partition in the local index, followed by those in each remote index.
    fn rank_holders(&self, partition: u16) -> Vec<usize> {
        let mut holders = rendezvous::rank(u64::from(partition), &self.local_members);
        holders.truncate(self.settings.replicas);
        let mut base = self.local_members.len();
        for group in &self.remote_members {
            let ranked = rendezvous::rank(u64::from(partition), group);
            holders.extend(
                ranked.iter().take(self.settings.remote_replicas).map(|position| base + position),
            );
            base += group.len();
        }
        holders
    }

    fn begin_initial_sync(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let others: BTreeSet<VmName> =
            self.members.iter().filter(|vm| **vm != self.vm).cloned().collect();
        for to in &others {
            self.peers.entry(to.clone()).or_default().requested_at = Some(now);
            actions
                .push(ShardAction::Send { to: to.clone(), message: ShardMessage::RequestSnapshot });
        }
        self.initial_sync = Some((others, now + self.settings.initial_sync_wait));
        self.finish_initial_sync(now, actions);
    }

    fn finish_initial_sync(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let is_complete = |(missing, deadline): &(BTreeSet<VmName>, ClockTime)| {
            missing.is_empty() || now >= *deadline
        };
        if self.initial_sync.as_ref().is_some_and(is_complete) {
            self.initial_sync = None;
            self.ready = true;
            actions.push(ShardAction::Ready);
        }
    }

    fn holds(&self, vm: &VmName, partition: u16) -> bool {
        let holders = self.holders.get(usize::from(partition));
        holders.is_some_and(|holders| holders.iter().any(|&position| self.members[position] == *vm))
    }

    fn reader_entries(&self, replace: bool, selected: impl Fn(u16) -> bool) -> Vec<TargetEntries> {
        self.readers
            .values()
            .map(|reader| reader.snapshot(&selected, replace))
            .filter(|entries| replace || !entries.ops.is_empty())
            .collect()
    }

    fn receive_cache_events(
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
        let mut feed_actions = Vec::new();
        reader.feed.receive(now, batch, &mut feed_actions);
        let mut snapshot_requested = false;
        for feed_action in &feed_actions {
            snapshot_requested |= reader.apply(feed_action);
        }
        self.index.bind(id, reader.incarnation);
        if snapshot_requested {
            actions.push(ShardAction::RequestSnapshot(target));
        }
    }

    fn apply_dispatch(&mut self, now: ClockTime, target: &TargetName, chain: &PrefixChain) {
        let Some(id) = self.index.target_id(target.as_str()) else { return };
        let Some(first) = chain.first() else { return };
        self.index.record_dispatch(now, id, chain.hashes());
        let tag = TargetTag::of(target.as_str());
        let holders = self.holders.get(usize::from(partition_of(first.short_hash())));
        for &position in holders.into_iter().flatten() {
            let vm = &self.members[position];
            if *vm != self.vm {
                let unsent = self.unsent_dispatches.entry((vm.clone(), tag)).or_default();
                unsent.extend(chain.hashes().iter().map(|block| block.short_hash()));
            }
        }
    }

    fn tick(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        let overdue: Vec<u64> = self
            .pending_lookups
            .iter()
            .filter(|(_, lookup)| now >= lookup.deadline)
            .map(|(&token, _)| token)
            .collect();
        for token in overdue {
            if let Some(lookup) = self.pending_lookups.remove(&token) {
                self.suspects.insert(lookup.holder, now + self.settings.suspect_span);
                self.counters.fallback += 1;
                self.answer_locally(now, token, &lookup.chain, LookupSource::Fallback, actions);
            }
        }
        let mut snapshot_requests = Vec::new();
        for (target, reader) in &mut self.readers {
            let mut feed_actions = Vec::new();
            reader.feed.tick(now, &mut feed_actions);
            if feed_actions
                .iter()
                .fold(false, |requested, feed_action| reader.apply(feed_action) | requested)
            {
                snapshot_requests.push(ShardAction::RequestSnapshot(target.clone()));
            }
        }
        actions.extend(snapshot_requests);
        if now.since(self.last_forward) >= self.settings.forward_window {
            self.forward(now, actions);
        }
        self.repair(now, actions);
        self.index.sweep(now, SWEEP_SLOTS_PER_TICK);
        self.finish_initial_sync(now, actions);
    }

    /// Sends the pending changes and dispatched blocks to the holders of their partitions.
    pub(crate) fn forward(&mut self, now: ClockTime, actions: &mut Vec<ShardAction>) {
        self.last_forward = now;
        let mut outgoing: BTreeMap<usize, Vec<TargetEntries>> = BTreeMap::new();
        let holders = &self.holders;
        for reader in self.readers.values_mut() {
            let Some((gap, replace, ops)) = reader.take_pending() else { continue };
            let mut lists: BTreeMap<usize, Vec<EntryOp>> = BTreeMap::new();
            if gap || replace {
                lists.extend((0..self.members.len()).map(|position| (position, Vec::new())));
            }
            for (partition, op) in ops {
                for &position in holders.get(usize::from(partition)).into_iter().flatten() {
                    lists.entry(position).or_default().push(op);
                }
            }
            for (position, ops) in lists {
                outgoing.entry(position).or_default().push(reader.entries(gap, replace, ops));
            }
        }
        for ((vm, tag), blocks) in std::mem::take(&mut self.unsent_dispatches) {
            let Some(position) = self.members.iter().position(|member| *member == vm) else {
                continue;
            };
            let bound = self.tags.get(&tag).and_then(|&id| self.index.incarnation(id));
            let incarnation = bound.unwrap_or_default();
            let ops = blocks.into_iter().map(EntryOp::Provisional).collect();
            let entries = TargetEntries { tag, incarnation, gap: false, replace: false, ops };
            outgoing.entry(position).or_default().push(entries);
        }
        for (position, targets) in outgoing {
            let vm = self.members[position].clone();
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
        let message = ShardMessage::Entries { sequence: peer.next_sequence, batch: batch.encode() };
        peer.next_sequence += 1;
        peer.last_sent = now;
        self.counters.entry_bytes += message.bytes() as u64;
        actions.push(ShardAction::Send { to: to.clone(), message });
    }

    fn receive_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: ShardMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            ShardMessage::Entries { sequence, batch } => {
                self.check_sequence(now, &from, sequence, actions);
                self.apply_batch(now, &from, &batch);
            }
            ShardMessage::Snapshot { sequence, batch } => {
                let peer = self.peers.entry(from.clone()).or_default();
                peer.expected = Some(sequence);
                peer.requested_at = None;
                self.apply_batch(now, &from, &batch);
                if let Some((missing, _)) = &mut self.initial_sync {
                    missing.remove(&from);
                }
                self.finish_initial_sync(now, actions);
            }
            ShardMessage::Handoff { batch } => self.apply_batch(now, &from, &batch),
            ShardMessage::RequestSnapshot => self.send_snapshot(&from, actions),
            ShardMessage::Lookup { token, blocks } => {
                let message = ShardMessage::Reply { token, matches: self.matches(now, &blocks) };
                self.counters.lookup_bytes += message.bytes() as u64;
                actions.push(ShardAction::Send { to: from, message });
            }
            ShardMessage::Reply { token, matches } => self.receive_reply(token, &matches, actions),
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
        if peer.requested_at.is_none_or(|requested_at| now.since(requested_at) >= retry) {
            peer.requested_at = Some(now);
            let message = ShardMessage::RequestSnapshot;
            actions.push(ShardAction::Send { to: from.clone(), message });
        }
    }

    fn send_snapshot(&mut self, to: &VmName, actions: &mut Vec<ShardAction>) {
        let targets = self.reader_entries(true, |partition| self.holds(to, partition));
        let batch = EntryBatch { targets }.encode();
        let sequence = self.peers.entry(to.clone()).or_default().next_sequence;
        let message = ShardMessage::Snapshot { sequence, batch };
        self.counters.snapshot_bytes += message.bytes() as u64;
        actions.push(ShardAction::Send { to: to.clone(), message });
    }

    fn apply_batch(&mut self, now: ClockTime, from: &VmName, bytes: &[u8]) {
        match EntryBatch::decode(bytes) {
            Ok(batch) => self.apply_entries(now, from, &batch.targets),
            Err(_) => self.counters.malformed += 1,
        }
    }

    fn apply_entries(&mut self, now: ClockTime, from: &VmName, targets: &[TargetEntries]) {
        for entries in targets {
            let Some(&id) = self.tags.get(&entries.tag) else { continue };
            let is_unbound = entries.incarnation == Incarnation::default();
            if !is_unbound && !self.index.bind(id, entries.incarnation) {
                continue;
            }
            let provisional = |op: &EntryOp| matches!(op, EntryOp::Provisional(_));
            if !entries.ops.iter().all(provisional) || entries.replace {
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
                    EntryOp::Stored(block) => self.index.store(now, id, block),
                    EntryOp::Evicted(block) => self.index.evict(id, block),
                    EntryOp::Provisional(block) => {
                        self.index.record_dispatched_block(now, id, block)
                    }
                }
            }
        }
    }
}

/// The number of table slots swept on each tick; at 10 ms per tick, a table of 4.8 M slots is swept in about 12 s.
const SWEEP_SLOTS_PER_TICK: usize = 4_096;
