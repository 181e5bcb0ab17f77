//! The lifecycle of one claimed request, from its claim to the recording of its outcome.
//!
//! Only the process that received a request decides whether it runs, and it does so here. A request that was refused
//! as "not run" is removed from the table. If its claim is granted later, the claim is released and the request never
//! runs.

use std::sync::Arc;

use godwitroad_base::{ClockTime, RequestId};

use crate::{
    key::{ClaimHash, RequestDigest},
    merge::{ClaimOperation, ClaimReply},
    message::ClaimMessage,
    record::{AnswerRecord, ClaimRecord, ClaimState},
    table::{ClaimAction, ClaimDecision, ClaimOutcome, ClaimTable, KeyState, PendingRelease},
};

#[derive(Clone, Debug)]
pub(crate) struct ClaimAttempt {
    pub(crate) hash: ClaimHash,
    pub(crate) work: ClaimOperation,
    pub(crate) phase: AttemptPhase,
}

#[derive(Clone, Debug)]
pub(crate) enum AttemptPhase {
    /// The claim or lookup has no reply yet.
    Requesting { since: ClockTime, is_forwarded: bool },
    /// The body of a recorded answer is being fetched.
    FetchingBody(RequestDigest),
    /// The request was allowed to run and has not ended.
    Running,
    /// The request ended; the store has not yet confirmed the record of this state.
    Recording(ClaimState),
}

