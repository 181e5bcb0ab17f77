//! The routers of the simulation: the product and its baselines.

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

/// The ways to choose a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PolicyKind {
    Product,
    RoundRobin,
    LeastLoaded,
    PrefixHash,
    /// Knows everything and follows the product's rule.
    Oracle,
    /// Knows everything and takes the least time to first token without regard for later requests.
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

    /// Returns whether the policy knows every cache and queue at once.
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
    Part(ShardMessage),
    /// Dispatches as target, tokens and age.
    Hints(Vec<(TargetId, u64, ClockSpan)>),
}

impl NodeMessage {
    /// Returns the length on the wire.
    pub(super) fn bytes(&self) -> u64 {
        match self {
            NodeMessage::Part(message) => message.bytes() as u64,
            // A tag, the tokens and the age of each dispatch.
            NodeMessage::Hints(hints) => 16 + 14 * hints.len() as u64,
        }
    }
}

/// The share of the link that one router may use, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 250_000;

/// The decision state of one router.
#[derive(Clone, Debug)]
pub(super) struct RouterNode {
    pub(super) part: IndexShard,
    pub(super) load: LoadView,
    pub(super) health: TargetHealth,
    pub(super) link: LinkMeter,
    pub(super) is_ready: bool,
    hot: HotPrefixes,
    choice: TargetChoice,
    random: SeededRandom,
    hints: Vec<(TargetId, u64, ClockTime)>,
    turn: usize,
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
        let mut part = IndexShard::new(vm.clone(), settings);
        part.handle(now, ShardEvent::Targets(targets.to_vec()), &mut Vec::new());
        let mut load =
            LoadView::new(LoadSettings { prefill_rate: PREFILL_RATE, ..Default::default() });
        (0..targets.len()).for_each(|place| load.set_slots(TargetId(place as u16), 32));
        let link = LinkSettings { bytes_per_second: LINK_BYTES_PER_SECOND, ..Default::default() };
        let mut choice = ChoiceSettings::default();
        if policy == PolicyKind::OracleGreedy {
            choice.copy_cost = 0.0;
        }
        let mut random = SeededRandom::new(seed);
        RouterNode {
            part,
            load,
            health: TargetHealth::new(HealthSettings::default()),
            link: LinkMeter::new(now, link),
            is_ready: false,
            hot: HotPrefixes::new(HotSettings::default()),
            choice: TargetChoice::new(choice),
            turn: random.below(targets.len() as u64) as usize,
            random,
            hints: Vec::new(),
        }
    }

    /// Chooses by estimated time to first token.
    pub(super) fn choose(
        &mut self,
        now: ClockTime,
        request: &WorkRequest,
        places: &[TargetCandidate],
        matches: &PrefixMatches,
        routers: usize,
        excluded: &[TargetId],
    ) -> Option<TargetId> {
        let first = request.chain.first().map(|piece| piece.short_hash());
        let facts = ChoiceRequest {
            first,
            blocks: request.chain.len(),
            tokens: request.tokens(),
            bytes: request.bytes(),
            routers,
            excluded,
        };
        let view = ChoiceView {
            candidates: places,
            matches,
            load: &self.load,
            health: &self.health,
            hot: &self.hot,
            link: &self.link,
        };
        let chosen = self.choice.choose(now, &facts, &view, &mut self.random)?;
        let target = chosen.target;
        let used_ms = chosen.missing_tokens as f64 * 1e3 / self.load.prefill_rate(target);
        if let Some(first) = first {
            self.hot.record(now, first, used_ms, routers);
        }
        self.hints.push((target, chosen.missing_tokens, now));
        Some(target)
    }

    /// Records a dispatch in this router's own views.
    pub(super) fn note_dispatch(
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
        self.part.handle(now, event, &mut Vec::new());
    }

    /// Returns the dispatches since the last call, for the peers.
    pub(super) fn take_hints(&mut self, now: ClockTime) -> Option<NodeMessage> {
        let hints = std::mem::take(&mut self.hints);
        let aged = hints.into_iter().map(|(target, tokens, at)| (target, tokens, now.since(at)));
        let aged: Vec<_> = aged.collect();
        (!aged.is_empty()).then_some(NodeMessage::Hints(aged))
    }

    pub(super) fn take_message(
        &mut self,
        now: ClockTime,
        from: VmName,
        message: NodeMessage,
        actions: &mut Vec<ShardAction>,
    ) {
        match message {
            NodeMessage::Part(message) => {
                self.part.handle(now, ShardEvent::Message { from, message }, actions);
            }
            NodeMessage::Hints(hints) => {
                for (target, tokens, age) in hints {
                    self.load.record_dispatch(now - age, target, tokens, None);
                }
            }
        }
    }

    /// Chooses the next target in turn.
    pub(super) fn round_robin(&mut self, places: &[TargetCandidate]) -> Option<TargetId> {
        self.turn += 1;
        places.get(self.turn % places.len().max(1)).map(|place| place.target)
    }

    /// Chooses the target with the least reported load and own dispatches since.
    pub(super) fn least_loaded(
        &mut self,
        now: ClockTime,
        request: &WorkRequest,
        places: &[TargetCandidate],
        id: usize,
    ) -> Option<TargetId> {
        let near = places.iter().filter(|place| place.distance != Distance::Remote);
        let queued = |place: &&TargetCandidate| self.load.queued_tokens(now, place.target);
        let least = near.min_by_key(queued)?.target;
        // Without an index the work of a prompt is its length.
        self.load.record_dispatch(now, least, request.tokens(), Some(id as u64));
        Some(least)
    }

    /// Takes a load report.
    pub(super) fn take_report(&mut self, now: ClockTime, target: TargetId, report: TargetReport) {
        self.load.record_report(now, target, report);
    }

    /// Replaces the load view by exact figures.
    pub(super) fn set_exact(&mut self, now: ClockTime, reports: &[TargetReport]) {
        self.load =
            LoadView::new(LoadSettings { prefill_rate: PREFILL_RATE, ..Default::default() });
        for (place, report) in reports.iter().enumerate() {
            self.load.set_slots(TargetId(place as u16), 32);
            self.load.record_report(now, TargetId(place as u16), *report);
        }
    }
}

/// Returns the target that the hash of the prompt's first pieces names.
pub(super) fn prefix_hash(request: &WorkRequest, places: &[TargetCandidate]) -> Option<TargetId> {
    let near: Vec<TargetId> = places
        .iter()
        .filter(|place| place.distance != Distance::Remote)
        .map(|place| place.target)
        .collect();
    let names: Vec<String> = near.iter().map(|target| target.0.to_string()).collect();
    // The fourth piece is where most prompts leave the account's instructions.
    let depth = request.chain.len().min(4).checked_sub(1)?;
    let key = request.chain.hashes()[depth].short_hash();
    rendezvous::owner(key, &names).map(|place| near[place])
}
