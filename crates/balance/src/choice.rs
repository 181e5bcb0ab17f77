//! Choice of the target with the lowest estimated time to first token.
//!
//! The estimate for a target is the sum of its queue wait, the time to compute the blocks that it hasn't cached, and
//! the network time. Estimates within a small margin count as equal. A seeded random choice among them keeps routers
//! with the same data from sending all requests to one target.

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_prefix::{PrefixMatches, TargetId};
use serde::Serialize;

use crate::{health::TargetHealth, hot::HotPrefixes, link::LinkMeter, load::LoadView};

/// The settings of a target choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// The number of prompt tokens in one cache block.
    pub block_tokens: u64,
    /// The network time to a target in the same availability zone, in milliseconds.
    pub zone_ms: f64,
    /// The network time to a target in another availability zone of the region, in milliseconds.
    pub region_ms: f64,
    /// The network time to a target in another region, in milliseconds, without the transfer of the request.
    pub remote_ms: f64,
    /// The bandwidth of the link between regions, in bytes per millisecond.
    pub link_bytes_per_ms: f64,
    /// The advantage that a target in another region must exceed to receive the request, in milliseconds.
    pub min_remote_advantage_ms: f64,
    /// The difference up to which two estimates count as equal, relative to the lower one.
    ///
    /// The larger of this margin and `tie_margin_ms` applies.
    pub tie_ratio: f64,
    /// The difference up to which two estimates always count as equal, in milliseconds.
    pub tie_margin_ms: f64,
    /// The share of an unconfirmed block that counts as cached, between zero and one.
    pub unconfirmed_weight: f64,
    /// The cost of a further copy of a prefix, relative to the prefill time of the blocks that are copied.
    pub copy_cost: f64,
}

impl Default for ChoiceSettings {
    fn default() -> ChoiceSettings {
        ChoiceSettings {
            block_tokens: 2_000,
            zone_ms: 0.5,
            region_ms: 1.5,
            remote_ms: 8.0,
            link_bytes_per_ms: 3_000.0,
            min_remote_advantage_ms: 50.0,
            tie_ratio: 0.05,
            tie_margin_ms: 5.0,
            unconfirmed_weight: 0.9,
            copy_cost: 0.25,
        }
    }
}

/// The location of a target relative to this router.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    #[default]
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region.
    Remote,
}

/// A target that may serve a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCandidate {
    /// The position of the target in the index.
    pub target: TargetId,
    /// The location of the target relative to this router.
    pub distance: Distance,
}

/// The properties of a request on which the choice depends.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChoiceRequest<'a> {
    /// The short hash of the first block, or `None` if the prompt has no complete block.
    pub first: Option<u64>,
    /// The number of complete blocks of the prompt.
    pub blocks: usize,
    /// The number of prompt tokens, including those after the last complete block.
    pub tokens: u64,
    /// The number of bytes that are sent to the target.
    pub bytes: u64,
    /// The number of routers that share the traffic of the availability zone.
    pub routers: usize,
    /// Targets at which this request has already failed.
    pub excluded: &'a [TargetId],
}

/// The estimate for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// The position of the target in the index.
    #[serde(skip)]
    pub target: TargetId,
    /// The location of the target relative to this router.
    pub distance: Distance,
    /// The estimated wait until the target starts to compute the prompt, in milliseconds.
    pub queue_ms: f64,
    /// The time to compute the part of the prompt that isn't cached, in milliseconds.
    pub prefill_ms: f64,
    /// The network time, in milliseconds.
    pub network_ms: f64,
    /// The number of leading blocks that are cached, counting unconfirmed ones; the serialized name is
    /// `usable_pieces`.
    #[serde(rename = "usable_pieces")]
    pub usable_blocks: usize,
    /// The number of leading blocks that events have confirmed; the serialized name is `confirmed_pieces`.
    #[serde(rename = "confirmed_pieces")]
    pub confirmed_blocks: usize,
    /// The penalty for a further copy of a prefix that enough targets have cached, in milliseconds.
    pub copy_ms: f64,
}

impl TargetEstimate {
    /// Returns the estimated time to first token.
    pub fn first_token_ms(&self) -> f64 {
        self.queue_ms + self.prefill_ms + self.network_ms
    }

    fn cost_ms(&self) -> f64 {
        self.first_token_ms() + self.copy_ms
    }
}

