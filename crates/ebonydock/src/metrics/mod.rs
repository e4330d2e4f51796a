//! Metrics of a VM in the `OpenMetrics` text format.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::ids::WorkspaceId;
use crate::scheduling::RequestClass;

/// Maximum number of workspaces with their own label, which bounds the number of time series. Further
/// workspaces share the label `other`.
const MAX_WORKSPACE_LABELS: usize = 200;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum ClassLabel {
    Online,
    Batch,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: ClassLabel,
    workspace: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: &'static str,
    workspace: String,
}

type HistogramFamily = Family<ClassLabels, Histogram, fn() -> Histogram>;

fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 1.6, 20))
}

/// Metrics of a VM.
pub(crate) struct VmMetrics {
    registry: Registry,
    first_token: HistogramFamily,
    between_tokens: HistogramFamily,
    response_duration: HistogramFamily,
    tokens: Family<ClassLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    running: Gauge,
    config_version: Gauge,
    members: Gauge,
    peer_messages: Gauge,
    peer_bytes: Gauge,
    labeled_workspaces: Mutex<HashSet<WorkspaceId>>,
}

impl VmMetrics {
    /// Registers all metrics, with values of zero.
    pub(crate) fn open() -> Self {
        let mut registry = Registry::with_prefix("ebonydock");
        let histograms = || Family::new_with_constructor(seconds_histogram as fn() -> Histogram);
        let metrics = Self {
            first_token: histograms(),
            between_tokens: histograms(),
            response_duration: histograms(),
            tokens: Family::default(),
            refusals: Family::default(),
            running: Gauge::default(),
            config_version: Gauge::default(),
            members: Gauge::default(),
            peer_messages: Gauge::default(),
            peer_bytes: Gauge::default(),
            labeled_workspaces: Mutex::default(),
            registry: Registry::default(),
        };
        let seconds = || Unit::Seconds;
        registry.register_with_unit(
            "first_token",
            "Time to the first token",
            seconds(),
            metrics.first_token.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between tokens",
            seconds(),
            metrics.between_tokens.clone(),
        );
        registry.register_with_unit(
            "answer",
            "Time to the whole answer",
            seconds(),
            metrics.response_duration.clone(),
        );
        registry.register("tokens", "Tokens generated", metrics.tokens.clone());
        registry.register("refusals", "Requests refused", metrics.refusals.clone());
        registry.register("running", "Requests that run", metrics.running.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            metrics.config_version.clone(),
        );
        registry.register(
            "members",
            "VMs of the data centre that are heard",
            metrics.members.clone(),
        );
        registry.register("peer_messages", "Messages sent to VMs", metrics.peer_messages.clone());
        registry.register(
            "peer_payload",
            "Bytes in messages sent to VMs",
            metrics.peer_bytes.clone(),
        );
        Self { registry, ..metrics }
    }

    /// Records the time to the first token of a response.
    pub(crate) fn record_first_token(
        &self,
        class: RequestClass,
        workspace: &WorkspaceId,
        after: Duration,
    ) {
        let labels = self.labels(class, workspace);
        self.first_token.get_or_create(&labels).observe(after.as_secs_f64());
    }

    /// Records the duration and the tokens of a complete response.
    pub(crate) fn record_response(
        &self,
        class: RequestClass,
        workspace: &WorkspaceId,
        took: Duration,
        tokens: u32,
    ) {
        let labels = self.labels(class, workspace);
        self.response_duration.get_or_create(&labels).observe(took.as_secs_f64());
        self.tokens.get_or_create(&labels).inc_by(tokens.into());
    }

    /// Records the mean time between the tokens of a response.
    pub(crate) fn record_token_interval(
        &self,
        class: RequestClass,
        workspace: &WorkspaceId,
        mean: Duration,
    ) {
        let labels = self.labels(class, workspace);
        self.between_tokens.get_or_create(&labels).observe(mean.as_secs_f64());
    }

    /// Counts a refused request.
    pub(crate) fn record_refusal(&self, code: &'static str, workspace: Option<&WorkspaceId>) {
        let workspace =
            workspace.map_or_else(String::new, |workspace| self.workspace_label(workspace));
        self.refusals.get_or_create(&RefusalLabels { code, workspace }).inc();
    }

    /// Sets the gauges: running requests, configuration version, live VMs, and messages and payload bytes
    /// sent to other VMs.
    pub(crate) fn set_gauges(
        &self,
        running: usize,
        config: u64,
        members: usize,
        peers: (u64, u64),
    ) {
        self.running.set(running as i64);
        self.config_version.set(config.cast_signed());
        self.members.set(members as i64);
        self.peer_messages.set(peers.0.cast_signed());
        self.peer_bytes.set(peers.1.cast_signed());
    }

    /// Returns the metrics as text.
    pub(crate) fn encode(&self) -> String {
        let mut buffer = String::new();
        if text::encode(&mut buffer, &self.registry).is_err() {
            log::error!("metrics: The metrics could not be encoded; the response is incomplete.");
        }
        buffer
    }

    fn labels(&self, class: RequestClass, workspace: &WorkspaceId) -> ClassLabels {
        let class = match class {
            RequestClass::Online => ClassLabel::Online,
            RequestClass::Batch => ClassLabel::Batch,
        };
        ClassLabels { class, workspace: self.workspace_label(workspace) }
    }

    fn workspace_label(&self, workspace: &WorkspaceId) -> String {
        let mut labeled_workspaces =
            self.labeled_workspaces.lock().unwrap_or_else(PoisonError::into_inner);
        if labeled_workspaces.contains(workspace) {
            return workspace.to_string();
        }
        if labeled_workspaces.len() >= MAX_WORKSPACE_LABELS {
            return "other".to_owned();
        }
        labeled_workspaces.insert(workspace.clone());
        workspace.to_string()
    }
}
