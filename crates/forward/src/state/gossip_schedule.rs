//! Selects the peers that get a gossip message in each round.
//!
//! With a message to every peer in every round, the traffic of each router would grow with the fleet. Peers in the same
//! availability zone get one in every round, as they share its targets. The others get one in turn, some in each round,
//! which bounds a router's traffic in a large fleet; each message states how long the next one may take.
//!
//! Urgent messages of a small fleet go to all peers. In a large one they would fill the links between regions when many
//! routers have the same news, as when many targets load weights or crash. There, a change of the store goes to the own zone, as each
//! zone has routers that watch the store, and what only this router knows goes to the own region. Other regions learn of both
//! in the regular rounds: of a change from the first of many routers whose turn it is.

use std::net::IpAddr;

use godwitroad_base::{ClockSpan, ClockTime};

use super::ForwardState;
use crate::{GossipMessage, MIN_PEER_TIMEOUT};

/// The time between two rounds of gossip.
const GOSSIP_INTERVAL: ClockSpan = ClockSpan::from_ms(200);

/// The number of peers in other zones that get a message in each round. The operator's bound for the control traffic of
/// a router, 22 KB/s, leaves room for about this many messages of 300 bytes in addition to those within the zone.
const OTHER_ZONE_PEERS_PER_ROUND: usize = 16;

/// The minimum number of rounds between two messages to a peer in another region, where traffic costs more.
const OTHER_REGION_ROUNDS: u64 = 2;

/// The minimum time between two urgent messages in a small fleet.
const MIN_URGENT_PAUSE: ClockSpan = ClockSpan::from_ms(20);

impl ForwardState {
    /// Returns the time between two rounds of gossip.
    pub fn gossip_interval(&self) -> ClockSpan {
        GOSSIP_INTERVAL
    }

    /// Returns the minimum time before an urgent message; it grows with the fleet, as many peers get urgent messages.
    pub fn urgent_gossip_pause(&self) -> ClockSpan {
        ClockSpan::from_ms(MIN_URGENT_PAUSE.as_ms() * self.other_zone_rounds())
    }

    /// Returns the addresses of the peers that get a message in a round, which may be an urgent one. The caller must ask before it
    /// takes the message, after which this router has no news.
    pub fn gossip_recipients(&self, round: u64, urgent: bool) -> Vec<IpAddr> {
        let other_zone_rounds = self.other_zone_rounds();
        let is_large = other_zone_rounds > 1;
        let has_own_news = urgent && self.has_own_news();
        let mut recipients = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            let (rounds, is_urgent) = if peer.place.zone == self.settings.place.zone {
                (1, urgent)
            } else if self.is_other_region(&peer.place) {
                (other_zone_rounds.max(OTHER_REGION_ROUNDS), urgent && !is_large)
            } else {
                (other_zone_rounds, urgent && !is_large || has_own_news)
            };
            if is_urgent || (round + index as u64).is_multiple_of(rounds) {
                recipients.push(peer.place.address);
            }
        }
        recipients
    }

    // Returns whether this router has urgent news that no other router tells.
    fn has_own_news(&self) -> bool {
        self.stop.is_stopping()
            || self.allowance.needs_immediate_report()
            || self.quarantine.has_news()
            || self.repeats.has_news()
    }

    // Returns the number of rounds in which each peer outside this router's zone gets one message.
    pub(super) fn other_zone_rounds(&self) -> u64 {
        let own = &self.settings.place.zone;
        let others = self.peers.iter().filter(|peer| peer.place.zone != *own).count();
        others.div_ceil(OTHER_ZONE_PEERS_PER_ROUND).max(1) as u64
    }

    /// Returns the longest time between two messages to a peer.
    pub(super) fn gossip_period(&self) -> ClockSpan {
        ClockSpan::from_ms(
            GOSSIP_INTERVAL.as_ms() * self.other_zone_rounds().max(OTHER_REGION_ROUNDS),
        )
    }

    /// Returns the longest time until the next message of a message's sender, apart from its delay on the way.
    fn promised_gap(&self, message: &GossipMessage) -> ClockSpan {
        if message.place.zone == self.settings.place.zone {
            GOSSIP_INTERVAL
        } else {
            ClockSpan::from_ms(message.period_ms.into())
        }
    }

    pub(super) fn record_gossip_gap(&mut self, now: ClockTime, message: &GossipMessage) {
        let Some(peer) = self.peers.get(&message.place.vm) else { return };
        let previous = peer.last_message.as_ref();
        let previous = previous.filter(|last| last.incarnation == message.incarnation);
        if let (Some(previous), Some(last_received)) = (previous, peer.last_received) {
            self.gossip_gaps.record(now.since(last_received), self.promised_gap(previous));
        }
    }

    /// Returns the time after which the sender of a message counts as unreachable if no other one arrives: 2.5 of its
    /// periods, but at least [`MIN_PEER_TIMEOUT`].
    pub(super) fn peer_timeout(&self, message: &GossipMessage) -> ClockSpan {
        if message.place.zone == self.settings.place.zone {
            return MIN_PEER_TIMEOUT;
        }
        MIN_PEER_TIMEOUT.max(ClockSpan::from_ms(u64::from(message.period_ms) * 5 / 2))
    }
}
