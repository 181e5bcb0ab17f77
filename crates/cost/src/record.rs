//! What is known of one target.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};

/// The pace and silence of one target. Factors are kept as logarithms.
#[derive(Clone, Debug, Default)]
pub(crate) struct PaceRecord {
    // The ratio of actual to data sheet times, learned slowly, and the number of samples in it.
    factor: f64,
    samples: f64,
    factor_at: Option<ClockTime>,
    // The mean of the reported paces, which is part of `factor`.
    reported_mean: Option<f64>,
    // By how much the target was slower than `factor` at the time of `deviation_at`.
    deviation: f64,
    deviation_at: Option<ClockTime>,
    last_response: Option<ClockTime>,
    // When the last response to this router arrived.
    own_response: Option<ClockTime>,
    waiting: BTreeMap<u64, WaitingRequest>,
    silence: Option<KnownSilence>,
    is_announced: bool,
}

/// A request that has no response yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) expected_at: ClockTime,
}

/// A silence that a peer reported, or that a request of this router ended without a response in.
#[derive(Clone, Copy, Debug)]
struct KnownSilence {
    since: ClockTime,
    until: ClockTime,
}

/// The time constant with which the present pace returns to the long-term factor.
const PACE_MEMORY_MS: f64 = 400.0;

/// The age from which the long-term factor decays, and the time constant of the decay.
const FACTOR_LIFETIME: ClockSpan = ClockSpan::from_secs(60);

/// The lowest weight of a sample in the long-term factor.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// The weight of the data sheet in the long-term factor, in samples.
const SHEET_SAMPLES: f64 = 3.0;

/// The weight of a peer's factor. Peers learn from other requests, so that their mean is better than one sample.
const PEER_WEIGHT: f64 = 0.2;

/// The part of a response's unexplained delay that is taken for the target's present pace. The rest is an error of the
/// estimate of this request.
const SAMPLE_PACE_SHARE: f64 = 0.5;

/// The bound of the logarithm of a sample: a factor of 16.
const MAX_SAMPLE: f64 = 2.77;

/// The shortest silence after which a target counts as silent. Times to the first event of up to 200 ms beyond their
/// estimates are usual when capacity is short.
pub(crate) const MIN_SILENCE: ClockSpan = ClockSpan::from_ms(250);

impl PaceRecord {
    /// Applies a reported pace.
    pub(crate) fn record_report(&mut self, now: ClockTime, pace: f64) {
        let pace = pace.ln();
        let mean = self.reported_mean.unwrap_or(self.factor.max(0.0));
        self.deviation = pace - mean;
        self.deviation_at = Some(now);
        // The first report is not the mean of a pace that changes many times a second.
        self.reported_mean = Some(mean + MIN_SAMPLE_WEIGHT * (pace - mean));
    }

    /// Applies the time of a response that takes `sheet_ms` according to the data sheet.
    pub(crate) fn record_response(&mut self, now: ClockTime, sheet_ms: f64, actual_ms: f64) {
        let sample = (actual_ms.max(1.0) / sheet_ms.max(1.0)).ln().clamp(-MAX_SAMPLE, MAX_SAMPLE);
        let current = self.current_deviation(now);
        let unexplained = sample - self.factor - current;
        self.deviation = current + SAMPLE_PACE_SHARE * unexplained;
        self.deviation_at = Some(now);
        self.samples += 1.0;
        let weight = (1.0 / (self.samples + SHEET_SAMPLES)).max(MIN_SAMPLE_WEIGHT);
        self.factor += weight * (sample - self.factor);
        self.factor_at = Some(now);
        self.record_sign(now);
        self.own_response = Some(now);
    }

    /// Records that the target responded at a time, which ends its silence before that.
    pub(crate) fn record_sign(&mut self, at: ClockTime) {
        self.last_response = self.last_response.max(Some(at));
        if self.silence.is_some_and(|silence| silence.since <= at) {
            self.silence = None;
        }
    }

