//! In-memory cache of committed job results.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::gateway::job_records::{JobItemResult, JobName};

/// Size limit of a page of results.
pub(crate) const MAX_PAGE_BYTES: usize = 900_000;
/// Size limit of the cached results of all jobs.
const MAX_CACHE_BYTES: usize = 6 << 20;

/// Returns the first results that fit into a page, at least one.
pub(crate) fn first_page(
    results: impl Iterator<Item = Rc<JobItemResult>>,
) -> Vec<Rc<JobItemResult>> {
    let mut bytes = 0;
    let fits = results.take_while(|result| {
        let first = bytes == 0;
        bytes += result.text.len() + 1;
        first || bytes <= MAX_PAGE_BYTES
    });
    fits.collect()
}

/// Cache of the first results of each job. Committed results never change, so entries are never stale.
/// The oldest job is evicted first.
#[derive(Default)]
pub(crate) struct ResultCache {
    results: HashMap<JobName, Vec<Rc<JobItemResult>>>,
    insertion_order: VecDeque<JobName>,
    bytes: usize,
}

impl ResultCache {
    /// Adds results from a position on.
    pub(crate) fn add(&mut self, job: &JobName, start: u32, results: &[Rc<JobItemResult>]) {
        let cached = self.results.entry(job.clone()).or_insert_with(|| {
            self.insertion_order.push_back(job.clone());
            Vec::new()
        });
        // Only a prefix without gaps is cached.
        if (start as usize) > cached.len() {
            return;
        }
        let skip = cached.len() - start as usize;
        for result in results.iter().skip(skip) {
            self.bytes += result.text.len();
            cached.push(Rc::clone(result));
        }
        while self.bytes > MAX_CACHE_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else { return };
            let dropped = self.results.remove(&oldest).unwrap_or_default();
            self.bytes -= dropped.iter().map(|result| result.text.len()).sum::<usize>();
        }
    }

    /// Returns a page of the results between two positions, if all of them are cached.
    pub(crate) fn page(&self, job: &JobName, from: u32, to: u32) -> Option<Vec<Rc<JobItemResult>>> {
        let cached = self.results.get(job)?.get(from as usize..to as usize)?;
        Some(first_page(cached.iter().cloned()))
    }
}
