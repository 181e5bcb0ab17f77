//! Plans the changes of a zone's rows in a share shard.
//!
//! The plan is a pure function of the stored value, the configuration and the zone's demand, so that it can be tested
//! without a store.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{AccountName, ZoneName};
use godwitroad_config::RateConfig;

use crate::{
    message::RateTable,
    shard::{RateRow, ShardValue, ShareRecord, shard_of},
};

/// Stored demand is in units of the account's rate divided by this.
const DEMAND_UNITS: u64 = 16;

/// The highest demand that is stored, in units: four times the rate.
const MAX_DEMAND_UNITS: u64 = 64;

/// Returns the rows of `zone` that differ from those in `value` after an adjustment to demand and configuration.
pub(crate) fn planned_rows(
    value: &ShardValue,
    shard: u16,
    zone: &ZoneName,
    table: &RateTable,
    demands: &BTreeMap<AccountName, u64>,
) -> BTreeMap<AccountName, RateRow> {
    let mut planned = BTreeMap::new();
    for (name, config) in accounts_in_shard(table, shard) {
        let Some(record) = value.accounts.get(name) else { continue };
        let limit = target_limit(record, table, *config);
        let old = record.rows.get(zone).copied().unwrap_or_default();
        let demand = demands.get(name).copied().unwrap_or(0);
        let missing = !record.rows.contains_key(zone);
        let mut record = record.clone();
        let demand = quantize_demand(old.demand, demand, limit.tokens_per_second);
        record.rows.insert(zone.clone(), RateRow { demand, ..old });
        let fair = record.fair_share(zone, limit);
        let unallocated = record.unallocated();
        let limit_shrinks = limit.tokens_per_second < record.limit.tokens_per_second
            || limit.burst_tokens < record.limit.burst_tokens;
        let row = RateRow {
            rate: next_amount(
                old.rate,
                fair.rate,
                unallocated.rate,
                limit.tokens_per_second,
                limit_shrinks,
            ),
            burst: next_amount(
                old.burst,
                fair.burst,
                unallocated.burst,
                limit.burst_tokens,
                limit_shrinks,
            ),
            demand,
        };
        if row != old || missing {
            planned.insert(name.clone(), row);
        }
    }
    planned
}

/// Returns `value` with `rows` as the rows of `zone`, with the limits and accounts of `table`, and without the rows of
/// `dead_zones`.
pub(crate) fn updated_value(
    value: &ShardValue,
    shard: u16,
    zone: &ZoneName,
    table: &RateTable,
    rows: &BTreeMap<AccountName, RateRow>,
    dead_zones: &BTreeSet<ZoneName>,
) -> ShardValue {
    let mut next = value.clone();
    for (name, config) in accounts_in_shard(table, shard) {
        let new_record = || ShareRecord::split_evenly(table.generation, *config, &table.zones);
        let record = next.accounts.entry(name.clone()).or_insert_with(new_record);
        for zone in dead_zones {
            record.rows.remove(zone);
        }
        if let Some(row) = rows.get(name) {
            record.rows.insert(zone.clone(), *row);
        }
        let limit = target_limit(record, table, *config);
        let used = record
            .rows
            .values()
            .fold((0, 0), |sum: (u64, u64), row| (sum.0 + row.rate, sum.1 + row.burst));
        // The limit in force decreases only as far as the zones have lowered their rows.
        let limit = RateConfig {
            tokens_per_second: limit.tokens_per_second.max(used.0),
            burst_tokens: limit.burst_tokens.max(used.1),
        };
        if limit != record.limit {
            record.limit = limit;
            record.generation = record.generation.max(table.generation);
        }
    }
    next
}

/// Returns the row that may be used under `config`; the zone applies a lower limit before its row is rewritten.
pub(crate) fn usable_row(record: &ShareRecord, row: RateRow, config: RateConfig) -> RateRow {
    let scale = |amount: u64, new: u64, old: u64| {
        let scaled = u128::from(amount) * u128::from(new) / u128::from(old.max(1));
        amount.min(scaled as u64)
    };
    RateRow {
        rate: scale(row.rate, config.tokens_per_second, record.limit.tokens_per_second),
        burst: scale(row.burst, config.burst_tokens, record.limit.burst_tokens),
        demand: row.demand,
    }
}

pub(crate) fn accounts_in_shard(
    table: &RateTable,
    shard: u16,
) -> impl Iterator<Item = (&AccountName, &RateConfig)> {
    table.accounts.iter().filter(move |(name, _)| shard_of(name) == shard)
}

// A zone with an older generation keeps the limits set by a newer one.
fn target_limit(record: &ShareRecord, table: &RateTable, config: RateConfig) -> RateConfig {
    if table.generation >= record.generation { config } else { record.limit }
}

// Ignores changes of up to one unit, so that small changes and fluctuating demand don't cause writes.
fn next_amount(old: u64, fair: u64, unallocated: u64, limit: u64, limit_shrinks: bool) -> u64 {
    let min_change = limit / DEMAND_UNITS;
    if old > fair && (limit_shrinks || old - fair > min_change) {
        fair
    } else if fair > old && fair - old > min_change {
        old + (fair - old).min(unallocated)
    } else {
        old
    }
}

fn quantize_demand(old: u32, demand: u64, rate: u64) -> u32 {
    let units = (demand * DEMAND_UNITS).div_ceil(rate.max(1)).min(MAX_DEMAND_UNITS) as u32;
    let is_close = units.abs_diff(old) <= 1 + old / 4 && (units == 0) == (old == 0);
    if is_close { old } else { units }
}
