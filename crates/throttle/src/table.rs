//! The limits in force.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use crate::{
    FleetPosition, LimitNotice, LimitReport, LimitStatement, RequestRate, bucket::RequestBucket,
};

/// How an answer or a report changed what is known of a target's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// Nothing changed.
    Same,
    /// The target names a limit that is new or differs from the one before.
    Named(RequestRate),
    /// The target names no limit any more.
    Ended,
}

#[derive(Clone, Debug)]
struct TargetLimit {
    // `None` once the need has ended.
    rate: Option<RequestRate>,
    // When the rate was named, or when the request was sent whose answer names none. The newest statement is in force.
    stated_at: ClockTime,
    // What the latest answer to this router said. Peers are told this alone: a statement that is passed on would appear newer
    // each time.
    own: Option<OwnStatement>,
    bucket: RequestBucket,
}

#[derive(Clone, Copy, Debug)]
struct OwnStatement {
    rate: Option<RequestRate>,
    stated_at: ClockTime,
}

/// The limits that targets name, by the targets' tags.
#[derive(Clone, Debug, Default)]
pub struct ThrottleTable {
    limits: BTreeMap<u32, TargetLimit>,
}

/// How long the end of a limit is remembered, so that older reports of peers don't bring it back.
const ENDED_SPAN: ClockSpan = ClockSpan::from_ms(5_000);

/// What the bucket holds when a limit is named. The target has just been sent more than it can take.
const FIRST_LEVEL: f64 = 1.0;

impl TargetLimit {
    fn change_to(&mut self, rate: Option<RequestRate>, stated_at: ClockTime) -> LimitChange {
        let before = std::mem::replace(&mut self.rate, rate);
        self.stated_at = stated_at;
        match rate {
            _ if rate == before => LimitChange::Same,
            Some(rate) => LimitChange::Named(rate),
            None => LimitChange::Ended,
        }
    }
}

impl ThrottleTable {
    /// Applies what the answer to a request that was sent at `sent_at` says.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the limit was last named: answers to
    /// earlier requests may be older than the limit.
    pub fn observe(
        &mut self,
        now: ClockTime,
        target: u32,
        sent_at: ClockTime,
        notice: LimitNotice,
    ) -> LimitChange {
        match (notice, self.limits.get_mut(&target)) {
            (LimitNotice::Named(rate), None) => {
                let limit = self.begin(now, target, rate, now, FIRST_LEVEL);
                limit.own = Some(OwnStatement { rate: Some(rate), stated_at: now });
                LimitChange::Named(rate)
            }
            (LimitNotice::Named(rate), Some(limit)) => {
                if limit.rate.is_none() {
                    limit.bucket.lower_to(FIRST_LEVEL);
                }
                limit.own = Some(OwnStatement { rate: Some(rate), stated_at: now });
                limit.change_to(Some(rate), now)
            }
            (LimitNotice::Absent, Some(limit)) if sent_at > limit.stated_at => {
                limit.own = Some(OwnStatement { rate: None, stated_at: sent_at });
                limit.change_to(None, sent_at)
            }
            _ => LimitChange::Same,
        }
    }

    fn begin(
        &mut self,
        now: ClockTime,
        target: u32,
        rate: RequestRate,
        stated_at: ClockTime,
        level: f64,
    ) -> &mut TargetLimit {
        let bucket = RequestBucket::new(now, level);
        let limit = TargetLimit { rate: Some(rate), stated_at, own: None, bucket };
        self.limits.entry(target).insert_entry(limit).into_mut()
    }

    /// Applies a peer's report on one target.
    pub fn receive(
        &mut self,
        now: ClockTime,
        peer: &VmName,
        incarnation: u64,
        report: &LimitReport,
    ) -> LimitChange {
        let level = f64::from(report.level) / 1_000.0;
        let change = report.statement.map_or(LimitChange::Same, |statement| {
            self.adopt(now, report.target, level, statement)
        });
        if let Some(limit) = self.limits.get_mut(&report.target) {
            limit.bucket.receive(peer, incarnation, report.sent, level);
        }
        change
    }

