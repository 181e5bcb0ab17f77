//! Messages between routers over tarpc.
//!
//! The crate moves messages and decides nothing: it authenticates the other router, agrees on a protocol version,
//! delivers batches, and counts bytes by kind and region. It doesn't know the variants of the messages; any type
//! that implements [`PeerPayload`] can be sent. All messages are one-way, so a full queue drops its oldest message
//! instead of blocking the sender: the sending part repairs the loss in its next period.

mod backoff;
mod counters;
mod error;
mod hello;
mod hub;
mod link;
mod proof;
mod queue;
mod server;
mod settings;
mod wire;

pub use backoff::RetryBackoff;
pub use counters::{CounterRow, LinkScope, PeerCounters};
pub use error::{PeerError, Result};
pub use hub::PeerHub;
pub use proof::PeerSecret;
pub use queue::{MessageQueue, QueueDrop};
pub use server::PeerServer;
pub use settings::{PeerAddress, PeerSettings, VersionRange};
pub use wire::{PROTOCOL_VERSION, PeerEnvelope, PeerPayload};
