//! Share shards: the stored division of accounts' limits among zones.
//!
//! A shard contains about 200 accounts at full size, so that one compare-and-swap changes many rows while the value
//! stays far below the store's size limit. In each zone one VM holds a shard. It claims the shard in the store before
//! it grants a token. The claim changes the version of the value, so that a delayed write by an earlier holder fails.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, NodeId, ZoneName};
use godwitroad_config::RateConfig;
use godwitroad_store::StoreKey;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::SHARE_SHARDS;

/// The result of decoding a share shard.
pub type Result<T> = std::result::Result<T, ShardError>;

/// Why a stored share shard can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ShardError {
    /// The value is not a valid JSON share shard.
    #[error("the stored share shard is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Identifies a period during which one process holds a shard in its zone.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardClaim {
    /// The process that holds the shard.
    pub node: NodeId,
    /// The number of the claim, which increases by one with each claim of the same zone and shard.
    pub serial: u64,
}

/// A zone's share of an account's limits, and its demand.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateRow {
    /// The rate in tokens per second.
    pub rate: u64,
    /// The burst in tokens.
    pub burst: u64,
    /// The demand of the zone in sixteenths of the account's rate.
    pub demand: u32,
}

/// The limits of one account and their division among zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareRecord {
    /// The newest generation of the configuration that set the limits; an older one must not change them.
    pub generation: u64,
    /// The limits in force; the sum of the rows never exceeds them.
    pub limit: RateConfig,
    /// The row of each zone.
    pub rows: BTreeMap<ZoneName, RateRow>,
}

/// The value of one share shard.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardValue {
    /// The newest claim of each zone.
    pub claims: BTreeMap<ZoneName, ShardClaim>,
    /// The accounts of the shard.
    pub accounts: BTreeMap<AccountName, ShareRecord>,
}

/// Returns the number of the shard that contains `account`.
pub fn shard_of(account: &AccountName) -> u16 {
    (xxh3_64(account.as_str().as_bytes()) % u64::from(SHARE_SHARDS)) as u16
}

impl RateRow {
    /// Returns the smaller rate and the smaller burst of both rows, with the demand of `other`.
    pub fn componentwise_min(self, other: RateRow) -> RateRow {
        RateRow {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
            demand: other.demand,
        }
    }
}

impl ShareRecord {
    /// Returns a record that divides `limit` evenly among `zones`.
    pub fn split_evenly(generation: u64, limit: RateConfig, zones: &[ZoneName]) -> ShareRecord {
        let count = zones.len().max(1) as u64;
        let row = RateRow {
            rate: limit.tokens_per_second / count,
            burst: limit.burst_tokens / count,
            demand: 0,
        };
        let rows = zones.iter().map(|zone| (zone.clone(), row)).collect();
        ShareRecord { generation, limit, rows }
    }

    /// Returns the rate and burst that are not allocated to any row.
    pub fn unallocated(&self) -> RateRow {
        let rate: u64 = self.rows.values().map(|row| row.rate).sum();
        let burst: u64 = self.rows.values().map(|row| row.burst).sum();
        RateRow {
            rate: self.limit.tokens_per_second.saturating_sub(rate),
            burst: self.limit.burst_tokens.saturating_sub(burst),
            demand: 0,
        }
    }

    /// Returns the share of `limit` that `zone` should have, in proportion to the demand of all zones.
    pub fn fair_share(&self, zone: &ZoneName, limit: RateConfig) -> RateRow {
        // One sixteenth is added to the demand of every zone, so that a zone without demand keeps a small row.
        let weight = |row: &RateRow| u64::from(row.demand) + 1;
        let own = self.rows.get(zone).copied().unwrap_or_default();
        let others = self.rows.iter().filter(|(name, _)| *name != zone).map(|(_, row)| weight(row));
        let total = others.sum::<u64>() + weight(&own);
        RateRow {
            rate: proportional(limit.tokens_per_second, weight(&own), total),
            burst: proportional(limit.burst_tokens, weight(&own), total),
            demand: own.demand,
        }
    }
}

fn proportional(whole: u64, weight: u64, total: u64) -> u64 {
    (u128::from(whole) * u128::from(weight) / u128::from(total.max(1))) as u64
}

impl ShardValue {
    /// Returns the key under which shard number `shard` is stored.
    pub fn store_key(shard: u16) -> StoreKey {
        StoreKey::new(format!("share/{shard:03}"))
    }

    /// Decodes a stored share shard.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` is not a valid share shard.
    pub fn decode(value: &[u8]) -> Result<ShardValue> {
        Ok(serde_json::from_slice(value)?)
    }

    /// Returns the stored format of the shard.
    ///
    /// # Panics
    ///
    /// Never in practice: serialization fails only for maps with non-string keys, and a shard has none.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a shard holds only strings and numbers").into()
    }

    /// Returns the row of `zone` for `account`, or an empty row if there is none.
    pub fn row(&self, account: &AccountName, zone: &ZoneName) -> RateRow {
        let record = self.accounts.get(account);
        record.and_then(|record| record.rows.get(zone)).copied().unwrap_or_default()
    }
}
