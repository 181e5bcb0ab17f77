//! Orders to targets under a fencing number.
//!
//! Loading weights on a target must be decided by one router at a time: two that disagree would load more weights
//! at once than the targets can bear, or move a target back to an old version. One router holds a lease for each
//! service; the lease is a value in the store with a fencing number that grows with each new holder.
//!
//! Some targets refuse an order with an old number. For those that don't, time takes the place of the check: an
//! order is sent only while the rest of the lease covers its delivery, and a new holder waits until every order of
//! the old one must have arrived.
//!
//! There are two kinds of owner. [`RolloutController`] keeps a record that it renews by compare-and-swap; [`OrderTerm`] keeps an
//! entry under one of the store's own leases, which costs less where every write is paid for.
//!
//! A rollout has no state of its own. What is left to do follows from the configuration and from what the targets
//! report, so that a new holder takes up a rollout where the old one stopped.

mod holder;
mod record;
mod rollout;
mod term;
mod weights;

pub use holder::{
    ControllerSettings, OrderOutcome, RolloutAction, RolloutController, RolloutEvent,
};
pub use record::{LeaseRecord, RecordError, Result};
pub use rollout::{
    DesiredTarget, RolloutPlan, RolloutProgress, TargetOrder, TargetReport, WeightVersion,
};
pub use term::{OrderTerm, TermAction, TermAnswer, TermSettings};
pub use weights::{
    WeightAction, WeightAnswer, WeightOrder, WeightPlan, WeightReport, WeightSettings, WeightTarget,
};
