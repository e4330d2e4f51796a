//! A roll-out as known to one VM.

use std::time::Duration;

use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::record::{RolloutPhase, RolloutRecord};
use crate::rollouts::shares::ShareTable;
use crate::rollouts::versions::TargetCohort;

/// A service's roll-out as known to one VM, from the leader's announcements and from the store.
#[derive(Clone, Debug, Default)]
pub struct RolloutView {
    shares: ShareTable,
    phase: Option<RolloutPhase>,
}

impl RolloutView {
    /// Opens the view of a service without a known roll-out.
    pub fn open() -> Self {
        Self::default()
    }

    /// Applies an announcement. Old, late and repeated ones change nothing.
    pub fn apply(&mut self, now: Duration, announcement: &RolloutAnnouncement) {
        todo!("{now:?} {announcement:?}")
    }

    /// Applies the stored record.
    pub fn apply_record(&mut self, now: Duration, record: &RolloutRecord) {
        todo!("{now:?} {record:?}")
    }

    /// Records that the store has confirmed that the record has not changed.
    pub fn record_contact(&mut self, now: Duration) {
        todo!("{now:?}")
    }

    /// Selects the version for a request. `random` is uniform in [0, 1).
    pub fn select(&self, now: Duration, route: u32, random: f64) -> TargetCohort {
        todo!("{now:?} {route} {random}")
    }

    /// Returns the number of new targets that get requests; `None` for all of them. The targets are the first ones
    /// by [`super::rank_canary_targets`].
    pub fn canary_targets(&self, now: Duration) -> Option<usize> {
        todo!("{now:?}")
    }

    /// Returns whether a request for the new version that finds no free target there may go to the old one. Not
    /// while the old targets are drained.
    pub fn allows_current(&self) -> bool {
        self.phase != Some(RolloutPhase::Draining)
    }

    /// Returns the shares, which tell which answers are slow.
    pub fn shares(&self) -> &ShareTable {
        &self.shares
    }

    /// Returns the phase, `None` if no roll-out is known.
    pub fn phase(&self) -> Option<RolloutPhase> {
        self.phase
    }

    /// Returns the revision of the order, if a roll-out is known.
    pub fn revision(&self) -> Option<u64> {
        None
    }
}
