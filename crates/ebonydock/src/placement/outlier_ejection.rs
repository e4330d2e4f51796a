//! Takes targets that fail their requests out of use for a while, on evidence from all VMs.
//!
//! A target that answers each request with an error at once looks idle, so placement by slot use sends it most of the
//! requests: in a fleet of 61 VMs a sixth of the targets failed 2,036 of 4,900 requests in 8 s. Each VM sees few requests,
//! so it reports the targets at which some of its own failed, and all VMs decide on the sums.

use std::collections::BTreeMap;
#[cfg(test)]
use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, VmId};

/// A target is ejected for this long after the last failure that is known of. Then it gets requests again, and is
/// ejected after a few if it still fails them.
const EJECTION_TIME: Duration = Duration::from_secs(3);
/// Fewest failures for an ejection; one or two may be the fault of a request.
const MIN_FAILURES: u32 = 3;
/// Smallest fraction of failures among the answers for an ejection.
const MIN_FAILED_FRACTION: f64 = 0.25;
/// Largest fraction of a service's targets that is ejected at once. If more fail, the cause is not the targets.
const MAX_EJECTED_FRACTION: f64 = 1.0 / 3.0;
/// Targets listed in a report, so that its size is bounded.
const MAX_REPORTED: usize = 16;

/// Failures of one VM's online requests at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedOutlier {
    /// Hash of the target's incarnation.
    pub target: u32,
    /// Recent failures.
    pub failures: u8,
    /// Answers since the first of them.
    pub answers: u8,
}

#[derive(Clone, Copy, Debug, Default)]
struct OutlierCount {
    failures: u32,
    answers: u32,
    failed_at: Duration,
}

/// Targets of one service, and the failures of those that fail.
#[derive(Debug, Default)]
struct ServiceOutliers {
    targets: usize,
    failing: Vec<(u32, u32)>,
}

/// Failures by target as known to one VM, and the targets that are ejected for them.
#[derive(Debug, Default)]
pub(crate) struct OutlierLedger {
    own: FxHashMap<u32, OutlierCount>,
    reported: FxHashMap<VmId, Vec<ReportedOutlier>>,
    ejected: FxHashSet<u32>,
}

impl OutlierLedger {
    /// Records the outcome of an online request of this VM.
    pub(crate) fn record(&mut self, now: Duration, target: u32, has_failed: bool) {
        if has_failed {
            let count = self.own.entry(target).or_default();
            count.failures += 1;
            count.failed_at = now;
        } else if let Some(count) = self.own.get_mut(&target) {
            count.answers += 1;
        }
    }

    /// Returns the targets at which requests of this VM have failed recently, those with the most failures first.
    pub(crate) fn report(&self, now: Duration) -> Vec<ReportedOutlier> {
        let recent = self.own.iter().filter(|(_, count)| now <= count.failed_at + EJECTION_TIME);
        let clamp = |count: u32| count.min(u8::MAX.into()) as u8;
        let mut outliers: Vec<ReportedOutlier> = recent
            .map(|(target, count)| ReportedOutlier {
                target: *target,
                failures: clamp(count.failures),
                answers: clamp(count.answers),
            })
            .collect();
        outliers.sort_unstable_by_key(|outlier| (u8::MAX - outlier.failures, outlier.target));
        outliers.truncate(MAX_REPORTED);
        outliers
    }

    /// Replaces what another VM has reported.
    pub(crate) fn observe(&mut self, vm: &VmId, outliers: &[ReportedOutlier]) {
        if outliers.is_empty() {
            self.reported.remove(vm);
        } else {
            self.reported.insert(vm.clone(), outliers.to_vec());
        }
    }

    /// Forgets the reports of a VM.
    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.reported.remove(vm);
    }

    /// Decides which targets are ejected. `targets` are the incarnations of all targets, by service. Returns those
    /// that are newly ejected.
    pub(crate) fn refresh<'a>(
        &mut self,
        now: Duration,
        targets: impl Iterator<Item = (&'a ServiceName, u32)>,
    ) -> Vec<u32> {
        self.own.retain(|_, count| now <= count.failed_at + EJECTION_TIME);
        if self.own.is_empty() && self.reported.is_empty() {
            self.ejected.clear();
            return Vec::new();
        }
        let mut sums: FxHashMap<u32, (u32, u32)> = FxHashMap::default();
        for (target, count) in &self.own {
            sums.insert(*target, (count.failures, count.answers));
        }
        for outlier in self.reported.values().flatten() {
            let sum = sums.entry(outlier.target).or_default();
            sum.0 += u32::from(outlier.failures);
            sum.1 += u32::from(outlier.answers);
        }
        let mut services: BTreeMap<&ServiceName, ServiceOutliers> = BTreeMap::new();
        for (service, target) in targets {
            let outliers = services.entry(service).or_default();
            outliers.targets += 1;
            let (failures, answers) = sums.get(&target).copied().unwrap_or_default();
            let failed_fraction = f64::from(failures) / f64::from((failures + answers).max(1));
            if failures >= MIN_FAILURES && failed_fraction >= MIN_FAILED_FRACTION {
                outliers.failing.push((failures, target));
            }
        }
        let mut ejected = FxHashSet::default();
        for mut outliers in services.into_values() {
            outliers.failing.sort_unstable_by(|a, b| b.cmp(a));
            let most = (outliers.targets as f64 * MAX_EJECTED_FRACTION) as usize;
            ejected.extend(outliers.failing.into_iter().take(most).map(|(_, target)| target));
        }
        let added = ejected.difference(&self.ejected).copied().collect();
        self.ejected = ejected;
        added
    }

    /// Returns whether a target gets no online requests for now.
    pub(crate) fn is_ejected(&self, target: u32) -> bool {
        self.ejected.contains(&target)
    }

    /// Returns the number of ejected targets.
    pub(crate) fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Returns the ejected targets.
    #[cfg(test)]
    pub(crate) fn ejected(&self) -> BTreeSet<u32> {
        self.ejected.iter().copied().collect()
    }
}
