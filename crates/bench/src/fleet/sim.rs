//! The event loop of the simulation: virtual time, the network, the store and the faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{Incarnation, NodeId, SeededRandom, VmName, ZoneName};
use godwitroad_limits::{RateEvent, RateTable, SpendEvent, shard_of};
use godwitroad_member::{MemberEvent, Roster, VmListing};
use godwitroad_store::{StoreFailure, StoreOutcome, StoreReply, StoreRequest};

use super::{
    fault::FaultKind,
    node::{NodeAction, NodeEvent, SimNode, WireMessage},
    spec::{FleetResult, FleetSpec, RequestEnd},
    store::MemoryStore,
};

/// The time after which a store call without a reply ends with an unknown outcome.
const LOST_ANSWER_MS: u64 = 1_000;

#[derive(Debug)]
enum SimEvent {
    Node {
        index: usize,
        incarnation: u64,
        event: NodeEvent,
    },
    Tick {
        index: usize,
        incarnation: u64,
    },
    VmList {
        index: usize,
    },
    Store {
        index: usize,
        incarnation: u64,
        is_member_call: bool,
        call: u64,
        request: StoreRequest,
        reply_delay: Option<u64>,
    },
    Arrive(usize),
    FaultBegin(usize),
    FaultEnd(usize),
    Configure {
        index: usize,
        change: usize,
    },
}

/// A simulated fleet.
#[derive(Debug)]
pub struct FleetSim {
    pub(super) spec: FleetSpec,
    pub(super) random: SeededRandom,
    pub(super) now: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    pub(super) sequence: u64,
    pub(super) nodes: Vec<SimNode>,
    pub(super) names: BTreeMap<VmName, usize>,
    pub(super) store: MemoryStore,
    pub(super) result: FleetResult,
    pub(super) shards: BTreeSet<u16>,
    pub(super) vm_lists: Vec<(u64, Vec<VmListing>)>,
    pub(super) tables: Vec<Arc<RateTable>>,
    pub(super) starts: BTreeMap<usize, u64>,
    pub(super) roster_epochs: BTreeMap<ZoneName, u64>,
}

impl FleetSim {
    /// Returns a fleet whose processes all start at time zero.
    pub fn new(spec: FleetSpec) -> FleetSim {
        let mut random = SeededRandom::new(spec.seed);
        let mut nodes = Vec::new();
        for (zone, count) in spec.zones.iter().enumerate() {
            let name: ZoneName = spec.table.zones[zone].clone();
            for number in 0..*count {
                let id = NodeId::new(format!("{name}-{number}"), 1);
                let clock = (random.below(1 << 40), clock_rate(&spec, &mut random));
                let zone = (zone, name.clone());
                let node =
                    SimNode::new(id, zone, &spec.table, clock, spec.injected_bug, 0, &mut random);
                nodes.push(node);
            }
        }
        let names = nodes.iter().enumerate().map(|(index, node)| (node.id.vm.clone(), index));
        let result = FleetResult {
            ends: vec![RequestEnd::Open; spec.arrivals.len()],
            ..FleetResult::default()
        };
        FleetSim {
            names: names.collect(),
            shards: spec.table.accounts.keys().map(shard_of).collect(),
            tables: vec![Arc::clone(&spec.table); nodes.len()],
            starts: (0..nodes.len()).map(|index| (index, 0)).collect(),
            random,
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes,
            store: MemoryStore::default(),
            result,
            vm_lists: Vec::new(),
            roster_epochs: BTreeMap::new(),
            spec,
        }
    }

