//! Decides who gets the next allocation of the budget, and who loses one for it.

use std::cmp::Ordering;
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
    /// The items of a batch submission, or rows that are read for a caller.
    Batch,
    /// Results of jobs that their readers have not taken.
    ResultPage,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::RequestBody, Self::Response, Self::Batch, Self::ResultPage];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RequestBody => "request_body",
            Self::Response => "response",
            Self::Batch => "batch",
            Self::ResultPage => "result_page",
        }
    }
}

/// Identifies a holder of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// There is no memory for an allocation, and none can be reclaimed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage;

/// Identifies one of the transfers that a holder's memory is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId(u64);

/// The transfer of a body that arrives, which is the only one of its holder.
const ARRIVAL: TransferId = TransferId(0);

/// Progress of a transfer: a body that arrives, or a response that its caller reads.
#[derive(Clone, Copy, Debug)]
struct TransferProgress {
    began_at: Duration,
    progressed_at: Duration,
    moved: u64,
}

impl TransferProgress {
    fn began(now: Duration) -> Self {
        Self { began_at: now, progressed_at: now, moved: 0 }
    }

    /// Returns how long a stalled transfer has made no progress, or zero, and its rate in bytes per second.
    fn slowness(&self, now: Duration, stall_time: Duration) -> (Duration, f64) {
        let age = now.saturating_sub(self.began_at);
        let stalled = now.saturating_sub(self.progressed_at);
        let stalled = if stalled >= stall_time { stalled } else { Duration::ZERO };
        (stalled, self.moved as f64 / age.as_secs_f64())
    }

    fn is_slow(&self, now: Duration, stall_time: Duration, min_rate: u64) -> bool {
        let (stalled, rate) = self.slowness(now, stall_time);
        let is_old = now.saturating_sub(self.began_at) >= stall_time;
        !stalled.is_zero() || (is_old && rate < min_rate as f64)
    }
}

struct MemoryHolder {
    kind: MemoryKind,
    /// Hash of the workspace whose share of the results the memory belongs to.
    owner: Option<u64>,
    bytes: u64,
    /// What the memory is held for. A holder loses its allocation only if all of its transfers are too slow; one
    /// without any never does.
    transfers: BTreeMap<TransferId, TransferProgress>,
}

/// A limit of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemoryLimit {
    /// All bytes.
    Budget,
    /// Bytes of all but small request bodies.
    Large,
    /// Bytes of a kind.
    Kind(MemoryKind),
    /// Bytes that an owner holds of a kind.
    Owner(MemoryKind, u64),
}

/// The budget of a VM.
pub struct MemoryBudget {
    settings: MemorySettings,
    holders: BTreeMap<HolderId, MemoryHolder>,
    next_id: u64,
    next_transfer: u64,
    held: u64,
    /// Held by all but small request bodies, which only they may exceed.
    held_by_large: u64,
    held_by_kind: BTreeMap<MemoryKind, u64>,
    held_by_owner: BTreeMap<u64, u64>,
}

