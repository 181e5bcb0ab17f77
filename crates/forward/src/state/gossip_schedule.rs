//! Decides when a router sends gossip, and to which peers.
//!
//! With a message to every peer in every round, the traffic of each router would grow with the fleet. Peers in the same
//! availability zone get one in every round, as they share its targets. The others get one in turn, those first that have
//! waited longest, which bounds a router's traffic in a large fleet; each message states how long the next one may take.
//!
//! Urgent messages of a small fleet go to all peers. In a large one they would fill the links between regions when many
//! routers have the same news, as when many targets load weights or crash. There, a change of the store goes to the own zone, as each
//! zone has routers that watch the store, and what only this router knows goes to the own region. Other regions learn of both
//! in the regular rounds: of a change from the first of many routers whose turn it is. Which targets are about to load weights
//! goes to all, as only the holder of the order lease has that news.

use std::net::IpAddr;

use godwitroad_base::{ClockSpan, ClockTime, rendezvous};
use xxhash_rust::xxh3::xxh3_64;

use super::{ForwardAction, ForwardState};
use crate::{GossipMessage, MIN_PEER_TIMEOUT, PeerTiming};

/// The time between two regular rounds of gossip.
const GOSSIP_INTERVAL: ClockSpan = ClockSpan::from_ms(200);

/// The number of peers in other zones that get a message in each round. The operator's bound for the control traffic of
/// a router, 22 KB/s, leaves room for about this many messages of 300 bytes in addition to those within the zone.
const OTHER_ZONE_PEERS_PER_ROUND: usize = 16;

/// The minimum number of rounds between two messages to a peer in another region, where traffic costs more.
const OTHER_REGION_ROUNDS: u64 = 2;

/// The minimum time between two urgent messages in a small fleet.
const MIN_URGENT_PAUSE: ClockSpan = ClockSpan::from_ms(20);

/// The number of rounds after the start in which messages also list other routers and go to the seeds. In these rounds
/// peers may know no router but the seeds.
const INTRODUCTION_ROUNDS: u64 = 20;

/// How far an urgent message of a large fleet goes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum UrgentScope {
    /// To the router's zone, for news that a router of each zone has.
    Zone,
    /// To the router's region, for news that only this router has, though others may have the like.
    Region,
    /// To all routers, for news that only one router of the fleet has.
    Fleet,
}

/// A round of gossip.
#[derive(Clone, Debug)]
pub struct GossipRound {
    /// The message.
    pub message: GossipMessage,
    /// The addresses of the peers that get it.
    pub recipients: Vec<IpAddr>,
    /// Whether it also goes to the seeds, as this router has just started.
    pub is_introduction: bool,
    /// Whether it has news that didn't wait for each peer's turn.
    pub is_urgent: bool,
}

/// When rounds of gossip began, and when the next one is due.
#[derive(Debug, Default)]
pub(super) struct GossipSchedule {
    rounds: u64,
    due: ClockTime,
    last_round: ClockTime,
    last_urgent: ClockTime,
    // Where news has to go that only a regular message had room for yet.
    pending: Option<UrgentScope>,
}

impl GossipSchedule {
    // Records a round. A late one doesn't delay those after it, unless it is late by a whole interval. The first one is due
    // as soon as the router runs.
    fn begin(&mut self, now: ClockTime) {
        let next = self.due + GOSSIP_INTERVAL;
        let is_in_time = self.rounds > 0 && self.due <= now && now < next;
        self.due = if is_in_time { next } else { now + GOSSIP_INTERVAL };
        self.last_round = now;
        self.rounds += 1;
    }
}

impl ForwardState {
    /// Returns when the next round of gossip is due. Any event may bring it forward.
    pub fn next_gossip(&self) -> ClockTime {
        let due = self.gossip_schedule.due;
        self.urgent_scope().map_or(due, |_| due.min(self.next_urgent_gossip()))
    }

    /// Begins a round of gossip if one is due.
    pub fn begin_gossip_round(&mut self, now: ClockTime) -> Option<GossipRound> {
        if now < self.next_gossip() {
            return None;
        }
        let scope = self.urgent_scope();
        let urgent = scope.filter(|_| now >= self.next_urgent_gossip());
        // The message takes the news that makes a round urgent.
        self.gossip_schedule.pending = if urgent.is_some() { None } else { scope };
        if urgent.is_some() {
            self.gossip_schedule.last_urgent = now;
        }
        let is_introduction = self.gossip_schedule.rounds < INTRODUCTION_ROUNDS;
        let message = self.gossip_message(now, is_introduction);
        let recipients = self.take_recipients(now, urgent);
        self.gossip_schedule.begin(now);
        Some(GossipRound { message, recipients, is_introduction, is_urgent: urgent.is_some() })
    }

    /// Requests an urgent message, apart from those that [`has_urgent_gossip`](ForwardState::has_urgent_gossip) calls for.
    pub(super) fn request_gossip(&mut self, scope: UrgentScope, actions: &mut Vec<ForwardAction>) {
        let pending = &mut self.gossip_schedule.pending;
        *pending = (*pending).max(Some(scope));
        actions.push(ForwardAction::SendGossip);
    }

