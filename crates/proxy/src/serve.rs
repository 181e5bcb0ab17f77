//! The HTTP listeners for callers, for the balancer's readiness checks and for metrics.
//!
//! Everything runs on one thread because the decision state isn't shared between threads. `HttpServer` would start its
//! own threads, so this module uses the underlying HTTP service directly, with one task per connection.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive};
use actix_rt::spawn;
use actix_service::{Service, ServiceFactory, map_config};
use actix_web::{App, HttpRequest, HttpResponse, dev::AppConfig, web};
use anyhow::{Context as _, Result};
use godwitroad_forward::CallerLimits;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::{
    answer,
    caller_activity::{ConnectionRequest, OpenCount, SharedStream, idle_end, read_end},
    caller_budget::{CallerBudget, HeldConnection, KERNEL_BUFFER_BYTES},
    caller_stream::CallerStream,
    client::watched_stream::acknowledged_bytes,
    core::SharedCore,
    platform::PlatformAdapter,
    request_scan::BodyScanner,
};

/// The time that a closing connection has to flush the remaining part of its answer.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failed accept, for example while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time by which the clock of the HTTP service may be behind. It counts its time limit from that clock, so it would
/// end too early by as much.
const SERVICE_CLOCK_LAG: Duration = Duration::from_millis(500);

/// The connections that the kernel accepts before the process does.
const BACKLOG: u32 = 1_024;

/// The answer to a connection that the budget has no room for. It is sent before anything is read, so that nothing has run.
const BUSY_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.000\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

type ConnectionService = Rc<dyn Fn(SharedStream, SocketAddr, HeldConnection)>;

/// Opens a TCP listener.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("can't listen on {address}"))
}

/// Opens a TCP listener for callers or operators, whose connections have small buffers in the kernel.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn bind_http(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(KERNEL_BUFFER_BYTES as u32)?;
        socket.set_send_buffer_size(KERNEL_BUFFER_BYTES as u32)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().with_context(|| format!("can't listen on {address}"))
}

/// Serves callers for as long as the process runs.
pub(crate) async fn serve_callers<P: PlatformAdapter>(core: SharedCore<P>, listener: TcpListener) {
    let (handler_core, limits_core) = (core.clone(), core.clone());
    let app =
        App::new().default_service(web::to(move |request: HttpRequest, body: web::Payload| {
            answer::answer(handler_core.clone(), request, body)
        }));
    let limits = move || limits_in_force(&limits_core);
    let open = core.open_requests.clone();
    let service = connection_service(&core, app, limits, open).await;
    let budget = core.caller_budget.clone();
    accept_all(core, listener, budget, service).await;
}

fn limits_in_force<P: PlatformAdapter>(core: &SharedCore<P>) -> CallerLimits {
    core.read(|state| state.rules().map(|rules| rules.limits)).unwrap_or_default()
}

/// Answers the balancer's readiness checks for as long as the process runs.
pub(crate) async fn serve_ready<P: PlatformAdapter>(core: SharedCore<P>, listener: TcpListener) {
    let handler_core = core.clone();
    let app = App::new().route(
        "/readyz",
        web::get().to(move || {
            let core = handler_core.clone();
            async move {
                match core.read(|state| state.readiness(core.now())) {
                    Ok(()) => HttpResponse::Ok().body("ready\n"),
                    Err(reason) => HttpResponse::ServiceUnavailable().body(format!("{reason}\n")),
                }
            }
        }),
    );
    let service = connection_service(&core, app, CallerLimits::default, OpenCount::default()).await;
    let budget = core.operator_budget.clone();
    accept_all(core, listener, budget, service).await;
}

/// Serves the metrics for as long as the process runs.
pub(crate) async fn serve_metrics<P: PlatformAdapter>(core: SharedCore<P>, listener: TcpListener) {
    let handler_core = core.clone();
    let app = App::new().route(
        "/metrics",
        web::get().to(move || {
            let text = handler_core.metrics.text();
            async move { HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text) }
        }),
    );
    let service = connection_service(&core, app, CallerLimits::default, OpenCount::default()).await;
    let budget = core.operator_budget.clone();
    accept_all(core, listener, budget, service).await;
}

