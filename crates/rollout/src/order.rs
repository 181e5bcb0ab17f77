//! The operator's order, its status, and the settings of rollouts.

use godwitroad_base::{BuildName, ClockSpan, ServiceName};

/// The settings of rollouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// The largest share of a service's requests that a bad version may receive.
    pub share: f64,
    /// The number of requests that it may receive beyond the share, over all routers.
    pub slack: f64,
    /// The time after the 50th bad response of a version within which it must get no more requests.
    pub rollback: ClockSpan,
}

/// An order to move a service to a version of its targets' software.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that its requests must move to.
    pub target: BuildName,
    /// The time that the rollout may take.
    pub duration: ClockSpan,
}

/// The state of a rollout as the fleet tells the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusKind {
    /// The new version is being tried.
    Running,
    /// All requests go to the new version, and the old targets may be stopped.
    Completed,
    /// No request goes to the new version.
    RolledBack,
}

/// The status of a service's rollout in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The state.
    pub state: StatusKind,
    /// The version that the order named.
    pub target: BuildName,
    /// The number of the entry's revision in the store; 0 if there is no entry.
    pub revision: u64,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings { share: 0.1, slack: 50.0, rollback: ClockSpan::from_secs(5) }
    }
}

impl StatusKind {
    /// Returns whether no other state follows for the same order.
    pub fn is_final(self) -> bool {
        self != StatusKind::Running
    }
}
