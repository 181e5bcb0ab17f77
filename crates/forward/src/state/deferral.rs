//! Keeps requests from targets that want none for a time or reject them; see [`godwitroad_throttle`] and
//! [`AcceptanceTable`](godwitroad_balance::AcceptanceTable).

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_balance::{OfferKind, PeerRejection};
use godwitroad_base::{AccountName, ClockSpan, ClockTime, ServiceName, TargetName};
use godwitroad_throttle::{DeferralNotice, MAX_DEFERRAL, ReturnQueue};

use super::{
    ForwardAction, ForwardState,
    outcome::MAX_TARGETS_TRIED,
    placement::{MIN_TIME_LEFT, NO_TARGET_RETRY_AFTER},
};
use crate::{
    AttemptOutcome, DeferralEntry, ForwardRefusal, ForwardRequest, GossipMessage, NextStep,
    RefusalReason, SendPlan, TargetRecord, tag_of,
};

/// When callers were told to return, by service and account.
pub(super) type DeferralQueues = BTreeMap<ServiceName, BTreeMap<Option<AccountName>, ReturnQueue>>;

/// How long a rejection is reported to the peers.
const REJECTION_LIFETIME: ClockSpan = ClockSpan::from_ms(15_000);

/// Limit of rejecting targets in a message.
const MAX_ENTRIES: usize = 16;

/// Requests per second that return for each slot of the deferring targets.
const RETURNS_PER_SLOT: f64 = 4.0;

impl ForwardState {
    /// Applies what the target's rejection of a request says about when the target wants further ones.
    pub fn record_deferral(&mut self, now: ClockTime, plan: &SendPlan, notice: DeferralNotice) {
        let target = &plan.target;
        match notice {
            DeferralNotice::Absent => {}
            DeferralNotice::Unreadable => {
                let detail = format!("target={target} sign=retry_after");
                self.notices.push(ForwardAction::Notice("target_deferral_unreadable", detail));
            }
            DeferralNotice::Wanted { span, is_capped } => {
                if self.deferrals.begin(now, tag_of(target.as_str()), span) {
                    let span = span.as_ms();
                    let detail = format!(
                        "target={target} sign=retry_after span_ms={span} capped={is_capped} source=own"
                    );
                    self.notices.push(ForwardAction::Notice("target_deferral_began", detail));
                }
            }
        }
    }

    pub(super) fn end_deferrals(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        for ended in self.deferrals.take_ended(now) {
            let Some(record) = self.roster.find_by_tag(ended.target) else { continue };
            let detail =
                format!("target={} age_ms={} reason=over", record.name, ended.length.as_ms());
            actions.push(ForwardAction::Notice("target_deferral_ended", detail));
        }
    }

    /// Removes what a target's rejections told, as the target has left or was started again.
    pub(super) fn forget_rejections(&mut self, now: ClockTime, target: &TargetName) {
        self.acceptance.remove(target);
        if self.deferrals.remove(now, tag_of(target.as_str())) {
            let detail = format!("target={target} reason=started_or_gone");
            self.notices.push(ForwardAction::Notice("target_deferral_ended", detail));
        }
    }

    /// Returns the targets that reject this router's requests, for the next message to the peers.
    pub(super) fn rejection_entries(&self, now: ClockTime) -> Vec<DeferralEntry> {
        let ms = |span: ClockSpan| u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        let rejecting = self.acceptance.rejecting(now, REJECTION_LIFETIME);
        let mut entries: BTreeMap<u32, DeferralEntry> = BTreeMap::new();
        for (name, rejection) in rejecting {
            let tag = tag_of(name.as_str());
            entries.insert(tag, (tag, (rejection.share * 100.0) as u8, ms(rejection.age), 0));
        }
        for (tag, age, left) in self.deferrals.deferring(now) {
            entries.insert(tag, (tag, 0, ms(age), ms(left)));
        }
        // Each message lists other ones.
        let count = entries.len();
        let skipped = self.sequence as usize * MAX_ENTRIES % count.max(1);
        let entries = entries.values().copied();
        entries.clone().chain(entries).skip(skipped).take(MAX_ENTRIES.min(count)).collect()
    }

