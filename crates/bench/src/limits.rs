//! The `limits` experiment: over-admission and wrongful refusals of the product's rate limits.
//!
//! The baselines are a static split of each limit over the VMs and a single central bucket. A refusal is wrongful if an
//! ideal central bucket, without latency or faults, admits the same request. Only the requests of accounts that stay
//! within their rate are compared one by one. Any policy must refuse most requests of an account that sends several
//! times its rate, so the admitted tokens of that account are compared instead.

use std::{collections::BTreeMap, sync::Arc};

use anyhow::Result;
use godwitroad_base::{AccountName, SeededRandom};
use godwitroad_config::RateConfig;
use godwitroad_limits::RateTable;

use crate::{
    fleet::{
        AdmissionLog, FaultKind, FleetArrival, FleetFault, FleetResult, FleetSim, FleetSpec,
        IdealBucket, RequestEnd,
    },
    report::BenchRow,
};

/// The start of the traffic; by this time all processes have started and all buckets are full.
const WARM_UP_MS: u64 = 30_000;

/// The simulated time of a scenario.
const LENGTH_MS: u64 = 120_000;

/// The number of simulated histories with random faults.
const HISTORIES: u64 = 2_000;

/// The number of VMs, in three zones of three.
const VMS: usize = 9;

/// The mean tokens of a request; the design size of 1.6 M tokens/s and 5,800 requests/s gives 276 tokens.
const MEAN_TOKENS: u64 = 300;

struct LimitScenario {
    name: &'static str,
    /// The offered load, as a fraction of each account's rate.
    load: f64,
    /// Whether the limits allow small bursts only.
    small_bursts: bool,
    faults: Vec<FleetFault>,
    /// The upper bound of wrongful refusals, in percent.
    target: Option<f64>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Never fails; all experiments share this signature.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let mut rows = Vec::new();
    for scenario in scenarios() {
        rows.extend(run_scenario(seed, &scenario));
    }
    rows.extend(random_histories(seed));
    Ok(rows)
}

fn scenarios() -> Vec<LimitScenario> {
    let fault = |kind| vec![FleetFault { from: 60_000, until: 90_000, kind }];
    let scenario = |name, faults, target| LimitScenario {
        name,
        load: 0.6,
        small_bursts: false,
        faults,
        target,
    };
    let restart = vec![FleetFault { from: 60_000, until: 62_000, kind: FaultKind::RestartAll }];
    vec![
        scenario("skewed arrivals", Vec::new(), Some(0.1)),
        LimitScenario { small_bursts: true, ..scenario("small bursts", Vec::new(), Some(0.1)) },
        LimitScenario { load: 5.0, ..scenario("one account at 5x", Vec::new(), None) },
        scenario("one VM lost", fault(FaultKind::VmLoss(0)), Some(1.0)),
        scenario("zone partitioned", fault(FaultKind::IsolatedZone(1)), None),
        scenario("store down", fault(FaultKind::StoreDown), None),
        scenario("mass restart", restart, None),
    ]
}

// A burst holds two seconds of the account's rate. A small burst holds half a second, but at least four mean requests.
fn table(small_bursts: bool) -> Arc<RateTable> {
    let rates = [24_000, 12_000, 6_000, 3_000, 1_500];
    let accounts = rates.iter().enumerate().map(|(index, rate)| {
        let burst = if small_bursts { (rate / 2).max(4 * MEAN_TOKENS) } else { rate * 2 };
        let limit = RateConfig { tokens_per_second: *rate, burst_tokens: burst };
        (AccountName::new(format!("account-{index}")), limit)
    });
    let zones = ["zone-a", "zone-b", "zone-c"].map(Into::into).to_vec();
    Arc::new(RateTable { generation: 1, zones, accounts: accounts.collect() })
}

