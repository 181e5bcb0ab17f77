//! The rates of a router that runs alone.
//!
//! A router without a store has no peers, so that one bucket for each account is exact. All other routers use the
//! fleet's limits.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime};
use godwitroad_config::RateConfig;

/// The token buckets of a router that runs alone.
#[derive(Debug, Default)]
pub(crate) struct LocalRates {
    buckets: BTreeMap<AccountName, TokenBucket>,
}

// Levels are in thousandths of a token, so that a refill of one millisecond is a whole number.
#[derive(Debug)]
struct TokenBucket {
    level: u64,
    filled: ClockTime,
}

const MILLI: u64 = 1_000;

impl LocalRates {
    /// Takes `tokens` from the account's bucket, or returns the time after which they will be there.
    pub(crate) fn reserve(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        rate: RateConfig,
        tokens: u64,
    ) -> Option<ClockSpan> {
        let full = rate.burst_tokens.saturating_mul(MILLI);
        let bucket =
            self.buckets.entry(account.clone()).or_insert(TokenBucket { level: full, filled: now });
        let refill = now.since(bucket.filled).as_ms().saturating_mul(rate.tokens_per_second);
        bucket.level = bucket.level.saturating_add(refill).min(full);
        bucket.filled = now;
        let wanted = tokens.saturating_mul(MILLI);
        if wanted <= bucket.level {
            bucket.level -= wanted;
            return None;
        }
        let missing = wanted - bucket.level;
        Some(ClockSpan::from_ms(missing.div_ceil(rate.tokens_per_second.max(1))))
    }
}
