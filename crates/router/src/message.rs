//! Messages between routers.

use serde::{Deserialize, Serialize};

/// A message from one router to another.
///
/// All messages are one-way. A lost message is repaired by the next period of the part that sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum PeerMessage {
    /// A kind that this release doesn't know; it is counted and dropped.
    #[serde(other)]
    Unknown,
}
