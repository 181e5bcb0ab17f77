//! Fleet-wide token rates and bursts.
//!
//! For every window of time, the tokens admitted over all VMs stay within burst + rate × length, under any fault.
//! [`ZoneShare`] divides an account's limits over the zones in the store, [`RateHolder`] keeps the bucket of each
//! active account of a zone, and [`RateSpender`] admits requests from prepaid tokens. [`RateNode`] joins the three
//! for one router. `docs/notes/rates.md` has the argument why the bound holds.

mod bucket;
mod demand;
mod handoff;
mod holder;
mod message;
mod node;
mod plan;
mod prepaid;
mod reserve;
mod reserve_table;
mod settings;
mod shard;
mod share;
mod share_events;
mod spender;
mod view;

pub use bucket::RateBucket;
pub use holder::{HolderAction, HolderCounters, HolderEvent, RateHolder};
pub use message::{
    AccountGrant, AccountReport, AccountRequest, AccountReserve, HandoffBucket, RateAction,
    RateEvent, RateMessage, RateTable, SpendEvent,
};
pub use node::{RateCounters, RateNode};
pub use settings::{GRANT_TTL_MS, RateSettings, SHARE_SHARDS};
pub use shard::{RateRow, Result, ShardClaim, ShardError, ShardValue, ShareRecord, shard_of};
pub use share::ZoneShare;
pub use share_events::{ShareAction, ShareEvent};
pub use spender::{RateSpender, SpenderAction, SpenderCounters, SpenderEvent};
pub use view::{OwnershipView, ShardView, shard_key};
