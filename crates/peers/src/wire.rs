//! The tarpc service between routers and the format of its messages.
//!
//! A message is encoded as CBOR inside a bincode frame. CBOR is self-describing, so that a release can skip fields and
//! kinds of messages that it doesn't know, which isn't possible with bincode alone. JSON is self-describing too, but it
//! encodes a byte string as a list of decimal numbers, at up to four times the size, and only supports maps with text
//! keys.

use godwitroad_base::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The newest protocol version that this release supports.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message that can be sent between routers.
pub trait PeerPayload: DeserializeOwned + Send + Serialize + 'static {
    /// Returns the kind of the message, which names its counters in metrics.
    fn kind(&self) -> &'static str;
}

/// A received message with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope<M> {
    /// The protocol version that was negotiated for the link.
    pub version: u32,
    /// The identity that the sender gave in the handshake.
    pub from: NodeId,
    /// The message.
    pub message: M,
}

/// The messages of one delivery, each of them encoded as CBOR.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct WireBatch {
    pub(crate) messages: Vec<Vec<u8>>,
}

/// The service that each router provides to its peers.
#[tarpc::service]
pub(crate) trait PeerLink {
    /// Receives a batch of messages. The reply only confirms receipt.
    async fn deliver(batch: WireBatch);
}
