//! The handle through which the tasks of one thread use the budget.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use tokio::sync::Notify;

use crate::clock::monotonic;
use crate::memory::{HolderId, MemoryBudget, MemoryKind, MemorySettings, MemoryShortage};

/// What a holder costs beside its bytes: its task, its head and its entry here.
const HOLDER_OVERHEAD_BYTES: u64 = 4 * 1024;
/// The first allocation of a body without an announced length.
const FIRST_BODY_BYTES: usize = 4 * 1024;
/// Interval of the log line about refusals and reclaimed allocations.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The part of a holder that the budget takes away with its memory.
#[derive(Default)]
struct HeldBuffer {
    bytes: RefCell<BytesMut>,
    is_reclaimed: Cell<bool>,
    reclaimed: Notify,
}

struct LedgerState {
    settings: MemorySettings,
    budget: RefCell<MemoryBudget>,
    /// The buffers of bodies that arrive.
    buffers: RefCell<HashMap<HolderId, Rc<HeldBuffer>>>,
    refused: Cell<u64>,
    reclaimed: Cell<u64>,
    /// When the last line was logged, and what was counted then.
    logged: Cell<(Option<Duration>, u64)>,
}

/// The memory of a VM. Clones refer to the same budget.
#[derive(Clone)]
pub struct MemoryLedger {
    state: Rc<LedgerState>,
}

/// Memory that is held until the lease is dropped.
pub struct MemoryLease {
    ledger: MemoryLedger,
    id: HolderId,
}

impl std::fmt::Debug for MemoryLease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryLease").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let state = &self.ledger.state;
        state.budget.borrow_mut().remove(self.id);
        state.buffers.borrow_mut().remove(&self.id);
    }
}

impl MemoryLease {
    /// Changes the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory; the lease keeps what it has.
    pub fn resize(&self, bytes: usize) -> Result<(), MemoryShortage> {
        self.ledger.resize(self.id, bytes as u64)
    }

    /// Changes the number of bytes that are held and returns whether there was enough memory. A caller that can wait
    /// or do with less uses this; a shortage is not counted as a refusal.
    #[must_use]
    pub fn try_resize(&self, bytes: usize) -> bool {
        self.ledger.try_resize(self.id, bytes as u64).is_ok()
    }
}

