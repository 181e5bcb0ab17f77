//! Histories of a store that few routers follow for the others: routers lose the store, each other, or both, are
//! suspended, killed alone or together, and the store itself goes away and comes back. A router that is in touch with
//! the store must know every change within the operator's bound, whatever happens to the others.

mod support;

use std::sync::Arc;

use godwitroad_base::SeededRandom;
use godwitroad_forward::{ForwardEvent, GossipMessage, StoreStep, TargetRecord};
use support::{TestRouter, at, place, rules, settings, target};
use yare::parameterized;

/// The time in which a change must be known, and the time in touch before which the bound doesn't hold; both from the
/// operator's bounds.
const APPLY_MS: u64 = 2_500;
const CONTACT_MS: u64 = 3_000;
/// The operator's aim for calls of one router.
const CALLS_PER_SECOND: f64 = 1.0;
const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 40_000;
const ROUTERS: usize = 8;
const LATENCY_MS: u64 = 20;
/// What a call without an answer takes beyond its wait.
const GIVE_UP_MS: u64 = 700;

/// What a history is allowed to do wrong.
#[derive(Clone, Copy, Default)]
struct FaultPlan {
    /// Single routers lose the store.
    turned_away: bool,
    /// Single routers lose their peers.
    cuts: bool,
    /// Single routers are suspended.
    freezes: bool,
    /// Routers are killed, sometimes many at once.
    kills: bool,
    /// The store is away.
    outages: bool,
}

struct Node {
    router: TestRouter,
    // The revision up to which it has read; `None` before its list.
    after: Option<u64>,
    // The start of its call, its wait and when it will be answered or given up.
    call: Option<(u64, u64)>,
    next: u64,
    calls: u64,
    turned_away_until: u64,
    cut_until: u64,
    frozen_until: u64,
    dead_until: u64,
    // The last moment at which something was wrong with it.
    harmed: u64,
}

