//! Tests of latency at peak load, on emulated fleets.

use crate::placement::tests::emulator::{EmulatedOutcome, EmulatedSite, SiteEmulator};

/// 85 VMs and 60 targets: peaks of 460 requests per second beside unlimited batch work.
fn large_site() -> EmulatedSite {
    EmulatedSite {
        vms: 85,
        targets: 60,
        data_centres: 4,
        slots: 8,
        online_per_s: 250.0,
        online_ms: 740,
        first_event_ms: 30,
        batch_ms: 5000,
        batch_backlog: 4,
        report_every_ms: 15,
        report_delay_ms: 25,
        latency_objective_ms: 300,
        idle_timeout_ms: 4000,
    }
}

/// 195 VMs and 78 targets; each VM sends 2.4 requests per second, which is few for the number of targets.
fn very_large_site() -> EmulatedSite {
    EmulatedSite {
        vms: 195,
        targets: 78,
        data_centres: 5,
        online_per_s: 357.0,
        batch_backlog: 1,
        report_every_ms: 30,
        report_delay_ms: 40,
        ..large_site()
    }
}

/// 12 VMs and 9 targets.
fn small_site() -> EmulatedSite {
    EmulatedSite {
        vms: 12,
        targets: 9,
        data_centres: 3,
        online_per_s: 40.0,
        report_delay_ms: 5,
        ..large_site()
    }
}

/// 85 VMs and a plain service of 3 targets with a service time of 60 ms: at the peaks, more requests arrive
/// within the age of a report than a target has slots.
fn short_request_site() -> EmulatedSite {
    EmulatedSite {
        targets: 3,
        data_centres: 3,
        slots: 6,
        online_per_s: 150.0,
        online_ms: 60,
        first_event_ms: 60,
        batch_backlog: 0,
        latency_objective_ms: 500,
        ..large_site()
    }
}

fn run_site(site: &EmulatedSite, seed: u64) -> EmulatedOutcome {
    // One period of the load: the low phase and the peak.
    SiteEmulator::open(site.clone(), seed).run(2000, 5800)
}

/// Guards against VMs with the same load reports choosing the same target. When each VM chose the least
/// loaded of all targets, only 86% and 87% of the requests met their latency objective.
#[test]
fn large_fleet_meets_latency_objective() {
    let outcome = run_site(&large_site(), 1);
    assert!(outcome.fraction_within_objective() >= 0.95, "{outcome:?}");
    let slots = f64::from(large_site().slots) * large_site().targets as f64 * 5.8;
    assert!(outcome.batch_s >= 0.4 * slots, "{outcome:?} of {slots:.0} s");
}

#[test]
fn small_fleet_meets_latency_objective() {
    for seed in 1..=3 {
        let outcome = run_site(&small_site(), seed);
        assert!(outcome.fraction_within_objective() >= 0.98, "seed {seed}: {outcome:?}");
    }
}

/// Guards against refusals caused by load reports that are older than the service time. Without a queue
/// at the targets, only 0.926 of the requests met their latency objective.
#[test]
fn short_requests_are_not_refused_below_capacity() {
    let outcome = run_site(&short_request_site(), 1);
    assert!(outcome.fraction_within_objective() >= 0.97, "{outcome:?}");
}

/// When each VM spread its requests over all targets, 0.78 connections were opened for each of them.
#[test]
fn large_fleet_opens_few_connections_to_targets() {
    let outcome = run_site(&very_large_site(), 1);
    let opened = f64::from(outcome.connections) / f64::from(outcome.sent);
    assert!(opened <= 0.62, "{opened:.2} connections a request: {outcome:?}");
    assert!(outcome.fraction_within_objective() >= 0.9, "{outcome:?}");
}
