//! The model: the records of all targets, and the services for which it is active.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{
    AccountName, ClockSpan, ClockTime, RouteName, SeededRandom, ServiceName, TargetName,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    CostEstimate, CostSettings, EstimateError, PaceEntry, RequestSize, TargetWork,
    entry::{decode_factor, encode_age, encode_factor, encode_silence},
    error::ErrorWindow,
    lengths::LengthTable,
    record::{MIN_SILENCE, PaceRecord, WaitingRequest},
};

/// A request on its way to a target, as far as the model has to know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    id: u64,
    sent_at: ClockTime,
    /// The estimate at the time of sending.
    pub estimate: CostEstimate,
}

/// Learns how long requests take at each target; see the [crate](crate).
#[derive(Clone, Debug)]
pub struct CostModel {
    settings: CostSettings,
    services: BTreeSet<ServiceName>,
    records: BTreeMap<u32, PaceRecord>,
    errors: ErrorWindow,
    lengths: LengthTable,
    next_id: u64,
    random: SeededRandom,
}

/// Limit of entries in a gossip message.
const MAX_ENTRIES: usize = 16;

/// How long a peer's report of a silent target counts without another one. It spans the gossip periods of large fleets.
const SILENCE_LIFETIME: ClockSpan = ClockSpan::from_ms(1_500);

/// How long a target still counts as silent at least after the last request that waited there ended without a response. Up
/// to twice the spread is added at random, so that the routers don't try it again at the same time.
const HELD_SILENCE: ClockSpan = ClockSpan::from_ms(500);

/// The spread of the time after which a silent target is tried again, in ms.
const TRIAL_SPREAD_MS: f64 = 1_500.0;

/// The age up to which a response is told to peers. Within it each peer gets several messages in its zone, and most in
/// other zones get one.
const RESPONSE_NEWS: ClockSpan = ClockSpan::from_ms(1_000);

/// The longest silence that is added to an estimate: with more, no request is sent to the target anyway.
const MAX_SILENCE_MS: f64 = 10_000.0;

// Returns the tag that stands for a target in gossip messages, the same as in the other entries.
fn tag_of(target: &TargetName) -> u32 {
    (xxh3_64(target.as_str().as_bytes()) >> 32) as u32
}

impl SentRequest {
    /// Returns the record of a request that is about to be sent.
    pub fn planned(estimate: CostEstimate) -> SentRequest {
        SentRequest { id: 0, sent_at: ClockTime::ZERO, estimate }
    }

    /// Returns the time since the request was sent.
    pub fn elapsed(&self, now: ClockTime) -> ClockSpan {
        now.since(self.sent_at)
    }
}

impl CostModel {
    /// Returns a model that knows only the data sheet.
    pub fn new(settings: CostSettings, seed: u64) -> CostModel {
        CostModel {
            settings,
            services: BTreeSet::new(),
            records: BTreeMap::new(),
            errors: ErrorWindow::default(),
            lengths: LengthTable::default(),
            next_id: 0,
            random: SeededRandom::new(seed),
        }
    }

    /// Returns whether the model is active for a service: by the settings, or because one of its targets has reported its
    /// pace.
    pub fn is_learned(&self, service: &ServiceName) -> bool {
        self.settings.always_active || self.services.contains(service)
    }

    /// Returns whether a service's requests are placed by the learned times: its targets report their pace, or the settings
    /// say so. What follows from answers alone varies too much with the requests.
    pub fn places_by_estimate(&self, service: &ServiceName) -> bool {
        self.settings.places_by_estimate || self.services.contains(service)
    }

    /// Activates the model for a service, as one of its targets has reported its pace to this router (`is_own`) or a peer.
    /// Returns whether none had. Where the model is active anyway, a peer's figures don't show that a target reports a pace.
    pub fn activate(&mut self, service: &ServiceName, is_own: bool) -> bool {
        let is_proof = is_own || !self.settings.always_active;
        is_proof && !self.services.contains(service) && self.services.insert(service.clone())
    }

    /// Returns the estimated cost of a request at a target.
    pub fn estimate(
        &self,
        now: ClockTime,
        target: &TargetName,
        work: &TargetWork,
        request: &RequestSize,
    ) -> CostEstimate {
        let sheet = self.settings.estimate(work, request);
        let Some(record) = self.records.get(&tag_of(target)) else { return sheet };
        let factor = record.factor(now);
        // The pace changes while the request waits.
        let pace = (factor + record.mean_deviation(now, sheet.first_ms * factor.exp())).exp();
        let silent_ms = (record.silence(now).as_ms() as f64).min(MAX_SILENCE_MS);
        CostEstimate {
            first_ms: sheet.first_ms * pace + silent_ms,
            pause_ms: sheet.pause_ms * pace,
            read_pause_ms: sheet.read_pause_ms * pace,
            run_ms: sheet.run_ms * pace,
            pace,
            silent_ms,
            sheet_ms: sheet.first_ms,
        }
    }

