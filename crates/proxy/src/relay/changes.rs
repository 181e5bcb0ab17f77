//! Reads changes of the store from a peer that has them.

use std::time::Duration;

use godwitroad_base::StoreRevision;
use godwitroad_forward::{ChangePiece, MAX_CHANGES_BYTES, RelayPeer};
use tokio::time::timeout;

use super::{
    RelayOpening,
    answer::{self, AnswerError},
    hedge::ask_peers,
};
use crate::{core::SharedCore, platform::PlatformAdapter};

/// The time limit for one peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The size limit of encoded changes: their bodies, and the revisions and lengths beside them.
const MAX_ENCODED_BYTES: usize = MAX_CHANGES_BYTES + 8 * 1024;

/// An encoded [`ChangePiece`].
type EncodedPiece = (StoreRevision, StoreRevision, Vec<u8>);

/// Why a peer gave no changes.
#[derive(Debug, thiserror::Error)]
enum ChangesError {
    #[error("{0}")]
    Answer(#[from] AnswerError),
    #[error("the changes can't be decoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// A `Result` with a [`ChangesError`].
type Result<T> = std::result::Result<T, ChangesError>;

/// Reads the changes after a revision from the first of some peers that hands them on.
pub(crate) async fn read_changes<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peers: &[RelayPeer],
    after: StoreRevision,
) -> Option<Vec<ChangePiece>> {
    ask_peers(peers, |peer| ask_peer(core.clone(), peer, after)).await
}

async fn ask_peer<P: PlatformAdapter>(
    core: SharedCore<P>,
    peer: RelayPeer,
    after: StoreRevision,
) -> Option<Vec<ChangePiece>> {
    let asked = timeout(PEER_TIMEOUT, read_from(&core, &peer, after)).await;
    match asked.unwrap_or(Err(AnswerError::TimeOver.into())) {
        Ok(pieces) => {
            core.metrics.count("changes.read", 1);
            Some(pieces)
        }
        Err(error) => {
            core.metrics.count("changes.failed", 1);
            let detail = format!("peer={} after={after} error={error}", peer.vm);
            core.log.event("changes_not_read", &detail);
            None
        }
    }
}

async fn read_from<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peer: &RelayPeer,
    after: StoreRevision,
) -> Result<Vec<ChangePiece>> {
    let opening = RelayOpening::Changes(after);
    decode(&answer::request(core, peer, &opening, MAX_ENCODED_BYTES).await?)
}

/// Encodes the peer's answer, or returns `None` if it is too large.
pub(super) fn encode(pieces: &[ChangePiece]) -> Option<Vec<u8>> {
    let pieces: Vec<EncodedPiece> =
        pieces.iter().map(|piece| (piece.after, piece.upto, piece.body.to_vec())).collect();
    let payload = postcard::to_extend(&pieces, Vec::new()).ok()?;
    answer::encode(&payload, MAX_ENCODED_BYTES)
}

fn decode(payload: &[u8]) -> Result<Vec<ChangePiece>> {
    let (pieces, rest): (Vec<EncodedPiece>, _) = postcard::take_from_bytes(payload)?;
    if !rest.is_empty() {
        return Err(ChangesError::Encoding(postcard::Error::DeserializeBadEncoding));
    }
    let pieces = pieces.into_iter();
    Ok(pieces.map(|(after, upto, body)| ChangePiece { after, upto, body: body.into() }).collect())
}

#[cfg(test)]
#[path = "../../tests/unit/changes.rs"]
mod tests;
