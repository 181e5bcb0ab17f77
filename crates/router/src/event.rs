//! The events that a router handles.
//!
//! A single event type allows any driver to run the router: the daemon, a test under virtual time, or a benchmark
//! with many routers in one process.

use std::sync::Arc;

use godwitroad_base::{BuildName, ClockSpan, ModelName, NodeId, RequestId, TargetName, VmName};
use godwitroad_config::{ConfigDocument, KeyHash, PriorityClass};
use godwitroad_quarantine::RequestDigest;
use godwitroad_store::{CallId, StoreOutcome};
use godwitroad_stream::StreamOrigin;
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;

/// The maximum length of the name of a build, which routers exchange with each load report.
pub const MAX_BUILD_BYTES: usize = 128;

/// An input of [`crate::RouterState::handle`].
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// A caller sent a request, whose body is complete.
    Request(RequestArrival),
    /// The caller's connection closed before the answer was complete.
    CallerLeft {
        /// The request that the caller was waiting for.
        id: RequestId,
    },
    /// The adapter wrote buffered reply bytes to the caller's connection.
    CallerDrained {
        /// The request that the bytes answer.
        id: RequestId,
        /// The number of bytes removed from the buffer since the last such event.
        bytes: u64,
    },
    /// An attempt at a target made progress or ended.
    Attempt {
        /// The request that is attempted.
        id: RequestId,
        /// The attempt's number, counted from one; reports of any but the current attempt are ignored.
        attempt: u32,
        /// The progress or the end of the attempt.
        report: AttemptReport,
    },
    /// A target reported its load.
    Load {
        /// The target that was polled.
        target: TargetName,
        /// The load as the target reported it.
        report: LoadReport,
    },
    /// A target published cache events.
    Cache {
        /// The target that published the events.
        target: TargetName,
        /// Consecutive events or a snapshot.
        batch: CacheBatch,
    },
    /// A message from another router arrived.
    Peer {
        /// The process that sent the message.
        from: NodeId,
        /// The decoded message.
        message: PeerMessage,
    },
    /// A call to the store completed.
    Store {
        /// The id from [`crate::RouterAction::Store`].
        call: CallId,
        /// The store's reply, or the failure of the call.
        outcome: StoreOutcome,
    },
    /// The platform's complete VM list was read.
    VmList(Vec<VmListing>),
    /// The driver supplies a configuration, for a router that runs without a store.
    Configure {
        /// The generation; a document is ignored unless its generation is greater than the current one.
        generation: u64,
        /// The configuration, already validated.
        document: Arc<ConfigDocument>,
    },
    /// Requests from all zones which configuration is in force there; the answers appear in
    /// [`crate::RouterState::status`].
    RequestProgress,
    /// The process will be asked to stop and has to end within `limit`. Requests whose deadline is later are refused from
    /// now on, and those that are still open shortly before the limit get an error that says what is known of them.
    PrepareStop {
        /// The time until the process ends.
        limit: ClockSpan,
    },
    /// A graceful stop was requested: the process exits after all running requests have ended.
    Stop,
    /// Time passed; drivers send this event periodically.
    Tick,
}

/// The properties of a request on which decisions depend; the body itself stays with the adapter.
#[derive(Clone, Debug, Default)]
pub struct RequestArrival {
    /// The adapter's number for the connection, echoed in [`crate::RouterAction::Accepted`].
    pub connection: u64,
    /// The path of the HTTP request, which selects the route.
    pub path: String,
    /// The digest by which the request is recognized when it comes again; `None` if it isn't known.
    pub digest: Option<RequestDigest>,
    /// The hash of the caller's API key, if the request has one.
    pub key: Option<KeyHash>,
    /// The model that the body names, if any.
    pub model: Option<ModelName>,
    /// The bytes of the prompt, in the order in which the engine processes them.
    pub prompt: Arc<[u8]>,
    /// The maximum number of output tokens, if the body sets one.
    pub max_tokens: Option<u64>,
    /// Whether the caller requested server-sent events.
    pub stream: bool,
    /// The requested priority; the route's priority applies if absent.
    pub priority: Option<PriorityClass>,
    /// The time within which the caller expects the first token; the route's deadline applies if absent.
    pub deadline: Option<ClockSpan>,
    /// The idempotency key; ignored on routes whose requests may run more than once.
    pub idempotency_key: Option<String>,
    /// The id of the last event received on an earlier connection, if the caller resumes a stream.
    pub last_event_id: Option<String>,
}

/// The progress or the end of an attempt at a target.
#[derive(Clone, Debug)]
pub enum AttemptReport {
    /// The target sent its response head; the body of a plain service follows as [`AttemptReport::Data`].
    Started {
        /// The HTTP status code.
        status: u16,
        /// The value of the `content-type` header.
        content_type: String,
    },
    /// The engine sent one event with generated tokens.
    Tokens {
        /// What the engine runs.
        origin: StreamOrigin,
        /// The position of the first token in the complete answer, counted from zero.
        first: u64,
        /// The number of tokens in this event.
        count: u64,
        /// The event's data field, unchanged.
        data: Arc<str>,
        /// The text of the tokens, from which another engine can continue the answer.
        text: Arc<str>,
    },
    /// A plain service sent the next bytes of its response body.
    Data(Arc<[u8]>),
    /// The answer is complete.
    Ended,
    /// The connection was lost after a byte of the request may have reached the target, as when the target crashes.
    Lost,
    /// The target refused the request and named a time before which it wants no other.
    Deferred {
        /// Whether the target stated that it ran no part of the request.
        rejected: bool,
        /// The time to wait.
        wait: ClockSpan,
    },
    /// The attempt ended without a complete answer for another reason.
    Failed {
        /// Whether a byte of the request may have reached the target.
        sent: bool,
        /// Whether the target rejected the request and stated that it ran no part of it.
        rejected: bool,
    },
}

/// The load of one target at one time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The build of the engine; engines that state none belong to one unnamed build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub build: Option<BuildName>,
    /// The incarnation of the engine process; it changes with each restart.
    pub incarnation: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests in the target's own queue.
    pub waiting: u32,
    /// The number of queued prompt tokens whose prefill has not run.
    pub waiting_tokens: u64,
    /// The age of the report on arrival, in milliseconds.
    pub age_ms: u64,
}

impl LoadReport {
    /// Returns whether the report can be passed on to peers.
    pub fn is_valid(&self) -> bool {
        self.build.as_ref().is_none_or(|build| build.as_str().len() <= MAX_BUILD_BYTES)
    }
}

/// Consecutive prefix cache events of one target, or a snapshot of its cache.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheBatch {
    /// The incarnation of the engine process; it changes with each restart.
    pub incarnation: u64,
    /// The sequence number of the first event. For a snapshot, that of the first event after the snapshot.
    pub first: u64,
    /// Whether the events list the complete cache rather than changes.
    pub snapshot: bool,
    /// The events, in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was added to the cache.
    Stored {
        /// The chained hash of the block.
        piece: u128,
        /// The chained hash of the preceding block; zero for the first block of a prompt.
        parent: u128,
    },
    /// A block was evicted from the cache.
    Evicted {
        /// The chained hash of the block.
        piece: u128,
    },
    /// All blocks were removed from the cache.
    Cleared,
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListing {
    /// The name of the VM.
    pub vm: VmName,
    /// The state that the platform reports, which can be outdated.
    pub state: VmState,
    /// The IP address and port at which the VM's router receives peer messages, if the platform knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<String>,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}
