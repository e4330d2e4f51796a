//! Digests of requests, by which the callers of refused requests are recognized when they return.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::gateway::ForwardedRequest;

/// Hash of what a caller repeats when it sends a refused request again: everything but the request id and the
/// headers. A false match only lets one more request take a promised token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub u32);

impl RequestDigest {
    /// Returns the digest of a request.
    pub fn of(request: &ForwardedRequest) -> Self {
        let key = request.key.as_ref().map_or(&[][..], |key| key.as_bytes());
        let fields = [
            request.host.as_bytes(),
            key,
            request.method.as_str().as_bytes(),
            request.path.as_bytes(),
        ];
        let mut hasher = Xxh3::new();
        for field in fields.into_iter().chain([&request.body[..]]) {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        for part in request.demand.iter().flat_map(|demand| &demand.parts) {
            hasher.update(&part.id.to_le_bytes());
            hasher.update(&part.tokens.to_le_bytes());
        }
        Self(hasher.digest() as u32)
    }
}
