//! A deterministic simulation of a fleet of claim tables in virtual time, for tests and benchmarks.
//!
//! The seed determines the history: which callers send which keys when and to which router, which messages and replies
//! are lost, which processes crash, and how targets answer. A checker verifies the history while it runs, so that the
//! same checks apply to a few hundred histories in the tests and to ten thousand in the benchmark.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, RequestId, SeededRandom, VmName};
use godwitroad_store::{
    CallId, ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent, StoreOutcome,
    sim::SimStore,
};

pub use crate::sim_settings::{FleetSettings, InjectedBug};
use crate::{
    key::RequestDigest,
    message::ClaimMessage,
    settings::{ClaimCounters, ClaimSettings},
    sim_checker::{HistoryChecker, HistoryReport},
    table::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOutcome, ClaimTable},
};

/// The tick interval of the daemon.
const TICK_MS: u64 = 10;

#[derive(Clone, Debug)]
enum FleetEvent {
    Send { caller: usize },
    Message { to: usize, from: usize, message: ClaimMessage },
    Outcome { node: usize, incarnation: u64, call: CallId, outcome: StoreOutcome },
    Wake { node: usize, incarnation: u64 },
    RunEnded { node: usize, incarnation: u64, id: RequestId, outcome: ClaimOutcome },
    Crash { node: usize, down_ms: u64 },
    Start { node: usize },
    Pause { node: usize, ms: u64 },
    Rosters,
}

#[derive(Debug)]
struct SimCaller {
    key: Arc<str>,
    digest: RequestDigest,
    retries: u32,
}

#[derive(Debug)]
struct SimNode {
    zone: usize,
    incarnation: u64,
    is_up: bool,
    start: ClockTime,
    paused_until: ClockTime,
    wake_at: Option<ClockTime>,
    table: ClaimTable,
    client: StoreClient<OperationId>,
    serial: u64,
    callers_by_request: BTreeMap<RequestId, usize>,
}

struct Fleet {
    settings: FleetSettings,
    random: SeededRandom,
    queue: BTreeMap<(ClockTime, u64), FleetEvent>,
    last_serial: u64,
    store: SimStore<(usize, u64)>,
    nodes: Vec<SimNode>,
    callers: Vec<SimCaller>,
    checker: HistoryChecker,
    partitions: Vec<(usize, ClockTime, ClockTime)>,
    counters: ClaimCounters,
    calls: u64,
}

/// Runs the history of `seed` and returns the results of the checker and the counters.
pub fn run_history(seed: u64, settings: FleetSettings) -> HistoryReport {
    let mut fleet = Fleet::new(seed, settings);
    fleet.schedule_events();
    // After the faults end, the fleet has twenty seconds to complete the open requests.
    let end = fleet.settings.duration_ms + 20_000;
    fleet.run_until(ClockTime::from_ms(end));
    fleet.report()
}

impl Fleet {
    fn new(seed: u64, settings: FleetSettings) -> Fleet {
        let mut random = SeededRandom::new(seed);
        let mut faults = settings.store.clone();
        faults.ignores_expected_version |= settings.injected_bug == InjectedBug::BlindWrites;
        let store = SimStore::new(faults, random.fork());
        let nodes = (0..settings.zones * settings.vms_per_zone)
            .map(|index| SimNode::new(&settings, index, 1, ClockTime::ZERO, random.fork()))
            .collect();
        Fleet {
            checker: HistoryChecker::default(),
            random,
            queue: BTreeMap::new(),
            last_serial: 0,
            store,
            nodes,
            callers: Vec::new(),
            partitions: Vec::new(),
            counters: ClaimCounters::default(),
            calls: 0,
            settings,
        }
    }

