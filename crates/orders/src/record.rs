//! The lease record in the store.

use godwitroad_base::NodeId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The result of decoding a lease record.
pub type Result<T> = std::result::Result<T, RecordError>;

/// The stored value of a service's lease.
///
/// It holds no expiry time, because the clocks of two VMs are never compared. If a router sees the value unchanged for
/// the length of the lease on its own clock, the holder's lease has expired.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The process that holds the lease.
    pub holder: NodeId,
    /// The fencing number; it increases with each new holder.
    pub fence: u64,
    /// The number of renewals, which makes each write of the value different.
    pub renewal: u64,
}

/// The error of a lease record that can't be decoded.
#[derive(Debug, Error)]
#[error("the lease record is malformed: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl LeaseRecord {
    /// Encodes the record as JSON.
    ///
    /// # Panics
    ///
    /// Never panics: strings and numbers always serialize.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record of strings and numbers is valid JSON")
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not the JSON text of a record.
    pub fn decode(bytes: &[u8]) -> Result<LeaseRecord> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
