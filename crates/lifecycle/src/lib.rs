//! The life cycle of a request, encoded as a typestate.
//!
//! Each stage is a type, so an invalid transition does not compile. The signatures enforce two rules: a [`RunOnce`]
//! request has no method that leads from [`Dispatched`] back to [`Queued`], and only a request that certainly did not
//! run can be [`Refused`].
//!
//! ```text
//! Received ─ admit ─▶ Admitted ─ enqueue ─▶ Queued ─ offer ─▶ Offered ─ mark_sent ─▶ Dispatched ─ start ─▶ Streaming
//!                                             ▲ ◀─ requeue ──────┘                        │                    │
//!                                             └─ retry (Repeatable) ──────────────────────┴ resume (Repeatable) ┘
//! ```
//!
//! [`Finished`], [`Refused`] and [`Unknown`] are final. [`Refused`] can be reached from all stages up to [`Queued`]
//! and, with a [`NotRunProof`], from [`Dispatched`]. [`Unknown`] can be reached from [`Dispatched`] and [`Streaming`].

mod stage;
mod table;

pub use stage::{
    Admitted, Dispatched, Finished, NotRunProof, Offered, Queued, Received, Refused, RepeatMode,
    Repeatable, RequestLife, RunOnce, Streaming, Unknown,
};
pub use table::{FailureStep, LifeStage, OfferedLife};
