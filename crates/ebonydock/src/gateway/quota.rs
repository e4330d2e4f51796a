//! Workspace quotas enforced over all VMs.
//!
//! Each VM keeps a local token bucket for every workspace and subtracts the requests that other VMs report.
//! Each VM contributes an equal share of a quota's rate. The share of another VM is added only for the time
//! up to its last report, which also says what it has spent, so the sides of a network partition together
//! admit no more than the rate. What the other side spends before the partition is noticed is estimated.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::gateway::load::{LoadReport, SpentQuota};
use crate::ids::{VmId, WorkspaceId};

/// Maximum debt of a bucket from late reports of other VMs, in seconds of the quota's rate.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// Minimum Retry-After of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum Retry-After of a refused request.
const MAX_RETRY_AFTER: Duration = Duration::from_hours(1);
/// Fraction of each quota that a VM may spend before it knows how many VMs there are.
const INITIAL_FRACTION: f64 = 0.01;
/// How long spent quota is included in reports. It is sent repeatedly because reports may be lost.
const LISTING_TIME: Duration = Duration::from_secs(1);
/// Time without a report after which another VM is silent; a VM reports at least every 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval between checks for silent VMs.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between samples of what was spent, and their number; together they cover `SILENCE_TIMEOUT` and the
/// time until silence is noticed.
const SPENDING_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const SPENDING_SAMPLES: usize = 16;
/// Longest gap between two reports whose share of the refill is confirmed by the later one.
const MAX_CONFIRMED_GAP: Duration = Duration::from_millis(1500);
/// Time constant with which withheld tokens expire, so that those of VMs that never return do not add up.
const WITHHELD_LIFETIME_SECONDS: f64 = 10.0;

/// Last report of another VM about one workspace.
#[derive(Debug)]
struct ReportedSpending {
    incarnation: u64,
    requests: u64,
    at: Duration,
}

/// Time since the ledger was opened, in seconds, by whether it adds to the buckets. Both are means over all
/// VMs: with a quarter of them silent, 0.75 s of each second are confirmed.
#[derive(Clone, Copy, Debug, Default)]
struct RefillClock {
    /// Time up to the last report of each VM.
    confirmed: f64,
    /// Time since the last report of each VM, and gaps that were too long. Without silent VMs it stays at the
    /// mean age of reports.
    unconfirmed: f64,
}

#[derive(Debug, Default)]
struct WorkspaceBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
    /// Value of the ledger's clock at the last refill.
    clock: RefillClock,
    /// Refill withheld because VMs were silent. What these spent meanwhile is subtracted from it.
    withheld: f64,
    /// Requests that this VM admitted, without refunded ones.
    local_spent: u64,
    first_spent_at: Duration,
    last_changed_at: Duration,
    reported: FxHashMap<VmId, ReportedSpending>,
    /// Requests that this VM admitted and that others reported without delay.
    spent: f64,
    /// Samples of `spent` with their times, taken before it changed.
    samples: VecDeque<(Duration, f64)>,
    /// Requests of other VMs, for logs.
    subtracted: f64,
    dropped: f64,
}

impl WorkspaceBucket {
    fn refill(&mut self, now: Duration, clock: RefillClock, live_fraction: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let confirmed = clock.confirmed - self.clock.confirmed;
        let unconfirmed = clock.unconfirmed - self.clock.unconfirmed;
        let capacity = (self.burst * live_fraction).max(1.0);
        self.level = (self.level + self.rate * confirmed).min(capacity);
        let kept = self.withheld * (-elapsed / WITHHELD_LIFETIME_SECONDS).exp();
        self.withheld = (kept + self.rate * unconfirmed).max(0.0);
        self.refilled_at = now;
        self.clock = clock;
    }