/// The reasons for the choice of a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ChoiceExplanation {
    /// The estimate of the chosen target.
    pub chosen: TargetEstimate,
    /// The estimates of the next best targets in the order of their cost.
    pub others: Vec<TargetEstimate>,
    /// The number of targets whose estimates counted as equal to the lowest one.
    pub tied: usize,
    /// The number of targets that should cache the prefix at its current load; the serialized name is `wanted_copies`.
    #[serde(rename = "wanted_copies")]
    pub desired_copies: usize,
    /// The number of considered targets that have cached the first block.
    pub holders: usize,
    /// The number of targets not considered because they are on probation, returning or leaving.
    pub unhealthy: usize,
    /// Whether the byte budget of the link excluded a better target in another region.
    pub link_refused: bool,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// The position of the chosen target in the index.
    pub target: TargetId,
    /// The number of prompt tokens that the target must compute, for [`LoadView::record_dispatch`].
    pub missing_tokens: u64,
    /// The reasons for the choice.
    pub explain: ChoiceExplanation,
}

/// The maximum number of other targets that an explanation lists.
const MAX_EXPLAINED_OTHERS: usize = 4;

/// Chooses targets by the lowest estimated time to first token.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    settings: ChoiceSettings,
    estimates: Vec<TargetEstimate>,
}

/// The data on which a choice is based.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// The targets of the service from which one is chosen.
    pub candidates: &'a [TargetCandidate],
    /// The number of leading blocks of the prompt that each target has cached.
    pub matches: &'a PrefixMatches,
    /// The load of the targets.
    pub load: &'a LoadView,
    /// The health of the targets.
    pub health: &'a TargetHealth,
    /// The load of each prefix.
    pub hot: &'a HotPrefixes,
    /// The remaining byte budget of the link to other regions.
    pub link: &'a LinkMeter,
}

impl TargetChoice {
    /// Returns a choice with the given settings.
    pub fn new(settings: ChoiceSettings) -> TargetChoice {
        TargetChoice { settings, estimates: Vec::new() }
    }

    /// Returns the target for a request, or `None` if no target may receive it.
    pub fn choose(
        &mut self,
        now: ClockTime,
        request: &ChoiceRequest<'_>,
        view: &ChoiceView<'_>,
        random: &mut SeededRandom,
    ) -> Option<ChosenTarget> {
        let mut explain = ChoiceExplanation {
            desired_copies: request.first.map_or(1, |first| view.hot.desired_targets(now, first)),
            ..Default::default()
        };
        self.estimates.clear();
        for candidate in view.candidates {
            if request.excluded.contains(&candidate.target) {
                continue;
            }
            if !view.health.admits(now, candidate.target, random) {
                explain.unhealthy += 1;
                continue;
            }
            let estimate = self.estimate(now, request, *candidate, view);
            explain.holders += usize::from(estimate.usable_blocks > 0);
            self.estimates.push(estimate);
        }
        if self.estimates.is_empty() {
            self.consider_returning(now, request, view);
        }
        self.add_copy_costs(&explain);
        self.exclude_remote(now, request, view.link, &mut explain);
        let lowest = self.estimates.iter().map(TargetEstimate::cost_ms).reduce(f64::min)?;
        let bound = lowest + (lowest * self.settings.tie_ratio).max(self.settings.tie_margin_ms);
        let is_tied = |estimate: &&TargetEstimate| estimate.cost_ms() <= bound;
        let tied: Vec<TargetEstimate> = self.estimates.iter().filter(is_tied).copied().collect();
        let chosen = choose_among_tied(&tied, random);
        explain.tied = tied.len();
        explain.chosen = chosen;
        explain.others = self.others(chosen.target);
        let cached = chosen.usable_blocks as u64 * self.settings.block_tokens;
        let missing_tokens = request.tokens.saturating_sub(cached);
        Some(ChosenTarget { target: chosen.target, missing_tokens, explain })
    }

    fn estimate(
        &self,
        now: ClockTime,
        request: &ChoiceRequest<'_>,
        candidate: TargetCandidate,
        view: &ChoiceView<'_>,
    ) -> TargetEstimate {
        let ChoiceView { matches, load, .. } = view;
        let settings = &self.settings;
        let usable_blocks = matches.usable(candidate.target).min(request.blocks);
        let confirmed_blocks = matches.confirmed(candidate.target).min(usable_blocks);
        let unconfirmed = (usable_blocks - confirmed_blocks) as f64 * settings.unconfirmed_weight;
        let cached = (confirmed_blocks as f64 + unconfirmed) * settings.block_tokens as f64;
        let missing = (request.tokens as f64 - cached).max(0.0);
        let network_ms = match candidate.distance {
            Distance::Zone => settings.zone_ms,
            Distance::Region => settings.region_ms,
            Distance::Remote => {
                settings.remote_ms + request.bytes as f64 / settings.link_bytes_per_ms
            }
        };
        TargetEstimate {
            target: candidate.target,
            distance: candidate.distance,
            queue_ms: load.queue_wait_ms(now, candidate.target),
            prefill_ms: missing * load.token_ms(candidate.target),
            network_ms,
            usable_blocks,
            confirmed_blocks,
            copy_ms: 0.0,
        }
    }

