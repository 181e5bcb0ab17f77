//! What a [`MemberTable`] does as time passes: heartbeats, promises, reads and the end of earlier epochs.

use godwitroad_base::{ClockSpan, ClockTime, VmName, rendezvous};

use super::{
    ASKED, BEATS_KEPT, Heartbeat, HeartbeatEcho, LeaveStage, MemberAction, MemberMessage,
    MemberReport, MemberTable, PastRoster, PeerHealth, READER_KEY, READERS,
};
use crate::settings::{HOLD_TERM_MS, TERM_MARGIN_MS, longest_span};

impl MemberTable {
    pub(super) fn tick(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.promise(now);
        if now >= self.beat_at {
            self.send_beats(now, actions);
        }
        self.work.expire(now, &self.settings);
        if self.work.idle() && now >= self.work.next && self.must_read(now) {
            self.work.read(now, actions);
        }
        if !self.is_member() && self.stage == LeaveStage::Staying && now >= self.ask_at {
            self.ask_listed(now, actions);
        }
    }

    // A promise is kept until the epoch ends. It is given only while the store confirms the epoch, since without
    // the store the removal can't follow and the promise would only take a vouch away.
    fn promise(&mut self, now: ClockTime) {
        let recent = ClockSpan::from_ms(HOLD_TERM_MS);
        if self.term.confirmed().is_none_or(|at| now.since(at) >= recent) {
            return;
        }
        let silent = |vm: &&VmName| {
            let health = self.health_of(now, vm);
            matches!(health, Some(PeerHealth::Unreachable | PeerHealth::Gone))
        };
        let silent: Vec<VmName> = self.peers.keys().filter(silent).cloned().collect();
        self.promised.extend(silent);
    }

    fn send_beats(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.beat_at = now + self.settings.heartbeat;
        let Some(roster) = self.roster.as_ref().filter(|_| self.is_member()) else { return };
        self.sequence += 1;
        self.beats.push_back((self.sequence, now));
        if self.beats.len() > BEATS_KEPT {
            self.beats.pop_front();
        }
        let confirmed_age = self.term.direct().map(|at| now.since(at));
        for member in roster.members.iter().filter(|member| member.vm != self.settings.node.vm) {
            let peer = self.peers.get(&member.vm);
            let echo = peer.and_then(|peer| {
                Some(HeartbeatEcho { incarnation: peer.incarnation, sequence: peer.sequence? })
            });
            let heartbeat = Heartbeat {
                epoch: roster.epoch,
                sequence: self.sequence,
                echo,
                term_ack: !self.promised.contains(&member.vm),
                promises: self.promised.iter().cloned().collect(),
                confirmed_age,
                leaving: self.stage != LeaveStage::Staying,
                remote_epochs: self.neighbour_epochs(),
                summary: self.summary,
            };
            actions.push(MemberAction::Send {
                to: member.vm.clone(),
                address: Some(member.address.clone()),
                message: MemberMessage::Heartbeat(heartbeat),
            });
        }
    }

    /// Returns the VMs that read the store for the zone: the first in the ranking of those that are heard.
    pub(super) fn readers(&self, now: ClockTime) -> Vec<VmName> {
        let Some(roster) = self.roster.as_ref() else { return Vec::new() };
        let heard = |vm: &VmName| {
            let health = self.health_of(now, vm);
            *vm == self.settings.node.vm
                || matches!(health, Some(PeerHealth::Live | PeerHealth::Leaving))
        };
        let live: Vec<&VmName> =
            roster.members.iter().map(|member| &member.vm).filter(|vm| heard(vm)).collect();
        let order = rendezvous::rank(READER_KEY, &live);
        order.into_iter().take(READERS).map(|index| live[index].clone()).collect()
    }

    // A member whose readers bring it no confirmation reads for itself: it may be the only one with a way to the
    // store, and a member that was removed learns of it in no other way.
    fn must_read(&self, now: ClockTime) -> bool {
        if self.stage == LeaveStage::Left {
            return false;
        }
        let half = ClockSpan::from_ms(HOLD_TERM_MS / 2);
        let fresh = self.term.confirmed().is_some_and(|at| now.since(at) < half);
        !self.is_member() || self.stage == LeaveStage::HandedOver || !fresh || self.is_reader(now)
    }

    fn ask_listed(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        self.ask_at = now + ClockSpan::from_ms(500 + self.random.below(500));
        let node = &self.settings.node;
        let mut vms: Vec<VmName> =
            self.listed.keys().filter(|vm| **vm != node.vm).cloned().collect();
        for _ in 0..ASKED.min(vms.len()) {
            let index = self.random.below(vms.len() as u64) as usize;
            let to = vms.swap_remove(index);
            let message = MemberMessage::RosterAsk(self.settings.zone.clone());
            actions.push(MemberAction::Send { address: self.address_of(&to), to, message });
        }
    }

    /// Returns the past rosters whose holders may still act.
    pub(super) fn unsettled(&self) -> impl Iterator<Item = &PastRoster> {
        let roster = self.roster.iter().flat_map(|roster| &roster.unsettled);
        roster.filter(|past| !self.settled.contains(&past.epoch))
    }

    /// Notes the past rosters under which nobody can act any more.
    ///
    /// Either every member has stopped or moved to a later epoch, or a majority has, and the terms that the others
    /// may have got before that have run out.
    pub(super) fn settle(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let wait = longest_span(ClockSpan::from_ms(HOLD_TERM_MS + TERM_MARGIN_MS));
        let mut done = Vec::new();
        let mut reached = Vec::new();
        for past in self.unsettled() {
            let ended = past.members.iter().filter(|node| self.has_ended(past, node)).count();
            let gone = past.members.iter().filter(|node| {
                !self.has_ended(past, node)
                    && self.health_of(now, &node.vm) == Some(PeerHealth::Gone)
            });
            let quorum = ended + gone.count() > past.members.len() / 2;
            let since = self.quorum_at.get(&past.epoch).copied().or(quorum.then_some(now));
            if let Some(since) = since {
                reached.push((past.epoch, since));
            }
            if ended == past.members.len() || since.is_some_and(|since| now >= since + wait) {
                done.push(past.epoch);
            }
        }
        self.quorum_at.extend(reached);
        let before = self.settled.len();
        self.settled.extend(done);
        if self.settled.len() > before && self.unsettled().next().is_none() {
            let epoch = self.epoch();
            actions.push(MemberAction::Report(MemberReport::Settled { epoch }));
            let oldest = epoch.saturating_sub(64);
            self.settled.retain(|settled| *settled >= oldest);
            self.quorum_at.retain(|past, _| *past >= oldest);
        }
    }

    fn has_ended(&self, past: &PastRoster, node: &godwitroad_base::NodeId) -> bool {
        let newer = self.roster.as_ref().and_then(|roster| roster.member(&node.vm));
        *node == self.settings.node
            || past.stopped.contains(node)
            || newer.is_some_and(|member| member.incarnation > node.incarnation)
            || self.peers.get(&node.vm).is_some_and(|peer| {
                peer.incarnation > node.incarnation
                    || peer.incarnation == node.incarnation && peer.epoch > past.epoch
            })
    }

    pub(super) fn report_term(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let held = self.may_hold(now);
        if held != self.held {
            self.held = held;
            self.counters.terms_lapsed += u64::from(!held);
            let epoch = self.epoch();
            let report =
                if held { MemberReport::TermStarted { epoch } } else { MemberReport::TermEnded };
            actions.push(MemberAction::Report(report));
        }
    }
}
