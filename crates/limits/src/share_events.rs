//! Events and actions of a [`crate::ZoneShare`].

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockTime, NodeId, VmName, ZoneName};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};

use crate::{
    message::RateTable,
    shard::{RateRow, ShardClaim},
    view::OwnershipView,
};

/// An event handled by [`crate::ZoneShare::handle`].
#[derive(Clone, Debug)]
pub enum ShareEvent {
    /// A new generation of the configuration came into force.
    Configure(Arc<RateTable>),
    /// The owners or backups of shards changed.
    View(Arc<OwnershipView>),
    /// The end of the lease term of this process, or `None` without a term.
    Term(Option<ClockTime>),
    /// The zones whose members are all missing from the platform's VM list and whose terms have expired, with those
    /// members.
    DeadZones(BTreeMap<ZoneName, Vec<NodeId>>),
    /// A call to the store completed or failed.
    Store {
        /// The identifier that this state machine assigned to the call.
        call: CallId,
        /// The reply or the failure.
        outcome: StoreOutcome,
    },
    /// The previous holder of a shard handed it off to this process.
    HandoffReceived {
        /// The number of the shard.
        shard: u16,
    },
    /// Answers [`ShareAction::Demand`].
    Demand {
        /// The number of the shard.
        shard: u16,
        /// The demand of each active account in tokens per second.
        demands: BTreeMap<AccountName, u64>,
    },
    /// Answers [`ShareAction::LowerRows`].
    RowsLowered {
        /// The number of the shard.
        shard: u16,
        /// The rows that the holder uses from now on.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// A new claim is required, to void reserve guarantees whose release isn't confirmed.
    RenewClaim {
        /// The number of the shard.
        shard: u16,
    },
    /// The process is leaving: all shards are handed off to their successors.
    Handoff,
    /// Periodic call that drives reads and time-outs.
    Tick,
}

/// An action of a [`crate::ZoneShare`].
#[derive(Clone, Debug)]
pub enum ShareAction {
    /// Calls the store.
    Store {
        /// The identifier of the call, unique only among the calls of this state machine.
        call: CallId,
        /// The request to send to the store.
        request: StoreRequest,
    },
    /// This process holds the shard from now on.
    Start {
        /// The number of the shard.
        shard: u16,
        /// The claim written by this process.
        claim: ShardClaim,
        /// The claim that it replaced, if any.
        previous: Option<ShardClaim>,
        /// The zone's rows of the shard's accounts.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// The shard continues to be held, under a new claim.
    ClaimRenewed {
        /// The number of the shard.
        shard: u16,
        /// The new claim.
        claim: ShardClaim,
    },
    /// Rows of a held shard changed.
    Rows {
        /// The number of the shard.
        shard: u16,
        /// The changed rows, which may be used from now on.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// Requests the demand of a shard's accounts.
    Demand {
        /// The number of the shard.
        shard: u16,
    },
    /// Requests that the holder lower its rows before smaller ones are written.
    LowerRows {
        /// The number of the shard.
        shard: u16,
        /// The rows that the holder should not exceed from now on.
        rows: BTreeMap<AccountName, RateRow>,
    },
    /// This process no longer holds the shard.
    Stop {
        /// The number of the shard.
        shard: u16,
        /// The next holder, if there is one; may be this VM itself.
        to: Option<VmName>,
    },
}
