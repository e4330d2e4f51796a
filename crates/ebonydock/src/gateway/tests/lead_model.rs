//! Plays the decisions on member entries and leads under any order of lost, late and refused calls, restarts,
//! pauses, second processes under one name, and reports that do not arrive. Once faults end, entries and leads
//! must settle, whoever still hears whom.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::gateway::claim_planner::{ClaimPlanner, LeadClock, LeadStep};
use crate::gateway::job_lease::{
    ClaimDecision, LEASE_RENEWAL_INTERVAL, LeadRecord, LeadState, VmLease,
};
use crate::gateway::job_records::{JobHead, JobName};
use crate::gateway::member_entry::{EntryAction, MemberGeneration, entry_action};
use crate::ids::VmId;
use crate::ownership::owner_of;

const STEP: Duration = Duration::from_millis(250);
/// Time for which faults are injected.
const FAULT_STEPS: u32 = 160;
/// Time after the last fault within which each live VM has its entry: the longest delay of a late call and two
/// seconds.
const ENTRY_STEPS: u32 = 32;
/// Time after the last fault within which leads settle: the longest backoff, a lease, and the late calls.
const SETTLE_STEPS: u32 = 100;
/// Time for which entries and leads must then stay as they are while jobs make progress.
const CALM_STEPS: u32 = 80;
/// Time that a leader needs to finish an item.
const ITEM_TIME: Duration = Duration::from_secs(2);
const MAX_CALL_DELAY_STEPS: u32 = 24;
const JOBS: usize = 4;
const ITEMS: u32 = 1_000_000;
const SEEDS: std::ops::Range<u64> = 0..400;

/// A write with the version that it expects.
#[derive(Clone)]
enum StoreWrite {
    Entry { name: usize, expected: u64, generation: Option<MemberGeneration> },
    Lease { name: usize, expected: u64, lease: VmLease },
    Head { job: usize, expected: u64, head: JobHead, record: Option<LeadRecord> },
    Commit { job: usize, expected_head: u64, expected_progress: u64 },
}

#[derive(Clone)]
struct StoredJob {
    head: JobHead,
    head_version: u64,
    record: Option<LeadRecord>,
    listed: u32,
    progress_version: u64,
}

#[derive(Default)]
struct ModelStore {
    version: u64,
    entries: HashMap<usize, (MemberGeneration, u64)>,
    leases: HashMap<usize, (VmLease, u64)>,
    jobs: Vec<StoredJob>,
}

impl ModelStore {
    /// Applies a write and returns its version, `None` if its condition does not hold.
    fn apply(&mut self, write: &StoreWrite) -> Option<u64> {
        let version = self.version + 1;
        match write {
            StoreWrite::Entry { name, expected, generation } => {
                let current = self.entries.get(name).map_or(0, |(_, version)| *version);
                if current != *expected {
                    return None;
                }
                match generation {
                    Some(generation) => self.entries.insert(*name, (*generation, version)),
                    None => self.entries.remove(name),
                };
            }
            StoreWrite::Lease { name, expected, lease } => {
                let current = self.leases.get(name).map_or(0, |(_, version)| *version);
                if current != *expected {
                    return None;
                }
                self.leases.insert(*name, (*lease, version));
            }
            StoreWrite::Head { job, expected, head, record } => {
                let job = &mut self.jobs[*job];
                if job.head_version != *expected {
                    return None;
                }
                (job.head, job.head_version) = (head.clone(), version);
                job.record = record.or(job.record);
            }
            StoreWrite::Commit { job, expected_head, expected_progress } => {
                let job = &mut self.jobs[*job];
                if (job.head_version, job.progress_version) != (*expected_head, *expected_progress)
                {
                    return None;
                }
                (job.listed, job.progress_version) = (job.listed + 1, version);
            }
        }
        self.version = version;
        Some(version)
    }
}

/// How a call ends for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Done(u64),
    Conflict,
    Unknown,
    Refused,
}

struct ModelLead {
    head_version: u64,
    progress_version: u64,
    item_started_at: Duration,
}

/// A process of a VM. Two of them may run under one name.
struct ModelVm {
    name: usize,
    id: VmId,
    generation: Option<MemberGeneration>,
    incarnation: u64,
    paused_until: u32,
    is_superseded: bool,
    planner: ClaimPlanner,
    leading: HashMap<usize, ModelLead>,
    lease_version: Option<u64>,
    renew_at: Duration,
    /// What the VM has read of the followed tables.
    entries: HashMap<usize, MemberGeneration>,
    jobs: Vec<(JobHead, u64)>,
}

struct ModelFleet {
    rng: StdRng,
    step: u32,
    is_calm: bool,
    names: usize,
    store: ModelStore,
    vms: Vec<ModelVm>,
    late: Vec<(u32, StoreWrite)>,
    /// Whether the first VM name hears the second.
    hears: HashMap<(usize, usize), bool>,
    next_incarnation: u64,
}

