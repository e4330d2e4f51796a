//! The state that the threads of a VM share, and the clients that each thread owns.

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
use crate::memory::MemoryLedger;
use crate::metrics::VmMetrics;
use crate::ownership::owner_of;
use crate::peers::messages::{PeerReply, PeerRequest};
use crate::peers::{PeerEndpoint, PeerError};
use crate::platform::http::PlatformClient;
use crate::platform::{FleetSource, ObjectStore, TableStore};
use crate::routing::RetryBudget;
use crate::scheduling::{HeldLeases, PoolDirectory};
use crate::settings::VmSettings;
use crate::targets::http::TargetClient;
use crate::targets::{EngineClient, ServiceClient};
use crate::vm::directory::FleetDirectory;

/// The state of a VM, shared by its threads.
///
/// Locks are held for a single decision and never across an `await`.
pub(crate) struct VmShared {
    /// The settings of the VM.
    pub(crate) settings: VmSettings,
    /// Random number that identifies this lifetime of the process.
    pub(crate) incarnation: u64,
    /// The address at which other VMs reach this one.
    pub(crate) peer_address: SocketAddr,
    /// The endpoint for messages to and from other VMs.
    pub(crate) peers: PeerEndpoint,
    /// The leases on targets that this VM holds.
    pub(crate) held: HeldLeases,
    /// The pools that this VM schedules.
    pub(crate) pools: PoolDirectory,
    /// The metrics of the VM.
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

/// The shared state and the clients of one thread. Clients aren't shared between threads.
pub(crate) struct VmContext {
    /// The state that all threads of the VM share.
    pub(crate) shared: Arc<VmShared>,
    /// The client of the platform's table store.
    pub(crate) table: Rc<dyn TableStore>,
    /// The client of the platform's object store.
    pub(crate) objects: Rc<dyn ObjectStore>,
    /// The client of the platform's list of VMs and targets.
    pub(crate) fleet_list: Rc<dyn FleetSource>,
    /// The client of the model engines.
    pub(crate) engines: Rc<dyn EngineClient>,
    /// The client of the plain services.
    pub(crate) services: Rc<dyn ServiceClient>,
    /// The memory that this thread holds for callers. One thread serves all callers.
    pub(crate) memory: MemoryLedger,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request as running until the guard is dropped.
pub(crate) struct RunningGuard(Arc<VmShared>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl VmShared {
    /// Returns the state of a VM that starts now.
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

    /// Locks the view of the VMs of this data centre.
    pub(crate) fn membership(&self) -> MutexGuard<'_, MembershipView> {
        locked(&self.membership)
    }

    /// Locks the directory of the VMs and targets of all data centres.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, FleetDirectory> {
        locked(&self.fleet)
    }

    /// Locks the token buckets that this VM owns.
    pub(crate) fn buckets(&self) -> MutexGuard<'_, BucketOwner> {
        locked(&self.buckets)
    }

    /// Locks the tokens that this VM may spend, by workspace.
    pub(crate) fn allowances(&self) -> MutexGuard<'_, HashMap<WorkspaceId, SpendingAllowance>> {
        locked(&self.allowances)
    }

    /// Locks the retry budget.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        locked(&self.retry_budget)
    }

    /// Reads the active configuration.
    pub(crate) fn with_config<T>(&self, read: impl FnOnce(&ConfigDocument) -> T) -> T {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        read(config.document())
    }

    /// Reads the active configuration together with its history.
    pub(crate) fn with_config_state<T>(&self, read: impl FnOnce(&ConfigState) -> T) -> T {
        read(&self.config.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Updates the configuration and notifies the subscribers of [`Self::config_versions`] if its
    /// version increased.
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

    /// Subscribes to the version of the active configuration.
    pub(crate) fn config_versions(&self) -> watch::Receiver<ConfigVersion> {
        self.config_version.subscribe()
    }

    /// Whether the local data centre is out of service.
    pub(crate) fn is_out_of_service(&self) -> bool {
        self.with_config(|config| config.is_out_of_service(&self.settings.data_centre))
    }

    /// Whether the VM is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Marks the VM as stopping, also in the heartbeats that it sends.
    pub(crate) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.membership().set_leaving();
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Whether the load balancer should send requests to this VM.
    ///
    /// The VM must have a configuration, be a candidate for ownership, not be stopping, and its
    /// data centre must be in service.
    pub(crate) fn is_ready(&self) -> bool {
        let configured = self.with_config(|config| config.version > ConfigVersion::default());
        let candidates = self.membership().candidates(monotonic());
        let is_candidate = candidates.contains(&self.settings.vm);
        configured && is_candidate && !self.is_stopping() && !self.is_out_of_service()
    }

    /// Triggers a scan for jobs that this VM should lead.
    pub(crate) fn wake_jobs(&self) {
        self.job_wake.notify_one();
    }

    /// Triggers a scan for jobs to lead, and has the leader of `job` read the job's row again.
    pub(crate) fn wake_job(&self, job: JobKey) {
        locked(&self.woken_jobs).push(job);
        self.wake_jobs();
    }

    /// Waits until a job is woken or `timeout` has passed, and returns the jobs whose rows may have
    /// changed.
    pub(crate) async fn wait_for_woken_jobs(&self, timeout: Duration) -> Vec<JobKey> {
        let _ = tokio::time::timeout(timeout, self.job_wake.notified()).await;
        std::mem::take(&mut locked(&self.woken_jobs))
    }

    /// Returns the VM of the local data centre that owns `key`.
    pub(crate) fn owner(&self, key: &str) -> Option<VmId> {
        let candidates = self.membership().candidates(monotonic());
        owner_of(key, &candidates).cloned()
    }

    /// Returns one VM of each other data centre, which relays messages to the VMs there.
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

    /// Returns the VM that owns `key` in `data_centre`; `None` for another data centre without a
    /// recent digest.
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

    /// Sends a request to another VM and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if the address of the VM is unknown, or if the endpoint gets no reply within
    /// `timeout`.
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
    /// Opens the clients of the current thread.
    pub(crate) fn open(shared: Arc<VmShared>) -> Rc<Self> {
        let platform = Rc::new(PlatformClient::open(&shared.settings.platform));
        let targets = Rc::new(TargetClient::open());
        Rc::new(Self {
            table: Rc::clone(&platform) as Rc<dyn TableStore>,
            objects: Rc::clone(&platform) as Rc<dyn ObjectStore>,
            fleet_list: platform,
            engines: Rc::clone(&targets) as Rc<dyn EngineClient>,
            services: targets,
            memory: MemoryLedger::open(shared.settings.memory.clone()),
            shared,
        })
    }

    /// Counts a request as running until the returned guard is dropped.
    pub(crate) fn start_request(&self) -> RunningGuard {
        self.shared.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(Arc::clone(&self.shared))
    }

    /// Returns the settings of the VM.
    pub(crate) fn settings(&self) -> &VmSettings {
        &self.shared.settings
    }
}
