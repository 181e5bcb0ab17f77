//! Authenticated message links between routers, over tarpc.
//!
//! The crate is transport only: it authenticates the other router, negotiates a protocol version, delivers batches of
//! messages, and counts bytes by kind and region. It doesn't depend on the content of the messages; any type that
//! implements [`PeerPayload`] can be sent.
//!
//! All messages are one-way. If a queue is full, its oldest message is dropped so that the sender never blocks. The
//! component that sent it repairs the loss with the message of its next period.

mod backoff;
mod counters;
mod error;
mod handshake;
mod hub;
mod link;
mod queue;
mod secret;
mod server;
mod settings;
mod wire;

pub use backoff::RetryBackoff;
pub use counters::{CounterRow, LinkScope, PeerCounters};
pub use error::{PeerError, Result};
pub use hub::PeerHub;
pub use queue::{DroppedMessage, MessageQueue};
pub use secret::PeerSecret;
pub use server::PeerServer;
pub use settings::{PeerAddress, PeerSettings, VersionRange};
pub use wire::{PROTOCOL_VERSION, PeerEnvelope, PeerPayload};
