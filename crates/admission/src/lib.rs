//! Decides which requests a router places or refuses while a service's capacity is short.
//!
//! A request is admitted if the estimated backlog of its cheapest candidate leaves time to serve it within its latency
//! objective. A less urgent request must also leave room for more urgent ones that the router has seen lately, and an account
//! that asks for more than its even part of the fleet's work is admitted at a smaller backlog. A fixed part of the requests,
//! drawn by their ids, is exempt from both rules, so that no kind of request and no account starves. Others are refused at once
//! with a time to return, and a place is reserved for a caller of the account then.
//!
//! No request waits in the router. In the load tests ([`sim`]) a waiting place, asked again every 20 ms or once, lowers the
//! share of requests served in time by 2 to 19 in 100, as a router that tries again until a target looks free picks the one
//! whose load it underestimates most. For the same reason candidates are [`CANDIDATES`] random targets rather than all.
//!
//! The crate is deterministic and does no I/O: its caller passes in the time, the estimates and random numbers.

mod control;
mod returns;
mod settings;
mod shares;
pub mod sim;

pub use control::{AdmissionControl, AdmissionLimit, AdmissionRequest, TargetEstimate};

/// The number of random candidates for a request. Routers learn of their peers' work up to 600 ms late; if all chose the
/// best of all targets, those that look free would get the requests of all routers at once.
pub const CANDIDATES: usize = 2;

pub use settings::{AdmissionSettings, SettingsError};
pub use shares::AccountDemand;
