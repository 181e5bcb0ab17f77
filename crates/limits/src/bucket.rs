//! The token bucket of one account in one zone.
//!
//! The bucket tracks its outstanding tokens: those granted that may still be spent. The level and the outstanding
//! tokens together never exceed the burst, so the tokens that can be spent after any point in time are bounded by the
//! burst plus the refill since then.

use godwitroad_base::{ClockSpan, ClockTime, NodeId};
use godwitroad_member::{CLOCK_DRIFT_PPM, max_drifted_span};

use crate::{settings::GRANT_TTL_MS, shard::RateRow};

/// The number of refill units per token.
const MICROS_PER_TOKEN: u64 = 1_000_000;

#[derive(Clone, Debug)]
struct OpenGrant {
    requester: NodeId,
    serial: u64,
    amount: u64,
    spent: u64,
    returned: u64,
    expires: ClockTime,
}

impl OpenGrant {
    fn outstanding(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

/// The token bucket of one account in one zone.
#[derive(Clone, Debug)]
pub struct RateBucket {
    row: RateRow,
    level: u64,
    refilled_at: ClockTime,
    grants: Vec<OpenGrant>,
    /// The tokens that an earlier holder may have granted, and the time at which they have expired on every clock.
    previous_grants: (u64, ClockTime),
}

impl RateBucket {
    /// Returns a bucket with `level` tokens at `now`. An earlier holder may have granted `granted_before` further
    /// tokens by then.
    pub fn new(row: RateRow, level: u64, granted_before: u64, now: ClockTime) -> RateBucket {
        let until = now + RateBucket::grant_lifetime();
        let level = level.saturating_mul(MICROS_PER_TOKEN);
        let mut bucket = RateBucket {
            row,
            level,
            refilled_at: now,
            grants: Vec::new(),
            previous_grants: (granted_before, until),
        };
        bucket.clamp_level();
        bucket
    }

    /// Returns the time after which a grant has expired on every clock, whatever the clock error.
    pub fn grant_lifetime() -> ClockSpan {
        max_drifted_span(ClockSpan::from_ms(GRANT_TTL_MS))
    }

    /// Returns the capacity of a bucket with this row, in tokens.
    ///
    /// Clocks are read in whole milliseconds, so the difference of two reads may exceed the elapsed time by one
    /// millisecond. The capacity is therefore the burst less the refill of one millisecond.
    pub fn capacity(row: RateRow) -> u64 {
        RateBucket::capacity_micros(row) / MICROS_PER_TOKEN
    }

    /// Returns the tokens that the row yields in `span`, reduced by the largest clock error.
    pub fn refill(row: RateRow, span: ClockSpan) -> u64 {
        (refill_micros(row, span) / u128::from(MICROS_PER_TOKEN)).min(u128::from(u64::MAX)) as u64
    }

    /// Returns the row whose rate and burst the bucket applies.
    pub fn row(&self) -> RateRow {
        self.row
    }

    /// Advances the bucket to `now`: refills it and drops expired grants.
    pub fn advance(&mut self, now: ClockTime) {
        // Each expiry is a separate step, as a grant counts against the burst exactly until it expires.
        let next = self.grants.iter().map(|grant| grant.expires).chain([self.previous_grants.1]);
        let mut ends: Vec<ClockTime> =
            next.filter(|end| *end > self.refilled_at && *end <= now).collect();
        ends.sort_unstable();
        for end in ends {
            self.advance_to(end);
        }
        self.advance_to(now);
    }

    fn advance_to(&mut self, now: ClockTime) {
        let span = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill = refill_micros(self.row, span);
        let level = (u128::from(self.level) + refill).min(u128::from(u64::MAX)) as u64;
        self.level = level;
        self.clamp_level();
        self.grants.retain(|grant| grant.expires > now);
        if self.previous_grants.1 <= now {
            self.previous_grants.0 = 0;
        }
    }

    fn clamp_level(&mut self) {
        let outstanding = self.outstanding().saturating_mul(MICROS_PER_TOKEN);
        self.level =
            self.level.min(RateBucket::capacity_micros(self.row).saturating_sub(outstanding));
    }

    fn capacity_micros(row: RateRow) -> u64 {
        row.burst.saturating_mul(MICROS_PER_TOKEN).saturating_sub(row.rate.saturating_mul(1_000))
    }

    /// Returns the number of granted tokens that may still be spent.
    pub fn outstanding(&self) -> u64 {
        self.grants.iter().map(OpenGrant::outstanding).sum::<u64>() + self.previous_grants.0
    }

    /// Returns the tokens in the bucket, rounded down.
    pub fn level(&self) -> u64 {
        self.level / MICROS_PER_TOKEN
    }

    /// Changes the row. A larger burst does not add tokens; the bucket refills to it at the rate.
    pub fn set_row(&mut self, now: ClockTime, row: RateRow) {
        self.advance(now);
        self.row = row;
        self.clamp_level();
    }

    /// Returns the smallest burst to which the row can be lowered immediately.
    pub fn min_burst(&self, rate: u64) -> u64 {
        let outstanding = self.outstanding();
        if outstanding == 0 { 0 } else { outstanding + rate.div_ceil(1_000) }
    }

    /// Grants `tokens` to `requester`, and returns whether the bucket contained them.
    pub fn try_grant(
        &mut self,
        now: ClockTime,
        requester: &NodeId,
        serial: u64,
        tokens: u64,
    ) -> bool {
        self.advance(now);
        let Some(level) = self.level.checked_sub(tokens.saturating_mul(MICROS_PER_TOKEN)) else {
            return false;
        };
        self.level = level;
        self.grants.push(OpenGrant {
            requester: requester.clone(),
            serial,
            amount: tokens,
            spent: 0,
            returned: 0,
            expires: now + ClockSpan::from_ms(GRANT_TTL_MS),
        });
        true
    }

    /// Applies a report of a grant. Reports contain totals, so a repeated or late report has no effect.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        requester: &NodeId,
        serial: u64,
        spent: u64,
        returned: u64,
    ) {
        self.advance(now);
        let found =
            |grant: &&mut OpenGrant| grant.serial == serial && grant.requester == *requester;
        let Some(grant) = self.grants.iter_mut().find(found) else { return };
        let spent = spent.saturating_sub(grant.spent).min(grant.outstanding());
        grant.spent += spent;
        let returned = returned.saturating_sub(grant.returned).min(grant.outstanding());
        grant.returned += returned;
        self.level += returned * MICROS_PER_TOKEN;
        self.grants.retain(|grant| grant.outstanding() > 0);
        self.clamp_level();
    }

    /// Returns whether the bucket is full and nothing is outstanding, so that its state can be dropped.
    pub fn is_full(&self) -> bool {
        self.outstanding() == 0 && self.level == RateBucket::capacity_micros(self.row)
    }
}

fn refill_micros(row: RateRow, span: ClockSpan) -> u128 {
    let nominal = u128::from(row.rate) * u128::from(span.as_ms()) * 1_000;
    nominal * u128::from(1_000_000 - CLOCK_DRIFT_PPM) / 1_000_000
}
