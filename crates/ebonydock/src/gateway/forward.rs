//! One request from its admission to the end of its answer, over as many targets as it may take.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, StatusCode};
use ntex::util::{Bytes, BytesMut};
use tokio::sync::mpsc;

use crate::clock::monotonic;
use crate::gateway::catalog::{ForwardRoute, RouteCatalog, RouteMiss};
use crate::gateway::connections::SendError;
use crate::gateway::events::EventSplitter;
use crate::gateway::leases::SlotLease;
use crate::gateway::request::{ForwardedRequest, TokenDemand};
use crate::gateway::runtime::{GatewayCore, RunningCount};
use crate::gateway::slots::SlotUse;
use crate::gateway::transport::{ResponseMeaning, TargetAttempt, TargetResponse};
use crate::gateway::wait_queue::{SlotNeed, SlotRefusal};
use crate::ids::{ServiceName, TargetId, WorkspaceId};
use crate::scheduling::RequestClass;

/// Answers without events up to this size are read whole before the caller gets any of them, so that a
/// broken one can be asked for again.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;
/// Attempts that did not run do not count against the route's limit; this bounds their number.
const MOST_UNRUN_ATTEMPTS: usize = 6;
/// Parts of an answer that wait for a slow caller; beyond them the target's connection is not read.
const BODY_QUEUE: usize = 64;
/// The part of the latency aim that a request may wait for a target. The rest is the time of the target
/// up to the first event and the way to the caller.
const WAIT_PART: f64 = 0.7;
/// Callers heed Retry-After up to this part of the time that they have left.
const RETRY_PART: f64 = 1.0 / 3.0;

/// The answer to a forwarded request.
pub struct ForwardResponse {
    /// The status of the target.
    pub status: StatusCode,
    /// Headers of the target.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body of the target.
    pub body: ResponseBody,
}

/// The body of an answer.
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// Parts as they arrive. An error means that the answer broke off. Dropping the receiver cancels the
    /// request.
    Parts(mpsc::Receiver<Result<Bytes, SendError>>),
}

/// Why a request was not answered by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The VM knows no configuration yet.
    NotConfigured,
    /// The VM is about to stop.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    BadKey,
    /// The workspace is over its quota.
    OverQuota,
    /// Every target stays busy for too long.
    Busy,
    /// The service has no target that may be used.
    NoTarget,
    /// The caller's time or the route's was over; the request may have run.
    TimedOut,
    /// Targets failed; the request may have run.
    Failed,
}

impl RefusalReason {
    /// Whether the request has not run and will not.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Failed)
    }

    /// A word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::BadKey => "bad_key",
            Self::OverQuota => "over_quota",
            Self::Busy => "busy",
            Self::NoTarget => "no_target",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }
}

/// A refusal with the time at which the caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl GatewayRefusal {
    pub(crate) fn of(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// A request with all that its attempts need.
pub(crate) struct AdmittedRequest {
    pub(crate) request: ForwardedRequest,
    pub(crate) route: std::sync::Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) class: RequestClass,
    pub(crate) rank: u8,
    pub(crate) config_version: u64,
    /// The caller has left by then, or the route's time is over.
    pub(crate) ends_at: Duration,
    /// Requests of a class and rank are placed in this order.
    pub(crate) order: Duration,
    /// When a batch item begins to be urgent.
    pub(crate) urgent_at: Option<Duration>,
}

impl AdmittedRequest {
    fn time_left(&self) -> Duration {
        self.ends_at.saturating_sub(monotonic())
    }
}

/// The attempts at one request so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    pub(crate) excluded: Vec<TargetId>,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    /// Attempts that certainly did not.
    pub(crate) unrun: usize,
}

/// A target's answer with the slot that it occupies.
pub(crate) struct RunningAttempt {
    pub(crate) response: TargetResponse,
    pub(crate) lease: SlotLease,
}