// Serves the connections that the budget has room for, as long as the process runs.
async fn accept_all<P: PlatformAdapter>(
    core: SharedCore<P>,
    listener: TcpListener,
    budget: CallerBudget,
    service: ConnectionService,
) {
    loop {
        let Some((stream, peer)) = accept(&core, &listener).await else { continue };
        let stream: SharedStream = Rc::new(RefCell::new(stream));
        let watched = stream.clone();
        let taken = move || acknowledged_bytes(&watched.borrow());
        match budget.connect(taken).await {
            Some(held) => service(stream, peer, held),
            None => {
                budget.report_refusal("connection_refused_for_budget");
                // The answer fits into the empty send buffer. A caller that has gone needs none.
                let _ = SockRef::from(&*stream.borrow()).send(BUSY_ANSWER);
            }
        }
    }
}

/// Accepts a connection; returns `None` after a failure, which is logged.
pub(crate) async fn accept<P: PlatformAdapter>(
    core: &SharedCore<P>,
    listener: &TcpListener,
) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok((stream, peer)) => {
            // If the option can't be set, small answers are only delayed.
            let _ = stream.set_nodelay(true);
            Some((stream, peer))
        }
        Err(error) => {
            core.log.warn("accept_failed", &format!("error={error}"));
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn connection_service<P, T, B>(
    core: &SharedCore<P>,
    app: App<T>,
    limits: impl Fn() -> CallerLimits + Clone + 'static,
    open: OpenCount,
) -> ConnectionService
where
    P: PlatformAdapter,
    T: ServiceFactory<
            actix_web::dev::ServiceRequest,
            Config = (),
            Response = actix_web::dev::ServiceResponse<B>,
            Error = actix_web::Error,
            InitError = (),
        > + 'static,
    B: actix_web::body::MessageBody + 'static,
{
    let closing = core.closing.subscribe();
    let stream_limits: Rc<dyn Fn() -> CallerLimits> = Rc::new(limits.clone());
    let app = app.wrap_fn(move |request, service| {
        let body = BodyScanner::after(request.head());
        let (open, answer) = (ConnectionRequest::open(open.clone(), body), service.call(request));
        async move { answer.await.map(|answer| answer.map_body(|_, body| open.hold(body))) }
    });
    let factory = HttpService::build()
        // Idle connections are closed by the signal below, as a time limit here wouldn't change while a connection lasts.
        .keep_alive(KeepAlive::Os)
        // The caller's stream applies the time limit for heads.
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT + SERVICE_CLOCK_LAG)
        // A caller that closes its side has disconnected; its request must be cancelled.
        .h1_allow_half_closed(false)
        // The service closes a connection after this signal, but not before the answer to an open request.
        .graceful_shutdown_signal(move || {
            let idle_end = idle_end(limits.clone());
            let stop_end = read_end(stop_end(closing.clone()));
            async move {
                tokio::select! {
                    () = idle_end => {}
                    () = stop_end => {}
                }
            }
        })
        .h1(map_config(app, |()| AppConfig::default()));
    let service = factory.new_service(()).await;
    let service = Rc::new(service.expect("the application has no state that could fail to start"));
    Rc::new(move |stream, peer, held| {
        let (service, limits) = (service.clone(), stream_limits.clone());
        spawn(async move {
            // A broken connection affects only its own caller.
            let stream = CallerStream::new(stream, limits, held);
            stream.serve(|stream| service.call((stream, Some(peer)))).await;
        });
    })
}

// Completes late in a stop, so that the next request on an idle connection goes to another router.
async fn stop_end(mut closing: watch::Receiver<bool>) {
    // A connection that is accepted after the signal brings a request, whose answer closes it.
    if *closing.borrow_and_update() {
        return std::future::pending().await;
    }
    // An error would mean that the sender was dropped, but it lives as long as the process.
    let _ = closing.wait_for(|closing| *closing).await;
}