// Half of the requests of an account go to its first VM, a quarter to the next one, and so on.
fn arrivals(seed: u64, table: &RateTable, load: f64) -> Vec<FleetArrival> {
    let mut random = SeededRandom::new(seed ^ 0xa771);
    let mut arrivals = Vec::new();
    for (index, (account, limit)) in table.accounts.iter().enumerate() {
        let first = random.below(VMS as u64);
        // In scenarios with excess traffic, only the first account exceeds its rate.
        let load = if load > 1.0 && index > 0 { 0.6 } else { load };
        let gap = MEAN_TOKENS as f64 * 1_000.0 / (limit.tokens_per_second as f64 * load);
        let mut at = WARM_UP_MS as f64;
        while at < (LENGTH_MS - 2_000) as f64 {
            at += -gap * (1.0 - random.fraction()).ln();
            let step = random.next_u64().trailing_zeros().min(VMS as u32 - 1);
            let vm = ((first + u64::from(step)) % VMS as u64) as usize;
            let tokens = MEAN_TOKENS / 2 + random.below(MEAN_TOKENS);
            arrivals.push(FleetArrival { at: at as u64, vm, account: account.clone(), tokens });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn run_scenario(seed: u64, scenario: &LimitScenario) -> Vec<BenchRow> {
    let table = table(scenario.small_bursts);
    let arrivals = arrivals(seed, &table, scenario.load);
    let spec = FleetSpec {
        seed,
        table: Arc::clone(&table),
        arrivals: arrivals.clone(),
        faults: scenario.faults.clone(),
        length: LENGTH_MS,
        count_bytes: true,
        ..FleetSpec::default()
    };
    let result = FleetSim::new(spec).run();
    let ideal = ideal_admissions(&table, &arrivals);
    let split = split_ends(&table, &arrivals, &scenario.faults);
    let central = central_ends(&table, &arrivals, &scenario.faults);
    let mut rows = Vec::new();
    for (policy, ends) in
        [("product", &result.ends), ("static split", &split), ("central", &central)]
    {
        let policy_result = PolicyResult::new(scenario, &table, &arrivals, &ideal, ends);
        rows.extend(policy_result.rows(scenario, policy));
    }
    rows.extend(cost_rows(scenario.name, &result));
    rows
}

struct PolicyResult {
    /// The tokens by which the worst account exceeds its limits in its worst window.
    excess: u64,
    /// The wrongful refusals in percent of the requests that the ideal bucket admits.
    wrongful: f64,
    /// The admitted tokens in percent of those that the ideal bucket admits.
    ideal_share: f64,
}

impl PolicyResult {
    fn new(
        scenario: &LimitScenario,
        table: &RateTable,
        arrivals: &[FleetArrival],
        ideal: &[bool],
        ends: &[RequestEnd],
    ) -> PolicyResult {
        let (mut wrongful, mut eligible, mut ideal_tokens, mut tokens) = (0u64, 0u64, 0u64, 0u64);
        let mut logs: BTreeMap<&AccountName, AdmissionLog> = BTreeMap::new();
        // The window is at least 20 s long, so that it includes the recovery after a short fault.
        let fault = scenario.faults.first();
        let window = fault.map(|fault| fault.from..fault.until.max(fault.from + 20_000));
        for ((arrival, ideal), end) in arrivals.iter().zip(ideal).zip(ends) {
            let admitted = matches!(end, RequestEnd::Admitted(_));
            if let RequestEnd::Admitted(at) = end {
                logs.entry(&arrival.account).or_default().admitted.push((*at, arrival.tokens));
            }
            ideal_tokens += if *ideal { arrival.tokens } else { 0 };
            tokens += if admitted { arrival.tokens } else { 0 };
            let exceeds_rate = scenario.load > 1.0 && arrival.account.as_str() == "account-0";
            if *ideal && !exceeds_rate && window.as_ref().is_none_or(|it| it.contains(&arrival.at))
            {
                eligible += 1;
                wrongful += u64::from(!admitted);
            }
        }
        let mut excess = 0;
        for (account, mut log) in logs {
            log.admitted.sort_unstable();
            excess = excess.max(log.excess(table.accounts[account]));
        }
        PolicyResult {
            excess,
            wrongful: 100.0 * wrongful as f64 / eligible.max(1) as f64,
            ideal_share: 100.0 * tokens as f64 / ideal_tokens.max(1) as f64,
        }
    }

    fn rows(&self, scenario: &LimitScenario, policy: &str) -> Vec<BenchRow> {
        let row = |measure, unit, value| BenchRow::new(scenario.name, policy, measure, unit, value);
        let product = policy == "product";
        let excess = row("over-admission, worst window", "tokens", self.excess as f64);
        let wrongful = row("wrongful refusals", "%", self.wrongful);
        vec![
            if product { excess.at_most(0.0) } else { excess },
            match scenario.target.filter(|_| product) {
                Some(target) => wrongful.at_most(target),
                None => wrongful,
            },
            row("tokens relative to ideal bucket", "%", self.ideal_share),
        ]
    }
}

fn cost_rows(scenario: &str, result: &FleetResult) -> Vec<BenchRow> {
    let admitted = result.ends.iter().filter(|end| matches!(end, RequestEnd::Admitted(_))).count();
    let per_request = |amount: u64| amount as f64 / admitted.max(1) as f64;
    let immediate: u64 = result.counters.iter().map(|it| it.spender.admitted_at_once).sum();
    let row = |measure, unit, value| BenchRow::new(scenario, "product", measure, unit, value);
    vec![
        row("messages per admitted request", "messages", per_request(result.rate_messages)),
        row("bytes per admitted request, JSON", "bytes", per_request(result.rate_bytes)),
        row("admitted without a round trip", "%", 100.0 * per_request(immediate)),
        row("store calls", "calls/s", result.store_calls as f64 * 1_000.0 / LENGTH_MS as f64),
    ]
}

fn ideal_admissions(table: &RateTable, arrivals: &[FleetArrival]) -> Vec<bool> {
    let mut buckets: BTreeMap<&AccountName, IdealBucket> =
        table.accounts.iter().map(|(name, limit)| (name, IdealBucket::new(*limit, 0))).collect();
    let admit = |arrival: &FleetArrival| {
        buckets.get_mut(&arrival.account).is_some_and(|it| it.admit(arrival.at, arrival.tokens))
    };
    arrivals.iter().map(admit).collect()
}

fn request_end(admitted: bool, at: u64) -> RequestEnd {
    if admitted { RequestEnd::Admitted(at) } else { RequestEnd::Refused(at) }
}

// The baseline in which each VM has an equal share of the rate and of the burst. The requests of a lost VM go to the
// next one.
fn split_ends(
    table: &RateTable,
    arrivals: &[FleetArrival],
    faults: &[FleetFault],
) -> Vec<RequestEnd> {
    let vm_limit = |limit: &RateConfig| RateConfig {
        tokens_per_second: limit.tokens_per_second / VMS as u64,
        burst_tokens: limit.burst_tokens / VMS as u64,
    };
    let mut buckets: BTreeMap<(usize, AccountName), IdealBucket> = (0..VMS)
        .flat_map(|vm| table.accounts.iter().map(move |(name, limit)| ((vm, name.clone()), limit)))
        .map(|(key, limit)| (key, IdealBucket::new(vm_limit(limit), 0)))
        .collect();
    let admit = |arrival: &FleetArrival| {
        let lost = faults
            .iter()
            .any(|fault| fault.kind == FaultKind::VmLoss(arrival.vm) && arrival.at >= fault.from);
        let vm = if lost { (arrival.vm + 1) % VMS } else { arrival.vm };
        let bucket = buckets.get_mut(&(vm, arrival.account.clone()));
        request_end(bucket.is_some_and(|it| it.admit(arrival.at, arrival.tokens)), arrival.at)
    };
    arrivals.iter().map(admit).collect()
}

// The baseline in which the first VM holds every bucket. While it is unreachable, no request is admitted, because a
// second holder would admit the same tokens again.
fn central_ends(
    table: &RateTable,
    arrivals: &[FleetArrival],
    faults: &[FleetFault],
) -> Vec<RequestEnd> {
    let mut buckets: BTreeMap<&AccountName, IdealBucket> =
        table.accounts.iter().map(|(name, limit)| (name, IdealBucket::new(*limit, 0))).collect();
    let admit = |arrival: &FleetArrival| {
        let is_unreachable =
            faults.iter().filter(|fault| fault.is_active(arrival.at)).any(|fault| {
                match fault.kind {
                    FaultKind::VmLoss(vm) => vm == 0,
                    FaultKind::IsolatedZone(zone) => arrival.vm / 3 == zone,
                    FaultKind::RestartAll => true,
                    _ => false,
                }
            });
        let bucket = buckets.get_mut(&arrival.account).filter(|_| !is_unreachable);
        request_end(bucket.is_some_and(|it| it.admit(arrival.at, arrival.tokens)), arrival.at)
    };
    arrivals.iter().map(admit).collect()
}

// Simulates short histories with random faults that occur alone, overlap or occur a second time.
fn random_histories(seed: u64) -> Vec<BenchRow> {
    let table = table(true);
    let (mut excess, mut simultaneous_holders, mut epoch_regressions) = (0, 0, 0);
    for history in 0..HISTORIES {
        let mut random = SeededRandom::new(seed.wrapping_mul(1_000_003).wrapping_add(history));
        let length = 20_000;
        let mut arrivals = Vec::new();
        for (account, limit) in &table.accounts {
            let mut at = 3_000;
            while at < length {
                let tokens = 1 + random.below(limit.burst_tokens / 3);
                at += 1 + random.below(tokens * 1_000 / limit.tokens_per_second + 1);
                let vm = random.below(6) as usize;
                arrivals.push(FleetArrival { at, vm, account: account.clone(), tokens });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        let spec = FleetSpec {
            seed: random.next_u64(),
            zones: vec![3, 2, 1],
            table: Arc::clone(&table),
            arrivals,
            faults: FleetFault::random(&mut random, 3, 6, length),
            length,
            tick: 40,
            vm_list_age: random.below(8_000),
            ..FleetSpec::default()
        };
        let violations = FleetSim::new(spec).run().violations;
        excess = excess.max(violations.excess.values().copied().max().unwrap_or(0));
        simultaneous_holders += violations.simultaneous_holders;
        epoch_regressions += violations.epoch_regressions;
    }
    let name = format!("{HISTORIES} random fault histories");
    let row = |measure, unit, value| BenchRow::new(name.as_str(), "product", measure, unit, value);
    vec![
        row("over-admission, worst window", "tokens", excess as f64).at_most(0.0),
        row("two holders of a shard", "observations", simultaneous_holders as f64).at_most(0.0),
        row("epochs that went back", "observations", epoch_regressions as f64).at_most(0.0),
    ]
}
