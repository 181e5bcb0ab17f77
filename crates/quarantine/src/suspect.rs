//! The evidence against one part of prompts.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::{
    QuarantineSettings,
    outage::{OutageLog, distance},
};

/// How far the answer to a request had come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AnswerPhase {
    /// Nothing of the answer has arrived.
    Waiting,
    /// The answer has begun to arrive.
    Beginning,
    /// The answer went on past its beginning.
    Continuing,
}

/// A target's crash that ended a request with the part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartCrash {
    /// The tag of the target.
    pub target: u32,
    /// When the target crashed.
    pub at: ClockTime,
    /// Whether the answer to a request with the part was beginning.
    pub beginning: bool,
    /// Whether another target had lost the request before.
    pub retry: bool,
}

/// The crashes of targets that had requests with one part, and whether the part is withheld.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectPart {
    crashes: Vec<PartCrash>,
    pub(crate) withheld: Option<WithheldSpan>,
    /// When a request with the part last came.
    pub(crate) last_request: ClockTime,
}

/// Until when a part is withheld.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WithheldSpan {
    pub(crate) until: ClockTime,
    pub(crate) trials: u32,
    /// The number of requests that were sent because another part may be the cause.
    pub(crate) probes: u32,
    /// The time until which no other such request is sent.
    pub(crate) probed_until: ClockTime,
    /// Whether another router has found the part, whose evidence this one may not have.
    pub(crate) adopted: bool,
}

/// How much the crashes weigh that count against a part.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EvidenceWeight {
    points: u32,
    /// The crashes at the beginning of an answer.
    beginnings: u32,
}

/// Limit of crashes that count for one part.
const MAX_CRASHES: usize = 16;

/// The time within which the crashes of an outage count once.
const OUTAGE_SPAN: ClockSpan = ClockSpan::from_ms(50);

/// The time within which reports on one target are about the same crash.
const SAME_CRASH_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

impl WithheldSpan {
    pub(crate) fn new(until: ClockTime) -> WithheldSpan {
        let probed_until = ClockTime::ZERO;
        WithheldSpan { until, trials: 0, probes: 0, probed_until, adopted: false }
    }
}

impl PartCrash {
    // Returns whether both are about the same crash of a target.
    fn is_same(&self, other: &PartCrash) -> bool {
        self.target == other.target && distance(self.at, other.at) < SAME_CRASH_SPAN
    }
}

impl EvidenceWeight {
    fn add(&mut self, crash: Option<PartCrash>, settings: &QuarantineSettings) {
        let Some(crash) = crash else { return };
        self.beginnings += u32::from(crash.beginning);
        self.points += if crash.beginning { settings.beginning_points } else { 1 };
    }

    /// Returns the sum over all crashes.
    pub(crate) fn points(self) -> u32 {
        self.points
    }

    /// Returns whether the evidence is enough to withhold the part.
    pub(crate) fn is_enough(self, settings: &QuarantineSettings) -> bool {
        self.points >= settings.threshold && self.beginnings >= settings.min_beginnings
    }

    /// Returns whether the evidence is enough to withhold a retry.
    pub(crate) fn is_near(self, settings: &QuarantineSettings) -> bool {
        self.points >= settings.retry_threshold
    }
}

impl SuspectPart {
    /// Adds a crash, or completes a report on a crash that is known.
    pub(crate) fn add(&mut self, crash: PartCrash) {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            known.beginning |= crash.beginning;
            known.retry |= crash.retry;
            return;
        }
        let at = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Removes crashes that are at least `span` old, and returns whether any are left.
    pub(crate) fn expire(&mut self, now: ClockTime, span: ClockSpan) -> bool {
        self.crashes.retain(|crash| now.since(crash.at) < span);
        !self.crashes.is_empty()
    }

    /// Returns the weight of all crashes. Those within `burst_span` of each other count once, unless the same request was
    /// sent from one target to the next, and those in an outage of other causes don't count.
    pub(crate) fn weight(
        &self,
        settings: &QuarantineSettings,
        outages: &OutageLog,
    ) -> EvidenceWeight {
        self.weight_of(self.crashes.iter(), settings, outages)
    }

    /// Returns the crashes, oldest first.
    pub(crate) fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    /// Returns whether the other part may be the cause of so many of these crashes that the remaining ones aren't enough to
    /// withhold this part. A part for whose crashes this one is the better explanation excuses nothing, and neither does any
    /// part if another router has the evidence.
    pub(crate) fn is_excused_by(
        &self,
        other: &SuspectPart,
        settings: &QuarantineSettings,
        outages: &OutageLog,
    ) -> bool {
        let own_weight = self.weight(settings, outages);
        if self.withheld.is_some() && !own_weight.is_enough(settings) {
            return false;
        }
        let is_covered = self.crashes_without(other).next().is_none();
        let covers_other = other.crashes_without(self).next().is_none();
        (is_covered || !covers_other)
            && !self.weight_of(self.crashes_without(other), settings, outages).is_enough(settings)
    }

    // Returns the crashes that the other part can't have caused: it was in no request at that target, or none whose answer
    // was beginning while one with this part was.
    fn crashes_without(&self, other: &SuspectPart) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().filter(|crash| {
            let known = other.crashes.iter().find(|known| known.is_same(crash));
            known.is_none_or(|known| crash.beginning && !known.beginning)
        })
    }

    // Returns the weight of some of the crashes, oldest first.
    fn weight_of<'a>(
        &self,
        crashes: impl Iterator<Item = &'a PartCrash>,
        settings: &QuarantineSettings,
        outages: &OutageLog,
    ) -> EvidenceWeight {
        let mut weight = EvidenceWeight::default();
        let mut burst: Option<PartCrash> = None;
        for crash in crashes {
            let Some(burst_span) = self.burst_span_of(crash, settings, outages) else { continue };
            match &mut burst {
                Some(first) if !crash.retry && crash.at.since(first.at) < burst_span => {
                    first.beginning |= crash.beginning;
                }
                _ => {
                    weight.add(burst, settings);
                    burst = Some(*crash);
                }
            }
        }
        weight.add(burst, settings);
        weight
    }

    // Returns the time within which earlier crashes count together with this one; `None` if it doesn't count, as it was part
    // of an outage that also took targets which had no such request, or none whose answer was beginning. An outage of only
    // such targets is what many requests with a deadly part cause at once.
    fn burst_span_of(
        &self,
        crash: &PartCrash,
        settings: &QuarantineSettings,
        outages: &OutageLog,
    ) -> Option<ClockSpan> {
        let counts_waiting = settings.min_beginnings == 0;
        let is_own = |target: u32| {
            let own = PartCrash { target, ..*crash };
            let counts = |known: &PartCrash| known.beginning || counts_waiting;
            self.crashes.iter().any(|known| counts(known) && known.is_same(&own))
        };
        let Some(mut targets) = outages.outage_at(crash.at) else {
            return Some(settings.burst_span);
        };
        if !targets.all(is_own) {
            return None;
        }
        // Waiting requests may be on all targets, whatever the cause of the outage.
        Some(if counts_waiting { OUTAGE_SPAN } else { settings.burst_span })
    }
}
