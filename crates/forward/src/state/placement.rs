//! Chooses the target for each attempt of a request and builds its [`SendPlan`].

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use godwitroad_base::{
    ClockSpan, ClockTime, ModelName, RegionName, TargetName, ZoneName, rendezvous,
};
use godwitroad_origins::BuildTag;
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardState, admission::stopping_refusal, scarcity::PlacementLimit};
use crate::{
    EngineRule, ForwardRefusal, ForwardRequest, ForwardRules, PromptDemand, RefusalReason,
    SegmentKey, SegmentSource, SendPlan, SentRequest, StreamProgress, TargetCandidate,
    TargetChoice, TargetRecord, WorkSum, ZoneDistance, isolation::IsolatedAccounts, tag_of,
};

/// The retry-after time if no target is usable; a target's restart or loading of weights takes about this long.
pub(super) const NO_TARGET_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(400);

/// The minimum time before the deadline for another attempt.
pub(super) const MIN_TIME_LEFT: ClockSpan = ClockSpan::from_ms(20);

/// The multiple of a route's latency objective up to which a request may wait. With a longer estimated wait it is
/// refused, as its answer would be far too late and would delay all others.
const OVERLOAD_FACTOR: f64 = 1.6;

/// The time before the end of `version_span` from which replaced weights get no new requests, as a request may wait at
/// the target before it runs.
const VERSION_MARGIN: ClockSpan = ClockSpan::from_ms(1_500);

/// The time before the end of `version_span` at which a request that still waits on replaced weights is cancelled, so that
/// the target learns of it in time.
const CANCEL_MARGIN: ClockSpan = ClockSpan::from_ms(200);

/// The time after the announcement of new weights from which answers of the replaced ones lose value, according to the
/// operator's rules.
const STALE_WEIGHTS_AGE: ClockSpan = ClockSpan::from_ms(1_500);

/// The fraction of their value that such answers lose at once; the remainder is lost linearly until `version_span` has
/// passed.
const STALE_WEIGHTS_PENALTY: f64 = 0.2;

/// The minimum number of shared tokens for which a copy in the shared cache store, or an announcement to the peers, is
/// worth its cost.
const MIN_COPY_TOKENS: u64 = 512;

/// The declared prompt under the salt of one version of the weights, and the holders from which segments of it can be
/// fetched.
struct SaltedPrompt {
    version: Option<u64>,
    salt: Arc<str>,
    chain: Vec<(SegmentKey, u64)>,
    holders: Vec<SegmentHolder>,
}

/// A target or the shared cache store that has segments of a prompt.
struct SegmentHolder {
    // `None` for the shared cache store.
    target: Option<TargetName>,
    zone: ZoneName,
    address: SocketAddr,
    cached_tokens: u64,
    link_mbps: f64,
}

