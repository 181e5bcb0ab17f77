//! Rate limits of a standalone router.
//!
//! A router without a store has no peers, so one local token bucket per account is exact. All other routers use the
//! limits of the fleet.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime};
use godwitroad_config::RateConfig;

/// The token buckets of a standalone router.
#[derive(Debug, Default)]
pub(crate) struct LocalRates {
    buckets: BTreeMap<AccountName, TokenBucket>,
}

// Levels are in thousandths of a token, so that the refill of one millisecond is an integer.
#[derive(Debug)]
struct TokenBucket {
    level: u64,
    refilled_at: ClockTime,
}

const MILLITOKENS_PER_TOKEN: u64 = 1_000;

impl LocalRates {
    /// Takes `tokens` from the account's bucket, or returns the time until the bucket has refilled enough.
    pub(crate) fn reserve(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        rate: RateConfig,
        tokens: u64,
    ) -> Option<ClockSpan> {
        let capacity = rate.burst_tokens.saturating_mul(MILLITOKENS_PER_TOKEN);
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert(TokenBucket { level: capacity, refilled_at: now });
        let refill = now.since(bucket.refilled_at).as_ms().saturating_mul(rate.tokens_per_second);
        bucket.level = bucket.level.saturating_add(refill).min(capacity);
        bucket.refilled_at = now;
        let required = tokens.saturating_mul(MILLITOKENS_PER_TOKEN);
        if required <= bucket.level {
            bucket.level -= required;
            return None;
        }
        let missing = required - bucket.level;
        Some(ClockSpan::from_ms(missing.div_ceil(rate.tokens_per_second.max(1))))
    }
}
