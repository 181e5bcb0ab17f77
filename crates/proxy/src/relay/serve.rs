//! The peer's end: connects a router to a target or a store that it can't reach itself, and copies bytes between them.

use std::{net::SocketAddr, time::Duration};

use actix_rt::spawn;
use godwitroad_base::{StoreRevision, VmName};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{
    OpeningAnswer, OpeningError, RelayOpening, changes, config,
    stream::{LENGTH_BYTES, MAX_CHUNK_BYTES, write_chunk},
};
use crate::{
    client::watched_stream::WatchedStream, core::SharedCore, platform::PlatformAdapter,
    serve::accept,
};

/// The limit of connections that are relayed at one time, and of those that haven't sent their opening yet.
const MAX_RELAYS: usize = 400;

/// The time limit for reading an opening.
const OPENING_TIMEOUT: Duration = Duration::from_millis(500);

/// The time limit for connecting to a target or to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time limit for sending changes of the store, or the configuration.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The buffer for the bytes of requests.
const REQUEST_BUFFER_BYTES: usize = 8 * 1024;

// Counts a connection among the open ones until it is dropped.
struct RelayPermit<P> {
    core: SharedCore<P>,
}

impl<P> RelayPermit<P> {
    fn new(core: SharedCore<P>) -> RelayPermit<P> {
        core.open_relays.update(|open| open + 1);
        RelayPermit { core }
    }
}

impl<P> Drop for RelayPermit<P> {
    fn drop(&mut self) {
        self.core.open_relays.update(|open| open - 1);
    }
}

/// Serves routers that ask to be connected to targets or to the store, for as long as the process runs.
pub(crate) async fn serve_peers<P: PlatformAdapter>(core: SharedCore<P>, listener: TcpListener) {
    loop {
        let Some((stream, address)) = accept(&core, &listener).await else { continue };
        let is_busy = core.open_relays.get() >= MAX_RELAYS || core.is_stopping();
        let permit = RelayPermit::new(core.clone());
        spawn(async move { serve_peer(&permit.core, stream, address, is_busy).await });
    }
}

async fn serve_peer<P: PlatformAdapter>(
    core: &SharedCore<P>,
    stream: TcpStream,
    address: SocketAddr,
    is_busy: bool,
) {
    let mut stream = WatchedStream::new(stream);
    let Some(peer) = core.read(|state| state.peer_at(address.ip()).cloned()) else {
        return refuse(core, stream, OpeningAnswer::Stranger).await;
    };
    if is_busy {
        return refuse(core, stream, OpeningAnswer::Busy).await;
    }
    let opening = match timeout(OPENING_TIMEOUT, RelayOpening::read(&mut stream)).await {
        Ok(Ok(opening)) => opening,
        Ok(Err(OpeningError::Connection(_))) | Err(_) => return,
        Ok(Err(error)) => {
            core.log.warn("relay_malformed", &format!("peer={peer} error={error}"));
            return refuse(core, stream, OpeningAnswer::Malformed).await;
        }
    };
    match opening {
        RelayOpening::Changes(after) => return send_changes(core, stream, after).await,
        RelayOpening::Config(version) => return send_config(core, stream, version).await,
        RelayOpening::Target(_) | RelayOpening::Store => {}
    }
    let Some(target_address) = destination(core, &opening) else {
        return refuse(core, stream, OpeningAnswer::Unknown).await;
    };
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(target_address)).await;
    let Ok(Ok(target)) = connected else {
        return refuse(core, stream, OpeningAnswer::Unreachable).await;
    };
    let target = WatchedStream::new(target);
    if stream.write_u8(OpeningAnswer::Connected.code()).await.is_err() {
        return;
    }
    core.metrics.count(OpeningAnswer::Connected.counter(), 1);
    let started = core.now();
    let (sent, received, end) = relay(stream, target).await;
    core.metrics.count("relays.bytes", sent + received);
    log_end(
        core,
        &opening,
        &peer,
        &format!(
            "sent={sent} received={received} end={end} elapsed_ms={}",
            core.now().since(started).as_ms()
        ),
    );
}

