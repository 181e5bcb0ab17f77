//! Which target a request goes to, and from where that target fetches what it lacks of the prompt.
//!
//! The choice is the least estimated time to the first token. Reading a shared prompt again that another target
//! already holds delays every other request of the target, while moving it costs next to nothing, so that such tokens
//! weigh more than their own reading time. Memory binds before slots: a request waits until the memory for its whole
//! prompt is free, so work is counted in tokens.

use std::net::SocketAddr;

use godwitroad_base::{SeededRandom, TargetName};

use crate::{load::WorkSum, rules::EngineRule};

/// How far away something is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ZoneDistance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region.
    Far,
}

/// The weights of the estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine reads in a millisecond, from the users' engine sheets.
    pub read_per_ms: f64,
    /// The weight of reading a token that another target holds, in ms a token. At the users' prices a token read
    /// again costs about eight times the time that it takes.
    pub again_ms: f64,
    /// The weight of copying a token to another target, in ms a token: the copy takes memory in which other shared
    /// parts would stay.
    pub copy_ms: f64,
    /// What a way to another zone or region costs beside its delay, in ms by distance; bytes between them are paid.
    pub distance_ms: [f64; 3],
    /// How much longer a transfer takes by distance, from the platform's description of transfers.
    pub transfer_factor: [f64; 3],
    /// The delay of a request for each other request that runs on the engine, in ms; steps grow with the batch.
    pub batch_ms: f64,
    /// The time that an engine's whole memory takes to be freed by ending requests, in ms.
    pub memory_ms: f64,
    /// The time of one request of a plain service, in ms.
    pub plain_ms: f64,
    /// The weight of losing an answer's whole worth to replaced weights, in ms. An answer that is late by its whole
    /// objective loses about as much.
    pub old_ms: f64,
    /// The advantage of the target that a prompt held nowhere belongs to, in ms; routers that don't know of each
    /// other's request then choose the same target.
    pub home_ms: f64,
    /// The weight of an engine's whole memory taken by requests, in ms.
    pub fill_ms: f64,
    /// The part of the estimate that is left to chance, so that routers with the same view spread.
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
            fill_ms: 25.0,
            noise: 0.02,
        }
    }
}

/// A target that may take the request.
#[derive(Clone, Debug)]
pub struct TargetCandidate {
    /// The target.
    pub name: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// How far it is from this router.
    pub distance: ZoneDistance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The work under way there.
    pub work: WorkSum,
    /// Prompt tokens that it holds of this request.
    pub cached_tokens: u64,
    /// Sources of what it lacks, with the tokens that they hold.
    pub sources: Vec<SegmentSource>,
    /// The part of an answer's worth that is lost because its weights have been replaced.
    pub staleness_penalty: f64,
    /// Whether the request's prompt belongs here while nobody holds it.
    pub is_affinity_target: bool,
}

/// A holder of parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentSource {
    /// The address to fetch from.
    pub address: SocketAddr,
    /// Prompt tokens that it holds of this request.
    pub cached_tokens: u64,
    /// How far it is from the target.
    pub distance: ZoneDistance,
    /// The rate of its transfers, in megabits per second.
    pub link_mbps: f64,
}

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptDemand<'a> {
    /// Prompt tokens.
    pub input: u64,
    /// The most tokens of the answer.
    pub output: u64,
    /// The most prompt tokens that any target holds.
    pub cached_anywhere: u64,
    /// The engine's figures.
    pub engine: &'a EngineRule,
}

/// The chosen target.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    /// Its position among the options.
    pub index: usize,
    /// Where it should fetch from.
    pub source: Option<SegmentSource>,
    /// The estimated time to the first token, in ms.
    pub wait_ms: f64,
    /// Prompt tokens that it will read.
    pub prefill_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CandidateCost {
    cost: f64,
    wait: f64,
    source: Option<SegmentSource>,
    prefill_tokens: u64,
}

/// A transfer saves at least this many tokens; below, its own start-up costs as much.
const MIN_FETCH_TOKENS: u64 = 64;

/// Chooses among `options`; `need` is `None` for plain services.
pub fn choose_candidate(
    settings: &ChoiceSettings,
    candidates: &[TargetCandidate],
    demand: Option<&PromptDemand<'_>>,
    random: &mut SeededRandom,
) -> Option<TargetChoice> {
    let mut best: Option<(f64, TargetChoice)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let cost = match demand {
            Some(demand) => engine_cost(settings, candidate, demand),
            None => plain_cost(settings, candidate),
        };
        let total = cost.cost * (1.0 + settings.noise * random.fraction());
        if best.as_ref().is_none_or(|(lowest, _)| total < *lowest) {
            let CandidateCost { wait, source, prefill_tokens, .. } = cost;
            best = Some((total, TargetChoice { index, source, wait_ms: wait, prefill_tokens }));
        }
    }
    best.map(|(_, choice)| choice)
}

fn plain_cost(settings: &ChoiceSettings, candidate: &TargetCandidate) -> CandidateCost {
    let slots = f64::from(candidate.slots.max(1));
    let ahead = candidate.work.requests as f64;
    let queued = (ahead + 1.0 - slots).max(0.0);
    let wait = settings.plain_ms * queued / slots;
    let crowding = settings.plain_ms * ahead / slots;
    let distance = settings.distance_ms[candidate.distance as usize];
    CandidateCost { cost: 1.0 + wait + crowding + distance, wait, source: None, prefill_tokens: 0 }
}

fn engine_cost(
    settings: &ChoiceSettings,
    candidate: &TargetCandidate,
    demand: &PromptDemand<'_>,
) -> CandidateCost {
    let source = best_source(settings, candidate, demand);
    let fetch = source.map_or(0.0, |source| fetch_ms(settings, candidate, demand, &source));
    let reusable =
        source.map_or(candidate.cached_tokens, |source| source.cached_tokens).min(demand.input);
    let prefill_tokens = demand.input - reusable;
    let recomputed = demand.cached_anywhere.min(demand.input).saturating_sub(reusable);
    let prefill = (candidate.work.pending_prefill + prefill_tokens) as f64 / settings.read_per_ms;
    let memory = demand.engine.memory_tokens.max(1) as f64;
    let used_memory = (candidate.work.memory + demand.input + demand.output) as f64;
    let mut wait = prefill + fetch + candidate.work.requests as f64 * settings.batch_ms;
    wait += (used_memory / memory - 1.0).max(0.0) * settings.memory_ms;
    let queued = (candidate.work.requests + 1).saturating_sub(demand.engine.slots.into());
    wait += queued as f64 * settings.memory_ms / f64::from(demand.engine.slots.max(1));
    let mut cost = 1.0 + wait + settings.distance_ms[candidate.distance as usize];
    cost += recomputed as f64 * settings.again_ms;
    cost += reusable.saturating_sub(candidate.cached_tokens) as f64 * settings.copy_ms;
    // Memory that fills up evicts what others will ask for, before anything waits.
    cost += (used_memory / memory).min(1.0) * settings.fill_ms;
    cost += candidate.staleness_penalty * settings.old_ms;
    if !candidate.is_affinity_target {
        cost += settings.home_ms;
    }
    CandidateCost { cost, wait, source, prefill_tokens }
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

// The source that leaves the least to do: what it doesn't hold is read, and read again if another holds it.
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