    fn schedule_events(&mut self) {
        let length = self.settings.duration_ms;
        self.enqueue(0, FleetEvent::Rosters);
        for caller in 0..self.settings.requests {
            let number = match self.settings.keys {
                0 => caller as u64,
                keys => self.random.below(keys as u64),
            };
            let other = u64::from(self.settings.keys > 0 && self.random.chance(0.05));
            let digest = RequestDigest::of(format!("request {number} {other}").as_bytes());
            let key = format!("key-{number}").into();
            self.callers.push(SimCaller { key, digest, retries: self.settings.retries });
            let at = 100 + self.random.below(length);
            self.enqueue(at, FleetEvent::Send { caller });
            if self.settings.keys > 0 && self.random.chance(0.3) {
                let again = at + self.random.below(50);
                self.enqueue(again, FleetEvent::Send { caller });
            }
        }
        let nodes = self.nodes.len() as u64;
        for _ in 0..self.settings.restarts {
            let node = self.random.below(nodes) as usize;
            let (at, down_ms) = (self.random.below(length), self.random.below(5_000));
            self.enqueue(at, FleetEvent::Crash { node, down_ms });
        }
        for _ in 0..self.settings.mass_restarts {
            let at = self.random.below(length);
            for node in 0..nodes as usize {
                let down_ms = 100 + self.random.below(2_000);
                self.enqueue(at, FleetEvent::Crash { node, down_ms });
            }
        }
        for _ in 0..self.settings.pauses {
            let node = self.random.below(nodes) as usize;
            let (at, ms) = (self.random.below(length), self.random.below(5_000));
            self.enqueue(at, FleetEvent::Pause { node, ms });
        }
        for _ in 0..self.settings.partitions {
            let zone = self.random.below(self.settings.zones as u64) as usize;
            let from = ClockTime::from_ms(self.random.below(length));
            let to = from + ClockSpan::from_ms(1_000 + self.random.below(6_000));
            self.partitions.push((zone, from, to));
        }
    }

    fn enqueue(&mut self, at_ms: u64, event: FleetEvent) {
        self.last_serial += 1;
        self.queue.insert((ClockTime::from_ms(at_ms), self.last_serial), event);
    }

    fn run_until(&mut self, end: ClockTime) {
        loop {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = [queued, self.store.next_event_at()].into_iter().flatten().min();
            let Some(now) = next.filter(|now| *now <= end) else { return };
            for ((node, incarnation), call, outcome) in self.store.step(now) {
                let event = FleetEvent::Outcome { node, incarnation, call, outcome };
                self.handle(now, event);
            }
            while let Some(first) = self.queue.first_entry()
                && first.key().0 <= now
            {
                let event = first.remove();
                self.handle(now, event);
            }
        }
    }