    /// Runs the simulation to its end and returns the result.
    pub fn run(mut self) -> FleetResult {
        self.record_vm_list();
        for index in 0..self.nodes.len() {
            self.schedule_tick(index);
            let first_at = self.random.below(1_000);
            self.push(first_at, SimEvent::VmList { index });
        }
        for index in 0..self.spec.arrivals.len() {
            self.push(self.spec.arrivals[index].at, SimEvent::Arrive(index));
        }
        for index in 0..self.spec.faults.len() {
            let (from, until) = (self.spec.faults[index].from, self.spec.faults[index].until);
            self.push(from, SimEvent::FaultBegin(index));
            self.push(until, SimEvent::FaultEnd(index));
        }
        for change in 0..self.spec.changes.len() {
            for index in 0..self.nodes.len() {
                let at = self.spec.changes[change].0 + self.random.below(2_000);
                self.push(at, SimEvent::Configure { index, change });
            }
        }
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.spec.length {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.finish()
    }

    fn finish(mut self) -> FleetResult {
        for (name, log) in &self.result.logs {
            let limits = self.spec.changes.iter().map(|(_, table)| table);
            let limits = limits.chain([&self.spec.table]).filter_map(|it| it.accounts.get(name));
            // A window that spans a change of the limits is checked against the larger ones.
            let limit = limits.copied().reduce(|left, right| godwitroad_config::RateConfig {
                tokens_per_second: left.tokens_per_second.max(right.tokens_per_second),
                burst_tokens: left.burst_tokens.max(right.burst_tokens),
            });
            let excess = log.excess(limit.unwrap_or_default());
            if excess > 0 {
                self.result.violations.excess.insert(name.clone(), excess);
            }
        }
        self.result.store_calls = self.store.calls;
        let running = self.nodes.iter().filter(|node| node.running);
        self.result.counters = running.map(|node| node.rate.counters()).collect();
        self.result
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::Node { index, incarnation, event } => {
                if self.nodes[index].id.incarnation == Incarnation(incarnation) {
                    self.run_node(index, event);
                }
            }
            SimEvent::Tick { index, incarnation } => {
                if self.nodes[index].id.incarnation == Incarnation(incarnation) {
                    if !self.nodes[index].paused {
                        self.run_node(index, NodeEvent::Tick);
                    }
                    if self.nodes[index].running {
                        self.schedule_tick(index);
                    }
                }
            }
            SimEvent::VmList { index } => {
                let observed_at = self.now.saturating_sub(self.spec.vm_list_age);
                let vm_lists = self.vm_lists.iter().rev();
                let list =
                    vm_lists.clone().find(|(at, _)| *at <= observed_at).or(self.vm_lists.first());
                if let Some((_, list)) = list.cloned() {
                    self.run_node(index, NodeEvent::Member(MemberEvent::VmList(list)));
                }
                self.push(self.now + 1_000, SimEvent::VmList { index });
            }
            SimEvent::Store { index, incarnation, is_member_call, call, request, reply_delay } => {
                self.run_store(index, incarnation, is_member_call, call, &request, reply_delay);
            }
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::FaultBegin(index) => self.begin_fault(index),
            SimEvent::FaultEnd(index) => self.end_fault(index),
            SimEvent::Configure { index, change } => {
                let table = Arc::clone(&self.spec.changes[change].1);
                self.tables[index] = Arc::clone(&table);
                self.run_node(index, NodeEvent::Rate(RateEvent::Configure(table)));
            }
        }
    }

    pub(super) fn schedule_tick(&mut self, index: usize) {
        let incarnation = self.nodes[index].id.incarnation.0;
        let at = self.now + 1 + self.random.below(2 * self.spec.tick - 1);
        self.push(at, SimEvent::Tick { index, incarnation });
    }

    pub(super) fn run_node(&mut self, index: usize, event: NodeEvent) {
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        if node.paused {
            if node.backlog.len() < 1_000 {
                node.backlog.push_back(event);
            }
            return;
        }
        let epoch = node.epoch;
        let mut actions = Vec::new();
        node.handle(self.now, event, &mut actions);
        if node.epoch < epoch {
            self.result.violations.epoch_regressions += 1;
        }
        for action in actions {
            self.run_action(index, action);
        }
        self.check_node(index);
    }

