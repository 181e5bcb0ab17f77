//! Messages between two daemons.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::net::SocketAddr;

use godwitroad_daemon::settings::DaemonSettings;
use godwitroad_peers::PeerSecret;
use godwitroad_router::{PeerEndpoint, PeerMessage, RouterAction, RouterEvent};
use serde_json::json;
use support::{settings, start_scripted};

fn node(vm: &str) -> DaemonSettings {
    let peer_secret = PeerSecret::new("a-secret-of-enough-bytes");
    DaemonSettings { vm: vm.into(), peer_secret, ..settings() }
}

fn query(nonce: u64) -> PeerMessage {
    serde_json::from_value(json!({"sync": {"query": {"nonce": nonce}}})).unwrap()
}

/// Sends a request, to which the scripted state of the daemon reacts.
fn send_trigger_request(address: SocketAddr) {
    std::thread::spawn(move || support::exchange(address, &support::post_bytes("/plain", "", "")));
}

/// Guards against a message that is lost on its way from one router's state to another's.
#[test]
fn a_message_reaches_the_state_of_the_peer() {
    let (receiver, seen) = start_scripted(node("vm-b"), Vec::new(), |_| Vec::new());
    let place = PeerEndpoint {
        vm: "vm-b".into(),
        address: receiver.peer_address().to_string(),
        zone: Some("zone-a".into()),
        incarnation: None,
    };
    let (sender, _events) = start_scripted(node("vm-a"), Vec::new(), move |event| match event {
        RouterEvent::Request(_) => vec![
            RouterAction::Peers(vec![place.clone()]),
            RouterAction::Peer { to: "vm-b".into(), message: query(1) },
            RouterAction::Peer { to: "vm-unknown".into(), message: query(2) },
            RouterAction::Peer { to: "vm-b".into(), message: query(3) },
        ],
        _ => Vec::new(),
    });
    send_trigger_request(sender.caller_address());
    for nonce in [1, 3] {
        let (from, message) = loop {
            if let RouterEvent::Peer { from, message } = seen.recv().unwrap() {
                break (from, message);
            }
        };
        assert_eq!((from.vm.as_str(), message), ("vm-a", query(nonce)));
    }
}
