//! Runs the items of a batch job on its leader and commits their results to the store.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::clock::monotonic;
use crate::gateway::catalog::RouteCatalog;
use crate::gateway::events::EventSplitter;
use crate::gateway::forward::{AdmittedRequest, AttemptHistory, RunningAttempt};
use crate::gateway::job_records::{
    JOB_TABLE, JobEntry, JobItem, JobItemResult, JobName, PARTIAL_TABLE, PartialOutput,
    RESULT_TABLE, SavedProgress, decode, encode, write_chunks,
};
use crate::gateway::job_service::JobInputs;
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::memory::MemoryKind;
use crate::placement::slots::SlotOutcome;
use crate::platform::rows::{RowError, RowTransaction};
use crate::scheduling::RequestClass;

/// Delay before retrying an item that got no target or whose attempt failed to start.
const ITEM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which an item checks whether its prompt may still crash targets.
const QUARANTINE_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Resumes an item on another target after no data for this long. A target with a full batch emits
/// an event every few tens of milliseconds.
const ITEM_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before retrying a commit whose outcome is unknown.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// An item is critical when the time until it is due is below this multiple of its estimated remaining
/// run time. The factor is above 1 because the item may be preempted in between.
const CRITICAL_FACTOR: f64 = 1.6;
/// Sorts overdue items behind all items that can still finish on time.
const OVERDUE_PENALTY: Duration = Duration::from_hours(1);
/// Window before an item expires in which an overdue item goes first again.
const FINAL_ATTEMPT_WINDOW: Duration = Duration::from_secs(15);
/// Interval at which output of running items is written; losing the leader loses at most about this
/// much work per item.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Limits of one commit. The store accepts at most 1 MB and 100 rows per transaction.
const MAX_COMMIT_RESULTS: usize = 30;
const MAX_COMMIT_BYTES: usize = 500_000;
/// Limit for the output of an item, which must fit into one transaction of 1 MB in base64.
const MAX_OUTPUT_BYTES: usize = 700_000;

/// Final outcome of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemOutcome {
    /// The whole output.
    Completed(Vec<u8>),
    /// The reason, as written to logs and metrics.
    GivenUp(&'static str),
}

/// State of a job from which its leader starts.
pub(crate) struct LeaderState {
    pub(crate) job: JobName,
    pub(crate) entry: JobEntry,
    pub(crate) inputs: JobInputs,
    /// Indexes of the items whose results are already committed.
    pub(crate) committed: HashSet<u32>,
    pub(crate) partials: Vec<PartialOutput>,
}

/// A job led by this VM. Dropping the task that runs it stops all of its items.
pub(crate) struct JobLeader {
    core: Rc<GatewayCore>,
    job: JobName,
    entry: JobEntry,
    items: Rc<Vec<JobItem>>,
    /// See [`JobInputs`].
    operator_version: u64,
    partials: Rc<RefCell<Vec<PartialOutput>>>,
}

/// Partial outputs of the items of a running leader, by item index.
pub(crate) type SharedPartials = Rc<RefCell<Vec<PartialOutput>>>;

impl JobLeader {
    pub(crate) fn open(core: &Rc<GatewayCore>, state: LeaderState) -> (Self, HashSet<u32>) {
        let mut partials = state.partials;
        partials.resize(state.inputs.items.len(), PartialOutput::default());
        let leader = Self {
            core: Rc::clone(core),
            job: state.job,
            entry: state.entry,
            items: state.inputs.items,
            operator_version: state.inputs.operator_version,
            partials: Rc::new(RefCell::new(partials)),
        };
        (leader, state.committed)
    }

    pub(crate) fn partials(&self) -> SharedPartials {
        Rc::clone(&self.partials)
    }

