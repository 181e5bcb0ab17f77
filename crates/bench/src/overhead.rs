//! The `overhead` experiment: the latency that a daemon adds to the first token, compared with direct requests to the
//! same engine.
//!
//! The stand-in engine, the daemon and the callers run in one process, connect over loopback and share the cores.
//! Direct and routed requests alternate, so that other load on the machine affects both equally.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use godwitroad_base::{ClockSpan, SeededRandom};
use godwitroad_config::{ConfigDocument, KeyHash};
use godwitroad_daemon::{
    app::{self, AppHandle, AppListeners, AppOptions},
    settings::{DaemonSettings, LogLevel, LogOptions},
};
use godwitroad_standin::{EngineServer, EngineSettings};
use hdrhistogram::Histogram;
use serde_json::json;

use crate::report::BenchRow;

/// The number of measured pairs of a direct and a routed request.
const PAIR_COUNT: usize = 4_000;

/// The number of pairs before the measurement, which warm up the connections and caches.
const WARM_UP_PAIRS: usize = 200;

/// The number of concurrent callers in the throughput measurement.
const CALLER_COUNT: usize = 8;

/// The number of requests of each concurrent caller.
const REQUESTS_PER_CALLER: usize = 500;

/// The number of tokens in an answer.
const ANSWER_TOKENS: usize = 4;

const SECRET: &str = "secret-of-the-bench";

/// The timeout for the start of the daemon and for each read from a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A caller with one persistent connection.
struct LoopbackCaller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A stand-in engine on its own thread, which ends when this value is dropped.
struct EngineThread {
    address: SocketAddr,
    _stop: mpsc::Sender<()>,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a socket fails, an answer is incomplete, or the routed answers come sooner than the direct ones.
pub(crate) fn run(seed: u64) -> Result<Vec<BenchRow>> {
    let engine = EngineThread::start()?;
    let daemon = start_daemon(seed, engine.address)?;
    let mut rows = measure_latencies(seed, engine.address, daemon.caller_address())?;
    for (policy, address) in [("direct", engine.address), ("product", daemon.caller_address())] {
        let rate = measure_throughput(seed, address)?;
        let scenario = format!("{CALLER_COUNT} callers at once");
        rows.push(BenchRow::new(scenario, policy, "throughput", "requests/s (machine)", rate));
    }
    daemon.stop();
    daemon.wait()?;
    Ok(rows)
}

/// Measures the time to the first token of direct and routed requests, one request at a time.
fn measure_latencies(seed: u64, direct: SocketAddr, routed: SocketAddr) -> Result<Vec<BenchRow>> {
    let mut random = SeededRandom::new(seed);
    let mut callers = [LoopbackCaller::connect(direct)?, LoopbackCaller::connect(routed)?];
    let mut times = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for pair in 0..WARM_UP_PAIRS + PAIR_COUNT {
        let prompt = format!("{:016x}", random.next_u64());
        let first = random.below(2) as usize;
        for index in [first, 1 - first] {
            let time = callers[index].request(&prompt)?;
            if pair >= WARM_UP_PAIRS {
                times[index].record(time.as_nanos() as u64)?;
            }
        }
    }
    let ms = |index: usize, quantile: f64| times[index].value_at_quantile(quantile) as f64 / 1e6;
    // A router can't make an answer faster, so such a result means that the measurement is wrong.
    ensure!(
        ms(1, 0.5) > ms(0, 0.5),
        "the median of the routed answers isn't above that of the direct ones"
    );
    let unit = "ms (machine)";
    let scenario = format!("{PAIR_COUNT} pairs one after the other");
    let row =
        |policy, measure, value| BenchRow::new(scenario.clone(), policy, measure, unit, value);
    Ok(vec![
        row("direct", "first token p50", ms(0, 0.5)),
        row("direct", "first token p99", ms(0, 0.99)),
        row("product", "first token p50", ms(1, 0.5)),
        row("product", "first token p99", ms(1, 0.99)),
        row("product", "added to the first token p50", ms(1, 0.5) - ms(0, 0.5)).at_most(0.3),
        row("product", "added to the first token p99", ms(1, 0.99) - ms(0, 0.99)).at_most(1.0),
    ])
}

/// Returns the total requests per second of several concurrent callers.
fn measure_throughput(seed: u64, address: SocketAddr) -> Result<f64> {
    let start = Instant::now();
    let caller = |number: usize| {
        thread::spawn(move || -> Result<()> {
            let mut random = SeededRandom::new(seed + number as u64);
            let mut caller = LoopbackCaller::connect(address)?;
            for _ in 0..REQUESTS_PER_CALLER {
                caller.request(&format!("{:016x}", random.next_u64()))?;
            }
            Ok(())
        })
    };
    let callers: Vec<_> = (0..CALLER_COUNT).map(caller).collect();
    for caller in callers {
        caller.join().ok().context("a caller's thread panicked")??;
    }
    Ok((CALLER_COUNT * REQUESTS_PER_CALLER) as f64 / start.elapsed().as_secs_f64())
}

impl LoopbackCaller {
    fn connect(address: SocketAddr) -> Result<LoopbackCaller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(LoopbackCaller { stream, reader })
    }

