//! A worker that runs plain requests, as the platform's pages describe it.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    http::{self, Call},
    json::{Json, number, table, text},
    record::Record,
    store::Store,
};

/// A request as it was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub method: String,
    pub path: String,
    pub body: usize,
}

#[derive(Clone)]
pub struct Plain {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Plain {
    /// Starts a worker whose requests take `work`, and registers it.
    pub fn start(store: &Store, record: &Record, id: &str, zone: &str, work: Duration) -> Plain {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let plain = Plain {
            id: id.to_string(),
            address,
            work,
            record: record.clone(),
            runs: Arc::default(),
        };
        let entry = table([
            ("Service", text("registry")),
            ("Address", Json::Text(address.to_string())),
            ("Zone", text(zone)),
            ("Version", text("v1")),
            ("Slots", number(6)),
            ("State", text("ready")),
            ("ColdRemainingMs", number(0)),
            ("Sequence", number(1)),
            ("born", number(born.as_millis() as u64)),
        ]);
        store.put(&format!("servers/{id}"), &entry);
        let served = plain.clone();
        http::serve(listener, move |call, stream| served.answer(call, stream));
        plain
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no handler panics").clone()
    }

    fn answer(&self, call: &Call, stream: &mut TcpStream) -> bool {
        let id = call.header("x-request-id").unwrap_or("").to_string();
        if call.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return http::write(stream, 421, &[("X-Request-Id", &id)], b"");
        }
        if call.route() == "/healthz" {
            return http::write(stream, 200, &[("X-Instance-Id", &self.id)], b"");
        }
        let run = Run {
            at: self.record.now(),
            id: id.clone(),
            method: call.method.clone(),
            path: call.path.clone(),
            body: call.body.len(),
        };
        self.record.line(&format!("{}: runs {run:?}", self.id));
        self.runs.lock().expect("no handler panics").push(run);
        sleep(self.work);
        let stamp = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp), ("X-Instance-Load", "1,0,6")];
        http::write(stream, 200, &headers, format!("answer to {id}").as_bytes())
    }
}
