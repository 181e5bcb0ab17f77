//! Withholds requests that crash targets: those whose prompts have a block that does, and those that do so themselves and
//! come again. See [`godwitroad_quarantine`].

use std::collections::BTreeSet;

use godwitroad_base::{ClockSpan, ClockTime, RequestId, TargetName, VmName, rendezvous};
use godwitroad_lifecycle::LifeStage;
use godwitroad_prefix::{PrefixChain, TargetTag};
use godwitroad_quarantine::{
    AnswerPhase, CrashReport, PartCrash, PartKey, PartVerdict, QuarantineNotes, QuarantineSettings,
    QuarantineTable,
};

use crate::{
    ErrorKind, PeerMessage, RouterAction, RouterState, StateChange, attempt::TOKENS_OF_BEGINNING,
    fleet::FleetComponents, request::RequestEntry, state::EventContext,
};

/// Limit of blocks of a prompt that are examined; a part that many requests share is near the start.
const MAX_BLOCKS: usize = 32;

/// Limit of withheld blocks in a message; the next message lists the same ones, those with the latest requests.
const MAX_WITHHELD: usize = 64;

/// The time between two messages about withheld blocks, for routers that were started meanwhile.
const REPEAT_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// A quarantine of one router and what it has to tell its peers.
#[derive(Debug)]
pub(crate) struct SharedQuarantine {
    table: QuarantineTable,
    news: QuarantineNotes,
    last_repeat: ClockTime,
}

impl SharedQuarantine {
    pub(crate) fn new(now: ClockTime, settings: QuarantineSettings) -> SharedQuarantine {
        SharedQuarantine {
            table: QuarantineTable::new(settings),
            news: QuarantineNotes::default(),
            last_repeat: now,
        }
    }

    fn is_withheld(
        &mut self,
        now: ClockTime,
        keys: &[PartKey],
        is_retry: bool,
        may_try: impl Fn(PartKey) -> bool,
    ) -> bool {
        let verdict = self.table.screen(now, keys, is_retry, may_try);
        if let PartVerdict::Trial(_) = verdict {
            // The others must know at once that this request tests the key.
            self.last_repeat = ClockTime::ZERO;
        }
        matches!(verdict, PartVerdict::Withheld(_))
    }

    fn record_lost(
        &mut self,
        context: &mut EventContext<'_>,
        crash: PartCrash,
        keys: Vec<PartKey>,
    ) {
        let protected = self.record_crash(context, crash, &keys);
        let parts: Vec<PartKey> = keys.into_iter().filter(|key| !protected.contains(key)).collect();
        if !parts.is_empty() {
            let PartCrash { target, beginning, retry, .. } = crash;
            let report = CrashReport { target, age_ms: 0, beginning, retry, parts };
            self.news.crashes.push(report);
        }
    }

    /// Records that an answer on these keys was complete or went on past its beginning.
    pub(crate) fn record_sound(&mut self, now: ClockTime, keys: &[PartKey]) {
        let cleared = self.table.record_completion(now, keys);
        self.news.cleared.extend(cleared);
    }

    /// Applies what another router tells.
    pub(crate) fn receive(&mut self, context: &mut EventContext<'_>, notes: &QuarantineNotes) {
        self.table.record_completion(context.now, &notes.cleared);
        for report in &notes.crashes {
            let at = context.now - ClockSpan::from_ms(report.age_ms.into());
            let CrashReport { target, beginning, retry, .. } = *report;
            let crash = PartCrash { target, at, beginning, retry };
            let protected = self.record_crash(context, crash, &report.parts);
            self.news.cleared.extend(protected);
        }
        for part in &notes.withheld {
            if !self.table.adopt(context.now, part) {
                self.news.cleared.push(part.key);
            }
        }
    }

    /// Returns the news for the peers, with the withheld keys from time to time.
    fn take_news(&mut self, now: ClockTime) -> Option<QuarantineNotes> {
        if now.since(self.last_repeat) >= REPEAT_SPAN {
            self.last_repeat = now;
            self.table.expire(now);
            let mut withheld = self.table.withheld(now);
            withheld.truncate(MAX_WITHHELD);
            self.news.withheld = withheld;
        }
        (!self.news.is_empty()).then(|| std::mem::take(&mut self.news))
    }

    fn record_crash(
        &mut self,
        context: &mut EventContext<'_>,
        crash: PartCrash,
        keys: &[PartKey],
    ) -> Vec<PartKey> {
        let is_withheld = |table: &QuarantineTable, key: &PartKey| table.is_withheld(*key);
        let table = &mut self.table;
        let known: BTreeSet<PartKey> =
            keys.iter().copied().filter(|key| is_withheld(table, key)).collect();
        let protected = table.record_crash(context.now, crash, keys);
        for key in keys.iter().filter(|key| is_withheld(table, key) && !known.contains(key)) {
            let crashes = table.crashes(*key).len();
            context.report_change(StateChange::BlockWithheld { block: key.hash(), crashes });
        }
        protected
    }
}

