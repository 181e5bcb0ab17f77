//! Membership of an availability zone: heartbeats, rosters, key ownership and lease terms.
//!
//! All routers of a zone must agree on which VM holds which key, without running a consensus group of their own. The
//! roster is a value in the platform's store and changes only by compare-and-swap. A lease term bounds the time for
//! which a router may act on a roster that it can no longer confirm. `docs/notes/membership.md` explains why this is
//! safe.

mod message;
mod peer;
mod roster;
mod settings;
mod store_calls;
mod table;
mod term;

pub use message::{
    Heartbeat, HeartbeatEcho, MemberAction, MemberEvent, MemberMessage, MemberReport, NodeSummary,
    VmListing, VmState,
};
pub use peer::PeerHealth;
pub use roster::{PastRoster, Result, Roster, RosterError, RosterMember};
pub use settings::{
    CLOCK_DRIFT_PPM, HOLD_TERM_MS, MemberSettings, TERM_MARGIN_MS, max_drifted_span,
    min_drifted_span,
};
pub use table::{MemberCounters, MemberTable};
