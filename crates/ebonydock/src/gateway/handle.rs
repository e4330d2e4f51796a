//! The handle of a running gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::catalog::RouteClass;
use crate::gateway::connections::ConnectionPool;
use crate::gateway::followers::RowDecoder;
use crate::gateway::forward::{ForwardResponse, GatewayRefusal};
use crate::gateway::job_api::{JobApiResult, JobItemBody, JobRefusal, JobResultPage};
use crate::gateway::job_records::JobSubmission;
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::gateway::transport::TargetTransport;
use crate::ids::{DataCentreId, VmId};
use crate::memory::{MemoryLedger, MemorySettings};
use crate::platform::rows::RowStore;
use crate::rollouts::RolloutSettings;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A stopping VM keeps serving until nothing has run for this long, so that the last bytes of responses
/// are sent.
const MIN_IDLE_BEFORE_STOP: Duration = Duration::from_millis(300);
/// Limit for the time in which calls that a planned stop has ended are answered.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(600);

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// The VM's processor share in thousandths of a core. Large VMs relay the reports of others.
    pub capacity: u32,
    /// The UDP address for messages from other VMs.
    pub peers: SocketAddr,
    /// How long results of a job can be read, from the acceptance of the job.
    pub results_retention: Duration,
    /// How long a planned stop waits for running requests.
    pub stop_timeout: Duration,
    /// How long the balancer still sends new connections after a VM becomes not ready.
    pub deregistration_delay: Duration,
    /// Whether targets that fail their requests are taken out of use on evidence from all VMs. Otherwise only
    /// targets that cannot be reached are.
    pub ejects_outliers: bool,
    /// Bounds of roll-outs of versions; `None` if versions of targets make no difference.
    pub rollouts: Option<RolloutSettings>,
    /// Limits of what the VM holds for callers and targets.
    pub memory: MemorySettings,
}

/// A running gateway. Clones refer to the same gateway.
#[derive(Clone)]
pub struct Gateway {
    core: Rc<GatewayCore>,
}

impl Gateway {
    /// Opens a gateway and starts its tasks on the current thread.
    ///
    /// # Errors
    ///
    /// Returns a message if a part of the gateway could not be opened.
    pub fn open(
        settings: GatewaySettings,
        transport: Rc<dyn TargetTransport>,
        rows: Rc<dyn RowStore>,
        decoder: Rc<dyn RowDecoder>,
        connections: ConnectionPool,
    ) -> Result<Self, String> {
        settings.memory.check()?;
        let core = GatewayCore::open(settings, transport, rows, decoder, connections)?;
        log::info!(vm = core.settings.vm.as_str(), incarnation = core.incarnation; "gateway started");
        Ok(Self { core })
    }

