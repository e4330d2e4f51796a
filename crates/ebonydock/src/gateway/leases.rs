//! Slot leases of running requests, and requests that wait for one.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use crate::clock::monotonic;
use crate::gateway::runtime::GatewayCore;
use crate::ids::{ServiceName, TargetId};
use crate::placement::batch_balance::BATCH_BALANCE_INTERVAL;
use crate::placement::dispatcher::PlacementOutcome;
use crate::placement::slots::SlotOutcome;
use crate::placement::wait_queue::{SlotNeed, SlotRefusal, SlotWaiter};
use crate::rollouts::answer_track::AnswerTrack;
use crate::scheduling::RequestClass;

/// Interval at which the wait queues are checked without another trigger, because deadlines, cold starts
/// and backoffs end without an event.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waiting requests, and leases of batch items that can be preempted.
#[derive(Default)]
pub(crate) struct LeaseRegistry {
    waiters: RefCell<HashMap<SlotWaiter, oneshot::Sender<Result<SlotLease, SlotRefusal>>>>,
    preemptible: RefCell<BTreeMap<u64, PreemptibleSlot>>,
    next_preemptible: Cell<u64>,
    wake: Notify,
}

/// Lease of a slot of a target. Dropping it without a release counts as a cancelled request.
pub(crate) struct SlotLease {
    core: Rc<GatewayCore>,
    target: TargetId,
    class: RequestClass,
    placed_at: Duration,
    outcome: SlotOutcome,
    /// Number of the batch item in `LeaseRegistry::preemptible`.
    preemptible: Option<u64>,
    /// Set once the request is sent, where roll-outs are enabled.
    answer: Option<Box<AnswerTrack>>,
}

/// Slot of a batch item that can be preempted.
struct PreemptibleSlot {
    service: ServiceName,
    target: TargetId,
    order: Duration,
    critical_at: Option<Duration>,
    /// Signals the preemption; set once the response has begun.
    preempt: Option<oneshot::Sender<()>>,
}

impl SlotLease {
    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }

    pub(crate) fn class(&self) -> RequestClass {
        self.class
    }

    /// Registers a batch item's slot as preemptible.
    fn register_preemptible(mut self, need: &SlotNeed) -> Self {
        if self.class == RequestClass::Batch {
            let number = self.core.leases.next_preemptible.get();
            self.core.leases.next_preemptible.set(number + 1);
            let slot = PreemptibleSlot {
                service: need.service.clone(),
                target: self.target.clone(),
                order: need.order,
                critical_at: need.critical_at,
                preempt: None,
            };
            self.core.leases.preemptible.borrow_mut().insert(number, slot);
            self.preemptible = Some(number);
        }
        self
    }

    /// Returns a signal that fires when the slot is needed for an online request; `None` for online
    /// requests, which are never preempted.
    pub(crate) fn watch_preemption(&self) -> Option<oneshot::Receiver<()>> {
        let number = self.preemptible?;
        let (sender, receiver) = oneshot::channel();
        self.core.leases.preemptible.borrow_mut().get_mut(&number)?.preempt = Some(sender);
        Some(receiver)
    }

    /// Records that the request is sent.
    pub(crate) fn record_sending(&mut self, answer: Option<Box<AnswerTrack>>) {
        self.answer = answer;
    }

    /// Records the head of the response. `has_events` tells whether the answer begins with its first event.
    pub(crate) fn record_head(&mut self, has_events: bool, has_failed: bool) {
        if let Some(answer) = &mut self.answer
            && let Some(stage) = answer.record_head(monotonic(), has_events, has_failed)
        {
            self.core.record_stage(&answer.subject, stage);
        }
    }

    /// Records that the first event of the response has arrived; it is counted later.
    pub(crate) fn record_beginning(&mut self) {
        if let Some(answer) = &mut self.answer
            && let Some(stage) = answer.record_beginning(monotonic())
        {
            self.core.record_stage(&answer.subject, stage);
        }
    }

    /// Records events of the response.
    pub(crate) fn record_events(&mut self, events: u32) {
        if let Some(answer) = &mut self.answer
            && let Some(stage) = answer.record_events(monotonic(), events)
        {
            self.core.record_stage(&answer.subject, stage);
        }
    }

    pub(crate) fn release(mut self, outcome: SlotOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(number) = self.preemptible {
            self.core.leases.preemptible.borrow_mut().remove(&number);
        }
        let now = monotonic();
        if let Some(answer) = self.answer.take() {
            self.core.end_answer(&answer, self.outcome);
        }
        let mut dispatcher = self.core.placement();
        dispatcher.release(now, &self.target, self.class, self.outcome);
        let has_answered =
            matches!(self.outcome, SlotOutcome::Responded | SlotOutcome::ServerError);
        if has_answered && self.class == RequestClass::Online {
            dispatcher.record_service_time(&self.target, now.saturating_sub(self.placed_at));
        }
        drop(dispatcher);
        self.core.advance();
    }
}

