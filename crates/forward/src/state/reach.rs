//! Paths to targets: directly, or through a peer that reaches them.

use std::net::IpAddr;

use godwitroad_base::{ClockSpan, ClockTime, TargetName, VmName, rendezvous};

use super::{ForwardAction, ForwardState};
use crate::{DirectOutcome, ReachChange, TargetRecord, tag_of};

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
    /// Whether to try a direct connection.
    pub tries_direct: bool,
    /// The time to wait for the direct connection before a peer is asked.
    pub peer_delay: ClockSpan,
}

impl ForwardState {
    /// Returns how to open a connection to a run of a target.
    pub fn plan_connect(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started_ms: u64,
    ) -> ConnectPlan {
        if self.reach.is_direct(target, started_ms) {
            return ConnectPlan {
                tries_direct: true,
                peer_delay: self.reach.settings().hedge_delay,
            };
        }
        // Without a peer, the direct path is all there is.
        let tries_direct =
            self.reach.take_probe(now, target) || self.relay_peers(now, target).is_empty();
        ConnectPlan { tries_direct, peer_delay: ClockSpan::ZERO }
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

    /// Records that a target was connected to directly.
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
    /// in this zone first, then in this region. Among equally near ones the order is random.
    pub fn relay_peers(&mut self, now: ClockTime, target: &TargetName) -> Vec<RelayPeer> {
        let key = self.random.next_u64();
        let (own, tag) = (&self.settings.place, tag_of(target.as_str()));
        let mut peers = Vec::new();
        for (message, _) in self.peers.reachable(now) {
            if !message.stopping && message.reach.reaches(tag) {
                let distance = self.distance(&own.zone, &message.place.zone);
                let score = rendezvous::score(key, message.place.vm.as_str());
                peers.push((distance, score, &message.place));
            }
        }
        peers.sort_by_key(|(distance, score, _)| (*distance, *score));
        let nearest = peers.into_iter().take(self.reach.settings().max_peers);
        nearest
            .map(|(_, _, place)| RelayPeer { vm: place.vm.clone(), address: place.address })
            .collect()
    }

    fn notice(&mut self, event: &'static str, detail: String) {
        self.notices.push(ForwardAction::Notice(event, detail));
    }
}
