//! The event loop of the routing simulation.

use std::{cmp::Reverse, collections::BinaryHeap};

use godwitroad_balance::{Distance, TargetCandidate, TargetReport};
use godwitroad_base::{ClockSpan, ClockTime, Incarnation, SeededRandom, TargetName, VmName};
use godwitroad_prefix::{BlockHash, FeedBatch, PrefixMatches, ShardEvent, TargetId};

use super::{
    engine::SimEngine,
    load::{BLOCK_TOKENS, FirmProfile, WorkRequest},
    node::{NodeMessage, PolicyKind, RouterNode, prefix_hash},
    peers::PUBLISH_US,
    result::RunResult,
};

/// The number of slots of a worker.
const SLOTS: usize = 32;

/// The interval between two load reports of an engine, in microseconds.
const REPORT_US: u64 = 250_000;

/// The time during which an engine is down after a crash, in microseconds.
const DOWN_US: u64 = 500_000;

/// The faults of one scenario.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultPlan {
    /// The probability that a batch of cache events is lost.
    pub(super) loss_chance: f64,
    /// The probability that a batch of cache events arrives twice.
    pub(super) duplicate_chance: f64,
    /// The crashes of engines: the time in microseconds and the engine.
    pub(super) crashes: Vec<(u64, usize)>,
    /// The time, in microseconds, at which all routers begin to restart one after another.
    pub(super) mass_restart: Option<u64>,
}

/// An event of the simulation; requests, engines and routers are given by their indices.
#[derive(Clone, Debug)]
pub(super) enum SimEvent {
    /// A request reaches the load balancer.
    Arrive(usize),
    /// A dispatched request reaches its engine.
    EngineReached {
        engine: usize,
        request: usize,
        attempt: u32,
    },
    /// An engine has computed its current prompt.
    PromptComputed {
        engine: usize,
        incarnation: Incarnation,
    },
    /// An engine has generated the last token of an answer.
    AnswerFinished {
        engine: usize,
        incarnation: Incarnation,
        request: usize,
    },
    /// The router learns that the engine is down or lost the request.
    AttemptFailed {
        request: usize,
        engine: usize,
    },
    /// An engine publishes its new cache events.
    Publish(usize),
    /// An engine reports its load.
    Report(usize),
    /// A batch of cache events or a snapshot reaches a router.
    CacheEvents {
        router: usize,
        engine: usize,
        batch: FeedBatch,
    },
    /// A router requests a snapshot of an engine's cache.
    Snapshot {
        router: usize,
        engine: usize,
    },
    /// A load report reaches a router.
    LoadReport {
        router: usize,
        engine: usize,
        sampled_us: u64,
        report: TargetReport,
    },
    /// A message between routers arrives.
    PeerMessage {
        from: usize,
        to: usize,
        message: NodeMessage,
    },
    /// The running routers are announced to all routers.
    UpdateMembers,
    /// The periodic work of all routers is due.
    Tick,
    EngineCrash(usize),
    RouterStop(usize),
    RouterStart(usize),
}

/// The progress of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestState {
    pub(super) router: usize,
    pub(super) attempt: u32,
    pub(super) excluded: Vec<TargetId>,
    /// The largest number of leading blocks that any worker of the router's region had cached at dispatch.
    pub(super) best_prefix: usize,
    /// The one-way time from the router to the engine, including the transfer of the prompt between regions.
    pub(super) network_us: u64,
}

/// The simulation of one scenario under one policy.
#[derive(Debug)]
pub(super) struct RoutingSimulation<'a> {
    pub(super) firm: &'a FirmProfile,
    pub(super) requests: &'a [WorkRequest],
    pub(super) plan: &'a FaultPlan,
    pub(super) policy: PolicyKind,
    pub(super) random: SeededRandom,
    pub(super) now_us: u64,
    /// The times of the events and their indices in `events`.
    pub(super) event_queue: BinaryHeap<Reverse<(u64, usize)>>,
    /// All events; those that were handled are `None`.
    pub(super) events: Vec<Option<SimEvent>>,
    pub(super) engines: Vec<SimEngine>,
    /// The time until which each engine is down after a crash.
    pub(super) down_until_us: Vec<u64>,
    pub(super) engine_zones: Vec<usize>,
    pub(super) router_zones: Vec<usize>,
    /// The names of the engines.
    pub(super) target_names: Vec<TargetName>,
    /// The names of the routers.
    pub(super) vm_names: Vec<VmName>,
    /// The routers; those that are down are `None`.
    pub(super) nodes: Vec<Option<RouterNode>>,
    pub(super) request_states: Vec<RequestState>,
    pub(super) result: RunResult,
    /// The time at which the run ends.
    pub(super) end_us: u64,
}

