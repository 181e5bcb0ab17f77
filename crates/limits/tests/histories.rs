//! Whole histories of a fleet under faults, checked from outside.

#[path = "../../bench/src/fleet/mod.rs"]
#[allow(dead_code, missing_docs, unreachable_pub, unused_imports)]
mod fleet;

use std::sync::Arc;

use fleet::{
    FaultKind, FleetArrival, FleetFault, FleetResult, FleetSim, FleetSpec, RequestEnd, WrongVariant,
};
use godwitroad_base::{AccountName, SeededRandom};
use godwitroad_config::RateConfig;
use godwitroad_limits::RateTable;

const LENGTH: u64 = 20_000;

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

// Twice the rate, so that every bucket is empty at some time and every lost token would show.
fn arrivals(random: &mut SeededRandom, vms: u64) -> Vec<FleetArrival> {
    let mut arrivals = Vec::new();
    for (account, limit) in &table(1, 4).accounts {
        let mut at = 3_000;
        while at < LENGTH {
            let tokens = 1 + random.below(limit.burst_tokens / 4);
            at += random.below(tokens * 1_000 / limit.tokens_per_second + 2);
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
    assert!(result.faults.is_clean(), "seed {seed}, faults {faults:?}: {:?}", result.faults);
    result
}

fn admitted(result: &FleetResult) -> usize {
    result.ends.iter().filter(|end| matches!(end, RequestEnd::Admitted(_))).count()
}

/// Guards against over-admission, two holders and epochs that go back, under one to three random faults each.
#[test]
fn random_faults_break_nothing() {
    for seed in 0..200 {
        let result = assert_clean(random_spec(seed));
        assert!(admitted(&result) > 0, "seed {seed}: nothing was admitted");
    }
}

/// Guards against a fleet that is safe only because it admits nothing.
#[test]
fn a_quiet_fleet_admits_what_the_limits_allow() {
    let result = assert_clean(spec(7, Vec::new()));
    for (name, limit) in &table(1, 4).accounts {
        let used: u64 = result.logs[name].admitted.iter().map(|(_, tokens)| tokens).sum();
        let allowed = limit.tokens_per_second * (LENGTH - 3_000) / 1_000;
        assert!(used * 10 >= allowed * 9, "{name}: {used} of {allowed} tokens were admitted");
    }
}

/// Guards against checks that can't fail: wrong variants of the product must be found.
#[test]
fn wrong_variants_are_found() {
    let run = |wrong, seed| {
        let spec = FleetSpec { wrong: Some(wrong), ..random_spec(seed) };
        FleetSim::new(spec).run().faults
    };
    let twice = run(WrongVariant::RefillTwice, 1);
    assert!(!twice.excess.is_empty(), "a doubled refill was not found: {twice:?}");
    // A VM that reaches nobody is removed, and must have stopped when its successor starts.
    let alone = FleetFault { from: 5_000, until: 18_000, kind: FaultKind::VmAlone(0) };
    let found = (0..10).filter(|seed| {
        let spec = spec(*seed, vec![alone.clone()]);
        let wrong = Some(WrongVariant::IgnoreTerm);
        assert_clean(spec.clone());
        FleetSim::new(FleetSpec { wrong, ..spec }).run().faults.double_holders > 0
    });
    assert!(found.count() > 0, "a holder without a term was not found in 10 histories");
}

/// Guards against limits that a new generation raises or lowers beyond the larger of both.
#[test]
fn changed_limits_keep_the_bound() {
    for seed in 0..30 {
        let mut spec = random_spec(seed);
        spec.changes = vec![(6_000, table(2, 2)), (9_000, table(3, 6)), (14_000, table(4, 3))];
        assert_clean(spec);
    }
}
