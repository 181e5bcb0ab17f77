//! Simulates parts of prompts that crash every target which begins to answer a request with them, while targets also
//! crash by themselves, alone or many at once, routers are killed or cut off from each other, and gossip is lost. Soon
//! after the fifth crash hardly any request with such a part may reach a target, and sound requests that share all
//! other parts must be served. Without such a part nothing may be withheld.

mod support;

use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, ForwardEvent, ForwardRequest, RefusalReason,
};
use support::{
    TestRouter, at,
    crash_fleet::{CONTACT_MS, FaultPlan, Fleet, MAX_LATER_ARRIVALS, start},
    prompt,
};
use yare::parameterized;

/// Seeds that have failed once and are always played. 238: outages of all targets follow each other with no answer in
/// between, so that the part that all prompts share was withheld. 10: an outage cleared a deadly part everywhere.
const FOUND_SEEDS: [u64; 2] = [10, 238];

fn seeds() -> impl Iterator<Item = u64> {
    let histories = support::histories();
    (0..histories).chain(FOUND_SEEDS.into_iter().filter(move |seed| *seed >= histories))
}

#[parameterized(
    alone = { FaultPlan { deadly: 1, per_second: 3.0, ..FaultPlan::default() } },
    rare = { FaultPlan { deadly: 1, per_second: 0.7, ..FaultPlan::default() } },
    frequent = { FaultPlan { deadly: 1, per_second: 20.0, ..FaultPlan::default() } },
    flood = { FaultPlan { deadly: 1, per_second: 80.0, ..FaultPlan::default() } },
    two_parts = { FaultPlan { deadly: 2, per_second: 2.0, ..FaultPlan::default() } },
    crashes = { FaultPlan { deadly: 1, per_second: 3.0, crashes: true, mass_crashes: true, ..FaultPlan::default() } },
    kills = { FaultPlan { deadly: 1, per_second: 3.0, kills: true, ..FaultPlan::default() } },
    cuts = { FaultPlan { deadly: 1, per_second: 3.0, cuts: true, ..FaultPlan::default() } },
    suspensions = { FaultPlan { deadly: 1, per_second: 3.0, suspends: true, ..FaultPlan::default() } },
    lost_gossip = { FaultPlan { deadly: 1, per_second: 3.0, loses_gossip: true, ..FaultPlan::default() } },
    all = { FaultPlan { deadly: 2, per_second: 2.0, crashes: true, mass_crashes: true, kills: true, cuts: true, suspends: true, loses_gossip: true, ..FaultPlan::default() } },
)]
fn deadly_parts_soon_reach_no_target(plan: FaultPlan) {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, plan);
        fleet.run();
        for part in 0..plan.deadly {
            let later = fleet.later_arrivals(part);
            let crashes = fleet.crashes[part].len();
            assert!(later <= MAX_LATER_ARRIVALS, "seed {seed}: {later} later, {crashes} crashes");
        }
        let known_from = (0..plan.deadly).map(|part| fleet.known_from(part)).max();
        let judged: Vec<bool> = fleet
            .sound
            .iter()
            .filter(|(sent, _)| Some(*sent) > known_from.map(|known| known + CONTACT_MS))
            .map(|(_, is_withheld)| *is_withheld)
            .collect();
        let withheld = judged.iter().filter(|is_withheld| **is_withheld).count();
        assert!(withheld * 2 <= judged.len(), "seed {seed}: {withheld} of {}", judged.len());
    }
}

fn admit_with_part(router: &mut TestRouter, now: u64, own: &str) -> ForwardRequest {
    router.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
    router.state.admit(at(now), prompt("deadly", own)).expect("the route is open")
}

// Has a router send a request with the part and end it.
fn run_with_part(router: &mut TestRouter, now: u64, own: &str, outcome: AttemptOutcome) {
    let mut request = admit_with_part(router, now, own);
    let plan = router.state.choose_target(at(now), &mut request).expect("a target");
    router.state.finish_attempt(at(now + 50), &mut request, &plan, outcome);
}

#[test]
fn gossip_that_waited_for_a_suspended_router_clears_no_part() {
    let mut starts = 0;
    let (mut awake, mut suspended) = (start(&mut starts, 0, 0), start(&mut starts, 0, 1));
    let crash = AttemptOutcome::Lost { phase: AnswerPhase::Beginning };
    run_with_part(&mut awake, 100, "first", crash);
    run_with_part(&mut awake, 200, "second", AttemptOutcome::Complete { status: 200 });
    let cleared = awake.gossip_message(260);
    assert!(!cleared.quarantine.cleared.is_empty(), "the answer clears the part");
    for now in [6_000, 6_500, 7_000] {
        run_with_part(&mut awake, now, &format!("at-{now}"), crash);
    }
    let withheld = awake.gossip_message(7_100);
    assert!(!withheld.quarantine.withheld.is_empty(), "the part crashes targets by now");
    for message in [cleared, withheld] {
        suspended.handle(
            7_200,
            ForwardEvent::Gossip { message: Box::new(message), arrived_after: at(250) },
        );
    }
    let answer = suspended.gossip_message(7_300);
    assert_eq!(answer.quarantine.cleared, [], "nothing was answered meanwhile");
    let message = awake.gossip_message(7_400);
    suspended.receive(7_410, message);
    let mut request = admit_with_part(&mut suspended, 7_420, "last");
    let refusal = suspended.state.choose_target(at(7_420), &mut request).map(|plan| plan.target);
    assert_eq!(refusal.unwrap_err().reason, RefusalReason::PromptWithheld);
}

#[parameterized(
    crashes = { FaultPlan { crashes: true, ..FaultPlan::default() } },
    mass_crashes = { FaultPlan { mass_crashes: true, ..FaultPlan::default() } },
    suspensions = { FaultPlan { crashes: true, mass_crashes: true, suspends: true, ..FaultPlan::default() } },
    all = { FaultPlan { crashes: true, mass_crashes: true, kills: true, cuts: true, suspends: true, loses_gossip: true, ..FaultPlan::default() } },
)]
fn crashes_of_other_causes_withhold_nothing(plan: FaultPlan) {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, plan);
        fleet.run();
        let withheld = fleet.sound.iter().filter(|(_, is_withheld)| *is_withheld).count();
        assert_eq!(withheld, 0, "seed {seed}: of {}", fleet.sound.len());
    }
}
