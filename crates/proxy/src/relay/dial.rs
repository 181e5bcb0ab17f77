//! Opens connections to targets: directly, or through a peer if this router doesn't reach them.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use actix_rt::spawn;
use godwitroad_base::{ClockSpan, TargetName, VmName};
use godwitroad_forward::{DirectOutcome, ReachChange, RelayPeer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout_at},
};

use super::{OpeningAnswer, RelayOpening, TargetOpening, stream::RelayStream};
use crate::{
    client::{
        ConnectionDialer, Result, SendError, TargetConnection, watched_stream::WatchedStream,
    },
    core::SharedCore,
    platform::PlatformAdapter,
};

/// The time limit for one peer, which covers its own connection to the target.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// The time limit for a direct attempt beside the peers.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// The time for which a direct connection must last to show that the target is reached again.
const PROBE_HOLD: Duration = Duration::from_millis(100);

/// Opens connections to a run of a target, directly or through a peer.
pub(crate) struct TargetDialer<'a, P> {
    pub(crate) core: &'a SharedCore<P>,
    pub(crate) name: &'a TargetName,
    /// The start of the target's run, in Unix milliseconds.
    pub(crate) started_ms: u64,
    pub(crate) address: SocketAddr,
    /// The id of the request, for the logs of both routers.
    pub(crate) request: &'a str,
}

/// The limit of characters of a request's id that peers are told for their logs.
const MAX_LOGGED_ID: usize = 64;

/// Why a peer gave no connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum RelayFailure {
    #[error("the opening is too large")]
    TooLarge,
    #[error("the connection to the peer failed")]
    Connection,
    #[error("the peer didn't answer in time")]
    TimeOver,
    #[error("the peer answered {0:?}")]
    Refused(OpeningAnswer),
    #[error("the peer's answer can't be read")]
    Unreadable,
}

impl From<std::io::Error> for RelayFailure {
    fn from(_: std::io::Error) -> RelayFailure {
        RelayFailure::Connection
    }
}

impl<P: PlatformAdapter> ConnectionDialer for TargetDialer<'_, P> {
    // A peer is asked at once if the target is known to be out of reach, and otherwise if the direct attempt fails or hangs.
    async fn open(&self, was_closed: bool, deadline: Instant) -> Result<TargetConnection> {
        if was_closed {
            let opened = open_through_peers(self, DirectOutcome::Failed, deadline).await;
            return opened.map_err(|_| SendError::NotSent);
        }
        let (core, now) = (self.core, self.core.now());
        let plan = core.update(|state| state.plan_connect(now, self.name, self.started_ms));
        match plan.peer_delay {
            None => {
                if plan.tries_direct {
                    let (core, name) = (core.clone(), self.name.clone());
                    spawn(probe_down(core, name, self.started_ms, self.address));
                }
                Err(SendError::NotSent)
            }
            Some(ClockSpan::ZERO) => {
                if plan.tries_direct {
                    spawn(probe_direct(core.clone(), self.name.clone(), self.address));
                }
                open_out_of_reach(self, deadline).await
            }
            Some(delay) => {
                let hedge_at = deadline.min(core.deadline(delay));
                open_hedged(self, hedge_at, deadline).await
            }
        }
    }

    fn record_closed(&self) {
        self.core.update(|state| state.record_closed_path(self.name));
    }
}

// Opens a direct connection, and one through a peer if that hasn't succeeded at `hedge_at`; the first one is used.
async fn open_hedged<P: PlatformAdapter>(
    target: &TargetDialer<'_, P>,
    hedge_at: Instant,
    deadline: Instant,
) -> Result<TargetConnection> {
    let mut direct = Box::pin(TargetConnection::open(target.address, deadline));
    let outcome = match timeout_at(hedge_at, &mut direct).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(_)) => DirectOutcome::Failed,
        Err(_) => DirectOutcome::Pending,
    };
    let relayed = open_through_peers(target, outcome, deadline);
    if outcome == DirectOutcome::Failed {
        return relayed.await.map_err(|failed| record_unreachable(target, failed));
    }
    let mut relayed = Box::pin(relayed);
    tokio::select! {
        biased;
        connected = &mut direct => match connected {
            Ok(connection) => Ok(connection),
            Err(_) => relayed.await.map_err(|failed| record_unreachable(target, failed)),
        },
        connected = &mut relayed => match connected {
            Ok(connection) => Ok(connection),
            Err(failed) => direct.await.map_err(|_| record_unreachable(target, failed)),
        },
    }
}