fn vm_id(name: usize) -> VmId {
    VmId::from(format!("vm{name}"))
}

fn job_name(job: usize) -> JobName {
    JobName::of(None, &format!("job{job}"))
}

impl ModelFleet {
    fn open(seed: u64, names: usize, jobs: usize) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            step: 0,
            is_calm: false,
            names,
            store: ModelStore::default(),
            vms: Vec::new(),
            late: Vec::new(),
            hears: HashMap::new(),
            next_incarnation: 1,
        };
        for job in 0..jobs {
            // The first leaders are gone, so that all jobs are taken over.
            let head = JobHead {
                workspace: None,
                route: "night".to_owned(),
                host: "shop.example".to_owned(),
                accepted_at: Duration::ZERO,
                due_at: Duration::MAX,
                keep_until: Duration::MAX,
                items: ITEMS,
                tokens: 0,
                lead: if job % 2 == 0 { String::new() } else { "gone".to_owned() },
                lead_incarnation: 0,
                ended: false,
            };
            fleet.store.version += 1;
            let (head_version, progress_version) = (fleet.store.version, fleet.store.version);
            let stored =
                StoredJob { head, head_version, record: None, listed: 0, progress_version };
            fleet.store.jobs.push(stored);
        }
        for name in 0..names {
            fleet.start(name);
        }
        fleet
    }

    fn now(&self) -> Duration {
        STEP * self.step
    }

    fn start(&mut self, name: usize) {
        let id = vm_id(name);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        self.vms.push(ModelVm {
            name,
            planner: ClaimPlanner::open(&id),
            id,
            generation: None,
            incarnation,
            paused_until: 0,
            is_superseded: false,
            leading: HashMap::new(),
            lease_version: None,
            renew_at: Duration::ZERO,
            entries: HashMap::new(),
            jobs: Vec::new(),
        });
    }

    /// Performs a write with a random fate.
    fn call(&mut self, write: &StoreWrite) -> CallEnd {
        let fate = if self.is_calm { 0 } else { self.rng.random_range(0..10) };
        match fate {
            0..=5 => self.store.apply(write).map_or(CallEnd::Conflict, CallEnd::Done),
            6 => {
                self.store.apply(write);
                CallEnd::Unknown
            }
            7 | 8 => {
                let delay = self.rng.random_range(1..=MAX_CALL_DELAY_STEPS);
                self.late.push((self.step + delay, write.clone()));
                CallEnd::Unknown
            }
            _ => CallEnd::Refused,
        }
    }

    fn is_reachable(&mut self) -> bool {
        self.is_calm || self.rng.random_bool(0.7)
    }

    fn hears(&self, vm: usize, other: usize) -> bool {
        vm != other && self.hears.get(&(vm, other)).copied().unwrap_or(true)
    }

    /// Returns whether a process of this name and incarnation reports.
    fn is_running(&self, name: usize, incarnation: u64) -> bool {
        let mut vms = self.vms.iter();
        vms.any(|vm| {
            vm.name == name && vm.incarnation == incarnation && vm.paused_until <= self.step
        })
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.vms.len());
        let name = self.vms[index].name;
        match self.rng.random_range(0..24) {
            0 => {
                self.vms.remove(index);
                self.start(name);
            }
            1 => {
                self.stop(index);
                self.start(name);
            }
            2 => {
                let steps = self.rng.random_range(4..80);
                self.vms[index].paused_until = self.step + steps;
            }
            // A second process starts while the first is paused or still runs.
            3 if self.vms.len() < self.names + 2 => self.start(name),
            4..=7 => {
                let other = self.rng.random_range(0..self.names);
                let hears = self.rng.random_bool(0.5);
                self.hears.insert((name, other), hears);
            }
            _ => {}
        }
    }

    /// A planned stop: hands jobs on and removes the entry, as far as the calls succeed.
    fn stop(&mut self, index: usize) {
        let vm = self.vms.remove(index);
        for (job, lead) in vm.leading {
            let mut head = self.store.jobs[job].head.clone();
            (head.lead, head.lead_incarnation) = (String::new(), 0);
            let expected = lead.head_version;
            self.call(&StoreWrite::Head { job, expected, head, record: None });
        }
        let stored = self.store.entries.get(&vm.name).copied();
        if let (Some(own), Some((generation, expected))) = (vm.generation, stored)
            && own == generation
        {
            self.call(&StoreWrite::Entry { name: vm.name, expected, generation: None });
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        let due = self.step;
        for (_, write) in self.late.extract_if(.., |(at, _)| *at <= due).collect::<Vec<_>>() {
            self.store.apply(&write);
        }
        if !self.is_calm {
            self.inject_fault();
        }
        for index in 0..self.vms.len() {
            if self.vms[index].paused_until <= self.step {
                self.run_vm(index);
            }
        }
    }

    fn run_vm(&mut self, index: usize) {
        if self.is_reachable() {
            self.follow_tables(index);
        }
        let vm = &self.vms[index];
        let listed = vm.entries.get(&vm.name).map(|generation| generation.incarnation);
        if listed != Some(vm.incarnation) && self.is_reachable() {
            self.keep_entry(index);
        }
        let (id, incarnation) = (self.vms[index].id.clone(), self.vms[index].incarnation);
        let heads: Vec<_> = self.vms[index].jobs.clone();
        self.vms[index].leading.retain(|job, _| {
            let head = &heads[*job].0;
            head.lead == id.as_str() && head.lead_incarnation == incarnation
        });
        self.renew_lease(index);
        self.commit(index);
        if !self.vms[index].is_superseded {
            for job in 0..heads.len() {
                self.lead(index, job);
            }
        }
    }

    fn follow_tables(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let entries = self.store.entries.iter();
        vm.entries = entries.map(|(name, (generation, _))| (*name, *generation)).collect();
        vm.jobs = self.store.jobs.iter().map(|job| (job.head.clone(), job.head_version)).collect();
    }

    fn keep_entry(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let first_read =
            MemberGeneration { first_version: self.store.version, incarnation: vm.incarnation };
        let own = *vm.generation.get_or_insert(first_read);
        let name = vm.name;
        let action = entry_action(own, self.store.entries.get(&name).copied());
        vm.is_superseded = action == EntryAction::Yield;
        if let EntryAction::Publish { expected } = action {
            self.call(&StoreWrite::Entry { name, expected, generation: Some(own) });
        }
    }

    fn renew_lease(&mut self, index: usize) {
        let now = self.now();
        let vm = &self.vms[index];
        if vm.leading.is_empty() || vm.is_superseded || now < vm.renew_at {
            return;
        }
        let (name, incarnation) = (vm.name, vm.incarnation);
        let stored = self.store.leases.get(&name).map_or(0, |(_, version)| *version);
        let expected = vm.lease_version.unwrap_or(stored);
        let lease = VmLease { incarnation, renewed_at: now };
        let end = self.call(&StoreWrite::Lease { name, expected, lease });
        let vm = &mut self.vms[index];
        vm.lease_version = if let CallEnd::Done(version) = end { Some(version) } else { None };
        if vm.lease_version.is_some() {
            vm.renew_at = now + LEASE_RENEWAL_INTERVAL;
        }
    }

    fn commit(&mut self, index: usize) {
        let now = self.now();
        let jobs: Vec<usize> = self.vms[index].leading.keys().copied().collect();
        for job in jobs {
            let lead = &self.vms[index].leading[&job];
            if now < lead.item_started_at + ITEM_TIME {
                continue;
            }
            let write = StoreWrite::Commit {
                job,
                expected_head: lead.head_version,
                expected_progress: lead.progress_version,
            };
            let end = self.call(&write);
            let stored = &self.store.jobs[job];
            let lead = self.vms[index].leading.get_mut(&job).unwrap();
            match end {
                CallEnd::Done(version) => {
                    (lead.progress_version, lead.item_started_at) = (version, now);
                }
                CallEnd::Conflict if stored.head_version == lead.head_version => {
                    // Its own write, whose response was lost.
                    (lead.progress_version, lead.item_started_at) = (stored.progress_version, now);
                }
                CallEnd::Conflict => {
                    self.vms[index].leading.remove(&job);
                }
                CallEnd::Unknown | CallEnd::Refused => {}
            }
        }
    }

    fn lead(&mut self, index: usize, job: usize) {
        let now = self.now();
        let name = job_name(job);
        let vm = &self.vms[index];
        if vm.leading.contains_key(&job) {
            return;
        }
        let head = vm.jobs[job].0.clone();
        let (is_reporting, is_owner) = self.sight(index, &name, &head);
        let clock = LeadClock { store: now, monotonic: now };
        match self.vms[index].planner.step(&name, &head, is_reporting, || is_owner, clock) {
            LeadStep::Leave => {}
            LeadStep::ReadLease(leader) => {
                if self.is_reachable() {
                    let stored = (0..self.names).find(|name| vm_id(*name) == leader);
                    let lease = stored.and_then(|name| self.store.leases.get(&name));
                    let lease = lease.map(|(lease, _)| *lease);
                    self.vms[index].planner.leases.record(leader, lease, now);
                }
            }
            LeadStep::Claim => self.claim(index, job, &head),
        }
    }

    /// Returns whether a VM hears the leader of a job, and whether it is the owner among those that it hears.
    fn sight(&self, index: usize, job: &JobName, head: &JobHead) -> (bool, bool) {
        let vm = &self.vms[index];
        let is_heard = |name: usize| {
            self.hears(vm.name, name)
                && vm.entries.get(&name).is_some_and(|g| self.is_running(name, g.incarnation))
        };
        let reporting: Vec<usize> = (0..self.names).filter(|name| is_heard(*name)).collect();
        let mut candidates: Vec<VmId> = reporting.iter().map(|name| vm_id(*name)).collect();
        candidates.push(vm.id.clone());
        let is_reporting = reporting.iter().any(|name| {
            let incarnation = vm.entries.get(name).map(|generation| generation.incarnation);
            vm_id(*name).as_str() == head.lead && incarnation == Some(head.lead_incarnation)
        });
        (is_reporting, owner_of(job.as_str(), &candidates) == Some(&vm.id))
    }

    fn claim(&mut self, index: usize, job: usize, seen: &JobHead) {
        if !self.is_reachable() {
            return;
        }
        let now = self.now();
        let stored = self.store.jobs[job].clone();
        if (&stored.head.lead, stored.head.lead_incarnation) != (&seen.lead, seen.lead_incarnation)
        {
            return;
        }
        let vm = &mut self.vms[index];
        let state = LeadState {
            head: &stored.head,
            listed: stored.listed,
            record: stored.record,
            lease: vm.planner.leases.last_read(&VmId::from(seen.lead.as_str())),
        };
        let record = match state.decide(vm.id.as_str(), vm.incarnation, now) {
            ClaimDecision::Claim(_, record) => record,
            ClaimDecision::Wait(until) => {
                return vm.planner.defer(&job_name(job), &stored.head, until);
            }
        };
        let mut head = stored.head.clone();
        (head.lead, head.lead_incarnation) = (vm.id.as_str().to_owned(), vm.incarnation);
        let expected = stored.head_version;
        let write = StoreWrite::Head { job, expected, head: head.clone(), record: Some(record) };
        if let CallEnd::Done(head_version) = self.call(&write) {
            let progress_version = self.store.jobs[job].progress_version;
            let lead = ModelLead { head_version, progress_version, item_started_at: now };
            let vm = &mut self.vms[index];
            vm.jobs[job] = (head, head_version);
            vm.leading.insert(job, lead);
        }
    }

    /// Returns the job heads' versions and the number of results of all jobs.
    fn leads(&self) -> (Vec<u64>, u32) {
        let heads = self.store.jobs.iter().map(|job| job.head_version).collect();
        (heads, self.store.jobs.iter().map(|job| job.listed).sum())
    }

    /// Asserts that the store has the entry of the last process of each name.
    fn assert_entries(&self) {
        for name in 0..self.names {
            let last = self.vms.iter().filter(|vm| vm.name == name).max_by_key(|vm| vm.generation);
            let Some(last) = last else { continue };
            let stored = self.store.entries.get(&name).map(|(generation, _)| *generation);
            assert_eq!(stored, last.generation, "entry of vm{name} at {:?}", self.now());
        }
    }
}

