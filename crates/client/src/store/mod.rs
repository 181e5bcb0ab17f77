//! Access to the store through the state machine that the routers use.
//!
//! Lost answers, repetition and back-off are decided by [`StoreClient`]; this module carries its calls and its
//! time.

mod current;
mod gateway;

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

pub(crate) use current::{CurrentConfig, ReadError, read_current, read_head};
use gateway::StoreGateway;

/// The period of the state machine's ticks.
const TICK_MS: u64 = 10;

/// The time after which an operation is given up; an operator repeats a command rather than wait for an outage to
/// end.
const OPERATION_WAIT_MS: u64 = 5_000;

/// The client's calls per second; the service takes several hundred writes a second from the whole fleet.
const CALLS_PER_SECOND: u64 = 200;

/// A connection to the store for the time of one command.
pub(crate) struct StoreSession {
    gateway: StoreGateway,
    machine: StoreClient<OperationId>,
    started: Instant,
    last_op: u64,
}

impl StoreSession {
    pub(crate) fn new(url: &str, random: SeededRandom) -> StoreSession {
        let mut settings = ClientSettings::default();
        settings.budget.rates = [CALLS_PER_SECOND; 3];
        settings.budget.bursts = [CALLS_PER_SECOND; 3];
        StoreSession {
            gateway: StoreGateway::new(url),
            machine: StoreClient::new(settings, random),
            started: Instant::now(),
            last_op: 0,
        }
    }

    /// Reads several keys; the values are in the order of the keys.
    pub(crate) async fn get_all(
        &mut self,
        keys: Vec<StoreKey>,
    ) -> Result<Vec<Option<StoreEntry>>, OperationError> {
        let first = self.last_op + 1;
        self.last_op += keys.len() as u64;
        let mut values = vec![Ok(None); keys.len()];
        let orders = keys.into_iter().zip(first..).map(|(key, op)| {
            let operation = StoreOperation::Get { key };
            (OperationId(op), OperationSpec::new(CallClass::Config, operation, OPERATION_WAIT_MS))
        });
        let orders = orders.collect();
        self.drive(orders, |op, result| {
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

    /// Runs operations, and those that `next` asks for when one ends, until none is left.
    pub(crate) async fn drive(
        &mut self,
        orders: Vec<(OperationId, OperationSpec)>,
        mut next: impl FnMut(
            OperationId,
            Result<OperationReply, OperationError>,
        ) -> Vec<(OperationId, OperationSpec)>,
    ) {
        let submit = |(tag, spec)| StoreEvent::Submit { tag, spec };
        let mut open = orders.len();
        let mut events: VecDeque<_> = orders.into_iter().map(submit).collect();
        let mut calls = FuturesUnordered::new();
        while open > 0 {
            while let Some(event) = events.pop_front() {
                let now = ClockTime::from_ms(self.started.elapsed().as_millis() as u64);
                let mut actions = Vec::new();
                self.machine.handle(now, event, &mut actions);
                for action in actions {
                    match action {
                        StoreAction::Call { call, request } => {
                            let gateway = self.gateway.clone();
                            calls.push(async move { (call, gateway.call(&request).await) });
                        }
                        StoreAction::Done { tag, result } => {
                            let more = next(tag, result);
                            open = open - 1 + more.len();
                            events.extend(more.into_iter().map(submit));
                        }
                        StoreAction::Watched { .. } | StoreAction::Reachable(_) => {}
                    }
                }
            }
            let tick = actix_rt::time::sleep(Duration::from_millis(TICK_MS));
            let event = tokio::select! {
                Some((call, outcome)) = calls.next() => StoreEvent::Outcome { call, outcome },
                () = tick => StoreEvent::Tick,
            };
            events.push_back(event);
        }
    }
}
