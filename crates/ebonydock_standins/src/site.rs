//! A site in one process: the platform and data centres with VMs, engines and services.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ebonydock::{
    AccessEntry, Change, DataCentreId, EditBody, EngineCapability, FleetListing, KeyHash,
    ModelName, PlanName, PoolPolicy, RouteRule, ServiceName, TargetEntry, TargetId, TargetRole,
    VmEntry, VmHandle, VmId, VmSettings, WorkspaceEntry, WorkspaceId,
};
use ntex::client::error::ClientError;
use ntex::client::{Client, Connector};
use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use serde_json::Value;

use crate::certificates::{PeerCertificates, make_certificates};
use crate::engine::{EngineShape, EngineStandIn};
use crate::platform::PlatformStandIn;
use crate::service::ServiceStandIn;

/// Operators' key of every stand-in site.
pub const OPERATOR_KEY: &str = "operator-key-of-the-stand-in-site";
const LOOPBACK: &str = "127.0.0.1:0";
const RESPONSE_TIMEOUT_MS: u32 = 60_000;
const MAX_CONNECTIONS: usize = 65_536;

/// Plan of one data centre of a site.
#[derive(Clone, Debug)]
pub struct DataCentrePlan {
    /// Name of the data centre.
    pub name: String,
    /// Number of VMs.
    pub vms: usize,
    /// Shapes of the engines.
    pub engines: Vec<EngineShape>,
    /// Number of servers of the `notices` service.
    pub services: usize,
}

/// Plan of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Data centres of the site.
    pub data_centres: Vec<DataCentrePlan>,
    /// Workspaces of the initial configuration.
    pub workspaces: Vec<WorkspaceEntry>,
    /// Scheduling policy of the pools.
    pub pool: PoolPolicy,
    /// Number of items in a chunk of a batch job.
    pub chunk_items: usize,
    /// Delay before a change of the platform's list of VMs and targets is visible.
    pub fleet_lag: Duration,
}

impl Default for SitePlan {
    fn default() -> Self {
        let data_centre = |name: &str| DataCentrePlan {
            name: name.to_owned(),
            vms: 2,
            engines: vec![EngineShape::default(); 2],
            services: 1,
        };
        let workspace = |name: &str| WorkspaceEntry {
            workspace: WorkspaceId::from(name),
            plan: PlanName::from("standard"),
            rate: 200.0,
            burst: 400.0,
            weight: 1.0,
        };
        Self {
            data_centres: vec![data_centre("celje"), data_centre("maribor")],
            workspaces: vec![workspace("zlatnik"), workspace("association")],
            pool: PoolPolicy::default(),
            chunk_items: 1000,
            fleet_lag: Duration::from_millis(500),
        }
    }
}

/// Returns the platform's entry of an engine.
pub fn engine_entry(
    name: &str,
    data_centre: &str,
    address: SocketAddr,
    shape: &EngineShape,
) -> TargetEntry {
    TargetEntry {
        target: TargetId::from(name),
        data_centre: DataCentreId::from(data_centre),
        address: address.to_string(),
        leaving: false,
        role: TargetRole::Engine(EngineCapability {
            models: shape.models.clone(),
            max_sequences: shape.knee,
            context_tokens: 8192,
            cache_tokens: 1 << 20,
            cold_sequences: shape.cold_sequences,
            cold_ms: shape.cold_ms,
            checks_fence: shape.checks_fence,
        }),
    }
}

/// Returns the platform's entry of a server of the `notices` service.
pub fn notice_entry(name: &str, data_centre: &str, address: SocketAddr) -> TargetEntry {
    TargetEntry {
        target: TargetId::from(name),
        data_centre: DataCentreId::from(data_centre),
        address: address.to_string(),
        leaving: false,
        role: TargetRole::Service(ServiceName::from("notices")),
    }
}

/// Values of the settings that differ between VMs.
pub struct VmPlan<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Data centre of the VM.
    pub data_centre: &'a str,
    /// All data centres of the site.
    pub data_centres: &'a [String],
    /// Address that the VM advertises to other VMs, if it is behind a proxy.
    pub advertise: Option<SocketAddr>,
    /// Address that the VM listens on for other VMs.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Names and addresses of the VMs that the VM contacts first.
    pub seeds: &'a [(String, SocketAddr)],
    /// Number of items in a chunk of a batch job.
    pub chunk_items: usize,
    /// Scheduling policy of the pools.
    pub pool: PoolPolicy,
}