    fn urgent_scope(&self) -> Option<UrgentScope> {
        let news = self.has_urgent_gossip().then_some(if self.has_own_news() {
            UrgentScope::Region
        } else {
            UrgentScope::Zone
        });
        let scope = news.max(self.rollouts.news()).max(self.gossip_schedule.pending)?;
        Some(if self.stop.is_stopping() { scope.max(UrgentScope::Region) } else { scope })
    }

    // Returns whether this router has urgent news that no other router tells.
    fn has_own_news(&self) -> bool {
        self.allowance.needs_immediate_report()
            || self.quarantine.has_news()
            || self.repeats.has_news()
    }

    // Returns when the next urgent message may be sent. The pause grows with the fleet, as many peers get such messages.
    fn next_urgent_gossip(&self) -> ClockTime {
        let pause = ClockSpan::from_ms(MIN_URGENT_PAUSE.as_ms() * self.other_zone_rounds());
        let schedule = &self.gossip_schedule;
        (schedule.last_urgent + pause).max(schedule.last_round + pause.min(GOSSIP_INTERVAL))
    }

    // Returns the peers that get a message in a round, and records that they do.
    fn take_recipients(&mut self, now: ClockTime, urgent: Option<UrgentScope>) -> Vec<IpAddr> {
        let rounds = self.other_zone_rounds();
        let is_large = rounds > 1;
        let key = xxh3_64(self.settings.place.vm.as_str().as_bytes());
        let (mut chosen, mut same_region, mut other_region) = (Vec::new(), Vec::new(), Vec::new());
        for peer in self.peers.iter() {
            if peer.place.zone == self.settings.place.zone {
                chosen.push(peer.place.vm.clone());
            } else if self.is_other_region(&peer.place) {
                other_region.push(peer);
            } else {
                same_region.push(peer);
            }
        }
        let to_region = urgent.is_some_and(|scope| !is_large || scope >= UrgentScope::Region);
        let to_all = urgent.is_some_and(|scope| !is_large || scope >= UrgentScope::Fleet);
        let groups = [
            (same_region, if to_region { 1 } else { rounds }),
            (other_region, if to_all { 1 } else { rounds.max(OTHER_REGION_ROUNDS) }),
        ];
        for (mut peers, rounds) in groups {
            let count = peers.len().div_ceil(rounds as usize);
            if count < peers.len() {
                // The order among equals differs between routers, as many messages at once may not fit a peer's socket.
                peers.sort_by_cached_key(|peer| {
                    (peer.last_sent, rendezvous::score(key, peer.place.vm.as_str()))
                });
            }
            chosen.extend(peers.iter().take(count).map(|peer| peer.place.vm.clone()));
        }
        let recipients = chosen.iter().filter_map(|vm| self.peers.record_sent(now, vm));
        recipients.collect()
    }

    // Returns the number of rounds in which each peer outside this router's zone gets one message.
    pub(super) fn other_zone_rounds(&self) -> u64 {
        let own = &self.settings.place.zone;
        let others = self.peers.iter().filter(|peer| peer.place.zone != *own).count();
        others.div_ceil(OTHER_ZONE_PEERS_PER_ROUND).max(1) as u64
    }

    /// Returns the longest time between two messages to a peer.
    pub(super) fn gossip_period(&self) -> ClockSpan {
        ClockSpan::from_ms(GOSSIP_INTERVAL.as_ms() * self.gossip_period_rounds())
    }

    /// Returns the longest time between two messages to a peer in rounds.
    pub(super) fn gossip_period_rounds(&self) -> u64 {
        self.other_zone_rounds().max(OTHER_REGION_ROUNDS)
    }

    /// Returns the time within which each peer that gets messages has had one: the period, or more if this router's rounds
    /// were late.
    pub(super) fn kept_gossip_period(&self, now: ClockTime) -> ClockSpan {
        let oldest = self.peers.iter().filter_map(|peer| peer.last_sent).min();
        oldest.map_or(ClockSpan::ZERO, |sent| now.since(sent)).max(self.gossip_period())
    }

    /// Returns when the next message of a message's sender is due. The sender counts as unreachable after 2.5 of its periods
    /// without another one, but at least [`MIN_PEER_TIMEOUT`].
    pub(super) fn peer_timing(&self, message: &GossipMessage) -> PeerTiming {
        if message.place.zone == self.settings.place.zone {
            return PeerTiming { promised: GOSSIP_INTERVAL, timeout: MIN_PEER_TIMEOUT };
        }
        let period_ms = u64::from(message.period_ms);
        let timeout = MIN_PEER_TIMEOUT.max(ClockSpan::from_ms(period_ms * 5 / 2));
        PeerTiming { promised: ClockSpan::from_ms(period_ms), timeout }
    }

    pub(super) fn record_gossip_gap(&mut self, now: ClockTime, message: &GossipMessage) {
        let Some(peer) = self.peers.get(&message.place.vm) else { return };
        let previous = peer.last_message.as_ref();
        let previous = previous.filter(|last| last.incarnation == message.incarnation);
        if let (Some(previous), Some(last_received)) = (previous, peer.last_received) {
            self.gossip_gaps.record(now.since(last_received), self.peer_timing(previous).promised);
        }
    }
}
