//! The routing decisions of one simulated router, under the product's policy and under the baselines.

use godwitroad_balance::{
    ChoiceRequest, ChoiceSettings, ChoiceView, Distance, HealthSettings, HotPrefixes, HotSettings,
    LinkMeter, LinkSettings, LoadSettings, LoadView, TargetCandidate, TargetChoice, TargetHealth,
    TargetReport,
};
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom, TargetName, VmName, rendezvous};
use godwitroad_prefix::{
    IndexSettings, IndexShard, PrefixChain, PrefixMatches, ShardAction, ShardEvent, ShardMessage,
    ShardSettings, TargetId,
};

use super::{engine::PREFILL_RATE, load::WorkRequest};

/// A policy that chooses the target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PolicyKind {
    Product,
    RoundRobin,
    LeastLoaded,
    PrefixHash,
    /// Uses the product's rule with exact knowledge of all caches and queues.
    Oracle,
    /// Has the same knowledge and minimizes the time to first token of each request, without regard
    /// for later requests: another copy of a prefix costs nothing.
    OracleGreedy,
}

impl PolicyKind {
    pub(super) const ALL: [PolicyKind; 6] = [
        PolicyKind::Product,
        PolicyKind::RoundRobin,
        PolicyKind::LeastLoaded,
        PolicyKind::PrefixHash,
        PolicyKind::Oracle,
        PolicyKind::OracleGreedy,
    ];

    /// Returns whether the policy knows the present state of every cache and queue.
    pub(super) fn is_oracle(self) -> bool {
        matches!(self, PolicyKind::Oracle | PolicyKind::OracleGreedy)
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            PolicyKind::Product => "product",
            PolicyKind::RoundRobin => "round-robin",
            PolicyKind::LeastLoaded => "least-loaded",
            PolicyKind::PrefixHash => "prefix-hash",
            PolicyKind::Oracle => "oracle",
            PolicyKind::OracleGreedy => "oracle-greedy",
        }
    }
}

/// A message between product routers.
#[derive(Clone, Debug)]
pub(super) enum NodeMessage {
    Shard(ShardMessage),
    /// Recent dispatches: the target, the prompt tokens to compute, and the time since the dispatch.
    Hints(Vec<(TargetId, u64, ClockSpan)>),
}

impl NodeMessage {
    /// Returns the encoded size.
    pub(super) fn bytes(&self) -> u64 {
        match self {
            NodeMessage::Shard(message) => message.bytes() as u64,
            // Each dispatch has a tag, the tokens and the age.
            NodeMessage::Hints(hints) => 16 + 14 * hints.len() as u64,
        }
    }
}

/// The bandwidth of the link between the regions that one router may use, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 250_000;

/// The decision state of one router.
#[derive(Clone, Debug)]
pub(super) struct RouterNode {
    pub(super) shard: IndexShard,
    pub(super) load: LoadView,
    pub(super) health: TargetHealth,
    pub(super) link: LinkMeter,
    pub(super) is_ready: bool,
    hot: HotPrefixes,
    choice: TargetChoice,
    random: SeededRandom,
    /// The dispatches that haven't been sent to the peers.
    hints: Vec<(TargetId, u64, ClockTime)>,
    /// The position of the round-robin policy.
    rotation: usize,
}

impl RouterNode {
    pub(super) fn new(
        now: ClockTime,
        vm: &VmName,
        targets: &[TargetName],
        policy: PolicyKind,
        seed: u64,
    ) -> RouterNode {
        let index = IndexSettings { max_entries: 16_384, ..Default::default() };
        let settings = ShardSettings { index, ..Default::default() };
        let mut shard = IndexShard::new(vm.clone(), settings);
        shard.handle(now, ShardEvent::Targets(targets.to_vec()), &mut Vec::new());
        let mut load =
            LoadView::new(LoadSettings { prefill_rate: PREFILL_RATE, ..Default::default() });
        (0..targets.len()).for_each(|index| load.set_slots(TargetId(index as u16), 32));
        let link = LinkSettings { bytes_per_second: LINK_BYTES_PER_SECOND, ..Default::default() };
        let mut choice = ChoiceSettings::default();
        if policy == PolicyKind::OracleGreedy {
            choice.copy_cost = 0.0;
        }
        let mut random = SeededRandom::new(seed);
        RouterNode {
            shard,
            load,
            health: TargetHealth::new(HealthSettings::default()),
            link: LinkMeter::new(now, link),
            is_ready: false,
            hot: HotPrefixes::new(HotSettings::default()),
            choice: TargetChoice::new(choice),
            rotation: random.below(targets.len() as u64) as usize,
            random,
            hints: Vec::new(),
        }
    }

