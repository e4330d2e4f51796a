//! `POST /v1/chat/completions` and `POST /v1/completions`, with complete or streamed responses.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;

use crate::clock::{monotonic, unix_seconds};
use crate::entry::auth::{AuthenticatedCaller, admit_caller, authenticate};
use crate::entry::body::{check_before_body, parse_json, read_body, respond_json};
use crate::entry::prompt::{ChatMessage, InferenceBody, prompt_of};
use crate::entry::{Refusal, RefusalCode};
use crate::ids::{ModelName, WorkspaceId};
use crate::routing::{InferenceError, InferenceRequest, InferenceSession};
use crate::scheduling::RequestClass;
use crate::targets::TokenEvent;
use crate::vm::{RunningGuard, VmContext};

/// The JSON format of a response, which depends on the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseFormat {
    Chat,
    Completion,
}

#[derive(Serialize)]
struct CompleteResponse<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a ModelName,
    choices: [CompleteChoice<'a>; 1],
    usage: TokenUsage,
}

#[derive(Serialize)]
struct CompleteChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatMessage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct TokenUsage {
    completion_tokens: u32,
}

#[derive(Serialize)]
struct ResponseChunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a ModelName,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChunkDelta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChunkDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// A response that is being generated for a caller.
struct OnlineResponse {
    id: String,
    format: ResponseFormat,
    model: ModelName,
    workspace: WorkspaceId,
    context: Rc<VmContext>,
    session: InferenceSession,
    received_at: Duration,
    first_token_at: Option<Duration>,
    _running: RunningGuard,
}

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn chat(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    respond(&context, &request, payload, ResponseFormat::Chat).await
}

/// Handles `POST /v1/completions`.
pub(crate) async fn completion(
    context: State<Rc<VmContext>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    respond(&context, &request, payload, ResponseFormat::Completion).await
}

async fn respond(
    context: &Rc<VmContext>,
    request: &HttpRequest,
    payload: Payload,
    format: ResponseFormat,
) -> HttpResponse {
    let result = run_inference(context, request, payload, format).await;
    result.unwrap_or_else(|(refusal, workspace)| {
        context.shared.metrics.record_refusal(refusal.code.as_str(), workspace.as_ref());
        refusal.response()
    })
}

/// A refusal and the workspace that it is counted for, if the caller is known.
type WorkspaceRefusal = (Refusal, Option<WorkspaceId>);

async fn run_inference(
    context: &Rc<VmContext>,
    request: &HttpRequest,
    mut payload: Payload,
    format: ResponseFormat,
) -> Result<HttpResponse, WorkspaceRefusal> {
    let received_at = monotonic();
    let running = context.start_request();
    let caller = check_before_body(authenticate(context, request), &mut payload).await;
    let caller = caller.map_err(|refusal| (refusal, None))?;
    let workspace = caller.entry.workspace.clone();
    let with_workspace = |refusal: Refusal| (refusal, Some(workspace.clone()));
    let limit = context.settings().online.body_limit;
    let body = read_body(context, request, payload, limit).await.map_err(with_workspace)?;
    let (body, _memory) = body;
    let body: InferenceBody = parse_json(&body).map_err(with_workspace)?;
    let stream = body.stream;
    let request = inference_request(context, &caller, body).map_err(with_workspace)?;
    admit_caller(context, &caller).await.map_err(with_workspace)?;
    context.shared.retry_budget().record_request();
    let mut response = OnlineResponse {
        id: format!("answer-{}", uuid::Uuid::new_v4().simple()),
        format,
        model: request.model.clone(),
        workspace: workspace.clone(),
        context: Rc::clone(context),
        session: InferenceSession::open(context, request),
        received_at,
        first_token_at: None,
        _running: running,
    };
    // Waits for the first token before the status line is sent, so that a failure until then gets
    // an error status.
    let first = response.next().await.map_err(with_workspace)?;
    if stream {
        Ok(response.stream(first))
    } else {
        response.collect(first).await.map_err(with_workspace)
    }
}

fn inference_request(
    context: &VmContext,
    caller: &AuthenticatedCaller,
    body: InferenceBody,
) -> Result<InferenceRequest, Refusal> {
    let prompt = prompt_of(body.prompt.as_deref(), &body.messages);
    let prompt = prompt.map_err(|message| Refusal::new(RefusalCode::BadRequest, message))?;
    if body.max_tokens == Some(0) {
        return Err(Refusal::new(RefusalCode::BadRequest, "`max_tokens` must be at least 1"));
    }
    let allowed = context.shared.with_config(|c| c.may_use_model(&caller.entry, &body.model));
    if !allowed {
        let message = format!("plan `{}` does not cover model `{}`", caller.entry.plan, body.model);
        return Err(Refusal::new(RefusalCode::NotAllowed, message));
    }
    let online = &context.settings().online;
    Ok(InferenceRequest {
        class: RequestClass::Online,
        workspace: caller.entry.workspace.clone(),
        key: Some(caller.key),
        model: body.model,
        prompt,
        max_tokens: body.max_tokens.unwrap_or(online.default_tokens),
        wait: online.wait,
        order: 0,
    })
}

