//! Targets that are leaving: the signs of it, and what peers tell.

use godwitroad_base::{ClockSpan, ClockTime};

use super::{ForwardAction, ForwardState, gossip::MAX_GOSSIP_DELAY};
use crate::{GossipMessage, LeavingNotice, LeavingSign, SendPlan, tag_of};

impl ForwardState {
    /// Records that an answer to a request says that its target is leaving. The target gets no further requests until it
    /// starts again; what runs there goes on.
    ///
    /// The answer must have been produced by the target of the plan. It speaks of the run that the request was sent to,
    /// although the target may have started again since.
    pub fn record_leaving(&mut self, now: ClockTime, plan: &SendPlan) {
        let key = (tag_of(plan.target.as_str()), plan.started_ms);
        let sign = LeavingNotice::own(key, LeavingSign::Answer);
        let mut notices = std::mem::take(&mut self.notices);
        if self.apply_leaving(now, &sign, "own", &mut notices) {
            self.roster.leaving_runs().announce();
        }
        self.notices = notices;
    }

    /// Applies what a peer tells of targets that are leaving.
    pub(super) fn receive_leaving(
        &mut self,
        now: ClockTime,
        message: &GossipMessage,
        actions: &mut Vec<ForwardAction>,
    ) {
        for notice in &message.leaving {
            // Peers that tell each other of a run which none of them lists would otherwise keep it young.
            let unlisted = ClockSpan::from_ms(notice.unlisted_ms.into()) + MAX_GOSSIP_DELAY;
            let unlisted_ms = u32::try_from(unlisted.as_ms()).unwrap_or(u32::MAX);
            let notice = LeavingNotice { unlisted_ms, ..*notice };
            self.apply_leaving(now, &notice, "peer", actions);
        }
    }

    /// Applies a sign that a run leaves; returns whether it is the first one.
    pub(super) fn apply_leaving(
        &mut self,
        now: ClockTime,
        notice: &LeavingNotice,
        source: &str,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if !self.roster.record_leaving(now, notice) {
            return false;
        }
        let record = self.roster.find_by_tag(notice.target);
        let name = record
            .map_or_else(|| format!("tag:{:08x}", notice.target), |record| record.name.to_string());
        let detail = format!(
            "target={name} born={} sign={:?} source={source} age_ms={}",
            notice.started_ms, notice.sign, notice.age_ms,
        );
        actions.push(ForwardAction::Notice("target_leaving", detail));
        true
    }
}
