//! Forwards one request: admission, attempts at targets with retries, and responses without events.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, StatusCode};
use ntex::util::{Bytes, BytesMut};

use crate::clock::monotonic;
use crate::gateway::catalog::{ForwardRoute, RouteCatalog, RouteMiss};
use crate::gateway::connections::SendError;
use crate::gateway::leases::SlotLease;
use crate::gateway::prompt_guard::QuarantineTrial;
use crate::gateway::quota::QuotaState;
use crate::gateway::request::{ForwardedRequest, TokenDemand};
use crate::gateway::response_body::{BodyReceiver, QueueError, open_body};
use crate::gateway::runtime::GatewayCore;
use crate::gateway::traces::log_over_quota;
use crate::gateway::transport::{ResponseMeaning, TargetAttempt, TargetResponse};
use crate::ids::{ServiceName, TargetId, WorkspaceId};
use crate::memory::{MemoryKind, MemoryLease};
use crate::placement::slots::SlotOutcome;
use crate::placement::wait_queue::{SlotNeed, SlotRefusal};
use crate::scheduling::RequestClass;

/// Responses without events are buffered up to this size before the caller gets any of them, so that the
/// request can be retried if the response breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;
/// Responses up to this size are buffered without an allocation from the budget. As much is read from a connection
/// at once anyway.
const UNCOUNTED_RESPONSE_BYTES: usize = 16 * 1024;
/// Limit for attempts that did not run, which do not count against the route's own limit.
const MAX_NOT_RUN_ATTEMPTS: usize = 6;
/// Time until the response to a batch item must begin. Items have no caller that would give up on a target
/// that accepts requests and does not answer them.
const ITEM_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the latency objective that a request may wait for a target. The rest is left for the
/// target to produce the first event and for the transfer to the caller.
const MAX_WAIT_FRACTION: f64 = 0.7;
/// Fraction of the caller's remaining time that Retry-After may use; callers ignore longer delays.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// The response to a forwarded request.
pub struct ForwardResponse {
    /// The status that the target returned.
    pub status: StatusCode,
    /// The headers that the target returned.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body that the target returned.
    pub body: ResponseBody,
    /// The memory of a complete body, held until it is sent.
    pub memory: Option<MemoryLease>,
}

/// The body of a response.
pub enum ResponseBody {
    /// The complete body.
    Whole(Bytes),
    /// Chunks as they arrive. An error means that the response broke off. Dropping the receiver cancels
    /// the request.
    Chunks(BodyReceiver),
}

/// Why a request got no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The VM has not received a configuration yet.
    NotConfigured,
    /// No route or workspace matches, but the configuration may be older than the newest one.
    MayBeOutdated,
    /// The VM is stopping.
    Stopping,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The workspace is over its quota.
    OverQuota,
    /// All targets are busy for longer than the request may wait.
    Busy,
    /// The service has no usable target.
    NoTarget,
    /// The caller's or the route's timeout passed; the request may have run.
    TimedOut,
    /// Targets failed; the request may have run.
    Failed,
    /// The prompt contains parts that crash targets.
    Quarantined,
    /// The prompt contains parts of which a trial has to show whether they crash targets.
    Suspected,
}

impl RefusalReason {
    /// Returns whether the request has certainly not run and will not run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Failed)
    }

    /// Returns the reason as it appears in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::MayBeOutdated => "may_be_outdated",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::OverQuota => "over_quota",
            Self::Busy => "busy",
            Self::NoTarget => "no_target",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
            Self::Quarantined => "quarantined",
            Self::Suspected => "suspected",
        }
    }
}

/// A refusal, with the delay after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayRefusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay before a retry, sent as Retry-After; `None` if the gateway suggests none.
    pub retry_after: Option<Duration>,
}

