//! The parts under suspicion, and the decision on each request.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};

use crate::{
    PartCrash, PartKey, QuarantineSettings,
    completion::CompletionLog,
    evidence::EvidenceContext,
    outage::OutageLog,
    suspect::{SuspectPart, WithheldSpan},
};

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// No part of its prompt is withheld.
    Sound,
    /// It is sent to find out whether a part crashes targets. Other routers should be told at once.
    Trial(PartKey),
    /// It must not be sent because of a part.
    Withheld(PartKey),
}

/// A withheld part, as routers report it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WithheldPart {
    /// The part.
    pub key: PartKey,
    /// The time until the next trial, in milliseconds.
    pub left_ms: u32,
    /// The number of trials so far.
    pub trials: u32,
    /// The number of requests so far that were sent because another part may be the cause.
    pub probes: u32,
    /// The time since a request with the part last came, in milliseconds.
    pub idle_ms: u32,
}

/// What one part of a prompt means for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PartJudgement {
    Sent,
    /// Sent because another part may be the cause of the crashes.
    Probed,
    /// Sent because the part was withheld for long enough.
    Tried,
    Withheld,
}

/// The parts of prompts under suspicion.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    suspects: BTreeMap<PartKey, SuspectPart>,
    completions: CompletionLog,
    outages: OutageLog,
}

/// The time between two requests with a withheld part that are sent because another part may be the cause. In it the first
/// one begins to be answered or crashes its target.
const PROBE_SPAN: ClockSpan = ClockSpan::from_ms(1_500);

/// Limit of parts under suspicion. A caller can send any number of parts, but each withheld one costs three targets.
const MAX_SUSPECTS: usize = 512;

impl QuarantineTable {
    /// Returns a table without suspicions.
    pub fn new(settings: QuarantineSettings) -> QuarantineTable {
        QuarantineTable {
            settings,
            suspects: BTreeMap::new(),
            completions: CompletionLog::default(),
            outages: OutageLog::default(),
        }
    }

