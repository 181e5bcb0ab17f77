//! Chooses the target of a request, and the source from which that target fetches missing prompt segments.
//!
//! The candidate with the lowest cost is chosen; the cost is the estimated time to the first token plus weights for
//! effects on other requests. Computing prompt tokens again that another target has cached delays every other request
//! of the target, while a transfer is cheap, so such tokens weigh more than their own computing time. Memory is the
//! bottleneck before slots are: a request waits until the memory for its complete prompt is free, so work is counted in
//! tokens.

use std::net::SocketAddr;

use godwitroad_base::{ClockTime, SeededRandom, TargetName};
use godwitroad_cost::{CostEstimate, CostModel, EngineSize, RequestSize, TargetWork};

use crate::{load::WorkSum, rules::EngineRule};

/// The network distance between two availability zones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ZoneDistance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region.
    Far,
}

/// The weights of the cost estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine processes in a millisecond, according to its data sheet.
    pub read_per_ms: f64,
    /// The weight of computing a token again that another target has cached, in ms per token. At the operator's prices
    /// such a token costs about eight times its computing time.
    pub again_ms: f64,
    /// The weight of copying a token to another target, in ms per token: the copy takes memory from other cached
    /// segments.
    pub copy_ms: f64,
    /// The weight of a target in another zone or region, in ms by distance. It covers more than the network delay, as
    /// traffic between zones is charged.
    pub distance_ms: [f64; 3],
    /// The factor by which distance lengthens a transfer, according to the platform's documentation.
    pub transfer_factor: [f64; 3],
    /// The delay for each other request on the engine, in ms, as decoding steps take longer in a larger batch.
    pub batch_ms: f64,
    /// The time in which ending requests free an engine's complete memory, in ms.
    pub memory_ms: f64,
    /// The run time of one request of a service without engine, in ms.
    pub plain_ms: f64,
    /// The weight of an answer that loses its full value because the target's weights have been replaced, in ms. An
    /// answer that is late by its full latency objective loses about as much.
    pub old_ms: f64,
    /// The advantage of the affinity target of a prompt that is cached nowhere, in ms. With it, routers that don't know
    /// of each other's requests choose the same target.
    pub home_ms: f64,
    /// The weight of a stream that becomes late because of a pause, in ms. It is far below that of a late first event, as
    /// not each request there is a stream with a limit, and not each of those was in time before.
    pub pause_ms: f64,
    /// The random fraction that is added to the cost, so that routers with the same view don't all choose one target.
    pub noise: f64,
}

impl Default for ChoiceSettings {
    fn default() -> ChoiceSettings {
        ChoiceSettings {
            read_per_ms: 80.0,
            again_ms: 0.1,
            copy_ms: 0.02,
            distance_ms: [0.0, 6.0, 30.0],
            transfer_factor: [1.0, 2.0, 10.0],
            batch_ms: 1.6,
            memory_ms: 2000.0,
            plain_ms: 30.0,
            old_ms: 600.0,
            home_ms: 90.0,
            pause_ms: 30.0,
            noise: 0.02,
        }
    }
}

/// A target that could run the request.
#[derive(Clone, Debug)]
pub struct TargetCandidate {
    /// The target's name.
    pub name: TargetName,
    /// The target's address.
    pub address: SocketAddr,
    /// The distance from this router.
    pub distance: ZoneDistance,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The work in progress there.
    pub work: WorkSum,
    /// Tokens from the start of the request's prompt that it has cached.
    pub cached_tokens: u64,
    /// Other holders from which it could fetch missing segments.
    pub sources: Vec<SegmentSource>,
    /// The fraction of an answer's value that is lost because the target's weights have been replaced.
    pub staleness_penalty: f64,
    /// Whether this is the target that all routers prefer for the prompt while it is cached nowhere.
    pub is_affinity_target: bool,
}

/// A holder from which a target could fetch segments of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentSource {
    /// The address to fetch from.
    pub address: SocketAddr,
    /// Tokens from the start of the request's prompt that can be fetched from it.
    pub cached_tokens: u64,
    /// The distance from the target.
    pub distance: ZoneDistance,
    /// The source's transfer rate, in megabits per second.
    pub link_mbps: f64,
}

/// What a request requires of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptDemand<'a> {
    /// The length of the prompt in tokens.
    pub input: u64,
    /// The maximum length of the answer in tokens.
    pub output: u64,
    /// The most prompt tokens that any holder has cached.
    pub cached_anywhere: u64,
    /// The engine's capacity figures.
    pub engine: &'a EngineRule,
}

