//! Results of jobs that callers are reading: one copy of a text for all readers of a job.
//!
//! A page keeps its texts until its response is sent, and [`MemoryLedger`](crate::MemoryLedger) counts them for as
//! long. If another holder needs the memory and all readers of a job are too slow, these lose their responses.

mod ledger;
mod pins;
#[cfg(test)]
mod tests;

pub use ledger::{HeldPage, PageLedger};
