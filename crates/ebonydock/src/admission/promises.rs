//! Promised tokens of workspace quotas.
//!
//! Each VM promises at most its own part of a workspace's rate, so the promises of all VMs never add up to
//! more than the rate, whatever reports are lost. A returning caller repeats its request under a new id, so it
//! is recognized by the [`RequestDigest`] of the content. Requests without a promise leave the promised
//! tokens. The quota itself rests on the token buckets alone.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::RequestDigest;
use crate::ids::{VmId, WorkspaceId};
use crate::ownership::ranked;

/// Unit of time in which promises are reported and counted; about the age of a report.
const SLOT: Duration = Duration::from_millis(50);
/// Longest time ahead for which a token is promised. Callers follow a third of the time that they have left,
/// which is at most 1.7 s of the usual 5 s.
const MAX_LEAD: Duration = Duration::from_secs(2);
/// Shortest time ahead for which a token is promised; the other VMs learn of the promise in this time.
const MIN_LEAD: Duration = Duration::from_millis(50);
/// Time after which the token of a caller that has not returned is released. Callers need a round trip or
/// two to open a connection.
const CLAIM_TIME: Duration = Duration::from_millis(150);
/// Time before a promise is due from which its caller may take a token. Other VMs know the time only to a slot
/// and the age of a report.
const EARLY_TIME: Duration = Duration::from_millis(100);
/// Fraction of the rate that is promised at most. The rest repays what VMs spend before they hear of each other.
const PROMISED_FRACTION: f64 = 0.95;
/// Time constant of the rate of requests without a promise, in seconds. When a peak of 4 times the rate begins,
/// a full bucket of one second of the rate is empty after 0.3 s, and the arrivals have to be known by then.
const ARRIVAL_SECONDS: f64 = 0.2;
/// Time in which VMs do not know of each other's admissions: a report interval and the age of a report.
const UNSEEN_TIME: Duration = Duration::from_millis(75);
/// Largest fraction of the burst that is kept free for what VMs admit unseen.
const MAX_CUSHION_FRACTION: f64 = 0.4;
/// Time after which an unused workspace is removed.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Number of workspaces that a VM promises tokens of at the same time, which bounds the size of reports.
const MAX_WORKSPACES: usize = 4;
/// Number of digests in a report over all workspaces, of the promises that are due first. With up to 400
/// promises of a VM per second they are reported at least 100 ms before they are due, which is longer than the
/// age of a report.
const MAX_DIGESTS: usize = 40;

/// Promises of a VM for one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPromises {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Number of promises of the VM's incarnation.
    pub made: u32,
    /// Promises that are not due yet: the time until they are, in units of 50 ms, and their number.
    pub due: Vec<(u8, u8)>,
    /// Digests of the first of these promises, in the order of `due`.
    pub digests: Vec<RequestDigest>,
}

/// A refused request that asks for a promise.
#[derive(Clone, Copy, Debug)]
pub struct PromiseRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceId,
    /// Digest of the request, by which the returning caller is recognized.
    pub digest: RequestDigest,
    /// Quota in requests per second over all VMs.
    pub rate: f64,
    /// Bucket size of the quota, in requests.
    pub burst: f64,
    /// Tokens in the VM's bucket; negative after reports of other VMs that spent more.
    pub level: f64,
    /// Rate at which the VM's bucket is refilled, in requests per second.
    pub refill: f64,
    /// Longest delay that the caller follows.
    pub max_delay: Duration,
    /// Random number from 0 to 1, by which the first promises of VMs are spread.
    pub random: f64,
}

/// A request that arrives for a workspace.
#[derive(Clone, Copy, Debug)]
pub struct QuotaArrival<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceId,
    /// Digest of the request; `None` if no promises of the workspace are outstanding.
    pub digest: Option<RequestDigest>,
    /// Rate at which the VM's bucket is refilled, in requests per second.
    pub refill: f64,
    /// Bucket size of the quota, in requests.
    pub burst: f64,
    /// Random number from 0 to 1.
    pub random: f64,
}

