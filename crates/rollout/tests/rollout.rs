//! Guards against a bad version that goes on, and against a good one that is rolled back.

use godwitroad_base::{BuildName, ClockSpan, ClockTime, StoreEra, StoreRevision};
use godwitroad_rollout::{
    AnswerRecord, ContactView, RequestShare, RolloutOrder, RolloutPhase, RolloutSettings,
    RolloutStatus, ServiceRollout, StatusKind, TargetUse, binomial_tail,
};
use yare::parameterized;

const CONTACT: ContactView =
    ContactView { hears_half: true, store_age: Some(ClockSpan::from_ms(500)) };

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), number)
}

fn rollout() -> ServiceRollout {
    let order = RolloutOrder {
        service: "plain".into(),
        target: "v2".into(),
        duration: ClockSpan::from_secs(12),
    };
    let settings = RolloutSettings::default();
    let share = RequestShare::default();
    let mut rollout = ServiceRollout::new(at(0), order, revision(5), settings, share, true);
    rollout.observe_build(&"v1".into());
    rollout.observe_build(&"v2".into());
    rollout
}

/// Sends `requests` requests of which the new version gets its share; the faults say which responses fail, by the target
/// and the number of the response.
fn send(
    rollout: &mut ServiceRollout,
    from_ms: u64,
    requests: u64,
    is_bad: impl Fn(&str, u64) -> bool,
    slow_ms: Option<u64>,
) -> u64 {
    let mut exposed = 0;
    for number in 0..requests {
        let now = at(from_ms + number * 10);
        rollout.refresh();
        rollout.record_request();
        let is_new = rollout.target_use(now, CONTACT) != TargetUse::Old;
        exposed += u64::from(is_new);
        let build: BuildName = if is_new { "v2".into() } else { "v1".into() };
        let target = format!("{build}-{}", exposed % 2);
        let is_bad = is_bad(&target, if is_new { exposed } else { number });
        rollout.record_sent(&build);
        rollout.record_end(ClockSpan::from_ms(30));
        let answer = AnswerRecord {
            route: 1,
            target_tag: (exposed % 2) as u32,
            build,
            failed: is_bad && slow_ms.is_none(),
            start_ms: Some(if is_bad { slow_ms.unwrap_or(30) } else { 30 }),
            pace_ms: None,
        };
        rollout.record_answer(now, &answer);
    }
    exposed
}

fn is_rolled_back(rollout: &ServiceRollout) -> bool {
    matches!(rollout.phase(), RolloutPhase::RolledBack(_))
}

#[parameterized(
    always = { 1, None },
    one_in_four = { 4, None },
    slow = { 1, Some(120) },
    one_in_three_slow = { 3, Some(150) },
)]
fn a_bad_version_is_stopped_within_its_share(one_in: u64, slow_ms: Option<u64>) {
    let mut rollout = rollout();
    let is_bad = |target: &str, number| target.starts_with("v2") && (number / 2) % one_in == 0;
    let exposed = send(&mut rollout, 0, 1_000, is_bad, slow_ms);
    assert!(is_rolled_back(&rollout), "{}", rollout.summary(at(10_000)));
    assert!(exposed < 80, "{exposed} requests");
    let step = rollout.next_status(at(10_000), std::iter::empty()).expect("a status");
    assert_eq!(step.status.state, StatusKind::RolledBack);
}

#[parameterized(
    no_faults = { |_: &str, _| false },
    the_old_version_has_them_too = { |_: &str, number: u64| number.is_multiple_of(5) },
    one_target = { |target: &str, _| target == "v2-1" },
)]
fn a_good_version_is_completed(is_bad: fn(&str, u64) -> bool) {
    let mut rollout = rollout();
    send(&mut rollout, 0, 950, is_bad, None);
    assert!(!is_rolled_back(&rollout), "{}", rollout.summary(at(9_500)));
    assert!(rollout.begin_shift(at(9_900), CONTACT));
    assert_eq!(rollout.target_use(at(9_900), CONTACT), TargetUse::New);
    let early = rollout.next_status(at(9_950), std::iter::empty()).expect("a status");
    assert_eq!(early.status.state, StatusKind::Running);
    let step = rollout.next_status(at(10_800), std::iter::empty()).expect("a status");
    assert_eq!(step.status.state, StatusKind::Completed);
    rollout.observe_status(at(10_900), RolloutStatus { revision: 9, ..step.status });
    assert!(!rollout.needs_leader());
    assert_eq!(rollout.target_use(at(99_000), CONTACT), TargetUse::New);
}