impl MemoryBudget {
    /// Opens a budget of which nothing is held.
    pub fn open(settings: MemorySettings) -> Self {
        Self {
            settings,
            holders: BTreeMap::new(),
            next_id: 0,
            next_transfer: ARRIVAL.0 + 1,
            held: 0,
            held_by_large: 0,
            held_by_kind: BTreeMap::new(),
            held_by_owner: BTreeMap::new(),
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
        let arrival = is_arriving.then(|| (ARRIVAL, TransferProgress::began(now)));
        self.insert(kind, None, arrival.into_iter().collect())
    }

    /// Adds a holder of an owner's results that has no memory and no transfers yet.
    pub fn add_shared(&mut self, kind: MemoryKind, owner: u64) -> HolderId {
        self.insert(kind, Some(owner), BTreeMap::new())
    }

    fn insert(
        &mut self,
        kind: MemoryKind,
        owner: Option<u64>,
        transfers: BTreeMap<TransferId, TransferProgress>,
    ) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, MemoryHolder { kind, owner, bytes: 0, transfers });
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
        let mut slow = Vec::new();
        if bytes > holder.bytes {
            let mut exceeded = self.exceeded_limits(holder, bytes, &[]);
            let mut reclaimable =
                if exceeded.is_empty() { Vec::new() } else { self.slow_holders(now, id) };
            while !exceeded.is_empty() {
                let next = reclaimable.pop().ok_or(MemoryShortage)?;
                // A holder whose memory does not help keeps it.
                if exceeded.iter().any(|limit| self.counts_towards(next, *limit)) {
                    slow.push(next);
                    exceeded = self.exceeded_limits(holder, bytes, &slow);
                }
            }
        }
        for holder in &slow {
            self.remove(*holder);
        }
        self.set_bytes(id, bytes);
        Ok(slow)
    }

    /// Returns whether a holder has memory that counts towards a limit.
    fn counts_towards(&self, id: HolderId, limit: MemoryLimit) -> bool {
        let Some(holder) = self.holders.get(&id).filter(|holder| holder.bytes > 0) else {
            return false;
        };
        match limit {
            MemoryLimit::Budget => true,
            MemoryLimit::Large => self.is_large(holder.kind, holder.bytes),
            MemoryLimit::Kind(kind) => holder.kind == kind,
            MemoryLimit::Owner(kind, owner) => holder.kind == kind && holder.owner == Some(owner),
        }
    }

    /// Returns whether a holder may not use the reserve: all but small request bodies.
    fn is_large(&self, kind: MemoryKind, bytes: u64) -> bool {
        kind != MemoryKind::RequestBody || bytes > self.settings.small_bytes
    }

    fn large_part(&self, kind: MemoryKind, bytes: u64) -> u64 {
        if self.is_large(kind, bytes) { bytes } else { 0 }
    }

    /// Returns the limits that a holder of `bytes` would exceed once the holders in `without` are gone.
    fn exceeded_limits(
        &self,
        changed: &MemoryHolder,
        bytes: u64,
        without: &[HolderId],
    ) -> Vec<MemoryLimit> {
        let settings = &self.settings;
        let (kind, before) = (changed.kind, changed.bytes);
        let mut held = self.held - before;
        let mut large = self.held_by_large - self.large_part(kind, before);
        let mut of_kind = self.held_by_kind(kind) - before;
        let mut of_owner = self.held_by_owner(changed.owner) - before;
        for holder in without.iter().filter_map(|id| self.holders.get(id)) {
            held -= holder.bytes;
            large -= self.large_part(holder.kind, holder.bytes);
            of_kind -= if holder.kind == kind { holder.bytes } else { 0 };
            of_owner -= if holder.owner == changed.owner { holder.bytes } else { 0 };
        }
        let large_limit = settings.budget_bytes - settings.small_reserve_bytes;
        let kind_limit = match kind {
            MemoryKind::Response => settings.response_bytes,
            MemoryKind::ResultPage => settings.result_bytes,
            MemoryKind::RequestBody | MemoryKind::Batch => u64::MAX,
        };
        let mut limits = vec![
            (MemoryLimit::Budget, held, settings.budget_bytes),
            (MemoryLimit::Kind(kind), of_kind, kind_limit),
        ];
        if self.is_large(kind, bytes) {
            limits.push((MemoryLimit::Large, large, large_limit));
        }
        if let Some(owner) = changed.owner {
            limits.push((MemoryLimit::Owner(kind, owner), of_owner, settings.owner_result_bytes));
        }
        let exceeded =
            limits.into_iter().filter(|(_, others, limit)| others.saturating_add(bytes) > *limit);
        exceeded.map(|(limit, ..)| limit).collect()
    }

    fn held_by_owner(&self, owner: Option<u64>) -> u64 {
        match owner {
            Some(owner) => self.held_by_owner.get(&owner).copied().unwrap_or(0),
            // All holders without an owner, so that those of one can be subtracted.
            None => self.held - self.held_by_owner.values().sum::<u64>(),
        }
    }

    /// Returns the holders other than `except` whose transfers are all too slow, the slowest last. The fastest
    /// transfer of a holder counts.
    fn slow_holders(&self, now: Duration, except: HolderId) -> Vec<HolderId> {
        let min_rate = self.settings.min_body_rate;
        let slow = self.holders.iter().filter_map(|(id, holder)| {
            let stall_time = self.stall_time(holder.kind);
            let is_slow = |transfer: &TransferProgress| transfer.is_slow(now, stall_time, min_rate);
            if *id == except || !holder.transfers.values().all(is_slow) {
                return None;
            }
            // A holder without transfers has no minimum and is left out.
            let slowness = holder.transfers.values().map(|progress| {
                let (stalled, rate) = progress.slowness(now, stall_time);
                (stalled, rate, *id)
            });
            slowness.min_by(Self::compare_slowness)
        });
        let mut slow: Vec<_> = slow.collect();
        slow.sort_by(Self::compare_slowness);
        slow.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Stalled transfers go after slow ones, by how long they made no progress.
    fn compare_slowness(
        (stalled, rate, id): &(Duration, f64, HolderId),
        (other_stalled, other_rate, other): &(Duration, f64, HolderId),
    ) -> Ordering {
        stalled.cmp(other_stalled).then(other_rate.total_cmp(rate)).then(id.cmp(other))
    }

    fn stall_time(&self, kind: MemoryKind) -> Duration {
        match kind {
            MemoryKind::ResultPage => self.settings.response_stall_time,
            _ => self.settings.body_stall_time,
        }
    }

    /// Returns the time until the first holder may lose its allocation if it makes no progress; `None` if none may.
    pub fn time_to_reclaim(&self, now: Duration) -> Option<Duration> {
        let holders = self.holders.values().filter_map(|holder| {
            let stall_time = self.stall_time(holder.kind);
            let left = |progress: &TransferProgress| {
                if progress.is_slow(now, stall_time, self.settings.min_body_rate) {
                    return Duration::ZERO;
                }
                (progress.progressed_at + stall_time).saturating_sub(now)
            };
            holder.transfers.values().map(left).max()
        });
        holders.min()
    }

    /// Adds a transfer of a holder's memory.
    pub fn begin_transfer(&mut self, now: Duration, id: HolderId) -> TransferId {
        let transfer = TransferId(self.next_transfer);
        self.next_transfer += 1;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.transfers.insert(transfer, TransferProgress::began(now));
        }
        transfer
    }

    /// Records that bytes of a transfer moved.
    pub fn record_transfer(
        &mut self,
        now: Duration,
        id: HolderId,
        transfer: TransferId,
        bytes: u64,
    ) {
        let holder = self.holders.get_mut(&id);
        if let Some(progress) = holder.and_then(|holder| holder.transfers.get_mut(&transfer)) {
            progress.progressed_at = now;
            progress.moved += bytes;
        }
    }

    /// Removes a transfer that has ended.
    pub fn end_transfer(&mut self, id: HolderId, transfer: TransferId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.transfers.remove(&transfer);
        }
    }

    /// Records that bytes of a body arrived.
    pub fn record_progress(&mut self, now: Duration, id: HolderId, bytes: u64) {
        self.record_transfer(now, id, ARRIVAL, bytes);
    }

    /// Records that a body is complete. It keeps its allocation from now on.
    pub fn record_complete(&mut self, id: HolderId) {
        self.end_transfer(id, ARRIVAL);
    }

    /// Removes a holder and frees its memory. Removing it again has no effect.
    pub fn remove(&mut self, id: HolderId) {
        self.set_bytes(id, 0);
        self.holders.remove(&id);
    }

    fn set_bytes(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let (kind, owner) = (holder.kind, holder.owner);
        let before = std::mem::replace(&mut holder.bytes, bytes);
        self.held = self.held - before + bytes;
        self.held_by_large =
            self.held_by_large - self.large_part(kind, before) + self.large_part(kind, bytes);
        let held_by_kind = self.held_by_kind.entry(kind).or_default();
        *held_by_kind = *held_by_kind - before + bytes;
        if let Some(owner) = owner {
            let held_by_owner = self.held_by_owner.entry(owner).or_default();
            *held_by_owner = *held_by_owner - before + bytes;
            if *held_by_owner == 0 {
                self.held_by_owner.remove(&owner);
            }
        }
    }
}