    /// Records the pace that a target reports, as a factor.
    pub fn record_report(&mut self, now: ClockTime, target: &TargetName, pace: f64) {
        self.records.entry(tag_of(target)).or_default().record_report(now, pace);
    }

    /// Records that a request is sent to a target. It counts as waiting until
    /// [`record_first_event`](Self::record_first_event) or [`record_end`](Self::record_end).
    pub fn record_waiting(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        estimate: CostEstimate,
    ) -> SentRequest {
        self.next_id += 1;
        let sent = SentRequest { id: self.next_id, sent_at: now, estimate };
        let expected_at = now + ClockSpan::from_ms(estimate.first_ms as u64);
        let waiting = WaitingRequest { expected_at };
        self.records.entry(tag_of(target)).or_default().add_waiting(sent.id, waiting);
        sent
    }

    /// Records the first event of a stream, or another answer, and returns the time since the request was sent.
    pub fn record_first_event(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        sent: &SentRequest,
    ) -> ClockSpan {
        let actual = sent.elapsed(now);
        let Some(record) = self.records.get_mut(&tag_of(target)) else { return actual };
        record.remove_waiting(sent.id);
        record.record_response(now, sent.estimate.sheet_ms, actual.as_ms() as f64);
        self.errors.record(sent.estimate.first_ms, actual.as_ms() as f64);
        actual
    }

    /// Records the end of a request. If it had no response yet and `has_responded` is unset, what it showed of the
    /// target's silence stays known for a while; a rejection is a response.
    pub fn record_end(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        sent: &SentRequest,
        has_responded: bool,
    ) {
        let Some(record) = self.records.get_mut(&tag_of(target)) else { return };
        let silence = record.own_silence(now).filter(|span| *span >= MIN_SILENCE);
        if record.remove_waiting(sent.id).is_none() {
            return;
        }
        if has_responded {
            record.record_sign(now);
        } else if let Some(span) = silence {
            let spread = ClockSpan::from_ms((self.random.fraction() * TRIAL_SPREAD_MS) as u64);
            record.receive_silence(now - span, now + HELD_SILENCE + spread);
        }
    }

    /// Records the number of tokens of a complete answer, of which the request declared a maximum.
    pub fn record_length(
        &mut self,
        route: &RouteName,
        account: Option<&AccountName>,
        declared: u64,
        actual: u64,
    ) {
        self.lengths.record((route.clone(), account.cloned()), declared, actual);
    }

    /// Returns the expected number of tokens of an answer.
    pub fn expected_length(
        &self,
        route: &RouteName,
        account: Option<&AccountName>,
        declared: u64,
    ) -> u64 {
        self.lengths.expected(&(route.clone(), account.cloned()), declared)
    }

    /// Returns the targets that have begun to look stuck to this router, and that no peer has told of, by tag.
    pub fn newly_silent(&mut self, now: ClockTime) -> Vec<u32> {
        let records = self.records.iter_mut();
        records.filter_map(|(tag, record)| record.takes_announcement(now).then_some(*tag)).collect()
    }

    /// Forgets a target that has left or was started again.
    pub fn remove(&mut self, target: &TargetName) {
        self.records.remove(&tag_of(target));
    }

    /// Returns the entries for the next gossip message: silent targets first, then those with the latest responses.
    pub fn entries(&self, now: ClockTime) -> Vec<PaceEntry> {
        let mut ranked: Vec<_> = self
            .records
            .iter()
            .filter_map(|(tag, record)| {
                let silence = record.own_silence(now).filter(|span| *span >= MIN_SILENCE);
                let age = record.own_response().map(|at| now.since(at));
                let is_news = age.is_some_and(|age| age <= RESPONSE_NEWS);
                (silence.is_some() || is_news).then_some((silence.is_none(), age, *tag, silence))
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_ENTRIES);
        let entries = ranked.into_iter().filter_map(|(_, age, tag, silence)| {
            let record = self.records.get(&tag)?;
            Some(PaceEntry {
                tag,
                factor: encode_factor(record.factor(now)),
                deviation: encode_factor(record.last_deviation()),
                response_age: encode_age(age),
                silence: encode_silence(silence),
            })
        });
        entries.collect()
    }

    /// Applies the entries of a peer's message.
    pub fn receive(&mut self, now: ClockTime, entries: &[PaceEntry]) {
        for entry in entries {
            let record = self.records.entry(entry.tag).or_default();
            if let Some(age) = entry.response_span() {
                let at = now - age;
                record.receive_pace(
                    at,
                    decode_factor(entry.factor),
                    decode_factor(entry.deviation),
                );
                record.record_sign(at);
            }
            if let Some(span) = entry.silent_span() {
                record.receive_silence(now - span, now + SILENCE_LIFETIME);
            }
        }
    }

    /// Returns how well the latest estimates agreed with the actual times.
    pub fn error_summary(&self) -> EstimateError {
        self.errors.summary()
    }
}
