//! A simulation of a fleet that distributes a configuration under virtual time, for tests and benches.
//!
//! The seed determines the history: the changes of operators, and the faults of messages, store calls and processes. A
//! checker records violations while the history runs.

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
    sim_checker::HistoryChecker,
    startup::ReadySource,
};

pub use crate::{
    sim_checker::HistoryReport,
    sim_settings::{FleetSettings, InjectedBug, SimChange, SimZone, SyncPolicy},
};

/// The period of the daemon's tick in milliseconds.
const TICK_MS: u64 = 10;

/// The caller number of the first operator's client at the store; lower numbers are nodes.
const FIRST_OPERATOR_CALLER: usize = 1 << 20;

/// The size of a heartbeat's status in bytes.
const STATUS_BYTES: u64 = 64;

#[derive(Clone, Debug)]
enum FleetEvent {
    Tick { node: usize, incarnation: u64 },
    Heartbeats { node: usize, incarnation: u64 },
    Status { to: usize, from: usize, status: SyncStatus },
    Message { to: usize, from: usize, message: SyncMessage },
    StartOperator { change: usize },
    OperatorTick { change: usize },
    Crash { node: usize, down_ms: u64 },
    Start { node: usize },
    Pause { node: usize, ms: u64 },
    SaveState { node: usize },
    RestoreState { node: usize },
    PartitionEnds { zone: usize, from: ClockTime },
}

struct SimNode {
    vm: VmName,
    zone: usize,
    incarnation: u64,
    is_up: bool,
    started_at: ClockTime,
    /// The generation in the store, and the generation in force at each running peer, when the node started.
    available_generations: (u64, Vec<(usize, u64)>),
    paused_until: ClockTime,
    sync: ConfigSync,
    saved_state: Option<ConfigSync>,
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
    last_serial: u64,
    store: SimStore<(usize, u64)>,
    published_version: u64,
    nodes: Vec<SimNode>,
    indices: BTreeMap<VmName, usize>,
    operators: BTreeMap<usize, SimOperator>,
    documents: BTreeMap<u64, Vec<u64>>,
    partitions: Vec<(usize, ClockTime, ClockTime)>,
    store_calls: u64,
    checker: HistoryChecker,
}

