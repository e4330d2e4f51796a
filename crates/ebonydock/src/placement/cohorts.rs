//! Cohorts of targets while versions are rolled out.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use crate::ids::{ServiceName, TargetId, VersionName};
use crate::placement::dispatcher::RequestDispatcher;
use crate::placement::slots::ServingTarget;
use crate::placement::wait_queue::SlotNeed;
use crate::rollouts::{CohortLoad, TargetCohort};

impl RequestDispatcher {
    /// Sets the cohort of each target, and the services whose old targets are drained. Without a call, all targets
    /// are of the current version.
    pub(crate) fn set_cohorts(
        &mut self,
        draining: HashSet<ServiceName>,
        cohort_of: impl Fn(&ServingTarget) -> TargetCohort,
    ) {
        self.draining = draining;
        for slots in self.targets.values_mut() {
            slots.cohort = cohort_of(&slots.target);
        }
    }

    /// Returns the cohort that a service's requests wait for.
    pub(crate) fn main_cohort(&self, service: &ServiceName) -> TargetCohort {
        let is_draining = self.draining.contains(service);
        if is_draining { TargetCohort::Next } else { TargetCohort::Current }
    }

    /// Returns the cohort that a request may use now.
    pub(crate) fn cohort_for(&self, need: &SlotNeed) -> TargetCohort {
        match need.cohort {
            TargetCohort::Current => self.main_cohort(&need.service),
            cohort => cohort,
        }
    }

    /// Returns the cohort of a target.
    pub(crate) fn cohort(&self, target: &TargetId) -> Option<TargetCohort> {
        self.targets.get(target).map(|slots| slots.cohort)
    }

    /// Returns whether the target is an old one that is drained.
    pub(crate) fn is_drained(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|slots| {
            slots.cohort != TargetCohort::Next && self.draining.contains(&slots.target.service)
        })
    }

    /// Returns whether any service's old targets are drained.
    pub(crate) fn is_draining(&self) -> bool {
        !self.draining.is_empty()
    }

    /// Returns the versions of the targets in service, by service. A service without any has an empty set.
    pub(crate) fn versions_in_service(&self) -> BTreeMap<ServiceName, BTreeSet<VersionName>> {
        let mut versions: BTreeMap<ServiceName, BTreeSet<VersionName>> = BTreeMap::new();
        for slots in self.targets.values() {
            if !versions.contains_key(&slots.target.service) {
                versions.insert(slots.target.service.clone(), BTreeSet::new());
            }
            let is_in_service = slots.is_in_service(&self.out_of_service);
            if let Some(versions) = versions.get_mut(&slots.target.service)
                && is_in_service
                && !versions.contains(&slots.target.version)
            {
                versions.insert(slots.target.version.clone());
            }
        }
        versions
    }

    /// Returns the ids of a service's targets of one version that are in service.
    pub(crate) fn targets_of(&self, service: &ServiceName, version: &VersionName) -> Vec<TargetId> {
        let of_version = self.targets.iter().filter(|(_, slots)| {
            slots.target.service == *service
                && slots.target.version == *version
                && slots.is_in_service(&self.out_of_service)
        });
        of_version.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the load of a service's targets of one version. Requests that run at targets out of service count.
    pub(crate) fn version_load(&self, service: &ServiceName, version: &VersionName) -> CohortLoad {
        let of_version = self
            .targets
            .values()
            .filter(|slots| slots.target.service == *service && slots.target.version == *version);
        of_version.fold(CohortLoad::default(), |load, slots| {
            let is_in_service = slots.is_in_service(&self.out_of_service);
            CohortLoad {
                targets: load.targets + u32::from(is_in_service),
                slots: load.slots + if is_in_service { slots.target.slots } else { 0 },
                running: load.running + slots.in_use(),
            }
        })
    }
}