/// What is learned of the cost of requests, for services for which the cost model is active.
#[derive(Clone, Copy, Debug)]
pub struct LearnedCost<'a> {
    /// The model.
    pub model: &'a CostModel,
    /// The present time.
    pub now: ClockTime,
    /// Whether the answer is a stream.
    pub is_streaming: bool,
    /// The strictest limit of pauses among the streams of the service, in ms; `None` if none has a limit.
    pub gap_ms: Option<f64>,
    /// Whether the learned times count in the choice, rather than only how long a target has been silent.
    pub places_by_estimate: bool,
}

/// The result of choosing a target.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    /// The target's position among the candidates.
    pub index: usize,
    /// The source from which it should fetch segments, if that is worthwhile.
    pub source: Option<SegmentSource>,
    /// The estimated time to the first token, in ms.
    pub wait_ms: f64,
    /// Prompt tokens that it has to compute.
    pub prefill_tokens: u64,
    /// The estimate of the cost model; `None` if it isn't active.
    pub estimate: Option<CostEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct CandidateCost {
    cost: f64,
    wait: f64,
    estimate: Option<CostEstimate>,
    source: Option<SegmentSource>,
    prefill_tokens: u64,
}

/// The minimum number of tokens that a transfer must save; for fewer, its start-up costs as much as it saves.
const MIN_FETCH_TOKENS: u64 = 64;

/// Returns the candidate with the lowest cost among those whose estimated wait is at most `max_wait_ms`, or among all if
/// there are none; `demand` is `None` for services without engine, and `learned` is `None` where only the constants of
/// `settings` apply.
///
/// A cheaper candidate with a longer wait is no reason to refuse a request that another one can serve in time.
pub fn choose_candidate(
    settings: &ChoiceSettings,
    candidates: &[TargetCandidate],
    demand: Option<&PromptDemand<'_>>,
    learned: Option<&LearnedCost<'_>>,
    max_wait_ms: f64,
    random: &mut SeededRandom,
) -> Option<TargetChoice> {
    let mut best: Option<((bool, f64), TargetChoice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = match demand {
            Some(demand) => engine_cost(settings, candidate, demand, learned),
            None => plain_cost(settings, candidate, learned),
        };
        let total = cost.cost * (1.0 + settings.noise * random.fraction());
        let rank = (cost.wait > max_wait_ms, total);
        if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
            let CandidateCost { wait, source, prefill_tokens, estimate, .. } = cost;
            let wait_ms = wait;
            best = Some((rank, TargetChoice { index, source, wait_ms, prefill_tokens, estimate }));
        }
    }
    best.map(|(_, choice)| choice)
}

fn plain_cost(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    learned: Option<&LearnedCost<'_>>,
) -> CandidateCost {
    let estimate = learned.map(|learned| {
        let work = target_work(candidate, None);
        let request = RequestSize { engine: None, is_streaming: learned.is_streaming };
        learned.model.estimate(learned.now, &candidate.name, &work, &request)
    });
    let slots = f64::from(candidate.slots.max(1));
    let ahead = candidate.work.requests as f64;
    let (wait, pace) = match &estimate {
        Some(estimate) if places_by_estimate(learned) => (estimate.first_ms, estimate.pace),
        _ => {
            let queued = (ahead + 1.0 - slots).max(0.0);
            (settings.plain_ms * queued / slots + silence(&estimate), 1.0)
        }
    };
    let crowding = settings.plain_ms * pace * ahead / slots;
    let distance = settings.distance_ms[candidate.distance as usize];
    let cost = 1.0 + wait + crowding + distance;
    CandidateCost { cost, wait, source: None, prefill_tokens: 0, estimate }
}

fn places_by_estimate(learned: Option<&LearnedCost<'_>>) -> bool {
    learned.is_some_and(|learned| learned.places_by_estimate)
}

fn silence(estimate: &Option<CostEstimate>) -> f64 {
    estimate.map_or(0.0, |estimate| estimate.silent_ms)
}

fn target_work(candidate: &TargetCandidate, engine: Option<&EngineRule>) -> TargetWork {
    TargetWork {
        requests: candidate.work.requests,
        memory: candidate.work.memory,
        pending_prefill: candidate.work.pending_prefill,
        slots: engine.map_or(candidate.slots, |engine| engine.slots),
        memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
        stride: engine.map_or(1, |engine| engine.stride),
    }
}

