//! Paths to targets: directly, or through a peer that reaches them.

use std::{collections::BTreeMap, net::IpAddr};

use godwitroad_base::{ClockSpan, ClockTime, TargetName, VmName, ZoneName, rendezvous};

use super::{ForwardAction, ForwardState};
use crate::{DirectOutcome, GossipMessage, PeerPlace, ReachChange, TargetRecord, tag_of};

/// A peer through which a target can be connected to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// The peer's VM.
    pub vm: VmName,
    /// The peer's address.
    pub address: IpAddr,
}

/// How to open a connection to a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConnectPlan {
    /// Whether to try a direct connection beside the peers, or a connection that no request waits for if the target is down.
    pub tries_direct: bool,
    /// The time to wait for the direct connection before a peer is asked: zero if the target is out of reach, `None` if
    /// neither this router nor its peers can connect to it now.
    pub peer_delay: Option<ClockSpan>,
}

impl ForwardState {
    /// Returns how to open a connection to a run of a target.
    pub fn plan_connect(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started_ms: u64,
    ) -> ConnectPlan {
        if self.reach.is_down(now, target) {
            return ConnectPlan {
                tries_direct: self.reach.take_probe(now, target),
                peer_delay: None,
            };
        }
        if self.reach.is_direct(target, started_ms) && !self.reach.is_doubtful(target) {
            let peer_delay = self.reach.settings().hedge_delay;
            return ConnectPlan { tries_direct: true, peer_delay: Some(peer_delay) };
        }
        let tries_direct = self.reach.take_probe(now, target);
        ConnectPlan { tries_direct, peer_delay: Some(ClockSpan::ZERO) }
    }

    /// Returns whether a run of a target is reached directly, as far as is known.
    pub fn is_direct(&self, target: &TargetName, started_ms: u64) -> bool {
        self.reach.is_direct(target, started_ms)
    }

    /// Returns a target that a peer asks to be connected to, or `None` if this router doesn't list this run of it or doesn't
    /// reach it directly.
    pub fn relay_target(&self, target: &TargetName, started_ms: u64) -> Option<&TargetRecord> {
        let record = self.roster.get(target).filter(|record| record.started_ms == started_ms)?;
        self.reach.is_direct(target, started_ms).then_some(record)
    }

    /// Returns the VM of the router at an address if it is known as a peer.
    pub fn peer_at(&self, address: IpAddr) -> Option<&VmName> {
        self.peers.iter().find(|peer| peer.place.address == address).map(|peer| &peer.place.vm)
    }

    /// Returns whether this router seems to be cut from all targets.
    pub fn is_cut_from_targets(&self) -> bool {
        self.reach.is_cut()
    }

    /// Records an answer over a direct connection, which may live on while new ones are refused; returns whether this router no
    /// longer seems to be cut from all targets.
    pub fn record_direct_answer(&mut self, now: ClockTime) -> bool {
        let is_back = self.reach.record_answer(now);
        if is_back {
            self.notice("targets_reached", "by=answer".to_owned());
        }
        is_back
    }

    /// Records that a direct connection to a target has proved itself.
    pub fn record_direct_path(&mut self, now: ClockTime, target: &TargetName) -> ReachChange {
        let change = self.reach.record_direct(now, target);
        if change.target {
            // Failures of the lost path say nothing about the target.
            self.health.remove(target);
            self.notice("target_reached", format!("target={target}"));
        }
        if change.cut {
            self.notice("targets_reached", format!("by=connection target={target}"));
        }
        change
    }

    /// Records that a peer connected to a target while this router's own attempt was pending or had failed.
    pub fn record_lost_path(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started_ms: u64,
        direct: DirectOutcome,
        peer: &VmName,
    ) -> ReachChange {
        if direct == DirectOutcome::Skipped {
            return ReachChange::default();
        }
        let change = self.reach.record_lost(now, target, started_ms);
        if change.target {
            self.health.remove(target);
            let detail = format!("target={target} direct={direct:?} reached_by={peer}");
            self.notice("target_out_of_reach", detail);
        }
        if change.cut {
            let detail = format!("last_target={target} targets={}", self.roster.len());
            self.notice("cut_from_targets", detail);
        }
        change
    }

