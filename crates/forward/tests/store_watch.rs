//! Simulates a store that only some routers watch for the others: routers lose the store, each other, or both, or are
//! rejected by the store, are
//! suspended, killed alone or together, and the store itself becomes unavailable. A router that can reach the store
//! must learn every change within the operator's bound, whatever happens to the watchers on which it relies.

mod support;

use std::sync::Arc;

use godwitroad_base::{SeededRandom, StoreEra, StoreRevision, VmName};
use godwitroad_forward::{
    ForwardEvent, GossipMessage, RelayPeer, StoreRoute, StoreStep, TargetRecord,
};
use support::{TestRouter, at, place, rules, settings, target};
use yare::parameterized;

/// The operator's bound for learning of a change.
const APPLY_BOUND_MS: u64 = 2_500;
/// The same bound where the store rejects routers silently: they notice it only when calls time out.
const REJECTED_APPLY_BOUND_MS: u64 = 4_000;
/// How long a router must have been without faults before a change for that bound to apply to it.
const CONNECTED_MS: u64 = 3_000;
/// The operator's limit for the average rate of store calls of one router.
const MAX_CALLS_PER_SECOND: f64 = 1.0;
const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 40_000;
const ROUTERS: usize = 8;
const LATENCY_MS: u64 = 20;
/// The time after the end of its wait at which an unanswered call fails.
const CALL_TIMEOUT_MS: u64 = 700;

/// The faults that a simulation injects.
#[derive(Clone, Copy, Default)]
struct FaultPlan {
    /// Single routers lose the store.
    store_cuts: bool,
    /// Single routers lose their peers.
    peer_cuts: bool,
    /// Single routers are suspended.
    suspensions: bool,
    /// Routers are killed, sometimes many at once.
    kills: bool,
    /// The store is unavailable.
    outages: bool,
    /// The store rejects some routers, which counts as no fault: they must learn every change through the others.
    rejections: bool,
}

struct Node {
    router: TestRouter,
    // The revision up to which it has read; `None` before its first listing.
    after: Option<u64>,
    // The start and the wait of the call in progress, and the peers through one of which it is made.
    call: Option<(u64, u64, Vec<RelayPeer>)>,
    // Whether the last call failed; the next one doesn't wait then.
    is_failing: bool,
    // When the router acts next.
    next: u64,
    calls: u64,
    store_cut_until: u64,
    rejected_until: u64,
    peer_cut_until: u64,
    suspended_until: u64,
    dead_until: u64,
    // When the router was last affected by a fault.
    last_fault: u64,
}

struct Fleet {
    random: SeededRandom,
    nodes: Vec<Node>,
    starts: u64,
    // When each change was written; revisions and configuration versions count these changes from 1.
    changes: Vec<u64>,
    store_down_until: u64,
    last_store_fault: u64,
    messages: Vec<(u64, usize, GossipMessage)>,
}

fn start(starts: &mut u64, now: u64, index: usize) -> TestRouter {
    *starts += 1;
    let mut settings = settings(&format!("vm-{index}"), index as u8 + 1);
    settings.place = place_of(index);
    settings.incarnation = *starts;
    let mut router = TestRouter::new(settings);
    for other in 0..ROUTERS {
        router.handle(now, ForwardEvent::PeerListed(place_of(other)));
    }
    router
}

fn place_of(index: usize) -> godwitroad_forward::PeerPlace {
    place(&format!("vm-{index}"), ["a", "b", "c"][index % 3], index as u8 + 1)
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), number)
}

