//! Logs and counts the attempts and streams of a request.

use std::time::Duration;

use crate::clock::monotonic;
use crate::gateway::connections::SendError;
use crate::gateway::forward::{AdmittedRequest, AttemptHistory, RunningAttempt};
use crate::gateway::quota::QuotaState;
use crate::gateway::request::{ForwardedRequest, TokenDemand};
use crate::gateway::runtime::GatewayCore;
use crate::gateway::transport::TargetResponse;
use crate::ids::{TargetId, WorkspaceId};
use crate::placement::slots::ServingTarget;

/// Rounds a value to hundredths, to keep log lines short.
fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Formats the prompt parts that a request shares with others, in hexadecimal as callers send them.
fn shared_parts(request: &ForwardedRequest) -> String {
    let parts = request.demand.as_ref().map(TokenDemand::shared_parts).unwrap_or_default();
    parts.iter().map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
}

/// Logs a request that is refused because its workspace's quota is spent.
pub(crate) fn log_over_quota(id: &str, workspace: Option<&WorkspaceId>, quota: QuotaState) {
    log::info!(
        id = id, workspace = workspace.map_or("", WorkspaceId::as_str),
        rate = quota.rate, burst = quota.burst, level = hundredths(quota.level),
        live_fraction = hundredths(quota.live_fraction),
        subtracted = quota.subtracted, dropped = hundredths(quota.dropped);
        "quota spent"
    );
}

impl GatewayCore {
    pub(crate) fn log_attempt(
        &self,
        admitted: &AdmittedRequest,
        target: &ServingTarget,
        history: &AttemptHistory,
        sent_at: Duration,
        outcome: &Result<TargetResponse, SendError>,
    ) {
        let now = monotonic();
        let (status, outcome) = match outcome {
            Ok(reply) => (reply.status.as_u16(), format!("{:?}", reply.meaning)),
            Err(error) => (0, error.to_string()),
        };
        self.metrics.count("attempt", if status == 0 { "no_answer" } else { "answered" });
        log::info!(
            id = &*admitted.request.id, route = &*admitted.route.name,
            shared_parts = shared_parts(&admitted.request),
            workspace = admitted.workspace.as_ref().map_or("", |workspace| workspace.as_str()),
            quota_level = admitted.quota.map_or(0.0, |quota| hundredths(quota.level)),
            target_id = target.id.as_str(), run = history.runs, unrun = history.not_run as u64,
            waited_ms = sent_at.saturating_sub(admitted.request.received_at).as_millis() as u64,
            head_ms = now.saturating_sub(sent_at).as_millis() as u64,
            left_ms = admitted.ends_at.saturating_sub(now).as_millis() as u64,
            config_version = admitted.config_version, status = status, outcome = outcome;
            "attempt"
        );
    }

    /// Logs a response that ended early. `last_event` is the last event that the caller received; without
    /// one the target may have ended because of this request.
    pub(crate) fn log_interruption(
        &self,
        admitted: &AdmittedRequest,
        attempt: &RunningAttempt,
        last_event: Option<u64>,
        reason: &str,
    ) {
        let outcome = if last_event.is_some() { "broken_off" } else { "broken_off_before_event" };
        self.metrics.count("attempt", outcome);
        log::info!(
            id = &*admitted.request.id, target_id = attempt.lease.target().as_str(), reason = reason,
            shared_parts = shared_parts(&admitted.request), last_event = last_event.unwrap_or(0);
            "answer broke off"
        );
    }

    pub(crate) fn log_stream_end(
        &self,
        admitted: &AdmittedRequest,
        target: &TargetId,
        outcome: &str,
        last_event: Option<u64>,
    ) {
        self.metrics.count("stream", outcome);
        log::info!(
            id = &*admitted.request.id, target_id = target.as_str(), outcome = outcome,
            last_event = last_event.unwrap_or(0),
            took_ms = monotonic().saturating_sub(admitted.request.received_at).as_millis() as u64;
            "stream ended"
        );
    }
}
