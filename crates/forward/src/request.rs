//! The data of one request: what the caller sent, the plan for an attempt, its outcome, and the refusals.

use std::{net::SocketAddr, sync::Arc};

use godwitroad_base::{
    AccountName, BuildName, ClockSpan, ClockTime, ModelName, ServiceName, TargetName,
};
use godwitroad_config::KeyHash;
use godwitroad_cost::SentRequest;
use godwitroad_origins::{BuildTag, StreamKey};
use godwitroad_quarantine::{AnswerPhase, PartKey, RequestDigest};

use crate::{
    load::WorkSum,
    rules::{AccountRule, RouteRule},
    segments::PromptPart,
};

/// A request as the caller sent it, without its body.
#[derive(Clone, Debug, Default)]
pub struct ForwardArrival {
    /// The caller's id for the request.
    pub id: Arc<str>,
    /// The value of the `Host` header.
    pub host: String,
    /// The path of the URL, without the query.
    pub path: String,
    /// The hash of the API key, if the request carries one.
    pub key: Option<KeyHash>,
    /// The requested model, for engine requests.
    pub model: Option<ModelName>,
    /// The declared segments of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The declared numbers of tokens: of the prompt, and the maximum of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The digest by which the request is recognized when it comes again.
    pub digest: RequestDigest,
    /// How long the caller will wait, if it says so.
    pub max_wait: Option<ClockSpan>,
    /// The id of the attempt that began the stream, if the caller takes it up again.
    pub resumes: Option<Arc<str>>,
    /// The number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Why a request is refused or has failed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// This router is shutting down.
    Stopping,
    /// No configuration is known yet, or the targets haven't been listed yet.
    NoConfiguration,
    /// No route matches.
    RouteUnknown,
    /// The route needs a key, and there is none or an unknown one.
    KeyInvalid,
    /// This router has no valid freshness proof, so it can't tell whether the key is still valid.
    ContactLost,
    /// A peer has a newer configuration, and this router can't prove that its own was in force until recently.
    ConfigOutdated,
    /// The account has used up its allowance (its quota).
    AllowanceUsed,
    /// No target of the service is usable.
    NoTarget,
    /// The estimated wait is too long for the route's latency objective or the request's deadline.
    Overloaded,
    /// No target of the version of the software at which the stream began is usable.
    BuildGone,
    /// Several versions of the software may have begun the stream.
    OriginUnknown,
    /// All targets that were tried rejected the request.
    TargetsRefused,
    /// All usable targets have got as many requests as they take.
    TargetsLimited,
    /// All usable targets are brittle and have no room, or have got as many requests as they take.
    TargetsBrittle,
    /// All usable targets want no requests for a time.
    TargetsDeferring,
    /// The prompt has a part that crashes targets.
    PromptWithheld,
    /// The same request has crashed several targets.
    RequestWithheld,
    /// The deadline passed before the request was sent to a target.
    TimeOver,
    /// The request may have run; its target failed.
    TargetFailed,
    /// The request may have run; its target didn't answer before the deadline.
    TargetTimeout,
}

/// A refusal or failure to be returned to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForwardRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which the caller should retry, if retrying helps.
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
            | RefusalReason::ConfigOutdated
            | RefusalReason::NoTarget
            | RefusalReason::Overloaded
            | RefusalReason::BuildGone
            | RefusalReason::OriginUnknown
            | RefusalReason::TargetsRefused
            | RefusalReason::TargetsLimited
            | RefusalReason::TargetsBrittle
            | RefusalReason::TargetsDeferring
            | RefusalReason::PromptWithheld
            | RefusalReason::RequestWithheld
            | RefusalReason::TimeOver => 503,
        }
    }

    /// Returns the name that is used in error bodies, logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoConfiguration => "no_configuration",
            RefusalReason::RouteUnknown => "route_unknown",
            RefusalReason::KeyInvalid => "key_invalid",
            RefusalReason::ContactLost => "contact_lost",
            RefusalReason::ConfigOutdated => "config_outdated",
            RefusalReason::AllowanceUsed => "allowance_used",
            RefusalReason::NoTarget => "no_target",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::BuildGone => "build_gone",
            RefusalReason::OriginUnknown => "origin_unknown",
            RefusalReason::TargetsRefused => "targets_refused",
            RefusalReason::TargetsLimited => "targets_limited",
            RefusalReason::TargetsBrittle => "targets_brittle",
            RefusalReason::TargetsDeferring => "targets_deferring",
            RefusalReason::PromptWithheld => "prompt_withheld",
            RefusalReason::RequestWithheld => "request_withheld",
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
    /// Returns a refusal without a retry-after time.
    pub fn new(reason: RefusalReason) -> ForwardRefusal {
        ForwardRefusal { reason, retry_after: None }
    }

    /// Returns a refusal with the time after which the caller should retry.
    pub fn after(reason: RefusalReason, wait: ClockSpan) -> ForwardRefusal {
        ForwardRefusal { reason, retry_after: Some(wait) }
    }
}

/// An admitted request.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// What the caller sent.
    pub arrival: ForwardArrival,
    /// The route that matched.
    pub route: Arc<RouteRule>,
    /// The service that was drawn from the route's traffic split.
    pub service: ServiceName,
    /// The client account that owns the request's key, if any.
    pub account: Option<Arc<AccountRule>>,
    /// When the request arrived.
    pub arrived: ClockTime,
    /// The deadline: the arrival plus the caller's or the route's time limit, whichever is shorter.
    pub deadline: ClockTime,
    /// The units that were charged to the account's allowance.
    pub units: u64,
    /// The targets that were chosen for it so far.
    pub tried: Vec<TargetName>,
    /// The number of attempts, less those that certainly didn't run it.
    pub attempts: u32,
    /// Whether a target has run it or may have.
    pub may_have_run: bool,
    /// Whether it was withheld and is sent to find out whether it crashes targets.
    pub is_test: bool,
    /// The version of the targets' software at which its stream began; the stream goes on at no other one.
    pub begun_build: Option<BuildTag>,
    /// The version of the weights on which its answer began. A continued answer stays on it where a target still serves
    /// it.
    pub begun_version: Option<u64>,
}

