//! Which peers a note goes to.
//!
//! A note to every peer in every round costs each router as many datagrams as the fleet has routers. Peers of the own
//! availability zone are told in every round, as they share its targets. The others are told in turn, some in each round,
//! so that a router's notes stay within a bound in a large fleet; each note says how long the next one may take.

use std::net::IpAddr;

use godwitroad_base::ClockSpan;

use super::ForwardState;
use crate::{GossipMessage, MIN_PEER_TIMEOUT};

/// The time between two rounds of notes.
const GOSSIP_INTERVAL: ClockSpan = ClockSpan::from_ms(200);

/// Peers outside the own zone that are told in each round. The operator's bound for control traffic of a router, 22 KB/s,
/// leaves room for about this many notes of 300 bytes beside those of the zone.
const OTHER_ZONE_PEERS_PER_ROUND: usize = 16;

/// Rounds between two notes to another region, where bytes cost more.
const OTHER_REGION_ROUNDS: u64 = 2;

/// The time between two notes that don't wait for their round, in a small fleet.
const MIN_URGENT_PAUSE: ClockSpan = ClockSpan::from_ms(20);

impl ForwardState {
    /// Returns the time between two rounds of notes.
    pub fn gossip_interval(&self) -> ClockSpan {
        GOSSIP_INTERVAL
    }

    /// Returns the time that must pass before a note that doesn't wait for its round, as all peers get it.
    pub fn urgent_gossip_pause(&self) -> ClockSpan {
        ClockSpan::from_ms(MIN_URGENT_PAUSE.as_ms() * self.other_zone_rounds())
    }

    /// Returns the peers to tell in a round, or all of them if the news can't wait.
    pub fn gossip_recipients(&self, round: u64, urgent: bool) -> Vec<IpAddr> {
        let other_zone_rounds = self.other_zone_rounds();
        let mut recipients = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let rounds = if peer.place.zone == self.settings.place.zone {
                1
            } else if self.is_other_region(&peer.place) {
                other_zone_rounds.max(OTHER_REGION_ROUNDS)
            } else {
                other_zone_rounds
            };
            if urgent || (round + index as u64).is_multiple_of(rounds) {
                recipients.push(peer.place.address);
            }
        }
        recipients
    }

    // The rounds in which each peer outside the own zone is told once.
    pub(super) fn other_zone_rounds(&self) -> u64 {
        let own = &self.settings.place.zone;
        let others = self.peers.iter().filter(|peer| peer.place.zone != *own).count();
        others.div_ceil(OTHER_ZONE_PEERS_PER_ROUND).max(1) as u64
    }

    /// Returns the longest time between two notes to a peer.
    pub(super) fn gossip_period(&self) -> ClockSpan {
        ClockSpan::from_ms(
            GOSSIP_INTERVAL.as_ms() * self.other_zone_rounds().max(OTHER_REGION_ROUNDS),
        )
    }

    /// Returns the silence after which the sender of a note counts as not heard: two notes and a half.
    pub(super) fn peer_timeout(&self, message: &GossipMessage) -> ClockSpan {
        if message.place.zone == self.settings.place.zone {
            return MIN_PEER_TIMEOUT;
        }
        MIN_PEER_TIMEOUT.max(ClockSpan::from_ms(u64::from(message.period_ms) * 5 / 2))
    }
}
