//! The rows of calls with idempotency keys.

use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::clock::monotonic;
use crate::configuration::document::hex_of;
use crate::ids::{AttemptId, RowKey, WorkspaceId};
use crate::notices::{NoticeError, NoticeRow, NoticeState, NoticeStep, next_step};
use crate::platform::durable::{WriteOutcome, decode_row, encode_row, write_once};
use crate::platform::{TableStore, TableTransaction};
use crate::targets::{ServiceRequest, ServiceResponse};

const WRITE_TRIES: usize = 4;
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// A call that this VM may send, once.
pub(crate) struct NoticeTicket<'a> {
    table: &'a dyn TableStore,
    key: RowKey,
    digest: String,
    version: u64,
}

/// How to go on with a call.
pub(crate) enum NoticeEntry<'a> {
    /// Nobody sent it yet: this VM may.
    Open(NoticeTicket<'a>),
    /// It was answered before.
    Replayed(ServiceResponse),
}

/// The row key of a call. Idempotency keys are hashed: they may hold any character.
pub(crate) fn notice_key(workspace: &WorkspaceId, idempotency_key: &str) -> RowKey {
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
pub(crate) async fn enter<'a>(
    table: &'a dyn TableStore,
    key: &RowKey,
    digest: &str,
) -> Result<NoticeEntry<'a>, NoticeError> {
    let mut seen = None;
    loop {
        let row = table.read(key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let notice: Option<NoticeRow> = row.map(|row| decode_row(&row.value)).transpose()?;
        let now = monotonic();
        let (_, since) = *seen.insert(match seen {
            Some((known, since)) if known == version => (known, since),
            _ => (version, now),
        });
        match next_step(notice.as_ref(), digest, now.saturating_sub(since)) {
            NoticeStep::Reserve | NoticeStep::TakeOver => {
                if let Some(version) = reserve(table, key, digest, version).await? {
                    let (key, digest) = (key.clone(), digest.to_owned());
                    return Ok(NoticeEntry::Open(NoticeTicket { table, key, digest, version }));
                }
            }
            NoticeStep::Wait => tokio::time::sleep(POLL_PAUSE).await,
            NoticeStep::Replay(response) => return Ok(NoticeEntry::Replayed(response)),
            NoticeStep::Conflict => return Err(NoticeError::Conflict),
            NoticeStep::Unknown => return Err(NoticeError::OutcomeUnknown),
        }
    }
}

async fn reserve(
    table: &dyn TableStore,
    key: &RowKey,
    digest: &str,
    version: u64,
) -> Result<Option<u64>, NoticeError> {
    let row = NoticeRow { digest: digest.to_owned(), state: NoticeState::Reserved };
    put(table, key, version, &row).await
}

/// Writes the row if its version still is `version`. Returns the new version if it was written.
async fn put(
    table: &dyn TableStore,
    key: &RowKey,
    version: u64,
    row: &NoticeRow,
) -> Result<Option<u64>, NoticeError> {
    let attempt = AttemptId::random();
    let transaction =
        TableTransaction::default().require(key, version).write(key, encode_row(row, &attempt));
    match write_once(table, &transaction, key, &attempt, WRITE_TRIES).await? {
        WriteOutcome::Written(version) => Ok(Some(version)),
        WriteOutcome::Conflict => Ok(None),
    }
}

impl NoticeTicket<'_> {
    /// Marks the call as sending. Only then may the first byte be sent.
    pub(crate) async fn mark_sending(&mut self) -> Result<(), NoticeError> {
        let row = NoticeRow { digest: self.digest.clone(), state: NoticeState::Sending };
        let written = put(self.table, &self.key, self.version, &row).await?;
        // Another VM took the reservation over; whether it sends is not known here.
        self.version = written.ok_or(NoticeError::OutcomeUnknown)?;
        Ok(())
    }

    /// Keeps the outcome. A failure leaves the row as sending, which resends report as unknown.
    pub(crate) async fn settle(&self, state: NoticeState) {
        let row = NoticeRow { digest: self.digest.clone(), state };
        if let Err(error) = put(self.table, &self.key, self.version, &row).await {
            log::warn!("notices: The outcome of a call could not be kept: {error}.");
        }
    }

    /// Removes the row of a call that was not sent.
    pub(crate) async fn abandon(&self) {
        let transaction =
            TableTransaction::default().require(&self.key, self.version).delete(&self.key);
        if let Err(error) = self.table.transact(&transaction).await {
            log::warn!("notices: A reservation could not be removed: {error}.");
        }
    }
}
