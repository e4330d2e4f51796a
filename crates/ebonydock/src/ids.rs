//! Typed identifiers.
//!
//! Every name that crosses a module border has its own type, so that a workspace can never be passed
//! where a target is expected.

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
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
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
    /// A machine that runs the daemon.
    VmId,
    /// A data centre (zone).
    DataCentreId,
    /// A workspace (customer, tenant).
    WorkspaceId,
    /// A target (back end): a model engine or a plain service.
    TargetId,
    /// A model that engines serve.
    ModelName,
    /// A plain service that requests are routed to.
    ServiceName,
    /// A plan that workspaces subscribe to.
    PlanName,
    /// A batch job, named by its caller and unique in its workspace.
    JobId,
    /// An object in the platform's object store.
    ObjectName,
    /// A row key in the platform's table service.
    RowKey,
}

/// A lease on a target, unique in the VM that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

/// The version of the configuration; versions are consecutive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version that follows this one.
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

/// The fencing number of a lead; a higher epoch supersedes a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One attempt at a durable write, used to recognise its effect when the answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// A new random attempt.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }

    /// The attempt as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
