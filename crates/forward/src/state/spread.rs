//! Which peers a note goes to.
//!
//! A note to every peer in every round costs each router as many datagrams as the fleet has routers. Peers of the own
//! availability zone are told in every round, as they share its targets. The others are told in turn, some in each round,
//! so that a router's notes stay within a bound in a large fleet; each note says how long the next one may take.

use std::net::IpAddr;

use godwitroad_base::ClockSpan;

use super::ForwardState;
use crate::{GossipMessage, PEER_SILENCE};

/// The time between two rounds of notes.
const ROUND: ClockSpan = ClockSpan::from_ms(200);

/// Peers outside the own zone that are told in each round. The operator's bound for control traffic of a router, 22 KB/s,
/// leaves room for about this many notes of 300 bytes beside those of the zone.
const OTHERS_IN_ROUND: usize = 16;

/// Rounds between two notes to another region, where bytes cost more.
const FAR_ROUNDS: u64 = 2;

/// The time between two notes that don't wait for their round, in a small fleet.
const URGENT_PAUSE: ClockSpan = ClockSpan::from_ms(20);

impl ForwardState {
    /// Returns the time between two rounds of notes.
    pub fn gossip_interval(&self) -> ClockSpan {
        ROUND
    }

    /// Returns the time that must pass before a note that doesn't wait for its round, as all peers get it.
    pub fn urgent_gossip_pause(&self) -> ClockSpan {
        ClockSpan::from_ms(URGENT_PAUSE.as_ms() * self.other_rounds())
    }

    /// Returns the peers to tell in a round, or all of them if the news can't wait.
    pub fn gossip_recipients(&self, round: u64, urgent: bool) -> Vec<IpAddr> {
        let every = self.other_rounds();
        let mut listeners = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let rounds = if peer.place.zone == self.settings.place.zone {
                1
            } else if self.is_far(&peer.place) {
                every.max(FAR_ROUNDS)
            } else {
                every
            };
            if urgent || (round + index as u64).is_multiple_of(rounds) {
                listeners.push(peer.place.address);
            }
        }
        listeners
    }

    // The rounds in which each peer outside the own zone is told once.
    pub(super) fn other_rounds(&self) -> u64 {
        let own = &self.settings.place.zone;
        let others = self.peers.iter().filter(|peer| peer.place.zone != *own).count();
        others.div_ceil(OTHERS_IN_ROUND).max(1) as u64
    }

    /// Returns the longest time between two notes to a peer.
    pub(super) fn note_period(&self) -> ClockSpan {
        ClockSpan::from_ms(ROUND.as_ms() * self.other_rounds().max(FAR_ROUNDS))
    }

    /// Returns the silence after which the sender of a note counts as not heard: two notes and a half.
    pub(super) fn silence_of(&self, note: &GossipMessage) -> ClockSpan {
        if note.place.zone == self.settings.place.zone {
            return PEER_SILENCE;
        }
        PEER_SILENCE.max(ClockSpan::from_ms(u64::from(note.period_ms) * 5 / 2))
    }
}