struct Fleet {
    random: SeededRandom,
    nodes: Vec<Node>,
    starts: u64,
    // When each revision was written, and the version of the configuration that it brought.
    changes: Vec<u64>,
    away_until: u64,
    store_harmed: u64,
    notes: Vec<(u64, usize, GossipMessage)>,
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

// Every change moves the configuration on and lets one more target leave.
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
            next: 0,
            calls: 0,
            turned_away_until: 0,
            cut_until: 0,
            frozen_until: 0,
            dead_until: 0,
            harmed: 0,
        });
        let nodes = nodes.collect();
        let random = SeededRandom::new(seed);
        let changes = vec![0];
        Fleet { random, nodes, starts, changes, away_until: 0, store_harmed: 0, notes: Vec::new() }
    }

    fn harm(&mut self, now: u64, plan: FaultPlan) {
        let length = 500 + self.random.below(7_000);
        if plan.outages && self.random.chance(0.0008) {
            self.away_until = now + length;
        }
        let herd = plan.kills && self.random.chance(0.0004);
        for index in 0..ROUTERS {
            let length = 500 + self.random.below(6_000);
            // The first routers by name follow the store, so that they are harmed most.
            let chance = if index < 3 { 0.002 } else { 0.0005 };
            let node = &mut self.nodes[index];
            if plan.turned_away && self.random.chance(chance) {
                node.turned_away_until = now + length;
            }
            if plan.cuts && self.random.chance(chance) {
                node.cut_until = now + length;
            }
            if plan.freezes && self.random.chance(chance) {
                node.frozen_until = now + length;
            }
            if plan.kills && self.random.chance(chance) || herd {
                node.dead_until = now + 300 + length / 4;
                node.router = start(&mut self.starts, now, index);
                (node.after, node.call, node.next) = (None, None, node.dead_until);
            }
            let until = node.turned_away_until.max(node.cut_until).max(node.frozen_until);
            if now < until.max(node.dead_until) {
                node.harmed = now;
            }
        }
        if now < self.away_until {
            self.store_harmed = now;
        }
    }

    fn is_running(&self, now: u64, index: usize) -> bool {
        let node = &self.nodes[index];
        now >= node.frozen_until && now >= node.dead_until
    }

    fn call(&mut self, now: u64, index: usize) {
        let newest = self.changes.len() as u64;
        let is_away = now < self.away_until || now < self.nodes[index].turned_away_until;
        let node = &mut self.nodes[index];
        if now < node.next {
            return;
        }
        let Some((from, wait)) = node.call else {
            let step = node.after.map(|after| node.router.state.next_store_step(at(now), after));
            let wait = match step {
                None | Some(StoreStep::Read) => 1,
                Some(StoreStep::Watch(wait)) => wait.as_ms(),
                Some(StoreStep::Idle) => return,
            };
            node.call = Some((now, wait));
            node.calls += 1;
            node.next = now + LATENCY_MS;
            return;
        };
        if is_away {
            if now >= from + wait + GIVE_UP_MS {
                node.router.handle(now, ForwardEvent::StoreFailed);
                node.call = None;
                node.next = now + 300;
            }
            return;
        }
        let has_news = node.after.is_none_or(|after| newest > after);
        if !has_news && now < from + wait {
            return;
        }
        node.call = None;
        if has_news {
            for event in state_at(newest) {
                node.router.handle(now, event);
            }
            if node.after.is_some() {
                node.router.handle(now, ForwardEvent::StoreChanged { revision: newest });
            }
            let is_first = node.router.state.is_first_watcher(at(now));
            node.next = now + if is_first { 160 } else { 640 };
            node.after = Some(newest);
        }
        node.router.handle(now, ForwardEvent::StoreAnswered { read_from: at(from) });
    }

    fn exchange(&mut self, now: u64, index: usize) {
        let is_cut = now < self.nodes[index].cut_until;
        if !self.is_running(now, index) || is_cut || !now.is_multiple_of(200) {
            return;
        }
        let node = &mut self.nodes[index];
        node.router.handle(now, ForwardEvent::Tick);
        let note = node.router.gossip_message(now);
        for to in (0..ROUTERS).filter(|to| *to != index) {
            // Single datagrams get lost.
            if self.random.chance(0.03) {
                continue;
            }
            let delay = 1 + self.random.below(40);
            self.notes.push((now + delay, to, note.clone()));
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.notes).into_iter().partition(|(time, ..)| *time <= now);
        self.notes = later;
        for (_, to, note) in due {
            if self.is_running(now, to) && now >= self.nodes[to].cut_until {
                self.nodes[to].router.handle(now, ForwardEvent::Gossip(note));
            }
        }
    }

    fn step(&mut self, now: u64, plan: FaultPlan) {
        self.harm(now, plan);
        if self.random.chance(0.004) && now >= self.away_until {
            self.changes.push(now);
        }
        self.deliver(now);
        for index in 0..ROUTERS {
            if self.is_running(now, index) {
                self.call(now, index);
            }
            self.exchange(now, index);
        }
    }

    // Changes that a router in touch does not know in time.
    fn missed(&self, now: u64) -> Vec<String> {
        let due = self.changes.iter().rposition(|written| written + APPLY_MS <= now);
        let Some(due) = due else { return Vec::new() };
        let since = self.changes[due].saturating_sub(CONTACT_MS);
        if self.store_harmed > since {
            return Vec::new();
        }
        let in_touch = self.nodes.iter().enumerate().filter(|(_, node)| node.harmed <= since);
        let late = in_touch.filter(|(_, node)| {
            let version = node.router.state.rules().map_or(0, |rules| rules.version);
            version < due as u64 + 1
        });
        late.map(|(index, _)| format!("vm-{index} at {now}: change {}", due + 1)).collect()
    }
}

#[parameterized(
    calm = { FaultPlan::default() },
    turned_away = { FaultPlan { turned_away: true, ..FaultPlan::default() } },
    cuts = { FaultPlan { cuts: true, ..FaultPlan::default() } },
    freezes = { FaultPlan { freezes: true, ..FaultPlan::default() } },
    kills = { FaultPlan { kills: true, ..FaultPlan::default() } },
    outages = { FaultPlan { outages: true, ..FaultPlan::default() } },
    all = { FaultPlan { turned_away: true, cuts: true, freezes: true, kills: true, outages: true } },
)]
fn a_router_in_touch_knows_every_change_in_time(plan: FaultPlan) {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, plan);
            let missed = fleet.missed(now);
            assert!(missed.is_empty(), "seed {seed}: {missed:?}");
        }
        assert!(fleet.changes.len() > 2, "seed {seed}: nothing changed");
    }
}

#[test]
fn calls_stay_within_the_aim_while_changes_come() {
    let mut calls = 0;
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, FaultPlan::default());
        }
        calls += fleet.nodes.iter().map(|node| node.calls).sum::<u64>();
    }
    let rate = calls as f64 * 1_000.0 / (20 * ROUTERS as u64 * LENGTH_MS) as f64;
    assert!(rate <= CALLS_PER_SECOND, "{rate} calls a second and router");
}

#[test]
fn proofs_of_followers_keep_the_others_in_contact() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed);
        for now in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now, FaultPlan::default());
            let young = |node: &Node| node.router.state.readiness(at(now)).is_ok();
            assert!(now < 500 || fleet.nodes.iter().all(young), "seed {seed} at {now}");
        }
    }
}
