//! The router daemon: I/O adapters around the deterministic state machine of `godwitroad_router`.
//!
//! One thread owns the decision state and is the only one to call it. All other modules translate between sockets and
//! the state's events and actions. Adapters make no routing decisions: which request runs where, and when, depends only
//! on the state. [`app::start`] runs a complete daemon inside any process, on listeners that the process has bound.

mod admin;
pub mod app;
pub mod decision;
mod event_loop;
mod http_client;
pub mod intake;
mod peering;
mod reply;
pub mod settings;
pub mod store;
pub mod target;
mod telemetry;
mod tls;
mod vm_list;
