//! The deterministic state machine of a router.
//!
//! [`RouterState`] combines the state machines of all subsystems (membership, configuration sync, limits, idempotency
//! claims, the prefix index, queues and the placement of requests) behind one event type, [`RouterEvent`], and one
//! action type, [`RouterAction`]. It performs no I/O. Time comes with each event and all randomness from a seed, so
//! the same seed and the same events always produce the same actions.

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
mod origin;
mod placement;
mod quarantine;
mod refusal;
mod request;
mod silence;
mod state;
mod status;
mod stop;
mod view;

pub use action::{
    CallerError, CallerReply, DispatchOrder, ErrorKind, PeerEndpoint, ResumePoint, RouterAction,
    RunOutcome, StateChange,
};
pub use event::{
    AttemptReport, CacheBatch, CacheEvent, LoadReport, MAX_BUILD_BYTES, RequestArrival,
    RouterEvent, VmListing, VmState,
};
pub use fleet::FleetSettings;
pub use godwitroad_quarantine::RequestDigest;
pub use godwitroad_stream::StreamOrigin;
pub use message::{LoadUpdate, PeerMessage};
pub use placement::PlacementSettings;
pub use state::{RouterSettings, RouterState};
pub use status::PolledTarget;
