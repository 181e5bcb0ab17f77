//! Choice of the target for a request.
//!
//! [`TargetChoice`] takes the cached prefixes, the load and the health of the targets and picks the one with the
//! least estimated time to first token, in a way that keeps many routers from making the same choice at once.

mod choice;
mod health;
mod hot;
mod link;
mod load;
mod retry;

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