/// Runs the history of `seed` and returns the report of the checker.
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
        faults.ignores_expected_version |=
            settings.injected_bug == InjectedBug::UnconditionalWrites;
        faults.answer_bytes_per_ms = settings.link_bytes_per_ms;
        let store = SimStore::new(faults, random.fork());
        let mut fleet = Fleet {
            random,
            queue: BTreeMap::new(),
            last_serial: 0,
            store,
            published_version: 0,
            nodes: Vec::new(),
            indices: BTreeMap::new(),
            operators: BTreeMap::new(),
            documents: BTreeMap::new(),
            partitions: Vec::new(),
            store_calls: 0,
            checker: HistoryChecker::default(),
            settings,
        };
        for zone in 0..fleet.settings.zones.len() {
            for _ in 0..fleet.settings.zones[zone].vms {
                let index = fleet.nodes.len();
                let vm = VmName::new(format!("vm-{index:03}"));
                fleet.indices.insert(vm.clone(), index);
                let node = fleet.build_node(vm, zone, 1, ClockTime::ZERO);
                fleet.nodes.push(node);
            }
        }
        fleet
    }

    fn build_node(
        &mut self,
        vm: VmName,
        zone: usize,
        incarnation: u64,
        started_at: ClockTime,
    ) -> SimNode {
        let mut settings = SyncSettings {
            vm: vm.clone(),
            zone: self.settings.zones[zone].name.clone(),
            ..self.settings.sync.clone()
        };
        if self.settings.policy == SyncPolicy::EveryNodeWatches {
            settings.second_watcher_delay = ClockSpan::ZERO;
            settings.delay_per_chunk = ClockSpan::ZERO;
        }
        let local_start = ClockTime::from_ms(1_000);
        SimNode {
            sync: ConfigSync::new(local_start, settings, self.random.fork()),
            client: StoreClient::new(ClientSettings::default(), self.random.fork()),
            vm,
            zone,
            incarnation,
            is_up: true,
            started_at,
            available_generations: (0, Vec::new()),
            paused_until: ClockTime::ZERO,
            saved_state: None,
        }
    }

    fn schedule(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_node(ClockTime::ZERO, node);
        }
        for change in 0..self.settings.changes.len() {
            let at = self.settings.changes[change].at;
            self.schedule_event(at, 0, FleetEvent::StartOperator { change });
        }
        let (faults_end_ms, nodes) = (self.settings.faults_end_ms, self.nodes.len() as u64);
        for _ in 0..self.settings.restarts {
            let node = self.random.below(nodes) as usize;
            self.schedule_crash(&[node], faults_end_ms);
        }
        for _ in 0..self.settings.zone_restarts {
            let zone = self.random.below(self.settings.zones.len() as u64) as usize;
            let members: Vec<usize> =
                (0..self.nodes.len()).filter(|node| self.nodes[*node].zone == zone).collect();
            self.schedule_crash(&members, faults_end_ms);
        }
        for _ in 0..self.settings.mass_restarts {
            let all: Vec<usize> = (0..self.nodes.len()).collect();
            self.schedule_crash(&all, faults_end_ms);
        }
        for _ in 0..self.settings.pauses {
            let node = self.random.below(nodes) as usize;
            let (at, ms) = (self.random.below(faults_end_ms), self.random.below(5_000));
            self.schedule_event(ClockTime::from_ms(at), 0, FleetEvent::Pause { node, ms });
        }
        for _ in 0..self.settings.partitions {
            let zone = self.random.below(self.settings.zones.len() as u64) as usize;
            let from = ClockTime::from_ms(self.random.below(faults_end_ms - 10_000));
            let to = from + ClockSpan::from_ms(3_000 + self.random.below(7_000));
            self.partitions.push((zone, from, to));
            self.schedule_event(
                to - ClockSpan::from_ms(1),
                0,
                FleetEvent::PartitionEnds { zone, from },
            );
        }
        if self.settings.injected_bug == InjectedBug::StateRollback {
            let node = self.random.below(nodes) as usize;
            let at = ClockTime::from_ms(8_000 + self.random.below(15_000));
            self.schedule_event(at, 0, FleetEvent::SaveState { node });
            self.schedule_event(at, 5_000, FleetEvent::RestoreState { node });
        }
    }

    fn schedule_crash(&mut self, nodes: &[usize], faults_end_ms: u64) {
        let at = ClockTime::from_ms(self.random.below(faults_end_ms));
        for node in nodes.iter().copied() {
            let down_ms = 200 + self.random.below(3_000);
            self.schedule_event(at, 0, FleetEvent::Crash { node, down_ms });
        }
    }

    fn schedule_event(&mut self, now: ClockTime, delay_ms: u64, event: FleetEvent) {
        self.last_serial += 1;
        self.queue.insert((now + ClockSpan::from_ms(delay_ms), self.last_serial), event);
    }

    fn run_until(&mut self, end: ClockTime) {
        loop {
            let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = [queued, self.store.next_event_at()].into_iter().flatten().min();
            let Some(now) = next.filter(|now| *now <= end) else { return };
            for ((caller, incarnation), call, outcome) in self.store.step(now) {
                self.handle_outcome(now, caller, incarnation, call, outcome);
            }
            self.record_publication();
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

    fn record_publication(&mut self) {
        let latest_version = self.store.model.latest_version().0;
        if latest_version == self.published_version {
            return;
        }
        self.published_version = latest_version;
        if let Some(head) = self.store_head() {
            let running_nodes = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up);
            self.checker.record_publication(&head, running_nodes.collect());
        }
    }

    // Returns the time at which a paused process handles the event, or `None` if it can be handled now.
    fn resume_time(&self, now: ClockTime, event: &FleetEvent) -> Option<ClockTime> {
        let node = match event {
            FleetEvent::Tick { node, .. } | FleetEvent::Heartbeats { node, .. } => *node,
            FleetEvent::Status { to, .. } | FleetEvent::Message { to, .. } => *to,
            _ => return None,
        };
        Some(self.nodes[node].paused_until).filter(|until| *until > now)
    }

    fn handle(&mut self, now: ClockTime, event: FleetEvent) {
        if let Some(until) = self.resume_time(now, &event) {
            return self.schedule_event(until, 0, event);
        }
        match event {
            FleetEvent::Tick { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].is_up {
                    self.handle_client_event(now, node, StoreEvent::Tick);
                    self.handle_sync_event(now, node, SyncEvent::Tick);
                    self.schedule_event(now, TICK_MS, event);
                }
            }
            FleetEvent::Heartbeats { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].is_up {
                    self.send_heartbeats(now, node);
                    self.schedule_event(now, self.settings.heartbeat_ms, event);
                }
            }
            FleetEvent::Status { to, from, status } => {
                let from = self.nodes[from].vm.clone();
                self.handle_sync_event(now, to, SyncEvent::Heartbeat { from, status });
            }
            FleetEvent::Message { to, from, message } => {
                let from = self.nodes[from].vm.clone();
                self.handle_sync_event(now, to, SyncEvent::Message { from, message });
            }
            FleetEvent::StartOperator { change } => self.start_operator(now, change),
            FleetEvent::OperatorTick { change } => {
                self.handle_operator_event(now, change, StoreEvent::Tick);
                if self.operators.get(&change).is_some_and(|operator| !operator.is_done) {
                    self.schedule_event(now, TICK_MS, event);
                }
            }
            FleetEvent::Crash { node, down_ms } => {
                if self.nodes[node].is_up {
                    self.nodes[node].is_up = false;
                    self.store_calls += self.nodes[node].client.counters().sent();
                    self.checker.exclude_node(node);
                    self.schedule_event(now, down_ms, FleetEvent::Start { node });
                }
            }
            FleetEvent::Start { node } => {
                let old = &self.nodes[node];
                let (vm, zone, incarnation) = (old.vm.clone(), old.zone, old.incarnation + 1);
                self.nodes[node] = self.build_node(vm, zone, incarnation, now);
                self.start_node(now, node);
            }
            FleetEvent::Pause { node, ms } => {
                self.nodes[node].paused_until = now + ClockSpan::from_ms(ms);
            }
            FleetEvent::SaveState { node } => {
                self.nodes[node].saved_state = Some(self.nodes[node].sync.clone());
            }
            FleetEvent::RestoreState { node } => {
                if let Some(saved_state) = self.nodes[node].saved_state.take() {
                    self.nodes[node].sync = saved_state;
                }
            }
            FleetEvent::PartitionEnds { zone, from } => self.check_contact(now, zone, from),
        }
    }

    fn start_node(&mut self, now: ClockTime, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let head = self.store_head().map_or(0, |head| head.generation);
        let peers = (0..self.nodes.len()).filter(|peer| *peer != node && self.nodes[*peer].is_up);
        let peers = peers.map(|peer| (peer, self.nodes[peer].sync.generation())).collect();
        self.nodes[node].available_generations = (head, peers);
        let rosters = match self.settings.policy {
            SyncPolicy::ZoneWatchers => self.rosters(),
            SyncPolicy::EveryNodeWatches => {
                let zone = &self.settings.zones[self.nodes[node].zone].name;
                BTreeMap::from([(zone.clone(), vec![self.nodes[node].vm.clone()])])
            }
        };
        self.handle_sync_event(now, node, SyncEvent::Rosters(rosters));
        let phase_ms = self.random.below(TICK_MS);
        self.schedule_event(now, phase_ms, FleetEvent::Tick { node, incarnation });
        let phase_ms = self.random.below(self.settings.heartbeat_ms);
        self.schedule_event(now, phase_ms, FleetEvent::Heartbeats { node, incarnation });
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
        let status = node.sync.status(node.local_time(now));
        for to in 0..self.nodes.len() {
            if to != from && self.nodes[to].zone == self.nodes[from].zone {
                let event = FleetEvent::Status { to, from, status };
                self.send_message(now, from, to, STATUS_BYTES, event);
            }
        }
    }

    fn send_message(
        &mut self,
        now: ClockTime,
        from: usize,
        to: usize,
        bytes: u64,
        event: FleetEvent,
    ) {
        let zones = [self.nodes[from].zone, self.nodes[to].zone];
        let is_partitioned =
            zones[0] != zones[1] && zones.iter().any(|zone| self.is_partitioned(now, *zone));
        if is_partitioned
            || self.random.chance(self.fault_probability(now, self.settings.message_faults))
        {
            return;
        }
        let crosses_regions = self.region(zones[0]) != self.region(zones[1]);
        let mut delay_ms = self.settings.latencies_ms[usize::from(crosses_regions)];
        self.checker.report.peer_bytes += bytes;
        if crosses_regions {
            self.checker.report.link_bytes += bytes;
            delay_ms += bytes / self.settings.link_bytes_per_ms;
        }
        if self.random.chance(self.fault_probability(now, self.settings.late_messages)) {
            delay_ms += self.random.below(500);
        }
        if self.random.chance(self.fault_probability(now, self.settings.message_faults)) {
            self.schedule_event(now, delay_ms + 20, event.clone());
        }
        self.schedule_event(now, delay_ms, event);
    }

    fn fault_probability(&self, now: ClockTime, probability: f64) -> f64 {
        if now.as_ms() < self.settings.faults_end_ms { probability } else { 0.0 }
    }

    fn region(&self, zone: usize) -> usize {
        self.settings.zones[zone].region
    }

    fn is_partitioned(&self, now: ClockTime, zone: usize) -> bool {
        self.partitions
            .iter()
            .any(|(partition, from, to)| *partition == zone && *from <= now && now < *to)
    }

    fn handle_outcome(
        &mut self,
        now: ClockTime,
        caller: usize,
        incarnation: u64,
        call: CallId,
        outcome: StoreOutcome,
    ) {
        let event = StoreEvent::Outcome { call, outcome };
        if caller >= FIRST_OPERATOR_CALLER {
            self.handle_operator_event(now, caller - FIRST_OPERATOR_CALLER, event);
            return;
        }
        // Answers to a process that has ended or that is partitioned are lost. So are answers that arrive while the
        // process is paused, as if the connection had timed out.
        let node = &self.nodes[caller];
        if node.incarnation == incarnation
            && node.paused_until <= now
            && !self.is_partitioned(now, node.zone)
        {
            self.handle_client_event(now, caller, event);
        }
    }

    fn handle_sync_event(&mut self, now: ClockTime, index: usize, event: SyncEvent) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.sync.handle(node.local_time(now), event, &mut actions);
        for action in actions {
            match action {
                SyncAction::Submit { op, spec } => {
                    self.handle_client_event(now, index, StoreEvent::Submit { tag: op, spec });
                }
                SyncAction::Cancel { op } => {
                    self.handle_client_event(now, index, StoreEvent::Cancel { tag: op });
                }
                SyncAction::Send { to, message } => {
                    if let Some(to) = self.indices.get(&to).copied() {
                        let bytes = message.approximate_bytes();
                        let event = FleetEvent::Message { to, from: index, message };
                        self.send_message(now, index, to, bytes, event);
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
            return self.handle_sync_event(now, index, SyncEvent::Refused { generation });
        }
        let incarnation = self.nodes[index].incarnation;
        self.checker.check_installation(now, index, incarnation, generation);
        let is_first = self.nodes[index].sync.generation() == 0;
        self.handle_sync_event(now, index, SyncEvent::Accepted { generation });
        if self.settings.injected_bug == InjectedBug::ReadyWithFirstDocument && is_first {
            self.check_ready(now, index, ReadySource::Store);
        }
    }

    fn handle_client_event(
        &mut self,
        now: ClockTime,
        index: usize,
        event: StoreEvent<OperationId>,
    ) {
        let node = &mut self.nodes[index];
        if !node.is_up {
            return;
        }
        let mut actions = Vec::new();
        node.client.handle(node.local_time(now), event, &mut actions);
        for action in actions {
            match action {
                StoreAction::Call { call, request } => {
                    self.send_store_call(now, index, call, request)
                }
                StoreAction::Done { tag, result } => {
                    self.handle_sync_event(now, index, SyncEvent::Store { op: tag, result });
                }
                StoreAction::Watched { tag, update } => {
                    self.handle_sync_event(now, index, SyncEvent::Watched { op: tag, update });
                }
                StoreAction::Reachable(_) => {}
            }
        }
    }

    fn send_store_call(
        &mut self,
        now: ClockTime,
        index: usize,
        call: CallId,
        request: StoreRequest,
    ) {
        let node = &self.nodes[index];
        if self.is_partitioned(now, node.zone) {
            return;
        }
        let latency_ms = self.settings.latencies_ms[usize::from(self.region(node.zone) != 0)];
        self.store.send(now, (index, node.incarnation), call, request, latency_ms);
    }

    fn is_invalid(&self, change: ChangeId) -> bool {
        self.settings.changes[(change.0 - 1) as usize].is_invalid
    }
}

impl SimNode {
    // Each process has its own clock, which shows one second when the process starts.
    fn local_time(&self, now: ClockTime) -> ClockTime {
        ClockTime::from_ms(now.since(self.started_at).as_ms() + 1_000)
    }
}
