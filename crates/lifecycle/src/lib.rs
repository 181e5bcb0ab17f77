//! The life cycle of one request as a typestate.
//!
//! The stages are types, so that a wrong step does not compile. What matters most is visible in the signatures:
//! a [`RunOnce`] request has no method that leads from [`Dispatched`] back to [`Queued`], and a refusal that says
//! "not run" can only be made from a stage in which that is certain.
//!
//! ```text
//! Received ─ admit ─▶ Admitted ─ enqueue ─▶ Queued ─ offer ─▶ Offered<R> ─ sent ─▶ Dispatched<R> ─ start ─▶ Streaming<R>
//!                                              ▲ ◀── unsent ───────┘                   │                        │
//!                                              └── retry (Repeatable) ─────────────────┴── resume (Repeatable) ─┘
//! ```
//!
//! [`Finished`], [`Refused`] and [`Unknown`] are final. [`Refused`] is reached from every stage up to [`Queued`]
//! and, with a [`NotRunProof`], from the later ones; [`Unknown`] is reached from [`Dispatched`] on.

mod stage;
mod table;

pub use stage::{
    Admitted, Dispatched, Finished, NotRunProof, Offered, Queued, Received, Refused, RepeatMode,
    Repeatable, RequestLife, RunOnce, Streaming, Unknown,
};
pub use table::{FailureStep, LifeStage, OfferedLife};
