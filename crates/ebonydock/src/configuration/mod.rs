//! Configuration: workspaces and their plans, the access list, keys, and data centres out of service.
//!
//! The configuration is a sequence of numbered batches of changes in the platform's table, next to a head
//! row. An edit is one write on condition of the version that the operator read, so concurrent edits give
//! a conflict instead of a silent merge. VMs apply the batches in order and never go back to an earlier
//! version.

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
