//! Tests that a run-once request never runs twice and that "not run" is reported only if it is certain.

use godwitroad_base::{ClockTime, RequestId};
use godwitroad_config::RepeatRule;
use godwitroad_lifecycle::{FailureStep, LifeStage, NotRunProof, OfferedLife, RequestLife};
use proptest::prelude::*;
use yare::parameterized;

fn queued() -> RequestLife<godwitroad_lifecycle::Queued> {
    RequestLife::new(RequestId { node: 1, serial: 2 }).admit(10).enqueue(ClockTime::from_ms(5))
}

#[parameterized(
    sent = { true, false, false },
    unsent = { false, false, true },
    rejected_by_target = { true, true, true },
    unsent_and_rejected = { false, true, true },
)]
fn proof_exists_only_when_the_attempt_cannot_have_run(sent: bool, rejected: bool, proven: bool) {
    assert_eq!(NotRunProof::from_failed_attempt(sent, rejected).is_some(), proven);
}

proptest! {
    /// Applies random failures to a request and counts the attempts that may have run.
    #[test]
    fn run_once_never_has_two_attempts_that_may_have_run(
        steps in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 1..20),
    ) {
        let mut possible_runs = 0;
        let mut life = Some(queued());
        for (sent, rejected, started) in steps {
            let Some(current) = life.take() else { break };
            let offered = OfferedLife::new(current, RepeatRule::RunOnce);
            let proof = NotRunProof::from_failed_attempt(sent, rejected);
            let stage = if started { offered.start() } else { LifeStage::Offered(offered) };
            possible_runs += u32::from(started || proof.is_none());
            if let Ok(FailureStep::Retry(next)) = stage.fail(proof) {
                prop_assert!(!started && proof.is_some());
                prop_assert!(!next.may_have_run(), "an unsent request counts as run");
                life = Some(next);
            }
        }
        prop_assert!(possible_runs <= 1);
    }

    #[test]
    fn repeatable_request_can_always_be_retried(failures in prop::collection::vec(any::<(bool, bool)>(), 1..20)) {
        let mut life = queued();
        for (index, (sent, started)) in failures.iter().enumerate() {
            let offered = OfferedLife::new(life, RepeatRule::Repeatable);
            let stage = if *started { offered.start() } else { LifeStage::Offered(offered) };
            prop_assert_eq!(stage.attempts() as usize, index + 1);
            let Ok(FailureStep::Retry(next)) = stage.fail(NotRunProof::from_failed_attempt(*sent, false)) else {
                return Err(TestCaseError::fail("a repeatable request was not retried"));
            };
            life = next;
        }
        let ran = failures.iter().any(|&(sent, started)| sent || started);
        prop_assert_eq!(life.may_have_run(), ran);
        prop_assert_eq!(life.since(), ClockTime::from_ms(5));
        prop_assert_eq!(life.reserved(), 10);
    }
}

#[test]
fn only_a_request_without_attempts_counts_as_not_run() {
    let fresh = LifeStage::Queued(queued());
    assert!(fresh.has_not_run());
    let offered = LifeStage::Offered(OfferedLife::new(queued(), RepeatRule::RunOnce));
    assert!(!offered.has_not_run());
}
