//! One answer from its request to its last token, over as many targets as it takes.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;

use crate::clock::monotonic;
use crate::configuration::KeyHash;
use crate::ids::{ModelName, TargetId, WorkspaceId};
use crate::routing::acquire::{LeaseGuard, LeaseUse, acquire};
use crate::scheduling::RequestClass;
use crate::scheduling::messages::{AcquireRefusal, LeaseOutcome, RequestDemand};
use crate::targets::{GenerateRequest, TargetError, TokenEvent, TokenEvents};
use crate::vm::VmContext;

/// An answer is given up after it failed on this many targets.
const MOST_FAILURES: usize = 3;
/// A request that was not sent is tried this often; batch items are tried for as long as it takes.
const MOST_UNREACHABLE: usize = 6;
/// A refusal because of overload is borne this often.
const MOST_OVERLOADS: usize = 8;
/// Prompts shorter than this are not worth caching.
const PREFIX_BYTES: usize = 256;
const BYTES_PER_TOKEN: usize = 4;

/// A request for an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerRequest {
    /// The class.
    pub(crate) class: RequestClass,
    /// The workspace.
    pub(crate) workspace: WorkspaceId,
    /// The key that has to stay valid while the answer runs; `None` for batch items.
    pub(crate) key: Option<KeyHash>,
    /// The model.
    pub(crate) model: ModelName,
    /// The prompt.
    pub(crate) prompt: String,
    /// The most tokens to generate.
    pub(crate) max_tokens: u32,
    /// How long to wait for a target, each time one is needed.
    pub(crate) wait: Duration,
    /// Order among the workspace's requests, lowest first.
    pub(crate) order: i64,
}

/// Why an answer could not be given or went no further.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AnswerError {
    /// Every target stayed busy.
    #[error("every target is busy")]
    Busy,
    /// No target can serve such a request.
    #[error("no target can serve such a request")]
    NoTarget,
    /// The key was withdrawn.
    #[error("the key was withdrawn")]
    KeyWithdrawn,
    /// A target refused the request for good.
    #[error("the target refused the request: {0}")]
    Rejected(String),
    /// Several targets broke the answer off.
    #[error("{0} targets broke the answer off; the last one: {1}")]
    Failed(usize, String),
}

struct RunningAnswer {
    lease: LeaseGuard,
    events: TokenEvents,
    start_id: u64,
    began_with: u32,
    first_at: Option<Duration>,
    last_at: Duration,
}

/// One answer. Dropping it cancels the request at the target.
pub(crate) struct AnswerSession {
    context: Rc<VmContext>,
    request: AnswerRequest,
    generated: String,
    tokens: u32,
    failed_on: Vec<TargetId>,
    overloads: usize,
    unreachable: usize,
    reached_target: bool,
    withdrawn_at: Option<Duration>,
    running: Option<RunningAnswer>,
}

enum SessionStep {
    Event(Option<Result<TokenEvent, TargetError>>),
    Revoked,
    KeyWithdrawn,
}

impl AnswerSession {
    /// Prepares an answer; nothing happens before [`Self::next`].
    pub(crate) fn open(context: &Rc<VmContext>, request: AnswerRequest) -> Self {
        Self {
            context: Rc::clone(context),
            request,
            generated: String::new(),
            tokens: 0,
            failed_on: Vec::new(),
            overloads: 0,
            unreachable: 0,
            reached_target: false,
            withdrawn_at: None,
            running: None,
        }
    }

    /// Whether a target may have worked on the request.
    pub(crate) fn reached_target(&self) -> bool {
        self.reached_target
    }

    /// Tokens generated so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The text generated so far.
    pub(crate) fn text(&self) -> &str {
        &self.generated
    }