impl GatewayCore {
    /// Forwards a request of a caller.
    pub(crate) async fn forward(
        self: &Rc<Self>,
        request: ForwardedRequest,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let admitted = self.admit(request)?;
        let workspace = admitted.workspace.clone();
        let left = admitted.time_left();
        let mut log = AttemptHistory::default();
        let answer = tokio::time::timeout(left, self.answer(admitted, &mut log)).await;
        let answer = answer.unwrap_or_else(|_| {
            let reason = if log.runs == 0 { RefusalReason::Busy } else { RefusalReason::TimedOut };
            Err(GatewayRefusal::of(reason))
        });
        if let (Err(refusal), Some(workspace)) = (&answer, &workspace)
            && refusal.reason.is_not_run()
        {
            self.refund_quota(workspace);
        }
        answer
    }

    fn admit(&self, request: ForwardedRequest) -> Result<AdmittedRequest, GatewayRefusal> {
        if self.is_refusing() {
            return Err(GatewayRefusal::of(RefusalReason::Stopping));
        }
        let catalog = self.catalog().ok_or(GatewayRefusal::of(RefusalReason::NotConfigured))?;
        let found = catalog.find(&request.host, &request.path, request.key.as_ref());
        let found = found.map_err(|miss| match miss {
            RouteMiss::NoRoute => GatewayRefusal::of(RefusalReason::NoRoute),
            RouteMiss::BadKey => GatewayRefusal::of(RefusalReason::BadKey),
        })?;
        if let Some(workspace) = found.workspace {
            self.spend_quota(workspace).map_err(|retry_after| GatewayRefusal {
                reason: RefusalReason::OverQuota,
                retry_after: Some(retry_after),
            })?;
        }
        let service = RouteCatalog::pick_service(found.route, rand::random());
        let service = service.ok_or(GatewayRefusal::of(RefusalReason::NoTarget))?.clone();
        let limit = request
            .caller_timeout
            .map_or(found.route.timeout, |left| left.min(found.route.timeout));
        Ok(AdmittedRequest {
            ends_at: request.received_at + limit,
            order: request.received_at,
            urgent_at: None,
            service,
            workspace: found.workspace.map(|workspace| workspace.name.clone()),
            class: RequestClass::Online,
            rank: found.rank(),
            config_version: catalog.version(),
            route: std::sync::Arc::clone(found.route),
            request,
        })
    }

    async fn answer(
        self: &Rc<Self>,
        admitted: AdmittedRequest,
        log: &mut AttemptHistory,
    ) -> Result<ForwardResponse, GatewayRefusal> {
        let aim = admitted.route.latency_aim.mul_f64(WAIT_PART);
        let place_by = (admitted.request.received_at + aim).min(admitted.ends_at);
        loop {
            let attempt =
                self.attempt(&admitted, log, place_by, admitted.request.last_event).await?;
            if attempt.response.has_events && attempt.response.status.is_success() {
                if let Some(answer) = self.begin_stream(&admitted, attempt, log).await? {
                    return Ok(answer);
                }
            } else if let Some(answer) = self.read_whole(&admitted, attempt, log).await? {
                return Ok(answer);
            }
        }
    }