impl MemoryLedger {
    /// Opens the ledger of a VM.
    pub fn open(settings: MemorySettings) -> Self {
        let state = LedgerState {
            budget: RefCell::new(MemoryBudget::open(settings.clone())),
            settings,
            buffers: RefCell::default(),
            refused: Cell::new(0),
            reclaimed: Cell::new(0),
            logged: Cell::new((None, 0)),
        };
        Self { state: Rc::new(state) }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &MemorySettings {
        &self.state.settings
    }

    /// Returns the bytes that are held for a kind.
    pub fn held_by_kind(&self, kind: MemoryKind) -> u64 {
        self.state.budget.borrow().held_by_kind(kind)
    }

    /// Returns the number of allocations that were refused.
    pub fn refused(&self) -> u64 {
        self.state.refused.get()
    }

    /// Returns the number of bodies that lost their allocation to others.
    pub fn reclaimed(&self) -> u64 {
        self.state.reclaimed.get()
    }

    /// Reserves memory.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory.
    pub fn reserve(&self, kind: MemoryKind, bytes: usize) -> Result<MemoryLease, MemoryShortage> {
        let id = self.state.budget.borrow_mut().add(monotonic(), kind, false);
        let lease = MemoryLease { ledger: self.clone(), id };
        lease.resize(bytes)?;
        Ok(lease)
    }

    /// Reserves memory for a caller that can wait or do without. A shortage is not counted as a refusal.
    pub fn try_reserve(&self, kind: MemoryKind, bytes: usize) -> Option<MemoryLease> {
        let id = self.state.budget.borrow_mut().add(monotonic(), kind, false);
        let lease = MemoryLease { ledger: self.clone(), id };
        lease.try_resize(bytes).then_some(lease)
    }

    /// Reserves memory for a body that is about to arrive, all of it if its length is announced.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory.
    pub fn open_body(&self, announced: Option<usize>) -> Result<RequestBuffer, MemoryShortage> {
        let id = self.state.budget.borrow_mut().add(monotonic(), MemoryKind::RequestBody, true);
        let lease = MemoryLease { ledger: self.clone(), id };
        let capacity = announced.unwrap_or(FIRST_BODY_BYTES);
        self.resize(id, capacity as u64 + HOLDER_OVERHEAD_BYTES)?;
        let held = Rc::new(HeldBuffer::default());
        *held.bytes.borrow_mut() = BytesMut::with_capacity(capacity);
        self.state.buffers.borrow_mut().insert(id, Rc::clone(&held));
        Ok(RequestBuffer { lease, held, capacity })
    }

    fn resize(&self, id: HolderId, bytes: u64) -> Result<(), MemoryShortage> {
        let resized = self.try_resize(id, bytes);
        if resized.is_err() {
            self.state.refused.set(self.state.refused.get() + 1);
            self.log_shortage();
        }
        resized
    }

    fn try_resize(&self, id: HolderId, bytes: u64) -> Result<(), MemoryShortage> {
        let reclaimed = self.state.budget.borrow_mut().resize(monotonic(), id, bytes)?;
        for id in &reclaimed {
            self.reclaim(*id);
        }
        if !reclaimed.is_empty() {
            self.log_shortage();
        }
        Ok(())
    }

    /// Frees the buffer of a body that lost its allocation, before its task runs again.
    fn reclaim(&self, id: HolderId) {
        self.state.reclaimed.set(self.state.reclaimed.get() + 1);
        if let Some(held) = self.state.buffers.borrow_mut().remove(&id) {
            held.is_reclaimed.set(true);
            drop(held.bytes.take());
            held.reclaimed.notify_one();
        }
    }

    fn log_shortage(&self) {
        let state = &self.state;
        let now = monotonic();
        let total = state.refused.get() + state.reclaimed.get();
        let (logged_at, logged) = state.logged.get();
        if logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        state.logged.set((Some(now), total));
        let budget = state.budget.borrow();
        log::warn!(
            held_bytes = budget.held(), budget_bytes = state.settings.budget_bytes,
            holders = budget.holders() as u64, refused = state.refused.get(),
            reclaimed = state.reclaimed.get(), since_last_line = total - logged;
            "memory short: allocations refused or reclaimed"
        );
    }
}

/// A request body that arrives. Its chunks are copied together, so that small ones cost no more than their bytes.
pub struct RequestBuffer {
    lease: MemoryLease,
    held: Rc<HeldBuffer>,
    capacity: usize,
}

impl RequestBuffer {
    /// Returns the number of bytes that arrived.
    pub fn len(&self) -> usize {
        self.held.bytes.borrow().len()
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory or the body has lost its allocation.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), MemoryShortage> {
        if self.held.is_reclaimed.get() {
            return Err(MemoryShortage);
        }
        let ledger = &self.lease.ledger;
        let length = self.len() + chunk.len();
        if length > self.capacity {
            let capacity = length.max(self.capacity * 2);
            ledger.resize(self.lease.id, capacity as u64 + HOLDER_OVERHEAD_BYTES)?;
            let mut grown = BytesMut::with_capacity(capacity);
            grown.extend_from_slice(&self.held.bytes.borrow());
            *self.held.bytes.borrow_mut() = grown;
            self.capacity = capacity;
        }
        self.held.bytes.borrow_mut().extend_from_slice(chunk);
        let mut budget = ledger.state.budget.borrow_mut();
        budget.record_progress(monotonic(), self.lease.id, chunk.len() as u64);
        Ok(())
    }

    /// Waits until the body loses its allocation.
    pub async fn reclaimed(&self) {
        if !self.held.is_reclaimed.get() {
            self.held.reclaimed.notified().await;
        }
    }

    /// Returns the complete body and the lease of its memory, which can no longer be reclaimed.
    pub fn finish(self) -> (Bytes, MemoryLease) {
        let Self { lease, held, .. } = self;
        let state = &lease.ledger.state;
        state.budget.borrow_mut().record_complete(lease.id);
        state.buffers.borrow_mut().remove(&lease.id);
        (held.bytes.take().freeze(), lease)
    }
}
