//! Times for which targets want no requests from this router.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};

/// How long a target wants no requests, according to its rejection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DeferralNotice {
    /// It names no time.
    #[default]
    Absent,
    /// It names a time.
    Wanted {
        /// The time, at most [`MAX_DEFERRAL`].
        span: ClockSpan,
        /// Whether a longer time was named.
        is_capped: bool,
    },
    /// It names a time that can't be read.
    Unreadable,
}

/// The longest deferral. Operators replace a target that takes no requests for longer, and a wrong number must not
/// exclude one for good.
pub const MAX_DEFERRAL: ClockSpan = ClockSpan::from_secs(300);

/// The number of requests in progress at a target with which it returns from a deferral.
const FIRST_WINDOW: u64 = 2;

/// The time in which that number doubles without an answer.
const WINDOW_STEP: ClockSpan = ClockSpan::from_ms(250);

/// The number of doublings, by time or by answers, after which it is unlimited.
const WINDOW_STEPS: u64 = 6;

#[derive(Clone, Copy, Debug)]
struct TargetDeferral {
    since: ClockTime,
    until: ClockTime,
    // The answers since the end.
    answers: u64,
    has_ended: bool,
}

/// A deferral that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedDeferral {
    /// The target's tag.
    pub target: u32,
    /// How long it was deferring.
    pub length: ClockSpan,
}

/// The deferrals in force, by the targets' tags.
#[derive(Clone, Debug, Default)]
pub struct DeferralTable {
    deferrals: BTreeMap<u32, TargetDeferral>,
}

impl DeferralNotice {
    /// Returns the notice for a number of seconds; one that is negative or not a number can't be followed.
    pub fn from_seconds(seconds: f64) -> DeferralNotice {
        if seconds.is_nan() || seconds < 0.0 {
            return DeferralNotice::Unreadable;
        }
        // The conversion saturates.
        let span = ClockSpan::from_ms((seconds * 1_000.0).ceil() as u64);
        DeferralNotice::Wanted { span: span.min(MAX_DEFERRAL), is_capped: span > MAX_DEFERRAL }
    }
}

impl TargetDeferral {
    // Returns the number of requests that may be in progress after the end; `None` if it is unlimited.
    fn window(&self, now: ClockTime) -> Option<u64> {
        let steps = self.answers + now.since(self.until).as_ms() / WINDOW_STEP.as_ms();
        (steps < WINDOW_STEPS).then(|| FIRST_WINDOW << steps)
    }
}

impl DeferralTable {
    /// Records that a target wants no requests for `span`, and returns whether it wasn't deferring before. An earlier
    /// deferral that ends later stays in force.
    pub fn begin(&mut self, now: ClockTime, target: u32, span: ClockSpan) -> bool {
        // `now` is rounded down.
        let until = now + span + ClockSpan::from_ms(1);
        match self.deferrals.get_mut(&target) {
            Some(deferral) if deferral.until > now => {
                deferral.until = deferral.until.max(until);
                false
            }
            _ => {
                let deferral = TargetDeferral { since: now, until, answers: 0, has_ended: false };
                self.deferrals.insert(target, deferral);
                true
            }
        }
    }

    /// Records that a target answered a request without rejecting it.
    pub fn record_answer(&mut self, now: ClockTime, target: u32) {
        if let Some(deferral) = self.deferrals.get_mut(&target).filter(|known| known.until <= now) {
            deferral.answers += 1;
        }
    }

    /// Returns whether a target takes another request of this router while `in_progress` of them haven't ended. After a
    /// deferral this number grows from a small one, so that the waiting requests don't all arrive at once.
    pub fn admits(&self, now: ClockTime, target: u32, in_progress: u64) -> bool {
        let Some(deferral) = self.deferrals.get(&target) else { return true };
        now >= deferral.until && deferral.window(now).is_none_or(|window| in_progress < window)
    }

    /// Returns the time until a target that doesn't take a request may take one.
    pub fn time_left(&self, now: ClockTime, target: u32) -> ClockSpan {
        let Some(deferral) = self.deferrals.get(&target) else { return ClockSpan::ZERO };
        let left = deferral.until.since(now);
        if left > ClockSpan::ZERO { left } else { WINDOW_STEP }
    }

    /// Returns the targets that are deferring, with the age of the deferral and the time left.
    pub fn deferring(&self, now: ClockTime) -> impl Iterator<Item = (u32, ClockSpan, ClockSpan)> {
        let deferring = self.deferrals.iter().filter(move |(_, known)| known.until > now);
        deferring
            .map(move |(target, known)| (*target, now.since(known.since), known.until.since(now)))
    }

    /// Returns the deferrals that have ended since the last call.
    pub fn take_ended(&mut self, now: ClockTime) -> Vec<EndedDeferral> {
        let mut ended = Vec::new();
        for (target, deferral) in &mut self.deferrals {
            if deferral.until <= now && !deferral.has_ended {
                deferral.has_ended = true;
                let length = deferral.until.since(deferral.since);
                ended.push(EndedDeferral { target: *target, length });
            }
        }
        self.deferrals.retain(|_, deferral| deferral.until > now || deferral.window(now).is_some());
        ended
    }

    /// Removes a target that has left or was started again, and returns whether it was deferring.
    pub fn remove(&mut self, now: ClockTime, target: u32) -> bool {
        self.deferrals.remove(&target).is_some_and(|deferral| deferral.until > now)
    }
}
