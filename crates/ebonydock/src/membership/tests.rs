//! Tests of membership.

use std::time::Duration;

use crate::ids::{ConfigVersion, VmId};
use crate::membership::messages::{Heartbeat, MemberPhase, VmAddress};
use crate::membership::{HeartbeatTimeouts, MembershipView};

fn heartbeat(incarnation: u64, sequence: u64, echo: u64, phase: MemberPhase) -> Heartbeat {
    Heartbeat {
        address: ([127, 0, 0, 1], 9000).into(),
        incarnation,
        sequence,
        echo,
        config_version: ConfigVersion(1),
        phase,
        pools: Vec::new(),
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Exchanges heartbeats with one peer from `start` to `end`, in milliseconds.
fn exchange_heartbeats(view: &mut MembershipView, peer: &VmId, start: u64, end: u64) {
    for millis in (start..end).step_by(400) {
        let (sent, _) = view.next_heartbeat(at(millis), peer);
        view.receive(at(millis + 1), peer, &heartbeat(1, millis, sent, MemberPhase::Serving));
    }
}

#[test]
fn silent_member_is_lost_with_its_share() {
    let (own, peer) = (VmId::from("a"), VmId::from("b"));
    let mut view = MembershipView::open(&own, at(0));
    view.set_roster(vec![VmAddress { vm: peer.clone(), address: ([127, 0, 0, 1], 9000).into() }]);
    exchange_heartbeats(&mut view, &peer, 0, 6000);
    view.phase(at(2000));
    assert!((view.confirmed_share(at(6000)) - 1.0).abs() < 1e-9);
    let timeouts = view.timeouts();
    assert!(view.expire(at(5601) + timeouts.confirmation_timeout).is_empty());
    // The confirmed share drops before the member is lost: an owner stops before another takes over.
    assert!((view.confirmed_share(at(5601) + timeouts.confirmation_timeout) - 0.5).abs() < 1e-9);
    assert_eq!(view.expire(at(5601) + timeouts.loss_timeout), [peer]);
    assert!((view.confirmed_share(at(9000)) - 0.5).abs() < 1e-9);
}

#[test]
fn vm_owns_nothing_until_members_acknowledge_serving() {
    let (own, peer) = (VmId::from("a"), VmId::from("b"));
    let mut view = MembershipView::open(&own, at(0));
    exchange_heartbeats(&mut view, &peer, 0, 3000);
    assert_eq!(view.phase(at(1000)), MemberPhase::Joining);
    assert_eq!(view.candidates(at(3000)), std::slice::from_ref(&peer));
    assert_eq!(view.phase(at(3000)), MemberPhase::Serving);
    assert_eq!(view.candidates(at(3000)), std::slice::from_ref(&peer));
    exchange_heartbeats(&mut view, &peer, 3200, 4000);
    assert_eq!(view.candidates(at(4000)), [own.clone(), peer]);
    view.set_leaving();
    assert!(!view.candidates(at(4000)).contains(&own));
}

#[test]
fn restarted_member_is_a_change() {
    let (own, peer) = (VmId::from("a"), VmId::from("b"));
    let mut view = MembershipView::open(&own, at(0));
    assert!(view.receive(at(1), &peer, &heartbeat(1, 1, 0, MemberPhase::Serving)));
    assert!(!view.receive(at(2), &peer, &heartbeat(1, 2, 0, MemberPhase::Serving)));
    assert!(view.receive(at(3), &peer, &heartbeat(2, 1, 0, MemberPhase::Serving)));
    assert!(view.receive(at(4), &peer, &heartbeat(2, 2, 0, MemberPhase::Leaving)));
}

#[test]
fn heartbeat_rate_per_vm_is_bounded() {
    let rate = |members: usize| {
        let timeouts = HeartbeatTimeouts::for_members(members);
        assert!(timeouts.confirmation_timeout < timeouts.loss_timeout);
        members as f64 / timeouts.interval.as_secs_f64()
    };
    let rates: Vec<u64> = [4, 12, 36, 100, 400].iter().map(|n| rate(*n) as u64).collect();
    insta::assert_json_snapshot!(rates, @"
    [
      10,
      30,
      40,
      40,
      40
    ]
    ");
}
