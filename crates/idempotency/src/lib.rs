//! Idempotency claims for requests that run at most once.
//!
//! A request that must not be repeated runs only after its idempotency key is claimed in the store. The claim decides
//! between routers that were sent the same key, and it outlives all of them, so that no restart can run a request
//! twice. Claims are written in batches, because the store takes far fewer writes than the fleet takes requests.

mod attempt;
mod bodies;
mod key;
mod merge;
mod message;
mod plan;
mod record;
mod settings;
pub mod sim;
mod sim_judge;
mod sim_settings;
mod table;
mod view;
mod waiters;
mod writer;

pub use key::{ClaimHash, RequestDigest};
pub use merge::{ClaimEntry, ClaimReply, ClaimWork, MergeChange, merge};
pub use message::ClaimMessage;
pub use record::{AnswerRecord, ClaimRecord, ClaimState, RecordError, Result, SliceValue};
pub use settings::{ClaimCounters, ClaimSettings};
pub use sim_judge::HistoryReport;
pub use table::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOutcome, ClaimTable, KeyState};
