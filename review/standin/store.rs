//! The platform's metadata store, as its page describes it.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use super::{
    http::{self, Call},
    json::{Json, decode_base64, encode_base64, number, table, text},
    record::Record,
};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Json)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
    next_lease: u64,
    // Decides which write gets no answer and is held back.
    loses: Option<Box<dyn Fn(&Write) -> bool + Send>>,
    held: Option<(Json, Instant)>,
    writes: u64,
}

/// One entry of a write call.
pub struct Write {
    pub key: String,
    pub value: Vec<u8>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start(record: Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let state = State { revision: 10, ..State::default() };
        let store =
            Store { shared: Arc::new((Mutex::new(state), Condvar::new())), record, address };
        let served = store.clone();
        http::serve(listener, move |call, stream| served.answer(call, stream));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                sleep(Duration::from_millis(10));
                expiring.update(State::expire);
            }
        });
        store
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.0.lock().expect("no handler panics");
        let result = change(&mut state);
        drop(state);
        self.shared.1.notify_all();
        result
    }

    /// Writes an entry of the operator or of a server.
    pub fn put(&self, key: &str, value: &Json) {
        self.record.line(&format!("store: {key} = {value}"));
        self.update(|state| state.write(key, value.to_string().into_bytes(), 0));
    }

    pub fn remove(&self, key: &str) {
        self.record.line(&format!("store: {key} removed"));
        self.update(|state| state.remove(key));
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.update(|state| state.items.get(key).map(|item| item.value.clone()))
    }

    pub fn text(&self, key: &str) -> String {
        self.value(key).map(|value| String::from_utf8_lossy(&value).into_owned()).unwrap_or_default()
    }

    /// The next write for which `loses` returns true gets no answer. It is held back until
    /// [`execute_held`](Self::execute_held).
    pub fn lose_next(&self, loses: impl Fn(&Write) -> bool + Send + 'static) {
        self.update(|state| state.loses = Some(Box::new(loses)));
    }

    /// Returns the number of write calls so far.
    pub fn writes(&self) -> u64 {
        self.update(|state| state.writes)
    }

    pub fn is_holding(&self) -> bool {
        self.update(|state| state.held.is_some())
    }

    /// Executes the write that was held back, if its condition still holds; returns how late that is.
    pub fn execute_held(&self) -> Option<Duration> {
        let (status, late) = self.update(|state| {
            let (body, since) = state.held.take()?;
            let (status, _) = state.txn(&body);
            Some((status, since.elapsed()))
        })?;
        self.record.line(&format!("store: the unanswered write is executed late, {status}, after {late:?}"));
        Some(late)
    }

    fn answer(&self, call: &Call, stream: &mut TcpStream) -> bool {
        let path = call.route().to_string();
        if path == "/kv-watch" {
            let (status, body) = self.watch(call);
            return reply(stream, status, &body);
        }
        sleep(ANSWER_TIME);
        let body = std::str::from_utf8(&call.body).ok().and_then(Json::parse).unwrap_or(Json::Null);
        let answer = self.update(|state| state.answer(call, &path, &body));
        if path == "/kv-txn" {
            let outcome = answer.as_ref().map_or_else(|| "no answer".into(), |(s, _)| s.to_string());
            let keys = body.get("Writes").list().iter().map(|row| {
                let value = row.get("Value").text().and_then(decode_base64).unwrap_or_default();
                let value: String = String::from_utf8_lossy(&value).chars().take(60).collect();
                format!("{}={value}", row.get("Key").text().unwrap_or(""))
            });
            let keys: Vec<String> = keys.collect();
            self.record.line(&format!("store: txn writes {keys:?} removes {}: {outcome}", body.get("Remove")));
        }
        match answer {
            Some((status, body)) => reply(stream, status, &body),
            // A channel on which an answer is lost brings nothing further.
            None => {
                sleep(Duration::from_secs(30));
                false
            }
        }
    }

    fn watch(&self, call: &Call) -> (u16, Json) {
        let count = |name| call.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (count("after"), count("WaitMs"));
        let prefix = call.query("Prefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.0.lock().expect("no handler panics");
        loop {
            let is_new = |(revision, event): &&(u64, Json)| {
                let key = event.get("Key").text().unwrap_or("");
                *revision > after && key.starts_with(&prefix)
            };
            let events: Vec<Json> =
                state.history.iter().filter(is_new).map(|(_, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = number(state.revision);
                return (200, table([("Events", Json::List(events)), ("AsOf", revision)]));
            }
            state = self.shared.1.wait_timeout(state, left).expect("no handler panics").0;
        }
    }
}

fn reply(stream: &mut TcpStream, status: u16, body: &Json) -> bool {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
    http::write(stream, status, &headers, body.to_string().as_bytes())
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, item_json(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = table([
                ("Key", text(key)),
                ("Revision", number(self.revision)),
                ("Removed", Json::Bool(true)),
            ]);
            self.history.push((self.revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| now >= *until);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let leased = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        existed
    }

    // Returns `None` if the call gets no answer.
    fn answer(&mut self, call: &Call, path: &str, body: &Json) -> Option<(u16, Json)> {
        self.expire();
        let id = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        let empty = || table([]);
        Some(match call.method.as_str() {
            "GET" if path == "/kv-key" => {
                let key = call.query("Key").unwrap_or_default();
                match self.items.get(&key) {
                    Some(item) => {
                        let mut answer = item_json(&key, item);
                        answer.set("AsOf", number(self.revision));
                        (200, answer)
                    }
                    None => (404, empty()),
                }
            }
            "GET" if path == "/kv-range" => (200, self.range(call)),
            "POST" if path == "/kv-txn" => {
                self.writes += 1;
                if self.is_lost(body) {
                    self.held = Some((body.clone(), Instant::now()));
                    return None;
                }
                self.txn(body)
            }
            "POST" if path == "/kv-lease" => {
                self.writes += 1;
                self.next_lease += 1;
                let lease = 70_000 + self.next_lease;
                let ttl = body.get("TtlMs").number().unwrap_or(0).clamp(1_000, 600_000);
                let span = Duration::from_millis(ttl);
                self.leases.insert(lease, (Instant::now() + span, span));
                (200, table([("Lease", number(lease)), ("TtlMs", number(ttl))]))
            }
            "POST" => match id("/kv-keep/").and_then(|lease| self.leases.get_mut(&lease)) {
                Some((until, span)) => {
                    *until = Instant::now() + *span;
                    (200, table([("TtlMs", number(span.as_millis() as u64))]))
                }
                None => (404, empty()),
            },
            "DELETE" => match id("/kv-lease-end/") {
                Some(lease) if self.end_lease(lease) => (200, empty()),
                _ => (404, empty()),
            },
            _ => (404, empty()),
        })
    }

    fn is_lost(&mut self, body: &Json) -> bool {
        let Some(loses) = &self.loses else { return false };
        let write = |row: &Json| Write {
            key: row.get("Key").text().unwrap_or("").to_string(),
            value: row.get("Value").text().and_then(decode_base64).unwrap_or_default(),
        };
        let is_lost = body.get("Writes").list().iter().any(|row| loses(&write(row)));
        if is_lost {
            self.loses = None;
        }
        is_lost
    }

    fn range(&self, call: &Call) -> Json {
        let prefix = call.query("Prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let matching = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
        let mut items: Vec<Json> =
            matching.take(501).map(|(key, item)| item_json(key, item)).collect();
        let truncated = items.len() > 500;
        items.truncate(500);
        table([
            ("items", Json::List(items)),
            ("Truncated", Json::Bool(truncated)),
            ("AsOf", number(self.revision)),
        ])
    }

    fn txn(&mut self, body: &Json) -> (u16, Json) {
        let key_of = |row: &Json| row.get("Key").text().unwrap_or("").to_string();
        let expected = body.get("Expected").list();
        let is_met = |row: &Json| {
            let revision = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            Some(revision) == row.get("Revision").number()
        };
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|row| {
                let key = key_of(row);
                self.items.get(&key).map(|item| item_json(&key, item))
            });
            return (412, table([("items", Json::List(current.collect()))]));
        }
        let writes = body.get("Writes").list();
        let removed = body.get("Remove").list();
        let names = writes.iter().map(key_of);
        let names = names.chain(removed.iter().filter_map(Json::text).map(str::to_string));
        if names.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, table([]));
        }
        let lease_of = |row: &Json| row.get("Lease").number().unwrap_or(0);
        let has_lease = |row: &Json| lease_of(row) == 0 || self.leases.contains_key(&lease_of(row));
        if !writes.iter().all(has_lease) {
            return (404, table([]));
        }
        for row in writes {
            let value = row.get("Value").text().and_then(decode_base64).unwrap_or_default();
            self.write(&key_of(row), value, lease_of(row));
        }
        for key in removed {
            self.remove(key.text().unwrap_or(""));
        }
        (200, table([("Revision", number(self.revision))]))
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    table([
        ("Key", text(key)),
        ("Value", Json::Text(encode_base64(&item.value))),
        ("Revision", number(item.revision)),
        ("CreateRevision", number(item.created)),
        ("Lease", number(item.lease)),
    ])
}
