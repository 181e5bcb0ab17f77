//! The budget for everything that callers make the process hold.
//!
//! Each connection takes a part for its buffers, here and in the kernel, and a further one for the body or the answer that is held
//! for it, also while it is being read. When the budget is short, the connections whose callers have made no progress for the longest
//! time are closed.
//!
//! What a connection takes grows while it is open: when a request arrives on an idle one, and when its caller doesn't read. That can
//! exceed the budget. Then new connections and requests are refused, and unread answers end, until the rest is within it again.

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

/// The memory that an idle connection takes: its task, its socket and the smallest buffers.
const CONNECTION_BYTES: usize = 24 << 10;

/// The size that is asked for the kernel's receive and send buffers of a caller's connection; Linux takes twice as much. On the
/// platform, these buffers count towards the VM's memory. Within a region, where round trips take a few milliseconds, a connection
/// still carries the 10 Mbit/s of the smallest VM.
pub(crate) const KERNEL_BUFFER_BYTES: usize = 32 << 10;

/// What a connection takes in addition from the first byte of a request to the end of its answer: the kernel's receive buffer, which
/// a caller can fill at any moment, and the buffers of a connection to a target.
const RECEIVING_BYTES: usize = 2 * KERNEL_BUFFER_BYTES + (24 << 10);

/// What a connection takes in addition while its caller reads more slowly than the answer comes: the kernel's send buffer, and the
/// write buffer of the HTTP service with one part of an answer.
const UNWRITTEN_BYTES: usize = 2 * KERNEL_BUFFER_BYTES + (48 << 10);

/// The transferred bytes that count as progress. Less, such as single bytes now and then, must not keep a connection open.
const PROGRESS_BYTES: usize = 4 << 10;

/// The bytes that a caller at the lowest rate reads in the time over which its rate is measured, beyond [`CallerBounds::stall`]. Its
/// machine announces freed space in steps of a few segments.
const READ_STEP_BYTES: usize = 16 << 10;

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
    /// The rate below which a caller that reads its answer more slowly than it comes may be closed when the budget is short, in
    /// bytes a second.
    pub min_read_rate: usize,
    /// The time after which a caller that takes nothing of an answer is closed.
    pub unread_timeout: Duration,
}

impl Default for CallerBounds {
    fn default() -> CallerBounds {
        CallerBounds {
            bytes: 70 << 20,
            body_bytes: 64 << 20,
            connections: 10_000,
            stall: Duration::from_secs(2),
            min_read_rate: 4 << 10,
            unread_timeout: Duration::from_secs(60),
        }
    }
}

impl CallerBounds {
    /// Returns the bounds for the connections of operators and their tools.
    pub(crate) fn for_operators() -> CallerBounds {
        CallerBounds { bytes: 4 << 20, body_bytes: 0, connections: 32, ..CallerBounds::default() }
    }

    /// Returns the first bound that leaves no room for a single request, if any.
    pub fn invalid(&self) -> Option<&'static str> {
        [
            (
                self.bytes < self.body_bytes + CONNECTION_BYTES + RECEIVING_BYTES,
                "the bytes of all are less than those of bodies",
            ),
            (self.connections == 0, "no connection is allowed"),
            (self.min_read_rate == 0, "callers that don't read are allowed"),
        ]
        .into_iter()
        .find_map(|(is_invalid, reason)| is_invalid.then_some(reason))
    }

    // Returns the time over which the rate of a caller is measured whose answer waits.
    fn unread_limit(&self) -> Duration {
        self.stall + Duration::from_secs_f64(READ_STEP_BYTES as f64 / self.min_read_rate as f64)
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

/// What a connection does, as far as that decides how much it takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ConnectionUse {
    /// Whether a request is arriving or isn't answered yet.
    pub(crate) is_active: bool,
    /// Whether a part of an answer waits for the caller to read.
    pub(crate) has_unwritten: bool,
    /// Whether the part of the answer includes what waiting takes.
    pub(crate) is_covered: bool,
}

impl ConnectionUse {
    fn bytes(self) -> usize {
        let receiving = if self.is_active { RECEIVING_BYTES } else { 0 };
        let unwritten = if self.has_unwritten && !self.is_covered { UNWRITTEN_BYTES } else { 0 };
        CONNECTION_BYTES + receiving + unwritten
    }
}