    /// Runs all items whose results are not committed yet, and commits their results.
    pub(crate) async fn run(mut self, committed: HashSet<u32>) {
        if !self.core.knows_operator_records(self.operator_version) {
            log::info!(
                job = self.job.as_str(), config_version = self.core.config_version(),
                operator_version = self.core.operators.version(),
                required_operator_version = self.operator_version;
                "job waits: the configuration may be older than the one that it was accepted under"
            );
        }
        let (outcomes, mut finished) = mpsc::unbounded_channel();
        let mut running = JoinSet::new();
        for index in (0..self.items.len() as u32).filter(|index| !committed.contains(index)) {
            let run = ItemRun {
                core: Rc::clone(&self.core),
                job: self.job.clone(),
                head: self.entry.head.clone(),
                items: Rc::clone(&self.items),
                operator_version: self.operator_version,
                index,
                partials: Rc::clone(&self.partials),
            };
            let outcomes = outcomes.clone();
            running.spawn_local(async move {
                let outcome = run.finish().await;
                // The receiver is gone only if the leader was stopped.
                let _ = outcomes.send((index, outcome));
            });
        }
        drop(outcomes);
        let mut uncommitted = Vec::new();
        let mut saved: Vec<SavedProgress> =
            self.partials.borrow().iter().map(PartialOutput::progress).collect();
        let mut checkpoints = tokio::time::interval(CHECKPOINT_INTERVAL);
        loop {
            let outcome = tokio::select! {
                outcome = finished.recv() => outcome,
                _ = checkpoints.tick() => {
                    if !self.save_partials(&mut saved).await {
                        log::info!(job = self.job.as_str(); "job lead lost");
                        return;
                    }
                    continue;
                }
            };
            let Some(outcome) = outcome else { break };
            uncommitted.push(outcome);
            while let Ok(outcome) = finished.try_recv() {
                uncommitted.push(outcome);
            }
            while !uncommitted.is_empty() {
                if !self.commit(&mut uncommitted).await {
                    log::info!(job = self.job.as_str(); "job lead lost");
                    return;
                }
            }
        }
        log::info!(job = self.job.as_str(), listed = self.entry.progress.listed; "job complete");
    }

    /// Writes a checkpoint of the items that made progress since the last one. A checkpoint only saves
    /// work, so a failed write is not retried. Returns false if this VM no longer leads the job.
    async fn save_partials(&self, saved: &mut [SavedProgress]) -> bool {
        let mut transaction = RowTransaction::in_partition(&self.job.partition()).expect(
            JOB_TABLE,
            &self.job.head_key(),
            self.entry.head_version,
        );
        let mut bytes = 0;
        let mut written = Vec::new();
        for (index, partial) in self.partials.borrow().iter().enumerate() {
            if partial.progress() == saved[index] {
                continue;
            }
            bytes += partial.text.len();
            let is_full = bytes > MAX_COMMIT_BYTES && !written.is_empty();
            if is_full || written.len() >= MAX_COMMIT_RESULTS {
                break;
            }
            let value = encode(partial);
            transaction = write_chunks(transaction, PARTIAL_TABLE, &self.job, index, &value);
            written.push((index, partial.progress()));
        }
        if written.is_empty() {
            return true;
        }
        match self.core.rows.transact(&transaction).await {
            Ok(_) => {
                for (index, progress) in written {
                    saved[index] = progress;
                }
            }
            // The head, on which alone the write depends, is written by claims, handovers and the job's end.
            Err(RowError::Conflict) => return false,
            Err(error) => {
                log::info!(
                    job = self.job.as_str(), error = error.to_string();
                    "checkpoint of partial output not written"
                );
            }
        }
        true
    }

