//! What to do about a call with an idempotency key. Free of I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::targets::ServiceResponse;

/// A reservation that did not change for this long was abandoned before anything was sent.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// A call that is marked as sending for longer than this has an unknown outcome.
const SENDING_TIMEOUT: Duration = Duration::from_secs(10);

/// How far a call got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// Reserved; nothing was sent.
    Reserved,
    /// Bytes may have been sent.
    Sending,
    /// The service answered.
    Answered(ServiceResponse),
    /// The connection broke behind the first byte.
    Unknown,
}

/// The row of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The hash of the call, which tells a resent call from another one.
    pub digest: String,
    /// How far the call got.
    pub state: CallState,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Reserve the call by writing the row, which must be absent.
    Reserve,
    /// Take an abandoned reservation over.
    TakeOver,
    /// Look again later.
    Wait,
    /// Replay the outcome.
    Replay(ServiceResponse),
    /// Say that the key was used for another call.
    Conflict,
    /// Say that the outcome is unknown.
    Unknown,
}

/// The next step for a call with this digest, given its row and for how long the row was seen unchanged,
/// by the observer's own clock.
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
