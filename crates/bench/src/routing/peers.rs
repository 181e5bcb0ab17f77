//! The distribution of cache events to the simulated routers, and the messages, member lists and index lookups among
//! the routers.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, VmName};
use godwitroad_prefix::{PrefixMatches, ShardAction, ShardEvent};

use super::{
    node::{NodeMessage, PolicyKind, RouterNode},
    simulation::{RoutingSimulation, SimEvent, region},
};

/// The interval between two batches of an engine's cache events, in microseconds.
pub(super) const PUBLISH_US: u64 = 50_000;

/// The interval between two ticks of the index shards, in microseconds.
const TICK_US: u64 = 10_000;

impl RoutingSimulation<'_> {
    /// Sends the new cache events of an engine to the routers that read them; batches may be lost or duplicated.
    pub(super) fn publish(&mut self, engine: usize) {
        self.push(self.now_us + PUBLISH_US, SimEvent::Publish(engine));
        if self.policy != PolicyKind::Product {
            return;
        }
        let Some(batch) = self.engines[engine].take_events() else { return };
        for router in 0..self.vm_names.len() {
            if self.reads_events(router, engine) && !self.random.chance(self.plan.loss_chance) {
                let copies = 1 + usize::from(self.random.chance(self.plan.duplicate_chance));
                for _ in 0..copies {
                    let at = self.now_us + 10_000 + self.random.below(150_000);
                    self.push(at, SimEvent::CacheEvents { router, engine, batch: batch.clone() });
                }
            }
        }
    }

    /// Returns whether the router reads the cache events of the engine.
    pub(super) fn reads_events(&self, router: usize, engine: usize) -> bool {
        let is_same_region = region(self.router_zones[router]) == region(self.engine_zones[engine]);
        let node = self.nodes[router].as_ref().filter(|_| is_same_region);
        node.is_some_and(|node| {
            node.shard.reader_of(&self.target_names[engine]) == Some(&self.vm_names[router])
        })
    }

    pub(super) fn tick(&mut self) {
        self.push(self.now_us + TICK_US, SimEvent::Tick);
        if self.policy != PolicyKind::Product {
            return;
        }
        for router in 0..self.vm_names.len() {
            self.handle_shard_event(router, ShardEvent::Tick);
            self.send_hints(router);
        }
    }

    /// Sends the router's recent dispatches to all other routers.
    pub(super) fn send_hints(&mut self, router: usize) {
        let now = self.clock();
        let Some(message) = self.nodes[router].as_mut().and_then(|node| node.take_hints(now))
        else {
            return;
        };
        for to in (0..self.vm_names.len()).filter(|&to| to != router) {
            self.send(router, to, message.clone());
        }
    }

    /// Sends a message after the network latency between the two routers.
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
        self.push(self.now_us + delay, SimEvent::PeerMessage { from, to, message });
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: NodeMessage) {
        let now = self.clock();
        let vm = self.vm_names[from].clone();
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[to] {
            node.handle_message(now, vm, message, &mut actions);
        }
        self.apply_actions(to, actions);
    }

    pub(super) fn start_router(&mut self, router: usize) {
        let seed = self.random.next_u64();
        let mut node = RouterNode::new(
            self.clock(),
            &self.vm_names[router],
            &self.target_names,
            self.policy,
            seed,
        );
        node.is_ready = self.policy != PolicyKind::Product;
        self.nodes[router] = Some(node);
    }

    /// Gives the running routers to every index shard, and adjusts which router reads which engine's cache events.
    pub(super) fn update_members(&mut self) {
        if self.policy != PolicyKind::Product {
            return;
        }
        let read_before: BTreeMap<(usize, usize), bool> =
            self.router_engine_pairs(|simulation, router, engine| {
                simulation.reads_events(router, engine)
            });
        for router in 0..self.vm_names.len() {
            let home_region = region(self.router_zones[router]);
            let remote_members = self.running_routers(1 - home_region);
            self.handle_shard_event(router, ShardEvent::RemoteMembers(vec![remote_members]));
            let members = self.running_routers(home_region);
            self.handle_shard_event(router, ShardEvent::Members(members));
        }
        for ((router, engine), before) in read_before {
            let reads_now = self.reads_events(router, engine);
            if reads_now && !before {
                self.push(self.now_us + 2_000, SimEvent::Snapshot { router, engine });
            } else if before && !reads_now {
                let target = self.target_names[engine].clone();
                self.handle_shard_event(router, ShardEvent::StopReading(target));
            }
        }
    }

    /// Returns the running routers of a region.
    pub(super) fn running_routers(&self, home_region: usize) -> Vec<VmName> {
        (0..self.vm_names.len())
            .filter(|&other| region(self.router_zones[other]) == home_region)
            .filter(|&other| self.nodes[other].is_some())
            .map(|other| self.vm_names[other].clone())
            .collect()
    }

    /// Returns the value of `value_of` for each pair of a router and an engine.
    pub(super) fn router_engine_pairs<T>(
        &self,
        value_of: impl Fn(&Self, usize, usize) -> T,
    ) -> BTreeMap<(usize, usize), T> {
        let engines = 0..self.engines.len();
        let routers = 0..self.vm_names.len();
        let router_engine_pairs =
            routers.flat_map(|router| engines.clone().map(move |engine| (router, engine)));
        router_engine_pairs.map(|pair| (pair, value_of(self, pair.0, pair.1))).collect()
    }

    /// Passes an event to the router's index shard; a lookup at a stopped router arrives at another one.
    pub(super) fn handle_shard_event(&mut self, router: usize, event: ShardEvent) {
        let now = self.clock();
        let mut actions = Vec::new();
        match (&mut self.nodes[router], event) {
            (Some(node), event) => node.shard.handle(now, event, &mut actions),
            (None, ShardEvent::Lookup { token, .. }) => return self.handle_arrival(token as usize),
            (None, _) => {}
        }
        self.apply_actions(router, actions);
    }

    pub(super) fn apply_actions(&mut self, router: usize, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Send { to, message } => {
                    if let Some(to) = self.vm_names.iter().position(|vm| *vm == to) {
                        self.send(router, to, NodeMessage::Shard(message));
                    }
                }
                ShardAction::Found { token, matches, .. } => {
                    self.dispatch_with_matches(router, token as usize, &matches);
                }
                ShardAction::RequestSnapshot(target) => {
                    if let Some(engine) = self.target_names.iter().position(|name| *name == target)
                    {
                        let at = self.now_us + 5_000 + self.random.below(20_000);
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

    /// Chooses a target by the matches that the index shards found, and dispatches the request.
    pub(super) fn dispatch_with_matches(
        &mut self,
        router: usize,
        request: usize,
        matches: &PrefixMatches,
    ) {
        let candidates = self.candidates(router);
        let now = self.clock();
        let home_region = region(self.router_zones[router]);
        let router_count =
            self.router_zones.iter().filter(|&&zone| region(zone) == home_region).count();
        let excluded = self.request_states[request].excluded.clone();
        let work = &self.requests[request];
        let Some(node) = &mut self.nodes[router] else { return };
        let target = node.choose(now, work, &candidates, matches, router_count, &excluded);
        if let Some(target) = target {
            let name = &self.target_names[target.index()];
            let network = ClockSpan::from_ms(1);
            node.record_dispatch(now, target, name, request, &work.chain, network);
            self.send_hints(router);
        }
        self.dispatch(request, target);
    }
}
