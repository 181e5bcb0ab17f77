//! The forwarding proxy around the decisions of [`godwitroad_forward`].
//!
//! The proxy takes callers' requests, sends them to targets and returns the answers unchanged; it watches the
//! platform's store, exchanges notes with the other routers and carries orders out. It decides nothing: each step
//! asks the decision state. What a platform calls its headers and keys is translated by a [`port::PlatformPort`].

mod answer;
pub mod client;
mod core;
mod feeds;
mod gossip;
mod order_lease;
mod orders;
pub mod port;
mod run;
mod serve;
mod settings;
mod store;
pub mod telemetry;

pub use run::run;
pub use settings::ProxySettings;
