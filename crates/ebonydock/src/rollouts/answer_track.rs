//! Follows one request at its target, for the evidence on versions.

use std::time::Duration;

use crate::ids::{ServiceName, VersionName};
use crate::placement::slots::SlotOutcome;
use crate::rollouts::evidence::{AnswerSample, AnswerStage};
use crate::rollouts::versions::TargetCohort;

/// The target and the route of a request.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSubject {
    pub(crate) service: ServiceName,
    pub(crate) version: VersionName,
    pub(crate) cohort: TargetCohort,
    /// Hash of the request's route.
    pub(crate) route: u32,
    /// Hash of the target.
    pub(crate) target: u32,
}

impl AnswerSubject {
    /// Returns the sample for a stage of the request.
    pub(crate) fn sample(&self, stage: AnswerStage) -> AnswerSample {
        AnswerSample { cohort: self.cohort, route: self.route, target: self.target, stage }
    }
}

/// A request that was sent to a target.
#[derive(Debug)]
pub(crate) struct AnswerTrack {
    pub(crate) subject: AnswerSubject,
    sent_at: Duration,
    /// Deadline of the request.
    ends_at: Duration,
    head_at: Option<Duration>,
    first_event_at: Option<Duration>,
    events: u32,
    has_failed: bool,
}

impl AnswerTrack {
    /// Opens the track of a request that is sent now and ends at `ends_at` at the latest.
    pub(crate) fn open(subject: AnswerSubject, now: Duration, ends_at: Duration) -> Self {
        Self {
            subject,
            sent_at: now,
            ends_at,
            head_at: None,
            first_event_at: None,
            events: 0,
            has_failed: false,
        }
    }

    /// Records the head of the response. Returns the stage if the answer has begun with it.
    pub(crate) fn record_head(
        &mut self,
        now: Duration,
        has_events: bool,
        has_failed: bool,
    ) -> Option<AnswerStage> {
        (self.head_at, self.has_failed) = (Some(now), has_failed);
        if has_events { None } else { self.record_beginning(now) }
    }

    /// Records that the first event has arrived. Returns the stage if that is new.
    pub(crate) fn record_beginning(&mut self, now: Duration) -> Option<AnswerStage> {
        if self.first_event_at.is_some() {
            return None;
        }
        self.first_event_at = Some(now);
        Some(AnswerStage::Began(now.saturating_sub(self.sent_at)))
    }

    /// Records events of the answer. Returns the stage if they are the first ones.
    pub(crate) fn record_events(&mut self, now: Duration, events: u32) -> Option<AnswerStage> {
        self.events += events;
        if events == 0 { None } else { self.record_beginning(now) }
    }

    /// Returns the stage that the request has reached at its end.
    pub(crate) fn end(&self, now: Duration, outcome: SlotOutcome) -> AnswerStage {
        let ended = |failed| AnswerStage::Ended { failed, pace: None };
        match outcome {
            SlotOutcome::Responded if self.has_failed => ended(true),
            SlotOutcome::Responded => {
                AnswerStage::Ended { failed: false, pace: Some(self.pace(now)) }
            }
            SlotOutcome::ServerError | SlotOutcome::Failed => ended(true),
            // The target did not run the request.
            SlotOutcome::Full | SlotOutcome::Misdirected => ended(false),
            // The deadline has passed while the target was still at work.
            SlotOutcome::Cancelled if now >= self.ends_at => ended(true),
            SlotOutcome::Cancelled if self.first_event_at.is_some() => ended(false),
            SlotOutcome::Cancelled => AnswerStage::Abandoned(now.saturating_sub(self.sent_at)),
        }
    }

    /// Returns the mean time between events, or the time from the first byte to the end.
    fn pace(&self, now: Duration) -> Duration {
        let first = self.first_event_at.unwrap_or(now);
        match self.events.saturating_sub(1) {
            0 => now.saturating_sub(self.head_at.unwrap_or(first)),
            gaps => now.saturating_sub(first) / gaps,
        }
    }
}
