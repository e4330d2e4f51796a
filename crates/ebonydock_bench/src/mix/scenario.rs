//! Scenarios of `mix`: JSON with comments. All findings of a file are reported together.

use std::time::Duration;

use ebonydock::{
    ModelName, ObjectReader, PlanName, PoolPolicy, SettingsFindings, WorkspaceEntry, WorkspaceId,
    read_document,
};
use ebonydock_standins::{DataCentrePlan, EngineShape, SitePlan};

/// Kind of a scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MixFault {
    /// An engine interrupts its responses and starts cold.
    EngineRestarts,
    /// A VM stops without notice.
    VmLost,
    /// A lost VM is started again.
    VmBack,
    /// The platform responds only with errors.
    PlatformDown,
    /// The platform responds normally again.
    PlatformUp,
}

/// A fault with its time and the engine or VM that it affects.
#[derive(Clone, Debug)]
pub(crate) struct TimedFault {
    /// Time since the start of the load.
    pub(crate) at: Duration,
    /// Kind of the fault.
    pub(crate) kind: MixFault,
    /// Index of the engine or VM in the site; unused for faults of the platform.
    pub(crate) index: usize,
}

/// A workspace with its rate limit and the load that it sends.
#[derive(Clone, Debug)]
pub(crate) struct OfferedLoad {
    /// Name of the workspace.
    pub(crate) name: String,
    /// Rate limit, in requests per second.
    pub(crate) rate: f64,
    /// Burst of the rate limit, in requests.
    pub(crate) burst: f64,
    /// Average rate outside bursts, in requests per second.
    pub(crate) offered_rate: f64,
    /// Rate during bursts, as a multiple of `offered_rate`.
    pub(crate) burst_factor: f64,
}

impl OfferedLoad {
    /// Returns whether the workspace's rate outside bursts exceeds its rate limit.
    pub(crate) fn is_over_rate(&self) -> bool {
        self.offered_rate > self.rate
    }
}

/// A batch job.
#[derive(Clone, Debug)]
pub(crate) struct MixJob {
    /// Workspace that submits the job.
    pub(crate) workspace: String,
    /// Number of items.
    pub(crate) items: u64,
    /// Tokens to generate for each item.
    pub(crate) tokens: u64,
    /// Seconds from submission until the job is due.
    pub(crate) due_in_s: u64,
}

/// A scenario: the site, its load and its faults.
#[derive(Clone, Debug)]
pub(crate) struct MixScenario {
    /// Duration of the load.
    pub(crate) length: Duration,
    /// Model that every engine serves and every request names.
    pub(crate) model: String,
    /// Data centres with their VMs and engines.
    pub(crate) data_centres: Vec<DataCentrePlan>,
    /// Workspaces that send online requests.
    pub(crate) workspaces: Vec<OfferedLoad>,
    /// Tokens to generate for an online request.
    pub(crate) answer_tokens: u32,
    /// Approximate length of an online prompt, in bytes.
    pub(crate) prompt_bytes: usize,
    /// Number of different prompt prefixes.
    pub(crate) prefixes: u64,
    /// Batch jobs, submitted before the load starts.
    pub(crate) jobs: Vec<MixJob>,
    /// Faults, ordered by time.
    pub(crate) faults: Vec<TimedFault>,
}

impl MixScenario {
    /// Parses `text`, the content of the file `name`; the name is shown in findings.
    pub(crate) fn parse(name: &str, text: &str) -> Result<Self, SettingsFindings> {
        read_document(name, text, Self::parse_object)
    }

    fn parse_object(top: &mut ObjectReader<'_>) -> Option<Self> {
        top.allow_fields(&[
            "seconds",
            "model",
            "data_centres",
            "engine",
            "workspaces",
            "answer_tokens",
            "prompt_bytes",
            "prefixes",
            "jobs",
            "faults",
        ]);
        let model = top.string("model")?;
        let engine_shape = top.object("engine", |object| parse_engine(object, &model))?;
        let data_centres = top.objects("data_centres", |object| {
            object.allow_fields(&["name", "vms", "engines"]);
            let engines = object.integer("engines", 1, 0, 64) as usize;
            Some(DataCentrePlan {
                name: object.string("name")?,
                vms: object.integer("vms", 1, 1, 64) as usize,
                engines: vec![engine_shape.clone(); engines],
                services: 0,
            })
        });
        let mut faults = top.objects("faults", parse_fault);
        faults.sort_by_key(|fault| fault.at);
        Some(Self {
            length: Duration::from_secs(top.integer("seconds", 10, 1, 3600)),
            data_centres,
            workspaces: top.objects("workspaces", parse_workspace),
            answer_tokens: top.integer("answer_tokens", 16, 1, 4096) as u32,
            prompt_bytes: top.integer("prompt_bytes", 400, 1, 100_000) as usize,
            prefixes: top.integer("prefixes", 8, 1, 10_000),
            jobs: top.objects("jobs", parse_job),
            faults,
            model,
        })
    }

