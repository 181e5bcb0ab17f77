//! What a router tells its peers of an open rollout.

use godwitroad_base::StoreRevision;
use serde::{Deserialize, Serialize};

use crate::{EvidenceEntry, TargetCounts};

/// A router's note on a rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutNote {
    /// The tag of the service.
    pub service: u32,
    /// The revision of the order.
    pub order: StoreRevision,
    /// The time since the order, in milliseconds; `None` if the sender doesn't know it.
    pub age_ms: Option<u32>,
    /// Whether the shift has begun.
    pub shifted: bool,
    /// Whether the rollout is stopped.
    pub stopped: bool,
    /// The sender's open requests at old targets.
    pub open_old: u16,
    /// The longest response of the service that the sender has seen since the order, in milliseconds.
    pub longest_ms: u32,
    /// The sender's counts.
    pub evidence: Vec<EvidenceEntry>,
    /// The sender's counts by target of the new version.
    pub targets: Vec<TargetCounts>,
}

impl RolloutNote {
    /// Removes the least important content so that a message fits a datagram; returns whether there was some.
    pub fn drop_least_important(&mut self) -> bool {
        self.evidence.pop().is_some() || self.targets.pop().is_some()
    }
}
