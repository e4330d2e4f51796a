//! A site of real daemon processes; its stand-ins run in the test's process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ebonydock::{
    AccessEntry, Change, ConfigReply, ConfigVersion, DataCentreId, EditBody, FleetListing, KeyHash,
    ModelName, PlanName, PoolPolicy, RouteRule, ServiceName, StatusReply, VmEntry, VmId,
    WorkspaceEntry, WorkspaceId,
};
use ebonydock_standins::{
    EngineShape, EngineStandIn, FaultProxy, PeerCertificates, PlatformStandIn, ServiceStandIn,
    SiteClient, VmPlan, caller_key, check_results, engine_entry, job_items, make_certificates,
    notice_entry, settings_text,
};
use ntex::http::{Method, StatusCode};
use serde_json::Value;

pub const MODEL: &str = "clerk-8b";
pub const TIMEOUT: Duration = Duration::from_secs(40);
const LOOPBACK: &str = "127.0.0.1:0";

/// A daemon process.
pub struct Vm {
    pub name: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
    pub is_running: bool,
}

impl Vm {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.pid().to_string()]).status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self) {
        self.is_running = false;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has exited without being killed.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Daemon processes with the stand-ins that they use.
pub struct Site {
    pub platform: PlatformStandIn,
    pub platform_proxy: FaultProxy,
    pub vms: Vec<Vm>,
    pub proxies: Vec<FaultProxy>,
    pub engines: Vec<(String, EngineStandIn)>,
    pub services: Vec<(String, ServiceStandIn)>,
    pub client: SiteClient,
    certificates: PeerCertificates,
    data_centres: Vec<String>,
    folder: PathBuf,
}

pub fn workspace(name: &str, rate: f64, burst: f64) -> WorkspaceEntry {
    let (workspace, plan) = (WorkspaceId::from(name), PlanName::from("standard"));
    WorkspaceEntry { workspace, plan, rate, burst, weight: 1.0 }
}

pub fn fast_engine() -> EngineShape {
    EngineShape { step_us: 5000, cold_ms: 1500, ..EngineShape::default() }
}

pub fn items(count: usize, tokens: u32) -> String {
    job_items(MODEL, "estimate", count, tokens)
}

impl Site {
    /// Starts `vms` daemons, one service and the given engines in each data centre.
    pub async fn open(data_centres: &[&str], vms: usize, engines: &[EngineShape]) -> Self {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let name = format!("ebonydock-test-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let certificates = make_certificates(&folder).unwrap();
        let any: SocketAddr = LOOPBACK.parse().unwrap();
        let platform = PlatformStandIn::spawn(any, Duration::from_millis(500)).unwrap();
        let platform_proxy = FaultProxy::tcp(platform.address()).unwrap();
        let mut site = Self {
            platform_proxy,
            platform,
            vms: Vec::new(),
            proxies: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            client: SiteClient::open().await,
            certificates,
            data_centres: data_centres.iter().map(|id| (*id).to_owned()).collect(),
            folder,
        };
        for data_centre in data_centres {
            for shape in engines {
                let engine = EngineStandIn::spawn(any, shape.clone()).unwrap();
                site.engines.push(((*data_centre).to_owned(), engine));
            }
            let service = ServiceStandIn::spawn(any).unwrap();
            site.services.push(((*data_centre).to_owned(), service));
            for index in 0..vms {
                site.start_vm(&format!("{data_centre}-{index}"), data_centre, &[]);
            }
        }
        site.publish_fleet();
        site
    }

    /// Starts a daemon behind a UDP fault proxy and waits until it listens.
    pub fn start_vm(&mut self, name: &str, data_centre: &str, seeds: &[(String, SocketAddr)]) {
        // The proxy needs the daemon's peer port before the daemon has bound it, so the port is
        // chosen first.
        let port = std::net::UdpSocket::bind(LOOPBACK).unwrap().local_addr().unwrap();
        let proxy = FaultProxy::udp(port).unwrap();
        let plan = VmPlan {
            vm: name,
            data_centre,
            data_centres: &self.data_centres,
            advertise: Some(proxy.address()),
            peers: port,
            platform: self.platform_proxy.address(),
            seeds,
            chunk_items: 50,
            pool: PoolPolicy::default(),
        };
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings_text(&plan, &self.certificates)).unwrap();
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_ebonydockd"))
            .arg("--settings")
            .arg(&file)
            .args(["--log-level", "debug"])
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |word: &str| -> SocketAddr {
            let line = lines.next().unwrap().unwrap();
            line.strip_prefix(word).unwrap().trim().parse().unwrap()
        };
        let (callers, operators) = (address("callers"), address("operators"));
        let peers = proxy.address();
        let (name, data_centre) = (name.to_owned(), data_centre.to_owned());
        self.proxies.push(proxy);
        self.vms.push(Vm { name, data_centre, callers, operators, peers, child, is_running: true });
    }

