//! The settings of the quarantine.

use godwitroad_base::ClockSpan;

/// When parts of prompts, or requests that come again, are withheld, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineSettings {
    /// The points from which a part is withheld.
    pub threshold: u32,
    /// The points from which a retry is withheld. It costs a second target before the first crash is known everywhere.
    pub retry_threshold: u32,
    /// The points for a crash at the beginning of an answer. A crash counts one point if the request was still waiting for
    /// its answer, as most of the requests on a target are.
    pub beginning_points: u32,
    /// The crashes at the beginning of an answer without which a part isn't withheld. A router that loses its network
    /// loses many requests that wait, and few whose answers are beginning.
    pub min_beginnings: u32,
    /// The time within which crashes count once.
    pub burst_span: ClockSpan,
    /// The time for which a complete answer protects the parts of its prompt from suspicion.
    pub protection_span: ClockSpan,
    /// The time after which a crash no longer counts.
    pub evidence_span: ClockSpan,
    /// The time for which a part is withheld before one request with it is sent on trial. It doubles with each trial.
    pub trial_span: ClockSpan,
    /// Whether one router alone sends all tests, so that there are never too many before the others know of them.
    pub is_exclusive: bool,
    /// Limit of requests that are sent because another part may be the cause of the crashes.
    pub max_probes: u32,
    /// Limit of requests that are sent although they are withheld, on trial or because another part may be the cause.
    pub max_tests: u32,
    /// The longest time between two trials, and the time after which a part that no request contains is forgotten.
    pub max_trial_span: ClockSpan,
}

impl QuarantineSettings {
    /// Returns the settings for requests that come again, which have one key each: no part of a prompt that they share
    /// with sound requests is in question. Each crash counts the same, as a plain service sends nothing before its answer. The
    /// request and its trials may crash few targets over its whole life.
    pub fn for_requests() -> QuarantineSettings {
        QuarantineSettings {
            threshold: 3,
            retry_threshold: 2,
            beginning_points: 1,
            min_beginnings: 0,
            // Many callers may send the request at the same time, so that its targets crash soon after each other.
            burst_span: ClockSpan::ZERO,
            trial_span: ClockSpan::from_secs(10),
            is_exclusive: true,
            max_probes: 1,
            max_tests: 3,
            ..QuarantineSettings::default()
        }
    }

    /// Returns how long a part is withheld after `trials` trials.
    pub fn withheld_span(&self, trials: u32) -> ClockSpan {
        let factor = 1_u64.checked_shl(trials).unwrap_or(u64::MAX);
        let span = ClockSpan::from_ms(self.trial_span.as_ms().saturating_mul(factor));
        span.min(self.max_trial_span)
    }
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            threshold: 6,
            retry_threshold: 4,
            beginning_points: 2,
            min_beginnings: 2,
            burst_span: ClockSpan::from_ms(100),
            protection_span: ClockSpan::from_secs(2),
            evidence_span: ClockSpan::from_secs(120),
            trial_span: ClockSpan::from_secs(10),
            is_exclusive: false,
            max_probes: 2,
            max_tests: u32::MAX,
            max_trial_span: ClockSpan::from_secs(600),
        }
    }
}
