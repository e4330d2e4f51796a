//! Verdicts on good and bad versions over seeds.

use crate::rollouts::RolloutPhase;
use crate::rollouts::tests::emulator::{Behaviour, EmulatedRequest, EmulatedRollout};

/// Seeds of each scenario in CI. More are run by hand with the variable `ROLLOUT_SEEDS`.
const SEEDS: u64 = 3;

fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    0..seeds.unwrap_or(SEEDS)
}

/// Checks that the version is rolled back and stays within its exposure.
fn assert_bad(site: &EmulatedRollout) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let outcome = site.run(seed);
        if outcome.phase != RolloutPhase::RolledBack || !outcome.is_within_bound() {
            failed.push(format!("seed {seed}: {}", outcome.describe()));
        }
    }
    assert!(failed.is_empty(), "{} seeds failed: {}", failed.len(), failed.join("\n"));
}

/// Checks that the version takes over before the deadline, and that old targets run nothing then.
fn assert_good(site: &EmulatedRollout) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let outcome = site.run(seed);
        let is_in_time = outcome.ended_ms < site.duration_ms;
        let is_drained = outcome.old_after_end + outcome.old_running_at_end == 0;
        if outcome.phase != RolloutPhase::Completed || !is_in_time || !is_drained {
            failed.push(format!("seed {seed}: {}", outcome.describe()));
        }
    }
    assert!(failed.is_empty(), "{} seeds failed: {}", failed.len(), failed.join("\n"));
}

fn site(behaviour: Behaviour) -> EmulatedRollout {
    EmulatedRollout { behaviour, ..EmulatedRollout::default() }
}

const USUAL_FAILURES: f64 = 0.002;

fn usual(is_bad: bool, bad: (f64, f64)) -> (f64, f64) {
    if is_bad { bad } else { (USUAL_FAILURES, 1.0) }
}

#[test]
fn good_version_takes_over() {
    assert_good(&site(|_| (USUAL_FAILURES, 1.0)));
}

#[test]
fn version_that_fails_at_once_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next, (0.3, 1.0))));
}

#[test]
fn version_that_is_slow_at_once_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next, (USUAL_FAILURES, 3.0))));
}

#[test]
fn version_that_turns_bad_late_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next && request.at_ms > 5000, (0.3, 1.0))));
    assert_bad(&site(|request| usual(request.is_next && request.at_ms > 5000, (0.0, 3.0))));
}

#[test]
fn version_that_is_bad_under_load_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next && request.running > 5, (0.4, 1.0))));
    assert_bad(&site(|request| usual(request.is_next && request.running > 5, (0.0, 4.0))));
}

#[test]
fn version_that_is_bad_on_one_route_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next && request.route == 1, (0.25, 1.0))));
}

#[test]
fn version_that_is_bad_on_a_rare_route_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next && request.route == 2, (0.6, 1.0))));
    assert_bad(&site(|request| usual(request.is_next && request.route == 2, (0.0, 4.0))));
}

#[test]
fn good_version_beside_a_slow_target_takes_over() {
    assert_good(&site(|request| usual(!request.is_next && request.target == 1, (0.0, 3.0))));
    assert_good(&site(|request| usual(request.is_next && request.target == 1, (0.0, 3.0))));
}

#[test]
fn good_version_beside_a_grey_target_takes_over() {
    assert_good(&site(|request| usual(!request.is_next && request.target == 1, (0.3, 1.0))));
    assert_good(&site(|request| usual(request.is_next && request.target == 1, (0.3, 1.0))));
}

fn burst(request: EmulatedRequest) -> (f64, f64) {
    let is_burst = request.at_ms % 5800 > 3400;
    let factor = if is_burst { 2.5 } else { 1.0 };
    (if is_burst { 0.02 } else { USUAL_FAILURES }, factor)
}

/// Guards against a load on the leader that depends on the number of VMs, and against evidence that is too thin when
/// each VM sends few requests.
#[test]
fn verdicts_do_not_depend_on_the_number_of_vms() {
    for (vms, rate, report_every_ms, duration_ms) in
        [(1, 200.0, 50, 12_000), (85, 800.0, 50, 6000), (980, 1500.0, 150, 5000)]
    {
        let good = EmulatedRollout {
            vms,
            rate,
            duration_ms,
            report_every_ms,
            ..EmulatedRollout::default()
        };
        let outcome = good.run(1);
        assert_eq!(outcome.phase, RolloutPhase::Completed, "{vms} VMs: {}", outcome.describe());
        assert!(outcome.ended_ms < duration_ms, "{vms} VMs: {}", outcome.describe());
        let bad = EmulatedRollout {
            behaviour: |request| usual(request.is_next, (0.3, 1.0)),
            ..good.clone()
        };
        let outcome = bad.run(1);
        assert_eq!(outcome.phase, RolloutPhase::RolledBack, "{vms} VMs: {}", outcome.describe());
        assert!(outcome.is_within_bound(), "{vms} VMs: {}", outcome.describe());
    }
}

/// Guards against plans that leave no time for a step in short roll-outs, or never begin the shift in long ones.
#[test]
fn short_and_long_roll_outs_end_in_time() {
    for (duration_ms, rate) in [(3000, 400.0), (8000, 100.0), (40_000, 50.0), (40_000, 1.0)] {
        let good = EmulatedRollout { rate, duration_ms, ..EmulatedRollout::default() };
        let outcome = good.run(1);
        assert_eq!(outcome.phase, RolloutPhase::Completed, "{}", outcome.describe());
        assert!(outcome.ended_ms < duration_ms, "{}", outcome.describe());
        let bad = EmulatedRollout {
            behaviour: |request| usual(request.is_next, (0.5, 1.0)),
            ..good.clone()
        };
        let outcome = bad.run(1);
        assert!(outcome.is_within_bound(), "{}", outcome.describe());
        let has_evidence = rate > 10.0;
        assert!(
            !has_evidence || outcome.phase == RolloutPhase::RolledBack,
            "{}",
            outcome.describe()
        );
    }
}

/// Guards against progress that is lost with the leader, and against shares that rise without the store.
#[test]
fn roll_outs_survive_leaders_and_the_store() {
    let stopping = EmulatedRollout { leader_stops_ms: Some(3000), ..EmulatedRollout::default() };
    assert_good(&stopping);
    let without_store = EmulatedRollout { store_down_ms: 2000..5000, ..EmulatedRollout::default() };
    assert_good(&without_store);
    let bad: Behaviour = |request| usual(request.is_next && request.at_ms > 2500, (0.3, 1.0));
    assert_bad(&EmulatedRollout { behaviour: bad, ..stopping });
    assert_bad(&EmulatedRollout { behaviour: bad, ..without_store });
}

/// Guards against requests that are never answered, which no outcome shows.
#[test]
fn version_that_does_not_answer_is_rolled_back() {
    assert_bad(&site(|request| usual(request.is_next, (0.0, 1000.0))));
}

#[test]
fn good_version_in_a_burst_takes_over() {
    assert_good(&site(burst));
}
