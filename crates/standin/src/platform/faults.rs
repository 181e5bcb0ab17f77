//! Fault switches and call counters of the platform.

use serde::{Deserialize, Serialize};

/// The faults of the platform; the default has none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether connections to the key-value service end without an answer or an effect.
    pub down: bool,
    /// The time by which each answer of the key-value service is delayed, in milliseconds.
    pub slow_ms: u64,
    /// The number of writes whose answer is lost after the write took effect.
    pub lose_answers: u32,
    /// Whether the VM list is unavailable.
    pub vms_down: bool,
}

/// The calls that the key-value service took, by kind; a pending watch counts as one call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounters {
    /// Reads.
    pub range: u64,
    /// Unconditional writes.
    pub put: u64,
    /// Unconditional removals.
    pub delete_range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases granted.
    pub lease_grant: u64,
    /// Lease renewals.
    pub lease_keepalive: u64,
    /// Leases revoked.
    pub lease_revoke: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// The bytes of all requests to the key-value service.
    pub bytes_in: u64,
    /// The bytes of all unary answers of the key-value service.
    pub bytes_out: u64,
}

impl CallCounters {
    /// Returns the number of calls to the key-value service.
    pub fn total(&self) -> u64 {
        self.range
            + self.put
            + self.delete_range
            + self.txn
            + self.lease_grant
            + self.lease_keepalive
            + self.lease_revoke
            + self.watch
    }
}
