//! A fleet that distributes a configuration under virtual time, for tests and benches.
//!
//! One seed gives one history: which operators change what and when, and which messages, answers and processes are
//! lost. The history is judged while it runs.

mod operator;

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, VmName, ZoneName};
use godwitroad_store::{
    CallId, ClientSettings, OperationId, StoreAction, StoreClient, StoreEvent, StoreOutcome,
    StoreRequest, sim::SimStore,
};

use crate::{
    apply::ConfigApply,
    head::{ChangeId, SyncHead, head_key},
    machine::{ConfigSync, SyncAction, SyncEvent},
    message::{SyncMessage, SyncStatus},
    settings::SyncSettings,
    sim_judge::HistoryJudge,
    startup::ReadySource,
};

pub use crate::{
    sim_judge::HistoryReport,
    sim_settings::{FleetSettings, SimChange, SimZone, SyncPolicy, WrongVariant},
};

/// The period of the daemon's tick.
const TICK_MS: u64 = 10;

/// The first number of an operator's client among the callers of the store.
const OPERATORS: usize = 1 << 20;

/// The size of a heartbeat's status in bytes.
const STATUS_BYTES: u64 = 64;

#[derive(Clone, Debug)]
enum FleetEvent {
    Tick { node: usize, run: u64 },
    Heartbeats { node: usize, run: u64 },
    Status { to: usize, from: usize, status: SyncStatus },
    Message { to: usize, from: usize, message: SyncMessage },
    Operate { change: usize },
    OperatorTick { change: usize },
    Crash { node: usize, down_ms: u64 },
    Start { node: usize },
    Pause { node: usize, ms: u64 },
    Save { node: usize },
    Restore { node: usize },
    CutEnds { zone: usize, from: ClockTime },
}

struct SimNode {
    vm: VmName,
    zone: usize,
    run: u64,
    is_up: bool,
    start: ClockTime,
    /// The newest generation in the store and at each peer when the node started.
    known: (u64, Vec<(usize, u64)>),
    paused_until: ClockTime,
    sync: ConfigSync,
    saved: Option<ConfigSync>,
    client: StoreClient<OperationId>,
}

struct SimOperator {
    change: ChangeId,
    apply: ConfigApply,
    client: StoreClient<OperationId>,
    retries: u32,
    is_done: bool,
}

struct Fleet {
    settings: FleetSettings,
    random: SeededRandom,
    queue: BTreeMap<(ClockTime, u64), FleetEvent>,
    last: u64,
    store: SimStore<(usize, u64)>,
    published: u64,
    nodes: Vec<SimNode>,
    indices: BTreeMap<VmName, usize>,
    operators: BTreeMap<usize, SimOperator>,
    documents: BTreeMap<u64, Vec<u64>>,
    cuts: Vec<(usize, ClockTime, ClockTime)>,
    calls: u64,
    judge: HistoryJudge,
}

/// Runs the history of `seed` and returns what the judge says.
pub fn run_history(seed: u64, settings: FleetSettings) -> HistoryReport {
    let mut fleet = Fleet::new(seed, settings);
    fleet.schedule();
    fleet.run_until(ClockTime::from_ms(fleet.settings.length_ms));
    fleet.finish()
}

impl Fleet {
    fn new(seed: u64, settings: FleetSettings) -> Fleet {
        let mut random = SeededRandom::new(seed);
        let mut faults = settings.store.clone();
        faults.ignores_expected_version |= settings.wrong == WrongVariant::BlindWrites;
        faults.answer_bytes_per_ms = settings.link_bytes_per_ms;
        let store = SimStore::new(faults, random.fork());
        let mut fleet = Fleet {
            random,
            queue: BTreeMap::new(),
            last: 0,
            store,
            published: 0,
            nodes: Vec::new(),
            indices: BTreeMap::new(),
            operators: BTreeMap::new(),
            documents: BTreeMap::new(),
            cuts: Vec::new(),
            calls: 0,
            judge: HistoryJudge::default(),
            settings,
        };
        for zone in 0..fleet.settings.zones.len() {
            for _ in 0..fleet.settings.zones[zone].vms {
                let index = fleet.nodes.len();
                let vm = VmName::new(format!("vm-{index:03}"));
                fleet.indices.insert(vm.clone(), index);
                let node = fleet.build(vm, zone, 1, ClockTime::ZERO);
                fleet.nodes.push(node);
            }
        }
        fleet
    }

