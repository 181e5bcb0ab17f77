//! The ownership of shards, derived from the membership.

use std::sync::Arc;

use godwitroad_base::{NodeId, VmName};
use godwitroad_member::{MemberTable, RosterMember};

use crate::settings::SHARE_SHARDS;

/// The ownership of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardView {
    /// The owner in this process's zone.
    pub owner: Option<VmName>,
    /// The member that becomes the owner if the current one is removed.
    pub backup: Option<NodeId>,
    /// The owners in other zones, from which tokens are requested if this zone lacks them.
    pub remote_owners: Vec<VmName>,
    /// Whether this process owns the shard and no earlier holder can act on it any more.
    pub exclusive: bool,
}

/// The ownership of all shards.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnershipView {
    /// The epoch of the roster.
    pub epoch: u64,
    /// The shards, indexed by their numbers.
    pub shards: Vec<ShardView>,
}

/// Returns the key by which the membership determines the owner of `shard`.
pub fn shard_key(shard: u16) -> u64 {
    0x7368_6172_6500_0000 | u64::from(shard)
}

impl OwnershipView {
    /// Returns the ownership according to `table`.
    ///
    /// It changes only when the table reports a new roster, a settled epoch or changed remote rosters.
    pub fn from_members(table: &MemberTable) -> Arc<OwnershipView> {
        let shards = (0..SHARE_SHARDS).map(|shard| {
            let key = shard_key(shard);
            let remote_rosters = table.remote_rosters().values();
            ShardView {
                owner: table.owner_of(key).map(|member| member.vm.clone()),
                backup: table.backup_of(key).map(RosterMember::node),
                remote_owners: remote_rosters
                    .filter_map(|roster| Some(roster.owner_of(key)?.vm.clone()))
                    .collect(),
                exclusive: table.owns_exclusively(key),
            }
        });
        Arc::new(OwnershipView { epoch: table.epoch(), shards: shards.collect() })
    }
}
