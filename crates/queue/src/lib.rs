//! Weighted fair queueing over client accounts.
//!
//! Requests wait in the router rather than in an engine, because only the router knows the accounts. [`FairQueue`]
//! chooses the next request and refuses those that can't be served in time. [`SlotTable`] limits the number of
//! requests that this router runs at each target, so that one router can't fill the queue of an engine.

mod class;
mod fair;
mod rate;
mod slots;

pub use fair::{
    Error, FairQueue, FreeSlots, QueueCounters, QueueRefusal, QueueSettings, QueuedRequest, Result,
};
pub use slots::{SlotSettings, SlotTable};

/// The priority of a request; the variants are in the order of service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QueuePriority {
    /// Requests for whose answer a caller is waiting.
    #[default]
    Interactive,
    /// Requests with a deadline for which no caller is waiting interactively.
    Batch,
    /// Requests that run on idle capacity only.
    Overnight,
}

impl QueuePriority {
    /// All priorities, from the first to the last served.
    pub const ALL: [QueuePriority; 3] =
        [QueuePriority::Interactive, QueuePriority::Batch, QueuePriority::Overnight];
}