fn assert_settles(seed: u64, names: usize, jobs: usize) {
    println!("seed {seed}: {names} VMs, {jobs} jobs");
    let mut fleet = ModelFleet::open(seed, names, jobs);
    for _ in 0..FAULT_STEPS {
        fleet.advance();
    }
    fleet.is_calm = true;
    fleet.vms.iter_mut().for_each(|vm| vm.paused_until = 0);
    for _ in 0..ENTRY_STEPS {
        fleet.advance();
    }
    for _ in ENTRY_STEPS..SETTLE_STEPS {
        fleet.advance();
        fleet.assert_entries();
    }
    let (heads, listed) = fleet.leads();
    let before: Vec<u32> = fleet.store.jobs.iter().map(|job| job.listed).collect();
    for _ in 0..CALM_STEPS {
        fleet.advance();
        fleet.assert_entries();
        assert_eq!(fleet.leads().0, heads, "a lead moved at {:?}", fleet.now());
    }
    assert!(fleet.leads().1 > listed);
    for (job, before) in before.into_iter().enumerate() {
        let leaders = fleet.vms.iter().filter(|vm| vm.leading.contains_key(&job)).count();
        assert_eq!(leaders, 1, "leaders of job {job}");
        assert!(fleet.store.jobs[job].listed > before, "job {job} makes no progress");
    }
}

/// Review case 1 reached a state that no calm ended: entries stayed away, and leads moved for good.
#[test]
fn entries_and_leads_settle_after_any_faults() {
    for seed in SEEDS {
        let fleet_size = StdRng::seed_from_u64(seed).random_range(1..5);
        assert_settles(seed, fleet_size, JOBS);
    }
}