    /// Commits as many results as fit into one transaction. Returns false if this VM no longer leads
    /// the job.
    async fn commit(&mut self, uncommitted: &mut Vec<(u32, ItemOutcome)>) -> bool {
        let mut bytes = 0;
        let fits = uncommitted.iter().take(MAX_COMMIT_RESULTS).take_while(|(_, outcome)| {
            let first = bytes == 0;
            bytes += if let ItemOutcome::Completed(text) = outcome { text.len() + 1 } else { 1 };
            first || bytes <= MAX_COMMIT_BYTES
        });
        let count = fits.count();
        let results: Vec<JobItemResult> = uncommitted
            .drain(..count)
            .map(|(index, outcome)| self.result(index, outcome))
            .collect();
        let mut progress = self.entry.progress;
        progress.attempt = rand::random();
        let mut transaction = RowTransaction::in_partition(&self.job.partition())
            .expect(JOB_TABLE, &self.job.head_key(), self.entry.head_version)
            .expect(JOB_TABLE, &self.job.progress_key(), self.entry.progress_version);
        for result in &results {
            let position = progress.listed as usize;
            let value = encode(result);
            transaction = write_chunks(transaction, RESULT_TABLE, &self.job, position, &value);
            progress.listed += 1;
            progress.listed_tokens += self.items[result.index as usize].tokens;
        }
        let transaction = transaction.write(JOB_TABLE, &self.job.progress_key(), encode(&progress));
        let Some(version) = self.write(&transaction, progress.attempt).await else { return false };
        for result in &results {
            self.partials.borrow_mut()[result.index as usize] = PartialOutput::default();
        }
        let first = self.entry.progress.listed;
        self.entry.progress = progress;
        self.entry.progress_version = version;
        self.core.record_results(&self.job, progress, version, first, results);
        true
    }

    fn result(&self, index: u32, outcome: ItemOutcome) -> JobItemResult {
        let id = self.items[index as usize].id.clone();
        let (completed, text, reason) = match outcome {
            ItemOutcome::Completed(text) => (true, text, "completed"),
            ItemOutcome::GivenUp(reason) => (false, Vec::new(), reason),
        };
        self.core.metrics.count("item", reason);
        log::info!(
            job = self.job.as_str(), item = id, outcome = reason, bytes = text.len() as u64,
            head_version = self.entry.head_version, config_version = self.core.config_version();
            "item finished"
        );
        JobItemResult { index, id, completed, text }
    }

    /// Retries a write until its outcome is known. Returns the new version, or `None` if another VM leads
    /// the job or the job has ended.
    async fn write(&self, transaction: &RowTransaction, attempt: u64) -> Option<u64> {
        loop {
            match self.core.rows.transact(transaction).await {
                Ok(version) => return Some(version),
                Err(RowError::Conflict) => {
                    let stored = self.core.read_job(&self.job).await;
                    if let Ok(stored) = stored {
                        let stored = stored?;
                        // If the response to an earlier attempt was lost, this VM conflicts with its
                        // own write.
                        let is_own_write = stored.progress.attempt == attempt;
                        return is_own_write.then_some(stored.progress_version);
                    }
                }
                Err(error) => {
                    log::warn!(
                        job = self.job.as_str(), error = error.to_string();
                        "results not committed; retrying"
                    );
                }
            }
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
        }
    }
}

/// Runs one item of a job.
struct ItemRun {
    core: Rc<GatewayCore>,
    job: JobName,
    head: crate::gateway::job_records::JobHead,
    items: Rc<Vec<JobItem>>,
    operator_version: u64,
    index: u32,
    partials: SharedPartials,
}

/// How one attempt to run an item ended.
enum ItemRunEnd {
    Complete,
    /// An online request needed the slot.
    Preempted,
    Interrupted(String),
}

impl ItemRun {
    fn item(&self) -> &JobItem {
        &self.items[self.index as usize]
    }

    fn with_partial<T>(&self, use_partial: impl FnOnce(&mut PartialOutput) -> T) -> T {
        use_partial(&mut self.partials.borrow_mut()[self.index as usize])
    }

