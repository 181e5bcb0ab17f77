//! The notes that routers exchange by datagram.
//!
//! A note replaces the one before, so that a lost datagram needs no repair and `tarpc`'s connections would only add
//! state: a channel that went silent would hold every later note back.

use std::{net::SocketAddr, rc::Rc};

use godwitroad_base::ClockSpan;
use godwitroad_forward::{ForwardEvent, PeerNote};
use tokio::{net::UdpSocket, time::timeout_at};

use crate::{core::SharedCore, port::PlatformPort};

/// The version of the notes' format; others are ignored.
const FORMAT: u8 = 1;

/// The time between two notes to a peer of the region.
const NEAR_PERIOD: ClockSpan = ClockSpan::from_ms(200);

/// Notes to the region for each note to another region, where bytes cost more.
const FAR_EVERY: u64 = 2;

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
        let until = core.after(NEAR_PERIOD);
        // Urgent news don't wait for the end of the period.
        let _ = timeout_at(until, core.tell_peers.notified()).await;
        core.handle(ForwardEvent::Tick);
        core.client.expire();
        tell_all(&core, &socket, round).await;
        round += 1;
    }
}

async fn tell_all<P: PlatformPort>(core: &SharedCore<P>, socket: &UdpSocket, round: u64) {
    let introduce = round < INTRODUCTIONS;
    let note = core.with(|state| state.note(core.now(), introduce));
    let Some(bytes) = encode(&note) else {
        core.log.warn("note_too_large", &format!("sequence={}", note.sequence));
        return;
    };
    let port = core.settings.borrow().peers.port();
    for address in listeners(core, round, !note.loading.is_empty()) {
        // A datagram that can't be sent is like one that is lost.
        let _ = socket.send_to(&bytes, SocketAddr::new(address, port)).await;
    }
}

fn listeners<P: PlatformPort>(
    core: &SharedCore<P>,
    round: u64,
    urgent: bool,
) -> Vec<std::net::IpAddr> {
    let own = core.settings.borrow().forward.place.address;
    let far_too = urgent || round.is_multiple_of(FAR_EVERY);
    let mut listeners: Vec<_> = core.read(|state| {
        let told = state.peers().filter(|peer| far_too || !state.is_far(&peer.place));
        told.map(|peer| peer.place.address).collect()
    });
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
                core.handle(ForwardEvent::Note(note));
            }
            _ => core.metrics.count("notes.unreadable", 1),
        }
    }
}

/// Returns a note as bytes, or `None` if it is too large.
pub(crate) fn encode(note: &PeerNote) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(note, vec![FORMAT]).ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Reads a note.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerNote> {
    let (format, rest) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