impl ForwardState {
    /// Chooses a target for the next attempt of a request and adds the request's work to that target's load.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no target can serve the request in time.
    pub fn choose_target(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        if request.time_left(now) < MIN_TIME_LEFT {
            return Err(self.end_without_retry_after(request, RefusalReason::TimeOver));
        }
        if !self.stop.admits_attempt(now, request.deadline) {
            return Err(self.settle_refusal(request, stopping_refusal()));
        }
        let rules = self.rules.clone();
        let rules = rules.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoConfiguration))?;
        // The key may have been withdrawn since the request arrived.
        if let Err(refusal) = self.authorize(now, &rules, &request.arrival) {
            return Err(self.settle_refusal(request, refusal));
        }
        if let Err(refusal) = self.resolve_origin(now, request) {
            return Err(self.settle_refusal(request, refusal));
        }
        let records = self.usable_targets(now, request);
        let is_canary = self.is_canary(now, request, &records);
        let mut placed = self.place_among(now, request, &rules, &records);
        if is_canary && placed.is_err() {
            // A request isn't refused because of the few targets of a new version.
            let records = self.usable_old_targets(now, request);
            if !records.is_empty() {
                placed = self.place_among(now, request, &rules, &records);
            }
        }
        let mut plan = placed.map_err(|refusal| self.settle_refusal(request, refusal))?;
        self.record_rollout_sent(request, &plan);
        request.tried.push(plan.target.clone());
        request.attempts += 1;
        self.loads.add_work(&plan.target, plan.work);
        self.record_sent_cost(now, &mut plan);
        self.throttle.record_sent(tag_of(plan.target.as_str()));
        self.record_brittle_sent(now, &plan.target);
        Ok(plan)
    }

    // Chooses one of the usable targets.
    fn place_among(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        rules: &ForwardRules,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        if records.is_empty() {
            return Err(self.no_target_refusal(request));
        }
        let engine = rules.services.get(&request.service).and_then(|rule| rule.engine.as_ref());
        // The limits come first, so that no trial of a withheld request is spent on one that isn't sent.
        let allowed = self.targets_within_limits(now, request, records)?;
        self.screen_request(now, request, records)?;
        let mut admission = self.placement_limit(now, request, &allowed);
        let plan = self.choose_accepting(now, request, &allowed, |state, records| {
            let admission = admission.as_mut();
            match engine {
                Some(engine) => {
                    let engine = (rules, engine);
                    state.choose_engine_target(now, request, engine, records, admission)
                }
                None => state.choose_plain_target(now, request, records, admission),
            }
        });
        self.settle_admission(now, request, admission, plan)
    }

    // Returns the targets that can take the request; unhealthy ones only if there are no others.
    pub(super) fn usable_targets(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
    ) -> Vec<Arc<TargetRecord>> {
        let records = self.listed_targets(now, request);
        if let Some(canaries) = self.canary_targets(now, request, &records) {
            let open = canaries.into_iter().filter(|record| !self.is_deferring(now, record));
            let (open, _) = self.split_healthy(now, open.collect());
            if !open.is_empty() {
                return open;
            }
        }
        let records = self.permitted_targets(now, request, records);
        self.admitted_targets(now, request, records)
    }

    // Returns the targets that can take the request if none of a new version is tried.
    fn usable_old_targets(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
    ) -> Vec<Arc<TargetRecord>> {
        let records = self.listed_targets(now, request);
        let records = self.permitted_targets(now, request, records);
        self.admitted_targets(now, request, records)
    }

    fn listed_targets(&self, now: ClockTime, request: &ForwardRequest) -> Vec<Arc<TargetRecord>> {
        let listed = self.roster.iter().filter(|record| {
            record.service == request.service
                && !record.draining
                && request.begun_build.is_none_or(|build| build == BuildTag::new(&record.build))
                && !request.tried.contains(&record.name)
        });
        let current = listed.filter(|record| !self.is_outdated(now, request, record));
        current.filter(|record| !self.is_changing(&record.name)).cloned().collect()
    }

    fn admitted_targets(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        mut records: Vec<Arc<TargetRecord>>,
    ) -> Vec<Arc<TargetRecord>> {
        let serves_begun =
            |record: &Arc<TargetRecord>| version_of(request, record) == request.begun_version;
        if request.begun_version.is_some() && records.iter().any(serves_begun) {
            records.retain(serves_begun);
        }
        let mut records = self.without_deferring(now, records);
        self.prefer_settled_builds(now, request, &mut records);
        let (healthy, records) = self.split_healthy(now, records);
        if healthy.is_empty() { records } else { healthy }
    }

    // Returns the healthy targets, and all of them.
    fn split_healthy(
        &mut self,
        now: ClockTime,
        records: Vec<Arc<TargetRecord>>,
    ) -> (Vec<Arc<TargetRecord>>, Vec<Arc<TargetRecord>>) {
        let mut healthy = Vec::new();
        for record in &records {
            if self.health.admits(now, &record.name, &mut self.random) {
                healthy.push(record.clone());
            }
        }
        (healthy, records)
    }

    // Returns whether a target is loading weights or about to, so that it gets no requests.
    pub(super) fn is_changing(&self, target: &TargetName) -> bool {
        self.weights.is_changing(target)
            || self.loading_until.contains_key(&tag_of(target.as_str()))
    }

    // Returns whether a target's weights were replaced so long ago that they must get no new requests.
    fn is_outdated(&self, now: ClockTime, request: &ForwardRequest, record: &TargetRecord) -> bool {
        self.time_since_replaced(now, request.arrival.model.as_ref(), record)
            .is_some_and(|age| age >= self.serving_limit())
    }

    // Returns the age of a replacement from which the replaced weights get no new requests.
    pub(super) fn serving_limit(&self) -> ClockSpan {
        self.settings.version_span.saturating_sub(VERSION_MARGIN)
    }

    // Returns when an answer on the target's weights must have begun, or `None` if no newer ones are known.
    fn begin_by(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        record: &TargetRecord,
    ) -> Option<ClockTime> {
        let age = self.time_since_replaced(now, request.arrival.model.as_ref(), record)?;
        let limit = self.settings.version_span.saturating_sub(CANCEL_MARGIN);
        Some(now + limit.saturating_sub(age))
    }

    // Returns the fraction of an answer's value that is lost because the target's weights have been replaced.
    fn staleness_penalty(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        record: &TargetRecord,
    ) -> f64 {
        let age = self.time_since_replaced(now, request.arrival.model.as_ref(), record);
        let Some(age) = age.filter(|age| *age >= STALE_WEIGHTS_AGE) else { return 0.0 };
        let span = self.settings.version_span.saturating_sub(STALE_WEIGHTS_AGE).as_ms().max(1);
        let passed = (age.as_ms() - STALE_WEIGHTS_AGE.as_ms()) as f64 / span as f64;
        STALE_WEIGHTS_PENALTY + (1.0 - STALE_WEIGHTS_PENALTY) * passed.min(1.0)
    }

    fn choose_plain_target(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
        admission: Option<&mut PlacementLimit>,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let candidates: Vec<TargetCandidate> =
            records.iter().map(|record| self.candidate(now, record)).collect();
        let choice = self.choose_admitted(now, request, &candidates, None, admission)?;
        let work = WorkSum { requests: 1, memory: 0, pending_prefill: 0 };
        Ok(self.plan(now, request, &records[choice.index], work, &choice))
    }

    fn choose_engine_target(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        (rules, engine): (&ForwardRules, &EngineRule),
        records: &[Arc<TargetRecord>],
        admission: Option<&mut PlacementLimit>,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let (input, declared) = request.arrival.tokens.unwrap_or((0, 0));
        let output = self.expected_output(request, declared);
        let prompts = self.prompts_by_version(now, request, rules, records);
        let prompt_of = |record: &TargetRecord| {
            let version = version_of(request, record);
            prompts.iter().find(|prompt| prompt.version == version)
        };
        let affinity_index = self.affinity_target(request, records);
        let mut candidates = Vec::with_capacity(records.len());
        let mut cached_anywhere = 0;
        for (index, record) in records.iter().enumerate() {
            let mut candidate = self.candidate(now, record);
            candidate.staleness_penalty = self.staleness_penalty(now, request, record);
            candidate.is_affinity_target = affinity_index == Some(index);
            if let Some(prompt) = prompt_of(record) {
                candidate.cached_tokens =
                    self.tokens_cached_at(&FeedSource::Target(record.name.clone()), prompt);
                candidate.sources = self.sources(record, prompt);
            }
            let best =
                candidate.sources.iter().map(|source| source.cached_tokens).max().unwrap_or(0);
            cached_anywhere = cached_anywhere.max(candidate.cached_tokens).max(best);
            candidates.push(candidate);
        }
        let demand = PromptDemand { input, output, cached_anywhere, engine };
        let choice = self.choose_admitted(now, request, &candidates, Some(&demand), admission)?;
        let record = &records[choice.index];
        let work =
            WorkSum { requests: 1, memory: input + output, pending_prefill: choice.prefill_tokens };
        let mut plan = self.plan(now, request, record, work, &choice);
        plan.version = version_of(request, record);
        plan.cached_tokens = candidates[choice.index].cached_tokens;
        plan.cached_anywhere = cached_anywhere;
        plan.prefill_tokens = choice.prefill_tokens;
        if plan.version.is_some()
            && let Some(prompt) = prompt_of(record)
        {
            plan.salt = Some(prompt.salt.clone());
            plan.fetch_from = choice.source.map(|source| source.address);
            plan.save_to = self.copy_destination(now, rules, record, prompt);
            self.record_dispatch(now, record, prompt);
        }
        Ok(plan)
    }

    // Returns the prompt under the salt of each version that the targets serve; usually there is only one.
    fn prompts_by_version(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        rules: &ForwardRules,
        records: &[Arc<TargetRecord>],
    ) -> Vec<SaltedPrompt> {
        let versions: BTreeSet<Option<u64>> =
            records.iter().map(|record| version_of(request, record)).collect();
        let mut prompts = Vec::new();
        for version in versions {
            let mut prompt = salted_prompt(request, version, &self.isolated);
            prompt.holders = self.holders(now, request, rules, &prompt.chain);
            prompts.push(prompt);
        }
        prompts
    }

    // Records the segments that the target will have cached, and announces them to the peers if the shared ones are new
    // there.
    fn record_dispatch(&mut self, now: ClockTime, record: &TargetRecord, prompt: &SaltedPrompt) {
        let shared_segments = prompt.shared_segments();
        let tokens: u64 = shared_segments.iter().map(|(_, tokens)| tokens).sum();
        let segments =
            self.cached_segments.entry(FeedSource::Target(record.name.clone())).or_default();
        let needs_announcement = segments.cached_tokens(shared_segments) < tokens;
        segments.record_sent(now, &prompt.chain);
        if needs_announcement && tokens >= MIN_COPY_TOKENS {
            let tokens = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
            let segments =
                shared_segments.iter().map(|(key, length)| (*key, tokens(*length))).collect();
            self.sent_prompts.push(now, (tag_of(record.name.as_str()), segments));
            self.has_new_sent_prompts = true;
        }
    }

    fn candidate(&self, now: ClockTime, record: &TargetRecord) -> TargetCandidate {
        TargetCandidate {
            name: record.name.clone(),
            address: record.address,
            distance: self.distance(&self.settings.place.zone, &record.zone),
            slots: record.slots,
            work: self.loads.work(now, &record.name),
            cached_tokens: 0,
            sources: Vec::new(),
            staleness_penalty: 0.0,
            is_affinity_target: true,
        }
    }

    // Returns the position of the preferred target for a prompt that is cached nowhere: the highest rendezvous score
    // for its last shared segment, among the targets in this region if there are any.
    fn affinity_target(
        &self,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> Option<usize> {
        let segments = &request.arrival.prompt;
        let last_shared = segments.get(segments.len().checked_sub(2)?)?;
        let key = xxh3_64(last_shared.id.as_bytes());
        // Prompts are spread over the engines of the whole region, as the distance between its zones is short.
        let is_near = |zone| self.distance(&self.settings.place.zone, zone) != ZoneDistance::Far;
        let any_near = records.iter().any(|record| is_near(&record.zone));
        let candidates =
            records.iter().enumerate().filter(|(_, record)| !any_near || is_near(&record.zone));
        candidates
            .max_by_key(|(_, record)| rendezvous::score(key, record.name.as_str()))
            .map(|(index, _)| index)
    }

    fn tokens_cached_at(&self, source: &FeedSource, prompt: &SaltedPrompt) -> u64 {
        self.cached_segments.get(source).map_or(0, |segments| segments.cached_tokens(&prompt.chain))
    }

    // Returns the holders from which segments of a prompt can be fetched.
    fn holders(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        rules: &ForwardRules,
        chain: &[(SegmentKey, u64)],
    ) -> Vec<SegmentHolder> {
        let ready = |source: &FeedSource| {
            self.cached_segments
                .get(source)
                .map_or(0, |segments| segments.fetchable_tokens(now, chain))
        };
        let mut holders = Vec::new();
        for record in self.roster.iter().filter(|record| record.service == request.service) {
            let cached_tokens = ready(&FeedSource::Target(record.name.clone()));
            if cached_tokens > 0 && !self.health.is_on_probation(now, record) {
                holders.push(SegmentHolder {
                    target: Some(record.name.clone()),
                    zone: record.zone.clone(),
                    address: record.address,
                    cached_tokens,
                    link_mbps: f64::INFINITY,
                });
            }
        }
        if let Some(store) = rules.cache_store() {
            let cached_tokens = ready(&FeedSource::Kept(store.address));
            let (zone, address, link_mbps) = (store.zone.clone(), store.address, store.link_mbps);
            if cached_tokens > 0 {
                holders.push(SegmentHolder {
                    target: None,
                    zone,
                    address,
                    cached_tokens,
                    link_mbps,
                });
            }
        }
        holders
    }

    // Returns the holders other than the target itself, from which it could fetch missing segments.
    fn sources(&self, target: &TargetRecord, prompt: &SaltedPrompt) -> Vec<SegmentSource> {
        let others = prompt
            .holders
            .iter()
            .filter(|holder| holder.target.as_ref().is_none_or(|name| *name != target.name));
        others
            .map(|holder| SegmentSource {
                address: holder.address,
                cached_tokens: holder.cached_tokens,
                distance: self.distance(&target.zone, &holder.zone),
                link_mbps: holder.link_mbps,
            })
            .collect()
    }

    // Returns the address of the shared cache store if the target should save a copy of the shared segments there.
    fn copy_destination(
        &mut self,
        now: ClockTime,
        rules: &ForwardRules,
        target: &TargetRecord,
        prompt: &SaltedPrompt,
    ) -> Option<SocketAddr> {
        let store = rules.cache_store()?;
        // A transfer between regions takes ten times as long and would delay all others.
        if self.distance(&target.zone, &store.zone) == ZoneDistance::Far {
            return None;
        }
        let shared_segments = prompt.shared_segments();
        let tokens: u64 = shared_segments.iter().map(|(_, tokens)| tokens).sum();
        // A store that doesn't report its entries doesn't answer transfers either.
        let segments = self.cached_segments.get_mut(&FeedSource::Kept(store.address));
        let segments = segments.filter(|segments| !segments.is_suspended())?;
        if tokens < MIN_COPY_TOKENS || segments.cached_tokens(shared_segments) >= tokens {
            return None;
        }
        segments.record_sent(now, shared_segments);
        Some(store.address)
    }

    fn plan(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        record: &TargetRecord,
        work: WorkSum,
        choice: &TargetChoice,
    ) -> SendPlan {
        SendPlan {
            target: record.name.clone(),
            address: record.address,
            account: request.account.as_ref().map(|account| account.name.clone()),
            build: record.build.clone(),
            started_ms: record.started_ms,
            version: None,
            salt: None,
            fetch_from: None,
            save_to: None,
            priority: request.priority(),
            time_left: request.time_left(now),
            begin_by: self.begin_by(now, request, record),
            // On a reused connection, a repeated attempt could read a late answer to an earlier request.
            fresh_connection: !request.is_repeatable() || request.may_have_run,
            is_trial: false,
            work,
            wait_ms: choice.wait_ms as u64,
            cached_tokens: 0,
            cached_anywhere: 0,
            prefill_tokens: 0,
            sent: choice.estimate.map(SentRequest::planned),
            chosen_at: now,
            progress: StreamProgress::default(),
        }
    }

    pub(super) fn distance(&self, from: &ZoneName, to: &ZoneName) -> ZoneDistance {
        if from == to {
            ZoneDistance::Zone
        } else if self.region_of(from) == self.region_of(to) {
            ZoneDistance::Region
        } else {
            ZoneDistance::Far
        }
    }

    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.settings.regions.get(zone)
    }
}

