//! Events and actions of a [`crate::ZoneShare`].

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockTime, NodeId, VmName, ZoneName};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};

use crate::{
    message::RateTable,
    shard::{RateRow, ShardClaim},
    view::OwnershipView,
};

/// An event that [`crate::ZoneShare::handle`] takes.
#[derive(Clone, Debug)]
pub enum ShareEvent {
    /// A generation of the configuration came into force.
    Configure(Arc<RateTable>),
    /// The ownership of shards changed.
    View(Arc<OwnershipView>),
    /// The term until which this process may hold shards.
    Term(Option<ClockTime>),
    /// The zones whose VMs are all gone by the platform's list and whose terms have run out, with their processes.
    DeadZones(BTreeMap<ZoneName, Vec<NodeId>>),
    /// A call to the store ended.
    Store {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// The last holder of a shard handed it over.
    HandoffReceived {
        /// The shard.
        shard: u16,
    },
    /// Answers [`ShareAction::Demand`].
    Demand {
        /// The shard.
        shard: u16,
        /// The tokens per second wanted by each active account.
        demands: BTreeMap<AccountName, u64>,
    },
    /// Answers [`ShareAction::LowerRows`] with the rows in use from now on.
    RowsLowered {
        /// The shard.
        shard: u16,
        /// The rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// A new claim is wanted, to void promises that can't be confirmed.
    RenewClaim {
        /// The shard.
        shard: u16,
    },
    /// The process leaves: all shards go to their successors.
    Handoff,
    /// Time passed.
    Tick,
}

/// An action of a [`crate::ZoneShare`].
#[derive(Clone, Debug)]
pub enum ShareAction {
    /// Calls the store.
    Store {
        /// The call.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// The shard is held from now on.
    Start {
        /// The shard.
        shard: u16,
        /// The claim.
        claim: ShardClaim,
        /// The claim that it replaced.
        previous: Option<ShardClaim>,
        /// The zone's rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// The shard is held under a new claim.
    ClaimRenewed {
        /// The shard.
        shard: u16,
        /// The claim.
        claim: ShardClaim,
    },
    /// Rows changed and may be used.
    Rows {
        /// The shard.
        shard: u16,
        /// The rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// Asks for the demand of a shard's accounts.
    Demand {
        /// The shard.
        shard: u16,
    },
    /// Asks the holder to use at most these rows from now on.
    LowerRows {
        /// The shard.
        shard: u16,
        /// The rows.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// The shard is held no more.
    Stop {
        /// The shard.
        shard: u16,
        /// The next holder.
        to: Option<VmName>,
    },
}
