//! The HTTP interface of an engine.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    web::{self, Bytes, Data, ServiceConfig},
};
use godwitroad_base::{BuildName, ClockTime};
use godwitroad_router::{CacheBatch, LoadReport};
use serde::Deserialize;
use serde_json::json;

use super::{
    AnswerFault, EngineFaults, EngineSettings, EngineWork, LoadedModel, orders::OrderCall,
    request::EngineRequest, state::EngineState, stream::AnswerJob, text::answer_text,
};
use crate::{
    disconnect,
    serve::{LoopbackServer, any_port},
};

/// The interval at which a pending read of cache events checks for new events.
const EVENT_POLL_INTERVAL_MS: u64 = 2;

/// An engine that listens on loopback.
#[derive(Debug)]
pub struct EngineServer {
    state: Arc<EngineState>,
    server: LoopbackServer,
}

impl EngineServer {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start(settings: EngineSettings) -> io::Result<EngineServer> {
        EngineServer::start_at(any_port(), settings)
    }

    /// Starts an engine on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener can't be opened.
    pub fn start_at(address: SocketAddr, settings: EngineSettings) -> io::Result<EngineServer> {
        let state = Arc::new(EngineState::new(settings));
        let data = Data::from(Arc::clone(&state));
        let server = LoopbackServer::start(address, move |config| routes(config, &data))?;
        Ok(EngineServer { state, server })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().faults = faults;
    }

    /// Adds faults for the next answers; each request takes one.
    pub fn push_faults(&self, faults: impl IntoIterator<Item = AnswerFault>) {
        self.state.lock().faults.answers.extend(faults);
    }

    /// Restarts the engine: all streams end, the cache is cleared and the incarnation increases by one.
    pub fn restart(&self) {
        self.state.restart(None);
    }

    /// Restarts the engine as another build.
    pub fn restart_as(&self, build: impl Into<BuildName>) {
        self.state.restart(Some(build.into()));
    }

    /// Returns the incarnation, which increases with each restart.
    pub fn incarnation(&self) -> u64 {
        self.state.incarnation()
    }

    /// Returns the work counters, summed over all incarnations.
    pub fn work(&self) -> EngineWork {
        self.state.lock().work
    }

    /// Returns the number of requests that occupy a slot.
    pub fn running(&self) -> usize {
        self.state.lock().slots.running()
    }

    /// Returns the models that are loaded now.
    pub fn loaded(&self) -> Vec<LoadedModel> {
        let now = self.state.now();
        self.state.lock().orders.report(now).loaded
    }

    /// Returns the headers of the last request, so that a test can check whether a caller's key was passed on.
    pub fn last_headers(&self) -> Vec<(String, String)> {
        self.state.lock().headers.clone()
    }

    /// Returns the body of the last request.
    pub fn last_body(&self) -> String {
        self.state.lock().body.clone()
    }

