//! Scripted targets, callers and decision states for tests over loopback sockets.
#![allow(
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "helpers fail a test by a panic, and each test file uses some of them"
)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
};

use godwitroad_base::ClockTime;
use godwitroad_config::{ConfigDocument, KeyHash};
use godwitroad_daemon::{
    app::{self, AppHandle, AppListeners, AppOptions},
    decision::{DecisionState, PollTarget},
    settings::DaemonSettings,
};
use godwitroad_router::{RouterAction, RouterEvent};
use serde_json::json;

pub const KEY: &str = "sk-7f3a-secret-of-the-caller";

/// A request as received by a target.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub head: String,
    pub body: String,
    pub connection: usize,
}

impl SeenRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.filter(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    pub fn head_and_body(&self) -> String {
        format!("{}\n{}", self.head, self.body)
    }
}

/// An address that refuses connections and that no other listener can bind while this value exists.
pub struct ClosedAddress {
    pub address: SocketAddr,
    _listener: TcpListener,
    _stream: TcpStream,
}

impl ClosedAddress {
    pub fn new() -> ClosedAddress {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // The client side of a connection occupies its port without listening on it.
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let address = stream.local_addr().unwrap();
        ClosedAddress { address, _listener: listener, _stream: stream }
    }
}

/// An action of a target after it received a request.
pub enum Step {
    Write(Vec<u8>),
    /// Waits until the test sends a message.
    AwaitRelease(Receiver<()>),
    /// Waits until the daemon closes the connection, and notifies the test.
    AwaitClose(Sender<()>),
    /// Closes the connection.
    Close,
}

