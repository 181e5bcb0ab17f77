//! The actions that a router requests from its adapters.

use std::sync::Arc;

use godwitroad_base::{BuildName, ClockSpan, Incarnation, RequestId, TargetName, VmName, ZoneName};
use godwitroad_config::PriorityClass;
use godwitroad_store::{CallId, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;

/// An action that [`crate::RouterState::handle`] requests.
#[derive(Clone, Debug)]
pub enum RouterAction {
    /// An id was assigned to a request; all later actions for the request carry it.
    Accepted {
        /// The adapter's number for the connection, from [`crate::RequestArrival`].
        connection: u64,
        /// The new id, or for a resumed stream the id of the original request.
        id: RequestId,
    },
    /// Sends a request to a target.
    Dispatch(DispatchOrder),
    /// Closes the attempt's connection, which cancels the work at the target.
    Cancel {
        /// The request that is attempted.
        id: RequestId,
        /// The attempt's number, counted from one.
        attempt: u32,
    },
    /// Pauses or resumes reading from an attempt's connection, which bounds the buffer of a slow caller.
    Pause {
        /// The request that is attempted.
        id: RequestId,
        /// The attempt's number, counted from one.
        attempt: u32,
        /// Whether reading is paused.
        paused: bool,
    },
    /// Sends the next item of the answer to the caller.
    Reply {
        /// The request that is answered.
        id: RequestId,
        /// The next item of the answer.
        reply: CallerReply,
    },
    /// Reads the complete cache of a target, because cache events were lost.
    RequestSnapshot {
        /// The target whose cache is read.
        target: TargetName,
    },
    /// Sends a message to another router.
    Peer {
        /// The VM of the receiving router.
        to: VmName,
        /// The message to send; its loss is not reported.
        message: PeerMessage,
    },
    /// All peers that are known now; the list replaces any earlier one.
    Peers(Vec<PeerEndpoint>),
    /// Calls the store.
    Store {
        /// The id of the call, echoed in [`crate::RouterEvent::Store`].
        call: CallId,
        /// The operation to perform.
        request: StoreRequest,
    },
    /// Logs a change of the router's state for operators.
    StateChanged(StateChange),
    /// The planned stop is complete and the process can exit.
    Exit,
}

/// The network endpoint of another router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEndpoint {
    /// The VM on which the peer runs.
    pub vm: VmName,
    /// The IP address and port at which the peer receives messages.
    pub address: String,
    /// The availability zone; `None` if the VM is in no known roster.
    pub zone: Option<ZoneName>,
    /// The incarnation of the process; `None` if the VM is in no known roster.
    pub incarnation: Option<Incarnation>,
}

/// A request to be sent to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOrder {
    /// The id of the request.
    pub id: RequestId,
    /// The attempt's number, counted from one.
    pub attempt: u32,
    /// The name of the chosen target.
    pub target: TargetName,
    /// The target's IP address and port.
    pub address: String,
    /// The salt that separates the engine's cache entries by account and model version; empty for a plain service.
    pub cache_salt: String,
    /// The priority in the engine's own queue.
    pub priority: PriorityClass,
    /// The time remaining until the request's deadline.
    pub deadline: ClockSpan,
    /// The answer so far, if the attempt resumes a stream that another target did not complete.
    pub resume: Option<ResumePoint>,
}

/// The position from which a target continues a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// The number of tokens received before the stream broke.
    pub tokens: u64,
    /// The text of these tokens.
    pub text: Arc<str>,
}

/// One item of the answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The head of the response.
    Header {
        /// The HTTP status code.
        status: u16,
        /// The value of the `content-type` header.
        content_type: String,
    },
    /// The next bytes of a plain service's response body.
    Data(Arc<[u8]>),
    /// One server-sent event of a stream.
    Event {
        /// The position of the event in the stream, counted from one.
        number: u64,
        /// The event's data field.
        data: Arc<str>,
    },
    /// The answer is complete.
    End,
    /// The answer is incomplete or was never started; nothing follows.
    Failed(CallerError),
}

/// The error that a caller receives in place of a complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerError {
    /// The kind of the error, which determines the HTTP status.
    pub kind: ErrorKind,
    /// Whether a target ran the request.
    pub outcome: RunOutcome,
    /// The time after which a retry is useful; `None` if a retry cannot succeed.
    pub retry_after: Option<ClockSpan>,
    /// A human-readable explanation.
    pub message: String,
}

