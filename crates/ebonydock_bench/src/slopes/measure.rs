//! Measures slopes: time of decisions, sizes of messages and of state, and the cost of idle VMs.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ebonydock::wire::{
    AcquireReply, AcquireRequest, ChangeBatch, ChunkReport, ChunkRequest, DataCentreDigest,
    Envelope, GrantId, GrantReply, GrantRequest, Heartbeat, LeaseGrant, LeaseOutcome, MemberPhase,
    PeerDatagram, PeerReply, PeerRequest, PoolSummary, ReleaseReport, RequestDemand, VmAddress,
};
use ebonydock::{
    AcquireContext, BucketOwner, BucketShare, Change, ChunkTracker, ConfigDocument, ConfigVersion,
    DataCentreId, Decision, Epoch, JobId, KeyHash, LeaseId, MembershipView, ModelName, ObjectName,
    PlanName, PoolPolicy, PoolScheduler, RequestClass, StatusReply, TargetEntry, TargetId,
    VersionedBatch, VmId, WaiterId, WorkspaceEntry, WorkspaceId,
};
use ebonydock_standins::{
    DataCentrePlan, EngineShape, SiteClient, SitePlan, StandInSite, engine_entry,
};
use serde::Serialize;

use crate::bench_site::with_site;

const ROUNDS: u32 = 20_000;
const CHANGE_COUNT: u32 = 2000;
const MODEL: &str = "clerk-8b";
const IDLE_INTERVAL: Duration = Duration::from_secs(4);
const WORKSPACES: usize = 47_000;
/// Clock ticks, the unit of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// A measured slope.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MeasuredSlope {
    /// Name of the quantity; the key of `MeasuredSlopes::get` and of the row on the page.
    pub(crate) name: &'static str,
    /// Value in `unit`.
    pub(crate) value: f64,
    /// Unit of `value`.
    pub(crate) unit: &'static str,
}

/// All slopes measured in one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MeasuredSlopes {
    /// Slopes in the order of the page.
    pub(crate) slopes: Vec<MeasuredSlope>,
}

impl MeasuredSlopes {
    /// Measures all slopes. Fails if a site for the idle VMs cannot be started.
    pub(crate) fn measure() -> Result<Self, String> {
        let targets = bytes_per_target();
        let (config_bytes, apply_ns) = config_cost();
        let buckets = bytes_per_bucket();
        let mut slopes = Vec::new();
        let mut add = |name, value, unit| slopes.push(MeasuredSlope { name, value, unit });
        add("heartbeat message", message_bytes(&PeerDatagram::Heartbeat(heartbeat(1))), "bytes");
        add("digest message", message_bytes(&PeerRequest::Digest(digest())), "bytes");
        add("acquire, request and reply", acquire_message_bytes(), "bytes");
        add("release, request and reply", release_message_bytes(), "bytes");
        add("draw, request and reply", grant_message_bytes(), "bytes");
        add("change announced", change_message_bytes(), "bytes");
        add("chunk, order and report", chunk_message_bytes(), "bytes");
        add("heartbeat taken, 36 members", heartbeat_handling_ns(36), "ns");
        add("acquire and release, 10 targets", scheduling_ns(10), "ns");
        add("acquire and release, 100 targets", scheduling_ns(100), "ns");
        add("acquire and release, 1000 targets", scheduling_ns(1000), "ns");
        add("draw, 100 workspaces", bucket_acquire_ns(100), "ns");
        add("draw, 47000 workspaces", bucket_acquire_ns(WORKSPACES), "ns");
        add("chunk assigned and committed", chunk_tracking_ns(), "ns");
        add("configuration, for a workspace", config_bytes, "bytes");
        add("change applied, 47000 workspaces", apply_ns, "ns");
        add("bucket, for a workspace", buckets, "bytes");
        add("target and its leases", targets, "bytes");
        for (suffix, vms) in [("4 VMs", 4), ("16 VMs", 16), ("48 VMs", 48)] {
            let idle = idle_vms(vms)?;
            let label = |measured: &str| -> &'static str {
                Box::leak(format!("{measured}, {suffix}").into())
            };
            add(label("idle VM, processor"), idle.cpu_ms_per_second, "ms/s");
            add(label("idle VM, sent to VMs"), idle.sent_bytes_per_second, "bytes/s");
        }
        Ok(Self { slopes })
    }

    /// Returns the value of the slope `name`, which must be one of those that `measure` adds.
    pub(crate) fn get(&self, name: &str) -> f64 {
        let slope = self.slopes.iter().find(|slope| slope.name == name);
        slope.map_or_else(|| unreachable!("slope `{name}` is not measured"), |slope| slope.value)
    }
}

