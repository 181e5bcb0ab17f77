//! The tarpc service and the shapes that it carries.
//!
//! A message travels as CBOR inside the bincode frame. CBOR describes itself, so that a release can skip a field or
//! a kind that it doesn't know, which bincode alone can't. JSON would do so too, but writes a byte string as a list of
//! decimal numbers, at up to four times its size, and can't write a map whose keys aren't text.

use godwitroad_base::NodeId;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The newest protocol version that this release speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message that can be sent between routers.
pub trait PeerPayload: DeserializeOwned + Send + Serialize + 'static {
    /// Returns the kind under which the message's bytes are counted.
    fn kind(&self) -> &'static str;
}

/// A message with its sender, as it reaches the receiving router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope<M> {
    /// The protocol version that the link agreed on.
    pub version: u32,
    /// The sender, as it identified itself in the handshake.
    pub from: NodeId,
    /// The message.
    pub message: M,
}

/// The messages of one delivery, each encoded as CBOR.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct WireBatch {
    pub(crate) messages: Vec<Vec<u8>>,
}

/// The service that each router offers to its peers.
#[tarpc::service]
pub(crate) trait PeerLink {
    /// Takes a batch of messages; the answer only confirms receipt.
    async fn deliver(batch: WireBatch);
}
