//! Client state machine for the platform key-value service.
//!
//! The service offers versioned values, compare-and-swap, leases and watches. It has long outages, and its answer
//! to a write can be lost after the write took effect, so that every caller needs the same care. That care lives
//! here once.

mod port;

pub use port::{
    CallId, KeyVersion, LeaseId, StoreEntry, StoreFailure, StoreKey, StoreOutcome, StoreReply,
    StoreRequest,
};
