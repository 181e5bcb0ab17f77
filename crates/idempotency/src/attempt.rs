//! The way of one request from its claim to the record of its end.
//!
//! Whether a request runs is decided here and only here, by the process that took it. A request that was refused as
//! "not run" leaves the table, and a grant that comes for it later leads to a release and never to a run.

use std::sync::Arc;

use godwitroad_base::{ClockTime, RequestId};

use crate::{
    key::{ClaimHash, RequestDigest},
    merge::{ClaimReply, ClaimWork},
    message::ClaimMessage,
    record::{AnswerRecord, ClaimRecord, ClaimState},
    table::{ClaimAction, ClaimDecision, ClaimOutcome, ClaimTable, KeyState, OrphanClaim},
};

#[derive(Clone, Debug)]
pub(crate) struct ClaimAttempt {
    pub(crate) hash: ClaimHash,
    pub(crate) work: ClaimWork,
    pub(crate) phase: AttemptPhase,
}

#[derive(Clone, Debug)]
pub(crate) enum AttemptPhase {
    /// The claim or lookup is on its way.
    Asking { since: ClockTime, is_forwarded: bool },
    /// The body of a recorded answer is being fetched.
    Fetching(RequestDigest),
    /// The request was told to run.
    Running,
    /// The request ended, and the end isn't known to be in the store yet.
    Ended(ClaimState),
}

