//! Reading bodies and writing JSON.

use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::{Refusal, RefusalCode};

/// Bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Reads a body of at most `limit` bytes.
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

/// Reads what a caller still sends, up to a limit: a caller that is cut off while it sends does not see
/// why.
async fn discard(payload: &mut Payload) {
    let mut remaining = MAX_DISCARDED_BYTES;
    while let Some(Ok(chunk)) = payload.recv().await {
        remaining = remaining.saturating_sub(chunk.len());
        if remaining == 0 {
            return;
        }
    }
}

/// Parses JSON; the refusal names the field.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let reader = &mut serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(reader).map_err(|error| {
        let message = format!("the body is not valid: {}: {}", error.path(), error.inner());
        Refusal::new(RefusalCode::BadRequest, message)
    })
}

/// A response with a JSON body.
pub(crate) fn respond_json(status: StatusCode, body: &impl Serialize) -> HttpResponse {
    HttpResponse::build(status).json(body)
}
