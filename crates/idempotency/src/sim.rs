//! A fleet of claim tables under virtual time, for tests and benches.
//!
//! One seed gives one history: which callers send which keys where and when, which messages, answers and processes
//! are lost, and how targets answer. The history is judged while it runs, so that the same judge serves a few hundred
//! histories in the tests and ten thousand in the bench.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, RequestId, SeededRandom, VmName};
use godwitroad_store::{
    CallId, ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent, StoreOutcome,
    sim::SimStore,
};

pub use crate::sim_settings::{FleetSettings, WrongVariant};
use crate::{
    key::RequestDigest,
    message::ClaimMessage,
    settings::{ClaimCounters, ClaimSettings},
    sim_judge::{HistoryJudge, HistoryReport},
    table::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOutcome, ClaimTable},
};

/// The period of the daemon's tick.
const TICK_MS: u64 = 10;

#[derive(Clone, Debug)]
enum FleetEvent {
    Send { caller: usize },
    Message { to: usize, from: usize, message: ClaimMessage },
    Outcome { node: usize, incarnation: u64, call: CallId, outcome: StoreOutcome },
    Wake { node: usize, incarnation: u64 },
    Ended { node: usize, incarnation: u64, id: RequestId, end: ClaimOutcome },
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
    owners: BTreeMap<RequestId, usize>,
}

struct Fleet {
    settings: FleetSettings,
    random: SeededRandom,
    queue: BTreeMap<(ClockTime, u64), FleetEvent>,
    last: u64,
    store: SimStore<(usize, u64)>,
    nodes: Vec<SimNode>,
    callers: Vec<SimCaller>,
    judge: HistoryJudge,
    partitions: Vec<(usize, ClockTime, ClockTime)>,
    counters: ClaimCounters,
    calls: u64,
}

/// Runs the history of `seed` and returns what the judge and the counters say.
pub fn run_history(seed: u64, settings: FleetSettings) -> HistoryReport {
    let mut fleet = Fleet::new(seed, settings);
    fleet.schedule();
    // After the faults end, everything has twenty seconds to settle.
    let end = fleet.settings.duration_ms + 20_000;
    fleet.run_until(ClockTime::from_ms(end));
    fleet.report()
}

impl Fleet {
    fn new(seed: u64, settings: FleetSettings) -> Fleet {
        let mut random = SeededRandom::new(seed);
        let mut faults = settings.store.clone();
        faults.ignores_expected_version |= settings.wrong == WrongVariant::BlindWrites;
        let store = SimStore::new(faults, random.fork());
        let nodes = (0..settings.zones * settings.vms_per_zone)
            .map(|index| SimNode::new(&settings, index, 1, ClockTime::ZERO, random.fork()))
            .collect();
        Fleet {
            judge: HistoryJudge::default(),
            random,
            queue: BTreeMap::new(),
            last: 0,
            store,
            nodes,
            callers: Vec::new(),
            partitions: Vec::new(),
            counters: ClaimCounters::default(),
            calls: 0,
            settings,
        }
    }

