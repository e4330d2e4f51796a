//! `GET /v1/models`: lists the models that the caller's plan covers and that some engine serves.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;

use crate::entry::auth::authenticate;
use crate::entry::body::respond_json;
use crate::ids::ModelName;
use crate::vm::VmContext;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: ModelName,
    object: &'static str,
}

/// Handles `GET /v1/models`.
pub(crate) async fn list_models(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
) -> HttpResponse {
    let caller = match authenticate(&context, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refusal.response(),
    };
    let models = context.shared.with_config(|config| config.models_of(&caller.entry).to_vec());
    let fleet = context.shared.fleet();
    let data_centres = &context.settings().data_centres;
    let served = |model: &ModelName| {
        data_centres.iter().any(|data_centre| !fleet.engines(data_centre, model).is_empty())
    };
    let items = models.into_iter().filter(served);
    let data = items.map(|id| ModelItem { id, object: "model" }).collect();
    respond_json(StatusCode::OK, &ModelList { object: "list", data })
}
