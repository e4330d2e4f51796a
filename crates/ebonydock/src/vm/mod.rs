//! A single VM: its shared state, its periodic tasks, and the handle that starts and stops it.

mod context;
mod directory;
mod handle;
mod handler;
mod tasks;

pub(crate) use context::{RunningGuard, VmContext, VmShared};
pub use handle::{VmAddresses, VmHandle};
