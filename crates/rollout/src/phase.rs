//! The phases of a rollout.
//!
//! Each phase is a type of its own whose methods are the transitions that it allows, so that no rollout returns from a
//! rollback and none is completed before its shift.

use godwitroad_base::ClockTime;

/// The new version gets a small share of the requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CanaryPhase;

/// All new requests go to the new version, and the old targets finish theirs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShiftPhase {
    /// When this router learned that the shift began.
    pub since: ClockTime,
}

/// The rollout is completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletedPhase;

/// The rollout was stopped, and no request goes to the new version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolledBackPhase;

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutPhase {
    /// A small share of the requests goes to the new version.
    Canary(CanaryPhase),
    /// All new requests go to the new version.
    Shift(ShiftPhase),
    /// The rollout is completed.
    Completed(CompletedPhase),
    /// The rollout was stopped.
    RolledBack(RolledBackPhase),
}

impl CanaryPhase {
    /// Begins the shift.
    pub fn shift(self, now: ClockTime) -> ShiftPhase {
        ShiftPhase { since: now }
    }

    /// Stops the rollout.
    pub fn roll_back(self) -> RolledBackPhase {
        RolledBackPhase
    }
}

impl ShiftPhase {
    /// Completes the rollout.
    pub fn complete(self) -> CompletedPhase {
        CompletedPhase
    }

    /// Stops the rollout.
    pub fn roll_back(self) -> RolledBackPhase {
        RolledBackPhase
    }
}

impl RolloutPhase {
    /// Returns the phase after a shift has begun.
    pub fn after_shift(self, now: ClockTime) -> RolloutPhase {
        match self {
            RolloutPhase::Canary(canary) => RolloutPhase::Shift(canary.shift(now)),
            other => other,
        }
    }

    /// Returns the phase after a stop.
    pub fn after_stop(self) -> RolloutPhase {
        match self {
            RolloutPhase::Canary(canary) => RolloutPhase::RolledBack(canary.roll_back()),
            RolloutPhase::Shift(shift) => RolloutPhase::RolledBack(shift.roll_back()),
            ended => ended,
        }
    }

    /// Returns the phase after the status `completed` was read. A router that has stopped stays so: its stop is final.
    pub fn after_completion(self, now: ClockTime) -> RolloutPhase {
        match self {
            RolloutPhase::Canary(canary) => RolloutPhase::Completed(canary.shift(now).complete()),
            RolloutPhase::Shift(shift) => RolloutPhase::Completed(shift.complete()),
            ended => ended,
        }
    }

    /// Returns whether the rollout is neither completed nor rolled back.
    pub fn is_open(self) -> bool {
        matches!(self, RolloutPhase::Canary(_) | RolloutPhase::Shift(_))
    }

    /// Returns the name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            RolloutPhase::Canary(_) => "canary",
            RolloutPhase::Shift(_) => "shift",
            RolloutPhase::Completed(_) => "completed",
            RolloutPhase::RolledBack(_) => "rolled_back",
        }
    }
}