/// A target that follows a script and records the requests that it received.
pub struct TestTarget {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl TestTarget {
    pub fn start(script: impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static) -> TestTarget {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (script, shared) = (Arc::new(script), seen.clone());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let (script, seen) = (script.clone(), shared.clone());
                thread::spawn(move || {
                    while let Some(request) = parse_request(&stream, connection) {
                        seen.lock().unwrap().push(request.clone());
                        if !run_steps(&stream, script(&request)) {
                            let _ = stream.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        TestTarget { address, seen }
    }

    pub fn requests(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap().clone()
    }
}

fn run_steps(mut stream: &TcpStream, steps: Vec<Step>) -> bool {
    for step in steps {
        match step {
            Step::Write(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return false;
                }
            }
            Step::AwaitRelease(release) => {
                let _ = release.recv();
            }
            Step::AwaitClose(closed) => {
                while matches!(stream.read(&mut [0; 64]), Ok(size) if size > 0) {}
                let _ = closed.send(());
            }
            Step::Close => return false,
        }
    }
    true
}

fn parse_request(stream: &TcpStream, connection: usize) -> Option<SeenRequest> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line.replace("\r\n", "\n"));
    }
    let request = SeenRequest { head, body: String::new(), connection };
    let length = request.header("content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(SeenRequest { body: String::from_utf8_lossy(&body).into_owned(), ..request })
}

pub fn head(status: u16, headers: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}\r\n").into_bytes()
}

pub fn event_head() -> Vec<u8> {
    head(200, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n")
}

pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

pub fn token(index: u64, text: &str) -> Vec<u8> {
    let data = json!({
        "id": "x", "object": "chat.completion.chunk", "model": "m", "token_index": index,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    chunk(format!("data: {data}\n\n").as_bytes())
}

pub fn done() -> Vec<u8> {
    let mut bytes = chunk(b"data: [DONE]\n\n");
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Returns a complete engine answer with the given tokens.
pub fn answer(texts: &[&str]) -> Vec<u8> {
    let mut bytes = event_head();
    for (index, text) in texts.iter().enumerate() {
        bytes.extend(token(index as u64, text));
    }
    bytes.extend(done());
    bytes
}

/// Returns a configuration with one engine service, and one plain service at `/plain` and `/once`.
pub fn document(engines: &[SocketAddr], plain: &[SocketAddr]) -> Arc<ConfigDocument> {
    let targets = |name: &str, addresses: &[SocketAddr]| {
        let target = |(index, address): (usize, &SocketAddr)| json!({"name": format!("{name}-{index}"), "zone": "zone-a", "address": address.to_string()});
        addresses.iter().enumerate().map(target).collect::<Vec<_>>()
    };
    let value = json!({
        "regions": [{"name": "region-a", "zones": ["zone-a"]}],
        "models": [{"name": "m", "version": "1"}],
        "services": [
            {"name": "engines", "kind": "engine", "models": ["m"], "targets": targets("e", engines)},
            {"name": "plain", "kind": "plain", "targets": targets("p", plain)},
        ],
        "accounts": [{
            "name": "account",
            "rate": {"tokens_per_second": 1_000_000, "burst_tokens": 1_000_000},
            "keys": [{"name": "key", "hash": KeyHash::of(KEY).to_string()}],
        }],
        "routes": [
            {"name": "engines", "path": "/v1", "service": "engines"},
            {"name": "plain", "path": "/plain", "service": "plain"},
            {"name": "once", "path": "/once", "service": "plain", "repeat": "run_once"},
        ],
    });
    Arc::new(serde_json::from_value(value).unwrap())
}

pub fn settings() -> DaemonSettings {
    DaemonSettings {
        balancer_wait: godwitroad_base::ClockSpan::from_ms(1),
        load_poll_interval: godwitroad_base::ClockSpan::from_ms(20),
        log: godwitroad_daemon::settings::LogOptions {
            level: godwitroad_daemon::settings::LogLevel::Error,
            ..Default::default()
        },
        ..Default::default()
    }
}

pub fn options(settings: DaemonSettings, document: Option<Arc<ConfigDocument>>) -> AppOptions {
    let listeners = AppListeners::bind(&settings).unwrap();
    AppOptions { settings, listeners, incarnation: 1, document }
}

/// Starts a daemon with the production decision state and waits until it is ready.
pub fn daemon(engines: &[SocketAddr], plain: &[SocketAddr]) -> AppHandle {
    let handle = app::start(options(settings(), Some(document(engines, plain)))).unwrap();
    while get(handle.operator_address(), "/readyz").status != 200 {
        thread::yield_now();
    }
    handle
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct SeenResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

impl SeenResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.filter(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value).next()
    }

    pub fn error(&self) -> serde_json::Value {
        serde_json::from_str::<serde_json::Value>(&self.body).unwrap()["error"].take()
    }

    /// Returns the values of one field of all events.
    pub fn fields(&self, name: &str) -> Vec<&str> {
        let prefix = format!("{name}: ");
        self.body.lines().filter_map(|line| line.strip_prefix(prefix.as_str())).collect()
    }

    /// Returns the concatenated token texts of a stream.
    pub fn text(&self) -> String {
        let events = self.fields("data").into_iter().filter_map(|data| {
            let event: serde_json::Value = serde_json::from_str(data).ok()?;
            Some(event["choices"][0]["delta"]["content"].as_str()?.to_string())
        });
        events.collect()
    }
}

/// Sends raw bytes and reads the response until the daemon closes the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> SeenResponse {
    let mut stream = TcpStream::connect(address).unwrap();
    // The daemon may answer and close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut raw = Vec::new();
    let _ = stream.read_to_end(&mut raw);
    parse_response(&raw)
}

pub fn parse_response(raw: &[u8]) -> SeenResponse {
    let split = raw.windows(4).position(|window| window == b"\r\n\r\n").expect("a response head");
    let head = String::from_utf8_lossy(&raw[..split]).into_owned();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let mut body = raw[split + 4..].to_vec();
    let mut complete = true;
    if head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        (body, complete) = unchunk(&body);
    }
    SeenResponse { status, head, body: String::from_utf8_lossy(&body).into_owned(), complete }
}

fn unchunk(mut raw: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = raw.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&raw[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        let Some(part) = raw.get(end + 2..end + 2 + size) else { break };
        body.extend_from_slice(part);
        raw = raw.get(end + 4 + size..).unwrap_or_default();
    }
    (body, false)
}

pub fn get(address: SocketAddr, path: &str) -> SeenResponse {
    exchange(
        address,
        format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").as_bytes(),
    )
}

pub fn post_bytes(path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

pub fn post(address: SocketAddr, path: &str, headers: &str, body: &str) -> SeenResponse {
    exchange(address, &post_bytes(path, headers, body))
}

pub fn chat(stream: bool) -> String {
    json!({"model": "m", "stream": stream, "messages": [{"role": "user", "content": "hello"}]})
        .to_string()
}

/// A decision state that sends each event to the test and gets its actions from a function.
pub struct ScriptedState<F> {
    pub react: F,
    pub events: Sender<RouterEvent>,
    pub polled: Vec<PollTarget>,
}

impl<F> DecisionState for ScriptedState<F>
where
    F: FnMut(&RouterEvent) -> Vec<RouterAction> + Send,
{
    fn handle(&mut self, _: ClockTime, event: RouterEvent, actions: &mut Vec<RouterAction>) {
        if matches!(event, RouterEvent::Tick) {
            return;
        }
        actions.extend((self.react)(&event));
        let _ = self.events.send(event);
    }

    fn readiness(&self) -> Result<(), &'static str> {
        Ok(())
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        self.polled.clone()
    }
}

/// Starts a daemon with a scripted state; the receiver gets all events except ticks.
pub fn start_scripted(
    settings: DaemonSettings,
    polled: Vec<PollTarget>,
    react: impl FnMut(&RouterEvent) -> Vec<RouterAction> + Send + 'static,
) -> (AppHandle, Receiver<RouterEvent>) {
    let (events, event_receiver) = channel();
    let state = ScriptedState { react, events, polled };
    (app::start_with(options(settings, None), Box::new(state)).unwrap(), event_receiver)
}
