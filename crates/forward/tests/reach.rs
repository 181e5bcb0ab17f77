//! Tests of the paths to targets: when a target counts as out of reach, and which peers are asked then.

mod support;

use godwitroad_base::ClockSpan;
use godwitroad_forward::{DirectOutcome, ForwardAction, ForwardEvent, GossipMessage, ReachNotes};
use support::{TestRouter, at, place, router, settings, target};
use yare::parameterized;

const STARTED_MS: u64 = 1_000;

// Returns a router that knows three targets and three peers, two of them in its availability zone.
fn routers() -> (TestRouter, Vec<TestRouter>) {
    let mut own = router(1_000);
    for last in 1..=3 {
        let mut record = target(&format!("t-{last}"), "models", "a", last);
        record.started_ms = STARTED_MS;
        own.handle(1_000, ForwardEvent::Target(record));
    }
    let peers = [("vm-7", "a", 7), ("vm-8", "a", 8), ("vm-9", "b", 9)];
    let peers = peers.map(|(vm, zone, last)| {
        let mut settings = settings(vm, last);
        settings.place = place(vm, zone, last);
        TestRouter::new(settings)
    });
    (own, peers.into())
}

fn receive(own: &mut TestRouter, peers: &mut [TestRouter], now: u64) {
    for peer in peers {
        let message = peer.gossip_message(now);
        own.receive(now, message);
    }
}

fn lose(own: &mut TestRouter, now: u64, name: &str, direct: DirectOutcome) {
    let peer = "vm-7".into();
    own.state.record_lost_path(at(now), &name.into(), STARTED_MS, direct, &peer);
}

// Returns whether the router would connect to a target directly and without asking a peer meanwhile.
fn is_direct(own: &mut TestRouter, now: u64, name: &str) -> bool {
    let plan = own.state.plan_connect(at(now), &name.into(), STARTED_MS);
    plan.tries_direct && plan.peer_delay > Some(ClockSpan::ZERO)
}

#[test]
fn a_target_that_only_peers_reach_is_probed_until_it_is_back() {
    let (mut own, mut peers) = routers();
    receive(&mut own, &mut peers, 1_000);
    assert!(is_direct(&mut own, 1_000, "t-1"));
    lose(&mut own, 1_000, "t-1", DirectOutcome::Pending);
    let mut probes = 0;
    for now in (1_000..4_000).step_by(10) {
        receive(&mut own, &mut peers, now);
        assert!(!is_direct(&mut own, now, "t-1"));
        probes +=
            u32::from(own.state.plan_connect(at(now), &"t-1".into(), STARTED_MS).tries_direct);
    }
    assert!(probes <= 3, "{probes} probes in 3 s");
    own.state.record_direct_path(at(4_000), &"t-1".into());
    assert!(is_direct(&mut own, 4_000, "t-1"));
}

#[parameterized(
    one_of_three = { &["t-1"], None, false },
    two_of_three = { &["t-1", "t-2"], None, true },
    two_while_another_answers = { &["t-1", "t-2"], Some(1_500), false },
)]
fn a_router_is_cut_once_several_targets_are_out_of_reach_and_none_answers(
    lost: &[&str],
    answered_at: Option<u64>,
    expected: bool,
) {
    let (mut own, _) = routers();
    for name in lost {
        lose(&mut own, 1_400, name, DirectOutcome::Pending);
    }
    if let Some(now) = answered_at {
        own.state.record_direct_answer(at(now));
    }
    assert_eq!(own.state.is_cut_from_targets(), expected);
    assert_eq!(own.gossip_message(1_500).reach.is_cut, expected);
    own.state.record_direct_path(at(1_600), &"t-3".into());
    assert!(!own.state.is_cut_from_targets());
}

#[test]
fn a_target_that_started_again_counts_as_reached() {
    let (mut own, _) = routers();
    lose(&mut own, 1_000, "t-1", DirectOutcome::Failed);
    assert!(!is_direct(&mut own, 1_000, "t-1"));
    let mut record = target("t-1", "models", "a", 1);
    record.started_ms = STARTED_MS + 500;
    own.handle(1_100, ForwardEvent::Target(record));
    let plan = own.state.plan_connect(at(1_100), &"t-1".into(), STARTED_MS + 500);
    assert!(plan.tries_direct && plan.peer_delay > Some(ClockSpan::ZERO));
}