/// Promises by outcome since the VM started, and what the last refusal was decided on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromiseState {
    /// Promises of this VM.
    pub made: u64,
    /// Returning callers that this VM admitted for a promise of any VM.
    pub taken_up: u64,
    /// Promises of this VM whose time to return has passed, and those that it took up itself.
    pub ended: u64,
    /// Refused requests that no promise was made to.
    pub plain: u64,
}

/// What promises of a workspace are decided on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromiseEvidence {
    /// Promises of all VMs that are not due yet.
    pub outstanding: u32,
    /// Promises of this VM for the workspace.
    pub made: u32,
}

/// Decaying rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    per_s: f64,
    at: Duration,
}

impl ArrivalRate {
    fn add(&mut self, now: Duration) {
        self.per_s = self.get(now) + 1.0 / ARRIVAL_SECONDS;
        self.at = now;
    }

    fn get(&self, now: Duration) -> f64 {
        self.per_s * (-now.saturating_sub(self.at).as_secs_f64() / ARRIVAL_SECONDS).exp()
    }
}

/// Promise that its caller may claim.
#[derive(Clone, Copy, Debug)]
struct OpenPromise {
    due: Duration,
    digest: RequestDigest,
}

impl OpenPromise {
    fn is_claimable(&self, now: Duration, digest: RequestDigest) -> bool {
        self.digest == digest && self.due <= now + EARLY_TIME && now <= self.due + CLAIM_TIME
    }
}

/// Last report of another VM on a workspace.
#[derive(Debug, Default)]
struct PeerPromises {
    /// Time slots of its promises, and their numbers.
    due: Vec<(u64, u32)>,
    /// Its promises of which the digests are known.
    open: Vec<OpenPromise>,
}

/// Promises of all VMs for one workspace, as far as this VM knows them.
#[derive(Debug, Default)]
struct WorkspacePromises {
    /// Requests without a promise at this VM.
    others: ArrivalRate,
    /// Earliest time of this VM's next promise.
    next_due: Duration,
    /// This VM's promises in the order of their times.
    own: VecDeque<OpenPromise>,
    made: u32,
    used_at: Duration,
    peers: FxHashMap<VmId, PeerPromises>,
    /// Promises of other VMs that this VM admitted the callers of. Later reports may still list them.
    taken: Vec<OpenPromise>,
    /// Number of promises of all VMs by time slot.
    fleet: BTreeMap<u64, u32>,
}

fn slot_of(at: Duration) -> u64 {
    (at.as_millis() / SLOT.as_millis()) as u64
}

fn slot_start(slot: u64) -> Duration {
    SLOT * slot as u32
}

fn workspace_hash(workspace: &WorkspaceId) -> u32 {
    xxh3_64(workspace.as_str().as_bytes()) as u32
}

impl WorkspacePromises {
    fn forget_past(&mut self, now: Duration) -> u64 {
        let oldest = slot_of(now.saturating_sub(CLAIM_TIME + SLOT));
        while self.fleet.first_key_value().is_some_and(|(slot, _)| *slot < oldest) {
            self.fleet.pop_first();
        }
        self.taken.retain(|taken| now <= taken.due + CLAIM_TIME);
        let mut ended = 0;
        while self.own.front().is_some_and(|promise| promise.due + CLAIM_TIME <= now) {
            self.own.pop_front();
            ended += 1;
        }
        ended
    }

    /// Returns whether a request with this digest may take a promised token.
    fn is_claimable(&self, now: Duration, digest: RequestDigest) -> bool {
        let open = self.own.iter().chain(self.peers.values().flat_map(|peer| &peer.open));
        open.into_iter().any(|promise| promise.is_claimable(now, digest))
    }