// Returns the store's contents at a revision: every change brings a new configuration and drains another target.
fn state_at(revision: u64) -> Vec<ForwardEvent> {
    let mut events = vec![ForwardEvent::Rules(Arc::new(rules(revision)))];
    for number in 0..4 {
        let draining = revision % 4 == number;
        let name = format!("plain-{number}");
        let record = TargetRecord { draining, ..target(&name, "plain", "a", 10 + number as u8) };
        events.push(ForwardEvent::Target(record));
    }
    events
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut starts = 0;
        let nodes = (0..ROUTERS).map(|index| Node {
            router: start(&mut starts, 0, index),
            after: None,
            call: None,
            is_failing: false,
            next: 0,
            calls: 0,
            store_cut_until: 0,
            rejected_until: 0,
            peer_cut_until: 0,
            suspended_until: 0,
            dead_until: 0,
            last_fault: 0,
        });
        let nodes = nodes.collect();
        let random = SeededRandom::new(seed);
        let changes = vec![0];
        Fleet {
            random,
            nodes,
            starts,
            changes,
            store_down_until: 0,
            last_store_fault: 0,
            messages: Vec::new(),
        }
    }

    fn inject_faults(&mut self, now: u64, plan: FaultPlan) {
        let length = 500 + self.random.below(7_000);
        if plan.outages && self.random.chance(0.0008) {
            self.store_down_until = now + length;
        }
        if plan.rejections && self.random.chance(0.003) {
            // The last router is never rejected, so that the others can learn of changes.
            let rejected = (0..ROUTERS - 1).filter(|_| self.random.chance(0.4));
            for index in rejected.collect::<Vec<_>>() {
                self.nodes[index].rejected_until = now + length;
            }
        }
        let is_mass_kill = plan.kills && self.random.chance(0.0004);
        for index in 0..ROUTERS {
            let length = 500 + self.random.below(6_000);
            // The first routers by name watch the store, so they get most faults.
            let chance = if index < 3 { 0.002 } else { 0.0005 };
            let node = &mut self.nodes[index];
            if plan.store_cuts && self.random.chance(chance) {
                node.store_cut_until = now + length;
            }
            if plan.peer_cuts && self.random.chance(chance) {
                node.peer_cut_until = now + length;
            }
            if plan.suspensions && self.random.chance(chance) {
                node.suspended_until = now + length;
            }
            if plan.kills && self.random.chance(chance) || is_mass_kill {
                node.dead_until = now + 300 + length / 4;
                node.router = start(&mut self.starts, now, index);
                (node.after, node.call, node.next) = (None, None, node.dead_until);
                node.is_failing = false;
            }
            let until = node.store_cut_until.max(node.peer_cut_until).max(node.suspended_until);
            if now < until.max(node.dead_until) {
                node.last_fault = now;
            }
        }
        if now < self.store_down_until {
            self.last_store_fault = now;
        }
    }

    fn is_running(&self, now: u64, index: usize) -> bool {
        let node = &self.nodes[index];
        now >= node.suspended_until && now >= node.dead_until
    }

    // Returns whether the store answers calls of a router at its own address.
    fn is_answered(&self, now: u64, index: usize) -> bool {
        let node = &self.nodes[index];
        now >= self.store_down_until.max(node.store_cut_until).max(node.rejected_until)
    }

    // Returns the first of these peers that gives a connection to the store.
    fn relay(&self, now: u64, index: usize, peers: &[RelayPeer]) -> Option<(usize, VmName)> {
        let is_open = |peer: usize| {
            let cut_until = [index, peer].map(|router| self.nodes[router].peer_cut_until);
            self.is_running(now, peer)
                && now >= cut_until[0].max(cut_until[1])
                && self.nodes[peer].router.state.relays_store()
        };
        let index_of = |vm: &VmName| (0..ROUTERS).find(|peer| place_of(*peer).vm == *vm);
        let mut open = peers.iter().filter_map(|peer| Some((index_of(&peer.vm)?, peer.vm.clone())));
        open.find(|(peer, _)| is_open(*peer))
    }

    fn begin_call(&mut self, now: u64, index: usize, is_direct: bool) {
        let node = &mut self.nodes[index];
        let step =
            node.after.map(|after| node.router.state.next_store_step(at(now), revision(after)));
        let wait = match step {
            _ if node.is_failing => 1,
            None | Some(StoreStep::Read | StoreStep::CatchUp) => 1,
            Some(StoreStep::Watch(wait)) => wait.as_ms(),
            Some(StoreStep::Idle) => return,
        };
        let peers = match node.router.state.plan_store_call(at(now)) {
            StoreRoute::Direct => Vec::new(),
            StoreRoute::Peers { peers, tries_direct } => {
                if tries_direct {
                    node.router.state.record_store_call(at(now), None, is_direct);
                }
                peers
            }
        };
        node.call = Some((now, wait, peers));
        node.calls += 1;
        node.next = now + LATENCY_MS;
    }

    fn call_store(&mut self, now: u64, index: usize) {
        let newest = self.changes.len() as u64;
        let is_direct = self.is_answered(now, index);
        let peers = self.nodes[index].call.clone().map_or(Vec::new(), |(_, _, peers)| peers);
        let relay = self.relay(now, index, &peers);
        let is_down = match &relay {
            Some((peer, _)) => !self.is_answered(now, *peer),
            None => !peers.is_empty() || !is_direct,
        };
        let peer = relay.map(|(_, vm)| vm);
        let node = &mut self.nodes[index];
        if now < node.next {
            return;
        }
        let Some((from, wait, _)) = node.call else {
            self.begin_call(now, index, is_direct);
            return;
        };
        if is_down {
            if now >= from + wait + CALL_TIMEOUT_MS {
                if peers.is_empty() || peer.is_some() {
                    node.router.state.record_store_call(at(now), peer.as_ref(), false);
                }
                node.router.handle(now, ForwardEvent::StoreFailed);
                node.call = None;
                node.is_failing = true;
                node.next = now + 300;
            }
            return;
        }
        let has_changes = node.after.is_none_or(|after| newest > after);
        if !has_changes && now < from + wait {
            return;
        }
        node.call = None;
        node.is_failing = false;
        node.router.state.record_store_call(at(now), peer.as_ref(), true);
        if has_changes {
            for event in state_at(newest) {
                node.router.handle(now, event);
            }
            if node.after.is_some() {
                node.router.handle(now, ForwardEvent::StoreChanged { revision: revision(newest) });
            }
            let is_first = node.router.state.is_first_watcher(at(now));
            node.next = now + if is_first { 160 } else { 640 };
            node.after = Some(newest);
        }
        node.router.handle(now, ForwardEvent::StoreAnswered { read_from: at(from) });
    }

    fn send_gossip(&mut self, now: u64, index: usize) {
        let is_cut = now < self.nodes[index].peer_cut_until;
        if !self.is_running(now, index) || is_cut || !now.is_multiple_of(200) {
            return;
        }
        let node = &mut self.nodes[index];
        node.router.handle(now, ForwardEvent::Tick);
        let message = node.router.gossip_message(now);
        for to in (0..ROUTERS).filter(|to| *to != index) {
            // Some datagrams are lost.
            if self.random.chance(0.03) {
                continue;
            }
            let delay = 1 + self.random.below(40);
            self.messages.push((now + delay, to, message.clone()));
        }
    }

    fn deliver_gossip(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(time, ..)| *time <= now);
        self.messages = later;
        for (_, to, message) in due {
            if self.is_running(now, to) && now >= self.nodes[to].peer_cut_until {
                self.nodes[to].router.receive(now, message);
            }
        }
    }

    fn step(&mut self, now: u64, plan: FaultPlan) {
        self.inject_faults(now, plan);
        let chance = if plan.rejections { 0.01 } else { 0.004 };
        if self.random.chance(chance) && now >= self.store_down_until {
            self.changes.push(now);
        }
        self.deliver_gossip(now);
        for index in 0..ROUTERS {
            if self.is_running(now, index) {
                self.call_store(now, index);
            }
            self.send_gossip(now, index);
        }
    }

    // Returns the changes that a connected router has not learned in time.
    fn missed_changes(&self, now: u64, bound: u64) -> Vec<String> {
        let due = self.changes.iter().rposition(|written| written + bound <= now);
        let Some(due) = due else { return Vec::new() };
        let since = self.changes[due].saturating_sub(CONNECTED_MS);
        if self.last_store_fault > since {
            return Vec::new();
        }
        let connected = self.nodes.iter().enumerate().filter(|(_, node)| node.last_fault <= since);
        let late = connected.filter(|(_, node)| {
            let version = node.router.state.rules().map_or(0, |rules| rules.version);
            version < due as u64 + 1
        });
        late.map(|(index, _)| format!("vm-{index} at {now}: change {}", due + 1)).collect()
    }
}

