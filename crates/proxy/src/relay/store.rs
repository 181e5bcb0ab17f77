//! Calls to the store through a peer.

use std::cell::RefCell;

use bytes::Bytes;
use godwitroad_base::{ClockSpan, VmName};
use godwitroad_forward::RelayPeer;
use http::{Request, Response};
use tokio::time::Instant;

use super::{RelayOpening, dial::open_through_first};
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
        let log = |attempt: &str| core.log.event("store_relay_opened", attempt);
        let opening = RelayOpening::Store;
        let opened = open_through_first(core, self.peers, &opening, deadline, log, |peer| {
            core.update(|state| state.record_store_call(core.now(), Some(&peer.vm), false));
        });
        let (connection, peer) = opened.await.ok_or(SendError::NotSent)?;
        *self.opened.borrow_mut() = Some(peer.vm.clone());
        Ok(connection)
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
