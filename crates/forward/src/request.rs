//! One request on its way: what the caller sent, where it goes, and what follows from each outcome.

use std::{net::SocketAddr, sync::Arc};

use godwitroad_base::{AccountName, ClockSpan, ClockTime, ModelName, ServiceName, TargetName};
use godwitroad_config::KeyHash;

use crate::{
    load::WorkSum,
    rules::{AccountRule, RouteRule},
    segments::PromptPart,
};

/// A request as the caller sent it, without its body.
#[derive(Clone, Debug, Default)]
pub struct ForwardArrival {
    /// The caller's id of this request.
    pub id: Arc<str>,
    /// The host that it names.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The hash of its key.
    pub key: Option<KeyHash>,
    /// The model.
    pub model: Option<ModelName>,
    /// The declared parts of the prompt.
    pub prompt: Vec<PromptPart>,
    /// The declared tokens: of the prompt, and the most of the answer.
    pub tokens: Option<(u64, u64)>,
    /// How long the caller will wait.
    pub max_wait: Option<ClockSpan>,
    /// The last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// Why a request is refused or given up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// This router is about to end.
    Stopping,
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    RouteUnknown,
    /// The route needs a key, and there is none or an unknown one.
    KeyInvalid,
    /// This router can't prove that the key is still valid.
    ContactLost,
    /// The account has used its allowance.
    AllowanceUsed,
    /// No target of the service is usable.
    NoTarget,
    /// The request would wait longer than it may.
    Overloaded,
    /// All targets that were tried refused the request.
    TargetsRefused,
    /// The time was over before the request was handed to a target.
    TimeOver,
    /// The request may have run; its target failed.
    TargetFailed,
    /// The request may have run; its target didn't answer in time.
    TargetTimeout,
}

/// A refusal or failure for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Option<ClockSpan>,
}

impl RefusalReason {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::RouteUnknown => 404,
            RefusalReason::KeyInvalid => 401,
            RefusalReason::AllowanceUsed => 429,
            RefusalReason::TargetFailed => 502,
            RefusalReason::TargetTimeout => 504,
            RefusalReason::Stopping
            | RefusalReason::NoConfiguration
            | RefusalReason::ContactLost
            | RefusalReason::NoTarget
            | RefusalReason::Overloaded
            | RefusalReason::TargetsRefused
            | RefusalReason::TimeOver => 503,
        }
    }

    /// Returns the name that error bodies, logs and counters use.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::RouteUnknown => "route_unknown",
            RefusalReason::KeyInvalid => "key_invalid",
            RefusalReason::ContactLost => "contact_lost",
            RefusalReason::AllowanceUsed => "allowance_used",
            RefusalReason::NoTarget => "no_target",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::TargetsRefused => "targets_refused",
            RefusalReason::TimeOver => "time_over",
            RefusalReason::TargetFailed => "target_failed",
            RefusalReason::TargetTimeout => "target_timeout",
        }
    }

    /// Returns whether the request has certainly not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, RefusalReason::TargetFailed | RefusalReason::TargetTimeout)
    }
}

impl ForwardRefusal {
    /// Returns a refusal without a time to come back.
    pub fn new(reason: RefusalReason) -> ForwardRefusal {
        ForwardRefusal { reason, retry_after: None }
    }

    /// Returns a refusal with the time after which the caller should come back.
    pub fn after(reason: RefusalReason, wait: ClockSpan) -> ForwardRefusal {
        ForwardRefusal { reason, retry_after: Some(wait) }
    }
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// What the caller sent.
    pub arrival: ForwardArrival,
    /// The route.
    pub route: Arc<RouteRule>,
    /// The service.
    pub service: ServiceName,
    /// The account whose key came with it.
    pub account: Option<Arc<AccountRule>>,
    /// When it arrived.
    pub arrived: ClockTime,
    /// When the caller or the route gives up.
    pub deadline: ClockTime,
    /// Units that it took of the account's allowance.
    pub units: u64,
    /// Targets that it was handed to.
    pub tried: Vec<TargetName>,
    /// Hand-overs that may have run it.
    pub attempts: u32,
    /// Whether some target has certainly begun to run it, or may have.
    pub may_have_run: bool,
}

/// Where to send a request, and with what.
#[derive(Clone, Debug)]
pub struct SendPlan {
    /// The target, which must be the one at the address.
    pub target: TargetName,
    /// The address.
    pub address: SocketAddr,
    /// The account's name.
    pub account: Option<AccountName>,
    /// The weights on which it must run.
    pub version: Option<u64>,
    /// The salt of its cache entries.
    pub salt: Option<Arc<str>>,
    /// Where the target fetches missing parts of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Where the target keeps a copy of the parts.
    pub save_to: Option<SocketAddr>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The time that is left.
    pub time_left: ClockSpan,
    /// Whether the send must use a connection on which no answer of another request can be due.
    pub fresh_connection: bool,
    /// The work that it adds to the target.
    pub work: WorkSum,
    /// The estimated wait for the first token in ms, for the log.
    pub wait_ms: u64,
    /// Prompt tokens that the target is believed to hold, for the log.
    pub cached_tokens: u64,
    /// Prompt tokens that any holder is believed to have, for the log.
    pub cached_anywhere: u64,
    /// Prompt tokens that the target will read, for the log.
    pub prefill_tokens: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Complete {
        /// Its status.
        status: u16,
    },
    /// The target says that it did not run the request.
    Rejected {
        /// Whether it is another target than expected, or serves other weights.
        mismatch: bool,
    },
    /// No byte was sent.
    NotSent,
    /// The connection failed, or the answer was broken or not the request's own.
    Failed,
    /// The caller left.
    CallerLeft,
    /// The time was over.
    TimeOver,
}

/// What follows from an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Deliver the answer.
    Deliver,
    /// Place the request again.
    Again,
    /// End with an error.
    End(ForwardRefusal),
}

impl ForwardRequest {
    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.route.streaming && self.route.resumable
    }

    /// Returns the time that is left.
    pub fn time_left(&self, now: ClockTime) -> ClockSpan {
        self.deadline.since(now)
    }

    /// Returns the rank: the account's goes before the route's.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}