    /// Sets the platform's list of running VMs and targets.
    pub fn publish_fleet(&self) {
        let vms = self.vms.iter().filter(|vm| vm.is_running).map(|vm| VmEntry {
            vm: VmId::from(vm.name.as_str()),
            data_centre: DataCentreId::from(vm.data_centre.as_str()),
            peer_address: vm.peers,
            leaving: false,
        });
        let engines = self.engines.iter().enumerate().map(|(index, (data_centre, engine))| {
            let name = format!("engine-{index}");
            engine_entry(&name, data_centre, engine.address(), &engine.shape())
        });
        let services = self.services.iter().enumerate().map(|(index, (data_centre, service))| {
            notice_entry(&format!("notices-{index}"), data_centre, service.address())
        });
        let targets = engines.chain(services).collect();
        self.platform.set_fleet(FleetListing { vms: vms.collect(), targets });
    }

    /// Applies the initial configuration and waits until every VM answers chat requests.
    pub async fn configure(&self, workspaces: &[WorkspaceEntry]) {
        let rule = |path: &str, idempotent| RouteRule {
            service: ServiceName::from("notices"),
            path: path.to_owned(),
            idempotent,
        };
        let access = |plan: &str, models, routes| {
            Change::SetAccess(AccessEntry { plan: PlanName::from(plan), models, routes })
        };
        let routes = vec![rule("/send", false), rule("/lookup", true)];
        let mut changes = vec![
            access("standard", vec![ModelName::from(MODEL)], routes),
            access("open", Vec::new(), vec![rule("/hours", true)]),
        ];
        for entry in workspaces {
            let hash = KeyHash::of(&caller_key(entry.workspace.as_str()));
            changes.push(Change::SetWorkspace(entry.clone()));
            changes.push(Change::GiveKey(hash, entry.workspace.clone()));
        }
        let (status, reply) = self.edit(0, 0, changes).await;
        assert_eq!(status, StatusCode::OK, "{reply}");
        for vm in &self.vms {
            let url = format!("http://{}/readyz", vm.callers);
            self.wait_until(&format!("`{}` is ready", vm.name), async || {
                self.client.call(Method::GET, url.clone(), None, &[], "").await.0 == 200
            })
            .await;
        }
        self.wait_until("every VM answers a chat request", async || {
            let mut serving = true;
            for vm in &self.vms {
                let first = workspaces[0].workspace.as_str();
                serving &= self.chat(vm.callers, first, "ready?", 1).await.0 == 200;
            }
            serving
        })
        .await;
    }

    /// Sends a configuration edit based on version `base` to a VM.
    pub async fn edit(&self, vm: usize, base: u64, changes: Vec<Change>) -> (StatusCode, String) {
        let body = EditBody { base_version: ConfigVersion(base), changes };
        let body = serde_json::to_vec(&body).unwrap();
        self.client.operate(self.vms[vm].operators, "/operator/v1/changes", Some(body)).await
    }

