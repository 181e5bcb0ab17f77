//! Gossip between routers, sent as UDP datagrams.
//!
//! Each message replaces the sender's previous one, so a lost datagram needs no retransmission. Connections as in
//! `tarpc` would only add state: a stalled connection would delay every later message.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use godwitroad_base::ClockSpan;
use godwitroad_forward::{ForwardEvent, ForwardState, GossipMessage, GossipRound};
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;
use tokio::{net::UdpSocket, time::timeout_at};

use crate::{core::SharedCore, platform::PlatformAdapter};

/// The version of the message format. Messages of other versions are ignored.
const FORMAT_VERSION: u8 = 2;

/// The size limit of an encoded message, so that it fits a datagram without fragmentation on common networks.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The minimum number of requests from which the correlation of estimated and actual times is computed.
const MIN_ERROR_COUNT: usize = 32;

/// The longest time between two checks that no datagram waits in the socket.
const DRAIN_CHECK_INTERVAL: ClockSpan = ClockSpan::from_ms(200);

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
    let mut last_round = core.now();
    loop {
        let due = core.read(ForwardState::next_gossip);
        let now = core.now();
        if now < due {
            // A notification may bring the round forward.
            let _ = timeout_at(core.deadline(due.since(now)), core.send_gossip.notified()).await;
            continue;
        }
        core.handle(ForwardEvent::Tick);
        core.client.close_expired();
        if let Some(round) = core.update(|state| state.begin_gossip_round(now)) {
            record_cost_error(&core);
            core.metrics.record("notes.round_ms", now.since(last_round).as_ms());
            last_round = now;
            send_to_peers(&core, &socket, round).await;
        }
    }
}

fn record_cost_error<P: PlatformAdapter>(core: &SharedCore<P>) {
    let error = core.read(ForwardState::cost_error);
    // A correlation of a few requests says nothing.
    if error.count >= MIN_ERROR_COUNT {
        let percent = (error.correlation * 100.0).max(0.0) as u64;
        core.metrics.record("cost.correlation", percent);
    }
}

async fn send_to_peers<P: PlatformAdapter>(
    core: &SharedCore<P>,
    socket: &UdpSocket,
    round: GossipRound,
) {
    let Some(bytes) = encode(&round.message) else {
        core.log.warn("note_too_large", &format!("sequence={}", round.message.sequence));
        return;
    };
    let urgency = if round.is_urgent { "urgent" } else { "regular" };
    let recipients = recipients(core, round);
    core.metrics.count(&format!("notes.{urgency}"), recipients.len() as u64);
    core.metrics.count(&format!("notes.{urgency}_bytes"), (recipients.len() * bytes.len()) as u64);
    let port = core.settings.borrow().peers.port();
    for address in recipients {
        // A send error has the same effect as a lost datagram.
        let _ = socket.send_to(&bytes, SocketAddr::new(address, port)).await;
    }
}

fn recipients<P: PlatformAdapter>(core: &SharedCore<P>, round: GossipRound) -> Vec<IpAddr> {
    let settings = core.settings.borrow();
    let mut recipients = round.recipients;
    if round.is_introduction {
        recipients.extend(settings.seeds.iter().copied());
        recipients.sort_unstable();
        recipients.dedup();
    }
    recipients.retain(|address| *address != settings.forward.place.address);
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
        let deadline = core.deadline(DRAIN_CHECK_INTERVAL);
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
        let bytes = encode_whole(&message).ok()?;
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return Some(bytes);
        }
        if !message.drop_least_important() {
            return None;
        }
    }
}

// The sections after the message are in the order in which they were introduced, and end with the last one that isn't empty.
// Routers of an earlier build ignore those that they don't know.
fn encode_whole(message: &GossipMessage) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(message, vec![FORMAT_VERSION])?;
    let sections = [
        (message.quarantine.is_empty(), encode_section(&*message.quarantine)?),
        (message.limits.is_empty(), encode_section(&message.limits)?),
        (message.repeats.is_empty(), encode_section(&*message.repeats)?),
        (message.origins.is_empty(), encode_section(&*message.origins)?),
        (message.leaving.is_empty(), encode_section(&message.leaving)?),
        (message.deferrals.is_empty(), encode_section(&message.deferrals)?),
        (message.reach.is_empty(), encode_section(&message.reach)?),
        (message.brittle.is_empty(), encode_section(&message.brittle)?),
        (!message.reaches_store, encode_section(&message.reaches_store)?),
        (!message.shares_changes, encode_section(&message.shares_changes)?),
        (message.paces.is_empty(), encode_section(&message.paces)?),
        (message.rollouts.is_empty(), encode_section(&message.rollouts)?),
    ];
    let last = sections.iter().rposition(|(is_empty, _)| !is_empty);
    let used = last.map_or(&[][..], |last| &sections[..=last]);
    Ok(used.iter().fold(bytes, |bytes, (_, section)| [bytes, section.clone()].concat()))
}

fn encode_section<T: Serialize>(section: &T) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(section, Vec::new())
}

/// Decodes a message, or returns `None` if its version or content isn't readable.
pub(crate) fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let (version, payload) = bytes.split_first()?;
    if *version != FORMAT_VERSION {
        return None;
    }
    let (mut message, mut rest): (GossipMessage, _) = postcard::take_from_bytes(payload).ok()?;
    message.quarantine = decode_section(&mut rest)?;
    message.limits = decode_section(&mut rest)?;
    message.repeats = decode_section(&mut rest)?;
    message.origins = decode_section(&mut rest)?;
    message.leaving = decode_section(&mut rest)?;
    message.deferrals = decode_section(&mut rest)?;
    message.reach = decode_section(&mut rest)?;
    message.brittle = decode_section(&mut rest)?;
    message.reaches_store = decode_section(&mut rest)?;
    message.shares_changes = decode_section(&mut rest)?;
    message.paces = decode_section(&mut rest)?;
    message.rollouts = decode_section(&mut rest)?;
    Some(message)
}

// Returns the next section; one that a router of an earlier build doesn't send is empty.
fn decode_section<T: Default + DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    if rest.is_empty() {
        return Some(T::default());
    }
    let (section, left) = postcard::take_from_bytes(rest).ok()?;
    *rest = left;
    Some(section)
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
