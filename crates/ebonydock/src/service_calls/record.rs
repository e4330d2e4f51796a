//! Stored record of a call with an idempotency key, and the decision how to proceed with it. Does no I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::targets::ServiceResponse;

/// A reservation that is unchanged for this long was abandoned before anything was sent.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// A call that is marked as sending for this long has an unknown outcome.
const SENDING_TIMEOUT: Duration = Duration::from_secs(10);

/// Progress of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// A VM has reserved the call; nothing was sent.
    Reserved,
    /// Bytes may have been sent.
    Sending,
    /// The service responded.
    Answered(ServiceResponse),
    /// The connection failed after the first byte, so the outcome is unknown.
    Unknown,
}

/// Row of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Hash of the call; distinguishes a retry from a different call with the same key.
    pub digest: String,
    /// Progress of the call.
    pub state: CallState,
}

/// Next action for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Reserve the call by writing its row, which must not exist.
    Reserve,
    /// Take over an abandoned reservation.
    TakeOver,
    /// Read the row again later.
    Wait,
    /// Return the stored response.
    Replay(ServiceResponse),
    /// Report that the key was used for a different call.
    Conflict,
    /// Report that the outcome is unknown.
    Unknown,
}

/// Returns the next action for a call with this digest, given its row and how long the observer has seen
/// the row unchanged. The duration is measured by the observer's own monotonic clock.
pub fn next_action(row: Option<&CallRecord>, digest: &str, unchanged: Duration) -> CallAction {
    let Some(row) = row else { return CallAction::Reserve };
    if row.digest != digest {
        return CallAction::Conflict;
    }
    match &row.state {
        CallState::Reserved if unchanged >= RESERVATION_TIMEOUT => CallAction::TakeOver,
        CallState::Sending if unchanged >= SENDING_TIMEOUT => CallAction::Unknown,
        CallState::Reserved | CallState::Sending => CallAction::Wait,
        CallState::Answered(response) => CallAction::Replay(response.clone()),
        CallState::Unknown => CallAction::Unknown,
    }
}
