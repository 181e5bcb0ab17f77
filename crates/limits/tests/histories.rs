//! Simulates complete histories of a fleet under faults and checks the admitted tokens and the holders.

#[path = "../../bench/src/fleet/mod.rs"]
#[allow(dead_code, missing_docs, unreachable_pub, unused_imports)]
mod fleet;

use std::sync::Arc;

use fleet::{
    FaultKind, FleetArrival, FleetFault, FleetResult, FleetSim, FleetSpec, InjectedBug, RequestEnd,
};
use godwitroad_base::{AccountName, SeededRandom};
use godwitroad_config::RateConfig;
use godwitroad_limits::RateTable;

const LENGTH: u64 = 20_000;

// Returns three accounts, with `scale` quarters of their full rates and bursts.
fn table(generation: u64, scale: u64) -> Arc<RateTable> {
    let limits = [(2_000, 6_000), (400, 1_500), (9_000, 9_000)];
    let accounts = limits.iter().enumerate().map(|(index, (rate, burst))| {
        let limit =
            RateConfig { tokens_per_second: rate * scale / 4, burst_tokens: burst * scale / 4 };
        (AccountName::new(format!("account-{index}")), limit)
    });
    let zones = ["zone-a", "zone-b", "zone-c"].map(Into::into).to_vec();
    Arc::new(RateTable { generation, zones, accounts: accounts.collect() })
}

// Requests arrive at twice the rate, so that every bucket is exhausted at some time and lost tokens are detected.
fn arrivals(random: &mut SeededRandom, vms: u64) -> Vec<FleetArrival> {
    let mut arrivals = Vec::new();
    for (account, limit) in &table(1, 4).accounts {
        let mut at = 3_000;
        while at < LENGTH {
            let tokens = 1 + random.below(limit.burst_tokens / 4);
            at += random.below(tokens * 1_000 / limit.tokens_per_second + 2);
            // The smaller of two draws spreads the requests unevenly over the VMs.
            let vm = random.below(vms).min(random.below(vms)) as usize;
            arrivals.push(FleetArrival { at, vm, account: account.clone(), tokens });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn spec(seed: u64, faults: Vec<FleetFault>) -> FleetSpec {
    let mut random = SeededRandom::new(seed ^ 0x5eed);
    let table = table(1, 4);
    let arrivals = arrivals(&mut random, 6);
    FleetSpec {
        seed,
        zones: vec![3, 2, 1],
        table,
        arrivals,
        faults,
        length: LENGTH,
        tick: 40,
        ..FleetSpec::default()
    }
}

fn random_spec(seed: u64) -> FleetSpec {
    let mut random = SeededRandom::new(seed);
    spec(seed, FleetFault::random(&mut random, 3, 6, LENGTH))
}

fn assert_clean(spec: FleetSpec) -> FleetResult {
    let (seed, faults) = (spec.seed, spec.faults.clone());
    let result = FleetSim::new(spec).run();
    assert!(
        result.violations.is_clean(),
        "seed {seed}, faults {faults:?}: {:?}",
        result.violations
    );
    result
}

fn admitted(result: &FleetResult) -> usize {
    result.ends.iter().filter(|end| matches!(end, RequestEnd::Admitted(_))).count()
}

/// Guards against over-admission, two simultaneous holders and decreasing epochs, under one to three random faults.
#[test]
fn random_faults_keep_the_bound() {
    for seed in 0..200 {
        let result = assert_clean(random_spec(seed));
        assert!(admitted(&result) > 0, "seed {seed}: nothing was admitted");
    }
}

/// Guards against a fleet that keeps within its limits only by admitting too little.
#[test]
fn a_fleet_without_faults_admits_what_the_limits_allow() {
    let result = assert_clean(spec(7, Vec::new()));
    for (name, limit) in &table(1, 4).accounts {
        let used: u64 = result.logs[name].admitted.iter().map(|(_, tokens)| tokens).sum();
        let allowed = limit.tokens_per_second * (LENGTH - 3_000) / 1_000;
        assert!(used * 10 >= allowed * 9, "{name}: {used} of {allowed} tokens were admitted");
    }
}

/// Guards against checks that can't fail: they must detect deliberately wrong variants of the product.
#[test]
fn injected_bugs_are_detected() {
    let run = |injected_bug, seed| {
        let spec = FleetSpec { injected_bug: Some(injected_bug), ..random_spec(seed) };
        FleetSim::new(spec).run().violations
    };
    let twice = run(InjectedBug::DoubledRefill, 1);
    assert!(!twice.excess.is_empty(), "a doubled refill was not detected: {twice:?}");
    // An isolated VM is removed, and must have stopped when its successor starts.
    let alone = FleetFault { from: 5_000, until: 18_000, kind: FaultKind::IsolatedVm(0) };
    let found = (0..10).filter(|seed| {
        let spec = spec(*seed, vec![alone.clone()]);
        let injected_bug = Some(InjectedBug::IgnoredTerm);
        assert_clean(spec.clone());
        FleetSim::new(FleetSpec { injected_bug, ..spec }).run().violations.simultaneous_holders > 0
    });
    assert!(found.count() > 0, "a holder without a term was not detected in 10 histories");
}

/// Guards against admissions above the larger of the old and the new limits while a new generation takes effect.
#[test]
fn changed_limits_keep_the_bound() {
    for seed in 0..30 {
        let mut spec = random_spec(seed);
        spec.changes = vec![(6_000, table(2, 2)), (9_000, table(3, 6)), (14_000, table(4, 3))];
        assert_clean(spec);
    }
}

/// Guards against the limits of a lost zone that stay allocated forever, or that are reallocated while its tokens can
/// still be spent.
#[test]
fn the_share_of_a_lost_zone_is_reallocated() {
    let mut spec =
        spec(11, vec![FleetFault { from: 9_000, until: 9_001, kind: FaultKind::VmLoss(5) }]);
    // All requests go to the only VM of the third zone, which is therefore allocated nearly all of each limit.
    spec.arrivals.iter_mut().for_each(|arrival| arrival.vm = 5);
    let first = spec.arrivals.clone();
    let later =
        first.iter().map(|arrival| FleetArrival { at: arrival.at + 17_000, ..arrival.clone() });
    spec.arrivals.extend(later);
    spec.arrivals.sort_by_key(|arrival| arrival.at);
    spec.length = 2 * LENGTH;
    let result = assert_clean(spec);
    for (name, limit) in &table(1, 4).accounts {
        let late =
            result.logs[name].admitted.iter().filter(|(at, _)| (28_000..36_000).contains(at));
        let used: u64 = late.map(|(_, tokens)| tokens).sum();
        // At least 80 % of the rate over 8 s.
        assert!(used * 10 >= limit.tokens_per_second * 8 * 8, "{name}: {used} tokens in 8 s");
    }
}

/// Guards against state that is kept for accounts without requests.
#[test]
fn only_active_accounts_have_state() {
    let base = table(1, 4);
    let idle =
        (0..5_000).map(|index| (AccountName::new(format!("idle-{index}")), RateConfig::default()));
    let accounts = base.accounts.clone().into_iter().chain(idle).collect();
    let table = Arc::new(RateTable { accounts, ..(*base).clone() });
    let result = assert_clean(FleetSpec { table, length: 8_000, ..spec(3, Vec::new()) });
    for counters in &result.counters {
        assert!(counters.spent_accounts <= 3 && counters.held_accounts <= 3, "{counters:?}");
    }
}
