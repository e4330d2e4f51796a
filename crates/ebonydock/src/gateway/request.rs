//! Requests that the gateway forwards.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method};
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};

use crate::configuration::KeyHash;

/// The id of one attempt of a caller to send a request. It reaches the target unchanged.
pub type RequestId = std::sync::Arc<str>;

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// The tokens that a request declares to need at a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// The number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub most_output_tokens: u32,
    /// The parts of the prompt in order. The last one belongs to this request or session only.
    pub parts: Vec<PromptPart>,
}

impl TokenDemand {
    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns an identifier of the parts that other requests may share, or `None` if there are none.
    pub fn shared_prefix(&self) -> Option<u64> {
        let shared = self.shared_parts();
        let last = shared.last()?;
        Some(shared.iter().fold(last.id, |hash, part| hash.rotate_left(5) ^ part.id))
    }
}

/// A request with opaque content, submitted by a caller or a job.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// The path, including the query.
    pub path: String,
    /// The host that the caller named.
    pub host: String,
    /// The headers that are forwarded. They never contain the caller's key.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The request body.
    pub body: Bytes,
    /// The hash of the caller's key.
    pub key: Option<KeyHash>,
    /// How long the caller waits, counted from `received_at`; `None` if the caller did not set a limit.
    pub caller_timeout: Option<Duration>,
    /// When the request arrived, by the monotonic clock.
    pub received_at: Duration,
    /// The tokens that it needs at a model engine.
    pub demand: Option<TokenDemand>,
    /// The id of the last event that the caller already received.
    pub last_event: Option<u64>,
}