    /// Applies a peer's figures, which are as old as its last response.
    pub(crate) fn receive_pace(&mut self, at: ClockTime, factor: f64, deviation: f64) {
        // The same response is repeated in several messages, with its age rounded.
        let is_new = self.deviation_at.is_none_or(|known| at.since(known) > ClockSpan::from_ms(40));
        if !is_new {
            return;
        }
        let weight = if self.samples == 0.0 { 1.0 } else { PEER_WEIGHT };
        self.factor += weight * (factor - self.factor);
        self.samples += weight;
        self.factor_at = self.factor_at.max(Some(at));
        self.deviation = deviation;
        self.deviation_at = Some(at);
    }

    pub(crate) fn receive_silence(&mut self, since: ClockTime, until: ClockTime) {
        let since = since.max(self.last_response.unwrap_or(since));
        let known = self.silence.get_or_insert(KnownSilence { since, until });
        known.since = known.since.min(since);
        known.until = known.until.max(until);
    }

    pub(crate) fn add_waiting(&mut self, id: u64, waiting: WaitingRequest) {
        self.waiting.insert(id, waiting);
    }

    pub(crate) fn remove_waiting(&mut self, id: u64) -> Option<WaitingRequest> {
        self.waiting.remove(&id)
    }

    /// Returns the long-term factor.
    pub(crate) fn factor(&self, now: ClockTime) -> f64 {
        let age = self.factor_at.map_or(ClockSpan::ZERO, |at| now.since(at));
        let stale = age.saturating_sub(FACTOR_LIFETIME).as_ms() as f64;
        self.factor * (-stale / FACTOR_LIFETIME.as_ms() as f64).exp()
    }

    /// Returns by how much the target is slower than its long-term factor now.
    pub(crate) fn current_deviation(&self, now: ClockTime) -> f64 {
        let age = self.deviation_at.map_or(0.0, |at| now.since(at).as_ms() as f64);
        self.deviation * (-age / PACE_MEMORY_MS).exp()
    }

    /// Returns the mean of that over the coming `span_ms`, in which the pace returns to the long-term factor.
    pub(crate) fn mean_deviation(&self, now: ClockTime, span_ms: f64) -> f64 {
        let spans = span_ms.max(1.0) / PACE_MEMORY_MS;
        self.current_deviation(now) * (1.0 - (-spans).exp()) / spans
    }

    pub(crate) fn last_deviation(&self) -> f64 {
        self.deviation
    }

    /// Returns when the last response to this router arrived.
    pub(crate) fn own_response(&self) -> Option<ClockTime> {
        self.own_response
    }

    /// Returns how long the target has been silent, by this router's waiting requests.
    pub(crate) fn own_silence(&self, now: ClockTime) -> Option<ClockSpan> {
        let oldest = self.waiting.values().map(|waiting| waiting.expected_at).min()?;
        let since = oldest.max(self.last_response.unwrap_or(oldest));
        Some(now.since(since)).filter(|span| *span > ClockSpan::ZERO)
    }

    /// Returns how long the target has been silent, by all that is known; zero if it isn't.
    pub(crate) fn silence(&self, now: ClockTime) -> ClockSpan {
        let known = self.silence.filter(|silence| now < silence.until);
        let known = known.map_or(ClockSpan::ZERO, |silence| now.since(silence.since));
        known.max(self.own_silence(now).unwrap_or_default())
    }

    /// Returns whether the target has begun to look stuck, and no peer has said so.
    pub(crate) fn takes_announcement(&mut self, now: ClockTime) -> bool {
        let is_silent = self.own_silence(now).is_some_and(|span| span >= MIN_SILENCE);
        let is_known = self.silence.is_some_and(|silence| now < silence.until);
        let was_announced = std::mem::replace(&mut self.is_announced, is_silent);
        is_silent && !was_announced && !is_known
    }
}