impl ClaimTable {
    pub(crate) fn take_reply(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        reply: ClaimReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            match reply {
                // Only a request that is known to have been refused is released. Any other late grant is for one that
                // ran, in this process or in an earlier one of this VM.
                ClaimReply::Granted if self.refused.contains(&id) => self.orphan(now, id, hash),
                ClaimReply::Done => self.take_release(now, id),
                _ => {}
            }
            return;
        };
        match (&attempt.phase, reply) {
            (AttemptPhase::Asking { .. }, ClaimReply::Granted) => {
                attempt.phase = AttemptPhase::Running;
                self.counters.granted += 1;
                actions.push(ClaimAction::Decision { id, decision: ClaimDecision::Run });
            }
            (AttemptPhase::Asking { .. }, ClaimReply::Exists(record)) => {
                self.take_record(now, id, record, actions);
            }
            (AttemptPhase::Asking { .. }, ClaimReply::Absent) => {
                self.attempts.remove(&id);
                actions.push(ClaimAction::State { id, state: KeyState::Absent });
            }
            (AttemptPhase::Asking { .. }, ClaimReply::Unavailable) => {
                self.refuse(now, id, actions);
            }
            (AttemptPhase::Ended(_), ClaimReply::Done) => drop(self.attempts.remove(&id)),
            _ => {}
        }
    }

    // A write of the claim whose answer was lost can take effect after the release read the slice. Only a release
    // that is confirmed after every such write has timed out is the last one.
    fn take_release(&mut self, now: ClockTime, id: RequestId) {
        let settled = self.settings.claim_wait + self.settings.store_wait;
        if self.orphans.get(&id).is_some_and(|orphan| now.since(orphan.since) >= settled) {
            self.orphans.remove(&id);
        }
    }

    // The claim may be in the store or get there, so that it is released; this attempt never runs.
    fn refuse(&mut self, now: ClockTime, id: RequestId, actions: &mut Vec<ClaimAction>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if attempt.work == ClaimWork::Lookup {
            actions.push(ClaimAction::State { id, state: KeyState::Unavailable });
            return;
        }
        self.counters.not_run += 1;
        let decision = ClaimDecision::NotRun { retry_after: self.settings.retry_after };
        actions.push(ClaimAction::Decision { id, decision });
        self.orphan(now, id, attempt.hash);
    }

    fn take_record(
        &mut self,
        now: ClockTime,
        id: RequestId,
        record: ClaimRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let hash = attempt.hash;
        let state = self.present_state(&record);
        let ClaimWork::Claim { digest } = attempt.work else {
            self.attempts.remove(&id);
            let digest = record.digest;
            let state = match state {
                ClaimState::Claimed => KeyState::Claimed(digest),
                ClaimState::Finished(answer) => KeyState::Finished(digest, answer),
                ClaimState::Unknown => KeyState::Unknown(digest),
            };
            actions.push(ClaimAction::State { id, state });
            return;
        };
        if digest != record.digest {
            self.counters.mismatched += 1;
            return self.decide(id, ClaimDecision::Mismatch, actions);
        }
        match state {
            ClaimState::Claimed => {
                self.counters.pending += 1;
                self.decide(id, ClaimDecision::Pending, actions);
            }
            ClaimState::Unknown => {
                self.counters.unknown += 1;
                self.decide(id, ClaimDecision::Unknown, actions);
            }
            ClaimState::Finished(answer) => {
                self.replay(now, id, hash, &record, answer, actions);
            }
        }
    }

    // A claim whose runner isn't known to run any more is "unknown". A claim of this very process that it has
    // neither open nor refused is one that an operator's repair or a store that lost data brought back.
    fn present_state(&self, record: &ClaimRecord) -> ClaimState {
        if record.state != ClaimState::Claimed {
            return record.state.clone();
        }
        let is_known = if record.runner.node == self.tag {
            let runner = record.runner;
            if let Some(state) = self.ended_here(runner) {
                return state.clone();
            }
            self.attempts.contains_key(&runner) || self.orphans.contains_key(&runner)
        } else {
            self.live.contains(&record.runner.node)
        };
        if is_known { ClaimState::Claimed } else { ClaimState::Unknown }
    }

    fn replay(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        record: &ClaimRecord,
        answer: AnswerRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        let digest = answer.digest;
        let text = answer.text.map(|text| Arc::from(text.as_bytes()));
        let body = text.or_else(|| self.bodies.get(hash));
        let is_remote = record.vm != self.settings.node.vm;
        let is_live = self.live.contains(&record.runner.node);
        if body.is_none() && is_remote && is_live {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.phase = AttemptPhase::Fetching(digest);
            }
            self.timers.insert((now + self.settings.body_wait, id));
            let message = ClaimMessage::BodyRequest { id, hash };
            actions.push(ClaimAction::Send { to: record.vm.clone(), message });
            return;
        }
        self.counters.replayed += 1;
        self.decide(id, ClaimDecision::Replay { digest, body }, actions);
    }

    pub(crate) fn take_body(
        &mut self,
        id: RequestId,
        body: Option<Arc<[u8]>>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let phase = self.attempts.get(&id).map(|attempt| &attempt.phase);
        if let Some(AttemptPhase::Fetching(digest)) = phase {
            let digest = *digest;
            let body = body.filter(|body| RequestDigest::of(body) == digest);
            self.counters.replayed += 1;
            self.decide(id, ClaimDecision::Replay { digest, body }, actions);
        }
    }

    fn decide(&mut self, id: RequestId, decision: ClaimDecision, actions: &mut Vec<ClaimAction>) {
        self.attempts.remove(&id);
        actions.push(ClaimAction::Decision { id, decision });
    }

    pub(crate) fn finish(
        &mut self,
        now: ClockTime,
        id: RequestId,
        end: ClaimOutcome,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !matches!(attempt.phase, AttemptPhase::Running) {
            return;
        }
        let hash = attempt.hash;
        let state = match end {
            ClaimOutcome::NotRun => {
                self.attempts.remove(&id);
                return self.orphan(now, id, hash);
            }
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::Answered(body) => {
                let answer = AnswerRecord::new(&body);
                if answer.text.is_none() {
                    self.bodies.put(hash, body, self.settings.body_bytes);
                }
                ClaimState::Finished(answer)
            }
        };
        attempt.phase = AttemptPhase::Ended(state.clone());
        self.timers.insert((now + self.settings.retry, id));
        self.route(now, id, hash, ClaimWork::Finish(state), true, actions);
    }

    pub(crate) fn expire(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            if let Some(attempt) = self.attempts.get(&id).cloned() {
                self.expire_attempt(now, id, attempt, actions);
            } else if let Some(OrphanClaim { hash, .. }) = self.orphans.get(&id).copied() {
                self.counters.releases += 1;
                self.timers.insert((now + self.settings.claim_wait, id));
                self.route(now, id, hash, ClaimWork::Release, true, actions);
            }
        }
    }

    fn expire_attempt(
        &mut self,
        now: ClockTime,
        id: RequestId,
        attempt: ClaimAttempt,
        actions: &mut Vec<ClaimAction>,
    ) {
        match attempt.phase {
            AttemptPhase::Asking { since, .. } if now.since(since) >= self.settings.claim_wait => {
                self.refuse(now, id, actions);
            }
            // The owner is silent: the own node claims. Both may write, and the CAS lets one of them win.
            AttemptPhase::Asking { since, is_forwarded: true } => {
                self.counters.fallbacks += 1;
                let phase = AttemptPhase::Asking { since, is_forwarded: false };
                let work = attempt.work.clone();
                self.attempts.insert(id, ClaimAttempt { phase, ..attempt.clone() });
                self.timers.insert((since + self.settings.claim_wait, id));
                self.route(now, id, attempt.hash, work, false, actions);
            }
            AttemptPhase::Asking { since, .. } => {
                self.timers.insert((since + self.settings.claim_wait, id));
            }
            AttemptPhase::Fetching(digest) => {
                self.counters.replayed += 1;
                self.decide(id, ClaimDecision::Replay { digest, body: None }, actions);
            }
            AttemptPhase::Ended(state) => {
                self.timers.insert((now + self.settings.retry, id));
                self.route(now, id, attempt.hash, ClaimWork::Finish(state), true, actions);
            }
            AttemptPhase::Running => {}
        }
    }
}
