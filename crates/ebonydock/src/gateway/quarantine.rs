//! Prompt parts whose requests are refused because they crash targets.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::ReportedQuarantine;

/// Pause before the first trial, and its factor for each further one.
const FIRST_TRIAL_PAUSE: Duration = Duration::from_mins(1);
const TRIAL_PAUSE_FACTOR: u32 = 8;
/// Number of trials without an operator.
const MAX_TRIALS: u32 = 3;
/// Period after a provisional verdict in which failures that are on their way may confirm it without a trial.
const PROVISIONAL_PAUSE: Duration = Duration::from_millis(500);
/// Time after which the trial of a provisional quarantine counts as lost, so that another VM may send one.
pub(crate) const PROVISIONAL_TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the next trial of a provisional quarantine if one reached no target.
const RETURNED_TRIAL_PAUSE: Duration = Duration::from_millis(250);
/// Period in which a change is repeated in load reports. Later the store tells VMs that start.
const REPORTING_TIME: Duration = Duration::from_secs(3);
/// Limit for the quarantines of a VM; the oldest is dropped beyond it.
const MAX_QUARANTINES: usize = 256;
/// Limit for quarantines in one load report.
const MAX_REPORTED_QUARANTINES: usize = 4;

/// Ids of prompt parts, sorted and without duplicates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartSet(Vec<u64>);

impl PartSet {
    /// Creates a set of these parts.
    pub fn of(parts: impl IntoIterator<Item = u64>) -> Self {
        let mut parts: Vec<u64> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }

    /// Returns the parts in ascending order.
    pub fn parts(&self) -> &[u64] {
        &self.0
    }

    /// Returns whether a prompt contains all parts of the set.
    pub fn is_within(&self, prompt: &[u64]) -> bool {
        !self.0.is_empty() && self.0.iter().all(|part| prompt.contains(part))
    }

    /// Returns the key of the set's row.
    pub(crate) fn row_key(&self) -> String {
        let bytes: Vec<u8> = self.0.iter().flat_map(|part| part.to_be_bytes()).collect();
        format!("{:016x}", xxh3_64(&bytes))
    }
}

impl std::fmt::Display for PartSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            write!(f, "{}{part:x}", if index > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

/// Row of a quarantine. Deleting it lifts the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuarantineRecord {
    pub(crate) parts: PartSet,
    /// Increases each time the parts are quarantined again.
    pub(crate) revision: u32,
    /// Number of requests that were let through to see whether they still crash targets.
    pub(crate) trials: u32,
    /// Time of the next trial by the store's clock; zero in the first version of the row of a provisional
    /// quarantine, whose trial is due as soon as the service has targets.
    pub(crate) next_trial_at: Duration,
}

impl QuarantineRecord {
    fn is_provisional(&self) -> bool {
        self.trials == 0 && self.next_trial_at.is_zero()
    }
}

/// What a VM knows of the evidence for a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
    /// Another VM reported the quarantine, and its row is not known yet.
    Reported,
    /// The targets that ended may have had another cause in common. A single trial decides.
    Provisional,
    /// Targets ended one after the other, or a trial ended one.
    Confirmed,
}

#[derive(Clone, Debug)]
struct StoredState {
    version: u64,
    record: QuarantineRecord,
}

#[derive(Clone, Debug)]
struct QuarantineEntry {
    revision: u32,
    is_lifted: bool,
    certainty: Certainty,
    changed_at: Duration,
    stored: Option<StoredState>,
}

impl QuarantineEntry {
    fn is_unsaved(&self) -> bool {
        !self.is_lifted && self.stored.is_none()
    }
}

/// Conditional write of a quarantine's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QuarantineWrite {
    pub(crate) key: String,
    /// Version that the row must have; 0 if it must be absent.
    pub(crate) expected: u64,
    pub(crate) record: QuarantineRecord,
}

/// Quarantined sets of prompt parts as known to one VM. A request is refused if its prompt contains all
/// parts of a set.
#[derive(Debug, Default)]
pub struct QuarantineList {
    entries: HashMap<PartSet, QuarantineEntry>,
    /// Until when all quarantines are reported, because another VM may have missed them.
    repeat_until: Duration,
}