    fn adopt(
        &mut self,
        now: ClockTime,
        target: u32,
        level: f64,
        statement: LimitStatement,
    ) -> LimitChange {
        let stated_at = now - ClockSpan::from_ms(statement.age_ms.into());
        match (statement.rate, self.limits.get_mut(&target)) {
            (None, None) => LimitChange::Same,
            (Some(rate), None) => {
                self.begin(now, target, rate, stated_at, level);
                LimitChange::Named(rate)
            }
            (_, Some(limit)) if stated_at <= limit.stated_at => LimitChange::Same,
            (rate, Some(limit)) => {
                if limit.rate.is_none() {
                    limit.bucket.lower_to(level);
                }
                limit.change_to(rate, stated_at)
            }
        }
    }

    /// Returns whether this router may send a request to a target. `is_urgent` takes precedence over other routers.
    ///
    /// # Errors
    ///
    /// Returns the time after which it may send one, unless other routers have no requests for the target.
    pub fn check(
        &mut self,
        now: ClockTime,
        target: u32,
        position: FleetPosition,
        is_urgent: bool,
    ) -> std::result::Result<(), ClockSpan> {
        let Some(limit) = self.limits.get_mut(&target) else { return Ok(()) };
        let Some(rate) = limit.rate else { return Ok(()) };
        limit.bucket.check(now, rate, position, is_urgent)
    }

    /// Records that this router sends a request to a target.
    pub fn record_sent(&mut self, target: u32) {
        if let Some(limit) = self.limits.get_mut(&target).filter(|limit| limit.rate.is_some()) {
            limit.bucket.take();
        }
    }

    /// Returns the reports for the next message to the peers: at most `max_reports`, beginning after the first `skipped`
    /// ones if there are more.
    pub fn reports(
        &mut self,
        now: ClockTime,
        max_reports: usize,
        skipped: usize,
    ) -> Vec<LimitReport> {
        self.limits
            .retain(|_, limit| limit.rate.is_some() || now.since(limit.stated_at) < ENDED_SPAN);
        let count = self.limits.len();
        let first = if count > max_reports { skipped % count } else { 0 };
        let (before, after): (Vec<_>, Vec<_>) =
            self.limits.iter_mut().enumerate().partition(|(index, _)| *index < first);
        let ordered = after.into_iter().chain(before).take(max_reports);
        ordered.map(|(_, (target, limit))| limit.report(now, *target)).collect()
    }

    /// Returns whether this router has sent requests that its peers don't know of.
    pub fn has_unreported(&self) -> bool {
        let mut limits = self.limits.values();
        limits.any(|limit| limit.rate.is_some() && limit.bucket.has_unreported())
    }

    /// Removes a target that has left or was started again.
    pub fn remove(&mut self, target: u32) {
        self.limits.remove(&target);
    }

    /// Returns the limit of a target, if one is in force.
    pub fn limit(&self, target: u32) -> Option<RequestRate> {
        self.limits.get(&target).and_then(|limit| limit.rate)
    }

    /// Returns what the bucket of a target held when it was last used, in requests; for the log.
    pub fn level(&self, target: u32) -> Option<f64> {
        self.limits.get(&target).map(|limit| limit.bucket.level())
    }
}

impl TargetLimit {
    fn report(&mut self, now: ClockTime, target: u32) -> LimitReport {
        let statement = self.own.filter(|own| own.rate == self.rate).map(|own| LimitStatement {
            rate: own.rate,
            age_ms: u32::try_from(now.since(own.stated_at).as_ms()).unwrap_or(u32::MAX),
        });
        let (sent, level) = self.bucket.report();
        let level = (level * 1_000.0) as i32;
        LimitReport { target, sent, level, statement }
    }
}
