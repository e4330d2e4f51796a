//! The lists that operators edit, the keys, and the data centres out of service.
//!
//! The configuration is a sequence of numbered batches of changes in the platform's table under a head
//! row. An edit is one conditional write on the version that the operator read, so racing operators get
//! a conflict instead of a silent merge. VMs only move forward, one batch after the other.

pub(crate) mod document;
pub mod messages;
mod store;
#[cfg(test)]
mod tests;

pub use document::{
    AccessEntry, Change, ConfigDocument, KeyHash, RouteRule, ServiceCall, VersionedBatch,
    WorkspaceEntry,
};
pub(crate) use store::{ConfigState, ConfigStore, EditError};
