//! Tests of the links between routers over loopback sockets.
#![allow(clippy::unwrap_used, reason = "a panic in a helper function fails the test")]

use std::{net::SocketAddr, sync::Arc};

use godwitroad_base::{ClockSpan, NodeId};
use godwitroad_peers::{
    LinkScope, MessageQueue, PeerAddress, PeerEnvelope, PeerHub, PeerPayload, PeerSecret,
    PeerServer, PeerSettings, RetryBackoff, VersionRange,
};
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::mpsc,
};
use yare::parameterized;

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct TestMessage(u128);

impl PeerPayload for TestMessage {
    fn kind(&self) -> &'static str {
        "test"
    }
}

const SECRET: &str = "the-shared-secret-of-the-fleet";

fn settings(vm: &str, secret: &str, versions: (u32, u32)) -> PeerSettings {
    PeerSettings {
        node: NodeId::new(vm, 7),
        secret: PeerSecret::new(secret),
        versions: VersionRange { lowest: versions.0, highest: versions.1 },
        min_backoff: ClockSpan::from_ms(1),
        max_backoff: ClockSpan::from_ms(4),
        ..Default::default()
    }
}

type Received = mpsc::UnboundedReceiver<PeerEnvelope<TestMessage>>;

async fn serve(
    settings: PeerSettings,
    address: SocketAddr,
) -> (SocketAddr, Received, RunningServer) {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::unbounded_channel();
    let counters = Arc::default();
    let server = PeerServer::new(settings, Arc::clone(&counters), move |envelope| {
        sender.send(envelope).unwrap();
    });
    (address, receiver, RunningServer { task: tokio::spawn(server.run(listener)), counters })
}

struct RunningServer {
    task: tokio::task::JoinHandle<()>,
    counters: Arc<godwitroad_peers::PeerCounters>,
}

fn hub(settings: PeerSettings, address: SocketAddr, region: &str) -> PeerHub<TestMessage> {
    let hub = PeerHub::new(settings, Handle::current());
    hub.set_peers(vec![PeerAddress { vm: "vm-b".into(), region: region.into(), address }]);
    hub
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Guards against reordered messages, a wrong sender, and bytes that are counted for the wrong region.
#[tokio::test]
async fn messages_arrive_in_order_and_are_counted() {
    let (address, mut received, server) = serve(settings("vm-b", SECRET, (1, 1)), any_port()).await;
    let hub = hub(settings("vm-a", SECRET, (1, 1)), address, "region-z");
    for number in 0..1_000 {
        hub.send(&"vm-b".into(), TestMessage(u128::MAX - number));
    }
    for number in 0..1_000 {
        let envelope = received.recv().await.unwrap();
        assert_eq!(envelope.message, TestMessage(u128::MAX - number));
        assert_eq!(envelope.from, NodeId::new("vm-a", 7));
    }
    let incoming = server.counters.snapshot();
    assert_eq!(
        (incoming[0].0, incoming[0].1, incoming[0].2.received),
        ("test", LinkScope::OwnRegion, 1_000)
    );
    while hub.counters().snapshot().first().is_none_or(|row| row.2.sent < 1_000) {
        tokio::task::yield_now().await;
    }
    let outgoing = hub.counters().snapshot();
    assert_eq!(outgoing[0].1, LinkScope::OtherRegion);
    assert_eq!(outgoing[0].2.sent_bytes, incoming[0].2.received_bytes);
}

/// Guards against two releases that can't communicate during a rolling upgrade.
#[parameterized(
    same = { (1, 1), (1, 1), 1 },
    newer_caller = { (1, 3), (1, 2), 2 },
    newer_listener = { (2, 2), (1, 5), 2 },
)]
#[test_macro(tokio::test)]
async fn newest_common_version_is_negotiated(
    caller: (u32, u32),
    listener: (u32, u32),
    version: u32,
) {
    let (address, mut received, _server) =
        serve(settings("vm-b", SECRET, listener), any_port()).await;
    let hub = hub(settings("vm-a", SECRET, caller), address, "region-a");
    hub.send(&"vm-b".into(), TestMessage(1));
    assert_eq!(received.recv().await.unwrap().version, version);
}

/// Guards against messages to a peer with another secret, without a common protocol version, or on another VM.
#[parameterized(
    wrong_secret = { "another", (1, 1), "vm-b" },
    no_version = { SECRET, (2, 3), "vm-b" },
    other_vm = { SECRET, (1, 1), "vm-c" },
)]
#[test_macro(tokio::test)]
async fn peer_that_fails_the_handshake_receives_no_message(
    secret: &str,
    versions: (u32, u32),
    vm: &str,
) {
    let (mismatched, mut unexpected, _first) =
        serve(settings(vm, secret, versions), any_port()).await;
    let hub = hub(settings("vm-a", SECRET, (1, 1)), mismatched, "region-a");
    hub.send(&"vm-b".into(), TestMessage(1));
    // The same hub opens a link to a valid peer afterwards. When that peer has received its message, the first peer had
    // enough time to receive one.
    let (address, mut received, _second) =
        serve(settings("vm-d", SECRET, (1, 1)), any_port()).await;
    let peer = |vm: &str, address| PeerAddress { vm: vm.into(), region: "r".into(), address };
    hub.set_peers(vec![peer("vm-b", mismatched), peer("vm-d", address)]);
    hub.send(&"vm-d".into(), TestMessage(2));
    assert_eq!(received.recv().await.unwrap().message, TestMessage(2));
    assert!(unexpected.try_recv().is_err());
}

