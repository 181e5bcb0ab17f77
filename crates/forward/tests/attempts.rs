//! Guards against requests that run twice, refusals that say "not run" for a request that may have run, and retries
//! beyond the fleet's budget.

mod support;

use godwitroad_base::SeededRandom;
use godwitroad_forward::{AttemptOutcome, ForwardRequest, NextStep, RefusalReason};
use support::{TestRouter, arrival, at, prompt, router};
use yare::parameterized;

fn outcome(random: &mut SeededRandom) -> AttemptOutcome {
    match random.below(7) {
        0 => AttemptOutcome::Complete { status: 200 },
        1 => AttemptOutcome::Complete { status: 500 },
        2 => AttemptOutcome::Rejected { mismatch: false },
        3 => AttemptOutcome::Rejected { mismatch: true },
        4 => AttemptOutcome::NotSent,
        5 => AttemptOutcome::Failed,
        _ => AttemptOutcome::TimeOver,
    }
}

fn may_run(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::Rejected { .. } | AttemptOutcome::NotSent)
}

// Runs one request to its end; returns the number of attempts that may have run it, and the refusal if there was one.
fn run_to_end(
    router: &mut TestRouter,
    now: u64,
    request: &mut ForwardRequest,
    random: &mut SeededRandom,
) -> (u32, Option<RefusalReason>) {
    let mut ran = 0;
    for _ in 0..20 {
        let plan = match router.state.choose_target(at(now), request) {
            Ok(plan) => plan,
            Err(refusal) => return (ran, Some(refusal.reason)),
        };
        let outcome = outcome(random);
        ran += u32::from(may_run(outcome));
        match router.state.finish_attempt(at(now + 5), request, &plan, outcome) {
            NextStep::Again => {}
            NextStep::Deliver => return (ran, None),
            NextStep::End(refusal) => return (ran, Some(refusal.reason)),
        }
    }
    panic!("the request never ended");
}

#[parameterized(
    run_once = { "/once/x", 1 },
    repeatable = { "/any/x", 2 },
    resumable = { "/stream/x", 2 },
)]
fn runs_stay_within_the_limit_and_not_run_is_true(path: &str, limit: u32) {
    let mut random = SeededRandom::new(7);
    let mut refused_not_run = 0;
    for round in 0..5_000 {
        let mut router = router(0);
        let arrival =
            if path == "/stream/x" { prompt("s", "o") } else { arrival(path, Some("key-one")) };
        let mut request = router.state.admit(at(10), arrival).unwrap();
        let (ran, refusal) = run_to_end(&mut router, 20, &mut request, &mut random);
        assert!(ran <= limit, "round {round}: {ran} runs");
        if let Some(reason) = refusal {
            assert!(!reason.is_not_run() || ran == 0, "round {round}: {reason:?} after {ran} runs");
            refused_not_run += u32::from(ran == 0);
        }
    }
    assert!(refused_not_run > 0, "no history ended without a run");
}

#[test]
fn no_target_gets_a_request_twice() {
    let mut router = router(0);
    let mut request = router.state.admit(at(10), arrival("/any/x", Some("key-one"))).unwrap();
    let mut targets = Vec::new();
    while let Ok(plan) = router.state.choose_target(at(20), &mut request) {
        targets.push(plan.target.clone());
        router.state.finish_attempt(at(21), &mut request, &plan, AttemptOutcome::NotSent);
    }
    targets.sort();
    assert_eq!(targets, ["plain-a", "plain-b", "plain-c"].map(Into::into));
}

#[test]
fn retries_stay_within_the_share_of_the_fleets_budget() {
    let mut router = router(0);
    let (mut requests, mut arrivals) = (0, 0);
    for round in 0..400 {
        let now = 10 + round * 20;
        router.handle(now, godwitroad_forward::ForwardEvent::StoreAnswered { read_from: at(now) });
        let mut request = router.state.admit(at(now), arrival("/any/x", Some("key-one"))).unwrap();
        requests += 1;
        while let Ok(plan) = router.state.choose_target(at(now), &mut request) {
            arrivals += 1;
            let failed = AttemptOutcome::Failed;
            if router.state.finish_attempt(at(now + 1), &mut request, &plan, failed)
                != NextStep::Again
            {
                break;
            }
        }
    }
    let bounds = support::settings("vm-1", 1).retries;
    let limit = requests as f64 * bounds.share + bounds.reserve;
    assert!(f64::from(arrivals - requests) <= limit, "{} retries of {limit}", arrivals - requests);
    assert!(arrivals > requests, "nothing was retried");
}

#[test]
fn units_are_refunded_for_requests_that_did_not_run() {
    let mut settings = support::settings("vm-1", 1);
    settings.allowance.overage = 0.0;
    let mut router = TestRouter::new(settings);
    let mut rules = support::rules(1);
    rules.accounts = vec![std::sync::Arc::new(support::account("one", 100))];
    rules.keys.retain(|_, index| *index == 0);
    router.handle(0, godwitroad_forward::ForwardEvent::Rules(std::sync::Arc::new(rules)));
    router.handle(0, godwitroad_forward::ForwardEvent::StoreAnswered { read_from: at(0) });
    // No target is registered, so every request ends without an attempt.
    for round in 0..50 {
        let now = 10 + round;
        let mut request = router.state.admit(at(now), arrival("/any/x", Some("key-one"))).unwrap();
        let refusal = router.state.choose_target(at(now), &mut request).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::NoTarget);
    }
}

#[test]
fn a_request_near_its_deadline_is_not_sent() {
    let mut router = router(0);
    let mut request = router.state.admit(at(0), arrival("/once/x", Some("key-one"))).unwrap();
    let refusal = router.state.choose_target(at(3_990), &mut request).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TimeOver);
}
