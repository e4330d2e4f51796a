//! What callers get at the peaks of a heavy day, played on emulated fleets.

use crate::gateway::tests::emulator::{EmulatedOutcome, EmulatedSite, SiteEmulator};

/// 85 VMs before 60 targets: peaks of 460 requests a second beside batch work without end.
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
        aim_ms: 300,
    }
}

/// 12 VMs before 9 targets.
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

/// 85 VMs before a plain service of 3 targets that work 60 ms on each request: at the peaks, more requests
/// arrive within the age of a report than a target has slots.
fn short_requests() -> EmulatedSite {
    EmulatedSite {
        targets: 3,
        data_centres: 3,
        slots: 6,
        online_per_s: 150.0,
        online_ms: 60,
        first_event_ms: 60,
        batch_backlog: 0,
        aim_ms: 500,
        ..large_site()
    }
}

fn play(site: &EmulatedSite, seed: u64) -> EmulatedOutcome {
    // One peak and the trough before it.
    SiteEmulator::open(site.clone(), seed).play(2000, 5800)
}

/// With the emptiest target of all that were known, 86 and 87 of 100 were in their aim: VMs with the same
/// reports chose the same target.
#[test]
fn online_requests_of_a_large_fleet_are_in_their_aim_beside_batch() {
    let outcome = play(&large_site(), 1);
    assert!(outcome.share_in_aim() >= 0.95, "{outcome:?}");
    let slots = f64::from(large_site().slots) * large_site().targets as f64 * 5.8;
    assert!(outcome.batch_s >= 0.4 * slots, "{outcome:?} of {slots:.0} s");
}

#[test]
fn online_requests_of_a_small_fleet_are_in_their_aim_beside_batch() {
    for seed in 1..=3 {
        let outcome = play(&small_site(), seed);
        assert!(outcome.share_in_aim() >= 0.98, "seed {seed}: {outcome:?}");
    }
}

/// 0.926 with no more requests than slots at a target, by reports that were older than the work.
#[test]
fn short_requests_are_not_refused_while_targets_have_room() {
    let outcome = play(&short_requests(), 1);
    assert!(outcome.share_in_aim() >= 0.97, "{outcome:?}");
}
