//! The simulated load, and what callers got.

use std::fmt;

use crate::CANDIDATES;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct KindLoad {
    /// Requests per second of all accounts together.
    pub per_second: f64,
    /// The length of the prompt, in tokens.
    pub input: u32,
    /// The length of the answer, in tokens.
    pub output: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The latency objective, in ms.
    pub objective_ms: f64,
    /// The time limit, in ms.
    pub limit_ms: f64,
    /// The part of its value that a late response keeps.
    pub late_value: f64,
}

/// A deployment with its load.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The kinds of requests.
    pub kinds: Vec<KindLoad>,
    /// The number of routers.
    pub routers: usize,
    /// The number of targets.
    pub targets: usize,
    /// Requests that a target runs concurrently.
    pub slots: usize,
    /// Prompt tokens that a target of normal speed reads in a millisecond.
    pub read_per_ms: f64,
    /// A target's memory, in tokens.
    pub memory: u64,
    /// The number of random targets of its zone among which a router places a request; 0 for all targets.
    pub choices: usize,
    /// The relative sizes of the accounts.
    pub accounts: Vec<f64>,
    /// The accounts that send more than usual while capacity is short, and how many times as much.
    pub bursting: (Vec<usize>, f64),
    /// The fraction of targets that are lost while capacity is short.
    pub lost_fraction: f64,
    /// When capacity is short, in ms.
    pub short_ms: (f64, f64),
    /// The length of the load, in ms.
    pub length_ms: f64,
}

impl LoadProfile {
    /// Returns 16 accounts, of which a few are large.
    pub fn usual_accounts() -> Vec<f64> {
        (0..16).map(|index| if index < 3 { 4.0 } else { 1.0 }).collect()
    }

    /// Returns the smaller deployment: 60 targets, where long prompts are the less urgent ones.
    pub fn small() -> LoadProfile {
        LoadProfile {
            kinds: vec![
                KindLoad {
                    per_second: 66.0,
                    input: 9_190,
                    output: 7,
                    priority: 2,
                    objective_ms: 1_200.0,
                    limit_ms: 4_000.0,
                    late_value: 0.15,
                },
                KindLoad {
                    per_second: 287.0,
                    input: 826,
                    output: 36,
                    priority: 0,
                    objective_ms: 400.0,
                    limit_ms: 12_000.0,
                    late_value: 0.04,
                },
            ],
            routers: 70,
            targets: 60,
            slots: 48,
            read_per_ms: 44.0,
            memory: 91_588,
            choices: CANDIDATES,
            accounts: LoadProfile::usual_accounts(),
            bursting: (vec![0, 5], 5.0),
            lost_fraction: 0.5,
            short_ms: (5_000.0, 13_000.0),
            length_ms: 20_000.0,
        }
    }

    /// Returns the larger deployment: 90 targets with fewer slots and more long prompts.
    pub fn large() -> LoadProfile {
        LoadProfile {
            kinds: vec![
                KindLoad {
                    per_second: 144.0,
                    input: 9_190,
                    output: 13,
                    priority: 2,
                    objective_ms: 600.0,
                    limit_ms: 6_000.0,
                    late_value: 0.15,
                },
                KindLoad {
                    per_second: 105.0,
                    input: 826,
                    output: 73,
                    priority: 0,
                    objective_ms: 400.0,
                    limit_ms: 15_000.0,
                    late_value: 0.04,
                },
            ],
            routers: 90,
            targets: 90,
            slots: 24,
            read_per_ms: 43.0,
            memory: 97_603,
            ..LoadProfile::small()
        }
    }
}

/// How many requests ended in each way.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCounts {
    /// All requests of callers, however often they returned.
    pub requests: u32,
    /// Served within the objective, counted from the arrival of the attempt that was served.
    pub in_time: u32,
    /// Served after the objective.
    pub late: u32,
    /// Refused for good.
    pub refused: u32,
    /// Broken or not served before the caller's deadline.
    pub failed: u32,
    /// The value of what was served, in requests.
    pub value: f64,
}

/// What the callers that arrived while capacity was short got.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// By kind.
    pub kinds: Vec<ServedCounts>,
    /// By account.
    pub accounts: Vec<ServedCounts>,
    /// All of them.
    pub all: ServedCounts,
}

impl ServedCounts {
    /// Returns the fraction that was served, within the objective or later.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Returns the fraction that was served within the objective.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

impl LoadReport {
    /// Returns the share of the account that was served least.
    pub fn worst_account(&self) -> f64 {
        self.accounts.iter().map(ServedCounts::share).fold(1.0, f64::min)
    }

    /// Returns the share of the kind that was served least.
    pub fn worst_kind(&self) -> f64 {
        self.kinds.iter().map(ServedCounts::share).fold(1.0, f64::min)
    }
}

impl fmt::Display for ServedCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |count: u32| f64::from(count) / f64::from(self.requests.max(1));
        write!(
            formatter,
            "{:.3}/{:.3}/{:.3}/{:.3} v{:.3}",
            part(self.in_time),
            part(self.late),
            part(self.refused),
            part(self.failed),
            self.value / f64::from(self.requests.max(1)),
        )
    }
}
