//! Which targets belong to the current version, to the new one, or to neither.

use crate::ids::VersionName;
use crate::rollouts::record::{RolloutPhase, RolloutRecord};

/// Group of targets by their version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum TargetCohort {
    /// Version that serves the service.
    #[default]
    Current,
    /// New version of the running roll-out.
    Next,
    /// Version that gets no requests.
    Withheld,
}

/// Cohorts of the versions of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionCohorts {
    current: Option<VersionName>,
    next: Option<VersionName>,
    rejected: Vec<VersionName>,
    others_serve: bool,
}

impl VersionCohorts {
    /// Determines the cohorts. `first_listed` is the version of the targets that were listed first, which is the
    /// current one as long as there was no roll-out. `has_current` tells for a version whether a target of it is
    /// in service.
    pub fn assign(
        record: Option<&RolloutRecord>,
        first_listed: Option<&VersionName>,
        has_targets: impl Fn(&VersionName) -> bool,
    ) -> Self {
        let Some(record) = record else {
            let others_serve = first_listed.is_none_or(|current| !has_targets(current));
            return Self { current: first_listed.cloned(), others_serve, ..Self::default() };
        };
        let is_running = !record.phase.is_final();
        let current = record.current_version().clone();
        Self {
            next: is_running.then(|| record.to.clone()),
            others_serve: !is_running && !has_targets(&current),
            // A version that an operator orders again is tried again.
            rejected: record
                .rejected
                .iter()
                .filter(|version| {
                    record.phase == RolloutPhase::RolledBack || **version != record.to
                })
                .cloned()
                .collect(),
            current: Some(current),
        }
    }

    /// Returns the version that serves the service, if any is known.
    pub fn current(&self) -> Option<&VersionName> {
        self.current.as_ref()
    }

    /// Returns the new version of the running roll-out.
    pub fn next(&self) -> Option<&VersionName> {
        self.next.as_ref()
    }

    /// Returns the cohort of a version.
    pub fn cohort(&self, version: &VersionName) -> TargetCohort {
        if self.current.as_ref() == Some(version) {
            TargetCohort::Current
        } else if self.next.as_ref() == Some(version) {
            TargetCohort::Next
        } else if self.others_serve && !self.rejected.contains(version) {
            TargetCohort::Current
        } else {
            TargetCohort::Withheld
        }
    }
}
