//! A simulation of the key-value service under virtual time, with injected faults.
//!
//! Tests and benches simulate whole fleets in one process. The simulated service applies each request to the sequential
//! model when it arrives. A seeded generator decides which requests and answers are delayed, lost or rejected, so that
//! a failing history can be reproduced from its seed.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, SeededRandom};

use crate::{
    counters::{CallKind, reply_bytes, request_bytes},
    model::{MAX_VALUE_BYTES, StoreModel},
    port::{CallId, KeyVersion, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest},
};

/// The time in milliseconds after which the simulated adapter ends a watch without a change.
const POLL_TIMEOUT_MS: u64 = 10_000;

/// The faults that a simulated service injects.
#[derive(Clone, Debug, Default)]
pub struct SimFaults {
    /// The fraction of requests that never arrive.
    pub lost_requests: f64,
    /// The fraction of answers that are lost after the request took effect.
    pub lost_answers: f64,
    /// The fraction of requests that arrive up to four seconds late.
    pub late_requests: f64,
    /// The fraction of requests that take up to 400 ms longer.
    pub slow_requests: f64,
    /// The periods in which the service answers no request, from the first time to before the second.
    pub outages: Vec<(ClockTime, ClockTime)>,
    /// The throughput of answers in bytes per millisecond, or zero if their size causes no delay.
    pub answer_bytes_per_ms: u64,
    /// Whether writes ignore the expected version; a checker must detect this incorrect service.
    pub ignores_expected_version: bool,
}

#[derive(Clone, Debug)]
enum SimEvent<N> {
    Arrival { node: N, call: CallId, request: StoreRequest, return_latency_ms: Option<u64> },
    Answer { node: N, call: CallId, outcome: StoreOutcome },
    PollTimeout { serial: u64 },
}

#[derive(Clone, Debug)]
struct SimWatch<N> {
    node: N,
    call: CallId,
    prefix: StoreKey,
    after: KeyVersion,
    return_latency_ms: u64,
}

/// The traffic of one kind of call between a node and a simulated service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SimTraffic {
    /// The number of requests that arrived.
    pub calls: u64,
    /// The bytes of keys and values in requests.
    pub bytes_in: u64,
    /// The bytes of keys and values in answers.
    pub bytes_out: u64,
}

/// A key-value service under virtual time, called by nodes of type `N`.
#[derive(Clone, Debug)]
pub struct SimStore<N> {
    /// The state of the service.
    pub model: StoreModel,
    /// The faults to inject.
    pub faults: SimFaults,
    random: SeededRandom,
    queue: BTreeMap<(ClockTime, u64), SimEvent<N>>,
    watches: BTreeMap<u64, SimWatch<N>>,
    traffic: BTreeMap<(N, CallKind), SimTraffic>,
    last_serial: u64,
}

impl<N: Clone + Ord> SimStore<N> {
    /// Returns a service without values.
    pub fn new(faults: SimFaults, random: SeededRandom) -> SimStore<N> {
        SimStore {
            model: StoreModel::new(),
            faults,
            random,
            queue: BTreeMap::new(),
            watches: BTreeMap::new(),
            traffic: BTreeMap::new(),
            last_serial: 0,
        }
    }

    /// Returns whether the service is in an outage at `now`.
    pub fn is_down(&self, now: ClockTime) -> bool {
        self.faults.outages.iter().any(|(from, to)| *from <= now && now < *to)
    }

    /// Returns the traffic by node and kind of call.
    pub fn traffic(&self) -> &BTreeMap<(N, CallKind), SimTraffic> {
        &self.traffic
    }

    /// Sends a call at `now` over a link with a latency of `latency_ms` in each direction.
    pub fn send(
        &mut self,
        now: ClockTime,
        node: N,
        call: CallId,
        request: StoreRequest,
        latency_ms: u64,
    ) {
        if self.random.chance(self.faults.lost_requests) {
            // The adapter notices half of the lost requests; the others are noticed only by the client's timeout.
            if self.random.chance(0.5) {
                let failure = if self.random.chance(0.5) {
                    StoreFailure::NotSent
                } else {
                    StoreFailure::Unknown
                };
                let event = SimEvent::Answer { node, call, outcome: Err(failure) };
                self.schedule(now, latency_ms, event);
            }
            return;
        }
        let mut delay_ms = latency_ms;
        if self.random.chance(self.faults.slow_requests) {
            delay_ms += self.random.below(400);
        }
        if self.random.chance(self.faults.late_requests) {
            delay_ms += self.random.below(4_000);
        }
        let is_answer_lost = self.random.chance(self.faults.lost_answers);
        let return_latency_ms = (!is_answer_lost).then_some(latency_ms);
        self.schedule(now, delay_ms, SimEvent::Arrival { node, call, request, return_latency_ms });
    }

