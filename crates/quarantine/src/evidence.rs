//! How much the crashes weigh that count against a part, in view of outages and of the other parts.

use std::collections::BTreeMap;

use godwitroad_base::ClockSpan;

use crate::{PartCrash, PartKey, QuarantineSettings, outage::OutageLog, suspect::SuspectPart};

/// How much the crashes weigh that count against a part.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EvidenceWeight {
    points: u32,
    /// The crashes at the beginning of an answer.
    beginnings: u32,
}

/// What decides how much a crash weighs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EvidenceContext<'a> {
    pub(crate) settings: &'a QuarantineSettings,
    pub(crate) suspects: &'a BTreeMap<PartKey, SuspectPart>,
    pub(crate) outages: &'a OutageLog,
}

/// The time within which the crashes of an outage count once.
const OUTAGE_SPAN: ClockSpan = ClockSpan::from_ms(50);

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

impl EvidenceContext<'_> {
    /// Returns the weight of all crashes of one of the suspects. Those within `burst_span` of each other count once, unless the
    /// same request was sent from one target to the next. Those in an outage of other causes, and those that a part
    /// explains which was withheld before, don't count.
    pub(crate) fn weight(self, suspect: &SuspectPart) -> EvidenceWeight {
        self.weight_of(suspect, suspect.crashes().iter())
    }

    /// Returns whether the other part may be the cause of so many of these crashes that the remaining ones aren't enough to
    /// withhold the suspect. A part for whose crashes the suspect is the better explanation excuses nothing, and neither does
    /// any part if another router has the evidence.
    pub(crate) fn is_excused_by(self, suspect: &SuspectPart, other: &SuspectPart) -> bool {
        if suspect.withheld.is_some() && !self.weight(suspect).is_enough(self.settings) {
            return false;
        }
        let is_covered = suspect.crashes_without(other).next().is_none();
        let covers_other = other.crashes_without(suspect).next().is_none();
        let rest = || self.weight_of(suspect, suspect.crashes_without(other));
        (is_covered || !covers_other) && !rest().is_enough(self.settings)
    }

    // Returns the weight of some of the crashes, oldest first.
    fn weight_of<'a>(
        self,
        suspect: &SuspectPart,
        crashes: impl Iterator<Item = &'a PartCrash>,
    ) -> EvidenceWeight {
        let mut weight = EvidenceWeight::default();
        let mut burst: Option<PartCrash> = None;
        for crash in crashes {
            let Some(burst_span) = self.burst_span_of(suspect, crash) else { continue };
            match &mut burst {
                Some(first) if !crash.retry && crash.at.since(first.at) < burst_span => {
                    first.beginning |= crash.beginning;
                }
                _ => {
                    weight.add(burst, self.settings);
                    burst = Some(*crash);
                }
            }
        }
        weight.add(burst, self.settings);
        weight
    }

    // Returns the time within which earlier crashes count together with this one; `None` if it doesn't count, as another
    // part explains it, or as it was part of an outage that also took targets which had no such request, or none whose
    // answer was beginning. An outage of only such targets is what many requests with a deadly part cause at once.
    fn burst_span_of(self, suspect: &SuspectPart, crash: &PartCrash) -> Option<ClockSpan> {
        if self.others(suspect).any(|other| other.explains(crash)) {
            return None;
        }
        let Some(targets) = self.outages.outage_at(crash.at) else {
            return Some(self.settings.burst_span);
        };
        let targets: Vec<u32> = targets.collect();
        if !self.was_at_all(suspect, crash, &targets) {
            return None;
        }
        // Several requests that waited at all targets can't be told apart, whatever the cause of the outage.
        let is_ambiguous = self.settings.min_beginnings == 0
            && self.others(suspect).any(|other| self.was_at_all(other, crash, &targets));
        Some(if is_ambiguous { OUTAGE_SPAN } else { self.settings.burst_span })
    }

    fn others<'a>(&'a self, suspect: &'a SuspectPart) -> impl Iterator<Item = &'a SuspectPart> {
        self.suspects.values().filter(|other| !std::ptr::eq(*other, suspect))
    }

    // Returns whether the part was in requests that all of these targets lost when one of them crashed.
    fn was_at_all(self, part: &SuspectPart, crash: &PartCrash, targets: &[u32]) -> bool {
        let counts_waiting = self.settings.min_beginnings == 0;
        let counts = |known: &PartCrash| known.beginning || counts_waiting;
        targets.iter().all(|target| {
            let own = PartCrash { target: *target, ..*crash };
            part.crashes().iter().any(|known| counts(known) && known.is_same(&own))
        })
    }
}