    fn handle(&mut self, now: ClockTime, event: FleetEvent) {
        let target = match &event {
            FleetEvent::Message { to, .. } => Some(*to),
            FleetEvent::Outcome { node, .. }
            | FleetEvent::Wake { node, .. }
            | FleetEvent::RunEnded { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = target
            && self.nodes[node].paused_until > now
        {
            return self.enqueue(self.nodes[node].paused_until.as_ms(), event);
        }
        match event {
            FleetEvent::Send { caller } => self.send(now, caller),
            FleetEvent::Message { to, from, message } => {
                let from = vm_name(from);
                self.drive_table(now, to, ClaimEvent::Peer { from, message });
            }
            FleetEvent::Outcome { node, incarnation, call, outcome } => {
                let is_partitioned = self.is_partitioned(now, self.nodes[node].zone);
                if self.nodes[node].incarnation == incarnation && !is_partitioned {
                    self.drive_client(now, node, StoreEvent::Outcome { call, outcome });
                }
            }
            FleetEvent::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.nodes[node].wake_at = None;
                    self.drive_client(now, node, StoreEvent::Tick);
                    self.drive_table(now, node, ClaimEvent::Tick);
                }
            }
            FleetEvent::RunEnded { node, incarnation, id, outcome } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].is_up {
                    self.drive_table(now, node, ClaimEvent::Finish { id, outcome });
                }
            }
            FleetEvent::Crash { node, down_ms } => self.crash(now, node, down_ms),
            FleetEvent::Start { node } => self.start(now, node),
            FleetEvent::Pause { node, ms } => {
                let until = now + ClockSpan::from_ms(ms);
                self.nodes[node].paused_until = until;
            }
            FleetEvent::Rosters => self.notify_rosters(now),
        }
    }

    fn send(&mut self, now: ClockTime, caller: usize) {
        let index = self.random.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[index];
        if !node.is_up || node.paused_until > now {
            // The connection fails before the caller has sent a byte, so that the caller retries at another router.
            return self.enqueue(now.as_ms() + 200, FleetEvent::Send { caller });
        }
        node.serial += 1;
        let tag = NodeId::new(vm_name(index), node.incarnation).tag();
        let id = RequestId { node: tag, serial: node.serial };
        node.callers_by_request.insert(id, caller);
        let SimCaller { key, digest, .. } = &self.callers[caller];
        self.checker.record_request(now, id, key);
        let account = AccountName::from("account");
        let event = ClaimEvent::Claim { id, account, key: key.clone(), digest: *digest };
        self.drive_table(now, index, event);
    }

    fn crash(&mut self, now: ClockTime, node: usize, down_ms: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        self.add_counters(node);
        self.checker.crashes += 1;
        self.nodes[node].is_up = false;
        self.enqueue(now.as_ms() + down_ms, FleetEvent::Start { node });
        let delay = 500 + self.random.below(1_500);
        self.enqueue(now.as_ms() + delay, FleetEvent::Rosters);
    }

    fn start(&mut self, now: ClockTime, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let random = self.random.fork();
        self.nodes[node] = SimNode::new(&self.settings, node, incarnation, now, random);
        let delay = self.random.below(1_500);
        self.enqueue(now.as_ms() + delay, FleetEvent::Rosters);
    }

    fn add_counters(&mut self, node: usize) {
        let node = &self.nodes[node];
        self.counters.add(node.table.counters());
        self.calls += node.client.counters().sent();
    }

    fn notify_rosters(&mut self, now: ClockTime) {
        let live: Vec<NodeId> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].is_up)
            .map(|index| NodeId::new(vm_name(index), self.nodes[index].incarnation))
            .collect();
        for index in 0..self.nodes.len() {
            let zone = self.nodes[index].zone;
            let is_member =
                |other: &usize| self.settings.has_fleet_owners || self.nodes[*other].zone == zone;
            let members = (0..self.nodes.len()).filter(is_member).map(vm_name);
            let event = ClaimEvent::Rosters { members: members.collect(), live: live.clone() };
            self.drive_table(now, index, event);
        }
    }

    fn drive_table(&mut self, now: ClockTime, index: usize, event: ClaimEvent) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.table.handle(node.clock(now), event, &mut actions);
        self.apply_actions(now, index, actions);
    }

    fn drive_client(&mut self, now: ClockTime, index: usize, event: StoreEvent<OperationId>) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.client.handle(node.clock(now), event, &mut actions);
        for action in actions {
            match action {
                StoreAction::Call { call, request } => self.call(now, index, call, request),
                StoreAction::Done { tag, result } => {
                    self.drive_table(now, index, ClaimEvent::Store { op: tag, result });
                }
                StoreAction::Watched { .. } | StoreAction::Reachable(_) => {}
            }
        }
        self.set_wake(now, index);
    }

    fn call(
        &mut self,
        now: ClockTime,
        index: usize,
        call: CallId,
        request: godwitroad_store::StoreRequest,
    ) {
        let node = &self.nodes[index];
        if self.is_partitioned(now, node.zone) {
            return;
        }
        let is_remote = node.zone >= self.settings.zones - self.settings.remote_zones;
        let latency = if is_remote {
            self.settings.remote_latency_ms
        } else {
            self.settings.store_latency_ms
        };
        self.store.send(now, (index, node.incarnation), call, request, latency);
    }

    fn is_partitioned(&self, now: ClockTime, zone: usize) -> bool {
        self.partitions.iter().any(|(cut, from, to)| *cut == zone && *from <= now && now < *to)
    }

    fn apply_actions(&mut self, now: ClockTime, index: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Decision { id, decision } => {
                    self.handle_decision(now, index, id, decision)
                }
                ClaimAction::State { .. } => {}
                ClaimAction::Submit { op, order } => {
                    self.drive_client(now, index, StoreEvent::Submit { tag: op, spec: order });
                }
                ClaimAction::Send { to, message } => self.deliver(now, index, &to, message),
            }
        }
        self.set_wake(now, index);
    }

    fn deliver(&mut self, now: ClockTime, from: usize, to: &VmName, message: ClaimMessage) {
        let number =
            to.as_str().strip_prefix("vm-").and_then(|number| number.parse::<usize>().ok());
        let Some(to) = number.filter(|index| *index < self.nodes.len()) else { return };
        let zones = [self.nodes[from].zone, self.nodes[to].zone];
        let is_partitioned =
            zones[0] != zones[1] && zones.iter().any(|zone| self.is_partitioned(now, *zone));
        if is_partitioned || self.random.chance(self.settings.message_faults) {
            return;
        }
        if self.settings.injected_bug == InjectedBug::RunAfterRefusal
            && let ClaimMessage::Reply { id, reply: crate::merge::ClaimReply::Granted, .. } =
                &message
            && self.checker.is_refused(*id)
        {
            self.checker.record_run(now, *id);
        }
        let copies = 1 + usize::from(self.random.chance(self.settings.message_faults));
        for _ in 0..copies {
            let mut delay = self.settings.zone_latency_ms;
            if zones[0] != zones[1] {
                delay += self.settings.remote_latency_ms;
            }
            if self.random.chance(self.settings.late_messages) {
                delay += self.random.below(500);
            }
            let message = message.clone();
            self.enqueue(now.as_ms() + delay, FleetEvent::Message { to, from, message });
        }
    }

    fn handle_decision(
        &mut self,
        now: ClockTime,
        index: usize,
        id: RequestId,
        decision: ClaimDecision,
    ) {
        let decision = match decision {
            ClaimDecision::Replay { digest, body: Some(body) }
                if self.settings.injected_bug == InjectedBug::TruncatedAnswers =>
            {
                ClaimDecision::Replay { digest, body: Some(body[..body.len() / 2].into()) }
            }
            decision => decision,
        };
        self.checker.check_decision(now, id, &decision);
        let caller = self.nodes[index].callers_by_request.remove(&id);
        let retries = matches!(decision, ClaimDecision::NotRun { .. } | ClaimDecision::Pending);
        if decision == ClaimDecision::Run {
            self.start_run(now, index, id);
        } else if let Some(caller) = caller.filter(|_| retries)
            && self.callers[caller].retries > 0
        {
            self.callers[caller].retries -= 1;
            let at = now.as_ms() + 500 + self.random.below(3_000);
            self.enqueue(at, FleetEvent::Send { caller });
        }
    }

    fn start_run(&mut self, now: ClockTime, node: usize, id: RequestId) {
        let incarnation = self.nodes[node].incarnation;
        let outcome = if self.random.chance(self.settings.rejected_runs) {
            ClaimOutcome::NotRun
        } else {
            self.checker.record_run(now, id);
            let length = if self.random.chance(0.2) { 4_000 } else { 40 };
            let body: Arc<[u8]> = format!("{id} {:length$}", "").into_bytes().into();
            self.checker.record_answer(id, body.clone());
            if self.random.chance(0.1) {
                ClaimOutcome::Unknown
            } else {
                ClaimOutcome::Answered(body)
            }
        };
        let at = now.as_ms() + 5 + self.random.below(1_500);
        self.enqueue(at, FleetEvent::RunEnded { node, incarnation, id, outcome });
    }

    // The daemon ticks every ten milliseconds; ticks without an effect are skipped.
    fn set_wake(&mut self, now: ClockTime, index: usize) {
        let node = &mut self.nodes[index];
        let deadlines = [node.table.next_deadline(), node.client.next_deadline()];
        let Some(deadline) = deadlines.into_iter().flatten().min() else { return };
        let due = node.start.as_ms() + deadline.as_ms();
        let phase = index as u64 % TICK_MS;
        let tick =
            due.max(now.as_ms() + 1).saturating_sub(phase).div_ceil(TICK_MS) * TICK_MS + phase;
        let wake = ClockTime::from_ms(tick);
        if node.wake_at.is_none_or(|at| wake < at || at < now) {
            node.wake_at = Some(wake);
            let incarnation = node.incarnation;
            self.enqueue(tick, FleetEvent::Wake { node: index, incarnation });
        }
    }

    fn report(mut self) -> HistoryReport {
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up {
                self.add_counters(index);
            }
        }
        let open: BTreeSet<RequestId> = self
            .nodes
            .iter()
            .filter(|node| node.is_up)
            .flat_map(|node| node.callers_by_request.keys().copied())
            .collect();
        let values = self.store.model.entries(&"claims/".into());
        let largest = values.iter().map(|entry| entry.value.len()).max().unwrap_or(0);
        let traffic = self.store.traffic().values();
        let bytes = traffic.map(|traffic| traffic.bytes_in + traffic.bytes_out).sum();
        self.checker.report(open.len(), self.counters, self.calls, bytes, largest)
    }
}

impl SimNode {
    fn new(
        settings: &FleetSettings,
        index: usize,
        incarnation: u64,
        start: ClockTime,
        random: SeededRandom,
    ) -> SimNode {
        let node = NodeId::new(vm_name(index), incarnation);
        let claims = ClaimSettings { node, ..settings.claims.clone() };
        SimNode {
            zone: index / settings.vms_per_zone,
            incarnation,
            is_up: true,
            start,
            paused_until: ClockTime::ZERO,
            wake_at: None,
            table: ClaimTable::new(claims),
            client: StoreClient::new(ClientSettings::default(), random),
            serial: 0,
            callers_by_request: BTreeMap::new(),
        }
    }

    // Each process has its own clock, which starts at zero with the process.
    fn clock(&self, now: ClockTime) -> ClockTime {
        ClockTime::from_ms(now.since(self.start).as_ms())
    }
}

fn vm_name(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}
