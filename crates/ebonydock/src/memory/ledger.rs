//! The handle through which the tasks of one thread use the budget.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use ntex::util::{Bytes, BytesMut};
use tokio::sync::Notify;

use crate::clock::monotonic;
use crate::memory::{
    HolderId, MemoryBudget, MemoryKind, MemorySettings, MemoryShortage, TransferId,
};

/// What a holder costs beside its bytes: its task, its head and its entry here.
const HOLDER_OVERHEAD_BYTES: u64 = 4 * 1024;
/// The first allocation of a body without an announced length.
const FIRST_BODY_BYTES: usize = 4 * 1024;
/// Interval of the log line about refusals and reclaimed allocations.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Bounds of Retry-After for a request for which there was no memory.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(2));

/// What is freed when a holder loses its allocation.
pub trait Reclaimable {
    /// Frees the memory at once, before the tasks that use it run again.
    fn reclaim(&self);
}

/// The part of a holder that the budget takes away with its memory.
#[derive(Default)]
struct HeldBuffer {
    bytes: RefCell<BytesMut>,
    is_reclaimed: Cell<bool>,
    reclaimed: Notify,
}

impl Reclaimable for HeldBuffer {
    fn reclaim(&self) {
        self.is_reclaimed.set(true);
        drop(self.bytes.take());
        self.reclaimed.notify_one();
    }
}

struct LedgerState {
    settings: MemorySettings,
    budget: RefCell<MemoryBudget>,
    /// What is held by holders that may lose their allocation.
    buffers: RefCell<HashMap<HolderId, Weak<dyn Reclaimable>>>,
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

    /// Sets what is freed when all transfers are too slow and another holder needs the memory.
    pub fn set_reclaimable(&self, held: Weak<dyn Reclaimable>) {
        self.ledger.state.buffers.borrow_mut().insert(self.id, held);
    }

    /// Records that the memory is needed by one more transfer.
    pub fn begin_transfer(&self) -> TransferId {
        self.ledger.state.budget.borrow_mut().begin_transfer(monotonic(), self.id)
    }

    /// Records that bytes of a transfer moved.
    pub fn record_transfer(&self, transfer: TransferId, bytes: usize) {
        let mut budget = self.ledger.state.budget.borrow_mut();
        budget.record_transfer(monotonic(), self.id, transfer, bytes as u64);
    }

    /// Records that a transfer has ended.
    pub fn end_transfer(&self, transfer: TransferId) {
        self.ledger.state.budget.borrow_mut().end_transfer(self.id, transfer);
    }

    /// Records a request that was refused although the lease needed less than its whole size.
    pub fn record_refusal(&self) {
        self.ledger.record_refusal();
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

    /// Returns after which time a caller for whose request there is no memory may find some.
    pub fn retry_after(&self) -> Duration {
        let (min, max) = RETRY_AFTER_BOUNDS;
        let to_reclaim = self.state.budget.borrow().time_to_reclaim(monotonic());
        to_reclaim.unwrap_or(max).clamp(min, max)
    }

    /// Returns the number of holders that lost their allocation to others.
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

    /// Adds a holder of results of an owner, whose memory several transfers share. It has no memory yet.
    pub fn open_shared(&self, kind: MemoryKind, owner: u64) -> MemoryLease {
        let id = self.state.budget.borrow_mut().add_shared(kind, owner);
        MemoryLease { ledger: self.clone(), id }
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
        let buffer: Rc<dyn Reclaimable> = Rc::clone(&held) as _;
        self.state.buffers.borrow_mut().insert(id, Rc::downgrade(&buffer));
        Ok(RequestBuffer { lease, held, capacity })
    }

    fn resize(&self, id: HolderId, bytes: u64) -> Result<(), MemoryShortage> {
        let resized = self.try_resize(id, bytes);
        if resized.is_err() {
            self.record_refusal();
        }
        resized
    }

    fn record_refusal(&self) {
        self.state.refused.set(self.state.refused.get() + 1);
        self.log_shortage();
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

    /// Frees what a holder that lost its allocation holds.
    fn reclaim(&self, id: HolderId) {
        self.state.reclaimed.set(self.state.reclaimed.get() + 1);
        let held = self.state.buffers.borrow_mut().remove(&id);
        if let Some(held) = held.and_then(|held| held.upgrade()) {
            held.reclaim();
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
