//! Distributed rate limiting of client accounts.
//!
//! For every window of time, the tokens admitted by all VMs together stay within burst + rate × length, under any
//! fault. [`ZoneShare`] divides an account's limits among the zones by means of records in the store, [`RateHolder`]
//! keeps a zone's token bucket for each active account, and [`RateSpender`] admits requests from prepaid tokens.
//! [`RateNode`] combines the three for one router. `docs/notes/rates.md` explains why the bound holds.

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
