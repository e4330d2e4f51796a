//! One inference from its request to the last token, across several targets if some of them fail.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::ids::{ModelName, TargetId, WorkspaceId};
use crate::routing::acquire::{LeaseGuard, LeaseUsage, acquire};
use crate::scheduling::RequestClass;
use crate::scheduling::messages::{AcquireRefusal, LeaseOutcome, RequestDemand};
use crate::targets::{GenerateRequest, TargetError, TokenEvent, TokenEvents};
use crate::vm::VmContext;

/// Number of targets on which an inference may fail before it is aborted.
const MAX_FAILED_TARGETS: usize = 3;
/// Maximum number of attempts of an online request that could not be sent to a target. Batch items are
/// retried without limit.
const MAX_UNSENT_ATTEMPTS: usize = 6;
/// Maximum number of refusals because of overload that are retried.
const MAX_OVERLOAD_REFUSALS: usize = 8;
/// Length of the prefix that identifies a cached prompt; shorter prompts are not worth caching.
const PREFIX_BYTES: usize = 256;
/// Estimated prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Request for an inference.
#[derive(Clone, Debug)]
pub(crate) struct InferenceRequest {
    /// The class of the request.
    pub(crate) class: RequestClass,
    /// The workspace that the request belongs to.
    pub(crate) workspace: WorkspaceId,
    /// The key that has to stay valid during the inference; `None` for batch items.
    pub(crate) key: Option<KeyHash>,
    /// The model.
    pub(crate) model: ModelName,
    /// The prompt.
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Maximum time to wait for a target, each time one is needed.
    pub(crate) wait: Duration,
    /// Order among the requests of the workspace, lowest first.
    pub(crate) order: i64,
}

/// Reason why an inference failed. The messages are part of responses to callers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum InferenceError {
    /// All targets stayed busy, or none was available in time.
    #[error("every target is busy")]
    Busy,
    /// No target can serve a request of this model and size.
    #[error("no target can serve such a request")]
    NoTarget,
    /// The key was withdrawn.
    #[error("the key was withdrawn")]
    KeyWithdrawn,
    /// A target rejected the request; it is not retried on another one.
    #[error("the target refused the request: {0}")]
    Rejected(String),
    /// Several targets failed or could not be reached: their number and the last error.
    #[error("{0} targets broke the answer off; the last one: {1}")]
    Failed(usize, String),
}

struct RunningInference {
    lease: LeaseGuard,
    events: TokenEvents,
    start_id: u64,
    initial_tokens: u32,
    first_token_at: Option<Duration>,
    last_token_at: Duration,
}

/// One inference. Dropping it cancels the request at the target.
pub(crate) struct InferenceSession {
    context: Rc<VmContext>,
    request: InferenceRequest,
    generated: String,
    tokens: u32,
    failed_targets: Vec<TargetId>,
    overload_refusals: usize,
    unsent_attempts: usize,
    reached_target: bool,
    withdrawn_at: Option<Duration>,
    running: Option<RunningInference>,
}

enum SessionStep {
    Event(Option<Result<TokenEvent, TargetError>>),
    Revoked,
    KeyWithdrawn,
}

impl InferenceSession {
    /// Returns a session that starts with the first call of [`Self::next`].
    pub(crate) fn open(context: &Rc<VmContext>, request: InferenceRequest) -> Self {
        Self {
            context: Rc::clone(context),
            request,
            generated: String::new(),
            tokens: 0,
            failed_targets: Vec::new(),
            overload_refusals: 0,
            unsent_attempts: 0,
            reached_target: false,
            withdrawn_at: None,
            running: None,
        }
    }

    /// Returns whether a target may have executed the request.
    pub(crate) fn reached_target(&self) -> bool {
        self.reached_target
    }

    /// Returns the number of tokens generated so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the text generated so far.
    pub(crate) fn text(&self) -> &str {
        &self.generated
    }

