//! Tests of the time limit for unacknowledged bytes.

use godwitroad_base::{ClockSpan, ClockTime};
use yare::parameterized;

use super::{QueueState, QueueWatch};

const TIMEOUT_MS: u64 = 3_500;

const IDLE: QueueState = QueueState {
    has_unacknowledged_bytes: false,
    has_unanswered_probe: false,
    is_retrying: false,
    since_acknowledgment: ClockSpan::ZERO,
    since_sent: ClockSpan::from_secs(60),
};
const SENDING: QueueState =
    QueueState { has_unacknowledged_bytes: true, since_sent: ClockSpan::ZERO, ..IDLE };
const RETRANSMITTING: QueueState = QueueState { is_retrying: true, ..SENDING };
const PROBING: QueueState = QueueState { is_retrying: true, ..IDLE };
const UNANSWERED: QueueState = QueueState { has_unanswered_probe: true, ..PROBING };

fn after(state: QueueState, ms: u64) -> QueueState {
    QueueState { since_acknowledgment: ClockSpan::from_ms(ms), ..state }
}

// The states are seen every half second; the limit is that after the last one.
#[parameterized(
    idle = { &[IDLE, IDLE], 0 },
    sending = { &[IDLE, SENDING], 0 },
    machine_lost = { &[IDLE, SENDING, after(RETRANSMITTING, 700)], 0 },
    machine_lost_at_a_full_window = { &[IDLE, after(PROBING, 600), after(UNANSWERED, 1_100)], 0 },
    answered_probes = { &[IDLE, PROBING, PROBING, after(PROBING, 100)], 1_400 },
    answered_retransmissions = { &[SENDING, RETRANSMITTING, after(RETRANSMITTING, 100)], 900 },
    machine_lost_later = { &[IDLE, PROBING, PROBING, after(UNANSWERED, 300), after(UNANSWERED, 800)], 1_200 },
    answered_probes_of_which_the_next_is_due = { &[IDLE, PROBING, PROBING, after(PROBING, 1_300)], 200 },
    window_open_again = { &[IDLE, PROBING, PROBING, SENDING], 1_500 },
    idle_after_a_full_window = { &[IDLE, PROBING, PROBING, IDLE], 0 },
    retransmitting_after_a_full_window = { &[IDLE, PROBING, PROBING, SENDING, after(RETRANSMITTING, 600)], 0 },
)]
fn the_time_limit_counts_from_the_last_acknowledgment(states: &[QueueState], extra_ms: u64) {
    let mut watch = QueueWatch::new(ClockSpan::from_ms(TIMEOUT_MS), ClockTime::ZERO);
    let limits = states.iter().zip(1..).map(|(state, look)| {
        let now = ClockTime::from_ms(look * 500);
        watch.timeout(now, *state)
    });
    assert_eq!(limits.last(), Some(Some(ClockSpan::from_ms(TIMEOUT_MS + extra_ms))));
}

#[test]
fn a_window_that_stays_full_is_given_up_in_the_end() {
    let mut watch = QueueWatch::new(ClockSpan::from_ms(TIMEOUT_MS), ClockTime::ZERO);
    let limits = (1..3_000).map(|look| watch.timeout(ClockTime::from_ms(look * 500), PROBING));
    assert_eq!(limits.max(), Some(Some(ClockSpan::from_secs(600))));
}

// The connection is given up with the last state and not with those before.
#[parameterized(
    at_a_full_window = { PROBING, UNANSWERED, &[500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500] },
    while_retransmitting = { RETRANSMITTING, RETRANSMITTING, &[500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500] },
    after_a_late_probe = { PROBING, UNANSWERED, &[4_000, 4_500, 5_000] },
)]
fn a_machine_that_is_lost_after_it_answered_is_noticed(
    answering: QueueState,
    lost: QueueState,
    silent_ms: &[u64],
) {
    let mut watch = QueueWatch::new(ClockSpan::from_ms(TIMEOUT_MS), ClockTime::ZERO);
    let mut now = ClockTime::ZERO;
    for _ in 0..20 {
        now += ClockSpan::from_ms(500);
        assert!(watch.timeout(now, answering).is_some());
    }
    let losses = silent_ms
        .iter()
        .map(|ms| watch.timeout(now + ClockSpan::from_ms(*ms), after(lost, *ms)).is_none());
    let losses: Vec<bool> = losses.collect();
    assert!(losses.iter().rev().skip(1).all(|is_lost| !is_lost), "{losses:?}");
    assert_eq!(losses.last(), Some(&true), "{losses:?}");
}
