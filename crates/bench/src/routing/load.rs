//! The workloads of the two firms.
//!
//! A prompt is a chain of nested parts: the account's instructions, a template and a document, each some pieces
//! long, and a tail of its own. Few templates are very hot. Documents are asked about several times within a short
//! time and then no more.

use std::collections::VecDeque;

use godwitroad_base::SeededRandom;
use godwitroad_prefix::{BlockHash, PrefixChain};

/// The tokens of a piece.
pub(super) const PIECE_TOKENS: u64 = 2_000;

/// The shape of a firm's fleet and traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirmShape {
    pub(super) name: &'static str,
    /// The routers and workers of each zone; the last zone is in a region of its own.
    pub(super) zones: [(usize, usize); 3],
    /// The share of the arrivals that enter in the last zone's region.
    pub(super) remote_share: f64,
    /// The requests per second.
    pub(super) rate: f64,
    /// The parts of the traffic per account.
    pub(super) accounts: [f64; 5],
    /// The templates of one account.
    pub(super) templates: usize,
    /// The exponent of the templates' popularity.
    pub(super) skew: f64,
    /// The pieces of instructions, template and document, at most.
    pub(super) lengths: [u64; 3],
    /// The chance that a request asks about a recent document.
    pub(super) reuse: f64,
    /// The pieces that a worker caches.
    pub(super) cache: usize,
    /// The network time in microseconds in a zone, between zones and between regions.
    pub(super) network_us: [u64; 3],
}

/// The seal verification of Hanbit Foilmark Co.
pub(super) const HANBIT: FirmShape = FirmShape {
    name: "hanbit",
    zones: [(3, 3), (3, 3), (3, 3)],
    remote_share: 0.3,
    rate: 24.0,
    accounts: [0.40, 0.30, 0.15, 0.10, 0.05],
    templates: 12,
    skew: 1.1,
    lengths: [3, 4, 3],
    reuse: 0.75,
    cache: 160,
    network_us: [500, 1_500, 6_000],
};

/// The gala entries of Cascade Lanes.
pub(super) const CASCADE: FirmShape = FirmShape {
    name: "cascade",
    zones: [(3, 4), (3, 4), (2, 4)],
    remote_share: 0.3,
    rate: 40.0,
    accounts: [0.35, 0.30, 0.20, 0.10, 0.05],
    templates: 20,
    skew: 1.3,
    lengths: [2, 4, 2],
    reuse: 0.6,
    cache: 120,
    network_us: [300, 900, 5_000],
};

/// One request of a workload.
#[derive(Clone, Debug)]
pub(super) struct WorkRequest {
    pub(super) at_us: u64,
    pub(super) is_remote: bool,
    pub(super) chain: PrefixChain,
    pub(super) tail: u64,
    pub(super) answer: u64,
    /// A number from which each policy draws the router that takes the request.
    pub(super) draw: u64,
}

impl WorkRequest {
    pub(super) fn tokens(&self) -> u64 {
        self.chain.len() as u64 * PIECE_TOKENS + self.tail
    }

    pub(super) fn bytes(&self) -> u64 {
        self.tokens() * 4
    }
}

/// Returns the requests of `firm` for `seconds` seconds; the hot templates change at `shift_us`.
pub(super) fn generate(
    firm: &FirmShape,
    seed: u64,
    seconds: u64,
    shift_us: Option<u64>,
) -> Vec<WorkRequest> {
    let mut random = SeededRandom::new(seed);
    let mut recent: Vec<VecDeque<u64>> = vec![VecDeque::new(); 5 * firm.templates];
    let weights: Vec<f64> =
        (0..firm.templates).map(|rank| 1.0 / ((rank + 1) as f64).powf(firm.skew)).collect();
    let mut requests = Vec::new();
    let mut at = 0.0;
    let mut fresh = 0;
    loop {
        at += -(1.0 - random.fraction()).ln() / firm.rate * 1e6;
        let at_us = at as u64;
        if at_us >= seconds * 1_000_000 {
            return requests;
        }
        let account = draw(&firm.accounts, &mut random);
        let rank = draw(&weights, &mut random);
        let is_shifted = shift_us.is_some_and(|shift| at_us >= shift);
        let template = if is_shifted { (rank + firm.templates / 2) % firm.templates } else { rank };
        let documents = &mut recent[account * firm.templates + template];
        let document = if !documents.is_empty() && random.chance(firm.reuse) {
            documents[random.below(documents.len() as u64) as usize]
        } else {
            fresh += 1;
            documents.push_back(fresh);
            if documents.len() > 4 {
                documents.pop_front();
            }
            fresh
        };
        requests.push(WorkRequest {
            at_us,
            is_remote: random.chance(firm.remote_share),
            chain: chain(firm, account as u64, template as u64, document),
            tail: 100 + random.below(400),
            answer: 20 + random.below(80),
            draw: random.next_u64(),
        });
    }
}

/// Returns the position drawn with the given weights.
fn draw(weights: &[f64], random: &mut SeededRandom) -> usize {
    let mut left = random.fraction() * weights.iter().sum::<f64>();
    for (place, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return place;
        }
    }
    weights.len() - 1
}

fn chain(firm: &FirmShape, account: u64, template: u64, document: u64) -> PrefixChain {
    // Each part's length follows from what it is, so that equal parts have equal lengths.
    let parts =
        [(1, account, 0), (2, account, template), (3, account * 1_000 + template, document)];
    let mut pieces = Vec::new();
    let mut state = 0x9e37_79b9u64;
    for (place, (kind, outer, inner)) in parts.into_iter().enumerate() {
        let part = mix(mix(kind, outer), inner);
        let length = 1 + part % firm.lengths[place];
        for index in 0..length {
            state = mix(state, part + index);
            pieces.push(BlockHash(u128::from(state) | u128::from(mix(state, 7)) << 64));
        }
    }
    PrefixChain::from_hashes(pieces)
}

fn mix(first: u64, second: u64) -> u64 {
    let mut value = first.wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ second.wrapping_add(0x9e37_79b9);
    value = (value ^ (value >> 30)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
