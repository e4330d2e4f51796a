//! Tests of how requests at targets are counted.

use std::time::Duration;

use yare::parameterized;

use crate::ids::{ServiceName, VersionName};
use crate::placement::slots::SlotOutcome;
use crate::rollouts::answer_track::{AnswerSubject, AnswerTrack};
use crate::rollouts::evidence::AnswerStage;
use crate::rollouts::versions::TargetCohort;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Opens the track of a request that is sent after 100 ms and ends after 5 s.
fn track() -> AnswerTrack {
    let subject = AnswerSubject {
        service: ServiceName::from("llm"),
        version: VersionName::from("v2"),
        cohort: TargetCohort::Next,
        route: 1,
        target: 2,
    };
    AnswerTrack::open(subject, ms(100), ms(5000))
}

fn ended(failed: bool) -> AnswerStage {
    AnswerStage::Ended { failed, pace: None }
}

/// A request that the caller gives up, or that the target did not run, must not count as a failure of the version.
#[parameterized(
    refused = { SlotOutcome::Full, 200, AnswerStage::Ended { failed: false, pace: None } },
    elsewhere = { SlotOutcome::Misdirected, 200, AnswerStage::Ended { failed: false, pace: None } },
    reset = { SlotOutcome::Failed, 200, AnswerStage::Ended { failed: true, pace: None } },
    caller_left = { SlotOutcome::Cancelled, 700, AnswerStage::Abandoned(ms(600)) },
    timed_out = { SlotOutcome::Cancelled, 5000, AnswerStage::Ended { failed: true, pace: None } },
)]
fn request_without_answer_is_counted_by_its_end(
    outcome: SlotOutcome,
    at_ms: u64,
    expected: AnswerStage,
) {
    assert_eq!(track().end(ms(at_ms), outcome), expected);
}

/// The pace of a stream is the mean time between its events, without the time to the first one.
#[test]
fn stream_is_measured_by_its_events() {
    let mut track = track();
    assert_eq!(track.record_head(ms(110), true, false), None);
    assert_eq!(track.record_beginning(ms(400)), Some(AnswerStage::Began(ms(300))));
    assert_eq!(track.record_events(ms(400), 1), None);
    assert_eq!(track.record_events(ms(700), 3), None);
    let pace = Some(ms(200));
    let complete = AnswerStage::Ended { failed: false, pace };
    assert_eq!(track.end(ms(1000), SlotOutcome::Responded), complete);
    // One that is cut or left has no pace.
    assert_eq!(track.end(ms(1000), SlotOutcome::Failed), ended(true));
    assert_eq!(track.end(ms(1000), SlotOutcome::Cancelled), ended(false));
}

/// A server error is a failure although the answer is complete.
#[test]
fn whole_answer_is_measured_from_its_head() {
    let mut failing = track();
    let began = Some(AnswerStage::Began(ms(50)));
    assert_eq!(failing.record_head(ms(150), false, true), began);
    assert_eq!(failing.end(ms(200), SlotOutcome::Responded), ended(true));
    let mut good = track();
    assert_eq!(good.record_head(ms(150), false, false), began);
    let complete = AnswerStage::Ended { failed: false, pace: Some(ms(30)) };
    assert_eq!(good.end(ms(180), SlotOutcome::Responded), complete);
}
