//! Error answers that the router produces itself.

use actix_web::{HttpResponse, http::StatusCode};
use godwitroad_forward::ForwardRefusal;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    r#type: &'a str,
    /// `not_run` if no target ran the request, so that it is safe to retry; otherwise `unknown`.
    outcome: &'static str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the error answer for a refused or failed request. `close` closes the connection after it.
pub(super) fn refusal_response(id: &str, refusal: ForwardRefusal, close: bool) -> HttpResponse {
    let reason = refusal.reason;
    let outcome = if reason.is_not_run() { "not_run" } else { "unknown" };
    let wait = refusal.retry_after.map(|wait| wait.as_ms());
    error_response(reason.status(), reason.name(), outcome, id, wait, close)
}

/// Returns an error answer with a JSON body.
pub(super) fn error_response(
    status: u16,
    kind: &str,
    outcome: &'static str,
    id: &str,
    retry_after_ms: Option<u64>,
    close: bool,
) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(ms) = retry_after_ms {
        // Callers accept fractions of a second. Rounding up to whole seconds would exceed the time limit of most
        // requests.
        response.insert_header(("retry-after", format!("{:.3}", ms as f64 / 1_000.0)));
    }
    if close {
        response.force_close();
    }
    let detail = ErrorDetail { r#type: kind, outcome, request_id: id, retry_after_ms };
    response.json(ErrorBody { error: detail })
}
