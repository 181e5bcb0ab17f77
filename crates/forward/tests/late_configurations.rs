//! Guards against requests that are handled by a configuration that the router knows to be replaced.

mod support;

use std::{net::IpAddr, sync::Arc};

use godwitroad_base::SeededRandom;
use godwitroad_forward::{ForwardEvent, GossipMessage, PeerPlace, RefusalReason, RelayPeer};
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

#[test]
fn a_router_that_starts_with_a_peer_s_configuration_isn_t_ready_before_it_has_listed_the_targets() {
    let mut own = TestRouter::new(settings("vm-1", 1));
    let proven = GossipMessage { proof_age_ms: Some(100), ..message_of(1, 2, 1) };
    own.receive(1_000, proven);
    own.handle(1_100, ForwardEvent::PeerRules(Arc::new(rules(2))));
    assert!(own.state.proof_age(at(1_100)).is_some(), "the peer's proof counts");
    assert!(own.state.readiness(at(1_100)).is_err());
    let refusal = own.state.admit(at(1_100), arrival("/any/x", Some("key-one"))).unwrap_err();
    assert_eq!((refusal.reason.status(), refusal.retry_after.is_some()), (503, true));
    own.handle(1_200, ForwardEvent::StoreAnswered { read_from: at(1_150) });
    assert!(own.state.readiness(at(1_200)).is_ok());
}

#[test]
fn a_proof_of_a_peer_from_before_the_start_doesn_t_count_as_one_from_the_start() {
    let mut own = TestRouter::new(settings("vm-1", 1));
    own.handle(10, ForwardEvent::Rules(Arc::new(rules(1))));
    own.receive(100, GossipMessage { proof_age_ms: Some(4_000), ..message_of(1, 1, 1) });
    let age = own.state.proof_age(at(200)).expect("the peer's proof");
    assert!(age.as_ms() >= 4_100, "{age:?}");
}

/// A fleet without the store, in which one router has read a change.
struct CutFleet {
    random: SeededRandom,
    places: Vec<PeerPlace>,
    routers: Vec<TestRouter>,
    messages: Vec<(u64, IpAddr, GossipMessage)>,
    // By router: when the read in progress ends, and the peer that is asked.
    reads: Vec<Option<(u64, RelayPeer)>>,
    loss: f64,
}

const STEP_MS: u64 = 20;
const MESSAGE_DELAY_MS: u64 = 60;
const READ_MS: u64 = 80;

fn fleet_place(number: usize) -> PeerPlace {
    let zone = ["a", "b", "c"][number % 3];
    let address = std::net::Ipv4Addr::new(10, 3, (number / 250) as u8, (number % 250) as u8 + 1);
    PeerPlace {
        vm: format!("vm-{number:03}").as_str().into(),
        zone: zone.into(),
        address: address.into(),
    }
}

impl CutFleet {
    fn new(seed: u64, routers: usize, loss: f64) -> CutFleet {
        let places: Vec<PeerPlace> = (0..routers).map(fleet_place).collect();
        let start = |number: usize| {
            let place = places[number].clone();
            let seed = seed + number as u64 + 1;
            let mut router = TestRouter::new(godwitroad_forward::ForwardSettings {
                place,
                seed,
                ..settings("vm", 1)
            });
            places
                .iter()
                .for_each(|place| router.handle(0, ForwardEvent::PeerListed(place.clone())));
            router.handle(0, ForwardEvent::Rules(Arc::new(rules(1))));
            router.handle(0, ForwardEvent::StoreAnswered { read_from: at(0) });
            router
        };
        CutFleet {
            random: SeededRandom::new(seed),
            routers: (0..routers).map(start).collect(),
            places,
            messages: Vec::new(),
            reads: vec![None; routers],
            loss,
        }
    }

    fn step(&mut self, now: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(time, ..)| *time <= now);
        self.messages = later;
        for (_, address, message) in due {
            let to = self.places.iter().position(|place| place.address == address);
            self.routers[to.expect("a router of the fleet")].receive(now, message);
        }
        for number in 0..self.routers.len() {
            if let Some(round) = self.routers[number].gossip_round(now) {
                for address in round.recipients {
                    if !self.random.chance(self.loss) {
                        let time = now + self.random.below(MESSAGE_DELAY_MS);
                        self.messages.push((time, address, round.message.clone()));
                    }
                }
            }
            self.read(now, number);
        }
    }

    fn read(&mut self, now: u64, number: usize) {
        match self.reads[number].take() {
            Some((end, peer)) if now < end => self.reads[number] = Some((end, peer)),
            Some((_, peer)) => {
                let from = self.places.iter().position(|place| place.vm == peer.vm);
                let rules = self.routers[from.expect("a peer")].state.rules().cloned();
                let own = &mut self.routers[number];
                match rules.filter(|_| !self.random.chance(self.loss)) {
                    Some(rules) => own.handle(now, ForwardEvent::PeerRules(rules)),
                    None => own.state.record_failed_config_read(at(now), &peer.vm),
                }
            }
            None => {
                let read = self.routers[number].state.begin_config_read(at(now));
                let peer = read.and_then(|read| read.peers.into_iter().next());
                self.reads[number] = peer.map(|peer| (now + READ_MS, peer));
            }
        }
    }
}

#[parameterized(
    nine = { 9, 0.0 },
    nine_with_losses = { 9, 0.3 },
    middle = { 97, 0.1 },
    large = { 295, 0.0 },
    large_with_losses = { 295, 0.3 },
)]
fn a_configuration_that_one_router_has_is_in_force_at_all_within_the_bound(
    routers: usize,
    loss: f64,
) {
    const CHANGED_AT: u64 = 1_000;
    for seed in 0..if routers > 100 { 1 } else { 5 } {
        let mut fleet = CutFleet::new(seed, routers, loss);
        for now in (STEP_MS..=CHANGED_AT + APPLY_BOUND_MS).step_by(STEP_MS as usize) {
            if now == CHANGED_AT {
                let reader = routers / 2;
                fleet.routers[reader].handle(now, ForwardEvent::Rules(Arc::new(rules(2))));
            }
            fleet.step(now);
        }
        let late: Vec<usize> = (0..routers)
            .filter(|number| fleet.routers[*number].state.config_version() < 2)
            .collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
    }
}