    /// Edits the configuration, based on the version that is active at a VM.
    pub async fn apply_changes(&self, vm: usize, changes: Vec<Change>) -> Value {
        let (_, text) =
            self.client.operate(self.vms[vm].operators, "/operator/v1/config", None).await;
        let config: ConfigReply = serde_json::from_str(&text).unwrap();
        let (status, reply) = self.edit(vm, config.version.0, changes).await;
        assert_eq!(status, StatusCode::OK, "{reply}");
        serde_json::from_str(&reply).unwrap()
    }

    /// Returns the status of a VM.
    pub async fn status(&self, vm: usize) -> StatusReply {
        let (_, text) =
            self.client.operate(self.vms[vm].operators, "/operator/v1/status", None).await;
        serde_json::from_str(&text).unwrap()
    }

    pub async fn chat(
        &self,
        address: SocketAddr,
        workspace: &str,
        content: &str,
        tokens: u32,
    ) -> (u16, Value) {
        self.client.chat(address, &caller_key(workspace), MODEL, content, tokens).await
    }

    pub async fn get(&self, vm: usize, path: &str, workspace: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.vms[vm].callers);
        self.client.call(Method::GET, url, Some(&caller_key(workspace)), &[], "").await
    }

    pub async fn post(
        &self,
        vm: usize,
        path: &str,
        workspace: &str,
        body: String,
    ) -> (u16, String) {
        let url = format!("http://{}{path}", self.vms[vm].callers);
        self.client.call(Method::POST, url, Some(&caller_key(workspace)), &[], body).await
    }

    /// Calls the `notices` service through a VM; `name` is the idempotency key.
    pub async fn send_notice(&self, vm: usize, name: Option<&str>, body: &str) -> (u16, Value) {
        let url = format!("http://{}/services/notices/send/pickup", self.vms[vm].callers);
        let headers: Vec<(&str, &str)> = name.map(|n| ("idempotency-key", n)).into_iter().collect();
        let key = caller_key("zlatnik");
        let (status, text) =
            self.client.call(Method::POST, url, Some(&key), &headers, body.to_owned()).await;
        (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
    }

    /// Returns how often the servers of the `notices` service received a body.
    pub fn deliveries(&self, body: &str) -> u64 {
        let services = self.services.iter();
        services.filter_map(|(_, service)| service.deliveries().get(body).copied()).sum()
    }

    /// Waits until a job is completed and checks that each item is in the results exactly once.
    pub async fn await_results(&self, vm: usize, job: &str, count: usize, tokens: u32) {
        let path = format!("/v1/batches/{job}");
        self.wait_until(&format!("job `{job}` is completed"), async || {
            let (_, text) = self.get(vm, &path, "association").await;
            serde_json::from_str::<Value>(&text).is_ok_and(|job| job["status"] == "completed")
        })
        .await;
        let (status, text) = self.get(vm, &format!("{path}/results"), "association").await;
        assert_eq!(status, 200, "{text}");
        assert_eq!(check_results(&text, "estimate", count, tokens), Ok(()));
    }

    /// Waits until a condition holds; panics with the last log lines of all VMs after [`TIMEOUT`].
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !condition().await {
            if Instant::now() > deadline {
                self.print_logs();
                panic!("timed out waiting for: {what}");
            }
            ntex::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn print_logs(&self) {
        for vm in &self.vms {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", vm.name)));
            let log = log.unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("--- {}", vm.name);
            for line in lines.iter().skip(lines.len().saturating_sub(25)) {
                eprintln!("{line}");
            }
        }
    }

    /// Returns the logs of all daemons.
    pub fn logs(&self) -> String {
        let read = |vm: &Vm| std::fs::read_to_string(self.folder.join(format!("{}.log", vm.name)));
        self.vms.iter().filter_map(|vm| read(vm).ok()).collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