/// Guards against a secret that an eavesdropper or an impostor could read.
#[tokio::test]
async fn the_secret_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let _hub = hub(settings("vm-a", SECRET, (1, 1)), address, "region-a");
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut seen = vec![0; 2];
    stream.read_exact(&mut seen).await.unwrap();
    let mut hello = vec![0; usize::from(u16::from_be_bytes([seen[0], seen[1]]))];
    stream.read_exact(&mut hello).await.unwrap();
    // The impostor reflects the hello frame and sends an invalid MAC. It must receive nothing more.
    let mut answer = seen.clone();
    answer.extend_from_slice(&hello);
    answer.extend_from_slice(&[0, 32]);
    answer.extend_from_slice(&[9; 32]);
    stream.write_all(&answer).await.unwrap();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    assert!(!hello.windows(SECRET.len()).any(|window| window == SECRET.as_bytes()));
    assert!(!format!("{:?}", settings("vm-a", SECRET, (1, 1))).contains(SECRET));
}

/// Guards against invalid bytes from one connection that stop the server for other peers.
#[tokio::test]
async fn invalid_bytes_do_not_stop_the_server() {
    let (address, mut received, _server) =
        serve(settings("vm-b", SECRET, (1, 1)), any_port()).await;
    for bytes in [&b"\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b"\x00\x02{}", b""] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
    }
    let hub = hub(settings("vm-a", SECRET, (1, 1)), address, "region-a");
    hub.send(&"vm-b".into(), TestMessage(3));
    assert_eq!(received.recv().await.unwrap().message, TestMessage(3));
}

/// Guards against a link that stays closed after the peer has restarted.
#[tokio::test]
async fn link_reconnects_after_a_restart() {
    let (address, mut received, server) = serve(settings("vm-b", SECRET, (1, 1)), any_port()).await;
    let hub = hub(settings("vm-a", SECRET, (1, 1)), address, "region-a");
    hub.send(&"vm-b".into(), TestMessage(1));
    assert_eq!(received.recv().await.unwrap().message, TestMessage(1));
    server.task.abort();
    let _ = server.task.await;
    let (_, mut received, _server) = serve(settings("vm-b", SECRET, (1, 1)), address).await;
    // Messages may be lost with the old connection. As in production, the message is sent again until it is received.
    loop {
        hub.send(&"vm-b".into(), TestMessage(2));
        tokio::task::yield_now().await;
        if let Ok(envelope) = received.try_recv() {
            assert_eq!(envelope.message, TestMessage(2));
            break;
        }
    }
}

/// Guards against unbounded memory for an unreachable peer, and against dropped messages that aren't counted.
#[tokio::test]
async fn full_queue_counts_dropped_messages() {
    let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let small_queue = PeerSettings { queue_capacity: 3, ..settings("vm-a", SECRET, (1, 1)) };
    let hub = hub(small_queue, unused.local_addr().unwrap(), "region-a");
    for number in 0..10 {
        hub.send(&"vm-b".into(), TestMessage(number));
    }
    hub.send(&"vm-unknown".into(), TestMessage(0));
    assert_eq!(hub.counters().snapshot()[0].2.dropped, 8);
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct LargeMessage(String);

impl PeerPayload for LargeMessage {
    fn kind(&self) -> &'static str {
        "large"
    }
}

/// Guards against a batch larger than a frame, which would fail on every reconnect.
#[tokio::test]
async fn large_messages_are_split_over_frames() {
    let settings_with_small_frames =
        |vm| PeerSettings { max_frame_bytes: 64 << 10, ..settings(vm, SECRET, (1, 1)) };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut received) = mpsc::unbounded_channel();
    let server = PeerServer::<LargeMessage>::new(
        settings_with_small_frames("vm-b"),
        Arc::default(),
        move |envelope| {
            sender.send(envelope).unwrap();
        },
    );
    tokio::spawn(server.run(listener));
    let hub = PeerHub::new(settings_with_small_frames("vm-a"), Handle::current());
    hub.set_peers(vec![PeerAddress { vm: "vm-b".into(), region: "region-a".into(), address }]);
    hub.send(&"vm-b".into(), LargeMessage("x".repeat(64 << 10)));
    let messages: Vec<_> = (0..50).map(|number| LargeMessage(format!("{number:040000}"))).collect();
    for message in &messages {
        hub.send(&"vm-b".into(), message.clone());
    }
    for message in messages {
        assert_eq!(received.recv().await.unwrap().message, message);
    }
    assert_eq!(hub.counters().snapshot()[0].2.dropped, 1);
    assert_eq!(hub.counters().snapshot()[0].2.unconfirmed, 0);
}

proptest! {
    /// Guards against a full queue that drops other messages than the oldest ones.
    #[test]
    fn full_queue_keeps_the_newest_messages(limit in 1..20_usize, count in 0..60_usize) {
        let queue = MessageQueue::new(limit);
        let dropped: Vec<usize> =
            (0..count).filter_map(|number| queue.push(number)).map(|drop| drop.0).collect();
        let kept = queue.try_take(usize::MAX);
        prop_assert_eq!(dropped.into_iter().chain(kept.iter().copied()).collect::<Vec<_>>(), (0..count).collect::<Vec<_>>());
        prop_assert_eq!(kept.len(), limit.min(count));
    }

    /// Guards against waits outside the bounds, and against routers that reconnect at the same times.
    #[test]
    fn waits_stay_in_bounds_and_differ_by_seed(seed: u64) {
        let (min_wait, max_wait) = (ClockSpan::from_ms(50), ClockSpan::from_ms(5_000));
        let waits = |seed| {
            let mut backoff = RetryBackoff::new(min_wait, max_wait, seed);
            (0..12).map(|_| backoff.next_wait()).collect::<Vec<_>>()
        };
        prop_assert!(waits(seed).iter().all(|wait| (min_wait..=max_wait).contains(wait)));
        prop_assert_ne!(waits(seed), waits(seed.wrapping_add(1)));
    }
}