    fn build(&mut self, vm: VmName, zone: usize, run: u64, start: ClockTime) -> SimNode {
        let mut settings = SyncSettings {
            vm: vm.clone(),
            zone: self.settings.zones[zone].name.clone(),
            ..self.settings.sync.clone()
        };
        if self.settings.policy == SyncPolicy::EveryNodeWatches {
            settings.second_wait = ClockSpan::ZERO;
            settings.chunk_wait = ClockSpan::ZERO;
        }
        let begin = ClockTime::from_ms(1_000);
        SimNode {
            sync: ConfigSync::new(begin, settings, self.random.fork()),
            client: StoreClient::new(ClientSettings::default(), self.random.fork()),
            vm,
            zone,
            run,
            is_up: true,
            start,
            known: (0, Vec::new()),
            paused_until: ClockTime::ZERO,
            saved: None,
        }
    }

    fn schedule(&mut self) {
        for node in 0..self.nodes.len() {
            self.begin(ClockTime::ZERO, node);
        }
        for change in 0..self.settings.changes.len() {
            let at = self.settings.changes[change].at;
            self.put(at, 0, FleetEvent::Operate { change });
        }
        let (length, nodes) = (self.settings.faults_end_ms, self.nodes.len() as u64);
        for _ in 0..self.settings.restarts {
            let node = self.random.below(nodes) as usize;
            self.schedule_crash(&[node], length);
        }
        for _ in 0..self.settings.zone_restarts {
            let zone = self.random.below(self.settings.zones.len() as u64) as usize;
            let members: Vec<usize> =
                (0..self.nodes.len()).filter(|node| self.nodes[*node].zone == zone).collect();
            self.schedule_crash(&members, length);
        }
        for _ in 0..self.settings.mass_restarts {
            let all: Vec<usize> = (0..self.nodes.len()).collect();
            self.schedule_crash(&all, length);
        }
        for _ in 0..self.settings.pauses {
            let node = self.random.below(nodes) as usize;
            let (at, ms) = (self.random.below(length), self.random.below(5_000));
            self.put(ClockTime::from_ms(at), 0, FleetEvent::Pause { node, ms });
        }
        for _ in 0..self.settings.cuts {
            let zone = self.random.below(self.settings.zones.len() as u64) as usize;
            let from = ClockTime::from_ms(self.random.below(length - 10_000));
            let to = from + ClockSpan::from_ms(3_000 + self.random.below(7_000));
            self.cuts.push((zone, from, to));
            self.put(to - ClockSpan::from_ms(1), 0, FleetEvent::CutEnds { zone, from });
        }
        if self.settings.wrong == WrongVariant::GoBack {
            let node = self.random.below(nodes) as usize;
            let at = ClockTime::from_ms(8_000 + self.random.below(15_000));
            self.put(at, 0, FleetEvent::Save { node });
            self.put(at, 5_000, FleetEvent::Restore { node });
        }
    }

    fn schedule_crash(&mut self, nodes: &[usize], length: u64) {
        let at = ClockTime::from_ms(self.random.below(length));
        for node in nodes.iter().copied() {
            let down_ms = 200 + self.random.below(3_000);
            self.put(at, 0, FleetEvent::Crash { node, down_ms });
        }
    }

    fn put(&mut self, now: ClockTime, delay_ms: u64, event: FleetEvent) {
        self.last += 1;
        self.queue.insert((now + ClockSpan::from_ms(delay_ms), self.last), event);
    }

    fn run_until(&mut self, end: ClockTime) {
        loop {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = [queued, self.store.next_event_at()].into_iter().flatten().min();
            let Some(now) = next.filter(|now| *now <= end) else { return };
            for ((caller, run), call, outcome) in self.store.step(now) {
                self.take_outcome(now, caller, run, call, outcome);
            }
            self.publish();
            while let Some(first) = self.queue.first_entry()
                && first.key().0 <= now
            {
                let event = first.remove();
                self.handle(now, event);
            }
        }
    }

    fn store_head(&self) -> Option<SyncHead> {
        let entry = self.store.model.entry(&head_key())?;
        SyncHead::decode(&entry.value).ok()
    }

