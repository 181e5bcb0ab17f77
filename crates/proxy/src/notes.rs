//! The notes that routers exchange by datagram.
//!
//! A note replaces the one before, so that a lost datagram needs no repair and `tarpc`'s connections would only add
//! state: a channel that went silent would hold every later note back.

use std::{net::SocketAddr, rc::Rc};

use godwitroad_forward::{ForwardEvent, GossipMessage};
use tokio::{net::UdpSocket, time::timeout_at};

use crate::{core::SharedCore, port::PlatformPort};

/// The version of the notes' format; others are ignored.
const FORMAT: u8 = 1;

/// Notes with an introduction of other routers: the first ones, while peers may know only this router's seeds.
const INTRODUCTIONS: u64 = 20;

/// The largest note that fits a datagram on common networks.
const MAX_BYTES: usize = 1_400;

/// Opens the socket for notes.
///
/// # Errors
///
/// Returns an error if the address can't be used.
pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Rc<UdpSocket>> {
    Ok(Rc::new(UdpSocket::bind(address).await?))
}

/// Tells the peers for as long as the process runs.
pub(crate) async fn tell<P: PlatformPort>(core: SharedCore<P>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        let (period, pause) =
            core.read(|state| (state.gossip_interval(), state.urgent_gossip_pause()));
        let until = core.after(period);
        core.sleep(pause).await;
        // Urgent news don't wait for the end of the round.
        let is_urgent = timeout_at(until, core.tell_peers.notified()).await.is_ok();
        core.handle(ForwardEvent::Tick);
        core.client.expire();
        tell_all(&core, &socket, round, is_urgent).await;
        round += 1;
    }
}

async fn tell_all<P: PlatformPort>(
    core: &SharedCore<P>,
    socket: &UdpSocket,
    round: u64,
    is_urgent: bool,
) {
    let note = core.with(|state| state.gossip_message(core.now(), round < INTRODUCTIONS));
    let Some(bytes) = encode(&note) else {
        core.log.warn("note_too_large", &format!("sequence={}", note.sequence));
        return;
    };
    let port = core.settings.borrow().peers.port();
    for address in listeners(core, round, is_urgent) {
        // A datagram that can't be sent is like one that is lost.
        let _ = socket.send_to(&bytes, SocketAddr::new(address, port)).await;
    }
}

fn listeners<P: PlatformPort>(
    core: &SharedCore<P>,
    round: u64,
    is_urgent: bool,
) -> Vec<std::net::IpAddr> {
    let own = core.settings.borrow().forward.place.address;
    let mut listeners = core.read(|state| state.gossip_recipients(round, is_urgent));
    if round < INTRODUCTIONS {
        listeners.extend(core.settings.borrow().seeds.iter().copied());
        listeners.sort_unstable();
        listeners.dedup();
    }
    listeners.retain(|address| *address != own);
    listeners
}

/// Hears the peers for as long as the process runs.
pub(crate) async fn hear<P: PlatformPort>(core: SharedCore<P>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match decode(&buffer[..length]) {
            // The address of the datagram shows where the sender is.
            Some(note) if note.place.address == from.ip() => {
                core.handle(ForwardEvent::Gossip(note));
            }
            _ => core.metrics.count("notes.unreadable", 1),
        }
    }
}

/// Returns a note as bytes, or `None` if it is too large. What matters least is left out until it fits.
pub(crate) fn encode(note: &GossipMessage) -> Option<Vec<u8>> {
    let mut note = note.clone();
    loop {
        let bytes = postcard::to_extend(&note, vec![FORMAT]).ok()?;
        if bytes.len() <= MAX_BYTES {
            return Some(bytes);
        }
        if !note.drop_least_important() {
            return None;
        }
    }
}

/// Reads a note.
pub(crate) fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let (format, rest) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