    /// Runs the item until it completes or is given up, over any number of attempts.
    async fn finish(self) -> ItemOutcome {
        let mut is_held = false;
        loop {
            let keep_until = self.core.local_time(self.head.keep_until);
            if monotonic() >= keep_until {
                return ItemOutcome::GivenUp("kept_too_long");
            }
            // An older configuration may lack the route or name a service that it has left.
            if !self.core.knows_operator_records(self.operator_version) {
                tokio::time::sleep(ITEM_RETRY_DELAY).await;
                continue;
            }
            let Some(mut admitted) = self.admit(keep_until) else {
                if self.core.is_route_removed(&self.head.route) {
                    return ItemOutcome::GivenUp("route_removed");
                }
                tokio::time::sleep(ITEM_RETRY_DELAY).await;
                continue;
            };
            // In this order, because the check may use up a trial.
            if self.core.is_suspect(&admitted.request)
                || self.core.check_quarantine(&mut admitted, Duration::ZERO).await.is_err()
            {
                if !std::mem::replace(&mut is_held, true) {
                    log::info!(
                        job = self.job.as_str(), item = self.item().id;
                        "item held: its prompt may crash targets"
                    );
                }
                let changed = self.core.quarantine_change();
                let _ = tokio::time::timeout(QUARANTINE_POLL_INTERVAL, changed).await;
                continue;
            }
            is_held = false;
            let max_failures = admitted.route.max_attempts;
            let last_event = self.with_partial(|partial| partial.last_event);
            let mut history = AttemptHistory::default();
            let attempt = self.core.attempt(&admitted, &mut history, keep_until, last_event).await;
            let Ok(attempt) = attempt else {
                tokio::time::sleep(ITEM_RETRY_DELAY).await;
                continue;
            };
            let status = attempt.response.status;
            if status.is_success() && attempt.response.has_events {
                match self.collect_output(&admitted, attempt).await {
                    ItemRunEnd::Complete => {
                        // The partial output stays until the result is committed, so that a leader
                        // that stops before can hand it over.
                        return ItemOutcome::Completed(self.with_partial(|p| p.text.clone()));
                    }
                    ItemRunEnd::Preempted => {}
                    ItemRunEnd::Interrupted(reason) => {
                        log::info!(
                            job = self.job.as_str(), item = self.item().id, reason = reason,
                            last_event = self.with_partial(|partial| partial.last_event.unwrap_or(0));
                            "item broke off"
                        );
                    }
                }
                continue;
            }
            if !status.is_success() {
                attempt.lease.release(SlotOutcome::Responded);
            } else if let Err(reason) = self.discard_body(&admitted, attempt).await {
                log::info!(
                    job = self.job.as_str(), item = self.item().id, reason = reason;
                    "item broke off"
                );
                tokio::time::sleep(ITEM_RETRY_DELAY).await;
                continue;
            }
            if status == StatusCode::UNPROCESSABLE_ENTITY {
                return ItemOutcome::GivenUp("not_doable");
            }
            let failures = self.with_partial(|partial| {
                partial.failures += 1;
                partial.failures
            });
            log::info!(
                job = self.job.as_str(), item = self.item().id, status = status.as_u16(),
                failures = failures;
                "item failed"
            );
            if failures >= max_failures {
                return ItemOutcome::GivenUp("failed");
            }
        }
    }

    /// Returns the sort key among waiting items and the time from which the item is critical. Items are
    /// sorted by due time. Overdue items follow those that can still finish on time, until they are about
    /// to expire.
    fn scheduling_order(&self, keep_until: Duration) -> (Duration, Option<Duration>) {
        let now = monotonic();
        let due_at = self.core.local_time(self.head.due_at);
        if now + FINAL_ATTEMPT_WINDOW >= keep_until {
            return (Duration::ZERO, None);
        }
        if now >= due_at {
            return (due_at + OVERDUE_PENALTY, None);
        }
        let events = self.with_partial(|partial| partial.last_event.unwrap_or(0));
        let remaining = self.core.jobs.remaining_item_time(events);
        (due_at, Some(due_at.saturating_sub(remaining.mul_f64(CRITICAL_FACTOR))))
    }

