//! Events, actions and peer messages of the rate limits.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName, ZoneName};
use godwitroad_config::{ConfigDocument, RateConfig};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::{shard::ShardClaim, view::OwnershipView};

/// The rate limits in one generation of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RateTable {
    /// The generation of the configuration.
    pub generation: u64,
    /// All availability zones of the configuration.
    pub zones: Vec<ZoneName>,
    /// The rate and burst of each account over all zones.
    pub accounts: BTreeMap<AccountName, RateConfig>,
}

impl RateTable {
    /// Returns the rate limits in `document`.
    pub fn from_document(generation: u64, document: &ConfigDocument) -> RateTable {
        let zones = document.regions.iter().flat_map(|region| region.zones.iter().cloned());
        let accounts = document.accounts.iter();
        RateTable {
            generation,
            zones: zones.collect(),
            accounts: accounts.map(|account| (account.name.clone(), account.rate)).collect(),
        }
    }
}

/// An event of a request that spends tokens of its account.
#[derive(Clone, Debug)]
pub enum SpendEvent {
    /// A new request, or a continuing stream, requires tokens.
    Reserve {
        /// The number by which the caller identifies the reservation; never reused.
        ticket: u64,
        /// The client account to charge.
        account: AccountName,
        /// The tokens to reserve: those of the prompt plus the estimated output.
        tokens: u64,
        /// The longest time to wait for tokens.
        wait: ClockSpan,
    },
    /// The work behind a reservation ended.
    Settle {
        /// The number of the reservation.
        ticket: u64,
        /// The number of tokens used.
        used: u64,
    },
    /// A waiting reservation is no longer required.
    Cancel {
        /// The number of the reservation.
        ticket: u64,
    },
}

/// An event handled by [`crate::RateNode::handle`].
#[derive(Clone, Debug)]
pub enum RateEvent {
    /// A new generation of the configuration came into force.
    Configure(Arc<RateTable>),
    /// The owners or backups of shards changed.
    View(Arc<OwnershipView>),
    /// The end of the lease term of this process, or `None` without a term.
    Term(Option<ClockTime>),
    /// A peer sent a message.
    Peer {
        /// The process that sent the message.
        from: NodeId,
        /// The received message.
        message: RateMessage,
    },
    /// A call to the store completed or failed.
    Store {
        /// The identifier that this state machine assigned to the call.
        call: CallId,
        /// The reply or the failure.
        outcome: StoreOutcome,
    },
    /// A request requires tokens, or no longer does.
    Spend(SpendEvent),
    /// The zones whose members are all missing from the platform's VM list and whose terms have expired, with those
    /// members.
    DeadZones(BTreeMap<ZoneName, Vec<NodeId>>),
    /// The process is leaving: all shards are handed off to their successors.
    Handoff,
    /// Periodic call that drives time-outs, reports and reads.
    Tick,
}

/// An action to be carried out by the caller of [`crate::RateNode::handle`].
#[derive(Clone, Debug)]
pub enum RateAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver's VM.
        to: VmName,
        /// The message to send.
        message: RateMessage,
    },
    /// Calls the store.
    Store {
        /// The identifier of the call, unique only among the calls of this state machine.
        call: CallId,
        /// The request to send to the store.
        request: StoreRequest,
    },
    /// A reservation was admitted.
    Admitted {
        /// The number of the reservation.
        ticket: u64,
        /// The number of reserved tokens.
        tokens: u64,
    },
    /// A reservation was refused, because its tokens did not become available in time.
    Refused {
        /// The number of the reservation.
        ticket: u64,
        /// The time after which tokens are expected to be available.
        retry_after: ClockSpan,
    },
    /// All held shards were handed off and the successors confirmed it.
    HandoffComplete,
}

/// A message between routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RateMessage {
    /// Requests tokens from a holder.
    #[serde(rename = "Ask")]
    Request(Vec<AccountRequest>),
    /// Answers requests.
    Grant(Vec<AccountGrant>),
    /// Reports to the holder how many granted tokens were spent or returned.
    Report(Vec<AccountReport>),
    /// Guarantees reserves to the backup.
    #[serde(rename = "Pledge")]
    Reserve {
        /// The number of the shard.
        shard: u16,
        /// The claim under which the sender holds the shard.
        claim: ShardClaim,
        /// The backup; a newer process of the same VM lacks the earlier guarantees and must not use this one.
        backup: NodeId,
        /// The guaranteed reserves.
        accounts: Vec<AccountReserve>,
    },
    /// Confirms reserve guarantees.
    #[serde(rename = "PledgeAck")]
    ReserveAck {
        /// The number of the shard.
        shard: u16,
        /// The claim under which the guarantees were given.
        claim: ShardClaim,
        /// The accounts and the serial numbers of their guarantees.
        accounts: Vec<(AccountName, u64)>,
    },
    /// Hands off a shard to its new holder; the sender no longer holds it.
    #[serde(rename = "HandOver")]
    Handoff {
        /// The number of the shard.
        shard: u16,
        /// The claim under which the sender held the shard.
        claim: ShardClaim,
        /// The time for which buckets that are not listed have refilled from empty.
        held: ClockSpan,
        /// The buckets of active accounts.
        accounts: Vec<HandoffBucket>,
    },
    /// Confirms a handoff.
    #[serde(rename = "HandOverAck")]
    HandoffAck {
        /// The number of the shard.
        shard: u16,
        /// The claim under which the previous holder held the shard.
        claim: ShardClaim,
    },
}

/// A request to a holder for tokens of one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountRequest {
    /// The client account.
    pub account: AccountName,
    /// The number of the request, unique in the requesting process.
    pub serial: u64,
    /// The tokens required to admit the first waiting client request; zero for a prefetch.
    #[serde(rename = "need")]
    pub required: u64,
    /// The tokens requested in addition, to be kept prepaid.
    pub extra: u64,
    /// Whether the requester accepts fewer tokens than required.
    pub partial: bool,
}

/// The answer to one [`AccountRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountGrant {
    /// The client account.
    pub account: AccountName,
    /// The requesting process; a newer process of the same VM must not use the grant.
    #[serde(rename = "asker")]
    pub requester: NodeId,
    /// The number of the request.
    pub serial: u64,
    /// The number of tokens granted.
    pub tokens: u64,
    /// Whether the sender may grant tokens of the account.
    pub holds: bool,
    /// The time after which the holder expects to have the required tokens.
    pub retry_after: ClockSpan,
}

/// The state of one grant. It contains totals, so that a repeated report has no effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountReport {
    /// The client account.
    pub account: AccountName,
    /// The number of the request that the grant answered.
    pub serial: u64,
    /// The total number of tokens spent so far.
    pub spent: u64,
    /// The total number of tokens returned, which the sender will not spend.
    pub returned: u64,
}

/// The reserve of one account that the holder guarantees to the backup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountReserve {
    /// The client account.
    pub account: AccountName,
    /// The serial number of the guarantee; a higher one replaces a lower one.
    pub serial: u64,
    /// The tokens that the holder doesn't grant until the backup has confirmed a lower reserve.
    pub reserve: u64,
}

/// The state of one account's bucket in a handoff.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoffBucket {
    /// The client account.
    pub account: AccountName,
    /// The tokens in the bucket.
    pub level: u64,
    /// The tokens granted that may still be spent.
    pub outstanding: u64,
}
