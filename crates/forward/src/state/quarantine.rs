//! Withholds requests that crash targets: those whose prompts have a part that does, and those that do so themselves and come
//! again. See [`godwitroad_quarantine`].

use std::{collections::BTreeSet, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, ModelName, VmName, rendezvous};
use godwitroad_quarantine::{
    AnswerPhase, PartCrash, PartKey, PartVerdict, QuarantineSettings, QuarantineTable,
};

use super::{ForwardAction, ForwardState};
use crate::{
    CrashReport, ForwardArrival, ForwardRefusal, ForwardRequest, QuarantineNotes, RefusalReason,
    SendPlan, TargetRecord, peers::PeerTable, recent::RecentEntries, tag_of,
};

/// Limit of crash reports of each kind, and of cleared keys, in a gossip message.
const MAX_REPORTS: usize = 8;

/// Limit of withheld keys in a gossip message. Each message lists other ones.
const MAX_WITHHELD: usize = 8;

/// Limit of parts in a crash report; prompts have a handful.
const MAX_REPORTED_PARTS: usize = 16;

/// Limit of crashes that a log line about a key lists.
const MAX_LOGGED_CRASHES: usize = 8;

/// The points from which a request isn't sent to the only target that it hasn't crashed.
const LAST_TARGET_POINTS: u32 = 2;

/// The time in which a target that crashed is usually not back.
const RESTART_SPAN: ClockSpan = ClockSpan::from_ms(5_000);

/// A quarantine of one router and what it has to tell the others.
#[derive(Debug)]
pub(super) struct SharedQuarantine {
    // What the keys stand for, for the log.
    kind: &'static str,
    table: QuarantineTable,
    // Crashes at the beginning of an answer; they must not be displaced by the many requests that merely waited.
    beginning_crashes: RecentEntries<(ClockTime, CrashReport)>,
    waiting_crashes: RecentEntries<(ClockTime, CrashReport)>,
    cleared: RecentEntries<PartKey>,
    has_news: bool,
    notices: Vec<ForwardAction>,
}

impl SharedQuarantine {
    pub(super) fn new(kind: &'static str, settings: QuarantineSettings) -> SharedQuarantine {
        SharedQuarantine {
            kind,
            table: QuarantineTable::new(settings),
            beginning_crashes: RecentEntries::new(MAX_REPORTS),
            waiting_crashes: RecentEntries::new(MAX_REPORTS),
            cleared: RecentEntries::new(MAX_REPORTS),
            has_news: false,
            notices: Vec::new(),
        }
    }

    /// Returns whether the peers should be told something at once.
    pub(super) fn has_news(&self) -> bool {
        self.has_news
    }

    fn announce_cleared(&mut self, now: ClockTime, keys: &[PartKey]) {
        for key in keys {
            self.cleared.push(now, *key);
            self.has_news = true;
        }
    }

    fn announce_crash(&mut self, now: ClockTime, report: CrashReport) {
        // Among many requests that are lost while they wait, those that were lost before are news.
        let is_repeated = report.parts.iter().any(|key| self.table.crashes(*key).len() > 1);
        self.has_news |= report.beginning || self.table.counts_waiting_alone() && is_repeated;
        let reports = match report.beginning {
            true => &mut self.beginning_crashes,
            false => &mut self.waiting_crashes,
        };
        reports.push(now, (now, report));
    }

    /// Returns the notes for the next gossip message; recent ones are repeated for `repeat_span`.
    pub(super) fn notes(
        &mut self,
        now: ClockTime,
        repeat_span: ClockSpan,
        sequence: u64,
    ) -> QuarantineNotes {
        self.has_news = false;
        self.table.expire(now);
        let reports = [&mut self.beginning_crashes, &mut self.waiting_crashes];
        let crashes = reports.into_iter().flat_map(|reports| reports.unexpired(now, repeat_span));
        let crashes = crashes.map(|(at, report)| {
            let age_ms = u32::try_from(now.since(at).as_ms()).unwrap_or(u32::MAX);
            CrashReport { age_ms, ..report }
        });
        let withheld = self.table.withheld(now);
        let skipped = sequence as usize * MAX_WITHHELD % withheld.len().max(1);
        QuarantineNotes {
            crashes: crashes.collect(),
            cleared: self.cleared.unexpired(now, repeat_span),
            withheld: withheld.into_iter().skip(skipped).take(MAX_WITHHELD).collect(),
        }
    }

    /// Records a crash that this router saw, and announces it as far as the keys aren't protected.
    fn record_own_crash(&mut self, now: ClockTime, crash: PartCrash, mut keys: Vec<PartKey>) {
        let protected = self.record_crash(now, crash, &keys);
        keys.retain(|key| !protected.contains(key));
        keys.truncate(MAX_REPORTED_PARTS);
        if !keys.is_empty() {
            let PartCrash { target, beginning, retry, .. } = crash;
            let report = CrashReport { target, age_ms: 0, beginning, retry, parts: keys };
            self.announce_crash(now, report);
        }
    }

