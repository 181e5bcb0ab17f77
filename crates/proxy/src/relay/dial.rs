//! Opens connections to targets: directly, or through a peer if this router doesn't reach them.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use actix_rt::spawn;
use godwitroad_base::TargetName;
use godwitroad_forward::{ConnectPlan, DirectOutcome, ReachChange, RelayPeer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout_at},
};

use super::{OpeningAnswer, RelayOpening, stream::RelayStream};
use crate::{
    client::{
        Result, SendError, TargetConnection,
        connection::{UNACKNOWLEDGED_TIMEOUT, set_liveness},
    },
    core::SharedCore,
    platform::PlatformAdapter,
};

/// The time limit for one peer, which covers its own connection to the target.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);

/// The time limit for a direct attempt that goes on after a peer has connected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// The run of a target to connect to, and the request for which.
#[derive(Clone, Debug)]
pub(crate) struct DialTarget<'a> {
    pub(crate) name: &'a TargetName,
    pub(crate) started_ms: u64,
    pub(crate) address: SocketAddr,
    pub(crate) request: &'a str,
}

/// The limit of characters of a request's id that peers are told for their logs.
const MAX_LOGGED_ID: usize = 64;

/// Why a peer gave no connection to a target.
#[derive(Clone, Copy, Debug)]
enum RelayFailure {
    TooLarge,
    Connection,
    TimeOver,
    Refused(OpeningAnswer),
    Unreadable,
}

impl From<std::io::Error> for RelayFailure {
    fn from(_: std::io::Error) -> RelayFailure {
        RelayFailure::Connection
    }
}

impl RelayFailure {
    // Returns whether the peer tried to connect to the target and failed.
    fn is_unreachable(self) -> bool {
        matches!(self, RelayFailure::Refused(OpeningAnswer::Unreachable))
    }
}

/// Opens a connection to a target.
///
/// A peer is asked at once if the target is known to be out of reach, and otherwise if the direct attempt fails or hangs.
///
/// # Errors
///
/// Returns [`SendError::NotSent`] if neither this router nor a peer could connect within the deadline.
pub(crate) async fn open_connection<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: DialTarget<'_>,
    deadline: Instant,
) -> Result<TargetConnection> {
    let plan = core.update(|state| state.plan_connect(core.now(), target.name, target.started_ms));
    if plan.peer_delay.as_ms() == 0 {
        return open_out_of_reach(core, &target, &plan, deadline).await;
    }
    let mut direct = Box::pin(TargetConnection::open(target.address, deadline));
    let hedge_at = deadline.min(core.deadline(plan.peer_delay));
    let outcome = match timeout_at(hedge_at, &mut direct).await {
        Ok(Ok(connection)) => {
            record_direct(core, target.name, target.address);
            return Ok(connection);
        }
        Ok(Err(_)) => DirectOutcome::Failed,
        Err(_) => DirectOutcome::Pending,
    };
    let relayed = open_through_peers(core, &target, outcome, deadline);
    if outcome == DirectOutcome::Failed {
        return relayed.await;
    }
    let mut relayed = Box::pin(relayed);
    tokio::select! {
        biased;
        connected = &mut direct => match connected {
            Ok(connection) => {
                record_direct(core, target.name, target.address);
                Ok(connection)
            }
            Err(_) => relayed.await,
        },
        connected = &mut relayed => match connected {
            Ok(connection) => Ok(connection),
            Err(_) => {
                let connection = direct.await?;
                record_direct(core, target.name, target.address);
                Ok(connection)
            }
        },
    }
}

// Opens a connection to a target out of reach. A direct attempt that is due runs beside the peers and outlasts them.
async fn open_out_of_reach<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: &DialTarget<'_>,
    plan: &ConnectPlan,
    deadline: Instant,
) -> Result<TargetConnection> {
    if plan.tries_direct {
        let (core, name, address) = (core.clone(), target.name.clone(), target.address);
        spawn(async move {
            let probe = TargetConnection::open(address, Instant::now() + PROBE_TIMEOUT).await;
            if let Ok(connection) = probe {
                record_direct(&core, &name, address);
                core.client.add_unused(address, connection);
            }
        });
    }
    open_through_peers(core, target, DirectOutcome::Skipped, deadline).await
}

async fn open_through_peers<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: &DialTarget<'_>,
    direct: DirectOutcome,
    deadline: Instant,
) -> Result<TargetConnection> {
    let started = core.now();
    let peers = core.update(|state| state.relay_peers(started, target.name));
    let needed = if direct == DirectOutcome::Failed { 1 } else { 2 };
    let mut unreachable = 0;
    for peer in peers {
        let peer_deadline = deadline.min(Instant::now() + PEER_TIMEOUT);
        let opened = timeout_at(peer_deadline, open_through(core, target, &peer)).await;
        let result = opened.unwrap_or(Err(RelayFailure::TimeOver));
        let detail = format!(
            "target={} peer={} direct={direct:?} error={:?} elapsed_ms={}",
            target.name,
            peer.vm,
            result.as_ref().err(),
            core.now().since(started).as_ms(),
        );
        core.log.request("relay_opened", target.request, &detail);
        let Ok(connection) = result else {
            core.metrics.count("relays.failed", 1);
            if result.is_err_and(RelayFailure::is_unreachable) {
                unreachable += 1;
            }
            // The target itself is down if others can't connect to it either.
            if unreachable >= needed {
                break;
            }
            continue;
        };
        core.metrics.count("relays.opened", 1);
        record_lost(core, target, direct, &peer);
        return Ok(connection);
    }
    Err(SendError::NotSent)
}

async fn open_through<P: PlatformAdapter>(
    core: &SharedCore<P>,
    target: &DialTarget<'_>,
    peer: &RelayPeer,
) -> std::result::Result<TargetConnection, RelayFailure> {
    let (own_address, port) = {
        let settings = core.settings.borrow();
        (settings.forward.place.address, settings.peers.port())
    };
    let opening = RelayOpening {
        target: target.name.clone(),
        started_ms: target.started_ms,
        request: target.request.chars().take(MAX_LOGGED_ID).collect(),
    };
    let opening = opening.encode().ok_or(RelayFailure::TooLarge)?;
    let mut stream = connect_from(own_address, SocketAddr::new(peer.address, port)).await?;
    set_liveness(&stream, UNACKNOWLEDGED_TIMEOUT);
    stream.write_all(&opening).await?;
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

// Connects from the router's own address, by which the peer recognizes it.
async fn connect_from(own: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(own, 0))?;
    socket.connect(to).await
}

fn record_direct<P: PlatformAdapter>(
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
    core: &SharedCore<P>,
    target: &DialTarget<'_>,
    direct: DirectOutcome,
    peer: &RelayPeer,
) {
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
