//! The choice itself.
//!
//! The estimate of a target is its queue wait, the time to compute the missing blocks, and the time on the
//! network. Estimates within a small margin count as equal, and a seeded choice among them keeps many routers
//! with the same view from sending everything to one target.

use godwitroad_base::{ClockTime, SeededRandom};
use godwitroad_prefix::{PrefixMatches, TargetId};
use serde::Serialize;

use crate::{health::TargetHealth, hot::HotPrefixes, link::LinkMeter, load::LoadView};

/// The settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// The prompt tokens of one block.
    pub block_tokens: u64,
    /// The network time to a target in this zone, in milliseconds.
    pub zone_ms: f64,
    /// The network time to a target in another zone of the region, in milliseconds.
    pub region_ms: f64,
    /// The network time to a target in another region, in milliseconds, without the transfer.
    pub remote_ms: f64,
    /// The bytes per millisecond of the link between regions.
    pub link_bytes_per_ms: f64,
    /// The least advantage for which a request crosses the link, in milliseconds.
    pub min_remote_advantage_ms: f64,
    /// The difference up to which two estimates count as equal, as a share of the better one.
    pub tie_ratio: f64,
    /// The difference up to which two estimates count as equal, in milliseconds.
    pub tie_margin_ms: f64,
    /// The part of an unconfirmed block that counts as cached.
    pub unconfirmed_weight: f64,
    /// The weight of a copy that displaces other cached blocks, as a share of the blocks' prefill time.
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

/// Where a target is, seen from this router.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    #[default]
    Zone,
    /// In another zone of the region.
    Region,
    /// In another region.
    Remote,
}

/// A target that may serve the request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCandidate {
    /// The target.
    pub target: TargetId,
    /// Where it is.
    pub distance: Distance,
}

/// The facts of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChoiceRequest<'a> {
    /// The short form of the first block, if the prompt has a complete one.
    pub first: Option<u64>,
    /// The number of complete blocks.
    pub blocks: usize,
    /// The prompt tokens, including those after the last complete block.
    pub tokens: u64,
    /// The bytes that go to the target.
    pub bytes: u64,
    /// The number of routers that share the traffic.
    pub routers: usize,
    /// Targets that failed this request already.
    pub excluded: &'a [TargetId],
}

/// The estimate for one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// The position of the target.
    #[serde(skip)]
    pub target: TargetId,
    /// Where the target is.
    pub distance: Distance,
    /// The estimated wait before the prompt is computed.
    pub queue_ms: f64,
    /// The time to compute the missing part of the prompt.
    pub prefill_ms: f64,
    /// The time on the network.
    pub network_ms: f64,
    /// The leading blocks held as far as is known.
    #[serde(rename = "usable_pieces")]
    pub usable_blocks: usize,
    /// The leading blocks that events confirm.
    #[serde(rename = "confirmed_pieces")]
    pub confirmed_blocks: usize,
    /// The penalty for a further copy of a prefix that has enough targets.
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

/// Why a target was chosen.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ChoiceExplanation {
    /// The estimate of the chosen target.
    pub chosen: TargetEstimate,
    /// The best of the others, in the order of their cost.
    pub others: Vec<TargetEstimate>,
    /// The number of targets that counted as equal.
    pub tied: usize,
    /// The number of targets that the prefix should have at its load.
    #[serde(rename = "wanted_copies")]
    pub desired_copies: usize,
    /// The number of targets that hold the first block.
    pub holders: usize,
    /// The targets left out because of probation, gradual return or leaving.
    pub unhealthy: usize,
    /// Whether the link's budget kept the request in the region.
    pub link_refused: bool,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenTarget {
    /// The target.
    pub target: TargetId,
    /// The prompt tokens that the target must compute, for [`LoadView::record_dispatch`].
    pub missing_tokens: u64,
    /// Why it was chosen.
    pub explain: ChoiceExplanation,
}

/// The number of other targets that an explanation lists.
const EXPLAIN_OTHERS: usize = 4;

/// The choice of a target by the least estimated time to first token.
#[derive(Clone, Debug)]
pub struct TargetChoice {
    settings: ChoiceSettings,
    estimates: Vec<TargetEstimate>,
}

