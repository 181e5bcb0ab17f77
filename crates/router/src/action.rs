//! Everything that a router can ask of its adapters.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, Incarnation, RequestId, TargetName, VmName, ZoneName};
use godwitroad_config::PriorityClass;
use godwitroad_store::{CallId, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::message::PeerMessage;

/// An action that [`crate::RouterState::handle`] asks for.
#[derive(Clone, Debug)]
pub enum RouterAction {
    /// A request was taken and has this id from now on.
    Accepted {
        /// The adapter's number for the connection.
        connection: u64,
        /// The id of the request.
        id: RequestId,
    },
    /// Send the request to a target.
    Dispatch(DispatchOrder),
    /// Close the attempt's connection and cancel the target's work.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Stop or resume reading an attempt's connection, so that a slow caller's buffer stays bounded.
    Pause {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
        /// Whether reading stops.
        paused: bool,
    },
    /// Give something to the caller.
    Reply {
        /// The request.
        id: RequestId,
        /// What the caller gets.
        reply: CallerReply,
    },
    /// Read the whole cache of a target, because events were lost.
    RequestSnapshot {
        /// The target.
        target: TargetName,
    },
    /// Send a message to a peer.
    Peer {
        /// The receiver.
        to: VmName,
        /// The message.
        message: PeerMessage,
    },
    /// The peers that are known now, with their addresses; earlier lists are void.
    Peers(Vec<PeerEndpoint>),
    /// Call the store.
    Store {
        /// The call, echoed in the outcome.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// A state changed that an operator should see in the log.
    StateChanged(StateChange),
    /// A planned stop is complete: the process may exit.
    Exit,
}

/// Where a peer is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEndpoint {
    /// The VM.
    pub vm: VmName,
    /// The IP address and port for messages between routers.
    pub address: String,
    /// The availability zone, if a roster names the VM.
    pub zone: Option<ZoneName>,
    /// The incarnation of the process, if a roster names the VM.
    pub incarnation: Option<Incarnation>,
}

/// A request on its way to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOrder {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, counted from one.
    pub attempt: u32,
    /// The target.
    pub target: TargetName,
    /// The target's IP address and port.
    pub address: String,
    /// The salt under which the engine caches the prompt; empty for a plain service.
    pub cache_salt: String,
    /// The priority for the engine's own queue.
    pub priority: PriorityClass,
    /// The time that is left until the answer is of no use.
    pub deadline: ClockSpan,
    /// The answer so far, when the attempt goes on with a broken stream.
    pub resume: Option<ResumePoint>,
}

/// Where a broken stream goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePoint {
    /// The number of tokens that the caller already has.
    pub tokens: u64,
    /// The text of these tokens.
    pub text: Arc<str>,
}

/// What a caller gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The header of a plain service's answer.
    Header {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
    },
    /// A part of a plain service's body.
    Data(Arc<[u8]>),
    /// One event of a stream.
    Event {
        /// The position of the event in the stream, counted from one.
        number: u64,
        /// The event's data.
        data: Arc<str>,
    },
    /// The answer is complete.
    End,
    /// The answer ends here without being complete, or never began.
    Failed(CallerError),
}

/// Why a caller has no answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerError {
    /// The kind of error.
    pub kind: ErrorKind,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The time after which the caller may try again, if that helps.
    pub retry_after: Option<ClockSpan>,
    /// The reason for a person.
    pub message: String,
}

/// The kinds of errors that callers can tell apart.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// No key came with the request.
    KeyMissing,
    /// The key is unknown or not valid on the route.
    KeyInvalid,
    /// The key was withdrawn while the request waited or ran.
    KeyWithdrawn,
    /// No route takes the path.
    RouteUnknown,
    /// The service doesn't serve the model.
    ModelUnknown,
    /// The request is malformed.
    RequestInvalid,
    /// The account's rate and burst are used up.
    RateExceeded,
    /// The request can't be served before its deadline.
    Overloaded,
    /// No target can take the request.
    TargetUnavailable,
    /// The target failed.
    TargetFailed,
    /// The idempotency claim couldn't be made certain.
    ClaimUnavailable,
    /// A request with the same idempotency key runs or is about to.
    ClaimPending,
    /// The request with this idempotency key may have run, and its outcome can't be known.
    ClaimUnknown,
    /// The request with this idempotency key ran, and its answer is no longer held.
    AnswerLost,
    /// The idempotency key was used for another request.
    ClaimMismatch,
    /// The stream to go on with is not to be had any more.
    StreamLost,
    /// The router isn't ready or is stopping.
    NotReady,
    /// The availability zone is cut off, and the account is set to be refused then.
    ZoneCutOff,
}

/// Whether a request without an answer ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The request certainly didn't run and may be sent again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran to its end under the same idempotency key.
    Ran,
}

/// A change of state that is worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StateChange {
    /// A configuration is in force.
    ConfigInForce {
        /// The generation.
        generation: u64,
    },
    /// The router became ready or stopped being ready.
    Readiness {
        /// Whether the router is ready.
        ready: bool,
        /// The reason.
        reason: &'static str,
    },
    /// A target's health changed.
    TargetHealth {
        /// The target.
        target: TargetName,
        /// The new state.
        state: &'static str,
    },
    /// The store became reachable or unreachable.
    StoreReachable {
        /// Whether the store answers.
        reachable: bool,
    },
    /// The roster of the zone has a new epoch.
    RosterEpoch {
        /// The epoch.
        epoch: u64,
        /// The number of members.
        members: usize,
    },
}

impl ErrorKind {
    /// Returns the HTTP status of the error.
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
            | ErrorKind::ClaimUnavailable
            | ErrorKind::NotReady
            | ErrorKind::ZoneCutOff => 503,
        }
    }
}
