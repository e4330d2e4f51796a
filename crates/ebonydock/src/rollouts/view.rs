//! A roll-out as known to one VM.

use std::time::Duration;

use crate::rollouts::announcement::RolloutAnnouncement;
use crate::rollouts::record::{RolloutPhase, RolloutRecord};
use crate::rollouts::shares::ShareTable;
use crate::rollouts::versions::TargetCohort;

/// Time without the leader and without the store after which a VM falls back to the canary share. Longer than a
/// report's lifetime, so that a few lost reports do not move traffic.
const FALLBACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Epoch and step. Steps are counted on by a new leader, and its first announcement may repeat the last step.
type StepKey = (u64, u32);

/// Roll-out of one order.
#[derive(Clone, Debug)]
struct KnownRollout {
    revision: u64,
    key: StepKey,
    phase: RolloutPhase,
    shares: ShareTable,
    /// Shares of the canary phase, once known.
    canary: ShareTable,
    /// Announced end that no stored record confirms yet.
    hold: Option<StepKey>,
    /// Whether the phase comes from the record itself.
    is_recorded: bool,
    heard_at: Duration,
}

/// A service's roll-out as known to one VM, from the leader's announcements and from the store.
#[derive(Clone, Debug, Default)]
pub struct RolloutView {
    known: Option<KnownRollout>,
    no_shares: ShareTable,
}

impl RolloutView {
    /// Opens the view of a service without a known roll-out.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the roll-out of an order; replaces that of an earlier order, and returns `None` for an earlier one.
    fn rollout_of(&mut self, now: Duration, revision: u64) -> Option<&mut KnownRollout> {
        if self.known.as_ref().is_some_and(|known| known.revision > revision) {
            return None;
        }
        if self.known.as_ref().is_none_or(|known| known.revision < revision) {
            self.known = Some(KnownRollout {
                revision,
                key: (0, 0),
                phase: RolloutPhase::Waiting,
                shares: ShareTable::default(),
                canary: ShareTable::default(),
                hold: None,
                is_recorded: false,
                heard_at: now,
            });
        }
        self.known.as_mut()
    }

    /// Applies an announcement. Old, late and repeated ones change nothing. A lower share and an end apply at once,
    /// a higher share only if it is stored.
    pub fn apply(&mut self, now: Duration, announcement: &RolloutAnnouncement) {
        let Some(known) = self.rollout_of(now, announcement.revision) else { return };
        let key = (announcement.epoch, announcement.step);
        if key < known.key || known.phase.is_final() {
            return;
        }
        known.heard_at = now;
        if announcement.is_stored {
            known.adopt(key, announcement.phase, &announcement.shares);
        } else if announcement.phase == RolloutPhase::RolledBack {
            known.hold = known.hold.max(Some(key));
        } else if announcement.shares.is_within(&known.shares) {
            known.shares = announcement.shares.clone();
        }
    }

    /// Applies the stored record.
    pub fn apply_record(&mut self, now: Duration, record: &RolloutRecord) {
        let Some(known) = self.rollout_of(now, record.revision) else { return };
        let key = (record.epoch.0, record.step);
        if key < known.key {
            return;
        }
        known.heard_at = now;
        if !known.phase.is_final() {
            known.adopt(key, record.phase, &record.shares);
        }
        known.is_recorded = known.phase == record.phase;
    }

    /// Records that the store has confirmed that the record has not changed.
    pub fn record_contact(&mut self, now: Duration) {
        if let Some(known) = &mut self.known {
            known.heard_at = known.heard_at.max(now);
        }
    }

    /// Selects the version for a request. `random` is uniform in [0, 1).
    pub fn select(&self, now: Duration, route: u32, random: f64) -> TargetCohort {
        let Some(known) = &self.known else { return TargetCohort::Current };
        match known.phase {
            // The new version is the current one as soon as the record is known.
            RolloutPhase::Completed if known.is_recorded => TargetCohort::Current,
            RolloutPhase::Completed => TargetCohort::Next,
            _ if random < self.shares(now).route_share(route) => TargetCohort::Next,
            _ => TargetCohort::Current,
        }
    }

    /// Returns the shares in effect, which also tell which answers are slow.
    pub fn shares(&self, now: Duration) -> &ShareTable {
        let Some(known) = &self.known else { return &self.no_shares };
        if known.hold.is_some() || known.phase == RolloutPhase::RolledBack {
            return &self.no_shares;
        }
        let is_cut_off = now.saturating_sub(known.heard_at) > FALLBACK_TIMEOUT;
        let is_beyond_canary = !known.shares.is_within(&known.canary);
        if is_cut_off && is_beyond_canary && known.phase != RolloutPhase::Completed {
            &known.canary
        } else {
            &known.shares
        }
    }

    /// Returns the number of new targets that get requests; `None` for all of them. The targets are the first ones
    /// by [`super::rank_canary_targets`].
    pub fn canary_targets(&self, now: Duration) -> Option<usize> {
        let targets = usize::from(self.shares(now).canary_targets);
        (targets > 0).then_some(targets)
    }

    /// Returns whether a request for the new version that finds no free target there may go to the old one. Not
    /// while the old targets are drained.
    pub fn allows_current(&self, now: Duration) -> bool {
        let is_draining =
            self.known.as_ref().is_some_and(|known| known.phase == RolloutPhase::Draining);
        !is_draining || self.shares(now).share() < 1.0
    }

    /// Returns the phase, `None` if no roll-out is known. An announced end counts before it is stored.
    pub fn phase(&self) -> Option<RolloutPhase> {
        let known = self.known.as_ref()?;
        Some(if known.hold.is_some() { RolloutPhase::RolledBack } else { known.phase })
    }

    /// Returns the revision of the order, if a roll-out is known.
    pub fn revision(&self) -> Option<u64> {
        self.known.as_ref().map(|known| known.revision)
    }
}

impl KnownRollout {
    /// Adopts a stored step that is not older than the known one.
    fn adopt(&mut self, key: StepKey, phase: RolloutPhase, shares: &ShareTable) {
        // A record of the same leader from before the announced end does not say otherwise.
        if self.hold.is_some_and(|hold| key >= hold) {
            self.hold = None;
        }
        (self.key, self.phase, self.shares) = (key, phase, shares.clone());
        if phase == RolloutPhase::Canary {
            self.canary = shares.clone();
        }
    }
}
