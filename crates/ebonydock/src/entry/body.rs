//! Reading bodies and writing JSON.

use ntex::http::StatusCode;
use ntex::util::BytesMut;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::entry::{Refusal, RefusalCode};

/// Reads a body of at most `limit` bytes.
pub(crate) async fn read_body(mut payload: Payload, limit: usize) -> Result<BytesMut, Refusal> {
    let mut body = BytesMut::new();
    while let Some(part) = payload.recv().await {
        let part = part.map_err(|error| {
            Refusal::new(RefusalCode::BadRequest, format!("the body is incomplete: {error}"))
        })?;
        if body.len() + part.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(Refusal::new(RefusalCode::TooLarge, message));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
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
