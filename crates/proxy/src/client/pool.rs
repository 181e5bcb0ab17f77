//! Idle connections by address.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use http::{HeaderMap, header::CONNECTION};
use tokio::time::Instant;

use super::connection::TargetConnection;

/// Idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// The time for which a connection is kept whose target doesn't state its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The longest time for which any connection is kept.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The part of a target's own time that isn't used, as the target may close while a request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    deadline: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Returns the connection that was used last, as it is the least likely to be closed.
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

    /// Keeps a connection after an answer with these headers.
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
}

// The time for which the target keeps the connection, or `None` if it closes it at once.
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
