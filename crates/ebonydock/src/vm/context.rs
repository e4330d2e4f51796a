//! The state of a VM and what its threads need to act on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use crate::clock::monotonic;
use crate::configuration::{ConfigDocument, ConfigState};
use crate::ids::{ConfigVersion, DataCentreId, VmId, WorkspaceId};
use crate::jobs::JobKey;
use crate::limits::{BucketOwner, SpendingAllowance};
use crate::membership::MembershipView;
use crate::metrics::VmMetrics;
use crate::ownership::owner_of;
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::peers::{PeerEndpoint, PeerError};
use crate::platform::http::PlatformClient;
use crate::platform::{ObjectStore, TableStore, VmList};
use crate::routing::RetryBudget;
use crate::scheduling::{HeldLeases, PoolDirectory};
use crate::settings::VmSettings;
use crate::targets::http::TargetClient;
use crate::targets::{EngineClient, ServiceClient};
use crate::vm::directory::FleetDirectory;

/// The state of a VM, shared by its threads. Locks are held for one decision, never across a wait.
pub(crate) struct VmShared {
    /// The settings.
    pub(crate) settings: VmSettings,
    /// Differs after each start.
    pub(crate) incarnation: u64,
    /// Where other VMs reach this one.
    pub(crate) peer_address: SocketAddr,
    /// Messages to other VMs.
    pub(crate) peers: PeerEndpoint,
    /// Leases on targets.
    pub(crate) held: HeldLeases,
    /// The pools that this VM schedules.
    pub(crate) pools: PoolDirectory,
    /// Metrics.
    pub(crate) metrics: VmMetrics,
    membership: Mutex<MembershipView>,
    fleet: Mutex<FleetDirectory>,
    buckets: Mutex<BucketOwner>,
    allowances: Mutex<HashMap<WorkspaceId, SpendingAllowance>>,
    retry_budget: Mutex<RetryBudget>,
    config: RwLock<ConfigState>,
    config_version: watch::Sender<ConfigVersion>,
    job_wake: Notify,
    woken_jobs: Mutex<Vec<JobKey>>,
    stopping: AtomicBool,
    running: AtomicUsize,
}

/// What a thread needs to act for the VM. Clients belong to one thread.
pub(crate) struct VmContext {
    /// The state of the VM.
    pub(crate) shared: Arc<VmShared>,
    /// The platform's table.
    pub(crate) table: Rc<dyn TableStore>,
    /// The platform's objects.
    pub(crate) objects: Rc<dyn ObjectStore>,
    /// The platform's list of VMs and targets.
    pub(crate) fleet_list: Rc<dyn VmList>,
    /// Model engines.
    pub(crate) engines: Rc<dyn EngineClient>,
    /// Plain services.
    pub(crate) services: Rc<dyn ServiceClient>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request that runs until it is dropped.
pub(crate) struct RunningGuard(Arc<VmShared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl VmShared {
    /// The state of a VM that starts now.
    pub(crate) fn open(
        settings: VmSettings,
        peers: PeerEndpoint,
        peer_address: SocketAddr,
    ) -> Self {
        let membership = MembershipView::open(&settings.vm, monotonic());
        Self {
            incarnation: rand::random(),
            peer_address,
            peers,
            held: HeldLeases::default(),
            pools: PoolDirectory::open(settings.pool),
            metrics: VmMetrics::open(),
            membership: Mutex::new(membership),
            fleet: Mutex::default(),
            buckets: Mutex::default(),
            allowances: Mutex::default(),
            retry_budget: Mutex::default(),
            config: RwLock::default(),
            config_version: watch::channel(ConfigVersion::default()).0,
            job_wake: Notify::new(),
            woken_jobs: Mutex::default(),
            stopping: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            settings,
        }
    }

    /// The VMs of the data centre.
    pub(crate) fn membership(&self) -> MutexGuard<'_, MembershipView> {
        locked(&self.membership)
    }

    /// What is known of the fleet.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetDirectory> {
        locked(&self.fleet)
    }