impl GatewayRefusal {
    /// Creates a refusal without a delay.
    pub fn of(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// Creates a refusal after which the caller may retry in about `delay`.
    pub(crate) fn after(
        reason: RefusalReason,
        delay: Duration,
        admitted: &AdmittedRequest,
    ) -> Self {
        let max_delay = admitted.time_left().mul_f64(MAX_RETRY_AFTER_FRACTION);
        // Jitter keeps callers that are refused together from retrying together.
        let spread = 1.0 + rand::random::<f64>() * 0.5;
        Self { reason, retry_after: Some(delay.mul_f64(spread).min(max_delay)) }
    }
}

/// An admitted request with everything that its attempts need.
pub(crate) struct AdmittedRequest {
    pub(crate) request: ForwardedRequest,
    pub(crate) route: std::sync::Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceId>,
    /// State of the workspace's quota after the request was admitted; `None` if it was not checked.
    pub(crate) quota: Option<QuotaState>,
    pub(crate) class: RequestClass,
    pub(crate) rank: u8,
    pub(crate) config_version: u64,
    /// Deadline by the monotonic clock: the earlier of the caller's and the route's timeout.
    pub(crate) ends_at: Duration,
    /// Requests of one class and rank are placed in ascending order of this value.
    pub(crate) order: Duration,
    /// When a batch item becomes critical.
    pub(crate) critical_at: Option<Duration>,
    /// Set if the request has quarantined parts and is sent once to see whether they still crash targets.
    pub(crate) trial: Option<Rc<QuarantineTrial>>,
}

impl AdmittedRequest {
    pub(crate) fn time_left(&self) -> Duration {
        self.ends_at.saturating_sub(monotonic())
    }

    /// Returns until when a request of a caller waits for a target.
    fn place_by(&self) -> Duration {
        let max_wait = self.route.latency_objective.mul_f64(MAX_WAIT_FRACTION);
        (self.request.received_at + max_wait).min(self.ends_at)
    }

    pub(crate) fn copy(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: std::sync::Arc::clone(&self.route),
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            trial: self.trial.clone(),
            ..*self
        }
    }
}

/// The earlier attempts at one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub(crate) excluded: Vec<TargetId>,
    /// Number of attempts that may have run.
    pub(crate) runs: u32,
    /// Number of attempts that certainly did not run.
    pub(crate) not_run: usize,
    /// Targets that refused the request.
    pub(crate) refused_by: Vec<TargetId>,
}

/// A target's response with the lease of the slot that it occupies.
pub(crate) struct RunningAttempt {
    pub(crate) response: TargetResponse,
    pub(crate) lease: SlotLease,
    /// Hash of the target's incarnation.
    pub(crate) incarnation: u32,
}

impl GatewayCore {
    /// Forwards a request of a caller and returns the response of the target that ran it.
    pub(crate) async fn forward(
        self: &Rc<Self>,
        request: ForwardedRequest,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let mut admitted = self.admit(request)?;
        let workspace = admitted.workspace.clone();
        let time_left = admitted.time_left();
        let mut history = AttemptHistory::default();
        let attempts = async {
            let place_by = admitted.place_by();
            self.check_quarantine(&mut admitted, place_by).await?;
            self.run_attempts(admitted, &mut history).await
        };
        let response = tokio::select! {
            biased;
            // First, so that a request that still waits is not sent over a slot that another one leaves.
            () = self.closed() => Err((RefusalReason::Stopping, RefusalReason::Failed)),
            response = tokio::time::timeout(time_left, attempts) => {
                response.map_err(|_| (RefusalReason::Busy, RefusalReason::TimedOut))
            }
        };
        let response = response.unwrap_or_else(|(not_run, may_have_run)| {
            let reason = if history.runs == 0 { not_run } else { may_have_run };
            Err(GatewayRefusal::of(reason))
        });
        if let (Err(refusal), Some(workspace)) = (&response, &workspace)
            && refusal.reason.is_not_run()
        {
            self.refund_quota(workspace);
        }
        response
    }

