//! Compares the bucket with a naive exact one, and the window check of the simulation with a check of all pairs of
//! times.

#[path = "../../bench/src/fleet/checker.rs"]
#[allow(dead_code, missing_docs, unreachable_pub)]
mod checker;

use godwitroad_base::{ClockSpan, ClockTime, NodeId};
use godwitroad_config::RateConfig;
use godwitroad_limits::{GRANT_TTL_MS, RateBucket, RateRow};
use proptest::prelude::*;

/// A bucket that keeps every grant forever and advances in steps of one millisecond.
struct NaiveBucket {
    row: RateRow,
    // The level in millionths of a token.
    micro: u128,
    now: u64,
    // Serial, amount, spent, returned and expiry.
    grants: Vec<(u64, u64, u64, u64, u64)>,
}

impl NaiveBucket {
    fn outstanding(&self) -> u128 {
        let live = self.grants.iter().filter(|grant| grant.4 > self.now);
        live.map(|grant| u128::from(grant.1 - grant.2 - grant.3)).sum()
    }

    // Limits the level to the burst less the refill of one millisecond and the outstanding tokens.
    fn clamp_level(&mut self) {
        let full = u128::from(self.row.burst) * 1_000_000;
        let full = full.saturating_sub(u128::from(self.row.rate) * 1_000);
        self.micro = self.micro.min(full.saturating_sub(self.outstanding() * 1_000_000));
    }

    fn advance(&mut self, now: u64) {
        while self.now < now {
            // The refill is reduced by the largest clock error, 500 ppm.
            self.micro += u128::from(self.row.rate) * 1_000 * 999_500 / 1_000_000;
            // A grant that expires at this time still counts against the refill up to it.
            self.clamp_level();
            self.now += 1;
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Take(u64),
    Report(usize, u64, u64),
    Row(u64, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..900u64).prop_map(Step::Wait),
        (0..400u64).prop_map(Step::Take),
        (0..6usize, 0..300u64, 0..300u64)
            .prop_map(|(grant, spent, back)| Step::Report(grant, spent, back)),
        // With rates that are multiples of 2,000 tokens, the refill of one millisecond has no rounding error.
        (0..4u64, 0..2_000u64).prop_map(|(rate, burst)| Step::Row(rate * 2_000, burst)),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a level that differs from that of a bucket that is advanced millisecond by millisecond.
    #[test]
    fn the_bucket_equals_a_naive_one(steps in steps()) {
        let row = RateRow { rate: 2_000, burst: 1_000, demand: 0 };
        let requester = NodeId::new("vm-1", 1);
        let mut bucket = RateBucket::new(row, 500, 0, ClockTime::ZERO);
        let mut naive = NaiveBucket { row, micro: 500_000_000, now: 0, grants: Vec::new() };
        let mut now = 0;
        for (serial, step) in steps.into_iter().enumerate() {
            let at = ClockTime::from_ms(now);
            match step {
                Step::Wait(ms) => now += ms,
                Step::Take(tokens) => {
                    let had = naive.micro >= u128::from(tokens) * 1_000_000;
                    prop_assert_eq!(bucket.try_grant(at, &requester, serial as u64, tokens), had);
                    if had {
                        naive.micro -= u128::from(tokens) * 1_000_000;
                        naive.grants.push((serial as u64, tokens, 0, 0, now + GRANT_TTL_MS));
                    }
                }
                Step::Report(index, spent, back) => {
                    let naive_now = naive.now;
                    let Some(grant) = naive.grants.get_mut(index).filter(|grant| grant.4 > naive_now) else { continue };
                    let serial = grant.0;
                    grant.2 += spent.saturating_sub(grant.2).min(grant.1 - grant.2 - grant.3);
                    let returned = back.saturating_sub(grant.3).min(grant.1 - grant.2 - grant.3);
                    grant.3 += returned;
                    naive.micro += u128::from(returned) * 1_000_000;
                    naive.clamp_level();
                    bucket.apply_report(at, &requester, serial, spent, back);
                }
                Step::Row(rate, burst) => {
                    let row = RateRow { rate, burst, demand: 0 };
                    naive.row = row;
                    naive.clamp_level();
                    bucket.set_row(at, row);
                }
            }
            naive.advance(now);
            bucket.advance(ClockTime::from_ms(now));
            prop_assert_eq!(u128::from(bucket.level()), naive.micro / 1_000_000);
            prop_assert_eq!(u128::from(bucket.outstanding()), naive.outstanding());
            let full = RateBucket::capacity(bucket.row());
            prop_assert!(bucket.level() == 0 || bucket.level() + bucket.outstanding() <= full);
        }
    }

    /// Guards against a single-pass window check that misses a window.
    #[test]
    fn the_window_check_equals_all_pairs(gaps in prop::collection::vec((0..300u64, 0..500u64), 0..40)) {
        let mut at = 0;
        let mut log = checker::AdmissionLog::default();
        for (gap, tokens) in gaps {
            at += gap;
            log.admitted.push((at, tokens));
        }
        let limit = RateConfig { tokens_per_second: 900, burst_tokens: 400 };
        prop_assert_eq!(log.excess(limit), log.excess_by_pairs(limit));
    }
}

/// Guards against a new bucket that ignores the grants of an earlier holder.
#[test]
fn tokens_of_an_earlier_holder_count_until_they_expire() {
    let row = RateRow { rate: 1_000, burst: 500, demand: 0 };
    let mut bucket = RateBucket::new(row, 100, 300, ClockTime::ZERO);
    bucket.advance(ClockTime::from_ms(1_000));
    assert_eq!((bucket.level(), bucket.outstanding()), (199, 300));
    let expired = ClockTime::ZERO + RateBucket::grant_lifetime() + ClockSpan::from_ms(1_000);
    bucket.advance(expired);
    assert_eq!((bucket.level(), bucket.outstanding()), (499, 0));
}
