//! The `Retry-After` header of an answer (RFC 9110, section 10.2.3).

use std::time::SystemTime;

use actix_web::http::header::{HeaderMap, HttpDate, RETRY_AFTER};
use godwitroad_base::ClockSpan;

/// The longest wait that is read from a header; each user sets its own bound below.
const MAX_WAIT_SECS: u64 = 86_400;

/// Returns how long the sender of an answer wants to be left alone, or `None` without one valid time in the future.
pub fn retry_after(headers: &HeaderMap, now: SystemTime) -> Option<ClockSpan> {
    let mut values = headers.get_all(RETRY_AFTER);
    let (value, None) = (values.next()?, values.next()) else { return None };
    let text = value.to_str().ok()?.trim();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let wait_ms = if is_number {
        // Only a number beyond 64 bits fails here.
        text.parse().unwrap_or(MAX_WAIT_SECS).min(MAX_WAIT_SECS) * 1_000
    } else {
        let date = SystemTime::from(text.parse::<HttpDate>().ok()?);
        let wait = date.duration_since(now).ok()?;
        wait.as_secs().min(MAX_WAIT_SECS) * 1_000 + u64::from(wait.subsec_millis())
    };
    (wait_ms > 0).then_some(ClockSpan::from_ms(wait_ms))
}
