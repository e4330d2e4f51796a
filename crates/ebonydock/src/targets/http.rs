//! HTTP client for targets. Engines receive JSON requests and respond with server-sent events; calls of
//! plain services are passed through.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use http::header::{CONNECTION, CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::Full;
use ntex::util::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gateway::connections::resolve;
use crate::gateway::{BodyBudget, ConnectionPool, PooledBody, PooledResponse, SendError};
use crate::scheduling::CacheReport;
use crate::targets::{
    EngineClient, EngineCommand, EngineStatus, GenerateRequest, ServiceClient, ServiceRequest,
    ServiceResponse, TargetError, TokenEvent, TokenEvents, TokenStream,
};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time to the response headers of an engine, after which the attempt counts as failed.
const RESPONSE_START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two events of a response, after which the attempt counts as failed.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for one event of an engine, which holds a token; bytes beyond this are no event.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Limit for a response that is read whole.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const START_ID_HEADER: &str = "x-start-id";
const JSON: &str = "application/json";

/// HTTP client for model engines and plain services.
pub struct TargetClient {
    connections: ConnectionPool,
}

/// Server-sent event in the response of an engine.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineEvent {
    /// Request that the event belongs to.
    pub request_id: String,
    /// Index of the token in the whole response, which continues when an attempt is resumed.
    pub index: u32,
    /// Text of the token.
    #[serde(default)]
    pub text: String,
    /// Reason why generation ended; set only on the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Wire format of an engine's cache report.
#[derive(Debug, Serialize, Deserialize)]
pub struct EngineCache {
    /// Number of the first event in `entries`, or for a listing the number of the next event.
    pub position: u64,
    /// Whether `entries` lists the whole cache instead of events.
    pub listing: bool,
    /// Prefix hashes, with `true` if stored and `false` if evicted.
    pub entries: Vec<(u64, bool)>,
}

impl TargetClient {
    /// Opens a client.
    pub fn open() -> Self {
        Self { connections: ConnectionPool::default() }
    }

    /// Sends a request of a caller over a connection of its own, and waits up to `timeout` for the head of the
    /// response. A pooled connection may be closed by the target while the request is sent, and after a cancelled
    /// response it must not be reused.
    async fn send(
        &self,
        address: &str,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PooledResponse, TargetError> {
        let request = encode_request(address, request.header(CONNECTION, "close"), body)?;
        let socket = resolve(address).await.map_err(send_error)?;
        response_in_time(self.connections.send_over_new(socket, request), timeout).await
    }

    /// Sends a request of this VM over a pooled connection.
    async fn send_own(
        &self,
        address: &str,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<PooledResponse, TargetError> {
        let request = encode_request(address, request, body)?;
        let socket = resolve(address).await.map_err(send_error)?;
        response_in_time(self.connections.send(socket, request), RESPONSE_TIMEOUT).await
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, TargetError> {
        let response = self.send_own(address, Request::get(path), Bytes::new()).await?;
        if !response.head.status.is_success() {
            return Err(status_error(response).await);
        }
        serde_json::from_slice(&read_body(response.body).await?).map_err(failed_response)
    }
}

fn encode_request(
    address: &str,
    request: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<bytes::Bytes>>, TargetError> {
    let body = Full::new(bytes::Bytes::from_owner(body));
    request.header(HOST, address).body(body).map_err(failed_response)
}

fn encode_json(body: &impl Serialize) -> Result<Bytes, TargetError> {
    serde_json::to_vec(body).map(Bytes::from).map_err(failed_response)
}

async fn response_in_time(
    response: impl Future<Output = Result<PooledResponse, SendError>>,
    timeout: Duration,
) -> Result<PooledResponse, TargetError> {
    let response = tokio::time::timeout(timeout, response).await;
    let late = |_| TargetError::Broken("no answer in time".to_owned());
    response.map_err(late)?.map_err(send_error)
}

fn send_error(error: SendError) -> TargetError {
    match error {
        SendError::NotSent(_) => TargetError::NotSent,
        SendError::Lost(reason) => TargetError::Broken(reason),
    }
}

fn failed_response(error: impl std::fmt::Display) -> TargetError {
    TargetError::Broken(error.to_string())
}

/// Reads a complete body.
async fn read_body(body: PooledBody) -> Result<Bytes, TargetError> {
    let budget = BodyBudget::open(MAX_BODY_BYTES);
    let body = tokio::time::timeout(RESPONSE_TIMEOUT, body.read_all(MAX_BODY_BYTES, &budget)).await;
    body.map_err(|_| TargetError::Broken("the answer is not complete in time".to_owned()))?
        .map_err(send_error)
}

async fn status_error(response: PooledResponse) -> TargetError {
    let status = response.head.status;
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        return TargetError::Overloaded;
    }
    let text = read_body(response.body).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    if status.is_client_error() {
        return TargetError::Rejected(text);
    }
    TargetError::Broken(format!("status {status}: {text}"))
}

fn start_id(response: &PooledResponse) -> u64 {
    let header = response.head.headers.get(START_ID_HEADER).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Parses an event and checks that it belongs to the request and has the expected token index.
fn parse_event(request_id: &str, next: &mut u32, data: &str) -> Result<TokenEvent, TargetError> {
    let event: EngineEvent = serde_json::from_str(data).map_err(failed_response)?;
    if event.request_id != request_id || event.index != *next {
        return Err(TargetError::Mismatch);
    }
    if let Some(reason) = event.finish_reason {
        return Ok(TokenEvent::Done(reason));
    }
    *next += 1;
    Ok(TokenEvent::Token(event.text))
}

fn token_events(body: PooledBody, request: &GenerateRequest) -> TokenEvents {
    let request_id = request.request_id.clone();
    let mut next = request.generated_tokens;
    let mut done = false;
    // Bytes received since the last event.
    let pending = Rc::new(Cell::new(0));
    let received = Rc::clone(&pending);
    let chunks = futures_util::stream::unfold(body, async |mut body| {
        let chunk = body.next_chunk().await?;
        Some((chunk, body))
    });
    let chunks = chunks.map(move |chunk: Result<Bytes, SendError>| {
        let chunk = chunk.map_err(|error| error.to_string())?;
        received.set(received.get() + chunk.len());
        if received.get() > MAX_EVENT_BYTES {
            return Err(format!("an event is larger than {MAX_EVENT_BYTES} bytes"));
        }
        Ok(chunk.to_vec())
    });
    let events = Box::pin(chunks.eventsource());
    let timed =
        futures_util::stream::unfold((events, pending), |(mut events, pending)| async move {
            let event = tokio::time::timeout(TOKEN_TIMEOUT, events.next()).await;
            pending.set(0);
            let events = (events, pending);
            match event {
                Ok(Some(event)) => Some((event.map_err(failed_response), events)),
                Ok(None) => {
                    Some((Err(TargetError::Broken("the answer is incomplete".into())), events))
                }
                Err(_) => Some((Err(TargetError::Broken("no token in time".into())), events)),
            }
        });
    let checked = timed.map(move |event| parse_event(&request_id, &mut next, &event?.data));
    // Stop after the final event or the first error.
    let ended = checked.take_while(move |event| {
        let ended = done;
        done = !matches!(event, Ok(TokenEvent::Token(_)));
        futures_util::future::ready(!ended)
    });
    Box::pin(ended)
}

impl EngineClient for TargetClient {
    fn generate<'a>(
        &'a self,
        address: &'a str,
        request: &'a GenerateRequest,
    ) -> LocalBoxFuture<'a, Result<TokenStream, TargetError>> {
        Box::pin(async move {
            let head = Request::post("/v1/generate").header(CONTENT_TYPE, JSON);
            let body = encode_json(request)?;
            let response = self.send(address, head, body, RESPONSE_START_TIMEOUT).await?;
            if response.head.status != StatusCode::OK {
                return Err(status_error(response).await);
            }
            Ok(TokenStream {
                start_id: start_id(&response),
                events: token_events(response.body, request),
            })
        })
    }

    fn status<'a>(
        &'a self,
        address: &'a str,
    ) -> LocalBoxFuture<'a, Result<EngineStatus, TargetError>> {
        Box::pin(self.get(address, "/status"))
    }

