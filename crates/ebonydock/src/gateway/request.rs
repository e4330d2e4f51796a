//! The unit that the gateway forwards.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method};
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};

use crate::configuration::KeyHash;

/// The id of one attempt of a caller, unchanged up to the target.
pub type RequestId = std::sync::Arc<str>;

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the content of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request declares that it will take at a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub most_output_tokens: u32,
    /// The parts of the prompt in their order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl TokenDemand {
    /// Identifies the parts that other requests share.
    pub fn shared_prefix(&self) -> Option<u64> {
        let (_, shared) = self.parts.split_last()?;
        let last = shared.last()?;
        Some(shared.iter().fold(last.id, |hash, part| hash.rotate_left(5) ^ part.id))
    }
}

/// A request with opaque content, as a caller or a job hands it in.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The id.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The host that the caller named.
    pub host: String,
    /// Headers that pass through. They never hold the caller's key.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
    /// The caller's key.
    pub key: Option<KeyHash>,
    /// How long the caller waits, from `received_at` on; `None` if it did not say.
    pub caller_timeout: Option<Duration>,
    /// When the request had arrived, by the monotonic clock.
    pub received_at: Duration,
    /// What it takes at a model engine.
    pub demand: Option<TokenDemand>,
    /// The last event that the caller already has.
    pub last_event: Option<u64>,
}
