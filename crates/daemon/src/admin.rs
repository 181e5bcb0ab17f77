//! Health probes and the admin endpoints for operators.

use actix_web::{HttpResponse, web};
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    decision::AdminQuery,
    event_loop::{EventLoopHandle, LoopInput},
};

/// Adds the liveness and readiness probes, which load balancers and operators use.
pub(crate) fn add_probe_routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(readiness));
}

/// Adds the admin endpoints.
pub(crate) fn add_admin_routes(config: &mut web::ServiceConfig) {
    config
        .route("/admin/status", web::get().to(status))
        .route("/admin/targets", web::get().to(targets))
        .route("/admin/explain/{id}", web::get().to(explain));
}

async fn readiness(event_loop: web::Data<EventLoopHandle>) -> HttpResponse {
    match event_loop.unready_reason() {
        None => HttpResponse::Ok().json(json!({"ready": true})),
        Some(reason) => {
            HttpResponse::ServiceUnavailable().json(json!({"ready": false, "reason": reason}))
        }
    }
}

async fn status(event_loop: web::Data<EventLoopHandle>) -> HttpResponse {
    query_state(&event_loop, AdminQuery::Status).await
}

async fn targets(event_loop: web::Data<EventLoopHandle>) -> HttpResponse {
    query_state(&event_loop, AdminQuery::Targets).await
}

async fn explain(event_loop: web::Data<EventLoopHandle>, id: web::Path<String>) -> HttpResponse {
    query_state(&event_loop, AdminQuery::Explain(id.into_inner())).await
}

async fn query_state(event_loop: &EventLoopHandle, query: AdminQuery) -> HttpResponse {
    let (sender, answer) = oneshot::channel();
    event_loop.send(LoopInput::Admin(query, sender));
    match answer.await {
        Ok(Some(value)) => HttpResponse::Ok().json(value),
        Ok(None) => HttpResponse::NotFound().json(json!({"error": "nothing by that name"})),
        Err(_) => HttpResponse::ServiceUnavailable().json(json!({"error": "the router stops"})),
    }
}