    /// Forwards a request. Dropping the future or the body of the response cancels the request.
    ///
    /// # Errors
    ///
    /// Returns the reason if no target responded.
    pub async fn forward(
        &self,
        request: ForwardedRequest,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let _running = self.core.count_running();
        let id = request.id.clone();
        let received_at = request.received_at;
        let response = self.core.forward(request).await;
        if let Err(refusal) = &response {
            let held = monotonic().saturating_sub(received_at).as_millis() as u64;
            let retry = refusal.retry_after.map_or(0, |retry| retry.as_millis() as u64);
            self.core.metrics.count("request", refusal.reason.as_str());
            log::info!(
                id = &*id, outcome = refusal.reason.as_str(), held_ms = held, retry_after_ms = retry,
                config_version = self.core.config_version();
                "request refused"
            );
        }
        response
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Returns the reason if the job was not accepted or it is unknown whether it was.
    pub async fn submit_job(&self, submission: JobSubmission) -> JobApiResult<()> {
        self.run_job_call(self.core.submit_job(submission)).await
    }

    /// Reads the results of a job after a position, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the results cannot be read.
    pub async fn job_results(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> JobApiResult<JobResultPage> {
        self.run_job_call(self.core.job_results(key, id, after, wait)).await
    }

    /// Reads the body of an item of a job.
    ///
    /// # Errors
    ///
    /// Returns the reason if the body cannot be read.
    pub async fn job_item(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        item: &str,
    ) -> JobApiResult<JobItemBody> {
        self.run_job_call(self.core.job_item(key, id, item)).await
    }

    /// Ends a job. Ending it again has no effect.
    ///
    /// # Errors
    ///
    /// Returns the reason if the job was not ended or it is unknown whether it was.
    pub async fn end_job(&self, key: Option<&KeyHash>, id: &str) -> JobApiResult<()> {
        self.run_job_call(self.core.end_job(key, id)).await
    }

    /// Runs a call on a job, which ends with the planned stop of this VM at the latest.
    async fn run_job_call<T>(
        &self,
        call: impl Future<Output = JobApiResult<T>>,
    ) -> JobApiResult<T> {
        let _running = self.core.count_running();
        if self.core.is_closed() {
            return Err(JobRefusal::Unavailable);
        }
        tokio::select! {
            biased;
            result = call => result,
            () = self.core.closed() => Err(JobRefusal::OutcomeUnknown),
        }
    }

    /// Returns the memory budget of the VM.
    pub fn memory(&self) -> &MemoryLedger {
        &self.core.memory
    }

    /// Counts an event by kind and outcome in the metrics.
    pub fn count(&self, what: &'static str, outcome: &str) {
        self.core.metrics.count(what, outcome);
    }

    /// Returns whether the balancer should send new connections to this VM.
    pub fn is_ready(&self) -> bool {
        !self.core.is_stopping() && self.core.catalog().is_some()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    /// Returns the largest body that a caller may send, in bytes, or `None` before the first
    /// configuration.
    pub fn body_limit(&self) -> Option<usize> {
        self.core.catalog().map(|catalog| catalog.limits().body_bytes)
    }

    /// Returns whether the configuration is known to be the newest, so that a request which it does not allow can
    /// be refused for good.
    pub fn has_current_config(&self) -> bool {
        self.core.has_current_config()
    }

    /// Returns whether the route of a host and path accepts batch jobs.
    pub fn accepts_jobs(&self, host: &str, path: &str) -> bool {
        self.core.catalog().is_some_and(|catalog| {
            let route = catalog.route(host, path);
            route.is_some_and(|route| matches!(route.class, RouteClass::Batch(_)))
        })
    }

    /// Returns all metrics as text.
    pub fn metrics(&self) -> String {
        self.core.encode_metrics()
    }

    /// Performs a planned stop: becomes not ready, hands over its jobs, and waits until no request runs or the
    /// stop timeout has passed. Requests that still run then are answered with a refusal.
    pub async fn stop(&self) {
        let core = &self.core;
        let began = core.begin_stop();
        log::info!(running = core.running() as u64; "gateway stopping");
        let handover = tokio::time::timeout(core.settings.stop_timeout, core.hand_over_jobs());
        let (handover, ()) = tokio::join!(handover, self.wait_until_idle(began));
        if handover.is_err() {
            log::warn!(
                "jobs not all handed over before the stop timeout; others take them when the lease ends"
            );
        }
        core.close_calls();
        // Callers may still send requests; they are refused until the process ends.
        tokio::join!(core.unpublish(), self.wait_for_answers());
        core.peering.close();
        log::info!(running = core.running() as u64; "gateway stopped");
    }

    /// Waits until no call has run for a while and callers use other VMs, at most for the stop timeout.
    async fn wait_until_idle(&self, began: Duration) {
        let core = &self.core;
        let mut busy_at = began;
        loop {
            let now = monotonic();
            if core.running() > 0 {
                busy_at = now;
            }
            let deregistered = now >= began + core.settings.deregistration_delay;
            let idle = now >= busy_at + MIN_IDLE_BEFORE_STOP;
            if (deregistered && idle) || now >= began + core.settings.stop_timeout {
                return;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Waits until the calls that a planned stop has ended are answered.
    async fn wait_for_answers(&self) {
        let answered = async {
            while self.core.running() > 0 {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        };
        // Streams have begun and can only be broken off.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, answered).await;
    }
}
