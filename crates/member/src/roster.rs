//! The roster of a zone and its stored format.
//!
//! Besides its members, a roster lists the past rosters whose holders may still act. A process that joins has no
//! other way to learn of them and would otherwise hold a key at the same time as its previous holder.

use std::sync::Arc;

use godwitroad_base::{Incarnation, NodeId, VmName, ZoneName, rendezvous};
use godwitroad_store::StoreKey;
use serde::{Deserialize, Serialize};

/// The result of decoding a stored roster.
pub type Result<T> = std::result::Result<T, RosterError>;

/// Why a stored roster can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RosterError {
    /// The value is not a valid JSON roster.
    #[error("the stored roster is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// One member of a roster.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterMember {
    /// The VM on which the member runs.
    pub vm: VmName,
    /// The incarnation of the member's process.
    pub incarnation: Incarnation,
    /// The address at which peers reach the member.
    pub address: String,
}

/// A past roster whose holders may still act.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PastRoster {
    /// The epoch of the roster.
    pub epoch: u64,
    /// The members of the roster, sorted by VM.
    pub members: Vec<NodeId>,
    /// The members known to have stopped: they left after a handoff, or their VM runs a newer process.
    pub stopped: Vec<NodeId>,
}

/// The members of a zone in one epoch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    /// The epoch, which increases by one with each change.
    pub epoch: u64,
    /// The members, sorted by VM.
    pub members: Vec<RosterMember>,
    /// The past rosters, oldest first, whose holders may still act.
    pub unsettled: Vec<PastRoster>,
}

impl RosterMember {
    /// Returns the identity of the member's process.
    pub fn node(&self) -> NodeId {
        NodeId { vm: self.vm.clone(), incarnation: self.incarnation }
    }
}

impl AsRef<str> for RosterMember {
    fn as_ref(&self) -> &str {
        self.vm.as_str()
    }
}

impl PastRoster {
    /// Returns the owner of `key` in this roster, or `None` if the roster is empty.
    pub fn owner_of(&self, key: u64) -> Option<&NodeId> {
        let names: Vec<&str> = self.members.iter().map(|member| member.vm.as_str()).collect();
        rendezvous::owner(key, &names).map(|index| &self.members[index])
    }
}

impl Roster {
    /// Returns the key under which the roster of `zone` is stored.
    pub fn store_key(zone: &ZoneName) -> StoreKey {
        StoreKey::new(format!("roster/{zone}"))
    }

    /// Decodes a stored roster.
    ///
    /// # Errors
    ///
    /// Returns an error if `value` is not a valid roster.
    pub fn decode(value: &[u8]) -> Result<Roster> {
        Ok(serde_json::from_slice(value)?)
    }

    /// Returns the stored format of the roster.
    ///
    /// # Panics
    ///
    /// Never in practice: serialization fails only for maps with non-string keys, and a roster has none.
    pub fn encode(&self) -> Arc<[u8]> {
        serde_json::to_vec(self).expect("a roster holds only strings and numbers").into()
    }

    /// Returns the member that runs on `vm`.
    pub fn member(&self, vm: &VmName) -> Option<&RosterMember> {
        let index = self.members.binary_search_by(|member| member.vm.cmp(vm)).ok()?;
        Some(&self.members[index])
    }

    /// Returns whether `node` is a member with this incarnation.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.member(&node.vm).is_some_and(|member| member.incarnation == node.incarnation)
    }

    /// Returns the owner of `key`, or `None` if the roster is empty.
    pub fn owner_of(&self, key: u64) -> Option<&RosterMember> {
        rendezvous::owner(key, &self.members).map(|index| &self.members[index])
    }

    /// Returns the member that ranks second for `key`, after its owner.
    pub fn backup_of(&self, key: u64) -> Option<&RosterMember> {
        rendezvous::rank(key, &self.members).get(1).map(|&index| &self.members[index])
    }

    /// Returns the smallest number of members that is a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the roster of the next epoch with `members`; the processes in `stopped` are known to have stopped.
    pub fn next_epoch(&self, mut members: Vec<RosterMember>, stopped: &[NodeId]) -> Roster {
        members.sort();
        let mut unsettled = self.unsettled.clone();
        if !self.members.is_empty() {
            unsettled.push(PastRoster {
                epoch: self.epoch,
                members: self.members.iter().map(RosterMember::node).collect(),
                stopped: Vec::new(),
            });
        }
        for past in &mut unsettled {
            for node in stopped {
                if past.members.contains(node) && !past.stopped.contains(node) {
                    past.stopped.push(node.clone());
                }
            }
        }
        Roster { epoch: self.epoch + 1, members, unsettled }
    }
}
