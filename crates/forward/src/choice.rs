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
pub enum PlaceDistance {
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
pub struct TargetOption {
    /// The target.
    pub name: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// How far it is from this router.
    pub distance: PlaceDistance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The work under way there.
    pub work: WorkSum,
    /// Prompt tokens that it holds of this request.
    pub cached_tokens: u64,
    /// Sources of what it lacks, with the tokens that they hold.
    pub sources: Vec<PartSource>,
    /// The part of an answer's worth that is lost because its weights have been replaced.
    pub loss: f64,
    /// Whether the request's prompt belongs here while nobody holds it.
    pub is_home: bool,
}

/// A holder of parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartSource {
    /// The address to fetch from.
    pub address: SocketAddr,
    /// Prompt tokens that it holds of this request.
    pub cached_tokens: u64,
    /// How far it is from the target.
    pub distance: PlaceDistance,
    /// The rate of its transfers, in megabits per second.
    pub link_mbps: f64,
}

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptNeed<'a> {
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
    pub source: Option<PartSource>,
    /// The estimated time to the first token, in ms.
    pub wait_ms: f64,
    /// Prompt tokens that it will read.
    pub prefill_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct OptionCost {
    cost: f64,
    wait: f64,
    source: Option<PartSource>,
    prefill_tokens: u64,
}

/// A transfer saves at least this many tokens; below, its own start-up costs as much.
const MIN_FETCH_TOKENS: u64 = 64;

/// Chooses among `options`; `need` is `None` for plain services.
pub fn choose(
    settings: &ChoiceSettings,
    options: &[TargetOption],
    need: Option<&PromptNeed<'_>>,
    random: &mut SeededRandom,
) -> Option<TargetChoice> {
    let mut best: Option<(f64, TargetChoice)> = None;
    for (index, option) in options.iter().enumerate() {
        let cost = match need {
            Some(need) => engine_cost(settings, option, need),
            None => plain_cost(settings, option),
        };
        let total = cost.cost * (1.0 + settings.noise * random.fraction());
        if best.as_ref().is_none_or(|(least, _)| total < *least) {
            let OptionCost { wait, source, prefill_tokens, .. } = cost;
            best = Some((total, TargetChoice { index, source, wait_ms: wait, prefill_tokens }));
        }
    }
    best.map(|(_, choice)| choice)
}

fn plain_cost(settings: &ChoiceSettings, option: &TargetOption) -> OptionCost {
    let slots = f64::from(option.slots.max(1));
    let ahead = option.work.requests as f64;
    let queued = (ahead + 1.0 - slots).max(0.0);
    let wait = settings.plain_ms * queued / slots;
    let crowding = settings.plain_ms * ahead / slots;
    let distance = settings.distance_ms[option.distance as usize];
    OptionCost { cost: 1.0 + wait + crowding + distance, wait, source: None, prefill_tokens: 0 }
}

fn engine_cost(
    settings: &ChoiceSettings,
    option: &TargetOption,
    need: &PromptNeed<'_>,
) -> OptionCost {
    let source = best_source(settings, option, need);
    let fetch = source.map_or(0.0, |source| fetch_ms(settings, option, need, &source));
    let covered =
        source.map_or(option.cached_tokens, |source| source.cached_tokens).min(need.input);
    let prefill_tokens = need.input - covered;
    let again = need.cached_anywhere.min(need.input).saturating_sub(covered);
    let reading = (option.work.unread + prefill_tokens) as f64 / settings.read_per_ms;
    let memory = need.engine.memory_tokens.max(1) as f64;
    let taken = (option.work.memory + need.input + need.output) as f64;
    let mut wait = reading + fetch + option.work.requests as f64 * settings.batch_ms;
    wait += (taken / memory - 1.0).max(0.0) * settings.memory_ms;
    let queued = (option.work.requests + 1).saturating_sub(need.engine.slots.into());
    wait += queued as f64 * settings.memory_ms / f64::from(need.engine.slots.max(1));
    let mut cost = 1.0 + wait + settings.distance_ms[option.distance as usize];
    cost += again as f64 * settings.again_ms;
    cost += covered.saturating_sub(option.cached_tokens) as f64 * settings.copy_ms;
    // Memory that fills up evicts what others will ask for, before anything waits.
    cost += (taken / memory).min(1.0) * settings.fill_ms;
    cost += option.loss * settings.old_ms;
    if !option.is_home {
        cost += settings.home_ms;
    }
    OptionCost { cost, wait, source, prefill_tokens }
}

fn fetch_ms(
    settings: &ChoiceSettings,
    option: &TargetOption,
    need: &PromptNeed<'_>,
    source: &PartSource,
) -> f64 {
    let tokens = source.cached_tokens.min(need.input).saturating_sub(option.cached_tokens);
    let bits = tokens as f64 * need.engine.token_bytes as f64 * 8.0;
    let factor = settings.transfer_factor[source.distance as usize];
    let rate = source.link_mbps.min(need.engine.link_mbps).max(1.0);
    1.0 + bits / (rate * 1_000.0) * factor
}

// The source that leaves the least to do: what it doesn't hold is read, and read again if another holds it.
fn best_source(
    settings: &ChoiceSettings,
    option: &TargetOption,
    need: &PromptNeed<'_>,
) -> Option<PartSource> {
    let useful = option
        .sources
        .iter()
        .filter(|source| source.cached_tokens >= option.cached_tokens + MIN_FETCH_TOKENS);
    let cost = |source: &PartSource| {
        let missing = need.cached_anywhere.saturating_sub(source.cached_tokens) as f64;
        fetch_ms(settings, option, need, source)
            + missing * (settings.again_ms + 1.0 / settings.read_per_ms)
    };
    useful.min_by(|left, right| cost(left).total_cmp(&cost(right))).copied()
}