impl ClaimTable {
    pub(crate) fn handle_reply(
        &mut self,
        now: ClockTime,
        id: RequestId,
        hash: ClaimHash,
        reply: ClaimReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            match reply {
                // Only the claim of a request that is known to have been refused is released. Any other late grant
                // belongs to a request that ran, in this process or in an earlier one of this VM.
                ClaimReply::Granted if self.recently_refused.contains(&id) => {
                    self.schedule_release(now, id, hash)
                }
                ClaimReply::Done => self.handle_release_reply(now, id),
                _ => {}
            }
            return;
        };
        match (&attempt.phase, reply) {
            (AttemptPhase::Requesting { .. }, ClaimReply::Granted) => {
                attempt.phase = AttemptPhase::Running;
                self.counters.granted += 1;
                actions.push(ClaimAction::Decision { id, decision: ClaimDecision::Run });
            }
            (AttemptPhase::Requesting { .. }, ClaimReply::Exists(record)) => {
                self.handle_record(now, id, record, actions);
            }
            (AttemptPhase::Requesting { .. }, ClaimReply::Absent) => {
                self.attempts.remove(&id);
                actions.push(ClaimAction::State { id, state: KeyState::Absent });
            }
            (AttemptPhase::Requesting { .. }, ClaimReply::Unavailable) => {
                self.refuse(now, id, actions);
            }
            (AttemptPhase::Recording(_), ClaimReply::Done) => drop(self.attempts.remove(&id)),
            _ => {}
        }
    }

    // A write of the claim without a reply can take effect after the release read the slice. The release is complete
    // only when it is confirmed after every such write has timed out.
    fn handle_release_reply(&mut self, now: ClockTime, id: RequestId) {
        let max_write_time = self.settings.claim_timeout + self.settings.store_timeout;
        if self
            .pending_releases
            .get(&id)
            .is_some_and(|release| now.since(release.since) >= max_write_time)
        {
            self.pending_releases.remove(&id);
        }
    }

    // The claim may be in the store or may still be written, so that it must be released. The request never runs.
    fn refuse(&mut self, now: ClockTime, id: RequestId, actions: &mut Vec<ClaimAction>) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if attempt.work == ClaimOperation::Lookup {
            actions.push(ClaimAction::State { id, state: KeyState::Unavailable });
            return;
        }
        self.counters.not_run += 1;
        let decision = ClaimDecision::NotRun { retry_after: self.settings.retry_after };
        actions.push(ClaimAction::Decision { id, decision });
        self.schedule_release(now, id, attempt.hash);
    }

    fn handle_record(
        &mut self,
        now: ClockTime,
        id: RequestId,
        record: ClaimRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        let hash = attempt.hash;
        let state = self.effective_state(&record);
        let ClaimOperation::Claim { digest } = attempt.work else {
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

    // An open claim whose runner is not known to be alive has an unknown outcome. That includes a claim by this process
    // that is neither open nor being released here: an operator's repair or a store that lost data restored it.
    fn effective_state(&self, record: &ClaimRecord) -> ClaimState {
        if record.state != ClaimState::Claimed {
            return record.state.clone();
        }
        let is_runner_alive = if record.runner.node == self.node_tag {
            let runner = record.runner;
            if let Some(state) = self.recording_state(runner) {
                return state.clone();
            }
            self.attempts.contains_key(&runner) || self.pending_releases.contains_key(&runner)
        } else {
            self.live_nodes.contains(&record.runner.node)
        };
        if is_runner_alive { ClaimState::Claimed } else { ClaimState::Unknown }
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
        let body = text.or_else(|| self.body_cache.get(hash));
        let is_remote = record.vm != self.settings.node.vm;
        let is_live = self.live_nodes.contains(&record.runner.node);
        if body.is_none() && is_remote && is_live {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.phase = AttemptPhase::FetchingBody(digest);
            }
            self.timers.insert((now + self.settings.body_timeout, id));
            let message = ClaimMessage::BodyRequest { id, hash };
            actions.push(ClaimAction::Send { to: record.vm.clone(), message });
            return;
        }
        self.counters.replayed += 1;
        self.decide(id, ClaimDecision::Replay { digest, body }, actions);
    }

    pub(crate) fn handle_body(
        &mut self,
        id: RequestId,
        body: Option<Arc<[u8]>>,
        actions: &mut Vec<ClaimAction>,
    ) {
        let phase = self.attempts.get(&id).map(|attempt| &attempt.phase);
        if let Some(AttemptPhase::FetchingBody(digest)) = phase {
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
        outcome: ClaimOutcome,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if !matches!(attempt.phase, AttemptPhase::Running) {
            return;
        }
        let hash = attempt.hash;
        let state = match outcome {
            ClaimOutcome::NotRun => {
                self.attempts.remove(&id);
                return self.schedule_release(now, id, hash);
            }
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::Answered(body) => {
                let answer = AnswerRecord::new(&body);
                if answer.text.is_none() {
                    self.body_cache.put(hash, body, self.settings.max_body_bytes);
                }
                ClaimState::Finished(answer)
            }
        };
        attempt.phase = AttemptPhase::Recording(state.clone());
        self.timers.insert((now + self.settings.retry_delay, id));
        self.route(now, id, hash, ClaimOperation::Finish(state), true, actions);
    }

    pub(crate) fn expire(&mut self, now: ClockTime, actions: &mut Vec<ClaimAction>) {
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            if let Some(attempt) = self.attempts.get(&id).cloned() {
                self.expire_attempt(now, id, attempt, actions);
            } else if let Some(PendingRelease { hash, .. }) =
                self.pending_releases.get(&id).copied()
            {
                self.counters.releases += 1;
                self.timers.insert((now + self.settings.claim_timeout, id));
                self.route(now, id, hash, ClaimOperation::Release, true, actions);
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
            AttemptPhase::Requesting { since, .. }
                if now.since(since) >= self.settings.claim_timeout =>
            {
                self.refuse(now, id, actions);
            }
            // The owner did not reply within the forward time-out, so that this node writes the claim itself. Both may
            // write, and the compare-and-swap lets only one of them succeed.
            AttemptPhase::Requesting { since, is_forwarded: true } => {
                self.counters.fallbacks += 1;
                let phase = AttemptPhase::Requesting { since, is_forwarded: false };
                let work = attempt.work.clone();
                self.attempts.insert(id, ClaimAttempt { phase, ..attempt.clone() });
                self.timers.insert((since + self.settings.claim_timeout, id));
                self.route(now, id, attempt.hash, work, false, actions);
            }
            AttemptPhase::Requesting { since, .. } => {
                self.timers.insert((since + self.settings.claim_timeout, id));
            }
            AttemptPhase::FetchingBody(digest) => {
                self.counters.replayed += 1;
                self.decide(id, ClaimDecision::Replay { digest, body: None }, actions);
            }
            AttemptPhase::Recording(state) => {
                self.timers.insert((now + self.settings.retry_delay, id));
                self.route(now, id, attempt.hash, ClaimOperation::Finish(state), true, actions);
            }
            AttemptPhase::Running => {}
        }
    }
}
