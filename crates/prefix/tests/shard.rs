//! Guards against index entries that are lost, outdated or invented when messages are lost or routers fail.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockTime, Incarnation, SeededRandom, TargetName, VmName};
use godwitroad_prefix::{
    BlockHash, CacheChange, FeedBatch, IndexShard, LookupSource, PrefixChain, ShardAction,
    ShardEvent, ShardMessage, ShardSettings, TargetId,
};

/// The routers of one availability zone and the messages between them.
struct ZoneSimulation {
    shards: BTreeMap<VmName, IndexShard>,
    messages: VecDeque<(VmName, VmName, ShardMessage)>,
    found: Vec<(u64, usize, LookupSource)>,
    ready: Vec<VmName>,
    now: u64,
    loss: Option<SeededRandom>,
}

impl ZoneSimulation {
    fn new(count: usize) -> ZoneSimulation {
        let mut zone = ZoneSimulation {
            shards: BTreeMap::new(),
            messages: VecDeque::new(),
            found: Vec::new(),
            ready: Vec::new(),
            now: 0,
            loss: None,
        };
        (0..count).for_each(|position| zone.start(&format!("vm-{position}")));
        zone.set_members();
        zone.deliver_messages();
        zone
    }

    fn start(&mut self, vm: &str) {
        let mut shard = IndexShard::new(vm.into(), ShardSettings::default());
        let targets = ShardEvent::Targets(vec![engine()]);
        shard.handle(ClockTime::from_ms(self.now), targets, &mut Vec::new());
        self.shards.insert(vm.into(), shard);
    }

    fn set_members(&mut self) {
        let members: Vec<VmName> = self.shards.keys().cloned().collect();
        for vm in members.clone() {
            self.send_event(&vm, ShardEvent::Members(members.clone()));
        }
    }

    fn send_event(&mut self, vm: &VmName, event: ShardEvent) {
        let Some(shard) = self.shards.get_mut(vm) else { return };
        let mut actions = Vec::new();
        shard.handle(ClockTime::from_ms(self.now), event, &mut actions);
        for action in actions {
            match action {
                ShardAction::Send { to, message } => {
                    let is_lost = self.loss.as_mut().is_some_and(|random| random.chance(0.2));
                    if !is_lost {
                        self.messages.push_back((vm.clone(), to, message));
                    }
                }
                ShardAction::Found { token, matches, source } => {
                    self.found.push((token, matches.usable(TargetId(0)), source));
                }
                ShardAction::Ready => self.ready.push(vm.clone()),
                ShardAction::RequestSnapshot(_) | ShardAction::HandoffComplete => {}
            }
        }
    }

    fn deliver_messages(&mut self) {
        while let Some((from, to, message)) = self.messages.pop_front() {
            self.send_event(&to, ShardEvent::Message { from, message });
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            for vm in self.shards.keys().cloned().collect::<Vec<_>>() {
                self.send_event(&vm, ShardEvent::Tick);
            }
            self.deliver_messages();
        }
    }

    fn reader(&self) -> VmName {
        let shard = self.shards.values().next().expect("a zone has routers");
        shard.reader_of(&engine()).expect("a member reads each engine").clone()
    }

    fn publish(&mut self, first: u64, incarnation: u64, changes: Vec<CacheChange>) {
        let batch =
            FeedBatch { incarnation: Incarnation(incarnation), first, snapshot: false, changes };
        let reader = self.reader();
        self.send_event(&reader, ShardEvent::Cache { target: engine(), batch });
    }

    /// Looks `chain` up at every router and returns the number of cached blocks and the source of each answer.
    fn look_up(&mut self, chain: &PrefixChain) -> Vec<(usize, LookupSource)> {
        self.found.clear();
        for vm in self.shards.keys().cloned().collect::<Vec<_>>() {
            self.send_event(&vm, ShardEvent::Lookup { token: 1, chain: chain.clone() });
            self.deliver_messages();
        }
        self.advance(20);
        self.found.iter().map(|&(_, usable, source)| (usable, source)).collect()
    }
}

fn engine() -> TargetName {
    "engine-0".into()
}

