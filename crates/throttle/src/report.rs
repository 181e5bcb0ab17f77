//! What routers tell each other about the limits of targets.

use serde::{Deserialize, Serialize};

use crate::RequestRate;

/// What the latest answer of a target to a router said.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitStatement {
    /// The limit; `None` if there is none any more.
    pub rate: Option<RequestRate>,
    /// The time for which it has been known, in milliseconds.
    pub age_ms: u32,
}

/// What a router reports about one target with a limit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReport {
    /// The target's tag.
    pub target: u32,
    /// The number of requests that the router has sent since it learned of the limit.
    pub sent: u32,
    /// The router's estimate of what the bucket holds, in thousandths of a request.
    pub level: i32,
    /// What the target told this router; `None` if only others were told.
    pub statement: Option<LimitStatement>,
}
