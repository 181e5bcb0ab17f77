//! Whole requests that arrived, and aren't dropped because their connection is about to be closed.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail the test by a panic")]

mod support;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc::channel},
    thread::{self, sleep},
    time::Duration,
};

use serde_json::json;
use support::{KEY, Step, TestTarget, chat, daemon, done, event_head, token};
use yare::parameterized;

const PROBE: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

struct DaemonProcess {
    child: Child,
    callers: SocketAddr,
    _folder: tempfile::TempDir,
}

impl DaemonProcess {
    fn start() -> DaemonProcess {
        let folder = tempfile::tempdir().unwrap();
        let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let document = support::document(
            &["127.0.0.1:9".parse().unwrap()],
            &["127.0.0.1:10".parse().unwrap()],
        );
        let document_path = folder.path().join("config.json");
        std::fs::write(&document_path, serde_json::to_vec(&*document).unwrap()).unwrap();
        let settings = json!({
            "vm": "vm-1", "zone": "zone-a", "region": "region-a", "config_file": document_path, "balancer_wait_ms": 1,
            "listen": {"callers": free, "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        });
        let path = folder.path().join("settings.json");
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_godwitroad"));
        let mut child = command.arg("--settings").arg(path).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        assert!(lines.any(|line| line.unwrap().contains("ready: ")));
        thread::spawn(move || lines.for_each(drop));
        DaemonProcess { child, callers: free, _folder: folder }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// Returns the status of the next answer on a connection, if there is one.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).split(' ').nth(1)?.parse().ok()
}

/// Guards against a request that is dropped because its process finds it and the end of a time limit at the same time.
#[parameterized(
    first = { false, 10_000 },
    on_a_kept_connection = { true, 75_000 },
)]
fn a_request_within_the_time_limit_is_answered_by_a_process_that_stood_still(
    is_kept: bool,
    limit_ms: u64,
) {
    let process = DaemonProcess::start();
    let mut callers: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(process.callers).unwrap()).collect();
    if is_kept {
        for caller in &mut callers {
            caller.write_all(PROBE).unwrap();
            assert_eq!(read_status(caller), Some(200));
        }
    }
    sleep(Duration::from_millis(limit_ms - 1_500));
    process.signal("-STOP");
    for caller in &mut callers {
        caller.write_all(PROBE).unwrap();
    }
    sleep(Duration::from_millis(3_000));
    process.signal("-CONT");
    let statuses: Vec<Option<u16>> = callers.iter_mut().map(read_status).collect();
    assert_eq!(statuses, [Some(200); 4]);
}

/// Guards against a request that was read behind an open one, and is dropped when that one ends in a stop.
#[test]
fn a_stopping_daemon_answers_a_request_behind_an_open_stream() {
    let (releases, waiting) = channel();
    let waiting = Mutex::new(waiting);
    let target = TestTarget::start(move |seen| {
        if !seen.head.starts_with("POST") {
            return vec![Step::Write(support::head(200, "content-length: 0\r\n"))];
        }
        let release = waiting.lock().unwrap().try_recv();
        let wait = release.into_iter().map(Step::AwaitRelease);
        let start = [Step::Write(event_head()), Step::Write(token(1, "a"))];
        start.into_iter().chain(wait).chain([Step::Write(done())]).collect()
    });
    let handle = Arc::new(daemon(&[target.address], &[]));
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..4).map(|_| channel()).unzip();
    receivers.into_iter().for_each(|receiver| releases.send(receiver).unwrap());
    let body = chat(true);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut callers: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut caller = TcpStream::connect(handle.caller_address()).unwrap();
            caller.write_all(request.repeat(2).as_bytes()).unwrap();
            caller
        })
        .collect();
    sleep(Duration::from_millis(500));
    handle.stop();
    sleep(Duration::from_millis(500));
    drop(senders);
    let answers = callers.iter_mut().map(|caller| {
        let mut bytes = Vec::new();
        caller.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = caller.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    });
    let counts: Vec<usize> = answers.map(|text| text.matches("HTTP/1.1 ").count()).collect();
    assert_eq!(counts, [2; 4]);
}
