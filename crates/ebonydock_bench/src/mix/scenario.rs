//! Scenarios of `mix`: JSON with comments, checked as a whole.

use std::time::Duration;

use ebonydock::{
    ModelName, ObjectReader, PlanName, PoolPolicy, SettingsFindings, WorkspaceEntry, WorkspaceId,
    read_document,
};
use ebonydock_standins::{DataCentrePlan, EngineShape, SitePlan};

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MixFault {
    /// An engine breaks its answers off and starts cold.
    EngineRestarts,
    /// A VM is lost.
    VmLost,
    /// A lost VM comes back.
    VmBack,
    /// The platform answers nothing but errors.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

/// A fault with its time and what it hits.
#[derive(Clone, Debug)]
pub(crate) struct TimedFault {
    /// When it happens, from the start of the load.
    pub(crate) at: Duration,
    /// What happens.
    pub(crate) kind: MixFault,
    /// Which engine or VM it hits.
    pub(crate) index: usize,
}

/// A workspace with its plan and the load that it offers.
#[derive(Clone, Debug)]
pub(crate) struct OfferedLoad {
    /// The workspace.
    pub(crate) name: String,
    /// Its rate, requests a second.
    pub(crate) rate: f64,
    /// Its burst.
    pub(crate) burst: f64,
    /// Requests a second that it sends on average outside bursts.
    pub(crate) offered_rate: f64,
    /// How many times as much it sends during bursts.
    pub(crate) burst_factor: f64,
}

impl OfferedLoad {
    /// Whether the workspace offers more than its rate.
    pub(crate) fn is_over_rate(&self) -> bool {
        self.offered_rate > self.rate
    }
}

/// A batch job of the scenario.
#[derive(Clone, Debug)]
pub(crate) struct MixJob {
    /// The workspace.
    pub(crate) workspace: String,
    /// Items.
    pub(crate) items: u64,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
    /// Seconds until it is due.
    pub(crate) due_in_s: u64,
}

/// A scenario.
#[derive(Clone, Debug)]
pub(crate) struct MixScenario {
    /// How long the load lasts.
    pub(crate) length: Duration,
    /// The model.
    pub(crate) model: String,
    /// The data centres.
    pub(crate) data_centres: Vec<DataCentrePlan>,
    /// The workspaces with online load.
    pub(crate) workspaces: Vec<OfferedLoad>,
    /// Tokens of an online answer.
    pub(crate) answer_tokens: u32,
    /// Bytes of an online prompt.
    pub(crate) prompt_bytes: usize,
    /// Different starts of prompts.
    pub(crate) prefixes: u64,
    /// The jobs.
    pub(crate) jobs: Vec<MixJob>,
    /// The faults, in order of their time.
    pub(crate) faults: Vec<TimedFault>,
}

impl MixScenario {
    /// Reads a scenario from `text`, the content of the file `name`.
    pub(crate) fn parse(name: &str, text: &str) -> Result<Self, SettingsFindings> {
        read_document(name, text, Self::parse_object)
    }

    fn parse_object(top: &mut ObjectReader<'_>) -> Option<Self> {
        top.allow(&[
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
            object.allow(&["name", "vms", "engines"]);
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

    /// The site that the scenario describes.
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

    /// Sequences that all engines are sized for.
    pub(crate) fn total_knee(&self) -> u32 {
        self.data_centres.iter().flat_map(|dc| &dc.engines).map(|engine| engine.knee).sum()
    }
}

fn parse_engine(object: &mut ObjectReader<'_>, model: &str) -> Option<EngineShape> {
    object.allow(&[
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
    object.allow(&["name", "rate", "burst", "offered", "bursts"]);
    Some(OfferedLoad {
        name: object.string("name")?,
        rate: object.number("rate", 10.0, 0.001, 1e6),
        burst: object.number("burst", 20.0, 1.0, 1e6),
        offered_rate: object.number("offered", 1.0, 0.0, 1e6),
        burst_factor: object.number("bursts", 1.0, 1.0, 100.0),
    })
}

fn parse_job(object: &mut ObjectReader<'_>) -> Option<MixJob> {
    object.allow(&["workspace", "items", "tokens", "due_in_s"]);
    Some(MixJob {
        workspace: object.string("workspace")?,
        items: object.integer("items", 1000, 1, 1_000_000),
        tokens: object.integer("tokens", 16, 1, 4096),
        due_in_s: object.integer("due_in_s", 3600, 1, 1_000_000),
    })
}

fn parse_fault(object: &mut ObjectReader<'_>) -> Option<TimedFault> {
    object.allow(&["at_s", "kind", "index"]);
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