#[test]
fn a_version_that_turns_bad_after_the_shift_is_stopped() {
    let mut rollout = rollout();
    send(&mut rollout, 0, 950, |_, _| false, None);
    assert!(rollout.begin_shift(at(9_900), CONTACT));
    let exposed = send(&mut rollout, 9_900, 60, |_, number| number.is_multiple_of(3), None);
    assert!(is_rolled_back(&rollout) && exposed < 40, "{exposed} requests");
}

#[test]
fn nothing_goes_to_the_new_version_without_contact_or_time() {
    let mut rollout = rollout();
    (0..500).for_each(|_| rollout.record_request());
    assert_eq!(rollout.target_use(at(1_000), CONTACT), TargetUse::Canary);
    let alone = ContactView { hears_half: false, ..CONTACT };
    let old_store = ContactView { store_age: Some(ClockSpan::from_secs(2)), ..CONTACT };
    for (now, contact) in [(1_000, alone), (1_000, old_store), (12_000, CONTACT)] {
        assert_eq!(rollout.target_use(at(now), contact), TargetUse::Old);
    }
}

#[test]
fn without_enough_evidence_the_order_ends_in_a_rollback() {
    let mut rollout = rollout();
    send(&mut rollout, 0, 100, |_, _| false, None);
    assert!(!rollout.begin_shift(at(10_300), CONTACT));
    let step = rollout.next_status(at(11_400), std::iter::empty()).expect("a status");
    assert_eq!(step.status.state, StatusKind::RolledBack);
}

#[test]
fn a_status_of_an_earlier_order_of_the_same_version_does_not_count() {
    let mut rollout = rollout();
    let state = StatusKind::RolledBack;
    let earlier =
        RolloutStatus { service: "plain".into(), state, target: "v2".into(), revision: 4 };
    rollout.observe_status(at(0), earlier);
    assert!(rollout.phase().is_open() && rollout.needs_leader());
    let step = rollout.next_status(at(10), std::iter::empty()).expect("a status");
    assert_eq!((step.status.state, step.status.revision), (StatusKind::Running, 4));
}

#[test]
fn a_stop_and_the_evidence_reach_peers_by_notes() {
    let (mut first, mut second) = (rollout(), rollout());
    for round in 0..60 {
        let now = round * 100;
        for (rollout, tag) in [(&mut first, 0), (&mut second, 1)] {
            let is_new = round % 6 == 0;
            let build: BuildName = if is_new { "v2".into() } else { "v1".into() };
            let answer = AnswerRecord {
                route: 1,
                target_tag: tag,
                build,
                failed: is_new,
                start_ms: Some(30),
                pace_ms: None,
            };
            rollout.record_answer(at(now), &answer);
        }
        let note = first.note(at(now), 7).expect("an open order");
        second.receive(at(now), &"vm-1".into(), 1, &note);
        second.receive(at(now), &"vm-1".into(), 1, &note);
        second.stop_if_worse(at(now));
        if is_rolled_back(&second) {
            break;
        }
    }
    // Neither router alone has seen bad responses of both targets.
    assert!(is_rolled_back(&second) && !is_rolled_back(&first));
    let note = second.note(at(6_000), 7).expect("not told yet");
    assert!(first.receive(at(6_000), &"vm-2".into(), 1, &note) && is_rolled_back(&first));
}

#[test]
fn the_binomial_tail_matches_known_values() {
    for (trials, hits, chance, expected) in [
        (10, 0, 0.5, 1.0),
        (10, 10, 0.5, 0.5f64.powi(10)),
        (4, 2, 0.5, 11.0 / 16.0),
        (3, 1, 0.1, 0.271),
    ] {
        assert!((binomial_tail(trials, hits, chance) - expected).abs() < 1e-9);
    }
}
