//! Durable writes whose answer may be lost.
//!
//! A write that was not answered may have taken effect. Every row that a slice writes carries the
//! attempt that wrote it, so a writer reads the row back and recognises its own effect before it
//! retries. All slices use this one module.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ids::{AttemptId, RowKey};
use crate::platform::{PlatformError, PlatformResult, TableStore, TableTransaction};

const RETRY_PAUSE: Duration = Duration::from_millis(100);
const ATTEMPT_FIELD: &str = "attempt";

/// What became of a durable write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect, once; the new version of the rows.
    Written(u64),
    /// Another writer was first; nothing was written.
    Lost,
}

/// Encodes the content of a row together with the attempt that writes it.
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

fn written_by(value: &Value, attempt: &AttemptId) -> bool {
    value.get(ATTEMPT_FIELD).and_then(Value::as_str) == Some(attempt.as_str())
}

/// Runs `transaction` until its outcome is known, for at most `tries` calls.
///
/// `witness` is a row that the transaction writes with `attempt` in it. When a call is not answered or
/// loses against a concurrent write, the witness decides whether the transaction took effect.
///
/// # Errors
///
/// [`PlatformError::Unavailable`] when the outcome stays unknown.
pub(crate) async fn write_once(
    table: &dyn TableStore,
    transaction: &TableTransaction,
    witness: &RowKey,
    attempt: &AttemptId,
    tries: usize,
) -> PlatformResult<WriteOutcome> {
    let mut last = PlatformError::Unavailable("not tried".to_owned());
    let mut unanswered = false;
    for _ in 0..tries {
        match table.transact(transaction).await {
            Ok(revision) => return Ok(WriteOutcome::Written(revision)),
            // Without an earlier unanswered call the conflict is another writer's for certain.
            Err(PlatformError::Conflict(_)) if !unanswered => return Ok(WriteOutcome::Lost),
            Err(PlatformError::Conflict(_)) => match table.read(witness).await {
                Ok(row) => {
                    let own = row.filter(|row| written_by(&row.value, attempt));
                    return Ok(
                        own.map_or(WriteOutcome::Lost, |row| WriteOutcome::Written(row.version))
                    );
                }
                Err(error) => last = error,
            },
            Err(PlatformError::Unavailable(reason)) => {
                unanswered = true;
                last = PlatformError::Unavailable(reason);
            }
            Err(refused @ PlatformError::Refused(_)) => return Err(refused),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(last)
}
