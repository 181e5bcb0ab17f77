//! Where to, and what follows from an attempt.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use godwitroad_base::{
    ClockSpan, ClockTime, ModelName, RegionName, TargetName, ZoneName, rendezvous,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardState};
use crate::{
    EngineRule, ForwardRefusal, ForwardRequest, ForwardRules, PartSource, PlaceDistance,
    PromptNeed, RefusalReason, SegmentKey, SendPlan, TargetOption, TargetRecord, WorkSum, choose,
    tag_of,
};

/// When a caller should come back if no target is usable; a restart or a load takes about this long.
pub(super) const NO_TARGET_WAIT: ClockSpan = ClockSpan::from_ms(400);

/// The shortest time that is worth handing to a target.
pub(super) const LEAST_TIME: ClockSpan = ClockSpan::from_ms(20);

/// The multiple of a route's objective beyond which a request isn't started: its answer would be far too late, and
/// it would delay all others.
const OVERLOAD_FACTOR: f64 = 1.6;

/// The time before the end of `version_span` at which replaced weights serve no new request: a request may wait at
/// the target before it begins.
const VERSION_MARGIN: ClockSpan = ClockSpan::from_ms(1_500);

/// The age of a naming from which answers on the weights before are worth less, from the users' rules.
const OLD_WEIGHTS_AGE: ClockSpan = ClockSpan::from_ms(1_500);

/// What such answers lose at once; they lose the rest until `version_span` has passed.
const OLD_WEIGHTS_LOSS: f64 = 0.2;

/// Shared tokens from which a copy in the store of cache entries is worth its transfer.
const KEEP_TOKENS: u64 = 512;

/// The declared prompt under the salt of one version, and who holds parts of it that can be handed on.
struct SaltedPrompt {
    version: Option<u64>,
    salt: Arc<str>,
    chain: Vec<(SegmentKey, u64)>,
    holders: Vec<PartHolder>,
}

/// A target or a store of cache entries that holds parts of a prompt.
struct PartHolder {
    // `None` for the store of cache entries.
    target: Option<TargetName>,
    zone: ZoneName,
    address: SocketAddr,
    cached_tokens: u64,
    link_mbps: f64,
}

