//! Circuit breaker for long outages of the store.
//!
//! Without it, every node repeats every call through an outage and all of them meet the service when it returns.
//! An open breaker lets one probe through at jittered intervals and nothing else.

use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};

/// Settings of the circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// The number of failed calls in a row that opens the breaker.
    pub failures: u32,
    /// The mean time from opening to the first probe; it doubles with each failed probe.
    pub probe: ClockSpan,
    /// The longest mean time between probes.
    pub probe_max: ClockSpan,
}

impl Default for BreakerSettings {
    fn default() -> BreakerSettings {
        BreakerSettings {
            failures: 5,
            probe: ClockSpan::from_ms(500),
            probe_max: ClockSpan::from_secs(5),
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakerState {
    Closed { failures: u32 },
    Open { probe_at: ClockTime, span: ClockSpan, probing: bool },
}

#[derive(Clone, Debug)]
pub(crate) struct CircuitBreaker {
    settings: BreakerSettings,
    state: BreakerState,
}

impl CircuitBreaker {
    pub(crate) fn new(settings: BreakerSettings) -> CircuitBreaker {
        CircuitBreaker { settings, state: BreakerState::Closed { failures: 0 } }
    }

    pub(crate) fn is_open(&self) -> bool {
        matches!(self.state, BreakerState::Open { .. })
    }

    /// Records an answer of the service and returns whether the breaker closed by it.
    pub(crate) fn succeed(&mut self) -> bool {
        let was_open = self.is_open();
        self.state = BreakerState::Closed { failures: 0 };
        was_open
    }

    /// Records a failed call and returns whether the breaker opened by it.
    pub(crate) fn fail(&mut self, now: ClockTime, random: &mut SeededRandom) -> bool {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 >= self.settings.failures => {
                let span = self.settings.probe;
                let probe_at = now + jitter(span, random);
                self.state = BreakerState::Open { probe_at, span, probing: false };
                true
            }
            BreakerState::Closed { failures } => {
                self.state = BreakerState::Closed { failures: failures + 1 };
                false
            }
            BreakerState::Open { .. } => false,
        }
    }

    /// Records a failed probe.
    pub(crate) fn fail_probe(&mut self, now: ClockTime, random: &mut SeededRandom) {
        if let BreakerState::Open { span, .. } = self.state {
            let span = ClockSpan::from_ms(span.as_ms() * 2).min(self.settings.probe_max);
            let probe_at = now + jitter(span, random);
            self.state = BreakerState::Open { probe_at, span, probing: false };
        }
    }

    /// Returns whether a probe must be sent now, and counts it as sent.
    pub(crate) fn take_probe(&mut self, now: ClockTime) -> bool {
        match &mut self.state {
            BreakerState::Open { probe_at, probing, .. } if !*probing && *probe_at <= now => {
                *probing = true;
                true
            }
            _ => false,
        }
    }
}

/// Returns a span between half and one and a half times `span`.
pub(crate) fn jitter(span: ClockSpan, random: &mut SeededRandom) -> ClockSpan {
    ClockSpan::from_ms(span.as_ms() / 2 + random.below(span.as_ms() + 1))
}
