//! Settings of a VM: JSON with comments, validated completely before anything starts.

mod findings;
mod reader;
#[cfg(test)]
mod tests;

pub use findings::{Finding, SettingsFindings};
pub use reader::{ObjectReader, read_document};

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::configuration::KeyHash;
use crate::ids::{DataCentreId, VmId};
use crate::membership::messages::VmAddress;
use crate::memory::MemorySettings;
use crate::scheduling::{AffinityPolicy, PoolPolicy, PreemptionPolicy};

/// Settings of a VM.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// All data centres. Must be the same on every VM, since rates are split over them.
    pub data_centres: Vec<DataCentreId>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators.
    pub operators: SocketAddr,
    /// Listening address for other VMs (UDP).
    pub peers: SocketAddr,
    /// Address that other VMs connect to, if it differs from `peers`.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's services (`host:port`).
    pub platform: String,
    /// Certificate files for messages between VMs.
    pub tls: TlsFiles,
    /// SHA-256 hash of the operators' key.
    pub operator_key: KeyHash,
    /// VMs to contact at start if the platform is unavailable.
    pub seeds: Vec<VmAddress>,
    /// Scheduling policy of pools.
    pub pool: PoolPolicy,
    /// Limits of online requests.
    pub online: OnlineSettings,
    /// Limits of batch jobs.
    pub jobs: JobSettings,
    /// Limits of what the VM holds for callers.
    pub memory: MemorySettings,
}

/// Paths of the certificate files, in PEM.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// Certificate of the authority that signs the certificates of all VMs.
    pub authority: PathBuf,
    /// Certificate of the VM.
    pub certificate: PathBuf,
    /// Private key of the VM.
    pub private_key: PathBuf,
}

/// Limits of online requests.
#[derive(Clone, Copy, Debug)]
pub struct OnlineSettings {
    /// Maximum time that a request waits for a target.
    pub wait: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Maximum number of output tokens if the caller sets no limit.
    pub default_tokens: u32,
    /// Time after which running responses of a withdrawn key are ended.
    pub withdrawn_grace: Duration,
    /// Maximum time that a planned stop waits for running responses.
    pub drain: Duration,
}

/// Limits of batch jobs.
#[derive(Clone, Copy, Debug)]
pub struct JobSettings {
    /// Number of items in a chunk, the unit of work assigned to a VM.
    pub chunk_items: usize,
    /// Maximum number of items of a chunk that run concurrently.
    pub parallel_items: usize,
    /// Maximum number of chunks of a job that a VM runs concurrently.
    pub parallel_chunks: usize,
    /// Maximum size of an item, in bytes.
    pub item_limit: usize,
}

const TOP_FIELDS: &[&str] = &[
    "vm",
    "data_centre",
    "data_centres",
    "listen",
    "platform",
    "tls",
    "operator_key_sha256",
    "seeds",
    "pool",
    "online",
    "jobs",
    "limits",
];

impl VmSettings {
    /// Parses settings from `text`, the content of the file `name`.
    ///
    /// # Errors
    ///
    /// Returns all findings with their locations.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsFindings> {
        read_document(name, text, Self::read)
    }

    fn read(top: &mut ObjectReader<'_>) -> Option<Self> {
        top.allow_fields(TOP_FIELDS);
        let vm = top.string("vm");
        let data_centre = top.string("data_centre").map(DataCentreId::from);
        let data_centres = top.strings("data_centres");
        let listen = top.object("listen", |o| {
            o.allow_fields(&["callers", "operators", "peers", "advertise"]);
            let listen = (o.address("callers"), o.address("operators"), o.address("peers"));
            let advertise = o.has("advertise").then(|| o.address("advertise")).flatten();
            Some((listen.0?, listen.1?, listen.2?, advertise))
        });
        let platform = top.string("platform");
        let tls = top.object("tls", read_tls);
        let operator_key = top.parsed::<KeyHash>("operator_key_sha256");
        let seeds = top.objects("seeds", read_seed);
        let pool = top.optional_object("pool", read_pool).unwrap_or_default();
        let online = top.optional_object("online", read_online).unwrap_or_default();
        let jobs = top.optional_object("jobs", read_jobs).unwrap_or_default();
        let memory = top.optional_object("limits", read_limits).unwrap_or_default();
        let data_centres: Vec<DataCentreId> =
            data_centres?.into_iter().map(DataCentreId::from).collect();
        if let Some(own) = &data_centre
            && !data_centres.contains(own)
        {
            top.report("data_centre", format!("`{own}` is not one of `data_centres`"));
        }
        let (callers, operators, peers, advertise) = listen?;
        Some(Self {
            vm: VmId::from(vm?),
            data_centre: data_centre?,
            data_centres,
            callers,
            operators,
            peers,
            advertise,
            platform: platform?,
            tls: tls?,
            operator_key: operator_key?,
            seeds,
            pool,
            online,
            jobs,
            memory,
        })
    }
}