impl QuarantineList {
    fn active(&self) -> impl Iterator<Item = (&PartSet, &QuarantineEntry)> {
        self.entries.iter().filter(|(_, entry)| !entry.is_lifted)
    }

    /// Returns the number of quarantined sets.
    pub fn count(&self) -> usize {
        self.active().count()
    }

    /// Returns the quarantined set that a prompt contains, and the smallest of several: its trials are for all of
    /// the prompts that contain a larger one.
    pub fn find(&self, prompt: &[u64]) -> Option<&PartSet> {
        let within = self.active().map(|(parts, _)| parts).filter(|parts| parts.is_within(prompt));
        within.min_by_key(|parts| (parts.parts().len(), *parts))
    }

    /// Returns whether a prompt contains a quarantined set.
    pub fn is_quarantined(&self, prompt: &[u64]) -> bool {
        self.find(prompt).is_some()
    }

    /// Returns the parts of all quarantined sets that contain a part, the part included.
    pub fn companions(&self, part: u64) -> PartSet {
        let sets = self.active().map(|(parts, _)| parts.parts());
        let sets = sets.filter(|parts| parts.contains(&part));
        PartSet::of(sets.flatten().copied())
    }

    /// Returns the sets that were quarantined recently, with the time.
    pub fn recent(&self, now: Duration) -> Vec<(PartSet, Duration)> {
        let recent = self.active().filter(|(_, entry)| entry.changed_at + REPORTING_TIME >= now);
        recent.map(|(parts, entry)| (parts.clone(), entry.changed_at)).collect()
    }

    /// Quarantines a set of parts. Returns false if it is quarantined already.
    pub fn add(&mut self, now: Duration, parts: &PartSet) -> bool {
        self.insert(now, parts, Certainty::Confirmed)
    }

    /// Quarantines a set of parts until a trial decides whether they crash targets. Returns false if it is
    /// quarantined already.
    pub fn add_provisional(&mut self, now: Duration, parts: &PartSet) -> bool {
        self.insert(now, parts, Certainty::Provisional)
    }

    fn insert(&mut self, now: Duration, parts: &PartSet, certainty: Certainty) -> bool {
        if self.is_quarantined(parts.parts()) {
            return false;
        }
        let revision = self.entries.get(parts).map_or(0, |entry| entry.revision) + 1;
        self.set(now, parts, (revision, false), certainty)
    }

    /// Returns whether a set is quarantined and known to crash targets.
    pub fn is_confirmed(&self, parts: &PartSet) -> bool {
        let confirmed = |entry: &QuarantineEntry| entry.certainty == Certainty::Confirmed;
        self.active_entry(parts).is_some_and(confirmed)
    }

    /// Returns the quarantined sets that are not confirmed.
    pub fn unconfirmed(&self) -> Vec<PartSet> {
        let entries = self.active().filter(|(_, entry)| entry.certainty != Certainty::Confirmed);
        entries.map(|(parts, _)| parts.clone()).collect()
    }

    /// Records that the parts of a quarantined set crash targets. Returns whether that is new.
    pub fn confirm(&mut self, now: Duration, parts: &PartSet) -> bool {
        let Some(entry) = self.entries.get_mut(parts).filter(|entry| !entry.is_lifted) else {
            return false;
        };
        match entry.certainty {
            Certainty::Confirmed => false,
            // The VM that reported it had the same evidence.
            Certainty::Reported => {
                entry.certainty = Certainty::Confirmed;
                true
            }
            // A new revision replaces the row, by which other VMs would still send trials.
            Certainty::Provisional => {
                let revision = entry.revision + 1;
                self.set(now, parts, (revision, false), Certainty::Confirmed)
            }
        }
    }

    fn active_entry(&self, parts: &PartSet) -> Option<&QuarantineEntry> {
        self.entries.get(parts).filter(|entry| !entry.is_lifted)
    }

    /// Lifts the quarantine of a set. Returns the version of its row if it is stored.
    pub fn lift(&mut self, now: Duration, parts: &PartSet) -> Option<u64> {
        let entry = self.entries.get(parts).filter(|entry| !entry.is_lifted)?;
        let version = entry.stored.as_ref().map(|stored| stored.version);
        let (revision, certainty) = (entry.revision, entry.certainty);
        self.set(now, parts, (revision, true), certainty);
        version
    }

