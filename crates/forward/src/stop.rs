//! The phases of a planned stop within the grace period that the platform gives a process.
//!
//! A stopping router admits only requests that end before it has to answer what is still open, judged by their time
//! limits. Nothing that it admits is therefore cut off. A request that was admitted before the stop, and isn't finished
//! by then, gets an answer that says what is known of it.

use godwitroad_base::{ClockSpan, ClockTime};

/// How long a stopping router stays at least, if the grace period allows it: the load balancer checks readiness every
/// second and removes a router after the second negative answer.
const DRAIN_TIME: ClockSpan = ClockSpan::from_ms(3_000);

/// The time after the start of a stop at which idle connections are closed. Until then each answer closes its
/// connection, so that few are left: a request that arrives while its connection is being closed may be lost if the
/// caller doesn't retry it.
const IDLE_CLOSE_DELAY: ClockSpan = ClockSpan::from_ms(2_500);

/// The longest part of the grace period that is reserved for the exit.
const MAX_EXIT_MARGIN: ClockSpan = ClockSpan::from_ms(400);

/// The longest time reserved for writing the answers of the requests that are ended.
const MAX_ANSWER_MARGIN: ClockSpan = ClockSpan::from_ms(300);

/// The time that an attempt may take until it is known whether its target got the request.
const CONNECT_TIME: ClockSpan = ClockSpan::from_ms(400);

/// When a stopping router does what.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// When idle connections are closed.
    pub close_idle_at: ClockTime,
    /// The earliest time of the exit, even if no request is open.
    pub drain_until: ClockTime,
    /// When all requests must have been answered.
    pub answer_by: ClockTime,
    /// When the router exits at the latest.
    pub exit_by: ClockTime,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StopPhase {
    /// The router wasn't told to stop.
    #[default]
    Running,
    /// The router finishes what is open, and admits what it can finish.
    Draining(StopSchedule),
    /// The router admits nothing and is about to exit.
    Closed,
}

impl StopSchedule {
    /// Returns the schedule of a stop that begins at `now` and must have ended after `grace`.
    pub fn new(now: ClockTime, grace: ClockSpan) -> StopSchedule {
        let part = |numerator, divisor| ClockSpan::from_ms(grace.as_ms() * numerator / divisor);
        let exit_span = grace.saturating_sub(part(1, 10).min(MAX_EXIT_MARGIN));
        // Both margins together are less than a sixth of the grace period, which targets can count on.
        let answer_span = exit_span.saturating_sub(part(1, 16).min(MAX_ANSWER_MARGIN));
        StopSchedule {
            close_idle_at: now + part(5, 8).min(IDLE_CLOSE_DELAY),
            drain_until: now + answer_span.min(DRAIN_TIME),
            answer_by: now + answer_span,
            exit_by: now + exit_span,
        }
    }
}

impl StopPhase {
    /// Begins a stop that must have ended after `grace`, unless one has begun.
    pub fn begin(&mut self, now: ClockTime, grace: ClockSpan) {
        if !self.is_stopping() {
            *self = StopPhase::Draining(StopSchedule::new(now, grace));
        }
    }

    /// Returns whether the router is stopping.
    pub fn is_stopping(self) -> bool {
        self != StopPhase::Running
    }

    /// Returns whether a request with this deadline ends in time.
    pub fn admits(self, deadline: ClockTime) -> bool {
        match self {
            StopPhase::Running => true,
            StopPhase::Draining(schedule) => deadline <= schedule.answer_by,
            StopPhase::Closed => false,
        }
    }

    /// Returns whether an attempt may begin for a request with this deadline. A request that would have to be answered
    /// while a connection is being opened is refused beforehand, so that it certainly hasn't run.
    pub fn admits_attempt(self, now: ClockTime, deadline: ClockTime) -> bool {
        match self {
            StopPhase::Draining(schedule) if deadline > schedule.answer_by => {
                now + CONNECT_TIME <= schedule.answer_by
            }
            StopPhase::Running | StopPhase::Draining(_) => true,
            StopPhase::Closed => false,
        }
    }
}
