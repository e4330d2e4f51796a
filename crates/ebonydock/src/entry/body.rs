//! Reads request bodies and writes JSON responses.

use std::time::Duration;

use ntex::http::StatusCode;
use ntex::http::header::CONTENT_LENGTH;
use ntex::util::Bytes;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::{Refusal, RefusalCode};
use crate::memory::{MemoryLease, MemoryShortage};
use crate::vm::VmContext;

/// A refused body is read and dropped up to this size, so that its caller sees the refusal. More would let callers
/// occupy the VM with bodies that it has refused.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Limit for the time in which a refused body is read.
const MAX_DISCARDING_TIME: Duration = Duration::from_secs(2);
/// A body of which nothing arrives for this long is refused. Callers are cut off after 15 s without a byte elsewhere.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads a body of at most `limit` bytes within the memory budget. Returns it with the lease of its memory.
///
/// # Errors
///
/// Refuses a body that is incomplete, larger than `limit`, stops arriving, or for which there is no memory.
pub(crate) async fn read_body(
    context: &VmContext,
    request: &HttpRequest,
    mut payload: Payload,
    limit: usize,
) -> Result<(Bytes, MemoryLease), Refusal> {
    let header = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced: Option<usize> = header.and_then(|value| value.trim().parse().ok());
    let body = receive(context, &mut payload, announced, limit).await;
    if let Err(refusal) = &body {
        let is_sending =
            !matches!(refusal.code, RefusalCode::BadRequest | RefusalCode::BodyStalled);
        if is_sending && announced.is_none_or(|length| length <= limit + MAX_DISCARDED_BYTES) {
            discard(&mut payload).await;
        }
    }
    body
}

async fn receive(
    context: &VmContext,
    payload: &mut Payload,
    announced: Option<usize>,
    limit: usize,
) -> Result<(Bytes, MemoryLease), Refusal> {
    let too_large = || {
        let message = format!("the body is larger than {limit} bytes");
        Refusal::new(RefusalCode::TooLarge, message)
    };
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut buffer = context.memory.open_body(announced)?;
    loop {
        let chunk = tokio::select! {
            biased;
            () = buffer.reclaimed() => return Err(MemoryShortage.into()),
            chunk = tokio::time::timeout(BODY_IDLE_TIMEOUT, payload.recv()) => chunk,
        };
        let chunk = chunk
            .map_err(|_| Refusal::new(RefusalCode::BodyStalled, "the body stopped arriving"))?;
        let Some(chunk) = chunk else { return Ok(buffer.finish()) };
        let chunk = chunk.map_err(|error| {
            Refusal::new(RefusalCode::BadRequest, format!("the body is incomplete: {error}"))
        })?;
        if buffer.len() + chunk.len() > limit {
            return Err(too_large());
        }
        buffer.push(&chunk)?;
    }
}

/// Passes on the result of the checks before a body is read. Drops the body if the request is refused.
///
/// # Errors
///
/// Returns the refusal.
pub(crate) async fn check_before_body<T>(
    checked: Result<T, Refusal>,
    payload: &mut Payload,
) -> Result<T, Refusal> {
    if checked.is_err() {
        discard(payload).await;
    }
    checked
}

/// Reads and drops the rest of a body, up to [`MAX_DISCARDED_BYTES`].
///
/// A caller whose connection is closed while it still sends doesn't see the refusal.
async fn discard(payload: &mut Payload) {
    let mut remaining = MAX_DISCARDED_BYTES;
    let discarded = async {
        while let Some(Ok(chunk)) = payload.recv().await {
            let Some(rest) = remaining.checked_sub(chunk.len()) else { return };
            remaining = rest;
        }
    };
    // The end of the connection refuses a body that is still sent then.
    let _ = tokio::time::timeout(MAX_DISCARDING_TIME, discarded).await;
}

/// Parses a JSON body.
///
/// # Errors
///
/// Refuses invalid JSON with a message that names the field.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let reader = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let message = format!("the body is not valid: {}: {}", error.path(), error.inner());
        Refusal::new(RefusalCode::BadRequest, message)
    })
}

/// Returns a response with a JSON body.
pub(crate) fn respond_json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    HttpResponse::build(status).json(body)
}
