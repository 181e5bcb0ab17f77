//! Zone membership: heartbeats, rosters, ownership and terms.
//!
//! Every router of an availability zone must agree on which VM holds which key, without a consensus group of the
//! project's own. The roster lives in the platform's store and changes only by CAS; the term bounds the time for
//! which a router may act on a roster that it can't confirm any more. `docs/notes/membership.md` has the argument.

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
