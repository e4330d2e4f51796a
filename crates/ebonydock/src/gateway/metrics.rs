//! Metrics of a gateway in the `OpenMetrics` text format.

use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::gateway::forward::AdmittedRequest;
use crate::ids::{ServiceName, VersionName};
use crate::memory::{MemoryKind, MemoryLedger};
use crate::rollouts::answer_track::AnswerSubject;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    what: &'static str,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    service: String,
    version: String,
}

fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.004, 1.8, 14))
}

/// The metrics of a gateway.
pub struct GatewayMetrics {
    registry: Registry,
    outcomes: Family<OutcomeLabels, Counter>,
    first_event: Family<RankLabels, Histogram, fn() -> Histogram>,
    running: Gauge,
    targets: Gauge,
    ejected_targets: Gauge,
    live_peers: Gauge,
    config_version: Gauge,
    connections: Gauge,
    quota_subtracted: Gauge,
    quota_dropped: Gauge,
    quarantines: Gauge,
    dropped_messages: Gauge,
    version_answers: Family<VersionLabels, Counter>,
    version_failures: Family<VersionLabels, Counter>,
    rollout_share: Family<VersionLabels, Gauge<f64, AtomicU64>>,
    memory_held: Family<KindLabels, Gauge>,
    memory_refused: Gauge,
    memory_reclaimed: Gauge,
}

impl GatewayMetrics {
    pub(crate) fn open() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ebonydock_gateway"),
            outcomes: Family::default(),
            first_event: Family::new_with_constructor(seconds_histogram as fn() -> Histogram),
            running: Gauge::default(),
            targets: Gauge::default(),
            ejected_targets: Gauge::default(),
            live_peers: Gauge::default(),
            config_version: Gauge::default(),
            connections: Gauge::default(),
            quota_subtracted: Gauge::default(),
            quota_dropped: Gauge::default(),
            quarantines: Gauge::default(),
            dropped_messages: Gauge::default(),
            version_answers: Family::default(),
            version_failures: Family::default(),
            rollout_share: Family::default(),
            memory_held: Family::default(),
            memory_refused: Gauge::default(),
            memory_reclaimed: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register(
            "outcomes",
            "Requests, attempts and jobs by outcome",
            metrics.outcomes.clone(),
        );
        registry.register_with_unit(
            "first_event",
            "Time from the arrival of a request to its first event",
            Unit::Seconds,
            metrics.first_event.clone(),
        );
        registry.register("running", "Requests that run", metrics.running.clone());
        registry.register("targets", "Targets that are listed", metrics.targets.clone());
        registry.register("peers_heard", "VMs heard lately", metrics.live_peers.clone());
        registry.register("config_version", "Version in force", metrics.config_version.clone());
        registry.register("connections_opened", "Connections opened", metrics.connections.clone());
        registry.register(
            "quota_subtracted",
            "Requests of other VMs that were subtracted from quotas",
            metrics.quota_subtracted.clone(),
        );
        registry.register(
            "quota_dropped",
            "Requests of other VMs beyond the maximum debt of a quota",
            metrics.quota_dropped.clone(),
        );
        registry.register(
            "quarantines",
            "Sets of prompt parts whose requests are refused",
            metrics.quarantines.clone(),
        );
        registry.register(
            "peer_messages_dropped",
            "Messages of other VMs that could not be decoded",
            metrics.dropped_messages.clone(),
        );
        registry.register(
            "version_answers",
            "Requests that ended at targets, by version; only where roll-outs are enabled",
            metrics.version_answers.clone(),
        );
        registry.register(
            "version_failures",
            "Failed ones among them",
            metrics.version_failures.clone(),
        );
        registry.register(
            "rollout_share",
            "Share of a service's requests that the version of its last roll-out gets",
            metrics.rollout_share.clone(),
        );
        registry.register(
            "targets_ejected",
            "Targets that get no requests because their requests fail",
            metrics.ejected_targets.clone(),
        );
        registry.register_with_unit(
            "memory_held",
            "Memory held for callers and targets",
            Unit::Bytes,
            metrics.memory_held.clone(),
        );
        registry.register(
            "memory_refused",
            "Allocations that were refused for lack of memory",
            metrics.memory_refused.clone(),
        );
        registry.register(
            "memory_reclaimed",
            "Slow bodies that lost their allocation to others",
            metrics.memory_reclaimed.clone(),
        );
        metrics
    }

    pub(crate) fn count(&self, what: &'static str, outcome: &str) {
        let labels = OutcomeLabels { what, outcome: outcome.to_owned() };
        self.outcomes.get_or_create(&labels).inc();
    }

    pub(crate) fn count_first_event(&self, admitted: &AdmittedRequest, now: Duration) {
        let took = now.saturating_sub(admitted.request.received_at);
        let labels = RankLabels { rank: admitted.rank.into() };
        self.first_event.get_or_create(&labels).observe(took.as_secs_f64());
    }

    /// Counts a request that has ended at a target.
    pub(crate) fn count_version_answer(&self, subject: &AnswerSubject, failed: bool) {
        let labels = VersionLabels {
            service: subject.service.to_string(),
            version: subject.version.to_string(),
        };
        self.version_answers.get_or_create(&labels).inc();
        if failed {
            self.version_failures.get_or_create(&labels).inc();
        }
    }

    /// Replaces the shares of all roll-outs.
    pub(crate) fn set_rollout_shares(&self, shares: &HashMap<(ServiceName, VersionName), f64>) {
        self.rollout_share.clear();
        for ((service, version), share) in shares {
            let labels =
                VersionLabels { service: service.to_string(), version: version.to_string() };
            self.rollout_share.get_or_create(&labels).set(*share);
        }
    }

    pub(crate) fn set_gauges(&self, gauges: &GaugeValues<'_>) {
        self.running.set(gauges.running as i64);
        self.targets.set(gauges.targets as i64);
        self.ejected_targets.set(gauges.ejected_targets as i64);
        self.live_peers.set(gauges.live_peers as i64);
        self.config_version.set(gauges.config_version as i64);
        self.connections.set(gauges.connections_opened as i64);
        self.quota_subtracted.set(gauges.quota_subtracted as i64);
        self.quota_dropped.set(gauges.quota_dropped as i64);
        self.quarantines.set(gauges.quarantines as i64);
        self.dropped_messages.set(gauges.dropped_messages as i64);
        for kind in MemoryKind::ALL {
            let labels = KindLabels { kind: kind.as_str() };
            self.memory_held.get_or_create(&labels).set(gauges.memory.held_by_kind(kind) as i64);
        }
        self.memory_refused.set(gauges.memory.refused() as i64);
        self.memory_reclaimed.set(gauges.memory.reclaimed() as i64);
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if text::encode(&mut out, &self.registry).is_err() {
            log::error!("metrics could not be encoded; the output is incomplete");
        }
        out
    }
}

/// The values of all gauges at one moment.
pub(crate) struct GaugeValues<'a> {
    pub(crate) running: usize,
    pub(crate) targets: usize,
    pub(crate) ejected_targets: usize,
    pub(crate) live_peers: usize,
    pub(crate) config_version: u64,
    pub(crate) connections_opened: u64,
    pub(crate) quota_subtracted: f64,
    pub(crate) quota_dropped: f64,
    pub(crate) quarantines: usize,
    pub(crate) dropped_messages: u64,
    pub(crate) memory: &'a MemoryLedger,
}
