//! Forwards the events of a stream to the caller, over several targets if the route may be resumed.

use std::rc::Rc;

use futures_util::StreamExt;
use ntex::util::{Bytes, BytesMut};

use crate::clock::monotonic;
use crate::gateway::connections::SendError;
use crate::gateway::events::{EventSplitter, OversizedEvent};
use crate::gateway::forward::{
    AdmittedRequest, AttemptHistory, ForwardResponse, GatewayRefusal, ResponseBody, RunningAttempt,
    check_route_retry, deadline_error,
};
use crate::gateway::leases::SlotLease;
use crate::gateway::response_body::{BodySender, QueueError, open_body};
use crate::gateway::runtime::{GatewayCore, RunningCount};
use crate::gateway::transport::TargetBodyStream;
use crate::placement::slots::SlotOutcome;

impl GatewayCore {
    /// Waits for the first event before the response starts, so that the request can be retried if the
    /// stream breaks off earlier.
    pub(crate) async fn start_stream(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        mut attempt: RunningAttempt,
        history: &mut AttemptHistory,
    ) -> Result<Option<ForwardResponse>, GatewayRefusal> {
        let first = match read_first_event(&mut attempt.response.body).await {
            Ok(first) => first,
            Err(error) => {
                let reason = error.to_string();
                self.log_interruption(admitted, &attempt, None, &reason);
                self.record_prompt_failure(admitted, attempt.incarnation);
                history.excluded.push(attempt.lease.target().clone());
                attempt.lease.release(SlotOutcome::Failed);
                return self.check_retry(admitted, history).map(|()| None);
            }
        };
        self.record_prompt_answer(admitted);
        attempt.lease.record_beginning();
        self.metrics.count_first_event(admitted, monotonic());
        let (chunks, receiver) = open_body(&self.memory);
        let response = ForwardResponse {
            status: attempt.response.status,
            headers: std::mem::take(&mut attempt.response.headers),
            body: ResponseBody::Chunks(receiver),
            memory: None,
        };
        let forwarder = StreamForwarder {
            core: Rc::clone(self),
            _running: self.count_running(),
            admitted: admitted.copy(),
            history: std::mem::take(history),
            last_event: admitted.request.last_event,
            splitter: EventSplitter::default(),
            chunks,
            run_has_events: true,
            new_events: 0,
        };
        tokio::task::spawn_local(forwarder.run(attempt, first));
        Ok(Some(response))
    }
}

/// Reads a stream up to the end of its first event.
async fn read_first_event(body: &mut TargetBodyStream) -> Result<Bytes, SendError> {
    let mut splitter = EventSplitter::default();
    let mut bytes = BytesMut::new();
    loop {
        let chunk = body.next().await.unwrap_or_else(|| {
            Err(SendError::Lost("the stream ended before its first event".to_owned()))
        })?;
        bytes.extend_from_slice(&chunk);
        splitter.push(&chunk);
        let event = splitter.next_event().map_err(|error| SendError::Lost(error.to_string()))?;
        if event.is_some() {
            return Ok(bytes.freeze());
        }
    }
}

/// Forwards the events of a stream and resumes it at another target when it breaks off.
struct StreamForwarder {
    core: Rc<GatewayCore>,
    _running: RunningCount,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    last_event: Option<u64>,
    splitter: EventSplitter,
    chunks: BodySender,
    /// Whether the current attempt has sent an event.
    run_has_events: bool,
    /// Events of the current attempt that its lease does not know of.
    new_events: u32,
}

enum StreamStep {
    Chunk(Option<Result<Bytes, SendError>>),
    CallerLeft,
    DeadlinePassed,
}