fn asked(own: &mut TestRouter, now: u64) -> Vec<String> {
    let peers = own.state.relay_peers(at(now), &"t-1".into());
    peers.into_iter().map(|peer| peer.vm.to_string()).collect()
}

#[test]
fn peers_that_failed_are_asked_last() {
    let (mut own, mut peers) = routers();
    receive(&mut own, &mut peers, 1_000);
    for peer in ["vm-7", "vm-8"] {
        own.state.record_failed_peer(at(1_000), &peer.into());
    }
    assert_eq!(asked(&mut own, 1_100)[0], "vm-9");
    receive(&mut own, &mut peers, 3_100);
    assert_ne!(asked(&mut own, 3_100)[0], "vm-9");
}

#[test]
fn a_target_to_which_no_router_can_connect_fails_at_once_until_a_probe_succeeds() {
    let (mut own, mut peers) = routers();
    let mut plan = |now, failed: &[&str]| {
        receive(&mut own, &mut peers, now);
        if !failed.is_empty() {
            let failed = failed.iter().map(|peer| (*peer).into()).collect();
            own.state.record_unreachable(at(now), &"t-1".into(), failed);
        }
        own.state.plan_connect(at(now), &"t-1".into(), STARTED_MS)
    };
    assert!(plan(1_000, &["vm-7", "vm-8"]).peer_delay.is_some(), "one peer wasn't asked");
    let first = plan(1_100, &["vm-9"]);
    assert!(first.peer_delay.is_none() && first.tries_direct);
    let second = plan(1_200, &[]);
    assert!(second.peer_delay.is_none() && !second.tries_direct);
    assert!(plan(3_200, &[]).peer_delay.is_some());
}

#[test]
fn peers_are_asked_for_a_target_that_closes_new_connections_until_one_lasts() {
    let (mut own, _) = routers();
    own.state.record_closed_path(&"t-1".into());
    assert!(is_direct(&mut own, 1_000, "t-1"));
    own.state.record_closed_path(&"t-1".into());
    assert!(!is_direct(&mut own, 1_000, "t-1"));
    own.state.record_direct_path(at(1_100), &"t-1".into());
    assert!(is_direct(&mut own, 1_100, "t-1"));
}

#[test]
fn only_peers_that_reach_the_target_are_asked_and_the_nearest_first() {
    let (mut own, mut peers) = routers();
    receive(&mut own, &mut peers, 1_000);
    let all = asked(&mut own, 1_000);
    assert!(
        all.len() == 3 && all[1] == "vm-9",
        "one of the own zone, then one of another: {all:?}"
    );
    let cut = ReachNotes { is_cut: true, ..ReachNotes::default() };
    own.receive(1_100, GossipMessage { reach: cut, ..peers[0].gossip_message(1_100) });
    own.actions.clear();
    own.receive(1_100, GossipMessage { stopping: true, ..peers[1].gossip_message(1_100) });
    own.receive(1_110, GossipMessage { stopping: true, ..peers[1].gossip_message(1_110) });
    let closes = own.actions.iter().filter(|action| **action == ForwardAction::CloseRelays);
    assert_eq!(closes.count(), 1);
    assert_eq!(asked(&mut own, 1_100), ["vm-9"]);
    assert!(asked(&mut own, 9_000).is_empty(), "no peer was heard of lately");
}

#[test]
fn a_router_relays_only_to_listed_runs_that_it_reaches_itself() {
    let (mut own, _) = routers();
    let relayed = |own: &TestRouter, name: &str, started_ms| {
        own.state.relay_target(&name.into(), started_ms).is_some()
    };
    assert!(relayed(&own, "t-1", STARTED_MS));
    assert!(!relayed(&own, "t-1", STARTED_MS + 1));
    assert!(!relayed(&own, "t-9", STARTED_MS));
    lose(&mut own, 1_000, "t-1", DirectOutcome::Pending);
    assert!(!relayed(&own, "t-1", STARTED_MS));
}
