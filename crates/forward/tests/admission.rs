//! Guards against requests that run without authorization, and against wrongful refusals.

mod support;

use std::sync::Arc;

use godwitroad_base::ClockSpan;
use godwitroad_config::KeyHash;
use godwitroad_forward::{ForwardArrival, ForwardEvent, RefusalReason};
use support::{arrival, at, router, rules};
use yare::parameterized;

#[parameterized(
    known = { "/any/x", Some("key-one"), None },
    other_account = { "/any/x", Some("key-two"), None },
    unknown_key = { "/any/x", Some("nobody"), Some(RefusalReason::KeyInvalid) },
    no_key = { "/any/x", None, Some(RefusalReason::KeyInvalid) },
    open_route = { "/open/x", None, None },
    open_route_with_a_foreign_key = { "/open/x", Some("nobody"), None },
    no_route = { "/nowhere/x", Some("key-one"), Some(RefusalReason::RouteUnknown) },
    prefix_without_slash = { "/anything", Some("key-one"), Some(RefusalReason::RouteUnknown) },
)]
fn only_the_owner_of_a_key_is_served(
    path: &str,
    key: Option<&str>,
    refused: Option<RefusalReason>,
) {
    let mut router = router(0);
    let admitted = router.state.admit(at(10), arrival(path, key));
    assert_eq!(admitted.err().map(|refusal| refusal.reason), refused);
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut longer = support::route("/any/deep/", "models");
    longer.name = "deep".into();
    let mut other_host = support::route("/any/deep/er/", "plain");
    other_host.host = "other.example".into();
    let mut rules = rules(2);
    rules.routes.extend([Arc::new(longer), Arc::new(other_host)]);
    let chosen = rules.route("MODELS.example:80", "/any/deep/er/x").map(|route| &route.name);
    assert_eq!(chosen, Some(&"deep".into()));
}

#[test]
fn traffic_splits_match_their_weights() {
    let mut route = support::route("/any/", "plain");
    route.split = vec![("plain".into(), 9_000), ("models".into(), 1_000)];
    let minor = (0..10_000).filter(|draw| route.service_for(*draw) == Some(&"models".into()));
    assert_eq!(minor.count(), 1_000);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut router = router(0);
    let mut newer = rules(5);
    newer.keys.remove(&KeyHash::of("key-two"));
    router.handle(10, ForwardEvent::Rules(Arc::new(newer)));
    router.handle(20, ForwardEvent::Rules(Arc::new(rules(4))));
    let refusal = router.state.admit(at(30), arrival("/any/x", Some("key-two"))).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::KeyInvalid);
}

#[test]
fn a_key_that_is_withdrawn_while_the_request_waits_does_not_run() {
    let mut router = router(0);
    let mut request = router.state.admit(at(10), arrival("/any/x", Some("key-two"))).unwrap();
    let mut newer = rules(2);
    newer.keys.remove(&KeyHash::of("key-two"));
    router.handle(20, ForwardEvent::Rules(Arc::new(newer)));
    let refusal = router.state.choose_target(at(30), &mut request).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::KeyInvalid);
}

#[test]
fn a_router_without_freshness_proof_refuses_keyed_and_unknown_requests() {
    let mut router = router(0);
    let stale = 4_600;
    let reason = |router: &mut support::TestRouter, path, key| {
        router.state.admit(at(stale), arrival(path, key)).err().map(|refusal| refusal.reason)
    };
    assert_eq!(reason(&mut router, "/any/x", Some("key-one")), Some(RefusalReason::ContactLost));
    assert_eq!(reason(&mut router, "/any/x", Some("nobody")), Some(RefusalReason::ContactLost));
    assert_eq!(reason(&mut router, "/nowhere/x", None), Some(RefusalReason::ContactLost));
    assert_eq!(reason(&mut router, "/open/x", None), None);
    assert!(router.state.readiness(at(stale)).is_err());
}

#[test]
fn a_router_without_configuration_refuses_with_retry_after() {
    let mut router = support::TestRouter::new(support::settings("vm-1", 1));
    let refusal = router.state.admit(at(5), arrival("/any/x", None)).unwrap_err();
    assert_eq!((refusal.reason.status(), refusal.retry_after.is_some()), (503, true));
}

// The time limit of the test's routes is 4 s.
#[parameterized(
    grace_2 = { 2_000, 1_675 },
    grace_4 = { 4_000, 3_350 },
    grace_8 = { 8_000, 7_300 },
    grace_30 = { 30_000, 29_300 },
)]
fn a_stopping_router_admits_what_ends_within_its_grace_period(grace_ms: u64, answer_by_ms: u64) {
    let mut router = router(0);
    router.handle(10, ForwardEvent::Stop { grace: ClockSpan::from_ms(grace_ms) });
    assert!(router.state.readiness(at(10)).is_err());
    let mut admit = |now, max_wait: Option<u64>| {
        let max_wait = max_wait.map(ClockSpan::from_ms);
        let arrival = ForwardArrival { max_wait, ..arrival("/open/x", None) };
        router.state.admit(at(now), arrival).map_err(|refusal| refusal.reason).map(drop)
    };
    let last_ms = 10 + answer_by_ms;
    for limit_ms in [100, 700, 1_200, 4_000] {
        let admits = limit_ms <= answer_by_ms;
        let now = if admits { last_ms - limit_ms } else { 10 };
        assert_eq!(admit(now, Some(limit_ms)).is_ok(), admits, "{limit_ms} ms at {now}");
        assert_eq!(admit(now + 1, Some(limit_ms)), Err(RefusalReason::Stopping));
    }
    // The route's limit applies where the caller's is longer, or where it states none.
    for max_wait in [None, Some(60_000)] {
        let now = last_ms.saturating_sub(4_000).max(10);
        assert_eq!(admit(now, max_wait).is_ok(), answer_by_ms >= 4_000);
        assert_eq!(admit(now + 1, max_wait), Err(RefusalReason::Stopping));
    }
}

#[test]
fn a_router_that_is_about_to_exit_admits_nothing() {
    let mut router = router(0);
    router.handle(10, ForwardEvent::Stop { grace: ClockSpan::from_secs(30) });
    router.handle(3_010, ForwardEvent::Drained);
    let arrival =
        ForwardArrival { max_wait: Some(ClockSpan::from_ms(50)), ..arrival("/open/x", None) };
    let refusal = router.state.admit(at(3_010), arrival).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Stopping);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_open_request_begins_no_attempt_that_would_be_ended_while_it_connects() {
    let mut router = router(1);
    let mut request = router.state.admit(at(10), arrival("/open/x", None)).unwrap();
    router.handle(20, ForwardEvent::Stop { grace: ClockSpan::from_ms(2_000) });
    assert!(router.state.choose_target(at(1_200), &mut request.clone()).is_ok());
    let refusal = router.state.choose_target(at(1_400), &mut request).unwrap_err();
    assert_eq!((refusal.reason, refusal.reason.is_not_run()), (RefusalReason::Stopping, true));
    // Once it may have run, the refusal must not say that it hasn't.
    request.may_have_run = true;
    let failure = router.state.choose_target(at(1_400), &mut request).unwrap_err();
    assert!(!failure.reason.is_not_run());
}
