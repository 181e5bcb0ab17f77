//! Tests that targets that fall over if they reject too many requests seldom do, and that their room is used, over histories of
//! fleets.

mod support;

use support::turning_fleet::{TurnFleet, TurnPlan};
use yare::parameterized;

/// The operator's rule: at most so many falls, and a tenth of the targets' number, in one time in which they are brittle.
const MAX_FALLS: usize = 2;

/// The part of the room that must be used while callers wait.
const MIN_USE: f64 = 0.7;

const BRITTLE: TurnPlan = TurnPlan {
    routers: 4,
    brittle: Some(5),
    room: 4,
    later_room: 2,
    answer_ms: 80,
    demand: 360.0,
    ..TurnPlan::CALM
};

fn play(name: &str, seed: u64, plan: TurnPlan) -> TurnFleet {
    let mut fleet = TurnFleet::new(seed, plan);
    fleet.run();
    println!(
        "{name} seed={seed} falls={} most_rejections={} used={:.3} fallen={:?}",
        fleet.falls.len(),
        fleet.most_rejections(),
        fleet.used_share(),
        fleet.falls,
    );
    fleet
}

#[parameterized(
    one_router = { TurnPlan { routers: 1, demand: 300.0, ..BRITTLE } },
    four_routers = { BRITTLE },
    nine_routers = { TurnPlan { routers: 9, ..BRITTLE } },
    more_callers = { TurnPlan { demand: 1_000.0, ..BRITTLE } },
    short_answers = { TurnPlan { answer_ms: 30, demand: 600.0, ..BRITTLE } },
    many_targets = { TurnPlan { routers: 9, targets: 20, demand: 2_000.0, ..BRITTLE } },
    few_rejections = { TurnPlan { brittle: Some(2), ..BRITTLE } },
    one_rejection = { TurnPlan { brittle: Some(1), ..BRITTLE } },
    larger_room = { TurnPlan { room: 12, later_room: 6, demand: 700.0, ..BRITTLE } },
    nothing_shrinks = { TurnPlan { later_room: 4, demand: 600.0, ..BRITTLE } },
)]
fn brittle_targets_seldom_fall_and_are_used(plan: TurnPlan) {
    for seed in 0..support::histories() {
        let fleet = play("shrinks", seed, plan);
        assert!(fleet.falls.len() <= MAX_FALLS + plan.targets / 10, "seed {seed}");
        assert!(fleet.used_share() >= MIN_USE, "seed {seed}: {} used", fleet.used_share());
    }
}

const FRAGILE: TurnPlan = TurnPlan { brittle: Some(1), ..BRITTLE };

#[parameterized(
    four_routers = { FRAGILE },
    nine_routers = { TurnPlan { routers: 9, ..FRAGILE } },
    larger_room = { TurnPlan { room: 12, later_room: 6, demand: 700.0, ..FRAGILE } },
    room_for_one = { TurnPlan { later_room: 1, ..FRAGILE } },
    room_grows = { TurnPlan { room: 2, later_room: 8, demand: 700.0, ..FRAGILE } },
    short_answers = { TurnPlan { answer_ms: 30, demand: 600.0, ..FRAGILE } },
    many_targets = { TurnPlan { routers: 9, targets: 20, demand: 2_000.0, ..FRAGILE } },
    few_callers = { TurnPlan { demand: 30.0, ..FRAGILE } },
    lost_gossip = { TurnPlan { loses_gossip: true, ..FRAGILE } },
    suspends = { TurnPlan { suspends: true, ..FRAGILE } },
    kills = { TurnPlan { kills: true, ..FRAGILE } },
    cuts = { TurnPlan { cuts: true, ..FRAGILE } },
    all = { TurnPlan { kills: true, suspends: true, cuts: true, loses_gossip: true, ..FRAGILE } },
    none = { TurnPlan { brittle: Some(0), ..FRAGILE } },
    none_of_nine_routers = { TurnPlan { brittle: Some(0), routers: 9, ..FRAGILE } },
)]
fn targets_that_bear_one_rejection_or_none_seldom_fall(plan: TurnPlan) {
    for seed in 0..support::histories() {
        let fleet = play("fragile", seed, plan);
        assert!(fleet.falls.len() <= MAX_FALLS + plan.targets / 10, "seed {seed}");
    }
}

#[parameterized(
    kills = { TurnPlan { kills: true, ..BRITTLE } },
    suspends = { TurnPlan { suspends: true, ..BRITTLE } },
    lost_gossip = { TurnPlan { loses_gossip: true, ..BRITTLE } },
    cuts = { TurnPlan { cuts: true, ..BRITTLE } },
    all = { TurnPlan { kills: true, suspends: true, cuts: true, loses_gossip: true, ..BRITTLE } },
    nine_routers = { TurnPlan { routers: 9, kills: true, suspends: true, cuts: true, loses_gossip: true, ..BRITTLE } },
)]
fn brittle_targets_seldom_fall_while_routers_fail(plan: TurnPlan) {
    for seed in 0..support::histories() {
        let fleet = play("faults", seed, plan);
        assert!(fleet.falls.len() <= MAX_FALLS + plan.targets / 10, "seed {seed}");
    }
}
