//! Calls of plain services, above all those that must not be repeated.
//!
//! A call that is not idempotent is sent at most once. Without an idempotency key no store is needed:
//! once bytes may have reached the service, the call is not sent again. With a key the call is reserved
//! and then marked as sending by conditional writes before the first byte; the outcome is kept and
//! replayed to callers that resend.

mod delivery;
mod record;
mod reservation;
#[cfg(test)]
mod tests;

pub(crate) use delivery::{OutgoingCall, deliver_call};
pub use record::{CallAction, CallRecord, CallState, next_action};

use crate::platform::PlatformError;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The service has no target.
    #[error("no target serves this service")]
    NoTarget,
    /// No target could be reached; nothing was sent.
    #[error("no target of the service could be reached")]
    NotSent,
    /// The idempotency key was used for another call.
    #[error("the idempotency key was used for a different call")]
    Conflict,
    /// The call may have been handled; it is not sent again.
    #[error("the call may have been handled; it is not sent again")]
    OutcomeUnknown,
    /// The platform does not answer; nothing was sent.
    #[error(transparent)]
    Platform(#[from] PlatformError),
}