    /// Makes attempts until a target runs the request.
    pub(crate) async fn attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        log: &mut AttemptHistory,
        place_by: Duration,
        resume_after: Option<u64>,
    ) -> Result<RunningAttempt, GatewayRefusal> {
        loop {
            let lease = self.acquire(need_of(admitted, log, place_by)).await;
            let lease = lease.map_err(|refusal| refuse(admitted, log, refusal))?;
            let Some(target) = self.target(lease.target()) else {
                lease.release(SlotUse::Misdirected);
                continue;
            };
            let attempt = TargetAttempt {
                request: &admitted.request,
                target: &target,
                workspace: admitted.workspace.as_ref(),
                time_left: admitted.time_left(),
                resume_after,
            };
            // Counted before it is sent: a request that is dropped meanwhile may have run.
            log.runs += 1;
            let sent_at = monotonic();
            let outcome = self.transport.send(attempt).await;
            self.log_attempt(admitted, &target, log, sent_at, &outcome);
            match outcome {
                Ok(response) if response.meaning == ResponseMeaning::Ran => {
                    return Ok(RunningAttempt { response, lease });
                }
                Ok(response) => Self::count_unrun(lease, &response, log),
                Err(SendError::NotSent(_)) => {
                    log.runs -= 1;
                    log.unrun += 1;
                    log.excluded.push(lease.target().clone());
                    lease.release(SlotUse::Failed);
                }
                Err(SendError::Lost(_)) => {
                    log.excluded.push(lease.target().clone());
                    lease.release(SlotUse::Failed);
                }
            }
            check_attempts(admitted, log)?;
        }
    }

    fn count_unrun(lease: SlotLease, response: &TargetResponse, log: &mut AttemptHistory) {
        let usage = match response.meaning {
            ResponseMeaning::NotRun => SlotUse::Full,
            ResponseMeaning::Misdirected => SlotUse::Misdirected,
            ResponseMeaning::Ran | ResponseMeaning::Foreign => SlotUse::Failed,
        };
        if response.meaning != ResponseMeaning::Foreign {
            log.runs -= 1;
            log.unrun += 1;
        }
        log.excluded.push(lease.target().clone());
        lease.release(usage);
    }

    /// Waits for the first event, so that a stream that breaks before it can be asked for again.
    async fn begin_stream(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        mut attempt: RunningAttempt,
        log: &mut AttemptHistory,
    ) -> Result<Option<ForwardResponse>, GatewayRefusal> {
        let first = match attempt.response.body.next().await {
            Some(Ok(first)) => first,
            broken => {
                let reason = broken.map_or("ended without an event".to_owned(), |part| {
                    part.map_or_else(|error| error.to_string(), |_| String::new())
                });
                self.log_break(admitted, &attempt, &reason);
                log.excluded.push(attempt.lease.target().clone());
                attempt.lease.release(SlotUse::Failed);
                return check_repeat(admitted, log).map(|()| None);
            }
        };
        self.metrics.count_first_event(admitted, monotonic());
        let (parts, receiver) = mpsc::channel(BODY_QUEUE);
        let answer = ForwardResponse {
            status: attempt.response.status,
            headers: std::mem::take(&mut attempt.response.headers),
            body: ResponseBody::Parts(receiver),
        };
        let pump = StreamPump {
            core: Rc::clone(self),
            _running: self.count_running(),
            admitted: admitted.copy(),
            log: std::mem::take(log),
            last_event: admitted.request.last_event,
            splitter: EventSplitter::default(),
            parts,
        };
        tokio::task::spawn_local(pump.run(attempt, first));
        Ok(Some(answer))
    }

    async fn read_whole(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        mut attempt: RunningAttempt,
        log: &mut AttemptHistory,
    ) -> Result<Option<ForwardResponse>, GatewayRefusal> {
        let mut whole = BytesMut::new();
        let body = loop {
            match attempt.response.body.next().await {
                Some(Ok(part)) => whole.extend_from_slice(&part),
                None => break ResponseBody::Whole(whole.freeze()),
                Some(Err(error)) => {
                    self.log_break(admitted, &attempt, &error.to_string());
                    log.excluded.push(attempt.lease.target().clone());
                    attempt.lease.release(SlotUse::Failed);
                    return check_repeat(admitted, log).map(|()| None);
                }
            }
            if whole.len() > WHOLE_ANSWER_BYTES {
                let status = attempt.response.status;
                let headers = std::mem::take(&mut attempt.response.headers);
                let body = self.pass_on(admitted, attempt, whole.freeze());
                return Ok(Some(ForwardResponse { status, headers, body }));
            }
        };
        let failed = attempt.response.status.is_server_error();
        let (status, headers) = (attempt.response.status, attempt.response.headers);
        if failed {
            log.excluded.push(attempt.lease.target().clone());
        }
        attempt.lease.release(SlotUse::Answered);
        // A target's own failure is worth another one where the request may run again.
        if failed && admitted.route.class.may_repeat() && log.runs < admitted.route.most_attempts {
            return Ok(None);
        }
        Ok(Some(ForwardResponse { status, headers, body }))
    }

    /// Passes a large answer on as it arrives.
    fn pass_on(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        attempt: RunningAttempt,
        first: Bytes,
    ) -> ResponseBody {
        let (parts, receiver) = mpsc::channel(BODY_QUEUE);
        let ends_at = admitted.ends_at;
        let running = self.count_running();
        tokio::task::spawn_local(async move {
            let _running = running;
            let RunningAttempt { response, lease } = attempt;
            let mut body = response.body;
            let mut part = Some(Ok(first));
            while let Some(next) = part {
                let broken = next.is_err();
                if parts.send(next).await.is_err() || broken {
                    return lease.release(if broken {
                        SlotUse::Failed
                    } else {
                        SlotUse::Cancelled
                    });
                }
                let left = ends_at.saturating_sub(monotonic());
                part = tokio::select! {
                    () = parts.closed() => return lease.release(SlotUse::Cancelled),
                    part = tokio::time::timeout(left, body.next()) => part.unwrap_or_else(|_| {
                        Some(Err(SendError::Lost("the caller's time is over".into())))
                    }),
                };
            }
            lease.release(SlotUse::Answered);
        });
        ResponseBody::Parts(receiver)
    }
}

