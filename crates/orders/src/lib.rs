//! Rollouts of model weights: orders to targets under a lease with a fencing number.
//!
//! Only one router at a time may order targets to load weights: two routers that disagree would load weights on too
//! many targets at once, or move a target back to an old version. The router that holds the service's lease sends the
//! orders. The lease is kept in the store, with a fencing number that increases with each new holder.
//!
//! Some targets refuse an order with an old fencing number. The others are protected by timing: an order is sent only
//! while the remaining lease covers its delivery, and a new holder waits until every order of its predecessor must have
//! arrived.
//!
//! There are two implementations. [`RolloutController`] writes a lease record and renews it by compare-and-swap.
//! [`OrderTerm`] creates an entry under one of the store's own leases, which needs fewer writes in a store that bills
//! each write; [`WeightPlan`] then decides on the orders.
//!
//! A rollout has no stored state. The remaining steps follow from the desired versions and from the targets' reports,
//! so that a new holder continues a rollout where its predecessor stopped.

mod controller;
mod record;
mod rollout;
mod survey;
mod term;
mod urgency;
mod weights;

pub use controller::{
    ControllerSettings, OrderOutcome, RolloutAction, RolloutController, RolloutEvent,
};
pub use record::{LeaseRecord, RecordError, Result};
pub use rollout::{
    DesiredTarget, RolloutPlan, RolloutProgress, TargetOrder, TargetReport, WeightVersion,
};
pub use term::{
    ActivityEntry, ActivityMark, LeaderEntry, OrderTerm, TermAction, TermAnswer, TermRevisions,
    TermSettings,
};
pub use urgency::WeightUrgency;
pub use weights::{
    WeightAction, WeightAnswer, WeightOrder, WeightPlan, WeightReport, WeightSettings, WeightTarget,
};
