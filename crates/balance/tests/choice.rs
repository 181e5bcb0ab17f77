//! Guards against routers that all choose the same target, and against choices that ignore health or exceed a budget.

use std::collections::BTreeMap;

use godwitroad_balance::{
    ChoiceRequest, ChoiceSettings, ChoiceView, ChosenTarget, Distance, HealthSettings, HealthState,
    HotPrefixes, HotSettings, LinkMeter, LinkSettings, LoadSettings, LoadView, RetryBudget,
    RetrySettings, TargetCandidate, TargetChoice, TargetHealth, TargetReport,
};
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_prefix::{PrefixMatches, TargetId};
use proptest::{prelude::*, test_runner::RngSeed};

struct ChoiceFixture {
    choice: TargetChoice,
    matches: PrefixMatches,
    load: LoadView,
    health: TargetHealth,
    hot: HotPrefixes,
    link: LinkMeter,
    random: SeededRandom,
    candidates: Vec<TargetCandidate>,
}

impl ChoiceFixture {
    fn new(seed: u64, distances: &[Distance]) -> ChoiceFixture {
        let mut matches = PrefixMatches::default();
        matches.reset(distances.len());
        let candidate = |(position, &distance): (usize, &Distance)| TargetCandidate {
            target: TargetId(position as u16),
            distance,
        };
        let link = LinkSettings { bytes_per_second: 1_000, burst: ClockSpan::from_secs(10) };
        ChoiceFixture {
            choice: TargetChoice::new(ChoiceSettings::default()),
            matches,
            load: LoadView::new(LoadSettings::default()),
            health: TargetHealth::new(HealthSettings::default()),
            hot: HotPrefixes::new(HotSettings::default()),
            link: LinkMeter::new(ClockTime::ZERO, link),
            random: SeededRandom::new(seed),
            candidates: distances.iter().enumerate().map(candidate).collect(),
        }
    }

    fn choose(&mut self, now: u64, excluded: &[TargetId]) -> Option<ChosenTarget> {
        let request = ChoiceRequest {
            first: Some(7),
            blocks: 5,
            tokens: 10_400,
            bytes: 4_000,
            routers: 1,
            excluded,
        };
        let now = ClockTime::from_ms(now);
        let view = ChoiceView {
            candidates: &self.candidates,
            matches: &self.matches,
            load: &self.load,
            health: &self.health,
            hot: &self.hot,
            link: &self.link,
        };
        self.choice.choose(now, &request, &view, &mut self.random)
    }
}

fn queue(tokens: u64) -> TargetReport {
    TargetReport { waiting_tokens: tokens, ..Default::default() }
}

#[test]
fn routers_with_the_same_view_do_not_make_the_same_choice() {
    let mut counts = BTreeMap::new();
    for seed in 0..160 {
        let mut fixture = ChoiceFixture::new(seed, &[Distance::Zone; 8]);
        let chosen = fixture.choose(0, &[]).unwrap();
        *counts.entry(chosen.target).or_insert(0) += 1;
    }
    assert!(counts.len() == 8 && counts.values().all(|&count| count < 50), "{counts:?}");
}

#[test]
fn a_cached_prefix_wins_until_its_queue_costs_more() {
    let mut fixture = ChoiceFixture::new(1, &[Distance::Zone; 3]);
    fixture.matches.set(TargetId(1), 5, 5);
    let chosen = fixture.choose(0, &[]).unwrap();
    assert_eq!((chosen.target, chosen.missing_tokens), (TargetId(1), 400));
    assert_eq!(chosen.explain.chosen.confirmed_blocks, 5);
    fixture.load.record_report(ClockTime::ZERO, TargetId(1), queue(40_000));
    assert_ne!(fixture.choose(0, &[]).unwrap().target, TargetId(1));
}

#[test]
fn dispatches_after_a_report_are_added() {
    let mut load = LoadView::new(LoadSettings { prefill_rate: 1_000.0, ..Default::default() });
    let target = TargetId(0);
    load.record_report(ClockTime::from_ms(1_000), target, queue(500));
    load.record_dispatch(ClockTime::from_ms(1_100), target, 2_000, Some(1));
    load.record_dispatch(ClockTime::from_ms(1_200), target, 1_000, None);
    assert_eq!(load.queued_tokens(ClockTime::from_ms(1_500), target), 3_000);
    // A report taken at 1,150 ms includes the first dispatch but not the second.
    let late = TargetReport { age: ClockSpan::from_ms(450), ..queue(2_350) };
    load.record_report(ClockTime::from_ms(1_600), target, late);
    assert_eq!(load.queued_tokens(ClockTime::from_ms(1_600), target), 2_900);
    // A report older than the last recorded one is ignored.
    load.record_report(
        ClockTime::from_ms(1_600),
        target,
        TargetReport { age: ClockSpan::from_ms(600), ..queue(0) },
    );
    assert_eq!(load.queued_tokens(ClockTime::from_ms(1_600), target), 2_900);
}