fn record_unreachable<P: PlatformAdapter>(
    target: &TargetDialer<'_, P>,
    failed: Vec<VmName>,
) -> SendError {
    let now = target.core.now();
    target.core.update(|state| state.record_unreachable(now, target.name, failed));
    SendError::NotSent
}

// Opens a connection to a target out of reach.
async fn open_out_of_reach<P: PlatformAdapter>(
    target: &TargetDialer<'_, P>,
    deadline: Instant,
) -> Result<TargetConnection> {
    let core = target.core;
    let is_lost = core.read(|state| !state.is_direct(target.name, target.started_ms));
    let direct = if is_lost { DirectOutcome::Skipped } else { DirectOutcome::Failed };
    match open_through_peers(target, direct, deadline).await {
        Ok(connection) => Ok(connection),
        // Without a peer, the direct path is all there is.
        Err(failed) => {
            let direct = TargetConnection::open(target.address, deadline).await;
            direct.map_err(|_| record_unreachable(target, failed))
        }
    }
}

// A new connection may be reset right after it was established, so it counts only if it lasts for a while.
async fn probe_direct<P: PlatformAdapter>(
    core: SharedCore<P>,
    target: TargetName,
    address: SocketAddr,
) {
    let probe = TargetConnection::open(address, Instant::now() + PROBE_TIMEOUT).await;
    let Ok(mut connection) = probe else { return };
    sleep(PROBE_HOLD).await;
    if connection.is_ready() {
        record_direct(&core, &target, address);
        core.client.add_unused(address, connection);
    }
}

// Tries to connect to a target to which no router could connect, without a request that waits for it.
async fn probe_down<P: PlatformAdapter>(
    core: SharedCore<P>,
    name: TargetName,
    started_ms: u64,
    address: SocketAddr,
) {
    let target = TargetDialer { core: &core, name: &name, started_ms, address, request: "probe" };
    let now = Instant::now();
    if let Ok(connection) = open_hedged(&target, now, now + PROBE_TIMEOUT).await {
        core.update(|state| state.record_target_up(&name));
        core.client.add_unused(address, connection);
    }
}

// Opens a connection through the first peer that can connect to the target, or returns those that could not.
async fn open_through_peers<P: PlatformAdapter>(
    target: &TargetDialer<'_, P>,
    direct: DirectOutcome,
    deadline: Instant,
) -> std::result::Result<TargetConnection, Vec<VmName>> {
    let core = target.core;
    let peers = core.update(|state| state.relay_peers(core.now(), target.name));
    let opening = RelayOpening::Target(TargetOpening {
        target: target.name.clone(),
        started_ms: target.started_ms,
        request: target.request.chars().take(MAX_LOGGED_ID).collect(),
    });
    let log = |attempt: &str| {
        let detail = format!("target={} direct={direct:?} {attempt}", target.name);
        core.log.request("relay_opened", target.request, &detail);
    };
    let mut failed = Vec::new();
    let opened = open_through_first(core, &peers, &opening, deadline, log, |peer| {
        core.update(|state| state.record_failed_peer(core.now(), &peer.vm));
        failed.push(peer.vm.clone());
    });
    let Some((connection, peer)) = opened.await else { return Err(failed) };
    record_lost(target, direct, peer);
    Ok(connection)
}