/// Returns the region of a zone: the last zone is in a region of its own.
pub(super) fn region(zone: usize) -> usize {
    usize::from(zone == 2)
}

impl<'a> RoutingSimulation<'a> {
    pub(super) fn new(
        firm: &'a FirmProfile,
        requests: &'a [WorkRequest],
        plan: &'a FaultPlan,
        policy: PolicyKind,
        seed: u64,
    ) -> RoutingSimulation<'a> {
        let zone_per_member = |counts: [usize; 3]| -> Vec<usize> {
            counts.into_iter().enumerate().flat_map(|(zone, count)| vec![zone; count]).collect()
        };
        let router_zones = zone_per_member(firm.zones.map(|(routers, _)| routers));
        let engine_zones = zone_per_member(firm.zones.map(|(_, workers)| workers));
        let target_names = (0..engine_zones.len()).map(|index| format!("worker-{index:02}").into());
        let vm_names: Vec<VmName> =
            (0..router_zones.len()).map(|index| format!("vm-{index}").into()).collect();
        let mut simulation = RoutingSimulation {
            firm,
            requests,
            plan,
            policy,
            random: SeededRandom::new(seed ^ 0x5eed),
            now_us: 0,
            event_queue: BinaryHeap::new(),
            events: Vec::new(),
            engines: vec![SimEngine::new(firm.cache_blocks, SLOTS); engine_zones.len()],
            down_until_us: vec![0; engine_zones.len()],
            target_names: target_names.collect(),
            nodes: vec![None; vm_names.len()],
            vm_names,
            engine_zones,
            router_zones,
            request_states: vec![RequestState::default(); requests.len()],
            result: RunResult::new(requests.len()),
            end_us: requests.last().map_or(0, |request| request.at_us) + 30_000_000,
        };
        for router in 0..simulation.vm_names.len() {
            simulation.start_router(router);
        }
        simulation.update_members();
        simulation.schedule_events();
        simulation
    }

    pub(super) fn run(mut self) -> RunResult {
        while let Some(Reverse((at, index))) = self.event_queue.pop() {
            if at > self.end_us {
                break;
            }
            self.now_us = at;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
        self.result
    }

    fn schedule_events(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            self.push(request.at_us, SimEvent::Arrive(index));
        }
        for engine in 0..self.engines.len() {
            self.push(PUBLISH_US * engine as u64 / 16, SimEvent::Publish(engine));
            self.push(REPORT_US * engine as u64 / 16, SimEvent::Report(engine));
        }
        for &(at, engine) in &self.plan.crashes {
            self.push(at, SimEvent::EngineCrash(engine));
        }
        for router in 0..self.vm_names.len() {
            if let Some(at) = self.plan.mass_restart {
                let down = at + 300_000 * router as u64;
                self.push(down, SimEvent::RouterStop(router));
                self.push(down + 200_000, SimEvent::UpdateMembers);
                self.push(down + 1_000_000, SimEvent::RouterStart(router));
                self.push(down + 1_200_000, SimEvent::UpdateMembers);
            }
        }
        self.push(0, SimEvent::Tick);
    }

    pub(super) fn push(&mut self, at: u64, event: SimEvent) {
        self.event_queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub(super) fn clock(&self) -> ClockTime {
        ClockTime::from_ms(self.now_us / 1_000)
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.handle_arrival(request),
            SimEvent::EngineReached { engine, request, attempt } => {
                self.arrive_at_engine(engine, request, attempt);
            }
            SimEvent::PromptComputed { engine, incarnation } => {
                self.handle_prompt_computed(engine, incarnation)
            }
            SimEvent::AnswerFinished { engine, incarnation, request } => {
                self.handle_answer_finished(engine, incarnation, request);
            }
            SimEvent::AttemptFailed { request, engine } => {
                self.handle_attempt_failed(request, engine)
            }
            SimEvent::Publish(engine) => self.publish(engine),
            SimEvent::Report(engine) => self.send_load_reports(engine),
            SimEvent::CacheEvents { router, engine, batch } => {
                let target = self.target_names[engine].clone();
                self.handle_shard_event(router, ShardEvent::Cache { target, batch });
            }
            SimEvent::Snapshot { router, engine } => {
                let batch = self.engines[engine].snapshot();
                self.push(self.now_us + 2_000, SimEvent::CacheEvents { router, engine, batch });
            }
            SimEvent::LoadReport { router, engine, sampled_us, report } => {
                let age = ClockSpan::from_ms((self.now_us - sampled_us) / 1_000);
                let now = self.clock();
                if let Some(node) = &mut self.nodes[router] {
                    node.record_report(
                        now,
                        TargetId(engine as u16),
                        TargetReport { age, ..report },
                    );
                }
            }
            SimEvent::PeerMessage { from, to, message } => self.deliver(from, to, message),
            SimEvent::UpdateMembers => self.update_members(),
            SimEvent::Tick => self.tick(),
            SimEvent::EngineCrash(engine) => self.crash_engine(engine),
            SimEvent::RouterStop(router) => self.nodes[router] = None,
            SimEvent::RouterStart(router) => self.start_router(router),
        }
    }

    /// Assigns a request to a ready router of its region, or of the other region if there is none.
    pub(super) fn handle_arrival(&mut self, request: usize) {
        let work = &self.requests[request];
        let entry_region = usize::from(work.is_remote);
        let is_ready = |router: &usize| {
            let node = &self.nodes[*router];
            node.as_ref().is_some_and(|node| node.is_ready)
        };
        let all: Vec<usize> = (0..self.vm_names.len()).filter(is_ready).collect();
        let in_region =
            all.iter().filter(|&&router| region(self.router_zones[router]) == entry_region);
        let mut ready_routers: Vec<usize> = in_region.copied().collect();
        if ready_routers.is_empty() {
            ready_routers = all;
        }
        if ready_routers.is_empty() {
            // No router is ready; the load balancer retries.
            return self.push(self.now_us + 50_000, SimEvent::Arrive(request));
        }
        let router = ready_routers[(work.router_draw % ready_routers.len() as u64) as usize];
        self.request_states[request].router = router;
        self.route_request(request);
    }

    fn route_request(&mut self, request: usize) {
        let router = self.request_states[request].router;
        if self.policy == PolicyKind::Product {
            let chain = self.requests[request].chain.clone();
            let token = request as u64;
            return self.handle_shard_event(router, ShardEvent::Lookup { token, chain });
        }
        let candidates = self.candidates(router);
        let now = self.clock();
        let work = &self.requests[request];
        let excluded = &self.request_states[request].excluded;
        let usable: Vec<TargetCandidate> = candidates
            .iter()
            .filter(|candidate| !excluded.contains(&candidate.target))
            .copied()
            .collect();
        let exact_view = self.policy.is_oracle().then(|| self.exact_view(request));
        let routers = self.vm_names.len();
        let Some(node) = &mut self.nodes[router] else { return self.handle_arrival(request) };
        let target = match (self.policy, exact_view) {
            (_, Some((matches, reports, up))) => {
                node.set_exact(now, &reports);
                let usable: Vec<TargetCandidate> =
                    usable.into_iter().filter(|candidate| up[candidate.target.index()]).collect();
                node.choose(now, work, &usable, &matches, routers, &[])
            }
            (PolicyKind::LeastLoaded, _) => node.least_loaded(now, work, &usable, request),
            (PolicyKind::PrefixHash, _) => prefix_hash(work, &usable),
            _ => node.round_robin(&usable),
        };
        self.dispatch(request, target);
    }

    /// Returns the exact state of every cache and queue, and which workers are up. Only the oracle policies use it.
    fn exact_view(&self, request: usize) -> (PrefixMatches, Vec<TargetReport>, Vec<bool>) {
        let mut matches = PrefixMatches::default();
        matches.reset(self.engines.len());
        let blocks = self.requests[request].chain.hashes();
        for (index, engine) in self.engines.iter().enumerate() {
            let depth =
                engine.cached_prefix_with_queue(blocks, &|other| prompt_of(self.requests, other));
            matches.set(TargetId(index as u16), depth, depth);
        }
        let reports = self.engines.iter().map(|engine| engine.report(self.now_us)).collect();
        (matches, reports, self.down_until_us.iter().map(|&until| until <= self.now_us).collect())
    }

    /// Returns all engines with their distances from the router.
    pub(super) fn candidates(&self, router: usize) -> Vec<TargetCandidate> {
        let zone = self.router_zones[router];
        let candidate = |(engine, &other): (usize, &usize)| TargetCandidate {
            target: TargetId(engine as u16),
            distance: if other == zone {
                Distance::Zone
            } else if region(other) == region(zone) {
                Distance::Region
            } else {
                Distance::Remote
            },
        };
        self.engine_zones.iter().enumerate().map(candidate).collect()
    }

    pub(super) fn dispatch(&mut self, request: usize, target: Option<TargetId>) {
        let Some(target) = target else {
            // Every worker has failed this request once; all of them are tried again after 100 ms.
            self.request_states[request].excluded.clear();
            return self.push(self.now_us + 100_000, SimEvent::Arrive(request));
        };
        let engine = target.index();
        let router = self.request_states[request].router;
        let work = &self.requests[request];
        let zones = (self.router_zones[router], self.engine_zones[engine]);
        let distance = if zones.0 == zones.1 {
            0
        } else {
            1 + usize::from(region(zones.0) != region(zones.1))
        };
        let now = self.clock();
        if distance == 2 {
            self.result.link_bytes += work.bytes();
            if let Some(node) = &mut self.nodes[router] {
                node.link.take(now, work.bytes());
            }
        }
        let home_region = region(zones.0);
        let regional_engines =
            (0..self.engines.len()).filter(|&at| region(self.engine_zones[at]) == home_region);
        let blocks = work.chain.hashes();
        let best_prefix =
            regional_engines.map(|at| self.engines[at].cached_prefix(blocks)).max().unwrap_or(0);
        let transfer = if distance == 2 { work.bytes() / 3 } else { 0 };
        let network_us = self.firm.network_us[distance] + transfer;
        let state = &mut self.request_states[request];
        state.attempt += 1;
        state.best_prefix = best_prefix;
        state.network_us = network_us;
        let attempt = state.attempt;
        if self.policy.is_oracle() {
            // The oracle's dispatches take effect at once; the latency is added to the time to first token afterwards.
            return self.arrive_at_engine(engine, request, attempt);
        }
        self.push(self.now_us + network_us, SimEvent::EngineReached { engine, request, attempt });
    }

    fn arrive_at_engine(&mut self, engine: usize, request: usize, attempt: u32) {
        if self.down_until_us[engine] > self.now_us {
            return self.push(self.now_us + 1_000, SimEvent::AttemptFailed { request, engine });
        }
        let requests = self.requests;
        self.engines[engine].enqueue(request, attempt, &|other| prompt_of(requests, other));
        self.start_engine(engine);
    }

    fn start_engine(&mut self, engine: usize) {
        let requests = self.requests;
        let incarnation = self.engines[engine].incarnation;
        if let Some(done) =
            self.engines[engine].start(self.now_us, &|other| prompt_of(requests, other))
        {
            self.push(done, SimEvent::PromptComputed { engine, incarnation });
        }
    }

    fn handle_prompt_computed(&mut self, engine: usize, incarnation: Incarnation) {
        let simulated_engine = &mut self.engines[engine];
        if simulated_engine.incarnation != incarnation {
            return;
        }
        let Some(request) = simulated_engine.current_request() else { return };
        let work = &self.requests[request];
        let Some((computed, answered)) =
            simulated_engine.finish_prompt(self.now_us, work.answer_tokens, work.chain.hashes())
        else {
            return;
        };
        let state = &self.request_states[request];
        if computed.attempt == state.attempt {
            let network_trips = if self.policy.is_oracle() { 2 } else { 1 };
            let first_token_us = self.now_us + network_trips * state.network_us - work.at_us;
            let wasted_tokens =
                state.best_prefix.saturating_sub(computed.hit_blocks) as u64 * BLOCK_TOKENS;
            self.result.record(request, first_token_us, computed.hit_blocks, wasted_tokens);
        }
        self.push(answered, SimEvent::AnswerFinished { engine, incarnation, request });
        self.start_engine(engine);
    }

    fn handle_answer_finished(&mut self, engine: usize, incarnation: Incarnation, request: usize) {
        if self.engines[engine].incarnation == incarnation {
            self.engines[engine].finish_answer();
            self.start_engine(engine);
        }
        let now = self.clock();
        let span = ClockSpan::from_ms(1_000);
        if let Some(node) = &mut self.nodes[self.request_states[request].router] {
            node.load.record_end(now, TargetId(engine as u16), request as u64, span);
            node.health.record_success(now, TargetId(engine as u16));
        }
    }

    fn handle_attempt_failed(&mut self, request: usize, engine: usize) {
        let now = self.clock();
        self.result.retries += 1;
        let state = &mut self.request_states[request];
        state.excluded.push(TargetId(engine as u16));
        if let Some(node) = &mut self.nodes[state.router] {
            node.health.record_failure(now, TargetId(engine as u16));
            return self.route_request(request);
        }
        self.handle_arrival(request);
    }

    fn crash_engine(&mut self, engine: usize) {
        self.down_until_us[engine] = self.now_us + DOWN_US;
        for job in self.engines[engine].crash() {
            let event = SimEvent::AttemptFailed { request: job.request, engine };
            self.push(self.now_us + 2_000, event);
        }
    }

    /// Sends the load of an engine to every router, with random delays.
    fn send_load_reports(&mut self, engine: usize) {
        self.push(self.now_us + REPORT_US, SimEvent::Report(engine));
        let report = self.engines[engine].report(self.now_us);
        for router in 0..self.vm_names.len() {
            let at = self.now_us + 50_000 + self.random.below(200_000);
            self.push(at, SimEvent::LoadReport { router, engine, sampled_us: self.now_us, report });
        }
    }
}

/// Returns the blocks and the tail tokens of a request's prompt.
fn prompt_of(requests: &[WorkRequest], request: usize) -> (Vec<BlockHash>, u64) {
    let work = &requests[request];
    (work.chain.hashes().to_vec(), work.tail_tokens)
}
