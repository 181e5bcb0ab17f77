//! The time, messages, bytes and store calls of the routers of one zone, with nothing to serve.
//!
//! Whole routers run under virtual time with a model of the store. Time that passes with no change is the smallest
//! load that every router always carries.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Instant,
};

use anyhow::{Result, ensure};
use godwitroad_base::{ClockTime, NodeId, SeededRandom, VmName};
use godwitroad_config::{ConfigDocument, chunks};
use godwitroad_router::{
    AttemptReport, FleetSettings, RouterAction, RouterEvent, RouterSettings, RouterState,
    VmListing, VmState,
};
use godwitroad_store::{
    CallId, KeyVersion, StoreFailure, StoreKey, StoreReply, StoreRequest, model::StoreModel,
};
use godwitroad_sync::{ChangeId, SyncHead, chunk_key, head_key};

use super::{
    fit::fit_rows,
    sample::{ZONE, document},
    wire,
};
use crate::report::BenchRow;

/// The time between two ticks of the daemon.
const STEP_MS: u64 = 10;

/// The time for which a watch is held before it is answered without a change.
const WATCH_MS: u64 = 5_000;

const SETTLE_MS: u64 = 15_000;

const MEASURED_MS: u64 = 20_000;

const OUTAGE_MS: u64 = 60_000;

const RETURN_MS: u64 = 10_000;

/// The accounts of the document; every shard of the shares has some.
const ACCOUNTS: usize = 2_000;

/// The targets of a zone: 6,700 over 21.
const TARGETS: usize = 320;

#[derive(Clone, Copy, Debug, Default)]
struct WorkCost {
    count: u64,
    nanos: u64,
}

struct HeldWatch {
    router: usize,
    call: CallId,
    request: StoreRequest,
    until: u64,
}

/// Routers of one zone with a store.
pub(super) struct ZoneFleet {
    pub(super) now: u64,
    pub(super) routers: Vec<RouterState>,
    names: BTreeMap<VmName, usize>,
    store: StoreModel,
    store_up: bool,
    watches: Vec<HeldWatch>,
    queue: VecDeque<(usize, RouterEvent)>,
    costs: BTreeMap<&'static str, WorkCost>,
    sent: BTreeMap<&'static str, (u64, f64)>,
    calls: BTreeMap<&'static str, u64>,
}

pub(super) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let sizes = [4, 16, 32];
    let mut fleets = Vec::new();
    let mut starts = Vec::new();
    for size in sizes {
        let mut fleet = ZoneFleet::new(seed, size, &document(ACCOUNTS, TARGETS))?;
        fleet.pass(SETTLE_MS)?;
        starts.extend(fleet.call_rows("start of the zone, first 15 s", size, "calls"));
        ensure!(fleet.routers.iter().all(RouterState::is_ready), "{size} routers aren't all ready");
        fleet.forget();
        fleet.pass(MEASURED_MS)?;
        fleets.push((size as f64, fleet));
    }
    let mut rows = starts;
    for kind in ["tick", "heartbeat"] {
        let points: Vec<(f64, f64)> =
            fleets.iter().map(|(size, fleet)| (*size, fleet.mean_us(kind))).collect();
        rows.extend(fit_rows("idle zone", kind, "members", "us (machine)", &points));
    }
    for (size, fleet) in &fleets {
        rows.extend(fleet.idle_rows(*size));
    }
    for (size, fleet) in &mut fleets {
        let size = *size as usize;
        fleet.forget();
        fleet.set_store(false);
        fleet.pass(OUTAGE_MS)?;
        rows.extend(fleet.call_rows("store down for 60 s", size, "attempted calls"));
        fleet.forget();
        fleet.set_store(true);
        fleet.pass(RETURN_MS)?;
        rows.extend(fleet.call_rows("first 10 s after 60 s without the store", size, "calls"));
    }
    Ok(rows)
}