// Returns the address to connect to, or `None` if it is unknown or this router doesn't reach it itself.
fn destination<P: PlatformAdapter>(
    core: &SharedCore<P>,
    opening: &RelayOpening,
) -> Option<SocketAddr> {
    core.read(|state| match opening {
        RelayOpening::Target(opening) => {
            state.relay_target(&opening.target, opening.started_ms).map(|record| record.address)
        }
        RelayOpening::Store => state.relays_store().then(|| core.platform.store_address()),
        RelayOpening::Changes(_) | RelayOpening::Config(_) => None,
    })
}

fn log_end<P: PlatformAdapter>(
    core: &SharedCore<P>,
    opening: &RelayOpening,
    peer: &VmName,
    detail: &str,
) {
    match opening {
        RelayOpening::Target(opening) => {
            let detail = format!("target={} peer={peer} {detail}", opening.target);
            core.log.request("relay_served", &opening.request, &detail);
        }
        RelayOpening::Store | RelayOpening::Changes(_) | RelayOpening::Config(_) => {
            core.log.event("store_relay_served", &format!("peer={peer} {detail}"));
        }
    }
}

async fn send_changes<P: PlatformAdapter>(
    core: &SharedCore<P>,
    mut stream: WatchedStream,
    after: StoreRevision,
) {
    let known = core.read(|state| state.changes_since(after));
    let Some(bytes) = known.and_then(|pieces| changes::encode(&pieces)) else {
        return refuse(core, stream, OpeningAnswer::Unknown).await;
    };
    core.metrics.count("changes.served", 1);
    core.metrics.count("changes.served_bytes", bytes.len() as u64);
    // A peer that doesn't read them asks another one.
    let _ = timeout(CHANGES_TIMEOUT, stream.write_all(&bytes)).await;
}

async fn send_config<P: PlatformAdapter>(
    core: &SharedCore<P>,
    mut stream: WatchedStream,
    version: u64,
) {
    let rules = core.read(|state| state.rules().cloned());
    let newer = rules.filter(|rules| rules.version > version);
    let Some(bytes) = newer.and_then(|rules| config::encode(&rules.document)) else {
        return refuse(core, stream, OpeningAnswer::Unknown).await;
    };
    core.metrics.count("config.served", 1);
    let _ = timeout(CHANGES_TIMEOUT, stream.write_all(&bytes)).await;
}

async fn refuse<P: PlatformAdapter>(
    core: &SharedCore<P>,
    mut stream: WatchedStream,
    answer: OpeningAnswer,
) {
    core.metrics.count(answer.counter(), 1);
    // The router takes a closed connection for a refusal as well.
    let _ = timeout(OPENING_TIMEOUT, stream.write_u8(answer.code())).await;
}

// Copies bytes until one side ends. A router never closes only its sending side, so its end means that it has given up.
// Returns the bytes sent to the target and received from it, and which side ended.
async fn relay(router: WatchedStream, target: WatchedStream) -> (u64, u64, &'static str) {
    let (mut sent, mut received) = (0, 0);
    let end = tokio::select! {
        () = send_requests(router.clone(), target.clone(), &mut sent) => "router",
        () = return_answers(target.clone(), router.clone(), &mut received) => "target",
    };
    (sent, received, end)
}

async fn send_requests(mut router: WatchedStream, mut target: WatchedStream, sent: &mut u64) {
    let mut buffer = vec![0; REQUEST_BUFFER_BYTES];
    while let Ok(length @ 1..) = router.read(&mut buffer).await {
        if target.write_all(&buffer[..length]).await.is_err() {
            // The target's answer may still be on its way; its side ends the relay.
            std::future::pending::<()>().await;
        }
        *sent += length as u64;
    }
}

async fn return_answers(mut target: WatchedStream, mut router: WatchedStream, received: &mut u64) {
    let mut buffer = vec![0; LENGTH_BYTES + MAX_CHUNK_BYTES];
    // Without the empty chunk at the end, the router sees that the connection broke.
    while let Ok(length) = target.read(&mut buffer[LENGTH_BYTES..]).await {
        let written = write_chunk(&mut router, &mut buffer[..LENGTH_BYTES + length]).await;
        if written.is_err() || length == 0 {
            return;
        }
        *received += length as u64;
    }
}
