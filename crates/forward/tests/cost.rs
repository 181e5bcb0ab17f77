//! Placement by learned cost, where targets report their pace.

mod support;

use godwitroad_base::ClockTime;
use godwitroad_forward::{
    AttemptOutcome, ForwardAction, ForwardRequest, LoadReport, PaceNotice, SendPlan,
};
use support::{TestRouter, arrival, at, fleet_router, settings, target};
use yare::parameterized;

fn send(router: &mut TestRouter, now: u64) -> (ForwardRequest, SendPlan) {
    let arrival = arrival("/any/x", Some("key-one"));
    let mut request = router.state.admit(at(now), arrival).expect("an open route");
    let plan = router.state.choose_target(at(now), &mut request).expect("a target");
    (request, plan)
}

fn answer(router: &mut TestRouter, now: u64, sent: (ForwardRequest, SendPlan), pace: PaceNotice) {
    let (mut request, mut plan) = sent;
    let load = LoadReport { running: 1, waiting: 0, slots: 6, pace };
    router.state.record_answer_start(at(now), &mut plan, Some(load));
    let outcome = AttemptOutcome::Complete { status: 200 };
    router.state.finish_attempt(at(now), &mut request, &plan, outcome);
}

fn fleet(last: u8) -> TestRouter {
    let targets = (0..4).map(|number| target(&format!("p-{number}"), "plain", "a", 10 + number));
    fleet_router(0, settings(&format!("vm-{last}"), last + 1), 2, targets)
}

#[parameterized(
    negative = { -5.0, PaceNotice::Unreadable },
    zero = { 0.0, PaceNotice::Unreadable },
    not_a_number = { f64::NAN, PaceNotice::Unreadable },
    too_large = { 10_001.0, PaceNotice::Unreadable },
    largest = { 10_000.0, PaceNotice::Percent(10_000) },
    fraction = { 0.2, PaceNotice::Percent(1) },
)]
fn invalid_paces_are_recognized(percent: f64, notice: PaceNotice) {
    assert_eq!(PaceNotice::from_percent(percent), notice);
}

// Guards against a change of behaviour in deployments whose targets report no pace.
#[test]
fn without_a_reported_pace_nothing_is_learned() {
    let mut router = fleet(0);
    for round in 0..50 {
        let sent = send(&mut router, round * 20);
        assert!(sent.1.sent.is_none());
        let pace = if round % 2 == 0 { PaceNotice::Absent } else { PaceNotice::Unreadable };
        answer(&mut router, round * 20 + 10, sent, pace);
    }
    router.handle(1_100, godwitroad_forward::ForwardEvent::Tick);
    let is_unreadable = |action: &&ForwardAction| {
        matches!(action, ForwardAction::Notice("target_pace_unreadable", _))
    };
    assert_eq!(router.actions.iter().filter(is_unreadable).count(), 25);
    assert!(router.gossip_message(1_100).paces.is_empty());
}

// Guards against a stuck target that takes requests of each router until each has lost some there.
#[test]
fn all_routers_avoid_a_target_that_one_finds_stuck() {
    let (mut own, mut peer) = (fleet(0), fleet(1));
    let first = send(&mut own, 10);
    answer(&mut own, 40, first, PaceNotice::Percent(100));
    let stuck = send(&mut own, 50);
    let name = stuck.1.target.clone();
    let round = (100..900).step_by(50).find_map(|now| {
        let round = own.gossip_round(now)?;
        round.message.paces.iter().any(|entry| entry.silence > 0).then_some((now, round))
    });
    let (now, round) = round.expect("the silence is told");
    assert!(now <= 550 && round.is_urgent, "{now}");
    peer.receive(now, round.message);
    for number in 0..40 {
        for router in [&mut own, &mut peer] {
            let (_, plan) = send(router, now + number);
            assert_ne!(plan.target, name);
            assert!(plan.sent.is_some(), "the model is active");
        }
    }
    // The first response ends it for both, although its time shows that the target was slow.
    answer(&mut own, now + 600, stuck, PaceNotice::Percent(100));
    let message = own.gossip_message(now + 610);
    peer.receive(now + 620, message);
    for router in [&mut own, &mut peer] {
        assert!(uses(router, ClockTime::from_ms(now + 3_000), name.as_str()));
    }
}

fn uses(router: &mut TestRouter, now: ClockTime, name: &str) -> bool {
    (0..60).any(|_| send(router, now.as_ms()).1.target.as_str() == name)
}
