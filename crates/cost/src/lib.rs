//! Estimates what a request costs at each target: the time to its first event, pauses, and its run time.
//!
//! Estimates start from the constants of the targets' data sheets. [`CostModel`] scales them by what it learns of each
//! target: a long-term factor, the present pace, and how long the target has been silent. Routers share these figures by
//! gossip ([`PaceEntry`]), as each of them alone sends a target only a request every few seconds.
//!
//! The crate has no I/O and reads no clock; no result depends on the order of a hash map.

mod entry;
mod error;
mod lengths;
mod model;
mod record;
mod sheet;

pub use entry::PaceEntry;
pub use error::EstimateError;
pub use model::{CostModel, SentRequest};
pub use sheet::{CostEstimate, CostSettings, EngineSize, RequestSize, TargetWork};