    /// Returns the time of the next event, or `None` if none is scheduled.
    pub fn next_event_at(&self) -> Option<ClockTime> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Processes all events that are due, and returns the outcomes that reach their callers.
    pub fn step(&mut self, now: ClockTime) -> Vec<(N, CallId, StoreOutcome)> {
        let mut outcomes = Vec::new();
        while let Some(first) = self.queue.first_entry()
            && first.key().0 <= now
        {
            let ((at, _), event) = first.remove_entry();
            match event {
                SimEvent::Answer { node, call, outcome } => outcomes.push((node, call, outcome)),
                SimEvent::PollTimeout { serial } => self.handle_poll_timeout(at, serial),
                SimEvent::Arrival { node, call, request, return_latency_ms } => {
                    self.handle_arrival(at, node, call, &request, return_latency_ms);
                }
            }
        }
        outcomes
    }

    fn schedule(&mut self, now: ClockTime, delay_ms: u64, event: SimEvent<N>) {
        self.last_serial += 1;
        let at = ClockTime::from_ms(now.as_ms() + delay_ms);
        self.queue.insert((at, self.last_serial), event);
    }

    fn handle_arrival(
        &mut self,
        at: ClockTime,
        node: N,
        call: CallId,
        request: &StoreRequest,
        return_latency_ms: Option<u64>,
    ) {
        if self.is_down(at) {
            return;
        }
        let traffic =
            self.traffic.entry((node.clone(), CallKind::from_request(request))).or_default();
        traffic.calls += 1;
        traffic.bytes_in += request_bytes(request);
        let mut request = request.clone();
        if let StoreRequest::Put { value, expected, .. } = &mut request {
            if value.len() > MAX_VALUE_BYTES {
                let event = SimEvent::Answer { node, call, outcome: Err(StoreFailure::Rejected) };
                return self.schedule(at, return_latency_ms.unwrap_or(0), event);
            }
            if self.faults.ignores_expected_version {
                *expected = None;
            }
        }
        let before = self.model.latest_version();
        match (self.model.apply(at, &request), &request) {
            (Some(reply), _) => self.reply(
                at,
                node,
                call,
                CallKind::from_request(&request),
                reply,
                return_latency_ms,
            ),
            (None, StoreRequest::Watch { prefix, after }) => {
                let Some(return_latency_ms) = return_latency_ms else { return };
                self.last_serial += 1;
                let serial = self.last_serial;
                let prefix = prefix.clone();
                self.watches.insert(
                    serial,
                    SimWatch { node, call, prefix, after: *after, return_latency_ms },
                );
                self.schedule(at, POLL_TIMEOUT_MS, SimEvent::PollTimeout { serial });
            }
            (None, _) => {}
        }
        if self.model.latest_version() > before {
            self.notify_watches(at);
        }
    }

    fn reply(
        &mut self,
        at: ClockTime,
        node: N,
        call: CallId,
        kind: CallKind,
        reply: StoreReply,
        return_latency_ms: Option<u64>,
    ) {
        let traffic = self.traffic.entry((node.clone(), kind)).or_default();
        let bytes = reply_bytes(&reply);
        traffic.bytes_out += bytes;
        let transfer_ms = bytes.checked_div(self.faults.answer_bytes_per_ms).unwrap_or(0);
        if let Some(return_latency_ms) = return_latency_ms {
            self.schedule(
                at,
                return_latency_ms + transfer_ms,
                SimEvent::Answer { node, call, outcome: Ok(reply) },
            );
        }
    }

    fn notify_watches(&mut self, at: ClockTime) {
        let serials: Vec<u64> = self.watches.keys().copied().collect();
        for serial in serials {
            let watch = self.watches[&serial].clone();
            let request = StoreRequest::Watch { prefix: watch.prefix, after: watch.after };
            if let Some(reply) = self.model.apply(at, &request) {
                self.watches.remove(&serial);
                let return_latency_ms = Some(watch.return_latency_ms);
                self.reply(at, watch.node, watch.call, CallKind::Watch, reply, return_latency_ms);
            }
        }
    }

    fn handle_poll_timeout(&mut self, at: ClockTime, serial: u64) {
        let Some(watch) = self.watches.remove(&serial) else { return };
        if self.is_down(at) {
            return;
        }
        let latest_version = self.model.latest_version();
        let reply =
            StoreReply::Entries { entries: Vec::new(), removed: Vec::new(), latest_version };
        self.reply(
            at,
            watch.node,
            watch.call,
            CallKind::Watch,
            reply,
            Some(watch.return_latency_ms),
        );
    }
}
