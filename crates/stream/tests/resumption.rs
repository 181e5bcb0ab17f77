//! Guards against tokens that are lost, doubled or taken from a wrong attempt.

use godwitroad_base::{RequestId, SeededRandom};
use godwitroad_stream::{EventId, LogSettings, StreamError, StreamLog, TokenBatch, TokenOutcome};
use proptest::prelude::*;
use yare::parameterized;

fn batch(attempt: u32, first: u64) -> TokenBatch {
    let text = format!("t{first} ");
    TokenBatch { attempt, first, count: 1, data: text.as_str().into(), text: text.into() }
}

fn answer(tokens: u64) -> String {
    (0..tokens).map(|index| format!("t{index} ")).collect()
}

proptest! {
    /// Engines die at random, repeat tokens and send late ones; the caller's text must be the whole answer.
    #[test]
    fn caller_sees_each_token_once(seed: u64, tokens in 1u64..60) {
        let mut random = SeededRandom::new(seed);
        let mut log = StreamLog::new(LogSettings::default());
        let mut seen = String::new();
        let mut attempt = 1;
        let mut next = log.begin(attempt).map_or(0, |resume| resume.tokens);
        while log.tokens() < tokens {
            match random.below(6) {
                0 => {
                    attempt += 1;
                    let resume = log.begin(attempt);
                    next = resume.as_ref().map_or(0, |resume| resume.tokens);
                    prop_assert_eq!(resume.map_or(String::new(), |r| r.text.to_string()), seen.clone());
                }
                1 if attempt > 1 => {
                    prop_assert_eq!(log.accept(batch(attempt - 1, next)), TokenOutcome::Stale);
                }
                2 if next > 0 => {
                    prop_assert_eq!(log.accept(batch(attempt, next - 1)), TokenOutcome::Repeated);
                }
                3 => prop_assert_eq!(log.accept(batch(attempt, next + 1)), TokenOutcome::Gap),
                _ => {
                    let TokenOutcome::Accepted(event) = log.accept(batch(attempt, next)) else {
                        return Err(TestCaseError::fail("the next token was not accepted"));
                    };
                    seen.push_str(&event.data);
                    next += 1;
                    prop_assert_eq!(event.number, next);
                }
            }
        }
        prop_assert_eq!(seen, answer(tokens));
    }

    #[test]
    fn returning_caller_gets_exactly_what_it_missed(tokens in 1u64..200, after in 0u64..220, bound in 10u64..2_000) {
        let mut log = StreamLog::new(LogSettings { replay_bytes: bound, ..LogSettings::default() });
        log.begin(1);
        (0..tokens).for_each(|index| assert!(matches!(log.accept(batch(1, index)), TokenOutcome::Accepted(_))));
        match log.replay(after) {
            Ok(events) => {
                let numbers: Vec<u64> = events.map(|event| event.number).collect();
                prop_assert_eq!(numbers, (after + 1..=tokens).collect::<Vec<_>>());
            }
            Err(StreamError::EventsUnknown { .. }) => prop_assert!(after > tokens),
            Err(StreamError::EventsDropped { oldest, .. }) => prop_assert!(after + 1 < oldest),
            Err(StreamError::EventIdInvalid) => return Err(TestCaseError::fail("no id was parsed")),
        }
    }

    #[test]
    fn event_id_survives_its_text_form(node: u64, serial: u64, number: u64) {
        let id = EventId { request: RequestId { node, serial }, number };
        prop_assert_eq!(id.to_string().parse::<EventId>(), Ok(id));
    }

    #[test]
    fn malformed_event_id_is_an_error_not_a_panic(text in "\\PC{0,60}") {
        let parsed = text.parse::<EventId>();
        prop_assert!(parsed.is_err() || text.len() > 33);
    }
}

#[test]
fn tokens_after_the_end_are_stale() {
    let mut log = StreamLog::new(LogSettings::default());
    log.begin(1);
    assert!(log.end(1) && log.has_ended());
    assert_eq!(log.accept(batch(1, 0)), TokenOutcome::Stale);
    assert!(!log.end(1), "a second end must not count");
}

#[test]
fn end_of_an_earlier_attempt_does_not_end_the_stream() {
    let mut log = StreamLog::new(LogSettings::default());
    log.begin(2);
    assert!(!log.end(1) && !log.has_ended());
}

#[parameterized(
    below = { 10, None },
    above = { 200, Some(true) },
)]
fn slow_caller_stops_the_engine(waiting: u64, change: Option<bool>) {
    let settings = LogSettings { pause_bytes: 100, continue_bytes: 50, ..LogSettings::default() };
    let mut log = StreamLog::new(settings);
    log.add_pending(waiting);
    assert_eq!(log.take_pause_change(), change);
}

#[test]
fn engine_is_read_again_once_the_caller_has_caught_up() {
    let settings = LogSettings { pause_bytes: 100, continue_bytes: 50, ..LogSettings::default() };
    let mut log = StreamLog::new(settings);
    log.add_pending(200);
    assert_eq!(log.take_pause_change(), Some(true));
    log.remove_pending(100);
    assert_eq!(log.take_pause_change(), None, "between the bounds nothing changes");
    log.remove_pending(60);
    assert_eq!(log.take_pause_change(), Some(false));
}
