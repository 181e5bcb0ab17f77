//! The evidence against one part of prompts.

use godwitroad_base::{ClockSpan, ClockTime};

use crate::outage::{MOMENT, distance};

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
    /// When this router began to withhold the part.
    pub(crate) since: ClockTime,
    pub(crate) until: ClockTime,
    pub(crate) trials: u32,
    /// The number of requests that were sent because another part may be the cause.
    pub(crate) probes: u32,
    /// The time until which no other such request is sent.
    pub(crate) probed_until: ClockTime,
    /// Whether another router has found the part, whose evidence this one may not have.
    pub(crate) adopted: bool,
}

/// Limit of crashes that count for one part.
const MAX_CRASHES: usize = 16;

/// The time within which reports on one target are about the same crash.
const SAME_CRASH_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

impl WithheldSpan {
    pub(crate) fn new(since: ClockTime, until: ClockTime) -> WithheldSpan {
        let probed_until = ClockTime::ZERO;
        WithheldSpan { since, until, trials: 0, probes: 0, probed_until, adopted: false }
    }
}

impl PartCrash {
    /// Returns whether both are about the same crash of a target.
    pub(crate) fn is_same(&self, other: &PartCrash) -> bool {
        self.target == other.target && distance(self.at, other.at) < SAME_CRASH_SPAN
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

    /// Returns the crashes, oldest first.
    pub(crate) fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    /// Returns the crashes that the other part can't have caused.
    pub(crate) fn crashes_without(&self, other: &SuspectPart) -> impl Iterator<Item = &PartCrash> {
        self.crashes.iter().filter(|crash| !other.may_cause(crash))
    }

    /// Returns whether the part may have caused a crash that another part is suspected of: it was in a request at that target,
    /// and in one whose answer was beginning if one with the other part was.
    pub(crate) fn may_cause(&self, crash: &PartCrash) -> bool {
        let known = self.crashes.iter().find(|known| known.is_same(crash));
        known.is_some_and(|known| known.beginning || !crash.beginning)
    }

    /// Returns whether the part was withheld before a crash that it may have caused. It is the explanation of the crash then,
    /// as only a few requests with it were still in progress or on trial.
    pub(crate) fn explains(&self, crash: &PartCrash) -> bool {
        let is_later = |withheld: WithheldSpan| crash.at.since(withheld.since) > MOMENT;
        self.withheld.is_some_and(is_later) && self.may_cause(crash)
    }
}