/// What is known when a target is chosen, each part kept by its owner.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// The targets of the service.
    pub candidates: &'a [TargetCandidate],
    /// Which of them hold how much of the prompt.
    pub matches: &'a PrefixMatches,
    /// Their load.
    pub load: &'a LoadView,
    /// Their health.
    pub health: &'a TargetHealth,
    /// The prefixes that many requests ask for.
    pub hot: &'a HotPrefixes,
    /// What the link to other regions still carries.
    pub link: &'a LinkMeter,
}

impl TargetChoice {
    /// Returns a choice with these settings.
    pub fn new(settings: ChoiceSettings) -> TargetChoice {
        TargetChoice { settings, estimates: Vec::new() }
    }

    /// Returns the target for a request, or `None` when no target can take it.
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
        let least = self.estimates.iter().map(TargetEstimate::cost_ms).reduce(f64::min)?;
        let bound = least + (least * self.settings.tie_ratio).max(self.settings.tie_margin_ms);
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
        let doubtful = (usable_blocks - confirmed_blocks) as f64 * settings.unconfirmed_weight;
        let cached = (confirmed_blocks as f64 + doubtful) * settings.block_tokens as f64;
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

    /// Considers returning targets at any share when no other target is left.
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

    /// Charges for blocks that a target would have to cache anew although enough targets hold them.
    ///
    /// A copy displaces other blocks from the target's limited cache, which costs a later request about as much as
    /// it costs this one. The charge falls to zero while the prefix has fewer targets than its load asks for.
    fn add_copy_costs(&mut self, explain: &ChoiceExplanation) {
        let best = self.estimates.iter().map(|estimate| estimate.usable_blocks).max().unwrap_or(0);
        if explain.holders < explain.desired_copies || best == 0 {
            return;
        }
        let least = |list: &[TargetEstimate]| {
            list.iter().map(|estimate| estimate.prefill_ms).reduce(f64::min).unwrap_or(0.0)
        };
        let least = least(&self.estimates);
        for estimate in &mut self.estimates {
            estimate.copy_ms = self.settings.copy_cost * (estimate.prefill_ms - least);
        }
    }

    /// Leaves out other regions unless waiting here costs clearly more and the budget allows it.
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
        let near = |estimate: &&TargetEstimate| estimate.distance != Distance::Remote;
        let costs = self.estimates.iter().filter(near).map(TargetEstimate::cost_ms);
        let Some(nearest) = costs.reduce(f64::min) else { return };
        let limit = nearest - self.settings.min_remote_advantage_ms;
        let wanted = |estimate: &TargetEstimate| estimate.cost_ms() < limit;
        let is_allowed = link.allows(now, request.bytes);
        let is_remote = |estimate: &TargetEstimate| estimate.distance == Distance::Remote;
        explain.link_refused = !is_allowed
            && self.estimates.iter().any(|estimate| is_remote(estimate) && wanted(estimate));
        self.estimates.retain(|estimate| !is_remote(estimate) || is_allowed && wanted(estimate));
    }

    fn others(&self, chosen: TargetId) -> Vec<TargetEstimate> {
        let mut others: Vec<TargetEstimate> = Vec::with_capacity(EXPLAIN_OTHERS + 1);
        let mut bound = f64::INFINITY;
        for estimate in &self.estimates {
            let cost = estimate.cost_ms();
            if cost >= bound || estimate.target == chosen {
                continue;
            }
            let position = others.partition_point(|other| other.cost_ms() <= cost);
            others.insert(position, *estimate);
            others.truncate(EXPLAIN_OTHERS);
            if others.len() == EXPLAIN_OTHERS {
                bound = others[EXPLAIN_OTHERS - 1].cost_ms();
            }
        }
        others
    }
}

/// Takes two of the near-equal targets by chance and returns the better one.
fn choose_among_tied(tied: &[TargetEstimate], random: &mut SeededRandom) -> TargetEstimate {
    let count = tied.len() as u64;
    let first = tied[random.below(count) as usize];
    let second = tied[random.below(count) as usize];
    if second.cost_ms() < first.cost_ms() { second } else { first }
}
