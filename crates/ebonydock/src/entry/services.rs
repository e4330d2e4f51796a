//! `/services/{service}/...`: forwards calls to plain services.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};

use crate::configuration::ServiceCall;
use crate::entry::auth::{AuthenticatedCaller, admit_caller, authenticate, bearer_key};
use crate::entry::body::{check_before_body, read_body};
use crate::entry::{Refusal, RefusalCode};
use crate::ids::ServiceName;
use crate::service_calls::{OutgoingCall, deliver_call};
use crate::targets::ServiceRequest;
use crate::vm::VmContext;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
const SAFE_METHODS: [&str; 2] = ["GET", "HEAD"];

/// Handles all requests below `/services/`.
pub(crate) async fn call_service(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let running = context.start_request();
    let response = forward(&context, &request, payload).await;
    drop(running);
    response.unwrap_or_else(|refusal| {
        context.shared.metrics.record_refusal(refusal.code.as_str(), None);
        refusal.response()
    })
}

async fn forward(
    context: &Rc<VmContext>,
    request: &HttpRequest,
    mut payload: Payload,
) -> Result<HttpResponse, Refusal> {
    let service = ServiceName::from(request.match_info().get("service").unwrap_or_default());
    let rest = request.match_info().get("rest").unwrap_or_default();
    let path = format!("/{rest}");
    let authorised = authorise(context, request, &service, &path);
    let (caller, call) = check_before_body(authorised, &mut payload).await?;
    let (body, _memory) =
        read_body(context, request, payload, context.settings().online.body_limit).await?;
    if let Some(caller) = &caller {
        admit_caller(context, caller).await?;
    }
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let idempotency_key = header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    if idempotency_key.as_ref().is_some_and(|key| key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        let message =
            format!("`{IDEMPOTENCY_KEY_HEADER}` is longer than {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Refusal::new(RefusalCode::BadRequest, message));
    }
    let query = request.query_string();
    let target_path = if query.is_empty() { path } else { format!("{path}?{query}") };
    let method = request.method().as_str().to_owned();
    let outgoing = OutgoingCall {
        workspace: caller.map(|caller| caller.entry.workspace),
        service,
        idempotent: call.idempotent || SAFE_METHODS.contains(&method.as_str()),
        idempotency_key,
        request: ServiceRequest {
            method,
            path: target_path,
            content_type: header(CONTENT_TYPE.as_str()).map(str::to_owned),
            request_id: uuid::Uuid::new_v4().simple().to_string(),
            body,
        },
    };
    let service_response = deliver_call(context, outgoing).await?;
    let status = StatusCode::from_u16(service_response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if let Some(content_type) = service_response.content_type {
        response.content_type(content_type);
    }
    Ok(response.body(service_response.body))
}

/// Returns the caller and the rules for the call. Anonymous routes need no key.
fn authorise(
    context: &VmContext,
    request: &HttpRequest,
    service: &ServiceName,
    path: &str,
) -> Result<(Option<AuthenticatedCaller>, ServiceCall), Refusal> {
    if path.split('/').any(|segment| segment == ".." || segment == ".") {
        return Err(Refusal::new(RefusalCode::BadRequest, "the path must not contain `..`"));
    }
    let anonymous_call =
        context.shared.with_config(|config| config.service_call(None, service, path));
    if bearer_key(request).is_none()
        && let Some(call) = anonymous_call
    {
        return Ok((None, call));
    }
    let caller = authenticate(context, request)?;
    let call = context
        .shared
        .with_config(|config| config.service_call(Some(&caller.entry), service, path));
    let call = call.or(anonymous_call).ok_or_else(|| {
        let message = format!("plan `{}` does not cover `{service}{path}`", caller.entry.plan);
        Refusal::new(RefusalCode::NotAllowed, message)
    })?;
    Ok((Some(caller), call))
}
