//! Who calls.

use ntex::http::header::AUTHORIZATION;
use ntex::web::HttpRequest;

use crate::configuration::{KeyHash, WorkspaceEntry};
use crate::entry::{Refusal, RefusalCode};
use crate::ids::ConfigVersion;
use crate::limits::admission::admit;
use crate::vm::VmContext;

/// A caller whose key is valid.
#[derive(Clone, Debug)]
pub(crate) struct AuthenticatedCaller {
    /// The hash of the key.
    pub(crate) key: KeyHash,
    /// The workspace that the key is tied to.
    pub(crate) entry: WorkspaceEntry,
}

/// The key in the request, hashed; `None` without one.
pub(crate) fn bearer_key(request: &HttpRequest) -> Option<KeyHash> {
    let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| KeyHash::of(key.trim()))
}

/// The caller of a request.
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

/// Spends a token of the caller's rate.
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
