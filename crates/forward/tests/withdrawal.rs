//! Simulates withdrawn keys: routers lose the store and each other, are suspended, and accept each other's freshness
//! proofs, while the operator withdraws keys. No request that arrives later than the operator's bound after a
//! withdrawal may be admitted. The danger is that a router counts a proof as newer than the state that it proves.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::SeededRandom;
use godwitroad_config::KeyHash;
use godwitroad_forward::{ForwardEvent, ForwardRules, GossipMessage};
use support::{TestRouter, arrival, at, place, rules, settings};
use yare::parameterized;

/// The operator's bound for withdrawals.
const WITHDRAWAL_BOUND_MS: u64 = 5_000;
const STEP_MS: u64 = 50;
const LENGTH_MS: u64 = 40_000;
const ROUTERS: usize = 4;
const KEYS: usize = 6;

struct Node {
    router: TestRouter,
    store_cut_until: u64,
    peers_cut_until: u64,
    suspended_until: u64,
    read_from: u64,
    next_read: u64,
    drained_at: u64,
}

struct Fleet {
    random: SeededRandom,
    nodes: Vec<Node>,
    version: u64,
    withdrawn: BTreeMap<String, u64>,
    messages: Vec<(u64, usize, GossipMessage)>,
}

fn key(index: usize) -> String {
    format!("key-{index}")
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut random = SeededRandom::new(seed);
        let nodes = (0..ROUTERS).map(|index| {
            let mut router = TestRouter::new(settings(&format!("vm-{index}"), index as u8 + 1));
            for other in 0..ROUTERS {
                let place = place(&format!("vm-{other}"), "a", other as u8 + 1);
                router.handle(0, ForwardEvent::PeerListed(place));
            }
            let next_read = random.below(500);
            Node {
                router,
                store_cut_until: 0,
                peers_cut_until: 0,
                suspended_until: 0,
                read_from: 0,
                next_read,
                drained_at: 0,
            }
        });
        let nodes = nodes.collect();
        Fleet { random, nodes, version: 1, withdrawn: BTreeMap::new(), messages: Vec::new() }
    }

    fn configuration(&self) -> Arc<ForwardRules> {
        let mut configuration = rules(self.version);
        configuration.keys = (0..KEYS)
            .map(key)
            .filter(|key| !self.withdrawn.contains_key(key))
            .map(|key| (KeyHash::of(&key), 0))
            .collect();
        Arc::new(configuration)
    }

    fn step(&mut self, now: u64) {
        if self.random.chance(0.01) && self.withdrawn.len() < KEYS {
            let key = key(self.random.below(KEYS as u64) as usize);
            self.withdrawn.entry(key).or_insert(now);
            self.version += 1;
        }
        for index in 0..ROUTERS {
            let length = 500 + self.random.below(9_000);
            let draw = self.random.fraction();
            let node = &mut self.nodes[index];
            if draw < 0.004 {
                node.store_cut_until = now + length;
            } else if draw < 0.008 {
                node.peers_cut_until = now + length;
            } else if draw < 0.010 {
                node.suspended_until = now + length;
            }
            self.read_store(now, index);
            self.exchange_gossip(now, index);
        }
    }

    // Starts a read; its answer arrives some time later with the configuration of that moment.
    fn read_store(&mut self, now: u64, index: usize) {
        let configuration = self.configuration();
        let wait = 20 + self.random.below(1_500);
        let node = &mut self.nodes[index];
        if now < node.suspended_until || now < node.next_read {
            return;
        }
        if now >= node.store_cut_until && node.read_from > 0 {
            node.router.handle(now, ForwardEvent::Rules(configuration));
            node.router.handle(now, ForwardEvent::StoreAnswered { read_from: at(node.read_from) });
        } else if node.read_from > 0 {
            node.router.handle(now, ForwardEvent::StoreFailed);
        }
        node.read_from = now.max(1);
        node.next_read = now + wait;
    }

    fn exchange_gossip(&mut self, now: u64, index: usize) {
        // Messages to a suspended router wait in its socket.
        let nodes = &self.nodes;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(time, to, _)| *time <= now && now >= nodes[*to].suspended_until);
        self.messages = later;
        for (time, to, message) in due {
            let node = &mut self.nodes[to];
            if time >= node.peers_cut_until {
                let arrived_after = at(node.drained_at);
                node.router.handle(
                    now,
                    ForwardEvent::Gossip { message: Box::new(message), arrived_after },
                );
            }
        }
        let node = &mut self.nodes[index];
        if now < node.suspended_until {
            return;
        }
        node.drained_at = now;
        if now < node.peers_cut_until || !now.is_multiple_of(200) {
            return;
        }
        let message = node.router.gossip_message(now);
        for to in (0..ROUTERS).filter(|to| *to != index) {
            let delay = self.random.below(200);
            self.messages.push((now + delay, to, message.clone()));
        }
    }

    // Returns the number of admitted requests, and those admitted too late after a withdrawal.
    fn send_requests(&mut self, now: u64) -> (usize, Vec<String>) {
        let (mut admitted, mut late) = (0, Vec::new());
        for node in self.nodes.iter_mut().filter(|node| now >= node.suspended_until) {
            for key in (0..KEYS).map(key) {
                if node.router.state.admit(at(now), arrival("/any/x", Some(&key))).is_err() {
                    continue;
                }
                admitted += 1;
                let since = self.withdrawn.get(&key).map(|since| now - since);
                if since.is_some_and(|since| since > WITHDRAWAL_BOUND_MS) {
                    late.push(format!("{key} at {now}, withdrawn {since:?} ms before"));
                }
            }
        }
        (admitted, late)
    }
}

#[parameterized(first = { 1 }, second = { 2 }, third = { 3 }, fourth = { 4 })]
fn no_withdrawn_key_works_after_the_bound(seed_block: u64) {
    let mut admitted = 0;
    for seed in seed_block * 100..seed_block * 100 + 25 {
        let mut fleet = Fleet::new(seed);
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            fleet.step(now);
            let (count, late) = fleet.send_requests(now);
            admitted += count;
            assert!(late.is_empty(), "seed {seed}: {late:?}");
        }
    }
    // Routers that refuse everything would pass the other check.
    assert!(admitted > 100_000, "{admitted} requests were admitted");
}

#[test]
fn a_proof_of_a_peer_is_accepted() {
    let mut cut = support::router(0);
    let mut peer = TestRouter::new(settings("vm-2", 2));
    peer.handle(0, ForwardEvent::Rules(Arc::new(rules(1))));
    for now in (0..20_000).step_by(200) {
        peer.handle(now, ForwardEvent::StoreAnswered { read_from: at(now) });
        let message = peer.gossip_message(now);
        cut.receive(now, message);
        let admitted = cut.state.admit(at(now), arrival("/any/x", Some("key-one")));
        assert!(admitted.is_ok(), "at {now}: {admitted:?}");
    }
}

#[test]
fn a_proof_of_a_peer_with_another_version_is_ignored() {
    let mut cut = support::router(0);
    let mut peer = TestRouter::new(settings("vm-2", 2));
    peer.handle(0, ForwardEvent::Rules(Arc::new(rules(2))));
    peer.handle(4_000, ForwardEvent::StoreAnswered { read_from: at(4_000) });
    let message = peer.gossip_message(4_000);
    cut.receive(4_000, message);
    assert!(cut.state.admit(at(5_000), arrival("/any/x", Some("key-one"))).is_err());
}
