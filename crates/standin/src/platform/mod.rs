//! The platform: the key-value service and the VM list.

mod core;
mod faults;
mod schema;
mod server;
mod store;
mod watch;

pub use faults::{CallCounters, PlatformFaults};
pub use server::PlatformServer;
pub use store::{KeyValue, KvStore, StoreChange, StoreError};
