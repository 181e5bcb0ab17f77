//! The pool of idle connections.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, time::Duration};

use http::{HeaderMap, header::CONNECTION};
use tokio::time::Instant;

use super::connection::TargetConnection;

/// The maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The idle timeout of a connection for which the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The maximum idle timeout of any connection.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The margin by which the pool closes a connection before the announced idle timeout, because the target might
/// otherwise close it while a request is in transit.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

/// The time after which a request that ends unanswered leaves its path in doubt.
const UNANSWERED_TIME: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    deadline: Instant,
}

/// Idle connections by address, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection, as it is the least likely to have been closed by the target.
    pub(super) fn take(&mut self, address: SocketAddr) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(mut entry) = idle.pop() {
            if now < entry.deadline && entry.connection.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection after an answer with these headers, unless the target closes it.
    pub(super) fn put(
        &mut self,
        address: SocketAddr,
        connection: TargetConnection,
        headers: &HeaderMap,
    ) {
        let Some(timeout) = idle_timeout(headers) else { return };
        let idle = self.idle.entry(address).or_default();
        if idle.len() >= MAX_IDLE_PER_ADDRESS {
            idle.remove(0);
        }
        idle.push(IdleConnection { connection, deadline: Instant::now() + timeout });
    }

    pub(super) fn close_expired(&mut self) {
        let now = Instant::now();
        for idle in self.idle.values_mut() {
            idle.retain(|entry| now < entry.deadline);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    pub(super) fn close_idle(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes the idle connections that lead through peers, whatever their addresses.
    pub(super) fn close_relayed(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| !entry.connection.is_relayed());
        }
    }

    /// Closes the idle connections to an address that lead through a peer, or those that don't.
    pub(super) fn close_paths(&mut self, address: SocketAddr, relayed: bool) {
        if let Some(idle) = self.idle.get_mut(&address) {
            idle.retain(|entry| entry.connection.is_relayed() != relayed);
        }
    }
}

// Returns how long the connection can stay idle, or `None` if the target closes it immediately.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers.get_all(CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close")))
    });
    if closes {
        return None;
    }
    let announced = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = announced.and_then(|text| {
        let words = text.split(',').map(str::trim);
        words.filter_map(|word| word.strip_prefix("timeout=")).find_map(|word| word.parse().ok())
    });
    match seconds.map(Duration::from_secs) {
        Some(timeout) => timeout.min(MAX_IDLE_TIMEOUT).checked_sub(IDLE_MARGIN),
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}

/// A request on a reused connection that has no answer yet. If it ends unanswered after some time, the path may be lost, and
/// the other idle connections to the address are closed so that no further request depends on them.
pub(super) struct UnansweredRequest<'a> {
    pool: Option<&'a RefCell<ConnectionPool>>,
    address: SocketAddr,
    sent_at: Instant,
}

impl<'a> UnansweredRequest<'a> {
    /// Begins a request that is sent now.
    pub(super) fn new(
        pool: &'a RefCell<ConnectionPool>,
        address: SocketAddr,
        is_reused: bool,
    ) -> Self {
        UnansweredRequest { pool: is_reused.then_some(pool), address, sent_at: Instant::now() }
    }

    /// Records that the request is answered.
    pub(super) fn end(&mut self) {
        self.pool = None;
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.filter(|_| self.sent_at.elapsed() >= UNANSWERED_TIME) {
            pool.borrow_mut().close_idle(self.address);
        }
    }
}
