//! The key-value service under virtual time, with the faults that its users must survive.
//!
//! Tests and benches run whole fleets in one process. The simulated service applies requests to the sequential model
//! when they arrive, and delays, loses or refuses requests and answers by a seeded choice, so that a history that
//! breaks a rule can be run again from its seed.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, SeededRandom};

use crate::{
    counters::{CallKind, reply_bytes, request_bytes},
    model::{StoreModel, VALUE_LIMIT_BYTES},
    port::{CallId, KeyVersion, StoreFailure, StoreKey, StoreOutcome, StoreReply, StoreRequest},
};

/// The time after which the simulated adapter ends a watch without a change.
const POLL_MS: u64 = 10_000;

/// The faults of a simulated service.
#[derive(Clone, Debug, Default)]
pub struct SimFaults {
    /// The share of requests that never arrive.
    pub lost_requests: f64,
    /// The share of answers that are lost after the request took effect.
    pub lost_answers: f64,
    /// The share of requests that arrive up to four seconds late.
    pub late_requests: f64,
    /// The share of requests that take up to 400 ms more.
    pub slow_requests: f64,
    /// The times during which the service answers nothing.
    pub outages: Vec<(ClockTime, ClockTime)>,
    /// The bytes that an answer carries in a millisecond, or zero when its size doesn't matter.
    pub answer_bytes_per_ms: u64,
    /// Whether writes ignore the expected version: a wrong service, against which checkers are tested.
    pub ignores_expected_version: bool,
}

#[derive(Clone, Debug)]
enum SimWork<N> {
    Arrival { node: N, call: CallId, request: StoreRequest, back: Option<u64> },
    Answer { node: N, call: CallId, outcome: StoreOutcome },
    PollEnd { serial: u64 },
}

#[derive(Clone, Debug)]
struct SimWatch<N> {
    node: N,
    call: CallId,
    prefix: StoreKey,
    after: KeyVersion,
    back: u64,
}

/// Calls and bytes of one kind that a simulated service saw.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SimTraffic {
    /// Requests that arrived.
    pub calls: u64,
    /// Bytes of keys and values in requests.
    pub bytes_in: u64,
    /// Bytes of keys and values in answers.
    pub bytes_out: u64,
}