#[parameterized(
    no_faults = { FaultPlan::default() },
    store_cuts = { FaultPlan { store_cuts: true, ..FaultPlan::default() } },
    peer_cuts = { FaultPlan { peer_cuts: true, ..FaultPlan::default() } },
    suspensions = { FaultPlan { suspensions: true, ..FaultPlan::default() } },
    kills = { FaultPlan { kills: true, ..FaultPlan::default() } },
    outages = { FaultPlan { outages: true, ..FaultPlan::default() } },
    rejections = { FaultPlan { rejections: true, ..FaultPlan::default() } },
    all = { FaultPlan {
        store_cuts: true, peer_cuts: true, suspensions: true, kills: true, outages: true, rejections: false
    } },
)]
fn a_connected_router_learns_every_change_in_time(plan: FaultPlan) {
    let bound = if plan.rejections { REJECTED_APPLY_BOUND_MS } else { APPLY_BOUND_MS };
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, plan);
            let missed_changes = fleet.missed_changes(now, bound);
            assert!(missed_changes.is_empty(), "seed {seed}: {missed_changes:?}");
        }
        assert!(fleet.changes.len() > 2, "seed {seed}: nothing changed");
    }
}

#[test]
fn store_calls_stay_within_the_bound_while_changes_come() {
    let mut calls = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, FaultPlan::default());
        }
        calls += fleet.nodes.iter().map(|node| node.calls).sum::<u64>();
    }
    let rate = calls as f64 * 1_000.0 / (20 * ROUTERS as u64 * LENGTH_MS) as f64;
    assert!(rate <= MAX_CALLS_PER_SECOND, "{rate} calls a second and router");
}