    fn record_spending(&mut self, now: Duration, requests: f64) {
        let is_due =
            |sample: &(Duration, f64)| now.saturating_sub(sample.0) >= SPENDING_SAMPLE_INTERVAL;
        if self.samples.back().is_none_or(is_due) {
            if self.samples.len() == SPENDING_SAMPLES {
                self.samples.pop_front();
            }
            self.samples.push_back((now, self.spent));
        }
        self.spent += requests;
    }

    /// Returns what the VMs in contact have spent since `since`.
    fn spent_since(&self, since: Duration) -> f64 {
        let sample = self.samples.iter().find(|(at, _)| *at >= since);
        sample.map_or(0.0, |(_, spent)| (self.spent - spent).max(0.0))
    }

    /// Subtracts what VMs that have become silent are likely to have spent since their last report. It is
    /// withheld for their next ones, which say how much it was.
    fn withhold(&mut self, requests: f64, live_fraction: f64) {
        let debt = -(self.rate * live_fraction * MAX_DEBT_SECONDS).max(1.0);
        let level = (self.level - requests).max(debt).min(self.level);
        self.withheld += self.level - level;
        self.level = level;
    }

    /// Subtracts requests of another VM; a negative number are refunds. If the VM was silent when it
    /// admitted them, they are covered by the refill that was withheld.
    fn subtract(&mut self, requests: f64, was_silent: bool, live_fraction: f64) {
        let covered = if was_silent { self.withheld.min(requests).max(0.0) } else { 0.0 };
        self.withheld -= covered;
        let debt = -(self.rate * live_fraction * MAX_DEBT_SECONDS).max(1.0);
        let level = self.level - (requests - covered);
        self.level = level.max(debt);
        self.subtracted += requests;
        self.dropped += self.level - level;
    }
}

/// State of a workspace's bucket on one VM, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaState {
    /// Quota in requests per second over all VMs.
    pub rate: f64,
    /// Bucket size of the quota, in requests.
    pub burst: f64,
    /// Tokens in the bucket; negative after reports of other VMs that spent more.
    pub level: f64,
    /// Requests of other VMs subtracted since the VM started.
    pub subtracted: f64,
    /// Requests of other VMs that exceeded the maximum debt and were not subtracted.
    pub dropped: f64,
    /// Fraction of all VMs that are live as seen by this VM, itself included.
    pub live_fraction: f64,
}

/// Contact with another VM.
#[derive(Debug)]
struct PeerContact {
    /// Time since which no gap between its reports was too long to confirm its share.
    steady_since: Duration,
    heard_at: Duration,
    is_silent: bool,
}

/// Local token buckets of all workspaces.
#[derive(Debug)]
pub struct QuotaLedger {
    buckets: FxHashMap<WorkspaceId, WorkspaceBucket>,
    /// Number of VMs, this one included; `None` until it is known.
    members: Option<usize>,
    peers: FxHashMap<VmId, PeerContact>,
    /// Number of other VMs that are not silent.
    live_peers: usize,
    opened_at: Duration,
    silence_checked_at: Duration,
    /// Time up to which this VM's own share is confirmed.
    updated_at: Duration,
    /// Value of [`RefillClock::confirmed`].
    confirmed: f64,
}

impl QuotaLedger {
    /// Opens a ledger that knows neither quotas nor other VMs.
    pub fn open(now: Duration) -> Self {
        Self {
            buckets: FxHashMap::default(),
            members: None,
            peers: FxHashMap::default(),
            live_peers: 0,
            opened_at: now,
            silence_checked_at: now,
            updated_at: now,
            confirmed: 0.0,
        }
    }

    /// Sets the number of VMs that share the quotas, this one included.
    pub fn set_members(&mut self, now: Duration, members: usize) {
        self.advance_clock(now);
        self.members = Some(members);
    }

    /// Sets a workspace's quota: `rate` in requests per second over all VMs, 0 for no limit, and the bucket
    /// size. A new bucket starts empty, because the previous incarnation of the VM may have spent the burst.
    pub fn set_quota(&mut self, now: Duration, workspace: &WorkspaceId, rate: f64, burst: f64) {
        let bucket = self.refilled_bucket(now, workspace);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.max(-(rate * MAX_DEBT_SECONDS).max(1.0));
    }