    /// Removes the promise of an admitted caller and returns which VM made it.
    fn take_up(&mut self, now: Duration, digest: RequestDigest) -> Option<PromiseOrigin> {
        let is_claimed = |promise: &OpenPromise| promise.is_claimable(now, digest);
        let (promise, origin) = if let Some(index) = self.own.iter().position(is_claimed) {
            (self.own.remove(index)?, PromiseOrigin::Local)
        } else {
            let promise = self.peers.values_mut().find_map(|peer| {
                let index = peer.open.iter().position(is_claimed)?;
                Some(peer.open.swap_remove(index))
            })?;
            self.taken.push(promise);
            (promise, PromiseOrigin::Peer)
        };
        if let Some(count) = self.fleet.get_mut(&slot_of(promise.due)) {
            *count = count.saturating_sub(1);
        }
        Some(origin)
    }

    /// Returns how many tokens requests without a promise must leave in the bucket, so that with `refill`
    /// tokens per second each promised token is there when it is due.
    fn reserved(&self, now: Duration, refill: f64) -> f64 {
        let (mut sum, mut reserved) = (0.0, 0.0_f64);
        for (slot, count) in self.fleet.range(slot_of(now.saturating_sub(CLAIM_TIME + SLOT))..) {
            let due = slot_start(*slot);
            let past = now.saturating_sub(due + SLOT).as_secs_f64() / CLAIM_TIME.as_secs_f64();
            sum += f64::from(*count) * (1.0 - past).max(0.0);
            reserved = reserved.max(sum - refill * due.saturating_sub(now).as_secs_f64());
        }
        reserved
    }

    /// Returns the number of tokens that VMs may spend together before they hear of each other.
    fn unseen(&self, now: Duration, vms: usize, burst: f64) -> f64 {
        let unseen = self.others.get(now) * vms as f64 * UNSEEN_TIME.as_secs_f64();
        unseen.min(burst * MAX_CUSHION_FRACTION)
    }

    fn add(&mut self, slot: u64, count: u32) {
        *self.fleet.entry(slot).or_default() += count;
    }

    /// Replaces another VM's promises that are not due yet.
    fn observe(&mut self, now: Duration, vm: &VmId, report: &ReportedPromises) {
        self.used_at = now;
        let current = slot_of(now);
        let peer = self.peers.entry(vm.clone()).or_default();
        let due = report
            .due
            .iter()
            .map(|(ahead, count)| (now + SLOT * u32::from(*ahead), u32::from(*count)));
        let due: Vec<_> = due.collect();
        let times = due.iter().flat_map(|(at, count)| std::iter::repeat_n(*at, *count as usize));
        let listed = times.zip(&report.digests);
        let listed = listed.map(|(due, digest)| OpenPromise { due, digest: *digest });
        let is_taken =
            |open: &OpenPromise| self.taken.iter().any(|taken| taken.digest == open.digest);
        // A promise that has become due at its VM is no longer listed, but its caller may be under way.
        peer.open.retain(|open| {
            open.due <= now + EARLY_TIME
                && now <= open.due + CLAIM_TIME
                && !report.digests.contains(&open.digest)
        });
        peer.open.extend(listed.filter(|open| !is_taken(open)));
        let due = due.into_iter().map(|(at, count)| (slot_of(at), count));
        let due = due.filter(|(slot, _)| *slot > current).collect();
        let previous = std::mem::replace(&mut peer.due, due);
        let added = peer.due.clone();
        for (slot, count) in previous.into_iter().filter(|(slot, _)| *slot > current) {
            if let Some(sum) = self.fleet.get_mut(&slot) {
                *sum = sum.saturating_sub(count);
            }
        }
        for (slot, count) in added {
            self.add(slot, count);
        }
    }
}

/// VM that made a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromiseOrigin {
    Local,
    Peer,
}