    /// Returns the next event. A response that broke off or whose lease was revoked is resumed on
    /// another lease after its last token.
    pub(crate) async fn next(&mut self) -> Result<TokenEvent, InferenceError> {
        loop {
            if self.running.is_none() {
                self.start().await?;
                continue;
            }
            match self.step().await {
                SessionStep::Event(Some(Ok(event))) => return Ok(self.apply_event(event)),
                SessionStep::Event(Some(Err(error))) => self.fail(&error)?,
                SessionStep::Event(None) => self.fail(&TargetError::Broken("cut off".into()))?,
                SessionStep::Revoked => self.finish(LeaseOutcome::Cancelled),
                SessionStep::KeyWithdrawn => {
                    self.finish(LeaseOutcome::Cancelled);
                    return Err(InferenceError::KeyWithdrawn);
                }
            }
        }
    }

    async fn step(&mut self) -> SessionStep {
        let context = Rc::clone(&self.context);
        let key = self.request.key;
        let withdrawn_at = &mut self.withdrawn_at;
        let Some(running) = &mut self.running else { return SessionStep::Event(None) };
        tokio::select! {
            biased;
            () = wait_for_withdrawal(&context, key, withdrawn_at) => SessionStep::KeyWithdrawn,
            event = running.events.next() => SessionStep::Event(event),
            () = running.lease.revoked() => SessionStep::Revoked,
        }
    }

    async fn start(&mut self) -> Result<(), InferenceError> {
        let weight = self.checked_weight()?;
        let demand = self.demand(weight);
        let context = Rc::clone(&self.context);
        // A withdrawal at time zero skips the grace period: no response is running yet.
        let mut withdrawn_at = Some(Duration::ZERO);
        let acquired = acquire(
            &context,
            &self.request.model,
            &demand,
            &self.failed_targets,
            self.request.wait,
        );
        let lease = tokio::select! {
            lease = acquired => lease,
            () = wait_for_withdrawal(&context, self.request.key, &mut withdrawn_at) => {
                return Err(InferenceError::KeyWithdrawn);
            }
        };
        let lease = lease.map_err(|refusal| match refusal {
            AcquireRefusal::NoCapableTarget if self.failed_targets.is_empty() => {
                InferenceError::NoTarget
            }
            AcquireRefusal::NoCapableTarget => self.failed_error("no other target is left"),
            AcquireRefusal::Busy | AcquireRefusal::NotOwner | AcquireRefusal::DataCentreOut => {
                InferenceError::Busy
            }
        })?;
        self.generate(lease).await
    }

    async fn generate(&mut self, lease: LeaseGuard) -> Result<(), InferenceError> {
        let request = GenerateRequest {
            request_id: uuid::Uuid::new_v4().simple().to_string(),
            model: self.request.model.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            generated: self.generated.clone(),
            generated_tokens: self.tokens,
        };
        let engines = Rc::clone(&self.context.engines);
        match engines.generate(lease.address(), &request).await {
            Ok(stream) => {
                lease.report_response_start(stream.start_id);
                self.reached_target = true;
                self.running = Some(RunningInference {
                    lease,
                    events: stream.events,
                    start_id: stream.start_id,
                    initial_tokens: self.tokens,
                    first_token_at: None,
                    last_token_at: Duration::ZERO,
                });
                Ok(())
            }
            Err(TargetError::Rejected(reason)) => {
                self.reached_target = true;
                lease.release(LeaseUsage::without_response(LeaseOutcome::Cancelled));
                Err(InferenceError::Rejected(reason))
            }
            Err(TargetError::Overloaded) => {
                lease.release(LeaseUsage::without_response(LeaseOutcome::Overloaded));
                self.overload_refusals += 1;
                if self.overload_refusals > MAX_OVERLOAD_REFUSALS {
                    Err(InferenceError::Busy)
                } else {
                    Ok(())
                }
            }
            Err(error) => {
                self.reached_target |= error != TargetError::NotSent;
                let target = lease.target().clone();
                lease.release(LeaseUsage::without_response(LeaseOutcome::TargetFailed));
                self.record_failure(target, &error)
            }
        }
    }

    /// Returns the weight of the workspace, or an error if the key is no longer valid.
    fn checked_weight(&self) -> Result<f64, InferenceError> {
        let workspace = &self.request.workspace;
        let key = self.request.key;
        self.context.shared.with_config(|config| {
            let valid = key.is_none_or(|key| {
                config.workspace_of(&key).is_some_and(|entry| entry.workspace == *workspace)
            });
            if !valid {
                return Err(InferenceError::KeyWithdrawn);
            }
            Ok(config.workspace(workspace).map_or(1.0, |entry| entry.weight))
        })
    }

