//! Estimated load of each target.
//!
//! Load reports arrive with a delay. The estimate adds the requests that this router and its peers have dispatched
//! since the report was taken, and subtracts the tokens that the target can have computed in the meantime. Otherwise
//! an outdated report would lead all routers to the same target.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_prefix::{TargetId, TargetTag};
use serde::{Deserialize, Serialize};

/// The maximum number of recorded dispatches per target; reports already include older ones.
const MAX_DISPATCHES: usize = 512;

/// The settings of a load view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// The number of prompt tokens per second assumed for a target whose rate hasn't been measured.
    pub prefill_rate: f64,
    /// The time that a request is assumed to occupy a slot of a target before any request has ended there.
    pub service_span: ClockSpan,
    /// The time after which a dispatch is no longer added even if no report has arrived.
    pub report_span: ClockSpan,
}

impl Default for LoadSettings {
    fn default() -> LoadSettings {
        LoadSettings {
            prefill_rate: 20_000.0,
            service_span: ClockSpan::from_secs(2),
            report_span: ClockSpan::from_secs(3),
        }
    }
}

/// The load that a target reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of prompt tokens that have not been computed yet.
    pub waiting_tokens: u64,
    /// The age of the report when it is recorded.
    pub age: ClockSpan,
}

/// A dispatch announced to the peers of a router, so that their estimates include it before the target reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchHint {
    /// The hash of the name of the target.
    pub tag: TargetTag,
    /// The number of prompt tokens that the target must compute.
    pub tokens: u32,
    /// The age of the dispatch when the hint was sent, in milliseconds.
    pub age_ms: u16,
}

/// The number of missing prompt tokens from which a hint is sent at once rather than with the next batch.
///
/// A dispatch of this size occupies a target for about as long as the estimates of equal targets may differ, so a peer
/// that receives the hint late may choose the same target.
const URGENT_TOKENS: u32 = 500;

impl DispatchHint {
    /// Returns whether the hint should be sent at once rather than with the next batch.
    pub fn is_urgent(&self) -> bool {
        self.tokens >= URGENT_TOKENS
    }
}

#[derive(Clone, Copy, Debug)]
struct DispatchedWork {
    at: ClockTime,
    tokens: u64,
    request: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct TargetLoad {
    slots: u32,
    reported_at: ClockTime,
    report: TargetReport,
    dispatched: VecDeque<DispatchedWork>,
    /// The prompt tokens not computed at `updated_at`, from the report and the dispatches after it.
    queued: f64,
    updated_at: ClockTime,
    /// The end times of requests that the report still includes.
    ended: VecDeque<ClockTime>,
    prefill_rate: Option<f64>,
    /// The milliseconds per prompt token, derived from `prefill_rate`; stored because each choice needs it several
    /// times for every target.
    token_ms: Option<f64>,
    service_ms: Option<f64>,
}

impl TargetLoad {
    /// Adds a dispatch; calls must be in the order of arrival, because a target can't compute work before it arrives.
    fn add(&mut self, dispatched: &DispatchedWork, rate: f64) {
        self.queued = self.queued_at(dispatched.at, rate) + dispatched.tokens as f64;
        self.updated_at = self.updated_at.max(dispatched.at);
    }

    fn queued_at(&self, now: ClockTime, rate: f64) -> f64 {
        let passed = now.since(self.updated_at).as_ms() as f64;
        (self.queued - rate * passed / 1_000.0).max(0.0)
    }
}

/// The estimated load of all targets.
#[derive(Clone, Debug)]
pub struct LoadView {
    settings: LoadSettings,
    token_ms: f64,
    targets: Vec<TargetLoad>,
}

impl LoadView {
    /// Returns a view without reports and dispatches.
    pub fn new(settings: LoadSettings) -> LoadView {
        let token_ms = 1_000.0 / settings.prefill_rate.max(1.0);
        LoadView { settings, token_ms, targets: Vec::new() }
    }

    /// Sets the number of requests that `target` can run at once.
    pub fn set_slots(&mut self, target: TargetId, slots: u32) {
        self.entry(target).slots = slots;
    }

    /// Records a report of `target`; one taken before the last recorded report is ignored.
    pub fn record_report(&mut self, now: ClockTime, target: TargetId, report: TargetReport) {
        let reported_at = now - report.age;
        let rate = self.prefill_rate(target);
        let load = self.entry(target);
        if reported_at < load.reported_at {
            return;
        }
        load.reported_at = reported_at;
        load.report = report;
        load.dispatched.retain(|dispatched| dispatched.at > reported_at);
        load.ended.retain(|&ended| ended > reported_at);
        load.queued = report.waiting_tokens as f64;
        load.updated_at = reported_at;
        let dispatched = std::mem::take(&mut load.dispatched);
        dispatched.iter().for_each(|dispatched| load.add(dispatched, rate));
        load.dispatched = dispatched;
    }

    /// Clears the report and the dispatches of a target that restarted.
    pub fn restart(&mut self, now: ClockTime, target: TargetId) {
        let load = self.entry(target);
        load.reported_at = now;
        load.report = TargetReport::default();
        load.queued = 0.0;
        load.updated_at = now;
        load.dispatched.clear();
        load.ended.clear();
    }