/// A span of time in which it is measured how fast a caller reads an answer that was written faster.
#[derive(Clone, Copy, Debug)]
struct ReadSpan {
    since: Instant,
    // The bytes that the caller's machine had taken before.
    taken_before: u64,
}

impl ReadSpan {
    fn begin(taken: u64) -> ReadSpan {
        ReadSpan { since: Instant::now(), taken_before: taken }
    }

    fn bytes_per_s(self, taken: u64) -> f64 {
        let elapsed = self.since.elapsed().as_secs_f64().max(f64::MIN_POSITIVE);
        taken.saturating_sub(self.taken_before) as f64 / elapsed
    }
}

/// The progress of one connection's caller, by which the connection to close is chosen.
pub(crate) struct CallerProgress {
    // The time of the last step of progress, or `None` while something other than the caller is due.
    waits_since: Cell<Option<Instant>>,
    transferred: Cell<usize>,
    current_use: Cell<ConnectionUse>,
    // Returns the bytes that the caller's machine has taken.
    taken: Box<dyn Fn() -> u64>,
    // Since a write was blocked, until all is written.
    read_span: Cell<Option<ReadSpan>>,
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
        if self.read_span.get().is_none() {
            self.read_span.set(Some(ReadSpan::begin((self.taken)())));
        }
        if self.waits_since.get().is_none() {
            self.wait_for_caller();
        }
    }

    /// Records that the kernel has taken all that was to be written.
    pub(crate) fn unblock_write(&self) {
        self.read_span.set(None);
    }

    // Returns for how long the caller has exceeded the time limit without progress. A caller whose answer waits makes progress if
    // it reads at the lowest rate at least, however its machine and the kernel divide that into steps.
    fn overdue(&self, bounds: &CallerBounds) -> Option<Duration> {
        let waited = self.waits_since.get()?.elapsed();
        let Some(span) = self.read_span.get() else {
            return waited.checked_sub(bounds.stall);
        };
        let overdue = span.since.elapsed().checked_sub(bounds.unread_limit())?;
        let taken = (self.taken)();
        if span.bytes_per_s(taken) < bounds.min_read_rate as f64 {
            return Some(overdue);
        }
        self.read_span.set(Some(ReadSpan::begin(taken)));
        None
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

/// Returns whether the part of an answer includes what it takes while it waits for its caller: one beyond what the kernel takes at
/// once may have to wait.
pub(crate) fn covers_waiting(bytes: usize) -> bool {
    bytes > 2 * KERNEL_BUFFER_BYTES
}

fn answer_bytes(bytes: usize) -> usize {
    if covers_waiting(bytes) { bytes + UNWRITTEN_BYTES } else { bytes }
}

/// A part of the budget that is in use until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldPart {
    budget: CallerBudget,
    kind: HeldKind,
    bytes: Cell<usize>,
}

impl HeldPart {
    /// Grows the part of an answer to that of one with `bytes`, if it is smaller and the budget has room. Returns whether it
    /// suffices.
    pub(crate) fn cover_answer(&self, bytes: usize) -> bool {
        let needed = answer_bytes(bytes);
        let missing = needed.saturating_sub(self.bytes.get());
        if missing == 0 {
            return true;
        }
        let has_room = !self.budget.is_over_with(missing);
        if has_room {
            self.resize(needed);
        }
        has_room
    }

    // Changes the size of the part, also beyond the budget.
    fn resize(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        self.budget.state.used.update(|used| used + bytes - before);
    }
}

/// A connection that takes part in the budget until it is dropped.
pub(crate) struct HeldConnection {
    pub(crate) progress: Rc<CallerProgress>,
    number: u64,
    part: HeldPart,
}

impl HeldConnection {
    /// Records what the connection does from now on.
    pub(crate) fn set_use(&self, current_use: ConnectionUse) {
        let before = self.progress.current_use.replace(current_use);
        self.part.resize(current_use.bytes());
        if current_use.bytes() > before.bytes() {
            self.part.budget.make_room(current_use.has_unwritten);
        }
    }

    /// Returns the time after which a caller that takes nothing of an answer is closed.
    pub(crate) fn unread_timeout(&self) -> Duration {
        self.part.budget.state.bounds.unread_timeout
    }