    /// Applies what a peer says of targets that reject its requests. They are only avoided, as a target may reject the
    /// requests of one router alone; this router's own offers show whether it does.
    pub(super) fn receive_rejections(&mut self, now: ClockTime, message: &GossipMessage) {
        for (tag, percent, age, left) in &message.deferrals {
            let Some(record) = self.roster.find_by_tag(*tag) else { continue };
            let name = record.name.clone();
            let rejection = PeerRejection {
                share: f64::from(*percent) / 100.0,
                age: ClockSpan::from_ms((*age).into()),
                deferral: ClockSpan::from_ms((*left).into()).min(MAX_DEFERRAL),
            };
            if self.acceptance.record_peer_rejection(now, &name, rejection) {
                let detail = format!(
                    "target={name} sign=rejections source={} age_ms={age} span_ms={left}",
                    message.place.vm
                );
                self.notices.push(ForwardAction::Notice("target_rejecting_began", detail));
            }
        }
    }

    pub(super) fn is_deferring(&self, now: ClockTime, record: &TargetRecord) -> bool {
        let in_progress = self.loads.own_requests(&record.name);
        !self.deferrals.admits(now, tag_of(record.name.as_str()), in_progress)
    }

    /// Returns the targets that aren't deferring, or all if there are no others.
    pub(super) fn without_deferring(
        &self,
        now: ClockTime,
        records: Vec<Arc<TargetRecord>>,
    ) -> Vec<Arc<TargetRecord>> {
        let is_open = |record: &Arc<TargetRecord>| !self.is_deferring(now, record);
        let open: Vec<_> = records.iter().filter(|record| is_open(record)).cloned().collect();
        if open.is_empty() { records } else { open }
    }

