//! Distributed index of the prompt prefixes that engines have cached.
//!
//! An engine produces its first token sooner when it has the prefix of a prompt in its cache. Engines cache prompts
//! in blocks of fixed length. [`PrefixChain`] hashes the blocks of a prompt, [`EventFeed`] puts the cache events of
//! an engine in order, [`PrefixIndex`] records which target caches which blocks, and [`IndexShard`] distributes the
//! entries over the routers of an availability zone.

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
