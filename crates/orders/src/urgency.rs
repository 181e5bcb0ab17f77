//! How urgently targets need newer weights.

use godwitroad_base::ClockSpan;

/// How urgently a target needs newer weights.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum WeightUrgency {
    /// The target serves requests, and the rollout may take its time.
    #[default]
    Regular,
    /// The target serves requests, but something has held up the rollout: leaders that failed, or orders that were lost.
    /// The next leader may fail soon as well.
    Late,
    /// The target must serve no requests with its weights, so that nothing is lost while it loads others.
    Overdue,
}

/// The last part of the limit, in which targets are late, as a divisor. While versions come in quick succession, targets are
/// outdated for much of the limit although nothing holds up the rollout.
const LATE_DIVISOR: u64 = 4;

impl WeightUrgency {
    /// Returns the urgency for a target whose weights were replaced `age` ago, or `None` if they weren't, and must serve no
    /// requests once they were replaced `limit` ago.
    pub fn new(age: Option<ClockSpan>, limit: ClockSpan) -> WeightUrgency {
        let late = ClockSpan::from_ms(limit.as_ms() - limit.as_ms() / LATE_DIVISOR);
        match age {
            Some(age) if age >= limit => WeightUrgency::Overdue,
            Some(age) if age >= late => WeightUrgency::Late,
            _ => WeightUrgency::Regular,
        }
    }
}
