//! Tests of the path of calls to the store: when they are made through peers, and through which.

mod support;

use godwitroad_forward::{GossipMessage, StoreRoute};
use support::{TestRouter, at, place, router, settings};

// Returns a router and three peers, two of them in its availability zone, all of which the store answers.
fn routers() -> (TestRouter, Vec<TestRouter>) {
    let mut own = router(1_000);
    let peers = [("vm-7", "a", 7), ("vm-8", "a", 8), ("vm-9", "b", 9)];
    let mut peers: Vec<TestRouter> = peers
        .map(|(vm, zone, last)| {
            let mut settings = settings(vm, last);
            settings.place = place(vm, zone, last);
            TestRouter::new(settings)
        })
        .into();
    for router in peers.iter_mut().chain([&mut own]) {
        router.state.record_store_call(at(1_000), None, true);
    }
    receive(&mut own, &mut peers, 1_000);
    (own, peers)
}

fn receive(own: &mut TestRouter, peers: &mut [TestRouter], now: u64) {
    for peer in peers {
        let message = peer.gossip_message(now);
        own.receive(now, message);
    }
}

// Returns the VMs of the peers to ask, none for a direct call.
fn asked(own: &mut TestRouter, now: u64) -> Vec<String> {
    match own.state.plan_store_call(at(now)) {
        StoreRoute::Direct => Vec::new(),
        StoreRoute::Peers { peers, .. } => peers.iter().map(|peer| peer.vm.to_string()).collect(),
    }
}

#[test]
fn calls_go_through_peers_from_a_failure_until_a_direct_call_is_answered() {
    let (mut own, mut peers) = routers();
    assert!(asked(&mut own, 1_000).is_empty() && own.state.relays_store());
    own.state.record_store_call(at(1_100), None, false);
    assert!(!own.state.relays_store(), "there is one hop at most");
    let mut probes = 0;
    for now in (1_100..9_000).step_by(20) {
        receive(&mut own, &mut peers, now);
        let route = own.state.plan_store_call(at(now));
        assert_ne!(route, StoreRoute::Direct);
        probes += u32::from(matches!(route, StoreRoute::Peers { tries_direct: true, .. }));
        own.state.record_store_call(at(now), Some(&"vm-7".into()), true);
    }
    assert!((2..=4).contains(&probes), "{probes} direct calls in 8 s");
    own.state.record_store_call(at(9_000), None, true);
    assert!(asked(&mut own, 9_000).is_empty() && own.state.relays_store());
}

#[test]
fn only_peers_that_reach_the_store_are_asked_and_those_that_failed_last() {
    let (mut own, mut peers) = routers();
    own.state.record_store_call(at(1_000), None, false);
    let all = asked(&mut own, 1_000);
    assert!(all.len() == 3 && all[1] == "vm-9", "{all:?}");
    own.state.record_store_call(at(1_000), Some(&all[0].as_str().into()), false);
    for _ in 0..20 {
        assert_eq!(asked(&mut own, 1_000).last(), Some(&all[0]), "though none of them watches");
    }
    peers[0].state.record_store_call(at(1_050), None, false);
    receive(&mut own, &mut peers, 1_100);
    own.receive(1_200, GossipMessage { stopping: true, ..peers[1].gossip_message(1_200) });
    assert_eq!(asked(&mut own, 1_200), ["vm-9"]);
    // A peer of an earlier build doesn't say whether it reaches the store, and can't be asked.
    own.receive(1_300, GossipMessage { reaches_store: false, ..peers[2].gossip_message(1_300) });
    assert!(asked(&mut own, 1_300).is_empty(), "the call is direct if no peer can be asked");
}
