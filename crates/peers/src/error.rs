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
    /// The peer sent a handshake frame that can't be read.
    #[error("malformed handshake frame")]
    Malformed,
    /// The peer doesn't hold the shared secret.
    #[error("the peer's proof of the shared secret is wrong")]
    Unproven,
    /// Both sides have no protocol version in common.
    #[error("no common protocol version: this side {own}, the peer {other}")]
    Version {
        /// The versions that this side speaks.
        own: crate::VersionRange,
        /// The versions that the peer speaks.
        other: crate::VersionRange,
    },
    /// The handshake or a delivery took too long.
    #[error("the peer did not answer in time")]
    TimedOut,
    /// The peer closed the link or refused a batch.
    #[error("delivery failed: {0}")]
    Delivery(String),
    /// The operating system gave no random bytes for the nonce.
    #[error("no random bytes for the handshake")]
    NoRandomness,
}

/// The result of an operation on a link.
pub type Result<T> = std::result::Result<T, PeerError>;
