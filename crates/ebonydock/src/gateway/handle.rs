//! The handle of a running gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ntex::util::Bytes;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::gateway::catalog::RouteClass;
use crate::gateway::connections::ConnectionPool;
use crate::gateway::followers::RowDecoder;
use crate::gateway::forward::{ForwardResponse, GatewayRefusal};
use crate::gateway::job_book::JobSubmission;
use crate::gateway::job_calls::{JobAnswer, JobResultPage};
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::gateway::transport::TargetTransport;
use crate::ids::{DataCentreId, VmId};
use crate::platform::rows::RowStore;

const STOP_TICK: Duration = Duration::from_millis(50);
/// A stopping VM goes on serving until nothing has run for this long, so that the last bytes of answers
/// are on their way.
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(300);

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its processor share in thousandths of a core. Large VMs pass the reports of others on.
    pub capacity: u32,
    /// Where it takes messages of other VMs, over UDP.
    pub peers: SocketAddr,
    /// Results of jobs can be read for this long after the jobs were accepted.
    pub results_retention: Duration,
    /// A planned stop waits this long for running requests.
    pub stop_timeout: Duration,
    /// The balancer sends new connections for this long after a VM has turned not ready.
    pub deregistration_delay: Duration,
}

/// A running gateway. Clones share it.
#[derive(Clone)]
pub struct Gateway {
    core: Rc<GatewayCore>,
}

impl Gateway {
    /// Opens a gateway and starts its tasks on the current thread.
    ///
    /// # Errors
    ///
    /// What could not be opened.
    pub fn open(
        settings: GatewaySettings,
        transport: Rc<dyn TargetTransport>,
        rows: Rc<dyn RowStore>,
        dialect: Rc<dyn RowDecoder>,
        connections: ConnectionPool,
    ) -> Result<Self, String> {
        let core = GatewayCore::open(settings, transport, rows, dialect, connections)?;
        log::info!(vm = core.settings.vm.as_str(), incarnation = core.incarnation; "gateway started");
        Ok(Self { core })
    }

    /// Forwards a request. Dropping the future or the body of the answer cancels it.
    ///
    /// # Errors
    ///
    /// Why no target answered.
    pub async fn forward(
        &self,
        request: ForwardedRequest,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let _running = self.core.count_running();
        let id = request.id.clone();
        let received_at = request.received_at;
        let answer = self.core.forward(request).await;
        if let Err(refusal) = &answer {
            let held = monotonic().saturating_sub(received_at).as_millis() as u64;
            let retry = refusal.retry_after.map_or(0, |retry| retry.as_millis() as u64);
            self.core.metrics.count("request", refusal.reason.as_str());
            log::info!(
                id = &*id, outcome = refusal.reason.as_str(), held_ms = held, retry_after_ms = retry,
                config_version = self.core.config_version();
                "request refused"
            );
        }
        answer
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Why the job was not accepted, or may not have been.
    pub async fn submit_job(&self, submission: JobSubmission) -> JobAnswer<()> {
        let _running = self.core.count_running();
        self.core.submit_job(submission).await
    }

    /// Reads results of a job from a position on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Why they cannot be read.
    pub async fn job_results(
        &self,
        key: Option<&KeyHash>,
        id: &str,
        after: u32,
        wait: Duration,
    ) -> JobAnswer<JobResultPage> {
        let _running = self.core.count_running();
        self.core.job_results(key, id, after, wait).await
    }

    /// Reads the body of an item of a job.
    ///
    /// # Errors
    ///
    /// Why it cannot be read.
    pub async fn job_item(&self, key: Option<&KeyHash>, id: &str, item: &str) -> JobAnswer<Bytes> {
        let _running = self.core.count_running();
        self.core.job_item(key, id, item).await
    }

    /// Ends a job; ending it again changes nothing.
    ///
    /// # Errors
    ///
    /// Why it was not ended, or may not have been.
    pub async fn end_job(&self, key: Option<&KeyHash>, id: &str) -> JobAnswer<()> {
        let _running = self.core.count_running();
        self.core.end_job(key, id).await
    }

    /// Whether the balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        !self.core.is_stopping() && self.core.catalog().is_some()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.core.is_stopping()
    }

    /// The largest body that a caller may send; `None` before the first configuration.
    pub fn body_limit(&self) -> Option<usize> {
        self.core.catalog().map(|catalog| catalog.limits().body_bytes)
    }

    /// Whether a request's route takes batch jobs.
    pub fn accepts_jobs(&self, host: &str, path: &str) -> bool {
        self.core.catalog().is_some_and(|catalog| {
            let route = catalog.route(host, path);
            route.is_some_and(|route| matches!(route.class, RouteClass::Batch(_)))
        })
    }

    /// All metrics as text.
    pub fn metrics(&self) -> String {
        self.core.encode_metrics()
    }

    /// Stops as planned: turns not ready, hands its jobs on, and returns when no request runs or the
    /// time for stopping is over.
    pub async fn stop(&self) {
        let core = &self.core;
        let began = core.begin_stop();
        log::info!(running = core.running() as u64; "gateway stopping");
        core.hand_on_jobs().await;
        let mut busy_at = began;
        loop {
            let now = monotonic();
            if core.running() > 0 {
                busy_at = now;
            }
            let noticed = now >= began + core.settings.deregistration_delay;
            let quiet = now >= busy_at + QUIET_BEFORE_STOP;
            if (noticed && quiet) || now >= began + core.settings.stop_timeout {
                break;
            }
            tokio::time::sleep(STOP_TICK).await;
        }
        core.unpublish().await;
        core.peering.close();
        log::info!(running = core.running() as u64; "gateway stopped");
    }
}