    fn schedule(&mut self) {
        let length = self.settings.duration_ms;
        self.put(0, FleetEvent::Rosters);
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
            self.put(at, FleetEvent::Send { caller });
            if self.settings.keys > 0 && self.random.chance(0.3) {
                let again = at + self.random.below(50);
                self.put(again, FleetEvent::Send { caller });
            }
        }
        let nodes = self.nodes.len() as u64;
        for _ in 0..self.settings.restarts {
            let node = self.random.below(nodes) as usize;
            let (at, down_ms) = (self.random.below(length), self.random.below(5_000));
            self.put(at, FleetEvent::Crash { node, down_ms });
        }
        for _ in 0..self.settings.mass_restarts {
            let at = self.random.below(length);
            for node in 0..nodes as usize {
                let down_ms = 100 + self.random.below(2_000);
                self.put(at, FleetEvent::Crash { node, down_ms });
            }
        }
        for _ in 0..self.settings.pauses {
            let node = self.random.below(nodes) as usize;
            let (at, ms) = (self.random.below(length), self.random.below(5_000));
            self.put(at, FleetEvent::Pause { node, ms });
        }
        for _ in 0..self.settings.partitions {
            let zone = self.random.below(self.settings.zones as u64) as usize;
            let from = ClockTime::from_ms(self.random.below(length));
            let to = from + ClockSpan::from_ms(1_000 + self.random.below(6_000));
            self.partitions.push((zone, from, to));
        }
    }

    fn put(&mut self, at_ms: u64, event: FleetEvent) {
        self.last += 1;
        self.queue.insert((ClockTime::from_ms(at_ms), self.last), event);
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
            | FleetEvent::Ended { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = target
            && self.nodes[node].paused_until > now
        {
            return self.put(self.nodes[node].paused_until.as_ms(), event);
        }
        match event {
            FleetEvent::Send { caller } => self.send(now, caller),
            FleetEvent::Message { to, from, message } => {
                let from = vm_name(from);
                self.drive(now, to, ClaimEvent::Peer { from, message });
            }
            FleetEvent::Outcome { node, incarnation, call, outcome } => {
                let is_cut = self.is_cut(now, self.nodes[node].zone);
                if self.nodes[node].incarnation == incarnation && !is_cut {
                    self.drive_client(now, node, StoreEvent::Outcome { call, outcome });
                }
            }
            FleetEvent::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.nodes[node].wake_at = None;
                    self.drive_client(now, node, StoreEvent::Tick);
                    self.drive(now, node, ClaimEvent::Tick);
                }
            }
            FleetEvent::Ended { node, incarnation, id, end } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].is_up {
                    self.drive(now, node, ClaimEvent::Finish { id, end });
                }
            }
            FleetEvent::Crash { node, down_ms } => self.crash(now, node, down_ms),
            FleetEvent::Start { node } => self.start(now, node),
            FleetEvent::Pause { node, ms } => {
                let until = now + ClockSpan::from_ms(ms);
                self.nodes[node].paused_until = until;
            }
            FleetEvent::Rosters => self.tell_rosters(now),
        }
    }

    fn send(&mut self, now: ClockTime, caller: usize) {
        let index = self.random.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[index];
        if !node.is_up || node.paused_until > now {
            // The caller's connection fails before a byte is sent; it tries another router.
            return self.put(now.as_ms() + 200, FleetEvent::Send { caller });
        }
        node.serial += 1;
        let tag = NodeId::new(vm_name(index), node.incarnation).tag();
        let id = RequestId { node: tag, serial: node.serial };
        node.owners.insert(id, caller);
        let SimCaller { key, digest, .. } = &self.callers[caller];
        self.judge.begin(now, id, key);
        let account = AccountName::from("account");
        let event = ClaimEvent::Claim { id, account, key: key.clone(), digest: *digest };
        self.drive(now, index, event);
    }

    fn crash(&mut self, now: ClockTime, node: usize, down_ms: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        self.add_counters(node);
        self.judge.crashes += 1;
        self.nodes[node].is_up = false;
        self.put(now.as_ms() + down_ms, FleetEvent::Start { node });
        let lag = 500 + self.random.below(1_500);
        self.put(now.as_ms() + lag, FleetEvent::Rosters);
    }

    fn start(&mut self, now: ClockTime, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let random = self.random.fork();
        self.nodes[node] = SimNode::new(&self.settings, node, incarnation, now, random);
        let lag = self.random.below(1_500);
        self.put(now.as_ms() + lag, FleetEvent::Rosters);
    }

    fn add_counters(&mut self, node: usize) {
        let node = &self.nodes[node];
        self.counters.add(node.table.counters());
        self.calls += node.client.counters().sent();
    }

    fn tell_rosters(&mut self, now: ClockTime) {
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
            self.drive(now, index, event);
        }
    }

    fn drive(&mut self, now: ClockTime, index: usize, event: ClaimEvent) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.table.handle(node.clock(now), event, &mut actions);
        self.act(now, index, actions);
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
                    self.drive(now, index, ClaimEvent::Store { op: tag, result });
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
        if self.is_cut(now, node.zone) {
            return;
        }
        let is_far = node.zone >= self.settings.zones - self.settings.remote_zones;
        let latency =
            if is_far { self.settings.remote_latency_ms } else { self.settings.store_latency_ms };
        self.store.send(now, (index, node.incarnation), call, request, latency);
    }

    fn is_cut(&self, now: ClockTime, zone: usize) -> bool {
        self.partitions.iter().any(|(cut, from, to)| *cut == zone && *from <= now && now < *to)
    }

    fn act(&mut self, now: ClockTime, index: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Decision { id, decision } => {
                    self.judge_verdict(now, index, id, decision)
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
        let is_cut = zones[0] != zones[1] && zones.iter().any(|zone| self.is_cut(now, *zone));
        if is_cut || self.random.chance(self.settings.message_faults) {
            return;
        }
        if self.settings.wrong == WrongVariant::LateRuns
            && let ClaimMessage::Reply { id, reply: crate::merge::ClaimReply::Granted, .. } =
                &message
            && self.judge.is_refused(*id)
        {
            self.judge.run(now, *id);
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
            self.put(now.as_ms() + delay, FleetEvent::Message { to, from, message });
        }
    }

    fn judge_verdict(
        &mut self,
        now: ClockTime,
        index: usize,
        id: RequestId,
        decision: ClaimDecision,
    ) {
        let decision = match decision {
            ClaimDecision::Replay { digest, body: Some(body) }
                if self.settings.wrong == WrongVariant::CutAnswers =>
            {
                ClaimDecision::Replay { digest, body: Some(body[..body.len() / 2].into()) }
            }
            decision => decision,
        };
        self.judge.decide(now, id, &decision);
        let caller = self.nodes[index].owners.remove(&id);
        let retries = matches!(decision, ClaimDecision::NotRun { .. } | ClaimDecision::Pending);
        if decision == ClaimDecision::Run {
            self.start_run(now, index, id);
        } else if let Some(caller) = caller.filter(|_| retries)
            && self.callers[caller].retries > 0
        {
            self.callers[caller].retries -= 1;
            let at = now.as_ms() + 500 + self.random.below(3_000);
            self.put(at, FleetEvent::Send { caller });
        }
    }

    fn start_run(&mut self, now: ClockTime, node: usize, id: RequestId) {
        let incarnation = self.nodes[node].incarnation;
        let end = if self.random.chance(self.settings.rejected_runs) {
            ClaimOutcome::NotRun
        } else {
            self.judge.run(now, id);
            let length = if self.random.chance(0.2) { 4_000 } else { 40 };
            let body: Arc<[u8]> = format!("{id} {:length$}", "").into_bytes().into();
            self.judge.answer(id, body.clone());
            if self.random.chance(0.1) {
                ClaimOutcome::Unknown
            } else {
                ClaimOutcome::Answered(body)
            }
        };
        let at = now.as_ms() + 5 + self.random.below(1_500);
        self.put(at, FleetEvent::Ended { node, incarnation, id, end });
    }

    // The daemon ticks every ten milliseconds; ticks that change nothing are left out.
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
            self.put(tick, FleetEvent::Wake { node: index, incarnation });
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
            .flat_map(|node| node.owners.keys().copied())
            .collect();
        let values = self.store.model.entries(&"claims/".into());
        let largest = values.iter().map(|entry| entry.value.len()).max().unwrap_or(0);
        let traffic = self.store.traffic().values();
        let bytes = traffic.map(|traffic| traffic.bytes_in + traffic.bytes_out).sum();
        self.judge.report(open.len(), self.counters, self.calls, bytes, largest)
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
        let once = ClaimSettings { node, ..settings.once.clone() };
        SimNode {
            zone: index / settings.vms_per_zone,
            incarnation,
            is_up: true,
            start,
            paused_until: ClockTime::ZERO,
            wake_at: None,
            table: ClaimTable::new(once),
            client: StoreClient::new(ClientSettings::default(), random),
            serial: 0,
            owners: BTreeMap::new(),
        }
    }

    // Each process has its own clock, which begins with it.
    fn clock(&self, now: ClockTime) -> ClockTime {
        ClockTime::from_ms(now.since(self.start).as_ms())
    }
}

fn vm_name(index: usize) -> VmName {
    VmName::new(format!("vm-{index}"))
}
