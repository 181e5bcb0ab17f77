//! The token bucket of one account in one zone.
//!
//! The bucket counts the tokens that it has granted and that may still be spent. Level and outstanding tokens
//! together never exceed the burst, so that what can be spent after any moment is bounded by the burst and the
//! refill since then.

use godwitroad_base::{ClockSpan, ClockTime, NodeId};
use godwitroad_member::{CLOCK_DRIFT_PPM, longest_span};

use crate::{settings::GRANT_TTL_MS, shard::RateRow};

/// The parts into which a token is divided for refill.
const MICRO: u64 = 1_000_000;

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
    fn open(&self) -> u64 {
        self.amount - self.spent - self.returned
    }
}

/// The token bucket of one account in one zone.
#[derive(Clone, Debug)]
pub struct RateBucket {
    row: RateRow,
    level: u64,
    filled: ClockTime,
    grants: Vec<OpenGrant>,
    /// Tokens that an earlier holder may have granted, and when they have surely expired.
    earlier: (u64, ClockTime),
}

impl RateBucket {
    /// Returns a bucket that holds `level` tokens at `now`, beside `earlier` tokens that an earlier holder may have
    /// granted until now.
    pub fn new(row: RateRow, level: u64, earlier: u64, now: ClockTime) -> RateBucket {
        let until = now + RateBucket::grant_life();
        let level = level.saturating_mul(MICRO);
        let mut bucket =
            RateBucket { row, level, filled: now, grants: Vec::new(), earlier: (earlier, until) };
        bucket.cut();
        bucket
    }

    /// Returns the time after which a grant has expired on every clock.
    pub fn grant_life() -> ClockSpan {
        longest_span(ClockSpan::from_ms(GRANT_TTL_MS))
    }

    /// Returns the most tokens that the bucket with this row can hold.
    ///
    /// Clocks are read in whole milliseconds, so that two reads may show one more than has passed; the refill of
    /// one millisecond is kept out of the burst.
    pub fn capacity(row: RateRow) -> u64 {
        RateBucket::capacity_micro(row) / MICRO
    }

    /// Returns the tokens that the row yields in `span`, with the largest clock error taken off.
    pub fn refill_of(row: RateRow, span: ClockSpan) -> u64 {
        (refill_micro(row, span) / u128::from(MICRO)).min(u128::from(u64::MAX)) as u64
    }

    /// Returns the row.
    pub fn row(&self) -> RateRow {
        self.row
    }

    /// Brings the bucket to `now`: refill and the end of expired grants.
    pub fn advance(&mut self, now: ClockTime) {
        // A grant that expired counted against the burst until its expiry and not longer.
        let next = self.grants.iter().map(|grant| grant.expires).chain([self.earlier.1]);
        let mut ends: Vec<ClockTime> =
            next.filter(|end| *end > self.filled && *end <= now).collect();
        ends.sort_unstable();
        for end in ends {
            self.advance_to(end);
        }
        self.advance_to(now);
    }

    fn advance_to(&mut self, now: ClockTime) {
        let span = now.since(self.filled);
        self.filled = self.filled.max(now);
        let refill = refill_micro(self.row, span);
        let level = (u128::from(self.level) + refill).min(u128::from(u64::MAX)) as u64;
        self.level = level;
        self.cut();
        self.grants.retain(|grant| grant.expires > now);
        if self.earlier.1 <= now {
            self.earlier.0 = 0;
        }
    }

    fn cut(&mut self) {
        let taken = self.outstanding().saturating_mul(MICRO);
        self.level = self.level.min(RateBucket::capacity_micro(self.row).saturating_sub(taken));
    }

    fn capacity_micro(row: RateRow) -> u64 {
        row.burst.saturating_mul(MICRO).saturating_sub(row.rate.saturating_mul(1_000))
    }

    /// Returns the tokens that were granted and may still be spent.
    pub fn outstanding(&self) -> u64 {
        self.grants.iter().map(OpenGrant::open).sum::<u64>() + self.earlier.0
    }

    /// Returns the whole tokens in the bucket.
    pub fn level(&self) -> u64 {
        self.level / MICRO
    }

    /// Changes the row; a larger burst fills up at the rate and isn't there at once.
    pub fn set_row(&mut self, now: ClockTime, row: RateRow) {
        self.advance(now);
        self.row = row;
        self.cut();
    }

    /// Returns the smallest burst to which the row can be lowered at once.
    pub fn least_burst(&self, rate: u64) -> u64 {
        let taken = self.outstanding();
        if taken == 0 { 0 } else { taken + rate.div_ceil(1_000) }
    }

    /// Takes `tokens` for a grant, and returns whether the bucket had them.
    pub fn take(&mut self, now: ClockTime, requester: &NodeId, serial: u64, tokens: u64) -> bool {
        self.advance(now);
        let Some(level) = self.level.checked_sub(tokens.saturating_mul(MICRO)) else {
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

    /// Takes a report of a grant. Totals make a repeated or late report harmless.
    pub fn report(
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
        let spent = spent.saturating_sub(grant.spent).min(grant.open());
        grant.spent += spent;
        let returned = returned.saturating_sub(grant.returned).min(grant.open());
        grant.returned += returned;
        self.level += returned * MICRO;
        self.grants.retain(|grant| grant.open() > 0);
        self.cut();
    }

    /// Returns whether the bucket is full and nothing is outstanding, so that it needn't be kept.
    pub fn is_full(&self) -> bool {
        self.outstanding() == 0 && self.level == RateBucket::capacity_micro(self.row)
    }
}

fn refill_micro(row: RateRow, span: ClockSpan) -> u128 {
    let nominal = u128::from(row.rate) * u128::from(span.as_ms()) * 1_000;
    nominal * u128::from(1_000_000 - CLOCK_DRIFT_PPM) / 1_000_000
}