fn message_bytes<T: Serialize + Clone>(body: &T) -> f64 {
    let envelope = Envelope { from: VmId::from("celje-vm-17"), body: body.clone() };
    postcard::to_stdvec(&envelope).map_or(0.0, |frame| frame.len() as f64)
}

fn nanoseconds(rounds: u32, mut round: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for index in 0..rounds {
        round(index);
    }
    start.elapsed().as_nanos() as f64 / f64::from(rounds)
}

fn pool_summary() -> PoolSummary {
    PoolSummary { model: ModelName::from(MODEL), free: 100, waiting: 3 }
}

fn heartbeat(sequence: u64) -> Heartbeat {
    Heartbeat {
        address: ([10, 1, 2, 3], 9000).into(),
        incarnation: u64::MAX / 3,
        sequence,
        echo: sequence,
        config_version: ConfigVersion(59_000),
        phase: MemberPhase::Serving,
        pools: vec![pool_summary()],
    }
}

fn digest() -> DataCentreDigest {
    let address = ([10, 1, 2, 3], 9000).into();
    let vm = |index| VmAddress { vm: VmId::from(format!("celje-vm-{index}")), address };
    DataCentreDigest {
        data_centre: DataCentreId::from("celje"),
        sequence: u64::MAX / 3,
        vms: (0..36).map(vm).collect(),
        config_version: ConfigVersion(59_000),
        pools: vec![pool_summary(); 12],
        relay: true,
    }
}

fn demand(workspace: usize) -> RequestDemand {
    RequestDemand {
        class: RequestClass::Online,
        workspace: WorkspaceId::from(format!("workspace-{workspace}")),
        weight: 1.0,
        prompt_tokens: 300,
        answer_tokens: 256,
        prefix: Some(u64::MAX / 5),
        order: 0,
    }
}

fn acquire_request(workspace: usize) -> AcquireRequest {
    let model = ModelName::from(MODEL);
    AcquireRequest { model, demand: demand(workspace), wait_ms: 2000, excluded: Vec::new() }
}

fn report(lease: LeaseId) -> ReleaseReport {
    ReleaseReport {
        model: ModelName::from(MODEL),
        lease,
        outcome: LeaseOutcome::Completed,
        tokens: 256,
        token_micros: 22_000,
        start_id: u64::MAX / 3,
    }
}

fn acquire_message_bytes() -> f64 {
    let grant = LeaseGrant {
        lease: LeaseId(u64::MAX / 3),
        target: TargetId::from("celje-engine-12"),
        address: "10.1.2.3:8000".to_owned(),
        start_id: u64::MAX / 3,
        probe: false,
    };
    message_bytes(&PeerRequest::Acquire(acquire_request(7)))
        + message_bytes(&PeerReply::Acquire(AcquireReply::Granted(grant)))
}

fn release_message_bytes() -> f64 {
    message_bytes(&PeerRequest::Release(report(LeaseId(u64::MAX / 3))))
        + message_bytes(&PeerReply::Done)
}

fn grant_request(workspace: usize, grant: u64) -> GrantRequest {
    let workspace = WorkspaceId::from(format!("workspace-{workspace}"));
    GrantRequest { workspace, grant: GrantId(grant), want: 1, closed: vec![GrantId(grant - 1)] }
}

fn grant_message_bytes() -> f64 {
    let reply = GrantReply { tokens: 1, lifetime_ms: 300, retry_after_ms: 0, owner: true };
    message_bytes(&PeerRequest::Draw(grant_request(7, 1 << 40)))
        + message_bytes(&PeerReply::Grant(reply))
}

fn change(index: usize) -> VersionedBatch {
    let hash = KeyHash::of(&index.to_string());
    let workspace = WorkspaceId::from(format!("workspace-{}", index % WORKSPACES));
    let version = ConfigVersion(index as u64 + 2);
    VersionedBatch { version, changes: vec![Change::GiveKey(hash, workspace)] }
}

