//! Guards against a zone whose routers lose, keep or invent index entries when messages or routers are lost.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockTime, Incarnation, SeededRandom, TargetName, VmName};
use godwitroad_prefix::{
    BlockHash, CacheChange, FeedBatch, IndexShard, LookupSource, PrefixChain, ShardAction,
    ShardEvent, ShardMessage, ShardSettings, TargetId,
};

/// Some routers of one zone and the messages between them.
struct ZoneWorld {
    parts: BTreeMap<VmName, IndexShard>,
    mail: VecDeque<(VmName, VmName, ShardMessage)>,
    found: Vec<(u64, usize, LookupSource)>,
    ready: Vec<VmName>,
    now: u64,
    lossy: Option<SeededRandom>,
}

impl ZoneWorld {
    fn new(count: usize) -> ZoneWorld {
        let mut world = ZoneWorld {
            parts: BTreeMap::new(),
            mail: VecDeque::new(),
            found: Vec::new(),
            ready: Vec::new(),
            now: 0,
            lossy: None,
        };
        (0..count).for_each(|place| world.start(&format!("vm-{place}")));
        world.set_members();
        world.settle();
        world
    }

    fn start(&mut self, vm: &str) {
        let mut part = IndexShard::new(vm.into(), ShardSettings::default());
        let targets = ShardEvent::Targets(vec![engine()]);
        part.handle(ClockTime::from_ms(self.now), targets, &mut Vec::new());
        self.parts.insert(vm.into(), part);
    }

    fn set_members(&mut self) {
        let members: Vec<VmName> = self.parts.keys().cloned().collect();
        for vm in members.clone() {
            self.tell(&vm, ShardEvent::Members(members.clone()));
        }
    }

