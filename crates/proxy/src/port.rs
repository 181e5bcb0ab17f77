//! What the proxy needs of the platform that it runs on.
//!
//! A platform names headers, keys and calls in its own way. Its adapter translates between those names and the types
//! here; it opens no connection, keeps no state and decides nothing.

use std::{net::SocketAddr, sync::Arc, time::SystemTime};

use bytes::Bytes;
use godwitroad_base::{ClockSpan, ModelName, TargetName, VmName};
use godwitroad_forward::{
    CacheEventBatch, ForwardArrival, ForwardRules, LoadReport, PeerPlace, SendPlan, TargetRecord,
};
use godwitroad_orders::{WeightAnswer, WeightOrder, WeightReport};
use http::{HeaderMap, Request, StatusCode};

use crate::settings::ProxySettings;

/// A message of the platform that can't be read: the field and what is wrong with it.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct WireError {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

/// A `Result` with a [`WireError`].
pub type Result<T> = std::result::Result<T, WireError>;

impl WireError {
    /// Returns an error about a field.
    pub fn new(field: impl Into<String>, reason: impl ToString) -> WireError {
        WireError { field: field.into(), reason: reason.to_string() }
    }
}

/// What the headers of a target's answer say beside the answer itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMetadata {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether the target signed it, as it does with every answer that it made itself.
    pub is_signed: bool,
    /// Whether the target did not run the request.
    pub is_not_run: bool,
    /// Whether another target has the address, or other weights are loaded.
    pub is_mismatch: bool,
    /// The target's load.
    pub load: Option<LoadReport>,
    /// The version of the weights that the answer was made on.
    pub version: Option<u64>,
}

/// A call to the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read everything that matters, a page a call.
    List {
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Wait for changes.
    Watch {
        /// The revision from which on changes are wanted.
        after: u64,
        /// How long to wait for one.
        wait: ClockSpan,
    },
    /// Grant a lease.
    Grant {
        /// Its length.
        length: ClockSpan,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Create the entry of the owner of orders, if there is none.
    BecomeLeader {
        /// The owner.
        vm: VmName,
        /// The lease under which the entry lives.
        lease: u64,
    },
    /// Write whether the owner of orders is active, if its entry still has this revision.
    SetLeaderActive {
        /// The revision of the owner's entry.
        fence: u64,
        /// Whether the owner gives orders.
        active: bool,
    },
    /// End a lease.
    Revoke {
        /// The lease.
        lease: u64,
    },
    /// Write the entry of a router.
    Register {
        /// The router.
        place: PeerPlace,
        /// The lease under which the entry lives.
        lease: u64,
    },
    /// Remove the entry of a router.
    Deregister {
        /// The router.
        vm: VmName,
    },
}

/// An entry of the store.
#[derive(Clone, Debug)]
pub enum StoreItem {
    /// The configuration.
    Rules(Arc<ForwardRules>),
    /// The named weights of a model.
    DesiredVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// A target.
    Target(TargetRecord),
    /// A target's entry ended.
    TargetRemoved(TargetName),
    /// A router.
    Peer(PeerPlace),
    /// A router's entry ended.
    PeerRemoved(VmName),
    /// The owner of orders, or `None` if its entry ended.
    OrderLeader(Option<VmName>),
    /// Whether the owner of orders is active.
    LeaderActive(bool),
    /// An entry that can't be read. It changes nothing.
    Unreadable {
        /// The key.
        key: String,
        /// What is wrong.
        error: WireError,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// Entries or changes in order.
    Items {
        /// The entries.
        items: Vec<StoreItem>,
        /// The store's revision.
        revision: u64,
        /// The revision of the last of these changes; 0 where there are none.
        last_change: u64,
        /// The key after which the next page begins.
        next: Option<String>,
    },
    /// The changes that a watch asked for are no longer kept.
    HistoryCompacted,
    /// A lease was granted.
    Granted {
        /// The lease.
        lease: u64,
        /// Its length.
        length: ClockSpan,
    },
    /// A change was made.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The call was carried out.
    Done,
    /// The condition of a change does not hold, or the lease does not exist.
    Conflict,
    /// Nothing was done.
    Refused,
}

/// The platform's names, translated.
pub trait PlatformPort: 'static {
    /// Reads the settings of the process.
    ///
    /// # Errors
    ///
    /// Returns the field and what is wrong with it.
    fn load_settings(&self) -> Result<ProxySettings>;

    /// Returns when the settings last changed, if that can be told.
    fn settings_changed(&self) -> Option<SystemTime>;

    /// Reads what a caller's headers say.
    ///
    /// # Errors
    ///
    /// Returns the header and what is wrong with it.
    fn read_arrival(&self, headers: &HeaderMap) -> Result<ForwardArrival>;

    /// Turns a caller's headers into those for a target: removes what a caller may not set and adds what the plan
    /// says. `resume` is the last event that the caller has of the stream.
    fn write_headers(
        &self,
        headers: &mut HeaderMap,
        arrival: &ForwardArrival,
        plan: &SendPlan,
        resume: Option<u64>,
    );

    /// Reads what the headers of a target's answer say.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata;

    /// Returns the question for a holder's changes of cache entries.
    fn feed_request(&self, since: Option<u64>, wait: ClockSpan) -> Request<Bytes>;

    /// Reads a holder's changes.
    ///
    /// # Errors
    ///
    /// Returns the field and what is wrong with it.
    fn read_feed(&self, body: &[u8]) -> Result<CacheEventBatch>;

    /// Returns the question for a target's state.
    fn report_request(&self) -> Request<Bytes>;

    /// Reads a target's state.
    ///
    /// # Errors
    ///
    /// Returns the field and what is wrong with it.
    fn read_report(&self, body: &[u8]) -> Result<WeightReport>;

    /// Returns an order to a target.
    fn order_request(&self, order: &WeightOrder, vm: &VmName, fence: u64) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order(&self, status: StatusCode) -> WeightAnswer;

    /// Returns a call to the store.
    fn store_request(&self, call: &StoreCall) -> Request<Bytes>;

    /// Reads the store's answer.
    ///
    /// # Errors
    ///
    /// Returns the field and what is wrong with it.
    fn read_store(&self, call: &StoreCall, status: StatusCode, body: &[u8]) -> Result<StoreAnswer>;

    /// Returns the address of the store.
    fn store_address(&self) -> SocketAddr;
}
