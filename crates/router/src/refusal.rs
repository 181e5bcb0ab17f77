//! Constructors and messages of the errors that callers receive.

use godwitroad_base::ClockSpan;

use crate::{CallerError, ErrorKind, RunOutcome};

/// The time after which a caller may retry if no better estimate is available.
pub(crate) const DEFAULT_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(1_000);

impl CallerError {
    /// Returns the error for a request that certainly did not run.
    pub(crate) fn not_run(kind: ErrorKind) -> CallerError {
        CallerError {
            kind,
            outcome: RunOutcome::NotRun,
            retry_after: default_retry_after(kind),
            message: kind.message().to_owned(),
        }
    }

    /// Returns the error for a request that may have run.
    pub(crate) fn unknown(kind: ErrorKind) -> CallerError {
        CallerError { outcome: RunOutcome::Unknown, ..CallerError::not_run(kind) }
    }

    /// Returns the error for a request without further attempts; `has_not_run` if certainly no attempt ran.
    pub(crate) fn after_attempts(kind: ErrorKind, has_not_run: bool) -> CallerError {
        if has_not_run { CallerError::not_run(kind) } else { CallerError::unknown(kind) }
    }

    pub(crate) fn retry_after(self, span: ClockSpan) -> CallerError {
        CallerError { retry_after: Some(span), ..self }
    }
}

impl ErrorKind {
    fn message(self) -> &'static str {
        match self {
            ErrorKind::KeyMissing => "the route needs a key in the authorization header",
            ErrorKind::KeyInvalid => "the key is not valid on this route",
            ErrorKind::KeyWithdrawn => "the key was withdrawn",
            ErrorKind::RouteUnknown => "no route takes this path",
            ErrorKind::ModelUnknown => "no target of this route serves the model",
            ErrorKind::RequestInvalid => "the request is malformed",
            ErrorKind::RateExceeded => "the account's rate and burst are used up",
            ErrorKind::Overloaded => "the request can't be served before its deadline",
            ErrorKind::TargetUnavailable => "no target can take the request",
            ErrorKind::PromptWithheld => "the prompt has a block that crashes targets",
            ErrorKind::RequestWithheld => "the same request has crashed several targets",
            ErrorKind::TargetFailed => "the target failed before the answer was complete",
            ErrorKind::ClaimUnavailable => "the idempotency key can't be claimed at the moment",
            ErrorKind::ClaimPending => "a request with this idempotency key runs or is about to",
            ErrorKind::ClaimUnknown => "the request with this idempotency key may have run",
            ErrorKind::AnswerLost => "the request ran, and its answer is no longer held",
            ErrorKind::ClaimMismatch => "the idempotency key was used for another request",
            ErrorKind::StreamLost => "the stream can't be continued",
            ErrorKind::NotReady => "the router is not ready or is stopping",
            ErrorKind::ZoneCutOff => "the availability zone is cut off",
        }
    }
}

fn default_retry_after(kind: ErrorKind) -> Option<ClockSpan> {
    let can_retry = matches!(
        kind,
        ErrorKind::RateExceeded
            | ErrorKind::Overloaded
            | ErrorKind::TargetUnavailable
            | ErrorKind::ClaimUnavailable
            | ErrorKind::ClaimPending
            | ErrorKind::NotReady
            | ErrorKind::ZoneCutOff
    );
    can_retry.then_some(DEFAULT_RETRY_AFTER)
}
