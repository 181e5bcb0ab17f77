//! Everything that a router can be told.
//!
//! One event type for the whole router lets any driver run it: the daemon, a test under virtual time, or a bench
//! that holds many routers in one process.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, ModelName, NodeId, RequestId, TargetName, VmName};
use godwitroad_config::{ConfigDocument, KeyHash, PriorityClass};
use godwitroad_store::{CallId, StoreOutcome};
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;

/// An event that [`crate::RouterState::handle`] takes.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// A caller sent a whole request.
    Request(RequestArrival),
    /// The caller's connection closed before the answer ended.
    CallerLeft {
        /// The request.
        id: RequestId,
    },
    /// The adapter sent reply bytes to the caller, so that more may follow.
    CallerDrained {
        /// The request.
        id: RequestId,
        /// The number of bytes that left the buffer.
        bytes: u64,
    },
    /// Something happened to an attempt at a target.
    Attempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, which tells a late answer of an earlier attempt from the current one.
        attempt: u32,
        /// What happened.
        report: AttemptReport,
    },
    /// A target reported its load.
    Load {
        /// The target.
        target: TargetName,
        /// The report.
        report: LoadReport,
    },
    /// A target published cache events.
    Cache {
        /// The target.
        target: TargetName,
        /// The events.
        batch: CacheBatch,
    },
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
    },
    /// A call to the store ended.
    Store {
        /// The call.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// The platform's VM list was read.
    VmList(Vec<VmListing>),
    /// A configuration was given from outside, for a router that runs without a store.
    Configure {
        /// The generation.
        generation: u64,
        /// The document, already checked.
        document: Arc<ConfigDocument>,
    },
    /// An operator asks in which zones the configuration is in force; the answers show up in the status.
    RequestProgress,
    /// The process was asked to stop without cutting a request.
    Stop,
    /// Time passed.
    Tick,
}

/// The facts of a request that decisions need; the body itself stays with the adapter.
#[derive(Clone, Debug, Default)]
pub struct RequestArrival {
    /// The adapter's number for the connection, echoed in the first reply.
    pub connection: u64,
    /// The path of the request.
    pub path: String,
    /// The hash of the caller's key, if one came.
    pub key: Option<KeyHash>,
    /// The model, if the body names one.
    pub model: Option<ModelName>,
    /// The prompt as bytes, in the order in which the engine reads it.
    pub prompt: Arc<[u8]>,
    /// The most tokens that the caller accepts, if the body says so.
    pub max_tokens: Option<u64>,
    /// Whether the caller asked for server-sent events.
    pub stream: bool,
    /// The priority that the caller asked for.
    pub priority: Option<PriorityClass>,
    /// The time within which the caller wants the first token.
    pub deadline: Option<ClockSpan>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The last event that the caller has seen of an earlier connection.
    pub last_event_id: Option<String>,
}

/// What happened to an attempt.
#[derive(Clone, Debug)]
pub enum AttemptReport {
    /// The target answered with a status and header; for a plain service the body follows as data.
    Started {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// The engine sent token text.
    Tokens {
        /// The position of the first token in the whole answer, counted from zero.
        first: u64,
        /// The number of tokens.
        count: u64,
        /// The data of the event as the engine wrote it.
        data: Arc<str>,
        /// The text of the tokens, from which another engine can go on.
        text: Arc<str>,
    },
    /// A plain service sent a part of its body.
    Data(Arc<[u8]>),
    /// The answer ended as it should.
    Ended,
    /// The attempt failed.
    Failed {
        /// Whether a byte of the request may have reached the target.
        sent: bool,
        /// Whether the target said that it took no part of the request.
        rejected: bool,
    },
}

/// The load of one target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The incarnation of the engine; a restart changes it.
    pub incarnation: u64,
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests that wait.
    pub waiting: u32,
    /// The number of prompt tokens that wait to be computed.
    pub waiting_tokens: u64,
    /// The age of the figures when they arrived, in milliseconds.
    pub age_ms: u64,
}

/// Cache events of one target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// The sequence number of the first event; of a snapshot, that of the first event that it doesn't cover.
    pub first: u64,
    /// Whether the events list the whole cache rather than changes to it.
    pub snapshot: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A piece is cached.
    Stored {
        /// The chained hash of the piece.
        piece: u128,
        /// The chained hash of the piece before it; zero for the first.
        parent: u128,
    },
    /// A piece was evicted.
    Evicted {
        /// The chained hash of the piece.
        piece: u128,
    },
    /// The whole cache was emptied.
    Cleared,
}

/// A line of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListing {
    /// The VM.
    pub vm: VmName,
    /// The state that the platform shows, which can be old.
    pub state: VmState,
    /// The address of the VM's router for messages between routers, if the platform knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}