    /// Sends a request, reads the complete answer and returns the time to the first token.
    fn request(&mut self, prompt: &str) -> Result<Duration> {
        let body = json!({
            "model": "m", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true, "cache_salt": "",
        })
        .to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {SECRET}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let start = Instant::now();
        self.stream.write_all((head + &body).as_bytes())?;
        let status = self.read_line()?;
        ensure!(status.starts_with("HTTP/1.1 200"), "the answer's status is `{}`", status.trim());
        let mut first = None;
        let mut done = false;
        loop {
            let line = self.read_line()?;
            if line.starts_with("data: {") {
                first.get_or_insert_with(|| start.elapsed());
            }
            done |= line.starts_with("data: [DONE]");
            // The body ends with a chunk of size zero and an empty line.
            if line == "0\r\n" {
                self.read_line()?;
                break;
            }
        }
        ensure!(done, "an answer ended without its final event");
        first.context("an answer has no token")
    }

    fn read_line(&mut self) -> Result<String> {
        let mut line = String::new();
        ensure!(
            self.reader.read_line(&mut line)? > 0,
            "the connection was closed before the answer was complete"
        );
        Ok(line)
    }
}

impl EngineThread {
    fn start() -> Result<EngineThread> {
        let (started, start) = mpsc::channel();
        let (stop, stopped) = mpsc::channel::<()>();
        thread::spawn(move || {
            let system = actix_rt::System::new();
            let settings = EngineSettings {
                slots: 64,
                token_time: ClockSpan::ZERO,
                version: "1".into(),
                ..EngineSettings::default()
            };
            let server = system.block_on(async { EngineServer::start(settings) });
            let address = server.as_ref().map(EngineServer::address);
            // `EngineThread::start` waits for this message; sending fails only if that thread has ended.
            let _ = started.send(address.map_err(|error| error.kind()));
            let _server = server;
            system.block_on(async {
                while stopped.try_recv() != Err(mpsc::TryRecvError::Disconnected) {
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        Ok(EngineThread { address: start.recv()?.map_err(std::io::Error::from)?, _stop: stop })
    }
}

/// Starts a daemon and waits until it answers requests.
fn start_daemon(seed: u64, engine: SocketAddr) -> Result<AppHandle> {
    let settings = DaemonSettings {
        seed,
        balancer_wait: ClockSpan::from_ms(1),
        log: LogOptions { level: LogLevel::Error, ..LogOptions::default() },
        ..DaemonSettings::default()
    };
    let listeners = AppListeners::bind(&settings)?;
    let document = Some(Arc::new(config_document(engine)?));
    let daemon = app::start(AppOptions { settings, listeners, incarnation: 1, document })?;
    let deadline = Instant::now() + TIMEOUT;
    while LoopbackCaller::connect(daemon.caller_address())?.request("ready").is_err() {
        ensure!(Instant::now() < deadline, "the daemon wasn't ready before the timeout");
        thread::sleep(Duration::from_millis(10));
    }
    Ok(daemon)
}

/// Returns the daemon's configuration document with one engine and an account that is never limited.
fn config_document(engine: SocketAddr) -> Result<ConfigDocument> {
    let rate = json!({"tokens_per_second": 1_000_000_000, "burst_tokens": 1_000_000_000});
    let key = json!({"name": "key", "hash": KeyHash::of(SECRET).to_string()});
    Ok(serde_json::from_value(json!({
        "regions": [{"name": "region-a", "zones": ["zone-a"]}],
        "models": [{"name": "m", "version": "1"}],
        "services": [{
            "name": "engines", "kind": "engine", "models": ["m"],
            "targets": [{
                "name": "engine-0", "zone": "zone-a", "address": engine.to_string(), "slots": 64,
            }],
        }],
        "accounts": [{"name": "account", "rate": rate, "keys": [key]}],
        "routes": [{"name": "engines", "path": "/v1", "service": "engines"}],
    }))?)
}
