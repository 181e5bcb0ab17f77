//! Simulates requests that crash every target which runs them and come again, on routes of a plain service, beside the faults
//! of [`support::crash_fleet`]. Soon after the third crash hardly any of them may reach a target, and nothing else may be
//! withheld for long.

mod support;

use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, ForwardArrival, RefusalReason, RequestDigest,
};
use support::{
    HOST, TestRouter, arrival, at,
    crash_fleet::{CONTACT_MS, FaultPlan, Fleet, MAX_LATER_ARRIVALS},
    router,
};
use yare::parameterized;

#[parameterized(
    alone = { FaultPlan { repeated: 1, per_second: 3.0, ..FaultPlan::default() } },
    once = { FaultPlan { repeated: 1, per_second: 3.0, once: true, ..FaultPlan::default() } },
    rare = { FaultPlan { repeated: 1, per_second: 0.7, ..FaultPlan::default() } },
    frequent = { FaultPlan { repeated: 1, per_second: 20.0, ..FaultPlan::default() } },
    two_requests = { FaultPlan { repeated: 2, per_second: 2.0, ..FaultPlan::default() } },
    beside_a_part = { FaultPlan { repeated: 1, deadly: 1, per_second: 2.0, ..FaultPlan::default() } },
    crashes = { FaultPlan { repeated: 1, per_second: 3.0, crashes: true, mass_crashes: true, ..FaultPlan::default() } },
    kills = { FaultPlan { repeated: 1, per_second: 3.0, kills: true, ..FaultPlan::default() } },
    cuts = { FaultPlan { repeated: 1, per_second: 3.0, cuts: true, ..FaultPlan::default() } },
    suspensions = { FaultPlan { repeated: 1, per_second: 3.0, suspends: true, ..FaultPlan::default() } },
    lost_gossip = { FaultPlan { repeated: 1, per_second: 3.0, loses_gossip: true, ..FaultPlan::default() } },
    all = { FaultPlan { repeated: 2, per_second: 2.0, crashes: true, mass_crashes: true, kills: true, cuts: true, suspends: true, loses_gossip: true, ..FaultPlan::default() } },
)]
fn a_request_that_crashes_its_targets_soon_reaches_none(plan: FaultPlan) {
    for seed in 0..support::histories() {
        let mut fleet = Fleet::new(seed, plan);
        fleet.run();
        for cause in 0..plan.deadly + plan.repeated {
            let later = fleet.later_arrivals(cause);
            let crashes = fleet.crashes[cause].len();
            assert!(later <= MAX_LATER_ARRIVALS, "seed {seed}: {later} later, {crashes} crashes");
        }
        let known_from = (0..plan.repeated).map(|number| fleet.known_from(plan.deadly + number));
        let judged_from = known_from.max().expect("a repeated request") + CONTACT_MS;
        let judged = fleet.sound_plain.iter().filter(|(sent, _)| *sent > judged_from);
        let (all, withheld) = judged.fold((0, 0), |(all, withheld), (_, is_withheld)| {
            (all + 1, withheld + u64::from(*is_withheld))
        });
        assert!(withheld * 10 <= all, "seed {seed}: {withheld} of {all} sound requests withheld");
    }
}

#[test]
fn crashes_of_other_causes_withhold_no_request() {
    let plan = FaultPlan {
        repeated: 1,
        crashes: true,
        mass_crashes: true,
        kills: true,
        cuts: true,
        suspends: true,
        loses_gossip: true,
        ..FaultPlan::default()
    };
    for seed in 0..support::histories() {
        let mut fleet = Fleet::new(seed, plan);
        fleet.run();
        let withheld = fleet.sound_plain.iter().filter(|(_, is_withheld)| *is_withheld).count();
        assert_eq!(withheld, 0, "seed {seed}: of {}", fleet.sound_plain.len());
    }
}

fn repeated(body: &str, key: &str) -> ForwardArrival {
    let digest = RequestDigest::new("POST", HOST, "/once/x?y=1", body.as_bytes());
    ForwardArrival { digest, ..arrival("/once/x", Some(key)) }
}

// Sends a request and returns the refusal, or ends it with the outcome.
fn run(
    router: &mut TestRouter,
    now: u64,
    arrival: ForwardArrival,
    outcome: AttemptOutcome,
) -> Option<RefusalReason> {
    router.handle(now, godwitroad_forward::ForwardEvent::StoreAnswered { read_from: at(now) });
    let mut request = router.state.admit(at(now), arrival).expect("the route is open");
    match router.state.choose_target(at(now), &mut request) {
        Ok(plan) => {
            router.state.finish_attempt(at(now + 50), &mut request, &plan, outcome);
            None
        }
        Err(refusal) => Some(refusal.reason),
    }
}

const CRASH: AttemptOutcome = AttemptOutcome::Lost { phase: AnswerPhase::Waiting };

#[parameterized(
    other_body = { "other", "key-one" },
    other_account = { "deadly", "key-two" },
)]
fn a_request_that_differs_is_not_withheld_with_the_repeated_one(body: &str, key: &str) {
    let mut router = router(0);
    for now in [100, 1_000, 2_000] {
        run(&mut router, now, repeated("deadly", "key-one"), CRASH);
    }
    let refusal = run(&mut router, 3_000, repeated("deadly", "key-one"), CRASH);
    assert_eq!(
        refusal.map(|reason| (reason.name(), reason.status())),
        Some(("request_withheld", 503))
    );
    assert_eq!(run(&mut router, 3_100, repeated(body, key), CRASH), None);
}

#[test]
fn a_request_whose_answer_is_complete_is_not_withheld() {
    let mut router = router(0);
    for now in [100, 1_000, 10_000, 20_000] {
        assert_eq!(run(&mut router, now, repeated("sound", "key-one"), CRASH), None);
        let failed = AttemptOutcome::Complete { status: 500 };
        assert_eq!(run(&mut router, now + 200, repeated("sound", "key-one"), failed), None);
    }
}

#[test]
fn the_last_target_of_a_service_is_not_risked_for_a_request_that_crashed_the_others() {
    let mut router = router(0);
    // Retries count each, as the same request went from target to target.
    router.handle(100, godwitroad_forward::ForwardEvent::StoreAnswered { read_from: at(100) });
    let arrival = ForwardArrival {
        digest: RequestDigest::new("GET", HOST, "/any/x", b""),
        ..arrival("/any/x", Some("key-one"))
    };
    let mut request = router.state.admit(at(100), arrival.clone()).expect("the route is open");
    for now in [100, 200] {
        let plan = router.state.choose_target(at(now), &mut request).expect("a target");
        router.state.finish_attempt(at(now + 50), &mut request, &plan, CRASH);
    }
    let refusal = run(&mut router, 300, arrival, CRASH).map(RefusalReason::name);
    assert_eq!(refusal, Some("request_withheld"));
}