    /// Returns the peers to ask for a connection to a target, one after the other: those that reach it as far as they know,
    /// the nearest first. Each is followed by one of another availability zone, as the VMs of a zone may be cut together.
    pub fn relay_peers(&mut self, now: ClockTime, target: &TargetName) -> Vec<RelayPeer> {
        let (key, tag) = (self.random.next_u64(), tag_of(target.as_str()));
        self.nearest_peers(
            now,
            key,
            |message| is_relay(message, tag),
            |message| u8::from(self.reach.has_failed(now, &message.place.vm)),
        )
    }

    /// Returns the first of the usable peers: the nearest ones, each followed by one of another availability zone, in an order
    /// that depends on `key`. Those with a lower penalty come first.
    pub(super) fn nearest_peers(
        &self,
        now: ClockTime,
        key: u64,
        is_usable: impl Fn(&GossipMessage) -> bool,
        penalty: impl Fn(&GossipMessage) -> u8,
    ) -> Vec<RelayPeer> {
        let own = &self.settings.place;
        let mut zones: BTreeMap<&ZoneName, Vec<(u8, u64, &PeerPlace)>> = BTreeMap::new();
        for (message, _) in self.peers.reachable(now) {
            if is_usable(message) {
                let place = &message.place;
                let score = rendezvous::score(key, place.vm.as_str());
                let penalty = penalty(message);
                zones.entry(&place.zone).or_default().push((penalty, score, place));
            }
        }
        let mut peers = Vec::new();
        for (zone, mut members) in zones {
            members.sort_by_key(|(penalty, score, _)| (*penalty, *score));
            let distance = self.distance(&own.zone, zone);
            let ranked = members.into_iter().enumerate();
            peers
                .extend(ranked.map(|(rank, (penalty, _, place))| (penalty, rank, distance, place)));
        }
        peers.sort_by_key(|(penalty, rank, distance, _)| (*penalty, *rank, *distance));
        let first = peers.into_iter().take(self.reach.settings().max_peers);
        first
            .map(|(_, _, _, place)| RelayPeer { vm: place.vm.clone(), address: place.address })
            .collect()
    }

    /// Records that a peer could not connect to a target.
    pub fn record_failed_peer(&mut self, now: ClockTime, peer: &VmName) {
        self.reach.record_failed_peer(now, peer);
    }

    /// Records that neither this router nor these peers could connect to a target.
    pub fn record_unreachable(&mut self, now: ClockTime, target: &TargetName, failed: Vec<VmName>) {
        let tag = tag_of(target.as_str());
        let peers = self.peers.reachable(now);
        let count = peers.filter(|(message, _)| is_relay(message, tag)).count();
        let detail = format!("target={target} failed_peers={failed:?} peers={count}");
        if !failed.is_empty() && self.reach.record_unreachable(now, target, failed, count) {
            self.notice("target_down", detail);
        }
    }

    /// Records that a target to which no router could connect has been connected to.
    pub fn record_target_up(&mut self, target: &TargetName) {
        self.reach.record_up(target);
        self.notice("target_up", format!("target={target}"));
    }

    /// Records that a direct connection to a target ended before its first answer.
    pub fn record_closed_path(&mut self, target: &TargetName) {
        self.reach.record_closed(target);
    }

    pub(super) fn notice(&mut self, event: &'static str, detail: String) {
        self.notices.push(ForwardAction::Notice(event, detail));
    }
}

// Returns whether the sender of a message may be asked to connect to a target.
fn is_relay(message: &GossipMessage, target: u32) -> bool {
    !message.stopping && message.reach.reaches(target)
}
