//! Distribution of the accepted configuration to every VM.
//!
//! Operators write the configuration to the store as immutable chunks and one head value. Two VMs of each zone watch
//! the head; the others learn of a new generation from their peers and fetch what they miss from them, so that the
//! store and the links between regions carry each change once for a zone and not once for a VM.

mod apply;
mod contact;
mod duty;
mod fetch;
mod head;
mod machine;
mod message;
mod progress;
mod serve;
mod settings;
pub mod sim;
mod sim_judge;
mod sim_settings;
mod startup;

pub use apply::{ApplyAction, ApplyEvent, ApplyResult, ApplySettings, ConfigApply};
pub use head::{
    ChangeId, ChangeNote, ChunkDigest, HeadError, Result, SyncHead, assemble, chunk_key, head_key,
};
pub use machine::{ConfigSync, SyncAction, SyncEvent};
pub use message::{SyncMessage, SyncStatus};
pub use progress::ZoneProgress;
pub use settings::{SyncCounters, SyncSettings};
pub use startup::ReadySource;
