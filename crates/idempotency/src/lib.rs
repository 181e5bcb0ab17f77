//! Idempotency claims for requests that run at most once.
//!
//! A request that must not be repeated runs only after its idempotency key is claimed in the store. If several routers
//! receive the same key, only one of them obtains the claim. The claim outlives the routers' processes, so that no
//! restart can run a request twice. Claims are written in batches, because the store handles far fewer writes than the
//! fleet handles requests.

mod attempt;
mod body_cache;
mod key;
mod merge;
mod message;
mod plan;
mod queue;
mod record;
mod settings;
pub mod sim;
mod sim_checker;
mod sim_settings;
mod table;
mod view;
mod writer;

pub use key::{ClaimHash, RequestDigest};
pub use merge::{ClaimEntry, ClaimOperation, ClaimReply, MergeChange, merge};
pub use message::ClaimMessage;
pub use record::{AnswerRecord, ClaimRecord, ClaimState, RecordError, Result, SliceValue};
pub use settings::{ClaimCounters, ClaimSettings};
pub use sim_checker::HistoryReport;
pub use table::{ClaimAction, ClaimDecision, ClaimEvent, ClaimOutcome, ClaimTable, KeyState};