fn read_tls(object: &mut ObjectReader<'_>) -> Option<TlsFiles> {
    object.allow_fields(&["authority", "certificate", "private_key"]);
    let authority = object.string("authority");
    let certificate = object.string("certificate");
    let private_key = object.string("private_key");
    Some(TlsFiles {
        authority: authority?.into(),
        certificate: certificate?.into(),
        private_key: private_key?.into(),
    })
}

fn read_seed(object: &mut ObjectReader<'_>) -> Option<VmAddress> {
    object.allow_fields(&["vm", "address"]);
    let vm = object.string("vm");
    let address = object.address("address");
    Some(VmAddress { vm: VmId::from(vm?), address: address? })
}

/// Reads the scheduling policy of pools.
pub fn read_pool(object: &mut ObjectReader<'_>) -> Option<PoolPolicy> {
    object.allow_fields(&["yielding", "affinity"]);
    let yielding = object.choice(
        "yielding",
        &[
            ("none", PreemptionPolicy::None),
            ("static_reserve", PreemptionPolicy::StaticReserve),
            ("revoke", PreemptionPolicy::Revoke),
        ],
    );
    let affinity = object.choice(
        "affinity",
        &[
            ("none", AffinityPolicy::None),
            ("bounded_load", AffinityPolicy::BoundedLoad),
            ("wait_ratio", AffinityPolicy::WaitRatio),
        ],
    );
    Some(PoolPolicy {
        preemption: yielding.unwrap_or_default(),
        affinity: affinity.unwrap_or_default(),
    })
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(2),
            body_limit: 1024 * 1024,
            default_tokens: 256,
            withdrawn_grace: Duration::from_secs(2),
            drain: Duration::from_mins(1),
        }
    }
}

fn read_online(object: &mut ObjectReader<'_>) -> Option<OnlineSettings> {
    object.allow_fields(&[
        "wait_ms",
        "body_limit",
        "default_tokens",
        "withdrawn_grace_ms",
        "drain_ms",
    ]);
    let default = OnlineSettings::default();
    let millis = |object: &mut ObjectReader<'_>, field: &str, default: Duration| {
        let value = object.integer(field, default.as_millis() as u64, 1, 600_000);
        Duration::from_millis(value)
    };
    Some(OnlineSettings {
        wait: millis(object, "wait_ms", default.wait),
        body_limit: object.integer("body_limit", default.body_limit as u64, 1024, 64 << 20)
            as usize,
        default_tokens: object.integer("default_tokens", default.default_tokens.into(), 1, 1 << 20)
            as u32,
        withdrawn_grace: millis(object, "withdrawn_grace_ms", default.withdrawn_grace),
        drain: millis(object, "drain_ms", default.drain),
    })
}

impl Default for JobSettings {
    fn default() -> Self {
        Self { chunk_items: 1000, parallel_items: 16, parallel_chunks: 2, item_limit: 256 * 1024 }
    }
}

/// Reads the memory and the descriptors of the process, from which all other limits are derived.
fn read_limits(object: &mut ObjectReader<'_>) -> Option<MemorySettings> {
    object.allow_fields(&["memory_mb", "max_fds"]);
    let bytes =
        object.has("memory_mb").then(|| object.integer("memory_mb", 512, 48, 1 << 20) << 20);
    let descriptors =
        object.has("max_fds").then(|| object.integer("max_fds", 4096, 400, 1 << 20) as usize);
    let settings = MemorySettings::derive(bytes, descriptors);
    settings.map_err(|reason| object.report("memory_mb", reason)).ok()
}

fn read_jobs(object: &mut ObjectReader<'_>) -> Option<JobSettings> {
    object.allow_fields(&["chunk_items", "parallel_items", "parallel_chunks", "item_limit"]);
    let default = JobSettings::default();
    Some(JobSettings {
        chunk_items: object.integer("chunk_items", default.chunk_items as u64, 1, 10_000) as usize,
        parallel_items: object.integer("parallel_items", default.parallel_items as u64, 1, 1024)
            as usize,
        parallel_chunks: object.integer("parallel_chunks", default.parallel_chunks as u64, 1, 64)
            as usize,
        item_limit: object.integer("item_limit", default.item_limit as u64, 256, 4 << 20) as usize,
    })
}