    /// Records a dispatch of `tokens` prompt tokens that the target must compute.
    ///
    /// `at` is the time at which the request reaches the target. It may lie in the future by the network time, so that
    /// a report taken before then isn't assumed to include the request.
    ///
    /// `request` is the serial number of a request of this router, and `None` for a dispatch of a peer.
    pub fn record_dispatch(
        &mut self,
        at: ClockTime,
        target: TargetId,
        tokens: u64,
        request: Option<u64>,
    ) {
        let span = self.settings.report_span;
        let rate = self.prefill_rate(target);
        let load = self.entry(target);
        let is_old = |dispatched: &DispatchedWork| at.since(dispatched.at) > span;
        while load.dispatched.len() == MAX_DISPATCHES || load.dispatched.front().is_some_and(is_old)
        {
            load.dispatched.pop_front();
        }
        let dispatched = DispatchedWork { at, tokens, request };
        load.add(&dispatched, rate);
        load.dispatched.push_back(dispatched);
    }

    /// Records the end of a request of this router, which occupied a slot for `span`.
    pub fn record_end(&mut self, now: ClockTime, target: TargetId, request: u64, span: ClockSpan) {
        let load = self.entry(target);
        let before = load.dispatched.len();
        load.dispatched.retain(|dispatched| dispatched.request != Some(request));
        if load.dispatched.len() == before {
            if load.ended.len() == MAX_DISPATCHES {
                load.ended.pop_front();
            }
            load.ended.push_back(now);
        }
        smooth(&mut load.service_ms, span.as_ms() as f64);
    }

    /// Updates the measured prefill rate of `target` from a request that didn't wait and whose `tokens` prompt tokens
    /// were computed in `span`.
    pub fn record_prefill(&mut self, target: TargetId, tokens: u64, span: ClockSpan) {
        if span > ClockSpan::ZERO && tokens > 0 {
            let rate = tokens as f64 * 1_000.0 / span.as_ms() as f64;
            let load = self.entry(target);
            smooth(&mut load.prefill_rate, rate);
            load.token_ms = load.prefill_rate.map(|rate| 1_000.0 / rate.max(1.0));
        }
    }

    /// Returns the measured or assumed number of prompt tokens that `target` computes per second.
    pub fn prefill_rate(&self, target: TargetId) -> f64 {
        let known = self.targets.get(target.index()).and_then(|load| load.prefill_rate);
        known.unwrap_or(self.settings.prefill_rate).max(1.0)
    }

    /// Returns the time that `target` takes to compute one prompt token, in milliseconds.
    pub(crate) fn token_ms(&self, target: TargetId) -> f64 {
        let known = self.targets.get(target.index()).and_then(|load| load.token_ms);
        known.unwrap_or(self.token_ms)
    }

    /// Returns the estimated number of prompt tokens that `target` has not computed yet.
    pub fn queued_tokens(&self, now: ClockTime, target: TargetId) -> u64 {
        let Some(load) = self.targets.get(target.index()) else { return 0 };
        load.queued_at(now, self.prefill_rate(target)) as u64
    }

    /// Returns the estimated number of requests that run or wait at `target`.
    pub fn outstanding(&self, now: ClockTime, target: TargetId) -> u32 {
        let Some(load) = self.targets.get(target.index()) else { return 0 };
        let span = self.settings.report_span;
        let is_old = |dispatched: &&DispatchedWork| now.since(dispatched.at) > span;
        let old = load.dispatched.iter().take_while(is_old).count();
        let dispatched = (load.dispatched.len() - old) as u32;
        let reported = load.report.running + load.report.waiting;
        (reported + dispatched).saturating_sub(load.ended.len() as u32)
    }

    /// Returns the estimated wait until `target` starts to compute the prompt of a request sent now, in milliseconds.
    pub fn queue_wait_ms(&self, now: ClockTime, target: TargetId) -> f64 {
        let Some(load) = self.targets.get(target.index()) else { return 0.0 };
        let token_ms = load.token_ms.unwrap_or(self.token_ms);
        let passed = now.since(load.updated_at).as_ms() as f64;
        let prefill = (load.queued * token_ms - passed).max(0.0);
        if load.slots == 0 {
            return prefill;
        }
        let excess = (self.outstanding(now, target) + 1).saturating_sub(load.slots);
        if excess == 0 {
            return prefill;
        }
        let service = load.service_ms.unwrap_or(self.settings.service_span.as_ms() as f64);
        // When all slots are in use, one becomes free on average each service time divided by the number of slots.
        prefill.max(f64::from(excess) * service / f64::from(load.slots))
    }

    fn entry(&mut self, target: TargetId) -> &mut TargetLoad {
        if self.targets.len() <= target.index() {
            self.targets.resize_with(target.index() + 1, TargetLoad::default);
        }
        &mut self.targets[target.index()]
    }
}

/// Updates an exponential average with a weight of 1/8 for `sample`.
fn smooth(value: &mut Option<f64>, sample: f64) {
    *value = Some(value.map_or(sample, |value| value + (sample - value) / 8.0));
}