fn engine_cost(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    demand: &PromptDemand<'_>,
    learned: Option<&LearnedCost<'_>>,
) -> CandidateCost {
    let source = best_source(settings, candidate, demand);
    let fetch = source.map_or(0.0, |source| fetch_ms(settings, candidate, demand, &source));
    let reusable =
        source.map_or(candidate.cached_tokens, |source| source.cached_tokens).min(demand.input);
    let prefill_tokens = demand.input - reusable;
    let recomputed = demand.cached_anywhere.min(demand.input).saturating_sub(reusable);
    let estimate = learned.map(|learned| {
        let size =
            EngineSize { input: demand.input, prefill: prefill_tokens, output: demand.output };
        let request = RequestSize { engine: Some(size), is_streaming: learned.is_streaming };
        let work = target_work(candidate, Some(demand.engine));
        learned.model.estimate(learned.now, &candidate.name, &work, &request)
    });
    let wait = match &estimate {
        Some(estimate) if places_by_estimate(learned) => estimate.first_ms + fetch,
        _ => sheet_wait(settings, candidate, demand, prefill_tokens, fetch) + silence(&estimate),
    };
    let mut cost = 1.0 + wait + settings.distance_ms[candidate.distance as usize];
    cost += recomputed as f64 * settings.again_ms;
    cost += reusable.saturating_sub(candidate.cached_tokens) as f64 * settings.copy_ms;
    cost += candidate.staleness_penalty * settings.old_ms;
    if !candidate.is_affinity_target {
        cost += settings.home_ms;
    }
    if let (Some(learned), Some(estimate)) = (learned, &estimate)
        && places_by_estimate(Some(learned))
    {
        cost += pause_cost(settings, candidate, learned, estimate);
    }
    CandidateCost { cost, wait, source, prefill_tokens, estimate }
}

// Returns the weight of the pauses by which reading this prompt makes the streams at the target late.
fn pause_cost(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    learned: &LearnedCost<'_>,
    estimate: &CostEstimate,
) -> f64 {
    let Some(gap) = learned.gap_ms.filter(|_| estimate.read_pause_ms > 0.0) else { return 0.0 };
    // The part of the streams that become late grows with the pause, as the estimate is uncertain.
    let share = ((estimate.pause_ms - gap) / gap).clamp(0.0, 1.0);
    let caused = estimate.read_pause_ms / estimate.pause_ms.max(1.0);
    candidate.work.requests as f64 * share * caused * settings.pause_ms
}

// Returns the wait for an engine that follows from the constants alone, with `fetch` ms for a transfer.
fn sheet_wait(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    demand: &PromptDemand<'_>,
    prefill_tokens: u64,
    fetch: f64,
) -> f64 {
    let prefill = (candidate.work.pending_prefill + prefill_tokens) as f64 / settings.read_per_ms;
    let memory = demand.engine.memory_tokens.max(1) as f64;
    let used_memory = (candidate.work.memory + demand.input + demand.output) as f64;
    let mut wait = prefill + fetch + candidate.work.requests as f64 * settings.batch_ms;
    wait += (used_memory / memory - 1.0).max(0.0) * settings.memory_ms;
    let queued = (candidate.work.requests + 1).saturating_sub(demand.engine.slots.into());
    wait + queued as f64 * settings.memory_ms / f64::from(demand.engine.slots.max(1))
}

fn fetch_ms(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    demand: &PromptDemand<'_>,
    source: &SegmentSource,
) -> f64 {
    let tokens = source.cached_tokens.min(demand.input).saturating_sub(candidate.cached_tokens);
    let bits = tokens as f64 * demand.engine.token_bytes as f64 * 8.0;
    let factor = settings.transfer_factor[source.distance as usize];
    let rate = source.link_mbps.min(demand.engine.link_mbps).max(1.0);
    1.0 + bits / (rate * 1_000.0) * factor
}

// Returns the source with the lowest cost: the transfer, plus computing the tokens that it lacks and another holder
// has.
fn best_source(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    demand: &PromptDemand<'_>,
) -> Option<SegmentSource> {
    let useful = candidate
        .sources
        .iter()
        .filter(|source| source.cached_tokens >= candidate.cached_tokens + MIN_FETCH_TOKENS);
    let cost = |source: &SegmentSource| {
        let missing = demand.cached_anywhere.saturating_sub(source.cached_tokens) as f64;
        fetch_ms(settings, candidate, demand, source)
            + missing * (settings.again_ms + 1.0 / settings.read_per_ms)
    };
    useful.min_by(|left, right| cost(left).total_cmp(&cost(right))).copied()
}
