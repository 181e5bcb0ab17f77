//! Connections to targets and to the store through a peer, for a router that has lost its own links to them.
//!
//! The router opens a TCP connection to the peer, names the target, and then uses the connection as if it led to the target.
//! All decisions on the request stay with the router: the peer only copies bytes, and it connects to the target directly or
//! not at all, so that there is one hop at most. A connection that breaks on either side of the peer is a broken connection
//! to the target.
//!
//! The target is named by its name and the start of its run rather than by an address, so that a peer connects only to targets
//! that it lists. For the store, each router has the address in its own settings.
//!
//! A router also asks peers for the changes of the store that they have read, and for their configuration, which takes no
//! call to the store.

mod answer;
mod changes;
mod config;
mod dial;
mod hedge;
mod serve;
mod store;
mod stream;

use godwitroad_base::{StoreRevision, TargetName};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt};

pub(crate) use changes::read_changes;
pub(crate) use config::read_config;
pub(crate) use dial::{TargetDialer, record_direct};
pub(crate) use serve::serve_peers;
pub(crate) use store::call_store;

/// A `Result` with an [`OpeningError`].
type Result<T> = std::result::Result<T, OpeningError>;

/// The first byte of an opening to a target. An opening that begins with an unknown byte is refused.
const TARGET_OPENING: u8 = 1;

/// The first byte of an opening to the store.
const STORE_OPENING: u8 = 2;

/// The first byte of an opening that asks for changes of the store. Routers of an earlier build refuse it.
const CHANGES_OPENING: u8 = 3;

/// The first byte of an opening that asks for the configuration. Routers of an earlier build refuse it.
const CONFIG_OPENING: u8 = 4;

/// The size limit of an encoded [`TargetOpening`].
const MAX_OPENING_BYTES: usize = 512;

/// The first message on a connection to a peer: what to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
enum RelayOpening {
    /// A target.
    Target(TargetOpening),
    /// The store.
    Store,
    /// No connection; the peer itself answers with the store's changes after this revision.
    Changes(StoreRevision),
    /// No connection; the peer itself answers with its configuration if that is newer than this version.
    Config(u64),
}

/// The run of a target to connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct TargetOpening {
    target: TargetName,
    /// The start of the target's run, in Unix milliseconds.
    started_ms: u64,
    /// The id of the request for which the connection is opened.
    request: String,
}

/// The peer's one-byte answer to an opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OpeningAnswer {
    /// The target or the store is connected; its bytes follow.
    Connected,
    /// The peer can't connect to it.
    Unreachable,
    /// The peer doesn't list this run of the target, or has lost its own path to the target or the store.
    Unknown,
    /// The peer relays as many connections as it can.
    Busy,
    /// The opening can't be read or is of an unknown kind.
    Malformed,
    /// The sender isn't known as a router.
    Stranger,
}

/// Why an opening can't be read.
#[derive(Debug, thiserror::Error)]
enum OpeningError {
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("the kind {0} is unknown")]
    Kind(u8),
    #[error("an opening of {0} bytes is too large")]
    TooLarge(usize),
    #[error("the opening can't be decoded: {0}")]
    Encoding(#[from] postcard::Error),
}

impl RelayOpening {
    /// Returns the encoded opening, or `None` if it is too large.
    fn encode(&self) -> Option<Vec<u8>> {
        let (kind, payload) = match self {
            RelayOpening::Target(opening) => {
                (TARGET_OPENING, postcard::to_extend(opening, Vec::new()).ok()?)
            }
            RelayOpening::Store => (STORE_OPENING, Vec::new()),
            RelayOpening::Changes(after) => {
                (CHANGES_OPENING, postcard::to_extend(after, Vec::new()).ok()?)
            }
            RelayOpening::Config(version) => {
                (CONFIG_OPENING, postcard::to_extend(version, Vec::new()).ok()?)
            }
        };
        if payload.len() > MAX_OPENING_BYTES {
            return None;
        }
        let length = u16::try_from(payload.len()).ok()?.to_be_bytes();
        Some([&[kind][..], &length, &payload].concat())
    }

    /// Reads an opening.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends early or the opening is of an unknown kind, too large or unreadable.
    async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<RelayOpening> {
        let kind = stream.read_u8().await?;
        let max_length = match kind {
            TARGET_OPENING | CHANGES_OPENING | CONFIG_OPENING => MAX_OPENING_BYTES,
            STORE_OPENING => 0,
            other => return Err(OpeningError::Kind(other)),
        };
        let length = usize::from(stream.read_u16().await?);
        if length > max_length {
            return Err(OpeningError::TooLarge(length));
        }
        if kind == STORE_OPENING {
            return Ok(RelayOpening::Store);
        }
        let mut payload = vec![0; length];
        stream.read_exact(&mut payload).await?;
        match kind {
            CHANGES_OPENING => decode_whole(&payload).map(RelayOpening::Changes),
            CONFIG_OPENING => decode_whole(&payload).map(RelayOpening::Config),
            _ => decode_whole(&payload).map(RelayOpening::Target),
        }
    }
}

// Decodes a payload that must have no other bytes.
fn decode_whole<T: DeserializeOwned>(payload: &[u8]) -> Result<T> {
    let (value, rest) = postcard::take_from_bytes(payload)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(OpeningError::Encoding(postcard::Error::DeserializeBadEncoding))
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