impl ZoneFleet {
    pub(super) fn new(seed: u64, size: usize, document: &ConfigDocument) -> Result<ZoneFleet> {
        let mut random = SeededRandom::new(seed);
        let now = 1_000;
        let name = |number: usize| format!("vm-{number:03}");
        let start = |number: usize| {
            let settings = RouterSettings {
                node: NodeId::new(name(number), 1),
                zone: ZONE.into(),
                region: "region-a".into(),
                seed: random.next_u64(),
                fleet: Some(FleetSettings { address: name(number), ..FleetSettings::default() }),
                ..RouterSettings::default()
            };
            RouterState::new(ClockTime::from_ms(now), settings)
        };
        let routers = (0..size).map(start).collect();
        let mut fleet = ZoneFleet {
            now,
            routers,
            names: (0..size).map(|number| (name(number).into(), number)).collect(),
            store: StoreModel::new(),
            store_up: true,
            watches: Vec::new(),
            queue: VecDeque::new(),
            costs: BTreeMap::new(),
            sent: BTreeMap::new(),
            calls: BTreeMap::new(),
        };
        fleet.publish(document)?;
        Ok(fleet)
    }

    fn publish(&mut self, document: &ConfigDocument) -> Result<()> {
        let split = chunks::split(document)?;
        let chunks: Vec<Arc<[u8]>> = split.into_iter().map(|chunk| chunk.bytes).collect();
        let head = SyncHead::next(None, ChangeId(1), &chunks);
        let mut put = |key: StoreKey, value: Arc<[u8]>| {
            let request = StoreRequest::Put { key, value, expected: None, lease: None };
            self.store.apply(ClockTime::from_ms(self.now), &request);
        };
        for (digest, chunk) in head.chunks.iter().zip(&chunks) {
            put(chunk_key(*digest), Arc::clone(chunk));
        }
        put(head_key(), head.encode());
        Ok(())
    }