fn change_message_bytes() -> f64 {
    message_bytes(&PeerRequest::Announce(ChangeBatch { batches: vec![change(1)], relay: false }))
}

fn chunk_message_bytes() -> f64 {
    let name = |part: &str| {
        ObjectName::from(format!("jobs/workspace-7/estimates-2026-12-04/0123456789abcdef/{part}"))
    };
    let request = ChunkRequest {
        workspace: WorkspaceId::from("workspace-7"),
        job: JobId::from("estimates-2026-12-04"),
        epoch: Epoch(3),
        chunk: 17,
        input: name("in-17"),
        due: 1_800_000_000,
    };
    let report = ChunkReport { output: name("out-17"), completed: 1000, failed: 0 };
    message_bytes(&PeerRequest::RunChunk(request)) + message_bytes(&PeerReply::Chunk(report))
}

fn heartbeat_handling_ns(members: u64) -> f64 {
    let own = VmId::from("own");
    let mut view = MembershipView::open(&own, Duration::ZERO);
    let names: Vec<VmId> = (0..members).map(|index| VmId::from(format!("vm-{index}"))).collect();
    nanoseconds(ROUNDS, |round| {
        let now = Duration::from_millis(round.into());
        let vm = &names[round as usize % names.len()];
        view.receive(now, vm, &heartbeat(round.into()));
        black_box(view.next_heartbeat(now, vm));
    })
}

fn entries(count: usize) -> Vec<TargetEntry> {
    let shape = EngineShape::default();
    let address = ([10, 1, 2, 3], 8000).into();
    let entry = |index| engine_entry(&format!("engine-{index}"), "celje", address, &shape);
    (0..count).map(entry).collect()
}

fn warm_scheduler(targets: usize) -> PoolScheduler {
    let now = Duration::ZERO;
    let mut scheduler = PoolScheduler::open(PoolPolicy::default(), 1, Vec::new(), now);
    let entries = entries(targets);
    scheduler.set_targets(now, &entries);
    for entry in &entries {
        scheduler.record_status(now, &entry.target, 7, true);
    }
    scheduler
}

/// Returns the time of an acquire with its release, for requests of many workspaces, at half of the
/// pool's capacity.
fn scheduling_ns(targets: usize) -> f64 {
    let mut scheduler = warm_scheduler(targets);
    let vm = VmId::from("vm-1");
    let mut held = std::collections::VecDeque::new();
    let max_held = targets;
    nanoseconds(ROUNDS, |round| {
        let now = Duration::from_micros(u64::from(round) * 50);
        let mut request = acquire_request(round as usize % WORKSPACES);
        request.demand.prefix = Some(u64::from(round % 512));
        let decisions = scheduler.acquire(now, &vm, WaiterId(round.into()), request);
        for decision in decisions {
            if let Decision::Grant(_, grant) = decision {
                held.push_back(grant.lease);
            }
        }
        if held.len() > max_held
            && let Some(lease) = held.pop_front()
        {
            black_box(scheduler.release(now, &report(lease)));
        }
    })
}

fn bucket_acquire_ns(workspaces: usize) -> f64 {
    let mut owner = BucketOwner::default();
    let vm = VmId::from("vm-1");
    let bucket = BucketShare { rate: 1e6, burst: 1e6 };
    nanoseconds(ROUNDS * 5, |round| {
        let now = Duration::from_micros(u64::from(round) * 10) + Duration::from_secs(5);
        let context = AcquireContext { now, bucket, confirmed_share: 1.0 };
        let request = grant_request(round as usize % workspaces, u64::from(round) + 1);
        black_box(owner.acquire(&context, &vm, &request));
    })
}

fn chunk_tracking_ns() -> f64 {
    let vms: Vec<VmId> = (0..36).map(|index| VmId::from(format!("vm-{index}"))).collect();
    let mut tracker = ChunkTracker::open(ROUNDS, []);
    let report = ChunkReport { output: ObjectName::from("out"), completed: 1000, failed: 0 };
    nanoseconds(ROUNDS, |_| {
        if let Some((chunk, _)) = tracker.assign(&vms, 2) {
            tracker.finish(chunk, Some(report.clone()));
            tracker.commit([chunk]);
        }
    })
}

