//! Events, messages and actions of the limits.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, NodeId, VmName, ZoneName};
use godwitroad_config::{ConfigDocument, RateConfig};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::{shard::ShardClaim, view::OwnershipView};

/// The limits of one generation of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RateTable {
    /// The generation.
    pub generation: u64,
    /// All availability zones.
    pub zones: Vec<ZoneName>,
    /// The limits of each account.
    pub accounts: BTreeMap<AccountName, RateConfig>,
}

impl RateTable {
    /// Returns the limits in `document`.
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

/// What a request wants of its account's allowance.
#[derive(Clone, Debug)]
pub enum SpendEvent {
    /// A request, or a stream that goes on, needs tokens.
    Reserve {
        /// The number by which the caller knows the reservation; used once.
        ticket: u64,
        /// The account.
        account: AccountName,
        /// The prompt tokens and the estimated output.
        tokens: u64,
        /// The longest time to wait for tokens.
        wait: ClockSpan,
    },
    /// The work of a reservation ended.
    Settle {
        /// The reservation.
        ticket: u64,
        /// The tokens that were used.
        used: u64,
    },
    /// A waiting reservation is no longer wanted.
    Cancel {
        /// The reservation.
        ticket: u64,
    },
}

/// An event that [`crate::RateNode::handle`] takes.
#[derive(Clone, Debug)]
pub enum RateEvent {
    /// A generation of the configuration came into force.
    Configure(Arc<RateTable>),
    /// The ownership of shards changed.
    View(Arc<OwnershipView>),
    /// The term until which this process may hold shards.
    Term(Option<ClockTime>),
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: RateMessage,
    },
    /// A call to the store ended.
    Store {
        /// The call, as numbered by this machine.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// A request wants tokens, or no longer does.
    Spend(SpendEvent),
    /// The zones whose VMs are all gone by the platform's list and whose terms have run out, with their processes.
    DeadZones(BTreeMap<ZoneName, Vec<NodeId>>),
    /// The process leaves: everything held goes to the successors.
    Handoff,
    /// Time passed.
    Tick,
}

/// An action that the driver carries out.
#[derive(Clone, Debug)]
pub enum RateAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: RateMessage,
    },
    /// Calls the store.
    Store {
        /// The call, as numbered by this machine.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// The tokens of a reservation were admitted.
    Admitted {
        /// The reservation.
        ticket: u64,
        /// The tokens.
        tokens: u64,
    },
    /// A reservation found no tokens in time.
    Refused {
        /// The reservation.
        ticket: u64,
        /// The time after which tokens are likely.
        retry_after: ClockSpan,
    },
    /// Everything held was handed over and confirmed.
    HandoffComplete,
}

/// A message between routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RateMessage {
    /// Asks a holder for tokens.
    #[serde(rename = "Ask")]
    Request(Vec<AccountRequest>),
    /// Answers an ask.
    Grant(Vec<AccountGrant>),
    /// Reports what became of granted tokens.
    Report(Vec<AccountReport>),
    /// Promises reserves to the backup.
    #[serde(rename = "Pledge")]
    Reserve {
        /// The shard.
        shard: u16,
        /// The claim under which the sender holds the shard.
        claim: ShardClaim,
        /// The backup; a newer process of the same VM lacks the earlier pledges and must not use this one.
        backup: NodeId,
        /// The reserves.
        accounts: Vec<AccountReserve>,
    },
    /// Confirms pledges.
    #[serde(rename = "PledgeAck")]
    ReserveAck {
        /// The shard.
        shard: u16,
        /// The claim of the pledges.
        claim: ShardClaim,
        /// The accounts and the numbers of their pledges.
        accounts: Vec<(AccountName, u64)>,
    },
    /// Hands a shard to its new holder; the sender holds it no more.
    #[serde(rename = "HandOver")]
    Handoff {
        /// The shard.
        shard: u16,
        /// The claim that ends.
        claim: ShardClaim,
        /// The time for which the sender had held the shard.
        held: ClockSpan,
        /// The buckets of active accounts.
        accounts: Vec<HandoffBucket>,
    },
    /// Confirms that a shard was received.
    #[serde(rename = "HandOverAck")]
    HandoffAck {
        /// The shard.
        shard: u16,
        /// The claim that ended.
        claim: ShardClaim,
    },
}

/// A request for tokens of one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountRequest {
    /// The account.
    pub account: AccountName,
    /// The number of the ask, unique in the asking process.
    pub serial: u64,
    /// The tokens without which a waiting request isn't helped.
    #[serde(rename = "need")]
    pub required: u64,
    /// The tokens that the asker would keep prepaid beyond that.
    pub extra: u64,
    /// Whether fewer tokens than needed are useful.
    pub partial: bool,
}

/// The answer to one [`AskEntry`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountGrant {
    /// The account.
    pub account: AccountName,
    /// The asking process; a newer process of the same VM must not use the grant.
    #[serde(rename = "asker")]
    pub requester: NodeId,
    /// The number of the ask.
    pub serial: u64,
    /// The tokens granted.
    pub tokens: u64,
    /// Whether the sender holds the account.
    pub holds: bool,
    /// The time after which the holder expects to have the tokens that were needed.
    pub retry_after: ClockSpan,
}

/// What became of one grant, in totals, so that a repeated report changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountReport {
    /// The account.
    pub account: AccountName,
    /// The number of the ask that was answered by the grant.
    pub serial: u64,
    /// The tokens spent so far.
    pub spent: u64,
    /// The tokens given back, which the sender uses no more.
    pub returned: u64,
}

/// The reserve of one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountReserve {
    /// The account.
    pub account: AccountName,
    /// The number of the pledge; a higher one replaces a lower one.
    pub serial: u64,
    /// The tokens that the holder doesn't issue before a lower pledge is confirmed.
    pub reserve: u64,
}

/// The bucket of one account as it is handed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoffBucket {
    /// The account.
    pub account: AccountName,
    /// The tokens in the bucket.
    pub level: u64,
    /// The tokens granted and not yet accounted for.
    pub outstanding: u64,
}