impl OnlineResponse {
    async fn next(&mut self) -> Result<TokenEvent, Refusal> {
        let result = self.session.next().await;
        let now = monotonic();
        let metrics = &self.context.shared.metrics;
        match &result {
            Ok(TokenEvent::Token(_)) if self.first_token_at.is_none() => {
                self.first_token_at = Some(now);
                let elapsed = now.saturating_sub(self.received_at);
                metrics.record_first_token(RequestClass::Online, &self.workspace, elapsed);
            }
            Ok(TokenEvent::Token(_)) => {}
            Ok(TokenEvent::Done(_)) => self.record_completion(now),
            Err(error) => log::info!("entry: A response for `{}` failed: {error}.", self.workspace),
        }
        result.map_err(|error| self.refusal(&error))
    }

    fn record_completion(&self, now: Duration) {
        let metrics = &self.context.shared.metrics;
        let tokens = self.session.tokens();
        let elapsed = now.saturating_sub(self.received_at);
        metrics.record_response(RequestClass::Online, &self.workspace, elapsed, tokens);
        if let Some(first) = self.first_token_at
            && tokens > 1
        {
            let mean = now.saturating_sub(first) / (tokens - 1);
            metrics.record_token_interval(RequestClass::Online, &self.workspace, mean);
        }
    }

    fn refusal(&self, error: &InferenceError) -> Refusal {
        Refusal::from_inference_error(error, self.session.reached_target())
    }

    async fn collect(mut self, first: TokenEvent) -> Result<HttpResponse, Refusal> {
        let mut event = first;
        let reason = loop {
            match event {
                TokenEvent::Done(reason) => break reason,
                TokenEvent::Token(_) => event = self.next().await?,
            }
        };
        let text = self.session.text();
        let is_chat = self.format == ResponseFormat::Chat;
        let message = ChatMessage { role: "assistant".to_owned(), content: text.to_owned() };
        let choice = CompleteChoice {
            index: 0,
            message: is_chat.then_some(message),
            text: (!is_chat).then_some(text),
            finish_reason: &reason,
        };
        let response = CompleteResponse {
            id: &self.id,
            object: if is_chat { "chat.completion" } else { "text_completion" },
            created: unix_seconds(),
            model: &self.model,
            choices: [choice],
            usage: TokenUsage { completion_tokens: self.session.tokens() },
        };
        Ok(respond_json(StatusCode::OK, &response))
    }

    fn stream(self, first: TokenEvent) -> HttpResponse {
        let state = StreamState { response: self, pending: Some(first), ended: false };
        let events = stream::unfold(state, |mut state| async move {
            let data = state.next_data().await?;
            Some((data, state))
        });
        HttpResponse::build(StatusCode::OK)
            .content_type("text/event-stream")
            .set_header("cache-control", "no-store")
            .streaming(Box::pin(events))
    }

    fn format_event(&self, event: &TokenEvent) -> String {
        let (text, finish_reason) = match event {
            TokenEvent::Token(text) => (Some(text.as_str()), None),
            TokenEvent::Done(reason) => (None, Some(reason.as_str())),
        };
        let is_chat = self.format == ResponseFormat::Chat;
        let choice = ChunkChoice {
            index: 0,
            delta: is_chat.then_some(ChunkDelta { content: text }),
            text: if is_chat { None } else { Some(text.unwrap_or_default()) },
            finish_reason,
        };
        let chunk = ResponseChunk {
            id: &self.id,
            object: if is_chat { "chat.completion.chunk" } else { "text_completion" },
            model: &self.model,
            choices: [choice],
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        if finish_reason.is_some() {
            format!("data: {json}\n\ndata: [DONE]\n\n")
        } else {
            format!("data: {json}\n\n")
        }
    }
}

struct StreamState {
    response: OnlineResponse,
    pending: Option<TokenEvent>,
    ended: bool,
}

/// Ends the body of an incomplete response with an error, so that the caller sees a broken
/// transfer.
#[derive(Debug, thiserror::Error)]
#[error("the response is incomplete")]
struct IncompleteResponse;

impl StreamState {
    async fn next_data(&mut self) -> Option<Result<Bytes, IncompleteResponse>> {
        if self.ended {
            // `pending` is set here only after a failure.
            return self.pending.take().map(|_| Err(IncompleteResponse));
        }
        let event = match self.pending.take() {
            Some(event) => Ok(event),
            None => self.response.next().await,
        };
        let text = match event {
            Ok(event) => {
                self.ended = matches!(event, TokenEvent::Done(_));
                self.response.format_event(&event)
            }
            Err(refusal) => {
                self.ended = true;
                self.pending = Some(TokenEvent::Done(String::new()));
                format!("data: {}\n\n", refusal.json())
            }
        };
        Some(Ok(Bytes::from(text)))
    }
}
