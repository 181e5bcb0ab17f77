//! Distribution of the accepted configuration to the routers on all VMs.
//!
//! Operators write the configuration to the store as immutable chunks and one head, which lists them. Two VMs of each
//! zone watch the head; the others learn of a new generation from their peers and download the missing data from them.
//! The store and the links between regions therefore transfer each change once per zone and not once per VM.

mod apply;
mod contact;
mod fetch;
mod head;
mod machine;
mod message;
mod peer_exchange;
mod progress;
mod settings;
pub mod sim;
mod sim_checker;
mod sim_settings;
mod startup;
mod store_reads;

pub use apply::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ConfigApply};
pub use head::{
    ChangeId, ChangeLogEntry, ChunkDigest, HeadError, Result, SyncHead, assemble, chunk_key,
    head_key,
};
pub use machine::{ConfigSync, SyncAction, SyncEvent};
pub use message::{SyncMessage, SyncStatus};
pub use progress::ZoneProgress;
pub use settings::{SyncCounters, SyncSettings};
pub use startup::ReadySource;