    /// Records that an answer on these keys was complete or went on past its beginning.
    fn record_sound_answer(&mut self, now: ClockTime, keys: &[PartKey]) {
        let cleared = self.table.record_completion(now, keys);
        self.announce_cleared(now, &cleared);
        self.report_cleared(&cleared, "own");
    }

    /// Applies what another router tells.
    fn receive(&mut self, now: ClockTime, notes: &QuarantineNotes) {
        let cleared = self.table.record_completion(now, &notes.cleared);
        self.report_cleared(&cleared, "peer");
        for report in &notes.crashes {
            let at = now - ClockSpan::from_ms(report.age_ms.into());
            let CrashReport { target, beginning, retry, .. } = *report;
            let crash = PartCrash { target, at, beginning, retry };
            let protected = self.record_crash(now, crash, &report.parts);
            self.announce_cleared(now, &protected);
        }
        for part in &notes.withheld {
            let is_known = self.table.is_withheld(part.key);
            if !self.table.adopt(now, part) {
                self.announce_cleared(now, &[part.key]);
            } else if !is_known {
                self.report_withheld(now, part.key, "peer");
            }
        }
    }

    fn record_crash(&mut self, now: ClockTime, crash: PartCrash, keys: &[PartKey]) -> Vec<PartKey> {
        let table = &mut self.table;
        let known: Vec<bool> = keys.iter().map(|key| table.is_withheld(*key)).collect();
        let protected = table.record_crash(now, crash, keys);
        for (key, was_known) in keys.iter().zip(known) {
            if !was_known && self.table.is_withheld(*key) {
                self.has_news = true;
                self.report_withheld(now, *key, "crashes");
            }
        }
        protected
    }

    fn report_withheld(&mut self, now: ClockTime, key: PartKey, source: &str) {
        let (kind, evidence) = (self.kind, self.describe_evidence(now, key));
        let detail = format!("kind={kind} key={key} source={source} {evidence}");
        self.notices.push(ForwardAction::Notice("quarantine_began", detail));
    }

    fn report_cleared(&mut self, keys: &[PartKey], source: &str) {
        for key in keys {
            let detail = format!("kind={} key={key} source={source}", self.kind);
            self.notices.push(ForwardAction::Notice("suspicion_ended", detail));
        }
    }

    // Describes the crashes that count against a key, for the log: the targets' tags and the ages in ms.
    fn describe_evidence(&self, now: ClockTime, key: PartKey) -> String {
        let crashes = self.table.crashes(key);
        let latest = crashes.iter().rev().take(MAX_LOGGED_CRASHES);
        let latest: Vec<String> = latest
            .map(|crash| {
                let phase = if crash.beginning { "beginning" } else { "waiting" };
                format!("{:08x}:{phase}:{}", crash.target, now.since(crash.at).as_ms())
            })
            .collect();
        format!("crashes={} latest={latest:?}", crashes.len())
    }

    // Returns whether a request has just crashed all of these targets but one, or all of them.
    fn risks_last_target(
        &self,
        now: ClockTime,
        key: PartKey,
        records: &[Arc<TargetRecord>],
    ) -> bool {
        let crashes = self.table.crashes(key).iter();
        let recent = crashes.filter(|crash| now.since(crash.at) < RESTART_SPAN);
        let crashed: BTreeSet<u32> = recent.map(|crash| crash.target).collect();
        let is_other =
            |record: &&Arc<TargetRecord>| !crashed.contains(&tag_of(record.name.as_str()));
        self.table.points(key) >= LAST_TARGET_POINTS && records.iter().filter(is_other).count() <= 1
    }

    pub(super) fn take_notices(&mut self) -> Vec<ForwardAction> {
        std::mem::take(&mut self.notices)
    }
}