/// Returns the bytes of configuration per workspace and the nanoseconds to apply one change.
fn config_cost() -> (f64, f64) {
    let entry = |index: usize| WorkspaceEntry {
        workspace: WorkspaceId::from(format!("workspace-{index}")),
        plan: PlanName::from("standard"),
        rate: 10.0,
        burst: 20.0,
        weight: 1.0,
    };
    let set_workspaces = (0..WORKSPACES).map(|index| Change::SetWorkspace(entry(index)));
    let give_keys = (0..WORKSPACES).map(|index| {
        let key = KeyHash::of(&format!("key {index}"));
        Change::GiveKey(key, WorkspaceId::from(format!("workspace-{index}")))
    });
    let batch = VersionedBatch {
        version: ConfigVersion(1),
        changes: set_workspaces.chain(give_keys).collect(),
    };
    let mut document = ConfigDocument::default();
    let bytes = state_bytes(|| {
        let _ = document.apply(&batch);
    });
    let changes: Vec<VersionedBatch> = (0..CHANGE_COUNT as usize).map(change).collect();
    let apply_ns = nanoseconds(CHANGE_COUNT, |round| {
        let _ = black_box(document.apply(&changes[round as usize]));
    });
    (bytes / WORKSPACES as f64, apply_ns)
}

/// Returns the bytes that the result of `make` keeps allocated, as counted by the global allocator.
fn state_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = crate::ALLOCATOR.allocated();
    let state = make();
    let after = crate::ALLOCATOR.allocated();
    black_box(&state);
    after.saturating_sub(before) as f64
}

fn bytes_per_bucket() -> f64 {
    let vm = VmId::from("vm-1");
    let bucket = BucketShare { rate: 10.0, burst: 20.0 };
    let context = AcquireContext { now: Duration::from_secs(5), bucket, confirmed_share: 1.0 };
    let make = || {
        let mut owner = BucketOwner::default();
        for workspace in 0..WORKSPACES {
            owner.acquire(&context, &vm, &grant_request(workspace, 1));
        }
        owner
    };
    state_bytes(make) / WORKSPACES as f64
}

fn bytes_per_target() -> f64 {
    const TARGETS: usize = 1000;
    let vm = VmId::from("vm-1");
    let make = || {
        let mut scheduler = warm_scheduler(TARGETS);
        for round in 0..TARGETS * 2 {
            let request = acquire_request(round);
            black_box(scheduler.acquire(Duration::ZERO, &vm, WaiterId(round as u64), request));
        }
        scheduler
    };
    state_bytes(make) / TARGETS as f64
}

/// Cost of an idle VM in a data centre of several VMs.
struct IdleCost {
    cpu_ms_per_second: f64,
    sent_bytes_per_second: f64,
}

/// Returns the processor time of this process so far, in milliseconds (0 where `/proc` is missing).
pub(crate) fn process_cpu_ms() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> =
        text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 1000.0 / TICKS_PER_SECOND
}

fn idle_vms(vms: usize) -> Result<IdleCost, String> {
    let data_centre =
        DataCentrePlan { name: "celje".into(), vms, engines: Vec::new(), services: 0 };
    let plan = SitePlan { data_centres: vec![data_centre], ..SitePlan::default() };
    with_site("slopes", &plan, move |site, client| async move {
        tokio::time::sleep(IDLE_INTERVAL).await;
        let before = (process_cpu_ms(), sent_bytes(&client, &site).await);
        tokio::time::sleep(IDLE_INTERVAL).await;
        let after = (process_cpu_ms(), sent_bytes(&client, &site).await);
        let seconds = IDLE_INTERVAL.as_secs_f64();
        Ok(IdleCost {
            cpu_ms_per_second: (after.0 - before.0) / seconds / vms as f64,
            sent_bytes_per_second: (after.1 - before.1) / seconds,
        })
    })
}

async fn sent_bytes(client: &SiteClient, site: &StandInSite) -> f64 {
    let Some(address) = site.operators(0) else { return 0.0 };
    let (_, text) = client.operate(address, "/operator/v1/status", None).await;
    let status: Option<StatusReply> = serde_json::from_str(&text).ok();
    status.map_or(0.0, |status| status.peer_wire_bytes.0 as f64)
}