impl StreamForwarder {
    async fn run(mut self, attempt: RunningAttempt, first: Bytes) {
        let mut attempt = attempt;
        let mut next = StreamStep::Chunk(Some(Ok(first)));
        loop {
            match next {
                StreamStep::Chunk(Some(Ok(bytes))) => {
                    let forwarded = self.forward_events(&bytes).await;
                    attempt.lease.record_events(std::mem::take(&mut self.new_events));
                    if let Err(step) = forwarded {
                        next = step;
                        continue;
                    }
                }
                StreamStep::Chunk(None) => {
                    if let Some(reason) = self.missing_end(&attempt) {
                        let error = SendError::Lost(reason.to_owned());
                        next = StreamStep::Chunk(Some(Err(error)));
                        continue;
                    }
                    self.release(attempt.lease, SlotOutcome::Responded, "complete");
                    return self.chunks.finish().await;
                }
                StreamStep::Chunk(Some(Err(error))) => {
                    let reason = error.to_string();
                    self.core.log_interruption(&self.admitted, &attempt, self.last_event, &reason);
                    self.history.excluded.push(attempt.lease.target().clone());
                    let RunningAttempt { response, lease, incarnation } = attempt;
                    if !self.run_has_events {
                        self.core.record_prompt_failure(&self.admitted, incarnation);
                    }
                    self.run_has_events = false;
                    // Closes the connection, which may still bring bytes.
                    drop(response);
                    lease.release(SlotOutcome::Failed);
                    match self.resume().await {
                        Some(resumed) => attempt = resumed,
                        None => return self.chunks.fail(error),
                    }
                }
                StreamStep::CallerLeft => {
                    return self.release(attempt.lease, SlotOutcome::Cancelled, "caller_left");
                }
                StreamStep::DeadlinePassed => {
                    self.release(attempt.lease, SlotOutcome::Cancelled, "time_over");
                    return self.chunks.fail(deadline_error());
                }
            }
            next = self.next_step(&mut attempt).await;
        }
    }

    async fn next_step(&self, attempt: &mut RunningAttempt) -> StreamStep {
        tokio::select! {
            biased;
            chunk = attempt.response.body.next() => StreamStep::Chunk(chunk),
            () = self.chunks.closed() => StreamStep::CallerLeft,
            () = tokio::time::sleep(self.admitted.time_left()) => StreamStep::DeadlinePassed,
        }
    }

    /// Returns why a response that has ended is not complete. One that ends with its connection between two
    /// events can't be told from a complete one.
    fn missing_end(&self, attempt: &RunningAttempt) -> Option<&'static str> {
        if !self.splitter.is_empty() {
            return Some("the stream ended within an event");
        }
        let may_be_complete = self.run_has_events || attempt.response.has_explicit_end;
        (!may_be_complete).then_some("the resumed stream ended before its first event")
    }

    /// Forwards complete events. A caller that doesn't read them occupies the target until its deadline.
    ///
    /// # Errors
    ///
    /// Returns the next step if the stream can't go on.
    async fn forward_events(&mut self, bytes: &[u8]) -> Result<(), StreamStep> {
        self.splitter.push(bytes);
        let broken = |error: OversizedEvent| {
            StreamStep::Chunk(Some(Err(SendError::Lost(error.to_string()))))
        };
        while let Some(event) = self.splitter.next_event().map_err(broken)? {
            if !self.run_has_events {
                self.check_resumed_event(event.id)?;
                self.run_has_events = true;
                self.core.record_prompt_answer(&self.admitted);
            }
            self.new_events += 1;
            let queued = self.chunks.send(event.raw, self.admitted.time_left()).await;
            queued.map_err(|error| match error {
                QueueError::CallerLeft => StreamStep::CallerLeft,
                QueueError::DeadlinePassed => StreamStep::DeadlinePassed,
            })?;
            self.last_event = event.id.or(self.last_event);
        }
        Ok(())
    }

    /// Checks that a resumed response goes on after the last event that the caller received.
    ///
    /// # Errors
    ///
    /// Returns the next step if it doesn't.
    fn check_resumed_event(&self, id: Option<u64>) -> Result<(), StreamStep> {
        let expected = self.last_event.and_then(|last| last.checked_add(1));
        if id.is_some() && id == expected {
            return Ok(());
        }
        let reason = format!("the resumed stream begins with event {id:?} instead of {expected:?}");
        Err(StreamStep::Chunk(Some(Err(SendError::Lost(reason)))))
    }

    /// Continues the response at another target, after the last event that the caller received.
    async fn resume(&mut self) -> Option<RunningAttempt> {
        self.splitter = EventSplitter::default();
        // Without an id, another target would begin anew.
        self.last_event?;
        let core = Rc::clone(&self.core);
        loop {
            check_route_retry(&self.admitted, &self.history).ok()?;
            let ends_at = self.admitted.ends_at;
            let attempt = core.attempt(&self.admitted, &mut self.history, ends_at, self.last_event);
            let attempt = tokio::select! {
                attempt = attempt => attempt.ok()?,
                () = self.chunks.closed() => return None,
                () = tokio::time::sleep(self.admitted.time_left()) => return None,
            };
            if attempt.response.has_events && attempt.response.status.is_success() {
                return Some(attempt);
            }
            self.history.excluded.push(attempt.lease.target().clone());
            attempt.lease.release(SlotOutcome::Failed);
        }
    }

    fn release(&self, lease: SlotLease, usage: SlotOutcome, outcome: &str) {
        self.core.log_stream_end(&self.admitted, lease.target(), outcome, self.last_event);
        lease.release(usage);
    }
}