/// A key-value service under virtual time, called by nodes of type `N`.
#[derive(Clone, Debug)]
pub struct SimStore<N> {
    /// The values.
    pub model: StoreModel,
    /// The faults.
    pub faults: SimFaults,
    random: SeededRandom,
    queue: BTreeMap<(ClockTime, u64), SimWork<N>>,
    watches: BTreeMap<u64, SimWatch<N>>,
    traffic: BTreeMap<(N, CallKind), SimTraffic>,
    last: u64,
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
            last: 0,
        }
    }

    /// Returns whether the service is in an outage.
    pub fn is_down(&self, now: ClockTime) -> bool {
        self.faults.outages.iter().any(|(from, to)| *from <= now && now < *to)
    }

    /// Returns the traffic of each node by kind of call.
    pub fn traffic(&self) -> &BTreeMap<(N, CallKind), SimTraffic> {
        &self.traffic
    }

    /// Takes a call that is sent at `now` over a link that takes `latency_ms` in each direction.
    pub fn send(
        &mut self,
        now: ClockTime,
        node: N,
        call: CallId,
        request: StoreRequest,
        latency_ms: u64,
    ) {
        if self.random.chance(self.faults.lost_requests) {
            // One half of the lost requests is noticed by the adapter, the other half only by the client's time-out.
            if self.random.chance(0.5) {
                let failure = if self.random.chance(0.5) {
                    StoreFailure::NotSent
                } else {
                    StoreFailure::Unknown
                };
                let work = SimWork::Answer { node, call, outcome: Err(failure) };
                self.put(now, latency_ms, work);
            }
            return;
        }
        let mut delay = latency_ms;
        if self.random.chance(self.faults.slow_requests) {
            delay += self.random.below(400);
        }
        if self.random.chance(self.faults.late_requests) {
            delay += self.random.below(4_000);
        }
        let is_lost = self.random.chance(self.faults.lost_answers);
        let back = (!is_lost).then_some(latency_ms);
        self.put(now, delay, SimWork::Arrival { node, call, request, back });
    }

    /// Returns the time of the next thing to happen.
    pub fn next_event_at(&self) -> Option<ClockTime> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }

    /// Lets everything happen that is due, and returns the outcomes that reach their callers.
    pub fn step(&mut self, now: ClockTime) -> Vec<(N, CallId, StoreOutcome)> {
        let mut outcomes = Vec::new();
        while let Some(first) = self.queue.first_entry()
            && first.key().0 <= now
        {
            let ((at, _), work) = first.remove_entry();
            match work {
                SimWork::Answer { node, call, outcome } => outcomes.push((node, call, outcome)),
                SimWork::PollEnd { serial } => self.end_poll(at, serial),
                SimWork::Arrival { node, call, request, back } => {
                    self.arrive(at, node, call, &request, back);
                }
            }
        }
        outcomes
    }

    fn put(&mut self, now: ClockTime, delay_ms: u64, work: SimWork<N>) {
        self.last += 1;
        let at = ClockTime::from_ms(now.as_ms() + delay_ms);
        self.queue.insert((at, self.last), work);
    }

    fn arrive(
        &mut self,
        at: ClockTime,
        node: N,
        call: CallId,
        request: &StoreRequest,
        back: Option<u64>,
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
            if value.len() > VALUE_LIMIT_BYTES {
                let work = SimWork::Answer { node, call, outcome: Err(StoreFailure::Rejected) };
                return self.put(at, back.unwrap_or(0), work);
            }
            if self.faults.ignores_expected_version {
                *expected = None;
            }
        }
        let before = self.model.latest_version();
        match (self.model.apply(at, &request), &request) {
            (Some(reply), _) => {
                self.reply(at, node, call, CallKind::from_request(&request), reply, back)
            }
            (None, StoreRequest::Watch { prefix, after }) => {
                let Some(back) = back else { return };
                self.last += 1;
                let serial = self.last;
                let prefix = prefix.clone();
                self.watches.insert(serial, SimWatch { node, call, prefix, after: *after, back });
                self.put(at, POLL_MS, SimWork::PollEnd { serial });
            }
            (None, _) => {}
        }
        if self.model.latest_version() > before {
            self.wake(at);
        }
    }

    fn reply(
        &mut self,
        at: ClockTime,
        node: N,
        call: CallId,
        kind: CallKind,
        reply: StoreReply,
        back: Option<u64>,
    ) {
        let traffic = self.traffic.entry((node.clone(), kind)).or_default();
        let bytes = reply_bytes(&reply);
        traffic.bytes_out += bytes;
        let transfer = bytes.checked_div(self.faults.answer_bytes_per_ms).unwrap_or(0);
        if let Some(back) = back {
            self.put(at, back + transfer, SimWork::Answer { node, call, outcome: Ok(reply) });
        }
    }

    fn wake(&mut self, at: ClockTime) {
        let due: Vec<u64> = self.watches.keys().copied().collect();
        for serial in due {
            let watch = self.watches[&serial].clone();
            let request = StoreRequest::Watch { prefix: watch.prefix, after: watch.after };
            if let Some(reply) = self.model.apply(at, &request) {
                self.watches.remove(&serial);
                let back = Some(watch.back);
                self.reply(at, watch.node, watch.call, CallKind::Watch, reply, back);
            }
        }
    }

    fn end_poll(&mut self, at: ClockTime, serial: u64) {
        let Some(watch) = self.watches.remove(&serial) else { return };
        if self.is_down(at) {
            return;
        }
        let latest_version = self.model.latest_version();
        let reply =
            StoreReply::Entries { entries: Vec::new(), removed: Vec::new(), latest_version };
        self.reply(at, watch.node, watch.call, CallKind::Watch, reply, Some(watch.back));
    }
}