#[test]
fn proofs_of_watchers_keep_the_other_routers_ready() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, FaultPlan::default());
            let is_ready = |node: &Node| node.router.state.readiness(at(now)).is_ok();
            assert!(now < 500 || fleet.nodes.iter().all(is_ready), "seed {seed} at {now}");
        }
    }
}

// All routers of a zone hear of a change at the same time. If they all asked its watcher at once, it would answer no
// other calls for long.
#[test]
fn routers_of_a_zone_read_a_change_at_different_times_and_watchers_are_asked_last() {
    let mut own = TestRouter::new(settings("vm-own", 200));
    let template =
        GossipMessage { shares_changes: true, revision: revision(9), ..own.gossip_message(1) };
    for index in 0..40 {
        let place = place(&format!("vm-{index:02}"), "a", index + 1);
        let message = GossipMessage { place, watches_store: index == 0, ..template.clone() };
        own.receive(2, message);
    }
    let pauses: Vec<u64> = (0..100).map(|_| own.state.catch_up_pause(at(3)).as_ms()).collect();
    assert!(pauses.iter().all(|pause| *pause <= 640), "{pauses:?}");
    let soon = pauses.iter().filter(|pause| **pause < 100).count();
    assert!((5..30).contains(&soon), "{soon} of 100 in the first 100 ms");
    for _ in 0..20 {
        let peers = own.state.change_peers(at(3), revision(8));
        assert!(!peers.is_empty() && peers.iter().all(|peer| peer.vm != "vm-00".into()));
    }
    assert!(own.state.change_peers(at(3), revision(9)).is_empty());
}

#[test]
fn an_urgent_change_is_read_from_peers_that_have_it_although_others_have_newer_changes() {
    let mut own = TestRouter::new(settings("vm-own", 200));
    let template = GossipMessage { shares_changes: true, ..own.gossip_message(1) };
    let hear = |own: &mut TestRouter, index: u8, sequence: u64| {
        let message = GossipMessage {
            place: place(&format!("vm-{index:02}"), "a", index + 1),
            sequence,
            revision: revision(sequence),
            urgent_revision: revision(if sequence >= 12 { 12 } else { 3 }),
            watches_store: index == 0,
            ..template.clone()
        };
        own.receive(2, message);
    };
    (1..20).for_each(|index| hear(&mut own, index, 9));
    hear(&mut own, 0, 13);
    let first = |own: &mut TestRouter| own.state.change_peers(at(3), revision(8))[0].vm.clone();
    assert_eq!(first(&mut own), "vm-00".into());
    hear(&mut own, 7, 12);
    assert_eq!(first(&mut own), "vm-07".into(), "the watcher is needed for the next change");
}

/// Guards against pauses that are each short enough, and together longer than the bound for the next change of a series.
#[parameterized(
    nine = { 9, 2_500 },
    ninety_seven = { 97, 4_000 },
    large = { 295, 4_000 },
    thousand = { 1_000, 4_000 },
)]
fn the_pauses_until_a_change_is_read_add_up_to_less_than_the_bound(routers: usize, bound_ms: u64) {
    // A read from a peer that answers in time, and the way of two messages.
    const READ_MS: u64 = 400;
    const MESSAGES_MS: u64 = 2 * 60;
    const MARGIN_MS: u64 = 500;
    let place = |number: usize| {
        let address =
            std::net::Ipv4Addr::new(10, 4, (number / 250) as u8, (number % 250) as u8 + 1);
        let zone = ["a", "b", "c", "d", "e", "f"][number % 6.min(routers / 3)];
        let vm = format!("vm-{number:04}").as_str().into();
        godwitroad_forward::PeerPlace { vm, zone: zone.into(), address: address.into() }
    };
    let mut own = TestRouter::new(settings("vm-own", 1));
    let template = GossipMessage { watches_store: true, ..own.gossip_message(1) };
    for number in 1..routers {
        own.receive(2, GossipMessage { place: place(number), ..template.clone() });
    }
    let watcher_ms = own.state.batch_delay(at(3)).as_ms();
    let pause_ms = (0..1_000).map(|_| own.state.catch_up_pause(at(3)).as_ms()).max().unwrap_or(0);
    // The watcher's urgent message may have to wait for a regular round.
    let gossip_ms = 200;
    let reader_ms = own.state.peer_batch_delay().as_ms();
    let sum = watcher_ms + gossip_ms + reader_ms + pause_ms + READ_MS + MESSAGES_MS;
    assert!(
        sum <= bound_ms - MARGIN_MS,
        "{watcher_ms} + {gossip_ms} + {reader_ms} + {pause_ms} + {READ_MS} + {MESSAGES_MS} = {sum} ms"
    );
}