    fn demand(&self, weight: f64) -> RequestDemand {
        let prompt = &self.request.prompt;
        let prefix = prompt.as_bytes().get(..PREFIX_BYTES);
        RequestDemand {
            class: self.request.class,
            workspace: self.request.workspace.clone(),
            weight: weight as f32,
            prompt_tokens: (prompt.len() / BYTES_PER_TOKEN + 1) as u32 + self.tokens,
            answer_tokens: self.request.max_tokens.saturating_sub(self.tokens),
            prefix: prefix.map(xxhash_rust::xxh3::xxh3_64),
            order: self.request.order,
        }
    }

    fn apply_event(&mut self, event: TokenEvent) -> TokenEvent {
        match &event {
            TokenEvent::Token(text) => {
                self.generated.push_str(text);
                self.tokens += 1;
                if let Some(running) = &mut self.running {
                    let now = monotonic();
                    running.first_token_at.get_or_insert(now);
                    running.last_token_at = now;
                }
            }
            TokenEvent::Done(_) => self.finish(LeaseOutcome::Completed),
        }
        event
    }

    fn finish(&mut self, outcome: LeaseOutcome) {
        let Some(running) = self.running.take() else { return };
        // Dropping the stream cancels the request at the target; the lease must be returned after that.
        drop(running.events);
        let tokens = self.tokens - running.initial_tokens;
        let spread =
            running.first_token_at.map(|first| running.last_token_at.saturating_sub(first));
        let intervals = tokens.saturating_sub(1);
        let micros = spread.map_or(0, |spread| spread.as_micros() as u32);
        let token_micros = micros.checked_div(intervals).unwrap_or(0);
        running.lease.release(LeaseUsage {
            outcome,
            tokens,
            token_micros,
            start_id: running.start_id,
        });
    }

    fn fail(&mut self, error: &TargetError) -> Result<(), InferenceError> {
        let target = self.running.as_ref().map(|running| running.lease.target().clone());
        self.finish(LeaseOutcome::TargetFailed);
        match target {
            Some(target) => self.record_failure(target, error),
            None => Ok(()),
        }
    }

    fn record_failure(
        &mut self,
        target: TargetId,
        error: &TargetError,
    ) -> Result<(), InferenceError> {
        log::info!("routing: Request failed on target `{target}`: {error}.");
        let online = self.request.class == RequestClass::Online;
        // A target that never got the request may be tried again; others are excluded from retries.
        if *error == TargetError::NotSent {
            self.unsent_attempts += 1;
        } else {
            self.failed_targets.push(target);
        }
        let is_unreachable = online && self.unsent_attempts >= MAX_UNSENT_ATTEMPTS;
        let may_retry = !online || self.context.shared.retry_budget().try_acquire();
        if self.failed_targets.len() >= MAX_FAILED_TARGETS || is_unreachable || !may_retry {
            return Err(self.failed_error(&error.to_string()));
        }
        Ok(())
    }

    fn failed_error(&self, last: &str) -> InferenceError {
        InferenceError::Failed(self.failed_targets.len() + self.unsent_attempts, last.to_owned())
    }
}

impl LeaseUsage {
    /// Returns the usage of a lease without a response.
    pub(crate) fn without_response(outcome: LeaseOutcome) -> Self {
        Self { outcome, tokens: 0, token_micros: 0, start_id: 0 }
    }
}

/// Waits until `key` is withdrawn and its grace period is over. `since` keeps the time of the
/// withdrawal across calls.
async fn wait_for_withdrawal(
    context: &VmContext,
    key: Option<KeyHash>,
    since: &mut Option<Duration>,
) {
    let Some(key) = key else { return std::future::pending().await };
    let mut versions = context.shared.config_versions();
    while context.shared.with_config(|config| config.workspace_of(&key).is_some()) {
        if versions.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
    let since = *since.get_or_insert_with(monotonic);
    let end = since + context.settings().online.withdrawn_grace;
    tokio::time::sleep(end.saturating_sub(monotonic())).await;
}