    fn admit(&self, request: ForwardedRequest) -> Result<AdmittedRequest, GatewayRefusal> {
        if self.is_refusing() {
            return Err(GatewayRefusal::of(RefusalReason::Stopping));
        }
        let catalog = self.catalog().ok_or(GatewayRefusal::of(RefusalReason::NotConfigured))?;
        let found = catalog.find(&request.host, &request.path, request.key.as_ref());
        let found = found.map_err(|miss| {
            GatewayRefusal::of(match miss {
                _ if !self.has_current_config() => RefusalReason::MayBeOutdated,
                RouteMiss::NoRoute => RefusalReason::NoRoute,
                RouteMiss::BadKey => RefusalReason::BadKey,
            })
        })?;
        let service = RouteCatalog::pick_service(found.route, rand::random());
        let service = service.ok_or(GatewayRefusal::of(RefusalReason::NoTarget))?.clone();
        let workspace = found.workspace.map(|workspace| workspace.name.clone());
        let quota = workspace.as_ref().map(|workspace| self.spend_quota(workspace)).transpose();
        let quota = quota.map_err(|(state, retry_after)| {
            log_over_quota(&request.id, workspace.as_ref(), state);
            GatewayRefusal { reason: RefusalReason::OverQuota, retry_after: Some(retry_after) }
        })?;
        let limit = request
            .caller_timeout
            .map_or(found.route.timeout, |timeout| timeout.min(found.route.timeout));
        Ok(AdmittedRequest {
            ends_at: request.received_at + limit,
            order: request.received_at,
            critical_at: None,
            trial: None,
            service,
            workspace,
            quota,
            class: RequestClass::Online,
            rank: found.rank(),
            config_version: catalog.version(),
            route: std::sync::Arc::clone(found.route),
            request,
        })
    }

    async fn run_attempts(
        self: &Rc<Self>,
        admitted: AdmittedRequest,
        history: &mut AttemptHistory,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let place_by = admitted.place_by();
        loop {
            let attempt =
                self.attempt(&admitted, history, place_by, admitted.request.last_event).await?;
            if attempt.response.has_events && attempt.response.status.is_success() {
                if let Some(response) = self.start_stream(&admitted, attempt, history).await? {
                    return Ok(response);
                }
            } else if let Some(response) = self.buffer_response(&admitted, attempt, history).await?
            {
                return Ok(response);
            }
        }
    }

