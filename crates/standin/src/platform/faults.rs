//! Faults that can be injected into the platform, and its call counters.

use serde::{Deserialize, Serialize};

/// The active faults of the platform; the default has none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether calls to the key-value service have no effect and their connections close without an answer.
    pub down: bool,
    /// The delay before each call to the key-value service is executed, in milliseconds; watches aren't delayed.
    pub slow_ms: u64,
    /// The number of upcoming writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Whether requests for the VM list are closed without an answer.
    pub vms_down: bool,
}

/// The number of calls to the platform by kind; a watch counts as one call, however long it lasts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounters {
    /// Range reads outside of transactions.
    pub range: u64,
    /// Unconditional writes of one key.
    pub put: u64,
    /// Unconditional removals of a key or a range of keys.
    pub delete_range: u64,
    /// Transactions, whether their comparisons succeeded or not.
    pub txn: u64,
    /// Requests to grant a lease.
    pub lease_grant: u64,
    /// Requests to renew a lease.
    pub lease_keepalive: u64,
    /// Requests to revoke a lease.
    pub lease_revoke: u64,
    /// Requests to open a watch.
    pub watch: u64,
    /// Requests for the VM list that were answered.
    pub vms: u64,
    /// The total size of the request bodies to the key-value service.
    pub bytes_in: u64,
    /// The total size of the successful response bodies of the key-value service, without watches.
    pub bytes_out: u64,
}

impl CallCounters {
    /// Returns the number of calls to the key-value service, without requests for the VM list.
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