    /// Records that a target crashed while it had a request with these parts. Returns the parts that are not suspected
    /// because a recent answer on them was complete.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        crash: PartCrash,
        keys: &[PartKey],
    ) -> Vec<PartKey> {
        let span = self.settings.protection_span;
        self.outages.record(crash.target, crash.at);
        // A report on an outage may show that others waited at the same targets.
        let mut has_other_cause = self.outages.outage_at(crash.at).is_some();
        let (mut protected, mut suspected) = (Vec::new(), Vec::new());
        for key in keys {
            if self.completions.contains(now, span, *key) {
                protected.push(*key);
                continue;
            }
            let suspect = self.suspects.entry(*key).or_default();
            suspect.last_request = suspect.last_request.max(crash.at);
            suspect.add(crash);
            has_other_cause |= suspect.explains(&crash);
            suspected.push(*key);
        }
        if has_other_cause {
            self.release();
        }
        self.withhold(now, &suspected);
        self.evict();
        protected
    }

    // Withholds those of the parts for which the evidence is enough.
    fn withhold(&mut self, now: ClockTime, keys: &[PartKey]) {
        let context = self.context();
        let is_due = |key: &&PartKey| {
            let suspect = context.suspects.get(*key);
            let suspect = suspect.filter(|suspect| suspect.withheld.is_none());
            suspect.is_some_and(|suspect| context.weight(suspect).is_enough(context.settings))
        };
        let due: Vec<PartKey> = keys.iter().filter(is_due).copied().collect();
        let until = now + self.settings.withheld_span(0);
        for key in due {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.withheld = Some(WithheldSpan::new(now, until));
            }
        }
    }

    // Ends the quarantine of parts for which the evidence is no longer enough. The evidence itself stays, as an outage, or a
    // crash that another part explains, is no proof that a part is sound.
    fn release(&mut self) {
        let context = self.context();
        let is_released = |suspect: &SuspectPart| {
            let is_own = suspect.withheld.is_some_and(|withheld| !withheld.adopted);
            is_own && !context.weight(suspect).is_enough(context.settings)
        };
        let released = context.suspects.iter().filter(|(_, suspect)| is_released(suspect));
        let released: Vec<PartKey> = released.map(|(key, _)| *key).collect();
        for key in released {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.withheld = None;
            }
        }
    }

    fn context(&self) -> EvidenceContext<'_> {
        let QuarantineTable { settings, suspects, outages, .. } = self;
        EvidenceContext { settings, suspects, outages }
    }

    /// Records that an answer on these parts was complete. Returns the parts that were suspected until now.
    pub fn record_completion(&mut self, now: ClockTime, keys: &[PartKey]) -> Vec<PartKey> {
        self.completions.record(now, self.settings.protection_span, keys);
        keys.iter().copied().filter(|key| self.suspects.remove(key).is_some()).collect()
    }

    /// Decides on a request with these parts. `is_retry` says that a target may have had it before; `may_try` returns
    /// whether this router is the one that may send a request with the part on trial.
    pub fn screen(
        &mut self,
        now: ClockTime,
        keys: &[PartKey],
        is_retry: bool,
        may_try: impl Fn(PartKey) -> bool,
    ) -> PartVerdict {
        let (mut trials, mut probes) = (Vec::new(), Vec::new());
        for key in keys {
            let Some(suspect) = self.suspects.get_mut(key) else { continue };
            suspect.last_request = now;
            match self.judge_part(now, *key, keys, is_retry, &may_try) {
                PartJudgement::Sent => {}
                PartJudgement::Probed => probes.push(*key),
                PartJudgement::Tried => trials.push(*key),
                PartJudgement::Withheld => return PartVerdict::Withheld(*key),
            }
        }
        for key in &probes {
            if let Some(span) = self.withheld_span_mut(*key) {
                span.probes += 1;
                span.probed_until = now + PROBE_SPAN;
            }
        }
        let settings = self.settings;
        for key in &trials {
            if let Some(span) = self.withheld_span_mut(*key) {
                span.trials += 1;
                span.until = now + settings.withheld_span(span.trials);
            }
        }
        let tested = trials.first().or(probes.first());
        tested.map_or(PartVerdict::Sound, |key| PartVerdict::Trial(*key))
    }

    // Decides on a request as far as one suspected part of its prompt is concerned.
    fn judge_part(
        &self,
        now: ClockTime,
        key: PartKey,
        keys: &[PartKey],
        is_retry: bool,
        may_try: &impl Fn(PartKey) -> bool,
    ) -> PartJudgement {
        let Some(suspect) = self.suspects.get(&key) else { return PartJudgement::Sent };
        let is_excused = self.is_excused(key, keys);
        let Some(span) = suspect.withheld else {
            // A retry costs a second target within moments, before the first crash is known everywhere.
            let weight = self.context().weight(suspect);
            let is_risky = is_retry && !is_excused && weight.is_near(&self.settings);
            return if is_risky { PartJudgement::Withheld } else { PartJudgement::Sent };
        };
        if is_retry || span.trials.saturating_add(span.probes) >= self.settings.max_tests {
            PartJudgement::Withheld
        } else if is_excused
            && span.probes < self.settings.max_probes
            && now >= span.probed_until
            && (!self.settings.is_exclusive || may_try(key))
        {
            PartJudgement::Probed
        } else if now >= span.until && may_try(key) {
            PartJudgement::Tried
        } else {
            PartJudgement::Withheld
        }
    }

    /// Takes back a test by a request that reached no target.
    pub fn refund_test(&mut self, key: PartKey) {
        if let Some(span) = self.withheld_span_mut(key) {
            // A trial comes later than the probes.
            let count = if span.trials > 0 { &mut span.trials } else { &mut span.probes };
            *count = count.saturating_sub(1);
        }
    }

    fn withheld_span_mut(&mut self, key: PartKey) -> Option<&mut WithheldSpan> {
        self.suspects.get_mut(&key)?.withheld.as_mut()
    }

    // Returns whether withheld parts that the request lacks explain the crashes that count against this one. If they don't,
    // the request shows that: its answer clears this part, or another crash sets it apart.
    fn is_excused(&self, key: PartKey, keys: &[PartKey]) -> bool {
        let Some(suspect) = self.suspects.get(&key) else { return false };
        let mut others = self
            .suspects
            .iter()
            .filter(|(other, part)| part.withheld.is_some() && !keys.contains(other));
        others.any(|(_, other)| self.context().is_excused_by(suspect, other))
    }

    /// Adopts a part that another router withholds. Returns false if a recent answer on the part was complete, which
    /// the other router should be told.
    pub fn adopt(&mut self, now: ClockTime, part: &WithheldPart) -> bool {
        if self.completions.contains(now, self.settings.protection_span, part.key) {
            return false;
        }
        let last_request = now - ClockSpan::from_ms(part.idle_ms.into());
        let until = now + ClockSpan::from_ms(part.left_ms.into());
        let suspect = self.suspects.entry(part.key).or_default();
        suspect.last_request = suspect.last_request.max(last_request);
        // The times of two routers differ by the delay of the report, which must not add up as they report to each other.
        if suspect.withheld.is_none_or(|known| known.trials < part.trials) {
            let since = suspect.withheld.map_or(now, |known| known.since);
            let span = WithheldSpan::new(since, until);
            suspect.withheld = Some(WithheldSpan { trials: part.trials, adopted: true, ..span });
        }
        if let Some(known) = suspect.withheld.as_mut().filter(|known| known.probes < part.probes) {
            known.probes = part.probes;
            known.probed_until = now + PROBE_SPAN;
        }
        self.evict();
        true
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: ClockTime) {
        let settings = self.settings;
        self.suspects.retain(|_, suspect| {
            // While a part is withheld there are no new crashes, so the evidence must last.
            if suspect.withheld.is_some() {
                return now.since(suspect.last_request) < settings.max_trial_span;
            }
            suspect.expire(now, settings.evidence_span)
        });
    }

    /// Returns the withheld parts, those with the latest requests first, without parts for whose crashes another part is the
    /// better explanation.
    pub fn withheld(&self, now: ClockTime) -> Vec<WithheldPart> {
        let ms = |span: ClockSpan| u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        let mut parts: Vec<WithheldPart> = self
            .suspects
            .iter()
            .filter_map(|(key, suspect)| {
                let WithheldSpan { until, trials, probes, .. } = suspect.withheld?;
                if self.has_better_suspect(suspect) {
                    return None;
                }
                let idle_ms = ms(now.since(suspect.last_request));
                Some(WithheldPart {
                    key: *key,
                    left_ms: ms(until.since(now)),
                    trials,
                    probes,
                    idle_ms,
                })
            })
            .collect();
        parts.sort_by_key(|part| (part.idle_ms, part.key));
        parts
    }

    fn has_better_suspect(&self, suspect: &SuspectPart) -> bool {
        let context = self.context();
        let is_better = |other: &SuspectPart| {
            other.withheld.is_some()
                && context.is_excused_by(suspect, other)
                && !context.is_excused_by(other, suspect)
        };
        self.suspects.values().any(is_better)
    }

    /// Returns whether a part is withheld.
    pub fn is_withheld(&self, key: PartKey) -> bool {
        self.suspects.get(&key).is_some_and(|suspect| suspect.withheld.is_some())
    }

    /// Returns the weight of the crashes against a part, in points.
    pub fn points(&self, key: PartKey) -> u32 {
        let suspect = self.suspects.get(&key);
        suspect.map_or(0, |suspect| self.context().weight(suspect).points())
    }

    /// Returns whether crashes suffice that only ended requests which still waited for their answers.
    pub fn counts_waiting_alone(&self) -> bool {
        self.settings.min_beginnings == 0
    }

    /// Returns the crashes that count against a part, oldest first.
    pub fn crashes(&self, key: PartKey) -> &[PartCrash] {
        self.suspects.get(&key).map_or(&[], SuspectPart::crashes)
    }

    // Removes the part with the least reason for suspicion if there are too many.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let rank = |suspect: &SuspectPart| (suspect.withheld.is_some(), suspect.last_request);
            let least = self.suspects.iter().min_by_key(|(_, suspect)| rank(suspect));
            let Some(key) = least.map(|(key, _)| *key) else { return };
            self.suspects.remove(&key);
        }
    }
}
