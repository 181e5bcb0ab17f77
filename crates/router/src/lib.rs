//! The facade over one router's whole decision state.
//!
//! [`RouterState`] takes one event type and gives one action type. It is deterministic: time comes with each
//! event and randomness from a seed, so that the same seed and events give the same actions.

mod action;
mod admission;
mod arrival;
mod attempt;
mod caller;
mod claim;
mod dispatch;
mod ending;
mod event;
mod explain;
mod fleet;
mod message;
mod placement;
mod refusal;
mod request;
mod state;
mod status;
mod stop;
mod view;

pub use action::{
    CallerError, CallerReply, DispatchOrder, ErrorKind, PeerEndpoint, ResumePoint, RouterAction,
    RunOutcome, StateChange,
};
pub use event::{
    AttemptReport, CacheBatch, CacheEvent, LoadReport, RequestArrival, RouterEvent, VmListing,
    VmState,
};
pub use fleet::FleetSettings;
pub use message::{LoadUpdate, PeerMessage};
pub use placement::PlacementSettings;
pub use state::{RouterSettings, RouterState};
pub use status::PolledTarget;
