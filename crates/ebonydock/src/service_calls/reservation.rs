//! The rows of calls with idempotency keys.

use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::clock::monotonic;
use crate::configuration::document::hex_of;
use crate::ids::{AttemptId, RowKey, WorkspaceId};
use crate::platform::durable::{WriteOutcome, decode_row, encode_row, write_once};
use crate::platform::{TableStore, TableTransaction};
use crate::service_calls::{CallAction, CallError, CallRecord, CallState, next_action};
use crate::targets::{ServiceRequest, ServiceResponse};

const MAX_WRITE_ATTEMPTS: usize = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A call that this VM may send, once.
pub(crate) struct CallReservation<'a> {
    table: &'a dyn TableStore,
    key: RowKey,
    digest: String,
    version: u64,
}

/// How to go on with a call.
pub(crate) enum ReserveOutcome<'a> {
    /// Nobody sent it yet: this VM may.
    Reserved(CallReservation<'a>),
    /// It was answered before.
    Replayed(ServiceResponse),
}

/// The row key of a call. Idempotency keys are hashed: they may hold any character.
pub(crate) fn call_key(workspace: &WorkspaceId, idempotency_key: &str) -> RowKey {
    let hash = hex_of(&Sha256::digest(idempotency_key.as_bytes()));
    RowKey::from(format!("notice/{workspace}/{hash}"))
}

/// The hash of what a call does.
pub(crate) fn call_digest(service: &str, request: &ServiceRequest) -> String {
    let mut hash = Sha256::new();
    for part in [service, &request.method, &request.path] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hash.update(&request.body);
    hex_of(&hash.finalize())
}

/// Reserves a call, waits for another VM that has it, or replays its outcome.
pub(crate) async fn reserve_call<'a>(
    table: &'a dyn TableStore,
    key: &RowKey,
    digest: &str,
) -> Result<ReserveOutcome<'a>, CallError> {
    let mut last_seen = None;
    loop {
        let row = table.read(key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let record: Option<CallRecord> = row.map(|row| decode_row(&row.value)).transpose()?;
        let now = monotonic();
        let (_, unchanged_since) = *last_seen.insert(match last_seen {
            Some((known, since)) if known == version => (known, since),
            _ => (version, now),
        });
        match next_action(record.as_ref(), digest, now.saturating_sub(unchanged_since)) {
            CallAction::Reserve | CallAction::TakeOver => {
                if let Some(version) = write_reservation(table, key, digest, version).await? {
                    let (key, digest) = (key.clone(), digest.to_owned());
                    return Ok(ReserveOutcome::Reserved(CallReservation {
                        table,
                        key,
                        digest,
                        version,
                    }));
                }
            }
            CallAction::Wait => tokio::time::sleep(POLL_INTERVAL).await,
            CallAction::Replay(response) => return Ok(ReserveOutcome::Replayed(response)),
            CallAction::Conflict => return Err(CallError::Conflict),
            CallAction::Unknown => return Err(CallError::OutcomeUnknown),
        }
    }
}

async fn write_reservation(
    table: &dyn TableStore,
    key: &RowKey,
    digest: &str,
    version: u64,
) -> Result<Option<u64>, CallError> {
    let row = CallRecord { digest: digest.to_owned(), state: CallState::Reserved };
    write_if_unchanged(table, key, version, &row).await
}

/// Writes the row if its version still is `version`. Returns the new version if it was written.
async fn write_if_unchanged(
    table: &dyn TableStore,
    key: &RowKey,
    version: u64,
    row: &CallRecord,
) -> Result<Option<u64>, CallError> {
    let attempt = AttemptId::random();
    let transaction =
        TableTransaction::default().require(key, version).write(key, encode_row(row, &attempt));
    match write_once(table, &transaction, key, &attempt, MAX_WRITE_ATTEMPTS).await? {
        WriteOutcome::Written(version) => Ok(Some(version)),
        WriteOutcome::Lost => Ok(None),
    }
}

impl CallReservation<'_> {
    /// Marks the call as sending. Only then may the first byte be sent.
    pub(crate) async fn mark_sending(&mut self) -> Result<(), CallError> {
        let row = CallRecord { digest: self.digest.clone(), state: CallState::Sending };
        let written = write_if_unchanged(self.table, &self.key, self.version, &row).await?;
        // Another VM took the reservation over; whether it sends is not known here.
        self.version = written.ok_or(CallError::OutcomeUnknown)?;
        Ok(())
    }

    /// Keeps the outcome. A failure leaves the row as sending, which resends report as unknown.
    pub(crate) async fn record_outcome(&self, state: CallState) {
        let row = CallRecord { digest: self.digest.clone(), state };
        if let Err(error) = write_if_unchanged(self.table, &self.key, self.version, &row).await {
            log::warn!("notices: The outcome of a call could not be kept: {error}.");
        }
    }

    /// Removes the row of a call that was not sent.
    pub(crate) async fn release(&self) {
        let transaction =
            TableTransaction::default().require(&self.key, self.version).delete(&self.key);
        if let Err(error) = self.table.transact(&transaction).await {
            log::warn!("notices: A reservation could not be removed: {error}.");
        }
    }
}