    /// Considers returning targets regardless of their share, because no other target is available.
    fn consider_returning(
        &mut self,
        now: ClockTime,
        request: &ChoiceRequest<'_>,
        view: &ChoiceView<'_>,
    ) {
        for candidate in view.candidates {
            let is_usable = view.health.share(now, candidate.target) > 0.0;
            if is_usable && !request.excluded.contains(&candidate.target) {
                let estimate = self.estimate(now, request, *candidate, view);
                self.estimates.push(estimate);
            }
        }
    }

    /// Adds a cost for blocks that a target would have to compute although enough targets have cached them.
    ///
    /// A copy displaces other blocks from the limited cache of the target, which costs a later request about as much as
    /// it costs this one. No cost is added while fewer targets have cached the prefix than its load requires.
    fn add_copy_costs(&mut self, explain: &ChoiceExplanation) {
        let best = self.estimates.iter().map(|estimate| estimate.usable_blocks).max().unwrap_or(0);
        if explain.holders < explain.desired_copies || best == 0 {
            return;
        }
        let lowest = |list: &[TargetEstimate]| {
            list.iter().map(|estimate| estimate.prefill_ms).reduce(f64::min).unwrap_or(0.0)
        };
        let lowest = lowest(&self.estimates);
        for estimate in &mut self.estimates {
            estimate.copy_ms = self.settings.copy_cost * (estimate.prefill_ms - lowest);
        }
    }

    /// Excludes targets in other regions unless their advantage exceeds the minimum and the byte budget suffices.
    fn exclude_remote(
        &mut self,
        now: ClockTime,
        request: &ChoiceRequest<'_>,
        link: &LinkMeter,
        explain: &mut ChoiceExplanation,
    ) {
        if self.estimates.iter().all(|estimate| estimate.distance != Distance::Remote) {
            return;
        }
        let is_nearby = |estimate: &&TargetEstimate| estimate.distance != Distance::Remote;
        let costs = self.estimates.iter().filter(is_nearby).map(TargetEstimate::cost_ms);
        let Some(lowest_nearby) = costs.reduce(f64::min) else { return };
        let limit = lowest_nearby - self.settings.min_remote_advantage_ms;
        let is_worthwhile = |estimate: &TargetEstimate| estimate.cost_ms() < limit;
        let is_allowed = link.allows(now, request.bytes);
        let is_remote = |estimate: &TargetEstimate| estimate.distance == Distance::Remote;
        explain.link_refused = !is_allowed
            && self.estimates.iter().any(|estimate| is_remote(estimate) && is_worthwhile(estimate));
        self.estimates
            .retain(|estimate| !is_remote(estimate) || is_allowed && is_worthwhile(estimate));
    }

    fn others(&self, chosen: TargetId) -> Vec<TargetEstimate> {
        let mut others: Vec<TargetEstimate> = Vec::with_capacity(MAX_EXPLAINED_OTHERS + 1);
        let mut bound = f64::INFINITY;
        for estimate in &self.estimates {
            let cost = estimate.cost_ms();
            if cost >= bound || estimate.target == chosen {
                continue;
            }
            let position = others.partition_point(|other| other.cost_ms() <= cost);
            others.insert(position, *estimate);
            others.truncate(MAX_EXPLAINED_OTHERS);
            if others.len() == MAX_EXPLAINED_OTHERS {
                bound = others[MAX_EXPLAINED_OTHERS - 1].cost_ms();
            }
        }
        others
    }
}

/// Draws two of the near-equal targets at random and returns the one with the lower cost.
fn choose_among_tied(tied: &[TargetEstimate], random: &mut SeededRandom) -> TargetEstimate {
    let count = tied.len() as u64;
    let first = tied[random.below(count) as usize];
    let second = tied[random.below(count) as usize];
    if second.cost_ms() < first.cost_ms() { second } else { first }
}