impl RouterState {
    /// Returns the error with which a request must be refused because it, or a block of its prompt, crashes targets.
    pub(crate) fn withheld_because(&mut self, now: ClockTime, id: RequestId) -> Option<ErrorKind> {
        let entry = self.requests.get(id)?;
        // A stream that has sent tokens goes on.
        if entry.log.tokens() > 0 {
            return None;
        }
        let blocks = block_keys(&entry.facts.chain);
        let is_retry = !entry.failed_targets.is_empty();
        let (fleet, own) = (&self.fleet, &self.settings.node.vm);
        let may_try = |key: PartKey| {
            let members = member_names(fleet);
            rendezvous::owner(key.hash(), &members).is_none_or(|owner| members[owner] == *own)
        };
        let request = entry.facts.repeat_key;
        if self.repeats.is_withheld(now, request.as_slice(), is_retry, may_try) {
            return Some(ErrorKind::RequestWithheld);
        }
        let is_withheld = self.quarantine.is_withheld(now, &blocks, is_retry, may_try);
        is_withheld.then_some(ErrorKind::PromptWithheld)
    }

    /// Records that an attempt was lost whose request may have run.
    pub(crate) fn record_lost_answer(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        target: &TargetName,
    ) {
        let Some(entry) = self.requests.get(id) else { return };
        let keys = block_keys(&entry.facts.chain);
        let Some(crash) = crash_of(context.now, entry, target) else { return };
        if !keys.is_empty() {
            self.quarantine.record_lost(context, crash, keys);
        }
    }

    /// Records that the connection to a request's target was lost, which is evidence against the request itself. Other
    /// failures are answers of a target that lives.
    pub(crate) fn record_lost_request(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get(id) else { return };
        let (Some(key), Some(placed)) = (entry.facts.repeat_key, &entry.placed) else { return };
        let Some(crash) = crash_of(context.now, entry, &placed.target) else { return };
        self.repeats.record_lost(context, crash, vec![key]);
    }

    /// Records that the answer to a request was complete or went on past its beginning.
    pub(crate) fn record_sound_answer(
        &mut self,
        now: ClockTime,
        chain: &PrefixChain,
        repeat_key: Option<PartKey>,
    ) {
        self.quarantine.record_sound(now, &block_keys(chain));
        self.repeats.record_sound(now, repeat_key.as_slice());
    }

    /// Sends the news to all other routers.
    pub(crate) fn announce_quarantine(&mut self, context: &mut EventContext<'_>) {
        let blocks = self.quarantine.take_news(context.now).map(PeerMessage::Quarantine);
        let requests = self.repeats.take_news(context.now).map(PeerMessage::Repeats);
        let own = self.settings.node.vm.clone();
        for message in blocks.into_iter().chain(requests) {
            for to in member_names(&self.fleet).into_iter().filter(|vm| *vm != own) {
                let message = message.clone();
                context.actions.push(RouterAction::Peer { to, message });
            }
        }
    }
}

// Returns the crash of a target that ended an attempt; `None` if the answer had gone on past its beginning.
fn crash_of(now: ClockTime, entry: &RequestEntry, target: &TargetName) -> Option<PartCrash> {
    let phase = answer_phase(entry);
    let tag = TargetTag::of(target.as_str());
    (phase != AnswerPhase::Continuing).then_some(PartCrash {
        target: (tag.0 >> 32) as u32,
        at: now,
        beginning: phase == AnswerPhase::Beginning,
        retry: !entry.failed_targets.is_empty(),
    })
}

// Returns the names of all routers in the rosters, this one included.
fn member_names(fleet: &Option<FleetComponents>) -> Vec<VmName> {
    let Some(fleet) = fleet else { return Vec::new() };
    fleet.zones().into_values().flatten().collect()
}

fn block_keys(chain: &PrefixChain) -> Vec<PartKey> {
    let blocks = chain.hashes().iter().take(MAX_BLOCKS);
    blocks.map(|block| PartKey::from_hash(block.short_hash())).collect()
}

fn answer_phase(entry: &RequestEntry) -> AnswerPhase {
    let has_started = matches!(
        entry.stage,
        Some(LifeStage::StreamingRepeatable(_) | LifeStage::StreamingRunOnce(_))
    );
    match (has_started, entry.log.tokens()) {
        (false, 0) => AnswerPhase::Waiting,
        (_, 0..TOKENS_OF_BEGINNING) => AnswerPhase::Beginning,
        _ => AnswerPhase::Continuing,
    }
}
