//! Durable writes that take effect once even if the response to a write is lost.
//!
//! A write without a response may have taken effect. Every row therefore contains the ID of the attempt
//! that wrote it: after a conflict, the writer reads the row back and recognises its own write. All
//! modules write durable rows through this module.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ids::{AttemptId, RowKey};
use crate::platform::{PlatformError, PlatformResult, TableStore, TableTransaction};

const RETRY_DELAY: Duration = Duration::from_millis(100);
const ATTEMPT_FIELD: &str = "attempt";

/// Outcome of a durable write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect once. Contains the new version of the rows.
    Written(u64),
    /// A concurrent write came first; nothing was written.
    Conflict,
}

/// Encodes the content of a row together with the ID of the attempt that writes it.
pub(crate) fn encode_row(content: &impl Serialize, attempt: &AttemptId) -> Value {
    let mut value = serde_json::to_value(content).unwrap_or(Value::Null);
    if let Value::Object(fields) = &mut value {
        fields.insert(ATTEMPT_FIELD.to_owned(), Value::String(attempt.as_str().to_owned()));
    }
    value
}

/// Decodes the content of a row.
pub(crate) fn decode_row<T: DeserializeOwned>(value: &Value) -> PlatformResult<T> {
    T::deserialize(value)
        .map_err(|error| PlatformError::Refused(format!("unreadable row: {error}")))
}

fn is_written_by(value: &Value, attempt: &AttemptId) -> bool {
    value.get(ATTEMPT_FIELD).and_then(Value::as_str) == Some(attempt.as_str())
}

/// Runs `transaction` until its outcome is known, with at most `max_attempts` calls.
///
/// `marker_key` is the key of a row that the transaction writes with `attempt` in it. If a call
/// conflicts after an earlier call had no response, that row tells whether the transaction took effect.
///
/// # Errors
///
/// Returns [`PlatformError::Unavailable`] if the outcome is still unknown after the last call, and
/// [`PlatformError::Refused`] if the platform refuses the transaction.
pub(crate) async fn write_once(
    table: &dyn TableStore,
    transaction: &TableTransaction,
    marker_key: &RowKey,
    attempt: &AttemptId,
    max_attempts: usize,
) -> PlatformResult<WriteOutcome> {
    let mut last_error = PlatformError::Unavailable("not tried".to_owned());
    let mut response_lost = false;
    for _ in 0..max_attempts {
        match table.transact(transaction).await {
            Ok(revision) => return Ok(WriteOutcome::Written(revision)),
            // Every earlier call had a response, so the conflicting write is another writer's.
            Err(PlatformError::Conflict(_)) if !response_lost => return Ok(WriteOutcome::Conflict),
            Err(PlatformError::Conflict(_)) => match table.read(marker_key).await {
                Ok(row) => {
                    let own_row = row.filter(|row| is_written_by(&row.value, attempt));
                    return Ok(own_row
                        .map_or(WriteOutcome::Conflict, |row| WriteOutcome::Written(row.version)));
                }
                Err(error) => last_error = error,
            },
            Err(PlatformError::Unavailable(reason)) => {
                response_lost = true;
                last_error = PlatformError::Unavailable(reason);
            }
            Err(refused @ PlatformError::Refused(_)) => return Err(refused),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Err(last_error)
}