#[test]
fn a_leaving_target_receives_no_requests_even_as_the_last_one() {
    let mut fixture = ChoiceFixture::new(1, &[Distance::Zone; 2]);
    fixture.matches.set(TargetId(0), 5, 5);
    fixture.health.set_leaving(ClockTime::ZERO, TargetId(0), true);
    for _ in 0..100 {
        assert_eq!(fixture.choose(0, &[]).unwrap().target, TargetId(1));
    }
    fixture.health.record_success(ClockTime::ZERO, TargetId(0));
    fixture.health.restart(ClockTime::ZERO, TargetId(0));
    assert!(fixture.choose(0, &[TargetId(1)]).is_none());
}

#[test]
fn a_failing_target_returns_gradually() {
    let mut health = TargetHealth::new(HealthSettings::default());
    let target = TargetId(0);
    let at = ClockTime::from_ms;
    assert!(!health.record_failure(at(0), target) && health.record_failure(at(0), target));
    assert_eq!(health.state(at(499), target), HealthState::Probation { until: at(500) });
    let shares: Vec<f64> =
        [0, 500, 1_000, 2_000, 3_500].map(|ms| health.share(at(ms), target)).to_vec();
    assert!(shares[0] == 0.0 && shares[4] == 1.0, "{shares:?}");
    assert!(shares.windows(2).all(|pair| pair[0] < pair[1]), "{shares:?}");
    // A failure of a returning target starts a longer probation at once.
    assert!(health.record_failure(at(1_000), target));
    assert_eq!(health.state(at(1_000), target), HealthState::Probation { until: at(2_000) });
}

#[test]
fn a_hot_prefix_is_assigned_more_targets_until_its_load_falls() {
    let mut hot = HotPrefixes::new(HotSettings::default());
    assert_eq!(hot.desired_targets(ClockTime::ZERO, 7), 1);
    for step in 0..200 {
        hot.record(ClockTime::from_ms(step * 50), 7, 100.0, 1);
    }
    // 100 ms of work every 50 ms keep two targets busy; at half of each target's time, four targets are needed.
    let desired = hot.desired_targets(ClockTime::from_ms(10_000), 7);
    assert!((3..=5).contains(&desired), "{desired}");
    assert_eq!(hot.desired_targets(ClockTime::from_ms(30_000), 7), 1);
}

#[test]
fn the_link_is_crossed_only_when_waiting_costs_more_and_the_budget_allows_it() {
    let mut fixture = ChoiceFixture::new(1, &[Distance::Zone, Distance::Remote]);
    assert_eq!(fixture.choose(0, &[]).unwrap().target, TargetId(0));
    fixture.load.record_report(ClockTime::ZERO, TargetId(0), queue(100_000));
    assert_eq!(fixture.choose(0, &[]).unwrap().target, TargetId(1));
    assert!(fixture.link.take(ClockTime::ZERO, 8_000));
    let chosen = fixture.choose(0, &[]).unwrap();
    assert!(chosen.target == TargetId(0) && chosen.explain.link_refused);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn the_link_never_carries_more_than_its_budget(
        sends in prop::collection::vec((0..500u64, 1..5_000u64), 1..100),
    ) {
        let settings = LinkSettings { bytes_per_second: 2_000, burst: ClockSpan::from_secs(2) };
        let mut link = LinkMeter::new(ClockTime::ZERO, settings);
        let mut now = 0;
        for (gap, bytes) in sends {
            now += gap;
            let allowed = link.allows(ClockTime::from_ms(now), bytes);
            prop_assert_eq!(link.take(ClockTime::from_ms(now), bytes), allowed);
            prop_assert!(link.bytes() <= 4_000 + 2 * now);
        }
    }

    #[test]
    fn retries_stay_within_a_tenth_of_the_requests(steps in prop::collection::vec(any::<bool>(), 1..500)) {
        let mut budget = RetryBudget::new(RetrySettings::default());
        let (mut requests, mut retries) = (0, 0);
        for is_request in steps {
            if is_request {
                budget.record_request();
                requests += 1;
            } else if budget.take() {
                retries += 1;
            }
            prop_assert!(f64::from(retries) <= 10.0 + 0.1 * f64::from(requests) + 1e-6);
        }
    }
}
