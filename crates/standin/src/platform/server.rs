//! The HTTP interface of the platform.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes, Data, ServiceConfig},
};
use godwitroad_base::{ClockTime, VmName};
use godwitroad_router::{VmListing, VmState};
use tokio::sync::watch;

use super::{
    CallCounters, KvStore, PlatformFaults, StoreChange,
    core::{self, PlatformCore},
    schema::WatchCall,
    store::{self, KeyRange},
    watch as watch_stream,
};
use crate::{
    disconnect,
    serve::{LoopbackServer, any_port},
};

/// The interval at which expired leases are removed; it is much shorter than the shortest lease, which lasts a second.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 20;

/// A platform that listens on loopback.
#[derive(Debug)]
pub struct PlatformServer {
    state: Arc<PlatformState>,
    server: LoopbackServer,
}

/// The state that the request handlers and streams of one platform share.
#[derive(Debug)]
pub(crate) struct PlatformState {
    core: Mutex<PlatformCore>,
    latest_revision: watch::Sender<u64>,
    started: Instant,
}

impl PlatformServer {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start() -> io::Result<PlatformServer> {
        PlatformServer::start_at(any_port())
    }

    /// Starts a platform on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start_at(address: SocketAddr) -> io::Result<PlatformServer> {
        let core = PlatformCore::new();
        let (latest_revision, _) = watch::channel(core.store.revision());
        let state = Arc::new(PlatformState {
            core: Mutex::new(core),
            latest_revision,
            started: Instant::now(),
        });
        let data = Data::from(Arc::clone(&state));
        let server = LoopbackServer::start(address, move |config| routes(config, &data))?;
        actix_rt::spawn(expire_leases(Arc::downgrade(&state)));
        Ok(PlatformServer { state, server })
    }

    /// Returns the address on which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of the platform.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the active faults; consumed ones are no longer included.
    pub fn faults(&self) -> PlatformFaults {
        self.state.lock().faults.clone()
    }

    /// Returns the call counters.
    pub fn counters(&self) -> CallCounters {
        self.state.lock().counters
    }

    /// Replaces the VM list with one without addresses.
    pub fn set_vms<T: Into<VmName>>(&self, vms: impl IntoIterator<Item = (T, VmState)>) {
        let listing = |(vm, state): (T, VmState)| VmListing { vm: vm.into(), state, address: None };
        self.state.lock().vms = vms.into_iter().map(listing).collect();
    }

    /// Replaces the VM list, including the addresses.
    pub fn set_vm_list(&self, list: Vec<VmListing>) {
        self.state.lock().vms = list;
    }

    /// Returns the value of `key`, or `None` if it doesn't exist.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state.lock().store.get(key.as_bytes()).map(|entry| entry.value.clone())
    }

    /// Runs `action` on the store directly, without faults and counters.
    pub fn with_store<T>(&self, action: impl FnOnce(&mut KvStore) -> T) -> T {
        self.state.change(|core, _| action(&mut core.store))
    }

    /// Stops the platform and waits until its listener is closed.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl PlatformState {
    // The data stays usable after a panic in another handler, so a poisoned lock is ignored.
    fn lock(&self) -> MutexGuard<'_, PlatformCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> ClockTime {
        ClockTime::from_ms(self.started.elapsed().as_millis() as u64)
    }

    // Removes expired leases, runs `action` and wakes the watches if the revision changed.
    fn change<T>(&self, action: impl FnOnce(&mut PlatformCore, ClockTime) -> T) -> T {
        let now = self.now();
        let mut core = self.lock();
        core.store.expire(now);
        let result = action(&mut core, now);
        let revision = core.store.revision();
        drop(core);
        self.latest_revision.send_if_modified(|latest_revision| {
            std::mem::replace(latest_revision, revision) != revision
        });
        result
    }

    fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        // Wakes the pending watches, which then check the faults.
        self.latest_revision.send_modify(|_| {});
    }

    pub(crate) fn is_down(&self) -> bool {
        self.lock().faults.down
    }

    pub(crate) fn revision(&self) -> u64 {
        self.lock().store.revision()
    }

    pub(crate) fn compacted(&self) -> u64 {
        self.lock().store.compacted()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.latest_revision.subscribe()
    }

    pub(crate) fn changes(
        &self,
        range: &KeyRange,
        first: u64,
    ) -> (u64, store::Result<Vec<StoreChange>>) {
        let core = self.lock();
        (core.store.revision(), core.store.changes(range, first))
    }
}

async fn expire_leases(state: std::sync::Weak<PlatformState>) {
    while let Some(state) = state.upgrade() {
        state.change(|_, _| {});
        drop(state);
        actix_rt::time::sleep(Duration::from_millis(EXPIRY_CHECK_INTERVAL_MS)).await;
    }
}

fn routes(config: &mut ServiceConfig, data: &Data<PlatformState>) {
    config
        .app_data(data.clone())
        .route("/v3/kv/{call}", web::post().to(call))
        .route("/v3/lease/{call}", web::post().to(call))
        .route("/v3/kv/lease/{call}", web::post().to(call))
        .route("/v3/watch", web::post().to(watch_changes))
        .route("/vms", web::get().to(list_vms))
        .route("/vms", web::put().to(replace_vms))
        .route("/faults", web::get().to(show_faults))
        .route("/faults", web::post().to(replace_faults))
        .route("/counters", web::get().to(show_counters));
}

async fn call(
    request: HttpRequest,
    state: Data<PlatformState>,
    name: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let faults = state.lock().faults.clone();
    if faults.slow_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if state.is_down() {
        return disconnect::close_connection(&request);
    }
    let answer = state.change(|core, now| core.call(now, &name, &body));
    let is_write = !matches!(name.as_str(), "range" | "keepalive");
    if is_write && answer.is_ok() && state.lock().take_lost_answer_fault() {
        return disconnect::close_connection(&request);
    }
    match answer {
        Ok(value) => {
            let body = value.to_string();
            state.lock().counters.bytes_out += body.len() as u64;
            HttpResponse::Ok().content_type("application/json").body(body)
        }
        Err(error) => error.response(),
    }
}

async fn watch_changes(
    request: HttpRequest,
    state: Data<PlatformState>,
    body: Bytes,
) -> HttpResponse {
    if state.is_down() {
        return disconnect::close_connection(&request);
    }
    {
        let mut core = state.lock();
        core.counters.watch += 1;
        core.counters.bytes_in += body.len() as u64;
    }
    let call: WatchCall = match core::parse(&body) {
        Ok(call) => call,
        Err(error) => return error.response(),
    };
    let first = u64::try_from(call.create_request.start_revision).unwrap_or(0);
    let range = call.create_request.into();
    let lines = watch_stream::stream_changes(state.into_inner(), range, first);
    HttpResponse::Ok().content_type("application/json").streaming(lines)
}

async fn list_vms(request: HttpRequest, state: Data<PlatformState>) -> HttpResponse {
    let mut core = state.lock();
    if core.faults.vms_down {
        return disconnect::close_connection(&request);
    }
    core.counters.vms += 1;
    HttpResponse::Ok().json(&core.vms)
}

async fn replace_vms(state: Data<PlatformState>, vms: web::Json<Vec<VmListing>>) -> HttpResponse {
    state.lock().vms = vms.into_inner();
    HttpResponse::NoContent().finish()
}

async fn show_faults(state: Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().faults)
}

async fn replace_faults(
    state: Data<PlatformState>,
    faults: web::Json<PlatformFaults>,
) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn show_counters(state: Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(state.lock().counters)
}