    fn cache<'a>(
        &'a self,
        address: &'a str,
        after: Option<u64>,
    ) -> LocalBoxFuture<'a, Result<CacheReport, TargetError>> {
        Box::pin(async move {
            let after = after.map(|after| format!("?after={after}")).unwrap_or_default();
            let cache: EngineCache = self.get(address, &format!("/cache{after}")).await?;
            Ok(cache.into())
        })
    }

    fn send_command<'a>(
        &'a self,
        address: &'a str,
        command: &'a EngineCommand,
    ) -> LocalBoxFuture<'a, Result<(), TargetError>> {
        Box::pin(async move {
            let head = Request::post("/orders").header(CONTENT_TYPE, JSON);
            let response = self.send_own(address, head, encode_json(command)?).await?;
            let is_accepted = response.head.status.is_success();
            if is_accepted { Ok(()) } else { Err(status_error(response).await) }
        })
    }
}

impl From<EngineCache> for CacheReport {
    fn from(cache: EngineCache) -> Self {
        if cache.listing {
            let prefixes = cache.entries.into_iter().map(|(prefix, _)| prefix).collect();
            return Self::Listing { next_event: cache.position, prefixes };
        }
        Self::Events { first_event: cache.position, events: cache.entries }
    }
}

impl ServiceClient for TargetClient {
    fn call<'a>(
        &'a self,
        address: &'a str,
        request: &'a ServiceRequest,
    ) -> LocalBoxFuture<'a, Result<ServiceResponse, TargetError>> {
        Box::pin(async move {
            let mut head = Request::builder().method(request.method.as_str()).uri(&request.path);
            head = head.header("x-request-id", &request.request_id);
            if let Some(content_type) = &request.content_type {
                head = head.header(CONTENT_TYPE, content_type);
            }
            let response = self.send(address, head, request.body.clone(), RESPONSE_TIMEOUT).await?;
            let content_type = response.head.headers.get(CONTENT_TYPE);
            let content_type = content_type.and_then(|value| value.to_str().ok());
            Ok(ServiceResponse {
                status: response.head.status.as_u16(),
                content_type: content_type.map(str::to_owned),
                body: read_body(response.body).await?.to_vec(),
            })
        })
    }
}
