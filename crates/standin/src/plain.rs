//! A plain HTTP service that counts how often each request ran.
//!
//! It represents a registry in which running a request twice does harm. A test can compare the answers that callers got
//! with the requests that actually ran.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes, Data, ServiceConfig},
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    disconnect,
    serve::{LoopbackServer, any_port},
};

/// A fault that affects one request to a plain service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlainFault {
    /// The connection closes before the request runs.
    DieBefore,
    /// The request runs, and the connection closes without an answer.
    DieAfter,
    /// The request runs, and no answer is ever sent.
    Stall,
    /// The request runs, and the answer is delayed.
    Late {
        /// The delay in milliseconds.
        ms: u64,
    },
    /// The service rejects the request and states that it did not run it.
    Refuse,
}

/// A plain service that listens on loopback.
#[derive(Debug)]
pub struct PlainServer {
    state: Arc<PlainState>,
    server: LoopbackServer,
}

#[derive(Debug)]
struct PlainState {
    name: String,
    core: Mutex<PlainCore>,
}

#[derive(Debug, Default)]
struct PlainCore {
    runs: BTreeMap<String, u32>,
    faults: VecDeque<PlainFault>,
    headers: Vec<(String, String)>,
}

impl PlainServer {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start(name: &str) -> io::Result<PlainServer> {
        PlainServer::start_at(any_port(), name)
    }

    /// Starts a service on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start_at(address: SocketAddr, name: &str) -> io::Result<PlainServer> {
        let state = PlainState { name: name.into(), core: Mutex::default() };
        let state = Arc::new(state);
        let data = Data::from(Arc::clone(&state));
        let server = LoopbackServer::start(address, move |config| routes(config, &data))?;
        Ok(PlainServer { state, server })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of times that a request with `body` ran.
    pub fn runs(&self, body: &str) -> u32 {
        self.state.lock().runs.get(body).copied().unwrap_or(0)
    }

    /// Returns the number of times that each request ran, by its body.
    pub fn all_runs(&self) -> BTreeMap<String, u32> {
        self.state.lock().runs.clone()
    }

    /// Returns the headers of the last request, so that a test can check whether a caller's key was passed on.
    pub fn last_headers(&self) -> Vec<(String, String)> {
        self.state.lock().headers.clone()
    }

    /// Adds faults for the next requests; each request takes one.
    pub fn push_faults(&self, faults: impl IntoIterator<Item = PlainFault>) {
        self.state.lock().faults.extend(faults);
    }

    /// Stops the service and waits until its listener is closed.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl PlainState {
    fn lock(&self) -> MutexGuard<'_, PlainCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn routes(config: &mut ServiceConfig, data: &Data<PlainState>) {
    config
        .app_data(data.clone())
        .route("/faults", web::post().to(push_faults))
        .route("/runs", web::get().to(show_runs))
        .default_service(web::to(run));
}

async fn push_faults(state: Data<PlainState>, faults: web::Json<Vec<PlainFault>>) -> HttpResponse {
    state.lock().faults.extend(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn show_runs(state: Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().runs)
}

async fn run(request: HttpRequest, state: Data<PlainState>, body: Bytes) -> HttpResponse {
    let body = String::from_utf8_lossy(&body).into_owned();
    let fault = {
        let mut core = state.lock();
        let headers = request.headers().iter();
        let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
        core.headers =
            headers.map(|(name, value)| (name.to_string(), text(value.as_bytes()))).collect();
        core.faults.pop_front()
    };
    match fault {
        Some(PlainFault::DieBefore) => return disconnect::close_connection(&request),
        Some(PlainFault::Refuse) => {
            return HttpResponse::ServiceUnavailable().insert_header(("x-not-run", "true")).json(
                json!({ "error": { "message": "the service took no part of the request" } }),
            );
        }
        _ => {}
    }
    let runs = {
        let mut core = state.lock();
        let runs = core.runs.entry(body.clone()).or_insert(0);
        *runs += 1;
        *runs
    };
    match fault {
        Some(PlainFault::DieAfter) => return disconnect::close_connection(&request),
        Some(PlainFault::Stall) => std::future::pending().await,
        Some(PlainFault::Late { ms }) => {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
        }
        _ => {}
    }
    let path = request.path();
    HttpResponse::Ok()
        .json(json!({ "service": state.name, "path": path, "runs": runs, "echo": body }))
}