    fn admit(&self, keep_until: Duration) -> Option<AdmittedRequest> {
        let (order, critical_at) = self.scheduling_order(keep_until);
        let catalog = self.core.catalog()?;
        let route = catalog.route_named(&self.head.route)?;
        let service = RouteCatalog::pick_service(route, rand::random())?.clone();
        let item = self.item();
        let headers = item.headers.iter().filter_map(|(name, value)| {
            Some((HeaderName::try_from(name).ok()?, HeaderValue::try_from(value).ok()?))
        });
        Some(AdmittedRequest {
            request: ForwardedRequest {
                id: item.id.as_str().into(),
                method: Method::POST,
                path: item.path.clone(),
                host: self.head.host.clone(),
                headers: headers.collect(),
                body: item.body.clone().into(),
                memory: self
                    .core
                    .memory
                    .try_reserve(MemoryKind::Batch, item.body.len())
                    .map(Rc::new),
                key: None,
                caller_timeout: None,
                received_at: monotonic(),
                demand: Some(item.demand.clone()),
                last_event: None,
            },
            route: std::sync::Arc::clone(route),
            service,
            workspace: self.head.workspace.clone(),
            quota: None,
            class: RequestClass::Batch,
            rank: route.rank,
            config_version: catalog.version(),
            ends_at: keep_until,
            order,
            critical_at,
            trial: None,
        })
    }

    /// Reads a successful response that is no stream of events.
    ///
    /// # Errors
    ///
    /// Returns the reason if the response is not complete, so that the target has not failed the item.
    async fn discard_body(
        &self,
        admitted: &AdmittedRequest,
        attempt: RunningAttempt,
    ) -> Result<(), String> {
        let RunningAttempt { response, lease, incarnation } = attempt;
        let mut body = response.body;
        let mut bytes = 0;
        let discarded = async {
            while let Some(chunk) = body.next().await {
                bytes += chunk.map_err(|error| error.to_string())?.len();
            }
            Ok(())
        };
        let discarded = tokio::time::timeout(ITEM_IDLE_TIMEOUT, discarded).await;
        let discarded = discarded.unwrap_or_else(|_| Err("the body has no end".to_owned()));
        if discarded.is_err() && bytes == 0 {
            self.core.record_prompt_failure(admitted, incarnation);
        }
        let is_complete = discarded.is_ok();
        lease.release(if is_complete { SlotOutcome::Responded } else { SlotOutcome::Failed });
        discarded
    }

    /// Reads the events of an attempt and appends them to the partial output.
    async fn collect_output(
        &self,
        admitted: &AdmittedRequest,
        attempt: RunningAttempt,
    ) -> ItemRunEnd {
        let RunningAttempt { response, mut lease, incarnation } = attempt;
        let has_explicit_end = response.has_explicit_end;
        let mut body = response.body;
        let mut splitter = EventSplitter::default();
        let mut last_id = None;
        let (earlier_bytes, earlier_event) =
            self.with_partial(|partial| (partial.text.len(), partial.last_event));
        let mut preemption = lease.watch_preemption();
        let started = (monotonic(), self.with_partial(|partial| partial.last_event.unwrap_or(0)));
        let (mut has_answered, mut has_ended_early) = (false, false);
        let end = loop {
            let part = tokio::select! {
                part = tokio::time::timeout(ITEM_IDLE_TIMEOUT, body.next()) => part,
                () = wait_for_preemption(&mut preemption) => break ItemRunEnd::Preempted,
            };
            match part {
                Ok(Some(Ok(bytes))) => {
                    splitter.push(&bytes);
                    let appended = self.append_events(&mut splitter, &mut last_id);
                    lease.record_events(*appended.as_ref().unwrap_or(&0));
                    if let Err(reason) = appended {
                        // What the target sent before was no output of the item either.
                        self.with_partial(|partial| {
                            partial.text.truncate(earlier_bytes);
                            partial.last_event = earlier_event;
                        });
                        break ItemRunEnd::Interrupted(reason);
                    }
                    if !has_answered && last_id.is_some() {
                        has_answered = true;
                        self.core.record_prompt_answer(admitted);
                    }
                }
                // A run that brings nothing may have been cut off, unless its end is explicit.
                Ok(None) if splitter.is_empty() && (has_answered || has_explicit_end) => {
                    break ItemRunEnd::Complete;
                }
                Ok(None) => {
                    has_ended_early = true;
                    break ItemRunEnd::Interrupted("the body ended early".to_owned());
                }
                Ok(Some(Err(error))) => {
                    has_ended_early = true;
                    break ItemRunEnd::Interrupted(error.to_string());
                }
                Err(_) => break ItemRunEnd::Interrupted("no data from the target".to_owned()),
            }
        };
        drop(body);
        if !has_answered && has_ended_early {
            self.core.record_prompt_failure(admitted, incarnation);
        }
        let last_event = self.with_partial(|partial| partial.last_event.unwrap_or(0));
        let took = monotonic().saturating_sub(started.0);
        let complete = matches!(end, ItemRunEnd::Complete);
        self.core.jobs.record_run(last_event, last_event.saturating_sub(started.1), took, complete);
        lease.release(match end {
            ItemRunEnd::Complete => SlotOutcome::Responded,
            ItemRunEnd::Preempted => SlotOutcome::Cancelled,
            ItemRunEnd::Interrupted(_) => SlotOutcome::Failed,
        });
        end
    }