    /// Applies a change if it is newer; of the same revision, lifting is newer. Returns whether it was.
    fn set(
        &mut self,
        now: Duration,
        parts: &PartSet,
        (revision, is_lifted): (u32, bool),
        certainty: Certainty,
    ) -> bool {
        let known = self.entries.get(parts).map(|entry| (entry.revision, entry.is_lifted));
        if known >= Some((revision, is_lifted)) || parts.parts().is_empty() {
            return false;
        }
        let entry =
            QuarantineEntry { revision, is_lifted, certainty, changed_at: now, stored: None };
        self.entries.insert(parts.clone(), entry);
        if self.entries.len() > MAX_QUARANTINES {
            let oldest =
                self.entries.iter().min_by_key(|(_, entry)| (!entry.is_lifted, entry.changed_at));
            let oldest = oldest.map(|(parts, _)| parts.clone());
            oldest.and_then(|parts| self.entries.remove(&parts));
        }
        true
    }

    /// Applies what another VM reports. Returns whether it was new.
    pub fn observe(&mut self, now: Duration, reported: &ReportedQuarantine) -> bool {
        // The other VM may have sent parts in any order.
        let parts = PartSet::of(reported.parts.parts().iter().copied());
        let change = (reported.revision, reported.is_lifted);
        self.set(now, &parts, change, Certainty::Reported)
    }

    /// Reports all quarantines again for a while: another VM is heard that was not before, and may have missed
    /// them while it was cut off, stood still or was not running.
    pub fn repeat(&mut self, now: Duration) {
        self.repeat_until = now + REPORTING_TIME;
    }

    /// Returns the changes that other VMs may not know yet.
    pub fn report(&self, now: Duration) -> Vec<ReportedQuarantine> {
        let is_repeated = now < self.repeat_until;
        let unknown = self.entries.iter().filter(|(_, entry)| {
            let is_recent = entry.changed_at + REPORTING_TIME >= now;
            is_recent || entry.is_unsaved() || (is_repeated && !entry.is_lifted)
        });
        let mut newest: Vec<_> = unknown.collect();
        newest.sort_unstable_by_key(|(parts, entry)| (std::cmp::Reverse(entry.changed_at), *parts));
        let newest = newest.into_iter().take(MAX_REPORTED_QUARANTINES);
        let reported = newest.map(|(parts, entry)| ReportedQuarantine {
            parts: parts.clone(),
            revision: entry.revision,
            is_lifted: entry.is_lifted,
        });
        reported.collect()
    }

    /// Applies a stored row. Returns whether the parts were not quarantined before.
    ///
    /// If this VM has confirmed what the row has as provisional, the row has to be replaced: see
    /// [`Self::unsaved`].
    pub(crate) fn apply_row(
        &mut self,
        now: Duration,
        version: u64,
        record: QuarantineRecord,
    ) -> bool {
        let is_new = self.set(now, &record.parts, (record.revision, false), Certainty::Reported);
        if let Some(entry) = self.entries.get_mut(&record.parts)
            && entry.revision == record.revision
            && entry.stored.as_ref().is_none_or(|stored| stored.version < version)
        {
            match entry.certainty {
                Certainty::Confirmed if record.is_provisional() => {
                    entry.revision += 1;
                    entry.changed_at = now;
                    return is_new;
                }
                Certainty::Reported if record.is_provisional() => {
                    entry.certainty = Certainty::Provisional;
                }
                Certainty::Reported => entry.certainty = Certainty::Confirmed,
                Certainty::Provisional | Certainty::Confirmed => {}
            }
            entry.stored = Some(StoredState { version, record });
        }
        is_new
    }

    /// Returns whether the quarantine of a stored row was lifted, so that the row has to be deleted.
    pub(crate) fn is_obsolete(&self, record: &QuarantineRecord) -> bool {
        let entry = self.entries.get(&record.parts);
        entry.is_some_and(|entry| entry.is_lifted && entry.revision >= record.revision)
    }

