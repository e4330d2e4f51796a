//! Tests of calls with an idempotency key, which are sent at most once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ntex::util::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use crate::ids::WorkspaceId;
use crate::platform::tests::{FakeTable, run_paused};
use crate::service_calls::reservation::{ReserveOutcome, call_digest, call_key, reserve_call};
use crate::service_calls::{CallAction, CallError, CallRecord, CallState, next_action};
use crate::targets::{ServiceRequest, ServiceResponse};

fn response() -> ServiceResponse {
    ServiceResponse { status: 200, content_type: None, body: b"sent".to_vec() }
}

fn row(state: CallState) -> CallRecord {
    CallRecord { digest: "a".to_owned(), state }
}

#[parameterized(
    recent_reservation = { CallState::Reserved, 1, CallAction::Wait },
    expired_reservation = { CallState::Reserved, 6, CallAction::TakeOver },
    recent_sending = { CallState::Sending, 6, CallAction::Wait },
    expired_sending = { CallState::Sending, 11, CallAction::Unknown },
    unknown = { CallState::Unknown, 0, CallAction::Unknown },
    answered = { CallState::Answered(response()), 0, CallAction::Replay(response()) },
)]
fn next_action_follows_state_and_age(state: CallState, seconds: u64, expected: CallAction) {
    let row = row(state);
    assert_eq!(next_action(Some(&row), "a", Duration::from_secs(seconds)), expected);
    assert_eq!(next_action(Some(&row), "b", Duration::from_secs(seconds)), CallAction::Conflict);
    assert_eq!(next_action(None, "a", Duration::from_secs(seconds)), CallAction::Reserve);
}

#[test]
fn digest_differs_for_different_calls() {
    let request = |path: &str, body: &'static str| ServiceRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: None,
        request_id: "differs".to_owned(),
        body: Bytes::from_static(body.as_bytes()),
    };
    let digest = call_digest("notices", &request("/send", "a"));
    assert_eq!(digest, call_digest("notices", &request("/send", "a")));
    assert_ne!(digest, call_digest("notices", &request("/send", "b")));
    assert_ne!(digest, call_digest("notices", &request("/senda", "")));
    assert_ne!(digest, call_digest("other", &request("/send", "a")));
}

/// How a VM fails while it holds the reservation.
#[derive(Clone, Copy, Debug)]
enum Failure {
    None,
    /// The VM is lost before it sends the call.
    Reserved,
    /// The VM is paused for this many seconds before it sends the call.
    Paused(u64),
    /// The VM is lost after the first byte is sent.
    Sent,
}

/// Runs one attempt of a caller through some VM. Returns the outcome that the caller sees.
async fn attempt(
    table: &FakeTable,
    sends: &Cell<u32>,
    delay_ms: u64,
    failure: Failure,
) -> Option<Result<ServiceResponse, CallError>> {
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    let key = call_key(&WorkspaceId::from("zlatnik"), "pickup-1");
    let mut reservation = match reserve_call(table, &key, "a").await {
        Ok(ReserveOutcome::Replayed(response)) => return Some(Ok(response)),
        Ok(ReserveOutcome::Reserved(reservation)) => reservation,
        Err(error) => return Some(Err(error)),
    };
    match failure {
        Failure::Reserved => return None,
        Failure::Paused(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        Failure::None | Failure::Sent => {}
    }
    if let Err(error) = reservation.mark_sending().await {
        return Some(Err(error));
    }
    sends.set(sends.get() + 1);
    if matches!(failure, Failure::Sent) {
        return None;
    }
    reservation.record_outcome(CallState::Answered(response())).await;
    Some(Ok(response()))
}

fn failure_strategy() -> impl Strategy<Value = Failure> {
    prop_oneof![
        3 => Just(Failure::None),
        1 => Just(Failure::Reserved),
        1 => (1u64..20).prop_map(Failure::Paused),
        1 => Just(Failure::Sent),
    ]
}

/// Fraction of the table's calls that fail. A waiting VM gives up at the first failure, so reservations
/// are taken over only while the table works.
fn failing_fractions() -> impl Strategy<Value = f64> {
    prop_oneof![2 => Just(0.0), 1 => 0.0..0.02f64, 1 => 0.0..0.5f64]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn call_is_sent_at_most_once(
        seed in any::<u64>(),
        failure_rate in failing_fractions(),
        attempts in prop::collection::vec((0u64..20_000, failure_strategy()), 1..6),
    ) {
        run_paused(async {
            let table = Rc::new(FakeTable::open(seed, failure_rate));
            let sends = Cell::new(0);
            let runs = attempts.iter().map(|(delay_ms, failure)| attempt(&table, &sends, *delay_ms, *failure));
            let outcomes = join_all(runs).await;
            assert!(sends.get() <= 1, "sent {} times", sends.get());
            let answered = outcomes.iter().flatten().any(Result::is_ok);
            assert!(!answered || sends.get() == 1, "answered without being sent");
        });
    }
}
