//! Authentication and rate limiting of callers.

use ntex::http::header::AUTHORIZATION;
use ntex::web::HttpRequest;

use crate::configuration::{KeyHash, WorkspaceEntry};
use crate::entry::{Refusal, RefusalCode};
use crate::ids::ConfigVersion;
use crate::limits::admission::admit;
use crate::vm::VmContext;

/// A caller with a valid key.
#[derive(Clone, Debug)]
pub(crate) struct AuthenticatedCaller {
    /// The hash of the caller's key.
    pub(crate) key: KeyHash,
    /// The workspace that the key belongs to.
    pub(crate) entry: WorkspaceEntry,
}

/// Returns the hash of the bearer key in the `Authorization` header, or `None` if there is none.
pub(crate) fn bearer_key(request: &HttpRequest) -> Option<KeyHash> {
    let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| KeyHash::of(key.trim()))
}

/// Returns the caller of a request.
///
/// # Errors
///
/// Refuses the request if the VM has no configuration yet, or if the key is missing or unknown.
pub(crate) fn authenticate(
    context: &VmContext,
    request: &HttpRequest,
) -> Result<AuthenticatedCaller, Refusal> {
    let key = bearer_key(request);
    context.shared.with_config(|config| {
        if config.version == ConfigVersion::default() {
            return Err(Refusal::new(RefusalCode::NotReady, "the VM has no configuration yet"));
        }
        let key = key.ok_or_else(|| {
            Refusal::new(RefusalCode::InvalidKey, "send a key as `Authorization: Bearer KEY`")
        })?;
        let entry = config.workspace_of(&key).cloned();
        let entry =
            entry.ok_or_else(|| Refusal::new(RefusalCode::InvalidKey, "the key does not exist"))?;
        Ok(AuthenticatedCaller { key, entry })
    })
}

/// Takes a token from the workspace's rate limit.
///
/// # Errors
///
/// Refuses the request if the workspace is over its rate, with the delay until a retry.
pub(crate) async fn admit_caller(
    context: &VmContext,
    caller: &AuthenticatedCaller,
) -> Result<(), Refusal> {
    let admitted = admit(&context.shared, &caller.entry).await;
    admitted.map_err(|delay| {
        let message = format!("workspace `{}` is over its rate", caller.entry.workspace);
        Refusal::new(RefusalCode::RateLimited, message).retry_after(delay)
    })
}