    /// Appends the complete events to the partial output and returns their number. `last_id` is the id of the attempt's last event.
    ///
    /// # Errors
    ///
    /// Fails if the response is no stream of events with increasing ids, or the output too large.
    fn append_events(
        &self,
        splitter: &mut EventSplitter,
        last_id: &mut Option<u64>,
    ) -> Result<u32, String> {
        let mut events = 0;
        while let Some(event) = splitter.next_event().map_err(|error| error.to_string())? {
            if event.id <= *last_id {
                return Err(format!("event id {:?} after {last_id:?}", event.id));
            }
            *last_id = event.id;
            self.append_event(&event.data(), event.id);
            events += 1;
            if self.with_partial(|partial| partial.text.len()) > MAX_OUTPUT_BYTES {
                return Err(format!("the output is larger than {MAX_OUTPUT_BYTES} bytes"));
            }
        }
        Ok(events)
    }

    fn append_event(&self, data: &[u8], id: Option<u64>) {
        self.with_partial(|partial| {
            // A resumed attempt may repeat events that are already part of the output.
            if id.is_some() && id <= partial.last_event {
                return;
            }
            if partial.last_event.is_some() {
                partial.text.push(b'\n');
            }
            partial.text.extend_from_slice(data);
            partial.last_event = id.or(partial.last_event);
        });
    }
}

/// Waits until the slot is preempted.
async fn wait_for_preemption(preemption: &mut Option<oneshot::Receiver<()>>) {
    match preemption {
        Some(receiver) => {
            // The sender is dropped without a message when the slot was already released.
            if receiver.await.is_err() {
                *preemption = None;
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}

/// Returns the transaction with which a stopping leader releases its job and saves partial outputs.
pub(crate) fn handover_transaction(
    job: &JobName,
    entry: &JobEntry,
    partials: &[PartialOutput],
) -> RowTransaction {
    let mut head = entry.head.clone();
    head.lead = String::new();
    head.lead_incarnation = 0;
    let transaction = RowTransaction::in_partition(&job.partition())
        .expect(JOB_TABLE, &job.head_key(), entry.head_version)
        .write(JOB_TABLE, &job.head_key(), encode(&head));
    let begun =
        partials.iter().enumerate().filter(|(_, partial)| **partial != PartialOutput::default());
    begun.take(MAX_COMMIT_RESULTS).fold(transaction, |transaction, (index, partial)| {
        write_chunks(transaction, PARTIAL_TABLE, job, index, &encode(partial))
    })
}

/// Decodes the partial outputs that an earlier leader saved; unreadable ones start empty.
pub(crate) fn read_partials(values: &[(usize, Vec<u8>)], items: usize) -> Vec<PartialOutput> {
    let mut partials = vec![PartialOutput::default(); items];
    for (index, value) in values {
        match (decode(value), partials.get_mut(*index)) {
            (Ok(partial), Some(slot)) => *slot = partial,
            (Err(reason), _) => {
                log::error!(
                    item_index = *index as u64, reason = reason;
                    "partial output unreadable; the item starts again"
                );
            }
            (Ok(_), None) => {}
        }
    }
    partials
}