    /// Returns the plan of the site to run the scenario on, with the policy `pool`.
    pub(crate) fn site_plan(&self, pool: PoolPolicy) -> SitePlan {
        let entry = |name: &str, rate, burst| WorkspaceEntry {
            workspace: WorkspaceId::from(name),
            plan: PlanName::from("standard"),
            rate,
            burst,
            weight: 1.0,
        };
        let online = self.workspaces.iter().map(|load| entry(&load.name, load.rate, load.burst));
        let batch = self.jobs.iter().map(|job| entry(&job.workspace, 10.0, 10.0));
        SitePlan {
            data_centres: self.data_centres.clone(),
            workspaces: online.chain(batch).collect(),
            pool,
            chunk_items: 250,
            ..SitePlan::default()
        }
    }

    /// Returns the sum of the engines' knees: the number of sequences that all engines are sized for.
    pub(crate) fn total_knee(&self) -> u32 {
        self.data_centres.iter().flat_map(|dc| &dc.engines).map(|engine| engine.knee).sum()
    }
}

fn parse_engine(object: &mut ObjectReader<'_>, model: &str) -> Option<EngineShape> {
    object.allow_fields(&[
        "step_us",
        "sequence_us",
        "knee",
        "prompt_us",
        "cold_ms",
        "cold_sequences",
        "cached_prefixes",
    ]);
    let shape = EngineShape::default();
    Some(EngineShape {
        models: vec![ModelName::from(model)],
        step_us: object.integer("step_us", shape.step_us, 1, 10_000_000),
        sequence_us: object.integer("sequence_us", shape.sequence_us, 0, 1_000_000),
        knee: object.integer("knee", shape.knee.into(), 1, 4096) as u32,
        prompt_us: object.integer("prompt_us", shape.prompt_us, 0, 1_000_000),
        cold_ms: object.integer("cold_ms", shape.cold_ms, 0, 600_000),
        cold_sequences: object.integer("cold_sequences", shape.cold_sequences.into(), 1, 4096)
            as u32,
        cached_prefixes: object.integer("cached_prefixes", 32, 0, 100_000) as usize,
        ..shape
    })
}

fn parse_workspace(object: &mut ObjectReader<'_>) -> Option<OfferedLoad> {
    object.allow_fields(&["name", "rate", "burst", "offered", "bursts"]);
    Some(OfferedLoad {
        name: object.string("name")?,
        rate: object.number("rate", 10.0, 0.001, 1e6),
        burst: object.number("burst", 20.0, 1.0, 1e6),
        offered_rate: object.number("offered", 1.0, 0.0, 1e6),
        burst_factor: object.number("bursts", 1.0, 1.0, 100.0),
    })
}

fn parse_job(object: &mut ObjectReader<'_>) -> Option<MixJob> {
    object.allow_fields(&["workspace", "items", "tokens", "due_in_s"]);
    Some(MixJob {
        workspace: object.string("workspace")?,
        items: object.integer("items", 1000, 1, 1_000_000),
        tokens: object.integer("tokens", 16, 1, 4096),
        due_in_s: object.integer("due_in_s", 3600, 1, 1_000_000),
    })
}

fn parse_fault(object: &mut ObjectReader<'_>) -> Option<TimedFault> {
    object.allow_fields(&["at_s", "kind", "index"]);
    let kind = object.choice(
        "kind",
        &[
            ("engine_restarts", MixFault::EngineRestarts),
            ("vm_lost", MixFault::VmLost),
            ("vm_back", MixFault::VmBack),
            ("platform_down", MixFault::PlatformDown),
            ("platform_up", MixFault::PlatformUp),
        ],
    );
    Some(TimedFault {
        at: Duration::from_secs(object.integer("at_s", 0, 0, 3600)),
        kind: kind?,
        index: object.integer("index", 0, 0, 1000) as usize,
    })
}