    /// Stops the engine, closes its streams and waits until its listener is closed.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

fn routes(config: &mut ServiceConfig, data: &Data<EngineState>) {
    config
        .app_data(data.clone())
        .route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/completions", web::post().to(complete))
        .route("/load", web::get().to(show_load))
        .route("/cache/events", web::get().to(read_events))
        .route("/orders", web::post().to(handle_order))
        .route("/orders", web::get().to(show_orders))
        .route("/faults", web::post().to(replace_faults))
        .route("/faults", web::get().to(show_faults))
        .route("/restart", web::post().to(restart))
        .route("/work", web::get().to(show_work));
}

async fn complete(request: HttpRequest, state: Data<EngineState>, body: Bytes) -> HttpResponse {
    let fault = state.take_answer_fault();
    if state.lock().faults.down || fault == AnswerFault::HangUp {
        return disconnect::close_connection(&request);
    }
    record_request(&state, &request, &body);
    let call: EngineRequest = match serde_json::from_slice(&body) {
        Ok(call) => call,
        Err(error) => return rejection(400, &error.to_string()),
    };
    let Some(version) = served_version(&state, &call.model) else {
        return rejection(404, "the model is not loaded");
    };
    if fault == AnswerFault::Refuse || is_full(&state) {
        return rejection(503, "the engine took no part of the request");
    }
    let prompt = call.prompt_bytes();
    if let Some(resume) = &call.resume
        && answer_text(&prompt, resume.tokens) != resume.text
    {
        return rejection(400, "the text to resume is not the beginning of the answer");
    }
    let header = |name: &str| request.headers().get(name)?.to_str().ok().map(str::to_owned);
    let id = header("x-request-id").unwrap_or_else(|| "none".into());
    let attempt = header("x-attempt").unwrap_or_else(|| "1".into());
    let job = AnswerJob::new(state.into_inner(), call, id, version, fault);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-cache"))
        .insert_header(("x-attempt", attempt))
        .streaming(job.events())
}

fn record_request(state: &EngineState, request: &HttpRequest, body: &[u8]) {
    let headers = request.headers().iter();
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = headers.map(|(name, value)| (name.to_string(), text(value.as_bytes())));
    let mut core = state.lock();
    core.headers = headers.collect();
    core.body = text(body);
}

fn served_version(state: &EngineState, model: &str) -> Option<String> {
    if state.settings.models.is_empty() {
        return Some(state.settings.version.clone());
    }
    state.lock().orders.version(state.now(), model)
}

fn is_full(state: &EngineState) -> bool {
    state.lock().slots.waiting() >= state.settings.waiting_limit
}

// Requests are rejected before any work, so every rejection states that the request did not run.
fn rejection(status: u16, message: &str) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap_or_default();
    HttpResponse::build(status)
        .insert_header(("x-not-run", "true"))
        .json(json!({ "error": { "type": "engine_refused", "message": message } }))
}

async fn show_load(request: HttpRequest, state: Data<EngineState>) -> HttpResponse {
    let (now, lag, incarnation) = (state.now(), state.settings.load_lag, state.incarnation());
    let core = state.lock();
    if core.faults.down {
        return disconnect::close_connection(&request);
    }
    let report = core.slots.report(now, lag, incarnation);
    HttpResponse::Ok().json(LoadReport { build: core.build.clone(), ..report })
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn read_events(
    request: HttpRequest,
    state: Data<EngineState>,
    query: web::Query<EventsQuery>,
) -> HttpResponse {
    let deadline: ClockTime = state.now() + state.settings.event_wait;
    loop {
        let (now, incarnation) = (state.now(), state.incarnation());
        let batch = {
            let core = state.lock();
            if core.faults.down {
                return disconnect::close_connection(&request);
            }
            core.feed.read(now, query.after, incarnation, &core.cache)
        };
        if let Some(batch) = batch {
            return HttpResponse::Ok().json(batch);
        }
        if now >= deadline {
            let first = query.after + 1;
            let batch = CacheBatch { incarnation, first, ..CacheBatch::default() };
            return HttpResponse::Ok().json(batch);
        }
        actix_rt::time::sleep(Duration::from_millis(EVENT_POLL_INTERVAL_MS)).await;
    }
}

async fn handle_order(
    request: HttpRequest,
    state: Data<EngineState>,
    call: web::Json<OrderCall>,
) -> HttpResponse {
    let now = state.now();
    let mut core = state.lock();
    if core.faults.down {
        return disconnect::close_connection(&request);
    }
    if core.orders.apply(now, call.into_inner()) {
        return HttpResponse::Ok().json(core.orders.report(now));
    }
    HttpResponse::Conflict().json(core.orders.report(now))
}

async fn show_orders(request: HttpRequest, state: Data<EngineState>) -> HttpResponse {
    let now = state.now();
    let mut core = state.lock();
    if core.faults.down {
        return disconnect::close_connection(&request);
    }
    HttpResponse::Ok().json(core.orders.report(now))
}

async fn replace_faults(state: Data<EngineState>, faults: web::Json<EngineFaults>) -> HttpResponse {
    state.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn show_faults(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().faults)
}

async fn restart(state: Data<EngineState>) -> HttpResponse {
    state.restart(None);
    HttpResponse::NoContent().finish()
}

async fn show_work(state: Data<EngineState>) -> HttpResponse {
    HttpResponse::Ok().json(state.lock().work)
}