    /// The buckets that this VM owns.
    pub(crate) fn buckets(&self) -> MutexGuard<'_, BucketOwner> {
        locked(&self.buckets)
    }

    /// The tokens that this VM holds.
    pub(crate) fn allowances(&self) -> MutexGuard<'_, HashMap<WorkspaceId, SpendingAllowance>> {
        locked(&self.allowances)
    }

    /// The budget for retries.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        locked(&self.retry_budget)
    }

    /// Reads the configuration in force.
    pub(crate) fn with_config<T>(&self, read: impl FnOnce(&ConfigDocument) -> T) -> T {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        read(config.document())
    }

    /// Reads the configuration in force with its history.
    pub(crate) fn with_config_state<T>(&self, read: impl FnOnce(&ConfigState) -> T) -> T {
        read(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the configuration and tells everyone who waits for a change.
    pub(crate) fn update_config<T>(&self, update: impl FnOnce(&mut ConfigState) -> T) -> T {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let result = update(&mut config);
        let version = config.document().version;
        drop(config);
        self.config_version.send_if_modified(|current| {
            let newer = version > *current;
            *current = version.max(*current);
            newer
        });
        result
    }

    /// Follows the version of the configuration in force.
    pub(crate) fn config_versions(&self) -> watch::Receiver<ConfigVersion> {
        self.config_version.subscribe()
    }

    /// Whether the own data centre is out of service.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.with_config(|config| config.is_out(&self.settings.data_centre))
    }

    /// Whether the VM was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Marks the VM as stopping.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.membership().set_leaving();
    }

    /// The requests that run.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.with_config(|config| config.version > ConfigVersion::default());
        let candidates = self.membership().candidates(monotonic());
        let is_candidate = candidates.contains(&self.settings.vm);
        configured && is_candidate && !self.is_stopping() && !self.is_out_of_service()
    }

    /// Has the VM look for jobs to lead.
    pub(crate) fn wake_jobs(&self) {
        self.job_wake.notify_one();
    }

    /// Has the VM look for jobs to lead, and the lead of this job at its row.
    pub(crate) fn wake_job(&self, job: JobKey) {
        locked(&self.woken_jobs).push(job);
        self.wake_jobs();
    }

    /// Waits until jobs are woken, at most for `limit`. Returns those whose rows may have changed.
    pub(crate) async fn wait_for_woken_jobs(&self, timeout: Duration) -> Vec<JobKey> {
        let _ = tokio::time::timeout(timeout, self.job_wake.notified()).await;
        std::mem::take(&mut locked(&self.woken_jobs))
    }

    /// The VM of the own data centre that owns a key.
    pub(crate) fn owner(&self, key: &str) -> Option<VmId> {
        let candidates = self.membership().candidates(monotonic());
        owner_of(key, &candidates).cloned()
    }

    /// One VM of each other data centre, to pass messages on there.
    pub(crate) fn relays(&self) -> Vec<VmId> {
        let local = &self.settings.data_centre;
        let others = self.settings.data_centres.iter().filter(|id| *id != local);
        let fleet = self.fleet();
        let relay = |data_centre| {
            let vms: Vec<VmId> = match fleet.digest(monotonic(), data_centre) {
                Some(digest) => digest.vms.iter().map(|entry| entry.vm.clone()).collect(),
                None => fleet.vms_of(data_centre).into_iter().map(|entry| entry.vm).collect(),
            };
            owner_of("relay", &vms).cloned()
        };
        others.filter_map(relay).collect()
    }

    /// The VM that owns a key in any data centre, as far as known.
    pub(crate) fn owner_in(&self, data_centre: &DataCentreId, key: &str) -> Option<VmId> {
        if *data_centre == self.settings.data_centre {
            return self.owner(key);
        }
        let fleet = self.fleet();
        let digest = fleet.digest(monotonic(), data_centre)?;
        let candidates: Vec<VmId> = digest.vms.iter().map(|entry| entry.vm.clone()).collect();
        owner_of(key, &candidates).cloned()
    }

    fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let member = self.membership().member(vm).map(|record| record.address);
        member.or_else(|| self.fleet().address_of(vm))
    }

    /// Sends a request to another VM.
    pub(crate) async fn request(
        &self,
        vm: &VmId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let address = self.address_of(vm).ok_or_else(|| PeerError::UnknownVm(vm.clone()))?;
        self.peers.request(vm, address, request, timeout).await
    }
}

impl VmContext {
    /// Opens the clients of a thread.
    pub(crate) async fn open(shared: Arc<VmShared>) -> Rc<Self> {
        let platform = Rc::new(PlatformClient::open(&shared.settings.platform).await);
        let targets = Rc::new(TargetClient::open().await);
        Rc::new(Self {
            table: Rc::clone(&platform) as Rc<dyn TableStore>,
            objects: Rc::clone(&platform) as Rc<dyn ObjectStore>,
            fleet_list: platform,
            engines: Rc::clone(&targets) as Rc<dyn EngineClient>,
            services: targets,
            shared,
        })
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn start_request(&self) -> RunningGuard {
        self.shared.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(Arc::clone(&self.shared))
    }

    /// The settings.
    pub(crate) fn settings(&self) -> &VmSettings {
        &self.shared.settings
    }
}
