//! Load balancing of requests over targets by the estimated time to first token.
//!
//! [`TargetChoice`] combines the cached prefixes, the load and the health of the targets and chooses the one with the
//! lowest estimate. A random choice among near-equal targets keeps several routers from sending requests to the same
//! target at once.

mod acceptance;
mod choice;
mod health;
mod hot;
mod link;
mod load;
mod retry;

pub use acceptance::{AcceptanceSettings, AcceptanceTable, OfferKind, PeerRejection};
pub use choice::{
    ChoiceExplanation, ChoiceRequest, ChoiceSettings, ChoiceView, ChosenTarget, Distance,
    TargetCandidate, TargetChoice, TargetEstimate,
};
pub use health::{HealthSettings, HealthState, TargetHealth};
pub use hot::{HotPrefixes, HotSettings};
pub use link::{LinkMeter, LinkSettings};
pub use load::{DispatchHint, LoadSettings, LoadView, TargetReport};
pub use retry::{RetryBudget, RetrySettings};

pub use godwitroad_prefix::TargetId;
