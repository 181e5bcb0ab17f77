//! Guards against requests that are handled by a configuration that the router knows to be replaced.

mod support;

use std::sync::Arc;

use godwitroad_forward::{ForwardEvent, GossipMessage, RefusalReason};
use support::{TestRouter, arrival, at, place, router, rules, settings};
use yare::parameterized;

/// The operator's bound for the effect of a configuration.
const APPLY_BOUND_MS: u64 = 2_500;

// Returns the message of one of the other routers of a fleet.
fn message_of(number: usize, version: u64, sequence: u64) -> GossipMessage {
    let zone = ["a", "b", "c"][number % 3];
    let mut peer = TestRouter::new(settings("vm-peer", 2));
    peer.handle(0, ForwardEvent::Rules(Arc::new(rules(version))));
    GossipMessage {
        place: place(&format!("vm-peer-{number:03}"), zone, (number % 250) as u8 + 2),
        sequence,
        ..peer.gossip_message(0)
    }
}

// Passes on a round of messages of all peers of a fleet.
fn receive_round(router: &mut TestRouter, now: u64, routers: usize, version: u64) {
    (1..routers).for_each(|number| router.receive(now, message_of(number, version, now + 1)));
}

fn refusal(
    router: &mut TestRouter,
    now: u64,
    path: &str,
    key: Option<&str>,
) -> Option<RefusalReason> {
    router.state.admit(at(now), arrival(path, key)).err().map(|refusal| refusal.reason)
}

#[parameterized(
    nine_public = { 9, "/open/x", None },
    nine_keyed = { 9, "/any/x", Some("key-one") },
    large_public = { 295, "/open/x", None },
    large_keyed = { 295, "/any/x", Some("key-one") },
)]
fn a_router_that_knows_a_newer_configuration_doesn_t_serve_by_the_old_one_beyond_the_bound(
    routers: usize,
    path: &str,
    key: Option<&str>,
) {
    let mut own = router(0);
    receive_round(&mut own, 20, routers, 1);
    assert_eq!(refusal(&mut own, 30, path, key), None);
    // One peer has the change, which was confirmed after this router's last proof, and no read brings it here.
    for now in (100..=APPLY_BOUND_MS).step_by(200) {
        own.receive(now, message_of(1, 2, now + 1));
        own.handle(now, ForwardEvent::StoreFailed);
    }
    let refused = refusal(&mut own, APPLY_BOUND_MS, path, key);
    assert!(refused.is_some_and(|reason| reason.status() == 503), "{refused:?}");
}

#[parameterized(nine = { 9 }, large = { 295 })]
fn a_router_that_is_cut_off_from_all_serves_public_routes(routers: usize) {
    let mut own = router(0);
    receive_round(&mut own, 20, routers, 1);
    own.handle(5_000, ForwardEvent::StoreFailed);
    assert_eq!(refusal(&mut own, 30_000, "/open/x", None), None);
}

#[parameterized(nine = { 9 }, large = { 295 })]
fn a_router_with_a_recent_proof_serves_by_its_configuration_until_it_has_the_newer_one(
    routers: usize,
) {
    let mut own = router(0);
    own.handle(3_000, ForwardEvent::StoreAnswered { read_from: at(2_990) });
    receive_round(&mut own, 3_100, routers, 2);
    assert_eq!(refusal(&mut own, 3_500, "/open/x", None), None);
    assert_eq!(refusal(&mut own, 3_500, "/any/x", Some("key-one")), None);
}
