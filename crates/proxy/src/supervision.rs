//! Keeps the process's lasting tasks running after a panic.
//!
//! A panic ends only the task in which it occurs: one request, or one lasting task. Without a restart, a router whose
//! store task ended would go on without ever learning of a change.

use std::{future::Future, time::Duration};

use actix_rt::spawn;

/// The time before a task that panicked is started again, so that one that always panics doesn't occupy the process.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task until it ends without a panic, and starts it again after each panic. `report` gets the message of each.
pub(crate) async fn run_supervised<F>(task: impl Fn() -> F, report: impl Fn(&str))
where
    F: Future<Output = ()> + 'static,
{
    while let Err(error) = spawn(task()).await {
        if !error.is_panic() {
            return;
        }
        let payload = error.into_panic();
        let text = payload.downcast_ref::<String>().map(String::as_str);
        report(text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("unknown"));
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

#[cfg(test)]
#[path = "../tests/unit/supervision.rs"]
mod tests;