    /// Checks that not all targets of a list are deferring.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if all are.
    pub(super) fn check_deferrals(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<(), ForwardRefusal> {
        if records.is_empty() || records.iter().any(|record| !self.is_deferring(now, record)) {
            return Ok(());
        }
        let wait = self.deferral_wait(now, request, records);
        Err(ForwardRefusal::after(RefusalReason::TargetsDeferring, wait))
    }

    // Returns when a caller should return whose request finds only deferring targets: from the end of the first deferral on, one
    // after the other, with the same rate for each account that waits.
    fn deferral_wait(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> ClockSpan {
        let tag = |record: &TargetRecord| tag_of(record.name.as_str());
        let waits = records.iter().map(|record| self.deferrals.time_left(now, tag(record)));
        let first = waits.min().unwrap_or_default();
        let slots: u32 = records.iter().map(|record| record.slots.max(1)).sum();
        let account = request.account.as_ref().map(|account| account.name.clone());
        let queues = self.deferral_queues.entry(request.service.clone()).or_default();
        queues.entry(account.clone()).or_default();
        let is_waiting = |(name, queue): &(&Option<AccountName>, &ReturnQueue)| {
            **name == account || queue.is_waiting(now)
        };
        let sharing = queues.iter().filter(is_waiting).count();
        let routers = 1 + self.peers.iter().filter(|peer| peer.is_reachable(now)).count();
        let per_second = f64::from(slots) * RETURNS_PER_SLOT / (routers * sharing) as f64;
        let queue = queues.entry(account).or_default();
        first + queue.next_wait(now + first, ClockSpan::ZERO, per_second, &mut self.random)
    }

    /// Records that a target has accepted a request.
    pub(super) fn record_acceptance(&mut self, now: ClockTime, plan: &mut SendPlan) {
        let service = self.roster.get(&plan.target).map(|record| record.service.clone());
        if let Some(service) = service.filter(|_| std::mem::take(&mut plan.is_trial)) {
            self.retry_budget(&service).return_trial();
        }
        self.deferrals.record_answer(now, tag_of(plan.target.as_str()));
        self.record_brittle_acceptance(&plan.target);
        if let Some(age) = self.acceptance.record_acceptance(now, &plan.target) {
            let detail = format!("target={} age_ms={}", plan.target, age.as_ms());
            self.notices.push(ForwardAction::Notice("target_rejecting_ended", detail));
        }
    }

    /// Chooses among the targets that are expected to accept a request and, if there is a trial left, those that may accept
    /// requests again; among all if none of them can serve it in time.
    pub(super) fn choose_accepting(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
        mut choose: impl FnMut(
            &mut ForwardState,
            &[Arc<TargetRecord>],
        ) -> std::result::Result<SendPlan, ForwardRefusal>,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let offers = self.acceptance.offers(now, records.iter().map(|record| &record.name));
        if offers.iter().all(|offer| *offer == OfferKind::Preferred) {
            return choose(self, records);
        }
        // A request that was rejected before goes where it is expected to be accepted.
        let with_trials =
            request.tried.is_empty() && self.retry_budget(&request.service).allows_trial();
        let last = if with_trials { OfferKind::Trial } else { OfferKind::Preferred };
        let chosen = records.iter().zip(&offers).filter(|(_, offer)| **offer <= last);
        let chosen: Vec<_> = chosen.map(|(record, _)| record.clone()).collect();
        let Ok(mut plan) = choose(self, &chosen) else { return choose(self, records) };
        let is_chosen = |(record, _): &(&Arc<TargetRecord>, &OfferKind)| record.name == plan.target;
        let offer = records.iter().zip(&offers).find(is_chosen).map(|(_, offer)| *offer);
        if offer == Some(OfferKind::Trial) {
            plan.is_trial = true;
            self.retry_budget(&request.service).take_trial();
        }
        Ok(plan)
    }

    /// Returns a trial to the budget unless it was rejected.
    pub(super) fn settle_trial(
        &mut self,
        request: &ForwardRequest,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) {
        if plan.is_trial && !matches!(outcome, AttemptOutcome::Rejected { .. }) {
            self.retry_budget(&request.service).return_trial();
        }
    }

    /// Records that a target rejected a request, and returns what to do next.
    pub(super) fn finish_rejected(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        plan: &SendPlan,
    ) -> NextStep {
        request.attempts -= 1;
        if self.acceptance.record_rejection(now, &plan.target) {
            let share = self.acceptance.share(&plan.target);
            let detail =
                format!("target={} sign=rejections source=own share={share:.2}", plan.target);
            self.notices.push(ForwardAction::Notice("target_rejecting_began", detail));
        }
        let records = self.usable_targets(now, request);
        let refusal = match self.targets_within_limits(now, request, &records) {
            Ok(records) if self.may_offer_again(now, request, &records) => return NextStep::Again,
            Ok(_) => self.rejected_refusal(now, request),
            Err(refusal) => refusal,
        };
        self.refund_test(request);
        NextStep::End(self.settle_refusal(request, refusal))
    }

    // Returns the refusal of a request for which no target is left, although others may be tried for the next one.
    fn rejected_refusal(&mut self, now: ClockTime, request: &ForwardRequest) -> ForwardRefusal {
        let of_service =
            |record: &&Arc<TargetRecord>| record.service == request.service && !record.draining;
        let records: Vec<_> = self.roster.iter().filter(of_service).cloned().collect();
        let refusal = ForwardRefusal::after(RefusalReason::TargetsRefused, NO_TARGET_RETRY_AFTER);
        self.check_deferrals(now, request, &records).err().unwrap_or(refusal)
    }

    // Returns whether a rejected request may be offered to one of `records`, which counts as a retry. The last retry is kept
    // for a target that is expected to accept.
    fn may_offer_again(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> bool {
        if records.is_empty()
            || request.attempts >= request.route.max_attempts
            || request.time_left(now) < MIN_TIME_LEFT
        {
            return false;
        }
        let may_accept =
            |record: &Arc<TargetRecord>| !self.acceptance.is_rejecting(now, &record.name);
        if records.iter().any(may_accept) {
            return self.retry_budget(&request.service).take();
        }
        request.tried.len() < MAX_TARGETS_TRIED && self.retry_budget(&request.service).take_spare()
    }
}