/// Promised tokens of all workspaces, as far as one VM knows them.
#[derive(Debug)]
pub struct PromiseBook {
    local_vm: VmId,
    members: Vec<VmId>,
    opened_at: Duration,
    workspaces: FxHashMap<u32, WorkspacePromises>,
    state: PromiseState,
}

impl PromiseBook {
    /// Opens a book without promises for `local_vm`.
    pub fn open(now: Duration, local_vm: &VmId) -> Self {
        Self {
            local_vm: local_vm.clone(),
            members: Vec::new(),
            opened_at: now,
            workspaces: FxHashMap::default(),
            state: PromiseState::default(),
        }
    }

    /// Sets the VMs that share the quotas, this one included.
    pub fn set_members(&mut self, members: &[VmId]) {
        self.members = members.to_vec();
    }

    fn workspace(&mut self, now: Duration, workspace: &WorkspaceId) -> &mut WorkspacePromises {
        let hash = workspace_hash(workspace);
        if !self.workspaces.contains_key(&hash) {
            let is_used = |promises: &WorkspacePromises| {
                now <= promises.used_at + IDLE_TIME || now <= promises.next_due
            };
            self.workspaces.retain(|_, promises| is_used(promises));
        }
        let promises = self.workspaces.entry(hash).or_default();
        promises.used_at = now;
        self.state.ended += promises.forget_past(now);
        promises
    }

    /// Returns whether promises of a workspace are outstanding, so that arrivals have to be compared with them.
    pub fn is_promising(&self, now: Duration, workspace: &WorkspaceId) -> bool {
        let oldest = slot_of(now.saturating_sub(CLAIM_TIME + SLOT));
        let promises = self.workspaces.get(&workspace_hash(workspace));
        promises.is_some_and(|promises| promises.fleet.range(oldest..).any(|(_, count)| *count > 0))
    }

    /// Records a request and returns how many tokens it must leave in the bucket for others: none if its
    /// caller returns for a promise.
    ///
    /// VMs that see the same tokens may spend them together before they hear of each other. So while promises
    /// are outstanding, some tokens more are kept, at random up to what may be spent unseen: the fuller the
    /// bucket, the more requests are admitted.
    pub fn reserved(&mut self, now: Duration, arrival: &QuotaArrival<'_>) -> f64 {
        let vms = self.members.len();
        let promises = self.workspace(now, arrival.workspace);
        if arrival.digest.is_some_and(|digest| promises.is_claimable(now, digest)) {
            return 0.0;
        }
        promises.others.add(now);
        let reserved = promises.reserved(now, arrival.refill);
        if reserved <= 0.0 {
            return 0.0;
        }
        reserved + arrival.random * promises.unseen(now, vms, arrival.burst)
    }

    /// Records that a request was admitted, which takes up its promise if it has one.
    pub fn record_admitted(&mut self, now: Duration, arrival: &QuotaArrival<'_>) {
        let Some(digest) = arrival.digest else { return };
        let origin = self.workspace(now, arrival.workspace).take_up(now, digest);
        self.state.taken_up += u64::from(origin.is_some());
        self.state.ended += u64::from(origin == Some(PromiseOrigin::Local));
    }

    /// Returns the fraction of a workspace's rate that this VM promises. With more VMs than the bucket has
    /// tokens, only as many VMs make promises, because each may be ahead by one.
    fn share(&self, request: &PromiseRequest<'_>) -> f64 {
        let vms = self.members.len();
        let promising = vms.min(request.burst as usize);
        if promising == 0 {
            return 0.0;
        }
        let is_promising = promising == vms
            || ranked(request.workspace.as_str(), &self.members)
                .into_iter()
                .take(promising)
                .any(|vm| *vm == self.local_vm);
        if is_promising { 1.0 / promising as f64 } else { 0.0 }
    }

    /// Promises a token to a refused request and returns the time until it is available. Returns `None` if
    /// no token is left that the caller could return for.
    pub fn promise(&mut self, now: Duration, request: &PromiseRequest<'_>) -> Option<Duration> {
        let delay = self.find_token(now, request);
        match delay {
            Some(_) => self.state.made += 1,
            None => self.state.plain += 1,
        }
        delay
    }

