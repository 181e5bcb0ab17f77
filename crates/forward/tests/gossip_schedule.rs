//! Guards against urgent messages that fill the links between regions: many routers of a large fleet have the same news at the
//! same time.

mod support;

use std::collections::BTreeSet;

use godwitroad_base::ClockSpan;
use godwitroad_forward::{ForwardEvent, PeerPlace};
use support::{TestRouter, at, router};

/// Returns a router in zone `a` of region `north`, which also has zone `b`, and peers in these and in zone `c` of region `south`.
fn router_with_peers(peers_per_zone: u8) -> TestRouter {
    let mut router = router(0);
    for (number, zone) in ["a", "b", "c"].iter().enumerate() {
        for last in 0..peers_per_zone {
            let vm = format!("vm-{zone}-{last}").as_str().into();
            let address = std::net::Ipv4Addr::new(10, 3, number as u8, last).into();
            let place = PeerPlace { vm, zone: (*zone).into(), address };
            router.handle(1, ForwardEvent::PeerListed(place));
        }
    }
    router
}

// Returns how many peers in each of the zones get a message.
fn counts(router: &TestRouter, round: u64, urgent: bool) -> [usize; 3] {
    let recipients: BTreeSet<_> =
        router.state.gossip_recipients(round, urgent).into_iter().collect();
    let in_zone = |number: u8| {
        let is_in = |address: &&std::net::IpAddr| match address {
            std::net::IpAddr::V4(address) => address.octets()[..3] == [10, 3, number],
            std::net::IpAddr::V6(_) => false,
        };
        recipients.iter().filter(is_in).count()
    };
    [in_zone(0), in_zone(1), in_zone(2)]
}

#[test]
fn urgent_messages_of_a_small_fleet_go_to_all() {
    let router = router_with_peers(5);
    assert_eq!(counts(&router, 1, true), [5, 5, 5]);
}

#[test]
fn urgent_messages_of_a_large_fleet_don_t_add_to_those_between_regions() {
    let mut router = router_with_peers(100);
    let regular = counts(&router, 1, false);
    assert_eq!(counts(&router, 1, true), regular, "a change of the store is told within the zone");
    assert_eq!(regular[0], 100);
    router.handle(2, ForwardEvent::Stop { grace: ClockSpan::from_secs(8) });
    let urgent = counts(&router, 1, true);
    assert_eq!(urgent, [100, 100, regular[2]], "what only this router knows is told in the region");
    // Each peer of the other region gets its turn.
    let rounds = 200 / 16 + 1;
    let told: usize = (0..rounds).map(|round| counts(&router, round, false)[2]).sum();
    assert!(told >= 100, "{told} of 100 in {rounds} rounds");
    assert!(regular[2] <= 8, "{regular:?} at {:?}", at(2));
}
