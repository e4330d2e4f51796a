//! Reads request bodies and writes JSON responses.

use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::{Refusal, RefusalCode};

/// A refused body is read and dropped up to this size.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Refuses a body that is incomplete or larger than `limit`.
pub(crate) async fn read_body(mut payload: Payload, limit: usize) -> Result<BytesMut, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| {
            Refusal::new(RefusalCode::BadRequest, format!("the body is incomplete: {error}"))
        })?;
        if body.len() + chunk.len() > limit {
            discard(&mut payload).await;
            let message = format!("the body is larger than {limit} bytes");
            return Err(Refusal::new(RefusalCode::TooLarge, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
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
    while let Some(Ok(chunk)) = payload.recv().await {
        remaining = remaining.saturating_sub(chunk.len());
        if remaining == 0 {
            return;
        }
    }
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