    /// Sends the request to targets one after another until one runs it.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        history: &mut AttemptHistory,
        place_by: Duration,
        resume_after: Option<u64>,
    ) -> Result<RunningAttempt, GatewayRefusal> {
        let trial = admitted.trial.as_ref();
        let place_by = trial.map_or(place_by, |trial| trial.limit_placement(place_by));
        loop {
            let lease = tokio::select! {
                biased;
                refusal = self.quarantined(admitted, history) => return Err(refusal),
                lease = self.acquire(self.slot_need(admitted, history, place_by)) => lease,
            };
            let mut lease = lease.map_err(|refusal| refusal_for(admitted, history, refusal))?;
            let Some(target) = self.target(lease.target()) else {
                lease.release(SlotOutcome::Misdirected);
                continue;
            };
            let attempt = TargetAttempt {
                request: &admitted.request,
                target: &target,
                workspace: admitted.workspace.as_ref(),
                time_left: admitted.time_left(),
                resume_after,
                needs_new_connection: history.refused_by.contains(&target.id),
            };
            if let Some(trial) = trial {
                trial.record_sending();
            }
            // Counted before sending, because a request whose future is dropped meanwhile may have run.
            history.runs += 1;
            let sent_at = monotonic();
            lease.record_sending(self.track_answer(admitted, &target));
            let response = self.transport.send(attempt);
            let outcome = match admitted.class {
                // Online requests end at the caller's deadline.
                RequestClass::Online => response.await,
                RequestClass::Batch => {
                    let response = tokio::time::timeout(ITEM_RESPONSE_TIMEOUT, response).await;
                    let lost = || Err(SendError::Lost("no response from the target".to_owned()));
                    response.unwrap_or_else(|_| lost())
                }
            };
            self.log_attempt(admitted, &target, history, sent_at, &outcome);
            if let Ok(response) = &outcome {
                self.note_leaving(&target, response);
            }
            let incarnation = target.incarnation_hash();
            if let Some(trial) = trial
                && has_not_run(&outcome)
            {
                trial.record_not_run();
            }
            match outcome {
                Ok(response) if response.meaning == ResponseMeaning::Ran => {
                    let has_events = response.has_events && response.status.is_success();
                    lease.record_head(has_events, response.status.is_server_error());
                    return Ok(RunningAttempt { response, lease, incarnation });
                }
                Ok(response) => Self::record_unusable_response(lease, &response, history),
                Err(SendError::NotSent(_)) => {
                    history.runs -= 1;
                    history.not_run += 1;
                    history.excluded.push(lease.target().clone());
                    lease.release(SlotOutcome::Failed);
                }
                Err(SendError::Lost(_)) => {
                    self.record_prompt_failure(admitted, incarnation);
                    history.excluded.push(lease.target().clone());
                    lease.release(SlotOutcome::Failed);
                }
            }
            self.check_attempts(admitted, history)?;
        }
    }

    fn record_unusable_response(
        lease: SlotLease,
        response: &TargetResponse,
        history: &mut AttemptHistory,
    ) {
        let usage = match response.meaning {
            ResponseMeaning::NotRun => SlotOutcome::Full,
            ResponseMeaning::Misdirected => SlotOutcome::Misdirected,
            // Says nothing about the health of the target.
            ResponseMeaning::OtherVersion => SlotOutcome::Cancelled,
            ResponseMeaning::Ran | ResponseMeaning::Foreign => SlotOutcome::Failed,
        };
        if response.meaning != ResponseMeaning::Foreign {
            history.runs -= 1;
            history.not_run += 1;
            history.refused_by.push(lease.target().clone());
        }
        // For a caller that waits, a full target may have room again after its backoff.
        let may_try_again = usage == SlotOutcome::Full && lease.class() == RequestClass::Online;
        if !may_try_again {
            history.excluded.push(lease.target().clone());
        }
        lease.release(usage);
    }

    async fn buffer_response(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        mut attempt: RunningAttempt,
        history: &mut AttemptHistory,
    ) -> Result<Option<ForwardResponse>, GatewayRefusal> {
        let mut buffer = BytesMut::new();
        let mut lease = None;
        let body = loop {
            match attempt.response.body.next().await {
                Some(Ok(chunk)) => buffer.extend_from_slice(&chunk),
                None => break ResponseBody::Whole(buffer.freeze()),
                Some(Err(error)) => {
                    self.log_interruption(admitted, &attempt, None, &error.to_string());
                    if buffer.is_empty() {
                        self.record_prompt_failure(admitted, attempt.incarnation);
                    }
                    history.excluded.push(attempt.lease.target().clone());
                    attempt.lease.release(SlotOutcome::Failed);
                    return self.check_retry(admitted, history).map(|()| None);
                }
            }
            let has_memory = self.hold_response(&mut lease, buffer.len());
            if buffer.len() > MAX_BUFFERED_RESPONSE_BYTES || !has_memory {
                // The queue to the caller has allocations of its own.
                drop(lease);
                let status = attempt.response.status;
                let headers = std::mem::take(&mut attempt.response.headers);
                let body = self.forward_rest(admitted, attempt, buffer.freeze());
                return Ok(Some(ForwardResponse { status, headers, body, memory: None }));
            }
        };
        let failed = attempt.response.status.is_server_error();
        if attempt.response.status.is_success() {
            self.record_prompt_answer(admitted);
        }
        let (status, headers) = (attempt.response.status, attempt.response.headers);
        if failed {
            history.excluded.push(attempt.lease.target().clone());
        }
        let outcome = if failed { SlotOutcome::ServerError } else { SlotOutcome::Responded };
        attempt.lease.release(outcome);
        // A server error from one target is retried at another one if the route allows retries.
        if failed && admitted.route.class.may_retry() && history.runs < admitted.route.max_attempts
        {
            return Ok(None);
        }
        Ok(Some(ForwardResponse { status, headers, body, memory: lease }))
    }

    /// Reserves memory for a response of which `bytes` are buffered. Returns whether there is enough.
    fn hold_response(&self, lease: &mut Option<MemoryLease>, bytes: usize) -> bool {
        if bytes <= UNCOUNTED_RESPONSE_BYTES {
            return true;
        }
        if let Some(lease) = lease {
            return lease.try_resize(bytes);
        }
        *lease = self.memory.try_reserve(MemoryKind::Response, bytes);
        lease.is_some()
    }

    /// Forwards a response that is too large to buffer as it arrives.
    fn forward_rest(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        attempt: RunningAttempt,
        first: Bytes,
    ) -> ResponseBody {
        let (chunks, receiver) = open_body(&self.memory);
        let ends_at = admitted.ends_at;
        let running = self.count_running();
        tokio::task::spawn_local(async move {
            let _running = running;
            let RunningAttempt { response, lease, .. } = attempt;
            let mut body = response.body;
            let time_left = || ends_at.saturating_sub(monotonic());
            let mut chunk = Some(Ok(first));
            while let Some(next) = chunk {
                match next {
                    Ok(next) => match chunks.send(next, time_left()).await {
                        Ok(()) => {}
                        Err(QueueError::CallerLeft) => {
                            return lease.release(SlotOutcome::Cancelled);
                        }
                        Err(QueueError::DeadlinePassed) => {
                            lease.release(SlotOutcome::Cancelled);
                            return chunks.fail(deadline_error());
                        }
                    },
                    Err(error) => {
                        lease.release(SlotOutcome::Failed);
                        return chunks.fail(error);
                    }
                }
                chunk = tokio::select! {
                    () = chunks.closed() => return lease.release(SlotOutcome::Cancelled),
                    chunk = tokio::time::timeout(time_left(), body.next()) => {
                        chunk.unwrap_or_else(|_| Some(Err(deadline_error())))
                    }
                };
            }
            lease.release(SlotOutcome::Responded);
            chunks.finish().await;
        });
        ResponseBody::Chunks(receiver)
    }
}