    /// Returns the bytes that the caller's machine has taken.
    pub(crate) fn taken(&self) -> u64 {
        (self.progress.taken)()
    }

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

    fn is_over_with(&self, bytes: usize) -> bool {
        self.state.used.get() + bytes > self.state.bounds.bytes
    }

    fn try_take(&self, kind: HeldKind, bytes: usize) -> Option<HeldPart> {
        let state = &self.state;
        let is_over = self.is_over_with(bytes)
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
        Some(HeldPart { budget: self.clone(), kind, bytes: Cell::new(bytes) })
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

    /// Takes the part for an answer of `bytes`, like [`take`](Self::take).
    pub(crate) async fn take_answer(&self, bytes: usize) -> Option<HeldPart> {
        self.take(HeldKind::Other, answer_bytes(bytes)).await
    }

    /// Takes the part for a new connection, like [`take`](Self::take). `taken` returns the bytes that the caller's machine has taken.
    pub(crate) async fn connect(
        &self,
        taken: impl Fn() -> u64 + 'static,
    ) -> Option<HeldConnection> {
        // A request is due on a new connection.
        let first_use = ConnectionUse { is_active: true, ..ConnectionUse::default() };
        let part = self.take(HeldKind::Connection, first_use.bytes()).await?;
        let progress = Rc::new(CallerProgress {
            waits_since: Cell::new(Some(Instant::now())),
            transferred: Cell::default(),
            current_use: Cell::new(first_use),
            taken: Box::new(taken),
            read_span: Cell::default(),
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

    // Closes connections when the parts of others have grown beyond the budget: those without progress for the time limit, and
    // the slowest reader if `is_unread` says that an answer which isn't read takes the budget.
    fn make_room(&self, is_unread: bool) {
        while self.is_over_with(0) && self.closing_bytes() < self.excess() {
            if self.close_stalled() {
                continue;
            }
            if is_unread {
                self.close_slowest_reader();
            }
            break;
        }
    }

    fn excess(&self) -> usize {
        self.state.used.get().saturating_sub(self.state.bounds.bytes)
    }

    fn closing_bytes(&self) -> usize {
        let connections = self.state.progress.borrow();
        let closing = connections.values().filter(|progress| progress.is_closed.get());
        closing.map(|progress| progress.current_use.get().bytes()).sum()
    }

    // Closes the connection that is overdue for the longest time; returns whether there is one.
    fn close_stalled(&self) -> bool {
        let connections = self.state.progress.borrow();
        let longest = open(&connections)
            .filter_map(|progress| Some((progress.overdue(&self.state.bounds)?, progress)))
            .max_by_key(|(overdue, _)| *overdue);
        longest.inspect(|(_, progress)| self.close(progress)).is_some()
    }

    // Closes the connection with the unread answer that was read at the lowest rate. Of those that weren't read at all, it is the
    // oldest.
    fn close_slowest_reader(&self) {
        let connections = self.state.progress.borrow();
        let slowest = open(&connections)
            .filter_map(|progress| {
                let span = progress.read_span.get()?;
                Some((span.bytes_per_s((progress.taken)()), span.since, progress))
            })
            .min_by(|(rate, since, _), (other_rate, other_since, _)| {
                rate.total_cmp(other_rate).then(since.cmp(other_since))
            });
        if let Some((_, _, progress)) = slowest {
            self.close(progress);
        }
    }

    fn close(&self, progress: &CallerProgress) {
        progress.is_closed.set(true);
        progress.closed.notify_one();
        let stalled = progress.waits_since.get().map_or(Duration::ZERO, |since| since.elapsed());
        let detail = format!("stalled_ms={} {}", stalled.as_millis(), self.describe());
        (self.state.report)("connection_closed_for_budget", detail);
    }
}

fn open(connections: &BTreeMap<u64, Rc<CallerProgress>>) -> impl Iterator<Item = &CallerProgress> {
    connections.values().map(Rc::as_ref).filter(|progress| !progress.is_closed.get())
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        let state = &self.budget.state;
        state.used.update(|used| used - self.bytes.get());
        match self.kind {
            HeldKind::Body => state.body_used.update(|used| used - self.bytes.get()),
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
