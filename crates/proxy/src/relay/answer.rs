//! The answer of a peer that sends something itself, rather than connecting this router to a target or the store.

use godwitroad_forward::RelayPeer;
use tokio::io::{AsyncRead, AsyncReadExt};

use super::{OpeningAnswer, RelayOpening, dial::send_opening};
use crate::{core::SharedCore, platform::PlatformAdapter};

/// Why a peer gave no such answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("the connection to the peer failed: {0}")]
    Connection(#[from] std::io::Error),
    #[error("the peer didn't answer in time")]
    TimeOver,
    #[error("the peer answered {0:?}")]
    Refused(Option<OpeningAnswer>),
    #[error("an answer of {0} bytes is too large")]
    TooLarge(usize),
}

/// A `Result` with an [`AnswerError`].
pub(super) type Result<T> = std::result::Result<T, AnswerError>;

/// Sends an opening to a peer and reads its answer of at most `max_bytes`.
pub(super) async fn request<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peer: &RelayPeer,
    opening: &RelayOpening,
    max_bytes: usize,
) -> Result<Vec<u8>> {
    let opening = opening.encode().expect("a number fits an opening");
    let mut stream = send_opening(core, peer, &opening).await?;
    decode(&mut stream, max_bytes).await
}

/// Encodes an answer, or returns `None` if it has more than `max_bytes`.
pub(super) fn encode(payload: &[u8], max_bytes: usize) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?.to_be_bytes();
    let is_small = payload.len() <= max_bytes;
    is_small.then(|| [&[OpeningAnswer::Connected.code()][..], &length, payload].concat())
}

/// Reads an answer of at most `max_bytes`.
pub(super) async fn decode(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Vec<u8>> {
    let answer = OpeningAnswer::from_code(stream.read_u8().await?);
    if answer != Some(OpeningAnswer::Connected) {
        return Err(AnswerError::Refused(answer));
    }
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(AnswerError::TooLarge(length));
    }
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload).await?;
    Ok(payload)
}