    /// Returns the fraction of each quota that one VM contributes.
    fn share(&self) -> f64 {
        let vms = self.members.map(|members| members.max(self.live_peers + 1));
        vms.map_or(INITIAL_FRACTION, |vms| 1.0 / vms as f64)
    }

    /// Returns the fraction of all VMs that are live as seen from this one, itself included.
    fn live_fraction(&self) -> f64 {
        let Some(members) = self.members else { return INITIAL_FRACTION };
        ((self.live_peers + 1) as f64 / members as f64).min(1.0)
    }

    /// Adds this VM's own share up to now and returns the clock.
    fn advance_clock(&mut self, now: Duration) -> RefillClock {
        self.confirmed += now.saturating_sub(self.updated_at).as_secs_f64() * self.share();
        self.updated_at = now;
        let elapsed = now.saturating_sub(self.opened_at).as_secs_f64();
        RefillClock { confirmed: self.confirmed, unconfirmed: elapsed - self.confirmed }
    }

    fn refilled_bucket(&mut self, now: Duration, workspace: &WorkspaceId) -> &mut WorkspaceBucket {
        let live_fraction = self.live_fraction();
        let clock = self.advance_clock(now);
        let bucket = || WorkspaceBucket { refilled_at: now, clock, ..WorkspaceBucket::default() };
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(bucket);
        bucket.refill(now, clock, live_fraction);
        bucket
    }

