//! The budget for everything that callers make the process hold.
//!
//! Each connection takes a part for its buffers, and a further one for the body or the answer that is held for it. When the
//! budget is short, the connections whose callers have made no progress for the longest time are closed.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fmt,
    rc::Rc,
};

use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep},
};

/// The memory that a connection takes without a body or an answer: its buffers, its task and its socket.
const CONNECTION_BYTES: usize = 24 << 10;

/// The transferred bytes that count as progress. Less, such as single bytes now and then, must not keep a connection open.
const PROGRESS_BYTES: usize = 4 << 10;

/// How often, and at which interval, a part of the budget is asked for again after connections were closed to free it.
const RETRIES: usize = 20;
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The limits of what callers may make the process hold.
#[derive(Clone, Copy, Debug)]
pub struct CallerBounds {
    /// The bytes that all connections, bodies and answers may take together.
    pub bytes: usize,
    /// The bytes of them that large bodies of requests may take.
    pub body_bytes: usize,
    /// The number of connections.
    pub connections: usize,
    /// The time without progress after which a connection may be closed when the budget is short.
    pub stall: Duration,
}

impl Default for CallerBounds {
    fn default() -> CallerBounds {
        CallerBounds {
            bytes: 70 << 20,
            body_bytes: 64 << 20,
            connections: 10_000,
            stall: Duration::from_secs(2),
        }
    }
}

impl CallerBounds {
    /// Returns the first bound that leaves no room for a single request, if any.
    pub fn invalid(&self) -> Option<&'static str> {
        [
            (
                self.bytes < self.body_bytes + CONNECTION_BYTES,
                "the bytes of all are less than those of bodies",
            ),
            (self.connections == 0, "no connection is allowed"),
        ]
        .into_iter()
        .find_map(|(is_invalid, reason)| is_invalid.then_some(reason))
    }
}

/// Which limit a part of the budget counts against, besides the total.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HeldKind {
    /// The limit of connections.
    Connection,
    /// The limit for large bodies.
    Body,
    /// The total only: small bodies and answers.
    Other,
}

/// The progress of one connection's caller, by which the connection to close is chosen.
#[derive(Debug)]
pub(crate) struct CallerProgress {
    // The time of the last step of progress, or `None` while something other than the caller is due.
    waits_since: Cell<Option<Instant>>,
    transferred: Cell<usize>,
    closed: Notify,
    is_closed: Cell<bool>,
}

impl CallerProgress {
    /// Counts transferred bytes.
    pub(crate) fn transfer(&self, bytes: usize) {
        self.transferred.update(|transferred| transferred + bytes);
        if self.transferred.get() >= PROGRESS_BYTES && self.waits_since.get().is_some() {
            self.wait_for_caller();
        }
    }

    /// Records a step of progress, such as a complete answer. The caller is due next.
    pub(crate) fn wait_for_caller(&self) {
        self.transferred.set(0);
        self.waits_since.set(Some(Instant::now()));
    }

    /// Records that the request has arrived completely, so that the router is due.
    pub(crate) fn wait_for_router(&self) {
        self.waits_since.set(None);
    }

    /// Records that a write to the caller is blocked. It is due from now on.
    pub(crate) fn block_write(&self) {
        if self.waits_since.get().is_none() {
            self.wait_for_caller();
        }
    }

    /// Completes when the connection must be closed to free what it holds.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }
}

struct BudgetState {
    bounds: CallerBounds,
    used: Cell<usize>,
    body_used: Cell<usize>,
    connections: Cell<usize>,
    next: Cell<u64>,
    progress: RefCell<BTreeMap<u64, Rc<CallerProgress>>>,
    report: Box<dyn Fn(&'static str, String)>,
}

/// The budget of a process. Clones share it.
#[derive(Clone)]
pub(crate) struct CallerBudget {
    state: Rc<BudgetState>,
}

impl fmt::Debug for CallerBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("CallerBudget").field("used", &self.state.used).finish()
    }
}

/// A part of the budget that is in use until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldPart {
    budget: CallerBudget,
    kind: HeldKind,
    bytes: usize,
}

/// A connection that takes part in the budget until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldConnection {
    pub(crate) progress: Rc<CallerProgress>,
    number: u64,
    part: HeldPart,
}

impl HeldConnection {
    /// Reports that a limit was used on this connection.
    pub(crate) fn report(&self, name: &'static str) {
        self.part.budget.report_refusal(name);
    }
}

