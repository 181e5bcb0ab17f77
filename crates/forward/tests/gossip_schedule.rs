//! Guards against messages that come later than promised, and against urgent ones that fill the links between regions: many
//! routers of a large fleet have the same news at the same time.

mod support;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
};

use godwitroad_base::{SeededRandom, StoreEra, StoreRevision};
use godwitroad_config::KeyHash;
use godwitroad_forward::{ForwardArrival, ForwardEvent, ForwardRules, GossipRound, PeerPlace};
use support::{TestRouter, account, arrival, at, router, rules};
use yare::parameterized;

const ZONES: [&str; 3] = ["a", "b", "c"];
const ACCOUNTS: usize = 100;

fn place_in(zone: usize, last: u8) -> PeerPlace {
    let vm = format!("vm-{}-{last}", ZONES[zone]).as_str().into();
    let address = Ipv4Addr::new(10, 3, zone as u8, last).into();
    PeerPlace { vm, zone: ZONES[zone].into(), address }
}

/// Returns a router in zone `a` of region `north`, which also has zone `b`, and peers in these and in zone `c` of region `south`.
fn router_with_peers(peers_per_zone: u8) -> TestRouter {
    let mut router = router(0);
    let accounts = (0..ACCOUNTS).map(|number| Arc::new(account(&format!("a-{number}"), 100)));
    let hash_of = |number: usize| KeyHash::of(&format!("key-{number}"));
    let keys = (0..ACCOUNTS).map(|number| (hash_of(number), number)).collect();
    let configuration = ForwardRules { accounts: accounts.collect(), keys, ..rules(2) };
    router.handle(0, ForwardEvent::Rules(Arc::new(configuration)));
    for zone in 0..ZONES.len() {
        for last in 0..peers_per_zone {
            router.handle(1, ForwardEvent::PeerListed(place_in(zone, last)));
        }
    }
    router
}

// Returns how many peers in each of the zones get a message.
fn counts(recipients: &[IpAddr]) -> [usize; 3] {
    let zone_of = |address: &IpAddr| match address {
        IpAddr::V4(address) => address.octets()[2],
        IpAddr::V6(_) => u8::MAX,
    };
    [0, 1, 2].map(|zone| recipients.iter().filter(|address| zone_of(address) == zone).count())
}

fn next_round(router: &mut TestRouter) -> (u64, GossipRound) {
    let now = router.state.next_gossip();
    (now.as_ms(), router.gossip_round(now.as_ms()).expect("a round that is due"))
}

fn next_urgent_round(router: &mut TestRouter) -> (u64, GossipRound) {
    let mut rounds = (0..4).map(|_| next_round(router));
    rounds.find(|(_, round)| round.is_urgent).expect("an urgent round")
}

// Uses the whole limit of an account, which only this router can tell its peers.
fn use_up_limit(router: &mut TestRouter, now: u64, account: u64) {
    let key = format!("key-{account}");
    let arrival = ForwardArrival { tokens: Some((500, 0)), ..arrival("/any/x", Some(&key)) };
    // An account that was used before may have nothing left.
    let _ = router.state.admit(at(now), arrival);
}

fn change_store(router: &mut TestRouter, now: u64, revision: u64) {
    router.handle(now, ForwardEvent::PeerRemoved("vm-gone".into()));
    router.handle(
        now,
        ForwardEvent::StoreChanged { revision: StoreRevision::new(StoreEra::default(), revision) },
    );
}

#[test]
fn urgent_messages_of_a_small_fleet_go_to_all() {
    let mut router = router_with_peers(5);
    let (now, _) = next_round(&mut router);
    use_up_limit(&mut router, now, 0);
    let (urgent_at, urgent) = next_round(&mut router);
    assert!(urgent.is_urgent && urgent_at == now + 20, "at {urgent_at} after {now}");
    assert_eq!(counts(&urgent.recipients), [5, 5, 5]);
}

#[test]
fn urgent_messages_of_a_large_fleet_don_t_add_to_those_between_regions() {
    let mut router = router_with_peers(100);
    let (now, first) = next_round(&mut router);
    let regular = counts(&first.recipients);
    assert!(!first.is_urgent && regular[0] == 100 && regular[2] <= 8, "{regular:?}");
    change_store(&mut router, now, 5);
    let (now, changed) = next_urgent_round(&mut router);
    assert_eq!(counts(&changed.recipients), regular, "a change of the store is told in the zone");
    use_up_limit(&mut router, now, 0);
    let (_, used) = next_urgent_round(&mut router);
    let told = [100, 100, regular[2]];
    assert_eq!(counts(&used.recipients), told, "own news is told in the region");
}

#[test]
fn news_in_a_regular_message_is_still_told_to_the_region() {
    let mut router = router_with_peers(100);
    next_round(&mut router);
    use_up_limit(&mut router, 0, 0);
    let (now, _) = next_urgent_round(&mut router);
    // The pause until the next urgent round is longer than the interval of regular ones.
    use_up_limit(&mut router, now, 1);
    let (regular_at, regular) = next_round(&mut router);
    assert!(!regular.is_urgent && regular_at == now + 200, "at {regular_at} after {now}");
    let (urgent_at, urgent) = next_round(&mut router);
    assert!(urgent.is_urgent && urgent_at == regular_at + 200, "at {urgent_at}");
    assert_eq!(counts(&urgent.recipients)[1], 100);
}

#[parameterized(few = { 3 }, some = { 20 }, more = { 33 }, large = { 98 })]
fn each_peer_hears_from_a_router_within_the_period_that_it_promises(peers_per_zone: u8) {
    const MAX_DELAY_MS: u64 = 60;
    let mut random = SeededRandom::new(u64::from(peers_per_zone));
    let mut router = router_with_peers(peers_per_zone);
    // When each peer was last told, and by when it was promised the next message.
    let mut promised: BTreeMap<IpAddr, (u64, u64)> = BTreeMap::new();
    let (mut now, mut rounds, mut accounts) = (0, 0, 0);
    while now < 30_000 {
        let due = router.state.next_gossip().as_ms();
        now = due.max(now) + random.below(MAX_DELAY_MS);
        let Some(round) = router.gossip_round(now) else { continue };
        rounds += 1;
        for address in &round.recipients {
            let is_own_zone = counts(&[*address])[0] == 1;
            let period = if is_own_zone { 200 } else { u64::from(round.message.period_ms) };
            let next = now + period + MAX_DELAY_MS;
            if let Some((told, by)) = promised.insert(*address, (now, next)) {
                assert!(now <= by, "{address} at {now}, before at {told}, promised by {by}");
            }
        }
        if random.chance(0.2) {
            change_store(&mut router, now, rounds);
        }
        if random.chance(0.05) {
            accounts += 1;
            use_up_limit(&mut router, now, accounts % ACCOUNTS as u64);
        }
        // A peer is replaced: it leaves, and another one joins.
        if random.chance(0.1) {
            let place =
                place_in(random.below(3) as usize, random.below(peers_per_zone.into()) as u8);
            promised.remove(&place.address);
            router.handle(now, ForwardEvent::PeerRemoved(place.vm));
            let added = place_in(random.below(3) as usize, 100 + random.below(100) as u8);
            router.handle(now, ForwardEvent::PeerListed(added));
        }
    }
    assert!(
        promised.values().all(|(_, by)| now <= *by),
        "some peers are no longer told: {promised:?}"
    );
    assert!(rounds > 100);
}
