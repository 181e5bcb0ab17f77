//! Error responses to callers (section 5 of the design page).

use actix_web::{
    HttpResponse,
    http::{StatusCode, header::RETRY_AFTER},
};
use godwitroad_base::RequestId;
use godwitroad_router::{CallerError, ErrorKind, RunOutcome};
use serde_json::{Value, json};

/// Returns the JSON body of an error.
pub(super) fn error_body(error: &CallerError, id: Option<RequestId>) -> Value {
    json!({"error": {
        "type": error.kind,
        "message": error.message,
        "outcome": error.outcome,
        "request_id": id.map(|id| id.to_string()),
        "retry_after_ms": error.retry_after,
    }})
}

/// Returns the HTTP response of an error.
pub(crate) fn error_response(error: &CallerError, id: Option<RequestId>) -> HttpResponse {
    let status = StatusCode::from_u16(error.kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if let Some(wait) = error.retry_after {
        // The header has whole seconds; round up, so that the caller does not retry too early.
        response.insert_header((RETRY_AFTER, wait.as_ms().div_ceil(1_000).to_string()));
    }
    if let Some(id) = id {
        response.insert_header(("x-request-id", id.to_string()));
    }
    response.json(error_body(error, id))
}

/// Returns an error for a request that certainly did not run.
pub(super) fn not_run_error(kind: ErrorKind, message: &str) -> CallerError {
    let message = message.to_string();
    CallerError { kind, outcome: RunOutcome::NotRun, retry_after: None, message }
}
