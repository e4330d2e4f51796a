//! Running the items of a job and listing their results.

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
use crate::gateway::forward::{AdmittedRequest, AttemptLog, RunningAttempt};
use crate::gateway::job_book::{
    JOB_TABLE, JobEntry, JobItem, JobName, ListedResult, PARTIAL_TABLE, PartialOutput,
    RESULT_TABLE, decode, encode, write_chunks,
};
use crate::gateway::request::ForwardedRequest;
use crate::gateway::runtime::GatewayCore;
use crate::gateway::slots::SlotUse;
use crate::platform::rows::{RowError, RowTransaction};
use crate::scheduling::RequestClass;

/// Pause before an item that got no target or broke off is tried again.
const ITEM_PAUSE: Duration = Duration::from_millis(100);
/// An item is resumed elsewhere after its target was silent for this long; a full batch makes an event
/// in some tens of milliseconds.
const ITEM_SILENCE: Duration = Duration::from_millis(1500);
/// Pause before a commit that was not answered is sent again.
const COMMIT_PAUSE: Duration = Duration::from_millis(150);
/// An item is urgent when less time is left than this many times what it still takes: it will have to
/// yield now and then.
const URGENT_FACTOR: f64 = 1.6;
/// Puts late items behind all that can still be on time.
const LATE_PENALTY: Duration = Duration::from_hours(1);
/// A late item is tried first again in the last part of the time for which it is kept.
const LAST_CHANCE: Duration = Duration::from_secs(15);
/// Output of running items is written this often, so that a lost lead costs about two seconds of each.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(2);
/// Results of one commit; a transaction takes at most 1 MB and 100 rows.
const COMMIT_RESULTS: usize = 30;
const COMMIT_BYTES: usize = 500_000;

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemOutcome {
    Completed(Vec<u8>),
    GivenUp(&'static str),
}

/// What a lead starts from.
pub(crate) struct LeadStart {
    pub(crate) job: JobName,
    pub(crate) entry: JobEntry,
    pub(crate) items: Rc<Vec<JobItem>>,
    pub(crate) listed: HashSet<u32>,
    pub(crate) partials: Vec<PartialOutput>,
}

/// A job that this VM leads. Dropping its task stops all of its items.
pub(crate) struct JobLead {
    core: Rc<GatewayCore>,
    job: JobName,
    entry: JobEntry,
    items: Rc<Vec<JobItem>>,
    partials: Rc<RefCell<Vec<PartialOutput>>>,
}

/// The partial outputs of a running lead.
pub(crate) type SharedPartials = Rc<RefCell<Vec<PartialOutput>>>;

impl JobLead {
    pub(crate) fn open(core: &Rc<GatewayCore>, start: LeadStart) -> (Self, HashSet<u32>) {
        let mut partials = start.partials;
        partials.resize(start.items.len(), PartialOutput::default());
        let lead = Self {
            core: Rc::clone(core),
            job: start.job,
            entry: start.entry,
            items: start.items,
            partials: Rc::new(RefCell::new(partials)),
        };
        (lead, start.listed)
    }

    pub(crate) fn partials(&self) -> SharedPartials {
        Rc::clone(&self.partials)
    }

    /// Runs all items that are not listed and lists their results.
    pub(crate) async fn run(mut self, listed: HashSet<u32>) {
        let (outcomes, mut finished) = mpsc::unbounded_channel();
        let mut running = JoinSet::new();
        for index in (0..self.items.len() as u32).filter(|index| !listed.contains(index)) {
            let run = ItemRun {
                core: Rc::clone(&self.core),
                job: self.job.clone(),
                head: self.entry.head.clone(),
                items: Rc::clone(&self.items),
                index,
                partials: Rc::clone(&self.partials),
            };
            let outcomes = outcomes.clone();
            running.spawn_local(async move {
                let outcome = run.finish().await;
                // The lead has been stopped if it does not listen any more.
                let _ = outcomes.send((index, outcome));
            });
        }
        drop(outcomes);
        let mut ready = Vec::new();
        let mut saved = vec![None; self.items.len()];
        let mut checkpoints = tokio::time::interval(CHECKPOINT_INTERVAL);
        loop {
            let outcome = tokio::select! {
                outcome = finished.recv() => outcome,
                _ = checkpoints.tick() => {
                    self.save_partials(&mut saved).await;
                    continue;
                }
            };
            let Some(outcome) = outcome else { break };
            ready.push(outcome);
            while let Ok(outcome) = finished.try_recv() {
                ready.push(outcome);
            }
            while !ready.is_empty() {
                if !self.commit(&mut ready).await {
                    log::info!(job = self.job.as_str(); "job lead lost");
                    return;
                }
            }
        }
        log::info!(job = self.job.as_str(), listed = self.entry.progress.listed; "job complete");
    }

    /// Writes the output of items that went on since the last time. It is only worth having, so a write
    /// that fails is not repeated.
    async fn save_partials(&self, saved: &mut [Option<u64>]) {
        let mut transaction = RowTransaction::in_partition(&self.job.part()).expect(
            JOB_TABLE,
            &self.job.head_key(),
            self.entry.head_version,
        );
        let mut bytes = 0;
        let mut written = Vec::new();
        for (index, partial) in self.partials.borrow().iter().enumerate() {
            if partial.last_event.is_none() || partial.last_event == saved[index] {
                continue;
            }
            bytes += partial.text.len();
            if bytes > COMMIT_BYTES || written.len() >= COMMIT_RESULTS {
                break;
            }
            let value = encode(partial);
            transaction = write_chunks(transaction, PARTIAL_TABLE, &self.job, index, &value);
            written.push((index, partial.last_event));
        }
        if written.is_empty() {
            return;
        }
        match self.core.rows.transact(&transaction).await {
            Ok(_) => {
                for (index, last_event) in written {
                    saved[index] = last_event;
                }
            }
            Err(error) => {
                log::info!(job = self.job.as_str(), error = error.to_string(); "output not saved");
            }
        }
    }

    /// Lists some results; false if this VM leads the job no more.
    async fn commit(&mut self, ready: &mut Vec<(u32, ItemOutcome)>) -> bool {
        let mut bytes = 0;
        let fits = ready.iter().take(COMMIT_RESULTS).take_while(|(_, outcome)| {
            let first = bytes == 0;
            bytes += if let ItemOutcome::Completed(text) = outcome { text.len() + 1 } else { 1 };
            first || bytes <= COMMIT_BYTES
        });
        let count = fits.count();
        let results: Vec<ListedResult> =
            ready.drain(..count).map(|(index, outcome)| self.result(index, outcome)).collect();
        let mut progress = self.entry.progress;
        progress.attempt = rand::random();
        let mut transaction = RowTransaction::in_partition(&self.job.part())
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
        self.core.note_listed(&self.job, progress, version, first, results);
        true
    }

    fn result(&self, index: u32, outcome: ItemOutcome) -> ListedResult {
        let id = self.items[index as usize].id.clone();
        let (completed, text, why) = match outcome {
            ItemOutcome::Completed(text) => (true, text, "completed"),
            ItemOutcome::GivenUp(why) => (false, Vec::new(), why),
        };
        self.core.metrics.count("item", why);
        log::info!(
            job = self.job.as_str(), item = id, outcome = why, bytes = text.len() as u64,
            head_version = self.entry.head_version;
            "item finished"
        );
        ListedResult { index, id, completed, text }
    }

    /// Writes until the outcome is known; `None` if another VM leads the job or it was ended.
    async fn write(&self, transaction: &RowTransaction, attempt: u64) -> Option<u64> {
        loop {
            match self.core.rows.transact(transaction).await {
                Ok(version) => return Some(version),
                Err(RowError::Conflict) => {
                    let known = self.core.read_job(&self.job).await;
                    if let Ok(known) = known {
                        let known = known?;
                        // A lost answer of an earlier try looks like a conflict with ourselves.
                        let own = known.progress.attempt == attempt;
                        return own.then_some(known.progress_version);
                    }
                }
                Err(error) => {
                    log::warn!(job = self.job.as_str(), error = error.to_string(); "results not listed yet");
                }
            }
            tokio::time::sleep(COMMIT_PAUSE).await;
        }
    }
}

/// One item of a job.
struct ItemRun {
    core: Rc<GatewayCore>,
    job: JobName,
    head: crate::gateway::job_book::JobHead,
    items: Rc<Vec<JobItem>>,
    index: u32,
    partials: SharedPartials,
}

enum RunEnd {
    Complete,
    /// The slot was needed for an online request.
    Yielded,
    Broken(String),
}

impl ItemRun {
    fn item(&self) -> &JobItem {
        &self.items[self.index as usize]
    }

    fn with_partial<T>(&self, use_partial: impl FnOnce(&mut PartialOutput) -> T) -> T {
        use_partial(&mut self.partials.borrow_mut()[self.index as usize])
    }

    /// Runs the item to its end, over as many attempts as it takes.
    async fn finish(self) -> ItemOutcome {
        loop {
            let keep_until = self.core.local_time(self.head.keep_until);
            if monotonic() >= keep_until {
                return ItemOutcome::GivenUp("kept_too_long");
            }
            let Some(admitted) = self.admit(keep_until) else {
                if self.core.catalog().is_some_and(|c| c.route_named(&self.head.route).is_none()) {
                    return ItemOutcome::GivenUp("route_removed");
                }
                tokio::time::sleep(ITEM_PAUSE).await;
                continue;
            };
            let most_failures = admitted.route.most_attempts;
            let last_event = self.with_partial(|partial| partial.last_event);
            let mut log = AttemptLog::default();
            let attempt = self.core.attempt(&admitted, &mut log, keep_until, last_event).await;
            let Ok(attempt) = attempt else {
                tokio::time::sleep(ITEM_PAUSE).await;
                continue;
            };
            let status = attempt.reply.status;
            if status.is_success() && attempt.reply.has_events {
                match self.collect(attempt).await {
                    RunEnd::Complete => {
                        // Kept until it is listed: a lead that stops before hands it on.
                        return ItemOutcome::Completed(self.with_partial(|p| p.text.clone()));
                    }
                    RunEnd::Yielded => {}
                    RunEnd::Broken(reason) => {
                        log::info!(
                            job = self.job.as_str(), item = self.item().id, reason = reason,
                            last_event = self.with_partial(|partial| partial.last_event.unwrap_or(0));
                            "item broke off"
                        );
                    }
                }
                continue;
            }
            attempt.lease.release(SlotUse::Answered);
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
            if failures >= most_failures {
                return ItemOutcome::GivenUp("failed");
            }
        }
    }

    /// The order among waiting items and the time from which the item is urgent. The next one due goes
    /// first; late items go after those that can still be on time, until they are about to be given up.
    fn order(&self, keep_until: Duration) -> (Duration, Option<Duration>) {
        let now = monotonic();
        let due_at = self.core.local_time(self.head.due_at);
        if now + LAST_CHANCE >= keep_until {
            return (Duration::ZERO, None);
        }
        if now >= due_at {
            return (due_at + LATE_PENALTY, None);
        }
        let events = self.with_partial(|partial| partial.last_event.unwrap_or(0));
        let left = self.core.jobs.item_time(events);
        (due_at, Some(due_at.saturating_sub(left.mul_f64(URGENT_FACTOR))))
    }

    fn admit(&self, keep_until: Duration) -> Option<AdmittedRequest> {
        let (order, urgent_at) = self.order(keep_until);
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
                key: None,
                patience: None,
                received_at: monotonic(),
                demand: Some(item.demand.clone()),
                last_event: None,
            },
            route: std::sync::Arc::clone(route),
            service,
            workspace: self.head.workspace.clone(),
            class: RequestClass::Batch,
            rank: route.rank,
            config_version: catalog.version(),
            ends_at: keep_until,
            order,
            urgent_at,
        })
    }

    /// Adds the events of a run to the output so far.
    async fn collect(&self, attempt: RunningAttempt) -> RunEnd {
        let RunningAttempt { reply, lease } = attempt;
        let mut body = reply.body;
        let mut splitter = EventSplitter::default();
        let mut yields = lease.watch_yield();
        let began = (monotonic(), self.with_partial(|partial| partial.last_event.unwrap_or(0)));
        let end = loop {
            let part = tokio::select! {
                part = tokio::time::timeout(ITEM_SILENCE, body.next()) => part,
                () = told(&mut yields) => break RunEnd::Yielded,
            };
            match part {
                Ok(Some(Ok(bytes))) => {
                    splitter.push(&bytes);
                    while let Some(event) = splitter.next_event() {
                        self.add_event(&event.data(), event.id);
                    }
                }
                Ok(None) if splitter.take_rest().is_empty() => break RunEnd::Complete,
                Ok(None) => break RunEnd::Broken("ended within an event".to_owned()),
                Ok(Some(Err(error))) => break RunEnd::Broken(error.to_string()),
                Err(_) => break RunEnd::Broken("the target is silent".to_owned()),
            }
        };
        drop(body);
        let last_event = self.with_partial(|partial| partial.last_event.unwrap_or(0));
        let took = monotonic().saturating_sub(began.0);
        let complete = matches!(end, RunEnd::Complete);
        self.core.jobs.learn_run(last_event, last_event.saturating_sub(began.1), took, complete);
        lease.release(match end {
            RunEnd::Complete => SlotUse::Answered,
            RunEnd::Yielded => SlotUse::Cancelled,
            RunEnd::Broken(_) => SlotUse::Failed,
        });
        end
    }

    fn add_event(&self, data: &[u8], id: Option<u64>) {
        self.with_partial(|partial| {
            // An event that a resumed run repeats is already part of the output.
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

/// Waits until a slot has to yield.
async fn told(yields: &mut Option<oneshot::Receiver<()>>) {
    match yields {
        Some(receiver) => {
            // A sender that is gone without a word is that of a slot that is released already.
            if receiver.await.is_err() {
                *yields = None;
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}

/// The transaction by which a stopping lead hands its job on with the output so far.
pub(crate) fn hand_on(
    job: &JobName,
    entry: &JobEntry,
    partials: &[PartialOutput],
) -> RowTransaction {
    let mut head = entry.head.clone();
    head.lead = String::new();
    head.lead_incarnation = 0;
    let transaction = RowTransaction::in_partition(&job.part())
        .expect(JOB_TABLE, &job.head_key(), entry.head_version)
        .write(JOB_TABLE, &job.head_key(), encode(&head));
    let begun =
        partials.iter().enumerate().filter(|(_, partial)| **partial != PartialOutput::default());
    begun.take(COMMIT_RESULTS).fold(transaction, |transaction, (index, partial)| {
        write_chunks(transaction, PARTIAL_TABLE, job, index, &encode(partial))
    })
}

/// Reads the outputs that an earlier lead handed on.
pub(crate) fn read_partials(values: &[(usize, Vec<u8>)], items: usize) -> Vec<PartialOutput> {
    let mut partials = vec![PartialOutput::default(); items];
    for (index, value) in values {
        match (decode(value), partials.get_mut(*index)) {
            (Ok(partial), Some(slot)) => *slot = partial,
            (Err(reason), _) => {
                log::error!(item_index = *index as u64, reason = reason; "partial output unreadable");
            }
            (Ok(_), None) => {}
        }
    }
    partials
}
