//! Gossip between routers, sent as UDP datagrams.
//!
//! Each message replaces the sender's previous one, so a lost datagram needs no retransmission. Connections as in
//! `tarpc` would only add state: a stalled connection would delay every later message.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc};

use godwitroad_forward::{ForwardEvent, GossipMessage};
use socket2::SockRef;
use tokio::{net::UdpSocket, time::timeout_at};

use crate::{core::SharedCore, platform::PlatformAdapter};

/// The version of the message format. Messages of other versions are ignored.
const FORMAT_VERSION: u8 = 2;

/// The number of rounds after the start in which messages also list other routers and go to the seeds. In these rounds
/// peers may know no router but the seeds.
const INTRODUCTION_ROUNDS: u64 = 20;

/// The size limit of an encoded message, so that it fits a datagram without fragmentation on common networks.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Opens the UDP socket for gossip.
///
/// # Errors
///
/// Returns an error if the socket can't be bound to the address.
pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(address).await?))
}

/// Sends gossip to peers for as long as the process runs.
pub(crate) async fn run_sender<P: PlatformAdapter>(core: SharedCore<P>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        let (interval, min_pause) =
            core.read(|state| (state.gossip_interval(), state.urgent_gossip_pause()));
        let deadline = core.deadline(interval);
        core.sleep(min_pause).await;
        // An urgent change ends the round early.
        let is_urgent = timeout_at(deadline, core.send_gossip.notified()).await.is_ok();
        core.handle(ForwardEvent::Tick);
        core.client.close_expired();
        send_to_peers(&core, &socket, round, is_urgent).await;
        round += 1;
    }
}

async fn send_to_peers<P: PlatformAdapter>(
    core: &SharedCore<P>,
    socket: &UdpSocket,
    round: u64,
    is_urgent: bool,
) {
    let message =
        core.update(|state| state.gossip_message(core.now(), round < INTRODUCTION_ROUNDS));
    let Some(bytes) = encode(&message) else {
        core.log.warn("note_too_large", &format!("sequence={}", message.sequence));
        return;
    };
    let port = core.settings.borrow().peers.port();
    for address in recipients(core, round, is_urgent) {
        // A send error has the same effect as a lost datagram.
        let _ = socket.send_to(&bytes, SocketAddr::new(address, port)).await;
    }
}

fn recipients<P: PlatformAdapter>(
    core: &SharedCore<P>,
    round: u64,
    is_urgent: bool,
) -> Vec<std::net::IpAddr> {
    let own_address = core.settings.borrow().forward.place.address;
    let mut recipients = core.read(|state| state.gossip_recipients(round, is_urgent));
    if round < INTRODUCTION_ROUNDS {
        recipients.extend(core.settings.borrow().seeds.iter().copied());
        recipients.sort_unstable();
        recipients.dedup();
    }
    recipients.retain(|address| *address != own_address);
    recipients
}

/// Receives gossip from peers for as long as the process runs.
pub(crate) async fn run_receiver<P: PlatformAdapter>(core: SharedCore<P>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    // Datagrams that are received later arrived after this time.
    let mut drained_at = core.now();
    loop {
        let now = core.now();
        if is_drained(&socket) {
            drained_at = now;
        }
        // Without a deadline, a quiet time of the peers would pass for a suspension of this router.
        let deadline = core.deadline(core.read(|state| state.gossip_interval()));
        let received = timeout_at(deadline, socket.recv_from(&mut buffer)).await;
        let Ok(Ok((length, from))) = received else { continue };
        match decode(&buffer[..length]) {
            // A message counts only if it comes from the address that it claims.
            Some(message) if message.place.address == from.ip() => {
                core.handle(ForwardEvent::Gossip {
                    message: Box::new(message),
                    arrived_after: drained_at,
                });
            }
            _ => core.metrics.count("notes.unreadable", 1),
        }
    }
}

// Returns whether no datagram waits in the socket. This asks the operating system, as after a suspension the runtime still
// answers from the state before it.
fn is_drained(socket: &UdpSocket) -> bool {
    let peeked = SockRef::from(socket).peek_sender();
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Encodes a message. Its least important content is dropped until it fits a datagram; returns `None` if nothing more
/// can be dropped.
pub(crate) fn encode(message: &GossipMessage) -> Option<Vec<u8>> {
    let mut message = message.clone();
    loop {
        let mut bytes = postcard::to_extend(&message, vec![FORMAT_VERSION]).ok()?;
        let (has_limits, has_repeats) = (!message.limits.is_empty(), !message.repeats.is_empty());
        if !message.quarantine.is_empty() || has_limits || has_repeats {
            bytes = postcard::to_extend(&*message.quarantine, bytes).ok()?;
        }
        if has_limits || has_repeats {
            bytes = postcard::to_extend(&message.limits, bytes).ok()?;
        }
        if has_repeats {
            bytes = postcard::to_extend(&*message.repeats, bytes).ok()?;
        }
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        if !message.drop_least_important() {
            return None;
        }
    }
}

/// Decodes a message, or returns `None` if its version or content isn't readable.
pub(crate) fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let (version, payload) = bytes.split_first()?;
    if *version != FORMAT_VERSION {
        return None;
    }
    let (mut message, rest): (GossipMessage, _) = postcard::take_from_bytes(payload).ok()?;
    if rest.is_empty() {
        return Some(message);
    }
    let (quarantine, rest) = postcard::take_from_bytes(rest).ok()?;
    message.quarantine = Box::new(quarantine);
    if rest.is_empty() {
        return Some(message);
    }
    let (limits, rest) = postcard::take_from_bytes(rest).ok()?;
    message.limits = limits;
    if !rest.is_empty() {
        message.repeats = Box::new(postcard::from_bytes(rest).ok()?);
    }
    Some(message)
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