    /// The next event. An answer that broke off or lost its lease goes on elsewhere where it stopped.
    pub(crate) async fn next(&mut self) -> Result<TokenEvent, AnswerError> {
        loop {
            if self.running.is_none() {
                self.start().await?;
                continue;
            }
            match self.step().await {
                SessionStep::Event(Some(Ok(event))) => return Ok(self.take_event(event)),
                SessionStep::Event(Some(Err(error))) => self.fail(&error)?,
                SessionStep::Event(None) => self.fail(&TargetError::Broken("cut off".into()))?,
                SessionStep::Revoked => self.finish(LeaseOutcome::Cancelled),
                SessionStep::KeyWithdrawn => {
                    self.finish(LeaseOutcome::Cancelled);
                    return Err(AnswerError::KeyWithdrawn);
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
            () = withdrawn(&context, key, withdrawn_at) => SessionStep::KeyWithdrawn,
            event = running.events.next() => SessionStep::Event(event),
            () = running.lease.revoked() => SessionStep::Revoked,
        }
    }

    async fn start(&mut self) -> Result<(), AnswerError> {
        let weight = self.checked_weight()?;
        let demand = self.demand(weight);
        let context = Rc::clone(&self.context);
        let mut ignored = Some(Duration::ZERO);
        let acquired =
            acquire(&context, &self.request.model, &demand, &self.failed_on, self.request.wait);
        let lease = tokio::select! {
            lease = acquired => lease,
            () = withdrawn(&context, self.request.key, &mut ignored) => {
                return Err(AnswerError::KeyWithdrawn);
            }
        };
        let lease = lease.map_err(|refusal| match refusal {
            AcquireRefusal::NoCapableTarget if self.failed_on.is_empty() => AnswerError::NoTarget,
            AcquireRefusal::NoCapableTarget => self.exhausted("no other target is left"),
            AcquireRefusal::Busy | AcquireRefusal::NotOwner | AcquireRefusal::DataCentreOut => {
                AnswerError::Busy
            }
        })?;
        self.generate(lease).await
    }

    async fn generate(&mut self, lease: LeaseGuard) -> Result<(), AnswerError> {
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
                lease.report_start(stream.start_id);
                self.reached_target = true;
                self.running = Some(RunningAnswer {
                    lease,
                    events: stream.events,
                    start_id: stream.start_id,
                    began_with: self.tokens,
                    first_at: None,
                    last_at: Duration::ZERO,
                });
                Ok(())
            }
            Err(TargetError::Rejected(reason)) => {
                self.reached_target = true;
                lease.release(LeaseUse::of(LeaseOutcome::Cancelled));
                Err(AnswerError::Rejected(reason))
            }
            Err(TargetError::Overloaded) => {
                lease.release(LeaseUse::of(LeaseOutcome::Overloaded));
                self.overloads += 1;
                if self.overloads > MOST_OVERLOADS { Err(AnswerError::Busy) } else { Ok(()) }
            }
            Err(error) => {
                self.reached_target |= error != TargetError::NotSent;
                let target = lease.target().clone();
                lease.release(LeaseUse::of(LeaseOutcome::TargetFailed));
                self.count_failure(target, &error)
            }
        }
    }

    /// The workspace's weight; fails when the key is not valid any more.
    fn checked_weight(&self) -> Result<f64, AnswerError> {
        let workspace = &self.request.workspace;
        let key = self.request.key;
        self.context.shared.with_config(|config| {
            let valid = key.is_none_or(|key| {
                config.workspace_of(&key).is_some_and(|entry| entry.workspace == *workspace)
            });
            if !valid {
                return Err(AnswerError::KeyWithdrawn);
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

    fn take_event(&mut self, event: TokenEvent) -> TokenEvent {
        match &event {
            TokenEvent::Token(text) => {
                self.generated.push_str(text);
                self.tokens += 1;
                if let Some(running) = &mut self.running {
                    let now = monotonic();
                    running.first_at.get_or_insert(now);
                    running.last_at = now;
                }
            }
            TokenEvent::Done(_) => self.finish(LeaseOutcome::Completed),
        }
        event
    }

    fn finish(&mut self, outcome: LeaseOutcome) {
        let Some(running) = self.running.take() else { return };
        // The stream goes first, so that the target has been cancelled when the lease is returned.
        drop(running.events);
        let tokens = self.tokens - running.began_with;
        let spread = running.first_at.map(|first| running.last_at.saturating_sub(first));
        let intervals = tokens.saturating_sub(1);
        let micros = spread.map_or(0, |spread| spread.as_micros() as u32);
        let token_micros = micros.checked_div(intervals).unwrap_or(0);
        running.lease.release(LeaseUse {
            outcome,
            tokens,
            token_micros,
            start_id: running.start_id,
        });
    }

    fn fail(&mut self, error: &TargetError) -> Result<(), AnswerError> {
        let target = self.running.as_ref().map(|running| running.lease.target().clone());
        self.finish(LeaseOutcome::TargetFailed);
        match target {
            Some(target) => self.count_failure(target, error),
            None => Ok(()),
        }
    }

    fn count_failure(&mut self, target: TargetId, error: &TargetError) -> Result<(), AnswerError> {
        log::info!("routing: Target `{target}` failed a request: {error}.");
        let online = self.request.class == RequestClass::Online;
        // Only a target that worked on the request says something about the request.
        if *error == TargetError::NotSent {
            self.unreachable += 1;
        } else {
            self.failed_on.push(target);
        }
        let given_up = online && self.unreachable >= MOST_UNREACHABLE;
        let budget = !online || self.context.shared.retry_budget().spend();
        if self.failed_on.len() >= MOST_FAILURES || given_up || !budget {
            return Err(self.exhausted(&error.to_string()));
        }
        Ok(())
    }

    fn exhausted(&self, last: &str) -> AnswerError {
        AnswerError::Failed(self.failed_on.len() + self.unreachable, last.to_owned())
    }
}

impl LeaseUse {
    /// A use without an answer.
    pub(crate) fn of(outcome: LeaseOutcome) -> Self {
        Self { outcome, tokens: 0, token_micros: 0, start_id: 0 }
    }
}

/// Waits until `key` was withdrawn and its grace is over. `since` keeps the time of the withdrawal over
/// several calls.
async fn withdrawn(context: &VmContext, key: Option<KeyHash>, since: &mut Option<Duration>) {
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
