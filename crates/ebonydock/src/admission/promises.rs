//! Promised tokens of workspace quotas.
//!
//! Each VM promises at most its own part of a workspace's rate, so the promises of all VMs never add up to
//! more than the rate, whatever reports are lost. A returning caller sends nothing that identifies its
//! promise, but it opens a new connection. So promised tokens are given to first requests of connections
//! only, and no more is promised than the rate leaves after the first requests that arrive without a promise.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

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
/// Fraction of the rate that is promised at most. The rest covers the error of the estimated arrivals.
const PROMISED_FRACTION: f64 = 0.95;
/// Time constant of arrival rates, in seconds. When a peak of 4 times the rate begins, a full bucket of one
/// second of the rate is empty after 0.3 s, and the arrivals have to be known by then.
const ARRIVAL_SECONDS: f64 = 0.2;
/// Time constant of the smoothed competing arrivals, in seconds. The most of them are kept, and with the
/// shorter one chance made them a third too high.
const SMOOTHING_SECONDS: f64 = 0.5;
/// Time constant with which the most competing arrivals are forgotten, in seconds; a period of the traffic's
/// peaks and troughs, because what is promised in a trough may be due in the next peak.
const PEAK_SECONDS: f64 = 6.0;
/// Time in which VMs do not know of each other's admissions: a report interval and the age of a report.
const UNSEEN_TIME: Duration = Duration::from_millis(75);
/// Largest fraction of the burst that is kept free for what VMs admit unseen.
const MAX_CUSHION_FRACTION: f64 = 0.4;
/// Time for which due promises are remembered, to tell returning callers from other arrivals.
const DUE_MEMORY: Duration = Duration::from_millis(1500);
/// Time for which a VM reports a workspace after a refusal.
const LISTING_TIME: Duration = Duration::from_secs(1);
/// Time after which the reported arrivals of a VM expire; the same as for load reports.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Time ahead for which tokens are promised at the first refusal, and by how much it grows per second of
/// refusals. The arrivals of a peak are not known yet when it begins.
const FIRST_LEAD: Duration = Duration::from_millis(250);
const LEAD_GROWTH: u32 = 2;
/// Time after which an unused workspace is removed.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Number of workspaces that a VM promises tokens of at the same time, which bounds the size of reports.
const MAX_WORKSPACES: usize = 4;

/// Promises of a VM for one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPromises {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Number of promises of the VM's incarnation.
    pub made: u32,
    /// First requests of connections, in tenths of a request per second.
    pub arrival_tenths_per_s: u16,
    /// Promises that are not due yet: the time until they are, in units of 50 ms, and their number.
    pub due: Vec<(u8, u8)>,
}

/// A refused request that asks for a promise.
#[derive(Clone, Copy, Debug)]
pub struct PromiseRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a WorkspaceId,
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
    /// Whether it is the first request of its connection, as that of a returning caller is.
    pub is_first_of_connection: bool,
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
    /// First requests of connections that this VM admitted while promises of any VM were due.
    pub taken_up: u64,
    /// Promises of this VM whose time to return has passed, taken up or not.
    pub ended: u64,
    /// Refused requests that no promise was made to.
    pub plain: u64,
}

/// What promises of a workspace are decided on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromiseEvidence {
    /// First requests of connections without a promise over all VMs, per second; the most of the last seconds.
    pub competing_per_s: f64,
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

/// Last report of another VM on a workspace.
#[derive(Debug, Default)]
struct PeerPromises {
    arrivals: ArrivalRate,
    reported_at: Duration,
    /// Time slots of its promises, and their numbers.
    due: Vec<(u64, u32)>,
}

/// Promises of all VMs for one workspace, as far as this VM knows them.
#[derive(Debug, Default)]
struct WorkspacePromises {
    /// First requests of connections at this VM.
    arrivals: ArrivalRate,
    /// Other requests at this VM.
    others: ArrivalRate,
    /// First requests of connections without a promise, per second: smoothed, the most of them lately, and
    /// when they were reckoned.
    competing: f64,
    most_competing: f64,
    reckoned_at: Duration,
    /// Earliest time of this VM's next promise.
    next_due: Duration,
    /// Times of this VM's promises.
    own: VecDeque<Duration>,
    made: u32,
    /// Start of the present refusals, and the last one.
    refusing_since: Duration,
    refused_at: Option<Duration>,
    used_at: Duration,
    peers: FxHashMap<VmId, PeerPromises>,
    /// Promises of all VMs by time slot. Those that are due stay for `DUE_MEMORY`.
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
        let oldest = slot_of(now.saturating_sub(DUE_MEMORY));
        while self.fleet.first_key_value().is_some_and(|(slot, _)| *slot < oldest) {
            self.fleet.pop_first();
        }
        let mut ended = 0;
        while self.own.front().is_some_and(|due| *due + CLAIM_TIME <= now) {
            self.own.pop_front();
            ended += 1;
        }
        ended
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

    /// Returns the rate of callers with a promise that are due to return, over all VMs.
    fn returning_per_s(&self, now: Duration) -> f64 {
        let due = self.fleet.range(..slot_of(now));
        let rates = due.map(|(slot, count)| {
            let age = now.saturating_sub(slot_start(*slot) + SLOT).as_secs_f64();
            f64::from(*count) / ARRIVAL_SECONDS * (-age / ARRIVAL_SECONDS).exp()
        });
        rates.sum()
    }