/// Opens a connection through the first of `peers` that gives one, and returns it with the peer. `log` is called with a
/// description of each attempt, and `record_failed` with each peer that gave none in its time.
pub(super) async fn open_through_first<'a, P: PlatformAdapter>(
    core: &SharedCore<P>,
    peers: &'a [RelayPeer],
    opening: &RelayOpening,
    deadline: Instant,
    log: impl Fn(&str),
    mut record_failed: impl FnMut(&RelayPeer),
) -> Option<(TargetConnection, &'a RelayPeer)> {
    let started = core.now();
    for peer in peers {
        let peer_deadline = deadline.min(Instant::now() + PEER_TIMEOUT);
        let opened = timeout_at(peer_deadline, open_through(core, peer, opening)).await;
        let result = opened.unwrap_or(Err(RelayFailure::TimeOver));
        let error = result.as_ref().err().map(RelayFailure::to_string);
        let elapsed = core.now().since(started).as_ms();
        log(&format!("peer={} error={error:?} elapsed_ms={elapsed}", peer.vm));
        if let Ok(connection) = result {
            core.metrics.count("relays.opened", 1);
            return Some((connection, peer));
        }
        core.metrics.count("relays.failed", 1);
        // A peer that wasn't given its full time has shown nothing.
        if Instant::now() >= deadline {
            break;
        }
        record_failed(peer);
    }
    None
}

async fn open_through<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peer: &RelayPeer,
    opening: &RelayOpening,
) -> std::result::Result<TargetConnection, RelayFailure> {
    let opening = opening.encode().ok_or(RelayFailure::TooLarge)?;
    let mut stream = send_opening(core, peer, &opening).await?;
    let code = stream.read_u8().await?;
    match OpeningAnswer::from_code(code) {
        Some(OpeningAnswer::Connected) => {
            let connection = TargetConnection::over(RelayStream::new(stream), true).await;
            connection.map_err(|_| RelayFailure::Connection)
        }
        Some(answer) => Err(RelayFailure::Refused(answer)),
        None => Err(RelayFailure::Unreadable),
    }
}

/// Connects to a peer and sends an encoded opening.
///
/// # Errors
///
/// Returns the error of the connection.
pub(super) async fn send_opening<P: PlatformAdapter>(
    core: &SharedCore<P>,
    peer: &RelayPeer,
    opening: &[u8],
) -> std::io::Result<WatchedStream> {
    let (own_address, port) = {
        let settings = core.settings.borrow();
        (settings.forward.place.address, settings.peers.port())
    };
    let stream = connect_from(own_address, SocketAddr::new(peer.address, port)).await?;
    let mut stream = WatchedStream::new(stream);
    stream.write_all(opening).await?;
    Ok(stream)
}

// Connects from the router's own address, by which the peer recognizes it.
async fn connect_from(own: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    socket.connect(to).await
}

pub(crate) fn record_direct<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: &TargetName,
    address: SocketAddr,
) {
    let change = core.update(|state| state.record_direct_path(core.now(), target));
    if change.target {
        // Requests return to the direct path, which spares the peers.
        core.client.close_paths(address, true);
    }
    report(core, change);
}

fn record_lost<P: PlatformAdapter>(
    target: &TargetDialer<'_, P>,
    direct: DirectOutcome,
    peer: &RelayPeer,
) {
    let core = target.core;
    let now = core.now();
    let change = core.update(|state| {
        state.record_lost_path(now, target.name, target.started_ms, direct, &peer.vm)
    });
    // Where new connections hang, open ones do so too; where they are refused, open ones may live on.
    if change.target && direct == DirectOutcome::Pending {
        core.client.close_paths(target.address, false);
    }
    if change.cut && direct == DirectOutcome::Pending {
        let addresses: Vec<SocketAddr> = core.read(|state| {
            state.target_names().filter_map(|name| Some(state.target(name)?.address)).collect()
        });
        for address in addresses {
            core.client.close_paths(address, false);
        }
    }
    report(core, change);
}

// Tells the peers at once, as they may be about to ask this router.
fn report<P: PlatformAdapter>(core: &SharedCore<P>, change: ReachChange) {
    if change.target || change.cut {
        core.send_gossip.notify_one();
    }
}