    /// Lifts the quarantine whose row was deleted. Returns its parts.
    pub(crate) fn apply_deletion(&mut self, now: Duration, key: &str) -> Option<PartSet> {
        let stored =
            self.active().find(|(parts, entry)| entry.stored.is_some() && parts.row_key() == key);
        let parts = stored.map(|(parts, _)| parts.clone())?;
        self.lift(now, &parts);
        Some(parts)
    }

    /// Returns the keys of all rows that are known.
    pub(crate) fn stored_keys(&self) -> Vec<String> {
        let stored = self.active().filter(|(_, entry)| entry.stored.is_some());
        stored.map(|(parts, _)| parts.row_key()).collect()
    }

    /// Returns whether a quarantine is not stored yet.
    pub(crate) fn has_unsaved(&self) -> bool {
        self.active().any(|(_, entry)| entry.is_unsaved())
    }

    /// Returns the rows of quarantines that are not stored yet. One that was only reported is stored as
    /// provisional; a VM that has confirmed it replaces the row.
    pub(crate) fn unsaved(&self, store_time: Duration) -> Vec<QuarantineWrite> {
        let unsaved = self.active().filter(|(_, entry)| entry.is_unsaved());
        let writes = unsaved.map(|(parts, entry)| QuarantineWrite {
            key: parts.row_key(),
            expected: 0,
            record: QuarantineRecord {
                parts: parts.clone(),
                revision: entry.revision,
                trials: 0,
                next_trial_at: match entry.certainty {
                    Certainty::Confirmed => store_time + FIRST_TRIAL_PAUSE,
                    Certainty::Reported | Certainty::Provisional => Duration::ZERO,
                },
            },
        });
        writes.collect()
    }

    /// Returns the write that entitles this VM to send one request with these parts, if a trial is due. The
    /// store admits one VM of the fleet.
    pub(crate) fn due_trial(
        &self,
        store_time: Duration,
        parts: &PartSet,
    ) -> Option<QuarantineWrite> {
        let entry = self.active_entry(parts)?;
        let stored = entry.stored.as_ref()?;
        let record = &stored.record;
        if record.trials >= MAX_TRIALS || store_time < record.next_trial_at {
            return None;
        }
        // A target that the trial of a provisional quarantine ends confirms the quarantine, which begins the
        // count of trials anew.
        let (trials, pause) = if entry.certainty == Certainty::Provisional {
            (record.trials, PROVISIONAL_TRIAL_TIMEOUT)
        } else {
            let trials = record.trials + 1;
            (trials, FIRST_TRIAL_PAUSE * TRIAL_PAUSE_FACTOR.pow(trials))
        };
        let record =
            QuarantineRecord { trials, next_trial_at: store_time + pause, ..record.clone() };
        Some(QuarantineWrite { key: parts.row_key(), expected: stored.version, record })
    }

    /// Returns the time until the next trial of an unconfirmed quarantine; `None` if its row is not known.
    pub(crate) fn time_to_trial(
        &self,
        now: Duration,
        store_time: Duration,
        parts: &PartSet,
    ) -> Option<Duration> {
        let entry = self.active_entry(parts)?;
        let due = entry.stored.as_ref()?.record.next_trial_at.saturating_sub(store_time);
        let pause = (entry.changed_at + PROVISIONAL_PAUSE).saturating_sub(now);
        Some(due.max(pause))
    }

    /// Returns the write that gives back a trial whose request reached no target.
    pub(crate) fn returned_trial(
        &self,
        store_time: Duration,
        parts: &PartSet,
    ) -> Option<QuarantineWrite> {
        let entry = self.active_entry(parts)?;
        let stored = entry.stored.as_ref()?;
        let (trials, pause) = if entry.certainty == Certainty::Provisional {
            (stored.record.trials, RETURNED_TRIAL_PAUSE)
        } else {
            (stored.record.trials.checked_sub(1)?, FIRST_TRIAL_PAUSE)
        };
        let record =
            QuarantineRecord { trials, next_trial_at: store_time + pause, ..stored.record.clone() };
        Some(QuarantineWrite { key: parts.row_key(), expected: stored.version, record })
    }
}
