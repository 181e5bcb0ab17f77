//! A stand-in for the platform's key-value store.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Call, read_call},
    json::{self, Json, decode_base64, encode_base64},
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
    next_lease: u64,
}

#[derive(Default)]
struct State {
    data: Data,
    copy: Option<Data>,
    era: u64,
    is_silent: bool,
}

/// The store; its clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let data = Data { revision: 400, next_lease: 77_000, ..Data::default() };
        let state = State { data, era: 1, ..State::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().unwrap();
        let result = change(&mut state);
        self.state.1.notify_all();
        result
    }

    /// Writes an entry as the operator or a worker does. Returns when the store has accepted it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.update(|state| state.data.write(key, value.as_bytes().to_vec(), 0));
        Instant::now()
    }

    /// Makes the copy from which [`restore`](Self::restore) returns.
    pub fn make_copy(&self) {
        self.update(|state| state.copy = Some(state.data.clone()));
    }

    /// Returns from the last copy. What was written since is lost, and its revisions are given out again.
    pub fn restore(&self) {
        self.update(|state| {
            if let Some(copy) = state.copy.clone() {
                state.data = copy;
                state.era += 1;
            }
        });
    }

    /// Makes the store answer nothing, or answer again. Calls that wait meanwhile stay unanswered and aren't executed.
    pub fn set_silent(&self, is_silent: bool) {
        self.update(|state| state.is_silent = is_silent);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_call(&mut reader) {
            let Some((status, body, era)) = self.answer(&call) else {
                // The channel stays open and brings nothing further.
                while read_call(&mut reader).is_some() {}
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> Option<(u16, String, u64)> {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.data.expire();
        let path = call.target.split('?').next().unwrap_or("").to_string();
        if path == "/kv-watch" {
            let after: u64 = call.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
            let wait: u64 = call.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let watched = state.era;
            while state.data.revision <= after
                && state.era == watched
                && !state.is_silent
                && Instant::now() < until
            {
                state = changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
                state.data.expire();
            }
            if state.is_silent {
                return None;
            }
            let era = state.era;
            if after > state.data.revision {
                return Some((410, "{}".into(), era));
            }
            let events = state.data.history.iter().filter(|(revision, _)| *revision > after);
            let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
            let body =
                format!("{{\"Events\":[{}],\"AsOf\":{}}}", events.join(","), state.data.revision);
            return Some((200, body, era));
        }
        if state.is_silent {
            return None;
        }
        let (status, body) = state.data.execute(call, &path);
        let era = state.era;
        drop(state);
        changed.notify_all();
        Some((status, body, era))
    }
}

impl Data {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, item_text(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"Key\":\"{key}\",\"Revision\":{},\"Removed\":true}}", self.revision);
            self.history.push((self.revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let leased = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn execute(&mut self, call: &Call, path: &str) -> (u16, String) {
        let number = || path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok());
        let body = || json::parse(&call.body).unwrap_or(Json::Null);
        match (call.method.as_str(), path) {
            ("GET", "/kv-key") => {
                let key = call.query("Key").unwrap_or("");
                match self.items.get(key) {
                    Some(item) => (200, item_text(key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = call.query("Prefix").unwrap_or("");
                let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
                let text = items.join(",");
                let revision = self.revision;
                (200, format!("{{\"items\":[{text}],\"Truncated\":false,\"AsOf\":{revision}}}"))
            }
            ("POST", "/kv-txn") => self.transact(&body()),
            ("POST", "/kv-lease") => {
                let ttl = body().number("TtlMs").unwrap_or(1_000).clamp(1_000, 600_000);
                self.next_lease += 1;
                let length = Duration::from_millis(ttl);
                self.leases.insert(self.next_lease, (Instant::now() + length, length));
                (200, format!("{{\"Lease\":{},\"TtlMs\":{ttl}}}", self.next_lease))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                match number().and_then(|lease| self.leases.get_mut(&lease)) {
                    Some((until, length)) => {
                        *until = Instant::now() + *length;
                        (200, format!("{{\"TtlMs\":{}}}", length.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                number().into_iter().for_each(|lease| self.end_lease(lease));
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.rows("Expected") {
            let revision = row.text("Key").and_then(|key| self.items.get(key));
            if revision.map_or(0, |item| item.revision) != row.number("Revision").unwrap_or(0) {
                return (412, "{\"items\":[]}".into());
            }
        }
        let lease_of = |row: &Json| row.number("Lease").unwrap_or(0);
        let has_lease = |row: &Json| lease_of(row) == 0 || self.leases.contains_key(&lease_of(row));
        if !body.rows("Writes").iter().all(has_lease) {
            return (404, "{}".into());
        }
        for row in body.rows("Writes") {
            let value = row.text("Value").and_then(decode_base64).unwrap_or_default();
            self.write(row.text("Key").unwrap_or(""), value, lease_of(row));
        }
        for key in body.rows("Remove") {
            if let Json::Text(key) = key {
                self.remove(key);
            }
        }
        (200, format!("{{\"Revision\":{}}}", self.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreateRevision\":{},\"Lease\":{}}}",
        encode_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}
