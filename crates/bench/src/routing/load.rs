//! The workloads of the two firms.
//!
//! A prompt consists of nested segments (the account's instructions, a template and a document, each a few blocks
//! long) and a tail that no other prompt shares. A few templates receive most of the requests. A document is used by
//! several requests within a short time and not again afterwards.

use std::collections::VecDeque;

use godwitroad_base::SeededRandom;
use godwitroad_prefix::{BlockHash, PrefixChain};

/// The number of tokens in a cache block.
pub(super) const BLOCK_TOKENS: u64 = 2_000;

/// The fleet and the traffic of a firm.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirmProfile {
    pub(super) name: &'static str,
    /// The numbers of routers and workers in each zone; the last zone is in a region of its own.
    pub(super) zones: [(usize, usize); 3],
    /// The share of the requests that arrive in the last zone's region.
    pub(super) remote_share: f64,
    /// The mean arrival rate.
    pub(super) requests_per_second: f64,
    /// The share of the traffic of each account.
    pub(super) account_weights: [f64; 5],
    /// The number of templates of one account.
    pub(super) templates_per_account: usize,
    /// The exponent of the Zipf distribution of the templates' popularity.
    pub(super) template_skew: f64,
    /// The maximum numbers of blocks of instructions, template and document.
    pub(super) max_blocks: [u64; 3],
    /// The probability that a request uses a recent document, if its template has one.
    pub(super) reuse_chance: f64,
    /// The number of blocks that a worker can cache.
    pub(super) cache_blocks: usize,
    /// The network latencies within a zone, between the zones of a region and between regions, in microseconds.
    pub(super) network_us: [u64; 3],
}

/// The seal verification of Hanbit Foilmark Co.
pub(super) const HANBIT: FirmProfile = FirmProfile {
    name: "hanbit",
    zones: [(3, 3), (3, 3), (3, 3)],
    remote_share: 0.3,
    requests_per_second: 24.0,
    account_weights: [0.40, 0.30, 0.15, 0.10, 0.05],
    templates_per_account: 12,
    template_skew: 1.1,
    max_blocks: [3, 4, 3],
    reuse_chance: 0.75,
    cache_blocks: 160,
    network_us: [500, 1_500, 6_000],
};

/// The gala entries of Cascade Lanes.
pub(super) const CASCADE: FirmProfile = FirmProfile {
    name: "cascade",
    zones: [(3, 4), (3, 4), (2, 4)],
    remote_share: 0.3,
    requests_per_second: 40.0,
    account_weights: [0.35, 0.30, 0.20, 0.10, 0.05],
    templates_per_account: 20,
    template_skew: 1.3,
    max_blocks: [2, 4, 2],
    reuse_chance: 0.6,
    cache_blocks: 120,
    network_us: [300, 900, 5_000],
};

/// One request of a workload.
#[derive(Clone, Debug)]
pub(super) struct WorkRequest {
    /// The arrival time, in microseconds from the start.
    pub(super) at_us: u64,
    /// Whether the request arrives in the last zone's region.
    pub(super) is_remote: bool,
    pub(super) chain: PrefixChain,
    /// The prompt tokens after the last complete block.
    pub(super) tail_tokens: u64,
    pub(super) answer_tokens: u64,
    /// A random number that selects the receiving router, so that it is the same one under each policy.
    pub(super) router_draw: u64,
}

impl WorkRequest {
    pub(super) fn tokens(&self) -> u64 {
        self.chain.len() as u64 * BLOCK_TOKENS + self.tail_tokens
    }

    /// Returns the estimated size of the prompt at four bytes per token.
    pub(super) fn bytes(&self) -> u64 {
        self.tokens() * 4
    }
}

/// Generates the requests of `firm` for `seconds` seconds; other templates become popular at `shift_us`.
pub(super) fn generate(
    firm: &FirmProfile,
    seed: u64,
    seconds: u64,
    shift_us: Option<u64>,
) -> Vec<WorkRequest> {
    let mut random = SeededRandom::new(seed);
    let mut recent_documents: Vec<VecDeque<u64>> =
        vec![VecDeque::new(); 5 * firm.templates_per_account];
    let template_weights: Vec<f64> = (0..firm.templates_per_account)
        .map(|rank| 1.0 / ((rank + 1) as f64).powf(firm.template_skew))
        .collect();
    let mut requests = Vec::new();
    let mut time_us = 0.0;
    let mut last_document = 0;
    loop {
        time_us += -(1.0 - random.fraction()).ln() / firm.requests_per_second * 1e6;
        let at_us = time_us as u64;
        if at_us >= seconds * 1_000_000 {
            return requests;
        }
        let account = draw_weighted(&firm.account_weights, &mut random);
        let rank = draw_weighted(&template_weights, &mut random);
        let is_shifted = shift_us.is_some_and(|shift| at_us >= shift);
        let template = if is_shifted {
            (rank + firm.templates_per_account / 2) % firm.templates_per_account
        } else {
            rank
        };
        let documents = &mut recent_documents[account * firm.templates_per_account + template];
        let document = if !documents.is_empty() && random.chance(firm.reuse_chance) {
            documents[random.below(documents.len() as u64) as usize]
        } else {
            last_document += 1;
            documents.push_back(last_document);
            if documents.len() > 4 {
                documents.pop_front();
            }
            last_document
        };
        requests.push(WorkRequest {
            at_us,
            is_remote: random.chance(firm.remote_share),
            chain: prompt_chain(firm, account as u64, template as u64, document),
            tail_tokens: 100 + random.below(400),
            answer_tokens: 20 + random.below(80),
            router_draw: random.next_u64(),
        });
    }
}

/// Draws an index with a probability proportional to its weight.
fn draw_weighted(weights: &[f64], random: &mut SeededRandom) -> usize {
    let mut remaining = random.fraction() * weights.iter().sum::<f64>();
    for (position, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return position;
        }
    }
    weights.len() - 1
}

/// Returns the block hashes of a prompt.
fn prompt_chain(firm: &FirmProfile, account: u64, template: u64, document: u64) -> PrefixChain {
    // A segment's length is derived from its identity, so that equal segments have equal lengths.
    let segments =
        [(1, account, 0), (2, account, template), (3, account * 1_000 + template, document)];
    let mut blocks = Vec::new();
    let mut state = 0x9e37_79b9u64;
    for (position, (kind, outer, inner)) in segments.into_iter().enumerate() {
        let segment_hash = mix_hash(mix_hash(kind, outer), inner);
        let block_count = 1 + segment_hash % firm.max_blocks[position];
        for index in 0..block_count {
            state = mix_hash(state, segment_hash + index);
            blocks.push(BlockHash(u128::from(state) | u128::from(mix_hash(state, 7)) << 64));
        }
    }
    PrefixChain::from_hashes(blocks)
}

fn mix_hash(first: u64, second: u64) -> u64 {
    let mut value = first.wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ second.wrapping_add(0x9e37_79b9);
    value = (value ^ (value >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
