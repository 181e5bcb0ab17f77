//! Rates of client accounts.

use std::collections::BTreeMap;

use godwitroad_base::{AccountName, ClockSpan, ClockTime};
use godwitroad_config::RateConfig;

/// Whether an account's rate covers a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AdmissionOutcome {
    /// The tokens are reserved.
    Granted,
    /// The tokens are used up.
    Refused {
        /// The time after which they will be there.
        retry_after: ClockSpan,
    },
}

/// The token buckets of this router's accounts.
#[derive(Debug, Default)]
pub(crate) struct RateTable {
    buckets: BTreeMap<AccountName, TokenBucket>,
}

// Levels are in thousandths of a token, so that a refill of one millisecond is a whole number.
#[derive(Debug)]
struct TokenBucket {
    level: u64,
    filled: ClockTime,
}

const MILLI: u64 = 1_000;

impl RateTable {
    /// Takes `cost` tokens from the account's bucket if it holds them.
    pub(crate) fn reserve(
        &mut self,
        now: ClockTime,
        account: &AccountName,
        rate: RateConfig,
        cost: u64,
    ) -> AdmissionOutcome {
        let full = rate.burst_tokens * MILLI;
        let bucket =
            self.buckets.entry(account.clone()).or_insert(TokenBucket { level: full, filled: now });
        let refill = now.since(bucket.filled).as_ms().saturating_mul(rate.tokens_per_second);
        bucket.level = bucket.level.saturating_add(refill).min(full);
        bucket.filled = now;
        let wanted = cost.saturating_mul(MILLI);
        if wanted <= bucket.level {
            bucket.level -= wanted;
            return AdmissionOutcome::Granted;
        }
        let missing = wanted - bucket.level;
        let wait = missing.div_ceil(rate.tokens_per_second.max(1));
        AdmissionOutcome::Refused { retry_after: ClockSpan::from_ms(wait) }
    }
}
