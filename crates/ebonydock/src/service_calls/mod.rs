//! Calls of plain services, with at-most-once delivery of calls that are not idempotent.
//!
//! Without an idempotency key, a call that is not idempotent needs no stored state: it is not retried
//! once bytes may have reached the service. With a key, conditional writes reserve the call and then
//! mark it as sending before the first byte is sent; its outcome is stored and replayed to callers that
//! retry.

mod delivery;
mod record;
mod reservation;
#[cfg(test)]
mod tests;

pub(crate) use delivery::{OutgoingCall, deliver_call};
pub use record::{CallAction, CallRecord, CallState, next_action};

use crate::platform::PlatformError;

/// Why a call has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The service has no targets.
    #[error("no target serves this service")]
    NoTarget,
    /// No target could be reached, so nothing was sent.
    #[error("no target of the service could be reached")]
    NotSent,
    /// The idempotency key was used for a different call.
    #[error("the idempotency key was used for a different call")]
    Conflict,
    /// The call may have been handled, so it is not retried.
    #[error("the call may have been handled; it is not sent again")]
    OutcomeUnknown,
    /// The platform's table failed, so nothing was sent.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
