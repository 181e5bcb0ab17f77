//! Admission while capacity is short, for services whose targets report their pace.

mod support;

use std::collections::BTreeSet;

use godwitroad_base::ClockSpan;
use godwitroad_forward::{
    AdmissionSettings, AttemptOutcome, ForwardAction, ForwardRefusal, ForwardSettings, LoadReport,
    PaceNotice, RefusalReason, SendPlan,
};
use support::{TestRouter, arrival, at, fleet_router, settings, target};

fn fleet(pace: PaceNotice) -> TestRouter {
    let targets = (0..10).map(|number| target(&format!("p-{number}"), "plain", "a", 10 + number));
    let admission = AdmissionSettings { active: true, ..AdmissionSettings::default() };
    let settings = ForwardSettings { admission, ..settings("vm-0", 1) };
    let mut router = fleet_router(0, settings, 2, targets);
    let mut request = admit(&mut router, 10);
    let mut plan = router.state.choose_target(at(10), &mut request).expect("a target");
    let load = LoadReport { running: 1, waiting: 0, slots: 6, pace };
    router.state.record_answer_start(at(20), &mut plan, Some(load));
    let outcome = AttemptOutcome::Complete { status: 200 };
    router.state.finish_attempt(at(20), &mut request, &plan, outcome);
    router
}

fn admit(router: &mut TestRouter, now: u64) -> godwitroad_forward::ForwardRequest {
    router.state.admit(at(now), arrival("/any/x", Some("key-one"))).expect("an open route")
}

fn send(router: &mut TestRouter, now: u64) -> Result<SendPlan, ForwardRefusal> {
    let mut request = admit(router, now);
    router.state.choose_target(at(now), &mut request)
}

// Guards against a refusal while slots are free, and against one without a time to return within a third of the caller's.
#[test]
fn requests_are_refused_only_when_slots_are_short() {
    let mut router = fleet(PaceNotice::Percent(2_000));
    let mut placed = 0;
    let refusal = loop {
        match send(&mut router, 30) {
            Ok(_) => placed += 1,
            Err(refusal) => break refusal,
        }
        assert!(placed < 5_000, "nothing is refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    let wait = refusal.retry_after.expect("a time to return");
    assert!(
        wait >= ClockSpan::from_ms(100) && wait <= ClockSpan::from_ms(4_000 / 3 + 1),
        "{wait:?}"
    );
    assert!(placed >= 30, "{placed} of 60 slots");
    router.handle(40, godwitroad_forward::ForwardEvent::Tick);
    let is_logged =
        |action: &ForwardAction| matches!(action, ForwardAction::Notice("admission_refused", _));
    assert!(router.actions.iter().any(is_logged));
}

// Guards against a change in deployments whose targets report no pace, and against routers that all choose the target that
// looks best to them.
#[test]
fn candidates_are_drawn_only_where_the_pace_is_reported() {
    for (pace, fewest) in [(PaceNotice::Percent(100), 6), (PaceNotice::Absent, 1)] {
        let mut router = fleet(pace);
        let mut peer = fleet(pace);
        // All targets but one are busy with a peer's requests.
        let mut message = peer.gossip_message(30);
        message.place.vm = "vm-1".into();
        for _ in 0..200 {
            if message.loads.len() == 9 {
                break;
            }
            let _ = send(&mut peer, 30);
            message.loads = peer.gossip_message(30).loads;
        }
        message.loads.iter_mut().for_each(|load| load.1 = 3);
        router.receive(30, message);
        let chosen: BTreeSet<_> = (0..60)
            .map(|_| {
                let mut request = admit(&mut router, 40);
                let plan = router.state.choose_target(at(40), &mut request).expect("a target");
                let outcome = AttemptOutcome::Complete { status: 200 };
                router.state.finish_attempt(at(40), &mut request, &plan, outcome);
                plan.target
            })
            .collect();
        assert!(
            chosen.len() >= fewest && (fewest > 1 || chosen.len() == 1),
            "{pace:?}: {chosen:?}"
        );
    }
}