impl ForwardState {
    /// Checks whether a request may be sent to one of `records`, as far as crashes of targets are concerned.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the request, or a part of its prompt, crashes targets. It has no retry-after
    /// time, as nothing says that the request will ever be served.
    pub(super) fn screen_request(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<(), ForwardRefusal> {
        // The answer of a relocated stream has begun.
        if request.begun_version.is_some() {
            return Ok(());
        }
        self.screen_repeat(now, request, records)?;
        self.screen_prompt(now, request)
    }

    fn screen_repeat(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<(), ForwardRefusal> {
        // A test that hasn't reached a target yet is still the same one.
        let is_retry = request.attempts > 0;
        if request.is_test && !is_retry {
            return Ok(());
        }
        let key = request.repeat_key();
        // Nothing is tested on the last target, as with retries.
        let risks_last = self.repeats.risks_last_target(now, key, records);
        let may_try = |key| may_try(now, &self.peers, &self.settings.place.vm, key);
        let verdict = match self.repeats.table.screen(now, &[key], is_retry || risks_last, may_try)
        {
            PartVerdict::Sound if risks_last => PartVerdict::Withheld(key),
            verdict => verdict,
        };
        let event = match verdict {
            PartVerdict::Sound => return Ok(()),
            PartVerdict::Trial(_) => "request_tested",
            PartVerdict::Withheld(_) => "request_withheld",
        };
        let detail = format!(
            "request={} key={key} retry={is_retry} last_target={risks_last} {}",
            request.arrival.id,
            self.repeats.describe_evidence(now, key),
        );
        self.notices.push(ForwardAction::Notice(event, detail));
        if matches!(verdict, PartVerdict::Trial(_)) {
            request.is_test = true;
            self.repeats.has_news = true;
            return Ok(());
        }
        Err(ForwardRefusal::new(RefusalReason::RequestWithheld))
    }

    fn screen_prompt(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
    ) -> std::result::Result<(), ForwardRefusal> {
        let keys = part_keys(&request.arrival);
        let may_try = |key| may_try(now, &self.peers, &self.settings.place.vm, key);
        let is_retry = request.attempts > 0;
        let verdict = self.quarantine.table.screen(now, &keys, is_retry, may_try);
        let (PartVerdict::Trial(key) | PartVerdict::Withheld(key)) = verdict else { return Ok(()) };
        let index = keys.iter().position(|own| *own == key);
        let part = index.and_then(|index| request.arrival.prompt.get(index));
        let part = part.map_or("-", |part| part.id.as_str());
        let is_trial = matches!(verdict, PartVerdict::Trial(_));
        let detail = format!(
            "request={} part={part} key={key} retry={is_retry} {}",
            request.arrival.id,
            self.quarantine.describe_evidence(now, key),
        );
        let event = if is_trial { "part_tested" } else { "part_withheld" };
        self.notices.push(ForwardAction::Notice(event, detail));
        if is_trial {
            self.quarantine.has_news = true;
            return Ok(());
        }
        Err(ForwardRefusal::new(RefusalReason::PromptWithheld))
    }

    /// Records that the connection to a target was lost before an answer was complete.
    pub(super) fn record_lost_answer(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        plan: &SendPlan,
        phase: AnswerPhase,
    ) {
        if phase == AnswerPhase::Continuing {
            return;
        }
        let crash = PartCrash {
            target: tag_of(plan.target.as_str()),
            at: now,
            beginning: phase == AnswerPhase::Beginning,
            retry: request.attempts > 1,
        };
        self.quarantine.record_own_crash(now, crash, part_keys(&request.arrival));
        self.repeats.record_own_crash(now, crash, vec![request.repeat_key()]);
        self.collect_quarantine_notices();
    }

    /// Takes back the test for which a request was sent that reached no target.
    pub(super) fn refund_test(&mut self, request: &mut ForwardRequest) {
        if std::mem::take(&mut request.is_test) {
            self.repeats.table.refund_test(request.repeat_key());
        }
    }

    /// Records that a target has answered a request to its end, whatever the status.
    pub(super) fn record_survived_request(&mut self, now: ClockTime, request: &ForwardRequest) {
        self.repeats.record_sound_answer(now, &[request.repeat_key()]);
        self.collect_quarantine_notices();
    }

    /// Records that the answer to a request was complete or went on past its beginning.
    pub(super) fn record_sound_answer(&mut self, now: ClockTime, request: &ForwardRequest) {
        self.quarantine.record_sound_answer(now, &part_keys(&request.arrival));
        self.record_survived_request(now, request);
    }

    /// Applies what another router tells about requests and parts of prompts that crash targets.
    pub(super) fn receive_quarantine(
        &mut self,
        now: ClockTime,
        parts: &QuarantineNotes,
        repeats: &QuarantineNotes,
    ) {
        self.quarantine.receive(now, parts);
        self.repeats.receive(now, repeats);
        self.collect_quarantine_notices();
    }

    fn collect_quarantine_notices(&mut self) {
        self.notices.append(&mut self.quarantine.take_notices());
        self.notices.append(&mut self.repeats.take_notices());
    }
}

// Returns whether this router is the one that may send a request with the key on trial.
fn may_try(now: ClockTime, peers: &PeerTable, own: &VmName, key: PartKey) -> bool {
    let reachable = || peers.iter().filter(|peer| peer.is_reachable(now));
    // Only one side of a partition may send a request on trial.
    let has_majority = (reachable().count() + 1) * 2 > peers.len() + 1;
    let score = |vm: &str| rendezvous::score(key.hash(), vm);
    let own_score = score(own.as_str());
    has_majority && reachable().all(|peer| score(peer.place.vm.as_str()) < own_score)
}

// Returns the keys of the parts of a prompt that other requests may share: all but the last.
fn part_keys(arrival: &ForwardArrival) -> Vec<PartKey> {
    let model = arrival.model.as_ref().map_or("", ModelName::as_str);
    let shared = arrival.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartKey::new(model, &part.id)).collect()
}