    /// Returns the rate of first requests of connections without a promise over all VMs, and whether most VMs
    /// have reported theirs. The others are assumed to get as many as the mean of those that have.
    fn competing_per_s(&self, now: Duration, vms: usize) -> (f64, bool) {
        let is_current = |peer: &&PeerPromises| now <= peer.reported_at + REPORT_LIFETIME;
        let reports = self.peers.values().filter(is_current).map(|peer| peer.arrivals.get(now));
        let (count, reported) = reports.fold((0_usize, 0.0), |(n, sum), next| (n + 1, sum + next));
        let known = count + 1;
        let all = (self.arrivals.get(now) + reported) * vms.max(known) as f64 / known as f64;
        ((all - self.returning_per_s(now)).max(0.0), 2 * known >= vms)
    }

    /// Updates and returns the most competing arrivals.
    fn most_competing_per_s(&mut self, now: Duration, vms: usize) -> f64 {
        let elapsed = now.saturating_sub(self.reckoned_at).as_secs_f64();
        self.reckoned_at = now;
        let kept = self.most_competing * (-elapsed / PEAK_SECONDS).exp();
        let (competing, is_known) = self.competing_per_s(now, vms);
        let weight = 1.0 - (-elapsed / SMOOTHING_SECONDS).exp();
        self.competing += weight * (competing - self.competing);
        // An estimate from few VMs is not kept, because chance would make it too high.
        self.most_competing = if is_known { kept.max(self.competing) } else { kept };
        self.most_competing.max(competing)
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
            .map(|(ahead, count)| (slot_of(now + SLOT * u32::from(*ahead)), u32::from(*count)));
        let due = due.filter(|(slot, _)| *slot > current).collect();
        let previous = std::mem::replace(&mut peer.due, due);
        let added = peer.due.clone();
        peer.arrivals =
            ArrivalRate { per_s: f64::from(report.arrival_tenths_per_s) / 10.0, at: now };
        peer.reported_at = now;
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

    /// Records a request and returns how many tokens it must leave in the bucket for others.
    ///
    /// VMs that see the same tokens may spend them together before they hear of each other. So while promises
    /// are outstanding, some tokens more are kept, at random up to what may be spent unseen: the fuller the
    /// bucket, the more requests are admitted.
    pub fn reserved(&mut self, now: Duration, arrival: &QuotaArrival<'_>) -> f64 {
        let vms = self.members.len();
        let promises = self.workspace(now, arrival.workspace);
        if arrival.is_first_of_connection {
            promises.arrivals.add(now);
            return 0.0;
        }
        promises.others.add(now);
        let reserved = promises.reserved(now, arrival.refill);
        if reserved <= 0.0 {
            return 0.0;
        }
        reserved + arrival.random * promises.unseen(now, vms, arrival.burst)
    }

    /// Records that the first request of a connection was admitted.
    pub fn record_admitted(&mut self, now: Duration, workspace: &WorkspaceId) {
        let claimable = slot_of(now.saturating_sub(CLAIM_TIME))..=slot_of(now);
        let promises = self.workspace(now, workspace);
        let is_due = promises.fleet.range(claimable).any(|(_, count)| *count > 0);
        self.state.taken_up += u64::from(is_due);
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
        if promises.refused_at.is_none_or(|at| now > at + LISTING_TIME) {
            promises.refusing_since = now;
        }
        promises.refused_at = Some(now);
        let max_lead = FIRST_LEAD + now.saturating_sub(promises.refusing_since) * LEAD_GROWTH;
        let max_lead = max_lead.min(MAX_LEAD).min(request.max_delay);
        let left = request.rate * PROMISED_FRACTION - promises.most_competing_per_s(now, vms);
        let rate = left * share;
        if rate <= 0.0 || !is_listed {
            return None;
        }
        let interval = Duration::try_from_secs_f64(1.0 / rate).ok()?;
        let is_first = promises.fleet.is_empty();
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
        promises.own.push_back(due);
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

    /// Returns this VM's promises of the workspaces that it refused requests of recently.
    pub fn report(&self, now: Duration) -> Vec<ReportedPromises> {
        let is_listed = |promises: &WorkspacePromises| {
            promises.refused_at.is_some_and(|at| now <= at + LISTING_TIME)
                || promises.own.back().is_some_and(|due| *due > now)
        };
        let mut listed: Vec<_> =
            self.workspaces.iter().filter(|(_, promises)| is_listed(promises)).collect();
        listed.sort_by_key(|(_, promises)| std::cmp::Reverse(promises.own.len()));
        let listed = listed.into_iter().take(MAX_WORKSPACES);
        let reports = listed.map(|(workspace, promises)| {
            let mut due: Vec<(u8, u8)> = Vec::new();
            for at in promises.own.iter().filter(|at| **at > now) {
                let ahead = slot_of(at.saturating_sub(now)) as u8;
                match due.last_mut().filter(|last| last.0 == ahead) {
                    Some(last) => last.1 = last.1.saturating_add(1),
                    None => due.push((ahead, 1)),
                }
            }
            ReportedPromises {
                workspace: *workspace,
                made: promises.made,
                arrival_tenths_per_s: (promises.arrivals.get(now) * 10.0).round() as u16,
                due,
            }
        });
        reports.collect()
    }

    /// Returns what the promises of a workspace are decided on.
    pub fn evidence(&self, now: Duration, workspace: &WorkspaceId) -> PromiseEvidence {
        let promises = self.workspaces.get(&workspace_hash(workspace));
        promises.map_or_else(PromiseEvidence::default, |promises| PromiseEvidence {
            competing_per_s: promises.most_competing,
            outstanding: promises.fleet.range(slot_of(now)..).map(|(_, count)| count).sum(),
            made: promises.made,
        })
    }

    /// Returns the numbers of promises by outcome.
    pub fn state(&self) -> PromiseState {
        self.state
    }
}
