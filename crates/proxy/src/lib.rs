//! The forwarding proxy: input and output around the decisions of [`godwitroad_forward`].
//!
//! The proxy accepts callers' requests, forwards them to targets and returns the answers unchanged. It also watches
//! the platform's store, exchanges gossip with the other routers and sends rollout orders to targets. It makes no
//! decisions of its own: each step asks the decision state. A [`platform::PlatformAdapter`] translates between the
//! platform's headers, keys and calls and the types used here.

mod answer;
mod caller_activity;
mod caller_budget;
mod caller_stream;
pub mod client;
mod config_sync;
mod core;
mod feeds;
mod gossip;
mod order_lease;
mod orders;
mod origins;
pub mod platform;
mod relay;
mod request_scan;
mod run;
mod serve;
mod settings;
mod store;
mod supervision;
pub mod telemetry;

pub use caller_budget::CallerBounds;
pub use run::run;
pub use settings::ProxySettings;
