//! The lease as it stands in the store.

use godwitroad_base::NodeId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of reading a record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// The value of a service's lease.
///
/// The lease has no end time in it, as the clocks of two VMs are never compared. A router that sees the value
/// unchanged for the length of the lease on its own clock knows that the holder's lease has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: NodeId,
    /// The fencing number; it grows with each new holder.
    pub fence: u64,
    /// The number of renewals, which makes each write of the value different.
    pub renewal: u64,
}

/// The value of a lease can't be read.
#[derive(Debug, Error)]
#[error("the lease record is malformed: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl LeaseRecord {
    /// Returns the record as it is written to the store.
    ///
    /// # Panics
    ///
    /// Never panics: strings and numbers always serialize.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record of strings and numbers is valid JSON")
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns an error when `bytes` are not a record.
    pub fn decode(bytes: &[u8]) -> Result<LeaseRecord> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
