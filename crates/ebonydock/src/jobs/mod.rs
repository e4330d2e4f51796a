//! Batch jobs.
//!
//! A job is accepted once its items and its row are durable. One VM leads a job. It claims the progress
//! row with a new epoch, which fences earlier leaders: membership provides liveness and conditional
//! writes provide safety, so no lease has to be renewed. The leader assigns chunks to VMs and commits
//! many finished chunks in one conditional write, so each item completes exactly once.

mod acceptance;
mod items;
mod leader;
pub mod messages;
mod records;
mod scanner;
#[cfg(test)]
mod tests;
mod worker;

pub(crate) use acceptance::{JobSubmission, SubmitError, cancel_job, notify_members, submit_job};
pub(crate) use items::{ItemLine, ItemResult, ItemStatus};
pub(crate) use leader::JobLeaders;
pub use records::ChunkTracker;
pub(crate) use records::{JobKey, JobRow, JobState, ProgressRow, read_job, read_progress};
pub(crate) use scanner::scan_jobs;
pub(crate) use worker::run_chunk;