/// Returns the settings of a VM as JSON with comments.
pub fn settings_text(plan: &VmPlan<'_>, certificates: &PeerCertificates) -> String {
    let quoted = |path: &Path| Value::String(path.display().to_string());
    let advertise = plan.advertise.map(|a| format!(", \"advertise\": \"{a}\"")).unwrap_or_default();
    let seeds: Vec<String> = plan
        .seeds
        .iter()
        .map(|(vm, address)| format!("{{ \"vm\": \"{vm}\", \"address\": \"{address}\" }}"))
        .collect();
    format!(
        r#"{{
  // Written by the stand-in site.
  "vm": "{vm}",
  "data_centre": "{data_centre}",
  "data_centres": {data_centres},
  "listen": {{ "callers": "{LOOPBACK}", "operators": "{LOOPBACK}", "peers": "{peers}"{advertise} }},
  "platform": "{platform}",
  "tls": {{ "authority": {authority}, "certificate": {certificate}, "private_key": {key} }},
  "operator_key_sha256": "{operator}",
  "seeds": [{seeds}],
  "pool": {pool},
  "jobs": {{ "chunk_items": {chunk_items} }}
}}
"#,
        vm = plan.vm,
        data_centre = plan.data_centre,
        data_centres = Value::from(plan.data_centres.to_vec()),
        peers = plan.peers,
        platform = plan.platform,
        authority = quoted(&certificates.authority),
        certificate = quoted(&certificates.certificate),
        key = quoted(&certificates.private_key),
        operator = KeyHash::of(OPERATOR_KEY),
        seeds = seeds.join(", "),
        pool =
            serde_json::json!({ "yielding": plan.pool.preemption, "affinity": plan.pool.affinity }),
        chunk_items = plan.chunk_items,
    )
}

/// A VM of the site.
pub struct SiteVm {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// The running VM; `None` while it is stopped.
    pub handle: Option<VmHandle>,
}

/// An engine of the site.
pub struct SiteEngine {
    /// Name of the engine.
    pub name: String,
    /// Data centre of the engine.
    pub data_centre: String,
    /// The running engine; `None` while it is stopped.
    pub engine: Option<EngineStandIn>,
    entry: TargetEntry,
}

/// A site in one process.
pub struct StandInSite {
    /// The running platform.
    pub platform: PlatformStandIn,
    /// VMs of all data centres.
    pub vms: Vec<SiteVm>,
    /// Engines of all data centres.
    pub engines: Vec<SiteEngine>,
    /// Servers of the `notices` service, each with its data centre.
    pub services: Vec<(String, ServiceStandIn)>,
    plan: SitePlan,
    certificates: PeerCertificates,
    folder: PathBuf,
}

impl StandInSite {
    /// Starts a site. Certificates and settings files are written into `folder`.
    pub fn open(plan: &SitePlan, folder: &Path) -> io::Result<Self> {
        let certificates = make_certificates(folder)?;
        let any: SocketAddr = LOOPBACK.parse().map_err(io::Error::other)?;
        let platform = PlatformStandIn::spawn(any, plan.fleet_lag)?;
        let mut site = Self {
            platform,
            vms: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            certificates,
            folder: folder.to_owned(),
            plan: plan.clone(),
        };
        for data_centre in &plan.data_centres {
            for (index, shape) in data_centre.engines.iter().enumerate() {
                let name = format!("{}-engine-{}", data_centre.name, index + 1);
                let engine = EngineStandIn::spawn(any, shape.clone())?;
                let entry = engine_entry(&name, &data_centre.name, engine.address(), shape);
                let data_centre = data_centre.name.clone();
                site.engines.push(SiteEngine { name, data_centre, engine: Some(engine), entry });
            }
            for _ in 0..data_centre.services {
                site.services.push((data_centre.name.clone(), ServiceStandIn::spawn(any)?));
            }
        }
        site.publish_fleet();
        for data_centre in &plan.data_centres {
            for index in 0..data_centre.vms {
                let name = format!("{}-vm-{}", data_centre.name, index + 1);
                let data_centre = data_centre.name.clone();
                site.vms.push(SiteVm { name, data_centre, handle: None });
                let position = site.vms.len() - 1;
                site.start_vm(position)?;
            }
        }
        Ok(site)
    }

