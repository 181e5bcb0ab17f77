//! Handles the messages that a [`MemberTable`] receives from its peers.

use godwitroad_base::{ClockTime, NodeId, VmName, ZoneName};

use super::{
    Heartbeat, HeartbeatEcho, MemberAction, MemberMessage, MemberReport, MemberTable, PeerState,
    Roster,
};
use crate::settings::max_drifted_span;

impl MemberTable {
    pub(super) fn handle_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: MemberMessage,
        actions: &mut Vec<MemberAction>,
    ) {
        match message {
            MemberMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, &from, &heartbeat, actions);
            }
            MemberMessage::RosterRequest(zone) if zone == self.settings.zone => {
                if let Some(roster) = self.roster.clone() {
                    let message = MemberMessage::RosterCopy { zone, roster };
                    let address = self.address_of(&from.vm);
                    actions.push(MemberAction::Send { to: from.vm, address, message });
                }
            }
            MemberMessage::RosterCopy { zone, roster } if zone == self.settings.zone => {
                self.adopt_roster(now, roster, actions);
            }
            MemberMessage::RemoteRostersRequest => {
                let message = MemberMessage::RemoteRosters(self.remote_rosters.clone());
                let address = self.address_of(&from.vm);
                actions.push(MemberAction::Send { to: from.vm, address, message });
            }
            MemberMessage::RemoteRosters(rosters) => self.merge_remote_rosters(rosters, actions),
            MemberMessage::RosterRequest(_) | MemberMessage::RosterCopy { .. } => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: ClockTime,
        from: &NodeId,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let epoch = self.epoch();
        let new_peer = || PeerState::new(from.incarnation, now);
        let peer = self.peers.entry(from.vm.clone()).or_insert_with(new_peer);
        if from.incarnation < peer.incarnation {
            return;
        }
        if from.incarnation > peer.incarnation {
            *peer = new_peer();
        }
        if !peer.apply_heartbeat(heartbeat) {
            return;
        }
        if heartbeat.remote_epochs > self.remote_epoch_sum() {
            let message = MemberMessage::RemoteRostersRequest;
            let address = self.address_of(&from.vm);
            actions.push(MemberAction::Send { to: from.vm.clone(), address, message });
        }
        if heartbeat.epoch > epoch {
            let message = MemberMessage::RosterRequest(self.settings.zone.clone());
            let address = self.address_of(&from.vm);
            actions.push(MemberAction::Send { to: from.vm.clone(), address, message });
        }
        let Some(sent) = self.heartbeat_sent_at(heartbeat.echo) else { return };
        if let Some(peer) = self.peers.get_mut(&from.vm)
            && now.since(sent) < self.settings.suspect_after
        {
            peer.last_two_way = now;
        }
        let member = self.roster.as_ref().is_some_and(|roster| roster.contains(from));
        if heartbeat.epoch != epoch || !member {
            return;
        }
        if heartbeat.term_ack {
            self.term.record_ack(&from.vm, sent);
        }
        if let Some(age) = heartbeat.confirmed_age {
            // The peer sent this heartbeat after `sent`, so its read is at most `age` older than `sent`.
            self.term.record_relayed_read(sent - max_drifted_span(age));
        }
    }

    // The rosters of other zones are used only to choose where to request tokens, so a stale one is harmless.
    pub(super) fn merge_remote_rosters(
        &mut self,
        rosters: impl IntoIterator<Item = (ZoneName, Roster)>,
        actions: &mut Vec<MemberAction>,
    ) {
        let before = self.remote_epoch_sum();
        for (zone, roster) in rosters {
            let known_epoch = self.remote_rosters.get(&zone).map_or(0, |roster| roster.epoch);
            if zone != self.settings.zone && roster.epoch > known_epoch {
                self.remote_rosters.insert(zone, Roster { unsettled: Vec::new(), ..roster });
            }
        }
        if self.remote_epoch_sum() > before {
            actions.push(MemberAction::Report(MemberReport::RemoteRostersChanged));
        }
    }

    fn heartbeat_sent_at(&self, echo: Option<HeartbeatEcho>) -> Option<ClockTime> {
        let echo = echo.filter(|echo| echo.incarnation == self.settings.node.incarnation)?;
        let index = self
            .sent_heartbeats
            .binary_search_by_key(&echo.sequence, |&(sequence, _)| sequence)
            .ok()?;
        Some(self.sent_heartbeats[index].1)
    }

    pub(super) fn address_of(&self, vm: &VmName) -> Option<String> {
        let member = self.roster.as_ref()?.member(vm)?;
        Some(member.address.clone())
    }
}