impl SaltedPrompt {
    // Returns all segments but the last, which is specific to the request or its session.
    fn shared_segments(&self) -> &[(SegmentKey, u64)] {
        self.chain.split_last().map_or(&[], |(_, shared_segments)| shared_segments)
    }
}

// Returns the longest estimated wait with which a request is still sent to a target.
pub(super) fn max_wait_ms(now: ClockTime, request: &ForwardRequest) -> f64 {
    // Refusing a request whose stream has begun would break the stream.
    if request.begun_version.is_some() || request.begun_build.is_some() {
        return f64::INFINITY;
    }
    let limit = request.route.objective.as_ms() as f64 * OVERLOAD_FACTOR;
    limit.min(request.time_left(now).as_ms() as f64)
}

pub(super) fn check_wait(
    wait_ms: f64,
    max_wait_ms: f64,
) -> std::result::Result<(), ForwardRefusal> {
    if wait_ms <= max_wait_ms {
        return Ok(());
    }
    let wait = ClockSpan::from_ms((wait_ms - max_wait_ms / 2.0) as u64);
    Err(ForwardRefusal::after(RefusalReason::Overloaded, wait))
}

pub(super) fn version_of(request: &ForwardRequest, record: &TargetRecord) -> Option<u64> {
    record.versions.get(request.arrival.model.as_ref()?).copied()
}

fn salted_prompt(
    request: &ForwardRequest,
    version: Option<u64>,
    isolated: &IsolatedAccounts,
) -> SaltedPrompt {
    let arrival = &request.arrival;
    let model = arrival.model.as_ref().map_or("", ModelName::as_str);
    let wall = isolated.salt_of(request.account.as_deref());
    let salt: Arc<str> = format!("{model}.{}.{wall}", version.unwrap_or(0)).into();
    let chain =
        arrival.prompt.iter().map(|part| (SegmentKey::new(&salt, &part.id), part.tokens)).collect();
    SaltedPrompt { version, salt, chain, holders: Vec::new() }
}