    /// Starts a stopped VM.
    pub fn start_vm(&mut self, index: usize) -> io::Result<()> {
        let settings = self.settings(index)?;
        let handle = VmHandle::spawn(settings).map_err(io::Error::other)?;
        self.vms[index].handle = Some(handle);
        self.publish_fleet();
        Ok(())
    }

    /// Stops a VM by a planned stop.
    pub fn stop_vm(&mut self, index: usize) {
        if let Some(handle) = self.vms[index].handle.take() {
            handle.stop();
        }
        self.publish_fleet();
    }

    /// Halts a VM without a planned stop, as in a crash.
    pub fn lose_vm(&mut self, index: usize) {
        if let Some(handle) = self.vms[index].handle.take() {
            handle.halt();
        }
        self.publish_fleet();
    }

    fn settings(&self, index: usize) -> io::Result<VmSettings> {
        let vm = &self.vms[index];
        let data_centres: Vec<String> =
            self.plan.data_centres.iter().map(|data_centre| data_centre.name.clone()).collect();
        let plan = VmPlan {
            vm: &vm.name,
            data_centre: &vm.data_centre,
            data_centres: &data_centres,
            advertise: None,
            peers: LOOPBACK.parse().map_err(io::Error::other)?,
            platform: self.platform.address(),
            seeds: &[],
            chunk_items: self.plan.chunk_items,
            pool: self.plan.pool,
        };
        let text = settings_text(&plan, &self.certificates);
        let file = self.folder.join(format!("{}.json", vm.name));
        std::fs::write(&file, &text)?;
        VmSettings::parse(&file.display().to_string(), &text)
            .map_err(|findings| io::Error::other(findings.lines().join("\n")))
    }

    /// Sets the platform's list of running VMs and targets.
    pub fn publish_fleet(&self) {
        let vms = self.vms.iter().filter_map(|vm| {
            let handle = vm.handle.as_ref()?;
            Some(VmEntry {
                vm: VmId::from(vm.name.as_str()),
                data_centre: DataCentreId::from(vm.data_centre.as_str()),
                peer_address: handle.addresses().peers,
                leaving: false,
            })
        });
        let engines = self.engines.iter().map(|engine| engine.entry.clone());
        let services = self.services.iter().enumerate().map(|(index, (data_centre, service))| {
            let name = format!("{data_centre}-notices-{index}");
            notice_entry(&name, data_centre, service.address())
        });
        let targets = engines.chain(services).collect();
        self.platform.set_fleet(FleetListing { vms: vms.collect(), targets });
    }

    /// Returns the address for callers of a VM, or `None` while it is stopped.
    pub fn callers(&self, index: usize) -> Option<SocketAddr> {
        self.vms[index].handle.as_ref().map(|handle| handle.addresses().callers)
    }

    /// Returns the address for operators of a VM, or `None` while it is stopped.
    pub fn operators(&self, index: usize) -> Option<SocketAddr> {
        self.vms[index].handle.as_ref().map(|handle| handle.addresses().operators)
    }

    /// Returns the changes that configure the workspaces of the plan with their keys and access.
    pub fn initial_changes(&self) -> Vec<Change> {
        let mut models: Vec<ModelName> = self
            .engines
            .iter()
            .filter_map(|e| e.engine.as_ref())
            .flat_map(|e| e.shape().models)
            .collect();
        models.sort();
        models.dedup();
        let rule = |path: &str, idempotent| RouteRule {
            service: ServiceName::from("notices"),
            path: path.to_owned(),
            idempotent,
        };
        let routes = vec![rule("/send", false), rule("/lookup", true)];
        let mut plans: Vec<&PlanName> = self.plan.workspaces.iter().map(|w| &w.plan).collect();
        plans.sort();
        plans.dedup();
        let access = plans.into_iter().map(|plan| {
            let (plan, models, routes) = (plan.clone(), models.clone(), routes.clone());
            Change::SetAccess(AccessEntry { plan, models, routes })
        });
        let open = AccessEntry {
            plan: PlanName::from("open"),
            models: Vec::new(),
            routes: vec![rule("/hours", true)],
        };
        let workspaces = self.plan.workspaces.iter().flat_map(|entry| {
            let key = KeyHash::of(&caller_key(entry.workspace.as_str()));
            [Change::SetWorkspace(entry.clone()), Change::GiveKey(key, entry.workspace.clone())]
        });
        access.chain([Change::SetAccess(open)]).chain(workspaces).collect()
    }

