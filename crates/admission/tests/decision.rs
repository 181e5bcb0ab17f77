//! The limits of single requests, and the times to return.

use godwitroad_admission::{
    AccountDemand, AdmissionControl, AdmissionRequest, AdmissionSettings, TargetEstimate,
};
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

fn request(priority: u8, account: &str, objective: u64, now: ClockTime) -> AdmissionRequest {
    AdmissionRequest {
        service: "chat".into(),
        account: Some(account.into()),
        priority,
        objective: ClockSpan::from_ms(objective),
        arrived: now,
        deadline: now + ClockSpan::from_ms(4_000),
        draw: u64::MAX,
    }
}

fn backlog(ms: f64) -> TargetEstimate {
    TargetEstimate { first_ms: 200.0 + ms, alone_ms: 200.0 }
}

// Guards against less urgent requests that fill targets while more urgent ones arrive, and against a rule that goes on
// after the last of them.
#[test]
fn less_urgent_requests_leave_room_while_urgent_ones_arrive() {
    let mut control = AdmissionControl::new(AdmissionSettings::default());
    let now = ClockTime::from_ms(10_000);
    let long = request(2, "a", 1_200, now);
    assert!(control.limit(now, &long, &[]).admits(&backlog(900.0)));
    control.limit(now, &request(0, "a", 400, now), &[]);
    let limit = control.limit(now, &long, &[]);
    assert!(limit.admits(&backlog(200.0)) && !limit.admits(&backlog(201.0)));
    let later = now + ClockSpan::from_ms(1_001);
    assert!(control.limit(later, &request(2, "a", 1_200, later), &[]).admits(&backlog(900.0)));
}

// Guards against an account that takes the capacity of the others, and against one that gets nothing.
#[test]
fn accounts_beyond_their_part_are_admitted_at_a_smaller_backlog() {
    let mut control = AdmissionControl::new(AdmissionSettings::default());
    let now = ClockTime::from_ms(10_000);
    let demand = |account: &str, per_second| AccountDemand { account: account.into(), per_second };
    let demands = [demand("small", 100.0), demand("large", 900.0)];
    let limit = |control: &mut AdmissionControl, account| {
        control.limit(now, &request(0, account, 600, now), &demands).backlog_ms(&backlog(0.0))
    };
    assert_eq!(limit(&mut control, "small"), 400.0);
    assert_eq!(limit(&mut control, "large"), 400.0 * 500.0 / 900.0);
}

// Guards against times to return that callers don't honour, and against a place that several callers take.
#[test]
fn refused_callers_return_in_time_and_find_a_place() {
    let mut control = AdmissionControl::new(AdmissionSettings::default());
    let mut random = SeededRandom::new(1);
    let now = ClockTime::from_ms(10_000);
    let refused = request(2, "a", 1_200, now);
    let waits: Vec<_> =
        (0..20).map(|_| control.refuse(now, &refused, 300.0, &mut random)).collect();
    assert!(waits.iter().all(|wait| (300..=1_334).contains(&wait.as_ms())), "{waits:?}");
    let first = now + waits.into_iter().min().expect("there are waits");
    let mut takes_place =
        |account| control.limit(first, &request(2, account, 1_200, first), &[]).is_return;
    assert!(!takes_place("b"), "the place of another account");
    assert!(takes_place("a") && !takes_place("a"));
}

#[test]
fn settings_outside_their_range_are_rejected() {
    let base = AdmissionSettings::default();
    assert!(base.validate().is_ok());
    let invalid = AdmissionSettings { exempt_fraction: f64::NAN, ..base };
    assert_eq!(invalid.validate().expect_err("invalid").name, "ExemptFraction");
}
