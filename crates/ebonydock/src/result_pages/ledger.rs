//! Pages that are being sent, and their memory.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::rc::{Rc, Weak};

use crate::gateway::JobItemResult;
use crate::memory::{
    MemoryKind, MemoryLease, MemoryLedger, MemoryShortage, Reclaimable, TransferId,
};
use crate::result_pages::pins::PinnedResults;

/// Called when a reader loses its response.
type AbortReader = Box<dyn FnOnce()>;

/// The texts that the readers of one job hold.
struct JobTexts {
    lease: MemoryLease,
    pinned: RefCell<PinnedResults>,
    readers: RefCell<BTreeMap<TransferId, AbortReader>>,
    is_reclaimed: Cell<bool>,
}

impl Reclaimable for JobTexts {
    fn reclaim(&self) {
        self.is_reclaimed.set(true);
        drop(self.pinned.take());
        for abort in self.readers.take().into_values() {
            abort();
        }
    }
}

/// Pages of job results that are being sent by a VM.
pub struct PageLedger {
    memory: MemoryLedger,
    jobs: RefCell<HashMap<String, Weak<JobTexts>>>,
}

impl PageLedger {
    /// Opens a ledger without pages.
    pub fn open(memory: MemoryLedger) -> Self {
        Self { memory, jobs: RefCell::default() }
    }

    /// Holds results of a job from a position on for one reader: as many of them as there is memory for. `owner` is
    /// the hash of the workspace.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory for the first one.
    pub fn hold(
        &self,
        job: &str,
        owner: u64,
        from: u32,
        results: Vec<Rc<JobItemResult>>,
    ) -> Result<HeldPage, MemoryShortage> {
        let texts = self.texts_of(job, owner);
        // Before its memory is reserved, so that its own reader counts as one that is not slow.
        let transfer = texts.lease.begin_transfer();
        let mut page = HeldPage { texts, positions: from..from, transfer };
        let count = results.len();
        let numbered = (from..).zip(&results);
        let missing = {
            let pinned = page.texts.pinned.borrow();
            numbered.map(|(position, result)| pinned.missing_bytes(position, result)).sum::<usize>()
        };
        let fits_whole = page.texts.try_grow(missing);
        for (position, result) in (from..).zip(results) {
            let missing = page.texts.pinned.borrow().missing_bytes(position, &result);
            if !fits_whole && !page.texts.try_grow(missing) {
                break;
            }
            page.texts.pinned.borrow_mut().pin(position, result);
            page.positions.end = position + 1;
        }
        if count > 0 && page.is_empty() {
            page.texts.lease.record_refusal();
            return Err(MemoryShortage);
        }
        Ok(page)
    }

    fn texts_of(&self, job: &str, owner: u64) -> Rc<JobTexts> {
        let mut jobs = self.jobs.borrow_mut();
        let known = jobs.get(job).and_then(Weak::upgrade);
        if let Some(known) = known.filter(|known| !known.is_reclaimed.get()) {
            return known;
        }
        jobs.retain(|_, texts| texts.strong_count() > 0);
        let texts = Rc::new(JobTexts {
            lease: self.memory.open_shared(MemoryKind::ResultPage, owner),
            pinned: RefCell::default(),
            readers: RefCell::default(),
            is_reclaimed: Cell::new(false),
        });
        let reclaimable: Rc<dyn Reclaimable> = Rc::clone(&texts) as _;
        texts.lease.set_reclaimable(Rc::downgrade(&reclaimable));
        jobs.insert(job.to_owned(), Rc::downgrade(&texts));
        texts
    }
}

impl JobTexts {
    /// Reserves memory for `missing` bytes beside the pinned ones.
    fn try_grow(&self, missing: usize) -> bool {
        let bytes = self.pinned.borrow().bytes() + missing;
        missing == 0 || self.lease.try_resize(bytes)
    }
}

/// The results of one page, held until it is dropped or its reader loses its response.
pub struct HeldPage {
    texts: Rc<JobTexts>,
    positions: Range<u32>,
    transfer: TransferId,
}

impl std::fmt::Debug for HeldPage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HeldPage").field("positions", &self.positions).finish_non_exhaustive()
    }
}

impl HeldPage {
    /// Returns the number of results.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the page has no results.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the result with this index in the page; `None` beyond the last one, and for each of them once the
    /// reader has lost its response.
    pub fn result(&self, index: usize) -> Option<Rc<JobItemResult>> {
        let position = self.positions.start + index as u32;
        if !self.positions.contains(&position) || self.texts.is_reclaimed.get() {
            return None;
        }
        self.texts.pinned.borrow().get(position)
    }

    /// Returns all results.
    pub fn results(&self) -> impl Iterator<Item = Rc<JobItemResult>> {
        (0..self.len()).map_while(|index| self.result(index))
    }

    /// Records that the reader has taken bytes of the response.
    pub fn record_sent(&self, bytes: usize) {
        self.texts.lease.record_transfer(self.transfer, bytes);
    }

    /// Sets what happens if the reader loses its response because all readers of the job are too slow and another
    /// holder needs the memory.
    pub fn on_reclaim(&self, abort: impl FnOnce() + 'static) {
        self.texts.readers.borrow_mut().insert(self.transfer, Box::new(abort));
    }
}

impl Drop for HeldPage {
    fn drop(&mut self) {
        let texts = &self.texts;
        texts.readers.borrow_mut().remove(&self.transfer);
        texts.lease.end_transfer(self.transfer);
        if texts.is_reclaimed.get() {
            return;
        }
        texts.pinned.borrow_mut().unpin(self.positions.clone());
        let bytes = texts.pinned.borrow().bytes();
        // A smaller size is always granted.
        let _ = texts.lease.try_resize(bytes);
    }
}
