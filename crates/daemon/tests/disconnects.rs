//! Callers that disconnect, and callers that read slowly.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::mpsc::Receiver,
};

use godwitroad_base::RequestId;
use godwitroad_router::{CallerReply, RouterAction, RouterEvent};
use support::{chat, post_bytes, settings, start_scripted};
use yare::parameterized;

const ID: RequestId = RequestId { node: 1, serial: 2 };

fn event(number: u64, data: &str) -> RouterAction {
    RouterAction::Reply { id: ID, reply: CallerReply::Event { number, data: data.into() } }
}

fn wait_for(events: &Receiver<RouterEvent>, mut found: impl FnMut(&RouterEvent) -> bool) {
    while !found(&events.recv().unwrap()) {}
}

/// Guards against work that continues for a caller that disconnected, before or during the answer.
#[parameterized(
    before_the_answer = { false },
    during_the_answer = { true },
)]
fn a_disconnected_caller_is_reported(answered: bool) {
    let (daemon, events) = start_scripted(settings(), Vec::new(), move |input| match input {
        RouterEvent::Request(arrival) => {
            let mut actions =
                vec![RouterAction::Accepted { connection: arrival.connection, id: ID }];
            if answered {
                actions.push(event(1, "{}"));
            }
            actions
        }
        _ => Vec::new(),
    });
    let mut stream = TcpStream::connect(daemon.caller_address()).unwrap();
    stream.write_all(&post_bytes("/v1/chat/completions", "", &chat(true))).unwrap();
    wait_for(&events, |input| matches!(input, RouterEvent::Request(_)));
    if answered {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\n\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            seen.push(byte[0]);
        }
    }
    drop(stream);
    wait_for(&events, |input| matches!(input, RouterEvent::CallerLeft { id } if *id == ID));
}

/// Guards against a stream that stays paused because written bytes are not reported, or are reported twice.
#[parameterized(
    as_events = { true },
    in_one_piece = { false },
)]
fn written_bytes_are_reported_once(stream: bool) {
    let data = r#"{"choices": [{"index": 0, "delta": {"content": "text"}}]}"#;
    let (daemon, events) = start_scripted(settings(), Vec::new(), move |input| match input {
        RouterEvent::Request(arrival) => vec![
            RouterAction::Accepted { connection: arrival.connection, id: ID },
            event(1, data),
            event(2, data),
            event(3, data),
        ],
        RouterEvent::CallerDrained { .. } => {
            vec![RouterAction::Reply { id: ID, reply: CallerReply::End }]
        }
        _ => Vec::new(),
    });
    let response =
        support::post(daemon.caller_address(), "/v1/chat/completions", "", &chat(stream));
    assert_eq!((response.status, response.complete), (200, true));
    daemon.stop();
    let mut drained = 0;
    wait_for(&events, |input| {
        if let RouterEvent::CallerDrained { bytes, .. } = input {
            drained += bytes;
        }
        matches!(input, RouterEvent::Stop)
    });
    assert_eq!(drained, 3 * data.len() as u64);
}

/// Guards against unbounded buffering for a caller that reads nothing.
#[test]
fn a_caller_that_does_not_read_stops_the_writes() {
    // Far more than the socket buffers of a loopback connection hold.
    const EVENTS: u64 = 600;
    let data = "x".repeat(64 << 10);
    let size = data.len() as u64;
    let (daemon, events) = start_scripted(settings(), Vec::new(), move |input| match input {
        RouterEvent::Request(arrival) if arrival.path == "/probe" => {
            let id = RequestId { serial: 9, ..ID };
            let accepted = RouterAction::Accepted { connection: arrival.connection, id };
            vec![accepted, RouterAction::Reply { id, reply: CallerReply::End }]
        }
        RouterEvent::Request(arrival) => {
            let accepted = RouterAction::Accepted { connection: arrival.connection, id: ID };
            std::iter::once(accepted)
                .chain((1..=EVENTS).map(|number| event(number, &data)))
                .collect()
        }
        _ => Vec::new(),
    });
    let mut stream = TcpStream::connect(daemon.caller_address()).unwrap();
    stream.write_all(&post_bytes("/v1/chat/completions", "", &chat(true))).unwrap();
    wait_for(&events, |input| matches!(input, RouterEvent::CallerDrained { .. }));
    for _ in 0..20 {
        support::post(daemon.caller_address(), "/probe", "", "");
    }
    let count = |input: RouterEvent| match input {
        RouterEvent::CallerDrained { bytes, .. } => bytes,
        _ => 0,
    };
    let drained: u64 = events.try_iter().map(count).sum();
    assert!(drained < EVENTS * size / 2, "{drained} bytes drained by a caller who reads nothing");
}
