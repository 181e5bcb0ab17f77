//! Fair queueing over client accounts.
//!
//! Requests wait in the router rather than in an engine, because only the router knows the accounts. [`FairQueue`]
//! decides which request goes next and which can't be served in time; [`SlotTable`] bounds what this router has
//! running at each target, so that one router can't fill an engine's queue.

mod class;
mod fair;
mod rate;
mod slots;

pub use fair::{
    Error, FairQueue, FreeSlots, QueueCounters, QueueRefusal, QueueSettings, QueuedRequest, Result,
};
pub use slots::{SlotSettings, SlotTable};

/// The priority of a request; the order is the order of service.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum QueuePriority {
    /// A caller waits for the answer.
    #[default]
    Interactive,
    /// Work with a deadline that nobody watches.
    Batch,
    /// Work that uses idle capacity only.
    Overnight,
}

impl QueuePriority {
    /// All priorities in the order of service.
    pub const ALL: [QueuePriority; 3] =
        [QueuePriority::Interactive, QueuePriority::Batch, QueuePriority::Overnight];
}