/// The kinds of errors that callers can distinguish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request has no API key.
    KeyMissing,
    /// The key is unknown or not valid on the route.
    KeyInvalid,
    /// The key was withdrawn while the request was queued or running.
    KeyWithdrawn,
    /// No route matches the path.
    RouteUnknown,
    /// The service doesn't serve the model.
    ModelUnknown,
    /// The request is malformed.
    RequestInvalid,
    /// The account's rate and burst are used up.
    RateExceeded,
    /// The request can't be served before its deadline.
    Overloaded,
    /// No target is available for the request.
    TargetUnavailable,
    /// The prompt has a block that crashes targets.
    PromptWithheld,
    /// The same request has crashed several targets.
    RequestWithheld,
    /// The target failed.
    TargetFailed,
    /// The idempotency key could not be claimed.
    ClaimUnavailable,
    /// Another request with the same idempotency key is queued or running.
    ClaimPending,
    /// The request with this idempotency key may have run, and its outcome is unknown.
    ClaimUnknown,
    /// The request with this idempotency key ran, and its answer is no longer stored.
    AnswerLost,
    /// The idempotency key was used for a request with a different body or path.
    ClaimMismatch,
    /// The stream to be resumed is no longer available.
    StreamLost,
    /// The router isn't ready or is stopping.
    NotReady,
    /// The availability zone is isolated, and the account is configured to be refused in that case.
    ZoneCutOff,
}

/// Whether a request that failed was run by a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request certainly did not run and can be retried safely.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran to completion under the same idempotency key.
    Ran,
}

/// A change of the router's state that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StateChange {
    /// A new configuration is in force.
    ConfigInForce {
        /// The generation of the configuration.
        generation: u64,
    },
    /// The router became ready or stopped being ready.
    Readiness {
        /// Whether the router is ready.
        ready: bool,
        /// Why the router is or is not ready.
        reason: &'static str,
    },
    /// A target's health changed.
    TargetHealth {
        /// The affected target.
        target: TargetName,
        /// The label of the new health state.
        state: &'static str,
    },
    /// A target gets no requests because it named a time before which it wants none.
    TargetDeferred {
        /// The target.
        target: TargetName,
        /// The request that it refused.
        request: RequestId,
        /// The time for which it gets none, at most the longest probation.
        wait: ClockSpan,
    },
    /// A request ended because its target sent nothing until the deadline.
    TargetSilent {
        /// The request, which may have run.
        request: RequestId,
        /// The silent target.
        target: TargetName,
        /// The time since the target was last heard.
        silence: ClockSpan,
    },
    /// An attempt was given up because its target runs another build or other weights than the engine that began the
    /// stream.
    StreamForeign {
        /// The request whose stream it is.
        request: RequestId,
        /// The target whose events did not fit.
        target: TargetName,
    },
    /// A stream ended early because no target runs the build that began it.
    StreamOrphaned {
        /// The request whose stream it is.
        request: RequestId,
        /// The build that began the stream; `None` for the unnamed one.
        build: Option<BuildName>,
    },
    /// Requests with a block of a prompt are withheld, because it crashes targets.
    BlockWithheld {
        /// The short hash of the block.
        block: u64,
        /// The number of crashes that count against it.
        crashes: usize,
    },
    /// The store became reachable or unreachable.
    StoreReachable {
        /// Whether the store is reachable now.
        reachable: bool,
    },
    /// The roster of the own zone has a new epoch.
    RosterEpoch {
        /// The new epoch.
        epoch: u64,
        /// The number of members in that epoch.
        members: usize,
    },
}

impl ErrorKind {
    /// Returns the HTTP status code for the error.
    pub fn status(self) -> u16 {
        match self {
            ErrorKind::KeyMissing | ErrorKind::KeyInvalid | ErrorKind::KeyWithdrawn => 401,
            ErrorKind::RouteUnknown | ErrorKind::ModelUnknown => 404,
            ErrorKind::RequestInvalid => 400,
            ErrorKind::RateExceeded => 429,
            ErrorKind::ClaimPending | ErrorKind::ClaimUnknown | ErrorKind::ClaimMismatch => 409,
            ErrorKind::AnswerLost | ErrorKind::StreamLost => 410,
            ErrorKind::TargetFailed => 502,
            ErrorKind::Overloaded
            | ErrorKind::TargetUnavailable
            | ErrorKind::PromptWithheld
            | ErrorKind::RequestWithheld
            | ErrorKind::ClaimUnavailable
            | ErrorKind::NotReady
            | ErrorKind::ZoneCutOff => 503,
        }
    }
}
