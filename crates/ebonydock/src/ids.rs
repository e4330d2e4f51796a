//! Typed identifiers.
//!
//! Every kind of name that modules exchange has its own type, so that a workspace cannot be passed
//! where a target is expected.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident,)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

name_type! {
    /// VM that runs the daemon.
    VmId,
    /// Data centre (zone).
    DataCentreId,
    /// Workspace (customer, tenant).
    WorkspaceId,
    /// Target (back end): a model engine or a plain service.
    TargetId,
    /// Model served by engines.
    ModelName,
    /// Plain service that requests are routed to.
    ServiceName,
    /// Version of a service that targets run.
    VersionName,
    /// Plan that workspaces subscribe to.
    PlanName,
    /// Batch job, named by its caller and unique in its workspace.
    JobId,
    /// Object in the platform's object store.
    ObjectName,
    /// Key of a row in the platform's table.
    RowKey,
}

/// ID of a lease on a target, unique on the VM that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// Version of the configuration. Versions are consecutive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Fencing number of a leadership. A higher epoch supersedes a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// ID of an attempt at a durable write, used to recognise the write if its response was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// Creates a random ID.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }

    /// Returns the ID as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