/// Returns whether the request has certainly not run at the target.
fn has_not_run(outcome: &Result<TargetResponse, SendError>) -> bool {
    match outcome {
        Ok(response) => {
            !matches!(response.meaning, ResponseMeaning::Ran | ResponseMeaning::Foreign)
        }
        Err(error) => matches!(error, SendError::NotSent(_)),
    }
}

pub(crate) fn deadline_error() -> SendError {
    SendError::Lost("the deadline passed before the response was complete".to_owned())
}

fn refusal_for(
    admitted: &AdmittedRequest,
    history: &AttemptHistory,
    refusal: SlotRefusal,
) -> GatewayRefusal {
    if history.runs > 0 {
        return GatewayRefusal::of(RefusalReason::Failed);
    }
    let reason = if refusal.has_targets { RefusalReason::Busy } else { RefusalReason::NoTarget };
    GatewayRefusal::after(reason, refusal.retry_after, admitted)
}

/// Refuses the request unless its route allows to send it again although it may have run.
pub(crate) fn check_route_retry(
    admitted: &AdmittedRequest,
    history: &AttemptHistory,
) -> Result<(), GatewayRefusal> {
    let may_retry = admitted.route.class.may_retry() && admitted.trial.is_none();
    if may_retry && history.runs < admitted.route.max_attempts {
        return Ok(());
    }
    Err(GatewayRefusal::of(RefusalReason::Failed))
}

impl GatewayCore {
    fn slot_need(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
        place_by: Duration,
    ) -> SlotNeed {
        let prefix = admitted.request.demand.as_ref().and_then(TokenDemand::shared_prefix);
        // A request that failed once is late already, so it may wait for a target up to its deadline.
        let place_by =
            if history.runs + history.not_run as u32 > 0 { admitted.ends_at } else { place_by };
        SlotNeed {
            service: admitted.service.clone(),
            cohort: self.select_cohort(admitted),
            class: admitted.class,
            rank: admitted.rank,
            prefix,
            excluded: history.excluded.clone(),
            order: admitted.order,
            place_by,
            critical_at: admitted.critical_at,
        }
    }

    fn check_attempts(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> Result<(), GatewayRefusal> {
        if history.not_run > MAX_NOT_RUN_ATTEMPTS {
            let reason =
                if history.runs == 0 { RefusalReason::Busy } else { RefusalReason::Failed };
            return Err(GatewayRefusal::of(reason));
        }
        if history.runs > 0 { self.check_retry(admitted, history) } else { Ok(()) }
    }

    /// Refuses the request unless it may be sent again although it may have run. A request that may be the
    /// cause of several crashes is not sent again.
    pub(crate) fn check_retry(
        &self,
        admitted: &AdmittedRequest,
        history: &AttemptHistory,
    ) -> Result<(), GatewayRefusal> {
        check_route_retry(admitted, history)?;
        if self.is_suspect(&admitted.request) {
            return Err(GatewayRefusal::of(RefusalReason::Failed));
        }
        Ok(())
    }
}
