//! What the limits need to know of the membership.

use std::sync::Arc;

use godwitroad_base::{NodeId, VmName};
use godwitroad_member::{MemberTable, RosterMember};

use crate::settings::SHARE_SHARDS;

/// The holders of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardView {
    /// The holder in the own zone.
    pub owner: Option<VmName>,
    /// The member that follows when the holder goes.
    pub backup: Option<NodeId>,
    /// The holders in other zones, which are asked when the own zone is short.
    pub remote_owners: Vec<VmName>,
    /// Whether this process owns the shard and no earlier holder can act any more.
    pub exclusive: bool,
}

/// The holders of all shards.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnershipView {
    /// The epoch of the roster.
    pub epoch: u64,
    /// The shards in the order of their numbers.
    pub shards: Vec<ShardView>,
}

/// Returns the key by which the owner of `shard` is chosen.
pub fn shard_key(shard: u16) -> u64 {
    0x7368_6172_6500_0000 | u64::from(shard)
}

impl OwnershipView {
    /// Returns the view that follows from `table`.
    ///
    /// It changes only when the table reports a new roster, a settled epoch or new neighbours.
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
