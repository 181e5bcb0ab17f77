//! What one router knows of its own use of an account's allowance, and of the inflow that the account left unused.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};

/// The time constant of the average of the units that callers ask for.
const ASKED_AVERAGE_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The time for which unused inflow is added up in one entry.
const SPARE_ENTRY_SPAN: ClockSpan = ClockSpan::from_ms(500);

/// Returns a span in seconds.
pub(crate) fn seconds(span: ClockSpan) -> f64 {
    span.as_ms() as f64 / 1_000.0
}

/// What a router told its peers at one time.
#[derive(Clone, Copy, Debug)]
struct UsageReport {
    sent: ClockTime,
    total: u64,
    asked_rate: f64,
}

/// This router's own requests for one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalUsage {
    total: u64,
    last_asked: ClockTime,
    // The average units per second that callers asked for until `last_asked`, admitted or not.
    asked_rate: f64,
    // From the latest report that all reachable peers have to the latest one sent.
    reports: VecDeque<UsageReport>,
    // Admitted units that the router's share of the rate hasn't paid back yet.
    debt: f64,
    debt_updated: ClockTime,
}

impl LocalUsage {
    /// Records that a caller asks for units.
    pub(crate) fn ask(&mut self, now: ClockTime, units: u64) {
        self.asked_rate = self.asked_rate(now) + units as f64 / seconds(ASKED_AVERAGE_SPAN);
        self.last_asked = now;
    }

    /// Records that units are admitted.
    pub(crate) fn admit(&mut self, units: u64) {
        self.total += units;
        self.debt += units as f64;
    }

    /// Takes back units that didn't run. The total stays, as a peer would read a lower one as new units.
    pub(crate) fn refund(&mut self, units: u64) {
        self.debt = (self.debt - units as f64).max(0.0);
    }

    /// Returns whether callers have asked for anything.
    pub(crate) fn is_used(&self) -> bool {
        self.last_asked > ClockTime::default() || self.total > 0
    }

    /// Returns when a caller last asked for units.
    pub(crate) fn last_asked(&self) -> ClockTime {
        self.last_asked
    }

    /// Returns the units admitted since the router's start, and the average units per second that callers ask for, and
    /// notes that the peers are told. They all have the report after `delay`.
    pub(crate) fn report(&mut self, now: ClockTime, delay: ClockSpan) -> (u64, u32) {
        let asked_rate = self.asked_rate(now);
        self.forget_old_reports(now, delay);
        self.reports.push_back(UsageReport { sent: now, total: self.total, asked_rate });
        (self.total, asked_rate as u32)
    }

    /// Returns the units since the last report to any peer.
    pub(crate) fn since_report(&self) -> u64 {
        self.total - self.reports.back().map_or(0, |report| report.total)
    }

    /// Returns the units that some reachable peers may not know of.
    pub(crate) fn unreported(&mut self, now: ClockTime, delay: ClockSpan) -> f64 {
        self.forget_old_reports(now, delay);
        let known = self.reports.front().filter(|report| now.since(report.sent) >= delay);
        (self.total - known.map_or(0, |report| report.total)) as f64
    }

    /// Returns the units per second that callers ask for, as last reported to peers.
    pub(crate) fn reported_rate(&self) -> f64 {
        self.reports.back().map_or(0.0, |report| report.asked_rate)
    }

    /// Pays the debt back at `rate` units per second, and returns what is left of it.
    pub(crate) fn pay_back(&mut self, now: ClockTime, rate: f64) -> f64 {
        let paid = rate * seconds(now.since(self.debt_updated));
        self.debt = (self.debt - paid).max(0.0);
        self.debt_updated = now;
        self.debt
    }

    fn asked_rate(&self, now: ClockTime) -> f64 {
        let passed = seconds(now.since(self.last_asked)) / seconds(ASKED_AVERAGE_SPAN);
        self.asked_rate * (-passed).exp()
    }

    fn forget_old_reports(&mut self, now: ClockTime, delay: ClockSpan) {
        while self.reports.get(1).is_some_and(|report| now.since(report.sent) >= delay) {
            self.reports.pop_front();
        }
    }
}

/// The inflow of the last window that didn't fit the full bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpareInflow {
    entries: VecDeque<(ClockTime, f64)>,
}

impl SpareInflow {
    /// Adds inflow that didn't fit at `now`.
    pub(crate) fn add(&mut self, now: ClockTime, units: f64) {
        match self.entries.back_mut() {
            Some((since, sum)) if now.since(*since) < SPARE_ENTRY_SPAN => *sum += units,
            _ if units > 0.0 => self.entries.push_back((now, units)),
            _ => {}
        }
    }

    /// Returns the sum over the last `window`.
    pub(crate) fn sum(&mut self, now: ClockTime, window: ClockSpan) -> f64 {
        while self.entries.front().is_some_and(|(since, _)| now.since(*since) >= window) {
            self.entries.pop_front();
        }
        self.entries.iter().map(|(_, units)| units).sum()
    }

    /// Keeps only a fraction, as the remainder belongs to routers that are out of reach.
    pub(crate) fn scale(&mut self, fraction: f64) {
        self.entries.iter_mut().for_each(|(_, units)| *units *= fraction);
    }
}
