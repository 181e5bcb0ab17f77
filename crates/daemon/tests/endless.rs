//! Guards against engines whose answers to polls don't end: together they must not take the memory of the process, and other
//! engines must still be heard.
#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::mpsc::RecvTimeoutError,
    thread,
    time::{Duration, Instant},
};

use godwitroad_daemon::decision::PollTarget;
use godwitroad_router::RouterEvent;
use support::{Step, TestTarget, chunk, head, settings, start_scripted};

const FAULTY_ENGINES: usize = 8;

/// The bytes after which an answer without end stops all the same: more than one may take, and together far more than all may.
const ENDLESS_BYTES: usize = 64 << 20;

/// What the process may take beyond what it takes at rest, in KB: one large answer, twice while its buffer grows, and the
/// buffers of connections.
const MAX_GROWTH_KB: u64 = 100 * 1024;

fn peak_memory_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().split(' ').next().unwrap().parse().unwrap()
}

// Starts an engine that answers each request with a body that is never complete.
fn start_endless() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(&head(200, "transfer-encoding: chunked\r\n"));
                let part = chunk(&vec![b'x'; 64 << 10]);
                for _ in 0..ENDLESS_BYTES / part.len() {
                    if stream.write_all(&part).is_err() {
                        return;
                    }
                }
                // The body stays open until the daemon closes the connection.
                let _ = stream.read(&mut [0]);
            });
        }
    });
    address
}

fn polled(name: &str, address: SocketAddr) -> PollTarget {
    let address = address.to_string();
    PollTarget { name: name.into(), address, cache: true, resync_count: 0 }
}

#[test]
fn polled_answers_without_end_leave_memory_and_other_engines_alone() {
    let faulty: Vec<SocketAddr> = (0..FAULTY_ENGINES).map(|_| start_endless()).collect();
    let sound = TestTarget::start(|request| {
        let body = match request.head.starts_with("GET /load") {
            true => r#"{"incarnation": 3, "running": 2, "waiting": 1, "waiting_tokens": 9, "age_ms": 4}"#.into(),
            // More than an answer may have that is read without waiting for others.
            false => format!(
                r#"{{"incarnation": 3, "first": 5, "snapshot": true, "events": []}}{}"#,
                " ".repeat(100 << 10)
            ),
        };
        let length = format!("content-length: {}\r\n", body.len());
        vec![Step::Write([head(200, &length), body.into_bytes()].concat())]
    });
    let mut targets = vec![polled("sound", sound.address)];
    targets.extend(
        faulty.iter().enumerate().map(|(at, address)| polled(&format!("e-{at}"), *address)),
    );
    let before = peak_memory_kb();
    let (_daemon, events) = start_scripted(settings(), targets, |_| Vec::new());
    let end = Instant::now() + Duration::from_secs(6);
    let mut snapshots = 0;
    while Instant::now() < end {
        match events.recv_timeout(Duration::from_millis(100)) {
            Ok(RouterEvent::Cache { target, .. }) if target.as_str() == "sound" => snapshots += 1,
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => panic!("the daemon ended"),
        }
    }
    let growth = peak_memory_kb() - before;
    assert!(growth <= MAX_GROWTH_KB, "{growth} KB were taken");
    assert!(snapshots > 0, "the sound engine wasn't heard");
}
