//! The memory budget of a VM: what it holds for callers and targets, and who gets the next allocation.
//!
//! [`MemoryBudget`] and [`ConnectionTable`] make decisions without I/O. [`MemoryLedger`] is the handle through
//! which the tasks of one thread reserve and release memory.

mod budget;
mod connections;
mod ledger;
mod settings;
#[cfg(test)]
mod tests;

pub use budget::{HolderId, MemoryBudget, MemoryKind, MemoryShortage, TransferId};
pub use connections::{AdmittedConnection, ConnectionAdmission, ConnectionTable};
pub use ledger::{MemoryLease, MemoryLedger, Reclaimable, RequestBuffer};
pub use settings::MemorySettings;
