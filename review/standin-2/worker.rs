//! A stand-in for the workers of a service.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::{Call, read_call},
    store::Store,
};

/// A request that reached the worker.
#[derive(Clone)]
pub struct Arrival {
    pub id: String,
}

/// Answers a request on its channel; returns whether the channel is kept.
type Behavior = dyn Fn(&Worker, &Call, &mut TcpStream) -> bool + Send + Sync;

/// A worker; its clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_draining: Arc<AtomicBool>,
    is_leaving: Arc<AtomicBool>,
    last_beat: Arc<Mutex<Option<Instant>>>,
}

/// The interval between two entries in the store (`HeartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Worker {
    /// Starts a worker that registers itself in the store.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        behavior: impl Fn(&Worker, &Call, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Worker {
            id: id.to_string(),
            address: listener.local_addr().expect("the listener is bound"),
            service: service.to_string(),
            zone: zone.to_string(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            arrivals: Arc::default(),
            is_draining: Arc::default(),
            is_leaving: Arc::default(),
            last_beat: Arc::default(),
        };
        let behavior: Arc<Behavior> = Arc::new(behavior);
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (worker, behavior) = (served.clone(), behavior.clone());
                thread::spawn(move || worker.serve(stream, &*behavior));
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                store.put(&format!("servers/{}", beating.id), &beating.entry(sequence));
                *beating.last_beat.lock().unwrap() = Some(Instant::now());
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn entry(&self, sequence: u64) -> String {
        let is_model = self.service == "models";
        let models = if is_model { "{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}" } else { "" };
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":64,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Stage\":\"combined\",\"Models\":[{models}],\"Sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Returns an entry of the worker in which the field `Models` is missing.
    pub fn entry_without_models(&self) -> String {
        let entry = self.entry(9_000);
        let start = entry.find("\"Models\":").expect("a field");
        let end = entry.find("\"Sequence\":").expect("a field");
        format!("{}{}", &entry[..start], &entry[end..])
    }

    /// Returns an entry that says that the worker is ready, in which the field `born` is missing.
    pub fn entry_without_born(&self) -> String {
        let entry = self.entry(9_001).replace("draining", "ready");
        format!("{}}}", &entry[..entry.find(",\"born\"").expect("a field")])
    }

    /// Returns the time since the worker wrote its entry.
    pub fn since_beat(&self) -> Option<Duration> {
        self.last_beat.lock().unwrap().map(|at| at.elapsed())
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Begins to say in all answers that the worker is leaving.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream, behavior: &Behavior) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_call(&mut reader) {
            if call.target == "/healthz" {
                let id = format!("X-Instance-Id: {}\r\n", self.id);
                if !self.write(&mut writer, 200, &id, b"") {
                    return;
                }
                continue;
            }
            if call.target.starts_with("/kv-events") {
                let wait = call.header("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                thread::sleep(Duration::from_millis(wait));
                let body = format!(
                    "{{\"BootEpoch\":{},\"Next\":1,\"Lost\":false,\"Events\":[]}}",
                    self.born
                );
                if !self.write(
                    &mut writer,
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                ) {
                    return;
                }
                continue;
            }
            if call.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let id = format!("X-Instance-Id: {}\r\n", self.id);
                if !self.write(&mut writer, 421, &id, b"") {
                    return;
                }
                continue;
            }
            if !behavior(self, &call, &mut writer) {
                return;
            }
        }
    }

    /// Records a request.
    pub fn record(&self, call: &Call) {
        let id = call.header("x-request-id").unwrap_or("").to_string();
        self.arrivals.lock().unwrap().push(Arrival { id });
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Writes an answer without a request's id.
    pub fn write(&self, stream: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\n{extra}Content-Length: {}\r\nKeep-Alive: timeout=10\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
    }

    /// Runs a request and writes its answer.
    pub fn run(&self, call: &Call, stream: &mut TcpStream, body: &[u8]) -> bool {
        self.record(call);
        let extra = format!("{}X-Server-Stamp: 3e1b.{}\r\n", self.echo(call), self.id);
        self.write(stream, 200, &extra, body)
    }

    /// Returns the header that repeats the request's id.
    pub fn echo(&self, call: &Call) -> String {
        format!("X-Request-Id: {}\r\n", call.header("x-request-id").unwrap_or(""))
    }

    /// Reports in the store that the worker is draining.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        store.put(&format!("servers/{}", self.id), &self.entry(9_000));
    }
}