/// Removes a request from the queue when its caller leaves.
struct WaitGuard {
    core: Rc<GatewayCore>,
    waiter: SlotWaiter,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let waiting = self.core.leases.waiters.borrow_mut().remove(&self.waiter).is_some();
        if waiting {
            self.core.placement().cancel(self.waiter);
        }
    }
}

impl GatewayCore {
    /// Acquires a slot, waiting until one is free.
    pub(crate) async fn acquire(self: &Rc<Self>, need: SlotNeed) -> Result<SlotLease, SlotRefusal> {
        let class = need.class;
        let outcome = self.placement().request(monotonic(), need.clone());
        let waiter = match outcome {
            PlacementOutcome::Placed(target) => {
                return Ok(self.lease(target, class).register_preemptible(&need));
            }
            PlacementOutcome::Refused(refusal) => return Err(refusal),
            PlacementOutcome::Waiting(waiter) => waiter,
        };
        let (sender, receiver) = oneshot::channel();
        self.leases.waiters.borrow_mut().insert(waiter, sender);
        self.leases.wake.notify_one();
        let _guard = WaitGuard { core: Rc::clone(self), waiter };
        let decided = receiver.await;
        let decided = decided
            .unwrap_or_else(|_| unreachable!("a waiter is decided, or removed by its guard"));
        Ok(decided?.register_preemptible(&need))
    }

    fn lease(self: &Rc<Self>, target: TargetId, class: RequestClass) -> SlotLease {
        SlotLease {
            core: Rc::clone(self),
            target,
            class,
            placed_at: monotonic(),
            outcome: SlotOutcome::Cancelled,
            preemptible: None,
            answer: None,
        }
    }

    /// Places waiting requests and hands them their leases.
    pub(crate) fn advance(self: &Rc<Self>) {
        if self.leases.waiters.borrow().is_empty() {
            return;
        }
        let decided = self.placement().advance(monotonic());
        for (waiter, class, outcome) in decided {
            let outcome = outcome.map(|target| self.lease(target, class));
            let sender = self.leases.waiters.borrow_mut().remove(&waiter);
            // If the caller has left, the lease is dropped, which releases the slot.
            if let Some(sender) = sender {
                let _ = sender.send(outcome);
            }
        }
    }

    /// Preempts the batch items at old targets that are drained, so that they go on at new ones.
    fn preempt_drained(&self) {
        let dispatcher = self.dispatcher.borrow();
        if !dispatcher.is_draining() {
            return;
        }
        let mut slots = self.leases.preemptible.borrow_mut();
        // An item whose response has not begun is preempted at a later call.
        let drained = slots.extract_if(.., |_, slot| {
            slot.preempt.is_some() && dispatcher.is_drained(&slot.target)
        });
        for (_, slot) in drained {
            self.metrics.count("item", "drained");
            if let Some(preempt) = slot.preempt {
                // The item may have ended meanwhile.
                let _ = preempt.send(());
            }
        }
    }

    fn log_ejections(&self, now: Duration) {
        for target in self.dispatcher.borrow_mut().refresh_outliers(now) {
            log::warn!(target_id = target.as_str(); "target ejected: its requests fail");
        }
    }

    /// Preempts batch items in favour of online requests, the latest deadline first, and lets others start.
    fn balance_batch(self: &Rc<Self>) {
        let now = monotonic();
        self.preempt_drained();
        self.log_ejections(now);
        let preemptions = self.placement().balance_batch(now);
        for preemption in preemptions {
            let mut slots = self.leases.preemptible.borrow_mut();
            // An item whose response has not begun can be preempted at a later balance.
            let candidates = slots
                .iter()
                .filter(|(_, slot)| slot.service == preemption.service && slot.preempt.is_some());
            let mut candidates: Vec<(bool, Reverse<Duration>, u64)> = candidates
                .map(|(number, slot)| {
                    let is_critical = slot.critical_at.is_some_and(|at| now >= at);
                    (is_critical, Reverse(slot.order), *number)
                })
                .collect();
            candidates.sort_unstable();
            let mut critical_left = preemption.critical;
            for (is_critical, _, number) in candidates.into_iter().take(preemption.items as usize) {
                if is_critical && critical_left == 0 {
                    break;
                }
                critical_left -= u32::from(is_critical);
                self.metrics.count("item", "yielded");
                if let Some(preempt) = slots.remove(&number).and_then(|slot| slot.preempt) {
                    let _ = preempt.send(());
                }
            }
        }
        self.advance();
    }
}

/// Places and refuses waiting requests periodically.
pub(crate) async fn advance_waiting(core: Rc<GatewayCore>) {
    loop {
        if core.leases.waiters.borrow().is_empty() {
            core.leases.wake.notified().await;
        }
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
        core.advance();
    }
}

/// Preempts and starts batch items periodically as the load changes.
pub(crate) async fn balance(core: Rc<GatewayCore>) {
    loop {
        tokio::time::sleep(BATCH_BALANCE_INTERVAL).await;
        core.balance_batch();
    }
}