impl CallerBudget {
    /// Returns an unused budget. `report` is told of each use of a limit, with its name and the figures.
    pub(crate) fn new(
        bounds: CallerBounds,
        report: impl Fn(&'static str, String) + 'static,
    ) -> CallerBudget {
        CallerBudget {
            state: Rc::new(BudgetState {
                bounds,
                used: Cell::default(),
                body_used: Cell::default(),
                connections: Cell::default(),
                next: Cell::default(),
                progress: RefCell::default(),
                report: Box::new(report),
            }),
        }
    }

    /// Describes what is in use, for logs.
    pub(crate) fn describe(&self) -> String {
        let BudgetState { bounds, used, body_used, connections, .. } = &*self.state;
        format!(
            "used={} of={} bodies={} of={} connections={} of={}",
            used.get(),
            bounds.bytes,
            body_used.get(),
            bounds.body_bytes,
            connections.get(),
            bounds.connections,
        )
    }

    fn try_take(&self, kind: HeldKind, bytes: usize) -> Option<HeldPart> {
        let state = &self.state;
        let is_over = state.used.get() + bytes > state.bounds.bytes
            || kind == HeldKind::Body && state.body_used.get() + bytes > state.bounds.body_bytes
            || kind == HeldKind::Connection && state.connections.get() >= state.bounds.connections;
        if is_over {
            return None;
        }
        state.used.update(|used| used + bytes);
        match kind {
            HeldKind::Body => state.body_used.update(|used| used + bytes),
            HeldKind::Connection => state.connections.update(|connections| connections + 1),
            HeldKind::Other => {}
        }
        Some(HeldPart { budget: self.clone(), kind, bytes })
    }

    /// Takes a part of the budget. If it is short, connections without progress are closed first. Returns `None` if that
    /// frees too little.
    pub(crate) async fn take(&self, kind: HeldKind, bytes: usize) -> Option<HeldPart> {
        for _ in 0..RETRIES {
            if let Some(part) = self.try_take(kind, bytes) {
                return Some(part);
            }
            if !self.close_stalled() && !self.is_closing() {
                return None;
            }
            sleep(RETRY_INTERVAL).await;
        }
        self.try_take(kind, bytes)
    }

    /// Takes the part for a new connection, like [`take`](Self::take).
    pub(crate) async fn connect(&self) -> Option<HeldConnection> {
        let part = self.take(HeldKind::Connection, CONNECTION_BYTES).await?;
        let progress = Rc::new(CallerProgress {
            waits_since: Cell::new(Some(Instant::now())),
            transferred: Cell::default(),
            closed: Notify::new(),
            is_closed: Cell::default(),
        });
        let number = self.state.next.replace(self.state.next.get() + 1);
        self.state.progress.borrow_mut().insert(number, progress.clone());
        Some(HeldConnection { progress, number, part })
    }

    /// Reports that something was refused for a limit.
    pub(crate) fn report_refusal(&self, name: &'static str) {
        (self.state.report)(name, self.describe());
    }

    fn is_closing(&self) -> bool {
        self.state.progress.borrow().values().any(|progress| progress.is_closed.get())
    }

    // Closes the connection without progress for the longest time; returns whether there is one.
    fn close_stalled(&self) -> bool {
        let connections = self.state.progress.borrow();
        let open = connections.values().filter(|progress| !progress.is_closed.get());
        let longest = open
            .filter_map(|progress| Some((progress.waits_since.get()?.elapsed(), progress)))
            .max_by_key(|(stalled, _)| *stalled)
            .filter(|(stalled, _)| *stalled >= self.state.bounds.stall);
        let Some((stalled, progress)) = longest else { return false };
        progress.is_closed.set(true);
        progress.closed.notify_one();
        let detail = format!("stalled_ms={} {}", stalled.as_millis(), self.describe());
        (self.state.report)("connection_closed_for_budget", detail);
        true
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        let state = &self.budget.state;
        state.used.update(|used| used - self.bytes);
        match self.kind {
            HeldKind::Body => state.body_used.update(|used| used - self.bytes),
            HeldKind::Connection => state.connections.update(|connections| connections - 1),
            HeldKind::Other => {}
        }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.part.budget.state.progress.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
#[path = "../tests/unit/caller_budget.rs"]
mod tests;