impl AdmittedRequest {
    fn copy(&self) -> Self {
        Self {
            request: self.request.clone(),
            route: std::sync::Arc::clone(&self.route),
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            ..*self
        }
    }
}

fn need_of(admitted: &AdmittedRequest, log: &AttemptHistory, place_by: Duration) -> SlotNeed {
    let prefix = admitted.request.demand.as_ref().and_then(TokenDemand::shared_prefix);
    // A request that failed once is late already; it is placed as long as its caller waits.
    let place_by = if log.runs + log.unrun as u32 > 0 { admitted.ends_at } else { place_by };
    SlotNeed {
        service: admitted.service.clone(),
        class: admitted.class,
        rank: admitted.rank,
        prefix,
        excluded: log.excluded.clone(),
        order: admitted.order,
        place_by,
        urgent_at: admitted.urgent_at,
    }
}

fn refuse(
    admitted: &AdmittedRequest,
    log: &AttemptHistory,
    refusal: SlotRefusal,
) -> GatewayRefusal {
    if log.runs > 0 {
        return GatewayRefusal::of(RefusalReason::Failed);
    }
    let reason = if refusal.has_targets { RefusalReason::Busy } else { RefusalReason::NoTarget };
    let most = admitted.time_left().mul_f64(RETRY_PART);
    // Callers that are refused together must not come back together.
    let spread = 1.0 + rand::random::<f64>() * 0.5;
    let retry_after = refusal.retry_after.mul_f64(spread).min(most);
    GatewayRefusal { reason, retry_after: Some(retry_after) }
}

fn check_attempts(admitted: &AdmittedRequest, log: &AttemptHistory) -> Result<(), GatewayRefusal> {
    if log.unrun > MOST_UNRUN_ATTEMPTS {
        let reason = if log.runs == 0 { RefusalReason::Busy } else { RefusalReason::Failed };
        return Err(GatewayRefusal::of(reason));
    }
    if log.runs > 0 { check_repeat(admitted, log) } else { Ok(()) }
}

/// Whether a request that may have run may be sent again.
fn check_repeat(admitted: &AdmittedRequest, log: &AttemptHistory) -> Result<(), GatewayRefusal> {
    if admitted.route.class.may_repeat() && log.runs < admitted.route.most_attempts {
        return Ok(());
    }
    Err(GatewayRefusal::of(RefusalReason::Failed))
}