/// The target of one attempt and what to send along with the request.
#[derive(Clone, Debug)]
pub struct SendPlan {
    /// The target's name; another target at the same address must reject the request.
    pub target: TargetName,
    /// The target's address.
    pub address: SocketAddr,
    /// The name of the client account, if any.
    pub account: Option<AccountName>,
    /// The version of the target's software.
    pub build: BuildName,
    /// When the target started, in Unix milliseconds.
    pub started_ms: u64,
    /// The version of the weights on which the request must run.
    pub version: Option<u64>,
    /// The salt of the request's cache entries.
    pub salt: Option<Arc<str>>,
    /// The address from which the target fetches prompt segments that it doesn't have cached.
    pub fetch_from: Option<SocketAddr>,
    /// The address of the shared cache store to which the target saves a copy of the segments.
    pub save_to: Option<SocketAddr>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The time until the request's deadline.
    pub time_left: ClockSpan,
    /// When the answer must have begun, as the target's weights are outdated afterwards; `None` if they are the newest.
    pub begin_by: Option<ClockTime>,
    /// Whether the request needs a new connection, on which no answer to another request can still arrive.
    pub fresh_connection: bool,
    /// Whether the request tries out whether the target accepts requests again.
    pub is_trial: bool,
    /// The work that the request adds to the target.
    pub work: WorkSum,
    /// The estimated wait for the first token in ms, for the log.
    pub wait_ms: u64,
    /// Prompt tokens that the target probably has cached, for the log.
    pub cached_tokens: u64,
    /// The most prompt tokens that any holder probably has cached, for the log.
    pub cached_anywhere: u64,
    /// Prompt tokens that the target has to compute, for the log.
    pub prefill_tokens: u64,
    /// The request in the cost model, with the estimate; `None` if the model isn't active for the service.
    pub sent: Option<SentRequest>,
    /// When the target was chosen.
    pub chosen_at: ClockTime,
    /// The events of the stream so far.
    pub progress: StreamProgress,
}

/// How far the stream of an attempt has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamProgress {
    /// When the first event arrived, and the latest.
    pub span: Option<(ClockTime, ClockTime)>,
    /// The number of events.
    pub events: u64,
}

impl StreamProgress {
    /// Records that events arrived.
    pub fn record(&mut self, now: ClockTime, events: u64) {
        self.span = Some((self.span.map_or(now, |(first, _)| first), now));
        self.events += events;
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Complete {
        /// Its HTTP status.
        status: u16,
    },
    /// The target rejected the request without running it.
    Rejected {
        /// Whether the reason was that it is another target than expected, or serves other weights.
        mismatch: bool,
    },
    /// Nothing was sent, as when no connection could be opened.
    NotSent,
    /// The connection was lost after the request was sent.
    Lost {
        /// How far the answer had come.
        phase: AnswerPhase,
    },
    /// The target was silent, and another one has accepted the request.
    Silent,
    /// The answer was malformed or belonged to another request.
    Failed,
    /// This router ended the attempt before the answer began, as the target's weights are about to be outdated.
    Outdated,
    /// Another target has accepted the stream because this one is about to load weights; see
    /// [`ForwardState::relocate`](crate::ForwardState::relocate).
    Relocated,
    /// The request was offered while another target was silent, and that one went on.
    Superseded,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline passed.
    TimeOver,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Deliver the answer to the caller.
    Deliver,
    /// Choose another target and try again.
    Again,
    /// Return a refusal or failure to the caller.
    End(ForwardRefusal),
}

impl AttemptOutcome {
    /// Returns whether the target may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptOutcome::Rejected { .. } | AttemptOutcome::NotSent)
    }
}

impl ForwardRequest {
    /// Returns whether the request may run more than once: its route is repeatable or its stream can be resumed.
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.route.streaming && self.route.resumable
    }

    /// Takes over the record of the targets to which a copy of this request was offered.
    pub fn record_offers(&mut self, successor: ForwardRequest) {
        self.may_have_run |= successor.attempts > self.attempts;
        self.tried = successor.tried;
        self.attempts = successor.attempts;
    }

    /// Returns whether the caller takes up a stream that began earlier.
    pub fn takes_up_stream(&self) -> bool {
        self.route.streaming
            && (self.arrival.last_event.is_some() || self.arrival.resumes.is_some())
    }

    /// Returns the key of the request's stream; `None` if the caller takes it up without naming the attempt that began it.
    pub fn stream_key(&self) -> Option<StreamKey> {
        let account = self.account.as_ref().map_or("", |account| account.name.as_str());
        let own = (!self.takes_up_stream()).then_some(&self.arrival.id);
        let attempt = self.arrival.resumes.as_ref().or(own)?;
        Some(StreamKey::new(account, attempt))
    }

    /// Returns the key by which the account's request is recognized when it comes again.
    pub fn repeat_key(&self) -> PartKey {
        let account = self.account.as_ref().map_or("", |account| account.name.as_str());
        self.arrival.digest.key_for(account)
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self, now: ClockTime) -> ClockSpan {
        self.deadline.since(now)
    }

    /// Returns the priority; the account's overrides the route's.
    pub fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}