    fn tell(&mut self, vm: &VmName, event: ShardEvent) {
        let Some(part) = self.parts.get_mut(vm) else { return };
        let mut actions = Vec::new();
        part.handle(ClockTime::from_ms(self.now), event, &mut actions);
        for action in actions {
            match action {
                ShardAction::Send { to, message } => {
                    let lost = self.lossy.as_mut().is_some_and(|random| random.chance(0.2));
                    if !lost {
                        self.mail.push_back((vm.clone(), to, message));
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

    fn settle(&mut self) {
        while let Some((from, to, message)) = self.mail.pop_front() {
            self.tell(&to, ShardEvent::Message { from, message });
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            for vm in self.parts.keys().cloned().collect::<Vec<_>>() {
                self.tell(&vm, ShardEvent::Tick);
            }
            self.settle();
        }
    }

    fn reader(&self) -> VmName {
        let part = self.parts.values().next().expect("a zone has routers");
        part.reader_of(&engine()).expect("a member reads each engine").clone()
    }

    fn publish(&mut self, first: u64, incarnation: u64, changes: Vec<CacheChange>) {
        let batch =
            FeedBatch { incarnation: Incarnation(incarnation), first, snapshot: false, changes };
        let reader = self.reader();
        self.tell(&reader, ShardEvent::Cache { target: engine(), batch });
    }

    /// Looks `chain` up at every router and returns the depths and sources.
    fn look_up(&mut self, chain: &PrefixChain) -> Vec<(usize, LookupSource)> {
        self.found.clear();
        for vm in self.parts.keys().cloned().collect::<Vec<_>>() {
            self.tell(&vm, ShardEvent::Lookup { token: 1, chain: chain.clone() });
            self.settle();
        }
        self.pass(20);
        self.found.iter().map(|&(_, usable, source)| (usable, source)).collect()
    }
}

fn engine() -> TargetName {
    "engine-0".into()
}

fn chain(number: u64) -> PrefixChain {
    let piece = |place: u64| {
        BlockHash(u128::from((number * 8 + place + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    };
    PrefixChain::from_hashes((0..3).map(piece).collect())
}

fn stored(chain: &PrefixChain) -> Vec<CacheChange> {
    let pieces = chain.hashes();
    let parent = |place: usize| place.checked_sub(1).map(|place| pieces[place]);
    let change = |place| CacheChange::Stored { block: pieces[place], parent: parent(place) };
    (0..pieces.len()).map(change).collect()
}

fn depths(found: &[(usize, LookupSource)]) -> Vec<usize> {
    found.iter().map(|&(depth, _)| depth).collect()
}

#[test]
fn every_router_finds_what_one_reads() {
    let mut world = ZoneWorld::new(5);
    for number in 0..20 {
        world.publish(number * 3, 1, stored(&chain(number)));
    }
    world.pass(30);
    for number in 0..20 {
        let found = world.look_up(&chain(number));
        assert_eq!(depths(&found), [3; 5]);
        let local = found.iter().filter(|(_, source)| *source == LookupSource::Local).count();
        assert_eq!(local, 2, "two copies answer themselves, the others ask once");
    }
}

#[test]
fn a_lost_owner_is_replaced_by_its_copy_without_a_loss() {
    let mut world = ZoneWorld::new(4);
    (0..20).for_each(|number| world.publish(number * 3, 1, stored(&chain(number))));
    world.pass(30);
    let reader = world.reader();
    let lost = world.parts.keys().find(|vm| **vm != reader).unwrap().clone();
    world.parts.remove(&lost);
    // Before the roster changes, a lookup at the lost router ends at its copy or falls back in bounded time.
    world.look_up(&chain(0));
    assert_eq!(world.found.len(), 3, "every lookup has an answer");
    world.set_members();
    world.settle();
    for number in 0..20 {
        assert_eq!(depths(&world.look_up(&chain(number))), [3; 3], "chain {number}");
    }
}

#[test]
fn a_restarted_router_is_ready_only_with_its_entries() {
    let mut world = ZoneWorld::new(4);
    (0..20).for_each(|number| world.publish(number * 3, 1, stored(&chain(number))));
    world.pass(30);
    let reader = world.reader();
    let restarted = world.parts.keys().find(|vm| **vm != reader).unwrap().clone();
    world.parts.remove(&restarted);
    world.set_members();
    world.settle();
    world.ready.clear();
    world.start(restarted.as_str());
    assert!(!world.parts[&restarted].is_ready());
    world.set_members();
    assert!(!world.parts[&restarted].is_ready(), "peers have not answered yet");
    world.settle();
    assert_eq!(world.ready, [restarted]);
    for number in 0..20 {
        assert_eq!(depths(&world.look_up(&chain(number))), [3; 4], "chain {number}");
    }
}

#[test]
fn lost_messages_are_found_and_repaired() {
    for seed in 1..20 {
        let mut world = ZoneWorld::new(4);
        world.lossy = Some(SeededRandom::new(seed));
        for number in 0..20 {
            world.publish(number * 3, 1, stored(&chain(number)));
            world.pass(30);
        }
        let evicted = CacheChange::Evicted { block: chain(0).hashes()[2] };
        world.publish(60, 1, vec![evicted]);
        world.pass(30);
        // Nothing more is published: the loss of the last message must be seen without another one.
        world.lossy = None;
        world.pass(4_000);
        assert_eq!(depths(&world.look_up(&chain(0))), [2; 4], "seed {seed}");
        for number in 1..20 {
            assert_eq!(depths(&world.look_up(&chain(number))), [3; 4], "seed {seed}");
        }
    }
}

#[test]
fn entries_of_a_dead_incarnation_are_gone_at_every_router() {
    let mut world = ZoneWorld::new(4);
    world.publish(0, 1, stored(&chain(0)));
    world.pass(30);
    world.publish(0, 2, stored(&chain(1)));
    world.pass(30);
    assert_eq!(depths(&world.look_up(&chain(0))), [0; 4]);
    assert_eq!(depths(&world.look_up(&chain(1))), [3; 4]);
    world.publish(3, 1, stored(&chain(2)));
    world.pass(30);
    assert_eq!(depths(&world.look_up(&chain(2))), [0; 4]);
}

#[test]
fn a_planned_stop_hands_entries_over() {
    let mut world = ZoneWorld::new(3);
    world.publish(0, 1, stored(&chain(0)));
    let reader = world.reader();
    world.tell(&reader, ShardEvent::Stop);
    world.settle();
    world.parts.remove(&reader);
    world.set_members();
    world.settle();
    assert_eq!(depths(&world.look_up(&chain(0))), [3; 2]);
}

#[test]
fn a_dispatch_counts_everywhere_until_its_time_out() {
    let mut world = ZoneWorld::new(4);
    let vm: VmName = "vm-0".into();
    world.tell(&vm, ShardEvent::Dispatched { target: engine(), chain: chain(0) });
    world.pass(30);
    assert_eq!(depths(&world.look_up(&chain(0))), [3; 4]);
    world.pass(3_500);
    assert_eq!(depths(&world.look_up(&chain(0))), [0; 4]);
}