/// Passes the events of a stream on and resumes it at another target when it breaks.
struct StreamPump {
    core: Rc<GatewayCore>,
    _running: RunningCount,
    admitted: AdmittedRequest,
    log: AttemptHistory,
    last_event: Option<u64>,
    splitter: EventSplitter,
    parts: mpsc::Sender<Result<Bytes, SendError>>,
}

enum PumpStep {
    Part(Option<Result<Bytes, SendError>>),
    CallerLeft,
    TimeOver,
}

impl StreamPump {
    async fn run(mut self, attempt: RunningAttempt, first: Bytes) {
        let mut attempt = attempt;
        let mut next = PumpStep::Part(Some(Ok(first)));
        loop {
            match next {
                PumpStep::Part(Some(Ok(bytes))) => {
                    if !self.pass_events(&bytes).await {
                        return self.end(attempt.lease, SlotUse::Cancelled, "caller_left");
                    }
                }
                PumpStep::Part(None) => {
                    self.flush().await;
                    return self.end(attempt.lease, SlotUse::Answered, "complete");
                }
                PumpStep::Part(Some(Err(error))) => {
                    self.core.log_break(&self.admitted, &attempt, &error.to_string());
                    self.log.excluded.push(attempt.lease.target().clone());
                    attempt.lease.release(SlotUse::Failed);
                    match self.resume().await {
                        Some(resumed) => attempt = resumed,
                        None => return self.fail(error).await,
                    }
                }
                PumpStep::CallerLeft => {
                    return self.end(attempt.lease, SlotUse::Cancelled, "caller_left");
                }
                PumpStep::TimeOver => {
                    self.end(attempt.lease, SlotUse::Cancelled, "time_over");
                    return self.fail(SendError::Lost("the time is over".into())).await;
                }
            }
            next = self.step(&mut attempt).await;
        }
    }

    async fn step(&self, attempt: &mut RunningAttempt) -> PumpStep {
        tokio::select! {
            biased;
            part = attempt.response.body.next() => PumpStep::Part(part),
            () = self.parts.closed() => PumpStep::CallerLeft,
            () = tokio::time::sleep(self.admitted.time_left()) => PumpStep::TimeOver,
        }
    }

    /// Passes whole events on; false if the caller has left.
    async fn pass_events(&mut self, bytes: &[u8]) -> bool {
        self.splitter.push(bytes);
        while let Some(event) = self.splitter.next_event() {
            if self.parts.send(Ok(event.raw)).await.is_err() {
                return false;
            }
            self.last_event = event.id.or(self.last_event);
        }
        true
    }

    /// Passes on what follows the last whole event of a whole answer.
    async fn flush(&mut self) {
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            // A caller that has left needs nothing more.
            let _ = self.parts.send(Ok(rest)).await;
        }
    }

    /// Goes on after the last event at another target, within the same answer.
    async fn resume(&mut self) -> Option<RunningAttempt> {
        self.splitter = EventSplitter::default();
        let core = Rc::clone(&self.core);
        loop {
            check_repeat(&self.admitted, &self.log).ok()?;
            let ends_at = self.admitted.ends_at;
            let attempt = core.attempt(&self.admitted, &mut self.log, ends_at, self.last_event);
            let attempt = tokio::select! {
                attempt = attempt => attempt.ok()?,
                () = self.parts.closed() => return None,
                () = tokio::time::sleep(self.admitted.time_left()) => return None,
            };
            if attempt.response.has_events && attempt.response.status.is_success() {
                return Some(attempt);
            }
            self.log.excluded.push(attempt.lease.target().clone());
            attempt.lease.release(SlotUse::Failed);
        }
    }

    fn end(&self, lease: SlotLease, usage: SlotUse, outcome: &str) {
        self.core.log_stream_end(&self.admitted, lease.target(), outcome, self.last_event);
        lease.release(usage);
    }

    async fn fail(&self, error: SendError) {
        // A caller that has left needs no error.
        let _ = self.parts.send(Err(error)).await;
    }
}