    fn publish(&mut self) {
        let latest_version = self.store.model.latest_version().0;
        if latest_version == self.published {
            return;
        }
        self.published = latest_version;
        if let Some(head) = self.store_head() {
            let up = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up);
            self.judge.publish(&head, up.collect());
        }
    }

    // A process that is paused takes what came meanwhile when it goes on.
    fn paused(&self, now: ClockTime, event: &FleetEvent) -> Option<ClockTime> {
        let node = match event {
            FleetEvent::Tick { node, .. } | FleetEvent::Heartbeats { node, .. } => *node,
            FleetEvent::Status { to, .. } | FleetEvent::Message { to, .. } => *to,
            _ => return None,
        };
        Some(self.nodes[node].paused_until).filter(|until| *until > now)
    }

    fn handle(&mut self, now: ClockTime, event: FleetEvent) {
        if let Some(until) = self.paused(now, &event) {
            return self.put(until, 0, event);
        }
        match event {
            FleetEvent::Tick { node, run } => {
                if self.nodes[node].run == run && self.nodes[node].is_up {
                    self.drive_client(now, node, StoreEvent::Tick);
                    self.drive(now, node, SyncEvent::Tick);
                    self.put(now, TICK_MS, event);
                }
            }
            FleetEvent::Heartbeats { node, run } => {
                if self.nodes[node].run == run && self.nodes[node].is_up {
                    self.send_heartbeats(now, node);
                    self.put(now, self.settings.heartbeat_ms, event);
                }
            }
            FleetEvent::Status { to, from, status } => {
                let from = self.nodes[from].vm.clone();
                self.drive(now, to, SyncEvent::Heartbeat { from, status });
            }
            FleetEvent::Message { to, from, message } => {
                let from = self.nodes[from].vm.clone();
                self.drive(now, to, SyncEvent::Message { from, message });
            }
            FleetEvent::Operate { change } => self.operate(now, change),
            FleetEvent::OperatorTick { change } => {
                self.drive_operator(now, change, StoreEvent::Tick);
                if self.operators.get(&change).is_some_and(|operator| !operator.is_done) {
                    self.put(now, TICK_MS, event);
                }
            }
            FleetEvent::Crash { node, down_ms } => {
                if self.nodes[node].is_up {
                    self.nodes[node].is_up = false;
                    self.calls += self.nodes[node].client.counters().sent();
                    self.judge.forget(node);
                    self.put(now, down_ms, FleetEvent::Start { node });
                }
            }
            FleetEvent::Start { node } => {
                let old = &self.nodes[node];
                let (vm, zone, run) = (old.vm.clone(), old.zone, old.run + 1);
                self.nodes[node] = self.build(vm, zone, run, now);
                self.begin(now, node);
            }
            FleetEvent::Pause { node, ms } => {
                self.nodes[node].paused_until = now + ClockSpan::from_ms(ms);
            }
            FleetEvent::Save { node } => {
                self.nodes[node].saved = Some(self.nodes[node].sync.clone());
            }
            FleetEvent::Restore { node } => {
                if let Some(saved) = self.nodes[node].saved.take() {
                    self.nodes[node].sync = saved;
                }
            }
            FleetEvent::CutEnds { zone, from } => self.check_contact(now, zone, from),
        }
    }

    fn begin(&mut self, now: ClockTime, node: usize) {
        let run = self.nodes[node].run;
        let head = self.store_head().map_or(0, |head| head.generation);
        let peers = (0..self.nodes.len()).filter(|peer| *peer != node && self.nodes[*peer].is_up);
        let peers = peers.map(|peer| (peer, self.nodes[peer].sync.generation())).collect();
        self.nodes[node].known = (head, peers);
        let rosters = match self.settings.policy {
            SyncPolicy::ZoneWatchers => self.rosters(),
            SyncPolicy::EveryNodeWatches => {
                let zone = &self.settings.zones[self.nodes[node].zone].name;
                BTreeMap::from([(zone.clone(), vec![self.nodes[node].vm.clone()])])
            }
        };
        self.drive(now, node, SyncEvent::Rosters(rosters));
        let phase = self.random.below(TICK_MS);
        self.put(now, phase, FleetEvent::Tick { node, run });
        let phase = self.random.below(self.settings.heartbeat_ms);
        self.put(now, phase, FleetEvent::Heartbeats { node, run });
    }

    fn rosters(&self) -> BTreeMap<ZoneName, Vec<VmName>> {
        let mut rosters: BTreeMap<ZoneName, Vec<VmName>> = BTreeMap::new();
        for node in &self.nodes {
            let zone = self.settings.zones[node.zone].name.clone();
            rosters.entry(zone).or_default().push(node.vm.clone());
        }
        rosters
    }

    fn send_heartbeats(&mut self, now: ClockTime, from: usize) {
        if self.settings.policy == SyncPolicy::EveryNodeWatches {
            return;
        }
        let node = &self.nodes[from];
        let status = node.sync.status(node.clock(now));
        for to in 0..self.nodes.len() {
            if to != from && self.nodes[to].zone == self.nodes[from].zone {
                let event = FleetEvent::Status { to, from, status };
                self.deliver(now, from, to, STATUS_BYTES, event);
            }
        }
    }

    fn deliver(&mut self, now: ClockTime, from: usize, to: usize, bytes: u64, event: FleetEvent) {
        let zones = [self.nodes[from].zone, self.nodes[to].zone];
        let is_cut = zones[0] != zones[1] && zones.iter().any(|zone| self.is_cut(now, *zone));
        if is_cut || self.random.chance(self.faults(now, self.settings.message_faults)) {
            return;
        }
        let is_far = self.region(zones[0]) != self.region(zones[1]);
        let mut delay = self.settings.latencies_ms[usize::from(is_far)];
        self.judge.report.peer_bytes += bytes;
        if is_far {
            self.judge.report.link_bytes += bytes;
            delay += bytes / self.settings.link_bytes_per_ms;
        }
        if self.random.chance(self.faults(now, self.settings.late_messages)) {
            delay += self.random.below(500);
        }
        if self.random.chance(self.faults(now, self.settings.message_faults)) {
            self.put(now, delay + 20, event.clone());
        }
        self.put(now, delay, event);
    }

    fn faults(&self, now: ClockTime, share: f64) -> f64 {
        if now.as_ms() < self.settings.faults_end_ms { share } else { 0.0 }
    }

    fn region(&self, zone: usize) -> usize {
        self.settings.zones[zone].region
    }

    fn is_cut(&self, now: ClockTime, zone: usize) -> bool {
        self.cuts.iter().any(|(cut, from, to)| *cut == zone && *from <= now && now < *to)
    }

    fn take_outcome(
        &mut self,
        now: ClockTime,
        caller: usize,
        run: u64,
        call: CallId,
        outcome: StoreOutcome,
    ) {
        let event = StoreEvent::Outcome { call, outcome };
        if caller >= OPERATORS {
            self.drive_operator(now, caller - OPERATORS, event);
            return;
        }
        // Calls through a cut and calls of a process that doesn't run any more have no answer; what comes during a
        // pause is lost here, as after a time-out of the connection.
        let node = &self.nodes[caller];
        if node.run == run && node.paused_until <= now && !self.is_cut(now, node.zone) {
            self.drive_client(now, caller, event);
        }
    }

    fn drive(&mut self, now: ClockTime, index: usize, event: SyncEvent) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.sync.handle(node.clock(now), event, &mut actions);
        for action in actions {
            match action {
                SyncAction::Submit { op, spec } => {
                    self.drive_client(now, index, StoreEvent::Submit { tag: op, spec });
                }
                SyncAction::Cancel { op } => {
                    self.drive_client(now, index, StoreEvent::Cancel { tag: op });
                }
                SyncAction::Send { to, message } => {
                    if let Some(to) = self.indices.get(&to).copied() {
                        let bytes = message.weight();
                        let event = FleetEvent::Message { to, from: index, message };
                        self.deliver(now, index, to, bytes, event);
                    }
                }
                SyncAction::Install { head, .. } => self.install(now, index, &head),
                SyncAction::Ready { source } => self.check_ready(now, index, source),
            }
        }
    }

    fn install(&mut self, now: ClockTime, index: usize, head: &Arc<SyncHead>) {
        let generation = head.generation;
        if self.is_invalid(head.change) {
            return self.drive(now, index, SyncEvent::Refused { generation });
        }
        let run = self.nodes[index].run;
        self.judge.install(now, index, run, generation);
        let is_first = self.nodes[index].sync.generation() == 0;
        self.drive(now, index, SyncEvent::Accepted { generation });
        if self.settings.wrong == WrongVariant::ServeAtOnce && is_first {
            self.check_ready(now, index, ReadySource::Store);
        }
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
                    self.drive(now, index, SyncEvent::Store { op: tag, result });
                }
                StoreAction::Watched { tag, update } => {
                    self.drive(now, index, SyncEvent::Watched { op: tag, update });
                }
                StoreAction::Reachable(_) => {}
            }
        }
    }

    fn call(&mut self, now: ClockTime, index: usize, call: CallId, request: StoreRequest) {
        let node = &self.nodes[index];
        if self.is_cut(now, node.zone) {
            return;
        }
        let latency = self.settings.latencies_ms[usize::from(self.region(node.zone) != 0)];
        self.store.send(now, (index, node.run), call, request, latency);
    }

    fn is_invalid(&self, change: ChangeId) -> bool {
        self.settings.changes[(change.0 - 1) as usize].is_invalid
    }
}

impl SimNode {
    // Each process has its own clock, which stands at one second when the process begins.
    fn clock(&self, now: ClockTime) -> ClockTime {
        ClockTime::from_ms(now.since(self.start).as_ms() + 1_000)
    }
}
