//! The periodic work of a [`MemberTable`]: heartbeats, removal votes, reads and the settling of earlier epochs.

use godwitroad_base::{ClockSpan, ClockTime, VmName, rendezvous};

use super::{
    Heartbeat, HeartbeatEcho, LeaveStage, MAX_TRACKED_HEARTBEATS, MemberAction, MemberMessage,
    MemberReport, MemberTable, PastRoster, PeerHealth, READER_COUNT, READER_KEY, ROSTER_REQUESTS,
};
use crate::settings::{HOLD_TERM_MS, TERM_MARGIN_MS, max_drifted_span};

impl MemberTable {
    pub(super) fn tick(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.vote_removals(now);
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, actions);
        }
        self.store.expire_call(now, &self.settings);
        if self.store.is_idle() && now >= self.store.next_read && self.should_read(now) {
            self.store.read(now, actions);
        }
        if !self.is_member() && self.stage == LeaveStage::Active && now >= self.next_roster_request
        {
            self.request_rosters(now, actions);
        }
    }

    // A removal vote stands until the epoch ends. Votes are given only while the store confirms the epoch: without
    // the store the removal can't be written, and the vote would only withhold an acknowledgement from the peer.
    fn vote_removals(&mut self, now: ClockTime) {
        let max_age = ClockSpan::from_ms(HOLD_TERM_MS);
        if self.term.last_read().is_none_or(|at| now.since(at) >= max_age) {
            return;
        }
        let unresponsive = |vm: &&VmName| {
            let health = self.health_of(now, vm);
            matches!(health, Some(PeerHealth::Unreachable | PeerHealth::Gone))
        };
        let unresponsive: Vec<VmName> = self.peers.keys().filter(unresponsive).cloned().collect();
        self.removal_votes.extend(unresponsive);
    }

    fn send_heartbeats(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.next_heartbeat = now + self.settings.heartbeat_interval;
        let Some(roster) = self.roster.as_ref().filter(|_| self.is_member()) else { return };
        self.sequence += 1;
        self.sent_heartbeats.push_back((self.sequence, now));
        if self.sent_heartbeats.len() > MAX_TRACKED_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let confirmed_age = self.term.own_read().map(|at| now.since(at));
        for member in roster.members.iter().filter(|member| member.vm != self.settings.node.vm) {
            let peer = self.peers.get(&member.vm);
            let echo = peer.and_then(|peer| {
                Some(HeartbeatEcho { incarnation: peer.incarnation, sequence: peer.sequence? })
            });
            let heartbeat = Heartbeat {
                epoch: roster.epoch,
                sequence: self.sequence,
                echo,
                term_ack: !self.removal_votes.contains(&member.vm),
                removal_votes: self.removal_votes.iter().cloned().collect(),
                confirmed_age,
                leaving: self.stage != LeaveStage::Active,
                remote_epochs: self.remote_epoch_sum(),
                summary: self.summary,
            };
            actions.push(MemberAction::Send {
                to: member.vm.clone(),
                address: Some(member.address.clone()),
                message: MemberMessage::Heartbeat(heartbeat),
            });
        }
    }

    /// Returns the VMs that read the store for the zone: the highest ranked among the reachable members.
    pub(super) fn readers(&self, now: ClockTime) -> Vec<VmName> {
        let Some(roster) = self.roster.as_ref() else { return Vec::new() };
        let reachable = |vm: &VmName| {
            let health = self.health_of(now, vm);
            *vm == self.settings.node.vm
                || matches!(health, Some(PeerHealth::Live | PeerHealth::Leaving))
        };
        let live: Vec<&VmName> =
            roster.members.iter().map(|member| &member.vm).filter(|vm| reachable(vm)).collect();
        let order = rendezvous::rank(READER_KEY, &live);
        order.into_iter().take(READER_COUNT).map(|index| live[index].clone()).collect()
    }

    // A member that receives no confirmation from the readers reads for itself. It may be the only one that reaches
    // the store, and a removed member has no other way to learn of its removal.
    fn should_read(&self, now: ClockTime) -> bool {
        if self.stage == LeaveStage::Left {
            return false;
        }
        let max_age = ClockSpan::from_ms(HOLD_TERM_MS / 2);
        let is_confirmed = self.term.last_read().is_some_and(|at| now.since(at) < max_age);
        !self.is_member()
            || self.stage == LeaveStage::HandedOff
            || !is_confirmed
            || self.is_reader(now)
    }

    fn request_rosters(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.next_roster_request = now + ClockSpan::from_ms(500 + self.random.below(500));
        let node = &self.settings.node;
        let mut vms: Vec<VmName> =
            self.listed.keys().filter(|vm| **vm != node.vm).cloned().collect();
        for _ in 0..ROSTER_REQUESTS.min(vms.len()) {
            let index = self.random.below(vms.len() as u64) as usize;
            let to = vms.swap_remove(index);
            let message = MemberMessage::RosterRequest(self.settings.zone.clone());
            actions.push(MemberAction::Send { address: self.address_of(&to), to, message });
        }
    }

    /// Returns the past rosters whose holders may still act.
    pub(super) fn unsettled(&self) -> impl Iterator<Item = &PastRoster> {
        let roster = self.roster.iter().flat_map(|roster| &roster.unsettled);
        roster.filter(|past| !self.settled.contains(&past.epoch))
    }

    /// Records the past rosters under which no member can act any more.
    ///
    /// Either every member has stopped or moved to a later epoch, or a majority has done so or is gone, and the terms
    /// that the others may have obtained before that have expired.
    pub(super) fn settle_epochs(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let wait = max_drifted_span(ClockSpan::from_ms(HOLD_TERM_MS + TERM_MARGIN_MS));
        let mut settled = Vec::new();
        let mut quorums = Vec::new();
        for past in self.unsettled() {
            let stopped = past.members.iter().filter(|node| self.has_stopped(past, node)).count();
            let removed = past.members.iter().filter(|node| {
                !self.has_stopped(past, node)
                    && self.health_of(now, &node.vm) == Some(PeerHealth::Gone)
            });
            let quorum = stopped + removed.count() > past.members.len() / 2;
            let since = self.quorum_at.get(&past.epoch).copied().or(quorum.then_some(now));
            if let Some(since) = since {
                quorums.push((past.epoch, since));
            }
            if stopped == past.members.len() || since.is_some_and(|since| now >= since + wait) {
                settled.push(past.epoch);
            }
        }
        self.quorum_at.extend(quorums);
        let before = self.settled.len();
        self.settled.extend(settled);
        if self.settled.len() > before && self.unsettled().next().is_none() {
            let epoch = self.epoch();
            actions.push(MemberAction::Report(MemberReport::Settled { epoch }));
            // Only the newest 64 epochs are kept, which bounds the size of both collections.
            let oldest = epoch.saturating_sub(64);
            self.settled.retain(|settled| *settled >= oldest);
            self.quorum_at.retain(|past, _| *past >= oldest);
        }
    }

    fn has_stopped(&self, past: &PastRoster, node: &godwitroad_base::NodeId) -> bool {
        let current = self.roster.as_ref().and_then(|roster| roster.member(&node.vm));
        *node == self.settings.node
            || past.stopped.contains(node)
            || current.is_some_and(|member| member.incarnation > node.incarnation)
            || self.peers.get(&node.vm).is_some_and(|peer| {
                peer.incarnation > node.incarnation
                    || peer.incarnation == node.incarnation && peer.epoch > past.epoch
            })
    }

    pub(super) fn report_term(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let holds = self.may_hold(now);
        if holds != self.was_holding {
            self.was_holding = holds;
            self.counters.terms_expired += u64::from(!holds);
            let epoch = self.epoch();
            let report =
                if holds { MemberReport::TermStarted { epoch } } else { MemberReport::TermEnded };
            actions.push(MemberAction::Report(report));
        }
    }
}
