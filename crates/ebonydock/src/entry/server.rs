//! The HTTP routes for callers.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::entry::{Refusal, RefusalCode, batches, completions, models, services};
use crate::vm::VmContext;

/// Adds the routes for callers to the HTTP server.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(completions::chat))
        .route("/v1/completions", web::post().to(completions::completion))
        .route("/v1/models", web::get().to(models::list_models))
        .route("/v1/batches", web::post().to(batches::submit))
        .route("/v1/batches/{id}", web::get().to(batches::show))
        .route("/v1/batches/{id}/results", web::get().to(batches::results))
        .route("/v1/batches/{id}/cancel", web::post().to(batches::cancel))
        .route("/services/{service}/{rest}*", web::route().to(services::call_service))
        .route("/healthz", web::get().to(healthy))
        .route("/readyz", web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn healthy() -> HttpResponse {
    HttpResponse::build(StatusCode::OK).body("alive\n")
}

async fn ready(context: State<Rc<VmContext>>) -> HttpResponse {
    if context.shared.is_ready() {
        return HttpResponse::build(StatusCode::OK).body("ready\n");
    }
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}

async fn metrics(context: State<Rc<VmContext>>) -> HttpResponse {
    let shared = &context.shared;
    let members = shared.membership().members().count() + 1;
    let version = shared.with_config(|config| config.version.0);
    shared.metrics.set_gauges(shared.running(), version, members, shared.peers.traffic());
    HttpResponse::build(StatusCode::OK)
        .content_type("application/openmetrics-text; version=1.0.0")
        .body(shared.metrics.encode())
}

/// Refuses a request whose path has no route.
pub(crate) async fn unknown_route() -> HttpResponse {
    Refusal::new(RefusalCode::NotFound, "there is no such route").response()
}