    fn find_token(&mut self, now: Duration, request: &PromiseRequest<'_>) -> Option<Duration> {
        let share = self.share(request);
        let vms = self.members.len();
        let hash = workspace_hash(request.workspace);
        let busy = self
            .workspaces
            .iter()
            .filter(|(other, promises)| **other != hash && !promises.own.is_empty());
        let is_listed = busy.count() < MAX_WORKSPACES;
        let opened_at = self.opened_at;
        let promises = self.workspace(now, request.workspace);
        let max_lead = MAX_LEAD.min(request.max_delay);
        let rate = request.rate * PROMISED_FRACTION * share;
        if rate <= 0.0 || !is_listed {
            return None;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok()?;
        let is_first = promises.own.is_empty();
        let unseen = if is_first { promises.unseen(now, vms, request.burst) } else { 0.0 };
        let debt = (unseen - request.level).max(0.0) / request.refill;
        let mut due = now + MIN_LEAD + Duration::try_from_secs_f64(debt).ok()?;
        if promises.next_due <= due {
            due += interval.mul_f64(request.random);
        }
        if promises.made == 0 {
            // The previous incarnation of the VM may have promised its part until then.
            promises.next_due = promises.next_due.max(opened_at + MAX_LEAD + interval);
        }
        due = due.max(promises.next_due);
        if due > now + max_lead {
            return None;
        }
        promises.next_due = due + interval;
        promises.own.push_back(OpenPromise { due, digest: request.digest });
        promises.made += 1;
        promises.add(slot_of(due), 1);
        Some(due.saturating_sub(now))
    }

    /// Applies the promises in a load report of another VM.
    pub fn observe(&mut self, now: Duration, vm: &VmId, reports: &[ReportedPromises]) {
        for report in reports {
            self.workspaces.entry(report.workspace).or_default().observe(now, vm, report);
        }
    }

    /// Returns this VM's promises that are not due yet.
    pub fn report(&self, now: Duration) -> Vec<ReportedPromises> {
        let is_listed = |promises: &WorkspacePromises| {
            promises.own.back().is_some_and(|promise| promise.due > now)
        };
        let mut listed: Vec<_> =
            self.workspaces.iter().filter(|(_, promises)| is_listed(promises)).collect();
        listed.sort_by_key(|(_, promises)| std::cmp::Reverse(promises.own.len()));
        listed.truncate(MAX_WORKSPACES);
        let digests = MAX_DIGESTS / listed.len().max(1);
        let reports = listed.into_iter().map(|(workspace, promises)| {
            let mut due: Vec<(u8, u8)> = Vec::new();
            let open = promises.own.iter().filter(|promise| promise.due > now);
            for promise in open.clone() {
                let ahead = slot_of(promise.due.saturating_sub(now)) as u8;
                match due.last_mut().filter(|last| last.0 == ahead && last.1 < u8::MAX) {
                    Some(last) => last.1 += 1,
                    None => due.push((ahead, 1)),
                }
            }
            ReportedPromises {
                workspace: *workspace,
                made: promises.made,
                due,
                digests: open.take(digests).map(|promise| promise.digest).collect(),
            }
        });
        reports.collect()
    }

    /// Returns what the promises of a workspace are decided on.
    pub fn evidence(&self, now: Duration, workspace: &WorkspaceId) -> PromiseEvidence {
        let promises = self.workspaces.get(&workspace_hash(workspace));
        promises.map_or_else(PromiseEvidence::default, |promises| PromiseEvidence {
            outstanding: promises.fleet.range(slot_of(now)..).map(|(_, count)| count).sum(),
            made: promises.made,
        })
    }

    /// Returns the numbers of promises by outcome.
    pub fn state(&self) -> PromiseState {
        self.state
    }
}
