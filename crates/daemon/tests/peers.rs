//! Messages between two daemons.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::net::SocketAddr;

use godwitroad_daemon::settings::DaemonSettings;
use godwitroad_peers::PeerSecret;
use godwitroad_router::{PeerEndpoint, PeerMessage, RouterAction, RouterEvent};
use serde_json::json;
use support::{fake, settings};

fn node(vm: &str) -> DaemonSettings {
    let peer_secret = PeerSecret::new("a-secret-of-enough-bytes");
    DaemonSettings { vm: vm.into(), peer_secret, ..settings() }
}

fn query(nonce: u64) -> PeerMessage {
    serde_json::from_value(json!({"sync": {"query": {"nonce": nonce}}})).unwrap()
}

/// Asks a daemon with a fake state to react to a request.
fn poke(address: SocketAddr) {
    std::thread::spawn(move || support::exchange(address, &support::post_bytes("/plain", "", "")));
}

/// Guards against a message that is lost between the state, the link and the other state.
#[test]
fn a_message_reaches_the_state_of_the_peer() {
    let (receiver, seen) = fake(node("vm-b"), Vec::new(), |_| Vec::new());
    let place = PeerEndpoint {
        vm: "vm-b".into(),
        address: receiver.peer_address().to_string(),
        zone: Some("zone-a".into()),
        incarnation: None,
    };
    let (sender, _events) = fake(node("vm-a"), Vec::new(), move |event| match event {
        RouterEvent::Request(_) => vec![
            RouterAction::Peers(vec![place.clone()]),
            RouterAction::Peer { to: "vm-b".into(), message: query(1) },
            RouterAction::Peer { to: "vm-unknown".into(), message: query(2) },
            RouterAction::Peer { to: "vm-b".into(), message: query(3) },
        ],
        _ => Vec::new(),
    });
    poke(sender.caller_address());
    for nonce in [1, 3] {
        let (from, message) = loop {
            if let RouterEvent::Peer { from, message } = seen.recv().unwrap() {
                break (from, message);
            }
        };
        assert_eq!((from.vm.as_str(), message), ("vm-a", query(nonce)));
    }
}
