//! Tests of how peers are asked beside each other.

use std::time::Instant;

use actix_rt::{System, time::sleep};

use super::*;

// Asks peers of which each answers after a time in milliseconds, or with nothing. Returns the answer and the time it took.
fn ask(peers: &'static [(u64, Option<u32>)]) -> (Option<u32>, Duration) {
    let names: Vec<RelayPeer> = (0..peers.len())
        .map(|number| RelayPeer {
            vm: format!("{number}").as_str().into(),
            address: std::net::Ipv4Addr::LOCALHOST.into(),
        })
        .collect();
    let started = Instant::now();
    let answer = System::new().block_on(ask_peers(&names, |peer| {
        let number: usize = peer.vm.as_str().parse().expect("a number");
        let (delay, answer) = peers[number];
        async move {
            sleep(Duration::from_millis(delay)).await;
            answer
        }
    }));
    (answer, started.elapsed())
}

#[test]
fn a_silent_peer_does_not_hold_up_the_next_one() {
    let (answer, took) = ask(&[(60_000, Some(1)), (60_000, Some(2)), (10, Some(3))]);
    assert_eq!(answer, Some(3));
    assert!(took < Duration::from_secs(10), "{took:?}");
}

#[test]
fn a_peer_that_has_nothing_is_followed_at_once() {
    assert_eq!(ask(&[(1, None), (1, None), (1, Some(3))]).0, Some(3));
    assert_eq!(ask(&[(1, None), (1, None), (1, None)]).0, None);
    assert_eq!(ask(&[]).0, None);
}

#[test]
fn a_slow_answer_counts_although_the_others_have_nothing() {
    assert_eq!(ask(&[(300, Some(1)), (1, None), (1, None)]).0, Some(1));
}