    /// Chooses a target by the estimated time to first token.
    pub(super) fn choose(
        &mut self,
        now: ClockTime,
        request: &WorkRequest,
        candidates: &[TargetCandidate],
        matches: &PrefixMatches,
        routers: usize,
        excluded: &[TargetId],
    ) -> Option<TargetId> {
        let first = request.chain.first().map(|block| block.short_hash());
        let choice_request = ChoiceRequest {
            first,
            blocks: request.chain.len(),
            tokens: request.tokens(),
            bytes: request.bytes(),
            routers,
            excluded,
        };
        let view = ChoiceView {
            candidates,
            matches,
            load: &self.load,
            health: &self.health,
            hot: &self.hot,
            link: &self.link,
        };
        let chosen = self.choice.choose(now, &choice_request, &view, &mut self.random)?;
        let target = chosen.target;
        let prefill_ms = chosen.missing_tokens as f64 * 1e3 / self.load.prefill_rate(target);
        if let Some(first) = first {
            self.hot.record(now, first, prefill_ms, routers);
        }
        self.hints.push((target, chosen.missing_tokens, now));
        Some(target)
    }

    /// Records a dispatch in this router's load view and index shard.
    pub(super) fn record_dispatch(
        &mut self,
        now: ClockTime,
        target: TargetId,
        name: &TargetName,
        request: usize,
        chain: &PrefixChain,
        network: ClockSpan,
    ) {
        let tokens = self.hints.last().map_or(0, |&(_, tokens, _)| tokens);
        self.load.record_dispatch(now + network, target, tokens, Some(request as u64));
        let event = ShardEvent::Dispatched { target: name.clone(), chain: chain.clone() };
        self.shard.handle(now, event, &mut Vec::new());
    }

    /// Returns the dispatches since the last call as a message for the peers.
    pub(super) fn take_hints(&mut self, now: ClockTime) -> Option<NodeMessage> {
        let hints = std::mem::take(&mut self.hints);
        let aged = hints.into_iter().map(|(target, tokens, at)| (target, tokens, now.since(at)));
        let aged: Vec<_> = aged.collect();
        (!aged.is_empty()).then_some(NodeMessage::Hints(aged))
    }

    pub(super) fn handle_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: NodeMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            NodeMessage::Shard(message) => {
                self.shard.handle(now, ShardEvent::Message { from, message }, actions);
            }
            NodeMessage::Hints(hints) => {
                for (target, tokens, age) in hints {
                    self.load.record_dispatch(now - age, target, tokens, None);
                }
            }
        }
    }

    /// Chooses the targets in rotation.
    pub(super) fn round_robin(&mut self, candidates: &[TargetCandidate]) -> Option<TargetId> {
        self.rotation += 1;
        candidates.get(self.rotation % candidates.len().max(1)).map(|candidate| candidate.target)
    }

    /// Chooses the target of this region with the smallest sum of the reported load and this router's later dispatches.
    pub(super) fn least_loaded(
        &mut self,
        now: ClockTime,
        request: &WorkRequest,
        candidates: &[TargetCandidate],
        request_id: usize,
    ) -> Option<TargetId> {
        let in_region =
            candidates.iter().filter(|candidate| candidate.distance != Distance::Remote);
        let queued = |candidate: &&TargetCandidate| self.load.queued_tokens(now, candidate.target);
        let least_loaded = in_region.min_by_key(queued)?.target;
        // Without an index, all tokens of the prompt count as work.
        self.load.record_dispatch(now, least_loaded, request.tokens(), Some(request_id as u64));
        Some(least_loaded)
    }

    /// Records a load report of a target.
    pub(super) fn record_report(&mut self, now: ClockTime, target: TargetId, report: TargetReport) {
        self.load.record_report(now, target, report);
    }

    /// Replaces the load view with exact reports.
    pub(super) fn set_exact(&mut self, now: ClockTime, reports: &[TargetReport]) {
        self.load =
            LoadView::new(LoadSettings { prefill_rate: PREFILL_RATE, ..Default::default() });
        for (index, report) in reports.iter().enumerate() {
            self.load.set_slots(TargetId(index as u16), 32);
            self.load.record_report(now, TargetId(index as u16), *report);
        }
    }
}

/// Chooses the target of this region by the hash of the prompt's leading blocks.
pub(super) fn prefix_hash(
    request: &WorkRequest,
    candidates: &[TargetCandidate],
) -> Option<TargetId> {
    let in_region: Vec<TargetId> = candidates
        .iter()
        .filter(|candidate| candidate.distance != Distance::Remote)
        .map(|candidate| candidate.target)
        .collect();
    let names: Vec<String> = in_region.iter().map(|target| target.0.to_string()).collect();
    // By the fourth block most prompts are past their account's instructions.
    let depth = request.chain.len().min(4).checked_sub(1)?;
    let key = request.chain.hashes()[depth].short_hash();
    rendezvous::owner(key, &names).map(|index| in_region[index])
}
