//! Connections to targets through a peer, for a router that has lost its own links to them.
//!
//! The router opens a TCP connection to the peer, names the target, and then uses the connection as if it led to the target.
//! All decisions on the request stay with the router: the peer only copies bytes, and it connects to the target directly or
//! not at all, so that there is one hop at most. A connection that breaks on either side of the peer is a broken connection
//! to the target.
//!
//! The target is named by its name and the start of its run rather than by an address, so that a peer connects only to targets
//! that it lists.

mod dial;
mod serve;
mod stream;

use godwitroad_base::TargetName;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

pub(crate) use dial::{TargetDialer, record_direct};
pub(crate) use serve::serve_peers;

/// A `Result` with an [`OpeningError`].
type Result<T> = std::result::Result<T, OpeningError>;

/// The version of the protocol. An opening of another version is refused.
const PROTOCOL_VERSION: u8 = 1;

/// The size limit of an encoded [`RelayOpening`].
const MAX_OPENING_BYTES: usize = 512;

/// The first message on a connection to a peer: the target to connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RelayOpening {
    target: TargetName,
    /// The start of the target's run, in Unix milliseconds.
    started_ms: u64,
    /// The id of the request for which the connection is opened.
    request: String,
}

/// The peer's one-byte answer to an opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OpeningAnswer {
    /// The target is connected; its bytes follow.
    Connected,
    /// The peer can't connect to the target.
    Unreachable,
    /// The peer doesn't list this run of the target, or has lost its own path to it.
    Unknown,
    /// The peer relays as many connections as it can.
    Busy,
    /// The opening can't be read or has another version.
    Malformed,
    /// The sender isn't known as a router.
    Stranger,
}

/// Why an opening can't be read.
#[derive(Debug, thiserror::Error)]
enum OpeningError {
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("version {0} is not supported")]
    Version(u8),
    #[error("an opening of {0} bytes is too large")]
    TooLarge(usize),
    #[error("the opening can't be decoded: {0}")]
    Encoding(#[from] postcard::Error),
}

impl RelayOpening {
    /// Returns the encoded opening, or `None` if it is too large.
    fn encode(&self) -> Option<Vec<u8>> {
        let payload = postcard::to_extend(self, Vec::new()).ok()?;
        if payload.len() > MAX_OPENING_BYTES {
            return None;
        }
        let length = u16::try_from(payload.len()).ok()?.to_be_bytes();
        Some([&[PROTOCOL_VERSION][..], &length, &payload].concat())
    }

    /// Reads an opening.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends early or the opening is of another version, too large or unreadable.
    async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<RelayOpening> {
        let version = stream.read_u8().await?;
        if version != PROTOCOL_VERSION {
            return Err(OpeningError::Version(version));
        }
        let length = usize::from(stream.read_u16().await?);
        if length > MAX_OPENING_BYTES {
            return Err(OpeningError::TooLarge(length));
        }
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload).await?;
        let (opening, rest) = postcard::take_from_bytes(&payload)?;
        if !rest.is_empty() {
            return Err(OpeningError::Encoding(postcard::Error::DeserializeBadEncoding));
        }
        Ok(opening)
    }
}

impl OpeningAnswer {
    const ALL: [OpeningAnswer; 6] = [
        OpeningAnswer::Connected,
        OpeningAnswer::Unreachable,
        OpeningAnswer::Unknown,
        OpeningAnswer::Busy,
        OpeningAnswer::Malformed,
        OpeningAnswer::Stranger,
    ];

    fn code(self) -> u8 {
        self as u8
    }

    fn from_code(code: u8) -> Option<OpeningAnswer> {
        OpeningAnswer::ALL.into_iter().find(|answer| answer.code() == code)
    }

    /// Returns the name of the counter of such answers.
    fn counter(self) -> &'static str {
        match self {
            OpeningAnswer::Connected => "relays.served",
            OpeningAnswer::Unreachable => "relays.refused.unreachable",
            OpeningAnswer::Unknown => "relays.refused.unknown",
            OpeningAnswer::Busy => "relays.refused.busy",
            OpeningAnswer::Malformed => "relays.refused.malformed",
            OpeningAnswer::Stranger => "relays.refused.stranger",
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/relay.rs"]
mod tests;