impl ForwardState {
    /// Chooses a target for the next attempt of a request and counts the work there.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no target can serve the request in time.
    pub fn choose_target(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        if request.time_left(now) < LEAST_TIME {
            return Err(self.give_up(request, RefusalReason::TimeOver));
        }
        let rules = self.rules.clone();
        let rules = rules.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoConfiguration))?;
        // The key may have been withdrawn since the request came.
        if let Err(refusal) = self.authorize(now, &rules, &request.arrival) {
            return Err(self.end(request, refusal));
        }
        let engine = rules.services.get(&request.service).and_then(|rule| rule.engine.as_ref());
        let records = self.usable(now, request);
        if records.is_empty() {
            let refusal = ForwardRefusal::after(RefusalReason::NoTarget, NO_TARGET_WAIT);
            return Err(self.end(request, refusal));
        }
        let plan = match engine {
            Some(engine) => self.place_on_engine(now, request, &rules, engine, &records),
            None => self.place_plain(now, request, &records),
        };
        let plan = plan.map_err(|refusal| self.end(request, refusal))?;
        request.tried.push(plan.target.clone());
        request.attempts += 1;
        self.loads.begin(&plan.target, plan.work);
        Ok(plan)
    }

    // Targets that may be offered the request, the healthy ones if there are any.
    fn usable(&mut self, now: ClockTime, request: &ForwardRequest) -> Vec<Arc<TargetRecord>> {
        let changing: Vec<TargetName> = self.weights.changing().cloned().collect();
        let is_changing = |record: &TargetRecord| {
            changing.contains(&record.name)
                || self.loading.contains_key(&tag_of(record.name.as_str()))
        };
        let listed = self.roster.iter().filter(|record| {
            record.service == request.service
                && !record.draining
                && !request.tried.contains(&record.name)
        });
        let current = listed.filter(|record| !self.is_outdated(now, request, record));
        let records: Vec<Arc<TargetRecord>> =
            current.filter(|record| !is_changing(record)).cloned().collect();
        let mut healthy = Vec::new();
        for record in &records {
            if self.health.admits(now, &record.name, &mut self.random) {
                healthy.push(record.clone());
            }
        }
        if healthy.is_empty() { records } else { healthy }
    }

    // Whether a target's weights were replaced so long ago that they must no longer serve.
    fn is_outdated(&self, now: ClockTime, request: &ForwardRequest, record: &TargetRecord) -> bool {
        let limit = self.settings.version_span.saturating_sub(VERSION_MARGIN);
        self.age_of_weights(now, request.arrival.model.as_ref(), record)
            .is_some_and(|age| age >= limit)
    }

    // The part of an answer's worth that is lost because the target's weights have been replaced.
    fn loss(&self, now: ClockTime, request: &ForwardRequest, record: &TargetRecord) -> f64 {
        let age = self.age_of_weights(now, request.arrival.model.as_ref(), record);
        let Some(age) = age.filter(|age| *age >= OLD_WEIGHTS_AGE) else { return 0.0 };
        let span = self.settings.version_span.saturating_sub(OLD_WEIGHTS_AGE).as_ms().max(1);
        let passed = (age.as_ms() - OLD_WEIGHTS_AGE.as_ms()) as f64 / span as f64;
        OLD_WEIGHTS_LOSS + (1.0 - OLD_WEIGHTS_LOSS) * passed.min(1.0)
    }

    fn place_plain(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let options: Vec<TargetOption> =
            records.iter().map(|record| self.option(now, record)).collect();
        let choice = choose(&self.settings.choice, &options, None, &mut self.random);
        let choice = choice.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoTarget))?;
        self.check_wait(now, request, choice.wait_ms)?;
        let work = WorkSum { requests: 1, memory: 0, unread: 0 };
        Ok(self.plan(now, request, &records[choice.index], work, choice.wait_ms))
    }

    fn place_on_engine(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        rules: &ForwardRules,
        engine: &EngineRule,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let (input, output) = request.arrival.tokens.unwrap_or((0, 0));
        let prompts = self.salted_prompts(now, request, rules, records);
        let prompt_of = |record: &TargetRecord| {
            let version = version_of(request, record);
            prompts.iter().find(|prompt| prompt.version == version)
        };
        let home = self.home(request, records);
        let mut options = Vec::with_capacity(records.len());
        let mut cached_anywhere = 0;
        for (index, record) in records.iter().enumerate() {
            let mut option = self.option(now, record);
            option.loss = self.loss(now, request, record);
            option.is_home = home == Some(index);
            if let Some(prompt) = prompt_of(record) {
                option.cached_tokens =
                    self.held_by(&FeedSource::Target(record.name.clone()), prompt);
                option.sources = self.sources(record, prompt);
            }
            let best = option.sources.iter().map(|source| source.cached_tokens).max().unwrap_or(0);
            cached_anywhere = cached_anywhere.max(option.cached_tokens).max(best);
            options.push(option);
        }
        let need = PromptNeed { input, output, cached_anywhere, engine };
        let choice = choose(&self.settings.choice, &options, Some(&need), &mut self.random);
        let choice = choice.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoTarget))?;
        self.check_wait(now, request, choice.wait_ms)?;
        let record = &records[choice.index];
        let work = WorkSum { requests: 1, memory: input + output, unread: choice.prefill_tokens };
        let mut plan = self.plan(now, request, record, work, choice.wait_ms);
        plan.version = version_of(request, record);
        plan.cached_tokens = options[choice.index].cached_tokens;
        plan.cached_anywhere = cached_anywhere;
        plan.prefill_tokens = choice.prefill_tokens;
        if plan.version.is_some()
            && let Some(prompt) = prompt_of(record)
        {
            plan.salt = Some(prompt.salt.clone());
            plan.fetch_from = choice.source.map(|source| source.address);
            plan.save_to = self.copy_address(now, rules, record, prompt);
            self.note_placed(now, record, prompt);
        }
        Ok(plan)
    }

    // The prompt under the salt of each version that a target serves; mostly there is one.
    fn salted_prompts(
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
            let mut prompt = salted(request, version);
            prompt.holders = self.holders(now, request, rules, &prompt.chain);
            prompts.push(prompt);
        }
        prompts
    }

    // Remembers what the target will hold, and tells the peers if it didn't hold the shared parts.
    fn note_placed(&mut self, now: ClockTime, record: &TargetRecord, prompt: &SaltedPrompt) {
        let shared = prompt.shared();
        let tokens: u64 = shared.iter().map(|(_, tokens)| tokens).sum();
        let parts = self.parts.entry(FeedSource::Target(record.name.clone())).or_default();
        let is_new = parts.cached_tokens(shared) < tokens;
        parts.expect(now, &prompt.chain);
        if is_new && tokens >= KEEP_TOKENS {
            let tokens = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
            let parts = shared.iter().map(|(key, length)| (*key, tokens(*length))).collect();
            self.placed.push(now, (tag_of(record.name.as_str()), parts));
            self.has_placed = true;
        }
    }

    fn option(&self, now: ClockTime, record: &TargetRecord) -> TargetOption {
        TargetOption {
            name: record.name.clone(),
            address: record.address,
            distance: self.distance(&self.settings.place.zone, &record.zone),
            slots: record.slots,
            work: self.loads.work(now, &record.name),
            cached_tokens: 0,
            sources: Vec::new(),
            loss: 0.0,
            is_home: true,
        }
    }

    // The target that a prompt nobody holds belongs to: the owner of its shared parts in this region, if there is one.
    fn home(&self, request: &ForwardRequest, records: &[Arc<TargetRecord>]) -> Option<usize> {
        let parts = &request.arrival.prompt;
        let shared = parts.get(parts.len().checked_sub(2)?)?;
        let key = xxh3_64(shared.id.as_bytes());
        // Engines of the whole region share the parts: a way between its zones is short.
        let is_near = |zone| self.distance(&self.settings.place.zone, zone) != PlaceDistance::Far;
        let any_near = records.iter().any(|record| is_near(&record.zone));
        let options =
            records.iter().enumerate().filter(|(_, record)| !any_near || is_near(&record.zone));
        options
            .max_by_key(|(_, record)| rendezvous::score(key, record.name.as_str()))
            .map(|(index, _)| index)
    }

    fn held_by(&self, source: &FeedSource, prompt: &SaltedPrompt) -> u64 {
        self.parts.get(source).map_or(0, |parts| parts.cached_tokens(&prompt.chain))
    }

    // Who holds parts of a prompt that can be handed on.
    fn holders(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        rules: &ForwardRules,
        chain: &[(SegmentKey, u64)],
    ) -> Vec<PartHolder> {
        let ready =
            |source: &FeedSource| self.parts.get(source).map_or(0, |parts| parts.ready(now, chain));
        let mut holders = Vec::new();
        for record in self.roster.iter().filter(|record| record.service == request.service) {
            let cached_tokens = ready(&FeedSource::Target(record.name.clone()));
            if cached_tokens > 0 && !self.health.is_silent(now, record) {
                holders.push(PartHolder {
                    target: Some(record.name.clone()),
                    zone: record.zone.clone(),
                    address: record.address,
                    cached_tokens,
                    link_mbps: f64::INFINITY,
                });
            }
        }
        if let Some(kept) = rules.kept_cache() {
            let cached_tokens = ready(&FeedSource::Kept(kept.address));
            let (zone, address, link_mbps) = (kept.zone.clone(), kept.address, kept.link_mbps);
            if cached_tokens > 0 {
                holders.push(PartHolder { target: None, zone, address, cached_tokens, link_mbps });
            }
        }
        holders
    }

    // The holders from which a target could fetch what it lacks.
    fn sources(&self, target: &TargetRecord, prompt: &SaltedPrompt) -> Vec<PartSource> {
        let others = prompt
            .holders
            .iter()
            .filter(|holder| holder.target.as_ref().is_none_or(|name| *name != target.name));
        others
            .map(|holder| PartSource {
                address: holder.address,
                cached_tokens: holder.cached_tokens,
                distance: self.distance(&target.zone, &holder.zone),
                link_mbps: holder.link_mbps,
            })
            .collect()
    }

    // Where a copy of the shared parts should be kept, if the store of cache entries lacks them.
    fn copy_address(
        &mut self,
        now: ClockTime,
        rules: &ForwardRules,
        target: &TargetRecord,
        prompt: &SaltedPrompt,
    ) -> Option<SocketAddr> {
        let kept = rules.kept_cache()?;
        // A transfer between regions takes ten times as long and would hold up all others.
        // A transfer between regions takes ten times as long and would hold up all others.
        if self.distance(&target.zone, &kept.zone) == PlaceDistance::Far {
            return None;
        }
        let shared = prompt.shared();
        let tokens: u64 = shared.iter().map(|(_, tokens)| tokens).sum();
        // A store that doesn't tell of its entries doesn't answer transfers either.
        let parts = self.parts.get_mut(&FeedSource::Kept(kept.address))?;
        if tokens < KEEP_TOKENS || parts.cached_tokens(shared) >= tokens {
            return None;
        }
        parts.expect(now, shared);
        Some(kept.address)
    }

    fn plan(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        record: &TargetRecord,
        work: WorkSum,
        wait_ms: f64,
    ) -> SendPlan {
        SendPlan {
            target: record.name.clone(),
            address: record.address,
            account: request.account.as_ref().map(|account| account.name.clone()),
            version: None,
            salt: None,
            fetch_from: None,
            save_to: None,
            priority: request.priority(),
            time_left: request.time_left(now),
            // A second try must not meet a late answer on a kept connection again.
            fresh_connection: !request.is_repeatable() || request.may_have_run,
            work,
            wait_ms: wait_ms as u64,
            cached_tokens: 0,
            cached_anywhere: 0,
            prefill_tokens: 0,
        }
    }

    fn check_wait(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        wait_ms: f64,
    ) -> std::result::Result<(), ForwardRefusal> {
        let limit = request.route.objective.as_ms() as f64 * OVERLOAD_FACTOR;
        let limit = limit.min(request.time_left(now).as_ms() as f64);
        if wait_ms <= limit {
            return Ok(());
        }
        let wait = ClockSpan::from_ms((wait_ms - limit / 2.0) as u64);
        Err(ForwardRefusal::after(RefusalReason::Overloaded, wait))
    }

    pub(super) fn distance(&self, from: &ZoneName, to: &ZoneName) -> PlaceDistance {
        if from == to {
            PlaceDistance::Zone
        } else if self.region_of(from) == self.region_of(to) {
            PlaceDistance::Region
        } else {
            PlaceDistance::Far
        }
    }

    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.settings.regions.get(zone)
    }
}

impl SaltedPrompt {
    // All parts but the last, which belongs to the request or its session.
    fn shared(&self) -> &[(SegmentKey, u64)] {
        self.chain.split_last().map_or(&[], |(_, shared)| shared)
    }
}

fn version_of(request: &ForwardRequest, record: &TargetRecord) -> Option<u64> {
    record.versions.get(request.arrival.model.as_ref()?).copied()
}

fn salted(request: &ForwardRequest, version: Option<u64>) -> SaltedPrompt {
    let arrival = &request.arrival;
    let model = arrival.model.as_ref().map_or("", ModelName::as_str);
    let account = request.account.as_ref().filter(|account| account.isolated);
    let account = account.map_or("", |account| account.name.as_str());
    let salt: Arc<str> = format!("{model}.{}.{account}", version.unwrap_or(0)).into();
    let chain =
        arrival.prompt.iter().map(|part| (SegmentKey::new(&salt, &part.id), part.tokens)).collect();
    SaltedPrompt { version, salt, chain, holders: Vec::new() }
}
