//! Queue of body chunks between the task that reads a target's response and the caller's connection.
//!
//! The end of a body is sent explicitly. A sender that goes away without it, for example because its task was
//! cancelled, leaves a broken body, never one that looks complete.

use std::time::Duration;

use ntex::util::Bytes;
use tokio::sync::mpsc;

use crate::gateway::connections::SendError;
use crate::memory::{MemoryKind, MemoryLease, MemoryLedger};

/// Chunks, each up to 64 KB, that are queued for a slow caller. While the queue is full, nothing is read from
/// the target's connection.
const MAX_QUEUED_CHUNKS: usize = 16;

enum BodyPart {
    /// The lease is dropped when the chunk leaves the queue. A chunk that is alone in the queue needs none.
    Chunk(Bytes, Option<MemoryLease>),
    Failed(SendError),
    End,
}

/// Receives the chunks of a body. Dropping it cancels the request.
pub struct BodyReceiver {
    parts: mpsc::Receiver<BodyPart>,
    has_ended: bool,
}

impl BodyReceiver {
    /// Returns the next chunk, `None` after a complete body, or an error if the response broke off.
    pub async fn recv(&mut self) -> Option<Result<Bytes, SendError>> {
        if self.has_ended {
            return None;
        }
        match self.parts.recv().await {
            Some(BodyPart::Chunk(chunk, lease)) => {
                drop(lease);
                Some(Ok(chunk))
            }
            Some(BodyPart::End) => {
                self.has_ended = true;
                None
            }
            Some(BodyPart::Failed(error)) => Some(Err(error)),
            None => Some(Err(SendError::Lost("the response was abandoned".to_owned()))),
        }
    }
}

/// Why a chunk was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueError {
    CallerLeft,
    /// The caller read too slowly until the deadline.
    DeadlinePassed,
}

/// Sends the chunks of a body.
pub(crate) struct BodySender {
    parts: mpsc::Sender<BodyPart>,
    memory: MemoryLedger,
}

impl BodySender {
    /// Queues a chunk, waiting at most `time_left` for room.
    pub(crate) async fn send(&self, chunk: Bytes, time_left: Duration) -> Result<(), QueueError> {
        let queued = async {
            let lease = self.memory.try_reserve(MemoryKind::Response, chunk.len());
            if lease.is_none() {
                // Without memory, the queue holds one chunk, so that every response makes progress.
                drop(self.parts.reserve_many(MAX_QUEUED_CHUNKS).await?);
            }
            self.parts
                .send(BodyPart::Chunk(chunk, lease))
                .await
                .map_err(|_| mpsc::error::SendError(()))
        };
        match tokio::time::timeout(time_left, queued).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(mpsc::error::SendError(()))) => Err(QueueError::CallerLeft),
            Err(_) => Err(QueueError::DeadlinePassed),
        }
    }

    /// Queues the end of a complete body, waiting until the caller has read so far.
    pub(crate) async fn finish(self) {
        // Sending fails only if the caller has disconnected.
        let _ = self.parts.send(BodyPart::End).await;
    }

    /// Reports that the response broke off, after the chunks that are queued.
    pub(crate) fn fail(self, error: SendError) {
        // Without room for the reason, the caller still sees that the body has no end.
        let _ = self.parts.try_send(BodyPart::Failed(error));
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Opens the queue of one body.
pub(crate) fn open_body(memory: &MemoryLedger) -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (
        BodySender { parts: sender, memory: memory.clone() },
        BodyReceiver { parts: receiver, has_ended: false },
    )
}