fn chain(number: u64) -> PrefixChain {
    let block = |position: u64| {
        BlockHash(u128::from((number * 8 + position + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    };
    PrefixChain::from_hashes((0..3).map(block).collect())
}

fn stored(chain: &PrefixChain) -> Vec<CacheChange> {
    let blocks = chain.hashes();
    let parent = |position: usize| position.checked_sub(1).map(|position| blocks[position]);
    let change =
        |position| CacheChange::Stored { block: blocks[position], parent: parent(position) };
    (0..blocks.len()).map(change).collect()
}

fn depths(found: &[(usize, LookupSource)]) -> Vec<usize> {
    found.iter().map(|&(depth, _)| depth).collect()
}

#[test]
fn every_router_finds_the_entries_that_one_router_reads() {
    let mut zone = ZoneSimulation::new(5);
    for number in 0..20 {
        zone.publish(number * 3, 1, stored(&chain(number)));
    }
    zone.advance(30);
    for number in 0..20 {
        let found = zone.look_up(&chain(number));
        assert_eq!(depths(&found), [3; 5]);
        let local = found.iter().filter(|(_, source)| *source == LookupSource::Local).count();
        assert_eq!(local, 2, "both replicas answer locally, the other routers send a lookup");
    }
}

#[test]
fn entries_survive_the_failure_of_a_partition_owner() {
    let mut zone = ZoneSimulation::new(4);
    (0..20).for_each(|number| zone.publish(number * 3, 1, stored(&chain(number))));
    zone.advance(30);
    let reader = zone.reader();
    let failed = zone.shards.keys().find(|vm| **vm != reader).unwrap().clone();
    zone.shards.remove(&failed);
    // Until the roster changes, a lookup at the failed router is answered by the second replica or locally.
    zone.look_up(&chain(0));
    assert_eq!(zone.found.len(), 3, "every lookup has an answer");
    zone.set_members();
    zone.deliver_messages();
    for number in 0..20 {
        assert_eq!(depths(&zone.look_up(&chain(number))), [3; 3], "chain {number}");
    }
}

#[test]
fn a_restarted_router_is_ready_only_after_its_peers_have_answered() {
    let mut zone = ZoneSimulation::new(4);
    (0..20).for_each(|number| zone.publish(number * 3, 1, stored(&chain(number))));
    zone.advance(30);
    let reader = zone.reader();
    let restarted = zone.shards.keys().find(|vm| **vm != reader).unwrap().clone();
    zone.shards.remove(&restarted);
    zone.set_members();
    zone.deliver_messages();
    zone.ready.clear();
    zone.start(restarted.as_str());
    assert!(!zone.shards[&restarted].is_ready());
    zone.set_members();
    assert!(!zone.shards[&restarted].is_ready(), "peers have not answered yet");
    zone.deliver_messages();
    assert_eq!(zone.ready, [restarted]);
    for number in 0..20 {
        assert_eq!(depths(&zone.look_up(&chain(number))), [3; 4], "chain {number}");
    }
}

#[test]
fn lost_messages_are_detected_and_repaired() {
    for seed in 1..20 {
        let mut zone = ZoneSimulation::new(4);
        zone.loss = Some(SeededRandom::new(seed));
        for number in 0..20 {
            zone.publish(number * 3, 1, stored(&chain(number)));
            zone.advance(30);
        }
        let evicted = CacheChange::Evicted { block: chain(0).hashes()[2] };
        zone.publish(60, 1, vec![evicted]);
        zone.advance(30);
        // No more events are published, so the loss of the last message must be detected without a later one.
        zone.loss = None;
        zone.advance(4_000);
        assert_eq!(depths(&zone.look_up(&chain(0))), [2; 4], "seed {seed}");
        for number in 1..20 {
            assert_eq!(depths(&zone.look_up(&chain(number))), [3; 4], "seed {seed}");
        }
    }
}

#[test]
fn entries_of_an_earlier_incarnation_are_invalid_at_every_router() {
    let mut zone = ZoneSimulation::new(4);
    zone.publish(0, 1, stored(&chain(0)));
    zone.advance(30);
    zone.publish(0, 2, stored(&chain(1)));
    zone.advance(30);
    assert_eq!(depths(&zone.look_up(&chain(0))), [0; 4]);
    assert_eq!(depths(&zone.look_up(&chain(1))), [3; 4]);
    zone.publish(3, 1, stored(&chain(2)));
    zone.advance(30);
    assert_eq!(depths(&zone.look_up(&chain(2))), [0; 4]);
}

#[test]
fn a_stopping_router_hands_off_its_entries() {
    let mut zone = ZoneSimulation::new(3);
    zone.publish(0, 1, stored(&chain(0)));
    let reader = zone.reader();
    zone.send_event(&reader, ShardEvent::Stop);
    zone.deliver_messages();
    zone.shards.remove(&reader);
    zone.set_members();
    zone.deliver_messages();
    assert_eq!(depths(&zone.look_up(&chain(0))), [3; 2]);
}

#[test]
fn a_dispatched_prompt_counts_as_cached_at_every_router_until_it_expires() {
    let mut zone = ZoneSimulation::new(4);
    let vm: VmName = "vm-0".into();
    zone.send_event(&vm, ShardEvent::Dispatched { target: engine(), chain: chain(0) });
    zone.advance(30);
    assert_eq!(depths(&zone.look_up(&chain(0))), [3; 4]);
    zone.advance(3_500);
    assert_eq!(depths(&zone.look_up(&chain(0))), [0; 4]);
}
