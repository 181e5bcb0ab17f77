//! Liveness, readiness and the operators' questions.

use actix_web::{HttpResponse, web};
use serde_json::json;
use tokio::sync::oneshot;

use crate::{
    core::{CoreHandle, CoreInput},
    decision::AdminQuery,
};

/// Adds the probes that callers' load balancers and operators use.
pub(crate) fn add_probes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(ready));
}

/// Adds the operators' questions.
pub(crate) fn add_admin(config: &mut web::ServiceConfig) {
    config
        .route("/admin/status", web::get().to(status))
        .route("/admin/targets", web::get().to(targets))
        .route("/admin/explain/{id}", web::get().to(explain));
}

async fn ready(core: web::Data<CoreHandle>) -> HttpResponse {
    match core.unready_reason() {
        None => HttpResponse::Ok().json(json!({"ready": true})),
        Some(reason) => {
            HttpResponse::ServiceUnavailable().json(json!({"ready": false, "reason": reason}))
        }
    }
}

async fn status(core: web::Data<CoreHandle>) -> HttpResponse {
    ask(&core, AdminQuery::Status).await
}

async fn targets(core: web::Data<CoreHandle>) -> HttpResponse {
    ask(&core, AdminQuery::Targets).await
}

async fn explain(core: web::Data<CoreHandle>, id: web::Path<String>) -> HttpResponse {
    ask(&core, AdminQuery::Explain(id.into_inner())).await
}

async fn ask(core: &CoreHandle, query: AdminQuery) -> HttpResponse {
    let (sender, answer) = oneshot::channel();
    core.send(CoreInput::Admin(query, sender));
    match answer.await {
        Ok(Some(value)) => HttpResponse::Ok().json(value),
        Ok(None) => HttpResponse::NotFound().json(json!({"error": "nothing by that name"})),
        Err(_) => HttpResponse::ServiceUnavailable().json(json!({"error": "the router stops"})),
    }
}
