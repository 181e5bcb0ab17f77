//! Where to, and what follows from an attempt.

use std::{net::SocketAddr, sync::Arc};

use godwitroad_base::{
    ClockSpan, ClockTime, ModelName, RegionName, TargetName, ZoneName, rendezvous,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{FeedSource, ForwardState};
use crate::{
    EngineRule, ForwardRefusal, ForwardRequest, ForwardRules, PartKey, PartSource, PlaceDistance,
    PromptNeed, RefusalReason, SendPlan, TargetOption, TargetRecord, WorkSum, choose, tag_of,
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

/// The declared prompt under the salt of one version.
struct SaltedPrompt {
    salt: Arc<str>,
    chain: Vec<(PartKey, u64)>,
}

impl ForwardState {
    /// Chooses a target for the next attempt of a request and counts the work there.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no target can serve the request in time.
    pub fn place(
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
    fn usable(&mut self, now: ClockTime, request: &ForwardRequest) -> Vec<TargetRecord> {
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
        let records: Vec<TargetRecord> =
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
        records: &[TargetRecord],
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
        records: &[TargetRecord],
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let (input, output) = request.arrival.tokens.unwrap_or((0, 0));
        let prompts: Vec<SaltedPrompt> =
            records.iter().map(|record| salted(request, record)).collect();
        let homes = self.homes(request, records);
        let mut options = Vec::new();
        let mut held_anywhere = 0;
        for (index, record) in records.iter().enumerate() {
            let mut option = self.option(now, record);
            option.held = self.held_by(&FeedSource::Target(record.name.clone()), &prompts[index]);
            option.loss = self.loss(now, request, record);
            option.sources = self.sources(now, request, rules, record, &prompts[index]);
            option.is_home = homes == Some(index);
            let best = option.sources.iter().map(|source| source.held).max().unwrap_or(0);
            held_anywhere = held_anywhere.max(option.held).max(best);
            options.push(option);
        }
        let need = PromptNeed { input, output, held_anywhere, engine };
        let choice = choose(&self.settings.choice, &options, Some(&need), &mut self.random);
        let choice = choice.ok_or_else(|| ForwardRefusal::new(RefusalReason::NoTarget))?;
        self.check_wait(now, request, choice.wait_ms)?;
        let record = &records[choice.index];
        let prompt = &prompts[choice.index];
        let work = WorkSum { requests: 1, memory: input + output, unread: choice.read };
        let mut plan = self.plan(now, request, record, work, choice.wait_ms);
        plan.version = request.arrival.model.as_ref().and_then(|m| record.versions.get(m)).copied();
        plan.salt = plan.version.map(|_| prompt.salt.clone());
        plan.held = options[choice.index].held;
        plan.held_anywhere = held_anywhere;
        plan.read = choice.read;
        if plan.salt.is_some() {
            plan.fetch = choice.source.map(|source| source.address);
            plan.keep = self.keep(now, rules, record, prompt);
            let parts = self.parts.entry(FeedSource::Target(record.name.clone())).or_default();
            parts.expect(now, &prompt.chain);
        }
        Ok(plan)
    }

    fn option(&self, now: ClockTime, record: &TargetRecord) -> TargetOption {
        TargetOption {
            name: record.name.clone(),
            address: record.address,
            distance: self.distance(&self.settings.place.zone, &record.zone),
            slots: record.slots,
            work: self.loads.work(now, &record.name),
            held: 0,
            sources: Vec::new(),
            loss: 0.0,
            is_home: true,
        }
    }

    // The target that a prompt nobody holds belongs to: the owner of its shared parts in this region, if there is one.
    fn homes(&self, request: &ForwardRequest, records: &[TargetRecord]) -> Option<usize> {
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
        self.parts.get(source).map_or(0, |parts| parts.held(&prompt.chain))
    }

    // The holders from which a target could fetch what it lacks.
    fn sources(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        rules: &ForwardRules,
        target: &TargetRecord,
        prompt: &SaltedPrompt,
    ) -> Vec<PartSource> {
        let peers = self.roster.iter().filter(|record| {
            record.service == request.service
                && record.name != target.name
                && !self.health.is_silent(now, record)
        });
        let ready = |source: FeedSource, address, zone: &ZoneName, link_mbps| PartSource {
            address,
            held: self.parts.get(&source).map_or(0, |parts| parts.ready(now, &prompt.chain)),
            distance: self.distance(&target.zone, zone),
            link_mbps,
        };
        let engines = peers.map(|record| {
            let source = FeedSource::Target(record.name.clone());
            ready(source, record.address, &record.zone, f64::INFINITY)
        });
        let kept = rules.kept_cache().map(|kept| {
            ready(FeedSource::Kept(kept.address), kept.address, &kept.zone, kept.link_mbps)
        });
        engines.chain(kept).filter(|source| source.held > 0).collect()
    }

    // Where a copy of the shared parts should be kept, if the store of cache entries lacks them.
    fn keep(
        &mut self,
        now: ClockTime,
        rules: &ForwardRules,
        target: &TargetRecord,
        prompt: &SaltedPrompt,
    ) -> Option<SocketAddr> {
        let kept = rules.kept_cache()?;
        // A transfer between regions takes ten times as long and would hold up all others.
        if self.distance(&target.zone, &kept.zone) == PlaceDistance::Far {
            return None;
        }
        let shared = &prompt.chain[..prompt.chain.len().checked_sub(1)?];
        let tokens: u64 = shared.iter().map(|(_, tokens)| tokens).sum();
        // A store that doesn't tell of its entries doesn't answer transfers either.
        let parts = self.parts.get_mut(&FeedSource::Kept(kept.address))?;
        if tokens < KEEP_TOKENS || parts.held(shared) >= tokens {
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
            fetch: None,
            keep: None,
            priority: request.priority(),
            time_left: request.time_left(now),
            // A second try must not meet a late answer on a kept connection again.
            fresh_connection: !request.is_repeatable() || request.may_have_run,
            work,
            wait_ms: wait_ms as u64,
            held: 0,
            held_anywhere: 0,
            read: 0,
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

fn salted(request: &ForwardRequest, record: &TargetRecord) -> SaltedPrompt {
    let arrival = &request.arrival;
    let model = arrival.model.as_ref().map_or("", ModelName::as_str);
    let version =
        arrival.model.as_ref().and_then(|model| record.versions.get(model)).copied().unwrap_or(0);
    let account = request.account.as_ref().filter(|account| account.isolated);
    let account = account.map_or("", |account| account.name.as_str());
    let salt: Arc<str> = format!("{model}.{version}.{account}").into();
    let chain =
        arrival.prompt.iter().map(|part| (PartKey::new(&salt, &part.id), part.tokens)).collect();
    SaltedPrompt { salt, chain }
}
