//! Decides who gets the next allocation of the budget, and who loses one for it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::memory::MemorySettings;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemoryKind {
    /// A request body that arrives or that waits for a target.
    RequestBody,
    /// Bytes of a response that its caller has not read.
    Response,
    /// The items of a batch submission or a page of results.
    Batch,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::RequestBody, Self::Response, Self::Batch];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::Response => "response",
            Self::Batch => "batch",
        }
    }
}

/// Identifies a holder of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// There is no memory for an allocation, and none can be reclaimed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage;

/// Progress of a body that still arrives.
#[derive(Clone, Copy, Debug)]
struct BodyProgress {
    began_at: Duration,
    progressed_at: Duration,
    received: u64,
}

struct MemoryHolder {
    kind: MemoryKind,
    bytes: u64,
    /// `None` for a holder that never loses its allocation.
    progress: Option<BodyProgress>,
}

/// The budget of a VM.
pub struct MemoryBudget {
    settings: MemorySettings,
    holders: BTreeMap<HolderId, MemoryHolder>,
    next_id: u64,
    held: u64,
    /// Held by all but small request bodies, which only they may exceed.
    held_by_large: u64,
    held_by_kind: BTreeMap<MemoryKind, u64>,
}

impl MemoryBudget {
    /// Opens a budget of which nothing is held.
    pub fn open(settings: MemorySettings) -> Self {
        Self {
            settings,
            holders: BTreeMap::new(),
            next_id: 0,
            held: 0,
            held_by_large: 0,
            held_by_kind: BTreeMap::new(),
        }
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the bytes that are held for a kind.
    pub fn held_by_kind(&self, kind: MemoryKind) -> u64 {
        self.held_by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Adds a holder that has no memory yet. `is_arriving` tells that it is a body of which more is to come, and
    /// which loses its allocation if that is too slow and another holder needs it.
    pub fn add(&mut self, now: Duration, kind: MemoryKind, is_arriving: bool) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let progress = BodyProgress { began_at: now, progressed_at: now, received: 0 };
        let holder = MemoryHolder { kind, bytes: 0, progress: is_arriving.then_some(progress) };
        self.holders.insert(id, holder);
        id
    }

    /// Changes the memory of a holder to `bytes` and returns the holders that lost theirs for it, which are removed.
    /// A smaller size is always granted.
    ///
    /// # Errors
    ///
    /// Returns a shortage if there is not enough memory or the holder does not exist; nothing has changed then.
    pub fn resize(
        &mut self,
        now: Duration,
        id: HolderId,
        bytes: u64,
    ) -> Result<Vec<HolderId>, MemoryShortage> {
        let holder = self.holders.get(&id).ok_or(MemoryShortage)?;
        let (kind, before) = (holder.kind, holder.bytes);
        let mut slow = Vec::new();
        if bytes > before && !self.fits(kind, before, bytes, &[]) {
            let mut reclaimable = self.slow_holders(now, id);
            loop {
                let next = reclaimable.pop().ok_or(MemoryShortage)?;
                // A holder whose memory does not help keeps it.
                if !self.helps(kind, bytes, next) {
                    continue;
                }
                slow.push(next);
                if self.fits(kind, before, bytes, &slow) {
                    break;
                }
            }
        }
        for holder in &slow {
            self.remove(*holder);
        }
        self.set_bytes(id, bytes);
        Ok(slow)
    }

    /// Returns whether memory of another holder can be used for a holder of `bytes`.
    fn helps(&self, kind: MemoryKind, bytes: u64, other: HolderId) -> bool {
        let Some(other) = self.holders.get(&other).filter(|other| other.bytes > 0) else {
            return false;
        };
        !self.is_large(kind, bytes)
            || self.is_large(other.kind, other.bytes)
            || self.held_is_short(bytes)
    }

    /// Returns whether the whole budget, not only the part of large holders, is too small for `bytes` more.
    fn held_is_short(&self, bytes: u64) -> bool {
        self.held.saturating_add(bytes) > self.settings.budget_bytes
    }

    /// Returns whether a holder may not use the reserve: all but small request bodies.
    fn is_large(&self, kind: MemoryKind, bytes: u64) -> bool {
        kind != MemoryKind::RequestBody || bytes > self.settings.small_bytes
    }

    fn large_part(&self, kind: MemoryKind, bytes: u64) -> u64 {
        if self.is_large(kind, bytes) { bytes } else { 0 }
    }

    /// Returns whether a holder may change from `before` to `bytes` once the holders in `without` are gone.
    fn fits(&self, kind: MemoryKind, before: u64, bytes: u64, without: &[HolderId]) -> bool {
        let settings = &self.settings;
        let (mut held, mut large) =
            (self.held - before, self.held_by_large - self.large_part(kind, before));
        let mut responses = self.held_by_kind(MemoryKind::Response);
        for holder in without.iter().filter_map(|id| self.holders.get(id)) {
            held -= holder.bytes;
            large -= self.large_part(holder.kind, holder.bytes);
            if holder.kind == MemoryKind::Response {
                responses -= holder.bytes;
            }
        }
        let large_limit = settings.budget_bytes - settings.small_reserve_bytes;
        let fits_kind = kind != MemoryKind::Response
            || (responses - before).saturating_add(bytes) <= settings.response_bytes;
        fits_kind
            && held.saturating_add(bytes) <= settings.budget_bytes
            && (!self.is_large(kind, bytes) || large.saturating_add(bytes) <= large_limit)
    }

    /// Returns the bodies other than `except` that arrive too slowly, the slowest last.
    fn slow_holders(&self, now: Duration, except: HolderId) -> Vec<HolderId> {
        let settings = &self.settings;
        let slow = self.holders.iter().filter_map(|(id, holder)| {
            let progress = holder.progress.filter(|_| *id != except)?;
            let age = now.saturating_sub(progress.began_at);
            let rate = progress.received as f64 / age.as_secs_f64();
            let is_slow = age >= settings.body_stall_time && rate < settings.min_body_rate as f64;
            let stalled = now.saturating_sub(progress.progressed_at);
            (is_slow || stalled >= settings.body_stall_time).then_some((stalled, rate, *id))
        });
        let mut slow: Vec<_> = slow.collect();
        // Stalled bodies go before slow ones, by how long nothing has arrived.
        let key = |stalled: Duration| {
            if stalled >= settings.body_stall_time { stalled } else { Duration::ZERO }
        };
        slow.sort_by(|(stalled, rate, id), (other_stalled, other_rate, other)| {
            let order = key(*stalled).cmp(&key(*other_stalled));
            order.then(other_rate.total_cmp(rate)).then(id.cmp(other))
        });
        slow.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Records that bytes of a body arrived.
    pub fn record_progress(&mut self, now: Duration, id: HolderId, bytes: u64) {
        let holder = self.holders.get_mut(&id);
        if let Some(progress) = holder.and_then(|holder| holder.progress.as_mut()) {
            progress.progressed_at = now;
            progress.received += bytes;
        }
    }

    /// Records that a body is complete. It keeps its allocation from now on.
    pub fn record_complete(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress = None;
        }
    }

    /// Removes a holder and frees its memory. Removing it again has no effect.
    pub fn remove(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.holders.remove(&id);
    }

    fn set_bytes(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let (kind, before) = (holder.kind, std::mem::replace(&mut holder.bytes, bytes));
        self.held = self.held - before + bytes;
        self.held_by_large =
            self.held_by_large - self.large_part(kind, before) + self.large_part(kind, bytes);
        let held_by_kind = self.held_by_kind.entry(kind).or_default();
        *held_by_kind = *held_by_kind - before + bytes;
    }
}
