//! Calls to the store through a peer.

use std::cell::RefCell;

use bytes::Bytes;
use godwitroad_base::{ClockSpan, VmName};
use godwitroad_forward::RelayPeer;
use http::{Request, Response};
use tokio::time::{Instant, timeout_at};

use super::{
    RelayOpening,
    dial::{PEER_TIMEOUT, RelayFailure, connect_through},
};
use crate::{
    client::{ConnectionDialer, Result, SendError, TargetConnection},
    core::SharedCore,
    platform::PlatformAdapter,
};

/// The time that opening a connection through peers may add to a call.
const OPENING_TIME: ClockSpan = ClockSpan::from_ms(350);

/// Opens a connection to the store through one of some peers.
struct StoreDialer<'a, P> {
    core: &'a SharedCore<P>,
    peers: &'a [RelayPeer],
    // The peer that has opened a connection.
    opened: RefCell<Option<VmName>>,
}

impl<P: PlatformAdapter> ConnectionDialer for StoreDialer<'_, P> {
    async fn open(&self, _was_closed: bool, deadline: Instant) -> Result<TargetConnection> {
        let core = self.core;
        for peer in self.peers {
            let started = core.now();
            let peer_deadline = deadline.min(Instant::now() + PEER_TIMEOUT);
            let opening = connect_through(core, peer, &RelayOpening::Store);
            let opened = timeout_at(peer_deadline, opening).await;
            let result = opened.unwrap_or(Err(RelayFailure::TimeOver));
            let error = result.as_ref().err().map(RelayFailure::to_string);
            let elapsed = core.now().since(started).as_ms();
            let detail = format!("peer={} error={error:?} elapsed_ms={elapsed}", peer.vm);
            core.log.event("store_relay_opened", &detail);
            if let Ok(connection) = result {
                core.metrics.count("relays.opened", 1);
                *self.opened.borrow_mut() = Some(peer.vm.clone());
                return Ok(connection);
            }
            core.metrics.count("relays.failed", 1);
            // A peer that wasn't given its full time has shown nothing.
            if Instant::now() >= deadline {
                break;
            }
            core.update(|state| state.record_store_call(core.now(), Some(&peer.vm), false));
        }
        Err(SendError::NotSent)
    }
}

/// Calls the store through the first of some peers that opens a connection. Returns the answer, and the peer if one did.
pub(crate) async fn call_store<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peers: &[RelayPeer],
    request: Request<Bytes>,
    timeout: ClockSpan,
) -> (Result<Response<Bytes>>, Option<VmName>) {
    let dialer = StoreDialer { core, peers, opened: RefCell::default() };
    let deadline = core.deadline(timeout + OPENING_TIME);
    let address = core.platform.store_address();
    let answer = core.client.call_over(&dialer, address, request, deadline).await;
    (answer, dialer.opened.into_inner())
}
