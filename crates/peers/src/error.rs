//! The error type of the links between routers.

use std::io;

use thiserror::Error;

/// The reason why a link to a peer isn't usable.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PeerError {
    /// The connection failed.
    #[error("connection to the peer failed: {0}")]
    Connection(#[from] io::Error),
    /// The peer sent a handshake frame that is too long or can't be decoded.
    #[error("malformed handshake frame")]
    Malformed,
    /// The peer's message authentication code is wrong, or the peer is another VM than the one expected.
    #[error("the peer could not be authenticated")]
    Unauthenticated,
    /// The two sides have no protocol version in common.
    #[error("no common protocol version: this router supports {own}, the peer {other}")]
    VersionMismatch {
        /// The versions that this router supports.
        own: crate::VersionRange,
        /// The versions that the peer supports.
        other: crate::VersionRange,
    },
    /// Connecting or the handshake took longer than the timeout.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer closed the link or rejected a batch.
    #[error("delivery failed: {0}")]
    Delivery(String),
    /// The operating system provided no random bytes for the nonce.
    #[error("no random bytes available for the handshake")]
    NoRandomness,
}

/// The result of an operation on a link.
pub type Result<T> = std::result::Result<T, PeerError>;
