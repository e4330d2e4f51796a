//! A VM of the system: its state, its tasks and its running handle.

mod context;
mod directory;
mod handle;
mod handler;
mod tasks;

pub(crate) use context::{RunningGuard, VmContext, VmShared};
pub use handle::{VmAddresses, VmHandle};