    /// Finds VMs that have become silent. Each of them may still see the tokens that this VM sees, so both
    /// keep only their part. Since its last report, each may have spent as much as the VMs in contact.
    fn detect_silence(&mut self, now: Duration) {
        if now < self.silence_checked_at + SILENCE_CHECK_INTERVAL {
            return;
        }
        self.silence_checked_at = now;
        let before = self.live_fraction();
        let mut silent = 0;
        let mut heard_at = now;
        for contact in self.peers.values_mut().filter(|contact| !contact.is_silent) {
            if now.saturating_sub(contact.heard_at) > SILENCE_TIMEOUT {
                contact.is_silent = true;
                silent += 1;
                heard_at = heard_at.min(contact.heard_at);
            }
        }
        if silent == 0 {
            return;
        }
        let clock = self.advance_clock(now);
        self.live_peers -= silent;
        let live_fraction = self.live_fraction();
        let kept = live_fraction / before;
        let silent_per_live_vm = silent as f64 / (self.live_peers + 1) as f64;
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, clock, before);
            bucket.withhold(bucket.spent_since(heard_at) * silent_per_live_vm, live_fraction);
            // A debt is not shared.
            bucket.level = bucket.level.min(bucket.level * kept);
        }
    }

    /// Acquires one token of a workspace's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until a token will be available if the bucket is empty.
    pub fn admit(&mut self, now: Duration, workspace: &WorkspaceId) -> Result<(), Duration> {
        self.detect_silence(now);
        let live_fraction = self.live_fraction();
        let bucket = self.refilled_bucket(now, workspace);
        if bucket.rate <= 0.0 {
            return Ok(());
        }
        if bucket.level < 1.0 {
            let refill = bucket.rate * live_fraction;
            let wait = Duration::try_from_secs_f64((1.0 - bucket.level) / refill);
            let wait = wait.unwrap_or(MAX_RETRY_AFTER);
            return Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        }
        bucket.level -= 1.0;
        if bucket.local_spent == 0 {
            bucket.first_spent_at = now;
        }
        bucket.local_spent += 1;
        bucket.record_spending(now, 1.0);
        bucket.last_changed_at = now;
        Ok(())
    }

    /// Refunds a request that no target ran.
    pub fn refund(&mut self, now: Duration, workspace: &WorkspaceId) {
        let bucket = self.refilled_bucket(now, workspace);
        if bucket.local_spent > 0 {
            bucket.level += 1.0;
            bucket.record_spending(now, -1.0);
            bucket.local_spent -= 1;
            bucket.last_changed_at = now;
        }
    }

    /// Applies a load report of another VM: its share up to now, and its spending.
    pub fn observe(&mut self, now: Duration, vm: &VmId, report: &LoadReport) {
        self.advance_clock(now);
        let share = self.share();
        // To a VM that has just started, the time since its start is a gap like any other.
        let contact = self.peers.entry(vm.clone()).or_insert(PeerContact {
            steady_since: self.opened_at,
            heard_at: self.opened_at,
            is_silent: true,
        });
        let gap = now.saturating_sub(contact.heard_at);
        if gap <= MAX_CONFIRMED_GAP {
            self.confirmed += gap.as_secs_f64() * share;
        } else {
            contact.steady_since = now;
        }
        self.live_peers += usize::from(contact.is_silent);
        contact.heard_at = now;
        contact.is_silent = false;
        self.detect_silence(now);
        for spent in &report.quotas {
            self.subtract(now, (vm, report.incarnation), spent);
        }
    }

    fn subtract(&mut self, now: Duration, (vm, incarnation): (&VmId, u64), spent: &SpentQuota) {
        let steady_since = self.peers.get(vm).map_or(now, |contact| contact.steady_since);
        let live_fraction = self.live_fraction();
        let opened_at = self.opened_at;
        let first_spent_at = now.saturating_sub(Duration::from_millis(spent.age_ms.into()));
        let bucket = self.refilled_bucket(now, &spent.workspace);
        let report = ReportedSpending { incarnation, requests: spent.requests, at: now };
        let previous = bucket.reported.insert(vm.clone(), report);
        let previous = previous.filter(|previous| previous.incarnation == incarnation);
        let (counted, was_silent) = match previous {
            Some(previous) => (previous.requests, previous.at < steady_since),
            None if first_spent_at >= opened_at => (0, first_spent_at < steady_since),
            // Some were admitted before this VM started with empty buckets.
            None => (spent.requests, false),
        };
        let requests = spent.requests as f64 - counted as f64;
        if !was_silent {
            bucket.record_spending(now, requests);
        }
        bucket.subtract(requests, was_silent, live_fraction);
    }

    /// Returns this VM's counters of the workspaces that it admitted requests for recently.
    pub fn spent(&self, now: Duration) -> Vec<SpentQuota> {
        let is_recent = |bucket: &WorkspaceBucket| {
            bucket.last_changed_at > Duration::ZERO && now <= bucket.last_changed_at + LISTING_TIME
        };
        let spent = self.buckets.iter().filter(|(_, bucket)| is_recent(bucket));
        spent
            .map(|(workspace, bucket)| SpentQuota {
                workspace: workspace.clone(),
                requests: bucket.local_spent,
                age_ms: now.saturating_sub(bucket.first_spent_at).as_millis() as u32,
            })
            .collect()
    }

    /// Returns the numbers of requests of other VMs that were subtracted, and that exceeded the maximum
    /// debt, over all workspaces.
    pub(crate) fn totals(&self) -> (f64, f64) {
        let sums = self.buckets.values().map(|bucket| (bucket.subtracted, bucket.dropped));
        sums.fold((0.0, 0.0), |total, next| (total.0 + next.0, total.1 + next.1))
    }

    /// Returns the state of a workspace's bucket after the last decision.
    pub fn state(&self, workspace: &WorkspaceId) -> QuotaState {
        let live_fraction = self.live_fraction();
        let bucket = self.buckets.get(workspace);
        bucket.map_or_else(QuotaState::default, |bucket| QuotaState {
            rate: bucket.rate,
            burst: bucket.burst,
            level: bucket.level,
            subtracted: bucket.subtracted,
            dropped: bucket.dropped,
            live_fraction,
        })
    }
}
