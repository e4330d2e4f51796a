//! Reservation of calls with idempotency keys, by conditional writes of their rows.

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

/// Right of this VM to send a call once.
pub(crate) struct CallReservation<'a> {
    table: &'a dyn TableStore,
    key: RowKey,
    digest: String,
    version: u64,
}

/// Outcome of an attempt to reserve a call.
pub(crate) enum ReserveOutcome<'a> {
    /// The call was not sent yet, and this VM may send it.
    Reserved(CallReservation<'a>),
    /// The call was completed before, with this response.
    Replayed(ServiceResponse),
}

/// Returns the row key of a call. The idempotency key is hashed, because it may contain any character.
pub(crate) fn call_key(workspace: &WorkspaceId, idempotency_key: &str) -> RowKey {
    let hash = hex_of(&Sha256::digest(idempotency_key.as_bytes()));
    RowKey::from(format!("notice/{workspace}/{hash}"))
}

/// Returns a hash of the service, method, path and body of a call.
pub(crate) fn call_digest(service: &str, request: &ServiceRequest) -> String {
    let mut hash = Sha256::new();
    for part in [service, &request.method, &request.path] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hash.update(&request.body);
    hex_of(&hash.finalize())
}

/// Reserves a call, waits while another VM holds the reservation, or returns the stored response.
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

/// Writes the row if its version is still `version`. Returns the new version, or `None` if another write
/// came first.
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
        WriteOutcome::Conflict => Ok(None),
    }
}

impl CallReservation<'_> {
    /// Marks the call as sending. The first byte may be sent only after this.
    pub(crate) async fn mark_sending(&mut self) -> Result<(), CallError> {
        let row = CallRecord { digest: self.digest.clone(), state: CallState::Sending };
        let written = write_if_unchanged(self.table, &self.key, self.version, &row).await?;
        // Another VM took over the reservation, and this VM cannot know whether it sends the call.
        self.version = written.ok_or(CallError::OutcomeUnknown)?;
        Ok(())
    }

    /// Stores the outcome. If the write fails, the row stays as sending, and retries by the caller get an
    /// unknown outcome.
    pub(crate) async fn record_outcome(&self, state: CallState) {
        let row = CallRecord { digest: self.digest.clone(), state };
        if let Err(error) = write_if_unchanged(self.table, &self.key, self.version, &row).await {
            log::warn!(
                "notices: Outcome of a call not stored; retries get an unknown outcome: {error}."
            );
        }
    }

    /// Removes the row of a call that was not sent.
    pub(crate) async fn release(&self) {
        let transaction =
            TableTransaction::default().require(&self.key, self.version).delete(&self.key);
        if let Err(error) = self.table.transact(&transaction).await {
            log::warn!(
                "notices: Row of an unsent call not removed; retries get an unknown outcome: {error}."
            );
        }
    }
}
