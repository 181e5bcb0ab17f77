//! Prompt blocks and the index of cached prefixes.
//!
//! An engine answers sooner when the start of a prompt is still in its prefix cache. This crate knows which
//! engine holds which blocks: [`PrefixChain`] names the blocks of a prompt, [`EventFeed`] puts an engine's cache
//! events in order, [`PrefixIndex`] holds the entries and [`IndexShard`] divides them over the routers of a zone.

mod chain;
mod epoch;
mod feed;
mod index;
mod lookup;
mod matches;
mod message;
mod reader;
mod repair;
mod shard;
mod table;
mod wire;

pub use chain::{BLOCK_BYTES, BlockHash, ChainSalt, PrefixChain};
pub use feed::{CacheChange, EventFeed, FeedAction, FeedBatch, FeedSettings};
pub use index::PrefixIndex;
pub use matches::{IndexCounters, IndexSettings, PrefixMatches, TargetId};
pub use message::{
    LookupSource, ShardAction, ShardCounters, ShardEvent, ShardMessage, ShardSettings, TargetMatch,
};
pub use shard::IndexShard;
pub use wire::{EntryBatch, EntryOp, Error, Result, TargetEntries, TargetTag};