    // Checks that a process that may issue tokens of a shard is the only effective holder of the shard in its zone, and
    // records when a started process becomes ready.
    fn check_node(&mut self, index: usize) {
        let at = self.now;
        for shard in &self.shards {
            if self.nodes[index].holds(at, *shard) {
                let zone = self.nodes[index].zone_index;
                let holders = self.nodes.iter().filter(|node| node.zone_index == zone);
                if holders.filter(|node| node.holds(at, *shard)).count() > 1 {
                    self.result.violations.simultaneous_holders += 1;
                }
            }
        }
        if let Some(start) = self.starts.get(&index).copied()
            && self.nodes[index].member.may_hold(self.nodes[index].now(at))
            && self.nodes[index].rate.is_ready()
        {
            self.starts.remove(&index);
            self.result.ready.push((index, start, at));
        }
    }

    fn run_action(&mut self, index: usize, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => self.send(index, &to, message),
            NodeAction::MemberStore { call, request } => {
                self.call_store(index, true, call.0, request);
            }
            NodeAction::RateStore { call, request } => {
                self.call_store(index, false, call.0, request);
            }
            NodeAction::Admitted { ticket, tokens } => {
                let arrival = &self.spec.arrivals[ticket as usize];
                let log = self.result.logs.entry(arrival.account.clone()).or_default();
                log.admitted.push((self.now, tokens));
                self.result.ends[ticket as usize] = RequestEnd::Admitted(self.now);
                let settle = RateEvent::Spend(SpendEvent::Settle { ticket, used: tokens });
                let incarnation = self.nodes[index].id.incarnation.0;
                let event = NodeEvent::Rate(settle);
                self.push(self.now + 300, SimEvent::Node { index, incarnation, event });
            }
            NodeAction::Refused { ticket } => {
                self.result.ends[ticket as usize] = RequestEnd::Refused(self.now);
            }
            NodeAction::Left => self.stop(index),
        }
    }

    fn arrive(&mut self, number: usize) {
        let arrival = self.spec.arrivals[number].clone();
        // The load balancer skips VMs without a running process and prefers VMs of the same zone.
        let zone = self.nodes[arrival.vm].zone_index;
        let count = self.nodes.len();
        let order = (0..count).map(|step| (arrival.vm + step) % count);
        let mut order: Vec<usize> = order.filter(|index| self.nodes[*index].running).collect();
        order.sort_by_key(|index| self.nodes[*index].zone_index != zone);
        let Some(index) = order.first().copied() else { return };
        let event = SpendEvent::Reserve {
            ticket: number as u64,
            account: arrival.account,
            tokens: arrival.tokens,
            wait: self.spec.wait,
        };
        self.run_node(index, NodeEvent::Rate(RateEvent::Spend(event)));
    }

    fn active_faults(&self) -> impl Iterator<Item = FaultKind> + '_ {
        self.spec.faults.iter().filter(|fault| fault.is_active(self.now)).map(|fault| fault.kind)
    }

    fn send(&mut self, from: usize, to: &VmName, message: WireMessage) {
        let Some(index) = self.names.get(to).copied() else { return };
        self.result.messages += 1;
        if let WireMessage::Rate(message) = &message {
            self.result.rate_messages += 1;
            if self.spec.count_bytes {
                let bytes = serde_json::to_vec(message).map_or(0, |bytes| bytes.len());
                self.result.rate_bytes += bytes as u64;
            }
        }
        let (source_zone, destination_zone) =
            (self.nodes[from].zone_index, self.nodes[index].zone_index);
        let mut fault_chance = 0.0;
        for fault in self.active_faults().collect::<Vec<_>>() {
            match fault {
                FaultKind::ZonePartition(left, right)
                    if (source_zone, destination_zone) == (left, right) =>
                {
                    return;
                }
                FaultKind::IsolatedZone(zone)
                    if (source_zone == zone) != (destination_zone == zone) =>
                {
                    return;
                }
                FaultKind::IsolatedVm(vm) if vm == index || vm == from => return,
                FaultKind::InboundLoss(vm) if vm == index => return,
                FaultKind::OutboundLoss(vm) if vm == from => return,
                FaultKind::UnreliableNetwork(chance) => fault_chance = chance,
                _ => {}
            }
        }
        let base_delay = if source_zone == destination_zone {
            1
        } else {
            2 + 3 * source_zone.abs_diff(destination_zone) as u64
        };
        let copies = 1 + usize::from(self.random.chance(fault_chance));
        for _ in 0..copies {
            if self.random.chance(fault_chance) {
                continue;
            }
            let extra_delay =
                if self.random.chance(fault_chance) { self.random.below(1_000) } else { 0 };
            let at = self.now + base_delay + self.random.below(2) + extra_delay;
            let event =
                NodeEvent::Wire { from: self.nodes[from].id.clone(), message: message.clone() };
            let incarnation = self.nodes[index].id.incarnation.0;
            // A message delayed by more than 500 ms reaches only a process that started after it was sent.
            let incarnation = if extra_delay > 500 { incarnation + 1 } else { incarnation };
            self.push(at, SimEvent::Node { index, incarnation, event });
        }
    }

    fn call_store(&mut self, index: usize, is_member_call: bool, call: u64, request: StoreRequest) {
        let zone = self.nodes[index].zone_index;
        let (mut is_reachable, mut max_extra_delay, mut lost_replies) = (true, 0, 0.0);
        for fault in self.active_faults() {
            match fault {
                FaultKind::StoreDown => is_reachable = false,
                FaultKind::ZoneWithoutStore(cut) | FaultKind::IsolatedZone(cut) if cut == zone => {
                    is_reachable = false;
                }
                FaultKind::IsolatedVm(vm) if vm == index => is_reachable = false,
                FaultKind::SlowStore(delay) => max_extra_delay = delay,
                FaultKind::LostAnswers(chance) => lost_replies = chance,
                _ => {}
            }
        }
        let request_delay = 2 + 3 * zone as u64 + self.random.below(2 + max_extra_delay / 2);
        let reply_delay = request_delay + self.random.below(2 + max_extra_delay / 2);
        let incarnation = self.nodes[index].id.incarnation.0;
        if !is_reachable {
            let failure =
                if self.random.chance(0.5) { StoreFailure::Unknown } else { StoreFailure::NotSent };
            let event = store_event(is_member_call, call, Err(failure));
            self.push(self.now + reply_delay, SimEvent::Node { index, incarnation, event });
            return;
        }
        let answered = !self.random.chance(lost_replies);
        let reply_delay = answered.then_some(reply_delay);
        if !answered {
            let event = store_event(is_member_call, call, Err(StoreFailure::Unknown));
            let at = self.now + LOST_ANSWER_MS;
            self.push(at, SimEvent::Node { index, incarnation, event });
        }
        let event =
            SimEvent::Store { index, incarnation, is_member_call, call, request, reply_delay };
        self.push(self.now + request_delay, event);
    }

    fn run_store(
        &mut self,
        index: usize,
        incarnation: u64,
        is_member_call: bool,
        call: u64,
        request: &StoreRequest,
        reply_delay: Option<u64>,
    ) {
        let reply = self.store.apply(request);
        if let (StoreRequest::Put { key, value, .. }, StoreReply::Written(_)) = (request, &reply)
            && let Some(zone) = key.as_str().strip_prefix("roster/")
        {
            let epoch = Roster::decode(value).map_or(0, |roster| roster.epoch);
            let last = self.roster_epochs.insert(zone.into(), epoch).unwrap_or(0);
            self.result.violations.epoch_regressions += u64::from(epoch != last + 1);
        }
        if let Some(reply_delay) = reply_delay {
            let event = store_event(is_member_call, call, Ok(reply));
            self.push(self.now + reply_delay, SimEvent::Node { index, incarnation, event });
        }
    }
}

pub(super) fn clock_rate(spec: &FleetSpec, random: &mut SeededRandom) -> u64 {
    1_000_000 - spec.drift_ppm + random.below(2 * spec.drift_ppm + 1)
}

fn store_event(is_member_call: bool, call: u64, outcome: StoreOutcome) -> NodeEvent {
    let call = godwitroad_store::CallId(call);
    if is_member_call {
        NodeEvent::MemberStore { call, outcome }
    } else {
        NodeEvent::RateStore { call, outcome }
    }
}
