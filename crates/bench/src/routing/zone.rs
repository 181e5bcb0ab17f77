//! The routers of the simulation among themselves: events of engines, messages, rosters and lookups.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, VmName};
use godwitroad_prefix::{PrefixMatches, ShardAction, ShardEvent};

use super::{
    node::{NodeMessage, PolicyKind, RouterNode},
    world::{SimEvent, World, region},
};

/// The time between two batches of an engine's cache events.
pub(super) const PUBLISH_US: u64 = 50_000;

const TICK_US: u64 = 10_000;

impl World<'_> {
    pub(super) fn publish(&mut self, engine: usize) {
        self.push(self.now + PUBLISH_US, SimEvent::Publish(engine));
        if self.policy != PolicyKind::Product {
            return;
        }
        let Some(batch) = self.engines[engine].publish() else { return };
        for router in 0..self.vms.len() {
            if self.reads(router, engine) && !self.random.chance(self.plan.lost) {
                let copies = 1 + usize::from(self.random.chance(self.plan.twice));
                for _ in 0..copies {
                    let at = self.now + 10_000 + self.random.below(150_000);
                    self.push(at, SimEvent::Cache { router, engine, batch: batch.clone() });
                }
            }
        }
    }

    pub(super) fn reads(&self, router: usize, engine: usize) -> bool {
        let is_near = region(self.router_zones[router]) == region(self.engine_zones[engine]);
        let node = self.nodes[router].as_ref().filter(|_| is_near);
        node.is_some_and(|node| node.part.reader_of(&self.names[engine]) == Some(&self.vms[router]))
    }

    pub(super) fn tick(&mut self) {
        self.push(self.now + TICK_US, SimEvent::Tick);
        if self.policy != PolicyKind::Product {
            return;
        }
        for router in 0..self.vms.len() {
            self.tell_part(router, ShardEvent::Tick);
            self.send_hints(router);
        }
    }

    pub(super) fn send_hints(&mut self, router: usize) {
        let now = self.clock();
        let Some(message) = self.nodes[router].as_mut().and_then(|node| node.take_hints(now))
        else {
            return;
        };
        for to in (0..self.vms.len()).filter(|&to| to != router) {
            self.send(router, to, message.clone());
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: NodeMessage) {
        let zones = (self.router_zones[from], self.router_zones[to]);
        let distance = if zones.0 == zones.1 {
            0
        } else {
            1 + usize::from(region(zones.0) != region(zones.1))
        };
        if distance == 2 {
            self.result.link_bytes += message.bytes();
        }
        let delay = self.firm.network_us[distance];
        self.push(self.now + delay, SimEvent::Peer { from, to, message });
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: NodeMessage) {
        let now = self.clock();
        let vm = self.vms[from].clone();
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[to] {
            node.take_message(now, vm, message, &mut actions);
        }
        self.carry_out(to, actions);
    }

    pub(super) fn start_router(&mut self, router: usize) {
        let seed = self.random.next_u64();
        let mut node =
            RouterNode::new(self.clock(), &self.vms[router], &self.names, self.policy, seed);
        node.is_ready = self.policy != PolicyKind::Product;
        self.nodes[router] = Some(node);
    }

    pub(super) fn set_members(&mut self) {
        if self.policy != PolicyKind::Product {
            return;
        }
        let read_before: BTreeMap<(usize, usize), bool> =
            self.pairs(|world, router, engine| world.reads(router, engine));
        for router in 0..self.vms.len() {
            let home = region(self.router_zones[router]);
            let far = self.live_in(1 - home);
            self.tell_part(router, ShardEvent::RemoteMembers(vec![far]));
            let members = self.live_in(home);
            self.tell_part(router, ShardEvent::Members(members));
        }
        for ((router, engine), before) in read_before {
            let reads = self.reads(router, engine);
            if reads && !before {
                self.push(self.now + 2_000, SimEvent::Snapshot { router, engine });
            } else if before && !reads {
                let target = self.names[engine].clone();
                self.tell_part(router, ShardEvent::StopReading(target));
            }
        }
    }

    pub(super) fn live_in(&self, home: usize) -> Vec<VmName> {
        (0..self.vms.len())
            .filter(|&other| region(self.router_zones[other]) == home)
            .filter(|&other| self.nodes[other].is_some())
            .map(|other| self.vms[other].clone())
            .collect()
    }

    pub(super) fn pairs<T>(
        &self,
        of: impl Fn(&Self, usize, usize) -> T,
    ) -> BTreeMap<(usize, usize), T> {
        let engines = 0..self.engines.len();
        let routers = 0..self.vms.len();
        let pairs = routers.flat_map(|router| engines.clone().map(move |engine| (router, engine)));
        pairs.map(|pair| (pair, of(self, pair.0, pair.1))).collect()
    }

    pub(super) fn tell_part(&mut self, router: usize, event: ShardEvent) {
        let now = self.clock();
        let mut actions = Vec::new();
        match (&mut self.nodes[router], event) {
            (Some(node), event) => node.part.handle(now, event, &mut actions),
            (None, ShardEvent::Lookup { token, .. }) => return self.arrive(token as usize),
            (None, _) => {}
        }
        self.carry_out(router, actions);
    }

    pub(super) fn carry_out(&mut self, router: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Send { to, message } => {
                    if let Some(to) = self.vms.iter().position(|vm| *vm == to) {
                        self.send(router, to, NodeMessage::Part(message));
                    }
                }
                ShardAction::Found { token, matches, .. } => {
                    self.found(router, token as usize, &matches);
                }
                ShardAction::RequestSnapshot(target) => {
                    if let Some(engine) = self.names.iter().position(|name| *name == target) {
                        let at = self.now + 5_000 + self.random.below(20_000);
                        self.push(at, SimEvent::Snapshot { router, engine });
                    }
                }
                ShardAction::Ready => {
                    if let Some(node) = &mut self.nodes[router] {
                        node.is_ready = true;
                    }
                }
                ShardAction::HandoffComplete => {}
            }
        }
    }

    pub(super) fn found(&mut self, router: usize, request: usize, matches: &PrefixMatches) {
        let places = self.places(router);
        let now = self.clock();
        let home = region(self.router_zones[router]);
        let routers = self.router_zones.iter().filter(|&&zone| region(zone) == home).count();
        let excluded = self.states[request].excluded.clone();
        let work = &self.requests[request];
        let Some(node) = &mut self.nodes[router] else { return };
        let target = node.choose(now, work, &places, matches, routers, &excluded);
        if let Some(target) = target {
            let name = &self.names[target.index()];
            let network = ClockSpan::from_ms(1);
            node.note_dispatch(now, target, name, request, &work.chain, network);
            self.send_hints(router);
        }
        self.dispatch(request, target);
    }
}
