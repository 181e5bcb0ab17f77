//! Access to the store through the state machine that the routers use.
//!
//! [`StoreClient`] decides about retries, back-off and calls whose answer was lost; this module sends its calls and
//! passes the time to it.

mod config;
mod http;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_store::{
    CallClass, ClientSettings, OperationError, OperationId, OperationReply, OperationSpec,
    StoreAction, StoreClient, StoreEntry, StoreEvent, StoreKey, StoreOperation,
};

pub(crate) use config::{CurrentConfig, ReadError, read_current, read_head};
use http::StoreHttpClient;

/// The interval of the state machine's ticks.
const TICK_INTERVAL_MS: u64 = 10;

/// The timeout of a read, including its retries. It is short because an operator would rather repeat a command than wait
/// for an outage to end.
const OPERATION_TIMEOUT_MS: u64 = 5_000;

/// The maximum rate of calls per second; the store handles several hundred writes per second from the whole fleet.
const CALLS_PER_SECOND: u64 = 200;

/// Access to the store for the duration of one command.
pub(crate) struct StoreSession {
    http: StoreHttpClient,
    state_machine: StoreClient<OperationId>,
    started: Instant,
    last_op: u64,
}

impl StoreSession {
    pub(crate) fn new(url: &str, random: SeededRandom) -> StoreSession {
        let mut settings = ClientSettings::default();
        settings.budget.rates = [CALLS_PER_SECOND; 3];
        settings.budget.bursts = [CALLS_PER_SECOND; 3];
        StoreSession {
            http: StoreHttpClient::new(url),
            state_machine: StoreClient::new(settings, random),
            started: Instant::now(),
            last_op: 0,
        }
    }

    /// Reads several keys concurrently and returns their entries in the order of `keys`, with `None` for a missing key.
    pub(crate) async fn get_all(
        &mut self,
        keys: Vec<StoreKey>,
    ) -> Result<Vec<Option<StoreEntry>>, OperationError> {
        let first = self.last_op + 1;
        self.last_op += keys.len() as u64;
        let mut values = vec![Ok(None); keys.len()];
        let operations = keys.into_iter().zip(first..).map(|(key, op)| {
            let operation = StoreOperation::Get { key };
            (
                OperationId(op),
                OperationSpec::new(CallClass::Config, operation, OPERATION_TIMEOUT_MS),
            )
        });
        let operations = operations.collect();
        self.run_operations(operations, |op, result| {
            values[(op.0 - first) as usize] = match result {
                Ok(OperationReply::Value(entry)) => Ok(entry),
                Ok(_) => Err(OperationError::Rejected),
                Err(error) => Err(error),
            };
            Vec::new()
        })
        .await;
        values.into_iter().collect()
    }

    /// Runs `operations` until all have ended.
    ///
    /// `on_complete` receives the result of each operation and returns further operations to run.
    pub(crate) async fn run_operations(
        &mut self,
        operations: Vec<(OperationId, OperationSpec)>,
        mut on_complete: impl FnMut(
            OperationId,
            Result<OperationReply, OperationError>,
        ) -> Vec<(OperationId, OperationSpec)>,
    ) {
        let submit = |(tag, spec)| StoreEvent::Submit { tag, spec };
        let mut pending = operations.len();
        let mut events: VecDeque<_> = operations.into_iter().map(submit).collect();
        let mut calls = FuturesUnordered::new();
        while pending > 0 {
            while let Some(event) = events.pop_front() {
                let now = ClockTime::from_ms(self.started.elapsed().as_millis() as u64);
                let mut actions = Vec::new();
                self.state_machine.handle(now, event, &mut actions);
                for action in actions {
                    match action {
                        StoreAction::Call { call, request } => {
                            let http = self.http.clone();
                            calls.push(async move { (call, http.call(&request).await) });
                        }
                        StoreAction::Done { tag, result } => {
                            let follow_ups = on_complete(tag, result);
                            pending = pending - 1 + follow_ups.len();
                            events.extend(follow_ups.into_iter().map(submit));
                        }
                        StoreAction::Watched { .. } | StoreAction::Reachable(_) => {}
                    }
                }
            }
            let tick = actix_rt::time::sleep(Duration::from_millis(TICK_INTERVAL_MS));
            let event = tokio::select! {
                Some((call, outcome)) = calls.next() => StoreEvent::Outcome { call, outcome },
                () = tick => StoreEvent::Tick,
            };
            events.push_back(event);
        }
    }
}