    /// Applies the initial configuration and waits until every VM is ready: configured and a candidate
    /// for the ownership of pools.
    pub async fn configure(&self, client: &SiteClient) -> io::Result<()> {
        let edit = EditBody {
            base_version: ebonydock::ConfigVersion::default(),
            changes: self.initial_changes(),
        };
        let operators = self.operators(0).ok_or_else(|| io::Error::other("no VM runs"))?;
        let body = serde_json::to_vec(&edit).map_err(io::Error::other)?;
        let (status, reply) = client.operate(operators, "/operator/v1/changes", Some(body)).await;
        if status != StatusCode::OK {
            return Err(io::Error::other(format!("the configuration was refused: {reply}")));
        }
        let addresses: Vec<SocketAddr> =
            (0..self.vms.len()).filter_map(|index| self.callers(index)).collect();
        for address in addresses {
            client.wait_until_serving(address, Duration::from_secs(30)).await?;
        }
        Ok(())
    }
}

/// HTTP client of callers and operators.
pub struct SiteClient {
    client: Client,
}

impl SiteClient {
    /// Opens a client. Must run inside an `ntex` runtime.
    pub async fn open() -> Self {
        let builder = Client::builder()
            .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
            .response_timeout(ntex::time::Millis(RESPONSE_TIMEOUT_MS))
            .response_payload_timeout(ntex::time::Millis(RESPONSE_TIMEOUT_MS))
            .response_payload_limit(256 * 1024 * 1024);
        let client = builder.build(ntex::SharedCfg::default()).await;
        Self { client: client.unwrap_or_else(|error| panic!("no client: {error}")) }
    }

    /// Sends a request with an optional caller key and returns the response, its body unread.
    pub async fn send(
        &self,
        method: Method,
        url: String,
        key: Option<&str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ntex::client::ClientResponse, ClientError> {
        let mut request = self.client.request(method, url).force_close();
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.send_body(body.into()).await
    }

    /// Sends a request and reads the whole response. Returns status 0 and the error if the connection
    /// breaks.
    pub async fn call(
        &self,
        method: Method,
        url: String,
        key: Option<&str>,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> (u16, String) {
        let response = match self.send(method, url, key, headers, body).await {
            Ok(response) => response,
            Err(error) => return (0, error.to_string()),
        };
        let status = response.status().as_u16();
        match response.body().await {
            Ok(body) => (status, String::from_utf8_lossy(&body).into_owned()),
            Err(error) => (0, error.to_string()),
        }
    }

    /// Sends a chat request without streaming. Returns the status and the body.
    pub async fn chat(
        &self,
        address: SocketAddr,
        key: &str,
        model: &str,
        content: &str,
        max_tokens: u32,
    ) -> (u16, Value) {
        let body = chat_body(model, content, max_tokens, false);
        let url = format!("http://{address}/v1/chat/completions");
        let (status, text) = self.call(Method::POST, url, Some(key), &[], body).await;
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    /// Sends a request to the operator interface: a POST with `body`, or a GET without one. A broken
    /// connection returns `BAD_GATEWAY`.
    pub async fn operate(
        &self,
        address: SocketAddr,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> (StatusCode, String) {
        let method = if body.is_some() { Method::POST } else { Method::GET };
        let url = format!("http://{address}{path}");
        let headers = [("x-operator-key", OPERATOR_KEY)];
        let (status, text) = self.call(method, url, None, &headers, body.unwrap_or_default()).await;
        (StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY), text)
    }

    /// Waits until a VM is ready; fails after `timeout`.
    pub async fn wait_until_serving(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let url = format!("http://{address}/readyz");
            let (status, _) = self.call(Method::GET, url, None, &[], "").await;
            if status == 200 {
                return Ok(());
            }
            ntex::time::sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!("the VM at {address} was not ready in time")))
    }
}

/// Returns the key of a workspace's callers.
pub fn caller_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Returns the prompt that an engine gets for a chat request with one user message.
pub fn chat_prompt(question: &str) -> String {
    format!("<|user|>\n{question}\n")
}

/// Returns the body of a chat request with one user message.
pub fn chat_body(model: &str, content: &str, max_tokens: u32, stream: bool) -> Vec<u8> {
    let messages = [serde_json::json!({ "role": "user", "content": content })];
    let body = serde_json::json!({
        "model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream,
    });
    serde_json::to_vec(&body).unwrap_or_default()
}