    /// Lets time pass.
    pub(super) fn pass(&mut self, ms: u64) -> Result<()> {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.answer_watches();
            for (router, event) in std::mem::take(&mut self.queue) {
                self.tell(router, event)?;
            }
            for router in 0..self.routers.len() {
                if self.now.is_multiple_of(1_000) {
                    self.tell(router, RouterEvent::VmList(self.listing()))?;
                }
                self.tell(router, RouterEvent::Tick)?;
            }
        }
        Ok(())
    }

    /// Gives an event to a router and carries out what follows.
    pub(super) fn tell(&mut self, router: usize, event: RouterEvent) -> Result<()> {
        let kind = match &event {
            RouterEvent::Tick => "tick",
            RouterEvent::Peer { message, .. } => message.kind(),
            RouterEvent::Store { .. } => "store",
            _ => "other",
        };
        let mut actions = Vec::new();
        let start = Instant::now();
        self.routers[router].handle(ClockTime::from_ms(self.now), event, &mut actions);
        let cost = self.costs.entry(kind).or_default();
        cost.nanos += start.elapsed().as_nanos() as u64;
        cost.count += 1;
        actions.into_iter().try_for_each(|action| self.carry_out(router, action))
    }

    fn carry_out(&mut self, router: usize, action: RouterAction) -> Result<()> {
        match action {
            RouterAction::Peer { to, message } => {
                let sent = self.sent.entry(message.kind()).or_default();
                sent.0 += 1;
                sent.1 += wire::size(&message)?;
                let from = self.names.iter().find(|(_, number)| **number == router);
                let from = from.map(|(vm, _)| NodeId::new(vm.clone(), 1));
                if let (Some(from), Some(&to)) = (from, self.names.get(&to)) {
                    self.queue.push_back((to, RouterEvent::Peer { from, message }));
                }
            }
            RouterAction::Store { call, request } => self.call_store(router, call, request),
            RouterAction::Dispatch(order) => {
                let reports = [
                    AttemptReport::Started {
                        status: 200,
                        content_type: "text/event-stream".into(),
                    },
                    AttemptReport::Tokens {
                        first: 0,
                        count: 1,
                        data: "d".into(),
                        text: "t".into(),
                    },
                    AttemptReport::Ended,
                ];
                let (id, attempt) = (order.id, order.attempt);
                let event = |report| (router, RouterEvent::Attempt { id, attempt, report });
                self.queue.extend(reports.map(event));
            }
            _ => {}
        }
        Ok(())
    }

    fn call_store(&mut self, router: usize, call: CallId, request: StoreRequest) {
        let kind = match &request {
            StoreRequest::Get { .. } | StoreRequest::List { .. } => "reads",
            StoreRequest::Watch { .. } => "watches begun",
            _ => "writes",
        };
        *self.calls.entry(kind).or_default() += 1;
        if !self.store_up {
            let outcome = Err(StoreFailure::NotSent);
            self.queue.push_back((router, RouterEvent::Store { call, outcome }));
            return;
        }
        match self.store.apply(ClockTime::from_ms(self.now), &request) {
            Some(reply) => {
                self.queue.push_back((router, RouterEvent::Store { call, outcome: Ok(reply) }));
            }
            None => {
                let until = self.now + WATCH_MS;
                self.watches.push(HeldWatch { router, call, request, until });
            }
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let unchanged = || StoreReply::Entries {
                entries: Vec::new(),
                removed: Vec::new(),
                latest_version: KeyVersion(self.store.latest_version().0),
            };
            let over = (self.now >= watch.until).then(unchanged);
            match self.store.apply(ClockTime::from_ms(self.now), &watch.request).or(over) {
                Some(reply) => {
                    let event = RouterEvent::Store { call: watch.call, outcome: Ok(reply) };
                    self.queue.push_back((watch.router, event));
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn listing(&self) -> Vec<VmListing> {
        let line = |vm: &VmName| VmListing {
            vm: vm.clone(),
            state: VmState::Live,
            address: Some(vm.as_str().to_owned()),
        };
        self.names.keys().map(line).collect()
    }

    fn set_store(&mut self, up: bool) {
        self.store_up = up;
        if !up {
            let lost = std::mem::take(&mut self.watches);
            let event = |watch: HeldWatch| {
                let outcome = Err(StoreFailure::Unknown);
                (watch.router, RouterEvent::Store { call: watch.call, outcome })
            };
            self.queue.extend(lost.into_iter().map(event));
        }
    }

    fn call_rows(&self, scenario: &str, size: usize, unit: &'static str) -> Vec<BenchRow> {
        let scenario = format!("{scenario}, {size} members");
        let row = |(kind, count): (&&str, &u64)| {
            let measure = format!("store {kind} of the zone");
            BenchRow::new(scenario.clone(), "product", measure, unit, *count as f64)
        };
        self.calls.iter().map(row).collect()
    }

    fn idle_rows(&self, size: f64) -> Vec<BenchRow> {
        let seconds = MEASURED_MS as f64 / 1e3;
        let scenario = format!("idle zone, {size} members");
        let row = |measure: String, unit, value| {
            BenchRow::new(scenario.clone(), "product", measure, unit, value)
        };
        let nanos: u64 = self.costs.values().map(|cost| cost.nanos).sum();
        let share = nanos as f64 / 1e9 / size / seconds * 100.0;
        let mut rows = vec![row("one router, all events".into(), "% of a core (machine)", share)];
        for (kind, (count, bytes)) in &self.sent {
            let per_node = size * seconds;
            let measure = format!("{kind} sent by a router");
            rows.push(row(measure.clone(), "messages/s", *count as f64 / per_node));
            rows.push(row(measure, "bytes/s", bytes / per_node));
        }
        for (kind, count) in &self.calls {
            rows.push(row(format!("store {kind} of the zone"), "calls/s", *count as f64 / seconds));
        }
        rows
    }

    fn forget(&mut self) {
        self.costs.clear();
        self.sent.clear();
        self.calls.clear();
    }

    fn mean_us(&self, kind: &str) -> f64 {
        let cost = self.costs.get(kind).copied().unwrap_or_default();
        cost.nanos as f64 / 1e3 / cost.count.max(1) as f64
    }
}
